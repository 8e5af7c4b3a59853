package entry

// This file carries one request of a caller through the query core.

import (
	"math/rand/v2"
	"time"

	"fulmarfall/configuration"
	"fulmarfall/conviction"
	"fulmarfall/ident"
	"fulmarfall/query"
)

const (
	// callerWay is the time that passes between a caller and this node without being seen here: 3 ms there and back each,
	// as much again for a new connection, and for many requests as much for the directory before it. The time for which a
	// small VM lets timers wait for its processor is added. Quiet days of both sites were best with 18 to 30 ms.
	callerWay = 22 * time.Millisecond
	// goneEvery is how often a caller's connection is looked at. A request has to end within 500 ms after its caller has
	// gone.
	goneEvery = 100 * time.Millisecond
	// retrySoon is when callers should come back after a refusal that has no better estimate.
	retrySoon = 100 * time.Millisecond
	// retryUnconfigured is the same while this node knows no configuration.
	retryUnconfigured = 500 * time.Millisecond
)

// serving is a request in progress. One goroutine uses it, except for the channel.
type serving struct {
	n     *Node
	r     *Request
	route *configuration.Route
	// fingerprint identifies the request when it comes again.
	fingerprint ident.Fingerprint
	// suspect is what the control state held against the fingerprint when the request came.
	suspect  conviction.Entry
	q        *query.Query
	ends     chan attemptEnd
	done     chan struct{} // closed when the request has its result
	attempts []*attempt
	// lost counts the attempts that ended with a lost connection, resets those whose new connection was reset, ran the answers
	// of searchers that ran the request, and notRun the others.
	lost, resets, ran, notRun int
	// served says that searchers have answered the request.
	served bool
	// failed is the last answer of a searcher that is a failure.
	failed *Reply
	result Result
	reason ident.Reason
	shards query.Coverage
}

// Serve carries a request out and returns its final answer.
func (n *Node) Serve(r *Request) Result {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)

	v := n.view.Load()

	switch {
	case v == nil:
		n.noteRefused()

		return n.refuseEarly(r, RefusedNotRun, ident.ReasonControlUnreached, spread(retryUnconfigured))
	case n.stopping.Load():
		return n.refuseEarly(r, RefusedNotRun, ident.ReasonLeaving, retrySoon)
	case n.inFlight.Load() > maxInFlight:
		return n.refuseEarly(r, RefusedNotRun, ident.ReasonOverloaded, spread(drainTime(n.inFlight.Load(), n.endRate())))
	}

	switch limits := v.configuration.Limits; {
	case limits.MaxHeaderBytes > 0 && r.HeaderBytes > limits.MaxHeaderBytes:
		return n.refuseEarly(r, RefusedHeaderTooLarge, ident.ReasonBadRequest, 0)
	case limits.MaxBodyBytes > 0 && len(r.Body) > limits.MaxBodyBytes:
		return n.refuseEarly(r, RefusedBodyTooLarge, ident.ReasonBadRequest, 0)
	}

	route := v.table.Match(r.Host, r.Path)
	if route == nil {
		return n.refuseEarly(r, RefusedNoRoute, ident.ReasonUnknownUpstream, 0)
	}

	s := &serving{n: n, r: r, route: route, fingerprint: fingerprint(r), ends: make(chan attemptEnd), done: make(chan struct{})}
	s.suspect = n.heldAgainst(s.fingerprint)
	s.run()
	close(s.done)
	s.judgeCrashes(time.Now())
	n.ended.Add(1)
	n.report(s, v)

	for _, a := range s.attempts {
		a.reply.release()
	}

	return s.result
}

// spread lengthens a time by up to a half, so that callers that were refused together do not return together.
func spread(d time.Duration) time.Duration { return d + rand.N(d/2) }

// deadline is when the caller gets its final answer.
func (s *serving) deadline() time.Time {
	d := s.r.Arrived.Add(s.route.Timeout)
	if !s.r.Deadline.IsZero() && s.r.Deadline.Before(d) {
		return s.r.Deadline
	}

	return d
}

func (s *serving) request() (query.Request, ident.UpstreamID) {
	req := query.Request{
		ID: s.r.ID, Operation: query.OperationSearch, Class: classOf(s.route), Deadline: s.deadline(),
		MinCoverage: 1, MaxAttempts: s.route.MaxAttempts, Parts: true, Fingerprint: s.fingerprint,
	}

	if len(s.route.Shards) > 0 {
		req.Upstream = upstreamID(s.route, "")
		req.MinCoverage = s.route.MinCoverage

		if s.route.Target > 0 {
			req.Target = s.r.Arrived.Add(s.route.Target - callerWay - s.n.lag.allowance())
		}

		return req, ""
	}

	part := s.n.choosePart(s.route)
	req.Upstream = upstreamID(s.route, part)

	if s.route.Idempotent && s.route.Target > 0 {
		// Nothing is cut there, but a second attempt has to go out in time.
		req.Target = s.r.Arrived.Add(s.route.Target - callerWay)
	}

	if !s.route.Idempotent {
		req.Operation, req.Shard = query.OperationExecute, ident.ShardID(part)
	}

	return req, part
}

// classOf returns the class in which requests of a route wait.
func classOf(r *configuration.Route) ident.Class {
	return ident.Class(min(max(r.Rank, 0), int(ident.ClassBatch))) //nolint:gosec // Bounded above.
}

