package sim

// Schedules: the faults of a run, the operator who repairs the membership, and the whole run of one seed.

import (
	"fmt"
	"math/rand"
	"slices"

	"fulmarfall/consensus"
	"fulmarfall/ident"
)

// inject draws the faults of one tick.
func (s *sim) inject() {
	hit := func(p float64) bool { return s.rnd.Float64() < p }
	n := s.nodes[s.rnd.Intn(len(s.nodes))]
	other := s.nodes[s.rnd.Intn(len(s.nodes))]
	switch {
	case hit(s.faults.Crash) && n.raft != nil:
		s.crash(n, 1+s.rnd.Intn(60))
	case hit(s.faults.Freeze):
		n.frozen = s.tick + 1 + s.rnd.Intn(80)
	case hit(s.faults.Cut):
		for _, o := range s.ids {
			s.cuts[[2]ident.NodeID{n.id, o}] = true
			s.cuts[[2]ident.NodeID{o, n.id}] = true
		}
	case hit(s.faults.OneWay):
		s.cuts[[2]ident.NodeID{n.id, other.id}] = true
	case hit(s.faults.Heal):
		clear(s.cuts)
	case hit(s.faults.LoseDisk) && s.settled():
		s.disks++
		s.result.DisksLost++
		s.crash(n, 1+s.rnd.Intn(40))
		n.disk, n.saved = s.disks, consensus.Saved{}
	case hit(s.faults.Remove) && s.disksPresent():
		if l := s.leader(); l != nil {
			_, _ = l.raft.Remove(s.now(), n.id)
			s.process(l)
		}
	}
}

func (s *sim) leader() *node {
	var found *node
	for _, n := range s.nodes {
		if n.raft != nil && s.tick >= n.frozen && n.raft.Status().Ready &&
			(found == nil || n.raft.Status().Term > found.raft.Status().Term) {
			found = n
		}
	}

	return found
}

// settled reports that every voter runs, agrees on the membership, and votes with the disk it has. Only then is
// a disk lost, as the loss of two disks at once may lose committed entries.
func (s *sim) settled() bool {
	for _, n := range s.nodes {
		if n.raft == nil {
			return false
		}
		st := n.raft.Status()
		if st.MembersAt == 0 || st.MembersAt > st.Commit {
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

// disksPresent reports that no member has lost its disk. To remove a voter while another one has lost its disk
// can leave no majority, and no operator should do it.
func (s *sim) disksPresent() bool {
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

// operate does what an operator does: it adds missing disks as learners and promotes learners.
func (s *sim) operate() {
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
	s.process(l)
}

// RandomOptions draws the size and the faults of a run that must recover.
func RandomOptions(seed int64, ticks int) Options {
	rnd := rand.New(rand.NewSource(seed)) //nolint:gosec // repeatable
	// Squares, so that some schedules have much of one fault and little of the others.
	p := func(limit float64) float64 { x := rnd.Float64(); return x * x * limit }

	return Options{
		Ticks: ticks, Recover: true,
		Faults: Faults{
			Loss: p(0.1), Repeat: p(0.1), Crash: p(0.03), CrashInside: p(0.03), Freeze: p(0.02), Cut: p(0.04),
			OneWay: p(0.06), Heal: 0.02 + p(0.05), LoseDisk: p(0.2), Remove: p(0.2),
		},
		Voters: 3 + 2*rnd.Intn(2),
	}
}

// Run runs one seed.
func Run(seed int64, o Options) Result {
	s := newSim(seed, o)
	for range o.Ticks {
		s.inject()
		s.operate()
		s.step()
		if s.err != nil {
			break
		}
	}

	if o.Recover && s.err == nil {
		s.recover()
	}

	return s.end()
}

// end returns what happened, with the operations that were never answered.
func (s *sim) end() Result {
	for _, op := range s.open {
		s.result.History = append(s.result.History, op)
	}
	s.result.Err = s.err

	return s.result
}

// recover ends all faults and waits until every node is a voter, has applied the same and knows the leader.
func (s *sim) recover() {
	s.faults = Faults{}
	clear(s.cuts)
	for _, n := range s.nodes {
		n.frozen, n.downTo = 0, s.tick
	}

	for range 40 * simElection {
		s.operate()
		s.step()
		if s.err != nil || s.recovered() {
			return
		}
	}
	s.failf("not recovered: %v", s.nodes)
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

// String describes the node in errors; it may be down.
func (n *node) String() string {
	if n.raft == nil {
		return fmt.Sprintf("%s disk %d down", n.id, n.disk)
	}

	return fmt.Sprintf("%s disk %d applied %d members %v: %v", n.id, n.disk, n.applied, n.raft.Status().Members, n.raft)
}
