// Non-idempotent requests. An idempotency key is claimed durably before the request is sent to a searcher, so that it runs
// at most once, no matter how often and at which nodes it arrives.

package node

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"fulmarfall/api"
	"fulmarfall/claim"
	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/query"
)

// serveExecute handles POST /v1/execute.
func (n *Node) serveExecute(ctx *fasthttp.RequestCtx, team ident.TeamID) {
	started := time.Now()

	c, r := parseExecute(ctx, team, started, n.cfg.requestLimits())
	if r == nil {
		r = n.checkApproval(c)
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

// runOnce claims the idempotency key, runs the request if the claim is granted, and stores the outcome.
func (n *Node) runOnce(c *call) (api.ExecuteAnswer, *refusal) {
	release, r := n.admit(c)
	if r != nil {
		return api.ExecuteAnswer{}, r
	}
	defer release()

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
		// No request was sent under this token, whether or not the claim was stored. The outcome is still unknown,
		// because an earlier request with the same key may have run.
		n.releaseAsync(key, token)

		return api.ExecuteAnswer{}, &refusal{ident.OutcomeUnknown, ident.ReasonControlUnreachable, err.Error(), retryAfterControl}
	}

	claimed, ok := result.(control.ClaimResult)
	if !ok {
		return api.ExecuteAnswer{}, &refusal{ident.OutcomeUnknown, ident.ReasonControlUnreachable, "the voters did not apply the claim", retryAfterControl}
	}

	if claimed.Verdict != claim.Granted {
		return n.answerRepeated(c, claimed.Result)
	}

	f := n.runQuery(c)

	return n.settle(c, key, token, f)
}

// answerRepeated answers a request whose claim was not granted: its key was claimed before or cannot be used.
func (n *Node) answerRepeated(c *call, r claim.Result) (api.ExecuteAnswer, *refusal) {
	switch r.Verdict {
	case claim.Done:
		return api.ExecuteAnswer{
			RequestID: c.req.ID, Outcome: ident.OutcomeRan, Answer: r.Answer, Repeated: true, AnswerKept: r.HasAnswer,
		}, nil
	case claim.Running:
		return api.ExecuteAnswer{}, &refusal{
			ident.OutcomeUnknown, ident.ReasonInProgress, "an earlier arrival of the key may still run", retryAfterInProgress,
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
		return api.ExecuteAnswer{}, notRun(ident.ReasonOverloaded, retryAfterControl, "the table of claims is full")
	}
}

// settle stores the outcome of a claimed request. If it cannot be stored, the claim remains in progress and a retry with
// the same key is answered with an unknown outcome.
func (n *Node) settle(c *call, key claim.Key, token claim.Token, f *query.Finish) (api.ExecuteAnswer, *refusal) {
	r := refusalOf(f)

	switch {
	case r != nil && r.outcome == ident.OutcomeNotRun:
		n.releaseAsync(key, token)

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

func (n *Node) releaseAsync(key claim.Key, token claim.Token) {
	n.proposeAsync(control.ReleaseClaim{Key: key, Token: token})
}
