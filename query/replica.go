package query

import (
	"math"
	"time"

	"fulmarfall/admission"
	"fulmarfall/ident"
)

const (
	// reportTTL is the maximum age of a load report. Without it, a report that is not renewed by traffic would keep a
	// searcher out of use indefinitely.
	reportTTL = 500 * time.Millisecond
	// queueTTLFactor is the maximum age of a reported queue length as a multiple of the searcher's latency; by then the queue
	// has changed. With a fixed 500 ms, reports delayed by one queueing time made all nodes move from searcher to searcher in
	// step, and the mean shard latency rose from 3 to 40 ms (docs/query.md).
	queueTTLFactor = 2
	// failureTTL is how long a failed attempt counts against a searcher, so that a searcher that fails fast does not attract
	// traffic by its low latency.
	failureTTL = 500 * time.Millisecond
	// maxFailures limits the exponential back-off of failureTTL to 4 s.
	maxFailures = 4
	// failurePenalty and coldPenalty are factors on the cost of a replica.
	failurePenalty = 8
	coldPenalty    = 4
	// latencyWeight is the weight of a new sample in the moving average of a searcher's latency.
	latencyWeight = 0.125
	// latencyHalfLife is the half-life of the latency average of a searcher without new samples.
	latencyHalfLife = 10 * time.Second
	// directHalfLife is the same with direct sends. It is shorter, so that a searcher that was slow for a few seconds is
	// tried again while its load is still on the others.
	directHalfLife = 2 * time.Second
	// outlierFactor limits a single sample with direct sends to a multiple of the average. Otherwise a pause of 150 ms would
	// make a searcher in the same failure domain look worse than one in another region for seconds.
	outlierFactor = 3
	// stallFactor is the age of the oldest attempt in flight, as a multiple of the searcher's latency, from which the searcher
	// counts as stalled. stallMinimum is the lower bound of that age, and stallPenalty the factor on the cost until the
	// searcher answers.
	stallFactor  = 3
	stallMinimum = 20 * time.Millisecond
	stallPenalty = 8
	// failureWeight is the weight of one attempt in the moving average of a searcher's failure rate, failureHalfLife the
	// half-life of the rate of an unused searcher, and failureSurcharge the relative increase in cost at a rate of 1. Each
	// failure uses a token of the retry budget, and with an empty budget the shard is missing. So a searcher that fails a few
	// attempts in ten is avoided unless the others are several times slower.
	failureWeight    = 0.125
	failureHalfLife  = 2 * time.Second
	failureSurcharge = 10
	// unreachableAfter is the number of consecutive failures to connect after which a searcher counts as unreachable for
	// unreachablePeriod; then it is tried again. While all searchers of a shard are unreachable, requests are decided without
	// the shard. Otherwise each try would cost a round trip to another region, and most requests would wait for all of them.
	unreachableAfter  = 2
	unreachablePeriod = 500 * time.Millisecond
	// leavingRetryAfter is the retry-after time for a shard whose searchers are all leaving. New searchers register within
	// a second or two of their start.
	leavingRetryAfter = time.Second
	// defaultLatency is assumed for a searcher that has not answered yet.
	defaultLatency = 5 * time.Millisecond
)

// searcherLoad is this node's view of one searcher.
type searcherLoad struct {
	inFlight   int
	latency    float64 // moving average in nanoseconds, 0 if there is none
	observedAt time.Time
	reported   Load
	reportedAt time.Time
	failedAt   time.Time
	// failureAverage is the moving average of failed or rejected attempts, as of outcomeAt. Used only with direct sends.
	failureAverage float64
	outcomeAt      time.Time
	// connectFailures counts consecutive failures to connect, the last of them at connectFailedAt.
	connectFailures int
	connectFailedAt time.Time
	// failures counts attempts without an answer since the last answer, up to maxFailures. Used only with direct sends.
	failures int
	// sentTimes lists when the attempts that occupy the searcher were sent, oldest first. Used only with direct sends.
	sentTimes []time.Time
	// window bounds inFlight for requests that can wait instead, reserved counts those that are about to be sent, and shard is
	// the one that they were last sent for.
	window   window
	reserved int
	shard    ident.ShardID
}

