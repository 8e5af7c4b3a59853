// Package voter runs the Raft core of package consensus over a durable log and a transport. One goroutine owns
// the core, the log and the calls to the state machine. It gathers all waiting proposals and messages before
// each sync, so one sync covers them all.
package voter

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"fulmarfall/consensus"
	"fulmarfall/ident"
	"fulmarfall/wal"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/phuslu/log"
)

// StateMachine is what the voters replicate. Its methods are called by one goroutine.
type StateMachine interface {
	// Apply must be deterministic.
	Apply(index uint64, data []byte) (result []byte)
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Sender carries messages to other voters. Send is best effort, keeps no reference to msg after it was sent,
// and never blocks.
type Sender interface {
	Send(to ident.NodeID, msg []byte)
}

// Member is a voter or learner together with its disk.
type Member = consensus.Member

// Defaults of Config.
const (
	DefaultSnapshotEvery = 1000
	inboxSize            = 256 // messages; more are dropped and sent again by the core
	proposalQueue        = 4096
	batchLimit           = 4096 // inputs handled before one sync
)

// Config describes a voter.
type Config struct {
	ID  ident.NodeID
	Dir string
	// Voters are the voters of the first start, the same list at each of them. A node that joins later has the
	// same list, without itself, so that it can announce its disk. After the first start the membership in the
	// log counts.
	Voters        []ident.NodeID
	SnapshotEvery uint64        // entries between snapshots
	Tick          time.Duration // unit of the timers; 5 ticks are a heartbeat, 20 to 40 an election timeout
}

// Option changes how a voter works.
type Option func(*Voter)

// WithFS replaces the file system.
func WithFS(fs wal.FS) Option {
	return func(v *Voter) { v.walOptions = append(v.walOptions, wal.WithFS(fs)) }
}

// WithSeed makes the random choices of the core repeatable.
func WithSeed(seed int64) Option { return func(v *Voter) { v.seed = seed } }

// WithClock replaces the clock that stamps heartbeat rounds.
func WithClock(now func() time.Time) Option { return func(v *Voter) { v.now = now } }

// WithTicks replaces the ticker, for tests that decide when time passes.
func WithTicks(c <-chan time.Time) Option { return func(v *Voter) { v.ticks = c } }

// WithLogger sets where changes of state are logged.
func WithLogger(l *log.Logger) Option { return func(v *Voter) { v.logger = l } }

// ErrOutcomeUnknown is returned for a proposal that may or may not be committed.
var ErrOutcomeUnknown = errors.New("outcome of the proposal is unknown")

// ErrStopped is returned after the voter has stopped.
var ErrStopped = errors.New("voter is stopped")

// NotLeaderError is returned by a voter that does not lead. Nothing was proposed.
type NotLeaderError struct {
	Leader ident.NodeID // empty when unknown
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader; the leader is unknown"
	}

	return fmt.Sprintf("not the leader; the leader is %q", string(e.Leader))
}

// Status describes a voter at one moment.
type Status struct {
	ID           ident.NodeID
	Disk         consensus.DiskID
	Formed       bool // this disk belongs to a cluster
	Excluded     bool // the cluster formed without this disk: `fulmarfall voter replace` is needed
	Leader       ident.NodeID
	Term         uint64
	IsLeader     bool
	Ready        bool // an entry of the own term is committed, so CommitIndex covers every earlier commit
	CommitIndex  uint64
	AppliedIndex uint64
	LastIndex    uint64
	QuorumAt     time.Time // start of the last heartbeat round that a majority acknowledged; zero if none
	LeaderSince  time.Time // zero at a follower
	Voters       []Member
	Learners     []Member
	Syncs        uint64
	At           time.Time // of this status; it grows with each tick unless the disk holds up the voter
	Stats        consensus.Stats
	Err          error // why the voter stopped
}

// input is something that the goroutine of the voter handles.
type input interface{ input() }

