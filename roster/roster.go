// Package roster is a registry of the processes that have announced themselves: searchers, entry VMs and control VMs. It is
// soft state. Each control VM has a table; the tables, and the copies at entry VMs, converge by exchanging the entries that
// have changed. There is no other list of live processes.
package roster

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"fulmarfall/ident"

	"github.com/cespare/xxhash/v2"
)

// Role is the function of an instance.
type Role uint8

// Roles of instances.
const (
	RoleSearcher Role = iota + 1
	RoleEntry
	RoleControl
)

// String returns the name of the role as it appears in log lines.
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

// State indicates whether an instance accepts work. Within one lifetime the state never decreases, so that reports that
// arrive late or out of order can't revive an instance.
type State uint8

// States of an instance, in the order in which they follow each other.
const (
	StateReady State = iota
	StateLeaving
	StateGone
)

// String returns the name of the state as it appears in log lines.
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

// Links is the state of the links of an entry VM to the searchers.
type Links uint8

// States of links. LinksLimited means that only open connections work.
const (
	LinksUp Links = iota
	LinksLimited
	LinksDown
)

// String returns the name of the state as it appears in log lines.
func (l Links) String() string {
	switch l {
	case LinksUp:
		return "up"
	case LinksLimited:
		return "limited"
	case LinksDown:
		return "down"
	default:
		return "unknown"
	}
}

// InstanceID identifies an instance among those of its role.
type InstanceID string

// Instance describes one process as of its latest report.
type Instance struct {
	ID       InstanceID
	Role     Role
	Upstream ident.UpstreamID // of a searcher
	// Address is where the instance accepts connections: from nodes if it is a searcher, from callers if it is an entry VM,
	// and for traffic between nodes if it is a control VM.
	Address       string
	FailureDomain ident.FailureDomain
	// Born is the start of the lifetime in Unix milliseconds. Sequence numbers the reports within one lifetime.
	Born     uint64
	Sequence uint64
	State    State
	// Capacity is the number of requests that a searcher can run concurrently, or that an entry VM can send to searchers
	// per second.
	Capacity int
	// ColdUntil is the end of a searcher's cold start, according to its announcement.
	ColdUntil time.Time
	// Disk is the id of the disk of a control VM's voter; 0 until the voter has started.
	Disk uint64
	// Load is the number of requests that an entry VM sends to searchers per second.
	Load uint32
	// Limit is the request limit of a searcher.
	Limit RequestLimit
	// Links is the state of the links of an entry VM to the searchers.
	Links Links
	// Version is the version of a searcher's program. It does not change within a lifetime.
	Version ident.SoftwareVersion
}

// key identifies an entry. It includes the role because a searcher and an entry VM may have the same id.
type key struct {
	role Role
	id   InstanceID
}

// Times after which an instance without a report expires (TTL), and minimum times between two refreshes of an unchanged
// instance.
const (
	// searcherTTL is more than ten times the interval at which searchers report. Entry VMs detect the failure of a searcher
	// from their own traffic, so the roster need not remove it quickly.
	searcherTTL             = 18 * time.Second
	searcherRefreshInterval = 6 * time.Second
	// NodeTTL limits how long callers are directed to an entry VM that has failed. Entry and control VMs report several
	// times a second.
	NodeTTL             = 2500 * time.Millisecond
	nodeRefreshInterval = 700 * time.Millisecond
	// goneRetention is how long an instance that is gone is kept, so that late reports do not revive it. Reports can be
	// delayed by seconds.
	goneRetention = time.Minute
)

// KeyHash is a hash of the role, id and lifetime of an instance. Refreshes use it as a short key.
type KeyHash uint64

func hashOf(in *Instance) KeyHash {
	b := make([]byte, 0, 64)
	b = append(b, byte(in.Role))
	b = binary.BigEndian.AppendUint64(b, in.Born)

	return KeyHash(xxhash.Sum64(append(b, in.ID...)))
}

type entry struct {
	Instance
	hash       KeyHash
	reportedAt time.Time
	// onlyEnd is set if nothing but its end is known of the lifetime.
	onlyEnd bool
	// overtookAt is when the lifetime replaced one whose end was not known, zero if it has replaced none.
	overtookAt time.Time
	// publishedAt is when version last changed.
	publishedAt time.Time
	// version is the table version of the last change or refresh, changeVersion that of the last change, and directVersion
	// that of the last refresh by a report of the instance itself.
	version, changeVersion, directVersion uint64
}

