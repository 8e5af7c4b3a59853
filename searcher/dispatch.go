package searcher

import (
	"slices"
	"time"

	"fulmarfall/ident"
)

// pump refuses what cannot finish, starts what may start, and keeps connections ready.
func (g *Gate) pump(effects []Effect) []Effect {
	g.expire()
	if g.gone() {
		effects = g.refuseIf(effects, ident.ReasonUnreachable, func(Request) bool { return true })
	}

	g.cold.overdue(g.now, g.overdueRuns())
	effects = g.refuseTooLate(effects)
	for {
		i := g.startable()
		if i < 0 {
			break
		}
		effects = append(effects, g.start(g.queue.remove(i)))
	}

	return g.keepReady(effects)
}

// expire frees the slots of unanswered runs that searchers have ended by their deadline.
func (g *Gate) expire() {
	g.runs = slices.DeleteFunc(g.runs, func(r *run) bool {
		return r.unanswered && !g.now.Before(r.Deadline.Add(endGrace))
	})
	for f, s := range g.struck {
		if !g.now.Before(s.until) {
			delete(g.struck, f)
		}
	}
}

// inFlight counts the runs that the present incarnation may be executing.
func (g *Gate) inFlight() int {
	n := 0
	for _, r := range g.runs {
		if r.incarnation == g.announced.Incarnation {
			n++
		}
	}

	return n
}

// overdueRuns counts the runs in flight that will be slow answers if they are answered at all.
func (g *Gate) overdueRuns() int {
	n := 0
	for _, r := range g.runs {
		if !r.unanswered && r.incarnation == g.announced.Incarnation && g.cold.tooSlow(g.now.Sub(r.started)) {
			n++
		}
	}

	return n
}

func (g *Gate) limited() bool { return g.coldGate && !g.cold.warm }

// slots is the number of runs that may be in flight.
func (g *Gate) slots() int {
	if g.limited() {
		return min(1, g.announced.Slots)
	}

	return g.announced.Slots
}

// service is the service time by which deadlines are judged.
func (g *Gate) service() time.Duration {
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

// canStartAny says whether a run could start now as far as the searcher as a whole is concerned.
func (g *Gate) canStartAny() bool {
	return g.open && !g.gone() && !g.announced.Leaving &&
		!g.now.Before(g.cfg.NotBefore) &&
		(g.leaseEnd.IsZero() || g.leaseEnd.Sub(g.now) > g.service()) &&
		g.inFlight() < g.slots() &&
		g.connections.available() &&
		(!g.limited() || !g.now.Before(g.cold.nextStart))
}

// startable returns the place in the queue of the run to start now, or -1.
func (g *Gate) startable() int {
	if g.queue.len() == 0 || !g.canStartAny() {
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
			// Nothing may overtake, or a busy searcher would never become free for it.
			return -1
		case e.Unproven && g.running(e.Fingerprint):
			continue
		default:
			return i
		}
	}

	return -1
}

func (g *Gate) running(f ident.Fingerprint) bool {
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

	id, opens := g.connections.take(g.announced.Incarnation)
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

// wait estimates when the entry at a place in the queue can start. It is optimistic: it assumes
// median service times, so that only what cannot finish is refused.
func (g *Gate) wait(place int) time.Duration {
	service := g.service()
	hold := max(0, g.cfg.NotBefore.Sub(g.now))
	if g.limited() {
		first := max(hold, g.cold.nextStart.Sub(g.now))
		if g.inFlight() > 0 {
			first = max(first, service/2)
		}

		return first + time.Duration(place)*max(service, g.cold.spacing())
	}

	slots := max(1, g.slots())
	after := place - (slots - g.inFlight()) + 1 // runs that must end before this one starts
	if after <= 0 {
		return hold
	}

	return hold + service*time.Duration(2*after-1)/time.Duration(2*slots)
}

// refuseTooLate refuses the entries that cannot finish before their deadline.
func (g *Gate) refuseTooLate(effects []Effect) []Effect {
	for i := 0; i < g.queue.len(); {
		e := g.queue.entries[i]
		wait := g.wait(i)
		finish := g.now
		if g.earlyRefusal {
			finish = finish.Add(wait + g.service())
		}
		if e.Deadline.After(finish) {
			i++
			continue
		}

		reason := g.busyReason()
		if wait == 0 {
			reason = ident.ReasonDeadline
		}
		if e.since.Before(g.now) {
			for c := e.Class; c <= ident.ClassBatch; c++ {
				g.overtaken[c] = g.now.Add(overtakenFor)
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

func (g *Gate) refuse(r Request, reason ident.Reason) Refuse {
	after := g.retryAfter()
	switch reason {
	case ident.ReasonUnreachable, ident.ReasonLeaving, ident.ReasonStaleNode, ident.ReasonOutOfService:
		after = ident.RetryAfter(retryUnavailable)
	case ident.ReasonSuspected, ident.ReasonConvicted:
		after = ident.RetryAfter(struckFor)
	default:
	}

	return Refuse{Run: r.Run, Reason: reason, RetryAfter: after}
}

func (g *Gate) busyReason() ident.Reason {
	if g.limited() {
		return ident.ReasonCold
	}

	return ident.ReasonOverloaded
}

// retryAfter is the time in which the queue drains.
func (g *Gate) retryAfter() ident.RetryAfter {
	return ident.RetryAfter(max(minRetryAfter, g.wait(g.queue.len())))
}

// keepReady opens connections ahead of use: one per slot and a spare that replaces the connection of
// a cancelled run.
func (g *Gate) keepReady(effects []Effect) []Effect {
	if !g.warmConnections || g.openPaused || !g.open || g.gone() || g.announced.Leaving {
		return effects
	}

	for g.connections.ready()+g.connections.busy() <= g.announced.Slots &&
		len(g.connections.open) < g.connections.usable() {
		id := g.connections.add(g.announced.Incarnation, connectionOpening)
		effects = append(effects, OpenConnection{Connection: id})
	}

	return effects
}

// NextTick returns when Tick is due, if nothing else happens before.
func (g *Gate) NextTick() (time.Time, bool) {
	var next time.Time
	due := func(t time.Time) {
		if t.After(g.now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}

	for _, r := range g.runs {
		if r.unanswered {
			due(r.Deadline.Add(endGrace))
		}
	}
	if g.queue.len() > 0 {
		due(g.announcedAt.Add(silenceLimit))
		due(g.cfg.NotBefore)
		if g.limited() {
			due(g.cold.nextStart)
		}
		for _, e := range g.queue.entries {
			due(e.Deadline)
			if g.earlyRefusal {
				due(e.Deadline.Add(-g.service()))
			}
		}
	}

	return next, !next.IsZero()
}
