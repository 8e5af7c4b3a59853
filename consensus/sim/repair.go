package sim

// Repair schedules: control VMs that know at most three seeds form a cluster and repair its set of voters automatically
// with package quorum, as package controlplane does, while machines are impaired, wiped, replaced or lose power.

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
	// announceIntervalTicks is the interval between roster exchanges, 500 ms, and planIntervalTicks the interval between
	// checks of the set of voters, 100 ms, as in package controlplane.
	announceIntervalTicks = 25
	planIntervalTicks     = 5
	// catchUpTicks is the time for which a machine still counts as lost after its recovery, 4 s. Once this time has passed
	// since the last event, the cluster must have a leader.
	catchUpTicks = 200
	maxSeeds     = 3
)

// rosterEntry is the latest announcement of a node that another node has received.
type rosterEntry struct {
	disk        consensus.DiskID
	announcedAt int // tick at which the node announced itself
}

// RepairOptions configures a repair schedule.
type RepairOptions struct {
	Machines       int // initial number of control VMs
	FaultTolerance int // number of machines that may be lost at the same time
	Ticks          int // ticks with event injection
	// Loss and Duplicate are probabilities per message.
	Loss, Duplicate float64
	// MeanEventInterval is the mean number of ticks between two events.
	MeanEventInterval int
}

// RepairResult is the outcome of a repair schedule, with the number of events by kind.
type RepairResult struct {
	Result
	Events map[string]int
}

// RandomRepair draws the number of machines, the fault tolerance, the event rate and the message faults of a schedule.
func RandomRepair(seed int64, ticks int) RepairOptions {
	rnd := rand.New(rand.NewSource(seed)) //nolint:gosec // reproducible
	o := RepairOptions{Machines: 3 + rnd.Intn(4), FaultTolerance: 1, Ticks: ticks, MeanEventInterval: 20 + rnd.Intn(300)}
	if o.Machines >= 5 && rnd.Intn(2) == 0 {
		o.FaultTolerance = 2
	}
	if rnd.Intn(2) == 0 {
		o.Loss, o.Duplicate = 0.2*rnd.Float64(), 0.05*rnd.Float64()
	}

	return o
}

// repairSim is the simulation of a repair schedule.
type repairSim struct {
	*sim
	o      RepairOptions
	events map[string]int
	// lastEvent is the tick at which an event last began or ended.
	lastEvent int
	machines  int
	// wipeAfterNextAnswer is set if the node that answers the next operation, or another node that may store it, is to
	// lose its disk.
	wipeAfterNextAnswer bool
	// scheduled holds actions for a later tick, such as the end of an impairment.
	scheduled []scheduledAction
}

type scheduledAction struct {
	at  int
	run func()
}

// RunRepair simulates the repair schedule of one seed.
func RunRepair(seed int64, o RepairOptions) RepairResult {
	s := &repairSim{sim: newSim(seed, Options{Voters: o.Machines}), o: o, events: map[string]int{}, machines: o.Machines}
	s.faults = Faults{Loss: o.Loss, Duplicate: o.Duplicate}
	s.onAnswered = s.wipeAfterAnswer

	// First start: all machines start within 300 ms, with the same seeds.
	seeds := s.ids[:min(maxSeeds, len(s.ids))]
	for i, n := range s.nodes {
		n.downUntil, n.seeds, n.roster = s.rnd.Intn(15), seeds, map[ident.NodeID]rosterEntry{}
		if n.voters = seeds; i >= len(seeds) {
			n.voters = nil // knows the seeds, but does not form a cluster
		}
	}

	for range o.Ticks {
		s.runTick(true)
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
		s.runTick(false)
	}
	if s.err == nil {
		s.checkVoters(settled)
	}

	return RepairResult{Result: s.finalResult(), Events: s.events}
}

func (s *repairSim) runTick(events bool) {
	scheduled := s.scheduled
	s.scheduled = nil
	for _, e := range scheduled {
		if s.tick >= e.at {
			e.run()
		} else {
			s.scheduled = append(s.scheduled, e)
		}
	}

	if events && s.tick > catchUpTicks && s.rnd.Intn(s.o.MeanEventInterval) == 0 {
		s.injectEvent()
	}
	s.step()
	for i, n := range s.nodes {
		if n.raft == nil || s.tick < n.frozenUntil {
			continue
		}
		if (s.tick+i)%announceIntervalTicks == 0 {
			s.announce(n)
		}
		if (s.tick+i)%planIntervalTicks == 0 {
			s.planMembership(n)
		}
	}
	if s.tick-s.lastEvent > catchUpTicks && len(s.scheduled) == 0 && s.leader() == nil {
		s.failf("no leader %d ticks after the last event: %v", s.tick-s.lastEvent, s.nodes)
	}
}

