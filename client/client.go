// Package client calls a fulmarfall system as its callers and operators do: it asks for addresses,
// keeps the answer for the stated time, and connects to those addresses itself.
package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"sync"
	"time"

	"fulmarfall/api"
	"fulmarfall/ident"
	"fulmarfall/record"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// Times of the client.
const (
	defaultTimeout = 5 * time.Second
	// replyAllowance is the time after the timeout of a request in which its answer still arrives.
	replyAllowance = time.Second
	maxAttempts    = 4
)

// RefusalError is an answer that is not a success.
type RefusalError struct {
	Status  int
	Refusal api.Refusal
}

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("HTTP %d, outcome %s, reason %s: %s", e.Status, e.Refusal.Outcome, e.Refusal.Reason, e.Refusal.Message)
}

// ConflictError is a change of a record that was not stored.
type ConflictError struct{ Answer api.RecordAnswer }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("change not stored: %s; the current revision is %d", e.Answer.Status, e.Answer.Record.Revision)
}

// Client calls one system. It is safe for concurrent use.
type Client struct {
	seeds []string
	key   string
	http  *fasthttp.Client

	mu        sync.Mutex
	addresses []string
	expires   time.Time
}

// Option changes a Client under construction.
type Option func(*Client)

// WithKey sets the bearer key of a calling team or an operator.
func WithKey(key string) Option { return func(c *Client) { c.key = key } }

// New returns a client that knows some addresses of entry VMs to begin with, and a clean-up function
// that closes its idle connections.
func New(seeds []string, opts ...Option) (*Client, func()) {
	c := &Client{
		seeds: seeds,
		http: &fasthttp.Client{
			Name: "fulmarfall-client", MaxConnsPerHost: 1024, MaxIdleConnDuration: 10 * time.Second,
			// A request is sent once; the client itself decides what may be sent again.
			MaxIdemponentCallAttempts: 1,
		},
	}
	for _, o := range opts {
		o(c)
	}

	return c, c.http.CloseIdleConnections
}

// Addresses returns the addresses to use, from memory while the last answer holds.
func (c *Client) Addresses(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	known, expires := c.addresses, c.expires
	c.mu.Unlock()

	if len(known) > 0 && time.Now().Before(expires) {
		return known, nil
	}

	var last error

	for _, addr := range append(append([]string(nil), known...), c.seeds...) {
		var a api.Addresses
		if err := c.call(ctx, fasthttp.MethodGet, addr, "/v1/addresses", nil, nil, &a); err != nil {
			last = err

			continue
		}

		if len(a.Addresses) == 0 {
			last = errors.New("no entry VM is in service")

			continue
		}

		c.mu.Lock()
		c.addresses, c.expires = a.Addresses, time.Now().Add(time.Duration(a.KeepSeconds)*time.Second)
		c.mu.Unlock()

		return a.Addresses, nil
	}

	return nil, fmt.Errorf("ask for addresses: %w", last)
}

// Search sends a search. A refusal that says "not run" is sent to the next address.
func (c *Client) Search(ctx context.Context, req api.SearchRequest) (api.SearchAnswer, error) {
	var a api.SearchAnswer

	err := c.try(ctx, func(addr string) error {
		return c.call(ctx, fasthttp.MethodPost, addr, "/v1/search", nil, req, &a)
	})

	return a, err
}

// SearchAt sends a search to one address only.
func (c *Client) SearchAt(ctx context.Context, addr string, req api.SearchRequest) (api.SearchAnswer, error) {
	var a api.SearchAnswer

	err := c.call(ctx, fasthttp.MethodPost, addr, "/v1/search", nil, req, &a)

	return a, err
}

// Execute sends a non-idempotent request under an idempotency key (a UUIDv7). It may be sent again
// with the same key, because the system runs a key at most once.
func (c *Client) Execute(ctx context.Context, key string, req api.ExecuteRequest) (api.ExecuteAnswer, error) {
	var a api.ExecuteAnswer

	err := c.try(ctx, func(addr string) error {
		return c.call(ctx, fasthttp.MethodPost, addr, "/v1/execute", map[string]string{"Idempotency-Key": key}, req, &a)
	})

	return a, err
}

// ExecuteAt sends a non-idempotent request to one address only.
func (c *Client) ExecuteAt(ctx context.Context, addr, key string, req api.ExecuteRequest) (api.ExecuteAnswer, error) {
	var a api.ExecuteAnswer

	err := c.call(ctx, fasthttp.MethodPost, addr, "/v1/execute", map[string]string{"Idempotency-Key": key}, req, &a)

	return a, err
}

