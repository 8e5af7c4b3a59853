package lease

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/registry"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newAnnouncement(id ident.SearcherID, domain ident.FailureDomain, region ident.Region) registry.Announcement {
	return registry.Announcement{
		Upstream: "stock-ledger", Searcher: id, Incarnation: 1, Address: "127.0.0.1:9000",
		FailureDomain: domain, Region: region, Slots: 3, Connections: 40,
	}
}

// cluster is a leader with nodes that renew and apply entries without delay.
type cluster struct {
	t      testing.TB
	leader *Leader
	reg    *registry.Registry
	now    time.Time
	nodes  []NodeInfo
}

func newCluster(t testing.TB, nodes, searchers int) *cluster {
	c := &cluster{t: t, leader: NewLeader(), reg: registry.New(), now: start.Add(time.Minute)}
	for i := range nodes {
		c.nodes = append(c.nodes, NodeInfo{
			ID: ident.NodeID(fmt.Sprintf("n%03d", i)), Incarnation: 1,
			FailureDomain: ident.FailureDomain(fmt.Sprintf("d%d", i%5)), Region: ident.Region(fmt.Sprintf("r%d", i%5%2)),
		})
	}
	for i := range searchers {
		c.register(fmt.Sprintf("s%04d", i), fmt.Sprintf("d%d", i%5), fmt.Sprintf("r%d", i%5%2))
	}

	return c
}

func (c *cluster) register(id, domain, region string) {
	a := newAnnouncement(ident.SearcherID(id), ident.FailureDomain(domain), ident.Region(region))
	if err := c.reg.Register(&a); err != nil {
		c.t.Fatalf("register %s: %v", id, err)
	}
}

// plan advances the clock by d, renews the leases of all nodes and returns the plan.
func (c *cluster) plan(d time.Duration) []control.Command {
	c.now = c.now.Add(d)
	for _, n := range c.nodes {
		if _, err := c.leader.Renew(c.now, c.now, n); err != nil {
			c.t.Fatalf("renew %s: %v", n.ID, err)
		}
	}

	return c.leader.Plan(c.now, start, c.reg)
}

// step is plan followed by applying the returned commands.
func (c *cluster) step(d time.Duration) []control.Command {
	commands := c.plan(d)
	before := c.reg.Version()
	applyLog(c.reg, commands, 0, len(commands))
	if done := c.reg.Version() - before; done != uint64(len(commands)) {
		c.t.Fatalf("%d commands of the plan were rejected", uint64(len(commands))-done)
	}

	return commands
}

// releaseMoving releases every moving searcher, as its owner does when no request is in flight.
func (c *cluster) releaseMoving() int {
	released := 0
	for _, s := range c.reg.Searchers() {
		if s.Move == registry.MoveStarted && c.reg.ReleaseOwner(s.ID, s.Epoch) == nil {
			released++
		}
	}

	return released
}

func (c *cluster) ownedCounts() map[ident.NodeID]int {
	count := map[ident.NodeID]int{}
	for _, s := range c.reg.Searchers() {
		if s.Move == registry.MoveNone {
			count[s.Owner]++
		}
	}

	return count
}

// Guards against an owner in another failure domain while the searcher's own has a node, against a
// reassignment before the owner's lease has expired, and against two commands for one change.
func TestPlanAssignsByLocality(t *testing.T) {
	c := newCluster(t, 0, 0)
	c.now = start.Add(renewalCollectionPeriod - 1)
	c.nodes = []NodeInfo{
		{ID: "n1", Incarnation: 1, FailureDomain: "dar", Region: "pwani"},
		{ID: "n2", Incarnation: 1, FailureDomain: "arusha", Region: "kaskazini"},
	}
	c.register("s1", "dar", "pwani")
	c.register("s2", "tanga", "pwani")
	c.register("s3", "mwanza", "ziwa")
	if got := c.plan(0); len(got) > 0 {
		t.Errorf("plan before the renewal collection period has passed: %+v", got)
	}
	c.step(1)
	owners := func() string {
		text := ""
		for _, s := range c.reg.Searchers() {
			text += string(s.Owner) + " "
		}

		return text
	}
	if got := owners(); got != "n1 n1 n1 " && got != "n1 n1 n2 " {
		t.Errorf("owners are %s", got)
	}
	if again := c.plan(0); len(again) > 0 {
		t.Errorf("a second plan repeats %+v", again)
	}
	c.nodes = c.nodes[1:]
	if got := c.plan(lengthen(MaxDuration, driftPercent) - 1); len(got) > 0 {
		t.Errorf("plan before the lease of n1 has expired: %+v", got)
	}
	c.step(1)
	if diff := cmp.Diff("n2 n2 n2 ", owners()); diff != "" {
		t.Errorf("owners differ (-want +got):\n%s", diff)
	}
}

