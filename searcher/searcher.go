// Package searcher decides, at the owner of a searcher, which shard requests the searcher gets and when.
// The gate enforces the slot and connection limits of one incarnation exactly, limits the load of a cold
// searcher, and refuses at once any request that cannot finish before its deadline.
//
// The package does no I/O: time is passed in, and the owner carries out the effects that each call
// returns, in order.
package searcher

import (
	"time"

	"fulmarfall/ident"
)

// RunID identifies one shard attempt of one request.
type RunID struct {
	Request ident.RequestID
	Attempt ident.AttemptID
}

// ConnectionID identifies a connection of one gate. IDs are not reused.
type ConnectionID uint64

// Announcement holds the fields of a searcher's announcement that its gate needs.
type Announcement struct {
	// Incarnation increases with each start of the searcher. An announcement of an earlier incarnation
	// than the current one arrived late and is ignored.
	Incarnation       ident.Incarnation
	Slots             int
	Connections       int
	Cold              bool
	ColdRatePerSecond float64 // 0 means the default
	Leaving           bool
}

// Request asks the gate for one run on the searcher.
type Request struct {
	Run         RunID
	Class       ident.Class
	Fingerprint ident.Fingerprint
	Deadline    time.Time
	Hedge       bool // accepted only while the queue is empty
	Exclusive   bool // suspected fingerprint: runs alone on the searcher
	Cleared     bool // suspected before, but its exclusive run succeeded
	Unproven    bool // canary: one run per fingerprint at a time
}

// Effect is an action that the owner must carry out. Only this package implements it.
type Effect interface{ effect() }

// Start sends a run to the searcher with the given Deadline, which is not after the end of the owner's
// lease.
type Start struct {
	Run         RunID
	Incarnation ident.Incarnation
	Deadline    time.Time
	Connection  ConnectionID
	Opens       bool // the connection is new: open it first and report Connected
}

// Refuse reports to the entry node that the run was not started.
type Refuse struct {
	Run        RunID
	Reason     ident.Reason
	RetryAfter ident.RetryAfter
}

// CancelRun asks the searcher to stop a started run. The owner reports the end of the run with Done.
type CancelRun struct {
	Run        RunID
	Connection ConnectionID
}

// OpenConnection opens a connection ahead of use. The owner reports Connected or Disconnected.
type OpenConnection struct{ Connection ConnectionID }

// CloseConnection closes a connection. The connection counts against the limit of the searcher until the
// owner reports Disconnected.
type CloseConnection struct{ Connection ConnectionID }

func (Start) effect()           {}
func (Refuse) effect()          {}
func (CancelRun) effect()       {}
func (OpenConnection) effect()  {}
func (CloseConnection) effect() {}

// OutcomeKind classifies how a run ended, as observed by the owner.
type OutcomeKind uint8

// The kinds of outcome.
const (
	// OK is a complete answer.
	OK OutcomeKind = iota
	// Failed is an error answer, or no answer until the deadline.
	Failed
	// Crashed is a connection lost while the run was in flight.
	Crashed
	// Shed is a refusal by the searcher, which did not start the run.
	Shed
	// Cancelled is a run that the owner cancelled.
	Cancelled
	// Unreachable is a run of which no byte was sent, because no connection could be opened.
	Unreachable
)

// RunOutcome describes the end of a run.
type RunOutcome struct {
	Kind OutcomeKind
	// AnswerRead is true if the searcher's answer to this run was read in full. Only then does Done release
	// the connection for reuse and, for a run that was sent, free the slot before the deadline.
	AnswerRead bool
	// Limit is what the answer says about the searcher's request limit; nil if it says nothing.
	Limit *LimitStatement
}

// Load describes the state of a gate in replies to entry nodes.
type Load struct {
	InFlight int
	Queued   int
	Slots    int // slots that may be used now; at most 1 while cold
	Level    int // cold-start level
	Warm     bool
	Rate     float64       // starts per second while cold
	Latency  time.Duration // median service time, DefaultServiceTime while unknown
}

