package usage

import (
	"math"
	"slices"
	"time"

	"fulmarfall/ident"
)

const (
	// minAverage and maxAverage bound the time over which demand is averaged to find changes, slowAverage is the time over
	// which it is averaged otherwise.
	minAverage  = 500 * time.Millisecond
	maxAverage  = 5 * time.Second
	slowAverage = 10 * time.Second
	// listInterval is the time after which an unchanged demand is reported again.
	listInterval = 5 * time.Second
	// demandChange is the relative change of a demand that is reported at once, and demandStep the absolute one as a
	// fraction of the limit.
	demandChange = 0.33
	demandStep   = 0.02
	// silentRequests is the number of requests that a demand would have brought with a probability of 95% while there was none.
	silentRequests = 3
	// noDemand is the number of requests within slowAverage below which a team has no demand.
	noDemand = 0.05
	// urgentChange is the reduction of a share of a burst that is confirmed at once.
	urgentChange = Whole / 8
	// minRoom is the number of tokens that has to fit in a bucket for the team to be reported.
	minRoom = 0.5
	// maxWaiting bounds the number of waiting requests in a report.
	maxWaiting = 1000
	// tokenTolerance allows for rounding.
	tokenTolerance = 1e-9
)

// Holder admits requests at one entry VM by its shares. All times are of a clock that advances while the machine is
// suspended. It is not safe for concurrent use.
type Holder struct {
	incarnation ident.Incarnation
	sequence    uint64
	sentAt      time.Time
	// lapsed is set if the lease has expired since the last report was sent.
	lapsed bool
	// term and applied identify the last grant applied.
	term, applied uint64
	full          bool // the next report lists all shares
	validUntil    time.Time
	granted       bool // some grant has been applied since the start
	// fallback is the share of each team while control VMs do not know the messages.
	fallback Share
	limits   map[ident.TeamID]Limit
	teams    map[ident.TeamID]*heldShare
}

// heldShare is the state of a team at an entry VM.
type heldShare struct {
	shares     Shares
	tokens     float64
	refilledAt time.Time
	// extra are tokens beyond the bucket, until extraUntil.
	extra      float64
	extraUntil time.Time
	exhausted  bool
	limit      Limit
	// recent and slow are the numbers of requests, with weights that decay over average and slowAverage, at demandAt. reported
	// is the demand in the last report that listed the team, at listedAt.
	recent, slow       float64
	demandAt, arriveAt time.Time
	reported           float64
	listedAt           time.Time
	// returned are the tokens to return with the next report.
	returned float64
}

// NewHolder returns the state of an entry VM without shares.
func NewHolder(incarnation ident.Incarnation) *Holder {
	return &Holder{incarnation: incarnation, full: true, teams: map[ident.TeamID]*heldShare{}}
}

func (h *Holder) team(now time.Time, id ident.TeamID) *heldShare {
	t := h.teams[id]
	if t == nil {
		t = &heldShare{limit: h.limits[id], refilledAt: now, demandAt: now}
		h.teams[id] = t

		if h.fallback > 0 && now.Before(h.validUntil) {
			t.shares = Shares{Rate: h.fallback, Burst: h.fallback}
			if !h.granted {
				t.tokens = 1
			}
		}
	}

	return t
}

// expire drops all shares if the lease has expired.
func (h *Holder) expire(now time.Time) {
	if h.validUntil.IsZero() || now.Before(h.validUntil) {
		return
	}

	h.validUntil, h.lapsed, h.full, h.fallback = time.Time{}, true, true, 0

	for _, t := range h.teams {
		t.shares, t.tokens, t.extra, t.returned, t.exhausted = Shares{}, 0, 0, 0, false
	}
}

// bucket returns the capacity of the share of a team.
func (h *Holder) bucket(t *heldShare) float64 {
	if h.fallback > 0 {
		return max(t.shares.Burst.of(t.limit.Burst), 1)
	}

	return t.shares.Burst.of(t.limit.Burst)
}

func (h *Holder) refill(now time.Time, t *heldShare) {
	if d := now.Sub(t.refilledAt); d > 0 {
		t.tokens += t.shares.Rate.of(t.limit.Rate) * d.Seconds()
		t.refilledAt = now
	}

	t.tokens = min(t.tokens, h.bucket(t))
}

