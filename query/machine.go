package query

import (
	"time"

	"fulmarfall/admission"
	"fulmarfall/ident"
)

const (
	// timeoutFactor is the attempt timeout as a multiple of the hedge delay.
	timeoutFactor = 4
	// minimumTimeout prevents needless retries for very fast upstreams when the scheduler pauses the process.
	minimumTimeout = 20 * time.Millisecond
	// hedgeTargetDivisor limits the hedge delay to this fraction (1/n) of the time until the target. The remaining time has
	// to suffice for a round trip to another region and the search itself.
	hedgeTargetDivisor = 3
	// hedgeLatencies is the least hedge delay of requests that may wait, as a multiple of their usual latency, up to two thirds of
	// the time until the target.
	hedgeLatencies = 2
	// maxInFlight is the maximum number of concurrent attempts for one shard: the first one and a hedge.
	maxInFlight = 2
)

type shardPhase uint8

const (
	shardPending shardPhase = iota
	shardAnswered
	shardMissing
)

// shardState is the state of one shard of the pinned snapshot within a query.
type shardState struct {
	phase            shardPhase
	reason           ident.Reason
	snapshotGone     bool // a replica reported that it no longer has the snapshot
	hedged           bool
	late             bool            // answered after the target
	essentialRetried bool            // an essential attempt was sent after earlier ones found no free connection
	chargeRetries    bool            // an attempt may have put load on a searcher, so further ones need a budget token
	active           int             // attempts in flight
	possibleRuns     int             // attempts that may have run the request
	lastAttempt      ident.AttemptID // newest attempt, 0 if there is none
	hedgeAt          time.Time
	// retryAt is when a deferred shard is asked again, zero if the shard is not deferred; deferral is the last delay.
	retryAt  time.Time
	deferral time.Duration
	// lossRecorded is set once the search counts as lost by the shard.
	lossRecorded bool
	hits         []Hit
	// answeredBy is the attempt whose reply is used.
	answeredBy ident.AttemptID
	// chosen is the replica for the first attempt, if it was chosen in advance.
	chosen *Replica
}

// attempt is one shard request. Attempt ids start at 1; attempt n is Query.attempts[n-1].
type attempt struct {
	shard     int
	snapshot  ident.SnapshotID
	searcher  ident.SearcherID
	owner     ident.NodeID
	load      *searcherLoad
	active    bool
	hedge     bool
	previous  ident.AttemptID // previous attempt for the same shard, 0 if there is none
	sentAt    time.Time
	timeoutAt time.Time // zero: limited only by the query's deadline
}

// Query is one request in progress. Its methods may be called concurrently; they lock the Planner.
type Query struct {
	p       *Planner
	req     Request
	catalog Catalog

	started          time.Time
	finishAt         time.Time
	snapshot         *Snapshot
	shards           []shardState
	attempts         []attempt
	pending          int
	answered         int
	missingDocuments ident.Documents // documents in missing shards
	// documents is the number of documents in the pinned snapshot. It is cached because every attempt computes the
	// coverage that can still be reached.
	documents ident.Documents
	// totalPossibleRuns is the number of attempts that a searcher may have started.
	totalPossibleRuns int
	retryAfter        ident.RetryAfter
	limited           []ident.ShardID // shards without room under request limits
	withoutRoom       int             // searchers that were passed over because their request limits left no room

	suspected bool
	canary    bool // only the canary attempt may be in flight
	cleared   bool // the exclusive run of a suspected request succeeded
	// blocked is set when the request crashed a searcher or became suspected during the query; no further attempts are
	// sent then.
	blocked  bool
	repinned bool
	finished bool
	// zoneNear is set if the searchers of the node's zone go before others.
	zoneNear bool
	// waiting is set while the request waits for a searcher with room; granted is the one that is reserved for it.
	waiting bool
	granted *Replica

	// throttle is told once whether the request, which was admitted in a round, is strained; it is nil afterwards.
	throttle *admission.Throttle
	round    uint64
	// rejections counts attempts that full searchers have turned away.
	rejections int

	hedgeDelay     time.Duration // 0 disables hedging
	attemptTimeout time.Duration
	nextTick       time.Time

	actions []Action
	slab    []Send
}

