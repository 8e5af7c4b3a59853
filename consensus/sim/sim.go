// Package sim runs voters of package consensus in virtual time: nodes with durable and volatile state, a network
// that delays, loses, repeats and reorders messages, and a schedule of faults drawn from a seed. Invariants are
// checked after every step. The same runs serve the property test and the measurements in docs/consensus.md.
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

// Operation is one read or write of the register by a proposal. An operation without an answer may take effect at any
// time after its call, or never.
type Operation struct {
	ID           int
	Write        bool
	Value        uint64 // written
	Result       uint64 // register after a write, or as read
	Answered     bool
	Call, Return int64 // order of calls and answers in the run
	term         consensus.Term
}

// Faults are the probabilities per tick of each fault.
type Faults struct {
	Loss, Repeat float64 // of a message
	Crash        float64
	CrashInside  float64 // between two steps of handling a Ready
	Freeze       float64
	Cut, OneWay  float64 // of a node in both directions, of one direction between two nodes
	Heal         float64 // of all cuts
	LoseDisk     float64
	Remove       float64 // of a voter
}

// Options describe a run.
type Options struct {
	Voters                   int
	Ticks                    int // with faults
	Faults                   Faults
	NoPreVote, NoCheckQuorum bool
	Recover                  bool // the faults end, and the cluster must recover
}

// Result is what happened in a run.
type Result struct {
	Err                error // first violation of an invariant
	Elections          int
	LastTerm           consensus.Term
	TicksWithoutLeader int // no ready leader has a recent quorum
	TicksOfStaleLeader int // some leader has had no quorum for two election timeouts
	SnapshotsInstalled int
	DisksLost          int
	Answered           int // operations
	History            []Operation
}

// machine is a register with a hash over everything applied.
type machine struct {
	value, hash uint64
}

func (m *machine) apply(e consensus.Entry) uint64 {
	m.hash = m.hash*1099511628211 + uint64(e.Index)<<20 + uint64(e.Term) + uint64(e.Kind)
	if e.Kind != consensus.EntryCommand {
		return 0
	}
	var id, value uint64
	var write bool
	if _, err := fmt.Sscanf(string(e.Data), "%d %t %d", &id, &write, &value); err != nil {
		panic(err)
	}
	m.hash = m.hash*1099511628211 + id
	if write {
		m.value = value
	}

	return m.value
}

type node struct {
	id      ident.NodeID
	disk    consensus.DiskID
	raft    *consensus.Node // nil: down
	saved   consensus.Saved // durable
	sm      machine
	applied consensus.Index
	frozen  int // until this tick
	downTo  int
	pending map[consensus.Index]Operation

	// voters is the list that the voter is started with. The other fields serve repair schedules only.
	voters   []ident.NodeID
	seeds    []ident.NodeID
	roster   map[ident.NodeID]sighting
	gone     bool // the machine was taken away
	impaired bool
	lostTo   int // counts as lost until this tick, besides while it is impaired
}

type flight struct {
	at  int
	msg []byte
}

type sim struct {
	rnd     *rand.Rand
	opts    Options
	faults  Faults
	nodes   []*node
	ids     []ident.NodeID
	flights []flight
	cuts    map[[2]ident.NodeID]bool
	tick    int
	disks   consensus.DiskID
	steps   int64
	err     error
	// answered is called after a node has answered an operation.
	answered func(*node)

	// What every run must agree on.
	cluster    consensus.ClusterID
	leaderOf   map[consensus.Term]consensus.DiskID
	electedAt  map[consensus.Term]time.Time
	commitAt   map[consensus.Term]consensus.Index // committed anywhere when the term's leader was elected
	committed  map[consensus.Index]consensus.Entry
	hashes     map[consensus.Index]machine
	lastCommit consensus.Index

	open   map[int]Operation
	nextOp int
	result Result
}

