package searcher

import (
	"slices"
	"time"

	"fulmarfall/ident"
)

// schedule refuses waiting requests that cannot finish in time, starts those that may start, and opens
// connections ahead of use.
func (g *Gate) schedule(effects []Effect) []Effect {
	g.expire()
	if g.unavailable() {
		effects = g.refuseIf(effects, ident.ReasonUnreachable, func(Request) bool { return true })
	}

	g.cold.resetIfSlow(g.now, g.overdueRuns())
	effects = g.refuseTooLate(effects)
	for {
		i := g.nextStartable()
		if i < 0 {
			break
		}
		effects = append(effects, g.start(g.queue.remove(i)))
	}

	return g.openAhead(effects)
}

// expire frees the slots of unanswered runs that the searcher has ended by their deadline, and removes
// expired quarantines.
func (g *Gate) expire() {
	g.runs = slices.DeleteFunc(g.runs, func(r *run) bool {
		return r.unanswered && !g.now.Before(r.Deadline.Add(deadlineGrace))
	})
	for f, s := range g.quarantined {
		if !g.now.Before(s.until) {
			delete(g.quarantined, f)
		}
	}
}

// inFlight counts the runs that the current incarnation may be executing.
func (g *Gate) inFlight() int {
	n := 0
	for _, r := range g.runs {
		if r.incarnation == g.announced.Incarnation {
			n++
		}
	}

	return n
}

// overdueRuns counts the runs in flight that are already too slow.
func (g *Gate) overdueRuns() int {
	n := 0
	for _, r := range g.runs {
		if !r.unanswered && r.incarnation == g.announced.Incarnation && g.cold.tooSlow(g.now.Sub(r.started)) {
			n++
		}
	}

	return n
}

func (g *Gate) inColdStart() bool { return g.coldGate && !g.cold.warm }

// slots returns the number of runs that may be in flight: at most 1 during the cold start.
func (g *Gate) slots() int {
	if g.inColdStart() {
		return min(1, g.announced.Slots)
	}

	return g.announced.Slots
}

// serviceTime returns the service time used to estimate whether a request can meet its deadline.
func (g *Gate) serviceTime() time.Duration {
	if !g.cold.warm {
		if m := g.cold.coldTimes.median(); m > 0 {
			return m
		}
	}
	if g.cold.reference > 0 {
		return g.cold.reference
	}

	return DefaultServiceTime
}

// canStart reports whether the state of the gate and the searcher allows any run to start now.
func (g *Gate) canStart() bool {
	return g.open && !g.unavailable() && !g.announced.Leaving &&
		!g.now.Before(g.cfg.NotBefore) &&
		(g.leaseEnd.IsZero() || g.leaseEnd.Sub(g.now) > g.serviceTime()) &&
		g.inFlight() < g.slots() &&
		g.connections.available() &&
		(!g.inColdStart() || !g.now.Before(g.cold.nextStart))
}

// nextStartable returns the queue index of the request to start now, or -1.
func (g *Gate) nextStartable() int {
	if g.queue.len() == 0 || !g.canStart() {
		return -1
	}

	busy := g.inFlight() > 0
	for _, r := range g.runs {
		if r.Exclusive && r.incarnation == g.announced.Incarnation {
			return -1
		}
	}

	for i, e := range g.queue.entries {
		switch {
		case e.Exclusive && busy:
			// No later entry may overtake an exclusive one, or a busy searcher would never become idle for it.
			return -1
		case e.Unproven && g.isRunning(e.Fingerprint):
			continue
		default:
			return i
		}
	}

	return -1
}

func (g *Gate) isRunning(f ident.Fingerprint) bool {
	for _, r := range g.runs {
		if r.Fingerprint == f && r.incarnation == g.announced.Incarnation {
			return true
		}
	}

	return false
}

func (g *Gate) start(r Request) Start {
	if !g.leaseEnd.IsZero() && g.leaseEnd.Before(r.Deadline) {
		r.Deadline = g.leaseEnd
	}

	id, opens := g.connections.acquire(g.announced.Incarnation)
	g.runs = append(g.runs, &run{Request: r, incarnation: g.announced.Incarnation, connection: id, started: g.now})
	if !g.cold.warm {
		jitter := 1 + spacingJitter*g.rand.Float64()
		g.cold.nextStart = g.now.Add(time.Duration(float64(g.cold.spacing()) * jitter))
	}

	return Start{
		Run:         r.Run,
		Incarnation: g.announced.Incarnation,
		Deadline:    r.Deadline,
		Connection:  id,
		Opens:       opens,
	}
}