// Guards against a leaving node that keeps searchers or whose searchers all move at once, against a
// searcher that changes owner before its release, and against a returning node that receives its
// searchers faster than the rebalancing rate.
func TestPlannedMoves(t *testing.T) {
	c := newCluster(t, 10, 200)
	c.step(0)
	before := c.ownedCounts()
	c.nodes[3].Leaving = true
	moved := 0
	for range 20 {
		if n := len(c.step(100 * time.Millisecond)); n > 2*defaultMaxMoves {
			t.Errorf("%d commands in one plan", n)
		}
		if n := c.releaseMoving(); n > defaultMaxMoves {
			t.Errorf("%d searchers are moving at once", n)
		} else {
			moved += n
		}
	}
	if got := c.ownedCounts(); got["n003"] != 0 || moved != before["n003"] {
		t.Errorf("the leaving node has %d searchers left of %d; %d moved", got["n003"], before["n003"], moved)
	}
	c.nodes[3].Leaving = false
	for range 10 {
		c.step(100 * time.Millisecond)
		c.releaseMoving()
	}
	if got := c.ownedCounts()["n003"]; got > 5 {
		t.Errorf("the returning node has %d searchers after a second", got)
	}
	for range 200 {
		c.step(250 * time.Millisecond)
		c.releaseMoving()
	}
	if diff := cmp.Diff(before, c.ownedCounts()); diff != "" {
		t.Errorf("owners after the return differ (-before +after):\n%s", diff)
	}
}

// Guards against moves although nothing has changed, and against moves away from a node that has
// missed renewals but whose lease is still valid.
func TestNoUnneededMoves(t *testing.T) {
	c := newCluster(t, 8, 88)
	c.step(0)
	if got := c.step(time.Second); len(got) > 0 {
		t.Errorf("plan without a change: %+v", got)
	}
	absent := c.nodes[0]
	c.nodes = c.nodes[1:]
	for range 4 {
		if got := c.step(RenewInterval); len(got) > 0 {
			t.Errorf("plan while %s misses renewals: %+v", absent.ID, got)
		}
	}
}

// Guards against a lease for an earlier incarnation of a node, for a node without an id, and from a
// leader that may have been replaced.
func TestRenewRefusals(t *testing.T) {
	c := newCluster(t, 2, 10)
	c.step(0)
	n := c.nodes[0]
	quorumAt := c.now
	later := n
	later.Incarnation = 2
	if _, err := c.leader.Renew(c.now, c.now, later); err != nil {
		t.Errorf("renewal of a later incarnation: %v", err)
	}
	c.nodes = c.nodes[1:]
	c.step(lengthen(MaxDuration, driftPercent))
	expired := n
	expired.Incarnation = 3
	for name, tc := range map[string]struct {
		quorumAt time.Time
		info     NodeInfo
		want     error
		granted  time.Duration
	}{
		"no entry committed":   {time.Time{}, expired, ErrNoQuorum, 0},
		"quorum too old":       {c.now.Add(-1961 * time.Millisecond), expired, ErrNoQuorum, 0},
		"quorum half old":      {c.now.Add(-time.Second), expired, nil, MaxDuration - 1020*time.Millisecond},
		"quorum before expiry": {quorumAt, expired, ErrNoQuorum, 0},
		"no id":                {c.now, NodeInfo{Incarnation: 1, FailureDomain: "d0"}, ErrBadNode, 0},
	} {
		granted, err := c.leader.Renew(c.now, tc.quorumAt, tc.info)
		if !errors.Is(err, tc.want) || granted != tc.granted {
			t.Errorf("%s: granted %v, error %v", name, granted, err)
		}
	}
	if _, err := c.leader.Renew(c.now, c.now, later); !errors.Is(err, ErrOldIncarnation) {
		t.Errorf("renewal of an earlier incarnation: %v", err)
	}
}

