package entry

import (
	"maps"
	"math/rand/v2"
	"time"

	"fulmarfall/configuration"
	"fulmarfall/conviction"
	"fulmarfall/ident"
	"fulmarfall/query"
)

const (
	// callerLatency is the part of the latency seen by a caller that this node can't observe: 3 ms in each direction, that
	// is 6 ms a round trip, another round trip for a new connection and, for many requests, one for the directory before
	// that. The time for which timers wait for the processor of a small VM adds to it. Values from 18 to 30 ms suit quiet
	// days at both sites: with less, answers reach callers after the target; with more, searches are cut off that could
	// still have completed.
	callerLatency = 22 * time.Millisecond
	// maxConnectTime is the time that callers need to resolve the address of an entry VM and to connect to it. First tries
	// state 4 to 40 ms less than the timeout of their route, and retries at least 100 ms less.
	maxConnectTime = 80 * time.Millisecond
	// disconnectPollInterval is how often a caller's connection is checked. Work on a request has to end within 500 ms
	// after its caller has disconnected.
	disconnectPollInterval = 100 * time.Millisecond
	// defaultRetryAfter is the retry time of refusals that have no better estimate.
	defaultRetryAfter = 100 * time.Millisecond
	// unconfiguredRetryAfter and unconfiguredRetryLimit bound the retry time while this node knows no configuration. It has one
	// within a second after a loss of power.
	unconfiguredRetryAfter = 500 * time.Millisecond
	unconfiguredRetryLimit = 1200 * time.Millisecond
)

// activeRequest is a request in progress. Only one goroutine at a time uses it, except for the channels.
type activeRequest struct {
	n     *Node
	r     *Request
	route *configuration.Route
	// team is the calling team of the configuration, nil for requests without one.
	team *configuration.Team
	// configuration is the one to which the route belongs.
	configuration *configuration.Configuration
	// key identifies the request on the connections that carry its attempts.
	key requestKey
	// fingerprint identifies the request when it is repeated.
	fingerprint ident.Fingerprint
	// suspect is the entry of the control state for the fingerprint when the request arrived.
	suspect conviction.Entry
	// trial is the token of the right to run a suspected request, or "".
	trial          string
	q              *query.Query
	catalog        *catalog
	attemptResults chan attemptResult
	// wake receives when the query has to be ticked because a searcher has room for the request, which waits for it.
	wake     chan struct{}
	done     chan struct{} // closed when the request has its result
	attempts []*attempt
	// lost counts the attempts whose connection was lost, resets those whose new connection was reset, ran the answers
	// of searchers that ran the request, and notRun the answers of those that did not.
	lost, resets, ran, notRun int
	// answered is set once searchers have answered the request.
	answered bool
	// lastFailure is the last failure answer of a searcher that can be relayed.
	lastFailure *Reply
	result      Result
	reason      ident.Reason
	coverage    query.Coverage
	// limited lists the shards without an attempt because the request limits of their searchers left no room.
	limited []ident.ShardID
	// withoutRoom counts the searchers that were passed over because of their request limits.
	withoutRoom int
	// peer is the entry VM that served the request, if it was forwarded.
	peer ident.NodeID
	// usedAttempts is the number of searchers of a shard that may have run the request so far, once it is forwarded.
	usedAttempts int
	// peerMayHaveRun is set if a searcher may have run the request for a peer that gave no result.
	peerMayHaveRun bool
}

