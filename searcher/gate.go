package searcher

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"fulmarfall/ident"
)

// Gate admits, queues and starts the runs of one searcher. It refuses every request until SetOpen and
// Announce have been called. It is not safe for concurrent use.
type Gate struct {
	cfg             GateConfig
	rand            *rand.Rand
	coldGate        bool
	earlyRefusal    bool
	warmConnections bool

	now         time.Time // latest time passed in; earlier times passed in later count as this one
	open        bool
	closeReason ident.Reason
	leaseEnd    time.Time // zero means no bound
	announced   Announcement
	announcedAt time.Time // zero means never
	unreachable bool      // a connection could not be opened since the last announcement

	cold            coldStart
	queue           deadlineQueue
	runs            []*run // runs that may still execute at the searcher; few enough for linear search
	connections     connections
	openAheadPaused bool // a connection opened ahead of use failed; set until an announcement or a success
	limit           LimitStatement
	limitStatedAt   time.Time
	limiter         RequestLimiter
	quarantined     map[ident.Fingerprint]quarantine
	overtakenUntil  [ident.ClassBatch + 1]time.Time // end of the stricter admission, by class
}

// run is a started run. It occupies a slot until the searcher has answered it or can no longer be
// executing it.
type run struct {
	Request
	incarnation ident.Incarnation
	connection  ConnectionID
	started     time.Time
	cancelled   bool
	unanswered  bool // reported done without an answer; the searcher may still be executing it
}

type quarantine struct {
	until     time.Time
	exclusive bool // the searcher crashed while the request ran alone
}

// NewGate returns a closed gate at cold-start level 0.
func NewGate(cfg GateConfig, opts ...Option) *Gate {
	if cfg.QueueLimit <= 0 {
		cfg.QueueLimit = DefaultQueueLimit
	}

	g := &Gate{
		cfg:             cfg,
		rand:            rand.New(rand.NewPCG(cfg.Seed, 0)),
		coldGate:        true,
		earlyRefusal:    true,
		warmConnections: true,
		closeReason:     ident.ReasonUnreachable,
		connections:     connections{reserved: cfg.ReservedConnections, open: make(map[ConnectionID]*connection)},
		quarantined:     make(map[ident.Fingerprint]quarantine),
	}
	g.cold.baseRate, g.cold.rate = DefaultColdRate, DefaultColdRate
	g.cold.reference = cfg.WarmLatency
	for _, opt := range opts {
		opt(g)
	}

	return g
}

// Submit starts, queues or refuses a request. It ignores a request whose run is already queued or
// started.
func (g *Gate) Submit(now time.Time, r Request) []Effect {
	g.advance(now)
	if g.findRun(r.Run) != nil || g.queue.index(r.Run) >= 0 {
		return nil
	}

	if reason, after := g.refusal(r); reason != "" {
		return []Effect{Refuse{Run: r.Run, Reason: reason, RetryAfter: after}}
	}

	g.queue.push(r, g.now)
	effects := g.schedule(nil)
	if g.queue.len() > g.cfg.QueueLimit {
		// Refuse the last entry, which is either the new one or one of lower priority.
		last := g.queue.remove(g.queue.len() - 1)
		effects = append(effects, g.refuse(last, g.busyReason()))
	}

	return effects
}

