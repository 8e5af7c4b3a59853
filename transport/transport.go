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

// Defaults of the options.
const (
	// DefaultIdleTimeout ends a connection to a silent peer. Keep-alives at a third
	// of it are sent only on connections without traffic.
	DefaultIdleTimeout = 6 * time.Second
	// DefaultDialTimeout bounds a handshake, retransmissions included.
	DefaultDialTimeout = 2 * time.Second
	// DefaultStreamsPerPeer bounds the calls that one peer may have in progress here.
	DefaultStreamsPerPeer = 1024
	// DefaultCalls bounds the calls of all peers in progress here.
	DefaultCalls = 8192
	// DefaultSendQueue bounds the best-effort messages that wait for one peer.
	DefaultSendQueue = 256

	shutdownTimeout = 2 * time.Second
	drainTimeout    = 10 * time.Second
	// After a failed dial, further calls fail at once for this time.
	redialPause = 100 * time.Millisecond
	// Two connections that are made within this time were dialled by both sides at once.
	crossedDials = 2 * time.Second
)

// Handler answers a message of a peer. For a best-effort message the reply is
// dropped; a nil reply to a call becomes wire.Ack. The context ends when the
// peer gives the call up or the connection ends.
type Handler func(ctx context.Context, from ident.NodeID, m wire.Message) wire.Message

// Option changes a default of a Transport.
type Option func(*Transport)

// WithShutdownTimeout sets for how long the clean-up function of Listen waits for the calls in progress.
func WithShutdownTimeout(d time.Duration) Option { return func(t *Transport) { t.shutdownTimeout = d } }

// WithIdleTimeout sets the time after which a silent peer's connection ends.
func WithIdleTimeout(d time.Duration) Option { return func(t *Transport) { t.idleTimeout = d } }

// WithDialTimeout bounds the handshake.
func WithDialTimeout(d time.Duration) Option { return func(t *Transport) { t.dialTimeout = d } }

// WithStreamsPerPeer bounds the calls that one peer may have in progress here.
func WithStreamsPerPeer(n int) Option { return func(t *Transport) { t.streams = n } }

// WithCalls bounds the calls of all peers in progress here; more are refused with ErrBusy.
func WithCalls(n int) Option { return func(t *Transport) { t.slots = semaphore.NewWeighted(int64(n)) } }

// WithSendQueue bounds the best-effort messages that wait for one peer.
func WithSendQueue(n int) Option { return func(t *Transport) { t.sendQueue = n } }

// Transport holds the QUIC socket of this node and its connections.
type Transport struct {
	identity    *Identity
	handler     Handler
	idleTimeout time.Duration
	dialTimeout time.Duration
	// shutdownTimeout bounds the wait of the clean-up function.
	shutdownTimeout time.Duration
	streams         int
	sendQueue       int
	slots           *semaphore.Weighted

	udp      *net.UDPConn
	quic     *quic.Transport
	listener *quic.Listener
	ctx      context.Context // ends with the transport
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	stats    counters

	mu      sync.Mutex
	peers   map[ident.NodeID]*peer
	conns   map[*conn]struct{}
	leaving bool
	closed  bool
	empty   chan struct{} // closed when leaving and the last connection has ended
}

type counters struct {
	dials, dialFailures, served, refused, malformed, wrongPeer, dropped, replaced atomic.Uint64
}

// Stats counts events since the start.
type Stats struct {
	Connections  int    // open now
	Dials        uint64 // connections opened by this node
	DialFailures uint64
	Served       uint64 // calls handed to the handler
	Refused      uint64 // calls refused before the handler
	Malformed    uint64 // frames that could not be read
	WrongPeer    uint64 // messages that claimed another node
	Dropped      uint64 // best-effort messages not sent
	Replaced     uint64 // connections replaced because the peer was silent
}