// Table is a set of instances. It is not safe for concurrent use.
type Table struct {
	epoch   uint64
	version uint64
	entries map[key]*entry
	hashes  map[KeyHash]*entry
	// changes counts the changes that affect routing: all but refreshes.
	changes uint64
}

// NewTable returns an empty table. The epoch distinguishes the table from that of an earlier process; it must not be 0.
func NewTable(epoch uint64) *Table {
	return &Table{epoch: epoch, entries: map[key]*entry{}, hashes: map[KeyHash]*entry{}}
}

// Epoch returns the epoch that was passed to NewTable.
func (t *Table) Epoch() uint64 { return t.epoch }

// Version returns the version of the latest change or refresh that Since can return.
func (t *Table) Version() uint64 { return t.version }

// Changes returns a counter that increases with each change other than a refresh.
func (t *Table) Changes() uint64 { return t.changes }

// ApplyReport applies a report about an instance, which comes from the instance itself or from another table and was made
// age ago. Outdated reports, and those that give a lifetime another upstream, are ignored. It returns whether the report changed the
// entry, other than to refresh it.
func (t *Table) ApplyReport(now time.Time, in Instance, age time.Duration) bool {
	k := key{role: in.Role, id: in.ID}
	old, ok := t.entries[k]

	switch {
	case ok && in.Born < old.Born:
		return false
	case ok && in.Born == old.Born && in.Upstream != old.Upstream && in.State != StateGone:
		return false // A lifetime has one upstream. The report is of another writer.
	case ok && in.Born == old.Born && !supersedes(&in, &old.Instance):
		return t.applyLimit(now, old, in.Limit)
	}

	at := now.Add(-age)

	if ok && in.Born > old.Born {
		old.overtookAt, old.onlyEnd = time.Time{}, false
		if old.State != StateGone {
			old.overtookAt = now
		}
	}

	if !ok {
		old = &entry{}
		t.entries[k] = old
	}

	if at.Before(old.reportedAt) {
		at = old.reportedAt
	}

	if in.Born == old.Born && in.State < old.State {
		in.State = old.State
	}

	if in.Born == old.Born && !in.Limit.StatedAt.After(old.Limit.StatedAt) {
		in.Limit = old.Limit // The instance itself does not report the limit.
	}

	if in.Born == old.Born && in.Version == "" {
		in.Version = old.Version // A control VM of an earlier release passes the report on without it.
	}

	changed := !ok || affectsRouting(&in, &old.Instance)
	old.Instance, old.reportedAt = in, at

	switch {
	case changed:
		t.publishChange(now, old)
	case now.Sub(old.publishedAt) >= refreshIntervalOf(in.Role):
		t.publish(now, old)

		if age == 0 {
			old.directVersion = old.version
		}
	}

	return changed
}

// Refresh is a compact report that an instance is alive and unchanged. Such reports make up most of the traffic between
// tables.
type Refresh struct {
	Key      KeyHash
	Sequence uint64
	Age      time.Duration
	Load     uint32
}

// ApplyRefreshes applies refreshes from another table. It returns the keys of instances that this table does not have,
// usually because they have expired; their entries must be requested from the other one.
func (t *Table) ApplyRefreshes(now time.Time, list []Refresh) (missing []KeyHash) {
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
	if at := now.Add(-r.Age); at.After(e.reportedAt) {
		e.reportedAt = at
	}

	if now.Sub(e.publishedAt) >= refreshIntervalOf(e.Role) {
		t.publish(now, e)
	}
}

// publishChange publishes a change that affects routing.
func (t *Table) publishChange(now time.Time, e *entry) {
	delete(t.hashes, e.hash)
	e.hash = hashOf(&e.Instance)
	t.hashes[e.hash] = e
	t.changes++
	t.publish(now, e)
	e.changeVersion = e.version
}

// supersedes reports whether a report is newer than another one of the same lifetime.
func supersedes(a, b *Instance) bool {
	if a.State != b.State {
		return a.State > b.State
	}

	return a.Sequence > b.Sequence
}