// refusal returns why a request is refused on arrival and when to retry. The reason is empty if the
// request is admitted.
func (g *Gate) refusal(r Request) (ident.Reason, ident.RetryAfter) {
	// The quarantine is checked first: on "unreachable", the entry node would send a request that has just
	// crashed this searcher to the next replica.
	if s, ok := g.quarantined[r.Fingerprint]; ok && g.now.Before(s.until) {
		if s.exclusive {
			return ident.ReasonConvicted, ident.RetryAfter(s.until.Sub(g.now))
		}
		if !r.Exclusive && !r.Cleared {
			return ident.ReasonSuspected, ident.RetryAfter(s.until.Sub(g.now))
		}
	}

	switch {
	case !g.open:
		return g.closeReason, ident.RetryAfter(retryUnavailable)
	case g.announced.Leaving:
		return ident.ReasonLeaving, ident.RetryAfter(retryUnavailable)
	case g.unavailable():
		return ident.ReasonUnreachable, ident.RetryAfter(retryUnavailable)
	}

	if r.Hedge && g.queue.len() > 0 {
		return g.busyReason(), g.retryAfter()
	}

	if g.earlyRefusal && g.now.Before(g.overtakenUntil[min(r.Class, ident.ClassBatch)]) {
		wait := overtakenFactor * g.estimateWait(g.queue.position(r))
		if wait > 0 && !r.Deadline.After(g.now.Add(wait+g.serviceTime())) {
			return g.busyReason(), g.retryAfter()
		}
	}

	// Queued requests have room already. An owner is the only node that sends to its searcher, so the whole limit is its share.
	if g.limit.Limited && !g.limiter.Take(g.now, 0) {
		return ident.ReasonLimited, ident.RetryAfter(max(g.limiter.Wait(g.now), minRetryAfter))
	}

	return "", 0
}

// applyLimit applies what the answer to a run says about the request limit.
func (g *Gate) applyLimit(r *run, st *LimitStatement) {
	if st == nil || !g.limit.SupersededBy(*st, g.limitStatedAt, r.started) {
		return
	}

	if g.limit != *st {
		g.limiter.SetShare(g.now, st.PerSecond, 1, 0)
	}

	g.limit, g.limitStatedAt = *st, g.now
}

// RequestLimit returns the request limit that the searcher has last stated.
func (g *Gate) RequestLimit() LimitStatement { return g.limit }

// unavailable reports whether a connection to the searcher could not be opened or the searcher has not
// announced itself within announcementTimeout.
func (g *Gate) unavailable() bool {
	return g.unreachable || g.announcedAt.IsZero() || g.now.Sub(g.announcedAt) >= announcementTimeout
}

// Done reports the end of a run. Reports on unknown runs are ignored, so that a repeated report does not
// free a slot twice.
func (g *Gate) Done(now time.Time, id RunID, o RunOutcome) []Effect {
	g.advance(now)
	r := g.findRun(id)
	if r == nil {
		return nil
	}

	var effects []Effect
	current := r.incarnation == g.announced.Incarnation
	if r.unanswered {
		// The run was already reported done without an answer; the searcher has now answered it or confirmed
		// that it has ended.
		if o.AnswerRead {
			g.removeRun(r)
		}

		return g.schedule(nil)
	}

	if o.AnswerRead && current && g.open {
		g.connections.release(r.connection)
	} else if g.connections.close(r.connection) {
		effects = append(effects, CloseConnection{Connection: r.connection})
	}

	if o.AnswerRead || o.Kind == Unreachable || !current {
		g.removeRun(r)
	} else {
		r.unanswered = true
	}

	if current {
		g.applyLimit(r, o.Limit)
		effects = g.applyOutcome(effects, r, o)
	}

	return g.schedule(effects)
}

// applyOutcome updates the cold start, the quarantine and the queue after a run on the current
// incarnation.
func (g *Gate) applyOutcome(effects []Effect, r *run, o RunOutcome) []Effect {
	switch o.Kind {
	case OK:
		g.openAheadPaused = false
		g.cold.recordSuccess(g.now, g.now.Sub(r.started), g.cfg.FullRate, g.announced.Slots)
		if r.Exclusive {
			delete(g.quarantined, r.Fingerprint)
		}
		g.markProven(r.Fingerprint)
	case Crashed:
		g.cold.reset(g.now)
		g.quarantined[r.Fingerprint] = quarantine{until: g.now.Add(quarantinePeriod), exclusive: r.Exclusive}
		reason := ident.ReasonSuspected
		if r.Exclusive {
			reason = ident.ReasonConvicted
		}
		effects = g.refuseIf(effects, reason, func(q Request) bool {
			return q.Fingerprint == r.Fingerprint && (r.Exclusive || !q.Exclusive)
		})
	case Unreachable:
		g.unreachable = true
		g.cold.reset(g.now)
		effects = g.refuseIf(effects, ident.ReasonUnreachable, func(Request) bool { return true })
	case Shed:
		// The searcher is overloaded, so earlier good answers no longer count towards the next level.
		g.cold.goodCount = 0
	case Failed, Cancelled:
		g.cold.recordUnfinished(g.now, g.now.Sub(r.started))
	}

	return effects
}

