package admission

import (
	"container/list"
	"math"
	"time"

	"fulmarfall/ident"
)

// team is a calling team with requests in flight or a recent arrival.
type team struct {
	id       ident.TeamID
	weight   float64
	inFlight int
	lastSeen time.Time
	element  *list.Element
}

// teamTable contains the active teams, ordered by last arrival. Teams beyond the limit share the overflow entry.
type teamTable struct {
	limit       int
	entries     map[ident.TeamID]*team
	order       list.List
	totalWeight float64 // sum over the entries and the overflow entry
	overflow    team
}

func (tt *teamTable) recordArrival(now time.Time, id ident.TeamID, weight float64) *team {
	if weight <= 0 || math.IsNaN(weight) {
		weight = 1
	}
	tt.expire(now)
	t, ok := tt.entries[id]
	switch {
	case ok:
		tt.order.MoveToBack(t.element)
	case len(tt.entries) >= tt.limit:
		tt.overflow.lastSeen = now
		if tt.overflow.weight == 0 {
			tt.overflow.weight = weight
			tt.totalWeight += weight
		}
		return &tt.overflow
	default:
		t = &team{id: id}
		t.element = tt.order.PushBack(t)
		tt.entries[id] = t
	}
	t.lastSeen = now
	tt.totalWeight += weight - t.weight
	t.weight = weight

	return t
}

// expire removes idle teams. A team with requests in flight is not idle.
func (tt *teamTable) expire(now time.Time) {
	for e := tt.order.Front(); e != nil; e = tt.order.Front() {
		t := e.Value.(*team)
		if now.Sub(t.lastSeen) < activePeriod {
			break
		}
		if t.inFlight > 0 {
			t.lastSeen = now
			tt.order.MoveToBack(e)
			continue
		}
		tt.order.Remove(e)
		delete(tt.entries, t.id)
		tt.totalWeight -= t.weight
	}
	if o := &tt.overflow; o.weight > 0 && o.inFlight == 0 && now.Sub(o.lastSeen) >= activePeriod {
		tt.totalWeight -= o.weight
		o.weight = 0
	}
	if len(tt.entries) == 0 && tt.overflow.weight == 0 {
		tt.totalWeight = 0 // removes the rounding errors of the sum
	}
}

// fairShare returns how many of limit requests a team may have in flight when the node is full; at least 1.
func (tt *teamTable) fairShare(t *team, limit int) int {
	if tt.totalWeight <= 0 {
		return limit
	}

	return max(int(float64(limit)*t.weight/tt.totalWeight), 1)
}

type bucketKey struct {
	team     ident.TeamID
	upstream ident.UpstreamID
}

// bucket is the token bucket of one approval.
type bucket struct {
	tokens      float64
	rate, burst float64
	updated     time.Time
	// waiting counts the refused requests that are expected to retry, so that each gets a later retry time.
	waiting float64
}

func (b *bucket) advance(now time.Time) {
	gained := b.rate * max(now.Sub(b.updated), 0).Seconds()
	b.tokens = min(b.tokens+gained, b.burst)
	b.waiting = max(b.waiting-gained, 0)
	b.updated = now
}

// bucketTable contains the token buckets. A full bucket is equivalent to a new one, so full buckets are evicted when the
// table has reached its limit. If none is full, further approvals share one bucket.
type bucketTable struct {
	limit   int
	entries map[bucketKey]*bucket
}

// take consumes a token and returns 0, or returns the wait until one is available.
func (bt *bucketTable) take(now time.Time, r Request) time.Duration {
	rate := r.Approval.RatePerSecond
	if rate <= 0 || math.IsNaN(rate) {
		return 0
	}
	burst := r.Approval.Burst
	if burst < 1 || math.IsNaN(burst) {
		burst = max(rate, 1)
	}
	b := bt.find(now, bucketKey{team: r.Team, upstream: r.Upstream}, burst)
	b.rate, b.burst = rate, burst
	b.advance(now)
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	b.waiting++

	return time.Duration((b.waiting - b.tokens) / rate * float64(time.Second))
}

func (bt *bucketTable) find(now time.Time, k bucketKey, burst float64) *bucket {
	if b, ok := bt.entries[k]; ok {
		return b
	}
	if len(bt.entries) >= bt.limit {
		for other, b := range bt.entries {
			if b.advance(now); b.tokens >= b.burst {
				delete(bt.entries, other)
			}
		}
	}
	if len(bt.entries) >= bt.limit {
		k = bucketKey{}
		if b, ok := bt.entries[k]; ok {
			return b
		}
	}
	b := &bucket{tokens: burst, updated: now}
	bt.entries[k] = b

	return b
}

