// This file holds the connections of an owner to its searchers. The pool counts every open connection
// against the announced limit, and a connection returns to the pool only after the answer to the
// request on it was read in full, so that a late answer cannot reach another request.

package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Limits of the connections to a searcher.
const (
	dialTimeout      = 500 * time.Millisecond
	maxReplyBytes    = 4 << 20
	maxIdleTime      = 20 * time.Second
	connBufferSize   = 4096
	warmConnsPerSlot = 1
)

// sendStage tells how far a request got before its call failed.
type sendStage int

const (
	stageNotSent sendStage = iota
	stageSent
)

// connError is a failed call to a searcher. Stage tells whether the searcher can have seen the request.
type connError struct {
	stage   sendStage
	timeout bool
	err     error
}

func (e *connError) Error() string { return e.err.Error() }
func (e *connError) Unwrap() error { return e.err }

// errNoConnection means that every connection that the searcher allows is in use.
var errNoConnection = errors.New("connection limit of the searcher is reached")

// searcherConn is one connection with its buffered reader.
type searcherConn struct {
	net.Conn
	r        *bufio.Reader
	lastUsed time.Time
}

// connPool holds the connections to one searcher.
type connPool struct {
	addr  string
	limit int

	mu     sync.Mutex
	idle   []*searcherConn
	open   int
	closed bool
}

// newConnPool returns a pool and a clean-up function that closes the idle connections.
func newConnPool(addr string, limit int) (*connPool, func()) {
	p := &connPool{addr: addr, limit: limit}

	return p, p.close
}

func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.closed = true
	for _, c := range p.idle {
		p.discardLocked(c)
	}

	p.idle = nil
}

func (p *connPool) discardLocked(c *searcherConn) {
	p.open--
	// The connection is given up; an error on closing it changes nothing.
	_ = c.Close()
}

func (p *connPool) discard(c *searcherConn) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.discardLocked(c)
}

// acquire returns an idle connection or opens a new one within the limit.
func (p *connPool) acquire(ctx context.Context, now time.Time) (*searcherConn, error) {
	p.mu.Lock()

	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]

		if now.Sub(c.lastUsed) < maxIdleTime {
			p.mu.Unlock()

			return c, nil
		}

		p.discardLocked(c)
	}

	if p.closed || p.open >= p.limit {
		p.mu.Unlock()

		return nil, errNoConnection
	}

	p.open++
	p.mu.Unlock()

	return p.dial(ctx)
}

// dial opens a connection that open already counts.
func (p *connPool) dial(ctx context.Context) (*searcherConn, error) {
	d := net.Dialer{Timeout: dialTimeout}

	c, err := d.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()

		return nil, fmt.Errorf("connect to searcher: %w", err)
	}

	return &searcherConn{Conn: c, r: bufio.NewReaderSize(c, connBufferSize)}, nil
}

func (p *connPool) release(c *searcherConn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.closed {
		p.discardLocked(c)

		return
	}

	c.lastUsed = now
	p.idle = append(p.idle, c)
}

// warm opens connections ahead of use, because opening one costs up to several milliseconds.
func (p *connPool) warm(ctx context.Context, want int, now time.Time) error {
	for {
		p.mu.Lock()

		if p.closed || p.open >= want || p.open >= p.limit {
			p.mu.Unlock()

			return nil
		}

		p.open++
		p.mu.Unlock()

		c, err := p.dial(ctx)
		if err != nil {
			return err
		}

		p.release(c, now)
	}
}

// call sends one request and reads its whole answer. It never sends a request twice.
func (p *connPool) call(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	c, err := p.acquire(ctx, time.Now())
	if err != nil {
		return &connError{stage: stageNotSent, err: err}
	}

	if err := c.SetDeadline(deadline); err != nil {
		p.discard(c)

		return &connError{stage: stageNotSent, err: fmt.Errorf("set deadline: %w", err)}
	}

	if err := exchange(c, req, resp); err != nil {
		p.discard(c)

		var ne net.Error

		return &connError{stage: stageSent, timeout: errors.As(err, &ne) && ne.Timeout(), err: err}
	}

	if resp.ConnectionClose() {
		p.discard(c)

		return nil
	}

	p.release(c, time.Now())

	return nil
}

func exchange(c *searcherConn, req *fasthttp.Request, resp *fasthttp.Response) error {
	w := bufio.NewWriterSize(c, connBufferSize)
	if err := req.Write(w); err != nil {
		return fmt.Errorf("write request: %w", err)
	}

	if err := w.Flush(); err != nil {
		return fmt.Errorf("write request: %w", err)
	}

	if err := resp.ReadLimitBody(c.r, maxReplyBytes); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}

	return nil
}
