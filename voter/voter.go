// Package voter runs the Raft core of package consensus on top of a durable log and a transport. A single goroutine
// owns the core and the log and calls the state machine. It batches all queued proposals and messages before each
// sync (group commit).
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

// StateMachine is the replicated state. All its methods are called from the same goroutine.
type StateMachine interface {
	// Apply must be deterministic, so that all replicas reach the same state.
	Apply(index uint64, data []byte) (result []byte)
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Sender transmits messages to other voters. Send is best effort, must not block, and must not retain msg once it
// has been sent.
type Sender interface {
	Send(to ident.NodeID, msg []byte)
}

// Member identifies a voter or learner and its disk.
type Member = consensus.Member

// Default snapshot interval, queue sizes and batch size.
const (
	DefaultSnapshotEvery = 1000 // entries
	inboxSize            = 256  // messages; when it is full, messages are dropped and the sending core retransmits
	proposalQueueSize    = 4096
	maxBatchInputs       = 4096 // inputs per sync
)

// Config holds the settings of a voter.
type Config struct {
	ID  ident.NodeID
	Dir string
	// Voters is the initial membership and must be the same list on each of them. A node that joins later is given
	// the same list, without itself, so that it can announce its disk. Once the cluster has formed, the membership
	// in the log is authoritative.
	Voters        []ident.NodeID
	SnapshotEvery uint64 // entries between snapshots; 0 means DefaultSnapshotEvery
	// Tick is the unit of the timers: 5 ticks per heartbeat, 20 to 40 per election timeout. 0 means
	// consensus.DefaultTick.
	Tick time.Duration
}

// Option overrides a default of Start.
type Option func(*Voter)

// WithFS replaces the file system, for fault injection in tests.
func WithFS(fs wal.FS) Option {
	return func(v *Voter) { v.walOptions = append(v.walOptions, wal.WithFS(fs)) }
}

// WithSeed makes the random choices of the core, such as election timeouts, reproducible.
func WithSeed(seed int64) Option { return func(v *Voter) { v.seed = seed } }

// WithClock replaces the clock that timestamps heartbeat rounds.
func WithClock(now func() time.Time) Option { return func(v *Voter) { v.now = now } }

// WithTicks replaces the ticker, for tests that control the passage of time.
func WithTicks(c <-chan time.Time) Option { return func(v *Voter) { v.ticks = c } }

// WithLogger sets the logger for state changes and failures; the default discards them.
func WithLogger(l *log.Logger) Option { return func(v *Voter) { v.logger = l } }

// ErrOutcomeUnknown is returned for a proposal that may have been committed, may still be committed, or may be lost.
var ErrOutcomeUnknown = errors.New("outcome of the proposal is unknown")

// ErrStopped is returned for requests made after the voter has stopped, and for membership changes still pending then.
var ErrStopped = errors.New("voter is stopped")

// NotLeaderError is returned by a voter that is not the leader. Nothing was proposed.
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

// Status is the state of a voter at one point in time.
type Status struct {
	ID           ident.NodeID
	Disk         consensus.DiskID
	Formed       bool // this disk belongs to a cluster
	Excluded     bool // the cluster formed without this disk; `fulmarfall voter replace` is required
	Leader       ident.NodeID
	Term         uint64
	IsLeader     bool
	Ready        bool // leader with a committed entry of its own term, so CommitIndex covers every earlier commit
	CommitIndex  uint64
	AppliedIndex uint64
	LastIndex    uint64
	QuorumAt     time.Time // start of the last heartbeat round that a majority acknowledged; zero if none
	LeaderSince  time.Time // zero on a follower
	Voters       []Member
	Learners     []Member
	Syncs        uint64
	PublishedAt  time.Time // when this status was published; advances with each tick unless disk I/O blocks the voter
	Stats        consensus.Stats
	Err          error // the failure that stopped the voter
}

// input is an event that the voter's goroutine handles.
type input interface{ input() }

type (
	receiveInput struct{ msg consensus.Message }
	proposeInput struct {
		data []byte
		done chan outcome // capacity 1
	}
	changeInput struct {
		ctx    context.Context //nolint:containedctx // the change is retried until the caller's context ends
		change func(*consensus.Node, time.Time) (consensus.Index, error)
		done   chan outcome // capacity 1
		// lastErr is the error of the last attempt to start the change. It is cleared before each check of ctx and
		// retry, so a value that is still set after ctx has ended is final: the change was not started.
		lastErr *atomic.Pointer[error]
	}
)

func (receiveInput) input() {}
func (proposeInput) input() {}
func (changeInput) input()  {}

type outcome struct {
	result []byte
	err    error
}

// pendingResult is an outcome that is final but not yet delivered to its caller.
type pendingResult struct {
	done chan outcome
	outcome
}

// waiter is a proposal or membership change that waits for its entry to be applied.
type waiter struct {
	term consensus.Term
	done chan outcome
}

// Voter is one member of the Raft cluster. Its methods are safe for concurrent use.
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

	inbox    chan receiveInput
	requests chan input // proposeInput and changeInput
	stop     chan struct{}
	done     chan struct{}
	status   atomic.Pointer[Status]

	// The fields below are owned by the goroutine that executes run.
	waiters        map[consensus.Index]waiter
	changes        []changeInput
	pendingResults []pendingResult // delivered after the next publish
	applied        consensus.Index
	snapshotIndex  consensus.Index
	lastPublished  Status
}

