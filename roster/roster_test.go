package roster

import (
	"fmt"
	"testing"
	"time"

	"fulmarfall/ident"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func searcherAt(id string, born, sequence uint64, s State) Instance {
	return Instance{
		ID: InstanceID(id), Role: RoleSearcher, Upstream: "stock", Address: "10.0.0.1:80", FailureDomain: "dar",
		Born: born, Sequence: sequence, State: s,
	}
}

// stateOf returns the state of a searcher, or 99 if it is not in the table.
func stateOf(t *Table, id string) State {
	r, ok := t.Lookup(RoleSearcher, InstanceID(id))
	if !ok {
		return 99
	}

	return r.Instance.State
}

// Guards against reports that arrive late or out of order and revive an instance that has left, or that belong to an earlier
// lifetime and override the present one.
func TestLateReports(t *testing.T) {
	for name, tc := range map[string]struct {
		reports []Instance
		want    State
	}{
		"a ready report with a higher sequence after the leaving one": {
			[]Instance{searcherAt("s", 1, 1, StateReady), searcherAt("s", 1, 2, StateLeaving), searcherAt("s", 1, 3, StateReady)}, StateLeaving,
		},
		"a ready report with a lower sequence after the leaving one": {
			[]Instance{searcherAt("s", 1, 5, StateLeaving), searcherAt("s", 1, 4, StateReady)}, StateLeaving,
		},
		"the leaving report of an earlier lifetime": {
			[]Instance{searcherAt("s", 2, 1, StateReady), searcherAt("s", 1, 9, StateLeaving)}, StateReady,
		},
		"a new lifetime under the same id": {
			[]Instance{searcherAt("s", 1, 9, StateGone), searcherAt("s", 2, 1, StateReady)}, StateReady,
		},
		"a leaving report with a lower sequence than a ready one": {
			[]Instance{searcherAt("s", 1, 5, StateReady), searcherAt("s", 1, 4, StateLeaving)}, StateLeaving,
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(1)
			for _, in := range tc.reports {
				table.ApplyReport(start, in, 0)
			}

			if got := stateOf(table, "s"); got != tc.want {
				t.Errorf("state %d, want %d", got, tc.want)
			}
		})
	}
}

// exchange applies the changes of one table to another, as two nodes do over the network. complete is false if the
// other table misses refreshed instances.
func exchange(now time.Time, from, to *Table, c *Cursor, peer bool) (changes, refreshes int, complete bool) {
	u := from.Since(now, Query{Cursor: *c, Peer: peer})

	for _, r := range u.Reports {
		to.ApplyReport(now, r.Instance, r.Age)
	}

	missing := to.ApplyRefreshes(now, u.Refreshes)
	c.Advance(from.Epoch(), u.Version, missing)

	return len(u.Reports), len(u.Refreshes), len(missing) == 0
}

// Guards against a copy in which an unchanged instance expires although it reports, against full entries that are sent
// again without a change, and against refreshes that circulate between tables, which would keep a dead instance for ever.
func TestRefreshesKeepInstances(t *testing.T) {
	a, b := NewTable(1), NewTable(2)

	var fromA, fromB Cursor

	a.ApplyReport(start, searcherAt("s", 1, 1, StateReady), 0)

	if changes, _, _ := exchange(start, a, b, &fromA, true); changes != 1 {
		t.Errorf("%d full entries were sent, want 1", changes)
	}

	now := start
	for i := range 10 {
		now = now.Add(2 * time.Second)
		a.ApplyReport(now, searcherAt("s", 1, uint64(i+2), StateReady), 0)

		if changes, _, complete := exchange(now, a, b, &fromA, true); changes != 0 || !complete {
			t.Errorf("round %d: %d full entries were sent, want 0; complete %v", i, changes, complete)
		}

		if _, refreshes, _ := exchange(now, b, a, &fromB, true); refreshes != 0 {
			t.Errorf("round %d: %d refreshes of an instance that reports to another table were sent, want 0", i, refreshes)
		}

		a.Expire(now)
		b.Expire(now)
	}

	if stateOf(a, "s") != StateReady || stateOf(b, "s") != StateReady {
		t.Fatalf("states %d and %d after 20 s with reports", stateOf(a, "s"), stateOf(b, "s"))
	}

	for range 20 {
		now = now.Add(time.Second)
		exchange(now, a, b, &fromA, true)
		exchange(now, b, a, &fromB, true)
		a.Expire(now)
		b.Expire(now)
	}

	if stateOf(a, "s") != 99 || stateOf(b, "s") != 99 {
		t.Errorf("states %d and %d after 20 s without reports, want the instance removed", stateOf(a, "s"), stateOf(b, "s"))
	}
}

