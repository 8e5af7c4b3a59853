// Package controlplane implements the process of a control VM, for environments where nothing of fulmarfall is installed
// on the callers' machines and no inventory of live machines is available. It runs a voter of the replicated control state,
// which consists of the configuration and of the failure domains in service; keeps the roster of all processes that
// announce themselves; and serves callers the addresses of the entry VMs that they should use.
package controlplane

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"fulmarfall/configuration"
	"fulmarfall/control"
	"fulmarfall/directory"
	"fulmarfall/ident"
	"fulmarfall/metrics"
	"fulmarfall/rollout"
	"fulmarfall/roster"
	"fulmarfall/timers"
	"fulmarfall/transport"
	"fulmarfall/usage"
	"fulmarfall/voter"
	"fulmarfall/wire"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
)

// Config is the configuration of a control VM.
type Config struct {
	// Node is the address for traffic between nodes. It is also the node id, because nodes have no other means to look up
	// each other's addresses.
	Node ident.NodeID
	// Listen is the local address for traffic between nodes, if it differs from Node, as it does behind NAT.
	Listen        string
	FailureDomain ident.FailureDomain
	// Regions maps every failure domain to its region.
	Regions map[ident.FailureDomain]ident.Region
	// DataFolder is the directory of the voter's log.
	DataFolder string
	// Seeds are the control VMs through which the others are discovered. At the first start they are the initial voters,
	// and must be the same on every control VM.
	Seeds []ident.NodeID
	// Bootstrap is true only at the first start of the whole system.
	Bootstrap bool
	// TolerableLosses is the number of disks whose simultaneous loss the set of voters must survive.
	TolerableLosses int
	// MaxAddressTTL limits how long callers may keep an answer with addresses; 0 means no limit.
	MaxAddressTTL time.Duration
	// Quota is how far the requests of a team may exceed its rate limit.
	Quota usage.Bounds
	// Incarnation identifies this start and is higher than that of any earlier one: the start time in milliseconds.
	Incarnation uint64
	// Rollout are the limits for roll-outs of a version of searchers.
	Rollout rollout.Limits
	// DecodeConfiguration decodes a configuration document; nil if documents are not to be looked into.
	DecodeConfiguration func(content []byte) (*configuration.Configuration, error)
}

const (
	// snapshotEvery is the number of log entries between two snapshots, which limits the size of the log. A configuration
	// with several hundred routes has about 150 KB, so twice as many entries take less than 16 MB of a 128 MB disk.
	snapshotEvery = 50
	// exchangeInterval is the time between two exchanges of the roster with another control VM. Urgent changes are
	// broadcast without waiting for the next exchange.
	exchangeInterval = 500 * time.Millisecond
	// exchangeTimeout limits one exchange. It allows for the round trip between regions, 24 ms, and for the retransmission
	// of a few lost packets.
	exchangeTimeout = 400 * time.Millisecond
	// membershipInterval is the time between two checks of the set of voters.
	membershipInterval = 100 * time.Millisecond
	// changeTimeout limits one change of the set of voters. A learner that can't catch up within it is tried again by a
	// later check.
	changeTimeout = 2 * time.Second
	// idleTimeout closes the connection to a control VM or an entry VM that sends nothing.
	idleTimeout = 3 * time.Second
	// shutdownTimeout limits the graceful shutdown of the connections to other nodes, which may be unresponsive.
	shutdownTimeout = 300 * time.Millisecond
	// dialTimeout limits a handshake. Across regions one takes about 50 ms.
	dialTimeout = 600 * time.Millisecond
)

// Option configures a Plane.
type Option func(*Plane)

// WithLogger sets the logger. By default, only panics are logged.
func WithLogger(l *log.Logger) Option { return func(p *Plane) { p.logger = l } }

// WithMetrics sets where counters and gauges are reported. By default, there are none.
func WithMetrics(m *metrics.Metrics) Option { return func(p *Plane) { p.meters = m } }

