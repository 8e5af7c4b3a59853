package lease

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/registry"
)

// rule names a rule that the simulation leaves out, to show that the property needs it.
type rule string

const (
	allRules          rule = ""
	holderDrift       rule = "holder takes the drift off"
	leaderDrift       rule = "leader adds the drift"
	quorumDrift       rule = "time since the quorum counts more"
	countFromSent     rule = "holder counts from the sending"
	grantWithinQuorum rule = "grant ends a term after the quorum"
	ownTermFirst      rule = "grant only after an entry of the own term"
	newLeaderWaits    rule = "new leader waits a term"
	applyFirst        rule = "holder applies before the lease counts"
	fenceReassigned   rule = "no grant while being reassigned"
	runsDiffer        rule = "a restarted process is another owner"
	drainFirst        rule = "old owner drains before it releases"
)

const voterCount = 3

// clock is a clock with a constant rate within the drift bound.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) at(t time.Duration) time.Time {
	return start.Add(c.offset + time.Duration(float64(t)*c.rate))
}

type event struct {
	at time.Duration
	do func()
}

// sim is a model of voters, leaders and nodes in true time. Consensus is taken as given: entries
// that a majority of voters stores are committed and known to every later leader.
type sim struct {
	without rule
	rng     *rand.Rand
	now     time.Duration
	events  []event // in order of time
	// Short delays make small gaps between leases visible; long delays between voters make the
	// time between a proposal and its commit long.
	nodeDelay, voterDelay time.Duration
	// extreme gives nodes slow clocks, which makes their leases as long as they can be.
	extreme       bool
	terms         [voterCount]int
	leaders       []*leadership
	nodes         []*nodeRun
	committed     []control.Command
	losses, moves int
	violation     string
}

// leadership is one voter's time as leader, from its own point of view. It may go on after another
// voter has been elected.
type leadership struct {
	s               *sim
	voter, term     int
	clk             clock
	dead            bool
	lead            *Leader
	since, quorumAt time.Time
	base            int // entries committed before
	entries         []control.Command
	noop            int // index in entries of its own first entry
	known           int // commit index that it knows, and has applied
	reg             *registry.Registry
}

// nodeRun is one run of a node's process. A crashed run stays in the model: its last requests may
// still run at the searcher until the lease that they started under ends.
type nodeRun struct {
	s            *sim
	info         NodeInfo
	clk          clock
	crashed, cut bool
	// stuck is the leader that the node goes on talking to, if it is not nil.
	stuck   *leadership
	holder  *Holder
	applied int
	reg     *registry.Registry
	drained map[ident.Epoch]bool
}

func newSim(seed uint64, without rule) *sim {
	s := &sim{without: without, rng: rand.New(rand.NewPCG(seed, 1))}
	delays := []time.Duration{time.Millisecond, time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond}
	s.nodeDelay, s.voterDelay = delays[s.rng.IntN(3)], delays[s.rng.IntN(4)]
	s.extreme = s.rng.IntN(2) > 0
	for _, id := range []ident.SearcherID{"s0", "s1"} {
		s.committed = append(s.committed, control.RegisterSearcher{Announcement: searcherIn(id, "iasi", "moldova")})
	}
	for i := range 3 {
		s.startNode(ident.NodeID(fmt.Sprintf("n%d", i)), 1)
	}
	s.elect()
	s.after(s.upTo(3*time.Second), s.fault)

	return s
}

func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d) + 1)) }

func (s *sim) after(d time.Duration, do func()) {
	at := s.now + d
	i, _ := slices.BinarySearchFunc(s.events, at+1, func(e event, at time.Duration) int { return cmp.Compare(e.at, at) })
	s.events = slices.Insert(s.events, i, event{at: at, do: do})
}

// send delivers a message late, twice or not at all.
func (s *sim) send(longest time.Duration, do func()) {
	delay := s.upTo(longest)
	switch s.rng.IntN(40) {
	case 0, 1:
		return
	case 2:
		delay = s.upTo(3 * time.Second)
	case 3:
		s.after(s.upTo(3*time.Second), do)
	}
	s.after(delay, do)
}