// Serve runs a request and returns its final result. It refuses requests that exceed a limit or match no route.
func (n *Node) Serve(r *Request) Result {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)

	v := n.view.Load()

	switch {
	case v == nil:
		n.countUnconfiguredRefusal()

		return n.refuseEarly(r, RefusedNotRun, ident.ReasonControlUnreachable, unconfiguredRetry(r))
	case n.stopping.Load():
		return n.refuseEarly(r, RefusedNotRun, ident.ReasonLeaving, defaultRetryAfter)
	case uint64(v.configuration.Version) < n.links.servedVersion.Load() && !isClosed(n.links.isolation()):
		// A peer has served callers of this node by a newer configuration, which is on its way.
		n.followNow()

		return n.refuseEarly(r, RefusedNotRun, ident.ReasonStaleNode, defaultRetryAfter)
	}

	route := v.table.Match(r.Host, r.Path)

	team, refusal := n.authenticate(time.Now(), v, route, r)

	switch {
	case refusal != nil:
		return n.refuseEarly(r, refusal.Kind, refusal.Reason, refusal.RetryAfter)
	case n.inFlight.Load() > maxInFlight:
		return n.refuseEarly(r, RefusedNotRun, ident.ReasonOverloaded, withJitter(drainTime(n.inFlight.Load(), n.completionRate())))
	case team != nil && route != nil:
		if reason := n.gate.refuses(time.Now(), n.inFlight.Load(), demandOf(route, team)); reason != "" {
			return n.refuseEarly(r, RefusedNotRun, reason, withJitter(drainTime(n.inFlight.Load(), n.completionRate())))
		}
	}

	switch limits := v.configuration.Limits; {
	case limits.MaxHeaderBytes > 0 && r.HeaderBytes > limits.MaxHeaderBytes:
		return n.refuseEarly(r, RefusedHeaderTooLarge, ident.ReasonBadRequest, 0)
	case limits.MaxBodyBytes > 0 && len(r.Body) > limits.MaxBodyBytes:
		return n.refuseEarly(r, RefusedBodyTooLarge, ident.ReasonBadRequest, 0)
	}

	if route == nil {
		return n.refuseEarly(r, RefusedNoRoute, ident.ReasonUnknownUpstream, 0)
	}

	if refused := n.admitUsage(r, v, route, team); refused != nil {
		return refused
	}

	s := &activeRequest{
		n: n, r: r, route: route, team: team, configuration: v.configuration, key: keyOfRequest(r), fingerprint: fingerprint(r), attemptResults: make(chan attemptResult),
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	s.suspect = n.convictionEntry(s.fingerprint)

	switch {
	case isClosed(n.links.isolation()):
		s.forwardOrRefuse()
	case conviction.NeedsTrial(s.suspect) && !s.beginTrial():
		s.reason = ident.ReasonSuspected
		s.result = &Refused{Kind: RefusedNotRun, Reason: s.reason, RetryAfter: withJitter(trialRetryAfter)}
	default:
		s.run()
	}

	close(s.done)
	s.detectCrash(time.Now())
	s.countDenied()
	n.completed.Add(1)
	n.report(s, v)

	if refused, ok := s.result.(*Refused); ok {
		if refused.Kind == RefusedNotRun {
			n.returnUsage(r, team)
		}

		if r.Forwarded {
			s.describeRuns(refused)
		}

		n.checkLinks(time.Now())
	}

	for _, a := range s.attempts {
		a.reply.release()
	}

	return s.result
}

// unconfiguredRetry returns when a caller should retry that has reached a node without a configuration. After a loss of power
// all callers meet such nodes, and one that retries too early is refused for good, so the time is random between the least
// one and what the caller can wait.
func unconfiguredRetry(r *Request) time.Duration {
	latest := unconfiguredRetryAfter * 3 / 2
	if !r.Deadline.IsZero() {
		latest = max(latest, min(time.Duration(query.RetryFraction*float64(r.Deadline.Sub(r.Arrived))), unconfiguredRetryLimit))
	}

	return unconfiguredRetryAfter + rand.N(latest-unconfiguredRetryAfter)
}

// withJitter lengthens d by up to a half, so that callers that were refused together do not retry together.
func withJitter(d time.Duration) time.Duration { return d + rand.N(d/2) }

// deadline is the earlier of the route's timeout and the caller's deadline.
func (s *activeRequest) deadline() time.Time {
	d := s.r.Arrived.Add(s.route.Timeout)
	if !s.r.Deadline.IsZero() && s.r.Deadline.Before(d) {
		return s.r.Deadline
	}

	return d
}

func (s *activeRequest) request() (query.Request, ident.UpstreamID) {
	req := query.Request{
		ID: s.r.ID, Operation: query.OperationSearch, Class: s.class(), Deadline: s.deadline(),
		MinCoverage: 1, MaxAttempts: s.maxAttempts(), Parts: true, Fingerprint: s.fingerprint,
		Team: teamName(s.team), Weight: entitlement(s.team),
	}

	req.Repeated = s.repeated()

	if len(s.route.Shards) > 0 {
		req.Upstream = upstreamID(s.route, "")
		req.MinCoverage = s.route.MinCoverage

		if s.route.TargetLatency > 0 {
			req.Target = s.r.Arrived.Add(s.route.TargetLatency - callerLatency - s.n.lag.allowance())
		}

		return req, ""
	}

	part := s.n.choosePart(s.route)
	req.Upstream = upstreamID(s.route, part)
	req.Wake = s.wakeUp

	if s.route.TargetLatency > 0 {
		req.LateAt = s.r.Arrived.Add(s.route.TargetLatency - callerLatency)
	}

	if s.route.Idempotent && s.route.TargetLatency > 0 {
		// The target cuts nothing off here, but makes a second attempt go out in time.
		req.Target = s.r.Arrived.Add(s.route.TargetLatency - callerLatency)
	}

	if !s.route.Idempotent {
		req.Operation, req.Shard = query.OperationExecute, ident.ShardID(part)
	}

	return req, part
}

