// Runs the gate of an owned searcher: applies the gate's effects to connections and reports events back to it.

package node

import (
	"context"
	"sync"
	"time"

	"fulmarfall/ident"
	"fulmarfall/registry"
	"fulmarfall/searcher"
	"fulmarfall/wire"
)

// pendingRun is a shard request that has not been answered yet.
type pendingRun struct {
	req   *wire.ShardRequest
	reply chan *wire.ShardReply // capacity 1
	// strikes is the strike count of the fingerprint when the run was submitted.
	strikes uint32
}

// ownedSearcher is the assignment of a searcher to this node in one epoch. mu guards the fields below it up to reportedAt.
type ownedSearcher struct {
	n     *Node
	id    ident.SearcherID
	epoch ident.Epoch

	mu          sync.Mutex
	gate        *searcher.Gate
	addr        string
	announced   searcher.Announcement
	announcedAt time.Time
	isOpen      bool
	closed      bool
	conns       map[searcher.ConnectionID]*searcherConn
	runs        map[searcher.RunID]*pendingRun
	timer       *time.Timer
	reporting   bool
	reportedAt  time.Time
	cancels     chan searcher.RunID
	ctx         context.Context //nolint:containedctx // Cancelled when the assignment ends.
	cancel      context.CancelFunc
}

// cancelQueueSize bounds the cancellations that are queued for the control connection. Cancellations beyond it are
// dropped, and their runs end at their deadlines.
const cancelQueueSize = 64

func newOwnedSearcher(n *Node, s *registry.Searcher, cfg searcher.GateConfig) *ownedSearcher {
	o := &ownedSearcher{
		n: n, id: s.ID, epoch: s.Epoch, gate: searcher.NewGate(cfg), addr: s.Address,
		announced: gateAnnouncement(s), announcedAt: time.Now(),
		conns:   make(map[searcher.ConnectionID]*searcherConn),
		runs:    make(map[searcher.RunID]*pendingRun),
		cancels: make(chan searcher.RunID, cancelQueueSize),
	}
	o.ctx, o.cancel = context.WithCancel(n.ctx)
	n.background(func(context.Context) { o.cancelLoop() })

	return o
}

// updateGate calls f with the gate locked and applies the returned effects. It does nothing once the assignment has ended.
func (o *ownedSearcher) updateGate(f func(g *searcher.Gate) []searcher.Effect) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if !o.closed {
		o.applyEffects(f(o.gate))
	}
}

// applyEffects performs the effects of a gate decision. Work that can block runs in goroutines, which report their results
// through updateGate. The caller must hold o.mu.
func (o *ownedSearcher) applyEffects(effects []searcher.Effect) {
	for len(effects) > 0 {
		e := effects[0]
		effects = effects[1:]

		switch e := e.(type) {
		case searcher.Start:
			p := o.runs[e.Run]
			c := o.conns[e.Connection]
			o.n.background(func(context.Context) { o.run(e, p, c) })
		case searcher.Refuse:
			o.refuse(e)
		case searcher.CancelRun:
			select {
			case o.cancels <- e.Run:
			default:
				o.n.meters.Counter("cancels_dropped_total").Inc(1)
			}
		case searcher.OpenConnection:
			o.n.background(func(context.Context) { o.openConnection(e.Connection) })
		case searcher.CloseConnection:
			if c := o.conns[e.Connection]; c != nil {
				c.close()
				delete(o.conns, e.Connection)
			}

			effects = append(effects, o.gate.Disconnected(time.Now(), e.Connection)...)
		}
	}

	o.resetTimer()
}

// resetTimer schedules the gate's next tick. The caller must hold o.mu.
func (o *ownedSearcher) resetTimer() {
	at, ok := o.gate.NextTick()
	if !ok {
		return
	}

	d := max(time.Until(at), time.Millisecond)
	if o.timer == nil {
		o.timer = time.AfterFunc(d, func() {
			o.updateGate(func(g *searcher.Gate) []searcher.Effect { return g.Tick(time.Now()) })
		})

		return
	}

	o.timer.Reset(d)
}

