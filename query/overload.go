package query

import (
	"math"
	"slices"
	"time"

	"fulmarfall/ident"
)

// Admission control for searches while some shards are overloaded. If a few of many shards can handle only half of the
// requests that they receive and reject the other half, few searches succeed, since a search needs nearly all shards, and
// the work of the other shards for the failed ones is wasted. Admitting fewer searches before anything is sent allows the
// admitted ones to succeed.
const (
	// lossWeight is the weight of one search in the moving average of a shard's loss rate, and lossHalfLife the half-life
	// of that average.
	lossWeight   = 0.05
	lossHalfLife = time.Second
	// lossThreshold is the loss rate above which admission is reduced. Searchers that reject some requests without being full
	// lose few searches, because other searchers of their shard take these over.
	lossThreshold = 0.25
	// admissionInterval is the time between two adjustments. admissionDecrease is the fraction of the loss rate by which
	// admission is reduced; admissionIncrease is added per interval, which leads from the floor to full admission within a
	// second.
	admissionInterval = 100 * time.Millisecond
	admissionDecrease = 0.8
	admissionIncrease = 0.1
	// admissionFloor is the minimum admitted fraction, which is enough to detect that the searchers have recovered.
	admissionFloor = 0.2
	// ineffectiveAfter is the time at the floor after which a persisting loss must have another cause than load. All searches
	// are then admitted for suspendFor, because late answers are better than none.
	ineffectiveAfter = 2500 * time.Millisecond
	suspendFor       = 5 * time.Second
	// admissionGrace is the time after a node's first search in which all searches are admitted. A node has few connections
	// then, and after a power failure the searchers still count its previous ones.
	admissionGrace = 4 * time.Second
	// repeatedWeight is the weight of one search in the moving average of the fraction of repeated ones.
	repeatedWeight = 0.02
	// overloadRetryAfter is the least retry-after time of refused searches, which spans a few adjustments. retryFraction is the
	// fraction of the remaining time up to which they are told to wait; callers wait for at most a third of it.
	overloadRetryAfter = ident.RetryAfter(300 * time.Millisecond)
	retryFraction      = 0.3
)

// shardLoss is the moving average of the fraction of searches that a shard lost because its searchers were full or answered
// after the target.
type shardLoss struct {
	average   float64
	updatedAt time.Time
}

func (l *shardLoss) rate(now time.Time) float64 {
	if l.average == 0 {
		return 0
	}

	return l.average * math.Exp2(-float64(now.Sub(l.updatedAt))/float64(lossHalfLife))
}

func (l *shardLoss) observe(now time.Time, lost bool) {
	l.average = (1 - lossWeight) * l.rate(now)
	if lost {
		l.average += lossWeight
	}
	l.updatedAt = now
}

// admissionControl decides which fraction of searches a node admits.
type admissionControl struct {
	refusedFraction float64 // fraction of searches refused
	// repeatedFraction is the moving average of the fraction of searches that are repeated, while some are refused.
	repeatedFraction float64
	maxLoss          float64 // highest loss rate of a required shard since the last adjustment
	adjustedAt       time.Time
	// floorSince is when admission reached the floor. Until noReductionBefore admission is not reduced, because the node has
	// just started or a reduction had no effect.
	floorSince, noReductionBefore time.Time
}

func (a *admissionControl) update(now time.Time, loss float64) {
	if a.adjustedAt.IsZero() {
		a.adjustedAt, a.noReductionBefore = now, now.Add(admissionGrace)
	}

	a.maxLoss = max(a.maxLoss, loss)
	if now.Sub(a.adjustedAt) < admissionInterval {
		return
	}

	// Intervals without a search count as increases, too.
	intervals := min(float64(now.Sub(a.adjustedAt)/admissionInterval), 1/admissionIncrease)

	switch {
	case a.maxLoss <= lossThreshold:
		a.refusedFraction = max(a.refusedFraction-intervals*admissionIncrease, 0)
	case now.Before(a.noReductionBefore):
	default:
		a.refusedFraction = min(1-(1-a.refusedFraction)*(1-admissionDecrease*a.maxLoss), 1-admissionFloor)
	}

	switch {
	case a.refusedFraction < 1-admissionFloor:
		a.floorSince = time.Time{}
	case a.floorSince.IsZero():
		a.floorSince = now
	case now.Sub(a.floorSince) >= ineffectiveAfter:
		a.refusedFraction, a.floorSince, a.noReductionBefore = 0, time.Time{}, now.Add(suspendFor)
	}

	a.maxLoss, a.adjustedAt = 0, now
}

