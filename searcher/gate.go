package searcher

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"fulmarfall/ident"
)

// Gate decides what one searcher runs. It is closed and knows no searcher until SetOpen and
// Announce are called. It is not safe for concurrent use.
type Gate struct {
	cfg             GateConfig
	rand            *rand.Rand
	coldGate        bool
	earlyRefusal    bool
	warmConnections bool

	now         time.Time // latest time seen; earlier times passed in count as this one
	open        bool
	closedFor   ident.Reason
	leaseEnd    time.Time // zero: no bound
	announced   Announcement
	announcedAt time.Time // zero: never
	unreachable bool      // a connection was refused since the last announcement

	cold        coldStart
	queue       deadlineQueue
	runs        []*run // a few: the slots, and runs without an answer
	connections connections
	openPaused  bool // an opening ahead of use failed; wait for an announcement
	struck      map[ident.Fingerprint]strike
	overtaken   [ident.ClassBatch + 1]time.Time
}

// run is a started run. Its slot is held until the searcher has answered it or cannot run it any
// more.
type run struct {
	Request
	incarnation ident.Incarnation
	connection  ConnectionID
	started     time.Time
	cancelled   bool
	unanswered  bool // reported done without an answer: the searcher may still run it
}

type strike struct {
	until     time.Time
	exclusive bool // crashed although it ran alone
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
		closedFor:       ident.ReasonUnreachable,
		connections:     connections{reserved: cfg.ReservedConnections, open: make(map[ConnectionID]*connection)},
		struck:          make(map[ident.Fingerprint]strike),
	}
	g.cold.lowest, g.cold.rate = DefaultColdRate, DefaultColdRate
	g.cold.reference = cfg.WarmLatency
	for _, opt := range opts {
		opt(g)
	}

	return g
}

// Submit asks for a run. The gate starts it, queues it, or refuses it at once. A run that the gate
// already knows is left as it is.
func (g *Gate) Submit(now time.Time, r Request) []Effect {
	g.advance(now)
	if g.run(r.Run) != nil || g.queue.index(r.Run) >= 0 {
		return nil
	}

	if reason, after := g.refusal(r); reason != "" {
		return []Effect{Refuse{Run: r.Run, Reason: reason, RetryAfter: after}}
	}

	g.queue.push(r, g.now)
	effects := g.pump(nil)
	if g.queue.len() > g.cfg.QueueLimit {
		// The last entry gives way, whether it is the new one or one of lower priority.
		last := g.queue.remove(g.queue.len() - 1)
		effects = append(effects, g.refuse(last, g.busyReason()))
	}

	return effects
}

// refusal returns why a request is refused on arrival, or the empty reason.
func (g *Gate) refusal(r Request) (ident.Reason, ident.RetryAfter) {
	// A struck fingerprint comes first: "unreachable" would send the entry node to the next replica with a
	// request that has just crashed this one.
	if s, ok := g.struck[r.Fingerprint]; ok && g.now.Before(s.until) {
		if s.exclusive {
			return ident.ReasonConvicted, ident.RetryAfter(s.until.Sub(g.now))
		}
		if !r.Exclusive && !r.Cleared {
			return ident.ReasonSuspected, ident.RetryAfter(s.until.Sub(g.now))
		}
	}

	switch {
	case !g.open:
		return g.closedFor, ident.RetryAfter(retryUnavailable)
	case g.announced.Leaving:
		return ident.ReasonLeaving, ident.RetryAfter(retryUnavailable)
	case g.gone():
		return ident.ReasonUnreachable, ident.RetryAfter(retryUnavailable)
	}

	if r.Hedge && g.queue.len() > 0 {
		return g.busyReason(), g.retryAfter()
	}

	if g.earlyRefusal && g.now.Before(g.overtaken[min(r.Class, ident.ClassBatch)]) {
		wait := overtakenFactor * g.wait(g.queue.position(r))
		if wait > 0 && !r.Deadline.After(g.now.Add(wait+g.service())) {
			return g.busyReason(), g.retryAfter()
		}
	}

	return "", 0
}

