package sim

// Repair schedules: control VMs that know at most three seeds form a cluster and repair their set of voters by
// themselves, as package controlplane does with package quorum, while machines are impaired, wiped, replaced by others
// and without power.

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"fulmarfall/consensus"
	"fulmarfall/ident"
	"fulmarfall/quorum"
)

const (
	// announceTicks is the time between two exchanges of the rosters, 500 ms, and planTicks between two looks at the set
	// of voters, 100 ms, as in package controlplane.
	announceTicks = 25
	planTicks     = 5
	// catchUpTicks is the time for which a machine counts as lost after it is back, 4 s; as long after the last event
	// the system has to serve.
	catchUpTicks = 200
	maxSeeds     = 3
)

// sighting is what a node has last heard of another one.
type sighting struct {
	disk consensus.DiskID
	at   int // tick at which the other one announced itself
}

// RepairOptions describe a repair schedule.
type RepairOptions struct {
	Machines int // control VMs at the start
	Tolerate int // machines that may be lost at a time
	Ticks    int // with events
	// Loss and Repeat are probabilities for each message.
	Loss, Repeat float64
	// Calm is the mean number of ticks between two events.
	Calm int
}

// RepairResult is what happened in a repair schedule.
type RepairResult struct {
	Result
	Events map[string]int
}

// RandomRepair draws the size and the events of a run.
func RandomRepair(seed int64, ticks int) RepairOptions {
	rnd := rand.New(rand.NewSource(seed)) //nolint:gosec // repeatable
	o := RepairOptions{Machines: 3 + rnd.Intn(4), Tolerate: 1, Ticks: ticks, Calm: 20 + rnd.Intn(300)}
	if o.Machines >= 5 && rnd.Intn(2) == 0 {
		o.Tolerate = 2
	}
	if rnd.Intn(2) == 0 {
		o.Loss, o.Repeat = 0.2*rnd.Float64(), 0.05*rnd.Float64()
	}

	return o
}

// repairSim is the state of a repair schedule.
type repairSim struct {
	*sim
	o      RepairOptions
	events map[string]int
	// lastEvent is the tick of the last event, or of the end of one.
	lastEvent int
	machines  int
	// wipeNext is set when the node that answers the next operation, or a voter that holds it, loses its disk.
	wipeNext bool
	// ends are the impairments to end, by tick.
	ends []repairEnd
}

type repairEnd struct {
	at int
	do func()
}

// RunRepair runs one seed.
func RunRepair(seed int64, o RepairOptions) RepairResult {
	s := &repairSim{sim: newSim(seed, Options{Voters: o.Machines}), o: o, events: map[string]int{}, machines: o.Machines}
	s.faults = Faults{Loss: o.Loss, Repeat: o.Repeat}
	s.answered = s.wipeAfterAnswer

	// The first start: all machines within 300 ms, with the same seeds.
	seeds := s.ids[:min(maxSeeds, len(s.ids))]
	for i, n := range s.nodes {
		n.downTo, n.seeds, n.roster = s.rnd.Intn(15), seeds, map[ident.NodeID]sighting{}
		if n.voters = seeds; i >= len(seeds) {
			n.voters = nil // it knows the seeds, but forms nothing
		}
	}

	for range o.Ticks {
		s.turn(true)
		if s.err != nil {
			break
		}
	}

	s.faults = Faults{}
	var settled consensus.Index
	for i := range 4 * catchUpTicks {
		if s.err != nil {
			break
		}
		if i == 3*catchUpTicks {
			settled = s.lastCommit
		}
		s.turn(false)
	}
	if s.err == nil {
		s.checkSet(settled)
	}

	return RepairResult{Result: s.end(), Events: s.events}
}

func (s *repairSim) turn(events bool) {
	ends := s.ends
	s.ends = nil
	for _, e := range ends {
		if s.tick >= e.at {
			e.do()
		} else {
			s.ends = append(s.ends, e)
		}
	}

	if events && s.tick > catchUpTicks && s.rnd.Intn(s.o.Calm) == 0 {
		s.event()
	}
	s.step()
	for i, n := range s.nodes {
		if n.raft == nil || s.tick < n.frozen {
			continue
		}
		if (s.tick+i)%announceTicks == 0 {
			s.announce(n)
		}
		if (s.tick+i)%planTicks == 0 {
			s.plan(n)
		}
	}
	if s.tick-s.lastEvent > catchUpTicks && len(s.ends) == 0 && s.leader() == nil {
		s.failf("no leader %d ticks after the last event: %v", s.tick-s.lastEvent, s.nodes)
	}
}

