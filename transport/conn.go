package transport

import (
	"context"
	"crypto/x509"
	"encoding/binary"
	"fmt"
	"io"
	"sync"
	"time"

	"fulmarfall/ident"
	"fulmarfall/wire"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
)

// Error codes of reset streams. When the peer resets a stream with codeDraining, codeBusy or codeMalformed, its handler
// has not received the message.
const (
	codeCancelled quic.StreamErrorCode = iota + 1
	codeDraining
	codeBusy
	codeMalformed
	codeReplyFailed
)

// Application error codes of closed connections.
const (
	closeNormal quic.ApplicationErrorCode = iota
	closeDraining
	closeWrongPeer
)

// Types of unidirectional streams, given by the first byte.
const (
	streamReady    byte = iota // acceptor to dialler: the handshake is complete on both sides
	streamMessages             // best-effort messages, each with a 4-byte big-endian length prefix
	streamDraining             // the sender accepts no new calls on this connection
	streamDrained              // the sender has no outgoing calls left on this connection
)

const (
	lengthBytes = 4
	// Limits how long a stalled peer can occupy a stream and a call slot while a frame is read or written.
	frameTimeout = 10 * time.Second
	// Number of consecutive call timeouts, with no packet from the peer in between, after which the connection is
	// replaced. A single timeout may only mean that the peer is slow.
	maxSilentTimeouts = 3
)

// Errors of calls that the peer refused without handling the message.
var (
	ErrDraining  = errors.New("peer takes no new calls")
	ErrBusy      = errors.New("peer has too many calls")
	ErrMalformed = errors.New("peer cannot decode the message")
)

// errSuperseded is the error of a dial whose connection the peer has closed as superfluous: it has another one to this node,
// or replaces its connections because of new keys.
var errSuperseded = errors.New("peer closed the new connection")

// conn is a connection to a peer, dialled by either side.
type conn struct {
	t        *Transport
	qc       *quic.Conn
	peer     ident.NodeID
	chain    []*x509.Certificate
	dialled  bool
	openedAt time.Time

	ready       chan struct{} // closed when the accepting side has confirmed the handshake
	peerDrained chan struct{} // closed when the peer has no outgoing calls left on this connection

	mu             sync.Mutex
	outgoing       int  // outgoing calls in flight
	outgoingClosed bool // no new outgoing calls on this connection
	incomingClosed bool // no new calls from the peer on this connection
	peerDraining   bool
	drainedSent    bool
	idle           chan struct{} // closed when outgoingClosed is set and outgoing is 0
	lastPackets    uint64        // packets received up to the last call timeout
	silentTimeouts int
}

func newConn(t *Transport, qc *quic.Conn, dialled bool) (*conn, error) {
	chain := qc.ConnectionState().TLS.PeerCertificates
	if len(chain) == 0 {
		return nil, errors.New("peer has no certificate")
	}

	node, err := NodeOf(chain[0])
	if err != nil {
		return nil, err
	}

	return &conn{
		t: t, qc: qc, peer: node, chain: chain, dialled: dialled, openedAt: time.Now(),
		ready: make(chan struct{}), peerDrained: make(chan struct{}), idle: make(chan struct{}),
	}, nil
}

// beginCall registers an outgoing call. It returns false if the connection accepts no new calls.
func (c *conn) beginCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.outgoingClosed || c.qc.Context().Err() != nil {
		return false
	}

	c.outgoing++

	return true
}

func (c *conn) endCall() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.outgoing--
	c.signalIdle()
}

// signalIdle closes idle, and notifies a draining peer, once the last outgoing call has ended. c.mu must be held.
func (c *conn) signalIdle() {
	if !c.outgoingClosed || c.outgoing > 0 {
		return
	}

	select {
	case <-c.idle:
	default:
		close(c.idle)
	}

	if c.peerDraining && !c.drainedSent {
		c.drainedSent = true
		c.t.sendControlAsync(c, streamDrained)
	}
}

func (c *conn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return !c.outgoingClosed && c.qc.Context().Err() == nil
}