// Listen opens the socket at addr (an IP number and a port). The returned
// function shuts down, with a bound of 2 s by default for the calls in progress.
func Listen(addr string, identity *Identity, handler Handler, opts ...Option) (*Transport, func() error, error) {
	t := &Transport{
		identity: identity, handler: handler,
		idleTimeout: DefaultIdleTimeout, dialTimeout: DefaultDialTimeout, shutdownTimeout: shutdownTimeout,
		streams: DefaultStreamsPerPeer, sendQueue: DefaultSendQueue,
		slots: semaphore.NewWeighted(DefaultCalls),
		peers: map[ident.NodeID]*peer{}, conns: map[*conn]struct{}{}, empty: make(chan struct{}),
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

	reset, err := identity.resetKey()
	if err != nil {
		_ = t.udp.Close()

		return nil, nil, err
	}

	t.quic = &quic.Transport{Conn: t.udp, StatelessResetKey: (*quic.StatelessResetKey)(&reset)}

	if t.listener, err = t.quic.Listen(identity.serverConfig(), t.config(false, t.dialTimeout<<maxDialDoublings)); err != nil {
		_ = t.quic.Close()
		_ = t.udp.Close()

		return nil, nil, errors.Wrapf(err, "listen on %s", addr)
	}

	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.wg.Go(t.accept)

	return t, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), t.shutdownTimeout)
		defer cancel()

		return t.Shutdown(ctx)
	}, nil
}

// config returns the settings of a connection. Only the side that dialled sends
// keep-alives, which keep both sides' timers from running out.
func (t *Transport) config(dials bool, handshake time.Duration) *quic.Config {
	cfg := &quic.Config{
		HandshakeIdleTimeout: handshake,
		MaxIdleTimeout:       t.idleTimeout,
		MaxIncomingStreams:   int64(t.streams),
	}
	if dials {
		cfg.KeepAlivePeriod = t.idleTimeout / 3
	}

	return cfg
}

// Addr returns the address of the socket.
func (t *Transport) Addr() string { return t.udp.LocalAddr().String() }

// Stats returns the counters.
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

// Reload reads the keys again. Connections whose peer no longer has an accepted
// certificate end after their calls.
func (t *Transport) Reload() error {
	if _, err := t.identity.Reload(); err != nil {
		return err
	}

	for _, c := range t.open() {
		if t.identity.accepts(c.chain) != nil {
			t.leaveSoon(c)
		}
	}

	return nil
}

// Shutdown refuses new calls, waits for those in progress of both sides until
// ctx ends, and closes the socket.
func (t *Transport) Shutdown(ctx context.Context) error {
	t.mu.Lock()
	first := !t.leaving
	t.leaving = true

	if first && len(t.conns) == 0 {
		close(t.empty)
	}
	t.mu.Unlock()

	if !first {
		<-t.ctx.Done()

		return nil
	}

	for _, c := range t.open() {
		t.leaveSoon(c)
	}

	select {
	case <-t.empty:
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

func (t *Transport) isLeaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.leaving
}

func (t *Transport) open() []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()

	all := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		all = append(all, c)
	}

	return all
}

// spawn runs f in a goroutine that Shutdown waits for. It takes t.mu, which is
// the innermost lock: conn.mu and peer.mu may be held, in the order peer, conn.
func (t *Transport) spawn(f func(ctx context.Context)) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.closed {
		return false
	}

	t.wg.Go(func() { f(t.ctx) })

	return true
}

// leaveSoon ends a connection in the background.
func (t *Transport) leaveSoon(c *conn) {
	t.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, drainTimeout)
		defer cancel()

		c.leave(ctx)
	})
}

func (t *Transport) tellSoon(c *conn, what byte) {
	t.spawn(func(ctx context.Context) { c.tell(ctx, what) })
}

// accept takes connections until the listener closes. While this node leaves,
// it still answers handshakes so that peers learn of it at once.
func (t *Transport) accept() {
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

		if !t.add(c) {
			_ = qc.CloseWithError(closeLeaving, ErrLeaving.Error())

			continue
		}

		t.tellSoon(c, streamReady)
		t.peer(c.peer).adopt(c)
	}
}

// add starts to serve a connection.
func (t *Transport) add(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.leaving {
		return false
	}

	t.conns[c] = struct{}{}
	t.wg.Go(func() { c.acceptSends(t.ctx) })
	t.wg.Go(func() {
		c.acceptCalls(t.ctx)
		t.remove(c)
	})

	return true
}

func (t *Transport) remove(c *conn) {
	t.forget(c)

	t.mu.Lock()
	defer t.mu.Unlock()

	delete(t.conns, c)

	if t.leaving && len(t.conns) == 0 {
		select {
		case <-t.empty:
		default:
			close(t.empty)
		}
	}
}

// forget takes a connection out of use for new own calls.
func (t *Transport) forget(c *conn) { t.peer(c.peer).forget(c) }

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
