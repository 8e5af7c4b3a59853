package query

import (
	"fmt"
	"time"

	"fulmarfall/ident"
)

// Retry-after times used if no searcher or owner has given one.
const (
	retryAfterShort = ident.RetryAfter(100 * time.Millisecond)
	retryAfterLong  = ident.RetryAfter(time.Second)
	// retryJitter is the maximum random increase of these times, as a fraction.
	retryJitter = 0.5
)

// matchAttempt returns the attempt in flight that a reply belongs to, or nil.
func (q *Query) matchAttempt(r ShardReply) *attempt {
	if q.finished || r.Request != q.req.ID || r.Attempt == 0 || r.Attempt > ident.AttemptID(len(q.attempts)) {
		return nil
	}
	a := &q.attempts[r.Attempt-1]
	if !a.active || a.snapshot != r.Snapshot || q.snapshot.Shards[a.shard].ID != r.Shard {
		return nil
	}

	return a
}

// endAttempt marks an attempt as no longer in flight. With direct sends, the searcher's in-flight count is updated by
// AttemptEnded instead.
func (q *Query) endAttempt(a *attempt) {
	a.active = false
	if !q.p.direct {
		a.load.inFlight--
	}
	q.shards[a.shard].active--
}

// cancel ends an attempt whose reply is no longer needed.
func (q *Query) cancel(n ident.AttemptID) {
	a := &q.attempts[n-1]
	q.endAttempt(a)
	q.actions = append(q.actions, &Cancel{Attempt: n, Searcher: a.searcher, Owner: a.owner})
}

// cancelShard cancels the attempts in flight for a shard. If slow is set, their age is recorded as a lower bound of their
// latency. Otherwise the histogram would contain only the faster attempt of each hedged pair, and the hedge delay would
// keep shrinking. A bound below the searcher's average says nothing: with it, a hedge in another region whose first attempt
// was answered soon after it was sent made its searcher seem faster than the network.
func (q *Query) cancelShard(now time.Time, shard int, slow bool) {
	for n := q.shards[shard].lastAttempt; n != 0 && q.shards[shard].active > 0; n = q.attempts[n-1].previous {
		if a := &q.attempts[n-1]; a.active {
			if slow && float64(now.Sub(a.sentAt)) >= a.load.latencyEstimate(now, q.p.halfLife) && (a.load.latency > 0 || !a.hedge) {
				q.observe(now, a)
			}
			q.cancel(n)
		}
	}
}

func (q *Query) observe(now time.Time, a *attempt) {
	d := now.Sub(a.sentAt)
	q.p.latencyOf(now, q.req.Upstream).observe(d)
	q.p.observe(now, a.load, d)
}

func (q *Query) handleSuccess(now time.Time, a *attempt, r ShardReply) {
	q.observe(now, a)
	a.load.failedAt = time.Time{}
	a.load.recordOutcome(now, false)
	if q.req.Operation == OperationExecute {
		q.p.harmless.add(q.key())
		q.finish(now, Finish{Answer: &Answer{
			Request: q.req.ID, Outcome: ident.OutcomeRan, Snapshot: q.snapshot.ID,
			Coverage: Coverage{
				ShardsTotal: 1, ShardsAnswered: 1,
				DocumentsTotal: q.snapshot.Shards[0].Documents, DocumentsAnswered: q.snapshot.Shards[0].Documents,
			},
			Body: r.Body,
		}})
		return
	}
	s := &q.shards[a.shard]
	s.phase, s.hits, s.answeredBy = shardAnswered, r.Hits, r.Attempt
	s.late = !q.req.Target.IsZero() && now.After(q.req.Target)
	q.pending--
	q.answered++
	q.cancelShard(now, a.shard, true)
	if q.canary {
		q.cleared = q.suspected
		if q.sendingBlocked() {
			q.refuse(now, ident.ReasonSuspected, "the request came under suspicion while it ran")
			return
		}
		q.p.harmless.add(q.key())
		q.sendPending(now)
		return
	}
	switch {
	case q.pending == 0:
		q.complete(now)
	case q.partialAnswerDue(now):
		q.finishPartial(now)
	}
}

// mayHaveStarted reports whether the searcher may have started to work on the attempt.
func (s Status) mayHaveStarted() bool { return s != StatusNotStarted && s != StatusSnapshotGone }