// closeOutgoing stops new outgoing calls; peerDraining is set if the peer requested it.
func (c *conn) closeOutgoing(peerDraining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.outgoingClosed = true
	c.peerDraining = c.peerDraining || peerDraining
	c.signalIdle()
}

// drain closes the connection gracefully: it refuses new calls, notifies the peer and waits until the calls of both sides
// have ended or ctx is done.
func (c *conn) drain(ctx context.Context) {
	c.mu.Lock()
	again := c.incomingClosed
	c.incomingClosed = true
	c.mu.Unlock()

	if !again {
		c.t.retire(c)
		c.closeOutgoing(false)
		c.t.sendControlAsync(c, streamDraining)
	}

	for _, done := range []chan struct{}{c.idle, c.peerDrained} {
		select {
		case <-done:
		case <-c.qc.Context().Done():
			return
		case <-ctx.Done():
		}
	}

	_ = c.qc.CloseWithError(closeNormal, "")
}

// sendControl sends a control message: a unidirectional stream that consists of only its type byte.
func (c *conn) sendControl(ctx context.Context, kind byte) {
	s, err := c.qc.OpenUniStreamSync(ctx)
	if err != nil {
		return // The connection is closed, so the peer no longer needs the message.
	}

	_, _ = s.Write([]byte{kind})
	_ = s.Close()
}

// recordTimeout counts a call timeout and reports whether the connection must be replaced because nothing has arrived from
// the peer for several timeouts.
func (c *conn) recordTimeout() (replace bool) {
	n := c.qc.ConnectionStats().PacketsReceived

	c.mu.Lock()
	defer c.mu.Unlock()

	if n != c.lastPackets {
		c.lastPackets, c.silentTimeouts = n, 0
	}

	c.silentTimeouts++

	return c.silentTimeouts >= maxSilentTimeouts
}

// call sends a message and waits for the reply. Until the write side of the stream is closed, delivery is NotSent, because
// the peer discards incomplete frames.
func (c *conn) call(ctx context.Context, m wire.Message) (wire.Message, Delivery, error) {
	s, err := c.qc.OpenStreamSync(ctx)
	if err != nil {
		return nil, NotSent, errors.Wrap(err, "open stream")
	}

	stop := context.AfterFunc(ctx, func() {
		s.CancelRead(codeCancelled)
		s.CancelWrite(codeCancelled)
	})
	defer stop()

	if err := writeFrame(s, m); err != nil {
		s.CancelWrite(codeCancelled)
		s.CancelRead(codeCancelled)

		if refusal := refusalError(err); refusal != nil {
			err = refusal
		}

		return nil, NotSent, errors.Wrap(withContextError(ctx, err), "write message")
	}

	if err := s.Close(); err != nil {
		s.CancelRead(codeCancelled)

		// The error of Close does not contain the code with which the peer reset the stream.
		if refusal := refusalError(context.Cause(s.Context())); refusal != nil {
			err = refusal
		}

		return nil, NotSent, errors.Wrap(withContextError(ctx, err), "end message")
	}

	reply, err := readFrame(s)
	if err != nil {
		s.CancelRead(codeCancelled)

		if refusal := refusalError(err); refusal != nil {
			return nil, NotSent, refusal
		}

		return nil, DeliveryUnknown, errors.Wrap(withContextError(ctx, err), "read reply")
	}

	answer, err := wire.Decode(reply)
	if err != nil {
		return nil, DeliveryUnknown, errors.Wrap(err, "read reply")
	}

	return answer, DeliveryUnknown, nil
}

func withContextError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fmt.Errorf("%w (%w)", ctx.Err(), err)
	}

	return err
}

// refusalError maps the error code of a stream that the peer reset before its handler received the message. It returns nil
// for other errors.
func refusalError(err error) error {
	var reset *quic.StreamError
	if !errors.As(err, &reset) || !reset.Remote {
		return nil
	}

	switch reset.ErrorCode {
	case codeDraining:
		return ErrDraining
	case codeBusy:
		return ErrBusy
	case codeMalformed:
		return ErrMalformed
	default:
		return nil
	}
}

