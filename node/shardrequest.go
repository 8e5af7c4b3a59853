// Runs shard requests on a searcher over HTTP. The interface is described in docs/upstreams.md.

package node

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"fulmarfall/api"
	"fulmarfall/control"
	"fulmarfall/conviction"
	"fulmarfall/ident"
	"fulmarfall/response"
	"fulmarfall/searcher"
	"fulmarfall/wire"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// statusCancelled is the HTTP status with which a searcher answers a cancelled request.
const statusCancelled = 499

// searcherQuery is the request body of POST /search and POST /execute at a searcher.
type searcherQuery struct {
	RequestID      ident.RequestID  `json:"request_id"`
	Attempt        ident.AttemptID  `json:"attempt"`
	Upstream       ident.UpstreamID `json:"upstream"`
	Shard          ident.ShardID    `json:"shard"`
	Snapshot       ident.SnapshotID `json:"snapshot,omitempty"`
	Query          json.RawMessage  `json:"query,omitempty"`
	Body           json.RawMessage  `json:"body,omitempty"`
	IdempotencyKey string           `json:"idempotency_key,omitempty"`
	Limit          int              `json:"limit,omitempty"`
	TimeoutMS      int64            `json:"timeout_ms"`
}

// searcherReply is the response body of a searcher for all HTTP statuses.
type searcherReply struct {
	RequestID    ident.RequestID  `json:"request_id"`
	Attempt      ident.AttemptID  `json:"attempt"`
	Shard        ident.ShardID    `json:"shard"`
	Snapshot     ident.SnapshotID `json:"snapshot"`
	Hits         []api.Hit        `json:"hits"`
	Answer       json.RawMessage  `json:"answer"`
	Started      *bool            `json:"started"`
	Reason       string           `json:"reason"`
	RetryAfterMS int64            `json:"retry_after_ms"`
	// LimitPerSecond is the number of requests per second that the searcher takes; nil if it names no limit.
	LimitPerSecond *float64 `json:"limit_per_second"`
}

// limit returns what the response says about the request limit, or nil if it says nothing: only a successful response without
// a limit ends one, and a negative number is none.
func (r *searcherReply) limit(status int) *searcher.LimitStatement {
	switch {
	case r.LimitPerSecond == nil && status != fasthttp.StatusOK, r.LimitPerSecond != nil && *r.LimitPerSecond < 0:
		return nil
	case r.LimitPerSecond == nil:
		return &searcher.LimitStatement{}
	default:
		return &searcher.LimitStatement{Limited: true, PerSecond: ident.RequestRate(*r.LimitPerSecond)}
	}
}

// serveShard handles a shard request as the owner of the searcher. It returns nil if the node stops.
func (n *Node) serveShard(ctx context.Context, req *wire.ShardRequest) wire.Message {
	refusal := func(reason ident.Reason) *wire.ShardReply {
		n.meters.ByReason("shard_refused_total", reason).Inc(1)

		return &wire.ShardReply{
			RequestID: req.RequestID, Attempt: req.Attempt, Shard: req.Shard, Snapshot: req.Snapshot,
			Status: wire.ShardNotRun, Reason: reason,
		}
	}

	strikes, reason := n.checkShard(req)
	if reason != "" {
		return refusal(reason)
	}

	o := n.owned.get(req.Searcher)
	if o == nil || !n.leaseValid(time.Now()) {
		return refusal(ident.ReasonStaleNode)
	}

	if req.Exclusive && !n.beginTrial(ctx, req) {
		return refusal(ident.ReasonSuspected)
	}

	id := searcher.RunID{Request: req.RequestID, Attempt: req.Attempt}
	p := &pendingRun{req: req, reply: make(chan *wire.ShardReply, 1), strikes: strikes}

	if !o.submit(id, p) {
		n.endTrial(req)

		return refusal(ident.ReasonStaleNode)
	}

	select {
	case r := <-p.reply:
		return r
	case <-ctx.Done():
		o.updateGate(func(g *searcher.Gate) []searcher.Effect { return g.Cancel(time.Now(), id) })

		select {
		case r := <-p.reply:
			return r
		case <-n.ctx.Done():
			return nil
		}
	}
}

