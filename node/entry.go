// Requests of callers: authentication, admission, query execution and the response.

package node

import (
	"context"
	"fmt"
	"time"

	"fulmarfall/admission"
	"fulmarfall/api"
	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/query"
	"fulmarfall/record"
	"fulmarfall/transport"
	"fulmarfall/wire"

	"github.com/valyala/fasthttp"
)

// Retry-after values of refusals.
const (
	retryAfterStale      = time.Second
	retryAfterInProgress = 500 * time.Millisecond
	retryAfterControl    = time.Second
)

// replyMargin is added to the deadline of an attempt to cover the network latency of the owner's reply.
const replyMargin = 30 * time.Millisecond

// refusal describes why a request was not served, or why its outcome is unknown.
type refusal struct {
	outcome    ident.Outcome
	reason     ident.Reason
	message    string
	retryAfter time.Duration
}

func notRun(reason ident.Reason, retryAfter time.Duration, format string, args ...any) *refusal {
	return &refusal{ident.OutcomeNotRun, reason, fmt.Sprintf(format, args...), retryAfter}
}

// call is a parsed request of a caller, with the permissions it runs under.
type call struct {
	req   query.Request
	team  ident.TeamID
	grant record.Grant
	body  []byte
	// key is the idempotency key of an execute request; empty for a search.
	key string
}

// authenticate returns the calling team that the bearer key belongs to.
func (n *Node) authenticate(ctx *fasthttp.RequestCtx) (ident.TeamID, *refusal) {
	key, ok := bearer(ctx)
	if !ok {
		return "", notRun(ident.ReasonUnauthenticated, 0, "header Authorization: Bearer with a team's key is missing")
	}

	var (
		team  ident.TeamID
		known bool
	)

	n.state.View(func(v control.View) { team, known = v.Records().TeamByKey(key) })

	if !known {
		return "", notRun(ident.ReasonUnauthenticated, 0, "the key belongs to no calling team")
	}

	return team, nil
}

// checkServing refuses new requests if the node has no valid lease and its configuration may be stale, if it is stopping,
// or if its failure domain is out of service.
func (n *Node) checkServing() *refusal {
	switch {
	case !n.leaseValid(time.Now()):
		return notRun(ident.ReasonStaleNode, retryAfterStale, "this node has no lease and may not know the current configuration")
	case !n.inService():
		return notRun(ident.ReasonOutOfService, retryAfterStale, "failure domain %s is out of service", n.cfg.FailureDomain)
	case n.stageNow() == stageDraining:
		return notRun(ident.ReasonLeaving, retryAfterStale, "this node is stopping")
	default:
		return nil
	}
}

func (n *Node) stageNow() stage { return stage(n.stage.Load()) }

// checkApproval verifies that the calling team is approved for the upstream and class, and stores the grant in c. It also
// applies the default timeout of the upstream if the request has none.
func (n *Node) checkApproval(c *call) *refusal {
	var (
		known, ok bool
		timeout   time.Duration
	)

	n.state.View(func(v control.View) {
		var up *record.UpstreamV1
		if up, known = v.Records().Upstream(c.req.Upstream); known {
			timeout = time.Duration(up.DefaultTimeoutMS) * time.Millisecond
		}

		c.grant, ok = v.Records().Approval(c.team, c.req.Upstream)
	})

	switch {
	case !known:
		return notRun(ident.ReasonUnknownUpstream, 0, "upstream %q is not known", c.req.Upstream)
	case !ok:
		return notRun(ident.ReasonNotApproved, 0, "team %q is not approved for upstream %q", c.team, c.req.Upstream)
	case !c.grant.Allows(c.req.Class):
		return notRun(ident.ReasonNotApproved, 0, "team %q is not approved for class %s at upstream %q", c.team, c.req.Class, c.req.Upstream)
	}

	if c.req.Deadline.IsZero() {
		c.req.Deadline = time.Now().Add(timeout)
	}

	return nil
}

