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

// rule is a rule of the protocol that the simulation can omit, to show that the property needs it.
type rule string

const (
	allRules             rule = ""
	holderDrift          rule = "holder shortens the lease by the drift"
	leaderDrift          rule = "leader extends the lease by the drift"
	quorumDrift          rule = "time since the quorum is extended by the drift"
	countFromSent        rule = "holder measures the lease from sending the renewal"
	grantWithinQuorum    rule = "grant ends a lease duration after the quorum"
	ownTermFirst         rule = "leader grants only after committing an entry of its own term"
	newLeaderWaits       rule = "new leader waits for a lease duration"
	applyFirst           rule = "lease is valid only after the required index is applied"
	fenceReassigned      rule = "no grant while searchers are being reassigned"
	distinctIncarnations rule = "a restarted process has a new incarnation"
	drainFirst           rule = "owner drains before it releases"
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

// sim is a discrete-event model of voters, leaders and nodes in true time. It assumes a correct
// consensus protocol: an entry stored by a majority of voters is committed and every later leader
// has it.
type sim struct {
	omitted rule
	rng     *rand.Rand
	now     time.Duration
	events  []event // ordered by time
	// Short delays expose small overlaps between leases; long delays between voters lengthen the
	// time between a proposal and its commit.
	nodeDelay, voterDelay time.Duration
	// slowNodes gives all nodes slow clocks, which makes their leases as long as possible.
	slowNodes            bool
	terms                [voterCount]int
	leaders              []*leadership
	nodes                []*nodeRun
	committed            []control.Command
	reassignments, moves int
	violation            string
}

// leadership is one voter's term as leader, from its own point of view. It may continue after
// another voter has been elected.
type leadership struct {
	s               *sim
	voter, term     int
	clk             clock
	stopped         bool
	leases          *Leader
	since, quorumAt time.Time
	base            int // number of entries committed before the election
	entries         []control.Command
	noop            int // index in entries of the first entry of its own term
	commitIndex     int // also its applied index
	reg             *registry.Registry
}

// nodeRun is one run of a node's process. A crashed run stays in the model: its last requests may
// run at the searcher until the lease under which they were sent expires.
type nodeRun struct {
	s                    *sim
	info                 NodeInfo
	clk                  clock
	crashed, partitioned bool
	// staleLeader is the leader to which the node sends its renewals, or nil for a recent leader.
	staleLeader *leadership
	holder      *Holder
	applied     int
	reg         *registry.Registry
	drained     map[ident.Epoch]bool
}

func newSim(seed uint64, omitted rule) *sim {
	s := &sim{omitted: omitted, rng: rand.New(rand.NewPCG(seed, 1))}
	delays := []time.Duration{time.Millisecond, time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond}
	s.nodeDelay, s.voterDelay = delays[s.rng.IntN(3)], delays[s.rng.IntN(4)]
	s.slowNodes = s.rng.IntN(2) > 0
	for _, id := range []ident.SearcherID{"s0", "s1"} {
		s.committed = append(s.committed, control.RegisterSearcher{Announcement: newAnnouncement(id, "iasi", "moldova")})
	}
	for i := range 3 {
		s.startNode(ident.NodeID(fmt.Sprintf("n%d", i)), 1)
	}
	s.elect()
	s.after(s.random(3*time.Second), s.injectFault)

	return s
}

// random draws a duration between 0 and d, inclusive.
func (s *sim) random(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d) + 1)) }

func (s *sim) after(d time.Duration, do func()) {
	at := s.now + d
	i, _ := slices.BinarySearchFunc(s.events, at+1, func(e event, at time.Duration) int { return cmp.Compare(e.at, at) })
	s.events = slices.Insert(s.events, i, event{at: at, do: do})
}

// send delivers a message after a random delay of at most longest. One message in 20 is lost, one in
// 40 is delayed by up to 3 s and one in 40 is duplicated.
func (s *sim) send(longest time.Duration, do func()) {
	delay := s.random(longest)
	switch s.rng.IntN(40) {
	case 0, 1:
		return
	case 2:
		delay = s.random(3 * time.Second)
	case 3:
		s.after(s.random(3*time.Second), do)
	}
	s.after(delay, do)
}

func (s *sim) newClock(slow bool) clock {
	rates := []float64{0.99, 0.99, 1, 1.01, 1.01}
	if slow {
		rates = rates[:1]
	}

	return clock{offset: s.random(time.Hour), rate: rates[s.rng.IntN(len(rates))]}
}

func (s *sim) run(length time.Duration) {
	for len(s.events) > 0 && s.now < length && s.violation == "" {
		e := s.events[0]
		s.events = s.events[1:]
		s.now = e.at
		e.do()
		s.checkExclusive()
	}
}

