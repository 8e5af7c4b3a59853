// Package admission implements admission control at an entry node: it limits the requests in flight, divides a full node
// fairly among calling teams, enforces the rate limits of approvals, and refuses other requests at once with a retry
// delay. It has no queue, so that no refusal is delayed.
package admission

import (
	"time"

	"fulmarfall/ident"
)

// Defaults of the options.
const (
	// DefaultCapacity is the maximum number of requests in flight at one node. With a higher limit and at twice the load
	// that the searchers of the first two users can serve, requests wait at searchers until their deadlines: answers lack
	// shards and refusals come late.
	DefaultCapacity = 32
	// DefaultTeams and DefaultBuckets limit the sizes of the tables of teams and of approvals.
	DefaultTeams   = 4096
	DefaultBuckets = 16384
)

const (
	// activePeriod is how long after its last arrival a team counts in the fair shares.
	activePeriod = time.Second
	// unrestrictedFraction is the utilisation of the node up to which a team may exceed its fair share. The remainder is
	// reserved for teams below their share, so that one team can never fill the node completely.
	unrestrictedFraction = 0.75
	// minRetryAfter and maxRetryAfter limit the retry delay of a refusal.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// classShare is the fraction of the node's capacity that each class may fill: batch leaves room for normal requests, and
// normal for urgent ones.
var classShare = map[ident.Class]float64{ident.ClassUrgent: 1, ident.ClassNormal: 0.7, ident.ClassBatch: 0.5}

// Approval holds the fields of an approval record that admission needs.
type Approval struct {
	// Weight is the weight of the team in the fair shares; 0 counts as 1.
	Weight float64
	// RatePerSecond limits the rate of requests from the team to the upstream at this node; 0 means no limit.
	RatePerSecond float64
	// Burst is the number of requests that may arrive at once; 0 means those of one second at RatePerSecond.
	Burst float64
}

// Request is a request from an authenticated team that has an approval for the upstream.
type Request struct {
	Team     ident.TeamID
	Upstream ident.UpstreamID
	Class    ident.Class
	Deadline time.Time
	Approval Approval
}

// Ticket represents an admitted request until Release. The zero Ticket represents no request.
type Ticket struct {
	team     *team
	upstream ident.UpstreamID
	since    time.Time
	deadline time.Time
}

// Refusal describes why a request was not admitted. Its outcome is always ident.OutcomeNotRun.
type Refusal struct {
	Outcome    ident.Outcome
	Reason     ident.Reason
	Message    string
	RetryAfter ident.RetryAfter
}

// Counters count admissions and refusals by reason.
type Counters struct {
	Admitted, OverRate, OverShare, Overloaded, Deadline uint64
}