// checkShard repeats the checks of the entry node against the state of this node, so that a withdrawn approval also stops
// requests in flight. It returns the strike count of the fingerprint, and a reason if the request is refused.
func (n *Node) checkShard(req *wire.ShardRequest) (strikes uint32, reason ident.Reason) {
	n.state.View(func(v control.View) {
		grant, ok := v.Records().Approval(req.Team, req.Upstream)
		if !ok || !grant.Allows(req.Class) {
			reason = ident.ReasonNotApproved

			return
		}

		e, known := v.Convictions().Lookup(req.Fingerprint)
		strikes = e.Strikes

		switch {
		case known && e.State == conviction.Convicted:
			reason = ident.ReasonConvicted
		case known && e.State == conviction.Suspect && !req.Exclusive && !req.Cleared:
			reason = ident.ReasonSuspected
		}
	})

	if provisional, ok := n.suspects.get(req.Fingerprint, time.Now()); ok && reason == "" {
		switch {
		case provisional.convicted:
			reason = ident.ReasonConvicted
		case !req.Exclusive && !req.Cleared:
			reason = ident.ReasonSuspected
		}
	}

	return strikes, reason
}

func (o *ownedSearcher) submit(id searcher.RunID, p *pendingRun) bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	if o.closed || o.runs[id] != nil {
		return false
	}

	now := time.Now()
	o.runs[id] = p
	o.applyEffects(o.gate.Submit(now, searcher.Request{
		Run: id, Class: p.req.Class, Fingerprint: p.req.Fingerprint,
		Deadline: now.Add(time.Duration(p.req.TimeoutMicros) * time.Microsecond),
		Hedge:    p.req.Hedge, Exclusive: p.req.Exclusive, Unproven: p.req.Canary, Cleared: p.req.Cleared,
	}))

	return true
}

// run executes a run that the gate has started and reports its outcome.
func (o *ownedSearcher) run(e searcher.Start, p *pendingRun, c *searcherConn) {
	c, err := o.ensureConnection(e, c)
	if err != nil {
		o.finish(e, p, &wire.ShardReply{Status: wire.ShardNotRun, Reason: ident.ReasonUnreachable},
			searcher.RunOutcome{Kind: searcher.Unreachable})

		return
	}

	// While the request was queued or connecting, its approval may have been withdrawn, or another attempt of it may have
	// crashed a searcher.
	if _, reason := o.n.checkShard(p.req); reason != "" {
		o.n.meters.ByReason("shard_refused_total", reason).Inc(1)
		o.finish(e, p, &wire.ShardReply{Status: wire.ShardNotRun, Reason: reason}, searcher.RunOutcome{Kind: searcher.Shed})

		return
	}

	reply, outcome := o.send(e, p, c)
	o.finish(e, p, reply, outcome)
}

// ensureConnection returns c, or a new connection if c is nil or stale.
func (o *ownedSearcher) ensureConnection(e searcher.Start, c *searcherConn) (*searcherConn, error) {
	if c != nil && !c.stale() {
		return c, nil
	}

	if c != nil {
		c.close()
	}

	ctx, cancel := context.WithDeadline(o.ctx, e.Deadline)
	defer cancel()

	c, _, err := dialSearcher(ctx, o.address(), o.n.largeReplySem)
	if err != nil {
		return nil, err
	}

	o.updateGate(func(g *searcher.Gate) []searcher.Effect {
		o.conns[e.Connection] = c

		return g.Connected(time.Now(), e.Connection)
	})

	return c, nil
}