func (s *sim) newClock(slow bool) clock {
	rates := []float64{0.99, 0.99, 1, 1.01, 1.01}
	if slow {
		rates = rates[:1]
	}

	return clock{offset: s.upTo(time.Hour), rate: rates[s.rng.IntN(len(rates))]}
}

func (s *sim) run(length time.Duration) {
	for len(s.events) > 0 && s.now < length && s.violation == "" {
		e := s.events[0]
		s.events = s.events[1:]
		s.now = e.at
		e.do()
		s.check()
	}
}

// check looks for a searcher to which two runs may have requests under way. A run stops being one
// of them only as time passes, so a look after each event misses nothing.
func (s *sim) check() {
	// A crashed run whose lease has ended never has another.
	s.nodes = slices.DeleteFunc(s.nodes, func(n *nodeRun) bool { return n.crashed && !n.holder.Valid(n.clk.at(s.now)) })
	for _, id := range []ident.SearcherID{"s0", "s1"} {
		var first *nodeRun
		for _, n := range s.nodes {
			if !n.occupies(id) {
				continue
			}
			if first != nil {
				s.violation = fmt.Sprintf("at %v %s and %s (runs %d and %d) may both send to %s",
					s.now, first.info.ID, n.info.ID, first.info.Incarnation, n.info.Incarnation, id)
			}
			first = n
		}
	}
}

// fault makes one thing fail and plans the next fault.
func (s *sim) fault() {
	s.after(s.upTo(4*time.Second), s.fault)
	if len(s.nodes) == 0 {
		return
	}
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	last := s.leaders[len(s.leaders)-1]
	switch s.rng.IntN(6) {
	case 0:
		s.elect()
	case 1:
		last.dead = true
		s.after(s.upTo(2*time.Second), s.elect)
	case 2:
		if !n.crashed {
			n.crashed = true
			s.after(s.upTo(4*time.Second), func() { s.startNode(n.info.ID, n.info.Incarnation+1) })
		}
	case 3:
		n.info.Leaving = !n.info.Leaving
	case 4:
		// The node hears nothing until its searchers are being given to others, or have been. It
		// may come back just as another voter becomes leader.
		n.cut = true
		s.after(1500*time.Millisecond+s.upTo(time.Second), func() {
			n.cut = false
			if s.rng.IntN(3) == 0 {
				s.elect()
			}
			for i := range 20 {
				s.after(time.Duration(i)*20*time.Millisecond, n.ask)
			}
		})
	case 5:
		// The node stays with a leader that is cut off from the other voters.
		n.stuck = last
		s.elect()
		s.after(4*time.Second, func() { n.stuck = nil })
	}
}

// elect makes a voter leader with the vote of one other.
func (s *sim) elect() {
	c := s.rng.IntN(voterCount)
	if n := len(s.leaders); n > 0 && s.rng.IntN(2) == 0 {
		c = (s.leaders[n-1].voter + 1) % voterCount
	}
	other := (c + 1 + s.rng.IntN(voterCount-1)) % voterCount
	term := max(s.terms[0], s.terms[1], s.terms[2]) + 1
	s.terms[c], s.terms[other] = term, term
	l := &leadership{
		s: s, voter: c, term: term, clk: s.newClock(s.extreme && s.rng.IntN(2) == 0), lead: NewLeader(), base: len(s.committed), reg: registry.New(),
	}
	if len(s.leaders) > 0 {
		// The new leader has a part of what the last one had not committed.
		if p := s.leaders[len(s.leaders)-1]; p.base+len(p.entries) > l.base {
			rest := p.entries[l.base-p.base:]
			l.entries = append(l.entries, rest[:s.rng.IntN(len(rest)+1)]...)
		}
	}
	for _, old := range s.leaders {
		old.dead = old.dead || old.voter == c || old.voter == other
	}
	l.since = l.clk.at(s.now)
	if s.without == newLeaderWaits {
		l.since = l.since.Add(-time.Hour)
	}
	if s.without == leaderDrift {
		l.lead.drift = 0
	}
	if s.without == quorumDrift {
		l.lead.elapsed = 0
	}
	l.noop = len(l.entries)
	l.entries = append(l.entries, nil)
	s.leaders = append(s.leaders, l)
	l.heartbeat()
	l.plan()
}

