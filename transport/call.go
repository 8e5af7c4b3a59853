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

// Delivery says whether a peer can have handled the message of a failed call.
type Delivery uint8

// NotSent promises that the peer's handler has not seen the message and never
// will. Unknown promises nothing.
const (
	Unknown Delivery = iota
	NotSent
)

// String returns the name of the delivery in messages.
func (d Delivery) String() string {
	if d == NotSent {
		return "not sent"
	}

	return "delivery unknown"
}

// CallError is the error of a failed call.
type CallError struct {
	To       ident.NodeID
	Delivery Delivery
	Err      error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("call %s: %s: %v", e.To, e.Delivery, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// IsNotSent tells whether err proves that the peer has not handled the message.
func IsNotSent(err error) bool {
	var call *CallError

	return errors.As(err, &call) && call.Delivery == NotSent
}

// ErrClosed is wrapped when this node's transport shuts down.
var ErrClosed = errors.New("transport is closed")

// A call moves to another connection when the peer ends the one it is on, and
// gives up when this happens again and again.
const maxMoves = 4

// Call sends m to a peer and returns its reply. Errors are *CallError.
func (t *Transport) Call(ctx context.Context, to ident.NodeID, addr string, m wire.Message) (wire.Message, error) {
	var err error

	for range maxMoves {
		var c *conn

		if c, err = t.peer(to).connect(ctx, addr); err != nil {
			break
		}

		if !c.begin() {
			t.forget(c)
			err = ErrLeaving

			continue
		}

		reply, delivery, callErr := c.call(ctx, m)
		c.end()

		if callErr == nil {
			return reply, nil
		}

		if delivery == Unknown {
			if errors.Is(callErr, context.DeadlineExceeded) && c.noteTimeout() {
				t.stats.replaced.Add(1)
				t.leaveSoon(c)
			}

			return nil, &CallError{To: to, Delivery: Unknown, Err: callErr}
		}

		err = callErr

		if errors.Is(err, ErrLeaving) {
			t.forget(c)

			continue
		}

		// A connection that ended before the message was complete is replaced.
		if c.qc.Context().Err() == nil || ctx.Err() != nil {
			break
		}

		t.forget(c)
	}

	return nil, &CallError{To: to, Delivery: NotSent, Err: err}
}

// Send queues m for a peer without waiting and tells whether it found room.
// Messages to one peer arrive in order, but any of them can be lost.
func (t *Transport) Send(to ident.NodeID, addr string, m wire.Message) bool {
	if t.peer(to).enqueue(addr, m) {
		return true
	}

	t.stats.dropped.Add(1)

	return false
}

// peer holds what this node keeps of another one.
type peer struct {
	t    *Transport
	node ident.NodeID

	mu      sync.Mutex
	conn    *conn
	dial    *dial
	failed  error
	retryAt time.Time
	// late counts the dials in a row that ran out of time.
	late  int
	sends chan sendItem
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

// connect returns the connection in use or waits for a new one. The dial goes
// on when ctx ends, because other calls may wait for it.
func (p *peer) connect(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()

	if p.conn != nil && p.conn.usable() {
		defer p.mu.Unlock()

		return p.conn, nil
	}

	d := p.dial
	if d == nil {
		if p.t.isLeaving() {
			defer p.mu.Unlock()

			return nil, ErrClosed
		}

		if time.Now().Before(p.retryAt) {
			defer p.mu.Unlock()

			return nil, p.failed
		}

		d = &dial{done: make(chan struct{})}
		timeout := p.t.dialTimeout << min(p.late, maxDialDoublings)
		started := p.t.spawn(func(ctx context.Context) {
			d.conn, d.err = p.t.dial(ctx, p.node, addr, timeout)
			p.dialled(d)
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

func (p *peer) dialled(d *dial) {
	if d.err == nil {
		p.adopt(d.conn)
	}

	p.mu.Lock()
	p.dial = nil

	if d.err == nil {
		p.late = 0
	} else {
		p.t.stats.dialFailures.Add(1)
		p.failed, p.retryAt = d.err, time.Now().Add(redialPause)

		if sockets.IsTimeout(d.err) {
			p.late++
		}
	}

	p.mu.Unlock()
	close(d.done)
}

// maxDialDoublings bounds the timeout of a dial, at four times the first one. A peer to which hundreds of nodes dial at
// once, as after the start of all machines, needs seconds for all handshakes; dials that give up before it comes to them
// are work for nothing, and begin again.
const maxDialDoublings = 2

func (t *Transport) dial(ctx context.Context, to ident.NodeID, addr string, timeout time.Duration) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	remote, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", addr)
	}

	qc, err := t.quic.Dial(ctx, remote, t.identity.clientConfig(to), t.config(true, timeout))
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", addr)
	}

	t.stats.dials.Add(1)

	c, err := newConn(t, qc, true)
	if err != nil {
		_ = qc.CloseWithError(closeWrongPeer, err.Error())

		return nil, errors.Wrapf(err, "connect to %s", addr)
	}

	if !t.add(c) {
		_ = qc.CloseWithError(closeLeaving, ErrLeaving.Error())

		return nil, ErrClosed
	}

	// The handshake of this side ends before the peer has judged this node's
	// certificate. Calls wait for the peer's word, so that they are never lost to a refusal.
	select {
	case <-c.ready:
		return c, nil
	case <-qc.Context().Done():
		return nil, errors.Wrapf(closeReason(qc), "connect to %s", addr)
	case <-ctx.Done():
		_ = qc.CloseWithError(closeDone, "")

		return nil, errors.Wrapf(ctx.Err(), "connect to %s", addr)
	}
}

// closeReason returns the error that ended a connection.
func closeReason(qc *quic.Conn) error {
	_, err := qc.OpenStream()

	var app *quic.ApplicationError
	if errors.As(err, &app) && app.ErrorCode == closeLeaving {
		return ErrLeaving
	}

	return err
}

// adopt puts a new connection to use. When both sides dialled at once, both
// keep the connection that the smaller node id dialled.
func (p *peer) adopt(c *conn) {
	p.mu.Lock()
	old := p.conn

	if old != nil && old.usable() && old.dialled != c.dialled && c.since.Sub(old.since) < crossedDials {
		if (p.t.identity.Node() < p.node) == old.dialled {
			old, c = c, old
		}
	}

	p.conn = c
	p.mu.Unlock()

	if old != nil {
		p.t.leaveSoon(old)
	}
}

func (p *peer) forget(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.conn == c {
		p.conn = nil
	}
}

func (p *peer) enqueue(addr string, m wire.Message) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.sends == nil {
		p.sends = make(chan sendItem, p.t.sendQueue)
		if !p.t.spawn(p.sendLoop) {
			p.sends = nil

			return false
		}
	}

	select {
	case p.sends <- sendItem{addr: addr, m: m}:
		return true
	default:
		return false
	}
}

// sendLoop writes the queued messages to one stream, on a new connection when the old one ends.
func (p *peer) sendLoop(ctx context.Context) {
	var (
		c *conn
		s *quic.SendStream
	)

	for {
		var item sendItem

		select {
		case item = <-p.sends:
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

				c, s, err = p.openSends(ctx, item.addr)
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

func (p *peer) openSends(ctx context.Context, addr string) (*conn, *quic.SendStream, error) {
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

	if _, err := s.Write([]byte{streamSend}); err != nil {
		return nil, nil, errors.Wrap(err, "open stream")
	}

	return c, s, nil
}
