package lease

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/registry"
)

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
		register(t, c.reg, fmt.Sprintf("s%04d", i), fmt.Sprintf("d%d", i%5), fmt.Sprintf("r%d", i%5%2))
	}

	return c
}

// step lets some time pass, renews the nodes and returns the plan after applying it.
func (c *cluster) step(d time.Duration) []control.Command {
	c.now = c.now.Add(d)
	for _, n := range c.nodes {
		if _, err := c.l.Renew(c.now, c.now, n); err != nil {
			c.t.Fatalf("renew %s: %v", n.ID, err)
		}
	}
	commands := c.l.Plan(c.now, start, c.reg)
	apply(c.t, c.reg, commands)

	return commands
}

// release lets the owners of all moving searchers report that nothing is in flight.
func (c *cluster) release() int {
	released := 0
	for _, s := range c.reg.Searchers() {
		if s.Move != registry.MoveStarted {
			continue
		}
		if err := c.reg.ReleaseOwner(s.ID, s.Epoch); err != nil {
			c.t.Fatalf("release %s: %v", s.ID, err)
		}
		released++
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
	c.now = c.now.Add(more(Term, driftPercent))
	renew(t, c.l, c.now, string(c.nodes[0].ID), "d1", "r1", 1, false)
	proposed := c.l.Plan(c.now, start, c.reg)
	if _, err := c.l.Renew(c.now, c.now, n); !errors.Is(err, ErrReassigning) {
		t.Errorf("renewal before the commit: %v", err)
	}
	if again := c.l.Plan(c.now.Add(repeatAfter), start, c.reg); !cmp.Equal(proposed, again) {
		t.Errorf("a lost proposal is not repeated: %+v", again)
	}
	apply(t, c.reg, proposed)
	c.l.Plan(c.now, start, c.reg)
	if _, err := c.l.Renew(c.now, c.now, n); err != nil {
		t.Errorf("renewal after the commit: %v", err)
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
