// Package roster keeps what is known of the processes that have announced themselves: searchers, entry VMs and control
// VMs. It is soft state. Each control VM has a table; tables and the copies at entry VMs are brought together by
// exchanging the entries that changed. Nobody else keeps a list of live processes.
package roster

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"fulmarfall/ident"

	"github.com/cespare/xxhash/v2"
)

// Role says what an instance does.
type Role uint8

// The roles.
const (
	RoleSearcher Role = iota + 1
	RoleEntry
	RoleControl
)

// String names the role in log lines.
func (r Role) String() string {
	switch r {
	case RoleSearcher:
		return "searcher"
	case RoleEntry:
		return "entry"
	case RoleControl:
		return "control"
	default:
		return "unknown"
	}
}

// State says whether an instance takes work. The states of one lifetime only ever rise: reports that arrive late, or in
// another order, bring no instance back.
type State uint8

// The states.
const (
	StateReady State = iota
	StateLeaving
	StateGone
)

// String names the state in log lines.
func (s State) String() string {
	switch s {
	case StateReady:
		return "ready"
	case StateLeaving:
		return "leaving"
	case StateGone:
		return "gone"
	default:
		return "unknown"
	}
}

// InstanceID names an instance among those of its role.
type InstanceID string

// Instance is what is known of one instance.
type Instance struct {
	ID       InstanceID
	Role     Role
	Upstream ident.UpstreamID // of a searcher
	// Address is where the instance takes requests: those of nodes at a searcher, those of callers at an entry VM, and
	// the traffic between nodes at a control VM.
	Address       string
	FailureDomain ident.FailureDomain
	// Born is the start of the lifetime, in milliseconds; Sequence counts the reports of one lifetime.
	Born     uint64
	Sequence uint64
	State    State
	// Capacity is the number of requests that a searcher runs at a time, or that an entry VM can send to searchers in a
	// second.
	Capacity int
	// ColdUntil is the time until which a searcher says that it is cold.
	ColdUntil time.Time
	// Disk identifies the disk of a control VM.
	Disk uint64
	// Load is the number of requests that an entry VM sends to searchers in a second.
	Load uint32
}

// key is unique: a searcher and an entry VM may choose the same id.
type key struct {
	role Role
	id   InstanceID
}

// Times after which an instance that was not heard of is dropped, and the shortest time between two announcements of an
// instance that has not changed.
const (
	// searcherSilence is more than ten times the interval at which searchers report. Entry nodes find out by their own
	// traffic that a searcher has gone; the table only has to forget it some time.
	searcherSilence = 18 * time.Second
	searcherRefresh = 6 * time.Second
	// nodeSilence bounds how long callers are sent to an entry VM that has failed. Entry and control VMs report several
	// times a second.
	nodeSilence = 2500 * time.Millisecond
	nodeRefresh = 700 * time.Millisecond
	// goneKept is how long the end of a lifetime is remembered, so that its late reports are recognised. Reports arrive
	// seconds late.
	goneKept = time.Minute
)

// KeyHash stands for an instance and its lifetime in refreshes.
type KeyHash uint64

func hashOf(in *Instance) KeyHash {
	b := make([]byte, 0, 64)
	b = append(b, byte(in.Role))
	b = binary.BigEndian.AppendUint64(b, in.Born)

	return KeyHash(xxhash.Sum64(append(b, in.ID...)))
}

type entry struct {
	Instance
	hash    KeyHash
	heardAt time.Time
	// publishedAt is when version last changed.
	publishedAt time.Time
	// version is the number of the last change or refresh, changed that of the last change, and direct that of the last
	// report of the instance itself.
	version, changed, direct uint64
}

// Table is a set of instances. It is not safe for concurrent use.
type Table struct {
	epoch   uint64
	version uint64
	entries map[key]*entry
	hashes  map[KeyHash]*entry
	// changes counts the changes that matter to routing: everything but refreshes.
	changes uint64
}

// NewTable returns an empty table. The epoch tells this table from one of an earlier process; it must not be 0.
func NewTable(epoch uint64) *Table {
	return &Table{epoch: epoch, entries: map[key]*entry{}, hashes: map[KeyHash]*entry{}}
}

// Epoch returns the epoch of the table.
func (t *Table) Epoch() uint64 { return t.epoch }

// Version returns the number of the last entry that Since has to pass on.
func (t *Table) Version() uint64 { return t.version }

// Changes grows with each change other than a refresh.
func (t *Table) Changes() uint64 { return t.changes }