// acceptCalls serves the bidirectional streams that the peer opens, until the connection is closed.
func (c *conn) acceptCalls(ctx context.Context) {
	for {
		s, err := c.qc.AcceptStream(ctx)
		if err != nil {
			return
		}

		c.t.spawn(func(ctx context.Context) { c.serveCall(ctx, s) })
	}
}

func (c *conn) serveCall(ctx context.Context, s *quic.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	stop := context.AfterFunc(s.Context(), cancel) //nolint:contextcheck // s.Context is done when the peer cancels the call
	defer stop()

	refuse := func(code quic.StreamErrorCode) {
		s.CancelRead(code)
		s.CancelWrite(code)
		c.t.stats.refused.Add(1)
	}

	c.mu.Lock()
	draining := c.incomingClosed
	c.mu.Unlock()

	if draining {
		refuse(codeDraining)

		return
	}

	if !c.t.callSem.TryAcquire(1) {
		refuse(codeBusy)

		return
	}
	defer c.t.callSem.Release(1)

	_ = s.SetReadDeadline(time.Now().Add(frameTimeout))

	frame, err := readFrame(s)
	if err != nil {
		refuse(codeMalformed)

		return
	}

	m, err := c.decode(frame)
	if err != nil {
		refuse(codeMalformed)

		return
	}

	c.t.stats.served.Add(1)

	reply := c.t.handler(ctx, c.peer, m)
	if reply == nil {
		reply = &wire.Ack{}
	}

	_ = s.SetWriteDeadline(time.Now().Add(frameTimeout))

	if err := writeFrame(s, reply); err != nil {
		s.CancelWrite(codeReplyFailed)

		return
	}

	_ = s.Close()
}

// decode decodes a frame and rejects a message whose sender is not the node named in the certificate of the peer.
func (c *conn) decode(frame []byte) (wire.Message, error) {
	m, err := wire.Decode(frame)
	if err != nil {
		c.t.stats.malformed.Add(1)

		return nil, err
	}

	claimed := c.peer

	switch m := m.(type) {
	case *wire.Raft:
		claimed = m.From
	case *wire.Renew:
		if !m.Relayed {
			claimed = m.Node
		}
	default:
	}

	if claimed != c.peer {
		c.t.stats.wrongPeer.Add(1)

		return nil, fmt.Errorf("%s claims to be %q: %w", c.peer, claimed, ErrWrongPeer)
	}

	return m, nil
}

// acceptUniStreams handles the unidirectional streams that the peer opens, until the connection is closed.
func (c *conn) acceptUniStreams(ctx context.Context) {
	for {
		s, err := c.qc.AcceptUniStream(ctx)
		if err != nil {
			return
		}

		c.t.spawn(func(ctx context.Context) { c.handleUniStream(ctx, s) })
	}
}

func (c *conn) handleUniStream(ctx context.Context, s *quic.ReceiveStream) {
	var kind [1]byte
	if _, err := io.ReadFull(s, kind[:]); err != nil {
		return
	}

	switch kind[0] {
	case streamReady:
		closeOnce(&c.mu, c.ready)
	case streamDraining:
		c.t.retire(c)
		c.closeOutgoing(true)
	case streamDrained:
		closeOnce(&c.mu, c.peerDrained)
	case streamMessages:
		c.receiveMessages(ctx, s)
	default:
		s.CancelRead(codeMalformed)
	}
}

func closeOnce(mu *sync.Mutex, ch chan struct{}) {
	mu.Lock()
	defer mu.Unlock()

	select {
	case <-ch:
	default:
		close(ch)
	}
}

func (c *conn) receiveMessages(ctx context.Context, s *quic.ReceiveStream) {
	for {
		var head [lengthBytes]byte
		if _, err := io.ReadFull(s, head[:]); err != nil {
			return
		}

		n := binary.BigEndian.Uint32(head[:])
		if n > wire.MaxFrameBytes {
			c.t.stats.malformed.Add(1)
			s.CancelRead(codeMalformed)

			return
		}

		frame := make([]byte, n)
		if _, err := io.ReadFull(s, frame); err != nil {
			return
		}

		m, err := c.decode(frame)
		if err != nil {
			s.CancelRead(codeMalformed)

			return
		}

		c.t.handler(ctx, c.peer, m)
	}
}
