// Package sim runs nodes of package consensus in virtual time: nodes with durable and volatile state, a network that
// delays, loses, duplicates and reorders messages, and a fault schedule drawn from a seed. Invariants are checked after
// every step. The same simulations serve the property tests and the measurements in docs/consensus.md.
package sim

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"fulmarfall/consensus"
	"fulmarfall/ident"
)

const (
	simTick      = 20 * time.Millisecond
	simHeartbeat = 3
	simElection  = 12
	simTrailing  = 4
)

// Operation is a read or write of the register through a proposal. An operation without an answer may take effect at any
// time after its call, or never.
type Operation struct {
	ID           int
	Write        bool
	Value        uint64 // written
	Result       uint64 // value of the register after a write, or as read
	Answered     bool
	Call, Return int64 // logical times of the call and the answer
	term         consensus.Term
}

// Faults holds the probability of each fault, per tick unless stated otherwise.
type Faults struct {
	Loss, Duplicate float64 // per message
	Crash           float64
	CrashMidReady   float64 // per step of processing a Ready
	Freeze          float64
	Cut, OneWay     float64 // isolate a node in both directions; cut one direction between two nodes
	Heal            float64 // restore all cut links
	LoseDisk        float64
	Remove          float64 // remove a voter from the membership
}

// Options configures a run.
type Options struct {
	Voters                   int
	Ticks                    int // ticks with fault injection
	Faults                   Faults
	NoPreVote, NoCheckQuorum bool
	Recover                  bool // require that the cluster recovers once the faults end
}

// Result is the outcome of a run.
type Result struct {
	Err                  error // first invariant violation
	Elections            int
	LastTerm             consensus.Term
	TicksWithoutLeader   int // ticks without a ready leader that has a recent quorum
	TicksWithStaleLeader int // ticks with a leader that has had no quorum for two election timeouts
	SnapshotsInstalled   int
	DisksLost            int
	Answered             int // number of answered operations
	History              []Operation
}

// register is the replicated state machine: a value, and a hash over all applied entries.
type register struct {
	value, hash uint64
}

func (r *register) apply(e consensus.Entry) uint64 {
	r.hash = r.hash*1099511628211 + uint64(e.Index)<<20 + uint64(e.Term) + uint64(e.Kind)
	if e.Kind != consensus.EntryCommand {
		return 0
	}
	var id, value uint64
	var write bool
	if _, err := fmt.Sscanf(string(e.Data), "%d %t %d", &id, &write, &value); err != nil {
		panic(err)
	}
	r.hash = r.hash*1099511628211 + id
	if write {
		r.value = value
	}

	return r.value
}

type node struct {
	id          ident.NodeID
	disk        consensus.DiskID
	raft        *consensus.Node           // nil while the node is down
	saved       consensus.PersistentState // durable state
	sm          register
	applied     consensus.Index
	frozenUntil int // suspended until this tick
	downUntil   int
	pending     map[consensus.Index]Operation

	// voters is the list of voters in the node's configuration. The fields below it are used only by repair schedules.
	voters         []ident.NodeID
	seeds          []ident.NodeID
	roster         map[ident.NodeID]rosterEntry
	decommissioned bool // the machine was replaced by another one
	impaired       bool
	lostUntil      int // after an impairment, counts as lost until this tick
}

type inFlightMessage struct {
	at  int
	msg []byte
}

type sim struct {
	rnd      *rand.Rand
	opts     Options
	faults   Faults
	nodes    []*node
	ids      []ident.NodeID
	inFlight []inFlightMessage
	cutLinks map[[2]ident.NodeID]bool
	tick     int
	lastDisk consensus.DiskID
	opClock  int64
	err      error
	// onAnswered is called after a node has answered an operation.
	onAnswered func(*node)

	// State for checking invariants across nodes and time.
	cluster          consensus.ClusterID
	leaderOf         map[consensus.Term]consensus.DiskID
	electedAt        map[consensus.Term]time.Time
	commitAtElection map[consensus.Term]consensus.Index // highest index committed when the term's leader was elected
	committed        map[consensus.Index]consensus.Entry
	states           map[consensus.Index]register
	lastCommit       consensus.Index

	unanswered map[int]Operation
	nextOp     int
	result     Result
}

