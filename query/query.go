// Package query plans the fan-out of a caller's request over the shards of an upstream and merges the shard replies
// into one answer. It is a state machine: every method receives the current time and returns the actions that the
// node must carry out. The package itself does no I/O and starts no timers.
package query

import (
	"time"

	"fulmarfall/ident"
)

// Operation is the kind of a request: a search or a call to one shard.
type Operation string

// Operations of an upstream. OperationExecute is not idempotent.
const (
	OperationSearch  Operation = "search"
	OperationExecute Operation = "execute"
)

// Request is one caller's request that has passed admission control.
type Request struct {
	ID        ident.RequestID
	Upstream  ident.UpstreamID
	Operation Operation
	// Fingerprint is computed by NewFingerprint from the upstream, the operation and the canonical query.
	Fingerprint ident.Fingerprint
	Class       ident.Class
	// Team is the calling team, or "", and Weight its entitlement relative to other teams; 0 means that of an average one.
	Team   ident.TeamID
	Weight float64
	// Group identifies the requests that compete for the same searchers, whose admission is divided by class and team. It is empty
	// if the configuration has no teams; admission is then reduced for all searches alike.
	Group ident.UpstreamID
	// Deadline is when the caller needs the answer. Finish is returned no later, provided that Tick is called at the
	// times that NextTick returns.
	Deadline time.Time
	// Limit is the maximum number of hits in the answer.
	Limit int
	// MinCoverage is the minimum fraction of the documents that an answer must cover, from 0 to 1.
	MinCoverage float64
	// MaxAttempts is the maximum number of searchers that may run the request for each shard; 0 means no limit.
	MaxAttempts int
	// Target is the time from which an answer that reaches MinCoverage is sent without waiting for further shards. If it
	// is zero, the query waits for missing shards until the deadline.
	Target time.Time
	// Repeated is set if the caller has already spent time on the request, most likely on an attempt that was refused.
	Repeated bool
	// Parts requests an answer that lists the attempts whose replies it consists of, instead of merged hits. The node
	// keeps the replies and merges them in their own format.
	Parts bool
	// Shard is the target of an OperationExecute; it is empty for a search.
	Shard ident.ShardID
	// Wake makes the node call Tick soon. It is called with the lock of the Planner held, so it must neither block nor call the
	// Planner. A request without it never waits for a searcher to have room.
	Wake func()
	// LateAt is when an answer is late for the caller; zero means never. Requests that wait are served before those that are
	// late.
	LateAt time.Time
}

// Hit is one document that matches a search.
type Hit struct {
	ID       string
	Score    float64
	Document []byte
}

// Status is the result of a shard attempt.
type Status uint8

// Results of a shard attempt.
const (
	// StatusOK carries hits (search) or a body (execute).
	StatusOK Status = iota + 1
	// StatusNotStarted is a refusal by the owner, the searcher or the entry node's own transport that guarantees that
	// the searcher did not start the request. Reason gives the cause.
	StatusNotStarted
	// StatusSnapshotGone means that the searcher no longer has the snapshot; it did not start the request.
	StatusSnapshotGone
	// StatusCrashed means that the connection to the searcher was lost while the request ran.
	StatusCrashed
	// StatusLost means that the connection to the owner was lost, so that it is unknown whether the request ran.
	StatusLost
	// StatusTimedOut means that the attempt passed its deadline at the owner.
	StatusTimedOut
	// StatusFailed means that the searcher replied with an error or with a reply that could not be decoded.
	StatusFailed
)

// Load is a searcher's load as reported by its owner.
type Load struct {
	// Known is false if the reply carried no load report.
	Known    bool
	InFlight int
	Queued   int
	Cold     bool
}

// ShardReply is the result of one shard attempt.
type ShardReply struct {
	Request  ident.RequestID
	Attempt  ident.AttemptID
	Shard    ident.ShardID
	Snapshot ident.SnapshotID
	Status   Status
	// Reason gives the cause of every status other than StatusOK.
	Reason     ident.Reason
	RetryAfter ident.RetryAfter
	Hits       []Hit
	// Body is the result of an OperationExecute.
	Body []byte
	Load Load
	// Sent is set if the request was transmitted to the searcher, whether or not it was started. Only a Planner with
	// WithDirectSends reads it, because there a rejected request also counts as load.
	Sent bool
}

// Action is an instruction to the node. The types are *Send, *Cancel and *Finish.
type Action interface{ isAction() }