// estimateWait estimates how long the entry at a queue position waits before it starts. The estimate is
// optimistic because it assumes median service times, so that only requests that cannot finish are refused.
func (g *Gate) estimateWait(position int) time.Duration {
	service := g.serviceTime()
	clearance := max(0, g.cfg.NotBefore.Sub(g.now))
	if g.inColdStart() {
		first := max(clearance, g.cold.nextStart.Sub(g.now))
		if g.inFlight() > 0 {
			first = max(first, service/2)
		}

		return first + time.Duration(position)*max(service, g.cold.spacing())
	}

	slots := max(1, g.slots())
	ahead := position - (slots - g.inFlight()) + 1 // runs that must end before this one starts
	if ahead <= 0 {
		return clearance
	}

	return clearance + service*time.Duration(2*ahead-1)/time.Duration(2*slots)
}

// refuseTooLate refuses the entries that cannot finish before their deadline.
func (g *Gate) refuseTooLate(effects []Effect) []Effect {
	for i := 0; i < g.queue.len(); {
		e := g.queue.entries[i]
		wait := g.estimateWait(i)
		finish := g.now
		if g.earlyRefusal {
			finish = finish.Add(wait + g.serviceTime())
		}
		if e.Deadline.After(finish) {
			i++
			continue
		}

		reason := g.busyReason()
		if wait == 0 {
			reason = ident.ReasonDeadline
		}
		if e.queuedAt.Before(g.now) {
			for c := e.Class; c <= ident.ClassBatch; c++ {
				g.overtakenUntil[c] = g.now.Add(overtakenPeriod)
			}
		}
		effects = append(effects, g.refuse(g.queue.remove(i), reason))
	}

	return effects
}

func (g *Gate) refuseIf(effects []Effect, reason ident.Reason, match func(Request) bool) []Effect {
	for i := 0; i < g.queue.len(); {
		if !match(g.queue.entries[i].Request) {
			i++
			continue
		}
		effects = append(effects, g.refuse(g.queue.remove(i), reason))
	}

	return effects
}

// refuse refuses a request that was removed from the queue, and returns the room that it had taken.
func (g *Gate) refuse(r Request, reason ident.Reason) Refuse {
	g.limiter.Return()

	after := g.retryAfter()
	switch reason {
	case ident.ReasonUnreachable, ident.ReasonLeaving, ident.ReasonStaleNode, ident.ReasonOutOfService:
		after = ident.RetryAfter(retryUnavailable)
	case ident.ReasonSuspected, ident.ReasonConvicted:
		after = ident.RetryAfter(quarantinePeriod)
	default:
	}

	return Refuse{Run: r.Run, Reason: reason, RetryAfter: after}
}

func (g *Gate) busyReason() ident.Reason {
	if g.inColdStart() {
		return ident.ReasonCold
	}

	return ident.ReasonOverloaded
}

// retryAfter returns the estimated time until the queue is empty, but at least minRetryAfter.
func (g *Gate) retryAfter() ident.RetryAfter {
	return ident.RetryAfter(max(minRetryAfter, g.estimateWait(g.queue.len())))
}

// openAhead opens connections ahead of use: one per slot, and a spare that replaces the connection of a
// cancelled run.
func (g *Gate) openAhead(effects []Effect) []Effect {
	if !g.warmConnections || g.openAheadPaused || !g.open || g.unavailable() || g.announced.Leaving {
		return effects
	}

	for g.connections.ready()+g.connections.busy() <= g.announced.Slots &&
		len(g.connections.open) < g.connections.usable() {
		id := g.connections.add(g.announced.Incarnation, connectionOpening)
		effects = append(effects, OpenConnection{Connection: id})
	}

	return effects
}

// NextTick returns when the owner must call Tick if it calls no other method before, or false if no Tick
// is due.
func (g *Gate) NextTick() (time.Time, bool) {
	var next time.Time
	due := func(t time.Time) {
		if t.After(g.now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}

	for _, r := range g.runs {
		if r.unanswered {
			due(r.Deadline.Add(deadlineGrace))
		}
	}
	if g.queue.len() > 0 {
		due(g.announcedAt.Add(announcementTimeout))
		due(g.cfg.NotBefore)
		if g.inColdStart() {
			due(g.cold.nextStart)
		}
		for _, e := range g.queue.entries {
			due(e.Deadline)
			if g.earlyRefusal {
				due(e.Deadline.Add(-g.serviceTime()))
			}
		}
	}

	return next, !next.IsZero()
}
