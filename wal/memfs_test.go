package wal

import (
	"errors"
	"io"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
)

// Injected faults.
var (
	errSync = errors.New("input/output error")
	errFull = errors.New("no space left on device")
)

// memFile is an in-memory file that records how much of its data a crash would preserve for certain.
type memFile struct {
	data        []byte
	syncedBytes int // length of the prefix that survives a crash
}

// memFS is an in-memory folder. A crash preserves the synced part of each file, a random part of its unsynced data, and a
// random prefix of the directory operations since the last SyncDir.
type memFS struct {
	files       map[string]*memFile
	durable     map[string]*memFile // directory content as of the last SyncDir
	unsyncedOps []func(map[string]*memFile)

	ops        int // writes, syncs and directory operations so far
	failAt     int // number of the operation that fails; 0 means none
	fault      error
	resyncs    map[*memFile]int // syncs of a file after one of its syncs failed
	syncFailed map[*memFile]bool
}

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, durable: map[string]*memFile{}, resyncs: map[*memFile]int{}, syncFailed: map[*memFile]bool{}}
}

// injectFault counts an operation and reports whether it must fail.
func (m *memFS) injectFault() bool {
	m.ops++
	return m.ops == m.failAt
}

func (m *memFS) dirOp(f func(map[string]*memFile)) error {
	if m.injectFault() {
		return m.fault
	}
	f(m.files)
	m.unsyncedOps = append(m.unsyncedOps, f)

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
	return memHandle{fs: m, f: f}, m.dirOp(func(files map[string]*memFile) { files[name] = f })
}

func (m *memFS) Rename(from, to string) error {
	return m.dirOp(func(files map[string]*memFile) {
		files[to] = files[from]
		delete(files, from)
	})
}

func (m *memFS) Remove(name string) error {
	return m.dirOp(func(files map[string]*memFile) { delete(files, name) })
}

func (m *memFS) SyncDir(string) error {
	if m.injectFault() {
		return m.fault
	}
	for _, f := range m.unsyncedOps {
		f(m.durable)
	}
	m.unsyncedOps = nil

	return nil
}

// crash discards a random part of the unsynced data and directory operations. Discarded data at the end of a file may
// read as zeros, as in a file that was extended before its data was written.
func (m *memFS) crash(rnd *rand.Rand) {
	for _, f := range m.unsyncedOps[:rnd.Intn(len(m.unsyncedOps)+1)] {
		f(m.durable)
	}
	out := newMemFS()
	for name, f := range m.durable {
		keep := f.syncedBytes + rnd.Intn(len(f.data)-f.syncedBytes+1)
		data := slices.Clone(f.data[:keep])
		if rnd.Intn(2) == 0 {
			data = append(data, make([]byte, len(f.data)-keep)...)
		}
		g := &memFile{data: data, syncedBytes: len(data)}
		out.files[name], out.durable[name] = g, g
	}
	*m = *out
}

type memHandle struct {
	fs *memFS
	f  *memFile
}

func (h memHandle) Write(b []byte) (int, error) {
	if h.fs.injectFault() {
		n := len(b) / 2
		h.f.data = append(h.f.data, b[:n]...)
		if errors.Is(h.fs.fault, io.ErrShortWrite) {
			return n, nil // a short write without an error, to test that the log checks the length
		}
		return n, h.fs.fault
	}
	h.f.data = append(h.f.data, b...)

	return len(b), nil
}

func (h memHandle) Sync() error {
	if h.fs.syncFailed[h.f] {
		h.fs.resyncs[h.f]++
	}
	if h.fs.injectFault() {
		h.fs.syncFailed[h.f] = true
		return h.fs.fault
	}
	h.f.syncedBytes = len(h.f.data)

	return nil
}

func (h memHandle) Close() error { return nil }
