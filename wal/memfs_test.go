package wal

import (
	"errors"
	"io"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
)

// Faults that memFS injects.
var (
	errSync = errors.New("input/output error")
	errFull = errors.New("no space left on device")
)

// memFile is a file with what a crash would leave of it.
type memFile struct {
	data   []byte
	synced int
}

// memFS is a folder in memory. A crash keeps the synced part of each file, some of the rest, and some of the
// changes of names that were not followed by SyncDir, in order.
type memFS struct {
	files   map[string]*memFile
	durable map[string]*memFile // names as of the last SyncDir
	changes []func(map[string]*memFile)

	ops     int // writes, syncs and changes of names so far
	failAt  int // the operation that fails; 0: none
	fault   error
	syncsOf map[*memFile]int // syncs after a failed sync of the same file
	failed  map[*memFile]bool
}

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, durable: map[string]*memFile{}, syncsOf: map[*memFile]int{}, failed: map[*memFile]bool{}}
}

// fails counts an operation and reports whether it is the one to fail.
func (m *memFS) fails() bool {
	m.ops++
	return m.ops == m.failAt
}

func (m *memFS) change(f func(map[string]*memFile)) error {
	if m.fails() {
		return m.fault
	}
	f(m.files)
	m.changes = append(m.changes, f)

	return nil
}

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) List(string) ([]string, error) {
	var names []string
	for name := range m.files {
		names = append(names, filepath.Base(name))
	}
	slices.Sort(names)

	return names, nil
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	f, ok := m.files[name]
	if !ok {
		return nil, os.ErrNotExist
	}

	return slices.Clone(f.data), nil
}

func (m *memFS) Create(name string) (File, error) {
	f := &memFile{}
	return memHandle{fs: m, f: f}, m.change(func(files map[string]*memFile) { files[name] = f })
}

func (m *memFS) Rename(from, to string) error {
	return m.change(func(files map[string]*memFile) {
		files[to] = files[from]
		delete(files, from)
	})
}

func (m *memFS) Remove(name string) error {
	return m.change(func(files map[string]*memFile) { delete(files, name) })
}

func (m *memFS) SyncDir(string) error {
	if m.fails() {
		return m.fault
	}
	for _, f := range m.changes {
		f(m.durable)
	}
	m.changes = nil

	return nil
}

// crash drops what was not synced, or only a part of it; the rest of a file may read as zeros.
func (m *memFS) crash(rnd *rand.Rand) {
	for _, f := range m.changes[:rnd.Intn(len(m.changes)+1)] {
		f(m.durable)
	}
	out := newMemFS()
	for name, f := range m.durable {
		keep := f.synced + rnd.Intn(len(f.data)-f.synced+1)
		data := slices.Clone(f.data[:keep])
		if rnd.Intn(2) == 0 {
			data = append(data, make([]byte, len(f.data)-keep)...)
		}
		g := &memFile{data: data, synced: len(data)}
		out.files[name], out.durable[name] = g, g
	}
	*m = *out
}

type memHandle struct {
	fs *memFS
	f  *memFile
}

func (h memHandle) Write(b []byte) (int, error) {
	if h.fs.fails() {
		n := len(b) / 2
		h.f.data = append(h.f.data, b[:n]...)
		if errors.Is(h.fs.fault, io.ErrShortWrite) {
			return n, nil // a short write that reports no error
		}
		return n, h.fs.fault
	}
	h.f.data = append(h.f.data, b...)

	return len(b), nil
}

func (h memHandle) Sync() error {
	if h.fs.failed[h.f] {
		h.fs.syncsOf[h.f]++
	}
	if h.fs.fails() {
		h.fs.failed[h.f] = true
		return h.fs.fault
	}
	h.f.synced = len(h.f.data)

	return nil
}

func (h memHandle) Close() error { return nil }
