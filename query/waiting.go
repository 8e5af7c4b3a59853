package query

import (
	"cmp"
	"slices"
	"time"

	"fulmarfall/ident"
)

// Requests to one searcher with a long deadline wait at this node while all searchers that may serve them are full. Here they
// can still go to whichever searcher has room first, in the order of their urgency, and cost nothing; sent to a full searcher
// they would be rejected, and a rejection uses a token of the retry budget.
const (
	// longDeadline is the time to the deadline from which a request may wait. With less time, an early refusal is of more use
	// to the caller, who can try again.
	longDeadline = 8 * time.Second
	// maxWaiting bounds the requests that wait for the searchers of one upstream.
	maxWaiting = 48
	// minFullPeriod and maxFullPeriod bound the time for which a searcher counts as full after it has rejected a request. It
	// doubles with each further rejection and is otherwise the time in which the searcher is expected to end a request.
	// maxNoConnectionPeriod bounds it if this node has no connection free, which other entry VMs do not use up.
	minFullPeriod         = 20 * time.Millisecond
	maxFullPeriod         = 500 * time.Millisecond
	maxNoConnectionPeriod = 80 * time.Millisecond
	// windowDecrease is the factor on a searcher's window after a rejection, windowLifetime how long a window is kept after
	// the last one.
	windowDecrease = 0.7
	windowLifetime = 10 * time.Second
	// waitingPoll is the time between two tries of a waiting request that no other event has woken.
	waitingPoll = 250 * time.Millisecond
	// maxFutileTries bounds the waiting requests for which a free searcher is looked up at one event. Routes with different
	// allowed regions can wait for the same upstream.
	maxFutileTries = 4
)

// window bounds the attempts of this node at one searcher, once the searcher has rejected one because it was full.
type window struct {
	size       float64 // 0: no bound
	rejectedAt time.Time
	rejections int // consecutive
	fullUntil  time.Time
}

// rejected records that the searcher was full with the given number of other attempts of this node. perSlot is the time in
// which it is expected to end a request.
func (w *window) rejected(now time.Time, others int, perSlot, maxPeriod time.Duration) {
	size := float64(others)
	if w.size > 0 {
		size = min(size, w.size*windowDecrease)
	}

	w.size, w.rejectedAt = max(size, 1), now
	w.rejections = min(w.rejections+1, maxFailures)
	w.fullUntil = now.Add(min(max(perSlot, minFullPeriod)<<(w.rejections-1), maxPeriod))
}

// answered records an answer of the searcher. The window grows by one attempt for each window of answers.
func (w *window) answered(now time.Time) {
	w.rejections, w.fullUntil = 0, time.Time{}

	switch {
	case w.size == 0:
	case now.Sub(w.rejectedAt) >= windowLifetime:
		w.size = 0
	default:
		w.size += 1 / w.size
	}
}

// full reports whether an attempt is expected to be rejected, and when to try again at the latest if no attempt ends before;
// zero if this node has attempts at the searcher, whose end will tell.
func (l *searcherLoad) full(now time.Time) (until time.Time, full bool) {
	switch w := &l.window; {
	case now.Before(w.fullUntil):
		return w.fullUntil, true
	case w.size > 0 && float64(l.inFlight+l.reserved) >= w.size:
		return time.Time{}, true
	default:
		return time.Time{}, false
	}
}

// mayWait reports whether the request may wait until a searcher has room.
func (q *Query) mayWait() bool {
	return q.p.direct && q.req.Wake != nil && len(q.shards) == 1 && !q.suspected && !q.finished && q.req.Deadline.Sub(q.started) >= longDeadline
}

// mustWait reports whether other requests wait for the same searchers, or all of these that the request could use are full.
func (q *Query) mustWait(now time.Time) bool {
	s := q.currentShard(0)
	if s == nil {
		return false
	}

	if len(q.p.waiting[s.ID]) > 0 {
		return true
	}

	full := false

	for i := range s.Replicas {
		r := &s.Replicas[i]
		if !q.p.eligible(now, r) {
			continue
		}

		if !q.p.isFull(now, r) {
			return false
		}

		full = true
	}

	return full
}

// othersWait reports whether requests wait for the searchers that this request runs at. A second attempt would then take the place
// of one that has none.
func (q *Query) othersWait() bool {
	return q.mayWait() && len(q.p.waiting[q.snapshot.Shards[0].ID]) > 0
}

