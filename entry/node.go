// Package entry implements the entry VM for platforms on which callers connect to entry VMs, and entry VMs to searchers,
// without intermediaries. An entry VM forwards the requests of callers to a single upstream or to every shard of a set,
// according to the configuration and the roster that it follows at a control VM. It has no persistent state.
package entry

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fulmarfall/configuration"
	"fulmarfall/control"
	"fulmarfall/conviction"
	"fulmarfall/directory"
	"fulmarfall/ident"
	"fulmarfall/metrics"
	"fulmarfall/query"
	"fulmarfall/rollout"
	"fulmarfall/roster"
	"fulmarfall/searcher"
	"fulmarfall/transport"
	"fulmarfall/usage"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/phuslu/log"
)

// Config configures an entry VM.
type Config struct {
	// Node is the address for traffic between nodes, which is also the node ID.
	Node ident.NodeID
	// Listen is the listening address for traffic between nodes if that is not Node, as with address translation.
	Listen string
	// Address is the address that callers connect to.
	Address       string
	FailureDomain ident.FailureDomain
	Region        ident.Region
	// Regions maps every failure domain to its region.
	Regions map[ident.FailureDomain]ident.Region
	// Seeds are the control VMs from which the others are learned.
	Seeds []ident.NodeID
	// Incarnation distinguishes this start from earlier ones and orders them: it is the start time in Unix milliseconds.
	Incarnation uint64
	// ProcessorCores is the number of cores available to the process, which may be a fraction.
	ProcessorCores float64
	// RetryRatio and RetrySlack are the retry budget of an upstream in one RetryWindow, for all entry VMs together: a
	// ratio to the first attempts, and a fixed number of further ones.
	RetryRatio float64
	RetrySlack float64
	// ColdBurst and ColdSlack are how far the requests to a cold searcher in one second may exceed its stated rate: a
	// factor, and a number.
	ColdBurst float64
	ColdSlack float64
	// RetryWindow is the window over which the retry budget is counted.
	RetryWindow time.Duration
	// Quota is how far the requests of a team may exceed its rate limit.
	Quota usage.Bounds
	// Source is the local IP address of connections to searchers; nil lets the system choose.
	Source net.IP
	// Rollout are the limits for roll-outs of a version of searchers.
	Rollout rollout.Limits
	// Traffic is the cost of traffic between failure domains and regions; zero fields mean the defaults.
	Traffic query.TrafficCost
	// MaxAddressTTL bounds how long callers are told to cache an answer with addresses; 0 means no bound.
	MaxAddressTTL time.Duration
}

// Codec encodes and decodes the protocols of operators and searchers.
type Codec interface {
	// DecodeConfiguration decodes a configuration document of the control state.
	DecodeConfiguration(content []byte) (*configuration.Configuration, error)
	// SetTeam returns header lines without those that hold the key and the team of a caller, and with one that holds the given
	// team unless that is "". It leaves the given lines unchanged.
	SetTeam(header []byte, team ident.TeamID) []byte
	// AppendRequest appends the encoded request of an attempt to b.
	AppendRequest(b []byte, r *Request, a *Attempt) []byte
	// ReadReply reads the complete answer to an attempt.
	ReadReply(c *Conn, r *Request) (*Reply, error)
}

