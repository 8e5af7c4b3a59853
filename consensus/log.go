package consensus

import "slices"

// Snapshot is the serialised state of the state machine, with the log position that it covers.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// membershipEntry is a membership and the log index at which it takes effect.
type membershipEntry struct {
	index   Index
	members MemberList
}

// raftLog is the in-memory part of the log: the entries after the last compaction, and the memberships that apply to them.
// base is the index before entries[0]; its term is baseTerm.
type raftLog struct {
	base     Index
	baseTerm Term
	entries  []Entry
	members  []membershipEntry // ascending by index; the last one is in effect, committed or not
}

func (l *raftLog) last() Index { return l.base + Index(len(l.entries)) }

func (l *raftLog) lastTerm() Term {
	t, _ := l.term(l.last())

	return t
}

// term returns the term of the entry at i. ok is false if the entry has been compacted or does not exist yet.
func (l *raftLog) term(i Index) (t Term, ok bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	default:
		return l.entries[i-l.base-1].Term, true
	}
}

// slice returns the entries from first on, at least one and limited to count entries and about maxBytes. It returns nil if
// the entry at first has been compacted or does not exist.
func (l *raftLog) slice(first Index, count, maxBytes int) []Entry {
	if first <= l.base || first > l.last() {
		return nil
	}

	tail := l.entries[first-l.base-1:]
	bytes := 0
	for i := range tail {
		bytes += len(tail[i].Data)
		if i > 0 && (i == count || bytes > maxBytes) {
			return slices.Clone(tail[:i])
		}
	}

	return slices.Clone(tail)
}

// truncateAndAppend appends e after removing any entry at its index and all entries after it.
func (l *raftLog) truncateAndAppend(e Entry) {
	if e.Index <= l.last() {
		l.truncate(e.Index)
	}

	l.entries = append(l.entries, e)
	if e.Kind == EntryMembers {
		members, err := decodeMembers(e.Data)
		if err == nil { // always: Decode and the reader of the durable log validate it
			l.members = append(l.members, membershipEntry{index: e.Index, members: members})
		}
	}
}

// truncate removes the entry at i and all entries after it.
func (l *raftLog) truncate(i Index) {
	// The slice is clipped so that a later append does not overwrite entries already returned to the caller.
	l.entries = slices.Clip(l.entries[:i-l.base-1])
	for len(l.members) > 0 && l.members[len(l.members)-1].index >= i {
		l.members = l.members[:len(l.members)-1]
	}
}

// compact discards the entries up to and including i.
func (l *raftLog) compact(i Index) {
	t, ok := l.term(i)
	if !ok || i == l.base {
		return
	}

	l.entries = slices.Clone(l.entries[i-l.base:])
	l.base, l.baseTerm = i, t
	for len(l.members) > 1 && l.members[1].index <= i {
		l.members = l.members[1:]
	}
}

// reset discards all entries and starts the log at the position of a snapshot.
func (l *raftLog) reset(meta SnapshotMeta) {
	l.base, l.baseTerm, l.entries = meta.Index, meta.Term, nil
	l.members = []membershipEntry{{index: meta.Index, members: meta.Members}}
}

// current returns the membership in effect, which is the latest in the log, committed or not.
func (l *raftLog) current() membershipEntry {
	if len(l.members) == 0 {
		return membershipEntry{}
	}

	return l.members[len(l.members)-1]
}

// membersAt returns the membership in effect at index i.
func (l *raftLog) membersAt(i Index) MemberList {
	for k := len(l.members) - 1; k >= 0; k-- {
		if l.members[k].index <= i {
			return l.members[k].members
		}
	}

	return nil
}