const (
	// drainPeriod is the time constant of the average of the drain rate.
	drainPeriod = 2 * time.Second
	// initialDrainRate is the drain rate, per second, assumed before the first departure.
	initialDrainRate = 10
)

// drainRate estimates the rate at which requests leave the node, and counts the refused requests expected to retry.
type drainRate struct {
	rate    float64 // per second
	updated time.Time
	waiting float64
}

func (d *drainRate) advance(now time.Time) {
	if d.updated.IsZero() {
		d.updated = now
		return
	}
	dt := max(now.Sub(d.updated), 0)
	d.waiting = max(d.waiting-d.current()*dt.Seconds(), 0)
	d.rate *= math.Exp(-dt.Seconds() / drainPeriod.Seconds())
	d.updated = now
}

func (d *drainRate) current() float64 { return max(d.rate, 1) }

// recordDeparture counts one departure. The rate is an exponentially weighted count of departures over drainPeriod.
func (d *drainRate) recordDeparture(now time.Time) {
	if d.rate == 0 {
		d.rate = initialDrainRate
	}
	d.advance(now)
	d.rate += 1 / drainPeriod.Seconds()
}

// wait returns the estimated time until excess requests, and one more for each earlier refused request, have left, if only
// the given fraction of departures counts.
func (d *drainRate) wait(excess int, fraction float64) time.Duration {
	rate := d.rate
	if rate == 0 {
		rate = initialDrainRate
	}
	seconds := (float64(excess) + d.waiting) / (max(rate, 1) * max(fraction, 0.01))
	d.waiting++

	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

const (
	// maxServiceTimes is the maximum number of upstreams with an observed service time.
	maxServiceTimes = 512
	// fasterWeight and slowerWeight make the estimate converge near the tenth percentile of the service times, so that a
	// request is refused for its deadline only if hardly any request was ever that fast.
	fasterWeight = 0.25
	slowerWeight = 0.02
	// probeInterval is the interval at which one request per upstream that would be refused for its deadline is admitted,
	// so that the estimate can recover however many such requests arrive.
	probeInterval = 100 * time.Millisecond
	// truncatedFraction is the fraction of its time limit after which a request that ends counts as truncated by its
	// deadline: its duration is then only a lower bound of the service time.
	truncatedFraction = 0.8
	// estimateMaxAge is how long an estimate is used without a new observation.
	estimateMaxAge = 10 * time.Second
)

// serviceTime estimates the shortest time in which an upstream answers.
type serviceTime struct {
	estimate  time.Duration
	updated   time.Time
	lastProbe time.Time
}

type serviceTimes struct {
	entries map[ident.UpstreamID]*serviceTime
}

// shortfall returns by how much the time left falls short of the estimated service time, as a positive retry delay, or 0
// if the request may be admitted.
func (s *serviceTimes) shortfall(now time.Time, u ident.UpstreamID, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return minRetryAfter
	}
	e, ok := s.entries[u]
	if !ok || now.Sub(e.updated) > estimateMaxAge || remaining > e.estimate {
		return 0
	}
	if now.Sub(e.lastProbe) >= probeInterval {
		e.lastProbe = now
		return 0
	}

	return e.estimate - remaining + minRetryAfter
}

func (s *serviceTimes) observe(now time.Time, u ident.UpstreamID, d, allowed time.Duration) {
	e, ok := s.entries[u]
	truncated := float64(d) > truncatedFraction*float64(allowed)
	if !ok || now.Sub(e.updated) > estimateMaxAge {
		if truncated {
			return
		}
		if !ok && len(s.entries) >= maxServiceTimes {
			for id, other := range s.entries {
				if now.Sub(other.updated) > estimateMaxAge {
					delete(s.entries, id)
				}
			}
			if len(s.entries) >= maxServiceTimes {
				return
			}
		}
		s.entries[u] = &serviceTime{estimate: d, updated: now}
		return
	}
	weight := slowerWeight
	if d < e.estimate {
		if truncated {
			return
		}
		weight = fasterWeight
	}
	e.estimate += time.Duration(weight * float64(d-e.estimate))
	e.updated = now
}
