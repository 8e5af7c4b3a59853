package consensus

// A simulated cluster in virtual time: nodes with durable and volatile state, a network that delays, loses,
// repeats and reorders messages, and a schedule of faults drawn from a seed. Invariants are checked after
// every step.

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"fulmarfall/ident"

	"github.com/anishathalye/porcupine"
)

const (
	simTick      = 20 * time.Millisecond
	simHeartbeat = 3
	simElection  = 12
	simTrailing  = 4
)

// machine is a register with a hash over everything applied.
type machine struct {
	value, hash uint64
}

func (m *machine) apply(e Entry) uint64 {
	m.hash = m.hash*1099511628211 + uint64(e.Index)<<20 + uint64(e.Term) + uint64(e.Kind)
	if e.Kind != EntryCommand {
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

type simNode struct {
	id      ident.NodeID
	disk    DiskID
	node    *Node // nil: down
	saved   Saved // durable
	sm      machine
	applied Index
	frozen  int // until this tick
	downTo  int
	pending map[Index]simOp
}

type simOp struct {
	term   Term
	id     int
	client int
	write  bool
	value  uint64
	call   int64
}

type flight struct {
	at  int
	msg []byte
}

// faults are the probabilities per tick of one schedule.
type faults struct {
	loss, repeat, crash, crashInside, freeze, cut, oneWay, heal, loseDisk, remove float64
}

type sim struct {
	rnd     *rand.Rand
	cfg     Config
	faults  faults
	nodes   []*simNode
	ids     []ident.NodeID
	flights []flight
	cuts    map[[2]ident.NodeID]bool
	tick    int
	disks   DiskID
	steps   int64
	err     error

	// What every run must agree on.
	leaderOf    map[Term]DiskID
	electedAt   map[Term]time.Time
	commitAt    map[Term]Index // committed anywhere when the term's leader was elected
	committed   map[Index]Entry
	hashes      map[Index]machine
	lastCommit  Index
	maxQuorumAt map[Term]time.Time

	ops       []porcupine.Operation
	open      map[int]simOp
	nextOp    int
	snapshots int
	diskLost  int
	elections int
	okOps     int
	noLeader  int // ticks without a ready leader that a majority answers
}

func newSim(seed int64, size int, f faults) *sim {
	s := &sim{
		rnd: rand.New(rand.NewSource(seed)), faults: f, cuts: map[[2]ident.NodeID]bool{},
		leaderOf: map[Term]DiskID{}, electedAt: map[Term]time.Time{}, commitAt: map[Term]Index{},
		committed: map[Index]Entry{}, hashes: map[Index]machine{0: {}}, maxQuorumAt: map[Term]time.Time{},
		open: map[int]simOp{},
	}
	for i := range size {
		s.ids = append(s.ids, ident.NodeID(fmt.Sprintf("v%d", i)))
	}
	for _, id := range s.ids {
		s.disks++
		s.nodes = append(s.nodes, &simNode{id: id, disk: s.disks, pending: map[Index]simOp{}})
	}

	return s
}

func (s *sim) now() time.Time { return time.Unix(0, 0).Add(time.Duration(s.tick) * simTick) }

func (s *sim) failf(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf("tick %d: %s", s.tick, fmt.Sprintf(format, args...))
	}
}

func (s *sim) start(n *simNode) {
	cfg := s.cfg
	cfg.ID, cfg.Disk, cfg.Voters, cfg.Tick = n.id, n.disk, s.ids, simTick
	cfg.HeartbeatTicks, cfg.ElectionTicks, cfg.ChunkBytes, cfg.AppendEntries = simHeartbeat, simElection, 7, 2
	cfg.Rand = rand.New(rand.NewSource(s.rnd.Int63()))
	saved := n.saved
	saved.Entries = slices.Clone(saved.Entries)
	node, err := New(cfg, saved)
	if err != nil {
		s.failf("start %s: %v", n.id, err)
		return
	}
	n.node, n.sm, n.applied = node, machine{}, 0
	if saved.Snapshot != nil {
		s.restore(n, saved.Snapshot)
	}
}

func (s *sim) restore(n *simNode, snap *Snapshot) {
	n.sm = machine{}
	if _, err := fmt.Sscanf(string(snap.Data), "%d %d", &n.sm.value, &n.sm.hash); err != nil {
		s.failf("snapshot of %s: %v", n.id, err)
	}
	n.applied = snap.Meta.Index
	if want := s.hashes[n.applied]; want != n.sm {
		s.failf("%s restored %+v at %d, want %+v", n.id, n.sm, n.applied, want)
	}
}

func (s *sim) crash(n *simNode, down int) {
	n.node, n.downTo = nil, s.tick+down
	n.pending = map[Index]simOp{} // outcomes unknown
}

func (s *sim) send(messages []Message) {
	for _, m := range messages {
		b, err := Encode(m)
		if err != nil {
			s.failf("encode: %v", err)
			return
		}
		for copies := 1; copies > 0; copies-- {
			if s.rnd.Float64() >= s.faults.loss {
				s.flights = append(s.flights, flight{at: s.tick + 1 + s.rnd.Intn(3), msg: b})
			}
			if s.rnd.Float64() < s.faults.repeat {
				copies++
			}
		}
	}
}

// process carries out the work of a node; a crash can come at any point of it.
func (s *sim) process(n *simNode) {
	for {
		r := n.node.Ready()
		if r.Empty() {
			break
		}
		s.send(r.Early)
		if s.rnd.Float64() < s.faults.crashInside {
			s.crash(n, 1+s.rnd.Intn(6))
			return
		}
		s.persist(n, r)
		if s.rnd.Float64() < s.faults.crashInside {
			s.crash(n, 1+s.rnd.Intn(6))
			return
		}
		n.node.Advance(s.now(), r)
		s.send(r.Messages)
		for _, e := range r.Committed {
			s.apply(n, e)
		}
	}
	s.snapshot(n)
	s.check(n)
}

func (s *sim) persist(n *simNode, r Ready) {
	if r.HardState != nil {
		n.saved.HardState = *r.HardState
	}
	if r.Snapshot != nil {
		n.saved.Snapshot, n.saved.Entries = r.Snapshot, nil
		s.restore(n, r.Snapshot)
		s.snapshots++
	}
	for _, e := range r.Entries {
		keep := slices.IndexFunc(n.saved.Entries, func(o Entry) bool { return o.Index >= e.Index })
		if keep >= 0 {
			n.saved.Entries = n.saved.Entries[:keep:keep]
		}
		n.saved.Entries = append(n.saved.Entries, e)
	}
}

func (s *sim) apply(n *simNode, e Entry) {
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
		}
	}
}

