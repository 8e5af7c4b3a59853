package query

import (
	"time"

	"fulmarfall/ident"
)

// Deferred attempts. If a few of many searchers reject a search while they are full, the work of the others is wasted unless
// the missing shards are asked again. A full searcher has room again after a fraction of its latency, long before the
// deadline of most requests.
const (
	// deferralDelay is the time until a shard is asked again that cannot be asked now. It doubles up to maxDeferralDelay.
	deferralDelay    = 25 * time.Millisecond
	maxDeferralDelay = 200 * time.Millisecond
	// deferralJitter is the maximum random change of these times, as a fraction.
	deferralJitter = 0.5
)

// isTransient reports whether a shard that is missing for the reason may answer within the time of one request.
func isTransient(r ident.Reason) bool {
	switch r {
	case ident.ReasonShed, ident.ReasonOverloaded, ident.ReasonUnreachable, ident.ReasonResting, ident.ReasonLimited, ident.ReasonCold:
		return true
	default:
		return false
	}
}

// deferShards schedules further attempts for the missing shards, without which the required coverage can't be reached. It
// reports whether it can be reached with them. A request that no searcher has seen yet is refused instead, so that its
// caller can retry elsewhere, unless the caller has done so already.
func (q *Query) deferShards(now time.Time) bool {
	if !q.p.direct || q.req.Operation == OperationExecute || q.totalPossibleRuns == 0 && !q.req.Repeated || q.sendingBlocked() ||
		!now.Add(deferralDelay).Before(q.finishAt) {
		return false
	}

	c := q.achievableCoverage()
	for i := range q.shards {
		if q.deferrable(now, i) {
			c.ShardsAnswered++
			c.DocumentsAnswered += q.snapshot.Shards[i].Documents
		}
	}

	if c.ShardsAnswered == 0 || c.Fraction() < q.req.MinCoverage {
		return false
	}

	for i := range q.shards {
		if q.deferrable(now, i) {
			q.shards[i].phase = shardPending
			// A loss counts when the shard rejects the search, not when the search ends seconds later.
			q.recordLoss(now, i, isCapacityReason(q.shards[i].reason))
			q.pending++
			q.missingDocuments -= q.snapshot.Shards[i].Documents
			q.deferShard(now, i)
		}
	}

	return true
}

// deferrable reports whether a missing shard is worth asking again. It isn't while none of its searchers takes connections:
// they need seconds to start.
func (q *Query) deferrable(now time.Time, shard int) bool {
	s := &q.shards[shard]
	if s.phase != shardMissing || !isTransient(s.reason) || q.attemptsExhausted(shard) {
		return false
	}

	current := q.currentShard(shard)
	if current == nil {
		return false
	}

	wait, reason := q.p.unavailable(now, current)

	return wait == 0 || reason == ident.ReasonResting
}

// deferShard schedules the next attempt for a pending shard.
func (q *Query) deferShard(now time.Time, shard int) {
	s := &q.shards[shard]
	s.deferral = min(max(2*s.deferral, deferralDelay), maxDeferralDelay)
	s.retryAt = now.Add(time.Duration(float64(s.deferral) * (1 + deferralJitter*(2*q.p.rnd.Float64()-1))))
	q.scheduleTick(s.retryAt)
}

// retryDeferred sends the next attempt for a deferred shard if it is due and a searcher and a token of the retry budget are
// available.
func (q *Query) retryDeferred(now time.Time, shard int) {
	s := &q.shards[shard]
	if now.Before(s.retryAt) {
		q.scheduleTick(s.retryAt)

		return
	}

	r := q.pickAnyReplica(now, shard)

	switch {
	case q.sendingBlocked() || q.attemptsExhausted(shard):
		if r != nil {
			q.p.returnRoom(now, r)
		}

		s.retryAt = time.Time{}
		q.markMissing(now, shard, s.reason)
	case r == nil:
		q.deferShard(now, shard)
	case s.chargeRetries && !q.takeRetryToken(now, shard):
		q.p.returnRoom(now, r)
		q.p.counters.BudgetDenied++
		q.deferShard(now, shard)
	default:
		s.retryAt = time.Time{}
		q.p.counters.Retries++
		q.send(now, shard, r, Send{Retry: true})
	}
}