// gone says that the searcher cannot be expected to take work.
func (g *Gate) gone() bool {
	return g.unreachable || g.announcedAt.IsZero() || g.now.Sub(g.announcedAt) >= silenceLimit
}

// Done reports the end of a run. Reports about unknown runs are ignored, so a repeated report does
// not free a slot twice.
func (g *Gate) Done(now time.Time, id RunID, o RunOutcome) []Effect {
	g.advance(now)
	r := g.run(id)
	if r == nil {
		return nil
	}

	var effects []Effect
	current := r.incarnation == g.announced.Incarnation
	if r.unanswered {
		// The searcher's answer or its word that the run has ended came after the report.
		if o.AnswerRead {
			g.drop(r)
		}

		return g.pump(nil)
	}

	if o.AnswerRead && current && g.open {
		g.connections.release(r.connection)
	} else if g.connections.close(r.connection) {
		effects = append(effects, CloseConnection{Connection: r.connection})
	}

	if o.AnswerRead || o.Kind == Unreachable || !current {
		g.drop(r)
	} else {
		r.unanswered = true
	}

	if current {
		effects = g.learn(effects, r, o)
	}

	return g.pump(effects)
}

// learn draws the conclusions of an outcome for later runs on the same incarnation.
func (g *Gate) learn(effects []Effect, r *run, o RunOutcome) []Effect {
	switch o.Kind {
	case OK:
		g.openPaused = false
		g.cold.answered(g.now, g.now.Sub(r.started), g.cfg.FullRate, g.announced.Slots)
		if r.Exclusive {
			delete(g.struck, r.Fingerprint)
		}
		g.prove(r.Fingerprint)
	case Crashed:
		g.cold.reset(g.now)
		g.struck[r.Fingerprint] = strike{until: g.now.Add(struckFor), exclusive: r.Exclusive}
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
		// The searcher says that it has too much to do: no rise on the answers before.
		g.cold.good = 0
	case Failed, Cancelled:
		g.cold.unfinished(g.now, g.now.Sub(r.started))
	}

	return effects
}

// prove lets waiting runs of a fingerprint go on side by side after one of them succeeded.
func (g *Gate) prove(f ident.Fingerprint) {
	for i := range g.queue.entries {
		if g.queue.entries[i].Fingerprint == f {
			g.queue.entries[i].Unproven = false
		}
	}
}

// Ended reports the searcher's word that it does not execute a run any more, such as its answer to a
// cancellation, after the run's own connection was given up.
func (g *Gate) Ended(now time.Time, id RunID) []Effect {
	g.advance(now)
	if r := g.run(id); r != nil && r.unanswered {
		g.drop(r)
	}

	return g.pump(nil)
}

// Cancel withdraws a run. A waiting run is refused as not started; a started run keeps its slot
// until Done.
func (g *Gate) Cancel(now time.Time, id RunID) []Effect {
	g.advance(now)
	if i := g.queue.index(id); i >= 0 {
		r := g.queue.remove(i)

		return g.pump([]Effect{Refuse{Run: r.Run, Reason: ident.ReasonCancelled}})
	}

	if r := g.run(id); r != nil && !r.cancelled && !r.unanswered {
		r.cancelled = true

		return []Effect{CancelRun{Run: id, Connection: r.connection}}
	}

	return nil
}

// Announce takes an announcement of the searcher.
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
	g.unreachable, g.openPaused = false, false
	g.connections.limit = a.Connections
	g.cold.lowest = DefaultColdRate
	if a.ColdRatePerSecond > 0 {
		g.cold.lowest = a.ColdRatePerSecond
	}
	if g.cold.level == 0 && !g.cold.warm {
		g.cold.rate = g.cold.lowest
	}

	if first || restarted {
		g.cold.reset(g.now)
		effects = g.forget(effects)
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

	return g.pump(effects)
}

