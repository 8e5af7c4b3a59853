// Connections from an owner to its searchers. The gate decides how many are open. A connection is reused only after
// the previous response was read completely, so that a late response is never attributed to another request.

package node

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"fulmarfall/response"
	"fulmarfall/sockets"
)

// Limits of the connections to a searcher.
const (
	dialTimeout    = 500 * time.Millisecond
	maxReplyBytes  = 4 << 20
	connBufferSize = 4096
	// The number of concurrently read replies is unlimited up to largeReplyThreshold and limited to maxLargeReplies above
	// it. Searchers that send endless replies can therefore use 16 MiB of a process, and as much again while the buffers
	// grow.
	largeReplyThreshold = 64 << 10
	maxLargeReplies     = 4
)

// exchangeError reports a failed call to a searcher. The searcher may have received the request.
type exchangeError struct {
	timeout bool
	// partial is set if an incomplete or malformed response was received. The searcher was alive when it responded, so
	// the failure is not evidence that the request crashed it.
	partial bool
	err     error
}

func (e *exchangeError) Error() string { return e.err.Error() }
func (e *exchangeError) Unwrap() error { return e.err }

// searcherConn is a connection to a searcher. It carries one request at a time.
type searcherConn struct {
	conn  net.Conn
	r     *bufio.Reader
	reply *replyReader
}

// replyReader counts the bytes of a reply and limits the number of large replies that the process reads concurrently.
type replyReader struct {
	sockets.CountingReader // N counts the bytes received since the request was sent

	sem      chan struct{} // counting semaphore, one element per large reply
	acquired bool
}

// errTooManyLargeReplies aborts a reply that exceeds largeReplyThreshold while maxLargeReplies others are being read.
var errTooManyLargeReplies = errors.New("too many large replies are being read")

// Read implements io.Reader. It fails with errTooManyLargeReplies instead of waiting for another large reply to finish.
func (r *replyReader) Read(b []byte) (int, error) {
	if r.N > largeReplyThreshold && !r.acquired {
		select {
		case r.sem <- struct{}{}:
			r.acquired = true
		default:
			return 0, errTooManyLargeReplies
		}
	}

	return r.CountingReader.Read(b)
}

// release frees the semaphore slot of a large reply. It must be called after each reply.
func (r *replyReader) release() {
	if r.acquired {
		<-r.sem
		r.acquired = false
	}
}

// dialSearcher opens a connection and returns it with the function that closes it. All connections of the process share
// largeReplySem.
func dialSearcher(ctx context.Context, addr string, largeReplySem chan struct{}) (*searcherConn, func(), error) {
	d := net.Dialer{Timeout: dialTimeout}

	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, nil, fmt.Errorf("connect to searcher: %w", err)
	}

	in := &replyReader{CountingReader: sockets.CountingReader{R: c}, sem: largeReplySem}
	sc := &searcherConn{conn: c, r: bufio.NewReaderSize(in, connBufferSize), reply: in}

	return sc, sc.close, nil
}

func (c *searcherConn) close() {
	// The connection is discarded, so a close error has no consequence.
	_ = c.conn.Close()
}

// stale reports whether the peer has closed the idle connection or sent unsolicited bytes. A request sent on a stale
// connection would fail as if it had crashed the searcher.
func (c *searcherConn) stale() bool { return c.r.Buffered() > 0 || !sockets.IsIdle(c.conn) }

// exchange sends a request and reads the complete response. It never sends a request twice. The caller must release
// c.reply once it no longer needs the response.
func (c *searcherConn) exchange(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	if err := c.conn.SetDeadline(deadline); err != nil {
		return &exchangeError{err: fmt.Errorf("set deadline: %w", err)}
	}

	c.reply.N = 0
	w := bufio.NewWriterSize(c.conn, connBufferSize)

	err := req.Write(w)
	if err == nil {
		err = w.Flush()
	}

	if err == nil {
		err = c.readResponse(resp)
	}

	if err != nil {
		return &exchangeError{timeout: sockets.IsTimeout(err), partial: c.reply.N > 0, err: fmt.Errorf("call searcher: %w", err)}
	}

	return nil
}

// readResponse reads the final response.
func (c *searcherConn) readResponse(resp *fasthttp.Response) error {
	if err := response.ReadHead(c.r, &resp.Header); err != nil {
		return errors.Wrap(err, "read head")
	}

	if status := resp.StatusCode(); status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}

	chunked := resp.Header.ContentLength() == response.ChunkedLength

	if err := resp.ReadBody(c.r, maxReplyBytes); err != nil {
		return errors.Wrap(err, "read body")
	}

	if !chunked {
		return nil
	}

	if err := response.ReadTrailer(c.r, &resp.Header); err != nil {
		return errors.Wrap(err, "read trailer")
	}

	return nil
}
