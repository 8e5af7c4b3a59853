// Package query decides how one request of a caller is spread over the shards of an upstream and how the shard
// answers become one answer. It is a state machine: every method takes the current time and returns the actions
// that the node has to carry out; the package itself sends nothing and waits for nothing.
package query

import (
	"time"

	"fulmarfall/ident"
)

// Operation is what a request asks an upstream to do.
type Operation string

// The operations. OperationExecute is not idempotent.
const (
	OperationSearch  Operation = "search"
	OperationExecute Operation = "execute"
)

// Request is one admitted request of a caller.
type Request struct {
	ID        ident.RequestID
	Upstream  ident.UpstreamID
	Operation Operation
	// Fingerprint is NewFingerprint of the upstream, the operation and the canonical query.
	Fingerprint ident.Fingerprint
	Class       ident.Class
	// Deadline is the moment by which the caller wants the answer. Finish comes no later, provided that Tick is
	// called at the times that NextTick names.
	Deadline time.Time
	// Limit is the largest number of hits in the answer.
	Limit int
	// MinCoverage is the smallest accepted share of the documents, from 0 to 1.
	MinCoverage float64
	// MaxAttempts bounds the searchers that may run the request, for each shard; 0 means no bound.
	MaxAttempts int
	// Target is the time from which on an answer that reaches MinCoverage is not held back for the missing shards; the
	// zero time means that it is held back until the deadline.
	Target time.Time
	// Parts asks for an answer that names the attempts it consists of instead of their merged hits. The node keeps the
	// replies, and merges them in their own form.
	Parts bool
	// Shard is the shard that an OperationExecute addresses; a search leaves it empty.
	Shard ident.ShardID
}

// Hit is one document that matches a search.
type Hit struct {
	ID       string
	Score    float64
	Document []byte
}

// Status says how a shard attempt ended.
type Status uint8

// The statuses of a shard reply.
const (
	// StatusOK carries hits (search) or a body (execute).
	StatusOK Status = iota + 1
	// StatusNotStarted is a refusal of the owner or the searcher, or of the entry node's own transport, that
	// vouches that the searcher did not start the request. Reason says why.
	StatusNotStarted
	// StatusSnapshotGone says that the searcher no longer has the snapshot; it did not start the request.
	StatusSnapshotGone
	// StatusCrashed says that the connection to the searcher was lost while the request ran.
	StatusCrashed
	// StatusLost says that the connection to the owner was lost, so that it is not known whether the request ran.
	StatusLost
	// StatusTimedOut says that the attempt passed its deadline at the owner.
	StatusTimedOut
	// StatusFailed says that the searcher answered with an error or with an answer that cannot be read.
	StatusFailed
)

// Load is the load of a searcher as its owner sees it.
type Load struct {
	// Known is false when the reply carried no load report.
	Known    bool
	InFlight int
	Queued   int
	Cold     bool
}

// ShardReply is the end of one shard attempt.
type ShardReply struct {
	Request  ident.RequestID
	Attempt  ident.AttemptID
	Shard    ident.ShardID
	Snapshot ident.SnapshotID
	Status   Status
	// Reason qualifies every status but StatusOK.
	Reason     ident.Reason
	RetryAfter ident.RetryAfter
	Hits       []Hit
	// Body is the answer of an OperationExecute.
	Body []byte
	Load Load
	// Sent says that the request went out to the searcher, whether it was started or not. Only a Planner with
	// WithDirectSends reads it: rejected requests are load, too.
	Sent bool
}

// Action is what the node has to do for a query. The types are *Send, *Cancel and *Finish.
type Action interface{ isAction() }

// Send asks the node to send one shard request to the owner of a searcher.
type Send struct {
	Request  ident.RequestID
	Attempt  ident.AttemptID
	Searcher ident.SearcherID
	Owner    ident.NodeID
	Shard    ident.ShardID
	Snapshot ident.SnapshotID
	// Deadline is when the searcher has to be done; the time for the way back is already subtracted.
	Deadline time.Time
	// Hedge marks a second attempt while another one of the same shard is in flight; the owner takes it only
	// when its queue is empty.
	Hedge bool
	// Retry marks an attempt that follows a failed one.
	Retry bool
	// Essential says that the request can't be answered without the shard, so that the attempt may wait for its turn.
	// Only a Planner with direct sends sets it.
	Essential bool
	// Exclusive asks for a run with nothing else in flight at the searcher, because the request is suspected.
	Exclusive bool
	// Cleared marks the attempts that follow a successful exclusive run of the same query; an owner that has not yet
	// heard that the suspicion is lifted can take them.
	Cleared bool
	// Canary marks the run of a request that is not yet known to be harmless.
	Canary bool
}

// Cancel asks the node to cancel one attempt. Its reply no longer matters.
type Cancel struct {
	Attempt  ident.AttemptID
	Searcher ident.SearcherID
	Owner    ident.NodeID
}

// Finish ends the query. Exactly one of Answer and Refusal is set.
type Finish struct {
	Answer  *Answer
	Refusal *Refusal
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
	// Body is the answer to an OperationExecute.
	Body []byte
	// Parts are the attempts of which the answer consists, in the order of the shards, if the request asks for them.
	Parts []Part
}

// Part names the reply of one shard.
type Part struct {
	Shard   ident.ShardID
	Attempt ident.AttemptID
}

// Coverage says how much of the pinned snapshot an answer covers.
type Coverage struct {
	ShardsTotal       int
	ShardsAnswered    int
	DocumentsTotal    ident.Documents
	DocumentsAnswered ident.Documents
	// Missing lists the shards without an answer in the order of the snapshot.
	Missing []MissingShard
}

// Fraction returns the covered share of the documents, or of the shards when the snapshot holds no documents.
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

// MissingShard names a shard that an answer does not cover.
type MissingShard struct {
	Shard  ident.ShardID
	Reason ident.Reason
}

// Refusal ends a request without an answer. OutcomeNotRun is used only when no searcher can have started it.
type Refusal struct {
	Request    ident.RequestID
	Outcome    ident.Outcome
	Reason     ident.Reason
	Message    string
	RetryAfter ident.RetryAfter
}
