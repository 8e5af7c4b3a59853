package control

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of the kept commands.
const (
	// RingEntries is the number of last commands that nodes can catch up from.
	RingEntries = 10000
	// RingBytes bounds their size, to an eighth of the memory that a node has for control.
	RingBytes = 8 << 20
)

// Entry is one entry of the log as nodes receive it. One entry may stand for several that nodes do
// not need; its index is that of the last of them.
type Entry struct {
	Index uint64
	Data  []byte
}

type kept struct {
	index uint64
	// data is empty for a run of entries that nodes do not need. Such a run is kept as one entry
	// that moves the clock: the clocks of nodes must agree with those of the voters, because the
	// expiry of convictions depends on them.
	data  []byte
	clock time.Time
}

// ring keeps the last commands.
type ring struct {
	entries []kept
	bytes   int
	// from is the index after which every entry is in the ring.
	from uint64
}

func (r *ring) add(index uint64, clock time.Time, data []byte) {
	k := kept{index: index, clock: clock, data: data}
	if n := len(r.entries); n > 0 && len(data) == 0 && len(r.entries[n-1].data) == 0 {
		r.entries[n-1] = k
		return
	}
	r.entries = append(r.entries, k)
	r.bytes += len(data)
	for len(r.entries) > RingEntries || r.bytes > RingBytes {
		r.from = r.entries[0].index
		r.bytes -= len(r.entries[0].data)
		r.entries[0] = kept{}
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
	i, found := slices.BinarySearchFunc(s.ring.entries, index, func(k kept, index uint64) int {
		return cmp.Compare(k.index, index)
	})
	if found {
		i++
	}
	entries := make([]Entry, 0, len(s.ring.entries)-i)
	for _, k := range s.ring.entries[i:] {
		e := Entry{Index: k.index, Data: k.data}
		if len(k.data) == 0 {
			var err error
			if e.Data, err = EncodeCommand(k.clock, AdvanceClock{}); err != nil {
				return nil, false
			}
		}
		entries = append(entries, e)
	}

	return entries, true
}