// isLoadRefusal reports whether a refusal is due to load. A further attempt after such a refusal needs a budget token, so
// that an overloaded or cold upstream is not sent several attempts for every request. After other refusals (leaving,
// unreachable, ...) the searcher has done no work, so trying another replica adds no load.
func isLoadRefusal(r ident.Reason) bool {
	switch r {
	case ident.ReasonShed, ident.ReasonOverloaded, ident.ReasonCold, ident.ReasonDeadline, ident.ReasonOverShare:
		return true
	default:
		return false
	}
}

// isFinalRefusal reports whether the refusal of one shard request refuses the whole request.
func isFinalRefusal(r ident.Reason) bool {
	return r == ident.ReasonConvicted || r == ident.ReasonNotApproved
}

func (q *Query) handleFailure(now time.Time, a *attempt, r ShardReply) {
	// An owner refuses a hedge whenever its queue is not empty; that is not a failure.
	if r.Status.mayHaveStarted() || !a.hedge && (isLoadRefusal(r.Reason) || r.Reason == ident.ReasonUnreachable) ||
		!q.p.direct && r.Reason == ident.ReasonLimited {
		a.load.failedAt = now
	}
	if r.Sent && r.Status != StatusSnapshotGone {
		a.load.recordOutcome(now, true)
	}
	if !r.Status.mayHaveStarted() {
		q.totalPossibleRuns--
		q.shards[a.shard].possibleRuns--
	}
	q.retryAfter = max(q.retryAfter, r.RetryAfter)
	q.observeRejection(now, r)
	reason := r.Reason
	switch r.Status {
	case StatusSnapshotGone:
		q.shards[a.shard].snapshotGone = true
		reason = ident.ReasonSnapshotGone
	case StatusCrashed:
		reason = ident.ReasonCrashed
		q.blocked = true
		q.p.harmless.remove(q.key())
	case StatusLost:
		reason = ident.ReasonUnreachable
	case StatusTimedOut:
		reason = ident.ReasonDeadline
	case StatusNotStarted, StatusFailed, StatusOK:
	}
	if reason == "" {
		reason = ident.ReasonBadReply
	}
	if isFinalRefusal(reason) {
		q.refuse(now, reason, "an owner node refused the request")
		return
	}
	if reason == ident.ReasonSuspected {
		q.blocked = true
	}
	if q.canary && (q.sendingBlocked() || q.suspected && r.Status.mayHaveStarted()) {
		q.refuse(now, q.crashReason(reason), "the request is suspected of crashing searchers")
		return
	}
	q.shards[a.shard].reason = reason
	if r.Sent || !q.p.direct && (r.Status.mayHaveStarted() || isLoadRefusal(reason)) {
		q.shards[a.shard].chargeRetries = true
	}
	if q.shards[a.shard].active > 0 {
		return
	}
	q.retryShard(now, a.shard, r.Status, reason)
}

// sendingBlocked reports whether no further attempts may be sent, because an attempt crashed a searcher or because the
// fingerprint became suspected through another query. A suspicion that an exclusive run of this query has just cleared
// may still be in the catalog and is ignored.
func (q *Query) sendingBlocked() bool {
	if !q.blocked {
		standing, _ := q.catalog.Standing(q.req.Fingerprint)
		q.blocked = standing == StandingConvicted || standing == StandingSuspected && !q.suspected
	}

	return q.blocked
}

// crashReason returns ReasonConvicted for a crash in an exclusive run, because such a crash convicts the request.
func (q *Query) crashReason(r ident.Reason) ident.Reason {
	if r == ident.ReasonCrashed && q.suspected {
		return ident.ReasonConvicted
	}

	return r
}

// retryShard sends another attempt for a shard that has none in flight, or marks the shard missing.
func (q *Query) retryShard(now time.Time, shard int, status Status, reason ident.Reason) {
	if q.sendingBlocked() || q.attemptsExhausted(shard) || q.req.Operation == OperationExecute && status.mayHaveStarted() {
		q.markMissing(now, shard, reason)
		return
	}
	if !status.mayHaveStarted() && reason != ident.ReasonUnreachable && isTransient(reason) && q.enqueue(now, reason) {
		return
	}
	r := q.pickReplica(now, shard, 0)
	if q.currentShard(shard) == nil {
		q.shards[shard].snapshotGone = true // the registry has dropped the snapshot
	}
	if r == nil && q.p.direct && reason == ident.ReasonOverloaded && !q.shards[shard].essentialRetried && q.essential(shard) {
		// The earlier attempts were rejected without queueing because the shard was not essential at that time.
		q.shards[shard].essentialRetried = true
		r = q.pickAnyReplica(now, shard)
	}
	switch {
	case r == nil && q.shards[shard].snapshotGone && q.repin(now):
		return
	case r == nil && q.shards[shard].snapshotGone:
		q.markMissing(now, shard, ident.ReasonSnapshotGone)
	case r == nil:
		q.markMissing(now, shard, reason)
	case !q.shards[shard].chargeRetries:
		q.p.counters.FreeRetries++
		q.send(now, shard, r, Send{Retry: true})
	case q.takeRetryToken(now, shard):
		q.p.counters.Retries++
		q.send(now, shard, r, Send{Retry: true})
	default:
		q.p.returnRoom(now, r)
		q.p.counters.BudgetDenied++
		q.markMissing(now, shard, reason)
	}
}