// stalled reports whether the oldest attempt in flight has taken much longer than usual.
func (l *searcherLoad) stalled(now time.Time, latency float64) bool {
	return len(l.sentTimes) > 0 && now.Sub(l.sentTimes[0]) > max(time.Duration(stallFactor*latency), stallMinimum)
}

// stalledSince reports whether the searcher has answered nothing since the given time.
func (l *searcherLoad) stalledSince(sent time.Time) bool { return l.observedAt.Before(sent) }

// AttemptResult is the result of an attempt as observed on its connection to the searcher.
type AttemptResult uint8

// Results of an attempt on its connection.
const (
	// ResultAnswered means that the searcher sent any answer.
	ResultAnswered AttemptResult = iota
	// ResultLost means that the request was sent and no answer arrived.
	ResultLost
	// ResultNoConnection means that no connection to the searcher could be established.
	ResultNoConnection
	// ResultUnused means that nothing was sent or that this node ended the attempt; neither says anything about the searcher.
	ResultUnused
)

// AttemptEnded records that an attempt sent at the given time no longer occupies the searcher. With direct sends it must
// be called once for each Send, even if the query has already finished.
func (p *Planner) AttemptEnded(now time.Time, s ident.SearcherID, sent time.Time, result AttemptResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.searchers[s]
	if l == nil {
		return
	}
	for i, at := range l.sentTimes {
		if at.Equal(sent) {
			l.sentTimes = append(l.sentTimes[:i], l.sentTimes[i+1:]...)
			break
		}
	}
	l.inFlight = len(l.sentTimes)
	switch result {
	case ResultAnswered:
		l.failures, l.connectFailures = 0, 0
	case ResultLost:
		l.connectFailures = 0
		l.recordFailure(now)
	case ResultNoConnection:
		l.connectFailures, l.connectFailedAt = min(l.connectFailures+1, unreachableAfter), now
		l.recordFailure(now)
	case ResultUnused:
	}

	if len(p.waiting) > 0 && l.shard != "" {
		p.dispatch(now, l.shard, nil)
	}
}

// ForgetFailures forgets the failures of all searchers, and what was concluded from them. They were failures of the links of
// this node, which work again.
func (p *Planner) ForgetFailures() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.searchers {
		l.failures, l.connectFailures, l.failureAverage, l.failedAt = 0, 0, 0, time.Time{}
	}
	clear(p.losses)
	for _, a := range p.admissions {
		*a = admissionControl{shedder: a.shedder, throttle: admission.NewThrottle(time.Time{})}
	}
}

func (l *searcherLoad) recordFailure(now time.Time) {
	l.failures = min(l.failures+1, maxFailures)
	l.failedAt = now
}

// recordOutcome updates the failure rate with the outcome of one attempt. The last outcome alone says little about a
// searcher that fails a fraction of its attempts.
func (l *searcherLoad) recordOutcome(now time.Time, failed bool) {
	l.failureAverage = (1 - failureWeight) * l.failureRate(now)
	if failed {
		l.failureAverage += failureWeight
	}
	l.outcomeAt = now
}

// failureRate returns the expected fraction of attempts that the searcher fails or rejects.
func (l *searcherLoad) failureRate(now time.Time) float64 {
	if l.failureAverage == 0 {
		return 0
	}

	return l.failureAverage * math.Exp2(-float64(now.Sub(l.outcomeAt))/float64(failureHalfLife))
}