// markProven lets the waiting requests of a fingerprint run concurrently after one of them has succeeded.
func (g *Gate) markProven(f ident.Fingerprint) {
	for i := range g.queue.entries {
		if g.queue.entries[i].Fingerprint == f {
			g.queue.entries[i].Unproven = false
		}
	}
}

// Ended reports that the searcher has confirmed, for example in its answer to a cancellation, that it no
// longer executes a run whose own connection was given up.
func (g *Gate) Ended(now time.Time, id RunID) []Effect {
	g.advance(now)
	if r := g.findRun(id); r != nil && r.unanswered {
		g.removeRun(r)
	}

	return g.schedule(nil)
}

// Cancel cancels a run. A waiting run is refused as not started; a started run keeps its slot until Done
// reports its end.
func (g *Gate) Cancel(now time.Time, id RunID) []Effect {
	g.advance(now)
	if i := g.queue.index(id); i >= 0 {
		r := g.queue.remove(i)
		g.limiter.Return()

		return g.schedule([]Effect{Refuse{Run: r.Run, Reason: ident.ReasonCancelled}})
	}

	if r := g.findRun(id); r != nil && !r.cancelled && !r.unanswered {
		r.cancelled = true

		return []Effect{CancelRun{Run: id, Connection: r.connection}}
	}

	return nil
}

// Announce applies an announcement of the searcher. Announcements of earlier incarnations are ignored.
func (g *Gate) Announce(now time.Time, a Announcement) []Effect {
	g.advance(now)
	if a.Incarnation < g.announced.Incarnation {
		return nil
	}

	var effects []Effect
	restarted := a.Incarnation != g.announced.Incarnation
	first := g.announcedAt.IsZero()
	g.announced = a
	g.announcedAt = g.now
	g.unreachable, g.openAheadPaused = false, false
	g.connections.limit = a.Connections
	g.cold.baseRate = DefaultColdRate
	if a.ColdRatePerSecond > 0 {
		g.cold.baseRate = a.ColdRatePerSecond
	}
	if g.cold.level == 0 && !g.cold.warm {
		g.cold.rate = g.cold.baseRate
	}

	if first || restarted {
		g.limit, g.limitStatedAt, g.limiter = LimitStatement{}, time.Time{}, RequestLimiter{}
		g.cold.reset(g.now)
		effects = g.retireIncarnations(effects)
	}
	if a.Cold && !g.cold.announced {
		g.cold.reset(g.now)
	}
	g.cold.announced = a.Cold

	if a.Leaving {
		effects = g.refuseIf(effects, ident.ReasonLeaving, func(Request) bool { return true })
	}
	for _, id := range g.connections.excess() {
		if g.connections.close(id) {
			effects = append(effects, CloseConnection{Connection: id})
		}
	}

	return g.schedule(effects)
}

// retireIncarnations removes the unanswered runs of earlier incarnations, cancels their other runs and
// closes those of their connections that are not in use. Their runs occupy no slot of the new incarnation.
func (g *Gate) retireIncarnations(effects []Effect) []Effect {
	g.runs = slices.DeleteFunc(g.runs, func(r *run) bool {
		return r.unanswered && r.incarnation != g.announced.Incarnation
	})
	for _, r := range g.runs {
		if r.incarnation != g.announced.Incarnation && !r.cancelled {
			r.cancelled = true
			effects = append(effects, CancelRun{Run: r.Run, Connection: r.connection})
		}
	}

	for _, id := range slices.Sorted(maps.Keys(g.connections.open)) {
		conn := g.connections.open[id]
		if conn.incarnation != g.announced.Incarnation && conn.state != connectionBusy && g.connections.close(id) {
			effects = append(effects, CloseConnection{Connection: id})
		}
	}

	return effects
}

