package admission

import (
	"sync"
	"time"

	"fulmarfall/ident"
)

// Controller admits requests at one node. It is safe for concurrent use.
type Controller struct {
	mu       sync.Mutex
	capacity int
	inFlight int
	teams    teamTable
	buckets  bucketTable
	drain    drainRate
	service  serviceTimes
	counters Counters
}

// Option configures a Controller in New.
type Option func(*Controller)

// WithCapacity sets the maximum number of requests in flight, at least 1.
func WithCapacity(n int) Option { return func(c *Controller) { c.capacity = max(n, 1) } }

// WithTables limits the number of teams and of approvals that are tracked separately.
func WithTables(teams, buckets int) Option {
	return func(c *Controller) { c.teams.limit, c.buckets.limit = max(teams, 1), max(buckets, 1) }
}

// New returns a Controller with nothing in flight.
func New(opts ...Option) *Controller {
	c := &Controller{
		capacity: DefaultCapacity,
		teams:    teamTable{limit: DefaultTeams, entries: map[ident.TeamID]*team{}},
		buckets:  bucketTable{limit: DefaultBuckets, entries: map[bucketKey]*bucket{}},
		service:  serviceTimes{entries: map[ident.UpstreamID]*serviceTime{}},
	}
	for _, opt := range opts {
		opt(c)
	}

	return c
}

// SetCapacity changes the maximum number of requests in flight. Requests already in flight continue.
func (c *Controller) SetCapacity(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.capacity = max(n, 1)
}

// Admit admits or refuses a request. The caller must pass every Ticket to Release.
func (c *Controller) Admit(now time.Time, r Request) (Ticket, *Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drain.advance(now)
	t := c.teams.recordArrival(now, r.Team, r.Approval.Weight)

	if shortfall := c.service.shortfall(now, r.Upstream, r.Deadline.Sub(now)); shortfall > 0 {
		c.counters.Deadline++
		return Ticket{}, refuse(ident.ReasonDeadline, "the request cannot be answered before its deadline", shortfall)
	}
	limit := max(int(classShare[r.Class]*float64(c.capacity)), 1)
	if c.inFlight >= limit {
		c.counters.Overloaded++
		return Ticket{}, refuse(ident.ReasonOverloaded, "the node is full", c.drain.wait(c.inFlight-limit+1, 1))
	}
	share := c.teams.fairShare(t, limit)
	if c.inFlight >= max(int(unrestrictedFraction*float64(limit)), 1) && t.inFlight >= share {
		c.counters.OverShare++
		fraction := float64(share) / float64(limit)
		return Ticket{}, refuse(ident.ReasonOverShare, "the team is over its fair share of the node",
			c.drain.wait(t.inFlight-share+1, fraction))
	}
	// The rate limit is checked last, so that a request refused for another reason consumes no token.
	if wait := c.buckets.take(now, r); wait > 0 {
		c.counters.OverRate++
		return Ticket{}, refuse(ident.ReasonOverShare, "the team is over the rate of its approval", wait)
	}
	c.inFlight++
	t.inFlight++
	c.counters.Admitted++

	return Ticket{team: t, upstream: r.Upstream, since: now, deadline: r.Deadline}, nil
}

// Release records the end of an admitted request. It ignores the zero Ticket.
func (c *Controller) Release(now time.Time, t Ticket) {
	if t.team == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	t.team.inFlight--
	c.drain.recordDeparture(now)
	c.service.observe(now, t.upstream, now.Sub(t.since), t.deadline.Sub(t.since))
}

// InFlight returns the number of admitted requests that have not left.
func (c *Controller) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.inFlight
}

// Load returns the fraction of the node's capacity in use, from 0 to 1, or more after the capacity was reduced.
func (c *Controller) Load() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	return float64(c.inFlight) / float64(c.capacity)
}

// Counters returns a copy of the counters.
func (c *Controller) Counters() Counters {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.counters
}

func refuse(reason ident.Reason, message string, wait time.Duration) *Refusal {
	return &Refusal{
		Outcome: ident.OutcomeNotRun, Reason: reason, Message: message,
		RetryAfter: ident.RetryAfter(min(max(wait, minRetryAfter), maxRetryAfter)),
	}
}