// choosePart chooses the upstream of a request among those of its route.
func (n *Node) choosePart(r *configuration.Route) ident.UpstreamID {
	if len(r.Parts) == 1 {
		return r.Parts[0].Upstream
	}

	n.splitMu.Lock()
	defer n.splitMu.Unlock()

	sp := n.splitter[r.Name]
	if sp == nil {
		sp = &configuration.Splitter{}
		n.splitter[r.Name] = sp
	}

	return r.Parts[sp.Next(r.Parts)].Upstream
}

func (s *serving) run() {
	req, part := s.request()
	now := time.Now()

	var actions []query.Action

	s.q, actions = s.n.planner.Start(now, req, &catalog{n: s.n, route: s.route, part: part})
	s.act(now, actions)

	timer := time.NewTimer(goneEvery)
	defer timer.Stop()

	for s.result == nil {
		due := s.arm(timer, now)

		select {
		case e := <-s.ends:
			now = time.Now()
			s.act(now, s.q.Reply(now, s.take(e)))
		case <-timer.C:
			now = time.Now()
			s.n.lag.observe(now, now.Sub(due))

			if s.r.Gone != nil && s.r.Gone() {
				s.abandon(now)

				return
			}

			s.act(now, s.q.Tick(now))
		}
	}
}

// arm sets the timer to the next tick of the query, or to the next look at the caller's connection.
func (s *serving) arm(t *time.Timer, now time.Time) (due time.Time) {
	wait := goneEvery
	if at, ok := s.q.NextTick(); ok {
		wait = min(wait, max(at.Sub(now), 0))
	}

	t.Reset(wait)

	return time.Now().Add(wait)
}

// take notes the end of an attempt and returns it as the query core needs it.
func (s *serving) take(e attemptEnd) query.ShardReply {
	a := s.attempts[e.attempt-1]
	a.reply, a.failure, a.ended = e.reply, e.failure, time.Now()
	r := judge(s.route, e.reply, e.failure)
	r.Request, r.Attempt, r.Shard, r.Snapshot = s.r.ID, e.attempt, a.send.Shard, a.send.Snapshot

	switch {
	case e.failure == failureLost:
		s.lost++
	case e.failure == failureReset:
		s.resets++
	case e.reply == nil:
	case e.reply.NotRun || e.reply.Replaced:
		s.notRun++
	default:
		s.ran++
	}

	if r.Status == query.StatusFailed && relayable(e.reply) {
		s.failed = e.reply
	}

	return r
}

// abandon ends the work for a caller that has gone.
func (s *serving) abandon(now time.Time) {
	s.q.Abandon(now)
	s.reason = ident.ReasonCancelled

	for _, a := range s.attempts {
		a.abandon()
	}

	s.result = &Refused{Kind: RefusedUnknown, Reason: ident.ReasonCancelled}
}

// act carries out what the query core has decided.
func (s *serving) act(now time.Time, actions []query.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *query.Send:
			s.send(now, a)
		case *query.Cancel:
			s.attempts[a.Attempt-1].lose()
		case *query.Finish:
			s.finish(a)
		}
	}
}

func (s *serving) finish(f *query.Finish) {
	if f.Answer == nil {
		s.refuse(f.Refusal)

		return
	}

	s.served = true
	s.shards = f.Answer.Coverage

	switch {
	case len(s.route.Shards) > 0:
		s.merge(f.Answer)
	case len(f.Answer.Parts) > 0:
		s.result = &Relayed{Reply: s.attempts[f.Answer.Parts[0].Attempt-1].reply}
	default: // a request that is not idempotent has one attempt that was answered
		s.result = &Relayed{Reply: s.lastReply()}
	}
}

func (s *serving) lastReply() *Reply {
	for i := len(s.attempts) - 1; i >= 0; i-- {
		if r := s.attempts[i].reply; r != nil && !r.NotRun && !r.Replaced {
			return r
		}
	}

	return nil
}

func (s *serving) merge(a *query.Answer) {
	m := &Merged{Missing: len(a.Coverage.Missing)}
	bodies := make([][]byte, 0, len(a.Parts))

	for _, p := range a.Parts {
		reply := s.attempts[p.Attempt-1].reply
		m.Signatures = append(m.Signatures, reply.Signature)
		bodies = append(bodies, reply.Body)
	}

	m.Body = query.TopRecords(bodies, s.route.Limit)
	s.result = m
}

// mayHaveRun reports whether any searcher can have run the request. All attempts have ended or were told to end.
func (s *serving) mayHaveRun() bool {
	for _, a := range s.attempts {
		if a.mayHaveRun() {
			return true
		}
	}

	return false
}

func (s *serving) refuse(r *query.Refusal) {
	s.reason = r.Reason

	switch {
	case r.Outcome == ident.OutcomeNotRun || !s.mayHaveRun():
		s.result = &Refused{Kind: RefusedNotRun, Reason: r.Reason, RetryAfter: time.Duration(r.RetryAfter)}
	case s.failed != nil && len(s.route.Shards) == 0:
		s.result = &Relayed{Reply: s.failed}
	case r.Reason == ident.ReasonDeadline:
		s.result = &Refused{Kind: RefusedDeadline, Reason: r.Reason}
	default:
		s.result = &Refused{Kind: RefusedUnknown, Reason: r.Reason, RetryAfter: time.Duration(r.RetryAfter)}
	}
}
