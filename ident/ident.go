// Package ident defines the named types for identities and units that the other packages share.
package ident

import (
	"fmt"
	"time"
)

// Identities that operators and searchers choose.
type (
	// NodeID names one fulmarfall process.
	NodeID string
	// TeamID names a calling team.
	TeamID string
	// UpstreamID names an upstream.
	UpstreamID string
	// SearcherID names one instance of an upstream; it is unique in the whole system.
	SearcherID string
	// ShardID names one shard of an upstream.
	ShardID string
	// FailureDomain names a failure domain.
	FailureDomain string
	// Region names a region; a region holds one or more failure domains.
	Region string
)

// Identities that are counted or drawn.
type (
	// Incarnation tells two runs of the same searcher apart.
	Incarnation uint64
	// SnapshotID numbers the snapshots of one upstream; a larger id is newer.
	SnapshotID uint64
	// Revision numbers the changes of one record, from 1.
	Revision uint64
	// Epoch numbers the owners of one searcher, from 1.
	Epoch uint64
	// RequestID names one request of a caller.
	RequestID string
	// AttemptID numbers the shard attempts of one request.
	AttemptID uint64
	// Fingerprint is the hash of what a request asks an upstream to do.
	Fingerprint uint64
	// OperationID names one change by an operator, so that a resend can be recognised.
	OperationID string
)

// Documents counts documents of a shard.
type Documents uint64

// Class is the priority class of a request. Smaller values go first.
type Class uint8

// The classes, most important first.
const (
	ClassUrgent Class = iota
	ClassNormal
	ClassBatch
)

// Classes lists every class in order of priority.
var Classes = []Class{ClassUrgent, ClassNormal, ClassBatch}

// String returns the name of the class in requests, records and metrics.
func (c Class) String() string {
	switch c {
	case ClassUrgent:
		return "urgent"
	case ClassNormal:
		return "normal"
	case ClassBatch:
		return "batch"
	default:
		return fmt.Sprintf("class(%d)", uint8(c))
	}
}

// ParseClass reads the name of a class. The empty name means normal.
func ParseClass(name string) (Class, error) {
	if name == "" {
		return ClassNormal, nil
	}

	for _, c := range Classes {
		if c.String() == name {
			return c, nil
		}
	}

	return 0, fmt.Errorf("class %q is not one of urgent, normal, batch", name)
}

// Outcome says whether a request ran.
type Outcome string

// The outcomes. OutcomeNotRun is used only where no searcher can have started the request.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
)

// Reason says why a request was refused or why a shard is missing from an answer.
type Reason string

// The reasons that callers see.
const (
	ReasonBadRequest       Reason = "bad_request"
	ReasonUnauthenticated  Reason = "unauthenticated"
	ReasonNotApproved      Reason = "not_approved"
	ReasonUnknownUpstream  Reason = "unknown_upstream"
	ReasonUnknownShard     Reason = "unknown_shard"
	ReasonKeyReused        Reason = "key_reused"
	ReasonKeyExpired       Reason = "key_expired"
	ReasonInProgress       Reason = "in_progress"
	ReasonTooLarge         Reason = "too_large"
	ReasonConvicted        Reason = "convicted"
	ReasonSuspected        Reason = "suspected"
	ReasonOverShare        Reason = "over_share"
	ReasonOverloaded       Reason = "overloaded"
	ReasonDeadline         Reason = "deadline"
	ReasonStaleNode        Reason = "stale_node"
	ReasonLeaving          Reason = "leaving"
	ReasonOutOfService     Reason = "out_of_service"
	ReasonNoSnapshot       Reason = "no_snapshot"
	ReasonSnapshotGone     Reason = "snapshot_gone"
	ReasonNoReplica        Reason = "no_replica"
	ReasonUnreachable      Reason = "unreachable"
	ReasonCrashed          Reason = "crashed"
	ReasonCold             Reason = "cold"
	ReasonResting          Reason = "resting"
	ReasonShardsFull       Reason = "shards_full"
	ReasonShed             Reason = "shed"
	ReasonCancelled        Reason = "cancelled"
	ReasonLowCoverage      Reason = "low_coverage"
	ReasonControlUnreached Reason = "control_unreachable"
	ReasonBadReply         Reason = "bad_reply"
)

// RetryAfter is the advice to a caller on when to come back.
type RetryAfter time.Duration

// Milliseconds returns the advice in the unit of the public interface.
func (r RetryAfter) Milliseconds() int64 { return time.Duration(r).Milliseconds() }

// String returns the fingerprint as log lines show it; readers of JSON may keep 53 bits of a number only.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
