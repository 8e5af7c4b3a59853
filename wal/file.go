package wal

// File operations behind a small interface, so that tests can inject faults.

import (
	"os"
	"path/filepath"
)

// FS is what the log needs of a file system. Names are full paths.
type FS interface {
	MkdirAll(dir string) error
	List(dir string) ([]string, error) // base names
	ReadFile(name string) ([]byte, error)
	Create(name string) (File, error) // truncates
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error
}

// File is a file open for appending.
type File interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// OS is the file system of the operating system.
type OS struct{}

var _ FS = OS{}

// Modes of new folders and files: the log may hold operator records, so only its owner reads it.
const (
	dirMode  = 0o700
	fileMode = 0o600
)

// MkdirAll makes a folder and its parents.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// List returns the names in a folder.
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

// ReadFile returns the content of a file.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(filepath.Clean(name)) }

// Create makes an empty file or truncates one.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(filepath.Clean(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Rename moves a file over another.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir makes the names in a folder durable.
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

// writeDurably writes a whole file so that after a crash either the old or the new content is there.
func writeDurably(fs FS, dir, name string, content []byte) error {
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
