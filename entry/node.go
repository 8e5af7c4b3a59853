// Package entry is the process of an entry VM on machines where callers connect by themselves and searchers are reached
// directly. It passes the requests of callers on to searchers, for a single upstream or for every shard of a set, by the
// configuration and the roster that it follows at a control VM. It keeps nothing that has to survive it.
package entry

import (
	"cmp"
	"context"
	"math/rand/v2"
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
	"fulmarfall/roster"
	"fulmarfall/transport"
	"fulmarfall/wire"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/phuslu/log"
)

// Config describes an entry VM.
type Config struct {
	// Node is the address of the traffic between nodes, which is also the node id.
	Node ident.NodeID
	// Listen is where the traffic between nodes arrives if that is not Node, as behind translation of addresses.
	Listen string
	// Address is where callers connect.
	Address       string
	FailureDomain ident.FailureDomain
	Region        ident.Region
	// Regions holds the region of every failure domain.
	Regions map[ident.FailureDomain]ident.Region
	// Seeds are control VMs from which the others are learned.
	Seeds []ident.NodeID
	// Incarnation tells this start from earlier ones, and orders them: the milliseconds of the time of day.
	Incarnation uint64
	// Processor is the part of a core that the process has.
	Processor float64
	// RetryRatio and RetrySlack are the further requests that an upstream bears from all entry VMs together in a window:
	// a share of the first ones, and a number.
	RetryRatio float64
	RetrySlack float64
	// ColdBurst and ColdSlack say how far the requests to a cold searcher in one second may be above its stated rate: a
	// factor, and a number.
	ColdBurst float64
	ColdSlack float64
	// RetryWindow is the length of the window.
	RetryWindow time.Duration
	// MaxKeep bounds the time for which callers are told to keep an answer with addresses; 0 means no bound.
	MaxKeep time.Duration
}

// Codec speaks the protocols of operators and searchers.
type Codec interface {
	// DecodeConfiguration reads a document of the control state.
	DecodeConfiguration(content []byte) (*configuration.Configuration, error)
	// AppendRequest appends an attempt as it goes to a searcher.
	AppendRequest(b []byte, r *Request, a *Attempt) []byte
	// ReadReply reads the answer to an attempt, whole.
	ReadReply(c *Conn, r *Request) (*Reply, error)
}

const (
	// followEvery is the time between two exchanges with the control VM. A change of the configuration has 3 s to be in
	// force everywhere, and a searcher that leaves as long to get its last request.
	followEvery = 250 * time.Millisecond
	// idleFollowEvery is the same at a node without callers: two rounds, less what a timer may be early. It is a fifth of
	// the silence after which a node counts as failed.
	idleFollowEvery = 2*followEvery - 10*time.Millisecond
	// followTimeout bounds one exchange; the way to another region and back takes 24 ms, and a control VM to which many
	// nodes come at once needs some time for each.
	followTimeout = 500 * time.Millisecond
	// firstFollowEvery and firstFollowTimeout stand for them while this node knows no configuration and refuses all
	// requests. After a loss of power the control VMs may start some 100 ms later than it, and have a leader 200 ms later
	// still; a handshake between regions takes 50 ms, more when many nodes come at once.
	firstFollowEvery   = 100 * time.Millisecond
	firstFollowTimeout = 250 * time.Millisecond
	// maxFollowDoublings bounds the doubling of firstFollowTimeout, at 1 s, and maxSeeds is how many control VMs a node is
	// told of.
	maxFollowDoublings = 2
	maxSeeds           = 3
	// dialTimeout bounds a handshake; between regions one takes about 50 ms.
	dialTimeout = 600 * time.Millisecond
	// idleTimeout ends the connection to a control VM that is silent.
	idleTimeout = 3 * time.Second
	// attemptsPerCore is the number of requests to searchers that one core sends in a second: on a quiet day of both
	// users one costs 80 to 100 us of processor time, all work for it included.
	attemptsPerCore = 10000
	// shutdownTimeout bounds the end of the connections to control VMs, one of which may be frozen: a planned stop has
	// 250 ms left then.
	shutdownTimeout = 100 * time.Millisecond
)