func (o *ownedSearcher) refuse(e searcher.Refuse) {
	p := o.runs[e.Run]
	if p == nil {
		return
	}

	delete(o.runs, e.Run)
	o.n.endTrial(p.req)
	o.n.meters.ByReason("shard_refused_total", e.Reason).Inc(1)
	p.reply <- o.replyTo(p.req, &wire.ShardReply{
		Status: wire.ShardNotRun, Reason: e.Reason,
		RetryAfterMillis: e.RetryAfter.Milliseconds(),
	})
}

// replyTo fills in the request identifiers and the current load of the searcher. The caller must hold o.mu.
func (o *ownedSearcher) replyTo(req *wire.ShardRequest, r *wire.ShardReply) *wire.ShardReply {
	l := o.gate.Load()
	r.RequestID, r.Attempt, r.Shard, r.Snapshot = req.RequestID, req.Attempt, req.Shard, req.Snapshot
	r.Load = wire.Load{
		InFlight: l.InFlight, Queued: l.Queued, Slots: l.Slots, Cold: !l.Warm, LatencyMicros: l.Latency.Microseconds(),
	}

	return r
}

func (o *ownedSearcher) openConnection(id searcher.ConnectionID) {
	c, _, err := dialSearcher(o.ctx, o.address(), o.n.largeReplySem)

	o.updateGate(func(g *searcher.Gate) []searcher.Effect {
		if err != nil {
			return g.Disconnected(time.Now(), id)
		}

		o.conns[id] = c

		return g.Connected(time.Now(), id)
	})

	if err == nil && o.isClosed() {
		c.close()
	}
}

// applyAnnouncement passes an announcement to the gate. The address of an older incarnation is ignored.
func (o *ownedSearcher) applyAnnouncement(now time.Time, a searcher.Announcement, addr string) {
	o.mu.Lock()
	if a.Incarnation >= o.announced.Incarnation {
		o.announced, o.addr, o.announcedAt = a, addr, now
	}
	o.mu.Unlock()

	o.updateGate(func(g *searcher.Gate) []searcher.Effect { return g.Announce(now, a) })
}

// isBehind reports whether the control state has a newer incarnation of the searcher than the gate. Announcements reach
// the gate before the log does, so log entries with an older incarnation are ignored.
func (o *ownedSearcher) isBehind(s *registry.Searcher) bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	return s.Incarnation > o.announced.Incarnation
}

func (o *ownedSearcher) address() string {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.addr
}

func (o *ownedSearcher) openGate(now time.Time) {
	o.mu.Lock()
	wasOpen := o.isOpen
	o.isOpen = true
	o.mu.Unlock()

	if !wasOpen {
		o.updateGate(func(g *searcher.Gate) []searcher.Effect { return g.SetOpen(now, true) })
	}
}

func (o *ownedSearcher) closeGate(now time.Time, reason ident.Reason) {
	o.mu.Lock()
	o.isOpen = false
	o.mu.Unlock()

	o.updateGate(func(g *searcher.Gate) []searcher.Effect { return g.Close(now, reason) })
}

func (o *ownedSearcher) idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.gate.Idle()
}

// cold reports whether the gate applies slow start to the searcher.
func (o *ownedSearcher) cold() bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	return !o.gate.Load().Warm
}

func (o *ownedSearcher) announcementOverdue(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	return now.Sub(o.announcedAt) >= announcementTimeout
}

func (o *ownedSearcher) startReport(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	if o.reporting || now.Sub(o.reportedAt) < reportInterval {
		return false
	}

	o.reporting, o.reportedAt = true, now

	return true
}

func (o *ownedSearcher) endReport() {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.reporting = false
}

func (o *ownedSearcher) isClosed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.closed
}

// close ends the assignment. Queued runs are refused. Runs in flight lose their connections but are still answered.
func (o *ownedSearcher) close() {
	o.closeGate(time.Now(), ident.ReasonStaleNode)

	o.mu.Lock()
	defer o.mu.Unlock()

	if o.closed {
		return
	}

	o.closed = true
	o.cancel()

	if o.timer != nil {
		o.timer.Stop()
	}

	for id, c := range o.conns {
		c.close()
		delete(o.conns, id)
	}
}
