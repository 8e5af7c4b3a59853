// Package searcher decides at the owner of a searcher which shard requests the searcher gets, and
// when. The gate holds the slots and connections of one incarnation exactly, limits the load of a
// cold searcher, and refuses at once what cannot finish before its deadline.
//
// The package does no I/O: time is passed in, and the owner carries out the effects that each call
// returns, in their order.
package searcher

import (
	"time"

	"fulmarfall/ident"
)

// RunID names one shard attempt of one request.
type RunID struct {
	Request ident.RequestID
	Attempt ident.AttemptID
}

// ConnectionID numbers the connections of one gate. Numbers are not used twice.
type ConnectionID uint64

// Announcement is what a gate needs to know from an announcement of its searcher.
type Announcement struct {
	// Incarnation grows with each start of the searcher. An announcement of an older incarnation
	// than the one known arrived late and is ignored.
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
	Hedge       bool // accepted only when nothing waits
	Exclusive   bool // suspected fingerprint: runs alone on the searcher
	Cleared     bool // suspected before, but its exclusive run succeeded
	Unproven    bool // canary: one run per fingerprint at a time
}

// Effect is something that the owner must do. The set is sealed.
type Effect interface{ effect() }

// Start sends a run to the searcher. The searcher is given Deadline, which is no later than the
// lease end of the owner.
type Start struct {
	Run         RunID
	Incarnation ident.Incarnation
	Deadline    time.Time
	Connection  ConnectionID
	Opens       bool // the connection is new: open it first and report Connected
}

// Refuse tells the entry node that the run was not started.
type Refuse struct {
	Run        RunID
	Reason     ident.Reason
	RetryAfter ident.RetryAfter
}

// CancelRun asks the searcher to stop a run that was started. The owner reports its end by Done.
type CancelRun struct {
	Run        RunID
	Connection ConnectionID
}

// OpenConnection opens a connection ahead of use. The owner reports Connected or Disconnected.
type OpenConnection struct{ Connection ConnectionID }

// CloseConnection closes a connection. The owner reports Disconnected when it is closed; until
// then it counts against the limit of the searcher.
type CloseConnection struct{ Connection ConnectionID }

func (Start) effect()           {}
func (Refuse) effect()          {}
func (CancelRun) effect()       {}
func (OpenConnection) effect()  {}
func (CloseConnection) effect() {}

// OutcomeKind says how a run ended as the owner saw it.
type OutcomeKind uint8

// The kinds of outcome.
const (
	// OK is a complete answer.
	OK OutcomeKind = iota
	// Failed is an error answer, or no answer until the deadline.
	Failed
	// Crashed is a connection lost while the run was in flight.
	Crashed
	// Shed is a refusal by the searcher that says that the run was not started.
	Shed
	// Cancelled is a run that the owner cancelled.
	Cancelled
	// Unreachable is a run of which no byte was sent, because no connection could be opened.
	Unreachable
)

// RunOutcome reports the end of a run.
type RunOutcome struct {
	Kind OutcomeKind
	// AnswerRead says that the searcher's answer to this very run was read in full. Only then is the
	// connection used again, and only then is the slot free before the deadline of the run.
	AnswerRead bool
}

// Load describes a gate in the replies to entry nodes.
type Load struct {
	InFlight int
	Queued   int
	Slots    int // slots that may be used now: 1 while cold
	Level    int // cold-start level
	Warm     bool
	Rate     float64       // starts per second while cold
	Latency  time.Duration // median service time, 0 while unknown
}

// Defaults of a gate.
const (
	// DefaultQueueLimit bounds the waiting entries per searcher.
	DefaultQueueLimit = 16
	// DefaultColdRate allows one start per 50 ms at level 0.
	DefaultColdRate = 20.0
	// DefaultClearance is how long a new owner waits for network and cancellation delay.
	DefaultClearance = 200 * time.Millisecond
	// DefaultServiceTime judges deadlines until service times have been observed.
	DefaultServiceTime = 5 * time.Millisecond

	// endGrace is how long after its deadline a run without an answer keeps its slot. It covers the
	// one-way latency between regions (12 ms) and a late timer at the searcher.
	endGrace = 50 * time.Millisecond
	// silenceLimit is the time without announcements after which a searcher is taken as gone.
	silenceLimit = 5 * time.Second
	// goodPerLevel answers raise the cold-start level by one.
	goodPerLevel = 8
	// goodPerLevelUnknown is used when no warm latency is known: the answers of a cold searcher are
	// then the only reference, and a ramp on them alone overran cold searchers in the model.
	goodPerLevelUnknown = 32
	// goodFactor bounds a good answer in multiples of the warm latency.
	goodFactor = 2
	// slowFactor and slowAnswers detect a searcher that turned cold without saying so: that many answers
	// over that multiple of the warm latency with no good answer between them.
	slowFactor  = 4
	slowAnswers = 3
	// overtakenFor is how long a class whose waiting entries were overtaken until they became too late is
	// admitted with care: its estimated wait counts overtakenFactor times.
	overtakenFor    = 100 * time.Millisecond
	overtakenFactor = 3
	// relearnAfter slow but successful answers in a row at level 0 become the new warm latency, so
	// that a lasting change of the upstream does not keep its searchers cold for ever.
	relearnAfter = 64
	// spacingJitter lengthens the spacing of cold starts by up to this part, so that searchers which
	// ramp up together do not start runs in step.
	spacingJitter = 0.25
	// struckFor is how long a fingerprint that was in flight at a crash is refused here unless it
	// comes as an exclusive run: the 4 s within which the suspicion is in force at every node.
	struckFor = 4 * time.Second
	// retryUnavailable is the advice while the searcher takes no work: the interval of announcements.
	retryUnavailable = time.Second
	// minRetryAfter keeps advice above the resolution of callers' timers.
	minRetryAfter = 10 * time.Millisecond
)

// GateConfig configures a gate.
type GateConfig struct {
	Searcher ident.SearcherID
	// QueueLimit bounds the queue; 0 means DefaultQueueLimit.
	QueueLimit int
	// WarmLatency is the expected service time of a warm searcher; 0 means unknown. A new owner gets
	// it from the upstream record or from the other replicas.
	WarmLatency time.Duration
	// FullRate is the rate at which the gate counts as warm; 0 means slots divided by warm latency.
	FullRate float64
	// NotBefore is the end of the clearance after a take-over: nothing starts earlier.
	NotBefore time.Time
	// ReservedConnections are kept free for cancellations and health checks.
	ReservedConnections int
	// Seed drives the jitter.
	Seed uint64
}

// Option changes a mechanism of a gate. The experiments use options to switch mechanisms off.
type Option func(*Gate)

// WithoutColdGate lets a cold searcher use all its slots at once.
func WithoutColdGate() Option { return func(g *Gate) { g.coldGate = false } }

// WithoutDeadlineQueue keeps the queue in order of arrival.
func WithoutDeadlineQueue() Option { return func(g *Gate) { g.queue.arrivalOrder = true } }

// WithoutEarlyRefusal lets entries wait in the queue until their deadline.
func WithoutEarlyRefusal() Option { return func(g *Gate) { g.earlyRefusal = false } }

// WithoutWarmConnections opens connections only when a run needs one.
func WithoutWarmConnections() Option { return func(g *Gate) { g.warmConnections = false } }
