package transport

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"time"

	"fulmarfall/ident"
	"fulmarfall/sockets"
	"fulmarfall/wire"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
)

// Delivery states whether the peer may have handled the message of a failed call.
type Delivery uint8

// NotSent guarantees that the peer's handler has not received the message and never will, so that a retry is safe.
// DeliveryUnknown guarantees nothing.
const (
	DeliveryUnknown Delivery = iota
	NotSent
)

// String implements fmt.Stringer.
func (d Delivery) String() string {
	if d == NotSent {
		return "not sent"
	}

	return "delivery unknown"
}

// CallError is the type of every error that Transport.Call returns.
type CallError struct {
	To       ident.NodeID
	Delivery Delivery
	Err      error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("call %s: %s: %v", e.To, e.Delivery, e.Err)
}

// Unwrap returns the underlying error.
func (e *CallError) Unwrap() error { return e.Err }

// IsNotSent reports whether err guarantees that the peer has not handled the message.
func IsNotSent(err error) bool {
	var call *CallError

	return errors.As(err, &call) && call.Delivery == NotSent
}

// ErrClosed is wrapped when a call needs a new connection while the local transport is shutting down.
var ErrClosed = errors.New("transport is closed")

// maxCallAttempts limits the number of connections on which a call is tried. It is retried only if a connection was closed
// or drained before the message was delivered.
const maxCallAttempts = 4

// Call sends m to a peer and returns its reply. It dials addr if there is no open connection to the peer. Errors are of
// type *CallError.
func (t *Transport) Call(ctx context.Context, to ident.NodeID, addr string, m wire.Message) (wire.Message, error) {
	var err error

	for range maxCallAttempts {
		var c *conn

		c, err = t.peer(to).connect(ctx, addr)
		if errors.Is(err, errSuperseded) {
			continue
		}

		if err != nil {
			break
		}

		if !c.beginCall() {
			t.retire(c)
			err = ErrDraining

			continue
		}

		reply, delivery, callErr := c.call(ctx, m)
		c.endCall()

		if callErr == nil {
			return reply, nil
		}

		if delivery == DeliveryUnknown {
			if errors.Is(callErr, context.DeadlineExceeded) && c.recordTimeout() {
				t.stats.replaced.Add(1)
				t.drainAsync(c)
			}

			return nil, &CallError{To: to, Delivery: DeliveryUnknown, Err: callErr}
		}

		err = callErr

		if errors.Is(err, ErrDraining) {
			t.retire(c)

			continue
		}

		// Retry on a new connection only if the old one was closed before the message was complete.
		if c.qc.Context().Err() == nil || ctx.Err() != nil {
			break
		}

		t.retire(c)
	}

	return nil, &CallError{To: to, Delivery: NotSent, Err: err}
}

// RoundTripTime returns the measured round-trip time to a peer, or 0 if there is no connection.
func (t *Transport) RoundTripTime(to ident.NodeID) time.Duration {
	p := t.peer(to)

	p.mu.Lock()
	defer p.mu.Unlock()

	if p.conn == nil || !p.conn.usable() {
		return 0
	}

	return p.conn.qc.ConnectionStats().SmoothedRTT
}

// Send queues a best-effort message without blocking and reports whether the send queue of the peer had room for it.
// Messages to one peer arrive in order, but any of them may be lost.
func (t *Transport) Send(to ident.NodeID, addr string, m wire.Message) bool {
	if t.peer(to).enqueue(addr, m) {
		return true
	}

	t.stats.dropped.Add(1)

	return false
}

// peer is the connection and send queue of one remote node.
type peer struct {
	t    *Transport
	node ident.NodeID

	mu      sync.Mutex
	conn    *conn
	dial    *dial
	dialErr error
	retryAt time.Time
	// dialTimeouts counts consecutive dials that timed out.
	dialTimeouts int
	sendQueue    chan sendItem
}

type dial struct {
	done chan struct{}
	conn *conn
	err  error
}

type sendItem struct {
	addr string
	m    wire.Message
}

// connect returns the current connection or waits for a new one. Concurrent callers share one dial, so it continues
// after ctx is done.
func (p *peer) connect(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()

	if p.conn != nil && p.conn.usable() {
		defer p.mu.Unlock()

		return p.conn, nil
	}

	d := p.dial
	if d == nil {
		if p.t.isDraining() {
			defer p.mu.Unlock()

			return nil, ErrClosed
		}

		if time.Now().Before(p.retryAt) {
			defer p.mu.Unlock()

			return nil, p.dialErr
		}

		d = &dial{done: make(chan struct{})}
		timeout := p.t.dialTimeout << min(p.dialTimeouts, maxDialDoublings)
		started := p.t.spawn(func(ctx context.Context) {
			d.conn, d.err = p.t.dial(ctx, p.node, addr, timeout)
			p.dialDone(d)
		})

		if !started {
			defer p.mu.Unlock()

			return nil, ErrClosed
		}

		p.dial = d
	}
	p.mu.Unlock()

	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for connection")
	}
}