// entryNodes returns the number of nodes that share the rate limit of an approval.
func (n *Node) entryNodes() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()

	return float64(max(n.members.Len(), 1))
}

// admit passes the request through admission control. The returned function releases the admitted slot.
func (n *Node) admit(c *call) (func(), *refusal) {
	ticket, r := n.admission.Admit(time.Now(), admission.Request{
		Team: c.team, Upstream: c.req.Upstream, Class: c.req.Class, Deadline: c.req.Deadline,
		Approval: admission.Approval{
			Weight: float64(c.grant.Weight), RatePerSecond: float64(c.grant.RatePerSecond) / n.entryNodes(),
			Burst: max(float64(c.grant.Burst)/n.entryNodes(), 1),
		},
	})
	if r != nil {
		return nil, &refusal{r.Outcome, r.Reason, r.Message, time.Duration(r.RetryAfter)}
	}

	return func() { n.admission.Release(time.Now(), ticket) }, nil
}

// serveSearch answers POST /v1/search.
func (n *Node) serveSearch(ctx *fasthttp.RequestCtx, team ident.TeamID) {
	started := time.Now()

	c, r := parseSearch(ctx.PostBody(), started, n.cfg.requestLimits())
	if r == nil {
		c.team = team
		r = n.checkApproval(c)
	}

	var f *query.Finish

	if r == nil {
		f, r = n.runAdmitted(c)
	}

	if r == nil {
		r = refusalOf(f)
	}

	if r != nil {
		n.refuse(ctx, requestID(c), r)

		return
	}

	n.meters.Latency(team, c.req.Class).RecordDuration(time.Since(started))
	writeJSON(ctx, fasthttp.StatusOK, searchBody(f.Answer))
}

func requestID(c *call) ident.RequestID {
	if c == nil {
		return ""
	}

	return c.req.ID
}

// runAdmitted runs a query under admission control.
func (n *Node) runAdmitted(c *call) (*query.Finish, *refusal) {
	release, r := n.admit(c)
	if r != nil {
		return nil, r
	}
	defer release()

	return n.runQuery(c), nil
}

func refusalOf(f *query.Finish) *refusal {
	if f == nil {
		return &refusal{ident.OutcomeUnknown, ident.ReasonLeaving, "the node stopped during the request", retryAfterStale}
	}

	if f.Refusal == nil {
		return nil
	}

	return &refusal{f.Refusal.Outcome, f.Refusal.Reason, f.Refusal.Message, time.Duration(f.Refusal.RetryAfter)}
}

func parseSearch(body []byte, now time.Time, limits requestLimits) (*call, *refusal) {
	var req api.SearchRequest
	if err := decodeStrict(body, &req); err != nil {
		return nil, notRun(ident.ReasonBadRequest, 0, "%v", err)
	}

	class, err := ident.ParseClass(req.Class)
	if err != nil {
		return nil, notRun(ident.ReasonBadRequest, 0, "class: %v", err)
	}

	timeout, err := limits.parseTimeout(req.TimeoutMS)
	if err != nil {
		return nil, notRun(ident.ReasonBadRequest, 0, "%v", err)
	}

	switch {
	case req.Upstream == "":
		return nil, notRun(ident.ReasonBadRequest, 0, "upstream is missing")
	case req.Limit < 0 || req.Limit > limits.hits:
		return nil, notRun(ident.ReasonBadRequest, 0, "limit is %d, want 1 to %d", req.Limit, limits.hits)
	case req.MinCoverage < 0 || req.MinCoverage > 1:
		return nil, notRun(ident.ReasonBadRequest, 0, "min_coverage is %v, want 0 to 1", req.MinCoverage)
	case req.Limit == 0:
		req.Limit = min(defaultHitLimit, limits.hits)
	}

	body, err = canonicalJSON(req.Query)
	if err != nil {
		return nil, notRun(ident.ReasonBadRequest, 0, "query %v", err)
	}

	c := &call{body: body, req: query.Request{
		ID: newRequestID(), Upstream: req.Upstream, Operation: query.OperationSearch, Class: class,
		Limit: req.Limit, MinCoverage: req.MinCoverage,
		Fingerprint: query.NewFingerprint(req.Upstream, query.OperationSearch, body),
	}}
	if timeout > 0 {
		c.req.Deadline = now.Add(timeout)
	}

	return c, nil
}

