// Package node runs a fulmarfall node. It connects the packages that contain the decision logic to HTTP, QUIC, files and
// timers. A node serves requests of callers and owns searchers under a lease. A node with a data folder is also a voter.
package node

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fulmarfall/admission"
	"fulmarfall/control"
	"fulmarfall/directory"
	"fulmarfall/ident"
	"fulmarfall/lease"
	"fulmarfall/membership"
	"fulmarfall/metrics"
	"fulmarfall/query"
	"fulmarfall/record"
	"fulmarfall/timers"
	"fulmarfall/transport"
	"fulmarfall/voter"
	"fulmarfall/wire"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"
)

// Peer identifies a voter and its advertised QUIC address.
type Peer struct {
	Node        ident.NodeID
	QUICAddress string
}

// OperatorKey authorises an operator to read and change records, status and voters.
type OperatorKey struct {
	Name string
	Hash record.KeyHash
}

// Config configures a node. A zero limit or time means its default.
type Config struct {
	ID            ident.NodeID
	FailureDomain ident.FailureDomain
	Region        ident.Region
	// HTTPAddress and QUICAddress are the listening addresses. The Advertise addresses are announced to others and
	// default to the listening addresses.
	HTTPAddress   string
	QUICAddress   string
	AdvertiseHTTP string
	AdvertiseQUIC string
	// DataFolder stores the log of a voter. A node without a data folder is not a voter.
	DataFolder string
	// Join is set for a voter with an empty data folder that joins an existing cluster.
	Join         bool
	Voters       []Peer
	Keys         transport.KeyFiles
	OperatorKeys []OperatorKey
	// MaxInFlight bounds the concurrent requests of callers; 0 means the default of package admission.
	MaxInFlight  int
	MaxBodyBytes int
	// QueuePerSearcher bounds the queue of each owned searcher; 0 means the default of package searcher.
	QueuePerSearcher int
	SnapshotEntries  uint64
	// MaxConnections bounds the concurrent HTTP connections; 0 means the default of fasthttp.
	MaxConnections int
	// MaxHits is the maximum limit of a search, and MaxTimeout the maximum timeout of a request.
	MaxHits    int
	MaxTimeout time.Duration
	// HedgePercent is the budget for hedged requests and retries, in percent of extra load. nil means the default of
	// package query; 0 allows none.
	HedgePercent *int
	// CallsPerPeer, SendQueue and IdleTimeout are limits of the transport; 0 means the defaults of package transport.
	CallsPerPeer int
	SendQueue    int
	IdleTimeout  time.Duration
	// MetricsTeams bounds the number of teams with separate metrics, and MetricsInterval is the update interval of the
	// metrics page; 0 means the defaults of package metrics.
	MetricsTeams    int
	MetricsInterval time.Duration
	// AddressTTL is the time to live of address lists at callers. A node that leaves keeps serving for at least this long.
	AddressTTL time.Duration
	// DrainTime bounds the wait for requests in flight during a planned stop.
	DrainTime time.Duration
}

// Defaults of Config.
const (
	defaultMaxBody    = 1 << 20
	defaultAddressTTL = 5 * time.Second
	defaultMaxHits    = 1000
	defaultMaxTimeout = 30 * time.Second
	// defaultDrainTime must exceed the maximum timeout of a request, so that draining does not cut off requests.
	defaultDrainTime = 35 * time.Second
	readTimeout      = 30 * time.Second
)

func (c *Config) setDefaults() {
	c.AdvertiseHTTP = cmp.Or(c.AdvertiseHTTP, c.HTTPAddress)
	c.AdvertiseQUIC = cmp.Or(c.AdvertiseQUIC, c.QUICAddress)
	c.MaxBodyBytes = cmp.Or(c.MaxBodyBytes, defaultMaxBody)
	c.MaxInFlight = cmp.Or(c.MaxInFlight, admission.DefaultCapacity)
	c.AddressTTL = cmp.Or(c.AddressTTL, defaultAddressTTL)
	c.DrainTime = cmp.Or(c.DrainTime, defaultDrainTime)
	c.MaxConnections = cmp.Or(c.MaxConnections, fasthttp.DefaultConcurrency)
	c.MaxHits = cmp.Or(c.MaxHits, defaultMaxHits)
	c.MaxTimeout = cmp.Or(c.MaxTimeout, defaultMaxTimeout)
	c.CallsPerPeer = cmp.Or(c.CallsPerPeer, transport.DefaultStreamsPerPeer)
	c.SendQueue = cmp.Or(c.SendQueue, transport.DefaultSendQueue)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, transport.DefaultIdleTimeout)
	c.MetricsTeams = cmp.Or(c.MetricsTeams, metrics.DefaultMaxTeams)
	c.MetricsInterval = cmp.Or(c.MetricsInterval, metrics.DefaultReportInterval)
}

