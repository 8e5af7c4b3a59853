// This file holds the connections of an owner to its searchers. The gate decides how many there are;
// a connection goes back to use only after the answer to the request on it was read in full, so that
// a late answer cannot reach another request.

package node

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"fulmarfall/sockets"
)

// Limits of the connections to a searcher.
const (
	dialTimeout    = 500 * time.Millisecond
	maxReplyBytes  = 4 << 20
	connBufferSize = 4096
)

// exchangeError is a failed call to a searcher. The request can have reached the searcher.
type exchangeError struct {
	timeout bool
	err     error
}

func (e *exchangeError) Error() string { return e.err.Error() }
func (e *exchangeError) Unwrap() error { return e.err }

// searcherConn is one connection with its buffered reader.
type searcherConn struct {
	conn net.Conn
	r    *bufio.Reader
}

// dialSearcher opens a connection and returns it with the function that closes it.
func dialSearcher(ctx context.Context, addr string) (*searcherConn, func(), error) {
	d := net.Dialer{Timeout: dialTimeout}

	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, nil, fmt.Errorf("connect to searcher: %w", err)
	}

	sc := &searcherConn{conn: c, r: bufio.NewReaderSize(c, connBufferSize)}

	return sc, sc.close, nil
}

func (c *searcherConn) close() {
	// The connection is given up; an error on closing it changes nothing.
	_ = c.conn.Close()
}

// stale reports whether the other side has closed an idle connection or sent bytes that nobody asked
// for. A request on such a connection would look as if it had crashed the searcher.
func (c *searcherConn) stale() bool { return c.r.Buffered() > 0 || !sockets.Quiet(c.conn) }

// exchange sends one request and reads its whole answer. It never sends a request twice.
func (c *searcherConn) exchange(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	if err := c.conn.SetDeadline(deadline); err != nil {
		return &exchangeError{err: fmt.Errorf("set deadline: %w", err)}
	}

	w := bufio.NewWriterSize(c.conn, connBufferSize)

	err := req.Write(w)
	if err == nil {
		err = w.Flush()
	}

	if err == nil {
		err = resp.ReadLimitBody(c.r, maxReplyBytes)
	}

	if err != nil {
		return &exchangeError{timeout: sockets.IsTimeout(err), err: fmt.Errorf("call searcher: %w", err)}
	}

	return nil
}
