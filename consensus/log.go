package consensus

// The log in memory: the entries after the last snapshot, and the membership at each of its points.

import "slices"

// Snapshot is a state of the state machine with the log position that it replaces.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// membersAt is the membership in force from index on.
type membersAt struct {
	index   Index
	members MemberList
}

// raftLog holds consecutive entries. base is the index before entries[0]; its term is baseTerm.
type raftLog struct {
	base     Index
	baseTerm Term
	entries  []Entry
	members  []membersAt // ascending by index; the last one is in force, committed or not
}

func (l *raftLog) last() Index { return l.base + Index(len(l.entries)) }

func (l *raftLog) lastTerm() Term {
	t, _ := l.term(l.last())

	return t
}

// term returns the term of the entry at i; ok is false when the entry is compacted away or not there yet.
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

// slice returns the entries from first on, up to count entries and about maxBytes, at least one.
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

// put appends e; an entry already at its index, and all after it, are dropped first.
func (l *raftLog) put(e Entry) {
	if e.Index <= l.last() {
		l.truncate(e.Index)
	}

	l.entries = append(l.entries, e)
	if e.Kind == EntryMembers {
		members, err := decodeMembers(e.Data)
		if err == nil { // always so: Decode and the log reader check it
			l.members = append(l.members, membersAt{index: e.Index, members: members})
		}
	}
}

// truncate drops the entry at i and all after it.
func (l *raftLog) truncate(i Index) {
	// The slice is clipped so that a later append does not overwrite entries handed out before.
	l.entries = slices.Clip(l.entries[:i-l.base-1])
	for len(l.members) > 0 && l.members[len(l.members)-1].index >= i {
		l.members = l.members[:len(l.members)-1]
	}
}

// compact drops the entries up to and including i.
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

// reset replaces the whole log by a snapshot.
func (l *raftLog) reset(meta SnapshotMeta) {
	l.base, l.baseTerm, l.entries = meta.Index, meta.Term, nil
	l.members = []membersAt{{index: meta.Index, members: meta.Members}}
}

// current returns the membership in force: the latest in the log, committed or not.
func (l *raftLog) current() membersAt {
	if len(l.members) == 0 {
		return membersAt{}
	}

	return l.members[len(l.members)-1]
}

// membersAsOf returns the membership in force at index i.
func (l *raftLog) membersAsOf(i Index) MemberList {
	for k := len(l.members) - 1; k >= 0; k-- {
		if l.members[k].index <= i {
			return l.members[k].members
		}
	}

	return nil
}