func (c *Config) requestLimits() requestLimits {
	return requestLimits{hits: c.MaxHits, timeout: c.MaxTimeout}
}

// Option configures a Node in Start.
type Option func(*Node)

// WithLogger sets the logger for state changes. By default nothing is logged.
func WithLogger(l *log.Logger) Option { return func(n *Node) { n.logger = l } }

// stage is the progress of a planned stop.
type stage int32

const (
	stageServing stage = iota
	// In stageLeaving the node still serves callers with a cached address, but is omitted from new address lists.
	stageLeaving
	// In stageDraining the node refuses new requests and finishes those in flight.
	stageDraining
)

// Node is a running fulmarfall node. It is created by Start and safe for concurrent use.
type Node struct {
	cfg Config
	// incarnation distinguishes this run of the node from earlier runs.
	incarnation ident.Incarnation
	logger      *log.Logger
	meters      *metrics.Metrics

	state         *control.State
	voter         *voter.Voter // nil without a data folder
	transport     *transport.Transport
	leader        leaderState
	planner       *query.Planner
	admission     *admission.Controller
	directory     *directory.Directory
	owned         ownedTable
	warmLatencies warmLatencyTable
	suspects      suspectTable
	// largeReplySem is a counting semaphore with one element per large reply that is being read.
	largeReplySem chan struct{}
	// appliedTuning is accessed by the reconcile goroutine only.
	appliedTuning tuning
	upstreams     catalogCache
	registrations registrationTable

	// mu guards holder, members and lastVoter. It is acquired inside views of state, so state must not be read while mu
	// is held: with a writer of state waiting, the two goroutines would deadlock.
	mu        sync.Mutex
	holder    *lease.Holder
	members   *membership.Copy
	lastVoter int // index in cfg.Voters of the voter that answered the last renewal

	stage    atomic.Int32
	inFlight atomic.Int64

	renewNow chan struct{}
	ctx      context.Context //nolint:containedctx // Cancelled when the node stops.
	cancel   context.CancelFunc
	spawnMu  sync.Mutex // prevents wg.Add after the clean-up function has cancelled ctx
	wg       sync.WaitGroup
	http     *fasthttp.Server
	httpAddr string
}

// Start starts a node. The returned clean-up function stops it immediately; Shutdown drains it first.
func Start(cfg Config, opts ...Option) (*Node, func() error, error) {
	cfg.setDefaults()

	n := &Node{
		cfg:         cfg,
		incarnation: ident.Incarnation(time.Now().UnixNano()), //nolint:gosec // The year is after 1970.
		logger:      &log.Logger{Level: log.PanicLevel},
		holder:      lease.NewHolder(),
		members:     membership.NewCopy(),
		renewNow:    make(chan struct{}, 1), largeReplySem: make(chan struct{}, maxLargeReplies),
		directory: directory.New(directory.WithKeepSeconds(int(cfg.AddressTTL / time.Second))),
		admission: admission.New(admission.WithCapacity(cfg.MaxInFlight)),
	}
	for _, o := range opts {
		o(n)
	}

	n.planner = query.NewPlanner(
		query.WithNode(cfg.ID, cfg.FailureDomain, cfg.Region),
		query.WithRandom(newRandomSource()),
	)
	n.owned.init()
	n.ctx, n.cancel = context.WithCancel(context.Background())

	var undo cleanups

	if err := n.open(&undo); err != nil {
		n.cancel()
		n.wg.Wait()

		return nil, nil, errors.Join(fmt.Errorf("start node %s: %w", cfg.ID, err), undo.run())
	}

	n.logger.Info().Str("node", string(cfg.ID)).Str("http", n.httpAddr).
		Str("quic", n.transport.Addr()).Bool("voter", n.voter != nil).Msg("node started")

	return n, n.stopFunc(&undo), nil
}