func (s *sim) snapshot(n *simNode) {
	if n.saved.Snapshot != nil && n.applied < n.saved.Snapshot.Meta.Index+10 || n.applied < 10 {
		return
	}
	meta, err := n.node.MetaAt(n.applied)
	if err != nil {
		s.failf("%s: %v", n.id, err)
		return
	}
	snap := &Snapshot{Meta: meta, Data: fmt.Appendf(nil, "%d %d", n.sm.value, n.sm.hash)}
	n.saved.Snapshot = snap
	base := n.node.Compact(snap, simTrailing)
	n.saved.Entries = slices.DeleteFunc(slices.Clone(n.saved.Entries), func(e Entry) bool { return e.Index <= base })
}

// check tests the invariants that concern leaders.
func (s *sim) check(n *simNode) {
	st := n.node.Status()
	if st.Role != RoleLeader {
		return
	}
	if disk, ok := s.leaderOf[st.Term]; !ok {
		s.elections++
		s.leaderOf[st.Term] = n.disk
		s.electedAt[st.Term] = s.now()
		s.commitAt[st.Term] = s.lastCommit
	} else if disk != n.disk {
		s.failf("term %d has two leaders, disks %d and %d", st.Term, disk, n.disk)
	}
	if st.Ready && st.Commit < s.commitAt[st.Term] {
		s.failf("%s is ready at commit %d, but %d was committed before its election", n.id, st.Commit, s.commitAt[st.Term])
	}
	if st.QuorumAt.After(s.maxQuorumAt[st.Term]) {
		s.maxQuorumAt[st.Term] = st.QuorumAt
	}
	// A lease granted up to QuorumAt plus its term must have ended that term after a later election.
	for term, at := range s.electedAt {
		for earlier, quorumAt := range s.maxQuorumAt {
			if earlier < term && quorumAt.After(at) {
				s.failf("leader of term %d counts a quorum at %v, after the election of term %d at %v", earlier, quorumAt, term, at)
			}
		}
	}
}

func (s *sim) propose(client int) {
	n := s.nodes[s.rnd.Intn(len(s.nodes))]
	if n.node == nil || s.tick < n.frozen {
		return
	}
	s.nextOp++
	op := simOp{id: s.nextOp, client: client, write: s.rnd.Intn(2) == 0, value: uint64(s.nextOp)}
	data := fmt.Appendf(nil, "%d %t %d", op.id, op.write, op.value)
	index, term, err := n.node.Propose(s.now(), data)
	if err != nil {
		return
	}
	s.steps++
	op.term, op.call = term, s.steps
	n.pending[index] = op
	s.open[op.id] = op
	s.process(n)
}

func (s *sim) finish(op simOp, result uint64) {
	s.steps++
	s.okOps++
	delete(s.open, op.id)
	s.ops = append(s.ops, porcupine.Operation{ClientId: op.id, Input: op, Call: op.call, Output: result, Return: s.steps})
}

// registerModel is the sequential behaviour that the history must have.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		op := input.(simOp)
		if op.write {
			return output == nil || output.(uint64) == op.value, op.value
		}
		return output == nil || output.(uint64) == state.(uint64), state
	},
}

// history returns all operations; those without an answer may take effect at any later time or never.
func (s *sim) history() []porcupine.Operation {
	out := slices.Clone(s.ops)
	for _, op := range s.open {
		if op.write {
			out = append(out, porcupine.Operation{ClientId: op.id, Input: op, Call: op.call, Return: s.steps + 1})
		}
	}

	return out
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
		case n.node == nil && s.tick >= n.downTo:
			s.start(n)
		case n.node != nil && s.tick >= n.frozen:
			n.node.Tick(s.now())
			s.process(n)
		}
	}
	if s.rnd.Intn(3) == 0 {
		s.propose(0)
	}
	if !s.hasQuorumLeader() {
		s.noLeader++
	}
}

func (s *sim) deliver(f flight) {
	m, err := Decode(f.msg)
	if err != nil {
		s.failf("decode: %v", err)
		return
	}
	n := s.nodes[slices.Index(s.ids, m.To)]
	switch {
	case s.cuts[[2]ident.NodeID{m.From, m.To}] || n.node == nil:
	case s.tick < n.frozen:
		s.flights = append(s.flights, flight{at: n.frozen, msg: f.msg})
	default:
		n.node.Step(s.now(), m)
		s.process(n)
	}
}

func (s *sim) hasQuorumLeader() bool {
	for _, n := range s.nodes {
		if n.node == nil || s.tick < n.frozen {
			continue
		}
		if st := n.node.Status(); st.Ready && s.now().Sub(st.QuorumAt) < 2*simElection*simTick {
			return true
		}
	}

	return false
}