// takeRetryToken takes a token for a further attempt from the shard's budget and reports whether there was one.
func (q *Query) takeRetryToken(now time.Time, shard int) bool {
	return q.p.budgetFor(now, q.snapshot.Shards[shard].ID).takeRetry(q.p.rnd.Float64)
}

// repin restarts the query on a newer snapshot. This happens at most once, and only if at least half of the time remains.
func (q *Query) repin(now time.Time) bool {
	if q.repinned || q.req.Operation == OperationExecute || 2*q.finishAt.Sub(now) < q.finishAt.Sub(q.started) {
		return false
	}
	u := q.catalog.Upstream(q.req.Upstream)
	if u == nil {
		return false
	}
	s := pin(u, q.snapshot.ID, false)
	if s == nil {
		return false
	}
	q.repinned = true
	q.p.counters.Repins++
	for i := range q.shards {
		q.cancelShard(now, i, false)
	}
	q.fanOut(now, s)

	return true
}

// markMissing marks a shard missing and refuses the request as soon as it cannot reach the required coverage.
func (q *Query) markMissing(now time.Time, shard int, reason ident.Reason) {
	if q.req.Operation == OperationExecute {
		q.refuse(now, reason, "the shard request failed")
		return
	}
	s := &q.shards[shard]
	s.phase, s.reason = shardMissing, reason
	q.pending--
	q.missingDocuments += q.snapshot.Shards[shard].Documents
	best := q.achievableCoverage()
	switch {
	case best.ShardsAnswered == 0 && q.deferShards(now):
	case best.ShardsAnswered == 0:
		q.refuse(now, reason, "no shard answered")
	case best.Fraction() < q.req.MinCoverage && (q.retryOverloadedShard(now) || q.deferShards(now)):
	case best.Fraction() < q.req.MinCoverage:
		q.refuse(now, ident.ReasonLowCoverage, fmt.Sprintf("at most %.4f of the documents can be covered", best.Fraction()))
	case q.pending == 0:
		q.complete(now)
	case q.canary && q.inFlightAttempts() == 0 && len(q.attempts) > 0:
		q.sendCanary(now)
	}
}

// retryOverloadedShard sends another attempt for a shard that was skipped as overloaded while it was not essential. It
// reports whether it found such a shard.
func (q *Query) retryOverloadedShard(now time.Time) bool {
	if !q.p.direct || q.sendingBlocked() {
		return false
	}
	for i := range q.shards {
		s := &q.shards[i]
		if s.phase != shardMissing || s.reason != ident.ReasonOverloaded || s.essentialRetried || q.attemptsExhausted(i) {
			continue
		}
		r := q.pickAnyReplica(now, i)
		if r == nil {
			continue
		}
		if s.chargeRetries && !q.takeRetryToken(now, i) {
			q.p.returnRoom(now, r)
			continue
		}
		if s.chargeRetries {
			q.p.counters.Retries++
		} else {
			q.p.counters.FreeRetries++
		}
		s.phase, s.reason, s.essentialRetried = shardPending, "", true
		q.pending++
		q.missingDocuments -= q.snapshot.Shards[i].Documents
		q.send(now, i, r, Send{Retry: true})

		return true
	}

	return false
}

func (q *Query) inFlightAttempts() int {
	n := 0
	for i := range q.shards {
		n += q.shards[i].active
	}

	return n
}