// cleanups is a stack of clean-up functions, which run in reverse order of their addition.
type cleanups struct{ list []func() error }

func (c *cleanups) add(f func() error) { c.list = append(c.list, f) }

func (c *cleanups) run() error {
	var err error
	for i := len(c.list) - 1; i >= 0; i-- {
		err = errors.Join(err, c.list[i]())
	}

	c.list = nil

	return err
}

func (n *Node) stopFunc(undo *cleanups) func() error {
	var (
		once sync.Once
		err  error
	)

	return func() error {
		once.Do(func() {
			n.owned.close()
			n.spawnMu.Lock()
			n.cancel()
			n.spawnMu.Unlock()

			err = undo.run()
			n.wg.Wait()
		})

		return err
	}
}

func (n *Node) open(undo *cleanups) error {
	meters, closeMeters := metrics.New(metrics.WithMaxTeams(n.cfg.MetricsTeams), metrics.WithReportInterval(n.cfg.MetricsInterval))
	n.meters = meters
	undo.add(closeMeters)

	identity, err := transport.LoadIdentity(n.cfg.Keys)
	if err != nil {
		return fmt.Errorf("load keys: %w", err)
	}

	if identity.Node() != n.cfg.ID {
		return fmt.Errorf("certificate is for node %q, but the settings are for node %q", identity.Node(), n.cfg.ID)
	}

	n.state = control.New(control.WithoutClaims())
	if n.cfg.DataFolder != "" {
		n.state = control.New()
	}

	tr, closeTransport, err := transport.Listen(n.cfg.QUICAddress, identity, n.handle,
		transport.WithStreamsPerPeer(n.cfg.CallsPerPeer),
		transport.WithSendQueue(n.cfg.SendQueue),
		transport.WithIdleTimeout(n.cfg.IdleTimeout),
	)
	if err != nil {
		return fmt.Errorf("open transport: %w", err)
	}

	n.transport = tr
	undo.add(closeTransport)

	if err := n.openVoter(undo); err != nil {
		return err
	}

	n.background(n.renewLoop)
	n.background(n.reconcileLoop)

	if n.voter != nil {
		n.background(n.planLoop)
	}

	return n.openHTTP(undo)
}

func (n *Node) openVoter(undo *cleanups) error {
	if n.cfg.DataFolder == "" {
		return nil
	}

	cfg := voter.Config{ID: n.cfg.ID, Dir: n.cfg.DataFolder, SnapshotEvery: n.cfg.SnapshotEntries}
	for _, p := range n.cfg.Voters {
		// A joining voter is left out of its own voter list: it announces its disk to the others, but must not bootstrap
		// a new cluster with them.
		if n.cfg.Join && p.Node == n.cfg.ID {
			continue
		}

		cfg.Voters = append(cfg.Voters, p.Node)
	}

	v, stop, err := voter.Start(cfg, n.state, raftSender{n}, voter.WithLogger(n.logger))
	if err != nil {
		return fmt.Errorf("start voter: %w", err)
	}

	n.setVoter(v)
	undo.add(stop)

	return nil
}

func (n *Node) openHTTP(undo *cleanups) error {
	ln, err := net.Listen("tcp", n.cfg.HTTPAddress) //nolint:noctx // Listening on an IP address needs no lookup.
	if err != nil {
		return fmt.Errorf("listen for HTTP: %w", err)
	}

	n.httpAddr = ln.Addr().String()
	n.http = &fasthttp.Server{
		Handler:               n.serveHTTP,
		ErrorHandler:          n.serveHTTPError,
		Name:                  "fulmarfall",
		Concurrency:           n.cfg.MaxConnections,
		MaxRequestBodySize:    n.cfg.MaxBodyBytes,
		ReadTimeout:           readTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}

	n.background(func(context.Context) {
		if err := n.http.Serve(ln); err != nil {
			n.logger.Error().Err(err).Msg("HTTP server stopped")
		}
	})
	undo.add(n.http.Shutdown)

	return nil
}

