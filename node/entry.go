// This file serves the requests of callers: it admits them, drives their queries and answers.

package node

import (
	"context"
	"fmt"
	"time"

	"fulmarfall/admission"
	"fulmarfall/api"
	"fulmarfall/claim"
	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/query"
	"fulmarfall/record"
	"fulmarfall/transport"
	"fulmarfall/wire"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
)

// Advice on when to come back.
const (
	retryStale      = time.Second
	retryInProgress = 500 * time.Millisecond
	retryControl    = time.Second
)

// replyAllowance is added to the time of an attempt for the way back from its owner.
const replyAllowance = 30 * time.Millisecond

// refusal is a request that gets no answer.
type refusal struct {
	outcome    ident.Outcome
	reason     ident.Reason
	message    string
	retryAfter time.Duration
}

func notRun(reason ident.Reason, retryAfter time.Duration, format string, args ...any) *refusal {
	return &refusal{ident.OutcomeNotRun, reason, fmt.Sprintf(format, args...), retryAfter}
}

// call is one request of a caller.
type call struct {
	req   query.Request
	team  ident.TeamID
	grant record.Grant
	body  []byte
	// key is the idempotency key of an execute request.
	key string
}

// authenticate finds the calling team of a bearer key.
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

// mayServe refuses new work at a node that cannot know the current configuration, is leaving, or is in
// a failure domain that is out of service.
func (n *Node) mayServe() *refusal {
	switch {
	case !n.leaseValid(time.Now()):
		return notRun(ident.ReasonStaleNode, retryStale, "this node has no lease and may not know the current configuration")
	case !n.inService():
		return notRun(ident.ReasonOutOfService, retryStale, "failure domain %s is out of service", n.cfg.FailureDomain)
	case n.stageNow() == stageDraining:
		return notRun(ident.ReasonLeaving, retryStale, "this node is stopping")
	default:
		return nil
	}
}

func (n *Node) stageNow() stage { return stage(n.stage.Load()) }

// approve checks that the team may send requests of the class to the upstream.
func (n *Node) approve(c *call) *refusal {
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

// entryNodes is the number of nodes among which the rate of an approval is divided.
func (n *Node) entryNodes() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()

	return float64(max(n.members.Len(), 1))
}

// admit takes a place for the request. The returned function gives it back.
func (n *Node) admit(c *call) (func(), *refusal) {
	ticket, r := n.admission.Enter(time.Now(), admission.Request{
		Team: c.team, Upstream: c.req.Upstream, Class: c.req.Class, Deadline: c.req.Deadline,
		Approval: admission.Approval{
			Weight: float64(c.grant.Weight), RatePerSecond: float64(c.grant.RatePerSecond) / n.entryNodes(),
			Burst: max(float64(c.grant.Burst)/n.entryNodes(), 1),
		},
	})
	if r != nil {
		return nil, &refusal{r.Outcome, r.Reason, r.Message, time.Duration(r.RetryAfter)}
	}

	return func() { n.admission.Leave(time.Now(), ticket) }, nil
}

