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

// Codes of reset streams. All but codeReply say that the handler did not see the message.
const (
	codeCancelled quic.StreamErrorCode = iota + 1
	codeLeaving
	codeBusy
	codeMalformed
	codeReply
)

// Codes of closed connections.
const (
	closeDone quic.ApplicationErrorCode = iota
	closeLeaving
	closeWrongPeer
)

// The first byte of a unidirectional stream says what it is for.
const (
	streamReady   byte = iota // acceptor to dialler: the handshake is complete on both sides
	streamSend                // best-effort messages, each with a length of 4 bytes
	streamLeaving             // the sender takes no new calls on this connection
	streamDrained             // the sender has no call left on this connection
)

const (
	lengthBytes = 4
	// A stalled peer gives back its stream after this time.
	frameTimeout = 10 * time.Second
	// Calls that end at their deadline without a packet from the peer in between,
	// before the connection is replaced: one may be the peer's slowness.
	maxSilent = 3
)

// Errors of a peer that refuses a message without handling it.
var (
	ErrLeaving   = errors.New("peer takes no new calls")
	ErrBusy      = errors.New("peer has too many calls")
	ErrMalformed = errors.New("peer cannot read the message")
)

// conn is one connection to a peer, opened by either side.
type conn struct {
	t       *Transport
	qc      *quic.Conn
	peer    ident.NodeID
	chain   []*x509.Certificate
	dialled bool
	since   time.Time

	ready       chan struct{} // closed when the acceptor has told that it serves
	peerDrained chan struct{} // closed when the peer has no call left here

	mu           sync.Mutex
	calls        int  // own calls in progress
	closedToOwn  bool // no new own calls here
	closedToPeer bool // no new calls of the peer here
	peerLeaving  bool
	toldDrained  bool
	idle         chan struct{} // closed when closedToOwn and calls is 0
	packets      uint64        // packets received at the last call that ended at its deadline
	silent       int
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
		t: t, qc: qc, peer: node, chain: chain, dialled: dialled, since: time.Now(),
		ready: make(chan struct{}), peerDrained: make(chan struct{}), idle: make(chan struct{}),
	}, nil
}

// begin reserves an own call; it fails when the connection takes none.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.closedToOwn || c.qc.Context().Err() != nil {
		return false
	}

	c.calls++

	return true
}

func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.calls--
	c.settle()
}

// settle reports the end of the last own call. The caller holds mu.
func (c *conn) settle() {
	if !c.closedToOwn || c.calls > 0 {
		return
	}

	select {
	case <-c.idle:
	default:
		close(c.idle)
	}

	if c.peerLeaving && !c.toldDrained {
		c.toldDrained = true
		c.t.tellSoon(c, streamDrained)
	}
}

func (c *conn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return !c.closedToOwn && c.qc.Context().Err() == nil
}

// closeToOwn stops new own calls; peerLeaving says that the peer has asked for it.
func (c *conn) closeToOwn(peerLeaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.closedToOwn = true
	c.peerLeaving = c.peerLeaving || peerLeaving
	c.settle()
}

// leave ends the connection after the calls of both sides: it refuses new ones,
// tells the peer, and closes when neither side waits for an answer.
func (c *conn) leave(ctx context.Context) {
	c.mu.Lock()
	again := c.closedToPeer
	c.closedToPeer = true
	c.mu.Unlock()

	if !again {
		c.t.forget(c)
		c.closeToOwn(false)
		c.t.tellSoon(c, streamLeaving)
	}

	for _, done := range []chan struct{}{c.idle, c.peerDrained} {
		select {
		case <-done:
		case <-c.qc.Context().Done():
			return
		case <-ctx.Done():
		}
	}

	_ = c.qc.CloseWithError(closeDone, "")
}

// tell sends one byte on its own stream.
func (c *conn) tell(ctx context.Context, what byte) {
	s, err := c.qc.OpenUniStreamSync(ctx)
	if err != nil {
		return // The connection is gone, and its end tells the peer as much.
	}

	_, _ = s.Write([]byte{what})
	_ = s.Close()
}

