package usage

import (
	"math"
	"slices"
	"time"

	"fulmarfall/ident"
)

const (
	// headroom is the wanted rate as a multiple of the demand while the limit allows it. The demand of one entry VM varies
	// much more than that of all together.
	headroom = 2.5
	// burstSeconds is the demand, in seconds, for which an entry VM wants tokens beyond the first. The leader adds tokens with
	// each report.
	burstSeconds = 2
	// equalFraction is the part of a limit that is divided equally among the entry VMs with callers. For the rate it shrinks as
	// the demand comes near the limit, because entry VMs without demand leave it unused.
	equalFraction = 0.2
	// exhaustedAt is the demand, as a fraction of the limit, from which the limit counts as exhausted.
	exhaustedAt = 0.9
	// divided is the part of a limit that is divided. The rest is the pool, for entry VMs that need more at once. The pool of
	// the rate shrinks as the demand comes near the limit. Shares are lowered only while the pool is smaller.
	divided = 0.7
	// reserve is the part of the rate that is never divided. A new leader does not know the shares, but knows that this part is in
	// none of them, and grants it from its first second on.
	reserve = Whole / 4
	// minPool is the part of the pool of the rate below which shares are always lowered to their targets.
	minPool = 0.05
	// spareTokens is the part of the burst that has to be left after a whole token has been given to an entry VM without
	// demand.
	spareTokens = Whole * 4 / 10
	// maxHold and minHold are the times for which an entry VM keeps a whole token after its last demand, with a full and
	// with an empty pool.
	maxHold = time.Minute
	minHold = 3 * time.Second
	// raiseBy and lowerTo are the relative changes below which shares stay as they are, unless they change by largeChange.
	raiseBy     = 1.1
	lowerTo     = 0.8
	largeChange = Whole / 50
	// sweepInterval is the time between two searches for expired leases.
	sweepInterval = 500 * time.Millisecond
	// poolTokens is the part of its tokens that the pool keeps for waiting requests, at least 1.
	poolTokens = 0.25
)

// Allocator divides the limits of teams among entry VMs. It is the state of one leader in one term, and is not safe for
// concurrent use.
type Allocator struct {
	term    uint64
	started time.Time
	settled bool // the leader knows all shares
	sweptAt time.Time
	teams   map[ident.TeamID]*teamState
	order   []ident.TeamID
	vms     map[holderKey]*holderState
	latest  map[ident.NodeID]ident.Incarnation
	callers int // entry VMs with callers
}

// holderKey identifies one run of an entry VM. The shares of an earlier run count until they expire.
type holderKey struct {
	node        ident.NodeID
	incarnation ident.Incarnation
}

// teamState is the division of the limit of one team.
type teamState struct {
	limit Limit
	// total is what this leader may divide: Whole, or what entry VMs have reported until it is settled. counted is the sum
	// of the shares that entry VMs may hold, granted the sum of those that they were last granted.
	total, counted, granted Shares
	// wants is the sum of what the entry VMs want, as fractions, and demand that of their demands in requests per second.
	wants  wants
	demand float64
	// tokens is the content of the bucket of the part that is not divided.
	tokens     float64
	refilledAt time.Time
	// spentMargin is the number of tokens granted beyond the bucket.
	spentMargin float64
	// endedAt is when the limit was removed, zero while there is one.
	endedAt time.Time
}

// wants are fractions of the rate and of the burst of a limit.
type wants struct{ rate, burst float64 }

// holderState is the state of one entry VM.
type holderState struct {
	sequence  uint64
	callers   bool
	expiresAt time.Time
	holdings  map[ident.TeamID]*holding
}

// holding is what an entry VM may hold of a limit.
type holding struct {
	// counted is the largest share that it may hold, granted the one that was granted last, in the report with the number
	// grantedBy. accepted is the share that a leader that is not settled has taken from a report.
	counted, granted, accepted Shares
	grantedBy                  uint64
	demand                     float64
	want                       wants
	demandAt                   time.Time
}

// NewAllocator returns the allocator of a leader whose term began at the given time.
func NewAllocator(term uint64, started time.Time) *Allocator {
	return &Allocator{
		term: term, started: started, sweptAt: started, teams: map[ident.TeamID]*teamState{}, vms: map[holderKey]*holderState{},
		latest: map[ident.NodeID]ident.Incarnation{},
	}
}

