// Package model is a discrete-event simulation in virtual time. It drives the state machines of packages query,
// searcher and admission, and a naive version for comparison, against simulated callers, network and searchers, and
// reports what callers and searchers observed. The control plane is not simulated: ownership is fixed, and record
// changes reach each node after a random delay.
package model

import (
	"math"
	"math/rand/v2"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is the virtual time with its pending events. Events at the same time run in the order in which they were
// scheduled, so that a run repeats exactly from its seed.
type clock struct {
	now    time.Time
	events eventHeap
	seq    uint64
	rand   *rand.Rand
}

type event struct {
	at  time.Duration // since epoch
	seq uint64
	fn  func()
}

// eventHeap is a binary heap. It does not use container/heap because most of the time of a run is spent here.
type eventHeap []event

func (e event) before(o event) bool {
	return e.at < o.at || e.at == o.at && e.seq < o.seq
}

func (h *eventHeap) push(e event) {
	*h = append(*h, e)
	s := *h
	for i := len(s) - 1; i > 0; {
		parent := (i - 1) / 2
		if !s[i].before(s[parent]) {
			return
		}
		s[i], s[parent] = s[parent], s[i]
		i = parent
	}
}

func (h *eventHeap) pop() event {
	s := *h
	first, last := s[0], len(s)-1
	s[0], s[last] = s[last], event{}
	s = s[:last]
	*h = s
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(s); child++ {
			if s[child].before(s[least]) {
				least = child
			}
		}
		if least == i {
			return first
		}
		s[i], s[least] = s[least], s[i]
		i = least
	}
}

func newClock(seed uint64) *clock {
	return &clock{now: epoch, rand: rand.New(rand.NewPCG(seed, 1))}
}

func (c *clock) at(t time.Time, fn func()) {
	if t.Before(c.now) {
		t = c.now
	}
	c.seq++
	c.events.push(event{at: t.Sub(epoch), seq: c.seq, fn: fn})
}

func (c *clock) after(d time.Duration, fn func()) { c.at(c.now.Add(d), fn) }

// runUntil runs the events due up to and including end, and advances the clock to it.
func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && c.events[0].at <= end.Sub(epoch) {
		e := c.events.pop()
		c.now = epoch.Add(e.at)
		e.fn()
	}
	c.now = end
}

// between draws a uniformly distributed duration.
func (c *clock) between(low, high time.Duration) time.Duration {
	return low + time.Duration(c.rand.Float64()*float64(high-low))
}

// exponential draws the time to the next event of a Poisson process.
func (c *clock) exponential(perSecond float64) time.Duration {
	return time.Duration(c.rand.ExpFloat64() / perSecond * float64(time.Second))
}

// logNormal draws a log-normally distributed duration with the given median.
func (c *clock) logNormal(median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(sigma*c.rand.NormFloat64()))
}

func (c *clock) chance(p float64) bool { return p > 0 && c.rand.Float64() < p }

// timer keeps at most one effective event for an owner whose next due time changes.
type timer struct {
	c   *clock
	due time.Time
	do  func()
}

// set schedules the timer, unless an earlier event is pending, whose handler sets the timer again.
func (t *timer) set(at time.Time, ok bool) {
	if !ok || (!t.due.IsZero() && !at.Before(t.due)) {
		return
	}
	if at.Before(t.c.now) {
		at = t.c.now
	}
	t.due = at
	t.c.at(at, func() {
		if t.due.Equal(at) {
			t.due = time.Time{}
			t.do()
		}
	})
}