func newRequestID() ident.RequestID { return ident.RequestID(newToken()) }

func searchBody(a *query.Answer) api.SearchAnswer {
	body := api.SearchAnswer{
		RequestID: a.Request, Outcome: a.Outcome, Snapshot: a.Snapshot,
		Coverage: api.Coverage{
			ShardsTotal: a.Coverage.ShardsTotal, ShardsAnswered: a.Coverage.ShardsAnswered,
			DocumentsTotal: a.Coverage.DocumentsTotal, DocumentsAnswered: a.Coverage.DocumentsAnswered,
			Missing: make([]api.MissingShard, 0, len(a.Coverage.Missing)),
		},
		Hits: make([]api.Hit, 0, len(a.Hits)),
	}
	for _, m := range a.Coverage.Missing {
		body.Coverage.Missing = append(body.Coverage.Missing, api.MissingShard{Shard: m.Shard, Reason: m.Reason})
	}

	for i := range a.Hits {
		body.Hits = append(body.Hits, api.Hit{ID: a.Hits[i].ID, Score: a.Hits[i].Score, Document: a.Hits[i].Document})
	}

	return body
}

// runQuery runs the query state machine until it finishes. It returns nil if the node stops first.
func (n *Node) runQuery(c *call) *query.Finish {
	d := &queryDriver{
		n: n, call: c, replies: make(chan query.ShardReply), done: make(chan struct{}),
		cancels: make(map[ident.AttemptID]context.CancelFunc),
	}
	defer close(d.done)

	q, actions := n.planner.Start(time.Now(), c.req, catalog{n})

	timer := time.NewTimer(time.Hour)
	defer timer.Stop()

	for {
		if f := d.applyActions(actions); f != nil {
			return f
		}

		if at, ok := q.NextTick(); ok {
			timer.Reset(max(time.Until(at), 0))
		}

		select {
		case r := <-d.replies:
			actions = q.Reply(time.Now(), r)
		case <-timer.C:
			actions = q.Tick(time.Now())
		case <-n.ctx.Done():
			d.applyActions(q.Abandon(time.Now()))

			return nil
		}
	}
}

// queryDriver performs the actions of one query. Its methods are called from the goroutine of runQuery only.
type queryDriver struct {
	n       *Node
	call    *call
	replies chan query.ShardReply
	done    chan struct{}
	cancels map[ident.AttemptID]context.CancelFunc
}

func (d *queryDriver) applyActions(actions []query.Action) *query.Finish {
	var finish *query.Finish

	for _, a := range actions {
		switch a := a.(type) {
		case *query.Send:
			d.send(a)
		case *query.Cancel:
			if cancel := d.cancels[a.Attempt]; cancel != nil {
				cancel()
				delete(d.cancels, a.Attempt)
			}
		case *query.Finish:
			finish = a
		}
	}

	return finish
}

func (d *queryDriver) send(s *query.Send) {
	now := time.Now()
	req := &wire.ShardRequest{
		RequestID: s.Request, Attempt: s.Attempt, Team: d.call.team, Upstream: d.call.req.Upstream,
		Searcher: s.Searcher, Shard: s.Shard, Snapshot: s.Snapshot, Class: d.call.req.Class,
		Fingerprint: d.call.req.Fingerprint, Hedge: s.Hedge, Exclusive: s.Exclusive, Cleared: s.Cleared,
		Canary: s.Canary, Execute: d.call.req.Operation == query.OperationExecute, IdempotencyKey: d.call.key,
		TimeoutMicros: s.Deadline.Sub(now).Microseconds(), Limit: d.call.req.Limit, Body: d.call.body,
	}

	ctx, cancel := context.WithDeadline(d.n.ctx, s.Deadline.Add(replyMargin))
	d.cancels[s.Attempt] = cancel

	go func() {
		defer cancel()

		r := d.n.sendAttempt(ctx, s, req)

		select {
		case d.replies <- r:
		case <-d.done:
		}
	}()
}