const (
	// followInterval is the time between two exchanges with the control VM. A configuration change has to be in force
	// everywhere within 3 s, and a leaving searcher has to receive its last request within the same time.
	followInterval = 250 * time.Millisecond
	// idleFollowInterval replaces it at a node without callers: two rounds, minus the amount by which a timer may be
	// early. It is a fifth of the silence after which a node counts as failed.
	idleFollowInterval = 2*followInterval - 10*time.Millisecond
	// followTimeout bounds one exchange. A round trip to another region takes 24 ms, and a control VM that many nodes
	// contact at once needs some time for each.
	followTimeout = 500 * time.Millisecond
	// unconfiguredFollowInterval and unconfiguredFollowTimeout replace these values while this node knows no
	// configuration and refuses all requests. After a power loss, the control VMs may start about 100 ms later than this
	// node and have a leader 200 ms after that. A handshake between regions takes 50 ms, and more when many nodes
	// connect at once.
	unconfiguredFollowInterval = 100 * time.Millisecond
	unconfiguredFollowTimeout  = 250 * time.Millisecond
	// maxTimeoutDoublings limits the doubling of unconfiguredFollowTimeout, to 1 s. maxSeeds is the number of control
	// VMs that a node is configured with.
	maxTimeoutDoublings = 2
	maxSeeds            = 3
	// dialTimeout bounds a handshake; between regions one takes about 50 ms.
	dialTimeout = 600 * time.Millisecond
	// idleTimeout closes the connection to a control VM that is silent.
	idleTimeout = 3 * time.Second
	// attemptsPerCore is the number of requests to searchers that one core can send in a second. On a quiet day at both
	// users, one such request costs 80 to 100 us of processor time, including all work for it.
	attemptsPerCore = 10000
	// shutdownTimeout bounds the shutdown of the connections to control VMs, one of which may be frozen. A planned stop
	// has 250 ms left at that point.
	shutdownTimeout = 100 * time.Millisecond
)

// Option configures a Node.
type Option func(*Node)

// WithLogger sets the logger for decisions; the default one logs only panics.
func WithLogger(l *log.Logger) Option { return func(n *Node) { n.logger = l } }

// WithMetrics sets the metrics in which decisions are counted; by default they are not counted.
func WithMetrics(m *metrics.Metrics) Option { return func(n *Node) { n.meters = m } }

// Dialer opens a connection to a searcher.
type Dialer func(address string, timeout time.Duration) (net.Conn, error)

// WithDialer sets how connections to searchers are opened.
func WithDialer(d Dialer) Option { return func(n *Node) { n.dial = d } }

// dialFrom returns the default dialer, which uses a local IP address if one is given.
func dialFrom(source net.IP) Dialer {
	var local net.Addr
	if source != nil {
		local = &net.TCPAddr{IP: source}
	}

	return func(address string, timeout time.Duration) (net.Conn, error) {
		d := net.Dialer{Timeout: timeout, LocalAddr: local}

		return d.Dial("tcp", address)
	}
}

// Node is a running entry VM, created by Start.
type Node struct {
	cfg       Config
	codec     Codec
	logger    *log.Logger
	meters    *metrics.Metrics
	transport *transport.Transport
	state     *control.State
	planner   *query.Planner
	pools     pools
	budget    replyBudget
	workers   *workers
	lag       lagMeter
	crashes   crashTracker
	outbox    outbox
	adviser   *directory.Adviser
	links     linkMonitor
	usage     usageGate
	gate      gate
	rollouts  rollouts
	dial      Dialer

	view atomic.Pointer[view]
	// confirmedAt is the start of the last exchange with a connected control VM that confirmed the configuration.
	confirmedAt atomic.Pointer[time.Time]

	// mu guards the fields down to regionLoads, and cfg.Seeds, which the follow loop shares with other goroutines.
	mu          sync.Mutex
	roster      *roster.Table
	sequence    uint64
	load        rateMeter
	completions rateMeter // requests completed per second
	// reportedOverloaded is the overload state that this node last reported.
	reportedOverloaded bool
	// entryVMs is the number of entry VMs, entryLoad the sum of their loads, and regionLoads both by region.
	entryVMs    int
	entryLoad   float64
	regionLoads map[ident.Region]searcher.RegionLoad

	// limitsReportedAt is when the requests under request limits were last logged, admissionReportedAt when those refused for
	// others were; only the follow loop uses them.
	limitsReportedAt, admissionReportedAt time.Time
	// zonesReportedAt is when the requests that leave the zone were last logged; only the follow loop uses it.
	zonesReportedAt time.Time

	splitMu   sync.Mutex
	splitters map[routeKey]*configuration.Splitter

	// ending is closed when requests in progress have to end because the process stops.
	ending   chan struct{}
	leaving  atomic.Bool
	stopping atomic.Bool
	inFlight atomic.Int64
	// refusedUnconfigured counts the requests refused because no configuration was known.
	refusedUnconfigured atomic.Int64
	attempts            atomic.Int64 // attempts started since the start of the process
	completed           atomic.Int64 // requests completed since the start of the process
	wake                chan struct{}
	ctx                 context.Context //nolint:containedctx // Ends the background work of the process.
	cancel              context.CancelFunc
	wg                  sync.WaitGroup
}