// affectsRouting reports whether a and b differ in anything but the sequence number, the load, and a small difference of
// ColdUntil.
func affectsRouting(a, b *Instance) bool {
	return a.State != b.State || a.Address != b.Address || a.Upstream != b.Upstream || a.Born != b.Born ||
		a.FailureDomain != b.FailureDomain || a.Disk != b.Disk || a.Capacity != b.Capacity || coldChanged(a, b) ||
		a.Limit.differs(b.Limit) || a.Links != b.Links || a.Version != b.Version
}

// coldTolerance is the maximum difference of ColdUntil between reports of the same cold start. It is computed on arrival
// from the remaining time, so it depends on the network latency of the report.
const coldTolerance = 500 * time.Millisecond

func coldChanged(a, b *Instance) bool {
	d := a.ColdUntil.Sub(b.ColdUntil)

	return d > coldTolerance || d < -coldTolerance
}

// publish assigns a new version to an entry, so that Since returns it.
func (t *Table) publish(now time.Time, e *entry) {
	t.version++
	e.version, e.publishedAt = t.version, now
}

// MarkGone records that a lifetime of an instance has ended, and with it all earlier ones. A later lifetime is not affected. The end of
// a lifetime that is not known is kept, too, so that its reports have no effect if they arrive later; MarkGone returns false for it.
func (t *Table) MarkGone(now time.Time, role Role, id InstanceID, born uint64) (known bool) {
	e, ok := t.entries[key{role: role, id: id}]

	in := Instance{ID: id, Role: role}
	if ok {
		in = e.Instance
	}

	if ok && born < in.Born {
		return true
	}

	known = ok && born == in.Born && !e.onlyEnd

	in.Born, in.State = born, StateGone
	t.ApplyReport(now, in, 0)

	e = t.entries[key{role: role, id: id}]
	e.reportedAt, e.onlyEnd = now, !known

	return known
}

// OvertookRecently reports whether the lifetime of an instance has replaced one whose end was not known, within the time for which an end
// is kept. What arrives without a lifetime may then be of the earlier one.
func (t *Table) OvertookRecently(now time.Time, role Role, id InstanceID) bool {
	e, ok := t.entries[key{role: role, id: id}]

	return ok && !e.overtookAt.IsZero() && now.Sub(e.overtookAt) < goneRetention
}

// Expire removes the instances whose TTL has passed since their last report.
func (t *Table) Expire(now time.Time) {
	for k, e := range t.entries {
		ttl := ttlOf(e.Role)
		if e.State == StateGone {
			ttl = goneRetention
		}

		if now.Sub(e.reportedAt) >= ttl {
			delete(t.entries, k)
			delete(t.hashes, e.hash)
			t.changes++
		}
	}
}

// Cursor is the position up to which the changes of another table have been received.
type Cursor struct {
	// Epoch is that of the other table, and Version its version up to which all changes have been received.
	Epoch, Version uint64
	// Missing are the instances that the other table has refreshed and that are not in this one.
	Missing []KeyHash
}

// Advance moves the cursor past an update that has been applied. missing are the refreshed instances that were not found.
func (c *Cursor) Advance(epoch, version uint64, missing []KeyHash) {
	c.Epoch, c.Version, c.Missing = epoch, version, missing

	if len(missing) > maxUpdateEntries {
		// Most of the table has expired, as after a long pause of the process: request all of it.
		c.Version, c.Missing = 0, nil
	}
}

// Query selects the entries of a table that Since returns.
type Query struct {
	Cursor
	// Peer is set by another control VM. It receives all roles, but refreshes only of instances that report to this table;
	// it receives the others from the tables that those report to. Entry VMs, for which Peer is not set, do not receive
	// each other's entries: that traffic would grow with the square of their number.
	Peer bool
	// ControlVMsFirst is set by a node that does not know yet which control VM is nearest. If the changes do not fit into
	// one update, it receives only the control VMs, because it would fetch all other entries again from the nearest one.
	ControlVMsFirst bool
}

// Update is the result of Since.
type Update struct {
	Reports   []Report
	Refreshes []Refresh
	// Version is the version for the cursor after the update has been applied. It is below that of the table if More is
	// set.
	Version uint64
	// More is set if there are further changes.
	More bool
}

// maxUpdateEntries limits the number of changed entries in one update, which then has about 35 KB. A larger update could
// take longer than the timeout of the request, which would then be repeated without end.
const maxUpdateEntries = 250

