// Package lease decides which nodes hold a lease and which node owns each searcher. A node may
// send to a searcher only while its lease is valid and its applied copy of the control state names
// it as the owner. The package guarantees that this holds for at most one run of one node at a
// time, for clocks whose rates are within the drift bound.
package lease

import (
	"time"

	"fulmarfall/ident"

	"github.com/go-faster/errors"
)

// Times of the lease protocol.
const (
	// Term is the longest grant. It is longer than an election, so that an election does not stop
	// service, and short enough that a change is in force everywhere within 4 s.
	Term = 2 * time.Second
	// RenewEvery gives a node four tries before its lease ends.
	RenewEvery = 400 * time.Millisecond
	// Clearance is the time that a new owner waits before its first request: the last requests of
	// the owner before it ended with its lease, and their cancellation may be under way.
	Clearance = 200 * time.Millisecond
	// driftPercent bounds the difference between the rate of a node's clock and true time.
	driftPercent = 1
	// elapsedPercent is added to a time measured by a clock that may be slow: 1/0.99, rounded up.
	elapsedPercent = 2
)

// Refusals of renewals. The node may ask again.
var (
	// ErrNoQuorum means that the leader has not heard from a majority within the term, or has not
	// committed an entry of its own term.
	ErrNoQuorum = errors.New("the leader has no recent quorum")
	// ErrOldIncarnation means that a later run of the node has renewed.
	ErrOldIncarnation = errors.New("a later run of the node is known")
	// ErrReassigning means that the node counts as gone and its searchers are being given to
	// other nodes. It may renew once that is in the control state.
	ErrReassigning = errors.New("the searchers of the node are being reassigned")
	// ErrBadNode means that the node's id, incarnation or failure domain is missing.
	ErrBadNode = errors.New("node id, incarnation or failure domain is missing")
)

// NodeInfo is what a node says about itself in a renewal.
type NodeInfo struct {
	ID ident.NodeID
	// Incarnation is different in each run of the node's process and grows.
	Incarnation   ident.Incarnation
	Address       string
	FailureDomain ident.FailureDomain
	Region        ident.Region
	// Leaving means that the node gives its searchers away and takes no others. It is also set
	// while the node's failure domain is out of service.
	Leaving bool
}

// run is one run of a node's process.
type run struct {
	id  ident.NodeID
	inc ident.Incarnation
}

// less returns a time shortened by some percent.
func less(d, percent time.Duration) time.Duration { return d - d*percent/100 }

// more returns a time lengthened by some percent.
func more(d, percent time.Duration) time.Duration { return d + d*percent/100 }