// sendAttempt sends a shard request to the owner of the searcher, which may be this node, and waits for the reply.
func (n *Node) sendAttempt(ctx context.Context, s *query.Send, req *wire.ShardRequest) query.ShardReply {
	failed := func(status query.Status, reason ident.Reason) query.ShardReply {
		return query.ShardReply{
			Request: s.Request, Attempt: s.Attempt, Shard: s.Shard, Snapshot: s.Snapshot, Status: status, Reason: reason,
		}
	}

	var reply wire.Message

	if s.Owner == n.cfg.ID {
		reply = n.serveShard(ctx, req)
	} else {
		m, ok := n.member(s.Owner)
		if !ok {
			return failed(query.StatusNotStarted, ident.ReasonUnreachable)
		}

		var err error

		reply, err = n.transport.Call(ctx, s.Owner, m.QUICAddress, req)

		switch {
		case err != nil && transport.IsNotSent(err):
			return failed(query.StatusNotStarted, ident.ReasonUnreachable)
		case err != nil:
			return failed(query.StatusLost, ident.ReasonUnreachable)
		}
	}

	r, ok := reply.(*wire.ShardReply)
	if !ok {
		return failed(query.StatusLost, ident.ReasonBadReply)
	}

	if !r.Load.Cold && r.Load.LatencyMicros > 0 {
		n.warmLatencies.observe(req.Upstream, time.Duration(r.Load.LatencyMicros)*time.Microsecond)
	}

	return shardReply(r)
}

func shardReply(r *wire.ShardReply) query.ShardReply {
	out := query.ShardReply{
		Request: r.RequestID, Attempt: r.Attempt, Shard: r.Shard, Snapshot: r.Snapshot,
		Reason: r.Reason, RetryAfter: ident.RetryAfter(time.Duration(r.RetryAfterMillis) * time.Millisecond),
		Body: r.Answer,
		Load: query.Load{Known: true, InFlight: r.Load.InFlight, Queued: r.Load.Queued, Cold: r.Load.Cold},
	}

	switch {
	case r.Status == wire.ShardAnswered:
		out.Status = query.StatusOK
	case r.Status == wire.ShardNotRun && r.Reason == ident.ReasonSnapshotGone:
		out.Status = query.StatusSnapshotGone
	case r.Status == wire.ShardNotRun:
		out.Status = query.StatusNotStarted
	case r.Status == wire.ShardCrashed:
		out.Status = query.StatusCrashed
	case r.Reason == ident.ReasonDeadline:
		out.Status = query.StatusTimedOut
	default:
		out.Status = query.StatusFailed
	}

	for i := range r.Hits {
		out.Hits = append(out.Hits, query.Hit{ID: r.Hits[i].ID, Score: r.Hits[i].Score, Document: r.Hits[i].Document})
	}

	return out
}

// refuse writes a refusal. If another node may be able to serve the request, the response includes the addresses to
// retry at.
func (n *Node) refuse(ctx *fasthttp.RequestCtx, id ident.RequestID, r *refusal) {
	n.meters.Refused(r.reason)

	body := api.Refusal{
		RequestID: id, Outcome: r.outcome, Reason: r.reason, Message: r.message, RetryAfterMS: r.retryAfter.Milliseconds(),
	}

	switch r.reason {
	case ident.ReasonStaleNode, ident.ReasonOutOfService, ident.ReasonLeaving, ident.ReasonOverloaded:
		body.Addresses = n.addresses(ctx.RemoteIP().String()).Addresses
	default:
	}

	writeJSON(ctx, refusalStatus(r.outcome, r.reason), body)
}