// Start begins a query. The returned actions may already contain the Finish.
func (p *Planner) Start(now time.Time, r Request, c Catalog) (*Query, []Action) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.Queries++
	q := &Query{p: p, req: r, catalog: c, started: now, finishAt: r.Deadline.Add(-p.margin)}
	q.begin(now)

	return q, q.takeActions()
}

// Reply processes the result of a shard attempt. A reply whose request, attempt, shard and snapshot do not all match an
// attempt in flight is dropped and counted.
func (q *Query) Reply(now time.Time, r ShardReply) []Action {
	q.p.mu.Lock()
	defer q.p.mu.Unlock()
	a := q.matchAttempt(r)
	if a == nil {
		q.p.counters.RepliesDropped++
		return nil
	}
	q.endAttempt(a)
	a.load.report(now, r.Load)
	if r.Status == StatusOK && !validHits(r.Hits) {
		q.p.counters.BadReplies++
		r = ShardReply{Status: StatusFailed, Reason: ident.ReasonBadReply}
	}
	q.recordWindow(now, a, r)
	if r.Status == StatusOK {
		q.handleSuccess(now, a, r)
	} else {
		q.handleFailure(now, a, r)
	}

	return q.takeActions()
}

// Tick processes expired timers: it sends the partial answer, replaces timed-out attempts and sends hedges.
func (q *Query) Tick(now time.Time) []Action {
	q.p.mu.Lock()
	defer q.p.mu.Unlock()
	if q.finished {
		return nil
	}
	if !now.Before(q.finishAt) || q.partialAnswerDue(now) {
		q.finishPartial(now)
		return q.takeActions()
	}
	q.nextTick = q.finishAt
	if now.Before(q.req.Target) {
		q.scheduleTick(q.req.Target)
	}
	q.observeTarget(now)
	if q.waiting {
		q.tickWaiting(now)
		return q.takeActions()
	}
	for i := range q.shards {
		switch {
		case q.shards[i].phase != shardPending:
		case q.shards[i].active > 0:
			q.tickShard(now, i)
		case !q.shards[i].retryAt.IsZero():
			q.retryDeferred(now, i)
		}
		if q.finished {
			break
		}
	}

	return q.takeActions()
}

// NextTick returns the time at which Tick must be called next; ok is false once the query has finished.
func (q *Query) NextTick() (at time.Time, ok bool) {
	q.p.mu.Lock()
	defer q.p.mu.Unlock()

	return q.nextTick, !q.finished
}

// Expire ends the query as if its deadline had come, with a partial answer if the coverage suffices.
func (q *Query) Expire(now time.Time) []Action {
	q.p.mu.Lock()
	defer q.p.mu.Unlock()
	if q.finished {
		return nil
	}
	q.finishPartial(now)

	return q.takeActions()
}

// Abandon ends a search whose caller has disconnected. An OperationExecute continues, so that its outcome can be stored
// under its idempotency key.
func (q *Query) Abandon(now time.Time) []Action {
	q.p.mu.Lock()
	defer q.p.mu.Unlock()
	if q.finished || q.req.Operation == OperationExecute && !q.waiting {
		return nil
	}
	q.refuse(now, ident.ReasonCancelled, "the caller has gone")

	return q.takeActions()
}

// takeActions returns the pending actions and clears them.
func (q *Query) takeActions() []Action {
	out := q.actions
	q.actions = nil

	return out
}