// send sends the request on c and classifies the result. Only a connection that is lost before any byte of the response, and
// that this node did not close itself, counts as a crash.
func (o *ownedSearcher) send(e searcher.Start, p *pendingRun, c *searcherConn) (*wire.ShardReply, searcher.RunOutcome) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	if err := o.buildRequest(req, e, p); err != nil {
		return &wire.ShardReply{Status: wire.ShardNotRun, Reason: ident.ReasonDeadline},
			searcher.RunOutcome{Kind: searcher.Shed}
	}

	defer c.reply.release()

	err := c.exchange(req, resp, e.Deadline)

	var xe *exchangeError

	switch {
	case errors.As(err, &xe) && xe.timeout:
		return &wire.ShardReply{Status: wire.ShardUnknown, Reason: ident.ReasonDeadline},
			searcher.RunOutcome{Kind: searcher.Failed}
	case err != nil && o.isClosed():
		// This node closed the connection itself, so the error is not evidence against the request.
		return &wire.ShardReply{Status: wire.ShardUnknown, Reason: ident.ReasonUnreachable},
			searcher.RunOutcome{Kind: searcher.Failed}
	case errors.As(err, &xe) && xe.partial:
		o.n.logger.Warn().Str("request", string(p.req.RequestID)).Str("searcher", string(o.id)).Err(err).
			Msg("searcher sent no whole answer; its connection is closed")

		return &wire.ShardReply{Status: wire.ShardUnknown, Reason: ident.ReasonBadReply},
			searcher.RunOutcome{Kind: searcher.Failed}
	case err != nil:
		return &wire.ShardReply{Status: wire.ShardCrashed, Reason: ident.ReasonCrashed},
			searcher.RunOutcome{Kind: searcher.Crashed}
	}

	reply, outcome := translate(p.req, resp)
	if outcome.Kind == searcher.OK && outcome.Limit == nil {
		o.n.logger.Warn().Str("request", string(p.req.RequestID)).Str("searcher", string(o.id)).
			Msg("limit_per_second of a searcher is negative; it is ignored")
	}

	outcome.AnswerRead = outcome.AnswerRead && !resp.ConnectionClose()

	return reply, outcome
}

func (o *ownedSearcher) buildRequest(req *fasthttp.Request, e searcher.Start, p *pendingRun) error {
	remaining := time.Until(e.Deadline)
	if remaining <= 0 {
		return context.DeadlineExceeded
	}

	q := searcherQuery{
		RequestID: p.req.RequestID, Attempt: p.req.Attempt, Upstream: p.req.Upstream, Shard: p.req.Shard,
		TimeoutMS: int64(math.Ceil(float64(remaining) / float64(time.Millisecond))),
	}
	path := "/search"

	if p.req.Execute {
		path = "/execute"
		q.Body, q.IdempotencyKey = p.req.Body, p.req.IdempotencyKey
	} else {
		q.Snapshot, q.Query, q.Limit = p.req.Snapshot, p.req.Body, p.req.Limit
	}

	body, err := json.Marshal(q)
	if err != nil {
		return fmt.Errorf("encode shard request: %w", err)
	}

	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + o.address() + path)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)

	return nil
}

// translate converts the response of a searcher. A successful response must match the request and the attempt. A 503
// response proves that the request was not run only if it contains an explicit "started": false.
func translate(req *wire.ShardRequest, resp *fasthttp.Response) (*wire.ShardReply, searcher.RunOutcome) {
	bad := &wire.ShardReply{Status: wire.ShardUnknown, Reason: ident.ReasonBadReply}

	if !response.IsFinal(resp.StatusCode()) {
		return bad, searcher.RunOutcome{Kind: searcher.Failed}
	}

	var body searcherReply
	if err := json.Unmarshal(resp.Body(), &body); err != nil {
		return bad, searcher.RunOutcome{Kind: searcher.Failed}
	}

	reply, outcome := translateStatus(req, resp.StatusCode(), &body, bad)
	if outcome.AnswerRead {
		outcome.Limit = body.limit(resp.StatusCode())
	}

	return reply, outcome
}

func translateStatus(req *wire.ShardRequest, status int, body *searcherReply, bad *wire.ShardReply) (*wire.ShardReply, searcher.RunOutcome) {
	matches := body.RequestID == req.RequestID && body.Attempt == req.Attempt
	notStarted := body.Started != nil && !*body.Started

	switch {
	case matches && status == fasthttp.StatusOK:
		return translateOK(req, body, bad)
	case notStarted && status == fasthttp.StatusServiceUnavailable:
		return &wire.ShardReply{
			Status: wire.ShardNotRun, Reason: shedReason(body.Reason), RetryAfterMillis: body.RetryAfterMS,
		}, searcher.RunOutcome{Kind: searcher.Shed, AnswerRead: true}
	case status == fasthttp.StatusGone:
		return &wire.ShardReply{Status: wire.ShardNotRun, Reason: ident.ReasonSnapshotGone},
			searcher.RunOutcome{Kind: searcher.Shed, AnswerRead: true}
	case status == statusCancelled:
		return &wire.ShardReply{Status: wire.ShardUnknown, Reason: ident.ReasonCancelled},
			searcher.RunOutcome{Kind: searcher.Cancelled, AnswerRead: matches}
	case status == fasthttp.StatusGatewayTimeout:
		return &wire.ShardReply{Status: wire.ShardUnknown, Reason: ident.ReasonDeadline},
			searcher.RunOutcome{Kind: searcher.Failed, AnswerRead: matches}
	default:
		return bad, searcher.RunOutcome{Kind: searcher.Failed, AnswerRead: matches}
	}
}

