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

func searcherIn(id ident.SearcherID, domain ident.FailureDomain, region ident.Region) registry.Announcement {
	return registry.Announcement{
		Upstream: "stock-ledger", Searcher: id, Incarnation: 1, Address: "127.0.0.1:9000",
		FailureDomain: domain, Region: region, Slots: 3, Connections: 40,
	}
}

// cluster is a leader with nodes that renew and apply at once.
type cluster struct {
	t     testing.TB
	l     *Leader
	reg   *registry.Registry
	now   time.Time
	nodes []NodeInfo
}

func newCluster(t testing.TB, nodes, searchers int) *cluster {
	c := &cluster{t: t, l: NewLeader(), reg: registry.New(), now: start.Add(time.Minute)}
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
	a := searcherIn(ident.SearcherID(id), ident.FailureDomain(domain), ident.Region(region))
	if err := c.reg.Register(&a); err != nil {
		c.t.Fatalf("register %s: %v", id, err)
	}
}

// plan lets some time pass, renews the nodes and returns the plan.
func (c *cluster) plan(d time.Duration) []control.Command {
	c.now = c.now.Add(d)
	for _, n := range c.nodes {
		if _, err := c.l.Renew(c.now, c.now, n); err != nil {
			c.t.Fatalf("renew %s: %v", n.ID, err)
		}
	}

	return c.l.Plan(c.now, start, c.reg)
}

// step applies the plan as well.
func (c *cluster) step(d time.Duration) []control.Command {
	commands := c.plan(d)
	before := c.reg.Version()
	applyLog(c.reg, commands, 0, len(commands))
	if done := c.reg.Version() - before; done != uint64(len(commands)) {
		c.t.Fatalf("%d commands of the plan are refused", uint64(len(commands))-done)
	}

	return commands
}

// release lets the owners of all moving searchers report that nothing is in flight.
func (c *cluster) release() int {
	released := 0
	for _, s := range c.reg.Searchers() {
		if s.Move == registry.MoveStarted && c.reg.ReleaseOwner(s.ID, s.Epoch) == nil {
			released++
		}
	}

	return released
}

func (c *cluster) owned() map[ident.NodeID]int {
	count := map[ident.NodeID]int{}
	for _, s := range c.reg.Searchers() {
		if s.Move == registry.MoveNone {
			count[s.Owner]++
		}
	}

	return count
}