func (q *Query) tickShard(now time.Time, shard int) {
	s := &q.shards[shard]
	for n := s.lastAttempt; n != 0; n = q.attempts[n-1].previous {
		a := &q.attempts[n-1]
		if !a.active || a.timeoutAt.IsZero() {
			continue
		}
		if now.Before(a.timeoutAt) {
			q.scheduleTick(a.timeoutAt)
			continue
		}
		q.replaceTimedOut(now, shard, n)
	}
	if s.hedgeAt.IsZero() {
		return
	}
	if now.Before(s.hedgeAt) {
		q.scheduleTick(s.hedgeAt)
		return
	}
	s.hedgeAt = now.Add(q.hedgeDelay)
	q.hedge(now, shard)
}

// replaceTimedOut replaces an attempt that has timed out. The attempt continues if there is no other replica or no budget.
func (q *Query) replaceTimedOut(now time.Time, shard int, n ident.AttemptID) {
	a := &q.attempts[n-1]
	if q.suspected && !q.cleared || q.req.Operation == OperationExecute || q.sendingBlocked() || q.attemptsExhausted(shard) {
		a.timeoutAt = time.Time{}
		return
	}
	if q.othersWait() && !a.load.stalledSince(a.sentAt) {
		a.timeoutAt = now.Add(q.attemptTimeout)
		q.scheduleTick(a.timeoutAt)
		return
	}
	r := q.pickReplica(now, shard, 0)
	if r == nil {
		a.timeoutAt = time.Time{}
		return
	}
	if !q.takeRetryToken(now, shard) {
		q.p.returnRoom(now, r)
		q.p.counters.BudgetDenied++
		a.timeoutAt = now.Add(q.attemptTimeout)
		q.scheduleTick(a.timeoutAt)
		return
	}
	a.load.failedAt = now
	q.observe(now, a)
	q.cancel(n)
	q.p.counters.Retries++
	q.shards[shard].chargeRetries = true
	q.send(now, shard, r, Send{Retry: true})
}

// hedge sends a second attempt for a shard. If the budget has no token, it is tried again after another hedge delay.
func (q *Query) hedge(now time.Time, shard int) {
	s := &q.shards[shard]
	if s.hedged || s.active >= maxInFlight || q.sendingBlocked() || q.attemptsExhausted(shard) {
		s.hedgeAt = time.Time{}
		return
	}
	if q.othersWait() {
		q.scheduleTick(s.hedgeAt)
		return
	}
	r := q.pickReplica(now, shard, q.hedgeReserve(now, shard))
	if r == nil {
		s.hedgeAt = time.Time{}
		return
	}
	if !q.p.budgetFor(now, q.snapshot.Shards[shard].ID).takeHedge(q.hedgeChance) {
		q.p.returnRoom(now, r)
		q.p.counters.BudgetDenied++
		q.scheduleTick(s.hedgeAt)
		return
	}
	s.hedged, s.hedgeAt = true, time.Time{}
	q.p.counters.Hedges++
	q.send(now, shard, r, Send{Hedge: true})
}

// hedgeChance returns the random number for a hedge from a budget below one token. Requests that may wait get none from it: each
// hedge of such a request is long work, and while searchers are busy it makes the others late.
func (q *Query) hedgeChance() float64 {
	if q.mayWait() {
		return 1
	}

	return q.p.rnd.Float64()
}

// finishPartial ends the query with the shards answered so far, at the target or shortly before the deadline.
func (q *Query) finishPartial(now time.Time) {
	if q.req.Operation == OperationExecute {
		q.refuse(now, ident.ReasonDeadline, "no answer came before the deadline")
		return
	}
	for i := range q.shards {
		s := &q.shards[i]
		if s.phase != shardPending {
			continue
		}
		s.phase, s.reason = shardMissing, ident.ReasonDeadline
		q.pending--
		q.missingDocuments += q.snapshot.Shards[i].Documents
	}
	q.complete(now)
}

func (q *Query) coverage() Coverage {
	c := Coverage{ShardsTotal: len(q.shards)}
	for i := range q.shards {
		d := q.snapshot.Shards[i].Documents
		c.DocumentsTotal += d
		if q.shards[i].phase == shardAnswered {
			c.ShardsAnswered++
			c.DocumentsAnswered += d
		}
	}

	return c
}

// achievableCoverage returns the coverage if every shard that is not missing answers.
func (q *Query) achievableCoverage() Coverage {
	return Coverage{
		ShardsTotal: len(q.shards), ShardsAnswered: q.answered + q.pending,
		DocumentsTotal: q.documents, DocumentsAnswered: q.documents - q.missingDocuments,
	}
}

