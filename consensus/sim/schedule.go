package sim

import (
	"fmt"
	"math/rand"
	"slices"

	"fulmarfall/consensus"
	"fulmarfall/ident"
)

// injectFaults draws at most one fault for the current tick.
func (s *sim) injectFaults() {
	chance := func(p float64) bool { return s.rnd.Float64() < p }
	n := s.nodes[s.rnd.Intn(len(s.nodes))]
	other := s.nodes[s.rnd.Intn(len(s.nodes))]
	switch {
	case chance(s.faults.Crash) && n.raft != nil:
		s.crash(n, 1+s.rnd.Intn(60))
	case chance(s.faults.Freeze):
		n.frozenUntil = s.tick + 1 + s.rnd.Intn(80)
	case chance(s.faults.Cut):
		for _, o := range s.ids {
			s.cutLinks[[2]ident.NodeID{n.id, o}] = true
			s.cutLinks[[2]ident.NodeID{o, n.id}] = true
		}
	case chance(s.faults.OneWay):
		s.cutLinks[[2]ident.NodeID{n.id, other.id}] = true
	case chance(s.faults.Heal):
		clear(s.cutLinks)
	case chance(s.faults.LoseDisk) && s.settled():
		s.lastDisk++
		s.result.DisksLost++
		s.crash(n, 1+s.rnd.Intn(40))
		n.disk, n.saved = s.lastDisk, consensus.PersistentState{}
	case chance(s.faults.Remove) && s.allDisksIntact():
		if l := s.leader(); l != nil {
			_, _ = l.raft.Remove(s.now(), n.id)
			s.processReady(l)
		}
	}
}

func (s *sim) leader() *node {
	var found *node
	for _, n := range s.nodes {
		if n.raft != nil && s.tick >= n.frozenUntil && n.raft.Status().Ready &&
			(found == nil || n.raft.Status().Term > found.raft.Status().Term) {
			found = n
		}
	}

	return found
}

// settled reports whether all nodes are running and have committed a membership in which each of them votes with its
// current disk. Disks are lost only in this state, because the loss of two disks at once may lose committed entries.
func (s *sim) settled() bool {
	for _, n := range s.nodes {
		if n.raft == nil {
			return false
		}
		st := n.raft.Status()
		if st.MembersIndex == 0 || st.MembersIndex > st.Commit {
			return false
		}
		for _, o := range s.nodes {
			if m, ok := st.Members.Find(o.id); !ok || m.Learner || m.Disk != o.disk {
				return false
			}
		}
	}

	return true
}

// allDisksIntact reports whether all nodes are running and no member has lost its disk. Removing a voter while another
// one's disk is lost can leave the cluster without a majority, which an operator must avoid.
func (s *sim) allDisksIntact() bool {
	for _, n := range s.nodes {
		if n.raft == nil {
			return false
		}
		for _, m := range n.raft.Status().Members {
			if m.Disk != s.nodes[slices.Index(s.ids, m.ID)].disk {
				return false
			}
		}
	}

	return true
}

// runOperator simulates an operator, who adds missing disks as learners and promotes learners.
func (s *sim) runOperator() {
	l := s.leader()
	if l == nil || s.tick%7 != 0 {
		return
	}
	for _, n := range s.nodes {
		m, ok := l.raft.Status().Members.Find(n.id)
		switch {
		case !ok && n.id != l.id:
			_, _ = l.raft.AddLearner(s.now(), n.id, n.disk)
		case ok && m.Disk != n.disk:
			_, _ = l.raft.AddLearner(s.now(), n.id, 0)
		case ok && m.Learner:
			_, _ = l.raft.Promote(s.now(), n.id)
		}
	}
	s.processReady(l)
}

// RandomOptions draws the cluster size and fault probabilities of a run that must recover.
func RandomOptions(seed int64, ticks int) Options {
	rnd := rand.New(rand.NewSource(seed)) //nolint:gosec // reproducible
	// Squared, so that some schedules have many faults of one kind and few of the others.
	p := func(limit float64) float64 { x := rnd.Float64(); return x * x * limit }

	return Options{
		Ticks: ticks, Recover: true,
		Faults: Faults{
			Loss: p(0.1), Duplicate: p(0.1), Crash: p(0.03), CrashMidReady: p(0.03), Freeze: p(0.02), Cut: p(0.04),
			OneWay: p(0.06), Heal: 0.02 + p(0.05), LoseDisk: p(0.2), Remove: p(0.2),
		},
		Voters: 3 + 2*rnd.Intn(2),
	}
}

// Run simulates the schedule of one seed.
func Run(seed int64, o Options) Result {
	s := newSim(seed, o)
	for range o.Ticks {
		s.injectFaults()
		s.runOperator()
		s.step()
		if s.err != nil {
			break
		}
	}

	if o.Recover && s.err == nil {
		s.recover()
	}

	return s.finalResult()
}

// finalResult returns the result, with the unanswered operations added to the history.
func (s *sim) finalResult() Result {
	for _, op := range s.unanswered {
		s.result.History = append(s.result.History, op)
	}
	s.result.Err = s.err

	return s.result
}

// recover ends all faults and runs the cluster until every node is a voter, has applied the leader's entries and knows the
// leader. It fails after 40 election timeouts.
func (s *sim) recover() {
	s.faults = Faults{}
	clear(s.cutLinks)
	for _, n := range s.nodes {
		n.frozenUntil, n.downUntil = 0, s.tick
	}

	for range 40 * simElection {
		s.runOperator()
		s.step()
		if s.err != nil || s.recovered() {
			return
		}
	}
	s.failf("cluster did not recover: %v", s.nodes)
}

func (s *sim) recovered() bool {
	l := s.leader()
	if l == nil || !s.settled() {
		return false
	}
	for _, n := range s.nodes {
		if n.applied < l.applied || n.raft.Status().Leader != l.id {
			return false
		}
	}

	return true
}

// String describes the node in error messages, also while it is down.
func (n *node) String() string {
	if n.raft == nil {
		return fmt.Sprintf("%s disk %d down", n.id, n.disk)
	}

	return fmt.Sprintf("%s disk %d applied %d members %v: %v", n.id, n.disk, n.applied, n.raft.Status().Members, n.raft)
}
