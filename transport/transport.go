package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fulmarfall/ident"
	"fulmarfall/wire"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"golang.org/x/sync/semaphore"
)

// Option defaults and internal timeouts.
const (
	// DefaultIdleTimeout is the time without packets from the peer after which a connection is closed. Idle connections
	// send keep-alives at a third of it.
	DefaultIdleTimeout = 6 * time.Second
	// DefaultDialTimeout limits the handshake, including retransmissions.
	DefaultDialTimeout = 2 * time.Second
	// DefaultStreamsPerPeer limits the concurrent incoming calls from one peer.
	DefaultStreamsPerPeer = 1024
	// DefaultMaxCalls limits the concurrent incoming calls from all peers.
	DefaultMaxCalls = 8192
	// DefaultSendQueue limits the best-effort messages queued for one peer.
	DefaultSendQueue = 256

	shutdownTimeout = 2 * time.Second
	drainTimeout    = 10 * time.Second
	// After a failed dial, calls to the peer fail immediately for this long, instead of dialling again.
	redialDelay = 100 * time.Millisecond
	// If each side dialled one of two connections and they were opened within this time, the dials count as
	// simultaneous.
	simultaneousDialWindow = 2 * time.Second
)

// Handler handles a message from a peer and returns the reply. The reply to a best-effort message is discarded; a nil reply
// to a call is sent as wire.Ack. The context of a call is cancelled when the peer cancels the call or the connection is
// closed.
type Handler func(ctx context.Context, from ident.NodeID, m wire.Message) wire.Message

// Option overrides a default setting of a Transport.
type Option func(*Transport)

// WithShutdownTimeout limits how long the close function that Listen returns waits for calls in flight.
func WithShutdownTimeout(d time.Duration) Option { return func(t *Transport) { t.shutdownTimeout = d } }

// WithIdleTimeout sets the time without packets from the peer after which a connection is closed.
func WithIdleTimeout(d time.Duration) Option { return func(t *Transport) { t.idleTimeout = d } }

// WithDialTimeout sets the initial handshake timeout; it doubles after consecutive timeouts, up to four times its value.
func WithDialTimeout(d time.Duration) Option { return func(t *Transport) { t.dialTimeout = d } }

// WithStreamsPerPeer limits the concurrent incoming calls from one peer.
func WithStreamsPerPeer(n int) Option { return func(t *Transport) { t.maxStreams = n } }

// WithMaxCalls limits the concurrent incoming calls from all peers; the callers of further ones receive ErrBusy.
func WithMaxCalls(n int) Option {
	return func(t *Transport) { t.callSem = semaphore.NewWeighted(int64(n)) }
}

// WithSendQueue limits the best-effort messages queued for one peer; Send drops further ones.
func WithSendQueue(n int) Option { return func(t *Transport) { t.sendQueueSize = n } }

// Transport manages the QUIC socket of this node and the connections to its peers.
type Transport struct {
	identity    *Identity
	handler     Handler
	idleTimeout time.Duration
	dialTimeout time.Duration
	// shutdownTimeout limits the wait for calls in flight in the close function.
	shutdownTimeout time.Duration
	maxStreams      int
	sendQueueSize   int
	callSem         *semaphore.Weighted

	udp      *net.UDPConn
	quic     *quic.Transport
	listener *quic.Listener
	ctx      context.Context // cancelled at shutdown, after the drain
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	stats    counters

	mu       sync.Mutex
	peers    map[ident.NodeID]*peer
	conns    map[*conn]struct{}
	draining bool
	closed   bool
	drained  chan struct{} // closed when draining is set and the last connection is closed
}

type counters struct {
	dials, dialFailures, served, refused, malformed, wrongPeer, dropped, replaced atomic.Uint64
}

// Stats contains counters since the start, and the number of open connections.
type Stats struct {
	Connections  int    // currently open
	Dials        uint64 // connections that this node dialled
	DialFailures uint64
	Served       uint64 // calls passed to the handler
	Refused      uint64 // calls refused without reaching the handler
	Malformed    uint64 // frames that could not be decoded
	WrongPeer    uint64 // messages whose sender did not match the certificate
	Dropped      uint64 // best-effort messages that were not sent
	Replaced     uint64 // connections replaced after call timeouts without packets from the peer
}

// Listen opens the socket at addr (IP address and port). The returned function closes the transport and waits for calls in
// flight, by default for up to 2 s.
func Listen(addr string, identity *Identity, handler Handler, opts ...Option) (*Transport, func() error, error) {
	t := &Transport{
		identity: identity, handler: handler,
		idleTimeout: DefaultIdleTimeout, dialTimeout: DefaultDialTimeout, shutdownTimeout: shutdownTimeout,
		maxStreams: DefaultStreamsPerPeer, sendQueueSize: DefaultSendQueue,
		callSem: semaphore.NewWeighted(DefaultMaxCalls),
		peers:   map[ident.NodeID]*peer{}, conns: map[*conn]struct{}{}, drained: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(t)
	}

	local, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listen on %s", addr)
	}

	if t.udp, err = net.ListenUDP("udp", local); err != nil {
		return nil, nil, errors.Wrapf(err, "listen on %s", addr)
	}

	resetKey, err := identity.statelessResetKey()
	if err != nil {
		_ = t.udp.Close()

		return nil, nil, err
	}

	t.quic = &quic.Transport{Conn: t.udp, StatelessResetKey: (*quic.StatelessResetKey)(&resetKey)}

	if t.listener, err = t.quic.Listen(identity.serverConfig(), t.quicConfig(false, t.dialTimeout<<maxDialDoublings)); err != nil {
		_ = t.quic.Close()
		_ = t.udp.Close()

		return nil, nil, errors.Wrapf(err, "listen on %s", addr)
	}

	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.wg.Go(t.acceptLoop)

	return t, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), t.shutdownTimeout)
		defer cancel()

		return t.Shutdown(ctx)
	}, nil
}

