// Package client is the HTTP client for callers and operators of a fulmarfall system. It discovers the
// addresses of entry VMs, caches them for the time that the system states, and connects to them directly.
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

const (
	defaultTimeout = 5 * time.Second
	// replyGrace extends the HTTP deadline past the timeout of a request, so that an answer or refusal sent
	// at the timeout is still received.
	replyGrace  = time.Second
	maxAttempts = 4
)

// RefusalError is an unsuccessful HTTP response with the refusal in its body.
type RefusalError struct {
	Status  int
	Refusal api.Refusal
}

// Error returns the HTTP status, the outcome, the reason and the message.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("HTTP %d, outcome %s, reason %s: %s", e.Status, e.Refusal.Outcome, e.Refusal.Reason, e.Refusal.Message)
}

// ConflictError reports that a record change was rejected and carries the current record.
type ConflictError struct{ Answer api.RecordAnswer }

// Error returns the status of the change and the current revision.
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

// New returns a client that starts from the given addresses of entry VMs, and a clean-up function that
// closes its idle connections.
func New(seeds []string, opts ...Option) (*Client, func()) {
	c := &Client{
		seeds: seeds,
		http: &fasthttp.Client{
			Name: "fulmarfall-client", MaxConnsPerHost: 1024, MaxIdleConnDuration: 10 * time.Second,
			// Disables the retries of fasthttp: Client decides which requests are safe to send again.
			MaxIdemponentCallAttempts: 1,
		},
	}
	for _, o := range opts {
		o(c)
	}

	return c, c.http.CloseIdleConnections
}