// unavailable returns how long a shard remains unavailable because each of its usable searchers refuses connections, has
// asked for back-off or is leaving, and which of these applies; 0 means that the shard is available. It applies only to
// direct sends: otherwise the owners of the searchers report their state through the catalog.
func (p *Planner) unavailable(now time.Time, s *Shard) (time.Duration, ident.Reason) {
	if !p.direct {
		return 0, ""
	}
	var (
		shortest time.Duration
		reason   = ident.ReasonUnreachable
	)
	for i := range s.Replicas {
		if !s.Replicas[i].Usable {
			continue
		}
		left, cause := p.unavailableReplica(now, &s.Replicas[i])
		if left <= 0 {
			return 0, ""
		}
		if shortest == 0 || left < shortest {
			shortest, reason = left, cause
		}
	}

	return shortest, reason
}

func (p *Planner) unavailableReplica(now time.Time, r *Replica) (time.Duration, ident.Reason) {
	if wait, excluded := p.excluded(now, r.Searcher, r.Born); excluded && wait == 0 {
		return leavingRetryAfter, ident.ReasonLeaving
	} else if excluded {
		return wait, ident.ReasonResting
	}
	l := p.searchers[r.Searcher]
	if l == nil || l.connectFailures < unreachableAfter {
		return 0, ""
	}

	return l.connectFailedAt.Add(unreachablePeriod).Sub(now), ident.ReasonUnreachable
}

// failureTTL returns how long a failure counts against a searcher. With direct sends it doubles with each failure, because
// the node has no other sign that a searcher is gone, and an attempt on it costs the caller time.
func (l *searcherLoad) failureTTL() time.Duration {
	if l.failures <= 1 {
		return failureTTL
	}

	return failureTTL << (l.failures - 1)
}

// load returns the entry of a searcher. If the table is full, entries without an attempt in flight are evicted.
func (p *Planner) load(s ident.SearcherID) *searcherLoad {
	l, ok := p.searchers[s]
	if ok {
		return l
	}
	if len(p.searchers) >= p.searcherCapacity {
		for id, other := range p.searchers {
			if other.inFlight == 0 {
				delete(p.searchers, id)
			}
			if len(p.searchers) < p.searcherCapacity*7/8 {
				break
			}
		}
	}
	l = &searcherLoad{}
	p.searchers[s] = l

	return l
}

func (l *searcherLoad) report(now time.Time, r Load) {
	if r.Known {
		l.reported, l.reportedAt = r, now
	}
}

func (p *Planner) observe(now time.Time, l *searcherLoad, d time.Duration) {
	if bound := outlierFactor * l.latencyEstimate(now, p.halfLife); p.direct && bound > 0 {
		d = min(d, time.Duration(bound))
	}
	l.observedAt = now
	if l.latency == 0 {
		l.latency = float64(d)
		return
	}
	l.latency += latencyWeight * (float64(d) - l.latency)
}

// latencyEstimate returns the latency average. Without new samples it decays by half every half-life, so that a searcher
// that was slow is tried again even if the others are never busy.
func (l *searcherLoad) latencyEstimate(now time.Time, halfLife time.Duration) float64 {
	return l.latencyTowards(now, halfLife, 0)
}

// latencyTowards is the same, but the average approaches the usual latency, from above or below, instead of zero.
func (l *searcherLoad) latencyTowards(now time.Time, halfLife time.Duration, usual float64) float64 {
	age := now.Sub(l.observedAt)
	if age < halfLife {
		return l.latency
	}

	return usual + (l.latency-usual)*math.Exp2(1-float64(age)/float64(halfLife))
}

// medianQuantile is the quantile of an upstream's latencies that counts as usual.
const medianQuantile = 0.5

// expectedLatency returns the usual latency of the query's attempts at a searcher in another region, or in another zone if the
// query stays in this one while its searchers suffice; 0 if it is not known or the searcher is nearer. It is assumed for a searcher that has not answered yet, and the average of one without new
// samples approaches it: if it approached zero, the searcher would seem faster than the nearer ones every few seconds, and be tried
// although these suffice.
func (q *Query) expectedLatency(r *Replica) float64 {
	if q == nil || !q.p.direct || r.Region == q.p.region && (!q.zoneNear || r.FailureDomain == q.p.domain) {
		return 0
	}

	h := q.p.latency[q.req.Upstream]
	if h == nil {
		return 0
	}

	median, ok := h.usual()
	if !ok {
		return 0
	}

	return float64(median + 2*q.p.hop(r))
}