// wakeUp makes the goroutine of the request tick its query.
func (s *activeRequest) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default: // An earlier signal is pending.
	}
}

// repeated reports whether the caller has probably been refused before: it states less time than the route gives by more than
// it takes to resolve an address and to connect.
func (s *activeRequest) repeated() bool {
	return !s.r.Deadline.IsZero() && s.r.Deadline.Sub(s.r.Arrived) < s.route.Timeout-maxConnectTime
}

// group returns the group of upstreams for which the request competes with others.
func (s *activeRequest) group(part ident.UpstreamID) ident.UpstreamID {
	if part == "" {
		part = s.route.Shards[0]
	}

	return s.n.view.Load().table.Group(part)
}

// maxAttempts returns the number of searchers of a shard that may run the request on this node; 0 means no limit. One
// remains for a forwarded request: searchers from which its first node was cut off have not received it.
func (s *activeRequest) maxAttempts() int {
	if s.route.MaxAttempts == 0 {
		return 0
	}

	return max(s.route.MaxAttempts-s.r.UsedAttempts, 1)
}

// routeKey identifies a route in all versions of the configuration; two routes may have the same name.
type routeKey struct{ name, host, prefix string }

func keyOf(r *configuration.Route) routeKey {
	return routeKey{name: r.Name, host: r.Host, prefix: r.Prefix}
}

// dropSplitters removes the splitters of routes that a configuration does not have.
func (n *Node) dropSplitters(cfg *configuration.Configuration) {
	routes := map[routeKey]bool{}
	for i := range cfg.Routes {
		routes[keyOf(&cfg.Routes[i])] = true
	}

	n.splitMu.Lock()
	defer n.splitMu.Unlock()

	maps.DeleteFunc(n.splitters, func(key routeKey, _ *configuration.Splitter) bool { return !routes[key] })
}

// choosePart selects the upstream of a request among those of its route, by their weights.
func (n *Node) choosePart(r *configuration.Route) ident.UpstreamID {
	if len(r.Parts) == 1 {
		return r.Parts[0].Upstream
	}

	n.splitMu.Lock()
	defer n.splitMu.Unlock()

	key := keyOf(r)
	sp := n.splitters[key]
	if sp == nil {
		sp = &configuration.Splitter{}
		n.splitters[key] = sp
	}

	return r.Parts[sp.Next(r.Parts)].Upstream
}

func (s *activeRequest) run() {
	req, part := s.request()
	if s.configuration.RequiresKeys() {
		req.Group = s.group(part)
	}

	now := time.Now()

	var actions []query.Action

	s.catalog = &catalog{n: s.n, route: s.route, team: s.team, part: part, trial: s.trial != ""}
	s.catalog.planRollouts(now)
	defer s.catalog.returnUnused()

	s.q, actions = s.n.planner.Start(now, req, s.catalog)
	s.apply(now, actions)

	timer := time.NewTimer(disconnectPollInterval)
	defer timer.Stop()

	isolation := s.n.links.isolation()

	for s.result == nil {
		due := s.resetTimer(timer, now)

		select {
		case e := <-s.attemptResults:
			now = time.Now()
			if e.reply == nil {
				s.n.checkLinks(now)
			}

			s.apply(now, s.q.Reply(now, s.recordResult(e)))
		case <-timer.C:
			now = time.Now()
			s.n.lag.observe(now, now.Sub(due))
			s.n.checkLinks(now)

			if s.r.Disconnected != nil && s.r.Disconnected() {
				s.abandon(now)

				return
			}

			s.apply(now, s.q.Tick(now))
		case <-s.wake:
			now = time.Now()
			s.apply(now, s.q.Tick(now))
		case <-s.n.ending:
			now = time.Now()
			s.apply(now, s.q.Expire(now))
		case <-isolation:
			s.endAttempts(time.Now())
			s.forwardOrRefuse()
		}
	}
}