// announce exchanges rosters with all nodes that this one knows.
func (s *repairSim) announce(n *node) {
	n.roster[n.id] = sighting{disk: n.disk, at: s.tick}
	known := slices.Clone(n.seeds)
	for _, o := range s.nodes {
		_, heard := n.roster[o.id]
		_, member := n.raft.Status().Members.Find(o.id)
		if (heard || member) && !slices.Contains(known, o.id) {
			known = append(known, o.id)
		}
	}
	for _, id := range known {
		o := s.find(id)
		if o == nil || o == n || o.raft == nil || s.tick < o.frozen || s.cuts[[2]ident.NodeID{n.id, id}] {
			continue
		}
		merge(o.roster, n.roster)
		if !s.cuts[[2]ident.NodeID{id, n.id}] {
			o.roster[id] = sighting{disk: o.disk, at: s.tick}
			merge(n.roster, o.roster)
		}
	}
}

func merge(to, from map[ident.NodeID]sighting) {
	for id, s := range from {
		if old, ok := to[id]; !ok || s.at > old.at {
			to[id] = s
		}
	}
}

// plan lets a leader change the set of voters.
func (s *repairSim) plan(n *node) {
	st := n.raft.Status()
	if st.Role != consensus.RoleLeader || !st.Ready {
		return
	}
	var seen []quorum.Seen
	for _, o := range s.nodes { // in a fixed order, so that runs repeat
		if at, ok := n.roster[o.id]; ok {
			seen = append(seen, quorum.Seen{ID: o.id, Disk: at.disk, Age: time.Duration(s.tick-at.at) * simTick})
		}
	}

	// A change that is refused for now is planned again.
	switch c := quorum.Plan(n.id, st.Members, seen, s.o.Tolerate).(type) {
	case quorum.Add:
		_, _ = n.raft.AddLearner(s.now(), c.Member.ID, c.Member.Disk)
	case quorum.Promote:
		_, _ = n.raft.Promote(s.now(), c.ID)
	case quorum.Remove:
		_, _ = n.raft.Remove(s.now(), c.ID)
	}
	s.process(n)
}

func (s *repairSim) find(id ident.NodeID) *node {
	for _, n := range s.nodes {
		if n.id == id && !n.gone {
			return n
		}
	}

	return nil
}

// running returns the machines that have not been taken away.
func (s *repairSim) running() []*node {
	return slices.DeleteFunc(slices.Clone(s.nodes), func(n *node) bool { return n.gone })
}

func (s *repairSim) lost() int {
	n := 0
	for _, m := range s.running() {
		if m.impaired || s.tick < m.lostTo {
			n++
		}
	}

	return n
}

// impair counts a machine as lost for some ticks, and for the time to catch up after them.
func (s *repairSim) impair(n *node, ticks int, end func()) {
	n.impaired = true
	s.ends = append(s.ends, repairEnd{at: s.tick + ticks, do: func() {
		end()
		n.impaired, n.lostTo, s.lastEvent = false, s.tick+catchUpTicks, s.tick
	}})
}

// event draws one event. Machines are lost only as many at a time as the system has to bear.
func (s *repairSim) event() {
	running := s.running()
	n := running[s.rnd.Intn(len(running))]
	ticks := 1 + s.rnd.Intn(300)
	kind := []string{"crash", "wipe", "wipe_after_answer", "replace", "freeze", "cut", "one_way", "seeds", "power"}[s.rnd.Intn(9)]

	if kind == "seeds" {
		s.exchangeSeeds(n)
		s.events[kind]++

		return
	}
	if s.lost() > 0 && kind == "power" || s.lost() >= s.o.Tolerate || n.impaired || s.tick < n.lostTo {
		return
	}
	s.events[kind]++
	s.lastEvent = s.tick

	switch kind {
	case "crash":
		s.stop(n, ticks)
	case "wipe":
		s.wipe(n, ticks)
	case "wipe_after_answer":
		s.wipeNext = true
	case "replace":
		s.replace(n, ticks)
	case "freeze":
		n.frozen = s.tick + ticks
		s.impair(n, ticks, func() {})
	case "cut", "one_way":
		s.cut(n, ticks, kind == "one_way")
	case "power":
		for _, m := range running {
			s.stop(m, 1+s.rnd.Intn(100))
		}
	}
}

// stop crashes a machine, which starts again with its disk.
func (s *repairSim) stop(n *node, ticks int) {
	s.crash(n, ticks)
	n.roster = map[ident.NodeID]sighting{}
	n.voters = s.restartVoters(n)
	s.impair(n, ticks, func() {})
}