// enqueue makes a request wait that has no attempt in flight, and sends it at once if a searcher has room and no other
// request goes first. It returns false if the request cannot be answered in time or too many others wait.
func (q *Query) enqueue(now time.Time, reason ident.Reason) bool {
	if !q.mayWait() || q.waiting {
		return false
	}

	key := q.snapshot.Shards[0].ID
	list := q.p.waiting[key]

	if wait := q.p.expectedWait(now, q, len(list)); len(list) >= maxWaiting || !now.Add(wait).Before(q.finishAt) {
		q.retryAfter = max(q.retryAfter, q.p.jitter(ident.RetryAfter(min(wait, q.finishAt.Sub(now)/waitRetryDivisor))))
		q.p.counters.WaitRefused++

		return false
	}

	q.waiting, q.shards[0].reason = true, reason
	q.p.waiting[key] = append(list, q)
	q.p.dispatch(now, key, q)
	q.sendGranted(now)

	if q.waiting {
		q.p.counters.Waited++
	}

	return true
}

// waitRetryDivisor limits the retry-after time of a request that cannot wait to a fraction (1/n) of its remaining time.
const waitRetryDivisor = 3

// expectedWait estimates how long a request waits behind others, from the rate at which the attempts of this node at the
// searchers of the upstream end.
func (p *Planner) expectedWait(now time.Time, q *Query, ahead int) time.Duration {
	s := q.currentShard(0)
	if s == nil {
		return 0
	}

	var rate, latency float64

	for i := range s.Replicas {
		l := p.searchers[s.Replicas[i].Searcher]
		if l == nil || l.inFlight == 0 || l.latency == 0 {
			continue
		}

		d := max(l.latencyEstimate(now, p.halfLife), float64(time.Millisecond))
		rate += float64(l.inFlight) / d
		latency = max(latency, d)
	}

	if rate == 0 {
		return 0
	}

	return time.Duration(float64(ahead)/rate) + time.Duration(latency/2)
}

// dispatch reserves a searcher with room for each waiting request, the most urgent first. It wakes the requests that got one
// or are the next to get one, except the calling one.
func (p *Planner) dispatch(now time.Time, key ident.ShardID, caller *Query) {
	list := p.waiting[key]
	if len(list) == 0 {
		return
	}

	slices.SortStableFunc(list, func(a, b *Query) int { return a.compareWaiting(now, b) })

	futile := 0

	for _, q := range list {
		if q.granted != nil {
			continue
		}

		if q.granted = q.pickWaiting(now); q.granted == nil {
			if futile++; futile >= maxFutileTries {
				break
			}

			continue
		}

		p.load(q.granted.Searcher).reserved++

		if q != caller {
			q.req.Wake()
		}
	}
}

// compareWaiting orders waiting requests by class, then those that can still be answered in time before the others, then by
// arrival. Late requests use the room that demand leaves when it falls, so that a burst does not make all that follow late.
func (q *Query) compareWaiting(now time.Time, o *Query) int {
	return cmp.Or(cmp.Compare(q.req.Class, o.req.Class), cmp.Compare(q.lateness(now), o.lateness(now)), q.started.Compare(o.started))
}

func (q *Query) lateness(now time.Time) int {
	if !q.req.LateAt.IsZero() && now.After(q.req.LateAt) {
		return 1
	}

	return 0
}

// pickWaiting returns a searcher with room for a waiting request, or nil. A request that a searcher has rejected needs a token
// of the retry budget for each further attempt.
func (q *Query) pickWaiting(now time.Time) *Replica {
	maxHop := q.maxHop(now)
	s, reserve := q.currentShard(0), q.firstReserve(now, 0)
	skip := func(r *Replica) bool { return q.p.hop(r) >= maxHop || q.p.isFull(now, r) }

	r := q.chooseNear(now, s, reserve, skip)
	if r == nil {
		r = q.chooseWithRoom(now, s, reserve, skip)
	}

	if r != nil && q.shards[0].chargeRetries && !q.takeRetryToken(now, 0) {
		q.p.returnRoom(now, r)

		return nil
	}

	return r
}

func (p *Planner) isFull(now time.Time, r *Replica) bool {
	l := p.searchers[r.Searcher]
	if l == nil {
		return false
	}

	_, full := l.full(now)

	return full
}