// complete ends a search in which every shard is answered or missing.
func (q *Query) complete(now time.Time) {
	if q.finished {
		return
	}
	c := q.coverage()
	switch {
	case c.ShardsAnswered == 0:
		q.refuse(now, ident.ReasonDeadline, "no shard answered before the deadline")
		return
	case c.Fraction() < q.req.MinCoverage:
		q.refuse(now, ident.ReasonLowCoverage, fmt.Sprintf("%.4f of the documents were covered", c.Fraction()))
		return
	}
	if q.req.Parts {
		q.finishParts(now, c)
		return
	}
	lists := make([][]Hit, len(q.shards))
	for i := range q.shards {
		s := &q.shards[i]
		if s.phase == shardAnswered {
			lists[i] = s.hits
			continue
		}
		c.Missing = append(c.Missing, MissingShard{Shard: q.snapshot.Shards[i].ID, Reason: s.reason})
	}
	q.finish(now, Finish{Answer: &Answer{
		Request: q.req.ID, Outcome: ident.OutcomeRan, Snapshot: q.snapshot.ID, Coverage: c,
		Hits: mergeHits(lists, q.req.Limit),
	}})
}

// finishParts ends a search with the list of answered attempts.
func (q *Query) finishParts(now time.Time, c Coverage) {
	parts := make([]Part, 0, c.ShardsAnswered)
	for i := range q.shards {
		s := &q.shards[i]
		if s.phase == shardAnswered {
			parts = append(parts, Part{Shard: q.snapshot.Shards[i].ID, Attempt: s.answeredBy})
			continue
		}
		c.Missing = append(c.Missing, MissingShard{Shard: q.snapshot.Shards[i].ID, Reason: s.reason})
	}
	q.finish(now, Finish{Answer: &Answer{
		Request: q.req.ID, Outcome: ident.OutcomeRan, Snapshot: q.snapshot.ID, Coverage: c, Parts: parts,
	}})
}

func (q *Query) refuse(now time.Time, reason ident.Reason, message string) {
	outcome := ident.OutcomeNotRun
	if q.totalPossibleRuns > 0 {
		outcome = ident.OutcomeUnknown
	}
	retry := q.retryAfter
	switch {
	case retry > 0:
	case q.req.Group != "" && outcome == ident.OutcomeNotRun && lacksSearchers(reason):
		retry = q.overloadRetry(now)
	default:
		retry = q.p.jitter(defaultRetryAfter(reason))
	}
	q.finish(now, Finish{Refusal: &Refusal{
		Request: q.req.ID, Outcome: outcome, Reason: reason, Message: message, RetryAfter: retry, Limited: q.limited,
		Unreachable: q.hasUnreachable(),
	}})
}

// hasUnreachable reports whether a shard is missing because its searchers took no connection.
func (q *Query) hasUnreachable() bool {
	for i := range q.shards {
		if q.shards[i].phase == shardMissing && q.shards[i].reason == ident.ReasonUnreachable {
			return true
		}
	}

	return false
}

// jitter lengthens a retry-after time at random. One event can cause many refusals at once, and their callers must not all
// retry at the same time.
func (p *Planner) jitter(d ident.RetryAfter) ident.RetryAfter {
	return d + ident.RetryAfter(p.rnd.Float64()*retryJitter*float64(d))
}

// lacksSearchers reports whether a request is refused because too few searchers are there or have room, which lasts for seconds.
func lacksSearchers(r ident.Reason) bool {
	switch r {
	case ident.ReasonNoSnapshot, ident.ReasonNoReplica, ident.ReasonLowCoverage, ident.ReasonOverloaded, ident.ReasonShed:
		return true
	default:
		return false
	}
}

func defaultRetryAfter(r ident.Reason) ident.RetryAfter {
	switch r {
	case ident.ReasonBadRequest, ident.ReasonUnknownShard:
		return 0
	case ident.ReasonDeadline, ident.ReasonShed, ident.ReasonOverloaded, ident.ReasonLowCoverage, ident.ReasonUnreachable, ident.ReasonLimited:
		return retryAfterShort
	default:
		return retryAfterLong
	}
}

func (q *Query) finish(now time.Time, f Finish) {
	if len(q.attempts) > 0 {
		q.recordLosses(now)
	}
	q.recordStrain(now, &f)
	for i := range q.shards {
		q.cancelShard(now, i, !now.Before(q.finishAt))
		if r := q.shards[i].chosen; r != nil {
			q.p.returnRoom(now, r)
		}
	}
	q.stopWaiting(now)
	q.finished = true
	f.WithoutRoom = q.withoutRoom
	q.actions = append(q.actions, &f)
}
