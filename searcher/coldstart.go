package searcher

import (
	"math"
	"slices"
	"time"
)

// coldStart is the slow start of one searcher: it limits the rate of starts until service times show
// that the searcher can sustain more. The level rises only on good answers, never with elapsed time.
type coldStart struct {
	level     int
	warm      bool
	announced bool // the searcher announces that it is cold, so the level stays at 0
	baseRate  float64
	rate      float64
	nextStart time.Time
	goodCount int // good answers since the last slow one or change of level
	slowCount int // slow answers since the last good one
	reference time.Duration
	warmTimes window // service times while warm
	coldTimes window // service times since the last reset
}

// reset returns to level 0. The reference latency is kept.
func (c *coldStart) reset(now time.Time) {
	c.level, c.warm = 0, false
	c.rate = c.baseRate
	c.goodCount, c.slowCount = 0, 0
	c.coldTimes = window{}
	// The first start waits for one spacing too, because runs started just before the reset still load
	// the searcher.
	c.nextStart = now.Add(c.spacing())
}

func (c *coldStart) spacing() time.Duration {
	return time.Duration(float64(time.Second) / c.rate)
}

// warmLatency returns the service time by which answers count as good or slow, or 0 while it is unknown.
func (c *coldStart) warmLatency() time.Duration { return c.reference }

// fullRate returns the configured rate or, if there is none, the rate of starts that keeps all slots busy.
// It is +Inf while no service time is known.
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

// recordSuccess records the service time of a successful answer and raises the level after enough good
// ones.
func (c *coldStart) recordSuccess(now time.Time, service time.Duration, configured float64, slots int) {
	if c.warm {
		c.recordWarm(now, service)
		return
	}

	c.coldTimes.add(service)
	need := goodPerLevel
	if c.reference == 0 {
		need = goodPerLevelUnknown
	} else if service > goodFactor*c.reference {
		c.recordSlow(now, service)
		return
	}

	c.slowCount = 0
	c.goodCount++
	if c.goodCount < need || c.announced {
		return
	}

	c.goodCount = 0
	c.level++
	c.rate *= 2
	if c.rate >= c.fullRate(configured, slots) {
		c.warm = true
		if c.reference == 0 {
			c.reference = c.coldTimes.median()
		}
	}
}

// recordUnfinished records how long a run lasted that ended without a successful answer. Hedges and
// deadlines end slow runs early, so these times may be the only sign that a searcher has turned cold.
func (c *coldStart) recordUnfinished(now time.Time, elapsed time.Duration) {
	if c.reference == 0 || elapsed <= goodFactor*c.reference {
		return
	}

	// The elapsed time is only a lower bound of the service time, so a run counts as slow from goodFactor
	// on, not from slowFactor: hedges often end a run just before slowFactor.
	c.goodCount = 0
	c.slowCount++
	c.resetIfSlow(now, 0)
}

func (c *coldStart) tooSlow(d time.Duration) bool {
	return c.reference > 0 && d > slowFactor*c.reference
}

// resetIfSlow resets the level once slow answers and runs in flight that are already too slow add up to
// slowAnswers. Waiting for those runs to end would let as many more start on a cold searcher.
func (c *coldStart) resetIfSlow(now time.Time, overdueRuns int) {
	if c.slowCount+overdueRuns >= slowAnswers && (c.warm || c.level > 0) {
		c.reset(now)
	}
}

func (c *coldStart) recordSlow(now time.Time, service time.Duration) {
	c.goodCount = 0
	c.slowCount++
	switch {
	case c.level > 0 && !c.tooSlow(service):
		c.slowCount--
	case c.level > 0:
		c.resetIfSlow(now, 0)
	case c.slowCount >= relearnAfter && !c.announced:
		c.reference = c.coldTimes.median()
		c.slowCount = 0
	}
}

// recordWarm counts slow answers while the searcher is warm. An answer between the good and the slow
// bound neither increments nor clears the count, because the service times of a cold searcher scatter
// around the slow bound.
func (c *coldStart) recordWarm(now time.Time, service time.Duration) {
	if c.tooSlow(service) {
		c.slowCount++
		c.resetIfSlow(now, 0)

		return
	}

	if service <= goodFactor*c.reference {
		c.slowCount = 0
	}
	c.warmTimes.add(service)
	if c.warmTimes.halfFull() {
		c.reference = c.warmTimes.median()
	}
}

// window is a sliding window of service times, kept both sorted and in order of arrival.
type window struct {
	sorted  []time.Duration
	arrived []time.Duration
	oldest  int // index of the oldest time in arrived
}

// windowSize is large enough for a median that one or two stragglers do not shift.
const windowSize = 64

func (w *window) add(d time.Duration) {
	if len(w.arrived) < windowSize {
		w.arrived = append(w.arrived, d)
	} else {
		old := w.arrived[w.oldest]
		w.arrived[w.oldest] = d
		w.oldest = (w.oldest + 1) % windowSize
		at, _ := slices.BinarySearch(w.sorted, old)
		w.sorted = slices.Delete(w.sorted, at, at+1)
	}

	at, _ := slices.BinarySearch(w.sorted, d)
	w.sorted = slices.Insert(w.sorted, at, d)
}

func (w *window) halfFull() bool { return len(w.arrived) >= windowSize/2 }

func (w *window) median() time.Duration {
	if len(w.sorted) == 0 {
		return 0
	}

	return w.sorted[len(w.sorted)/2]
}