func (q *Query) begin(now time.Time) {
	if reason, message := q.validate(now); reason != "" {
		q.refuse(now, reason, message)
		return
	}
	switch standing, until := q.catalog.Standing(q.req.Fingerprint); standing {
	case StandingConvicted:
		q.retryAfter = ident.RetryAfter(max(until.Sub(now), 0))
		q.refuse(now, ident.ReasonConvicted, "the request is convicted of crashing searchers")
		return
	case StandingSuspected:
		q.suspected = true
	case StandingNone:
	}
	u := q.catalog.Upstream(q.req.Upstream)
	if u == nil {
		q.refuse(now, ident.ReasonUnknownUpstream, "the upstream is not known")
		return
	}
	if q.req.Operation == OperationExecute {
		q.beginExecute(now, u)
		return
	}
	s := pin(u, 0, true)
	if s == nil {
		q.refuse(now, ident.ReasonNoSnapshot, "no shard of any snapshot has a usable searcher")
		return
	}
	q.fanOut(now, s)
}

func (q *Query) validate(now time.Time) (ident.Reason, string) {
	switch {
	case q.req.Operation != OperationSearch && q.req.Operation != OperationExecute:
		return ident.ReasonBadRequest, "the operation is not known"
	case q.req.Limit < 0:
		return ident.ReasonBadRequest, "limit is negative"
	case !(q.req.MinCoverage >= 0 && q.req.MinCoverage <= 1):
		return ident.ReasonBadRequest, "min_coverage is not between 0 and 1"
	case !now.Before(q.finishAt):
		return ident.ReasonDeadline, "the deadline has passed or is too near"
	default:
		return "", ""
	}
}

// beginExecute sends a non-idempotent request to one replica of its shard in the newest snapshot.
func (q *Query) beginExecute(now time.Time, u *Upstream) {
	var (
		found bool
		best  *Snapshot
		index int
	)
	for i := range u.Snapshots {
		s := &u.Snapshots[i]
		for j := range s.Shards {
			if s.Shards[j].ID != q.req.Shard {
				continue
			}
			found = true
			if s.Shards[j].usable() && (best == nil || s.ID > best.ID) {
				best, index = s, j
			}
		}
	}
	switch {
	case !found:
		q.refuse(now, ident.ReasonUnknownShard, "the upstream has no such shard")
		return
	case best == nil:
		q.refuse(now, ident.ReasonNoReplica, "no searcher of the shard is usable")
		return
	}
	// Restrict the query to the requested shard.
	q.snapshot = &Snapshot{ID: best.ID, Shards: best.Shards[index : index+1]}
	q.resetShards()
	q.initTimeouts(now)
	if q.refusedForOverload(now) {
		return
	}
	q.canary = q.needsCanary()
	q.sendFirst(now, 0)
}

// fanOut pins a snapshot and sends to its shards. If the request is not known to be harmless, a canary attempt goes
// first.
func (q *Query) fanOut(now time.Time, s *Snapshot) {
	q.snapshot = s
	q.resetShards()
	q.initTimeouts(now)
	q.canary = false
	for i := range s.Shards {
		reason := ident.ReasonNoReplica
		if s.Shards[i].usable() {
			wait, cause := q.p.unavailable(now, &s.Shards[i])
			if wait == 0 {
				continue
			}
			reason = cause
			if reason == ident.ReasonResting && q.enqueue(now, reason) {
				return
			}
			q.updateRetryAfter(wait)
		}
		q.markMissing(now, i, reason)
		if q.finished {
			return
		}
	}
	if !q.repinned && q.refusedForOverload(now) {
		return
	}
	q.canary = q.suspected || q.needsCanary()
	if q.canary {
		q.sendCanary(now)
		return
	}
	if !q.takeLimitedRoom(now) {
		return
	}
	q.sendPending(now)
}

