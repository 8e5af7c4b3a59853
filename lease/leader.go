package lease

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fulmarfall/ident"
	"fulmarfall/registry"
)

// Defaults of the planned moves.
const (
	// defaultMaxMoves bounds the searchers that are in motion at once.
	defaultMaxMoves = 16
	// defaultMoveEvery spaces the moves that only rebalance, to four a second.
	defaultMoveEvery = 250 * time.Millisecond
	// repeatAfter is the time after which a command that has had no effect is made again. It is
	// longer than a commit takes.
	repeatAfter = time.Second
	// freshFor is the age of the last renewal up to which a node is given searchers. It is two
	// lost renewals and a little more.
	freshFor = 3 * RenewEvery
	// listenFor is the time for which a new leader collects renewals before it assigns
	// searchers that have no owner, so that it does not give all to the first nodes it hears.
	listenFor = 2 * RenewEvery
	// maxCommands bounds the commands of one Plan.
	maxCommands = 256
)

type node struct {
	info    NodeInfo
	renewed time.Time
}

type emitted struct {
	epoch ident.Epoch
	move  registry.MoveState
	at    time.Time
}

// Leader is the leader's side of all leases. Make a new one at each election. It is not safe for
// concurrent use.
type Leader struct {
	// drift is added to each wait: a fast clock then ends it no earlier than its true time.
	drift time.Duration
	// elapsed is added to the time since the last quorum: a slow clock then does not make it
	// shorter than its true time.
	elapsed time.Duration

	maxMoves  int
	moveEvery time.Duration

	nodes map[ident.NodeID]*node
	// leases holds the end of the leader's wait for each run, also of runs that have been
	// followed by another.
	leases map[run]time.Time
	// fenced counts the searchers of a run that are being reassigned because its lease has run
	// out. Such a run is granted no lease until the assignment is in the control state: the
	// state that it would have to apply first would not contain the assignment yet.
	fenced map[run]int
	// losses are the reassignments behind the counts of fenced.
	losses  map[ident.SearcherID]loss
	emitted map[ident.SearcherID]emitted

	lastMove time.Time
	pref     preferences
}

type loss struct {
	run   run
	epoch ident.Epoch
}

// Option changes a Leader at its construction.
type Option func(*Leader)

// WithMaxMoves sets the number of searchers that may be in motion at once.
func WithMaxMoves(n int) Option { return func(l *Leader) { l.maxMoves = n } }

// WithMoveEvery sets the time between moves that only rebalance.
func WithMoveEvery(d time.Duration) Option { return func(l *Leader) { l.moveEvery = d } }

// NewLeader returns the leader's side at the start of its leadership.
func NewLeader(opts ...Option) *Leader {
	l := &Leader{
		drift: driftPercent, elapsed: elapsedPercent,
		maxMoves: defaultMaxMoves, moveEvery: defaultMoveEvery,
		nodes: make(map[ident.NodeID]*node), leases: make(map[run]time.Time), fenced: make(map[run]int),
		losses: make(map[ident.SearcherID]loss), emitted: make(map[ident.SearcherID]emitted),
	}
	for _, o := range opts {
		o(l)
	}

	return l
}

// Renew grants a lease. quorumAt is the leader's clock at the start of its last heartbeat round
// that a majority acknowledged, or zero before the leader has committed an entry of its own term.
// The caller must read the commit index that the node has to apply after Renew has returned.
func (l *Leader) Renew(now, quorumAt time.Time, n NodeInfo) (time.Duration, error) {
	if n.ID == "" || n.Incarnation == 0 || n.FailureDomain == "" {
		return 0, fmt.Errorf("renew lease of %q: %w", n.ID, ErrBadNode)
	}
	if quorumAt.IsZero() {
		return 0, fmt.Errorf("renew lease of %s: %w", n.ID, ErrNoQuorum)
	}
	// A new leader can have been elected at any moment after quorumAt, and it waits one term from
	// then. The time since quorumAt is taken as the longest true time it can have been.
	granted := min(Term, Term-more(now.Sub(quorumAt), l.elapsed))
	if granted <= 0 {
		return 0, fmt.Errorf("renew lease of %s: %w", n.ID, ErrNoQuorum)
	}
	r := run{n.ID, n.Incarnation}
	known := l.nodes[n.ID]
	if known != nil && known.info.Incarnation > n.Incarnation {
		return 0, fmt.Errorf("renew lease of %s: %w", n.ID, ErrOldIncarnation)
	}
	if l.fenced[r] > 0 {
		return 0, fmt.Errorf("renew lease of %s: %w", n.ID, ErrReassigning)
	}
	if known == nil {
		known = new(node)
		l.nodes[n.ID] = known
	}
	known.info, known.renewed = n, now
	if until := now.Add(more(granted, l.drift)); until.After(l.leases[r]) {
		l.leases[r] = until
	}

	return granted, nil
}

// Nodes returns the nodes that hold a lease, ordered by id.
func (l *Leader) Nodes(now time.Time) []NodeInfo {
	list := make([]NodeInfo, 0, len(l.nodes))
	for _, n := range l.nodes {
		if l.holds(now, run{n.info.ID, n.info.Incarnation}) {
			list = append(list, n.info)
		}
	}
	slices.SortFunc(list, func(a, b NodeInfo) int { return cmp.Compare(a.ID, b.ID) })

	return list
}

func (l *Leader) holds(now time.Time, r run) bool { return now.Before(l.leases[r]) }

// expire forgets what has no effect any more, so that restarts do not add up.
func (l *Leader) expire(now time.Time) {
	for r, until := range l.leases {
		if now.Before(until) {
			continue
		}
		delete(l.leases, r)
		if n := l.nodes[r.id]; n != nil && n.info.Incarnation == r.inc {
			delete(l.nodes, r.id)
		}
	}
}

// settle drops the fences of the reassignments that the control state contains.
func (l *Leader) settle(reg *registry.Registry) {
	for id, lost := range l.losses {
		if s, ok := reg.Searcher(id); ok && s.Epoch == lost.epoch {
			continue
		}
		delete(l.losses, id)
		if l.fenced[lost.run]--; l.fenced[lost.run] <= 0 {
			delete(l.fenced, lost.run)
		}
	}
	for id, e := range l.emitted {
		if s, ok := reg.Searcher(id); !ok || s.Epoch != e.epoch || s.Move != e.move {
			delete(l.emitted, id)
		}
	}
}
