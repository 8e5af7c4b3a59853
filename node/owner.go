// This file holds the searchers that this node owns: it follows the owner assignments of the control
// state and keeps one gate with its connections for each assignment.

package node

import (
	"context"
	"sync"
	"time"

	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/lease"
	"fulmarfall/registry"
	"fulmarfall/searcher"
)

// Times of the owner side.
const (
	// reconcileEvery bounds the delay between an applied change and its effect at the gates.
	reconcileEvery = 50 * time.Millisecond
	// silentAfter is how long a searcher may miss its announcements before it is out of routing.
	silentAfter = 5 * time.Second
	// repeatReport spaces reports to the leader that have had no effect yet.
	repeatReport = time.Second
)

// ownedTable holds the owned searchers.
type ownedTable struct {
	mu     sync.Mutex
	byID   map[ident.SearcherID]*ownedSearcher
	end    time.Time // lease end
	change chan struct{}
}

func (t *ownedTable) init() {
	t.byID = make(map[ident.SearcherID]*ownedSearcher)
	t.change = make(chan struct{}, 1)
}

func (t *ownedTable) wake() {
	select {
	case t.change <- struct{}{}:
	default:
	}
}

func (t *ownedTable) get(id ident.SearcherID) *ownedSearcher {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.byID[id]
}

func (t *ownedTable) list() []*ownedSearcher {
	t.mu.Lock()
	defer t.mu.Unlock()

	list := make([]*ownedSearcher, 0, len(t.byID))
	for _, o := range t.byID {
		list = append(list, o)
	}

	return list
}

func (t *ownedTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()

	return len(t.byID)
}

func (t *ownedTable) put(o *ownedSearcher) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.byID[o.id] = o
}

func (t *ownedTable) remove(o *ownedSearcher) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.byID[o.id] == o {
		delete(t.byID, o.id)
	}
}

func (t *ownedTable) setLeaseEnd(now, end time.Time) {
	t.mu.Lock()
	t.end = end
	t.mu.Unlock()

	for _, o := range t.list() {
		o.do(func(g *searcher.Gate) []searcher.Effect { return g.SetLeaseEnd(now, end) })
	}
}

func (t *ownedTable) leaseEnd() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.end
}

func (t *ownedTable) close() {
	for _, o := range t.list() {
		o.close()
	}
}

// reconcileLoop makes the gates follow the control state.
func (n *Node) reconcileLoop(ctx context.Context) {
	ticker := time.NewTicker(reconcileEvery)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.owned.change:
		}

		until := n.noteApplied()
		if !until.Equal(n.owned.leaseEnd()) {
			n.owned.setLeaseEnd(time.Now(), until)
		}

		n.tune()
		n.reconcile()
	}
}

// assignment is what the control state says of one searcher that this run of the node owns.
type assignment struct {
	entry     *registry.Searcher
	inService bool
	// fullRate is the rate per second at which the searcher counts as warm; 0 means as observed.
	fullRate float64
}

func (n *Node) assignments() map[ident.SearcherID]assignment {
	mine := make(map[ident.SearcherID]assignment)

	n.state.View(func(v control.View) {
		for _, s := range v.Registry().Searchers() {
			if s.Owner != n.cfg.ID || s.OwnerIncarnation != n.incarnation {
				continue
			}

			a := assignment{entry: s, inService: v.Records().InService(s.FailureDomain)}
			if up, ok := v.Records().Upstream(s.Upstream); ok {
				a.fullRate = float64(up.FullRatePerSecond)
			}

			mine[s.ID] = a
		}
	})

	return mine
}

func (n *Node) reconcile() {
	now := time.Now()
	mine := n.assignments()

	for _, o := range n.owned.list() {
		if a, ok := mine[o.id]; !ok || a.entry.Epoch != o.epoch {
			n.giveUp(o)
		}
	}

	valid := n.leaseValid(now)

	for id, a := range mine {
		o := n.owned.get(id)
		if o == nil {
			o = n.takeOver(now, a)
		}

		n.follow(now, o, a, valid)
	}
}