func (q *Query) resetShards() {
	n := len(q.snapshot.Shards)
	q.shards = make([]shardState, n)
	q.pending, q.answered, q.missingDocuments, q.documents = n, 0, 0, 0
	for i := range q.snapshot.Shards {
		q.documents += q.snapshot.Shards[i].Documents
	}
	q.cleared = false
	if q.attempts == nil {
		q.attempts = make([]attempt, 0, n+n/8+1)
	}
}

// initTimeouts sets the hedge delay and the attempt timeout from the upstream's latency histogram.
func (q *Query) initTimeouts(now time.Time) {
	remaining := q.finishAt.Sub(now)
	q.hedgeDelay, q.attemptTimeout = 0, remaining/2
	q.nextTick = q.finishAt
	if now.Before(q.req.Target) {
		q.scheduleTick(q.req.Target)
	}
	if q.p.hedgeQuantile >= 1 {
		return
	}
	if r := q.p.latency[q.req.Upstream]; r != nil {
		if d, ok := r.quantile(q.p.hedgeQuantile); ok {
			q.hedgeDelay = d
			q.attemptTimeout = min(max(timeoutFactor*d, minimumTimeout), remaining)
		}
	}
	if !q.p.direct || !now.Before(q.req.Target) {
		return
	}
	// The quantile is high while many searchers are slow, and unknown until enough requests have been observed. A hedge sent
	// that late could not be answered before the target. The budget limits the additional hedges.
	latest := q.req.Target.Sub(now) / hedgeTargetDivisor
	if h := q.p.latency[q.req.Upstream]; h != nil && q.mayWait() {
		// Requests that may wait are expensive, and many take longer than a third of the time until the target.
		if usual, ok := h.usual(); ok {
			latest = max(latest, min(hedgeLatencies*usual, 2*latest))
		}
	}
	if q.hedgeDelay == 0 || q.hedgeDelay > latest {
		q.hedgeDelay = latest
	}
}

func (q *Query) key() harmlessKey {
	return harmlessKey{fingerprint: q.req.Fingerprint, snapshot: q.snapshot.ID}
}

// needsCanary reports whether the request must first be run by a single searcher to show that it is harmless.
func (q *Query) needsCanary() bool { return !q.p.direct && !q.p.harmless.contains(q.key()) }

// partialAnswerDue reports whether the target has passed and the coverage suffices to answer without the pending shards.
func (q *Query) partialAnswerDue(now time.Time) bool {
	if q.req.Target.IsZero() || now.Before(q.req.Target) || q.answered == 0 || q.pending == 0 {
		return false
	}

	return q.coverage().Fraction() >= q.req.MinCoverage
}

// essential reports whether the required coverage cannot be reached without the shard, given those already missing.
func (q *Query) essential(shard int) bool {
	if q.req.Operation == OperationExecute {
		return true
	}
	remaining := q.achievableCoverage()
	if q.shards[shard].phase != shardMissing {
		remaining.ShardsAnswered--
		remaining.DocumentsAnswered -= q.snapshot.Shards[shard].Documents
	}

	return remaining.ShardsAnswered == 0 || remaining.Fraction() < q.req.MinCoverage
}

// attemptsExhausted reports whether the maximum number of searchers may already have run the request for a shard.
func (q *Query) attemptsExhausted(shard int) bool {
	return q.req.MaxAttempts > 0 && q.shards[shard].possibleRuns >= q.req.MaxAttempts
}

// sendCanary sends to the pending shard with the highest affinity to the fingerprint.
func (q *Query) sendCanary(now time.Time) {
	for q.pending > 0 && !q.finished && q.inFlightAttempts() == 0 {
		best, bestRank := -1, uint64(0)
		for i := range q.shards {
			if q.shards[i].phase != shardPending {
				continue
			}
			if rank := affinity(q.req.Fingerprint, string(q.snapshot.Shards[i].ID)); best < 0 || rank > bestRank {
				best, bestRank = i, rank
			}
		}
		if q.sendFirst(now, best) {
			return
		}
	}
}