// Defaults of a gate.
const (
	// DefaultQueueLimit is the maximum number of waiting entries per searcher.
	DefaultQueueLimit = 16
	// DefaultColdRate is the rate of starts per second at level 0: one every 50 ms.
	DefaultColdRate = 20.0
	// DefaultClearance is how long a new owner waits before its first start, to allow for the network
	// latency and the cancellation of the former owner's runs.
	DefaultClearance = 200 * time.Millisecond
	// DefaultServiceTime is the service time assumed until one has been observed.
	DefaultServiceTime = 5 * time.Millisecond

	// deadlineGrace is how long after its deadline an unanswered run keeps its slot. It covers the one-way
	// latency between regions (12 ms) and a late timer at the searcher.
	deadlineGrace = 50 * time.Millisecond
	// announcementTimeout is the time without announcements after which a searcher counts as unavailable.
	announcementTimeout = 5 * time.Second
	// goodPerLevel is the number of good answers that raise the cold-start level by one.
	goodPerLevel = 8
	// goodPerLevelUnknown replaces goodPerLevel while no warm latency is known. The answers of a cold
	// searcher are then the only reference, and a ramp on them alone overloaded cold searchers in
	// simulation.
	goodPerLevelUnknown = 32
	// goodFactor is the maximum service time of a good answer, as a multiple of the warm latency.
	goodFactor = 2
	// slowFactor and slowAnswers detect a searcher that turned cold without announcing it: slowAnswers
	// answers took longer than slowFactor times the warm latency, with no good answer between them.
	slowFactor  = 4
	slowAnswers = 3
	// overtakenPeriod is how long admission is stricter for a class whose waiting entries were overtaken
	// until they could no longer finish in time: its estimated wait is multiplied by overtakenFactor.
	overtakenPeriod = 100 * time.Millisecond
	overtakenFactor = 3
	// relearnAfter is the number of consecutive slow but successful answers at level 0 after which their
	// median becomes the warm latency, so that a permanent change of the upstream does not keep its
	// searchers cold for ever.
	relearnAfter = 64
	// spacingJitter lengthens the spacing of cold starts by up to this fraction, so that searchers that
	// ramp up at the same time do not start runs in lockstep.
	spacingJitter = 0.25
	// quarantinePeriod is how long a fingerprint that was in flight at a crash is refused here unless the
	// request is exclusive or cleared. The suspicion takes effect at every node within these 4 s.
	quarantinePeriod = 4 * time.Second
	// retryUnavailable is the retry delay given while the searcher accepts no requests: the interval of
	// announcements.
	retryUnavailable = time.Second
	// minRetryAfter keeps retry delays above the resolution of callers' timers.
	minRetryAfter = 10 * time.Millisecond
)

// GateConfig configures a gate.
type GateConfig struct {
	Searcher ident.SearcherID
	// QueueLimit bounds the queue; 0 means DefaultQueueLimit.
	QueueLimit int
	// WarmLatency is the expected service time of a warm searcher; 0 means unknown. A new owner obtains
	// it from the upstream record or from the other replicas.
	WarmLatency time.Duration
	// FullRate is the rate of starts per second from which the searcher counts as warm; 0 means slots
	// divided by warm latency.
	FullRate float64
	// NotBefore is the end of the clearance period after a take-over, before which no run starts.
	NotBefore time.Time
	// ReservedConnections are kept free for cancellations and health checks.
	ReservedConnections int
	// Seed seeds the random source of the jitter.
	Seed uint64
}

// Option configures a gate. Experiments use options to disable single mechanisms.
type Option func(*Gate)

// WithoutColdGate disables the limits on a cold searcher, which may then use all its slots at once.
func WithoutColdGate() Option { return func(g *Gate) { g.coldGate = false } }

// WithoutDeadlineQueue orders the queue by arrival only.
func WithoutDeadlineQueue() Option { return func(g *Gate) { g.queue.arrivalOrder = true } }

// WithoutEarlyRefusal keeps entries in the queue until their deadline, even if they cannot finish by then.
func WithoutEarlyRefusal() Option { return func(g *Gate) { g.earlyRefusal = false } }

// WithoutWarmConnections opens connections only when a run needs one.
func WithoutWarmConnections() Option { return func(g *Gate) { g.warmConnections = false } }