// Addresses returns the addresses of entry VMs to use. They are cached until the last answer expires;
// the cached addresses, then the seeds, are queried for new ones.
func (c *Client) Addresses(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	cached, expires := c.addresses, c.expires
	c.mu.Unlock()

	if len(cached) > 0 && time.Now().Before(expires) {
		return cached, nil
	}

	var last error

	for _, addr := range append(append([]string(nil), cached...), c.seeds...) {
		var a api.Addresses
		if err := c.send(ctx, fasthttp.MethodGet, addr, "/v1/addresses", nil, nil, &a); err != nil {
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

	return nil, fmt.Errorf("query addresses of entry VMs: %w", last)
}

// Search sends a search. If a node does not answer, or refuses it as not run because the node is stale,
// leaving or out of service, the search is sent to the next address.
func (c *Client) Search(ctx context.Context, req api.SearchRequest) (api.SearchAnswer, error) {
	var a api.SearchAnswer

	err := c.withFailOver(ctx, func(addr string) error {
		return c.send(ctx, fasthttp.MethodPost, addr, "/v1/search", nil, req, &a)
	})

	return a, err
}

// SearchAt sends a search to one address, without retries.
func (c *Client) SearchAt(ctx context.Context, addr string, req api.SearchRequest) (api.SearchAnswer, error) {
	var a api.SearchAnswer

	err := c.send(ctx, fasthttp.MethodPost, addr, "/v1/search", nil, req, &a)

	return a, err
}

// Execute sends a non-idempotent request with an idempotency key (a UUIDv7). It is retried like Search,
// which is safe because the system runs each key at most once.
func (c *Client) Execute(ctx context.Context, key string, req api.ExecuteRequest) (api.ExecuteAnswer, error) {
	var a api.ExecuteAnswer

	err := c.withFailOver(ctx, func(addr string) error {
		return c.send(ctx, fasthttp.MethodPost, addr, "/v1/execute", map[string]string{"Idempotency-Key": key}, req, &a)
	})

	return a, err
}

// ExecuteAt sends a non-idempotent request to one address, without retries.
func (c *Client) ExecuteAt(ctx context.Context, addr, key string, req api.ExecuteRequest) (api.ExecuteAnswer, error) {
	var a api.ExecuteAnswer

	err := c.send(ctx, fasthttp.MethodPost, addr, "/v1/execute", map[string]string{"Idempotency-Key": key}, req, &a)

	return a, err
}

// canFailOver reports whether a failed request may be sent to another node.
func canFailOver(err error) bool {
	var r *RefusalError
	if !errors.As(err, &r) {
		return true // No response: the address may no longer be in use.
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

func (c *Client) withFailOver(ctx context.Context, send func(addr string) error) error {
	var last error

	for attempt := range maxAttempts {
		addrs, err := c.Addresses(ctx)
		if err != nil {
			return err
		}

		err = send(addrs[attempt%len(addrs)])
		if err == nil || !canFailOver(err) {
			return err
		}

		last = err

		if ctx.Err() != nil {
			break
		}
	}

	return last
}

// Get returns the current revision of a record.
func (c *Client) Get(ctx context.Context, kind record.Kind, name string) (api.Record, error) {
	var r api.Record

	err := c.callSeeds(ctx, fasthttp.MethodGet, recordPath(kind, name), nil, &r)

	return r, err
}

// List returns all records and the log index to watch from.
func (c *Client) List(ctx context.Context) (api.RecordList, error) {
	var l api.RecordList

	err := c.callSeeds(ctx, fasthttp.MethodGet, "/v1/records", nil, &l)

	return l, err
}

// Watch waits until a record changes after the given log index, for at most 25 s, and returns all records.
func (c *Client) Watch(ctx context.Context, after uint64) (api.RecordList, error) {
	var l api.RecordList

	err := c.callSeeds(ctx, fasthttp.MethodGet, fmt.Sprintf("/v1/watch?after=%d", after), nil, &l)

	return l, err
}

// Put stores a new revision of a record. It is idempotent: an operation id takes effect once.
func (c *Client) Put(ctx context.Context, kind record.Kind, name string, ch api.RecordChange) (api.RecordAnswer, error) {
	return c.change(ctx, fasthttp.MethodPut, kind, name, ch)
}

// Withdraw replaces a record with a tombstone. It is idempotent like Put.
func (c *Client) Withdraw(ctx context.Context, kind record.Kind, name string, ch api.RecordChange) (api.RecordAnswer, error) {
	return c.change(ctx, fasthttp.MethodDelete, kind, name, ch)
}

func (c *Client) change(ctx context.Context, method string, kind record.Kind, name string, ch api.RecordChange) (api.RecordAnswer, error) {
	var a api.RecordAnswer

	err := c.callSeeds(ctx, method, recordPath(kind, name), ch, &a)

	return a, err
}

// Status returns the leader's view of the nodes, voters and searchers.
func (c *Client) Status(ctx context.Context) (api.Status, error) {
	var s api.Status

	err := c.callSeeds(ctx, fasthttp.MethodGet, "/v1/status", nil, &s)

	return s, err
}

// ChangeVoters changes the voter set. Only the leader serves it; the seeds are tried until one accepts.
func (c *Client) ChangeVoters(ctx context.Context, ch api.VoterChange) (api.VoterAnswer, error) {
	var a api.VoterAnswer

	err := c.callSeeds(ctx, fasthttp.MethodPost, "/v1/voters", ch, &a)

	return a, err
}

// callSeeds sends a request to the seeds in turn, until one answers with a status below 500 or a conflict.
// Record changes carry operation ids, so sending one again is safe.
func (c *Client) callSeeds(ctx context.Context, method, path string, body, result any) error {
	err := errors.New("no addresses configured")

	for _, addr := range c.seeds {
		err = c.send(ctx, method, addr, path, nil, body, result)

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

// send sends one HTTP request and decodes the response into result. Without a deadline in ctx,
// defaultTimeout applies.
func (c *Client) send(ctx context.Context, method, addr, path string, header map[string]string, body, result any) error {
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

	if err := c.http.DoDeadline(req, resp, deadline.Add(replyGrace)); err != nil {
		return fmt.Errorf("%s %s%s: %w", method, addr, path, err)
	}

	return decode(resp, result)
}

func decode(resp *fasthttp.Response, result any) error {
	status := resp.StatusCode()
	if status == fasthttp.StatusOK {
		if err := json.Unmarshal(resp.Body(), result); err != nil {
			return fmt.Errorf("decode response: %w", err)
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