// Heard takes a report about an instance, by itself or by another table, that was made age ago. It returns whether the
// report says anything but that the instance is still there.
func (t *Table) Heard(now time.Time, in Instance, age time.Duration) bool {
	k := key{role: in.Role, id: in.ID}
	old, ok := t.entries[k]

	switch {
	case ok && in.Born < old.Born:
		return false
	case ok && in.Born == old.Born && !supersedes(&in, &old.Instance):
		return false
	}

	at := now.Add(-age)

	if !ok {
		old = &entry{}
		t.entries[k] = old
	}

	if at.Before(old.heardAt) {
		at = old.heardAt
	}

	if in.Born == old.Born && in.State < old.State {
		in.State = old.State
	}

	changed := !ok || visible(&in, &old.Instance)
	old.Instance, old.heardAt = in, at

	switch {
	case changed:
		t.change(now, old)
	case now.Sub(old.publishedAt) >= refreshOf(in.Role):
		t.publish(now, old)

		if age == 0 {
			old.direct = old.version
		}
	}

	return changed
}

// Refresh says that an instance is still there, in a few bytes: entries that do not change are most of what travels.
type Refresh struct {
	Key      KeyHash
	Sequence uint64
	Age      time.Duration
	Load     uint32
}

// TakeRefreshes takes refreshes from another table. It returns those of instances that are not known here: this table has
// forgotten them, and has to ask the other one for their entries.
func (t *Table) TakeRefreshes(now time.Time, list []Refresh) (missing []KeyHash) {
	for _, r := range list {
		e, ok := t.hashes[r.Key]

		switch {
		case !ok:
			missing = append(missing, r.Key)
		case r.Sequence > e.Sequence:
			t.refresh(now, e, r)
		}
	}

	return missing
}

func (t *Table) refresh(now time.Time, e *entry, r Refresh) {
	e.Sequence, e.Load = r.Sequence, r.Load
	if at := now.Add(-r.Age); at.After(e.heardAt) {
		e.heardAt = at
	}

	if now.Sub(e.publishedAt) >= refreshOf(e.Role) {
		t.publish(now, e)
	}
}

// change notes a change that matters to routing.
func (t *Table) change(now time.Time, e *entry) {
	delete(t.hashes, e.hash)
	e.hash = hashOf(&e.Instance)
	t.hashes[e.hash] = e
	t.changes++
	t.publish(now, e)
	e.changed = e.version
}

// supersedes reports whether a report is newer than another one of the same lifetime.
func supersedes(a, b *Instance) bool {
	if a.State != b.State {
		return a.State > b.State
	}

	return a.Sequence > b.Sequence
}

func visible(a, b *Instance) bool {
	return a.State != b.State || a.Address != b.Address || a.Upstream != b.Upstream || a.Born != b.Born ||
		a.FailureDomain != b.FailureDomain || a.Disk != b.Disk || a.Capacity != b.Capacity || coldChanged(a, b)
}

// coldSlack is by how much two reports of the same cold time differ, because they travel for different times.
const coldSlack = 500 * time.Millisecond

func coldChanged(a, b *Instance) bool {
	d := a.ColdUntil.Sub(b.ColdUntil)

	return d > coldSlack || d < -coldSlack
}

func (t *Table) publish(now time.Time, e *entry) {
	t.version++
	e.version, e.publishedAt = t.version, now
}

// Left takes the word of an instance that it is gone. It returns false if the instance is not known.
func (t *Table) Left(now time.Time, role Role, id InstanceID) bool {
	e, ok := t.entries[key{role: role, id: id}]
	if !ok {
		return false
	}

	if e.State != StateGone {
		e.State = StateGone
		t.change(now, e)
	}

	e.heardAt = now

	return true
}

// Expire drops the instances that were not heard of for too long.
func (t *Table) Expire(now time.Time) {
	for k, e := range t.entries {
		limit := silenceOf(e.Role)
		if e.State == StateGone {
			limit = goneKept
		}

		if now.Sub(e.heardAt) >= limit {
			delete(t.entries, k)
			delete(t.hashes, e.hash)
			t.changes++
		}
	}
}

// Cursor says how much of another table has been received.
type Cursor struct {
	// Epoch is that of the other table, and Version the number up to which its entries are here.
	Epoch, Version uint64
	// Missing are instances that the other table has refreshed and that are not known here.
	Missing []KeyHash
}

// Advance notes that an answer has been taken, which left some instances missing.
func (c *Cursor) Advance(epoch, version uint64, missing []KeyHash) {
	c.Epoch, c.Version, c.Missing = epoch, version, missing

	if len(missing) > maxUpdate {
		// Most of the table is missing, as after a long freeze.
		c.Version, c.Missing = 0, nil
	}
}

