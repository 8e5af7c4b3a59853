// Validation of callers' input, and the mapping of refusals to HTTP statuses.

package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"fulmarfall/ident"

	"github.com/valyala/fasthttp"
)

// Request limits and defaults that cannot be configured.
const (
	minTimeout      = 2 * time.Millisecond
	defaultHitLimit = 20
)

// requestLimits are the configured maximums of a request.
type requestLimits struct {
	hits    int
	timeout time.Duration
}

// decodeStrict decodes exactly one JSON value and rejects unknown fields and trailing data.
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

// parseTimeout validates timeout_ms. The result 0 means the default timeout of the upstream.
func (l requestLimits) parseTimeout(ms int64) (time.Duration, error) {
	if ms == 0 {
		return 0, nil
	}

	if ms < minTimeout.Milliseconds() || ms > l.timeout.Milliseconds() {
		return 0, fmt.Errorf("timeout_ms is %d, want %d to %d", ms, minTimeout.Milliseconds(), l.timeout.Milliseconds())
	}

	return time.Duration(ms) * time.Millisecond, nil
}

// canonicalJSON normalises white space and field order, so that a resent request has the same fingerprint as the original.
func canonicalJSON(data json.RawMessage) (json.RawMessage, error) {
	if len(data) == 0 {
		return nil, errors.New("is missing")
	}

	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()

	var v any
	if err := dec.Decode(&v); err != nil {
		return nil, fmt.Errorf("is not valid JSON: %w", err)
	}

	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("is not valid JSON: data after the value")
	}

	out, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}

	return out, nil
}

func refusalStatus(outcome ident.Outcome, reason ident.Reason) int {
	switch reason {
	case ident.ReasonBadRequest, ident.ReasonUnknownShard, ident.ReasonUnknownUpstream:
		return fasthttp.StatusBadRequest
	case ident.ReasonUnauthenticated:
		return fasthttp.StatusUnauthorized
	case ident.ReasonNotApproved:
		return fasthttp.StatusForbidden
	case ident.ReasonKeyReused:
		return fasthttp.StatusConflict
	case ident.ReasonTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case ident.ReasonConvicted:
		return fasthttp.StatusUnprocessableEntity
	case ident.ReasonOverShare:
		return fasthttp.StatusTooManyRequests
	case ident.ReasonDeadline:
		if outcome == ident.OutcomeUnknown {
			return fasthttp.StatusGatewayTimeout
		}

		return fasthttp.StatusServiceUnavailable
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

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
