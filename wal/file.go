package wal

import (
	"os"
	"path/filepath"
)

// FS is the subset of file system operations that the log uses, as an interface so that tests can inject faults. Names
// are full paths.
type FS interface {
	MkdirAll(dir string) error
	List(dir string) ([]string, error) // returns base names
	ReadFile(name string) ([]byte, error)
	Create(name string) (File, error) // truncates an existing file
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error
}

// File is a file opened for appending.
type File interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// OS implements FS with the file system of the operating system.
type OS struct{}

var _ FS = OS{}

// Permissions of new folders and files. The log may contain operator records, so only its owner may read it.
const (
	dirMode  = 0o700
	fileMode = 0o600
)

// MkdirAll creates a folder and any missing parents, accessible only to the owner.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// List returns the base names of the entries of a folder.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}

	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}

	return names, nil
}

// ReadFile returns the whole content of a file.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(filepath.Clean(name)) }

// Create creates a file, or truncates an existing one, and opens it for writing.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(filepath.Clean(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Rename renames a file and replaces any existing file of the new name.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file; the deletion is durable only after SyncDir.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir makes the creation, renaming and removal of files in a folder durable.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}

	if err := d.Sync(); err != nil {
		_ = d.Close()
		return err
	}

	return d.Close()
}

// writeFileAtomic writes a file through a temporary one, so that after a crash it has either its old or its new content.
func writeFileAtomic(fs FS, dir, name string, content []byte) error {
	tmp := filepath.Join(dir, name+tmpSuffix)
	f, err := fs.Create(tmp)
	if err != nil {
		return err
	}

	if err := writeAll(f, content); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := fs.Rename(tmp, filepath.Join(dir, name)); err != nil {
		return err
	}

	return fs.SyncDir(dir)
}