func newSim(seed int64, o Options) *sim {
	s := &sim{
		rnd: rand.New(rand.NewSource(seed)), opts: o, faults: o.Faults, cutLinks: map[[2]ident.NodeID]bool{},
		leaderOf: map[consensus.Term]consensus.DiskID{}, electedAt: map[consensus.Term]time.Time{}, commitAtElection: map[consensus.Term]consensus.Index{},
		committed: map[consensus.Index]consensus.Entry{}, states: map[consensus.Index]register{0: {}},
		unanswered: map[int]Operation{}, onAnswered: func(*node) {},
	}
	for i := range o.Voters {
		s.ids = append(s.ids, ident.NodeID(fmt.Sprintf("v%d", i)))
	}
	for _, id := range s.ids {
		s.lastDisk++
		s.nodes = append(s.nodes, &node{id: id, disk: s.lastDisk, voters: s.ids, pending: map[consensus.Index]Operation{}})
	}

	return s
}

func (s *sim) now() time.Time { return time.Unix(0, 0).Add(time.Duration(s.tick) * simTick) }

func (s *sim) failf(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf("tick %d: %s", s.tick, fmt.Sprintf(format, args...))
	}
}

func (s *sim) start(n *node) {
	cfg := consensus.Config{
		ID: n.id, Disk: n.disk, Voters: n.voters, Rand: rand.New(rand.NewSource(s.rnd.Int63())), //nolint:gosec // reproducible
		Tick: simTick, HeartbeatTicks: simHeartbeat, ElectionTicks: simElection, SnapshotChunkBytes: 7, MaxAppendEntries: 2,
		NoPreVote: s.opts.NoPreVote, NoCheckQuorum: s.opts.NoCheckQuorum,
	}
	saved := n.saved
	saved.Entries = slices.Clone(saved.Entries)
	raft, err := consensus.New(cfg, saved)
	if err != nil {
		s.failf("start node %s: %v", n.id, err)
		return
	}
	n.raft, n.sm, n.applied = raft, register{}, 0
	if saved.Snapshot != nil {
		s.restore(n, saved.Snapshot)
	}
}

func (s *sim) restore(n *node, snap *consensus.Snapshot) {
	n.sm = register{}
	if _, err := fmt.Sscanf(string(snap.Data), "%d %d", &n.sm.value, &n.sm.hash); err != nil {
		s.failf("parse snapshot of %s: %v", n.id, err)
	}
	n.applied = snap.Meta.Index
	if want := s.states[n.applied]; want != n.sm {
		s.failf("%s restored state %+v at index %d, want %+v", n.id, n.sm, n.applied, want)
	}
}

func (s *sim) crash(n *node, down int) {
	n.raft, n.downUntil = nil, s.tick+down
	n.pending = map[consensus.Index]Operation{} // the outcomes are unknown
}

func (s *sim) send(messages []consensus.Message) {
	for _, m := range messages {
		b, err := consensus.Encode(m)
		if err != nil {
			s.failf("encode message: %v", err)
			return
		}
		for copies := 1; copies > 0; copies-- {
			if s.rnd.Float64() >= s.faults.Loss {
				s.inFlight = append(s.inFlight, inFlightMessage{at: s.tick + 1 + s.rnd.Intn(3), msg: b})
			}
			if s.rnd.Float64() < s.faults.Duplicate {
				copies++
			}
		}
	}
}

