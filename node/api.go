// This file holds the shapes of the public HTTP interface; docs/callers.md describes them.

package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"fulmarfall/ident"
)

// Limits of what a caller may ask for.
const (
	maxHits         = 1000
	maxTimeout      = 30 * time.Second
	minTimeout      = 2 * time.Millisecond
	defaultHitLimit = 20
)

// searchRequest is the body of POST /v1/search.
type searchRequest struct {
	Upstream    ident.UpstreamID `json:"upstream"`
	Query       string           `json:"query"`
	Class       string           `json:"class,omitempty"`
	Limit       int              `json:"limit,omitempty"`
	TimeoutMS   int64            `json:"timeout_ms,omitempty"`
	MinCoverage float64          `json:"min_coverage,omitempty"`
}

// executeRequest is the body of POST /v1/execute.
type executeRequest struct {
	Upstream  ident.UpstreamID `json:"upstream"`
	Shard     ident.ShardID    `json:"shard"`
	Body      string           `json:"body"`
	Class     string           `json:"class,omitempty"`
	TimeoutMS int64            `json:"timeout_ms,omitempty"`
}

// hitBody is one hit of an answer.
type hitBody struct {
	ID       string  `json:"id"`
	Score    float64 `json:"score"`
	Document string  `json:"document"`
}

// missingBody names a shard that is not in the answer.
type missingBody struct {
	Shard  ident.ShardID `json:"shard"`
	Reason ident.Reason  `json:"reason"`
}

// coverageBody states how much of the pinned snapshot an answer holds.
type coverageBody struct {
	ShardsTotal       int             `json:"shards_total"`
	ShardsAnswered    int             `json:"shards_answered"`
	DocumentsTotal    ident.Documents `json:"documents_total"`
	DocumentsAnswered ident.Documents `json:"documents_answered"`
	Missing           []missingBody   `json:"missing"`
}

// searchAnswer is the body of a successful POST /v1/search.
type searchAnswer struct {
	RequestID ident.RequestID  `json:"request_id"`
	Outcome   ident.Outcome    `json:"outcome"`
	Snapshot  ident.SnapshotID `json:"snapshot"`
	Coverage  coverageBody     `json:"coverage"`
	Hits      []hitBody        `json:"hits"`
}

// executeAnswer is the body of a successful POST /v1/execute.
type executeAnswer struct {
	RequestID ident.RequestID `json:"request_id"`
	Outcome   ident.Outcome   `json:"outcome"`
	Answer    string          `json:"answer"`
	Repeated  bool            `json:"repeated"`
	// AnswerKept is false when an earlier run's answer was too large to be stored.
	AnswerKept bool `json:"answer_kept"`
}

// refusalBody is the body of every answer that is not a success.
type refusalBody struct {
	RequestID    ident.RequestID `json:"request_id,omitempty"`
	Outcome      ident.Outcome   `json:"outcome"`
	Reason       ident.Reason    `json:"reason"`
	Message      string          `json:"message"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
	Addresses    []string        `json:"addresses,omitempty"`
}

// addressesAnswer is the body of GET /v1/addresses.
type addressesAnswer struct {
	Addresses   []string `json:"addresses"`
	KeepSeconds float64  `json:"keep_seconds"`
}

// decodeStrict reads exactly one JSON value and refuses unknown fields.
func decodeStrict(data []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()

	if err := dec.Decode(into); err != nil {
		return fmt.Errorf("body is not valid: %w", err)
	}

	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("body is not valid: data after the JSON value")
	}

	return nil
}

// parseTimeout checks timeout_ms. The result 0 means the default of the upstream.
func parseTimeout(ms int64) (time.Duration, error) {
	if ms == 0 {
		return 0, nil
	}

	if ms < minTimeout.Milliseconds() || ms > maxTimeout.Milliseconds() {
		return 0, fmt.Errorf("timeout_ms is %d, want %d to %d", ms, minTimeout.Milliseconds(), maxTimeout.Milliseconds())
	}

	return time.Duration(ms) * time.Millisecond, nil
}

// refusalStatus maps a refusal to its HTTP status.
func refusalStatus(outcome ident.Outcome, reason ident.Reason) int {
	switch reason {
	case ident.ReasonBadRequest, ident.ReasonUnknownShard:
		return fasthttp.StatusBadRequest
	case ident.ReasonUnauthenticated:
		return fasthttp.StatusUnauthorized
	case ident.ReasonNotApproved:
		return fasthttp.StatusForbidden
	case ident.ReasonUnknownUpstream:
		return fasthttp.StatusNotFound
	case ident.ReasonKeyReused:
		return fasthttp.StatusConflict
	case ident.ReasonTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case ident.ReasonConvicted:
		return fasthttp.StatusUnprocessableEntity
	case ident.ReasonOverShare:
		return fasthttp.StatusTooManyRequests
	default:
		if outcome == ident.OutcomeUnknown {
			return fasthttp.StatusGatewayTimeout
		}

		return fasthttp.StatusServiceUnavailable
	}
}

// writeJSON sends a JSON body.
func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.Error("encode answer: "+err.Error(), fasthttp.StatusInternalServerError)

		return
	}

	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(data, '\n'))
}
