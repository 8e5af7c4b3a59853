package control

import (
	"cmp"
	"slices"
)

// Bounds of the kept commands.
const (
	// RingEntries is the number of last commands that nodes can catch up from.
	RingEntries = 10000
	// RingBytes bounds their size, to an eighth of the memory that a node has for control.
	RingBytes = 8 << 20
)

// Entry is one entry of the log as nodes receive it. An entry without data only moves the applied
// index: it stands for entries that have no effect at a node.
type Entry struct {
	Index uint64
	Data  []byte
}

// ring keeps the last commands. Runs of entries without effect at a node are kept as one.
type ring struct {
	entries []Entry
	bytes   int
	// from is the index after which every entry is in the ring.
	from uint64
}

func (r *ring) add(e Entry, skip bool) {
	if skip {
		e.Data = nil
	}
	if n := len(r.entries); n > 0 && len(e.Data) == 0 && len(r.entries[n-1].Data) == 0 {
		r.entries[n-1].Index = e.Index
		return
	}
	r.entries = append(r.entries, e)
	r.bytes += len(e.Data)
	for len(r.entries) > RingEntries || r.bytes > RingBytes {
		r.from = r.entries[0].Index
		r.bytes -= len(r.entries[0].Data)
		r.entries[0] = Entry{}
		r.entries = r.entries[1:]
	}
}

func (r *ring) reset(index uint64) { *r = ring{from: index} }

// CommandsSince returns the entries after an index, for a node's applied copy. It returns false if
// they are no longer kept; the node then needs a NodeSnapshot. A node that is ahead of this replica
// needs nothing from it.
func (s *State) CommandsSince(index uint64) ([]Entry, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if index >= s.index {
		return nil, true
	}
	if index < s.ring.from {
		return nil, false
	}
	i, found := slices.BinarySearchFunc(s.ring.entries, index, func(e Entry, index uint64) int {
		return cmp.Compare(e.Index, index)
	})
	if found {
		i++
	}

	return slices.Clone(s.ring.entries[i:]), true
}