func (l *leadership) ready() bool { return l.known > l.base+l.noop }

// heartbeat runs rounds of replication. A round may come before the entries do.
func (l *leadership) heartbeat() {
	// A leader without a quorum for this long grants nothing any more.
	l.dead = l.dead || !l.quorumAt.IsZero() && l.clk.at(l.s.now).Sub(l.quorumAt) > 3*time.Second
	if l.dead {
		return
	}
	l.replicate(len(l.entries) * l.s.rng.IntN(2))
	l.s.after(min(100*time.Millisecond, 10*l.s.voterDelay), l.heartbeat)
}

// replicate asks the other voters whether they follow, and offers them some entries.
func (l *leadership) replicate(have int) {
	started := l.clk.at(l.s.now)
	for v := range voterCount {
		if v == l.voter {
			continue
		}
		l.s.send(l.s.voterDelay, func() {
			if l.s.terms[v] > l.term {
				return
			}
			l.s.terms[v] = l.term
			// The leader and this voter are a majority of three.
			if l.s.terms[l.voter] == l.term && l.base+have > len(l.s.committed) {
				l.s.committed = append(l.s.committed[:l.base], l.entries[:have]...)
			}
			l.s.send(l.s.voterDelay, func() { l.acknowledged(started, have) })
		})
	}
}

func (l *leadership) acknowledged(started time.Time, have int) {
	if l.dead {
		return
	}
	if started.After(l.quorumAt) {
		l.quorumAt = started
	}
	if have == 0 || l.base+have <= l.known {
		return
	}
	l.known = applyLog(l.reg, l.s.committed, l.known, l.base+have)
	for _, n := range l.s.nodes {
		upTo := l.known
		l.s.send(l.s.nodeDelay, func() { n.apply(upTo) })
	}
}

func (l *leadership) plan() {
	if l.dead {
		return
	}
	if l.ready() {
		for _, c := range l.lead.Plan(l.clk.at(l.s.now), l.since, l.reg) {
			switch c := c.(type) {
			case control.AssignOwner:
				if s, _ := l.reg.Searcher(c.Searcher); s.Owner != "" {
					l.s.losses++
				}
			case control.MoveOwner:
				l.s.moves++
			}
			l.entries = append(l.entries, c)
		}
		if l.s.without == fenceReassigned {
			clear(l.lead.fenced)
		}
		if l.base+len(l.entries) > l.known {
			l.replicate(len(l.entries))
		}
	}
	l.s.after(5*time.Millisecond, l.plan)
}

// renew answers a renewal as the leader sees it.
func (l *leadership) renew(n *nodeRun, info NodeInfo, sent time.Time) {
	if l.dead {
		return
	}
	now, quorumAt := l.clk.at(l.s.now), l.quorumAt
	if l.s.without == grantWithinQuorum {
		quorumAt = now
	}
	if !l.ready() && l.s.without != ownTermFirst {
		quorumAt = time.Time{}
	}
	granted, err := l.lead.Renew(now, quorumAt, info)
	if err != nil {
		return
	}
	mustApply, upTo := uint64(l.known), l.known //nolint:gosec // Small.
	if l.s.without == applyFirst {
		mustApply = 0
	}
	l.s.send(l.s.nodeDelay, func() {
		if n.crashed || n.cut {
			return
		}
		if l.s.rng.IntN(2) > 0 {
			n.apply(upTo)
		} else {
			l.s.send(l.s.nodeDelay, func() { n.apply(upTo) })
		}
		if l.s.without == countFromSent {
			sent = n.clk.at(l.s.now)
		}
		n.holder.Renewed(sent, granted, mustApply)
	})
}