// restartVoters is the list of a start that is not the first one: without the own id it forms no cluster.
func (s *repairSim) restartVoters(n *node) []ident.NodeID {
	return slices.DeleteFunc(slices.Clone(n.seeds), func(id ident.NodeID) bool { return id == n.id })
}

// wipe crashes a machine, which starts again with an empty disk.
func (s *repairSim) wipe(n *node, ticks int) {
	s.stop(n, ticks)
	s.disks++
	s.result.DisksLost++
	n.disk, n.saved = s.disks, consensus.Saved{}
}

// wipeAfterAnswer wipes a node right after it has answered an operation, or another one that may be the only other holder.
func (s *repairSim) wipeAfterAnswer(n *node) {
	if !s.wipeNext || s.lost() >= s.o.Tolerate {
		return
	}
	s.wipeNext = false
	running := s.running()
	if s.rnd.Intn(2) == 0 {
		n = running[s.rnd.Intn(len(running))]
	}
	if n.impaired {
		return
	}
	s.lastEvent = s.tick
	// The node is still at work in this tick.
	s.ends = append(s.ends, repairEnd{at: s.tick, do: func() {
		if n.impaired || n.gone || s.lost() >= s.o.Tolerate {
			return
		}
		if s.rnd.Intn(2) == 0 {
			s.dropFlights(n)
		}
		// Mostly it is back before the others have elected a leader.
		s.wipe(n, 1+s.rnd.Intn(20))
	}})
}

// dropFlights loses what a node has sent: its buffers end with it.
func (s *repairSim) dropFlights(n *node) {
	s.flights = slices.DeleteFunc(s.flights, func(f flight) bool {
		m, err := consensus.Decode(f.msg)
		return err == nil && m.From == n.id
	})
}

// replace takes a machine away; another one with an empty disk and other seeds takes its place.
func (s *repairSim) replace(n *node, ticks int) {
	n.gone, n.raft = true, nil
	s.disks++
	s.machines++
	s.result.DisksLost++
	m := &node{
		id: ident.NodeID(fmt.Sprintf("v%d", s.machines)), disk: s.disks, pending: map[consensus.Index]Operation{},
		roster: map[ident.NodeID]sighting{}, downTo: s.tick + ticks,
	}
	s.nodes, s.ids = append(s.nodes, m), append(s.ids, m.id)
	s.exchangeSeeds(m)
	m.voters = s.restartVoters(m)
	s.impair(m, ticks, func() {})
}

// exchangeSeeds gives a node other seeds, one of which may be gone.
func (s *repairSim) exchangeSeeds(n *node) {
	var seeds []ident.NodeID
	for _, i := range s.rnd.Perm(len(s.nodes)) {
		if o := s.nodes[i]; o != n && len(seeds) < maxSeeds && (!o.gone || len(seeds) == 0) {
			seeds = append(seeds, o.id)
		}
	}
	n.seeds = seeds
}

func (s *repairSim) cut(n *node, ticks int, oneWay bool) {
	outwards := s.rnd.Intn(2) == 0
	for _, o := range s.nodes {
		if !oneWay || outwards {
			s.cuts[[2]ident.NodeID{n.id, o.id}] = true
		}
		if !oneWay || !outwards {
			s.cuts[[2]ident.NodeID{o.id, n.id}] = true
		}
	}
	s.impair(n, ticks, func() {
		for pair := range s.cuts {
			if pair[0] == n.id || pair[1] == n.id {
				delete(s.cuts, pair)
			}
		}
	})
}

// checkSet requires that every machine votes and has applied what was committed up to an index, and that no one else votes,
// once nothing has happened for long.
func (s *repairSim) checkSet(applied consensus.Index) {
	l := s.leader()
	if l == nil {
		s.failf("no leader at the end: %v", s.nodes)
		return
	}
	voters := l.raft.Status().Members.Voters()
	running := s.running()
	for _, n := range running {
		if m, ok := voters.Find(n.id); !ok || m.Disk != n.disk {
			s.failf("%s does not vote at the end: %v", n.id, voters)
		}
		if n.applied < applied {
			s.failf("%s has applied %d at the end, and %d was committed 4 s before", n.id, n.applied, applied)
		}
	}
	if len(voters) != len(running) && len(running) >= quorum.Floor(s.o.Tolerate) {
		s.failf("%d machines run and %d vote at the end: %v", len(running), len(voters), voters)
	}
}