func translateOK(req *wire.ShardRequest, body *searcherReply, bad *wire.ShardReply) (*wire.ShardReply, searcher.RunOutcome) {
	if body.Shard != req.Shard || !req.Execute && body.Snapshot != req.Snapshot {
		return bad, searcher.RunOutcome{Kind: searcher.Failed}
	}

	r := &wire.ShardReply{Status: wire.ShardAnswered, Answer: body.Answer}
	for i := range body.Hits {
		h := &body.Hits[i]
		r.Hits = append(r.Hits, wire.Hit{ID: h.ID, Score: h.Score, Document: h.Document})
	}

	return r, searcher.RunOutcome{Kind: searcher.OK, AnswerRead: true}
}

func shedReason(text string) ident.Reason {
	switch r := ident.Reason(text); r {
	case ident.ReasonLeaving, ident.ReasonCold, ident.ReasonSnapshotGone:
		return r
	default:
		return ident.ReasonShed
	}
}

// finish reports the outcome of a run to the gate, to the entry node and, after a crash, to the voters and the other nodes.
func (o *ownedSearcher) finish(e searcher.Start, p *pendingRun, r *wire.ShardReply, outcome searcher.RunOutcome) {
	o.mu.Lock()
	delete(o.runs, e.Run)

	before := o.gate.RequestLimit()

	if !o.closed {
		o.applyEffects(o.gate.Done(time.Now(), e.Run, outcome))
	}

	limit := o.gate.RequestLimit()
	r = o.replyTo(p.req, r)
	o.mu.Unlock()

	if limit != before {
		o.n.logger.Info().Str("searcher", string(o.id)).Bool("limited", limit.Limited).Float64("limit", float64(limit.PerSecond)).
			Msg("request limit of a searcher changed")
	}

	switch outcome.Kind {
	case searcher.Crashed:
		o.n.meters.Counter("searcher_connections_lost_total").Inc(1)
		o.n.strike(p.req.Fingerprint, p.req.Exclusive)
	case searcher.OK:
		if p.req.Exclusive {
			o.n.proposeAsync(control.ClearSuspect{Fingerprint: p.req.Fingerprint, Strikes: p.strikes})
			o.n.endTrial(p.req)
		}
	case searcher.Failed, searcher.Shed, searcher.Cancelled, searcher.Unreachable:
		o.n.endTrial(p.req)
	}

	p.reply <- r
}

// proposeAsync proposes a command in the background. A failure is only counted.
func (n *Node) proposeAsync(c control.Command) {
	n.background(func(ctx context.Context) {
		if _, err := n.propose(ctx, c); err != nil {
			n.meters.Counter("proposals_lost_total").Inc(1)
		}
	})
}

// cancelLoop sends cancellations over a dedicated control connection, which is included in the gate's
// ReservedConnections.
func (o *ownedSearcher) cancelLoop() {
	var c *searcherConn

	defer func() {
		if c != nil {
			c.close()
		}
	}()

	for {
		select {
		case <-o.ctx.Done():
			return
		case id := <-o.cancels:
			c = o.sendCancel(c, id)
		}
	}
}

// cancelTimeout bounds a cancellation. If it fails, the run ends at its deadline.
const cancelTimeout = 200 * time.Millisecond

func (o *ownedSearcher) sendCancel(c *searcherConn, id searcher.RunID) *searcherConn {
	if c != nil && c.stale() {
		c.close()

		c = nil
	}

	if c == nil {
		ctx, cancel := context.WithTimeout(o.ctx, cancelTimeout)
		defer cancel()

		var err error
		if c, _, err = dialSearcher(ctx, o.address(), o.n.largeReplySem); err != nil {
			o.n.meters.Counter("cancels_failed_total").Inc(1)

			return nil
		}
	}

	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	defer c.reply.release()

	body, err := json.Marshal(map[string]any{"request_id": id.Request, "attempt": id.Attempt})
	if err != nil {
		return c
	}

	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + o.address() + "/cancel")
	req.SetBodyRaw(body)

	if err := c.exchange(req, resp, time.Now().Add(cancelTimeout)); err != nil || resp.ConnectionClose() {
		c.close()

		return nil
	}

	return c
}