// noteTimeout replaces a connection whose peer has fallen silent.
func (c *conn) noteTimeout() (replace bool) {
	n := c.qc.ConnectionStats().PacketsReceived

	c.mu.Lock()
	defer c.mu.Unlock()

	if n != c.packets {
		c.packets, c.silent = n, 0
	}

	c.silent++

	return c.silent >= maxSilent
}

// call sends a message and waits for the reply. The frame counts as sent only when
// its end is marked, because the peer handles no frame without its end.
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

		if refusal := refused(err); refusal != nil {
			err = refusal
		}

		return nil, NotSent, errors.Wrap(firstError(ctx, err), "write message")
	}

	if err := s.Close(); err != nil {
		s.CancelRead(codeCancelled)

		return nil, NotSent, errors.Wrap(firstError(ctx, err), "end message")
	}

	reply, err := readFrame(s)
	if err != nil {
		s.CancelRead(codeCancelled)

		if refusal := refused(err); refusal != nil {
			return nil, NotSent, refusal
		}

		return nil, Unknown, errors.Wrap(firstError(ctx, err), "read reply")
	}

	answer, err := wire.Decode(reply)
	if err != nil {
		return nil, Unknown, errors.Wrap(err, "read reply")
	}

	return answer, Unknown, nil
}

func firstError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fmt.Errorf("%w (%w)", ctx.Err(), err)
	}

	return err
}

// refused returns the error of a stream that the peer reset before its handler saw the message.
func refused(err error) error {
	var reset *quic.StreamError
	if !errors.As(err, &reset) || !reset.Remote {
		return nil
	}

	switch reset.ErrorCode {
	case codeLeaving:
		return ErrLeaving
	case codeBusy:
		return ErrBusy
	case codeMalformed:
		return ErrMalformed
	default:
		return nil
	}
}

// acceptCalls serves the streams that the peer opens, until the connection ends.
func (c *conn) acceptCalls(ctx context.Context) {
	for {
		s, err := c.qc.AcceptStream(ctx)
		if err != nil {
			return
		}

		c.t.spawn(func(ctx context.Context) { c.serve(ctx, s) })
	}
}

func (c *conn) serve(ctx context.Context, s *quic.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	stop := context.AfterFunc(s.Context(), cancel) //nolint:contextcheck // the stream ends when the peer gives the call up
	defer stop()

	refuse := func(code quic.StreamErrorCode) {
		s.CancelRead(code)
		s.CancelWrite(code)
		c.t.stats.refused.Add(1)
	}

	c.mu.Lock()
	leaving := c.closedToPeer
	c.mu.Unlock()

	if leaving {
		refuse(codeLeaving)

		return
	}

	if !c.t.slots.TryAcquire(1) {
		refuse(codeBusy)

		return
	}
	defer c.t.slots.Release(1)

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
		s.CancelWrite(codeReply)

		return
	}

	_ = s.Close()
}

// decode refuses a message that claims to come from another node than the certificate names.
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

// acceptSends reads the unidirectional streams of the peer, until the connection ends.
func (c *conn) acceptSends(ctx context.Context) {
	for {
		s, err := c.qc.AcceptUniStream(ctx)
		if err != nil {
			return
		}

		c.t.spawn(func(ctx context.Context) { c.receive(ctx, s) })
	}
}

func (c *conn) receive(ctx context.Context, s *quic.ReceiveStream) {
	var what [1]byte
	if _, err := io.ReadFull(s, what[:]); err != nil {
		return
	}

	switch what[0] {
	case streamReady:
		closeOnce(&c.mu, c.ready)
	case streamLeaving:
		c.t.forget(c)
		c.closeToOwn(true)
	case streamDrained:
		closeOnce(&c.mu, c.peerDrained)
	case streamSend:
		c.receiveSends(ctx, s)
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

func (c *conn) receiveSends(ctx context.Context, s *quic.ReceiveStream) {
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