func (s *sim) startNode(id ident.NodeID, inc ident.Incarnation) {
	n := &nodeRun{
		s: s, info: NodeInfo{ID: id, Incarnation: inc, FailureDomain: "iasi", Region: "moldova"},
		clk: s.newClock(s.extreme), holder: NewHolder(), reg: registry.New(), drained: map[ident.Epoch]bool{},
	}
	if s.without == runsDiffer {
		n.info.Incarnation = 1
	}
	if s.without == holderDrift {
		n.holder.drift = 0
	}
	s.nodes = append(s.nodes, n)
	n.renew()
}

func (n *nodeRun) renew() {
	if n.crashed {
		return
	}
	n.ask()
	n.s.after(RenewEvery, n.renew)
}

// ask sends one renewal. One in five still goes to the leader before.
func (n *nodeRun) ask() {
	l := n.s.leaders
	if n.crashed || n.cut || len(l) == 0 {
		return
	}
	to := l[max(0, len(l)-1-n.s.rng.IntN(5)/4)]
	if n.stuck != nil {
		to = n.stuck
	}
	sent, info := n.clk.at(n.s.now), n.info
	n.s.send(n.s.nodeDelay, func() { to.renew(n, info, sent) })
}

func (n *nodeRun) apply(upTo int) {
	if n.crashed || n.cut || upTo <= n.applied {
		return
	}
	n.applied = applyLog(n.reg, n.s.committed, n.applied, upTo)
	n.holder.Applied(uint64(n.applied)) //nolint:gosec // Small.
	for _, s := range n.reg.Searchers() {
		if s.Move == registry.MoveStarted && n.owns(s) && !n.drained[s.Epoch] {
			n.s.after(n.s.upTo(300*time.Millisecond), func() { n.release(s.ID, s.Epoch) })
			if n.s.without == drainFirst {
				n.propose(control.ReleaseOwner{Searcher: s.ID, Epoch: s.Epoch})
			}
		}
	}
}

func (n *nodeRun) owns(s *registry.Searcher) bool {
	return s.Owner == n.info.ID && s.OwnerIncarnation == n.info.Incarnation
}

func (n *nodeRun) release(id ident.SearcherID, epoch ident.Epoch) {
	s, ok := n.reg.Searcher(id)
	if n.crashed || !ok || s.Epoch != epoch || s.Move != registry.MoveStarted {
		return
	}
	n.drained[epoch] = true
	n.propose(control.ReleaseOwner{Searcher: id, Epoch: epoch})
	n.s.after(500*time.Millisecond, func() { n.release(id, epoch) })
}

func (n *nodeRun) propose(c control.Command) {
	l := n.s.leaders[len(n.s.leaders)-1]
	n.s.send(n.s.nodeDelay, func() {
		if !l.dead {
			l.entries = append(l.entries, c)
		}
	})
}

// occupies reports whether the run may have requests under way at a searcher.
func (n *nodeRun) occupies(id ident.SearcherID) bool {
	s, ok := n.reg.Searcher(id)
	return ok && n.holder.Valid(n.clk.at(n.s.now)) && n.owns(s) && !n.drained[s.Epoch]
}

// applyLog applies the entries from one index up to another. Refusals are part of the log.
func applyLog(reg *registry.Registry, log []control.Command, from, to int) int {
	for ; from < to; from++ {
		switch c := log[from].(type) {
		case control.RegisterSearcher:
			_ = reg.Register(&c.Announcement)
		case control.RemoveSearcher:
			_ = reg.Remove(c.Searcher, c.Incarnation)
		case control.AssignOwner:
			_, _ = reg.AssignOwner(c.Searcher, c.Epoch, c.Owner, c.Incarnation)
		case control.MoveOwner:
			_ = reg.MoveOwner(c.Searcher, c.Epoch, c.To)
		case control.ReleaseOwner:
			_ = reg.ReleaseOwner(c.Searcher, c.Epoch)
		}
	}

	return from
}