// announce exchanges rosters with all nodes known to n.
func (s *repairSim) announce(n *node) {
	n.roster[n.id] = rosterEntry{disk: n.disk, announcedAt: s.tick}
	known := slices.Clone(n.seeds)
	for _, o := range s.nodes {
		_, inRoster := n.roster[o.id]
		_, member := n.raft.Status().Members.Find(o.id)
		if (inRoster || member) && !slices.Contains(known, o.id) {
			known = append(known, o.id)
		}
	}
	for _, id := range known {
		o := s.find(id)
		if o == nil || o == n || o.raft == nil || s.tick < o.frozenUntil || s.cutLinks[[2]ident.NodeID{n.id, id}] {
			continue
		}
		mergeRosters(o.roster, n.roster)
		if !s.cutLinks[[2]ident.NodeID{id, n.id}] {
			o.roster[id] = rosterEntry{disk: o.disk, announcedAt: s.tick}
			mergeRosters(n.roster, o.roster)
		}
	}
}

func mergeRosters(to, from map[ident.NodeID]rosterEntry) {
	for id, entry := range from {
		if old, ok := to[id]; !ok || entry.announcedAt > old.announcedAt {
			to[id] = entry
		}
	}
}

// planMembership makes a membership change if n is the leader and package quorum proposes one.
func (s *repairSim) planMembership(n *node) {
	st := n.raft.Status()
	if st.Role != consensus.RoleLeader || !st.Ready {
		return
	}
	var seen []quorum.AnnouncedVM
	for _, o := range s.nodes { // in a fixed order, so that runs are reproducible
		if entry, ok := n.roster[o.id]; ok {
			seen = append(seen, quorum.AnnouncedVM{ID: o.id, Disk: entry.disk, Age: time.Duration(s.tick-entry.announcedAt) * simTick})
		}
	}

	// A rejected change is planned again later.
	switch c := quorum.Plan(n.id, st.Members, seen, s.o.FaultTolerance).(type) {
	case quorum.Add:
		_, _ = n.raft.AddLearner(s.now(), c.Member.ID, c.Member.Disk)
	case quorum.Promote:
		_, _ = n.raft.Promote(s.now(), c.ID)
	case quorum.Remove:
		_, _ = n.raft.Remove(s.now(), c.ID)
	}
	s.processReady(n)
}

func (s *repairSim) find(id ident.NodeID) *node {
	for _, n := range s.nodes {
		if n.id == id && !n.decommissioned {
			return n
		}
	}

	return nil
}

// activeMachines returns the machines that have not been decommissioned. Some of them may be down.
func (s *repairSim) activeMachines() []*node {
	return slices.DeleteFunc(slices.Clone(s.nodes), func(n *node) bool { return n.decommissioned })
}

func (s *repairSim) lostCount() int {
	n := 0
	for _, m := range s.activeMachines() {
		if m.impaired || s.tick < m.lostUntil {
			n++
		}
	}

	return n
}

// impair counts a machine as lost for the given number of ticks, then calls undo. After that the machine counts as lost
// for another catchUpTicks.
func (s *repairSim) impair(n *node, ticks int, undo func()) {
	n.impaired = true
	s.scheduled = append(s.scheduled, scheduledAction{at: s.tick + ticks, run: func() {
		undo()
		n.impaired, n.lostUntil, s.lastEvent = false, s.tick+catchUpTicks, s.tick
	}})
}

// injectEvent draws one event. It skips the event if more machines would be lost at a time than the cluster must tolerate;
// a power failure of all machines occurs only while none is lost.
func (s *repairSim) injectEvent() {
	active := s.activeMachines()
	n := active[s.rnd.Intn(len(active))]
	ticks := 1 + s.rnd.Intn(300)
	kind := []string{"crash", "wipe", "wipe_after_answer", "replace", "freeze", "cut", "one_way", "seeds", "power"}[s.rnd.Intn(9)]

	if kind == "seeds" {
		s.changeSeeds(n)
		s.events[kind]++

		return
	}
	if s.lostCount() > 0 && kind == "power" || s.lostCount() >= s.o.FaultTolerance || n.impaired || s.tick < n.lostUntil {
		return
	}
	s.events[kind]++
	s.lastEvent = s.tick

	switch kind {
	case "crash":
		s.restart(n, ticks)
	case "wipe":
		s.wipe(n, ticks)
	case "wipe_after_answer":
		s.wipeAfterNextAnswer = true
	case "replace":
		s.replace(n, ticks)
	case "freeze":
		n.frozenUntil = s.tick + ticks
		s.impair(n, ticks, func() {})
	case "cut", "one_way":
		s.partition(n, ticks, kind == "one_way")
	case "power":
		for _, m := range active {
			s.restart(m, 1+s.rnd.Intn(100))
		}
	}
}

// restart crashes a machine, which starts again with its disk after the given number of ticks.
func (s *repairSim) restart(n *node, ticks int) {
	s.crash(n, ticks)
	n.roster = map[ident.NodeID]rosterEntry{}
	n.voters = s.restartVoters(n)
	s.impair(n, ticks, func() {})
}

