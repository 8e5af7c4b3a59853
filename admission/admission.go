// Package admission decides at an entry node which requests may start: it bounds the requests in flight, shares the
// node fairly among calling teams when it is full, holds approvals to their rates, and refuses at once with a time to
// come back. It keeps no queue, so that no refusal is held back.
package admission

import (
	"time"

	"fulmarfall/ident"
)

// Defaults of the options.
const (
	// DefaultCapacity is the number of requests in flight at one node. More of them wait at searchers until their
	// deadlines at twice the load that the first two users' searchers bear: answers then lack shards, and refusals
	// come late.
	DefaultCapacity = 32
	// DefaultTeams and DefaultBuckets bound the tables of teams and of approvals.
	DefaultTeams   = 4096
	DefaultBuckets = 16384
)

const (
	// activeFor is how long a team counts for the fair shares after its last arrival.
	activeFor = time.Second
	// openShare is the filled part of the node up to which a team may exceed its fair share. The rest is room for
	// teams below their share, so that a flood never leaves the node entirely full.
	openShare = 0.75
	// minimumRetry and maximumRetry bound the advice on when to come back.
	minimumRetry = 10 * time.Millisecond
	maximumRetry = 10 * time.Second
)

// classShare is the part of the node that each class may fill: batch leaves room for normal, normal for urgent.
var classShare = map[ident.Class]float64{ident.ClassUrgent: 1, ident.ClassNormal: 0.7, ident.ClassBatch: 0.5}

// Approval is the part of an approval record that admission needs.
type Approval struct {
	// Weight is the weight of the team in fair shares; 0 counts as 1.
	Weight float64
	// RatePerSecond bounds the requests of the team to the upstream at this node; 0 means no bound.
	RatePerSecond float64
	// Burst is the number of requests that may come at once; 0 means one second's worth.
	Burst float64
}

// Request is a request of an authenticated team with an approval.
type Request struct {
	Team     ident.TeamID
	Upstream ident.UpstreamID
	Class    ident.Class
	Deadline time.Time
	Approval Approval
}

// Ticket is the right of one request to be in flight. The zero Ticket is none.
type Ticket struct {
	team     *team
	upstream ident.UpstreamID
	since    time.Time
	deadline time.Time
}

// Refusal says why a request was not admitted. Its outcome is always ident.OutcomeNotRun.
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