// Guards against an owner in another failure domain while there is a node in the searcher's own,
// against an assignment after a loss before the lease has run out, and against two commands for
// one change.
func TestPlanAssignsByDistance(t *testing.T) {
	c := newCluster(t, 0, 0)
	c.now = start.Add(listenFor - 1)
	c.nodes = []NodeInfo{
		{ID: "n1", Incarnation: 1, FailureDomain: "dar", Region: "pwani"},
		{ID: "n2", Incarnation: 1, FailureDomain: "arusha", Region: "kaskazini"},
	}
	c.register("s1", "dar", "pwani")
	c.register("s2", "tanga", "pwani")
	c.register("s3", "mwanza", "ziwa")
	if got := c.plan(0); len(got) > 0 {
		t.Errorf("plan before the leader has listened: %+v", got)
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
	if got := c.plan(more(Term, driftPercent) - 1); len(got) > 0 {
		t.Errorf("plan before the lease of n1 has run out: %+v", got)
	}
	c.step(1)
	if diff := cmp.Diff("n2 n2 n2 ", owners()); diff != "" {
		t.Errorf("owners differ (-want +got):\n%s", diff)
	}
}

// Guards against a leaving node that keeps searchers or loses them all at once, a searcher that is
// taken from its owner before the release, and a returning node that takes its searchers faster
// than a few a second.
func TestPlannedMoves(t *testing.T) {
	c := newCluster(t, 10, 200)
	c.step(0)
	before := c.owned()
	c.nodes[3].Leaving = true
	moved := 0
	for range 20 {
		if n := len(c.step(100 * time.Millisecond)); n > 2*defaultMaxMoves {
			t.Errorf("%d commands in one plan", n)
		}
		if n := c.release(); n > defaultMaxMoves {
			t.Errorf("%d searchers are in motion at once", n)
		} else {
			moved += n
		}
	}
	if got := c.owned(); got["n003"] != 0 || moved != before["n003"] {
		t.Errorf("the leaving node has %d searchers left of %d; %d moved", got["n003"], before["n003"], moved)
	}
	c.nodes[3].Leaving = false
	for range 10 {
		c.step(100 * time.Millisecond)
		c.release()
	}
	if got := c.owned()["n003"]; got > 5 {
		t.Errorf("the returning node has %d searchers after a second", got)
	}
	for range 200 {
		c.step(250 * time.Millisecond)
		c.release()
	}
	if diff := cmp.Diff(before, c.owned()); diff != "" {
		t.Errorf("owners after the return differ (-before +after):\n%s", diff)
	}
}

// Guards against moves that start although nothing has changed, and against moves away from a node
// that has only missed renewals.
func TestNoMovesWithoutNeed(t *testing.T) {
	c := newCluster(t, 8, 88)
	c.step(0)
	if got := c.step(time.Second); len(got) > 0 {
		t.Errorf("plan without a change: %+v", got)
	}
	absent := c.nodes[0]
	c.nodes = c.nodes[1:]
	for range 4 {
		if got := c.step(RenewEvery); len(got) > 0 {
			t.Errorf("plan while %s misses renewals: %+v", absent.ID, got)
		}
	}
}

// Guards against a lease for a node that cannot be told apart from its earlier run, that the leader
// has given up, or that asks a leader which may have been replaced.
func TestRenewRefusals(t *testing.T) {
	c := newCluster(t, 2, 10)
	c.step(0)
	n := c.nodes[0]
	quorumAt := c.now
	later := n
	later.Incarnation = 2
	if _, err := c.l.Renew(c.now, c.now, later); err != nil {
		t.Errorf("renewal of a later run: %v", err)
	}
	c.nodes = c.nodes[1:]
	c.step(more(Term, driftPercent))
	lost := n
	lost.Incarnation = 3
	for name, tc := range map[string]struct {
		quorumAt time.Time
		info     NodeInfo
		want     error
		granted  time.Duration
	}{
		"no own term":     {time.Time{}, lost, ErrNoQuorum, 0},
		"quorum too old":  {c.now.Add(-1961 * time.Millisecond), lost, ErrNoQuorum, 0},
		"quorum half old": {c.now.Add(-time.Second), lost, nil, Term - 1020*time.Millisecond},
		"before this":     {quorumAt, lost, ErrNoQuorum, 0},
		"no id":           {c.now, NodeInfo{Incarnation: 1, FailureDomain: "d0"}, ErrBadNode, 0},
	} {
		granted, err := c.l.Renew(c.now, tc.quorumAt, tc.info)
		if !errors.Is(err, tc.want) || granted != tc.granted {
			t.Errorf("%s: granted %v, error %v", name, granted, err)
		}
	}
	if _, err := c.l.Renew(c.now, c.now, later); !errors.Is(err, ErrOldIncarnation) {
		t.Errorf("renewal of an earlier run: %v", err)
	}
}

// Guards against a wait that is cut short because a later grant was shorter than an earlier one.
func TestShorterGrantKeepsTheWait(t *testing.T) {
	c := newCluster(t, 2, 10)
	c.step(0)
	if _, err := c.l.Renew(c.now, c.now.Add(-1900*time.Millisecond), c.nodes[0]); err != nil {
		t.Fatalf("renewal with an old quorum: %v", err)
	}
	c.nodes = c.nodes[1:]
	if got := c.step(more(Term, driftPercent) - 1); len(got) > 0 {
		t.Errorf("plan within the first grant: %+v", got)
	}
	if got := c.step(1); len(got) == 0 {
		t.Error("no plan after the first grant")
	}
}

// Guards against a lost node that comes back between the proposal of new owners and their commit,
// and against one that is kept out for good.
func TestFenceLastsUntilTheCommit(t *testing.T) {
	c := newCluster(t, 2, 10)
	c.step(0)
	n := c.nodes[0]
	c.nodes = c.nodes[1:]
	proposed := c.plan(more(Term, driftPercent))
	if _, err := c.l.Renew(c.now, c.now, n); !errors.Is(err, ErrReassigning) {
		t.Errorf("renewal before the commit: %v", err)
	}
	if again := c.l.Plan(c.now.Add(repeatAfter), start, c.reg); !cmp.Equal(proposed, again) {
		t.Errorf("a lost proposal is not repeated: %+v", again)
	}
	applyLog(c.reg, proposed, 0, len(proposed))
	c.l.Plan(c.now, start, c.reg)
	if _, err := c.l.Renew(c.now, c.now, n); err != nil {
		t.Errorf("renewal after the commit: %v", err)
	}
}

// Guards against a removed searcher that keeps a lost owner for good, is given another one, or has none
// after its return.
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
	if diff := cmp.Diff(want, c.step(more(Term, driftPercent))); diff != "" {
		t.Errorf("plan after the loss differs (-want +got):\n%s", diff)
	}
	if got := c.step(time.Second); len(got) > 0 {
		t.Errorf("plan for a removed searcher without an owner: %+v", got)
	}
	c.register("s0000", "d0", "r0")
	c.step(0)
	if got := c.owned(); got[c.nodes[0].ID] != 1 {
		t.Errorf("owners after the return are %v", got)
	}
}

// Guards against a lease that counts before its control state is applied, one that an older grant
// makes shorter, and one that counts for longer than its term.
func TestHolder(t *testing.T) {
	h := NewHolder()
	if h.Valid(start) {
		t.Error("a new holder has a lease")
	}
	h.Renewed(start, Term, 5)
	if h.Valid(start) {
		t.Error("the lease counts before the state is applied")
	}
	h.Applied(4)
	h.Renewed(start.Add(time.Second), Term, 9)
	h.Applied(5)
	end := start.Add(1980 * time.Millisecond)
	if !h.Valid(end.Add(-1)) || h.Valid(end) || !h.Until().Equal(end) {
		t.Errorf("the lease ends at %v", h.Until())
	}
	h.Applied(3)
	h.Applied(9)
	if !h.Until().Equal(end.Add(time.Second)) {
		t.Errorf("the second lease ends at %v", h.Until())
	}
	h.Renewed(start, Term, 1)
	h.Renewed(start, time.Hour, 1)
	if !h.Until().Equal(end.Add(time.Second)) {
		t.Errorf("after old grants the lease ends at %v", h.Until())
	}
	for i := range uint64(100) {
		h.Renewed(start.Add(time.Minute+time.Duration(i)), Term, 100+i)
	}
	h.Applied(300)
	if want := start.Add(time.Minute + 99 + 1980*time.Millisecond); !h.Until().Equal(want) || len(h.pending) > 0 {
		t.Errorf("after many grants the lease ends at %v, %d wait", h.Until(), len(h.pending))
	}
}