// Start opens the data folder and runs the voter. The clean-up function stops the voter and closes the log; it
// returns the error that stopped the voter earlier, if any.
func Start(cfg Config, sm StateMachine, net Sender, opts ...Option) (*Voter, func() error, error) {
	if cfg.SnapshotEvery == 0 {
		cfg.SnapshotEvery = DefaultSnapshotEvery
	}
	if cfg.Tick == 0 {
		cfg.Tick = consensus.DefaultTick
	}

	v := &Voter{
		cfg: cfg, now: time.Now, sm: sm, net: net, logger: &log.Logger{Level: log.PanicLevel},
		inbox: make(chan receiveInput, inboxSize), requests: make(chan input, proposalQueueSize),
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

// mixSeed combines the random seed with the voter's id. Machines that boot simultaneously may get the same random
// bytes, and voters that draw the same sequence of election timeouts split every vote.
func mixSeed(random int64, id ident.NodeID) int64 {
	return random ^ int64(xxhash.Sum64String(string(id))) //nolint:gosec // All bits are used.
}

// open opens the log and restores the core and the state machine from it.
func (v *Voter) open() (func() error, error) {
	walLog, saved, closeLog, err := wal.Open(wal.Config{Dir: v.cfg.Dir, ID: v.cfg.ID}, v.walOptions...)
	if err != nil {
		return nil, errors.Wrap(err, "start voter")
	}

	v.wal = walLog
	v.core, err = consensus.New(consensus.Config{
		ID: v.cfg.ID, Disk: walLog.Disk(), Voters: v.cfg.Voters, Tick: v.cfg.Tick,
		Rand: rand.New(rand.NewSource(v.seed)), //nolint:gosec // timeouts need no secrecy
	}, saved)
	if err == nil && saved.Snapshot != nil {
		v.applied, v.snapshotIndex = saved.Snapshot.Meta.Index, saved.Snapshot.Meta.Index
		err = v.sm.Restore(saved.Snapshot.Data)
	}
	if err != nil {
		_ = closeLog()
		return nil, errors.Wrap(err, "start voter")
	}

	return closeLog, nil
}

// Receive queues a message from the voter named from. It never blocks: when the queue is full, the message is dropped
// and the sending core retransmits it. Messages that can't be decoded or name another sender are dropped too.
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

// Propose replicates data and returns the result of the state machine. The error is *NotLeaderError if nothing was
// proposed because the voter is not the leader, and ErrOutcomeUnknown if the data may or may not be applied.
func (v *Voter) Propose(ctx context.Context, data []byte) ([]byte, error) {
	return v.submit(ctx, func(done chan outcome) input { return proposeInput{data: data, done: done} })
}

// AddLearner adds a learner, or replaces the disk of a member that has lost its disk. If m.Disk is 0, the disk that
// the node last announced to this leader is used. It returns when the change is committed.
func (v *Voter) AddLearner(ctx context.Context, m Member) error {
	return v.change(ctx, func(n *consensus.Node, now time.Time) (consensus.Index, error) {
		return n.AddLearner(now, m.ID, m.Disk)
	})
}

// Promote makes a learner a voter as soon as all committed entries are durable on the learner. It returns when the
// change is committed.
func (v *Voter) Promote(ctx context.Context, id ident.NodeID) error {
	return v.change(ctx, func(n *consensus.Node, now time.Time) (consensus.Index, error) {
		return n.Promote(now, id)
	})
}

// Remove removes a member from the cluster. It returns when the change is committed.
func (v *Voter) Remove(ctx context.Context, id ident.NodeID) error {
	return v.change(ctx, func(n *consensus.Node, now time.Time) (consensus.Index, error) {
		return n.Remove(now, id)
	})
}

// change submits a membership change and waits until it is committed. If ctx ends before the change could be started,
// the error is the reason that prevented it.
func (v *Voter) change(ctx context.Context, f func(*consensus.Node, time.Time) (consensus.Index, error)) error {
	lastErr := &atomic.Pointer[error]{}
	_, err := v.submit(ctx, func(done chan outcome) input {
		return changeInput{ctx: ctx, change: f, done: done, lastErr: lastErr}
	})
	if cause := lastErr.Load(); cause != nil && ctx.Err() != nil && errors.Is(err, ErrOutcomeUnknown) {
		return *cause
	}

	return err
}

// submit queues an input for the voter's goroutine and waits for its outcome.
func (v *Voter) submit(ctx context.Context, in func(chan outcome) input) ([]byte, error) {
	done := make(chan outcome, 1)
	select {
	case <-v.done:
		return nil, errors.Wrap(ErrStopped, "propose")
	default:
	}

	select {
	case v.requests <- in(done):
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

// Status returns the most recently published state.
func (v *Voter) Status() Status { return *v.status.Load() }

// Done returns a channel that is closed when the voter has stopped, through the clean-up function or after a failure.
func (v *Voter) Done() <-chan struct{} { return v.done }

// Err returns the failure that stopped the voter, or nil.
func (v *Voter) Err() error { return v.Status().Err }
