package searcher

import (
	"math"
	"slices"
	"time"
)

// coldStart limits the rate of a searcher until its answers show that it bears more. The level
// rises only on good answers, never by elapsed time.
type coldStart struct {
	level     int
	warm      bool
	announced bool // the searcher says that it is cold: the level stays 0
	lowest    float64
	rate      float64
	nextStart time.Time
	good      int // good answers since the level last changed
	slow      int // slow answers in a row
	reference time.Duration
	times     window // service times of warm answers
	coldTimes window // service times of answers since the level was last 0
}

// reset puts the level to 0. The known warm latency stays as the reference.
func (c *coldStart) reset(now time.Time) {
	c.level, c.warm = 0, false
	c.rate = c.lowest
	c.good, c.slow = 0, 0
	c.coldTimes = window{}
	// Spacing counts from the reset too: runs started just before it are load on the searcher.
	c.nextStart = now.Add(c.spacing())
}

func (c *coldStart) spacing() time.Duration {
	return time.Duration(float64(time.Second) / c.rate)
}

// warmLatency is the reference for good and slow answers, 0 while unknown.
func (c *coldStart) warmLatency() time.Duration { return c.reference }

// fullRate is the rate that all slots together reach, +Inf while no service time is known.
func (c *coldStart) fullRate(configured float64, slots int) float64 {
	if configured > 0 {
		return configured
	}

	latency := c.reference
	if latency == 0 {
		latency = c.coldTimes.median()
	}
	if latency <= 0 {
		return math.Inf(1)
	}

	return float64(slots) / latency.Seconds()
}

// answered takes the service time of a successful answer.
func (c *coldStart) answered(now time.Time, service time.Duration, configured float64, slots int) {
	if c.warm {
		c.answeredWarm(now, service)
		return
	}

	c.coldTimes.add(service)
	need := goodPerLevel
	if c.reference == 0 {
		need = goodPerLevelUnknown
	} else if service > goodFactor*c.reference {
		c.answeredSlowly(now, service)
		return
	}

	c.slow = 0
	c.good++
	if c.good < need || c.announced {
		return
	}

	c.good = 0
	c.level++
	c.rate *= 2
	if c.rate >= c.fullRate(configured, slots) {
		c.warm = true
		if c.reference == 0 {
			c.reference = c.coldTimes.median()
		}
	}
}

// unfinished takes the time after which a run ended without a successful answer. Hedges and
// deadlines end the slow runs first, so a searcher that turned cold may show in these times only.
func (c *coldStart) unfinished(now time.Time, elapsed time.Duration) {
	if c.reference == 0 || elapsed <= goodFactor*c.reference {
		return
	}

	// The time is a lower bound, so it counts from the bound of a good answer on: hedges often end a run
	// just before it is too slow.
	c.good = 0
	c.slow++
	c.overdue(now, 0)
}

func (c *coldStart) tooSlow(d time.Duration) bool {
	return c.reference > 0 && d > slowFactor*c.reference
}

// overdue puts the level to 0 when the slow answers, with the runs in flight that are already too slow,
// are enough. Waiting for these runs to end would let as many more start on a cold searcher.
func (c *coldStart) overdue(now time.Time, running int) {
	if c.slow+running >= slowAnswers && (c.warm || c.level > 0) {
		c.reset(now)
	}
}

func (c *coldStart) answeredSlowly(now time.Time, service time.Duration) {
	c.good = 0
	c.slow++
	switch {
	case c.level > 0 && !c.tooSlow(service):
		c.slow--
	case c.level > 0:
		c.overdue(now, 0)
	case c.slow >= relearnAfter && !c.announced:
		c.reference = c.coldTimes.median()
		c.slow = 0
	}
}

// answeredWarm counts slow answers. An answer between good and slow neither counts nor clears the
// count: the service times of a cold searcher scatter around the bound.
func (c *coldStart) answeredWarm(now time.Time, service time.Duration) {
	if c.tooSlow(service) {
		c.slow++
		c.overdue(now, 0)

		return
	}

	if service <= goodFactor*c.reference {
		c.slow = 0
	}
	c.times.add(service)
	if c.times.full() {
		c.reference = c.times.median()
	}
}

// window keeps the last service times in order of size and in order of arrival.
type window struct {
	sorted  []time.Duration
	arrived []time.Duration
	next    int
}

// windowSize answers give a median that one or two stragglers do not move.
const windowSize = 64

func (w *window) add(d time.Duration) {
	if len(w.arrived) < windowSize {
		w.arrived = append(w.arrived, d)
	} else {
		old := w.arrived[w.next]
		w.arrived[w.next] = d
		w.next = (w.next + 1) % windowSize
		at, _ := slices.BinarySearch(w.sorted, old)
		w.sorted = slices.Delete(w.sorted, at, at+1)
	}

	at, _ := slices.BinarySearch(w.sorted, d)
	w.sorted = slices.Insert(w.sorted, at, d)
}

func (w *window) full() bool { return len(w.arrived) >= windowSize/2 }

func (w *window) median() time.Duration {
	if len(w.sorted) == 0 {
		return 0
	}

	return w.sorted[len(w.sorted)/2]
}