// SetLimits replaces the limits. Teams without a limit are left out.
func (a *Allocator) SetLimits(now time.Time, limits map[ident.TeamID]Limit) {
	for id, t := range a.teams {
		t.refill(now)

		t.limit = limits[id]
		t.tokens = min(t.tokens, t.free().Burst.of(t.limit.Burst))

		switch {
		case t.limit.Rate > 0:
			t.endedAt = time.Time{}
		case t.endedAt.IsZero():
			t.endedAt = now
		}
	}

	for id, l := range limits {
		if l.Rate > 0 && a.teams[id] == nil {
			a.addTeam(now, id, l)
		}
	}

	a.dropTeams(now)
}

func (a *Allocator) addTeam(now time.Time, id ident.TeamID, l Limit) *teamState {
	t := &teamState{limit: l, refilledAt: now}
	if l.Rate <= 0 {
		t.endedAt = now
	}

	if a.settled {
		t.total, t.tokens = whole, l.Burst
	}

	a.teams[id] = t
	i, _ := slices.BinarySearch(a.order, id)
	a.order = slices.Insert(a.order, i, id)

	return t
}

// dropTeams removes the teams without a limit of which no entry VM holds a share any more. They are kept for a while, because
// a team that returns begins with a full bucket.
func (a *Allocator) dropTeams(now time.Time) {
	a.order = slices.DeleteFunc(a.order, func(id ident.TeamID) bool {
		t := a.teams[id]
		if t.limit.Rate > 0 || (t.counted != Shares{}) || !a.settled || now.Sub(t.endedAt) < startPeriod {
			return false
		}

		delete(a.teams, id)

		for _, vm := range a.vms {
			delete(vm.holdings, id)
		}

		return true
	})
}

// free returns the part of the limit that no entry VM may hold.
func (t *teamState) free() Shares { return t.total.without(t.counted) }

// spare returns the part that is free once all entry VMs hold what they were granted last.
func (t *teamState) spare() Shares { return t.total.without(t.granted) }

// refill adds the tokens of the free part for the time since the last call.
func (t *teamState) refill(now time.Time) {
	if d := now.Sub(t.refilledAt); d > 0 {
		t.tokens = min(t.tokens+t.free().Rate.of(t.limit.Rate)*d.Seconds(), t.free().Burst.of(t.limit.Burst))
		t.refilledAt = now
	}
}

// pressure returns the demand as a fraction of the limit, at most 1.
func (t *teamState) pressure() float64 {
	if t.limit.Rate <= 0 {
		return 0
	}

	return min(t.demand/t.limit.Rate, 1)
}

// setCounted changes the share that an entry VM may hold.
func (t *teamState) setCounted(h *holding, s Shares) {
	t.counted = t.counted.minus(h.counted).plus(s)
	h.counted = s
}

func (t *teamState) setGranted(h *holding, s Shares) {
	t.granted = t.granted.minus(h.granted).plus(s)
	h.granted = s
}

// accept records a share that an entry VM reports to a leader that does not know it yet.
func (t *teamState) accept(h *holding, s Shares) {
	t.total = t.total.minus(h.accepted).plus(s)
	h.accepted = s
	t.setCounted(h, s)
	t.setGranted(h, s)
}

// advance settles the leader, and removes entry VMs whose lease has expired.
func (a *Allocator) advance(now time.Time) {
	if !a.settled && now.Sub(a.started) >= startPeriod {
		a.settled = true

		for _, t := range a.teams {
			t.refill(now)
			t.total = whole
		}
	}

	if now.Sub(a.sweptAt) < sweepInterval {
		return
	}

	a.sweptAt = now

	for key, vm := range a.vms {
		if now.Before(vm.expiresAt) {
			continue
		}

		for id, h := range vm.holdings {
			t := a.teams[id]
			t.refill(now)
			t.setCounted(h, Shares{})
			t.setGranted(h, Shares{})
		}

		delete(a.vms, key)

		if a.latest[key.node] == key.incarnation {
			delete(a.latest, key.node)
		}
	}

	a.sum()
	a.dropTeams(now)
}