// admits reports whether a search over the pinned snapshot is sent at all. Losses of shards that it can do without are
// ignored.
func (q *Query) admits(now time.Time) bool {
	a := &q.p.admission
	a.update(now, q.bottleneckLoss(now))

	return a.refusedFraction == 0 || q.p.rnd.Float64() < a.probability(q.req.Repeated)
}

// probability returns the probability with which the next search is admitted. Searches of callers that were refused before go
// first, because these callers do not retry a second refusal. The admitted fraction of all searches stays the same.
func (a *admissionControl) probability(repeated bool) float64 {
	sample := 0.0
	if repeated {
		sample = 1
	}

	a.repeatedFraction += repeatedWeight * (sample - a.repeatedFraction)
	admitted := 1 - a.refusedFraction

	if repeated {
		return min(admitted/a.repeatedFraction, 1)
	}

	return max(admitted-a.repeatedFraction, 0) / (1 - a.repeatedFraction)
}

// overloadRetry returns when a refused caller should retry: at a random time within what it can wait. A burst lasts for
// seconds, and callers that return while it lasts meet searchers that are still full.
func (q *Query) overloadRetry(now time.Time) ident.RetryAfter {
	latest := ident.RetryAfter(retryFraction * float64(q.req.Deadline.Sub(now)))
	earliest := min(overloadRetryAfter, latest/2)

	return earliest + ident.RetryAfter(q.p.rnd.Float64()*float64(latest-earliest))
}

// bottleneckLoss returns the loss rate of the most overloaded shard that the search needs, or 0 if it is at most
// lossThreshold.
func (q *Query) bottleneckLoss(now time.Time) float64 {
	spare := q.spareShards()

	var losses []float64

	for i := range q.shards {
		if q.shards[i].phase != shardPending {
			continue
		}

		if l := q.p.losses[q.snapshot.Shards[i].ID]; l != nil {
			if rate := l.rate(now); rate > lossThreshold {
				losses = append(losses, rate)
			}
		}
	}

	if len(losses) <= spare {
		return 0
	}

	slices.Sort(losses)

	return losses[len(losses)-1-spare]
}

// spareShards estimates how many further shards may be missing. It counts shards instead of weighing their documents.
func (q *Query) spareShards() int {
	n := len(q.shards)
	needed := int(math.Ceil(q.req.MinCoverage*float64(n) - coverageTolerance))

	return max(q.answered+q.pending-needed, 0)
}

// coverageTolerance keeps a product such as 0.95 x 20 from being rounded up to 20 because of floating-point error.
const coverageTolerance = 1e-9

// isCapacityReason reports whether a shard may be missing because its searchers were full.
func isCapacityReason(r ident.Reason) bool {
	return r == ident.ReasonOverloaded || r == ident.ReasonShed || r == ident.ReasonDeadline
}

// recordLosses updates the loss rates of the shards of a search that has ended.
func (q *Query) recordLosses(now time.Time) {
	if !q.p.direct || len(q.shards) < 2 || q.snapshot == nil {
		return
	}

	for i := range q.shards {
		s := &q.shards[i]
		lost := s.late || s.phase == shardMissing && isCapacityReason(s.reason)

		if lost || s.phase == shardAnswered {
			q.recordLoss(now, i, lost)
		}
	}
}

// recordLoss updates the loss rate of a shard, once for each search.
func (q *Query) recordLoss(now time.Time, shard int, lost bool) {
	if q.shards[shard].lossRecorded {
		return
	}

	id := q.snapshot.Shards[shard].ID
	l := q.p.losses[id]

	switch {
	case l != nil:
	case !lost:
		return
	default:
		if len(q.p.losses) >= q.p.searcherCapacity {
			clear(q.p.losses)
		}

		l = &shardLoss{}
		q.p.losses[id] = l
	}

	q.shards[shard].lossRecorded = lost
	l.observe(now, lost)
}