// Since returns the changes after the cursor of the query: the entries that are missing there, the entries that have
// changed, in the order of their changes, and refreshes of the entries that were only refreshed.
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
		case e.changeVersion > version:
			changed = append(changed, e)
		case e.version > version && (!q.Peer || e.directVersion > version):
			refreshed = append(refreshed, e)
		}
	}

	u := Update{Version: t.version, More: len(changed) > maxUpdateEntries}

	// In this order, a truncated update contains every change up to its version.
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.changeVersion, b.changeVersion) })

	switch {
	case u.More && q.ControlVMsFirst:
		u.Version = version
		changed, refreshed = controlVMs(changed), nil
	case u.More:
		u.Version = changed[maxUpdateEntries-1].changeVersion
		changed, refreshed = firstPage(changed, refreshed)
	}

	slices.SortFunc(refreshed, func(a, b *entry) int { return cmp.Compare(a.hash, b.hash) })

	for _, e := range append(missing, changed...) {
		u.Reports = append(u.Reports, Report{Instance: e.Instance, Age: now.Sub(e.reportedAt)})
	}

	for _, e := range refreshed {
		u.Refreshes = append(u.Refreshes, Refresh{Key: e.hash, Sequence: e.Sequence, Age: now.Sub(e.reportedAt), Load: e.Load})
	}

	return u
}

// firstPage returns the content of an update if there are more changes than fit. It includes all control VMs, because one of
// them may be nearer to the requesting node, which then fetches the remaining changes from there. Refreshes of searchers are
// deferred; those of entry and control VMs are not, because their TTL is too short.
func firstPage(changed, refreshed []*entry) (first, refreshes []*entry) {
	first = slices.Concat(changed[:maxUpdateEntries], controlVMs(changed[maxUpdateEntries:]))

	return first, slices.DeleteFunc(refreshed, func(e *entry) bool { return e.Role == RoleSearcher })
}

func controlVMs(list []*entry) []*entry {
	return slices.DeleteFunc(slices.Clone(list), func(e *entry) bool { return e.Role != RoleControl })
}

// Size returns the number of instances, including those that are gone and not yet removed.
func (t *Table) Size() int { return len(t.entries) }

// IsolatedEntryVMs returns the number of entry VMs in service that reach no searcher.
func (t *Table) IsolatedEntryVMs() int {
	n := 0

	for _, e := range t.entries {
		if e.Role == RoleEntry && e.State == StateReady && e.Links == LinksDown {
			n++
		}
	}

	return n
}

// EntryLoad is a number of entry VMs and the sum of their loads.
type EntryLoad struct {
	VMs  int
	Load uint64
}

// EntryLoads returns the load of the entry VMs that are not gone, by failure domain.
func (t *Table) EntryLoads() map[ident.FailureDomain]EntryLoad {
	loads := map[ident.FailureDomain]EntryLoad{}

	for _, e := range t.entries {
		if e.Role == RoleEntry && e.State != StateGone {
			l := loads[e.FailureDomain]
			loads[e.FailureDomain] = EntryLoad{VMs: l.VMs + 1, Load: l.Load + uint64(e.Load)}
		}
	}

	return loads
}

// TotalLoad adds up the loads of failure domains.
func TotalLoad(loads map[ident.FailureDomain]EntryLoad) EntryLoad {
	var sum EntryLoad
	for _, l := range loads {
		sum.VMs += l.VMs
		sum.Load += l.Load
	}

	return sum
}

// Report is an instance with the age of its latest report.
type Report struct {
	Instance Instance
	Age      time.Duration
}

// Lookup returns one instance. The age is not set.
func (t *Table) Lookup(role Role, id InstanceID) (Report, bool) {
	e, ok := t.entries[key{role: role, id: id}]
	if !ok {
		return Report{}, false
	}

	return Report{Instance: e.Instance}, true
}

// Each calls f for the instances of a role, in the order of their ids, with the age of their latest reports.
func (t *Table) Each(now time.Time, role Role, f func(in *Instance, age time.Duration)) {
	list := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		if e.Role == role {
			list = append(list, e)
		}
	}

	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })

	for _, e := range list {
		f(&e.Instance, now.Sub(e.reportedAt))
	}
}

func ttlOf(r Role) time.Duration {
	if r == RoleSearcher {
		return searcherTTL
	}

	return NodeTTL
}

func refreshIntervalOf(r Role) time.Duration {
	if r == RoleSearcher {
		return searcherRefreshInterval
	}

	return nodeRefreshInterval
}