// sum adds up the demands and wants, which are otherwise maintained by differences.
func (a *Allocator) sum() {
	for _, t := range a.teams {
		t.demand, t.wants = 0, wants{}
	}

	a.callers = 0

	for _, vm := range a.vms {
		if vm.callers {
			a.callers++
		}

		for id, h := range vm.holdings {
			a.teams[id].demand += h.demand
			a.teams[id].wants.rate += h.want.rate
			a.teams[id].wants.burst += h.want.burst
		}
	}
}

// Report records the report of an entry VM and returns the grant that answers it, or nil for a report that a later one has
// overtaken, and for one of an entry VM that has heard of a later leader.
func (a *Allocator) Report(now time.Time, node ident.NodeID, r *Report) *Grant {
	a.advance(now)

	if r.Incarnation < a.latest[node] || r.Term > a.term {
		return nil
	}

	key := holderKey{node: node, incarnation: r.Incarnation}
	vm := a.vms[key]

	if vm != nil && r.Sequence <= vm.sequence {
		return nil
	}

	g := &Grant{Term: a.term, Sequence: r.Sequence, Starting: !a.settled}

	if !r.Full && (vm == nil || r.Term != a.term) {
		g.Resend = true

		return g
	}

	if vm == nil {
		vm = &holderState{holdings: map[ident.TeamID]*holding{}}
		a.vms[key] = vm
		a.latest[node] = r.Incarnation
	}

	if vm.callers != r.Callers {
		if r.Callers {
			a.callers++
		} else {
			a.callers--
		}
	}

	vm.sequence, vm.callers, vm.expiresAt = r.Sequence, r.Callers, now.Add(Lease+expiryMargin)

	if r.Full {
		a.takeShares(now, vm, r)
	}

	if r.Full {
		for id, h := range vm.holdings {
			a.teams[id].demand -= h.demand
			h.demand = 0
		}
	}

	a.takeDemands(now, vm, r)

	listed := r.Teams // in the order of their names, as a.order

	for _, id := range a.order {
		d := Demand{Team: id}

		for len(listed) > 0 && listed[0].Team <= id {
			if listed[0].Team == id {
				d = listed[0]
			}

			listed = listed[1:]
		}

		if s, changed := a.divide(now, vm, r, &d); changed {
			g.Teams = append(g.Teams, s)
		}
	}

	return g
}

// holding returns the state of an entry VM for a team, which is created if necessary.
func (a *Allocator) holding(now time.Time, vm *holderState, id ident.TeamID) (*teamState, *holding) {
	t := a.teams[id]
	if t == nil {
		t = a.addTeam(now, id, Limit{})
	}

	h := vm.holdings[id]
	if h == nil {
		h = &holding{}
		vm.holdings[id] = h
	}

	return t, h
}

// takeShares records the shares of a full report. A leader that is settled knows of all shares; what an entry VM reports
// beyond that has expired.
func (a *Allocator) takeShares(now time.Time, vm *holderState, r *Report) {
	held := make(map[ident.TeamID]Shares, len(r.Teams))

	for _, d := range r.Teams {
		if (d.Held != Shares{}) {
			held[d.Team] = d.Held.min(whole)
			a.holding(now, vm, d.Team)
		}
	}

	for id, h := range vm.holdings {
		t, s := a.teams[id], held[id]
		t.refill(now)

		if !a.settled && r.Term != a.term {
			t.accept(h, s)

			continue
		}

		// The entry VM ignores replies to earlier reports, so it holds this share and no other.
		known := s.min(h.counted)
		t.setCounted(h, known)
		t.setGranted(h, known)

		h.grantedBy = 0
		if s != known {
			h.grantedBy = r.Sequence // lists the share in the grant
		}
	}
}

// takeDemands records the demands of a report.
func (a *Allocator) takeDemands(now time.Time, vm *holderState, r *Report) {
	for _, d := range r.Teams {
		if d.Rate <= 0 && d.Waiting == 0 && vm.holdings[d.Team] == nil {
			continue
		}

		t, h := a.holding(now, vm, d.Team)
		rate := max(d.Rate, 0)

		if rate > h.demand || d.Waiting > 0 {
			h.demandAt = now // Without a request, the average only falls.
		}

		t.demand += rate - h.demand
		h.demand = rate
	}
}