// tickWaiting continues a waiting request.
func (q *Query) tickWaiting(now time.Time) {
	if q.granted == nil {
		q.p.dispatch(now, q.snapshot.Shards[0].ID, q)
	}

	q.sendGranted(now)
}

// sendGranted sends a waiting request to the searcher that was reserved for it, or schedules its next try.
func (q *Query) sendGranted(now time.Time) {
	r := q.granted
	if r != nil && !q.p.eligible(now, r) {
		q.ungrant(now)
		r = nil
	}

	if r == nil {
		q.scheduleTick(q.nextTry(now))
		return
	}

	retry := q.shards[0].lastAttempt != 0
	q.leaveQueue()

	switch {
	case !retry:
		q.p.counters.FirstAttempts++
		q.p.budgetFor(now, q.snapshot.Shards[0].ID).deposit(1)
	case q.shards[0].chargeRetries:
		q.p.counters.Retries++
	default:
		q.p.counters.FreeRetries++
	}

	q.send(now, 0, r, Send{Retry: retry})
}

// nextTry returns when a waiting request looks for room unless it is woken before.
func (q *Query) nextTry(now time.Time) time.Time {
	next := now.Add(waitingPoll)

	s := q.currentShard(0)
	if s == nil {
		return next
	}

	for i := range s.Replicas {
		r := &s.Replicas[i]
		if wait, excluded := q.p.excluded(now, r.Searcher, r.Born); excluded && wait > 0 && now.Add(wait).Before(next) {
			next = now.Add(wait)
		}

		if l := q.p.searchers[r.Searcher]; l != nil {
			if until, full := l.full(now); full && until.After(now) && until.Before(next) {
				next = until
			}
		}
	}

	return next
}

// ungrant returns the reservation of a waiting request.
func (q *Query) ungrant(now time.Time) {
	if q.granted == nil {
		return
	}

	if l := q.p.searchers[q.granted.Searcher]; l != nil {
		l.reserved = max(l.reserved-1, 0)
	}

	q.p.returnRoom(now, q.granted)
	q.granted = nil
}

// leaveQueue removes a request from the queue. A reservation is used up.
func (q *Query) leaveQueue() {
	if q.granted != nil {
		if l := q.p.searchers[q.granted.Searcher]; l != nil {
			l.reserved = max(l.reserved-1, 0)
		}
	}

	key := q.snapshot.Shards[0].ID
	q.waiting, q.granted = false, nil

	if list := slices.DeleteFunc(q.p.waiting[key], func(o *Query) bool { return o == q }); len(list) > 0 {
		q.p.waiting[key] = list
	} else {
		delete(q.p.waiting, key)
	}
}

// stopWaiting ends the wait of a request that is finished, and passes its reservation on.
func (q *Query) stopWaiting(now time.Time) {
	if !q.waiting {
		return
	}

	key := q.snapshot.Shards[0].ID
	q.ungrant(now)
	q.leaveQueue()
	q.p.dispatch(now, key, q)
}

// recordWindow updates the window of the searcher of an attempt that could wait.
func (q *Query) recordWindow(now time.Time, a *attempt, r ShardReply) {
	switch {
	case !q.mayWait():
	case r.Status == StatusOK:
		a.load.window.answered(now)
	case r.Status == StatusNotStarted && r.Reason == ident.ReasonShed:
		perSlot := time.Duration(a.load.latencyEstimate(now, q.p.halfLife)) / time.Duration(q.slotsOf(a.searcher))
		a.load.window.rejected(now, a.load.inFlight, perSlot, maxFullPeriod)
	case r.Status == StatusNotStarted && r.Reason == ident.ReasonOverloaded:
		a.load.window.rejected(now, a.load.inFlight, minFullPeriod, maxNoConnectionPeriod)
	}
}

func (q *Query) slotsOf(id ident.SearcherID) int {
	if s := q.currentShard(0); s != nil {
		for i := range s.Replicas {
			if s.Replicas[i].Searcher == id {
				return max(s.Replicas[i].Slots, 1)
			}
		}
	}

	return 1
}

// WaitingRequests returns the number of requests that wait until a searcher has room.
func (p *Planner) WaitingRequests() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	n := 0
	for _, list := range p.waiting {
		n += len(list)
	}

	return n
}