// movable reports whether another node may answer what this one refused.
func movable(err error) bool {
	var r *RefusalError
	if !errors.As(err, &r) {
		return true // No answer: the address may be gone.
	}

	if r.Refusal.Outcome != ident.OutcomeNotRun {
		return false
	}

	switch r.Refusal.Reason {
	case ident.ReasonStaleNode, ident.ReasonLeaving, ident.ReasonOutOfService:
		return true
	default:
		return false
	}
}

func (c *Client) try(ctx context.Context, send func(addr string) error) error {
	var last error

	for attempt := range maxAttempts {
		addrs, err := c.Addresses(ctx)
		if err != nil {
			return err
		}

		err = send(addrs[attempt%len(addrs)])
		if err == nil || !movable(err) {
			return err
		}

		last = err

		if ctx.Err() != nil {
			break
		}
	}

	return last
}

// Get returns a record.
func (c *Client) Get(ctx context.Context, kind record.Kind, name string) (api.Record, error) {
	var r api.Record

	err := c.operator(ctx, fasthttp.MethodGet, recordPath(kind, name), nil, &r)

	return r, err
}

// List returns all records.
func (c *Client) List(ctx context.Context) (api.RecordList, error) {
	var l api.RecordList

	err := c.operator(ctx, fasthttp.MethodGet, "/v1/records", nil, &l)

	return l, err
}

// Watch returns all records as soon as one has changed after a position of the log, or after 25 s.
func (c *Client) Watch(ctx context.Context, after uint64) (api.RecordList, error) {
	var l api.RecordList

	err := c.operator(ctx, fasthttp.MethodGet, fmt.Sprintf("/v1/watch?after=%d", after), nil, &l)

	return l, err
}

// Put stores a new revision of a record. Sending the same operation again has no second effect.
func (c *Client) Put(ctx context.Context, kind record.Kind, name string, ch api.RecordChange) (api.RecordAnswer, error) {
	return c.change(ctx, fasthttp.MethodPut, kind, name, ch)
}

// Withdraw replaces a record with a tombstone.
func (c *Client) Withdraw(ctx context.Context, kind record.Kind, name string, ch api.RecordChange) (api.RecordAnswer, error) {
	return c.change(ctx, fasthttp.MethodDelete, kind, name, ch)
}

func (c *Client) change(ctx context.Context, method string, kind record.Kind, name string, ch api.RecordChange) (api.RecordAnswer, error) {
	var a api.RecordAnswer

	err := c.operator(ctx, method, recordPath(kind, name), ch, &a)

	return a, err
}

// Status returns the leader's view of nodes, voters and searchers.
func (c *Client) Status(ctx context.Context) (api.Status, error) {
	var s api.Status

	err := c.operator(ctx, fasthttp.MethodGet, "/v1/status", nil, &s)

	return s, err
}

// ChangeVoters changes the voter set at the leader.
func (c *Client) ChangeVoters(ctx context.Context, ch api.VoterChange) (api.VoterAnswer, error) {
	var a api.VoterAnswer

	err := c.operator(ctx, fasthttp.MethodPost, "/v1/voters", ch, &a)

	return a, err
}

// operator tries the seeds in turn. Changes carry operation ids, so sending one again is safe.
func (c *Client) operator(ctx context.Context, method, path string, body, into any) error {
	err := errors.New("no address is given")

	for _, addr := range c.seeds {
		err = c.call(ctx, method, addr, path, nil, body, into)

		var r *RefusalError
		if err == nil || errors.As(err, new(*ConflictError)) ||
			errors.As(err, &r) && r.Status < fasthttp.StatusInternalServerError {
			return err
		}
	}

	return err
}

func recordPath(kind record.Kind, name string) string {
	return "/v1/records/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

// call sends one HTTP request and decodes its answer.
func (c *Client) call(ctx context.Context, method, addr, path string, header map[string]string, body, into any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + addr + path)

	for k, v := range header {
		req.Header.Set(k, v)
	}

	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}

	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}

		req.Header.SetContentType("application/json")
		req.SetBodyRaw(data)
	}

	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}

	if err := c.http.DoDeadline(req, resp, deadline.Add(replyAllowance)); err != nil {
		return fmt.Errorf("%s %s%s: %w", method, addr, path, err)
	}

	return decode(resp, into)
}

func decode(resp *fasthttp.Response, into any) error {
	status := resp.StatusCode()
	if status == fasthttp.StatusOK {
		if err := json.Unmarshal(resp.Body(), into); err != nil {
			return fmt.Errorf("decode answer: %w", err)
		}

		return nil
	}

	if status == fasthttp.StatusConflict {
		var a api.RecordAnswer
		if json.Unmarshal(resp.Body(), &a) == nil && a.Status != "" {
			return &ConflictError{Answer: a}
		}
	}

	e := &RefusalError{Status: status}
	if err := json.Unmarshal(resp.Body(), &e.Refusal); err != nil {
		e.Refusal.Message = string(resp.Body())
	}

	return e
}