// resetTimer sets the timer to the next tick of the query or the next check of the caller's connection.
func (s *activeRequest) resetTimer(t *time.Timer, now time.Time) (due time.Time) {
	wait := disconnectPollInterval
	if at, ok := s.q.NextTick(); ok {
		wait = min(wait, max(at.Sub(now), 0))
	}

	t.Reset(wait)

	return time.Now().Add(wait)
}

// recordResult records the result of an attempt and converts it for the query core.
func (s *activeRequest) recordResult(e attemptResult) query.ShardReply {
	a := s.attempts[e.attempt-1]
	a.reply, a.failure, a.endedAt = e.reply, e.failure, time.Now()
	r := classify(s.route, e.reply, e.failure)
	r.Request, r.Attempt, r.Shard, r.Snapshot = s.r.ID, e.attempt, a.send.Shard, a.send.Snapshot

	switch {
	case e.failure == failureLost:
		s.lost++
	case e.failure == failureReset:
		s.resets++
	case e.reply == nil:
	case e.reply.NotRun || e.reply.Misdirected:
		s.notRun++
	default:
		s.ran++
	}

	if r.Status == query.StatusFailed && relayable(e.reply) {
		s.lastFailure = e.reply
	}

	return r
}

// abandon ends the work for a caller that has disconnected.
func (s *activeRequest) abandon(now time.Time) {
	s.endAttempts(now)
	s.reason = ident.ReasonCancelled
	s.result = &Refused{Kind: RefusedUnknown, Reason: ident.ReasonCancelled}
}

// endAttempts ends the query and all attempts, whose results are no longer needed.
func (s *activeRequest) endAttempts(now time.Time) {
	s.q.Abandon(now)

	for _, a := range s.attempts {
		a.abort()
	}
}

// apply carries out the actions of the query core.
func (s *activeRequest) apply(now time.Time, actions []query.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *query.Send:
			s.send(now, a)
		case *query.Cancel:
			s.attempts[a.Attempt-1].cancel()
		case *query.Finish:
			s.finish(a)
		}
	}
}

func (s *activeRequest) finish(f *query.Finish) {
	s.withoutRoom = f.WithoutRoom

	if f.Answer == nil {
		s.limited = f.Refusal.Limited
		if !f.Refusal.Unreachable || !s.n.links.takesNoConnections() || !s.forwardRefused() {
			s.refuse(f.Refusal)
		}

		return
	}

	s.answered = true
	s.coverage = f.Answer.Coverage
	s.limited = limitedShards(&s.coverage)

	switch {
	case len(s.route.Shards) > 0:
		s.merge(f.Answer)
	case len(f.Answer.Parts) > 0:
		s.result = &Relayed{Reply: s.attempts[f.Answer.Parts[0].Attempt-1].reply}
	default: // not idempotent: exactly one attempt was answered
		s.result = &Relayed{Reply: s.lastReply()}
	}
}

func (s *activeRequest) lastReply() *Reply {
	for i := len(s.attempts) - 1; i >= 0; i-- {
		if r := s.attempts[i].reply; r != nil && !r.NotRun && !r.Misdirected {
			return r
		}
	}

	return nil
}

func (s *activeRequest) merge(a *query.Answer) {
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

// mayHaveRun reports whether any searcher may have run the request. All attempts must have ended or been cancelled.
func (s *activeRequest) mayHaveRun() bool {
	if s.peerMayHaveRun {
		return true
	}

	for _, a := range s.attempts {
		if _, may := a.mayHaveRun(); may {
			return true
		}
	}

	return false
}

func (s *activeRequest) refuse(r *query.Refusal) {
	s.reason = r.Reason

	switch {
	case !s.mayHaveRun():
		s.result = &Refused{Kind: RefusedNotRun, Reason: r.Reason, RetryAfter: time.Duration(r.RetryAfter)}
	case s.lastFailure != nil && len(s.route.Shards) == 0:
		s.result = &Relayed{Reply: s.lastFailure}
	case r.Reason == ident.ReasonDeadline:
		s.result = &Refused{Kind: RefusedDeadline, Reason: r.Reason}
	default:
		s.result = &Refused{Kind: RefusedUnknown, Reason: r.Reason, RetryAfter: time.Duration(r.RetryAfter)}
	}
}