// Guards against a table in which instances expired during a network partition and that never receives them again, because
// the others send only refreshes; and against one that requests all entries if only a few are missing.
func TestUnknownRefreshIsRequested(t *testing.T) {
	for name, tc := range map[string]struct {
		present, expired int
		want             int // full entries sent
	}{
		"one instance":  {present: 20, expired: 1, want: 1},
		"all instances": {present: 0, expired: 20, want: 20},
		"more instances than fit into one update": {present: 20, expired: maxUpdateEntries + 1, want: maxUpdateEntries + 21},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := NewTable(1), NewTable(2)

			var cursor Cursor

			report := func(now time.Time, table *Table, from, to int, sequence uint64) {
				for i := from; i < to; i++ {
					table.ApplyReport(now, searcherAt(fmt.Sprint(i), 1, sequence, StateReady), 0)
				}
			}
			all := tc.present + tc.expired

			report(start, a, 0, all, 1)

			for cursor.Version < a.Version() {
				exchange(start, a, b, &cursor, false)
			}

			later := start.Add(searcherTTL)
			report(later, b, 0, tc.present, 2)
			b.Expire(later)
			report(later, a, 0, all, 3)

			if _, _, complete := exchange(later, a, b, &cursor, false); complete {
				t.Fatalf("refreshes of unknown instances are not reported as missing")
			}

			sent := 0

			for range 3 {
				changes, _, _ := exchange(later, a, b, &cursor, false)
				sent += changes
			}

			if diff := cmp.Diff([2]int{all, tc.want}, [2]int{b.Size(), sent}); diff != "" {
				t.Errorf("numbers of instances and of full entries sent differ (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a change of the load that is sent as a full entry: entry VMs report their load several times a second.
func TestLoadIsNotAChange(t *testing.T) {
	a, b := NewTable(1), NewTable(2)
	in := Instance{ID: "e", Role: RoleEntry, Address: "10.0.0.1:80", FailureDomain: "dar", Born: 1, Sequence: 1}
	a.ApplyReport(start, in, 0)

	var cursor Cursor

	exchange(start, a, b, &cursor, true)

	in.Sequence, in.Load = 2, 500
	now := start.Add(nodeRefreshInterval)
	a.ApplyReport(now, in, 0)

	if changes, refreshes, _ := exchange(now, a, b, &cursor, true); changes != 0 || refreshes != 1 {
		t.Errorf("%d full entries and %d refreshes were sent, want 0 and 1", changes, refreshes)
	}

	r, _ := b.Lookup(RoleEntry, "e")
	if diff := cmp.Diff(uint32(500), r.Instance.Load); diff != "" {
		t.Errorf("load differs (-want +got):\n%s", diff)
	}
}

// Guards against a table so large that no update arrives before the timeout: each update has a maximum size and continues
// where the previous one ended. Entry VMs, of which there can be hundreds, do not receive each other's entries.
func TestLargeTableIsPaged(t *testing.T) {
	const searchers, entries = 3*maxUpdateEntries + 10, 100

	a, b := NewTable(1), NewTable(2)
	for i := range searchers {
		a.ApplyReport(start, searcherAt(fmt.Sprintf("s%04d", i), 1, 1, StateReady), 0)
	}

	for i := range entries {
		a.ApplyReport(start, Instance{ID: InstanceID(fmt.Sprintf("e%d", i)), Role: RoleEntry, Born: 1, Sequence: 1, Load: 7}, 0)
	}

	// Half of the searchers have reported again, so their last change is older than their last refresh.
	later := start.Add(searcherRefreshInterval)
	for i := range searchers / 2 {
		a.ApplyReport(later, searcherAt(fmt.Sprintf("s%04d", i), 1, 2, StateReady), 0)
	}

	var cursor Cursor

	for rounds := 0; cursor.Version < a.Version(); rounds++ {
		changes, _, complete := exchange(later, a, b, &cursor, false)
		if changes > maxUpdateEntries || rounds > 10 || !complete {
			t.Fatalf("round %d: %d full entries in one update, complete %v", rounds, changes, complete)
		}
	}

	got := map[Role]int{}
	for _, role := range []Role{RoleSearcher, RoleEntry} {
		b.Each(start, role, func(*Instance, time.Duration) { got[role]++ })
	}

	if diff := cmp.Diff(map[Role]int{RoleSearcher: searchers}, got); diff != "" {
		t.Errorf("instances differ (-want +got):\n%s", diff)
	}

	if diff := cmp.Diff(EntryLoad{VMs: entries, Load: 7 * entries}, TotalLoad(a.EntryLoads())); diff != "" {
		t.Errorf("load of the entry VMs differs (-want +got):\n%s", diff)
	}
}

// Guards against a node that fetches a large table from a control VM in another region and then again from the nearest one,
// and against one that does not receive a small table because it asked for control VMs first.
func TestControlVMsAreSentFirst(t *testing.T) {
	for name, tc := range map[string]struct {
		searchers int
		want      map[Role]int
		more      bool
	}{
		"table fits into one update":  {maxUpdateEntries - 2, map[Role]int{RoleSearcher: maxUpdateEntries - 2, RoleControl: 2}, false},
		"table needs several updates": {2 * maxUpdateEntries, map[Role]int{RoleControl: 2}, true},
	} {
		t.Run(name, func(t *testing.T) {
			a := NewTable(1)
			for i := range tc.searchers {
				a.ApplyReport(start, searcherAt(fmt.Sprint(i), 1, 1, StateReady), 0)
			}

			for _, id := range []InstanceID{"near", "far"} {
				a.ApplyReport(start, Instance{ID: id, Role: RoleControl, Born: 1, Sequence: 1}, 0)
			}

			u := a.Since(start, Query{ControlVMsFirst: true})

			got := map[Role]int{}
			for _, r := range u.Reports {
				got[r.Instance.Role]++
			}

			if diff := cmp.Diff(tc.want, got); diff != "" || u.More != tc.more {
				t.Errorf("more %v, want %v; instances differ (-want +got):\n%s", u.More, tc.more, diff)
			}

			// The entries that were left out are in the next updates.
			b := NewTable(2)
			for c := (Cursor{Epoch: a.Epoch(), Version: u.Version}); c.Version < a.Version(); {
				exchange(start, a, b, &c, false)
			}

			if diff := cmp.Diff(tc.more, b.Size() > 0); diff != "" {
				t.Errorf("further instances differ (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against control VMs that do not learn that an entry VM has lost its searchers, or that it has them again.
func TestIsolationIsPropagated(t *testing.T) {
	var (
		now    = time.Unix(1000, 0)
		from   = NewTable(1)
		to     = NewTable(2)
		cursor Cursor
	)

	for sequence, links := range []Links{LinksUp, LinksLimited, LinksDown, LinksLimited, LinksUp} {
		in := Instance{ID: "e", Role: RoleEntry, Born: 1, Sequence: uint64(sequence) + 1, Links: links} //nolint:gosec // Below 5.
		if changed := from.ApplyReport(now, in, 0); !changed {
			t.Errorf("report %d is no change", sequence)
		}

		u := from.Since(now, Query{Cursor: cursor, Peer: true})
		for _, r := range u.Reports {
			to.ApplyReport(now, r.Instance, r.Age)
		}

		cursor.Advance(from.Epoch(), u.Version, nil)

		want := 0
		if links == LinksDown {
			want = 1
		}

		if r, ok := to.Lookup(RoleEntry, "e"); !ok || r.Instance.Links != links {
			t.Errorf("after report %d the other table has the links %v, want %v", sequence, r.Instance.Links, links)
		}

		if got := to.IsolatedEntryVMs(); got != want {
			t.Errorf("after report %d the other table has %d isolated entry VMs, want %d", sequence, got, want)
		}

		now = now.Add(100 * time.Millisecond)
	}
}

// Guards against a searcher whose version is lost because a control VM of an earlier release passes its report on, and against
// a change of the version that nodes do not receive.
func TestVersionOfSearcher(t *testing.T) {
	now := time.Unix(1796000000, 0)
	in := Instance{ID: "s1", Role: RoleSearcher, Address: "a", Born: 1, Sequence: 1, Version: "v1"}

	for name, tc := range map[string]struct {
		born    uint64
		version ident.SoftwareVersion
		want    ident.SoftwareVersion
		changed bool
	}{
		"passed on without it": {born: 1, want: "v1"},
		"learned later":        {born: 1, version: "v2", want: "v2", changed: true},
		"new lifetime":         {born: 2, want: "", changed: true},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(1)
			table.ApplyReport(now, in, 0)

			changed := table.ApplyReport(now, Instance{ID: "s1", Role: RoleSearcher, Address: "a", Born: tc.born, Sequence: 2, Version: tc.version}, 0)
			if r, _ := table.Lookup(RoleSearcher, "s1"); r.Instance.Version != tc.want || changed != tc.changed {
				t.Errorf("version %q, changed %v, want %q and %v", r.Instance.Version, changed, tc.want, tc.changed)
			}
		})
	}
}

// Guards against a lifetime of a searcher that is in use after its end was announced, or that is not although only an earlier one has
// ended: reports and ends arrive late, twice, in any order, and at different control VMs.
func TestLifetimesInAnyOrder(t *testing.T) {
	const lifetimes = 3

	type event struct {
		born     uint64
		sequence uint64
		state    State // StateGone if the end was announced, not reported
	}

	events := rapid.Custom(func(t *rapid.T) event {
		return event{
			born: rapid.Uint64Range(1, lifetimes).Draw(t, "born"), sequence: rapid.Uint64Range(1, 4).Draw(t, "sequence"),
			state: rapid.SampledFrom([]State{StateReady, StateLeaving, StateGone}).Draw(t, "state"),
		}
	})

	rapid.Check(t, func(t *rapid.T) {
		var (
			tables  = []*Table{NewTable(1), NewTable(2)}
			cursors = []*Cursor{{}, {}}
			last    event // the latest lifetime, and its last state
		)

		for i, e := range rapid.SliceOfN(events, 1, 12).Draw(t, "events") {
			at, now := rapid.IntRange(0, 1).Draw(t, "table"), start.Add(time.Duration(i)*time.Second)

			if e.state == StateGone {
				tables[at].MarkGone(now, RoleSearcher, "s", e.born)
			} else {
				tables[at].ApplyReport(now, searcherAt("s", e.born, e.sequence, e.state), 0)
			}

			if e.born > last.born || e.born == last.born && e.state > last.state {
				last = e
			}

			if rapid.Bool().Draw(t, "exchange") {
				exchange(now, tables[at], tables[1-at], cursors[at], true)
			}
		}

		exchange(start.Add(time.Minute/2), tables[0], tables[1], cursors[0], true)
		exchange(start.Add(time.Minute/2), tables[1], tables[0], cursors[1], true)

		for i, table := range tables {
			r, _ := table.Lookup(RoleSearcher, "s")
			if diff := cmp.Diff([]uint64{last.born, uint64(last.state)}, []uint64{r.Instance.Born, uint64(r.Instance.State)}); diff != "" {
				t.Errorf("table %d: lifetime and state differ (-want +got):\n%s", i, diff)
			}
		}
	})
}

// Guards against an end that is acknowledged although no control VM knows the lifetime, and against one that is forgotten before late
// reports have arrived.
func TestEndOfLifetime(t *testing.T) {
	for name, tc := range map[string]struct {
		known, ended uint64
		want         bool
		wantBorn     uint64
		wantState    State
	}{
		"not known":         {known: 0, ended: 5, want: false, wantBorn: 5, wantState: StateGone},
		"known":             {known: 5, ended: 5, want: true, wantBorn: 5, wantState: StateGone},
		"later one known":   {known: 6, ended: 5, want: true, wantBorn: 6, wantState: StateReady},
		"earlier one known": {known: 4, ended: 5, want: false, wantBorn: 5, wantState: StateGone},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(1)
			if tc.known > 0 {
				table.ApplyReport(start, searcherAt("s", tc.known, 1, StateReady), 0)
			}

			for range 2 { // the call may be repeated
				if got := table.MarkGone(start, RoleSearcher, "s", tc.ended); got != tc.want {
					t.Errorf("known: %v, want %v", got, tc.want)
				}
			}

			// A report of the ended lifetime is late by less than the time for which its end is kept.
			now := start.Add(goneRetention - time.Second)
			if tc.wantState == StateReady {
				table.ApplyReport(now, searcherAt("s", tc.known, 2, StateReady), 0)
			}

			table.Expire(now)
			table.ApplyReport(now, searcherAt("s", tc.ended, 9, StateReady), 0)

			r, _ := table.Lookup(RoleSearcher, "s")
			if diff := cmp.Diff([]uint64{tc.wantBorn, uint64(tc.wantState)}, []uint64{r.Instance.Born, uint64(r.Instance.State)}); diff != "" {
				t.Errorf("lifetime and state differ (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a departure without a lifetime that counts for a searcher which has just replaced an earlier lifetime of its id, and
// against one that never counts again.
func TestOvertakenLifetime(t *testing.T) {
	for name, tc := range map[string]struct {
		reports []Instance
		after   time.Duration
		want    bool
	}{
		"first lifetime":           {[]Instance{searcherAt("s", 1, 1, StateReady), searcherAt("s", 1, 2, StateReady)}, 0, false},
		"after one that was ready": {[]Instance{searcherAt("s", 1, 1, StateReady), searcherAt("s", 2, 1, StateReady)}, 0, true},
		"further reports":          {[]Instance{searcherAt("s", 1, 1, StateReady), searcherAt("s", 2, 1, StateReady), searcherAt("s", 2, 2, StateReady)}, 0, true},
		"a long time before":       {[]Instance{searcherAt("s", 1, 1, StateReady), searcherAt("s", 2, 1, StateReady)}, goneRetention, false},
		"after one that was gone":  {[]Instance{searcherAt("s", 1, 1, StateGone), searcherAt("s", 2, 1, StateReady)}, 0, false},
		"gone, then a third one":   {[]Instance{searcherAt("s", 1, 1, StateReady), searcherAt("s", 2, 1, StateGone), searcherAt("s", 3, 1, StateReady)}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(1)
			for _, in := range tc.reports {
				table.ApplyReport(start, in, 0)
			}

			if got := table.OvertookRecently(start.Add(tc.after), RoleSearcher, "s"); got != tc.want {
				t.Errorf("overtook an earlier lifetime: %v, want %v", got, tc.want)
			}
		})
	}
}