// hop returns the one-way network latency to the owner of a replica.
func (p *Planner) hop(r *Replica) time.Duration {
	switch {
	case r.Owner == p.node && p.node != "":
		return 0
	case r.FailureDomain == p.domain:
		return p.hops.Near
	case r.Region == p.region:
		return p.hops.Region
	default:
		return p.hops.Far
	}
}

// connectionWait returns how long an attempt may wait for a connection before it goes to another region instead: for the round trip that
// this would take. It does not wait for a searcher that has stopped answering.
func (q *Query) connectionWait(now time.Time, shard int, r *Replica, s *Send) time.Duration {
	p := q.p
	if !p.direct || s.Hedge || s.Retry || r.Region != p.region || q.mayWait() {
		return 0
	}

	if l := p.searchers[r.Searcher]; l != nil && l.stalled(now, l.latencyEstimate(now, p.halfLife)) {
		return 0
	}

	current := q.currentShard(shard)
	for i := range current.Replicas {
		if o := &current.Replicas[i]; o.Searcher != r.Searcher && o.Region == p.region && p.eligible(now, o) {
			return 0 // another searcher of the region may have a connection free
		}
	}

	return 2 * p.hops.Far
}

func (p *Planner) distance(r *Replica) Distance {
	switch {
	case r.Region != p.region:
		return DistanceFar
	case r.FailureDomain != p.domain:
		return DistanceRegion
	default:
		return DistanceNear
	}
}

// cost returns the estimated time for an attempt of a query on a replica, multiplied by penalties. The query may be nil.
func (p *Planner) cost(now time.Time, q *Query, r *Replica) float64 {
	var (
		queueLength        = 1.0
		latency            = float64(defaultLatency)
		cold               = r.Cold
		penalty            = 1.0
		roundTrip          = float64(2 * p.hop(r))
		latencyIncludesHop = false
	)
	usual := q.expectedLatency(r)
	if usual > 0 {
		latency, latencyIncludesHop = usual, true
	}
	if l := p.searchers[r.Searcher]; l != nil {
		if p.direct && r.Slots > 0 {
			// A searcher runs requests concurrently up to its number of slots.
			queueLength += float64(l.inFlight) / float64(r.Slots)
		} else {
			queueLength += float64(l.inFlight)
		}
		if l.latency > 0 {
			latency, latencyIncludesHop = l.latencyTowards(now, p.halfLife, usual), true
		}
		if age := now.Sub(l.reportedAt); l.reported.Known && age < reportTTL {
			cold = cold || l.reported.Cold
			if float64(age) < queueTTLFactor*latency {
				queueLength += float64(l.reported.Queued)
			}
		}
		if !l.failedAt.IsZero() && now.Sub(l.failedAt) < l.failureTTL() {
			penalty = failurePenalty * float64(max(l.failures, 1))
		}
	}
	if l := p.searchers[r.Searcher]; l != nil && p.direct {
		penalty *= 1 + failureSurcharge*l.failureRate(now)
		if l.stalled(now, max(latency, float64(roundTrip))) {
			penalty *= stallPenalty
		}
	}
	switch {
	case !p.direct:
	case r.Region != p.region:
		penalty *= p.traffic.Region
	case r.FailureDomain != p.domain:
		penalty *= p.traffic.Zone
	}
	if cold {
		penalty *= coldPenalty
	}
	// The latency average already includes the round trip to the owner, which is therefore added only while there is no
	// average.
	if !latencyIncludesHop {
		latency += roundTrip
	}

	return queueLength * latency * penalty
}