// SetLimits replaces the limits by those of a configuration.
func (h *Holder) SetLimits(now time.Time, limits map[ident.TeamID]Limit) {
	h.expire(now)

	for id, t := range h.teams {
		h.refill(now, t)
		t.limit = limits[id]
		t.tokens = min(t.tokens, h.bucket(t))
	}

	h.limits = limits
}

// Arrive counts a request of a team as demand, whether it will be admitted or not.
func (h *Holder) Arrive(now time.Time, id ident.TeamID) {
	t := h.team(now, id)
	t.decay(now)
	t.recent++
	t.slow++
	t.arriveAt = now
}

// average returns the time over which changes of the demand are measured: half of the time in which the bucket of the limit
// fills.
func (t *heldShare) average() time.Duration {
	if t.limit.Rate <= 0 {
		return maxAverage
	}

	return time.Duration(min(max(t.limit.Burst/t.limit.Rate/2, minAverage.Seconds()), maxAverage.Seconds()) * float64(time.Second))
}

func (t *heldShare) decay(now time.Time) {
	if d := now.Sub(t.demandAt); d > 0 {
		t.recent *= math.Exp(-d.Seconds() / t.average().Seconds())
		t.slow *= math.Exp(-d.Seconds() / slowAverage.Seconds())
		t.demandAt = now
	}
}

// demand returns the number of requests per second: the slow average, unless the recent requests show that it has changed. A
// single request must not look like a high demand.
func (t *heldShare) demand(now time.Time) float64 {
	t.decay(now)

	if t.slow < noDemand {
		return 0
	}

	deviation := math.Sqrt(t.recent)
	low, high := (t.recent-deviation)/t.average().Seconds(), (t.recent+2*deviation+2)/t.average().Seconds()

	if silence := now.Sub(t.arriveAt).Seconds(); silence > 0 {
		high = min(high, silentRequests/silence)
	}

	return max(low, min(t.slow/slowAverage.Seconds(), high))
}

// Take admits a request of a team if there is a token for it.
func (h *Holder) Take(now time.Time, id ident.TeamID) bool {
	h.expire(now)

	t := h.team(now, id)
	h.refill(now, t)

	switch {
	case t.tokens >= 1-tokenTolerance:
		t.tokens = max(t.tokens-1, 0)
	case t.extra >= 1 && now.Before(t.extraUntil):
		t.extra--
	default:
		return false
	}

	return true
}

// Return gives back the token of a request that was admitted and has not run.
func (h *Holder) Return(now time.Time, id ident.TeamID) {
	h.expire(now)

	t := h.team(now, id)
	h.refill(now, t)
	t.tokens = min(t.tokens+1, h.bucket(t))
}

// UntilToken returns the time until the bucket of a team holds n tokens if no further ones are granted. ok is false if it
// never will.
func (h *Holder) UntilToken(now time.Time, id ident.TeamID, n int) (wait time.Duration, ok bool) {
	h.expire(now)

	t := h.team(now, id)
	h.refill(now, t)

	missing := float64(n) - t.tokens
	if missing <= tokenTolerance {
		return 0, true
	}

	// Tokens beyond the capacity are there one after the other, as earlier requests take theirs.
	rate := t.shares.Rate.of(t.limit.Rate)
	if rate <= 0 || h.bucket(t) < 1-tokenTolerance {
		return 0, false
	}

	return time.Duration(math.Ceil(missing / rate * float64(time.Second))), true
}

// Exhausted reports whether the last grant stated that the demand of a team reaches its limit.
func (h *Holder) Exhausted(now time.Time, id ident.TeamID) bool {
	h.expire(now)

	t := h.teams[id]

	return t != nil && t.exhausted
}

// Leased reports whether the entry VM has a lease.
func (h *Holder) Leased(now time.Time) bool {
	h.expire(now)

	return !h.validUntil.IsZero()
}