// forget ends what belongs to earlier incarnations: their runs hold no slot of the new one, and
// their connections are not used again.
func (g *Gate) forget(effects []Effect) []Effect {
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
		k := g.connections.open[id]
		if k.incarnation != g.announced.Incarnation && k.state != connectionBusy && g.connections.close(id) {
			effects = append(effects, CloseConnection{Connection: id})
		}
	}

	return effects
}

// Connected reports that a connection is open and usable.
func (g *Gate) Connected(now time.Time, id ConnectionID) []Effect {
	g.advance(now)
	k := g.connections.open[id]
	if k == nil {
		return nil
	}

	switch k.state {
	case connectionOpening:
		if !g.open {
			g.connections.close(id)
			return []Effect{CloseConnection{Connection: id}}
		}
		k.state = connectionBusy
		g.connections.release(id)
	case connectionBusy:
		// The service time of the run does not include the opening.
		for _, r := range g.runs {
			if r.connection == id && !r.unanswered {
				r.started = g.now
			}
		}
	case connectionIdle, connectionClosing:
	}

	return g.pump(nil)
}

// Disconnected reports that a connection is closed, by either side, or could not be opened.
func (g *Gate) Disconnected(now time.Time, id ConnectionID) []Effect {
	g.advance(now)
	if k := g.connections.open[id]; k != nil && k.state == connectionOpening {
		g.openPaused = true
	}
	g.connections.closed(id)

	return g.pump(nil)
}

// SetOpen opens the gate, or closes it while the searcher is leaving, out of service, moving to
// another owner, or the lease is lost. Closing refuses waiting runs as not started; started runs
// go on.
func (g *Gate) SetOpen(now time.Time, open bool) []Effect {
	if !open {
		return g.Close(now, ident.ReasonStaleNode)
	}

	g.advance(now)
	g.open = true

	return g.pump(nil)
}

// Close is SetOpen(now, false) with the reason that refusals give. Idle connections are closed, and those
// in use when their run ends: the next owner may use the whole limit.
func (g *Gate) Close(now time.Time, reason ident.Reason) []Effect {
	g.advance(now)
	g.open = false
	g.closedFor = reason

	effects := g.refuseIf(nil, reason, func(Request) bool { return true })
	for _, id := range slices.Clone(g.connections.idle) {
		g.connections.close(id)
		effects = append(effects, CloseConnection{Connection: id})
	}

	return g.pump(effects)
}

// SetQueueLimit changes the bound of the queue. Entries that wait stay.
func (g *Gate) SetQueueLimit(n int) { g.cfg.QueueLimit = max(n, 1) }

// SetLeaseEnd sets the end of the owner's lease. No run gets a later deadline, and nothing starts
// that cannot be expected to end before it. The zero time means no bound.
func (g *Gate) SetLeaseEnd(now, end time.Time) []Effect {
	g.advance(now)
	g.leaseEnd = end

	return g.pump(nil)
}

// HoldUntil sets the end of the clearance after a take-over: nothing starts earlier.
func (g *Gate) HoldUntil(now, t time.Time) []Effect {
	g.advance(now)
	g.cfg.NotBefore = t

	return g.pump(nil)
}

// Tick does what is due by the passage of time.
func (g *Gate) Tick(now time.Time) []Effect {
	g.advance(now)

	return g.pump(nil)
}

// Quiet says that no run is in flight, at any incarnation. An owner reports a searcher as released
// only then.
func (g *Gate) Quiet() bool { return len(g.runs) == 0 }

// WarmLatency returns the known service time of the warm searcher, 0 while unknown.
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
		Latency:  g.service(),
	}
}

// run returns the started run with an id, or nil.
func (g *Gate) run(id RunID) *run {
	for _, r := range g.runs {
		if r.Run == id {
			return r
		}
	}

	return nil
}

func (g *Gate) drop(r *run) {
	i := slices.Index(g.runs, r)
	g.runs = slices.Delete(g.runs, i, i+1)
}

func (g *Gate) advance(now time.Time) {
	if now.After(g.now) {
		g.now = now
	}
}