// choose returns the replica of a shard that a query tries next, or nil. The query may be nil. Replicas for which skip returns true are excluded.
func (p *Planner) choose(now time.Time, q *Query, s *Shard, skip func(*Replica) bool) *Replica {
	if s == nil {
		return nil
	}
	if r := p.choosePreferred(now, s, skip); r != nil {
		return r
	}
	if p.policy == TwoRandomChoices {
		return p.chooseOfTwo(now, q, s, skip)
	}
	var (
		best     *Replica
		bestCost float64
		ties     int
	)
	for i := range s.Replicas {
		r := &s.Replicas[i]
		if !p.eligible(now, r) || skip != nil && skip(r) {
			continue
		}
		c := p.cost(now, q, r)
		switch {
		case best == nil || c < bestCost:
			best, bestCost, ties = r, c, 1
		case c == bestCost:
			// Ties are broken at random, so that nodes without observations do not all start with the first replica.
			ties++
			if p.rnd.IntN(ties) == 0 {
				best = r
			}
		}
	}

	return best
}

// choosePreferred returns the preferred replica with the lowest cost, or nil if there is none that takes connections.
func (p *Planner) choosePreferred(now time.Time, s *Shard, skip func(*Replica) bool) *Replica {
	var (
		best     *Replica
		bestCost float64
	)
	for i := range s.Replicas {
		r := &s.Replicas[i]
		if !r.Preferred || !r.Usable || skip != nil && skip(r) {
			continue
		}
		if left, _ := p.unavailableReplica(now, r); left > 0 {
			continue
		}
		if c := p.cost(now, nil, r); best == nil || c < bestCost {
			best, bestCost = r, c
		}
	}

	return best
}

// Unavailable reports whether no usable replica of a shard takes requests: each is leaving, has asked for back-off or
// refuses connections, or there is none.
func (p *Planner) Unavailable(now time.Time, s *Shard) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !s.usable() {
		return true
	}
	wait, _ := p.unavailable(now, s)

	return wait > 0
}

// eligible reports whether this node may send to a replica.
func (p *Planner) eligible(now time.Time, r *Replica) bool {
	if !r.Usable {
		return false
	}
	_, excluded := p.excluded(now, r.Searcher, r.Born)

	return !excluded
}

// chooseOfTwo draws two eligible replicas at random and returns the one with the lower cost.
func (p *Planner) chooseOfTwo(now time.Time, q *Query, s *Shard, skip func(*Replica) bool) *Replica {
	var (
		drawn [2]*Replica
		seen  int
	)
	for i := range s.Replicas {
		r := &s.Replicas[i]
		if !p.eligible(now, r) || skip != nil && skip(r) {
			continue
		}
		// Reservoir sampling: after n candidates, each has been drawn with probability 2/n.
		if seen < len(drawn) {
			drawn[seen] = r
		} else if j := p.rnd.IntN(seen + 1); j < len(drawn) {
			drawn[j] = r
		}
		seen++
	}
	if drawn[1] == nil {
		return drawn[0]
	}
	if p.cost(now, q, drawn[1]) < p.cost(now, q, drawn[0]) {
		return drawn[1]
	}

	return drawn[0]
}

// knownCold reports whether all nodes see a replica as cold.
func (r *Replica) knownCold() bool { return r.Cold || r.OwnerCold }

// chooseCanary returns the replica of a shard for a canary run. Warm replicas come first, because a cold one would delay
// the whole query; then replicas in the region, to avoid the latency between regions; then the highest affinity to the
// fingerprint. Only state that all nodes share is considered, so that the canaries of one fingerprint meet at one owner
// in each region; load reports differ between nodes.
func chooseCanary(f ident.Fingerprint, s *Shard, region ident.Region, skip func(*Replica) bool) *Replica {
	var best *Replica
	if s == nil {
		return nil
	}
	better := func(r *Replica) bool {
		switch {
		case best == nil:
			return true
		case best.knownCold() != r.knownCold():
			return best.knownCold()
		case (best.Region == region) != (r.Region == region):
			return r.Region == region
		default:
			return affinity(f, string(r.Searcher)) > affinity(f, string(best.Searcher))
		}
	}
	for i := range s.Replicas {
		r := &s.Replicas[i]
		if r.Usable && (skip == nil || !skip(r)) && better(r) {
			best = r
		}
	}

	return best
}