func (p *peer) dialDone(d *dial) {
	if d.err == nil {
		p.replaceConn(d.conn)
	}

	p.mu.Lock()
	p.dial = nil

	switch {
	case d.err == nil:
		p.dialTimeouts = 0
	case errors.Is(d.err, errSuperseded): // not a failure: the next call may dial at once
	default:
		p.t.stats.dialFailures.Add(1)
		p.dialErr, p.retryAt = d.err, time.Now().Add(redialDelay)

		if sockets.IsTimeout(d.err) {
			p.dialTimeouts++
		}
	}

	p.mu.Unlock()
	close(d.done)
}

// maxDialDoublings limits the dial timeout, which doubles after each consecutive timeout, to four times its initial value.
// When all machines start together, hundreds of nodes dial a peer at once and it needs seconds for all handshakes. With a
// fixed timeout, dials expire before the peer gets to them and start again, which only adds load.
const maxDialDoublings = 2

func (t *Transport) dial(ctx context.Context, to ident.NodeID, addr string, timeout time.Duration) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	remote, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", addr)
	}

	qc, err := t.quic.Dial(ctx, remote, t.identity.clientConfig(to), t.quicConfig(true, timeout))
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", addr)
	}

	t.stats.dials.Add(1)

	c, err := newConn(t, qc, true)
	if err != nil {
		_ = qc.CloseWithError(closeWrongPeer, err.Error())

		return nil, errors.Wrapf(err, "connect to %s", addr)
	}

	if !t.addConn(c) {
		_ = qc.CloseWithError(closeDraining, ErrDraining.Error())

		return nil, ErrClosed
	}

	// In TLS 1.3 the dialling side completes the handshake before the peer has verified its certificate. Wait until the
	// peer confirms, because a call sent earlier would be lost if the peer rejects the certificate.
	select {
	case <-c.ready:
		return c, nil
	case <-qc.Context().Done():
		return nil, errors.Wrapf(closeReason(qc), "connect to %s", addr)
	case <-ctx.Done():
		_ = qc.CloseWithError(closeNormal, "")

		return nil, errors.Wrapf(ctx.Err(), "connect to %s", addr)
	}
}

// closeReason returns the error with which a connection was closed.
func closeReason(qc *quic.Conn) error {
	_, err := qc.OpenStream()

	var app *quic.ApplicationError

	switch {
	case !errors.As(err, &app) || !app.Remote:
		return err
	case app.ErrorCode == closeDraining:
		return ErrDraining
	case app.ErrorCode == closeNormal:
		return errSuperseded
	default:
		return err
	}
}

// replaceConn makes c the current connection and drains the former one. If both sides dialled at the same time, both keep
// the connection that the smaller node id dialled.
func (p *peer) replaceConn(c *conn) {
	p.mu.Lock()
	old := p.conn

	if old != nil && old.usable() && old.dialled != c.dialled && c.openedAt.Sub(old.openedAt) < simultaneousDialWindow {
		if (p.t.identity.Node() < p.node) == old.dialled {
			old, c = c, old
		}
	}

	p.conn = c
	p.mu.Unlock()

	if old != nil {
		p.t.drainAsync(old)
	}
}

func (p *peer) retire(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.conn == c {
		p.conn = nil
	}
}

func (p *peer) enqueue(addr string, m wire.Message) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.sendQueue == nil {
		p.sendQueue = make(chan sendItem, p.t.sendQueueSize)
		if !p.t.spawn(p.sendLoop) {
			p.sendQueue = nil

			return false
		}
	}

	select {
	case p.sendQueue <- sendItem{addr: addr, m: m}:
		return true
	default:
		return false
	}
}

// sendLoop writes queued messages to one stream and opens a new one when its connection is closed or drained.
func (p *peer) sendLoop(ctx context.Context) {
	var (
		c *conn
		s *quic.SendStream
	)

	for {
		var item sendItem

		select {
		case item = <-p.sendQueue:
		case <-ctx.Done():
			return
		}

		frame, err := wire.AppendFrame(make([]byte, lengthBytes, lengthBytes+wire.HeaderBytes+item.m.Msgsize()), item.m)
		if err == nil {
			binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthBytes))

			if s == nil || !c.usable() {
				if s != nil {
					_ = s.Close()
				}

				c, s, err = p.openSendStream(ctx, item.addr)
			}
		}

		if err == nil {
			_, err = s.Write(frame)
		}

		if err != nil {
			s = nil
			p.t.stats.dropped.Add(1)
		}
	}
}

func (p *peer) openSendStream(ctx context.Context, addr string) (*conn, *quic.SendStream, error) {
	ctx, cancel := context.WithTimeout(ctx, p.t.dialTimeout)
	defer cancel()

	c, err := p.connect(ctx, addr)
	if err != nil {
		return nil, nil, err
	}

	s, err := c.qc.OpenUniStreamSync(ctx)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open stream")
	}

	if _, err := s.Write([]byte{streamMessages}); err != nil {
		return nil, nil, errors.Wrap(err, "open stream")
	}

	return c, s, nil
}