// sendPending sends to all pending shards without an attempt in flight.
func (q *Query) sendPending(now time.Time) {
	q.canary = false
	q.slab = make([]Send, 0, q.pending)
	if q.actions == nil {
		q.actions = make([]Action, 0, q.pending)
	}
	for i := range q.shards {
		if q.shards[i].phase == shardPending && q.shards[i].active == 0 {
			q.sendFirst(now, i)
			if q.finished {
				return
			}
		}
	}
	if q.pending == 0 {
		q.complete(now)
	}
}

// sendFirst sends the first attempt for a shard, or marks the shard missing if no replica can be used. It reports whether
// an attempt was sent.
func (q *Query) sendFirst(now time.Time, shard int) bool {
	if q.mayWait() && q.mustWait(now) {
		if q.enqueue(now, ident.ReasonOverloaded) {
			return true
		}
		q.markMissing(now, shard, ident.ReasonOverloaded)
		return false
	}
	r := q.shards[shard].chosen
	q.shards[shard].chosen = nil
	if r == nil {
		r = q.pickReplica(now, shard, q.firstReserve(now, shard))
	}
	if r == nil {
		reason := q.missingReason(now, shard)
		if reason == ident.ReasonResting && q.enqueue(now, reason) {
			return true
		}
		q.markMissing(now, shard, reason)
		return false
	}
	q.p.counters.FirstAttempts++
	q.p.budgetFor(now, q.snapshot.Shards[shard].ID).deposit(1)
	q.send(now, shard, r, Send{})

	return true
}

// currentShard returns a shard of the pinned snapshot with its replicas as of now, or nil if the catalog has dropped the
// snapshot.
func (q *Query) currentShard(shard int) *Shard {
	return q.catalog.Upstream(q.req.Upstream).snapshot(q.snapshot.ID).shard(q.snapshot.Shards[shard].ID, shard)
}

// missingReason returns why no replica can be chosen for a shard without an attempt.
func (q *Query) missingReason(now time.Time, shard int) ident.Reason {
	s := q.currentShard(shard)
	if s == nil {
		return ident.ReasonSnapshotGone
	}
	wait, reason := q.p.unavailable(now, s)
	_, limitWait, limited := q.p.limitedRoom(now, s)

	switch {
	case wait > 0:
		q.updateRetryAfter(wait)

		return reason
	case limited:
		q.limited = append(q.limited, s.ID)
		q.updateRetryAfter(max(limitWait, time.Duration(retryAfterShort)))

		return ident.ReasonLimited
	case s.usable():
		return ident.ReasonDeadline // the round trip to every replica exceeds the remaining time
	default:
		return ident.ReasonNoReplica
	}
}

// updateRetryAfter records that a shard is unavailable for the given time. The shortest time is kept: the request is
// refused because one shard too many is missing, so it can succeed as soon as the first of them is available again.
func (q *Query) updateRetryAfter(wait time.Duration) {
	if after := q.p.jitter(ident.RetryAfter(wait)); q.retryAfter == 0 || after < q.retryAfter {
		q.retryAfter = after
	}
}

// pickReplica chooses a usable replica that this query has not yet tried for the shard on the pinned snapshot and that is
// near enough for a round trip in the remaining time. It takes room under the request limit of the replica, and leaves the
// given fraction of that room; the caller must send an attempt or return the room.
func (q *Query) pickReplica(now time.Time, shard int, reserve float64) *Replica {
	s := q.currentShard(shard)
	last := q.shards[shard].lastAttempt
	maxHop := q.maxHop(now)
	skip := func(r *Replica) bool { return q.p.hop(r) >= maxHop || q.tried(last, r.Searcher) }
	// Without owners, the whole system runs a suspected request one at a time, so any searcher will do.
	if !q.canary || q.p.direct {
		if last == 0 {
			if r := q.chooseNear(now, s, reserve, skip); r != nil {
				return r
			}
		}
		return q.chooseWithRoom(now, s, reserve, skip)
	}

	region := q.p.region
	if q.suspected {
		region = "" // All nodes choose the same searcher, so that it runs at only one owner at a time.
	}

	return chooseCanary(q.req.Fingerprint, s, region, skip)
}