// quicConfig returns the QUIC settings of a connection. Only the dialling side sends keep-alives; they reset the idle timers
// of both sides.
func (t *Transport) quicConfig(dialling bool, handshake time.Duration) *quic.Config {
	cfg := &quic.Config{
		HandshakeIdleTimeout: handshake,
		MaxIdleTimeout:       t.idleTimeout,
		MaxIncomingStreams:   int64(t.maxStreams),
	}
	if dialling {
		cfg.KeepAlivePeriod = t.idleTimeout / 3
	}

	return cfg
}

// Addr returns the local address, with the actual port if Listen was given port 0.
func (t *Transport) Addr() string { return t.udp.LocalAddr().String() }

// Stats returns the current counters; they are not read atomically together.
func (t *Transport) Stats() Stats {
	t.mu.Lock()
	open := len(t.conns)
	t.mu.Unlock()

	return Stats{
		Connections: open,
		Dials:       t.stats.dials.Load(), DialFailures: t.stats.dialFailures.Load(),
		Served: t.stats.served.Load(), Refused: t.stats.refused.Load(),
		Malformed: t.stats.malformed.Load(), WrongPeer: t.stats.wrongPeer.Load(),
		Dropped: t.stats.dropped.Load(), Replaced: t.stats.replaced.Load(),
	}
}

// Reload reads the keys and CAs again. Connections whose peer certificate is no longer trusted are drained.
func (t *Transport) Reload() error {
	if _, err := t.identity.Reload(); err != nil {
		return err
	}

	for _, c := range t.openConns() {
		if t.identity.verifyPeer(c.chain) != nil {
			t.drainAsync(c)
		}
	}

	return nil
}

// Shutdown refuses new calls, waits for the calls of both sides until ctx is done, and closes the socket.
func (t *Transport) Shutdown(ctx context.Context) error {
	t.mu.Lock()
	first := !t.draining
	t.draining = true

	if first && len(t.conns) == 0 {
		close(t.drained)
	}
	t.mu.Unlock()

	if !first {
		<-t.ctx.Done()

		return nil
	}

	for _, c := range t.openConns() {
		t.drainAsync(c)
	}

	select {
	case <-t.drained:
	case <-ctx.Done():
	}

	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()

	errListener := t.listener.Close()
	errQUIC := t.quic.Close()
	errUDP := t.udp.Close()

	t.wg.Wait()

	return errors.Join(errListener, errQUIC, errUDP)
}

func (t *Transport) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.draining
}

func (t *Transport) openConns() []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()

	all := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		all = append(all, c)
	}

	return all
}

// spawn runs f in a goroutine that Shutdown waits for. It returns false after the transport is closed. It locks t.mu, which
// is the innermost lock: the lock order is peer.mu, conn.mu, t.mu.
func (t *Transport) spawn(f func(ctx context.Context)) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.closed {
		return false
	}

	t.wg.Go(func() { f(t.ctx) })

	return true
}

// drainAsync drains a connection in the background.
func (t *Transport) drainAsync(c *conn) {
	t.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, drainTimeout)
		defer cancel()

		c.drain(ctx)
	})
}

func (t *Transport) sendControlAsync(c *conn, kind byte) {
	t.spawn(func(ctx context.Context) { c.sendControl(ctx, kind) })
}

// acceptLoop accepts connections until the listener is closed. While the transport is draining, it still completes
// handshakes, so that a dialling peer is refused immediately instead of timing out.
func (t *Transport) acceptLoop() {
	for {
		qc, err := t.listener.Accept(t.ctx)
		if err != nil {
			return
		}

		c, err := newConn(t, qc, false)
		if err != nil {
			_ = qc.CloseWithError(closeWrongPeer, err.Error())

			continue
		}

		if !t.addConn(c) {
			_ = qc.CloseWithError(closeDraining, ErrDraining.Error())

			continue
		}

		t.sendControlAsync(c, streamReady)
		t.peer(c.peer).replaceConn(c)
	}
}

// addConn registers a connection and starts serving it. It returns false if the transport is draining.
func (t *Transport) addConn(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.draining {
		return false
	}

	t.conns[c] = struct{}{}
	t.wg.Go(func() { c.acceptUniStreams(t.ctx) })
	t.wg.Go(func() {
		c.acceptCalls(t.ctx)
		t.removeConn(c)
	})

	return true
}

func (t *Transport) removeConn(c *conn) {
	t.retire(c)

	t.mu.Lock()
	defer t.mu.Unlock()

	delete(t.conns, c)

	if t.draining && len(t.conns) == 0 {
		select {
		case <-t.drained:
		default:
			close(t.drained)
		}
	}
}

// retire stops using a connection for new outgoing calls.
func (t *Transport) retire(c *conn) { t.peer(c.peer).retire(c) }

func (t *Transport) peer(node ident.NodeID) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()

	p := t.peers[node]
	if p == nil {
		p = &peer{t: t, node: node}
		t.peers[node] = p
	}

	return p
}