// Start runs an entry VM. The returned function stops it and waits for its background work to end.
func Start(cfg Config, codec Codec, opts ...Option) (*Node, func() error, error) {
	n := &Node{
		cfg: cfg, codec: codec, logger: &log.Logger{Level: log.PanicLevel}, state: control.New(control.WithoutClaims()),
		roster: roster.NewTable(cfg.Incarnation), splitters: map[routeKey]*configuration.Splitter{}, wake: make(chan struct{}, 1), workers: newWorkers(),
		dial: dialFrom(cfg.Source), ending: make(chan struct{}),
	}
	for _, o := range opts {
		o(n)
	}

	n.planner = query.NewPlanner(
		query.WithNode(cfg.Node, cfg.FailureDomain, cfg.Region),
		query.WithRandom(rand.NewPCG(rand.Uint64(), xxhash.Sum64String(string(cfg.Node)))),
		query.WithDirectSends(0, 0, cfg.RetryWindow),
		query.WithMargin(query.DirectMargin),
		query.WithTrafficCost(cfg.Traffic),
		query.WithHedgeQuantile(query.DirectHedgeQuantile),
	)
	n.adviser = directory.NewAdviser(cfg.Regions, directory.WithMaxTTL(cfg.MaxAddressTTL),
		directory.WithRandom(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	n.crashes.evidence = conviction.NewEvidence()
	n.crashes.trials = map[ident.Fingerprint]struct{}{}
	n.outbox.wake = make(chan struct{}, 1)
	n.pools.init(n)
	n.links.init()
	n.usage.init(cfg)
	n.gate.init()
	n.rollouts.init(cfg.Rollout)
	n.ctx, n.cancel = context.WithCancel(context.Background())

	identity, err := transport.NewUnverifiedIdentity(cfg.Node)
	if err != nil {
		return nil, nil, errors.Wrap(err, "start entry VM")
	}

	tr, closeTransport, err := transport.Listen(cmp.Or(cfg.Listen, string(cfg.Node)), identity,
		n.handleMessage,
		transport.WithIdleTimeout(idleTimeout), transport.WithDialTimeout(dialTimeout),
		transport.WithShutdownTimeout(shutdownTimeout))
	if err != nil {
		return nil, nil, errors.Wrap(err, "start entry VM")
	}

	n.transport = tr
	n.wg.Go(n.followLoop)
	n.wg.Go(n.evidenceLoop)
	n.wg.Go(n.usageLoop)
	n.logger.Info().Str("node", string(cfg.Node)).Str("address", cfg.Address).
		Str("failure_domain", string(cfg.FailureDomain)).Int("seeds", len(cfg.Seeds)).Msg("entry VM started")

	return n, func() error {
		n.cancel()
		n.pools.close()
		n.workers.close()

		err := closeTransport()
		n.wg.Wait()

		return err
	}, nil
}

// Ready reports whether this entry VM should receive requests: it has a configuration and is not leaving.
func (n *Node) Ready() bool { return !n.leaving.Load() && n.view.Load() != nil }

// InFlight returns the number of requests in progress.
func (n *Node) InFlight() int64 { return n.inFlight.Load() }

// completionRate returns the number of requests that complete per second.
func (n *Node) completionRate() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.completions.rate
}

// SetSeeds replaces the control VMs from which the others are learned.
func (n *Node) SetSeeds(seeds []ident.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.cfg.Seeds = seeds
}
