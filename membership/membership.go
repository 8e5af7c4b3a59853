// Package membership keeps the list of nodes: the leader's table of nodes that hold a lease, and the
// copy at each node. Only changes travel, so that the cost per node does not grow with the square of
// the number of nodes.
package membership

import (
	"cmp"
	"slices"
	"time"

	"fulmarfall/ident"
)

// loadStep is the change of load, in percent, that is worth sending to every node, and loadEvery the
// shortest time between two such changes of one node. At 480 nodes a change of every node each 5 s
// costs a node about 8 KB/s.
const (
	loadStep  = 20
	loadEvery = 5 * time.Second
)

// forgetAfter is the time for which a node keeps members of an earlier leader's list that the new
// leader has not named yet; every live node renews several times in it.
const forgetAfter = 3 * time.Second

// Member is one node as the leader knows it.
type Member struct {
	Node          ident.NodeID
	QUICAddress   string
	HTTPAddress   string
	FailureDomain ident.FailureDomain
	Region        ident.Region
	Leaving       bool
	// LoadPercent is the filled part of the node's in-flight limit.
	LoadPercent int
	// Applied is the index of control state that the node has in force; it travels to the leader only.
	Applied uint64
	// Gone means that the node's lease has run out.
	Gone bool
}

// visible reports whether other nodes need to hear of the difference between two versions.
func (m *Member) visible(old *Member) bool {
	return m.QUICAddress != old.QUICAddress || m.HTTPAddress != old.HTTPAddress ||
		m.FailureDomain != old.FailureDomain || m.Region != old.Region ||
		m.Leaving != old.Leaving || m.Gone != old.Gone
}

// Version identifies a state of the leader's table. Versions of different terms are not comparable.
type Version struct {
	Term   uint64
	Number uint64
}

type entry struct {
	member  Member
	version uint64
	sentAt  time.Time
	applied uint64
}

// Table is the leader's list. Make a new one at each election. It is not safe for concurrent use.
type Table struct {
	term    uint64
	number  uint64
	entries map[ident.NodeID]*entry
}

// NewTable returns an empty table of a term.
func NewTable(term uint64) *Table {
	return &Table{term: term, entries: make(map[ident.NodeID]*entry)}
}

// Term returns the term that the table belongs to.
func (t *Table) Term() uint64 { return t.term }

// Renewed takes what a node says about itself.
func (t *Table) Renewed(now time.Time, m Member) {
	m.Gone = false

	e, ok := t.entries[m.Node]
	if !ok {
		e = new(entry)
		t.entries[m.Node] = e
	}

	e.applied = m.Applied
	m.Applied = 0
	loadChanged := abs(m.LoadPercent-e.member.LoadPercent) >= loadStep && now.Sub(e.sentAt) >= loadEvery

	if ok && !loadChanged && !m.visible(&e.member) {
		return
	}

	t.number++
	e.member, e.version, e.sentAt = m, t.number, now
}

// Expire marks the nodes that are not in the list of lease holders as gone.
func (t *Table) Expire(holders func(ident.NodeID) bool) {
	for id, e := range t.entries {
		if e.member.Gone || holders(id) {
			continue
		}

		t.number++
		e.member.Gone = true
		e.version = t.number
	}
}

// Since returns the members that changed after a version, and the version that the reader then has.
// full tells that the list is complete because the version is of another term.
func (t *Table) Since(v Version) (list []Member, now Version, full bool) {
	full = v.Term != t.term
	for _, e := range t.entries {
		if full && !e.member.Gone || !full && e.version > v.Number {
			list = append(list, e.member)
		}
	}

	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })

	return list, Version{Term: t.term, Number: t.number}, full
}

// Applied returns the members that are not gone with the index that each has in force.
func (t *Table) Applied() []Member {
	var list []Member

	for _, e := range t.entries {
		if e.member.Gone {
			continue
		}

		m := e.member
		m.Applied = e.applied
		list = append(list, m)
	}

	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })

	return list
}

type known struct {
	member Member
	since  time.Time
	// confirmed is the term of the last list that named the member.
	confirmed uint64
}

// Copy is a node's copy of the table. It is not safe for concurrent use.
type Copy struct {
	version  Version
	termFrom time.Time
	nodes    map[ident.NodeID]*known
	changes  uint64
}

// NewCopy returns an empty copy.
func NewCopy() *Copy { return &Copy{nodes: make(map[ident.NodeID]*known)} }

// Version returns the version to name in the next renewal.
func (c *Copy) Version() Version { return c.version }

// Changes grows with each change of the list.
func (c *Copy) Changes() uint64 { return c.changes }

// Update takes the answer to a renewal.
func (c *Copy) Update(now time.Time, list []Member, v Version) {
	if v.Term < c.version.Term {
		return
	}

	if v.Term > c.version.Term {
		c.termFrom = now
	}

	c.version = v

	for i := range list {
		c.store(now, list[i], v.Term)
	}

	if now.Sub(c.termFrom) < forgetAfter {
		return
	}

	for id, k := range c.nodes {
		if k.confirmed < v.Term {
			delete(c.nodes, id)

			c.changes++
		}
	}
}

func (c *Copy) store(now time.Time, m Member, term uint64) {
	c.changes++

	if m.Gone {
		delete(c.nodes, m.Node)

		return
	}

	k, ok := c.nodes[m.Node]
	if !ok {
		k = &known{since: now}
		c.nodes[m.Node] = k
	}

	if k.member.Leaving && !m.Leaving {
		k.since = now
	}

	k.member, k.confirmed = m, term
}

// Member returns one node.
func (c *Copy) Member(id ident.NodeID) (Member, bool) {
	k, ok := c.nodes[id]
	if !ok {
		return Member{}, false
	}

	return k.member, true
}

// Len returns the number of nodes.
func (c *Copy) Len() int { return len(c.nodes) }

// Each calls f for every node with the time at which it appeared here.
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