type (
	receiveInput struct{ msg consensus.Message }
	proposeInput struct {
		data []byte
		done chan outcome // capacity 1
	}
	changeInput struct {
		ctx    context.Context //nolint:containedctx // the change is tried until the caller gives up
		change func(*consensus.Node, time.Time) (consensus.Index, error)
		done   chan outcome // capacity 1
		// refused is why the last try did not start the change. It is cleared before ctx is checked and the change
		// is tried again, so a refusal seen after the end of ctx is final.
		refused *atomic.Pointer[error]
	}
)

func (receiveInput) input() {}
func (proposeInput) input() {}
func (changeInput) input()  {}

type outcome struct {
	result []byte
	err    error
}

// answer is an outcome that is decided and not yet given.
type answer struct {
	done chan outcome
	outcome
}

// waiter is a proposal that waits to be applied.
type waiter struct {
	term consensus.Term
	done chan outcome
}

// Voter is a running voter.
type Voter struct {
	cfg        Config
	seed       int64
	now        func() time.Time
	ticks      <-chan time.Time
	logger     *log.Logger
	walOptions []wal.Option

	sm   StateMachine
	net  Sender
	core *consensus.Node
	wal  *wal.Log

	inbox  chan receiveInput
	calls  chan input // proposeInput and changeInput
	stop   chan struct{}
	done   chan struct{}
	status atomic.Pointer[Status]

	// Owned by the goroutine.
	waiters  map[consensus.Index]waiter
	changes  []changeInput
	answers  []answer // given after the next publish
	applied  consensus.Index
	snapAt   consensus.Index
	lastSeen Status
}

// Start opens the data folder and runs the voter. The clean-up function stops it and closes the folder; it
// returns the error that stopped the voter earlier, if there was one.
func Start(cfg Config, sm StateMachine, net Sender, opts ...Option) (*Voter, func() error, error) {
	if cfg.SnapshotEvery == 0 {
		cfg.SnapshotEvery = DefaultSnapshotEvery
	}
	if cfg.Tick == 0 {
		cfg.Tick = consensus.DefaultTick
	}

	v := &Voter{
		cfg: cfg, now: time.Now, sm: sm, net: net, logger: &log.Logger{Level: log.PanicLevel},
		inbox: make(chan receiveInput, inboxSize), calls: make(chan input, proposalQueue),
		stop: make(chan struct{}), done: make(chan struct{}), waiters: map[consensus.Index]waiter{},
	}
	var b [8]byte
	if _, err := crand.Read(b[:]); err != nil {
		return nil, nil, errors.Wrap(err, "seed")
	}
	v.seed = mixSeed(int64(binary.LittleEndian.Uint64(b[:])), cfg.ID)
	for _, o := range opts {
		o(v)
	}

	closeLog, err := v.open()
	if err != nil {
		return nil, nil, err
	}

	stopTicks := func() {}
	if v.ticks == nil {
		t := time.NewTicker(cfg.Tick)
		v.ticks, stopTicks = t.C, t.Stop
	}

	v.publish(nil)
	go v.run()

	var once sync.Once
	var stopErr error
	return v, func() error {
		once.Do(func() {
			close(v.stop)
			<-v.done
			stopTicks()
			stopErr = v.Err()
			if err := closeLog(); err != nil && stopErr == nil {
				stopErr = errors.Wrap(err, "close voter")
			}
		})
		return stopErr
	}, nil
}

// mixSeed makes the random choices of a voter its own, even where machines that start at the same moment are given the
// same random bytes: voters with the same sequence of election timeouts split every vote.
func mixSeed(random int64, id ident.NodeID) int64 {
	return random ^ int64(xxhash.Sum64String(string(id))) //nolint:gosec // All bits are used.
}

