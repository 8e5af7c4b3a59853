// Package membership maintains the list of nodes: the leader's table of nodes that hold a lease, and
// the copy at each node. Only changes are sent, so that the cost per node does not grow with the
// square of the number of nodes.
package membership

import (
	"cmp"
	"slices"
	"time"

	"fulmarfall/ident"
)

// minLoadChange is the minimum change of load, in percentage points, that is sent to every node, and
// minLoadInterval the minimum time between two such changes of one node. At 480 nodes, one change per
// node every 5 s costs each node about 8 KB/s.
const (
	minLoadChange   = 20
	minLoadInterval = 5 * time.Second
)

// unconfirmedTTL is the time for which a node keeps members of an earlier leader's list that the new
// leader has not listed yet; every live node renews its lease several times within it.
const unconfirmedTTL = 3 * time.Second

// Member is the state of one node as known to the leader.
type Member struct {
	Node          ident.NodeID
	QUICAddress   string
	HTTPAddress   string
	FailureDomain ident.FailureDomain
	Region        ident.Region
	Leaving       bool
	// LoadPercent is the utilisation of the node's in-flight limit.
	LoadPercent int
	// Applied is the log index up to which the node has applied the control state; it is sent to the
	// leader only.
	Applied uint64
	// Expired means that the node's lease has expired.
	Expired bool
}

// needsPropagation reports whether the difference between two versions must be sent to other nodes.
// The load has its own rule.
func (m *Member) needsPropagation(old *Member) bool {
	return m.QUICAddress != old.QUICAddress || m.HTTPAddress != old.HTTPAddress ||
		m.FailureDomain != old.FailureDomain || m.Region != old.Region ||
		m.Leaving != old.Leaving || m.Expired != old.Expired
}

// Version identifies a state of the leader's table. Versions of different terms are not comparable.
type Version struct {
	Term   uint64
	Number uint64
}

type tableEntry struct {
	member    Member
	version   uint64
	changedAt time.Time
	applied   uint64
}

// Table is the leader's list of nodes. Each term needs a new one. It is not safe for concurrent use.
type Table struct {
	term    uint64
	number  uint64
	entries map[ident.NodeID]*tableEntry
}

// NewTable returns an empty table for a term.
func NewTable(term uint64) *Table {
	return &Table{term: term, entries: make(map[ident.NodeID]*tableEntry)}
}

// Term returns the term that the table belongs to.
func (t *Table) Term() uint64 { return t.term }

// Renew stores the state that a node reports with a lease renewal.
func (t *Table) Renew(now time.Time, m Member) {
	m.Expired = false

	e, ok := t.entries[m.Node]
	if !ok {
		e = new(tableEntry)
		t.entries[m.Node] = e
	}

	e.applied = m.Applied
	m.Applied = 0
	loadChanged := abs(m.LoadPercent-e.member.LoadPercent) >= minLoadChange && now.Sub(e.changedAt) >= minLoadInterval

	if ok && !loadChanged && !m.needsPropagation(&e.member) {
		return
	}

	t.number++
	e.member, e.version, e.changedAt = m, t.number, now
}

// Expire marks the nodes that no longer hold a lease as expired.
func (t *Table) Expire(holdsLease func(ident.NodeID) bool) {
	for id, e := range t.entries {
		if e.member.Expired || holdsLease(id) {
			continue
		}

		t.number++
		e.member.Expired = true
		e.version = t.number
	}
}

// Since returns the members that changed after a version, and the current version. If full is true,
// the version is of another term and the list contains all members that have not expired.
func (t *Table) Since(v Version) (list []Member, current Version, full bool) {
	full = v.Term != t.term
	for _, e := range t.entries {
		if full && !e.member.Expired || !full && e.version > v.Number {
			list = append(list, e.member)
		}
	}

	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })

	return list, Version{Term: t.term, Number: t.number}, full
}

// Applied returns the members that have not expired, each with its applied index.
func (t *Table) Applied() []Member {
	var list []Member

	for _, e := range t.entries {
		if e.member.Expired {
			continue
		}

		m := e.member
		m.Applied = e.applied
		list = append(list, m)
	}

	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })

	return list
}

type copyEntry struct {
	member Member
	since  time.Time
	// confirmedTerm is the term of the last list that contained the member.
	confirmedTerm uint64
}

// Copy is a node's copy of the table. It is not safe for concurrent use.
type Copy struct {
	version   Version
	termStart time.Time
	nodes     map[ident.NodeID]*copyEntry
	changes   uint64
}

// NewCopy returns an empty copy.
func NewCopy() *Copy { return &Copy{nodes: make(map[ident.NodeID]*copyEntry)} }

// Version returns the version to send with the next renewal.
func (c *Copy) Version() Version { return c.version }

// Changes returns a counter that increases with each change of the list.
func (c *Copy) Changes() uint64 { return c.changes }

// Update applies the list in the response to a renewal. It ignores lists of earlier terms.
func (c *Copy) Update(now time.Time, list []Member, v Version) {
	if v.Term < c.version.Term {
		return
	}

	if v.Term > c.version.Term {
		c.termStart = now
	}

	c.version = v

	for i := range list {
		c.store(now, list[i], v.Term)
	}

	if now.Sub(c.termStart) < unconfirmedTTL {
		return
	}

	for id, k := range c.nodes {
		if k.confirmedTerm < v.Term {
			delete(c.nodes, id)

			c.changes++
		}
	}
}

func (c *Copy) store(now time.Time, m Member, term uint64) {
	c.changes++

	if m.Expired {
		delete(c.nodes, m.Node)

		return
	}

	k, ok := c.nodes[m.Node]
	if !ok {
		k = &copyEntry{since: now}
		c.nodes[m.Node] = k
	}

	if k.member.Leaving && !m.Leaving {
		k.since = now
	}

	k.member, k.confirmedTerm = m, term
}

// Member returns the member with an id.
func (c *Copy) Member(id ident.NodeID) (Member, bool) {
	k, ok := c.nodes[id]
	if !ok {
		return Member{}, false
	}

	return k.member, true
}

// Len returns the number of nodes.
func (c *Copy) Len() int { return len(c.nodes) }

// Each calls f for every node with the time at which it was added or, if later, last ceased to be
// leaving.
func (c *Copy) Each(f func(m Member, since time.Time)) {
	for _, k := range c.nodes {
		f(k.member, k.since)
	}
}

func abs(n int) int {
	if n < 0 {
		return -n
	}

	return n
}
