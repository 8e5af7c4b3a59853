// Package ident defines the types for identifiers and units that the other packages share.
package ident

import (
	"fmt"
	"time"
)

// Identifiers that operators and searchers choose.
type (
	// NodeID identifies one fulmarfall process.
	NodeID string
	// TeamID identifies a calling team.
	TeamID string
	// UpstreamID identifies an upstream.
	UpstreamID string
	// SearcherID identifies one instance of an upstream; it is unique in the whole system.
	SearcherID string
	// ShardID identifies one shard of an upstream.
	ShardID string
	// FailureDomain identifies a failure domain.
	FailureDomain string
	// Region identifies a region, which contains one or more failure domains.
	Region string
)

// Identifiers that are counters or generated.
type (
	// Incarnation distinguishes runs of the same searcher or node.
	Incarnation uint64
	// SnapshotID numbers the snapshots of one upstream; a larger id denotes a newer snapshot.
	SnapshotID uint64
	// Revision numbers the changes of one record, starting at 1.
	Revision uint64
	// Epoch numbers the owner assignments of all searchers, starting at 1. Each new assignment of a
	// searcher has a larger epoch than the previous one.
	Epoch uint64
	// RequestID identifies one request of a caller.
	RequestID string
	// AttemptID numbers the shard attempts of one request.
	AttemptID uint64
	// Fingerprint is the hash of the operation that a request asks an upstream to perform.
	Fingerprint uint64
	// OperationID identifies one change by an operator, so that a resend can be recognised.
	OperationID string
)

// Documents is a number of documents.
type Documents uint64

// SoftwareVersion is the version of a searcher's program, as it announces it. It is empty if it is not known.
type SoftwareVersion string

// RequestRate is a number of requests per second.
type RequestRate float64

// Class is the priority class of a request. Smaller values have higher priority.
type Class uint8

// Priority classes, highest first.
const (
	ClassUrgent Class = iota
	ClassNormal
	ClassBatch
)

// Classes lists every class, highest priority first.
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

// ParseClass parses the name of a class. An empty name means ClassNormal.
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

// Outcome states whether a request was executed.
type Outcome string

// Outcomes of a request. OutcomeNotRun is used only if no searcher can have started the request.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
)

// Reason is the reason for which a request was refused or a shard is missing from a response.
type Reason string

// Reasons that are returned to callers.
const (
	ReasonBadRequest         Reason = "bad_request"
	ReasonUnauthenticated    Reason = "unauthenticated"
	ReasonNotApproved        Reason = "not_approved"
	ReasonUnknownUpstream    Reason = "unknown_upstream"
	ReasonUnknownShard       Reason = "unknown_shard"
	ReasonKeyReused          Reason = "key_reused"
	ReasonKeyExpired         Reason = "key_expired"
	ReasonInProgress         Reason = "in_progress"
	ReasonTooLarge           Reason = "too_large"
	ReasonConvicted          Reason = "convicted"
	ReasonSuspected          Reason = "suspected"
	ReasonOverShare          Reason = "over_share"
	ReasonOverloaded         Reason = "overloaded"
	ReasonDeadline           Reason = "deadline"
	ReasonStaleNode          Reason = "stale_node"
	ReasonLeaving            Reason = "leaving"
	ReasonOutOfService       Reason = "out_of_service"
	ReasonNoSnapshot         Reason = "no_snapshot"
	ReasonSnapshotGone       Reason = "snapshot_gone"
	ReasonNoReplica          Reason = "no_replica"
	ReasonUnreachable        Reason = "unreachable"
	ReasonCrashed            Reason = "crashed"
	ReasonCold               Reason = "cold"
	ReasonResting            Reason = "resting"
	ReasonShardsFull         Reason = "shards_full"
	ReasonLimited            Reason = "limited"
	ReasonShed               Reason = "shed"
	ReasonCancelled          Reason = "cancelled"
	ReasonLowCoverage        Reason = "low_coverage"
	ReasonControlUnreachable Reason = "control_unreachable"
	ReasonBadReply           Reason = "bad_reply"
	ReasonIsolated           Reason = "isolated"
	ReasonOverUsage          Reason = "over_usage"
	ReasonNoShare            Reason = "no_share"
)

// RetryAfter is the time after which a caller should retry.
type RetryAfter time.Duration

// Milliseconds returns the time in milliseconds, the unit of the public API.
func (r RetryAfter) Milliseconds() int64 { return time.Duration(r).Milliseconds() }

// String returns the fingerprint in hexadecimal for log lines. A JSON number would not do, because
// JSON parsers may keep only 53 bits of it.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
