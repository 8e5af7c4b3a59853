package lease

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fulmarfall/ident"
	"fulmarfall/registry"
)

// Limits on commands and planned moves.
const (
	// defaultMaxMoves bounds the planned moves in progress at once.
	defaultMaxMoves = 16
	// defaultMoveInterval limits rebalancing to four moves per second.
	defaultMoveInterval = 250 * time.Millisecond
	// proposalRetryInterval is the time after which a command that has had no effect is proposed
	// again. It is longer than a commit takes.
	proposalRetryInterval = time.Second
	// maxRenewalAge bounds the age of the last renewal of a node that is assigned searchers. It
	// tolerates two lost renewals.
	maxRenewalAge = 3 * RenewInterval
	// renewalCollectionPeriod is the time for which a new leader collects renewals before it
	// assigns searchers without an owner. Without it, the first nodes to renew would receive all
	// of them.
	renewalCollectionPeriod = 2 * RenewInterval
	// maxCommandsPerPlan bounds the commands that one call of Plan returns.
	maxCommandsPerPlan = 256
)

type node struct {
	info        NodeInfo
	lastRenewal time.Time
}

type proposal struct {
	epoch ident.Epoch
	move  registry.MoveState
	at    time.Time
}

// Leader is the leader-side state of all leases. Each leadership needs a new Leader. It is not safe
// for concurrent use.
type Leader struct {
	// driftMargin is the percentage by which each lease is extended on the leader, so that a fast
	// clock does not expire it before its true end.
	driftMargin time.Duration
	// elapsedMargin is the percentage that is added to the time since the last quorum, so that a
	// slow clock does not make it shorter than its true duration.
	elapsedMargin time.Duration

	maxMoves     int
	moveInterval time.Duration

	nodes map[ident.NodeID]*node
	// leases maps each incarnation of a node to the expiry of its lease on the leader. A superseded
	// incarnation stays until its lease expires.
	leases map[nodeIncarnation]time.Time
	// fenced counts, for each incarnation, the searchers that are being reassigned because its
	// lease has expired. A fenced incarnation is granted no lease until the reassignment is in the
	// control state: the index that the grant requires it to apply would precede the reassignment.
	fenced map[nodeIncarnation]int
	// reassignments are the uncommitted reassignments that fenced counts.
	reassignments map[ident.SearcherID]reassignment
	// proposals maps each searcher to its last proposal, to limit how often it is repeated.
	proposals map[ident.SearcherID]proposal

	lastMove  time.Time
	preferred preferredOwners
}

type reassignment struct {
	owner nodeIncarnation
	epoch ident.Epoch
}

// Option configures a Leader in NewLeader.
type Option func(*Leader)

// WithMaxMoves limits the planned moves in progress at once.
func WithMaxMoves(n int) Option { return func(l *Leader) { l.maxMoves = n } }

// WithMoveInterval sets the minimum time between rebalancing moves.
func WithMoveInterval(d time.Duration) Option { return func(l *Leader) { l.moveInterval = d } }

// NewLeader returns a Leader without leases, for the start of a leadership.
func NewLeader(opts ...Option) *Leader {
	l := &Leader{
		driftMargin: driftPercent, elapsedMargin: elapsedPercent,
		maxMoves: defaultMaxMoves, moveInterval: defaultMoveInterval,
		nodes: make(map[ident.NodeID]*node), leases: make(map[nodeIncarnation]time.Time), fenced: make(map[nodeIncarnation]int),
		reassignments: make(map[ident.SearcherID]reassignment), proposals: make(map[ident.SearcherID]proposal),
	}
	for _, o := range opts {
		o(l)
	}

	return l
}

// Renew grants a lease and returns its duration. quorumAt is the leader's clock at the start of its
// last heartbeat round that a majority acknowledged, or zero before the leader has committed an
// entry of its own term. The caller must read the commit index that the node has to apply only
// after Renew has returned.
func (l *Leader) Renew(now, quorumAt time.Time, n NodeInfo) (time.Duration, error) {
	if n.ID == "" || n.Incarnation == 0 || n.FailureDomain == "" {
		return 0, fmt.Errorf("renew lease of %q: %w", n.ID, ErrBadNode)
	}
	if quorumAt.IsZero() {
		return 0, fmt.Errorf("renew lease of %s: %w", n.ID, ErrNoQuorum)
	}
	// A new leader may have been elected at any time after quorumAt, and it waits for MaxDuration
	// from then on. elapsedMargin gives an upper bound of the true time since quorumAt.
	granted := min(MaxDuration, MaxDuration-lengthen(now.Sub(quorumAt), l.elapsedMargin))
	if granted <= 0 {
		return 0, fmt.Errorf("renew lease of %s: %w", n.ID, ErrNoQuorum)
	}
	inc := nodeIncarnation{n.ID, n.Incarnation}
	tracked := l.nodes[n.ID]
	if tracked != nil && tracked.info.Incarnation > n.Incarnation {
		return 0, fmt.Errorf("renew lease of %s: %w", n.ID, ErrOldIncarnation)
	}
	if l.fenced[inc] > 0 {
		return 0, fmt.Errorf("renew lease of %s: %w", n.ID, ErrReassigning)
	}
	if tracked == nil {
		tracked = new(node)
		l.nodes[n.ID] = tracked
	}
	tracked.info, tracked.lastRenewal = n, now
	if until := now.Add(lengthen(granted, l.driftMargin)); until.After(l.leases[inc]) {
		l.leases[inc] = until
	}

	return granted, nil
}

// Nodes returns the nodes with a valid lease, ordered by id.
func (l *Leader) Nodes(now time.Time) []NodeInfo {
	list := make([]NodeInfo, 0, len(l.nodes))
	for _, n := range l.nodes {
		if l.hasLease(now, nodeIncarnation{n.info.ID, n.info.Incarnation}) {
			list = append(list, n.info)
		}
	}
	slices.SortFunc(list, func(a, b NodeInfo) int { return cmp.Compare(a.ID, b.ID) })

	return list
}

func (l *Leader) hasLease(now time.Time, inc nodeIncarnation) bool { return now.Before(l.leases[inc]) }

// expireLeases drops expired leases and their nodes, so that memory does not grow with each restart
// of a node.
func (l *Leader) expireLeases(now time.Time) {
	for inc, until := range l.leases {
		if now.Before(until) {
			continue
		}
		delete(l.leases, inc)
		if n := l.nodes[inc.id]; n != nil && n.info.Incarnation == inc.incarnation {
			delete(l.nodes, inc.id)
		}
	}
}

// clearCommitted drops the fences and proposals whose changes the control state already contains.
func (l *Leader) clearCommitted(reg *registry.Registry) {
	for id, r := range l.reassignments {
		if s, ok := reg.Searcher(id); ok && s.Epoch == r.epoch {
			continue
		}
		delete(l.reassignments, id)
		if l.fenced[r.owner]--; l.fenced[r.owner] <= 0 {
			delete(l.fenced, r.owner)
		}
	}
	for id, p := range l.proposals {
		if s, ok := reg.Searcher(id); !ok || s.Epoch != p.epoch || s.Move != p.move {
			delete(l.proposals, id)
		}
	}
}