// divide determines the share of an entry VM in the limit of a team. It reports whether the share is to be listed in the
// grant.
func (a *Allocator) divide(now time.Time, vm *holderState, r *Report, d *Demand) (TeamShare, bool) {
	t, h := a.holding(now, vm, d.Team)
	t.refill(now)

	if r.Term == a.term && h.grantedBy <= r.Applied {
		t.setCounted(h, h.granted)
		// Tokens that the entry VM could not keep in its smaller bucket belong to the part that has become free.
		t.tokens = min(t.tokens+max(d.Returned, 0), t.free().Burst.of(t.limit.Burst))
	}

	target := a.target(now, vm, t, h, d)
	// What the entry VM may still hold of a larger share needs no free part.
	limit := h.counted.plus(t.free().without(Shares{Rate: reserve}))
	before := h.granted
	// The reserve alone must not keep shares from being lowered.
	pool := max(1-t.dividedRate(), minPool)*float64(Whole) + float64(reserve)*minPool
	next := Shares{
		Rate:  change(before.Rate, target.Rate, limit.Rate, t.limit.Rate <= 0 || float64(t.spare().Rate) < pool, false),
		Burst: change(before.Burst, target.Burst, limit.Burst, t.limit.Rate <= 0 || t.spare().Burst < poolBurst, before.Burst < t.limit.token() || d.Waiting > 0),
	}

	s := TeamShare{Team: d.Team}
	s.Tokens = t.takeTokens(next.Burst-min(h.counted.Burst, next.Burst), d)

	if d.Waiting > 0 && !a.settled {
		s.Extra = t.takeMargin(now.Sub(a.started), float64(d.Waiting)-s.Tokens)
	}

	t.setGranted(h, next)
	t.setCounted(h, h.counted.max(next))
	t.tokens = min(t.tokens, t.free().Burst.of(t.limit.Burst))

	if next == before && h.grantedBy <= r.Applied && h.grantedBy != r.Sequence && d.Waiting == 0 && s.Tokens == 0 {
		return s, false
	}

	h.grantedBy = r.Sequence
	s.Shares, s.Exhausted = next, t.pressure() >= exhaustedAt

	return s, true
}

// poolBurst is the part of the burst below which shares are lowered.
const poolBurst = Whole - Share(divided*float64(Whole))

// change returns a share between the one before and the target: at most limit, lower only if lowering, and unchanged if the
// difference is small, unless an increase is urgent.
func change(before, target, limit Share, lowering, urgent bool) Share {
	switch {
	case target > before && (urgent || target-before >= largeChange || float64(target) >= raiseBy*float64(before)):
		return min(target, limit)
	case target < before && lowering && (before-target >= largeChange || float64(target) <= lowerTo*float64(before)):
		return target
	default:
		return before
	}
}

// dividedRate returns the part of the rate that is divided among entry VMs.
func (t *teamState) dividedRate() float64 {
	return max(divided, min(t.pressure(), 1-float64(reserve)/float64(Whole)))
}

// takeTokens removes tokens of the pool for an entry VM: in proportion to the growth of its share, for the requests that wait,
// and to fill its bucket.
func (t *teamState) takeTokens(growth Share, d *Demand) float64 {
	x := 0.0
	if free := t.free().Burst; free > 0 && growth > 0 {
		x = t.tokens * float64(growth) / float64(free)
	}

	kept := max(poolTokens*t.free().Burst.of(t.limit.Burst), 1)
	if t.pressure() >= exhaustedAt {
		kept = 0 // What the pool keeps would be lost.
	}

	x = max(x, min(d.Room+growth.of(t.limit.Burst), t.tokens-kept))
	x = min(max(x, float64(d.Waiting)), t.tokens)
	// Grants carry thousandths.
	x = math.Floor(x*1000) / 1000
	t.tokens -= x

	return x
}

