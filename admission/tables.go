// This file keeps the bounded tables of teams, approvals and service times, and the drain rate.

package admission

import (
	"container/list"
	"math"
	"time"

	"fulmarfall/ident"
)

// team is one calling team with requests in flight or a recent arrival.
type team struct {
	id       ident.TeamID
	weight   float64
	inFlight int
	lastSeen time.Time
	element  *list.Element
}

// teamTable holds the active teams in the order of their last arrival. Teams that do not fit share one entry.
type teamTable struct {
	limit    int
	entries  map[ident.TeamID]*team
	order    list.List
	weights  float64 // sum over the entries and the overflow entry
	overflow team
}

func (tt *teamTable) arrive(now time.Time, id ident.TeamID, weight float64) *team {
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
			tt.weights += weight
		}
		return &tt.overflow
	default:
		t = &team{id: id}
		t.element = tt.order.PushBack(t)
		tt.entries[id] = t
	}
	t.lastSeen = now
	tt.weights += weight - t.weight
	t.weight = weight

	return t
}

// expire drops idle teams. A team with requests in flight counts as seen.
func (tt *teamTable) expire(now time.Time) {
	for e := tt.order.Front(); e != nil; e = tt.order.Front() {
		t := e.Value.(*team)
		if now.Sub(t.lastSeen) < activeFor {
			break
		}
		if t.inFlight > 0 {
			t.lastSeen = now
			tt.order.MoveToBack(e)
			continue
		}
		tt.order.Remove(e)
		delete(tt.entries, t.id)
		tt.weights -= t.weight
	}
	if o := &tt.overflow; o.weight > 0 && o.inFlight == 0 && now.Sub(o.lastSeen) >= activeFor {
		tt.weights -= o.weight
		o.weight = 0
	}
	if len(tt.entries) == 0 && tt.overflow.weight == 0 {
		tt.weights = 0 // removes the rounding errors of the sum
	}
}

// share returns how many of limit requests a team may have in flight when the node is full; at least 1.
func (tt *teamTable) share(t *team, limit int) int {
	if tt.weights <= 0 {
		return limit
	}

	return max(int(float64(limit)*t.weight/tt.weights), 1)
}

type bucketKey struct {
	team     ident.TeamID
	upstream ident.UpstreamID
}

// bucket is the token bucket of one approval.
type bucket struct {
	tokens      float64
	rate, burst float64
	at          time.Time
	// waiting counts the refused requests that were told to come back, so that not all are told the same moment.
	waiting float64
}

func (b *bucket) advance(now time.Time) {
	gained := b.rate * max(now.Sub(b.at), 0).Seconds()
	b.tokens = min(b.tokens+gained, b.burst)
	b.waiting = max(b.waiting-gained, 0)
	b.at = now
}

// bucketTable holds the buckets that are not full. A full bucket is the same as a new one, so full ones are dropped
// without loss when the table is full. When none is full, further approvals share one bucket per rate.
type bucketTable struct {
	limit   int
	entries map[bucketKey]*bucket
}

// take takes a token, or returns how long to wait for one.
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
	b := &bucket{tokens: burst, at: now}
	bt.entries[k] = b

	return b
}

const (
	// drainLife is the time over which the drain rate is averaged.
	drainLife = 2 * time.Second
	// unknownDrain stands for the drain rate, per second, of a node that nothing has left yet.
	unknownDrain = 10
)

// drainRate is the rate at which requests leave the node, and the number of refused requests told to come back.
type drainRate struct {
	rate    float64 // per second
	at      time.Time
	waiting float64
}

func (d *drainRate) advance(now time.Time) {
	if d.at.IsZero() {
		d.at = now
		return
	}
	dt := max(now.Sub(d.at), 0)
	d.waiting = max(d.waiting-d.current()*dt.Seconds(), 0)
	d.rate *= math.Exp(-dt.Seconds() / drainLife.Seconds())
	d.at = now
}

func (d *drainRate) current() float64 { return max(d.rate, 1) }

// left counts one departure. The rate is an exponentially weighted count of departures over drainLife.
func (d *drainRate) left(now time.Time) {
	if d.rate == 0 {
		d.rate = unknownDrain
	}
	d.advance(now)
	d.rate += 1 / drainLife.Seconds()
}

// wait returns when excess places plus one for each earlier refused request will be free, for a part of the drain.
func (d *drainRate) wait(excess int, part float64) time.Duration {
	rate := d.rate
	if rate == 0 {
		rate = unknownDrain
	}
	seconds := (float64(excess) + d.waiting) / (max(rate, 1) * max(part, 0.01))
	d.waiting++

	return time.Duration(min(seconds, maximumRetry.Seconds()) * float64(time.Second))
}

const (
	// maxServiceTimes bounds the number of upstreams with an observed service time.
	maxServiceTimes = 512
	// fasterWeight and slowerWeight make the estimate settle near the fastest tenth of the answers: a request is
	// refused for its deadline only when hardly any request was ever that fast.
	fasterWeight = 0.25
	slowerWeight = 0.02
	// probeEvery lets one request through per upstream and interval that would be refused for its deadline, so that
	// the estimate can recover however many such requests come.
	probeEvery = 100 * time.Millisecond
	// cutShort is the part of its time after which a request that leaves counts as cut short by its deadline: it
	// says that the answer takes at least so long, not that it takes so long.
	cutShort = 0.8
	// serviceLife is how long an estimate counts without an observation.
	serviceLife = 10 * time.Second
)

// serviceTime estimates the shortest time in which an upstream answers.
type serviceTime struct {
	estimate time.Duration
	at       time.Time
	probed   time.Time
}

type serviceTimes struct {
	entries map[ident.UpstreamID]*serviceTime
}

// short returns how much time a request lacks that has the given time left; 0 lets it through.
func (s *serviceTimes) short(now time.Time, u ident.UpstreamID, left time.Duration) time.Duration {
	if left <= 0 {
		return minimumRetry
	}
	e, ok := s.entries[u]
	if !ok || now.Sub(e.at) > serviceLife || left > e.estimate {
		return 0
	}
	if now.Sub(e.probed) >= probeEvery {
		e.probed = now
		return 0
	}

	return e.estimate - left + minimumRetry
}

func (s *serviceTimes) observe(now time.Time, u ident.UpstreamID, d, allowed time.Duration) {
	e, ok := s.entries[u]
	short := float64(d) > cutShort*float64(allowed)
	if !ok || now.Sub(e.at) > serviceLife {
		if short {
			return
		}
		if !ok && len(s.entries) >= maxServiceTimes {
			for id, other := range s.entries {
				if now.Sub(other.at) > serviceLife {
					delete(s.entries, id)
				}
			}
			if len(s.entries) >= maxServiceTimes {
				return
			}
		}
		s.entries[u] = &serviceTime{estimate: d, at: now}
		return
	}
	weight := slowerWeight
	if d < e.estimate {
		if short {
			return
		}
		weight = fasterWeight
	}
	e.estimate += time.Duration(weight * float64(d-e.estimate))
	e.at = now
}
