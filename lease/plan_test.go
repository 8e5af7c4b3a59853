package lease

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/registry"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func register(t testing.TB, reg *registry.Registry, id, domain, region string) {
	t.Helper()
	err := reg.Register(&registry.Announcement{
		Upstream: "fair-gate", Searcher: ident.SearcherID(id), Incarnation: 1, Address: "127.0.0.1:9000",
		FailureDomain: ident.FailureDomain(domain), Region: ident.Region(region), Slots: 3, Connections: 40,
	})
	if err != nil {
		t.Fatalf("register %s: %v", id, err)
	}
}

func renew(t testing.TB, l *Leader, now time.Time, id, domain, region string, inc ident.Incarnation, leaving bool) {
	t.Helper()
	_, err := l.Renew(now, now, NodeInfo{
		ID: ident.NodeID(id), Incarnation: inc, FailureDomain: ident.FailureDomain(domain), Region: ident.Region(region), Leaving: leaving,
	})
	if err != nil {
		t.Fatalf("renew %s: %v", id, err)
	}
}

// apply applies the commands of a plan and returns the searchers that they are about.
func apply(t testing.TB, reg *registry.Registry, commands []control.Command) {
	t.Helper()
	for _, c := range commands {
		var err error
		switch c := c.(type) {
		case control.AssignOwner:
			_, err = reg.AssignOwner(c.Searcher, c.Epoch, c.Owner, c.Incarnation)
		case control.MoveOwner:
			err = reg.MoveOwner(c.Searcher, c.Epoch, c.To)
		default:
			t.Fatalf("plan holds a %T", c)
		}
		if err != nil {
			t.Fatalf("apply %+v: %v", c, err)
		}
	}
}

// Guards against an owner in another failure domain while there is a node in the searcher's own,
// against an assignment after a loss before the lease has run out, and against two commands for
// one change.
func TestPlanAssignsByDistance(t *testing.T) {
	reg := registry.New()
	register(t, reg, "s1", "dar", "pwani")
	register(t, reg, "s2", "tanga", "pwani")
	register(t, reg, "s3", "mwanza", "ziwa")
	l := NewLeader()
	now := start.Add(listenFor)
	renew(t, l, now, "n1", "dar", "pwani", 1, false)
	renew(t, l, now, "n2", "arusha", "kaskazini", 1, false)
	if got := l.Plan(now.Add(-1), start, reg); len(got) > 0 {
		t.Errorf("plan before the leader has listened: %+v", got)
	}
	got := l.Plan(now, start, reg)
	owners := map[ident.SearcherID]ident.NodeID{}
	for _, c := range got {
		a, _ := c.(control.AssignOwner)
		owners[a.Searcher] = a.Owner
	}
	if owners["s1"] != "n1" || owners["s2"] != "n1" || owners["s3"] == "" {
		t.Errorf("owners are %v", owners)
	}
	if again := l.Plan(now, start, reg); len(again) > 0 {
		t.Errorf("a second plan repeats %+v", again)
	}
	apply(t, reg, got)
	lost := now.Add(more(Term, driftPercent))
	renew(t, l, lost, "n2", "arusha", "kaskazini", 1, false)
	if got := l.Plan(lost.Add(-1), start, reg); len(got) > 0 {
		t.Errorf("plan before the lease of n1 has run out: %+v", got)
	}
	apply(t, reg, l.Plan(lost, start, reg))
	for _, s := range reg.Searchers() {
		if diff := cmp.Diff(ident.NodeID("n2"), s.Owner); diff != "" {
			t.Errorf("owner of %s differs (-want +got):\n%s", s.ID, diff)
		}
	}
}