func newSim(seed int64, o Options) *sim {
	s := &sim{
		rnd: rand.New(rand.NewSource(seed)), opts: o, faults: o.Faults, cuts: map[[2]ident.NodeID]bool{},
		leaderOf: map[consensus.Term]consensus.DiskID{}, electedAt: map[consensus.Term]time.Time{}, commitAt: map[consensus.Term]consensus.Index{},
		committed: map[consensus.Index]consensus.Entry{}, hashes: map[consensus.Index]machine{0: {}},
		open: map[int]Operation{}, answered: func(*node) {},
	}
	for i := range o.Voters {
		s.ids = append(s.ids, ident.NodeID(fmt.Sprintf("v%d", i)))
	}
	for _, id := range s.ids {
		s.disks++
		s.nodes = append(s.nodes, &node{id: id, disk: s.disks, voters: s.ids, pending: map[consensus.Index]Operation{}})
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
		ID: n.id, Disk: n.disk, Voters: n.voters, Rand: rand.New(rand.NewSource(s.rnd.Int63())), //nolint:gosec // repeatable
		Tick: simTick, HeartbeatTicks: simHeartbeat, ElectionTicks: simElection, ChunkBytes: 7, AppendEntries: 2,
		NoPreVote: s.opts.NoPreVote, NoCheckQuorum: s.opts.NoCheckQuorum,
	}
	saved := n.saved
	saved.Entries = slices.Clone(saved.Entries)
	raft, err := consensus.New(cfg, saved)
	if err != nil {
		s.failf("start %s: %v", n.id, err)
		return
	}
	n.raft, n.sm, n.applied = raft, machine{}, 0
	if saved.Snapshot != nil {
		s.restore(n, saved.Snapshot)
	}
}

func (s *sim) restore(n *node, snap *consensus.Snapshot) {
	n.sm = machine{}
	if _, err := fmt.Sscanf(string(snap.Data), "%d %d", &n.sm.value, &n.sm.hash); err != nil {
		s.failf("snapshot of %s: %v", n.id, err)
	}
	n.applied = snap.Meta.Index
	if want := s.hashes[n.applied]; want != n.sm {
		s.failf("%s restored %+v at %d, want %+v", n.id, n.sm, n.applied, want)
	}
}

func (s *sim) crash(n *node, down int) {
	n.raft, n.downTo = nil, s.tick+down
	n.pending = map[consensus.Index]Operation{} // outcomes unknown
}

func (s *sim) send(messages []consensus.Message) {
	for _, m := range messages {
		b, err := consensus.Encode(m)
		if err != nil {
			s.failf("encode: %v", err)
			return
		}
		for copies := 1; copies > 0; copies-- {
			if s.rnd.Float64() >= s.faults.Loss {
				s.flights = append(s.flights, flight{at: s.tick + 1 + s.rnd.Intn(3), msg: b})
			}
			if s.rnd.Float64() < s.faults.Repeat {
				copies++
			}
		}
	}
}