// Report returns the next report. waiting is the number of requests of each team that wait for tokens.
func (h *Holder) Report(now time.Time, callers bool, waiting map[ident.TeamID]int) *Report {
	h.expire(now)

	// The leader may not have received the demands of a report that was not answered.
	lost := h.applied != h.sequence

	h.sequence++
	h.sentAt, h.lapsed = now, false
	r := &Report{
		Incarnation: h.incarnation, Sequence: h.sequence, Term: h.term, Applied: h.applied, Full: h.full || h.fallback > 0, Callers: callers,
	}

	for id, t := range h.teams {
		demand := t.demand(now)

		h.refill(now, t)
		room := h.bucket(t) - t.tokens

		if r.Full && (t.shares != Shares{} || demand > 0) || waiting[id] > 0 || room >= minRoom || t.returned > 0 || t.changed(now, demand) ||
			lost && (demand > 0 || t.reported > 0) {
			r.Teams = append(r.Teams, Demand{
				Team: id, Rate: demand, Held: t.shares, Waiting: min(waiting[id], maxWaiting), Room: room, Returned: t.returned,
			})
			t.reported, t.listedAt, t.returned = demand, now, 0
		}

		if (t.shares == Shares{}) && demand == 0 && t.extra == 0 && t.reported == 0 && waiting[id] == 0 {
			delete(h.teams, id)
		}
	}

	slices.SortFunc(r.Teams, func(a, b Demand) int {
		if a.Team < b.Team {
			return -1
		}

		return 1
	})

	return r
}

// changed reports whether the demand of a team has to be reported.
func (t *heldShare) changed(now time.Time, demand float64) bool {
	switch diff := math.Abs(demand - t.reported); {
	case diff == 0 && demand == 0:
		return false
	case (demand == 0) != (t.reported == 0), now.Sub(t.listedAt) >= listInterval:
		return true
	default:
		return diff > demandChange*max(demand, t.reported) && diff > demandStep*t.limit.Rate
	}
}

// Result is the outcome of Apply.
type Result struct {
	// Applied is set if the grant is in force.
	Applied bool
	// Resend is set if the leader asks for a full report.
	Resend bool
	// Lowered is set if a share was lowered for which others wait until the next report confirms it.
	Lowered bool
}

// Apply applies a grant. Grants that do not answer the latest report are ignored.
func (h *Holder) Apply(now time.Time, g *Grant) Result {
	h.expire(now)

	validUntil := h.sentAt.Add(Lease)

	switch {
	case g.Sequence != h.sequence || g.Term < h.term || !now.Before(validUntil):
		return Result{}
	case g.Resend:
		h.full = true

		return Result{Resend: true}
	case h.lapsed && g.Starting:
		// The share that this leader has renewed may have been granted to others in the meantime.
		return Result{}
	}

	res := Result{Applied: true}

	h.term, h.applied, h.granted = g.Term, g.Sequence, true
	h.full = h.lapsed // What was dropped has to be stated, because the leader still counts it.

	if h.fallback > 0 {
		h.endFallback(now)
	}

	for _, s := range g.Teams {
		t := h.team(now, s.Team)
		h.refill(now, t)

		lowered := s.Burst < t.shares.Burst
		change := t.shares.without(s.Shares)
		res.Lowered = res.Lowered || change.Rate > 0 || change.Burst >= urgentChange || s.Exhausted && change.Burst > 0
		t.shares, t.exhausted = s.min(whole), s.Exhausted

		if rest := t.tokens - h.bucket(t); lowered && rest > 0 {
			t.returned = math.Floor(rest*1000) / 1000
		}

		t.tokens = min(t.tokens+s.Tokens, h.bucket(t))
		if s.Extra > 0 {
			t.extra, t.extraUntil = s.Extra, validUntil
		}
	}

	h.validUntil = validUntil

	return res
}

// endFallback drops the shares of the fallback that the latest report did not list.
func (h *Holder) endFallback(now time.Time) {
	h.fallback = 0

	for _, t := range h.teams {
		if !t.listedAt.Equal(h.sentAt) {
			t.shares = Shares{}
		}

		h.refill(now, t)
	}
}

// UseFallback sets the share of all teams for the time of a lease, because no control VM knows the messages. It has no
// effect before an earlier lease has expired.
func (h *Holder) UseFallback(now time.Time, share Share) bool {
	h.expire(now)

	if h.fallback == 0 && !h.validUntil.IsZero() {
		return false
	}

	begins := h.fallback == 0
	h.fallback, h.validUntil = share, h.sentAt.Add(Lease)

	for _, t := range h.teams {
		h.refill(now, t)
		t.shares = Shares{Rate: share, Burst: share}

		if begins && !h.granted {
			t.tokens = 1
		}
	}

	return true
}

// Shares returns the shares that the entry VM holds.
func (h *Holder) Shares(now time.Time) map[ident.TeamID]Shares {
	h.expire(now)

	m := make(map[ident.TeamID]Shares, len(h.teams))

	for id, t := range h.teams {
		if (t.shares != Shares{}) {
			m[id] = t.shares
		}
	}

	return m
}