// Send instructs the node to send one shard request to the owner of a searcher.
type Send struct {
	Request  ident.RequestID
	Attempt  ident.AttemptID
	Searcher ident.SearcherID
	Owner    ident.NodeID
	Shard    ident.ShardID
	Snapshot ident.SnapshotID
	// Deadline is when the searcher must have finished; the time for the reply to travel back is already subtracted.
	Deadline time.Time
	// Hedge marks a hedged request: a second attempt while another one for the same shard is in flight. The owner accepts
	// it only if its queue is empty.
	Hedge bool
	// Retry marks an attempt that replaces a failed or timed-out one.
	Retry bool
	// Essential is set if the request cannot be answered without this shard, so that the attempt may wait in a queue. It is
	// set only by a Planner with direct sends.
	Essential bool
	// Exclusive requires that nothing else is in flight at the searcher, because the request is suspected of crashing
	// searchers.
	Exclusive bool
	// Cleared marks attempts that follow a successful exclusive run of the same query. An owner can accept them before it
	// has learned that the request is no longer suspected.
	Cleared bool
	// Canary marks the first run of a request that is not yet known to be harmless.
	Canary bool
	// Limited is set if the searcher has a request limit, under which room was taken for the attempt.
	Limited bool
	// ConnectionWait is how long an attempt that is not essential may wait for a connection; 0 means not at all. It is set only by a
	// Planner with direct sends.
	ConnectionWait time.Duration
	// Distance tells whether the attempt leaves the failure domain or the region of the node.
	Distance Distance
}

// Distance is the distance of a searcher from a node.
type Distance uint8

// Distances: in the failure domain of the node, in another one of its region, and in another region.
const (
	DistanceNear Distance = iota
	DistanceRegion
	DistanceFar
)

// Cancel instructs the node to cancel one attempt. A reply that still arrives is ignored.
type Cancel struct {
	Attempt  ident.AttemptID
	Searcher ident.SearcherID
	Owner    ident.NodeID
}

// Finish ends the query. Exactly one of Answer and Refusal is set.
type Finish struct {
	Answer  *Answer
	Refusal *Refusal
	// WithoutRoom counts the searchers that were passed over because their request limits left no room.
	WithoutRoom int
}

func (*Send) isAction()   {}
func (*Cancel) isAction() {}
func (*Finish) isAction() {}

var (
	_ Action = (*Send)(nil)
	_ Action = (*Cancel)(nil)
	_ Action = (*Finish)(nil)
)

// Answer is the merged answer to a request.
type Answer struct {
	Request  ident.RequestID
	Outcome  ident.Outcome
	Snapshot ident.SnapshotID
	Coverage Coverage
	Hits     []Hit
	// Body is the result of an OperationExecute.
	Body []byte
	// Parts lists the attempts whose replies make up the answer, in shard order, if the request has Parts set.
	Parts []Part
}

// Part identifies the attempt whose reply is used for a shard.
type Part struct {
	Shard   ident.ShardID
	Attempt ident.AttemptID
}

// Coverage describes how much of the pinned snapshot an answer covers.
type Coverage struct {
	ShardsTotal       int
	ShardsAnswered    int
	DocumentsTotal    ident.Documents
	DocumentsAnswered ident.Documents
	// Missing lists the shards without an answer, in snapshot order.
	Missing []MissingShard
}

// Fraction returns the covered fraction of the documents, or of the shards if the snapshot has no documents.
func (c Coverage) Fraction() float64 {
	switch {
	case c.DocumentsTotal > 0:
		return float64(c.DocumentsAnswered) / float64(c.DocumentsTotal)
	case c.ShardsTotal > 0:
		return float64(c.ShardsAnswered) / float64(c.ShardsTotal)
	default:
		return 0
	}
}

// MissingShard is a shard that an answer does not cover, and why.
type MissingShard struct {
	Shard  ident.ShardID
	Reason ident.Reason
}

// Refusal ends a request without an answer. Its outcome is OutcomeNotRun only if no searcher can have started it.
type Refusal struct {
	Request    ident.RequestID
	Outcome    ident.Outcome
	Reason     ident.Reason
	Message    string
	RetryAfter ident.RetryAfter
	// Limited lists the shards without room under the request limits of their searchers.
	Limited []ident.ShardID
	// Unreachable is set if shards are missing because their searchers took no connection.
	Unreachable bool
}
