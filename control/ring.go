package control

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of the buffer of recent commands.
const (
	// RingEntries is the number of most recent commands that nodes can catch up from.
	RingEntries = 10000
	// RingBytes bounds their total size to an eighth of a node's memory budget for control state.
	RingBytes = 8 << 20
)

// Entry is a log entry as nodes receive it. A run of entries that nodes do not need is merged into
// one, which has the index of the last.
type Entry struct {
	Index uint64
	Data  []byte
}

type ringEntry struct {
	index uint64
	// data is empty for a run of entries that nodes do not need. Such a run becomes one AdvanceClock
	// entry: a node's state clock must agree with that of the voters, because the expiry of
	// convictions depends on it.
	data  []byte
	clock time.Time
}

// ring is a bounded buffer of the most recent commands.
type ring struct {
	entries []ringEntry
	bytes   int
	// base is the index after which the ring contains every entry.
	base uint64
}

func (r *ring) add(index uint64, clock time.Time, data []byte) {
	k := ringEntry{index: index, clock: clock, data: data}
	if n := len(r.entries); n > 0 && len(data) == 0 && len(r.entries[n-1].data) == 0 {
		r.entries[n-1] = k
		return
	}
	r.entries = append(r.entries, k)
	r.bytes += len(data)
	for len(r.entries) > RingEntries || r.bytes > RingBytes {
		r.base = r.entries[0].index
		r.bytes -= len(r.entries[0].data)
		r.entries[0] = ringEntry{}
		r.entries = r.entries[1:]
	}
}

func (r *ring) reset(index uint64) { *r = ring{base: index} }

// CommandsSince returns the entries after index, for a node to apply. It returns false if the ring no
// longer contains all of them; the node then needs a NodeSnapshot. It returns no entries for a node
// that is ahead of this replica.
func (s *State) CommandsSince(index uint64) ([]Entry, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if index >= s.index {
		return nil, true
	}
	if index < s.ring.base {
		return nil, false
	}
	i, found := slices.BinarySearchFunc(s.ring.entries, index, func(k ringEntry, index uint64) int {
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