// processReady carries out the pending work of a node. A crash may interrupt it between any two steps.
func (s *sim) processReady(n *node) {
	for {
		r := n.raft.Ready()
		if r.Empty() {
			break
		}
		s.send(r.ImmediateMessages)
		if s.rnd.Float64() < s.faults.CrashMidReady {
			s.crash(n, 1+s.rnd.Intn(6))
			return
		}
		s.persist(n, r)
		if s.rnd.Float64() < s.faults.CrashMidReady {
			s.crash(n, 1+s.rnd.Intn(6))
			return
		}
		n.raft.Advance(s.now(), r)
		s.send(r.Messages)
		for _, e := range r.Committed {
			s.apply(n, e)
		}
	}
	s.snapshot(n)
	s.checkInvariants(n)
}

func (s *sim) persist(n *node, r consensus.Ready) {
	if r.HardState != nil {
		n.saved.HardState = *r.HardState
	}
	if r.Snapshot != nil {
		n.saved.Snapshot, n.saved.Entries = r.Snapshot, nil
		s.restore(n, r.Snapshot)
		s.result.SnapshotsInstalled++
	}
	for _, e := range r.Entries {
		keep := slices.IndexFunc(n.saved.Entries, func(o consensus.Entry) bool { return o.Index >= e.Index })
		if keep >= 0 {
			n.saved.Entries = n.saved.Entries[:keep:keep]
		}
		n.saved.Entries = append(n.saved.Entries, e)
	}
}

func (s *sim) apply(n *node, e consensus.Entry) {
	if e.Index != n.applied+1 {
		s.failf("%s applied entry %d after entry %d", n.id, e.Index, n.applied)
	}
	result := n.sm.apply(e)
	n.applied = e.Index
	if want, ok := s.committed[e.Index]; ok && (want.Term != e.Term || string(want.Data) != string(e.Data)) {
		s.failf("%s committed %+v, but %+v was already committed at this index", n.id, e, want)
	}
	s.committed[e.Index] = e
	s.lastCommit = max(s.lastCommit, e.Index)
	if want, ok := s.states[e.Index]; ok && want != n.sm {
		s.failf("%s has state %+v at index %d, want %+v", n.id, n.sm, e.Index, want)
	}
	s.states[e.Index] = n.sm

	if op, ok := n.pending[e.Index]; ok {
		delete(n.pending, e.Index)
		if op.term == e.Term {
			s.completeOperation(op, result)
			s.onAnswered(n)
		}
	}
}

func (s *sim) snapshot(n *node) {
	if n.saved.Snapshot != nil && n.applied < n.saved.Snapshot.Meta.Index+10 || n.applied < 10 {
		return
	}
	meta, err := n.raft.SnapshotMetaAt(n.applied)
	if err != nil {
		s.failf("snapshot metadata of %s: %v", n.id, err)
		return
	}
	snap := &consensus.Snapshot{Meta: meta, Data: fmt.Appendf(nil, "%d %d", n.sm.value, n.sm.hash)}
	n.saved.Snapshot = snap
	base := n.raft.Compact(snap, simTrailing)
	n.saved.Entries = slices.DeleteFunc(slices.Clone(n.saved.Entries), func(e consensus.Entry) bool { return e.Index <= base })
}

// checkInvariants checks that there is only one cluster, and the invariants of leaders.
func (s *sim) checkInvariants(n *node) {
	st := n.raft.Status()
	if c := n.saved.HardState.Cluster; c != 0 && s.cluster == 0 {
		s.cluster = c
	} else if c != 0 && c != s.cluster {
		s.failf("%s belongs to cluster %d, but cluster %d was formed earlier", n.id, c, s.cluster)
	}
	if st.Role != consensus.RoleLeader {
		return
	}
	if disk, ok := s.leaderOf[st.Term]; !ok {
		s.result.Elections++
		s.result.LastTerm = max(s.result.LastTerm, st.Term)
		s.leaderOf[st.Term] = n.disk
		s.electedAt[st.Term] = s.now()
		s.commitAtElection[st.Term] = s.lastCommit
	} else if disk != n.disk {
		s.failf("term %d has two leaders, disks %d and %d", st.Term, disk, n.disk)
	}
	if st.Ready && st.Commit < s.commitAtElection[st.Term] {
		s.failf("%s is ready at commit %d, but %d was committed before its election", n.id, st.Commit, s.commitAtElection[st.Term])
	}
	// A leader grants leases that last for a fixed time after QuorumAt. They must have expired when that time has passed
	// since a later election, so QuorumAt must not be after it.
	if st.Term == s.result.LastTerm {
		return
	}
	for term, at := range s.electedAt {
		if term > st.Term && st.QuorumAt.After(at) {
			s.failf("leader of term %d has a quorum at %v, after the election of term %d at %v", st.Term, st.QuorumAt, term, at)
		}
	}
}