// Query names the part of a table that another one asks for.
type Query struct {
	Cursor
	// Peer is set by another control VM. It gets all roles, and refreshes of those instances only that report to this
	// table: it hears of the rest from the tables to which these report. Without it the entry VMs are left out, whose
	// number would make what travels grow with its square.
	Peer bool
	// Contacts is set by a node that does not know yet which control VM is nearest. If there is more than one part, it gets
	// the control VMs and no more: all of the rest would travel again from the nearest one.
	Contacts bool
}

// Update is what has changed since.
type Update struct {
	Reports   []Report
	Refreshes []Refresh
	// Version is what the asker has after it has taken the update. It is below the table's if there is more.
	Version uint64
	// More says that there are further changes.
	More bool
}

// maxUpdate bounds the changed entries of one update, at about 35 KB: an answer that takes longer than the patience of the asker
// would be asked for again and again.
const maxUpdate = 250

// Since returns what the asker does not have yet: entries that changed, in the order of their changes, those that it
// misses, and refreshes of those that were only heard of.
func (t *Table) Since(now time.Time, q Query) Update {
	version := q.Version
	if q.Epoch != t.epoch {
		version = 0
	}

	wanted := make(map[KeyHash]bool, len(q.Missing))
	for _, h := range q.Missing {
		wanted[h] = true
	}

	var changed, missing, refreshed []*entry

	for _, e := range t.entries {
		switch {
		case !q.Peer && e.Role == RoleEntry:
		case wanted[e.hash]:
			missing = append(missing, e)
		case e.changed > version:
			changed = append(changed, e)
		case e.version > version && (!q.Peer || e.direct > version):
			refreshed = append(refreshed, e)
		}
	}

	u := Update{Version: t.version, More: len(changed) > maxUpdate}

	// By the order of changes, the asker has every entry that changed up to the version that it is told.
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.changed, b.changed) })

	switch {
	case u.More && q.Contacts:
		u.Version = version
		changed, refreshed = contacts(changed), nil
	case u.More:
		u.Version = changed[maxUpdate-1].changed
		changed, refreshed = firstPart(changed, refreshed)
	}

	slices.SortFunc(refreshed, func(a, b *entry) int { return cmp.Compare(a.hash, b.hash) })

	for _, e := range append(missing, changed...) {
		u.Reports = append(u.Reports, Report{Instance: e.Instance, Age: now.Sub(e.heardAt)})
	}

	for _, e := range refreshed {
		u.Refreshes = append(u.Refreshes, Refresh{Key: e.hash, Sequence: e.Sequence, Age: now.Sub(e.heardAt), Load: e.Load})
	}

	return u
}

// firstPart returns what goes out while there are more changes than fit. Control VMs come with the first part, because
// the asker may have a nearer one to ask for the rest. Refreshes of searchers can wait for it; nodes would be forgotten.
func firstPart(changed, refreshed []*entry) (first, refreshes []*entry) {
	first = slices.Concat(changed[:maxUpdate], contacts(changed[maxUpdate:]))

	return first, slices.DeleteFunc(refreshed, func(e *entry) bool { return e.Role == RoleSearcher })
}

func contacts(list []*entry) []*entry {
	return slices.DeleteFunc(slices.Clone(list), func(e *entry) bool { return e.Role != RoleControl })
}

// Size returns the number of instances.
func (t *Table) Size() int { return len(t.entries) }

// EntryLoad returns the number of entry VMs and the sum of their loads.
func (t *Table) EntryLoad() (count int, load uint64) {
	for _, e := range t.entries {
		if e.Role == RoleEntry && e.State != StateGone {
			count++
			load += uint64(e.Load)
		}
	}

	return count, load
}

// Report is an instance with the time since it was last heard of.
type Report struct {
	Instance Instance
	Age      time.Duration
}

// Lookup returns one instance.
func (t *Table) Lookup(role Role, id InstanceID) (Report, bool) {
	e, ok := t.entries[key{role: role, id: id}]
	if !ok {
		return Report{}, false
	}

	return Report{Instance: e.Instance}, true
}

// Each calls f for the instances of a role in the order of their ids.
func (t *Table) Each(now time.Time, role Role, f func(in *Instance, age time.Duration)) {
	list := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		if e.Role == role {
			list = append(list, e)
		}
	}

	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })

	for _, e := range list {
		f(&e.Instance, now.Sub(e.heardAt))
	}
}

func silenceOf(r Role) time.Duration {
	if r == RoleSearcher {
		return searcherSilence
	}

	return nodeSilence
}

func refreshOf(r Role) time.Duration {
	if r == RoleSearcher {
		return searcherRefresh
	}

	return nodeRefresh
}