// process carries out the work of a node; a crash can come at any point of it.
func (s *sim) process(n *node) {
	for {
		r := n.raft.Ready()
		if r.Empty() {
			break
		}
		s.send(r.Early)
		if s.rnd.Float64() < s.faults.CrashInside {
			s.crash(n, 1+s.rnd.Intn(6))
			return
		}
		s.persist(n, r)
		if s.rnd.Float64() < s.faults.CrashInside {
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
	s.check(n)
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
		s.failf("%s applies %d after %d", n.id, e.Index, n.applied)
	}
	result := n.sm.apply(e)
	n.applied = e.Index
	if want, ok := s.committed[e.Index]; ok && (want.Term != e.Term || string(want.Data) != string(e.Data)) {
		s.failf("%s commits %+v, but %+v was committed", n.id, e, want)
	}
	s.committed[e.Index] = e
	s.lastCommit = max(s.lastCommit, e.Index)
	if want, ok := s.hashes[e.Index]; ok && want != n.sm {
		s.failf("%s has state %+v at %d, want %+v", n.id, n.sm, e.Index, want)
	}
	s.hashes[e.Index] = n.sm

	if op, ok := n.pending[e.Index]; ok {
		delete(n.pending, e.Index)
		if op.term == e.Term {
			s.finish(op, result)
			s.answered(n)
		}
	}
}

func (s *sim) snapshot(n *node) {
	if n.saved.Snapshot != nil && n.applied < n.saved.Snapshot.Meta.Index+10 || n.applied < 10 {
		return
	}
	meta, err := n.raft.MetaAt(n.applied)
	if err != nil {
		s.failf("%s: %v", n.id, err)
		return
	}
	snap := &consensus.Snapshot{Meta: meta, Data: fmt.Appendf(nil, "%d %d", n.sm.value, n.sm.hash)}
	n.saved.Snapshot = snap
	base := n.raft.Compact(snap, simTrailing)
	n.saved.Entries = slices.DeleteFunc(slices.Clone(n.saved.Entries), func(e consensus.Entry) bool { return e.Index <= base })
}

// check tests the invariants that concern leaders.
func (s *sim) check(n *node) {
	st := n.raft.Status()
	if c := n.saved.HardState.Cluster; c != 0 && s.cluster == 0 {
		s.cluster = c
	} else if c != 0 && c != s.cluster {
		s.failf("%s is part of cluster %d, but cluster %d was formed", n.id, c, s.cluster)
	}
	if st.Role != consensus.RoleLeader {
		return
	}
	if disk, ok := s.leaderOf[st.Term]; !ok {
		s.result.Elections++
		s.result.LastTerm = max(s.result.LastTerm, st.Term)
		s.leaderOf[st.Term] = n.disk
		s.electedAt[st.Term] = s.now()
		s.commitAt[st.Term] = s.lastCommit
	} else if disk != n.disk {
		s.failf("term %d has two leaders, disks %d and %d", st.Term, disk, n.disk)
	}
	if st.Ready && st.Commit < s.commitAt[st.Term] {
		s.failf("%s is ready at commit %d, but %d was committed before its election", n.id, st.Commit, s.commitAt[st.Term])
	}
	// A lease granted up to QuorumAt plus its term must have ended that term after a later election.
	if st.Term == s.result.LastTerm {
		return
	}
	for term, at := range s.electedAt {
		if term > st.Term && st.QuorumAt.After(at) {
			s.failf("leader of term %d counts a quorum at %v, after the election of term %d at %v", st.Term, st.QuorumAt, term, at)
		}
	}
}

// propose starts an operation at a random node, if that leads.
func (s *sim) propose() {
	n := s.nodes[s.rnd.Intn(len(s.nodes))]
	if n.raft == nil || s.tick < n.frozen {
		return
	}

	s.nextOp++
	op := Operation{ID: s.nextOp, Write: s.rnd.Intn(2) == 0, Value: uint64(s.nextOp)}
	index, term, err := n.raft.Propose(s.now(), fmt.Appendf(nil, "%d %t %d", op.ID, op.Write, op.Value))
	if err != nil {
		return
	}

	s.steps++
	op.term, op.Call = term, s.steps
	n.pending[index] = op
	s.open[op.ID] = op
	s.process(n)
}

func (s *sim) finish(op Operation, result uint64) {
	s.steps++
	s.result.Answered++
	delete(s.open, op.ID)
	op.Result, op.Answered, op.Return = result, true, s.steps
	s.result.History = append(s.result.History, op)
}

// step runs one tick.
func (s *sim) step() {
	s.tick++
	due := s.flights[:0:0]
	rest := s.flights[:0]
	for _, f := range s.flights {
		if f.at <= s.tick {
			due = append(due, f)
		} else {
			rest = append(rest, f)
		}
	}
	s.flights = rest
	s.rnd.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, f := range due {
		s.deliver(f)
	}

	for _, n := range s.nodes {
		switch {
		case n.gone:
		case n.raft == nil && s.tick >= n.downTo:
			s.start(n)
		case n.raft != nil && s.tick >= n.frozen:
			n.raft.Tick(s.now())
			s.process(n)
		}
	}
	if s.rnd.Intn(3) == 0 {
		s.propose()
	}
	s.countLeaders()
}

func (s *sim) deliver(f flight) {
	m, err := consensus.Decode(f.msg)
	if err != nil {
		s.failf("decode: %v", err)
		return
	}
	n := s.nodes[slices.Index(s.ids, m.To)]
	switch {
	case s.cuts[[2]ident.NodeID{m.From, m.To}] || n.raft == nil:
	case s.tick < n.frozen:
		s.flights = append(s.flights, flight{at: n.frozen, msg: f.msg})
	default:
		n.raft.Step(s.now(), m)
		s.process(n)
	}
}

// countLeaders counts ticks without a leader that serves, and with one that can't know that it is deposed.
func (s *sim) countLeaders() {
	const limit = 2 * simElection * simTick
	serves, stale := false, false
	for _, n := range s.nodes {
		if n.raft == nil || s.tick < n.frozen {
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
		s.result.TicksOfStaleLeader++
	}
}