// restartVoters returns the list of voters for any start but the first. A node does not form a cluster if the list lacks
// its own id.
func (s *repairSim) restartVoters(n *node) []ident.NodeID {
	return slices.DeleteFunc(slices.Clone(n.seeds), func(id ident.NodeID) bool { return id == n.id })
}

// wipe crashes a machine, which starts again with an empty disk after the given number of ticks.
func (s *repairSim) wipe(n *node, ticks int) {
	s.restart(n, ticks)
	s.lastDisk++
	s.result.DisksLost++
	n.disk, n.saved = s.lastDisk, consensus.PersistentState{}
}

// wipeAfterAnswer wipes a node right after it has answered an operation, or another node that may store the only other
// copy.
func (s *repairSim) wipeAfterAnswer(n *node) {
	if !s.wipeAfterNextAnswer || s.lostCount() >= s.o.FaultTolerance {
		return
	}
	s.wipeAfterNextAnswer = false
	active := s.activeMachines()
	if s.rnd.Intn(2) == 0 {
		n = active[s.rnd.Intn(len(active))]
	}
	if n.impaired {
		return
	}
	s.lastEvent = s.tick
	// The wipe is deferred because the node is still being processed in this tick.
	s.scheduled = append(s.scheduled, scheduledAction{at: s.tick, run: func() {
		if n.impaired || n.decommissioned || s.lostCount() >= s.o.FaultTolerance {
			return
		}
		if s.rnd.Intn(2) == 0 {
			s.dropInFlight(n)
		}
		// The node usually restarts before the others have elected a leader.
		s.wipe(n, 1+s.rnd.Intn(20))
	}})
}

// dropInFlight drops the in-flight messages of a node, as if its send buffers were lost in the crash.
func (s *repairSim) dropInFlight(n *node) {
	s.inFlight = slices.DeleteFunc(s.inFlight, func(f inFlightMessage) bool {
		m, err := consensus.Decode(f.msg)
		return err == nil && m.From == n.id
	})
}

// replace decommissions a machine and starts another one with an empty disk and other seeds.
func (s *repairSim) replace(n *node, ticks int) {
	n.decommissioned, n.raft = true, nil
	s.lastDisk++
	s.machines++
	s.result.DisksLost++
	m := &node{
		id: ident.NodeID(fmt.Sprintf("v%d", s.machines)), disk: s.lastDisk, pending: map[consensus.Index]Operation{},
		roster: map[ident.NodeID]rosterEntry{}, downUntil: s.tick + ticks,
	}
	s.nodes, s.ids = append(s.nodes, m), append(s.ids, m.id)
	s.changeSeeds(m)
	m.voters = s.restartVoters(m)
	s.impair(m, ticks, func() {})
}

// changeSeeds gives a node other seeds, one of which may be decommissioned.
func (s *repairSim) changeSeeds(n *node) {
	var seeds []ident.NodeID
	for _, i := range s.rnd.Perm(len(s.nodes)) {
		if o := s.nodes[i]; o != n && len(seeds) < maxSeeds && (!o.decommissioned || len(seeds) == 0) {
			seeds = append(seeds, o.id)
		}
	}
	n.seeds = seeds
}

func (s *repairSim) partition(n *node, ticks int, oneWay bool) {
	outwards := s.rnd.Intn(2) == 0
	for _, o := range s.nodes {
		if !oneWay || outwards {
			s.cutLinks[[2]ident.NodeID{n.id, o.id}] = true
		}
		if !oneWay || !outwards {
			s.cutLinks[[2]ident.NodeID{o.id, n.id}] = true
		}
	}
	s.impair(n, ticks, func() {
		for pair := range s.cutLinks {
			if pair[0] == n.id || pair[1] == n.id {
				delete(s.cutLinks, pair)
			}
		}
	})
}

// checkVoters requires, after a long time without events, that every active machine votes and has applied all entries up
// to the given index, and that no other machine votes.
func (s *repairSim) checkVoters(applied consensus.Index) {
	l := s.leader()
	if l == nil {
		s.failf("no leader at the end: %v", s.nodes)
		return
	}
	voters := l.raft.Status().Members.Voters()
	active := s.activeMachines()
	for _, n := range active {
		if m, ok := voters.Find(n.id); !ok || m.Disk != n.disk {
			s.failf("%s is not a voter at the end: %v", n.id, voters)
		}
		if n.applied < applied {
			s.failf("%s has applied up to entry %d at the end, but entry %d was committed 4 s before", n.id, n.applied, applied)
		}
	}
	if len(voters) != len(active) && len(active) >= quorum.MinVoters(s.o.FaultTolerance) {
		s.failf("%d active machines, but %d voters at the end: %v", len(active), len(voters), voters)
	}
}