// takeMargin removes up to n whole tokens from the margin of a leader that began the given time ago, and from the reserved part
// of the rate since then.
func (t *teamState) takeMargin(age time.Duration, n float64) float64 {
	part := initialMargin + laterMargin*min(max(age.Seconds()/startPeriod.Seconds(), 0), 1)
	available := part*t.limit.Margin + reserve.of(t.limit.Rate)*max(age.Seconds(), 0)
	n = math.Floor(max(min(n, available-t.spentMargin), 0))
	t.spentMargin += n

	return n
}

// target returns the shares that an entry VM should have, and updates what it wants.
func (a *Allocator) target(now time.Time, vm *holderState, t *teamState, h *holding, d *Demand) Shares {
	var want wants

	if t.limit.Rate > 0 {
		want = a.want(now, vm, t, h, d)
	}

	t.wants.rate += want.rate - h.want.rate
	t.wants.burst += want.burst - h.want.burst
	h.want = want

	if t.limit.Rate <= 0 {
		return Shares{}
	}

	target := Shares{Rate: toShare(scale(want.rate, t.wants.rate, t.dividedRate())), Burst: toShare(scale(want.burst, t.wants.burst, divided))}

	// A part of a token is of no use.
	if token := t.limit.token(); target.Burst < token && want.burst > 0 {
		target.Burst = 0
		if h.granted.Burst >= token || h.counted.Burst+t.free().Burst >= token {
			target.Burst = token
		}
	}

	return target
}

// want returns what an entry VM wants of a limit.
func (a *Allocator) want(now time.Time, vm *holderState, t *teamState, h *holding, d *Demand) wants {
	// An entry VM with few requests has a full bucket most of the time, in which further tokens are lost.
	w := wants{rate: (0.3 + (headroom-0.3)*min(h.demand, 1)) * h.demand / t.limit.Rate}

	if n := max(math.Floor(burstSeconds*h.demand)+1, float64(d.Waiting)); n > 1 || d.Waiting > 0 {
		w.burst = n / t.limit.Burst
	}

	if vm.callers {
		equal := equalFraction / float64(max(a.callers, 1))
		w.rate = max(w.rate, equal*(1-t.pressure())/4)
		w.burst = max(w.burst, equal)
	}

	if token := min(1/t.limit.Burst, 1); w.burst < token {
		w.burst = 0
		if a.keepsToken(now, vm, t, h) {
			w.burst = token
		}
	}

	return w
}

// scale returns the part of a want that fits if all wants together exceed a limit.
func scale(want, sum, limit float64) float64 {
	if sum <= limit || sum <= 0 {
		return want
	}

	return want * limit / sum
}

// keepsToken reports whether an entry VM has a whole token although its demand does not need it.
func (a *Allocator) keepsToken(now time.Time, vm *holderState, t *teamState, h *holding) bool {
	left := float64(min(t.spare().Burst, poolBurst)) / float64(poolBurst)
	hold := minHold + time.Duration(math.Pow(left, 4)*float64(maxHold-minHold))

	if !h.demandAt.IsZero() && now.Sub(h.demandAt) < hold {
		return true
	}

	if !vm.callers || t.pressure() >= exhaustedAt {
		return false
	}

	if token := t.limit.token(); h.granted.Burst < token {
		return t.spare().Burst >= spareTokens+token-h.granted.Burst
	}

	return t.spare().Burst >= poolBurst
}

func toShare(x float64) Share {
	return Share(math.Ceil(min(max(x, 0), 1) * float64(Whole)))
}

// Stats describes the division of all limits.
type Stats struct {
	Settled bool
	VMs     int // entry VMs with a lease
	Callers int // those with callers
	Teams   int
	// Exhausted is the number of teams whose demand reaches their limit, LeastFree the smallest part of a rate that is not
	// divided.
	Exhausted int
	LeastFree Share
}

// Stats returns the state of the allocator.
func (a *Allocator) Stats() Stats {
	s := Stats{Settled: a.settled, VMs: len(a.vms), Callers: a.callers, Teams: len(a.teams), LeastFree: Whole}

	for _, t := range a.teams {
		if t.pressure() >= exhaustedAt {
			s.Exhausted++
		}

		s.LeastFree = min(s.LeastFree, t.free().Rate)
	}

	return s
}