// Option changes how a Node works.
type Option func(*Node)

// WithLogger sets where decisions are logged.
func WithLogger(l *log.Logger) Option { return func(n *Node) { n.logger = l } }

// WithMetrics sets where decisions are counted.
func WithMetrics(m *metrics.Metrics) Option { return func(n *Node) { n.meters = m } }

// Node is a running entry VM.
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
	crashes   crashes
	outbox    outbox
	adviser   *directory.Adviser

	view atomic.Pointer[view]

	// mu guards what the follow loop shares with others.
	mu       sync.Mutex
	roster   *roster.Table
	sequence uint64
	load     rateMeter
	ends     rateMeter // of requests that end
	// overloaded is what this node last reported of itself.
	overloaded bool
	// entryVMs and entryLoad are the number of entry VMs and the sum of their loads.
	entryVMs  int
	entryLoad float64

	splitMu  sync.Mutex
	splitter map[string]*configuration.Splitter

	leaving  atomic.Bool
	stopping atomic.Bool
	inFlight atomic.Int64
	// refusedUnconfigured counts the requests that were refused because no configuration was known.
	refusedUnconfigured atomic.Int64
	attempts            atomic.Int64 // started since the start of the process
	ended               atomic.Int64 // requests ended since then
	wake                chan struct{}
	ctx                 context.Context //nolint:containedctx // Ends the background work of the process.
	cancel              context.CancelFunc
	wg                  sync.WaitGroup
}

// Start runs an entry VM. The clean-up function stops it.
func Start(cfg Config, codec Codec, opts ...Option) (*Node, func() error, error) {
	n := &Node{
		cfg: cfg, codec: codec, logger: &log.Logger{Level: log.PanicLevel}, state: control.New(control.WithoutClaims()),
		roster: roster.NewTable(cfg.Incarnation), splitter: map[string]*configuration.Splitter{}, wake: make(chan struct{}, 1), workers: newWorkers(),
	}
	for _, o := range opts {
		o(n)
	}

	n.planner = query.NewPlanner(
		query.WithNode(cfg.Node, cfg.FailureDomain, cfg.Region),
		query.WithRandom(rand.NewPCG(rand.Uint64(), xxhash.Sum64String(string(cfg.Node)))),
		query.WithDirectSends(0, 0, cfg.RetryWindow),
		query.WithMargin(query.DirectMargin),
		query.WithHedgeQuantile(query.DirectHedgeQuantile),
	)
	n.adviser = directory.NewAdviser(cfg.Regions, directory.WithShortKeep(cfg.MaxKeep),
		directory.WithRandom(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	n.crashes.evidence = conviction.NewEvidence()
	n.outbox.wake = make(chan struct{}, 1)
	n.pools.init(n)
	n.ctx, n.cancel = context.WithCancel(context.Background())

	identity, err := transport.NewUnverifiedIdentity(cfg.Node)
	if err != nil {
		return nil, nil, errors.Wrap(err, "start entry VM")
	}

	tr, closeTransport, err := transport.Listen(cmp.Or(cfg.Listen, string(cfg.Node)), identity,
		func(context.Context, ident.NodeID, wire.Message) wire.Message { return &wire.Ack{Error: "not served"} },
		transport.WithIdleTimeout(idleTimeout), transport.WithDialTimeout(dialTimeout),
		transport.WithShutdownTimeout(shutdownTimeout))
	if err != nil {
		return nil, nil, errors.Wrap(err, "start entry VM")
	}

	n.transport = tr
	n.wg.Go(n.followLoop)
	n.wg.Go(n.tellLoop)
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

// Ready reports whether this entry VM should get requests of callers.
func (n *Node) Ready() bool { return !n.leaving.Load() && n.view.Load() != nil }

// InFlight returns the number of requests in progress.
func (n *Node) InFlight() int64 { return n.inFlight.Load() }

// endRate returns how many requests end in a second.
func (n *Node) endRate() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.ends.rate
}

// SetSeeds replaces the control VMs from which the others are learned.
func (n *Node) SetSeeds(seeds []ident.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.cfg.Seeds = seeds
}