// checkExclusive records a violation if two runs may have requests in flight to the same searcher.
// Between events a run can only lose its lease, never gain one, so checking after each event is
// sufficient.
func (s *sim) checkExclusive() {
	// A crashed run never renews, so it can be dropped once its lease has expired.
	s.nodes = slices.DeleteFunc(s.nodes, func(n *nodeRun) bool { return n.crashed && !n.holder.Valid(n.clk.at(s.now)) })
	for _, id := range []ident.SearcherID{"s0", "s1"} {
		var first *nodeRun
		for _, n := range s.nodes {
			if !n.mayHaveRequests(id) {
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

// injectFault injects one random fault and schedules the next.
func (s *sim) injectFault() {
	s.after(s.random(4*time.Second), s.injectFault)
	if len(s.nodes) == 0 {
		return
	}
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	last := s.leaders[len(s.leaders)-1]
	switch s.rng.IntN(6) {
	case 0:
		s.elect()
	case 1:
		last.stopped = true
		s.after(s.random(2*time.Second), s.elect)
	case 2:
		if !n.crashed {
			n.crashed = true
			s.after(s.random(4*time.Second), func() { s.startNode(n.info.ID, n.info.Incarnation+1) })
		}
	case 3:
		n.info.Leaving = !n.info.Leaving
	case 4:
		// The node is partitioned until its searchers are being reassigned or have been. It may
		// reconnect just as another voter becomes leader.
		n.partitioned = true
		s.after(1500*time.Millisecond+s.random(time.Second), func() {
			n.partitioned = false
			if s.rng.IntN(3) == 0 {
				s.elect()
			}
			for i := range 20 {
				s.after(time.Duration(i)*20*time.Millisecond, n.sendRenewal)
			}
		})
	case 5:
		// The node keeps renewing at a leader that another voter replaces.
		n.staleLeader = last
		s.elect()
		s.after(4*time.Second, func() { n.staleLeader = nil })
	}
}

// elect makes a voter the leader, with the vote of one other voter.
func (s *sim) elect() {
	candidate := s.rng.IntN(voterCount)
	if n := len(s.leaders); n > 0 && s.rng.IntN(2) == 0 {
		candidate = (s.leaders[n-1].voter + 1) % voterCount
	}
	other := (candidate + 1 + s.rng.IntN(voterCount-1)) % voterCount
	term := max(s.terms[0], s.terms[1], s.terms[2]) + 1
	s.terms[candidate], s.terms[other] = term, term
	l := &leadership{
		s: s, voter: candidate, term: term, clk: s.newClock(s.slowNodes && s.rng.IntN(2) == 0), leases: NewLeader(), base: len(s.committed), reg: registry.New(),
	}
	if len(s.leaders) > 0 {
		// The new leader has a prefix of its predecessor's uncommitted entries.
		if p := s.leaders[len(s.leaders)-1]; p.base+len(p.entries) > l.base {
			uncommitted := p.entries[l.base-p.base:]
			l.entries = append(l.entries, uncommitted[:s.rng.IntN(len(uncommitted)+1)]...)
		}
	}
	for _, old := range s.leaders {
		old.stopped = old.stopped || old.voter == candidate || old.voter == other
	}
	l.since = l.clk.at(s.now)
	if s.omitted == newLeaderWaits {
		l.since = l.since.Add(-time.Hour)
	}
	if s.omitted == leaderDrift {
		l.leases.driftMargin = 0
	}
	if s.omitted == quorumDrift {
		l.leases.elapsedMargin = 0
	}
	l.noop = len(l.entries)
	l.entries = append(l.entries, nil)
	s.leaders = append(s.leaders, l)
	l.heartbeat()
	l.plan()
}

func (l *leadership) ready() bool { return l.commitIndex > l.base+l.noop }

// heartbeat runs periodic replication rounds, with or without the leader's entries.
func (l *leadership) heartbeat() {
	// A leader that has had no quorum for this long can grant no leases.
	l.stopped = l.stopped || !l.quorumAt.IsZero() && l.clk.at(l.s.now).Sub(l.quorumAt) > 3*time.Second
	if l.stopped {
		return
	}
	l.replicate(len(l.entries) * l.s.rng.IntN(2))
	l.s.after(min(100*time.Millisecond, 10*l.s.voterDelay), l.heartbeat)
}

// replicate sends a heartbeat to the other voters with the first count entries.
func (l *leadership) replicate(count int) {
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
			// The leader and this voter form a majority of three.
			if l.s.terms[l.voter] == l.term && l.base+count > len(l.s.committed) {
				l.s.committed = append(l.s.committed[:l.base], l.entries[:count]...)
			}
			l.s.send(l.s.voterDelay, func() { l.acknowledged(started, count) })
		})
	}
}

func (l *leadership) acknowledged(started time.Time, count int) {
	if l.stopped {
		return
	}
	if started.After(l.quorumAt) {
		l.quorumAt = started
	}
	if count == 0 || l.base+count <= l.commitIndex {
		return
	}
	l.commitIndex = applyLog(l.reg, l.s.committed, l.commitIndex, l.base+count)
	for _, n := range l.s.nodes {
		upTo := l.commitIndex
		l.s.send(l.s.nodeDelay, func() { n.apply(upTo) })
	}
}

func (l *leadership) plan() {
	if l.stopped {
		return
	}
	if l.ready() {
		for _, c := range l.leases.Plan(l.clk.at(l.s.now), l.since, l.reg) {
			switch c := c.(type) {
			case control.AssignOwner:
				if s, _ := l.reg.Searcher(c.Searcher); s.Owner != "" {
					l.s.reassignments++
				}
			case control.MoveOwner:
				l.s.moves++
			}
			l.entries = append(l.entries, c)
		}
		if l.s.omitted == fenceReassigned {
			clear(l.leases.fenced)
		}
		if l.base+len(l.entries) > l.commitIndex {
			l.replicate(len(l.entries))
		}
	}
	l.s.after(5*time.Millisecond, l.plan)
}

// renew handles a renewal at the leader and sends the reply.
func (l *leadership) renew(n *nodeRun, info NodeInfo, sent time.Time) {
	if l.stopped {
		return
	}
	now, quorumAt := l.clk.at(l.s.now), l.quorumAt
	if l.s.omitted == grantWithinQuorum {
		quorumAt = now
	}
	if !l.ready() && l.s.omitted != ownTermFirst {
		quorumAt = time.Time{}
	}
	granted, err := l.leases.Renew(now, quorumAt, info)
	if err != nil {
		return
	}
	mustApply, upTo := uint64(l.commitIndex), l.commitIndex //nolint:gosec // Small.
	if l.s.omitted == applyFirst {
		mustApply = 0
	}
	l.s.send(l.s.nodeDelay, func() {
		if n.crashed || n.partitioned {
			return
		}
		if l.s.rng.IntN(2) > 0 {
			n.apply(upTo)
		} else {
			l.s.send(l.s.nodeDelay, func() { n.apply(upTo) })
		}
		if l.s.omitted == countFromSent {
			sent = n.clk.at(l.s.now)
		}
		n.holder.RecordGrant(sent, granted, mustApply)
	})
}

func (s *sim) startNode(id ident.NodeID, incarnation ident.Incarnation) {
	n := &nodeRun{
		s: s, info: NodeInfo{ID: id, Incarnation: incarnation, FailureDomain: "iasi", Region: "moldova"},
		clk: s.newClock(s.slowNodes), holder: NewHolder(), reg: registry.New(), drained: map[ident.Epoch]bool{},
	}
	if s.omitted == distinctIncarnations {
		n.info.Incarnation = 1
	}
	if s.omitted == holderDrift {
		n.holder.driftMargin = 0
	}
	s.nodes = append(s.nodes, n)
	n.renew()
}

func (n *nodeRun) renew() {
	if n.crashed {
		return
	}
	n.sendRenewal()
	n.s.after(RenewInterval, n.renew)
}

// sendRenewal sends one renewal; one in five goes to the previous leader.
func (n *nodeRun) sendRenewal() {
	l := n.s.leaders
	if n.crashed || n.partitioned || len(l) == 0 {
		return
	}
	to := l[max(0, len(l)-1-n.s.rng.IntN(5)/4)]
	if n.staleLeader != nil {
		to = n.staleLeader
	}
	sent, info := n.clk.at(n.s.now), n.info
	n.s.send(n.s.nodeDelay, func() { to.renew(n, info, sent) })
}

func (n *nodeRun) apply(upTo int) {
	if n.crashed || n.partitioned || upTo <= n.applied {
		return
	}
	n.applied = applyLog(n.reg, n.s.committed, n.applied, upTo)
	n.holder.SetApplied(uint64(n.applied)) //nolint:gosec // Small.
	for _, s := range n.reg.Searchers() {
		if s.Move == registry.MoveStarted && n.owns(s) && !n.drained[s.Epoch] {
			n.s.after(n.s.random(300*time.Millisecond), func() { n.release(s.ID, s.Epoch) })
			if n.s.omitted == drainFirst {
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
		if !l.stopped {
			l.entries = append(l.entries, c)
		}
	})
}

// mayHaveRequests reports whether the run may have requests in flight to a searcher.
func (n *nodeRun) mayHaveRequests(id ident.SearcherID) bool {
	s, ok := n.reg.Searcher(id)
	return ok && n.holder.Valid(n.clk.at(n.s.now)) && n.owns(s) && !n.drained[s.Epoch]
}

// applyLog applies the entries in log[from:to] and returns to. Rejected commands are valid entries
// without effect.
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
