package consensus

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"fulmarfall/ident"

	"github.com/anishathalye/porcupine"
)

// inject draws the faults of one tick.
func (s *sim) inject() {
	hit := func(p float64) bool { return s.rnd.Float64() < p }
	n := s.nodes[s.rnd.Intn(len(s.nodes))]
	other := s.nodes[s.rnd.Intn(len(s.nodes))]
	switch {
	case hit(s.faults.crash) && n.node != nil:
		s.crash(n, 1+s.rnd.Intn(60))
	case hit(s.faults.freeze):
		n.frozen = s.tick + 1 + s.rnd.Intn(80)
	case hit(s.faults.cut):
		for _, o := range s.ids {
			s.cuts[[2]ident.NodeID{n.id, o}] = true
			s.cuts[[2]ident.NodeID{o, n.id}] = true
		}
	case hit(s.faults.oneWay):
		s.cuts[[2]ident.NodeID{n.id, other.id}] = true
	case hit(s.faults.heal):
		clear(s.cuts)
	case hit(s.faults.loseDisk) && s.settled():
		s.disks++
		s.diskLost++
		s.crash(n, 1+s.rnd.Intn(40))
		n.disk, n.saved = s.disks, Saved{}
	case hit(s.faults.remove) && s.disksPresent():
		if l := s.leader(); l != nil {
			_, _ = l.node.Remove(s.now(), n.id)
			s.process(l)
		}
	}
}

func (s *sim) leader() *simNode {
	var found *simNode
	for _, n := range s.nodes {
		if n.node != nil && s.tick >= n.frozen && n.node.Status().Ready &&
			(found == nil || n.node.Status().Term > found.node.Status().Term) {
			found = n
		}
	}

	return found
}

// settled reports that every voter runs, agrees on the membership, and votes with the disk it has. Only then is
// a disk lost, as the loss of two disks at once may lose committed entries.
func (s *sim) settled() bool {
	for _, n := range s.nodes {
		if n.node == nil {
			return false
		}
		current := n.node.log.current()
		if current.index == 0 || current.index > n.node.commit {
			return false
		}
		for _, o := range s.nodes {
			if m, ok := current.members.find(o.id); !ok || m.Learner || m.Disk != o.disk {
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
		if n.node == nil {
			return false
		}
		for _, m := range n.node.log.current().members {
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
		m, ok := l.node.log.current().members.find(n.id)
		switch {
		case !ok && n.id != l.id:
			_, _ = l.node.AddLearner(s.now(), n.id, n.disk)
		case ok && m.Disk != n.disk:
			_, _ = l.node.AddLearner(s.now(), n.id, 0)
		case ok && m.Learner:
			_, _ = l.node.Promote(s.now(), n.id)
		}
	}
	s.process(l)
}

// runSchedule runs one seed: a time with faults, then a time without, in which the cluster must recover.
func runSchedule(seed int64, ticks int) *sim {
	draw := newSim(seed, 0, faults{})
	// Squares, so that some schedules have much of one fault and little of the others.
	p := func(limit float64) float64 { x := draw.rnd.Float64(); return x * x * limit }
	f := faults{
		loss: p(0.1), repeat: p(0.1), crash: p(0.03), crashInside: p(0.03), freeze: p(0.02), cut: p(0.04),
		oneWay: p(0.06), heal: 0.02 + p(0.05), loseDisk: p(0.2), remove: p(0.2),
	}
	s := newSim(seed, 3+2*draw.rnd.Intn(2), f)
	for range ticks {
		s.inject()
		s.operate()
		s.step()
		if s.err != nil {
			return s
		}
	}

	s.faults = faults{}
	clear(s.cuts)
	for _, n := range s.nodes {
		n.frozen, n.downTo = 0, s.tick
	}
	for range 40 * simElection {
		s.operate()
		s.step()
		if s.err == nil && s.recovered() {
			break
		}
	}
	if s.err == nil && !s.recovered() {
		s.failf("not recovered: %v", s.nodes)
	}
	if s.err == nil {
		if res := porcupine.CheckOperationsTimeout(registerModel, s.history(), 10*time.Second); res == porcupine.Illegal {
			s.failf("history of %d operations is not linearizable", len(s.history()))
		}
	}

	return s
}

func (s *sim) recovered() bool {
	l := s.leader()
	if l == nil || !s.settled() {
		return false
	}
	for _, n := range s.nodes {
		if n.applied < l.applied || n.node.Status().Leader != l.id {
			return false
		}
	}

	return true
}

func (n *simNode) String() string {
	return fmt.Sprintf("%s disk %d applied %d members %v: %v", n.id, n.disk, n.applied, n.node.log.current(), n.node)
}

var (
	schedules = flag.Int64("schedules", 2000, "random schedules per run")
	firstSeed = flag.Int64("first-seed", 0, "seed of the first schedule")
)

// Guards against two leaders in a term, lost or changed committed entries, state machines that differ, a ready
// leader that misses earlier commits, a QuorumAt later than a later election, histories of the register that
// no single copy could give, and clusters that do not recover once the faults end.
func TestRandomSchedules(t *testing.T) {
	const workers, ticks = 4, 300
	seeds := make(chan int64)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var elections, snapshots, lost, ops int
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for seed := range seeds {
				s := runSchedule(seed, ticks)
				if s.err != nil {
					t.Errorf("seed %d: %v", seed, s.err)
				}
				mu.Lock()
				elections += s.elections
				snapshots += s.snapshots
				lost += s.diskLost
				ops += s.okOps
				mu.Unlock()
			}
		}()
	}
	for i := range *schedules {
		seeds <- *firstSeed + i
	}
	close(seeds)
	wg.Wait()

	t.Logf("seeds %d to %d: %d elections, %d snapshots installed, %d disks lost, %d operations answered", *firstSeed, *firstSeed+*schedules-1, elections, snapshots, lost, ops)
	if n := int(*schedules); elections < n || snapshots < n/2 || lost < n/2 || ops < n {
		t.Errorf("the schedules do not reach the states to test")
	}
}