// Connected reports that a connection is open and usable.
func (g *Gate) Connected(now time.Time, id ConnectionID) []Effect {
	g.advance(now)
	conn := g.connections.open[id]
	if conn == nil {
		return nil
	}

	switch conn.state {
	case connectionOpening:
		if !g.open {
			g.connections.close(id)
			return []Effect{CloseConnection{Connection: id}}
		}
		conn.state = connectionBusy
		g.connections.release(id)
	case connectionBusy:
		// The service time of a run excludes the time to open its connection.
		for _, r := range g.runs {
			if r.connection == id && !r.unanswered {
				r.started = g.now
			}
		}
	case connectionIdle, connectionClosing:
	}

	return g.schedule(nil)
}

// Disconnected reports that a connection is closed, by either side, or could not be opened.
func (g *Gate) Disconnected(now time.Time, id ConnectionID) []Effect {
	g.advance(now)
	if conn := g.connections.open[id]; conn != nil && conn.state == connectionOpening {
		g.openAheadPaused = true
	}
	g.connections.closed(id)

	return g.schedule(nil)
}

// SetOpen opens the gate, or closes it while the searcher is leaving, out of service or moving to another
// owner, or after the lease is lost. Closing refuses waiting runs as not started; started runs continue.
func (g *Gate) SetOpen(now time.Time, open bool) []Effect {
	if !open {
		return g.Close(now, ident.ReasonStaleNode)
	}

	g.advance(now)
	g.open = true

	return g.schedule(nil)
}

// Close closes the gate like SetOpen(now, false), with a reason for its refusals. Idle connections are
// closed at once and busy ones when their run ends, because the next owner may use the whole limit.
func (g *Gate) Close(now time.Time, reason ident.Reason) []Effect {
	g.advance(now)
	g.open = false
	g.closeReason = reason

	effects := g.refuseIf(nil, reason, func(Request) bool { return true })
	for _, id := range slices.Clone(g.connections.idle) {
		g.connections.close(id)
		effects = append(effects, CloseConnection{Connection: id})
	}

	return g.schedule(effects)
}

// SetQueueLimit changes the bound of the queue. It removes no waiting entries.
func (g *Gate) SetQueueLimit(n int) { g.cfg.QueueLimit = max(n, 1) }

// SetLeaseEnd sets the end of the owner's lease. No run gets a later deadline, and no run starts that is
// not expected to finish before it. The zero time means no bound.
func (g *Gate) SetLeaseEnd(now, end time.Time) []Effect {
	g.advance(now)
	g.leaseEnd = end

	return g.schedule(nil)
}

// SetNotBefore sets the end of the clearance period after a take-over, before which no run starts.
func (g *Gate) SetNotBefore(now, t time.Time) []Effect {
	g.advance(now)
	g.cfg.NotBefore = t

	return g.schedule(nil)
}

// Tick performs the refusals, starts and expiries that are due at the given time.
func (g *Gate) Tick(now time.Time) []Effect {
	g.advance(now)

	return g.schedule(nil)
}

// Idle reports whether no run is in flight at any incarnation. Only then may an owner report the
// searcher as released.
func (g *Gate) Idle() bool { return len(g.runs) == 0 }

// WarmLatency returns the service time of the warm searcher, or 0 while it is unknown.
func (g *Gate) WarmLatency() time.Duration { return g.cold.warmLatency() }

// Load returns the state of the gate for replies to entry nodes.
func (g *Gate) Load() Load {
	return Load{
		InFlight: g.inFlight(),
		Queued:   g.queue.len(),
		Slots:    g.slots(),
		Level:    g.cold.level,
		Warm:     g.cold.warm,
		Rate:     g.cold.rate,
		Latency:  g.serviceTime(),
	}
}

// findRun returns the started run with the given ID, or nil.
func (g *Gate) findRun(id RunID) *run {
	for _, r := range g.runs {
		if r.Run == id {
			return r
		}
	}

	return nil
}

func (g *Gate) removeRun(r *run) {
	i := slices.Index(g.runs, r)
	g.runs = slices.Delete(g.runs, i, i+1)
}

func (g *Gate) advance(now time.Time) {
	if now.After(g.now) {
		g.now = now
	}
}