// propose starts an operation on a random node if that node is a leader.
func (s *sim) propose() {
	n := s.nodes[s.rnd.Intn(len(s.nodes))]
	if n.raft == nil || s.tick < n.frozenUntil {
		return
	}

	s.nextOp++
	op := Operation{ID: s.nextOp, Write: s.rnd.Intn(2) == 0, Value: uint64(s.nextOp)}
	index, term, err := n.raft.Propose(s.now(), fmt.Appendf(nil, "%d %t %d", op.ID, op.Write, op.Value))
	if err != nil {
		return
	}

	s.opClock++
	op.term, op.Call = term, s.opClock
	n.pending[index] = op
	s.unanswered[op.ID] = op
	s.processReady(n)
}

func (s *sim) completeOperation(op Operation, result uint64) {
	s.opClock++
	s.result.Answered++
	delete(s.unanswered, op.ID)
	op.Result, op.Answered, op.Return = result, true, s.opClock
	s.result.History = append(s.result.History, op)
}

// step advances the simulation by one tick.
func (s *sim) step() {
	s.tick++
	due := s.inFlight[:0:0]
	notDue := s.inFlight[:0]
	for _, f := range s.inFlight {
		if f.at <= s.tick {
			due = append(due, f)
		} else {
			notDue = append(notDue, f)
		}
	}
	s.inFlight = notDue
	s.rnd.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, f := range due {
		s.deliver(f)
	}

	for _, n := range s.nodes {
		switch {
		case n.decommissioned:
		case n.raft == nil && s.tick >= n.downUntil:
			s.start(n)
		case n.raft != nil && s.tick >= n.frozenUntil:
			n.raft.Tick(s.now())
			s.processReady(n)
		}
	}
	if s.rnd.Intn(3) == 0 {
		s.propose()
	}
	s.countLeaders()
}

func (s *sim) deliver(f inFlightMessage) {
	m, err := consensus.Decode(f.msg)
	if err != nil {
		s.failf("decode message: %v", err)
		return
	}
	n := s.nodes[slices.Index(s.ids, m.To)]
	switch {
	case s.cutLinks[[2]ident.NodeID{m.From, m.To}] || n.raft == nil:
	case s.tick < n.frozenUntil:
		s.inFlight = append(s.inFlight, inFlightMessage{at: n.frozenUntil, msg: f.msg})
	default:
		n.raft.Step(s.now(), m)
		s.processReady(n)
	}
}

// countLeaders counts ticks without a leader that can serve, and ticks with a leader that has lost its quorum and has not
// stepped down.
func (s *sim) countLeaders() {
	const limit = 2 * simElection * simTick
	serves, stale := false, false
	for _, n := range s.nodes {
		if n.raft == nil || s.tick < n.frozenUntil {
			continue
		}
		st := n.raft.Status()
		if st.Role != consensus.RoleLeader {
			continue
		}
		recent := s.now().Sub(st.QuorumAt) <= limit
		serves = serves || (st.Ready && recent)
		stale = stale || (!recent && s.now().Sub(st.LeaderSince) > limit)
	}
	if !serves {
		s.result.TicksWithoutLeader++
	}
	if stale {
		s.result.TicksWithStaleLeader++
	}
}