// discardLogger drops the messages of fasthttp about individual connections. Refusals are counted in the metrics.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// background runs f in a goroutine that the clean-up function waits for. It does nothing once the node has stopped.
func (n *Node) background(f func(ctx context.Context)) {
	n.spawnMu.Lock()
	defer n.spawnMu.Unlock()

	if n.ctx.Err() != nil {
		return
	}

	n.wg.Add(1)

	go func() {
		defer n.wg.Done()

		f(n.ctx)
	}()
}

// HTTPAddress returns the address of the HTTP listener, with the port that the system assigned if the settings left it open.
func (n *Node) HTTPAddress() string { return n.httpAddr }

// Failed returns a channel that is closed when the node has failed permanently, for example because of a disk error of the
// voter. It is nil for a node that is not a voter.
func (n *Node) Failed() <-chan struct{} {
	if n.voter == nil {
		return nil
	}

	return n.voter.Done()
}

// Err returns the error that caused the failure, or nil if the node has not failed.
func (n *Node) Err() error {
	if n.voter == nil || n.voter.Err() == nil {
		return nil
	}

	return fmt.Errorf("voter stopped: %w", n.voter.Err())
}

// ReloadKeys reloads the TLS keys and certificates from the key files.
func (n *Node) ReloadKeys() error {
	if err := n.transport.Reload(); err != nil {
		return fmt.Errorf("reload keys: %w", err)
	}

	n.logger.Info().Msg("keys reloaded")

	return nil
}

// Shutdown performs a planned stop. It removes the node from address lists, keeps serving until all cached address lists
// have expired, and then waits until the owned searchers are handed over and the requests in flight have finished. The
// clean-up function of Start must still be called.
func (n *Node) Shutdown(ctx context.Context) error {
	n.stage.Store(int32(stageLeaving))
	n.logger.Info().Msg("planned stop: leaving")
	n.triggerRenewal()

	// The other nodes learn after two renewals, ours and theirs, that this node is leaving. A caller may have fetched
	// its address list just before.
	if err := timers.Sleep(ctx, n.cfg.AddressTTL+2*lease.RenewInterval); err != nil {
		return fmt.Errorf("planned stop: %w", err)
	}

	n.stage.Store(int32(stageDraining))
	n.logger.Info().Msg("planned stop: draining")

	ctx, cancel := context.WithTimeout(ctx, n.cfg.DrainTime)
	defer cancel()

	for n.inFlight.Load() > 0 || n.owned.count() > 0 && n.leaseValid(time.Now()) {
		if err := timers.Sleep(ctx, drainPollInterval); err != nil {
			return fmt.Errorf("planned stop: %d requests in progress, %d searchers owned: %w",
				n.inFlight.Load(), n.owned.count(), err)
		}
	}

	return nil
}

// drainPollInterval is the interval at which Shutdown checks whether draining has finished.
const drainPollInterval = 20 * time.Millisecond

func (n *Node) leaseValid(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.holder.Valid(now)
}

// inService reports whether the records mark this node's failure domain as in service.
func (n *Node) inService() bool {
	var ok bool

	n.state.View(func(v control.View) { ok = v.Records().InService(n.cfg.FailureDomain) })

	return ok
}

// handle dispatches a message of another node and returns the reply; nil means no reply.
func (n *Node) handle(ctx context.Context, from ident.NodeID, m wire.Message) wire.Message {
	switch m := m.(type) {
	case *wire.Raft:
		if v := n.getVoter(); v != nil {
			v.Receive(from, m.Data)
		}

		return nil
	case *wire.Renew:
		return n.serveRenew(ctx, from, m)
	case *wire.Propose:
		return n.servePropose(ctx, m)
	case *wire.ShardRequest:
		return n.serveShard(ctx, m)
	case *wire.Announce:
		return n.serveAnnounce(m)
	case *wire.Suspect:
		n.suspects.add(m.Fingerprint, m.Alone, time.Now())

		return nil
	case *wire.StatusRequest:
		return n.serveStatus(ctx, m)
	default:
		return &wire.Ack{Error: fmt.Sprintf("unsupported message kind %d", m.Kind())}
	}
}
