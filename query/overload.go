package query

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fulmarfall/admission"
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
	// lossThreshold is the loss rate above which the admission of searches is reduced. Searchers that reject some requests without being full
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
	// overloadRetryAfter is the least retry-after time of refused searches, which spans a few adjustments.
	overloadRetryAfter = ident.RetryAfter(300 * time.Millisecond)
	// RetryFraction is the fraction of the remaining time up to which refused callers are told to wait. They wait for at most a
	// third of it.
	RetryFraction = 0.3
	// maxAdmissions bounds the groups of requests with an admission control.
	maxAdmissions = 512
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

// admissionControl decides which fraction of the requests of a group a node admits. shedder decides which ones these are.
type admissionControl struct {
	shedder *admission.Shedder
	// throttle takes the place of refusedFraction while requests of several classes or teams compete.
	throttle        *admission.Throttle
	refusedFraction float64 // fraction of searches refused
	// repeatedFraction is the moving average of the fraction of searches that are repeated, while some are refused.
	repeatedFraction float64
	maxLoss          float64 // highest loss rate of a required shard since the last adjustment
	adjustedAt       time.Time
	// floorSince is when admission reached the floor. Until noReductionBefore admission is not reduced, because the node has
	// just started or a reduction had no effect.
	floorSince, noReductionBefore time.Time
}

// resetThrottle forgets what the throttle has found, because requests no longer compete.
func (a *admissionControl) resetThrottle(now time.Time) {
	if a.throttle.Fraction() > 0 {
		a.throttle = admission.NewThrottle(now)
	}
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

// refusedForOverload refuses a request before anything is sent if too many requests of its group are lost because searchers are
// full. It reports whether it did.
func (q *Query) refusedForOverload(now time.Time) bool {
	if !q.p.direct {
		return false
	}

	a := q.p.admissionOf(now, q.req.Group)
	demand := admission.Demand{Class: q.req.Class, Team: q.req.Team, Weight: q.req.Weight, Returning: q.req.Repeated}

	// Without groups all searches of a node share one control, whatever their class: dividing what some shards can serve by class
	// refused a tenth of the requests of deployments that have several route priorities and no teams.
	if q.req.Group != "" {
		if a.shedder.Mixed(now, demand) {
			return q.refusedByShare(now, a, demand)
		}

		a.resetThrottle(now)
		a.shedder.Admit(now, demand, 0)
	}

	// Requests to a single searcher are refused in advance only for the sake of others.
	if len(q.shards) == 1 || q.admits(now, a) {
		return false
	}

	q.retryAfter = q.overloadRetry(now)
	q.refuse(now, ident.ReasonShardsFull, "the searchers of some shards are full")

	return true
}

// admits reports whether a search over the pinned snapshot is sent at all. Losses of shards that it can do without are
// ignored.
func (q *Query) admits(now time.Time, a *admissionControl) bool {
	a.update(now, q.bottleneckLoss(now))

	return a.refusedFraction == 0 || q.p.rnd.Float64() >= 1-a.probability(q.req.Repeated)
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

// refusedByShare refuses a request for the sake of more urgent ones and of other teams.
func (q *Query) refusedByShare(now time.Time, a *admissionControl, demand admission.Demand) bool {
	switch a.shedder.Admit(now, demand, a.throttle.Fraction()) {
	case admission.RefusedShare:
		q.retryAfter = q.overloadRetry(now)
		q.refuse(now, ident.ReasonOverShare, "the team is over its fair share of the searchers")

		return true
	case admission.RefusedClass:
		q.retryAfter = q.overloadRetry(now)
		q.refuse(now, ident.ReasonShardsFull, "more urgent requests need the searchers")

		return true
	case admission.Admitted:
	}

	q.throttle, q.round = a.throttle, a.throttle.Begin(now)

	return false
}

// observeTarget records that the request is strained because it is unfinished at its target.
func (q *Query) observeTarget(now time.Time) {
	if q.throttle != nil && !q.req.Target.IsZero() && !now.Before(q.req.Target) {
		q.throttle.Observe(now, q.round, true)
		q.throttle = nil
	}
}

// observeRejection records that the request is strained because full searchers of more shards than it can do without have turned
// it away, although other searchers may still answer.
func (q *Query) observeRejection(now time.Time, r ShardReply) {
	if q.throttle == nil || r.Status != StatusNotStarted || !isCapacityReason(r.Reason) || len(q.shards) == 1 {
		return
	}

	q.rejections++

	if q.rejections > len(q.shards)-q.neededShards() {
		q.throttle.Observe(now, q.round, true)
		q.throttle = nil
	}
}

// recordStrain records the result of a request for the throttle. A refusal for another reason than capacity tells nothing.
func (q *Query) recordStrain(now time.Time, f *Finish) {
	if q.throttle == nil {
		return
	}

	if strained := f.Answer == nil; !strained || q.lostForCapacity(f.Refusal.Reason) {
		q.throttle.Observe(now, q.round, strained)
	}

	q.throttle = nil
}

// lostForCapacity reports whether a request was refused because searchers are full.
func (q *Query) lostForCapacity(r ident.Reason) bool {
	if r != ident.ReasonLowCoverage {
		return isCapacityReason(r)
	}

	return slices.ContainsFunc(q.shards, func(s shardState) bool { return s.phase == shardMissing && isCapacityReason(s.reason) })
}

// admissionOf returns the admission control of a group of requests.
func (p *Planner) admissionOf(now time.Time, group ident.UpstreamID) *admissionControl {
	a, ok := p.admissions[group]
	if !ok {
		if len(p.admissions) >= maxAdmissions {
			clear(p.admissions)
		}

		a = &admissionControl{shedder: admission.NewShedder(p.rnd), throttle: admission.NewThrottle(now.Add(admissionGrace))}
		p.admissions[group] = a
	}

	return a
}

// overloadRetry returns when a refused caller should retry: at a random time within what it can wait. A burst lasts for
// seconds, and callers that return while it lasts meet searchers that are still full.
func (q *Query) overloadRetry(now time.Time) ident.RetryAfter {
	latest := ident.RetryAfter(RetryFraction * float64(q.req.Deadline.Sub(now)))
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
	return max(q.answered+q.pending-q.neededShards(), 0)
}

// neededShards returns the number of shards that must answer.
func (q *Query) neededShards() int {
	return int(math.Ceil(q.req.MinCoverage*float64(len(q.shards)) - coverageTolerance))
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

// AdmissionReport is what admission control has done with the requests of a group since the previous report.
type AdmissionReport struct {
	Group ident.UpstreamID
	// RefusedFraction is the present fraction of requests to refuse.
	RefusedFraction float64
	Classes         []admission.FlowReport
}

// AdmissionReports returns the groups of which requests are refused, and what was done with them since the last call.
func (p *Planner) AdmissionReports() []AdmissionReport {
	p.mu.Lock()
	defer p.mu.Unlock()

	var list []AdmissionReport

	for group, a := range p.admissions {
		classes := a.shedder.Reports()
		if fraction := max(a.refusedFraction, a.throttle.Fraction()); fraction > 0 && len(classes) > 0 {
			list = append(list, AdmissionReport{Group: group, RefusedFraction: fraction, Classes: classes})
		}
	}

	slices.SortFunc(list, func(a, b AdmissionReport) int { return cmp.Compare(a.Group, b.Group) })

	return list
}