// pickAnyReplica is like pickReplica, but may return a replica that was tried before.
func (q *Query) pickAnyReplica(now time.Time, shard int) *Replica {
	maxHop := q.maxHop(now)

	return q.chooseWithRoom(now, q.currentShard(shard), 0, func(r *Replica) bool { return q.p.hop(r) >= maxHop })
}

// maxHop returns the one-way network latency from which a replica is too far away for a round trip in the remaining time.
func (q *Query) maxHop(now time.Time) time.Duration { return q.finishAt.Sub(now) / 2 }

func (q *Query) tried(last ident.AttemptID, id ident.SearcherID) bool {
	for n := last; n != 0; n = q.attempts[n-1].previous {
		if q.attempts[n-1].searcher == id {
			return true
		}
	}

	return false
}

// send adds an attempt and emits its Send action. The flags set in the given Send are kept.
func (q *Query) send(now time.Time, shard int, r *Replica, flags Send) {
	s := &q.shards[shard]
	l := q.p.load(r.Searcher)
	if q.mayWait() {
		l.shard = q.snapshot.Shards[shard].ID
	}
	l.inFlight++
	if q.p.direct {
		l.sentTimes = append(l.sentTimes, now)
	}
	timeout := q.attemptTimeout
	if q.canary {
		// A second canary endangers a second searcher, so the first one always gets at least half of the time.
		timeout = max(timeout, q.finishAt.Sub(q.started)/2)
	}
	q.attempts = append(q.attempts, attempt{
		shard: shard, snapshot: q.snapshot.ID, searcher: r.Searcher, owner: r.Owner, load: l, active: true,
		hedge: flags.Hedge, previous: s.lastAttempt, sentAt: now, timeoutAt: now.Add(timeout),
	})
	s.lastAttempt = ident.AttemptID(len(q.attempts))
	s.active++
	s.possibleRuns++
	q.totalPossibleRuns++
	q.scheduleTick(now.Add(timeout))
	if q.hedgeDelay > 0 && !s.hedged && !q.canary && q.req.Operation == OperationSearch {
		s.hedgeAt = now.Add(q.hedgeDelay)
		if q.p.direct {
			// The quantile is taken over all attempts; an attempt in another region takes a longer round trip.
			s.hedgeAt = s.hedgeAt.Add(2 * q.p.hop(r))
		}
		q.scheduleTick(s.hedgeAt)
	}

	flags.Essential = q.p.direct && q.essential(shard) && !q.mayWait()
	flags.Request, flags.Attempt = q.req.ID, s.lastAttempt
	flags.Searcher, flags.Owner = r.Searcher, r.Owner
	flags.Shard, flags.Snapshot = q.snapshot.Shards[shard].ID, q.snapshot.ID
	flags.Deadline = q.finishAt.Add(-q.p.hop(r))
	flags.Canary = q.canary
	flags.Exclusive = q.suspected && !q.cleared
	flags.Cleared = q.cleared
	flags.Limited = q.p.limitOf(now, r) != nil
	flags.Distance = q.p.distance(r)
	flags.ConnectionWait = q.connectionWait(now, shard, r, &flags)
	if flags.Canary {
		q.p.counters.Canaries++
	}
	if flags.Exclusive {
		q.p.counters.Exclusives++
	}
	if len(q.slab) == cap(q.slab) {
		q.slab = make([]Send, 0, 1)
	}
	q.slab = append(q.slab, flags)
	q.actions = append(q.actions, &q.slab[len(q.slab)-1])
}

func (q *Query) scheduleTick(at time.Time) {
	if at.Before(q.nextTick) {
		q.nextTick = at
	}
}
