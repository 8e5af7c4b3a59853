// Searchers owned by this node. The reconcile loop follows the owner assignments in the control state and keeps a gate with
// its connections for each assignment.

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

// Intervals and timeouts of an owner.
const (
	// reconcileInterval bounds the delay until an applied change of the control state takes effect at the gates.
	reconcileInterval = 50 * time.Millisecond
	// announcementTimeout is the time without announcements after which a searcher is removed from routing.
	announcementTimeout = 5 * time.Second
	// reportInterval is the minimum interval between two reports to the leader about the same searcher.
	reportInterval = time.Second
)

// ownedTable contains the owned searchers and the expiry of the lease that covers them.
type ownedTable struct {
	mu          sync.Mutex
	byID        map[ident.SearcherID]*ownedSearcher
	leaseExpiry time.Time
	changed     chan struct{}
}

func (t *ownedTable) init() {
	t.byID = make(map[ident.SearcherID]*ownedSearcher)
	t.changed = make(chan struct{}, 1)
}

func (t *ownedTable) notify() {
	select {
	case t.changed <- struct{}{}:
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
	t.leaseExpiry = end
	t.mu.Unlock()

	for _, o := range t.list() {
		o.updateGate(func(g *searcher.Gate) []searcher.Effect { return g.SetLeaseEnd(now, end) })
	}
}

func (t *ownedTable) leaseEnd() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.leaseExpiry
}

func (t *ownedTable) close() {
	for _, o := range t.list() {
		o.close()
	}
}

// reconcileLoop applies changes of the control state and the lease to the gates, on notification and periodically.
func (n *Node) reconcileLoop(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.owned.changed:
		}

		until := n.updateApplied()
		if !until.Equal(n.owned.leaseEnd()) {
			n.owned.setLeaseEnd(time.Now(), until)
		}

		n.applyTuning()
		n.reconcile()
	}
}

// assignment is the control state of a searcher that is assigned to this incarnation of the node.
type assignment struct {
	entry     *registry.Searcher
	inService bool
	// fullRate is the request rate per second at which slow start ends; 0 means it is derived from observations.
	fullRate float64
}

// assignments excludes searchers assigned to an earlier incarnation of this node.
func (n *Node) assignments() map[ident.SearcherID]assignment {
	assigned := make(map[ident.SearcherID]assignment)

	n.state.View(func(v control.View) {
		for _, s := range v.Registry().Searchers() {
			if s.Owner != n.cfg.ID || s.OwnerIncarnation != n.incarnation {
				continue
			}

			a := assignment{entry: s, inService: v.Records().InService(s.FailureDomain)}
			if up, ok := v.Records().Upstream(s.Upstream); ok {
				a.fullRate = float64(up.FullRatePerSecond)
			}

			assigned[s.ID] = a
		}
	})

	return assigned
}

func (n *Node) reconcile() {
	now := time.Now()
	assigned := n.assignments()

	for _, o := range n.owned.list() {
		if a, ok := assigned[o.id]; !ok || a.entry.Epoch != o.epoch {
			n.release(o)
		}
	}

	valid := n.leaseValid(now)

	for id, a := range assigned {
		o := n.owned.get(id)
		if o == nil {
			o = n.acquire(now, a)
		}

		n.reconcileSearcher(now, o, a, valid)
	}
}

// acquire creates the gate of a newly assigned searcher. The gate sends no requests for lease.TakeoverDelay, so that requests of
// the previous owner can finish.
func (n *Node) acquire(now time.Time, a assignment) *ownedSearcher {
	o := newOwnedSearcher(n, a.entry, searcher.GateConfig{
		Searcher:            a.entry.ID,
		QueueLimit:          n.appliedTuning.queuePerSearcher,
		WarmLatency:         n.warmLatencies.get(a.entry.Upstream),
		FullRate:            a.fullRate,
		NotBefore:           now.Add(lease.TakeoverDelay),
		ReservedConnections: 1,
		Seed:                uint64(a.entry.Epoch),
	})
	end := n.owned.leaseEnd()

	o.updateGate(func(g *searcher.Gate) []searcher.Effect {
		return append(g.SetLeaseEnd(now, end), g.Announce(now, gateAnnouncement(a.entry))...)
	})
	n.owned.put(o)
	n.logger.Info().Str("searcher", string(o.id)).Uint64("epoch", uint64(o.epoch)).Msg("searcher owned")

	return o
}

func (n *Node) release(o *ownedSearcher) {
	n.owned.remove(o)
	o.close()
	n.logger.Info().Str("searcher", string(o.id)).Uint64("epoch", uint64(o.epoch)).Msg("searcher no longer owned")
}

// reconcileSearcher opens or closes the gate according to the control state, and reports a completed release, missing
// announcements or a change between cold and warm to the leader.
func (n *Node) reconcileSearcher(now time.Time, o *ownedSearcher, a assignment, leaseValid bool) {
	s := a.entry
	if o.isBehind(s) {
		o.applyAnnouncement(now, gateAnnouncement(s), s.Address)
	}

	switch {
	case !leaseValid:
		o.closeGate(now, ident.ReasonStaleNode)
	case s.Removed:
		o.closeGate(now, ident.ReasonUnreachable)
	case s.Move != registry.MoveNone:
		o.closeGate(now, ident.ReasonStaleNode)
	case !a.inService:
		o.closeGate(now, ident.ReasonOutOfService)
	case s.Leaving:
		o.closeGate(now, ident.ReasonLeaving)
	default:
		o.openGate(now)
	}

	switch {
	case (s.Move == registry.MoveStarted || s.Removed) && o.idle():
		n.reportToLeader(now, o, control.ReleaseOwner{Searcher: s.ID, Epoch: s.Epoch})
	case !s.Removed && o.announcementOverdue(now):
		n.reportToLeader(now, o, control.RemoveSearcher{Searcher: s.ID, Incarnation: s.Incarnation})
	case o.cold() != s.OwnerCold:
		n.reportToLeader(now, o, control.MarkCold{Searcher: s.ID, Epoch: s.Epoch, Cold: !s.OwnerCold})
	}
}

// reportToLeader proposes a change of an owned searcher. At most one report per searcher is in flight.
func (n *Node) reportToLeader(now time.Time, o *ownedSearcher, c control.Command) {
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

// warmLatencyTable contains the service time of warm searchers by upstream, from the replies of all owners. A new owner
// needs it to distinguish normal from slow replies of a cold searcher.
type warmLatencyTable struct {
	mu         sync.Mutex
	byUpstream map[ident.UpstreamID]time.Duration
}

func (t *warmLatencyTable) get(id ident.UpstreamID) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.byUpstream[id]
}

// observe adds a service time to an exponentially weighted moving average with weight 1/8, so that a single straggling
// replica does not dominate it.
func (t *warmLatencyTable) observe(id ident.UpstreamID, d time.Duration) {
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