// takeOver starts to own a searcher, after a clearance for what its last owner sent.
func (n *Node) takeOver(now time.Time, a assignment) *ownedSearcher {
	o := newOwnedSearcher(n, a.entry, searcher.GateConfig{
		Searcher:            a.entry.ID,
		QueueLimit:          n.tuned.queuePerSearcher,
		WarmLatency:         n.warmth.of(a.entry.Upstream),
		FullRate:            a.fullRate,
		NotBefore:           now.Add(lease.Clearance),
		ReservedConnections: 1,
		Seed:                uint64(a.entry.Epoch),
	})
	end := n.owned.leaseEnd()

	o.do(func(g *searcher.Gate) []searcher.Effect {
		return append(g.SetLeaseEnd(now, end), g.Announce(now, gateAnnouncement(a.entry))...)
	})
	n.owned.put(o)
	n.logger.Info().Str("searcher", string(o.id)).Uint64("epoch", uint64(o.epoch)).Msg("searcher owned")

	return o
}

func (n *Node) giveUp(o *ownedSearcher) {
	n.owned.remove(o)
	o.close()
	n.logger.Info().Str("searcher", string(o.id)).Uint64("epoch", uint64(o.epoch)).Msg("searcher no longer owned")
}

// follow opens or closes the gate and reports what the leader has to know.
func (n *Node) follow(now time.Time, o *ownedSearcher, a assignment, leaseValid bool) {
	s := a.entry
	if o.differs(s) {
		o.announce(now, gateAnnouncement(s), s.Address)
	}

	switch {
	case !leaseValid:
		o.shut(now, ident.ReasonStaleNode)
	case s.Removed:
		o.shut(now, ident.ReasonUnreachable)
	case s.Move != registry.MoveNone:
		o.shut(now, ident.ReasonStaleNode)
	case !a.inService:
		o.shut(now, ident.ReasonOutOfService)
	case s.Leaving:
		o.shut(now, ident.ReasonLeaving)
	default:
		o.open(now)
	}

	switch {
	case (s.Move == registry.MoveStarted || s.Removed) && o.quiet():
		n.report(now, o, control.ReleaseOwner{Searcher: s.ID, Epoch: s.Epoch})
	case !s.Removed && o.silent(now):
		n.report(now, o, control.RemoveSearcher{Searcher: s.ID, Incarnation: s.Incarnation})
	case o.cold() != s.OwnerCold:
		n.report(now, o, control.MarkCold{Searcher: s.ID, Epoch: s.Epoch, Cold: !s.OwnerCold})
	}
}

// report proposes a change of the owner's searcher, at most one at a time.
func (n *Node) report(now time.Time, o *ownedSearcher, c control.Command) {
	if !o.startReport(now) {
		return
	}

	n.background(func(ctx context.Context) {
		defer o.endReport()

		if _, err := n.propose(ctx, c); err != nil {
			n.meters.Counter("owner_reports_failed_total").Inc(1)
		}
	})
}

func gateAnnouncement(s *registry.Searcher) searcher.Announcement {
	return searcher.Announcement{
		Incarnation: s.Incarnation, Slots: int(s.Slots), Connections: int(s.Connections),
		Cold: s.Cold, ColdRatePerSecond: float64(s.ColdRatePerSecond), Leaving: s.Leaving,
	}
}

// warmTable keeps the service time of warm searchers by upstream, as the replies of all owners report
// it. A new owner needs it to tell good answers of a cold searcher from slow ones.
type warmTable struct {
	mu         sync.Mutex
	byUpstream map[ident.UpstreamID]time.Duration
}

func (t *warmTable) of(id ident.UpstreamID) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.byUpstream[id]
}

// report takes the service time of one warm searcher. Later reports count for an eighth each, so that
// one straggling replica does not set the value.
func (t *warmTable) report(id ident.UpstreamID, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.byUpstream == nil || len(t.byUpstream) >= maxCatalogEntries {
		t.byUpstream = make(map[ident.UpstreamID]time.Duration)
	}

	old, ok := t.byUpstream[id]
	if !ok {
		old = d
	}

	t.byUpstream[id] = old + (d-old)/8
}
