// Package lease implements node leases and the assignment of an owner to each searcher. A node may
// send requests to a searcher only while its lease is valid and its applied control state names it
// as the owner. The package guarantees that this is true of at most one incarnation of one node at
// a time, provided that clock rates stay within the drift bound.
package lease

import (
	"time"

	"fulmarfall/ident"

	"github.com/go-faster/errors"
)

// Parameters of the lease protocol.
const (
	// MaxDuration is the longest duration of a granted lease. It is longer than an election, so that
	// an election does not interrupt service, and short enough that a change takes effect
	// everywhere within 4 s.
	MaxDuration = 2 * time.Second
	// RenewInterval is the interval between renewals. It allows four attempts before a lease expires.
	RenewInterval = 400 * time.Millisecond
	// TakeoverDelay is the time that a new owner waits before its first request. The previous owner's
	// last requests ended with its lease, but their cancellations may still be in flight.
	TakeoverDelay = 200 * time.Millisecond
	// driftPercent bounds the deviation of a node's clock rate from true time.
	driftPercent = 1
	// elapsedPercent is added to a duration measured by a clock that may be slow: 1/0.99, rounded up.
	elapsedPercent = 2
)

// Errors of Leader.Renew. The node may retry after any of them.
var (
	// ErrNoQuorum means that no majority has acknowledged the leader's heartbeats within MaxDuration,
	// or that the leader has not committed an entry of its own term.
	ErrNoQuorum = errors.New("the leader has no recent quorum")
	// ErrOldIncarnation means that a later incarnation of the node has renewed its lease.
	ErrOldIncarnation = errors.New("a later incarnation of the node has renewed its lease")
	// ErrReassigning means that the node's lease has expired and its searchers are being reassigned.
	// The node can renew once the reassignment is in the control state.
	ErrReassigning = errors.New("the searchers of the node are being reassigned")
	// ErrBadNode means that the node's id, incarnation or failure domain is missing.
	ErrBadNode = errors.New("node id, incarnation or failure domain is missing")
)

// NodeInfo describes the node in a renewal.
type NodeInfo struct {
	ID ident.NodeID
	// Incarnation identifies one run of the node's process; it increases with each restart.
	Incarnation   ident.Incarnation
	Address       string
	FailureDomain ident.FailureDomain
	Region        ident.Region
	// Leaving means that the node's searchers are moved to other nodes and it is assigned no new
	// ones. It is also set while the node's failure domain is out of service.
	Leaving bool
}

// nodeIncarnation identifies one run of a node's process.
type nodeIncarnation struct {
	id          ident.NodeID
	incarnation ident.Incarnation
}

// shorten returns d reduced by percent.
func shorten(d, percent time.Duration) time.Duration { return d - d*percent/100 }

// lengthen returns d increased by percent.
func lengthen(d, percent time.Duration) time.Duration { return d + d*percent/100 }