// serveSearch answers POST /v1/search.
func (n *Node) serveSearch(ctx *fasthttp.RequestCtx, team ident.TeamID) {
	started := time.Now()

	c, r := parseSearch(ctx.PostBody(), started, n.cfg.requestLimits())
	if r == nil {
		c.team = team
		r = n.approve(c)
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

// runAdmitted runs a query within the node's limits.
func (n *Node) runAdmitted(c *call) (*query.Finish, *refusal) {
	leave, r := n.admit(c)
	if r != nil {
		return nil, r
	}
	defer leave()

	return n.runQuery(c), nil
}

func refusalOf(f *query.Finish) *refusal {
	if f == nil {
		return &refusal{ident.OutcomeUnknown, ident.ReasonLeaving, "the node stopped during the request", retryStale}
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

// runQuery drives one query to its end. It returns nil if the node stops.
func (n *Node) runQuery(c *call) *query.Finish {
	d := &driver{
		n: n, call: c, replies: make(chan query.ShardReply), done: make(chan struct{}),
		cancels: make(map[ident.AttemptID]context.CancelFunc),
	}
	defer close(d.done)

	q, actions := n.planner.Start(time.Now(), c.req, catalog{n})

	timer := time.NewTimer(time.Hour)
	defer timer.Stop()

	for {
		if f := d.carryOut(actions); f != nil {
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
			d.carryOut(q.Abandon(time.Now()))

			return nil
		}
	}
}

// driver carries out the actions of one query.
type driver struct {
	n       *Node
	call    *call
	replies chan query.ShardReply
	done    chan struct{}
	cancels map[ident.AttemptID]context.CancelFunc
}

func (d *driver) carryOut(actions []query.Action) *query.Finish {
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

func (d *driver) send(s *query.Send) {
	now := time.Now()
	req := &wire.ShardRequest{
		RequestID: s.Request, Attempt: s.Attempt, Team: d.call.team, Upstream: d.call.req.Upstream,
		Searcher: s.Searcher, Shard: s.Shard, Snapshot: s.Snapshot, Class: d.call.req.Class,
		Fingerprint: d.call.req.Fingerprint, Hedge: s.Hedge, Exclusive: s.Exclusive, Cleared: s.Cleared,
		Canary: s.Canary, Execute: d.call.req.Operation == query.OperationExecute, IdempotencyKey: d.call.key,
		TimeoutMicros: s.Deadline.Sub(now).Microseconds(), Limit: d.call.req.Limit, Body: d.call.body,
	}

	ctx, cancel := context.WithDeadline(d.n.ctx, s.Deadline.Add(replyAllowance))
	d.cancels[s.Attempt] = cancel

	go func() {
		defer cancel()

		r := d.n.attempt(ctx, s, req)

		select {
		case d.replies <- r:
		case <-d.done:
		}
	}()
}

// attempt sends one shard request to the owner of its searcher.
func (n *Node) attempt(ctx context.Context, s *query.Send, req *wire.ShardRequest) query.ShardReply {
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
		n.warmth.report(req.Upstream, time.Duration(r.Load.LatencyMicros)*time.Microsecond)
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

// serveExecute answers POST /v1/execute. The key is claimed durably before anything is sent.
func (n *Node) serveExecute(ctx *fasthttp.RequestCtx, team ident.TeamID) {
	started := time.Now()

	c, r := parseExecute(ctx, team, started, n.cfg.requestLimits())
	if r == nil {
		r = n.approve(c)
	}

	var body api.ExecuteAnswer

	if r == nil {
		body, r = n.runOnce(c)
	}

	if r != nil {
		n.refuse(ctx, requestID(c), r)

		return
	}

	n.meters.Latency(team, c.req.Class).RecordDuration(time.Since(started))
	writeJSON(ctx, fasthttp.StatusOK, body)
}

func parseExecute(ctx *fasthttp.RequestCtx, team ident.TeamID, now time.Time, limits requestLimits) (*call, *refusal) {
	var req api.ExecuteRequest
	if err := decodeStrict(ctx.PostBody(), &req); err != nil {
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

	key := string(ctx.Request.Header.Peek("Idempotency-Key"))

	switch id, err := uuid.Parse(key); {
	case key == "":
		return nil, notRun(ident.ReasonBadRequest, 0, "header Idempotency-Key is missing; execute needs a UUIDv7")
	case err != nil || id.Version() != 7:
		return nil, notRun(ident.ReasonBadRequest, 0, "header Idempotency-Key is not a UUIDv7")
	case req.Upstream == "":
		return nil, notRun(ident.ReasonBadRequest, 0, "upstream is missing")
	case req.Shard == "":
		return nil, notRun(ident.ReasonBadRequest, 0, "shard is missing")
	}

	body, err := canonicalJSON(req.Body)
	if err != nil {
		return nil, notRun(ident.ReasonBadRequest, 0, "body %v", err)
	}

	c := &call{team: team, body: body, key: key, req: query.Request{
		ID: newRequestID(), Upstream: req.Upstream, Operation: query.OperationExecute, Class: class, Shard: req.Shard,
		Fingerprint: query.NewFingerprint(req.Upstream, query.OperationExecute, append([]byte(string(req.Shard)+"\x00"), body...)),
	}}
	if timeout > 0 {
		c.req.Deadline = now.Add(timeout)
	}

	return c, nil
}

// runOnce claims the key, runs the request if the claim is granted, and stores its outcome.
func (n *Node) runOnce(c *call) (api.ExecuteAnswer, *refusal) {
	leave, r := n.admit(c)
	if r != nil {
		return api.ExecuteAnswer{}, r
	}
	defer leave()

	key, err := claim.ParseKey(c.team, c.key)
	if err != nil {
		return api.ExecuteAnswer{}, notRun(ident.ReasonBadRequest, 0, "header Idempotency-Key: %v", err)
	}

	token := claim.Token(c.req.ID)

	ctx, cancel := context.WithDeadline(n.ctx, c.req.Deadline)
	defer cancel()

	result, err := n.propose(ctx, control.ClaimKey{
		Key: key, Body: claim.HashBody(c.req.Upstream, c.req.Shard, c.body), Token: token,
	})
	if err != nil {
		// Whether or not the claim was stored, nothing was sent under this token. An earlier arrival
		// with the same key may have run, so the outcome of the key is not known here.
		n.releaseSoon(key, token)

		return api.ExecuteAnswer{}, &refusal{ident.OutcomeUnknown, ident.ReasonControlUnreached, err.Error(), retryControl}
	}

	claimed, ok := result.(control.ClaimResult)
	if !ok {
		return api.ExecuteAnswer{}, &refusal{ident.OutcomeUnknown, ident.ReasonControlUnreached, "the voters did not apply the claim", retryControl}
	}

	if claimed.Verdict != claim.Granted {
		return n.repeated(c, claimed.Result)
	}

	f := n.runQuery(c)

	return n.settle(c, key, token, f)
}

// repeated answers an arrival whose key was claimed before, or whose key is not usable.
func (n *Node) repeated(c *call, r claim.Result) (api.ExecuteAnswer, *refusal) {
	switch r.Verdict {
	case claim.Done:
		return api.ExecuteAnswer{
			RequestID: c.req.ID, Outcome: ident.OutcomeRan, Answer: r.Answer, Repeated: true, AnswerKept: r.HasAnswer,
		}, nil
	case claim.Running:
		return api.ExecuteAnswer{}, &refusal{
			ident.OutcomeUnknown, ident.ReasonInProgress, "an earlier arrival of the key may still run", retryInProgress,
		}
	case claim.BodyDiffers:
		return api.ExecuteAnswer{}, notRun(ident.ReasonKeyReused, 0, "the idempotency key was used with another request")
	case claim.TooOld:
		return api.ExecuteAnswer{}, &refusal{
			ident.OutcomeUnknown, ident.ReasonKeyExpired, "the idempotency key is older than 24 h; its claim may be forgotten", 0,
		}
	case claim.TooNew, claim.BadKey:
		return api.ExecuteAnswer{}, notRun(ident.ReasonBadRequest, 0, "the time of the idempotency key is more than 1 min ahead")
	default:
		return api.ExecuteAnswer{}, notRun(ident.ReasonOverloaded, retryControl, "the table of claims is full")
	}
}

// settle stores the outcome of a claimed request. If that fails, the claim stays in progress and a
// resend is told that the outcome is unknown.
func (n *Node) settle(c *call, key claim.Key, token claim.Token, f *query.Finish) (api.ExecuteAnswer, *refusal) {
	r := refusalOf(f)

	switch {
	case r != nil && r.outcome == ident.OutcomeNotRun:
		n.releaseSoon(key, token)

		return api.ExecuteAnswer{}, r
	case r != nil:
		return api.ExecuteAnswer{}, r
	}

	ctx, cancel := context.WithTimeout(n.ctx, proposeTimeout)
	defer cancel()

	if _, err := n.propose(ctx, control.SettleClaim{Key: key, Token: token, HasAnswer: true, Answer: f.Answer.Body}); err != nil {
		n.meters.Counter("settles_lost_total").Inc(1)
	}

	return api.ExecuteAnswer{
		RequestID: c.req.ID, Outcome: ident.OutcomeRan, Answer: f.Answer.Body, AnswerKept: true,
	}, nil
}

func (n *Node) releaseSoon(key claim.Key, token claim.Token) {
	n.proposeSoon(control.ReleaseClaim{Key: key, Token: token})
}

// refuse answers a request that was not served.
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