// Plane is a running control VM.
type Plane struct {
	cfg       Config
	logger    *log.Logger
	meters    *metrics.Metrics
	state     *control.State
	transport *transport.Transport
	adviser   *directory.Adviser
	rollouts  rolloutLoopState
	pauses    *pauseDetector

	// adviceMu is held while the addresses for callers are recomputed; advisedAt is the time of the last computation.
	adviceMu  sync.Mutex
	advisedAt time.Time

	// decode decodes configuration documents; nil if the process needs nothing of them.
	decode func(content []byte) (*configuration.Configuration, error)
	usage  usageState

	voterMu sync.Mutex
	voter   *voter.Voter // nil until the voter has started

	mu       sync.Mutex
	roster   *roster.Table
	sequence uint64
	leaving  bool
	peers    map[ident.NodeID]*peer
	// leaderSeenAt is when the voter was last observed to have a leader.
	leaderSeenAt time.Time

	ctx    context.Context //nolint:containedctx // Cancels the background work of the process.
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// peer is the state of the roster exchange with another control VM.
type peer struct {
	cursor    roster.Cursor
	inFlight  bool
	reachable bool
}

// Start starts a control VM. The function that it returns stops it.
func Start(cfg Config, opts ...Option) (*Plane, func() error, error) {
	p := &Plane{
		cfg: cfg, logger: &log.Logger{Level: log.PanicLevel}, state: control.New(),
		adviser: directory.NewAdviser(cfg.Regions, directory.WithMaxTTL(cfg.MaxAddressTTL),
			directory.WithRandom(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		roster: roster.NewTable(cfg.Incarnation), peers: map[ident.NodeID]*peer{}, pauses: newPauseDetector(timers.BootClock),
	}
	p.rollouts = rolloutLoopState{
		startedAt: time.Now(), ages: map[rollout.OrderID]orderAge{}, evaluators: map[rollout.OrderID]*rollout.Evaluator{},
	}
	for _, o := range opts {
		o(p)
	}

	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.usage.suspended, _ = timers.Suspended()

	identity, err := transport.NewUnverifiedIdentity(cfg.Node)
	if err != nil {
		return nil, nil, errors.Wrap(err, "start control VM")
	}

	tr, closeTransport, err := transport.Listen(cmp.Or(cfg.Listen, string(cfg.Node)), identity, p.handle,
		transport.WithIdleTimeout(idleTimeout), transport.WithDialTimeout(dialTimeout),
		transport.WithShutdownTimeout(shutdownTimeout))
	if err != nil {
		return nil, nil, errors.Wrap(err, "start control VM")
	}

	p.transport = tr

	v, stopVoter, err := voter.Start(p.voterConfig(), p.state, raftSender{p}, voter.WithLogger(p.logger))
	if err != nil {
		return nil, nil, errors.Join(errors.Wrap(err, "start control VM"), closeTransport())
	}

	p.voterMu.Lock()
	p.voter = v
	p.voterMu.Unlock()

	p.wg.Go(p.exchangeLoop)
	p.wg.Go(p.membershipLoop)
	p.wg.Go(p.watchPauses)

	if cfg.Rollout.Enabled {
		p.wg.Go(p.rolloutLoop)
	}

	p.logger.Info().Str("node", string(cfg.Node)).Str("failure_domain", string(cfg.FailureDomain)).
		Bool("bootstrap", cfg.Bootstrap).Int("seeds", len(cfg.Seeds)).Uint64("applied", p.state.AppliedIndex()).Msg("control VM started")

	return p, func() error {
		p.cancel()
		p.wg.Wait()

		return errors.Join(stopVoter(), closeTransport())
	}, nil
}

func (p *Plane) voterConfig() voter.Config {
	c := voter.Config{ID: p.cfg.Node, Dir: p.cfg.DataFolder, SnapshotEvery: snapshotEvery}
	for _, s := range p.cfg.Seeds {
		// A voter that is not in its own list never forms a cluster. Only the first start of the system may form one.
		if s != p.cfg.Node || p.cfg.Bootstrap {
			c.Voters = append(c.Voters, s)
		}
	}

	return c
}

// Failed returns a channel that is closed when the voter has stopped. Unless the control VM is being stopped, the cause is
// an error such as a failed write.
func (p *Plane) Failed() <-chan struct{} { return p.getVoter().Done() }

// Err returns the error that stopped the voter, or nil.
func (p *Plane) Err() error { return p.getVoter().Err() }

// getVoter returns nil until the voter has started. Messages can arrive before that.
func (p *Plane) getVoter() *voter.Voter {
	p.voterMu.Lock()
	defer p.voterMu.Unlock()

	return p.voter
}

// SetSeeds replaces the control VMs through which the others are discovered.
func (p *Plane) SetSeeds(seeds []ident.NodeID) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.cfg.Seeds = seeds
}

// Leave marks this control VM as leaving in its announcements. It does not stop it.
func (p *Plane) Leave() {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.logger.Info().Msg("planned stop")
}

// self returns a new announcement of this control VM. The caller must hold mu.
func (p *Plane) self() roster.Instance {
	p.sequence++
	in := roster.Instance{
		ID: roster.InstanceID(p.cfg.Node), Role: roster.RoleControl, Address: string(p.cfg.Node),
		FailureDomain: p.cfg.FailureDomain, Born: p.cfg.Incarnation, Sequence: p.sequence,
	}

	if v := p.getVoter(); v != nil {
		in.Disk = uint64(v.Status().Disk)
	}

	if p.leaving {
		in.State = roster.StateLeaving
	}

	return in
}

// raftSender sends the messages of the local voter over the transport.
type raftSender struct{ p *Plane }

var _ voter.Sender = raftSender{}

// Send implements voter.Sender.
func (s raftSender) Send(to ident.NodeID, msg []byte) {
	s.p.transport.Send(to, string(to), &wire.Raft{From: s.p.cfg.Node, Data: msg})
}

// handle processes a message from another node. It returns the answer, or nil for a one-way message.
func (p *Plane) handle(ctx context.Context, from ident.NodeID, m wire.Message) wire.Message {
	switch m := m.(type) {
	case *wire.Raft:
		if v := p.getVoter(); v != nil {
			v.Receive(from, m.Data)
		}

		return nil
	case *wire.Follow:
		return p.serveFollow(m)
	case *wire.Roster:
		p.merge(m.Instances, nil)
		p.addRollouts(m.Rollouts)

		return nil
	case *wire.Propose:
		if m.Relayed {
			return p.servePropose(ctx, m)
		}

		return p.proposeOnce(ctx, &wire.Propose{Command: m.Command, Relayed: true})
	case *wire.Confirm:
		return p.serveConfirm(ctx)
	case *wire.UsageReport:
		return p.serveUsage(ctx, m)
	default:
		return &wire.Ack{Error: "message kind is not served"}
	}
}