// open reads the folder and brings the core and the state machine to what it holds.
func (v *Voter) open() (func() error, error) {
	l, saved, closeLog, err := wal.Open(wal.Config{Dir: v.cfg.Dir, ID: v.cfg.ID}, v.walOptions...)
	if err != nil {
		return nil, errors.Wrap(err, "start voter")
	}

	v.wal = l
	v.core, err = consensus.New(consensus.Config{
		ID: v.cfg.ID, Disk: l.Disk(), Voters: v.cfg.Voters, Tick: v.cfg.Tick,
		Rand: rand.New(rand.NewSource(v.seed)), //nolint:gosec // timeouts need no secrecy
	}, saved)
	if err == nil && saved.Snapshot != nil {
		v.applied, v.snapAt = saved.Snapshot.Meta.Index, saved.Snapshot.Meta.Index
		err = v.sm.Restore(saved.Snapshot.Data)
	}
	if err != nil {
		_ = closeLog()
		return nil, errors.Wrap(err, "start voter")
	}

	return closeLog, nil
}

// Receive takes a message that the voter named from has sent. It never blocks; when the voter is behind, the
// message is dropped and the core of the sender sends it again.
func (v *Voter) Receive(from ident.NodeID, msg []byte) {
	m, err := consensus.Decode(msg)
	if err != nil || m.From != from {
		return
	}

	select {
	case v.inbox <- receiveInput{msg: m}:
	default:
	}
}

// Propose replicates data and returns what the state machine answered. The error is *NotLeaderError when
// nothing was proposed, and ErrOutcomeUnknown when it is not known whether the data was or will be applied.
func (v *Voter) Propose(ctx context.Context, data []byte) ([]byte, error) {
	return v.call(ctx, func(done chan outcome) input { return proposeInput{data: data, done: done} })
}

// AddLearner adds a learner, or replaces the disk of a member that lost its own. With Disk 0, the disk that the
// node last announced to this leader is taken. It returns when the change is committed.
func (v *Voter) AddLearner(ctx context.Context, m Member) error {
	return v.change(ctx, func(n *consensus.Node, now time.Time) (consensus.Index, error) {
		return n.AddLearner(now, m.ID, m.Disk)
	})
}

// Promote makes a learner a voter as soon as the learner holds durably all that is committed.
func (v *Voter) Promote(ctx context.Context, id ident.NodeID) error {
	return v.change(ctx, func(n *consensus.Node, now time.Time) (consensus.Index, error) {
		return n.Promote(now, id)
	})
}

// Remove takes a member out.
func (v *Voter) Remove(ctx context.Context, id ident.NodeID) error {
	return v.change(ctx, func(n *consensus.Node, now time.Time) (consensus.Index, error) {
		return n.Remove(now, id)
	})
}

// change asks for a membership change until it is committed. When ctx ends before the change could start, the error
// says what held it back.
func (v *Voter) change(ctx context.Context, f func(*consensus.Node, time.Time) (consensus.Index, error)) error {
	refused := &atomic.Pointer[error]{}
	_, err := v.call(ctx, func(done chan outcome) input {
		return changeInput{ctx: ctx, change: f, done: done, refused: refused}
	})
	if cause := refused.Load(); cause != nil && ctx.Err() != nil && errors.Is(err, ErrOutcomeUnknown) {
		return *cause
	}

	return err
}

// call hands an input to the goroutine of the voter and waits for its outcome.
func (v *Voter) call(ctx context.Context, in func(chan outcome) input) ([]byte, error) {
	done := make(chan outcome, 1)
	select {
	case <-v.done:
		return nil, errors.Wrap(ErrStopped, "propose")
	default:
	}

	select {
	case v.calls <- in(done):
	case <-v.done:
		return nil, errors.Wrap(ErrStopped, "propose")
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "propose: not proposed")
	}

	select {
	case o := <-done:
		return o.result, o.err
	case <-ctx.Done():
		return nil, errors.Wrap(ErrOutcomeUnknown, ctx.Err().Error())
	case <-v.done:
		select {
		case o := <-done:
			return o.result, o.err
		default:
			return nil, errors.Wrap(ErrOutcomeUnknown, "voter stopped")
		}
	}
}

// Status returns the state after the last batch of inputs.
func (v *Voter) Status() Status { return *v.status.Load() }

// Done is closed when the voter has stopped, by the clean-up function or by a failure.
func (v *Voter) Done() <-chan struct{} { return v.done }

// Err returns why the voter stopped by itself, or nil.
func (v *Voter) Err() error { return v.Status().Err }