// Guards against a lease that expires early on the leader because a later grant was shorter than an
// earlier one.
func TestShorterGrantDoesNotShortenLease(t *testing.T) {
	c := newCluster(t, 2, 10)
	c.step(0)
	if _, err := c.leader.Renew(c.now, c.now.Add(-1900*time.Millisecond), c.nodes[0]); err != nil {
		t.Fatalf("renewal with an old quorum: %v", err)
	}
	c.nodes = c.nodes[1:]
	if got := c.step(lengthen(MaxDuration, driftPercent) - 1); len(got) > 0 {
		t.Errorf("plan within the first grant: %+v", got)
	}
	if got := c.step(1); len(got) == 0 {
		t.Error("no plan after the first grant")
	}
}

// Guards against a lease for an expired node between the proposal of its searchers' new owners and
// the commit, and against a fence that is never removed.
func TestFenceLastsUntilCommit(t *testing.T) {
	c := newCluster(t, 2, 10)
	c.step(0)
	n := c.nodes[0]
	c.nodes = c.nodes[1:]
	proposed := c.plan(lengthen(MaxDuration, driftPercent))
	if _, err := c.leader.Renew(c.now, c.now, n); !errors.Is(err, ErrReassigning) {
		t.Errorf("renewal before the commit: %v", err)
	}
	if again := c.leader.Plan(c.now.Add(proposalRetryInterval), start, c.reg); !cmp.Equal(proposed, again) {
		t.Errorf("a lost proposal is not repeated: %+v", again)
	}
	applyLog(c.reg, proposed, 0, len(proposed))
	c.leader.Plan(c.now, start, c.reg)
	if _, err := c.leader.Renew(c.now, c.now, n); err != nil {
		t.Errorf("renewal after the commit: %v", err)
	}
}

// Guards against a removed searcher that keeps an expired owner, is assigned another one, or gets no
// owner when it registers again.
func TestRemovedSearcher(t *testing.T) {
	c := newCluster(t, 2, 1)
	c.step(0)
	s, _ := c.reg.Searcher("s0000")
	owner := s.Owner
	applyLog(c.reg, []control.Command{control.RemoveSearcher{Searcher: s.ID, Incarnation: 1}}, 0, 1)
	if got := c.step(time.Second); len(got) > 0 {
		t.Errorf("plan while the owner has not released: %+v", got)
	}
	c.nodes = slices.DeleteFunc(c.nodes, func(n NodeInfo) bool { return n.ID == owner })
	want := []control.Command{control.AssignOwner{Searcher: s.ID, Epoch: s.Epoch}}
	if diff := cmp.Diff(want, c.step(lengthen(MaxDuration, driftPercent))); diff != "" {
		t.Errorf("plan after the owner's lease expired differs (-want +got):\n%s", diff)
	}
	if got := c.step(time.Second); len(got) > 0 {
		t.Errorf("plan for a removed searcher without an owner: %+v", got)
	}
	c.register("s0000", "d0", "r0")
	c.step(0)
	if got := c.ownedCounts(); got[c.nodes[0].ID] != 1 {
		t.Errorf("owners after the searcher registered again are %v", got)
	}
}

// Guards against a lease that is valid before the required index is applied, one that an older grant
// shortens, and one that is valid for longer than MaxDuration.
func TestHolder(t *testing.T) {
	h := NewHolder()
	if h.Valid(start) {
		t.Error("a new holder has a lease")
	}
	h.RecordGrant(start, MaxDuration, 5)
	if h.Valid(start) {
		t.Error("the lease is valid before the required index is applied")
	}
	h.SetApplied(4)
	h.RecordGrant(start.Add(time.Second), MaxDuration, 9)
	h.SetApplied(5)
	end := start.Add(1980 * time.Millisecond)
	if !h.Valid(end.Add(-1)) || h.Valid(end) || !h.Expiry().Equal(end) {
		t.Errorf("the lease ends at %v", h.Expiry())
	}
	h.SetApplied(3)
	h.SetApplied(9)
	if !h.Expiry().Equal(end.Add(time.Second)) {
		t.Errorf("the second lease ends at %v", h.Expiry())
	}
	h.RecordGrant(start, MaxDuration, 1)
	h.RecordGrant(start, time.Hour, 1)
	if !h.Expiry().Equal(end.Add(time.Second)) {
		t.Errorf("after old grants the lease ends at %v", h.Expiry())
	}
	for i := range uint64(100) {
		h.RecordGrant(start.Add(time.Minute+time.Duration(i)), MaxDuration, 100+i)
	}
	h.SetApplied(300)
	if want := start.Add(time.Minute + 99 + 1980*time.Millisecond); !h.Expiry().Equal(want) || len(h.pending) > 0 {
		t.Errorf("after many grants the lease ends at %v, %d are pending", h.Expiry(), len(h.pending))
	}
}
