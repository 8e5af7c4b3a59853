package admission

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fulmarfall/ident"
)

const (
	// flowPeriod is the time constant of the average rate of a flow.
	flowPeriod = 4 * time.Second
	// flowExpiry is the time without a request after which a flow no longer counts.
	flowExpiry = 2 * flowPeriod
	// flowFloor is the fraction of the average admission that each flow gets. No team may be served less than a quarter as
	// often as all requests; the difference allows for rates that are estimated.
	flowFloor = 0.3
	// maxFlows bounds the flows that are tracked separately.
	maxFlows = 1024
	// shareInterval is the time for which the division among the flows is kept, unless the fraction to refuse changes by more
	// than shareStep. An entry VM has a new fraction with each request.
	shareInterval = 20 * time.Millisecond
	shareStep     = 0.05
	// maxClassCredit and maxClassDebt bound what a class admits beyond its fraction at once.
	maxClassCredit = 3
	maxClassDebt   = 2
	// spareClassCredit is the credit of a class from which it counts as left unused.
	spareClassCredit = 2
	// maxFlowCredit bounds the credit of a flow that others keep from using it.
	maxFlowCredit = 2
	// minShared is the fraction of the requests of a class from which its teams count as sharing what is left.
	minShared = 0.01
	// levelSteps is the number of steps in which fairLevel halves the interval.
	levelSteps = 30
	// overloadStart is the fraction of a capacity from which requests are refused by class and team.
	overloadStart = 0.75
)

// Demand describes a request to a Shedder.
type Demand struct {
	Class ident.Class
	// Team is the calling team, or "" for requests without one, which count as one team.
	Team ident.TeamID
	// Weight is the entitlement of the team relative to others; 0 means that of an average team.
	Weight float64
}

// Verdict is the decision of a Shedder on a request.
type Verdict uint8

// Verdicts. RefusedClass means that more urgent requests need the capacity, RefusedShare that the team is over its fair share.
const (
	Admitted Verdict = iota
	RefusedClass
	RefusedShare
)

// Shedder decides which requests are refused when a given fraction of them has to be: less urgent classes first, then teams
// over their fair share, while each flow (the requests of one class and team) keeps a minimum. It is not safe for concurrent
// use.
type Shedder struct {
	rnd   *rand.Rand
	flows map[flowKey]*flow
	// order holds the flows in the order of their first requests, so that sums do not depend on the order of a map.
	order     []*flow
	classes   map[ident.Class]*class
	dividedAt time.Time
	fraction  float64
	expireAt  time.Time
	// averageWeight is the weight of teams that have none.
	averageWeight float64
}

type flowKey struct {
	class ident.Class
	team  ident.TeamID
}

type flow struct {
	key       flowKey
	weight    float64
	count     float64 // of requests, decayed
	updatedAt time.Time
	// credit grows by the fraction of the flow to admit with each request, floorCredit by the floor. Each admitted request uses a
	// whole one.
	credit, floorCredit float64
	seen                bool // a request was decided while some were refused
	sent, shed          int  // since the last report
}

// class is what the flows of a class share.
type class struct {
	flows []*flow
	// admission is the fraction of the requests of the class to admit. credit grows by it with each request, and each admitted
	// one uses a whole credit.
	admission, credit float64
	// level is the number of requests per weight up to which a flow is within its fair share. shared is set if more urgent
	// classes have left more than the floor.
	level  float64
	shared bool
}

// NewShedder returns a Shedder without any flow. rnd staggers the decisions of several nodes.
func NewShedder(rnd *rand.Rand) *Shedder {
	return &Shedder{rnd: rnd, flows: map[flowKey]*flow{}, classes: map[ident.Class]*class{}}
}

// OverloadFraction returns the fraction of requests to refuse while a capacity is used by the given number of requests.
func OverloadFraction(inUse, capacity float64) float64 {
	return min(max((inUse-overloadStart*capacity)/((1-overloadStart)*capacity), 0), 1)
}

// Mixed reports whether there have been requests of another flow than this one lately, so that it matters which are refused.
func (s *Shedder) Mixed(now time.Time, d Demand) bool {
	s.expire(now)

	if _, ok := s.flows[flowKey{class: d.Class, team: d.Team}]; ok {
		return len(s.flows) > 1
	}

	return len(s.flows) > 0
}

// Admit records a request and decides on it, if the given fraction of all requests is to be refused.
func (s *Shedder) Admit(now time.Time, d Demand, fraction float64) Verdict {
	s.expire(now)

	f := s.flow(now, d)
	f.advance(now)
	f.weight = d.Weight

	verdict := Admitted
	if fraction > 0 {
		verdict = s.decide(now, d.Class, f, fraction)
	}

	// The rate of a flow is that without the request to decide on, which would make rare ones look frequent.
	f.count++

	if verdict == Admitted {
		f.sent++
	} else {
		f.shed++
	}

	return verdict
}

func (s *Shedder) decide(now time.Time, id ident.Class, f *flow, fraction float64) Verdict {
	if now.Sub(s.dividedAt) >= shareInterval || math.Abs(fraction-s.fraction) > shareStep || s.classes[id] == nil {
		s.divide(now, fraction, id)
	}

	if !f.seen {
		f.seen, f.credit = true, s.rnd.Float64()
		f.floorCredit = f.credit
	}

	c := s.classes[id]
	floor := flowFloor * (1 - fraction)
	share, over := floor, false

	if c.shared {
		share, over = s.share(f, c, floor)
	}

	c.credit = min(c.credit+c.admission, maxClassCredit)
	f.credit = min(f.credit+share, maxFlowCredit)
	f.floorCredit = min(f.floorCredit+floor, maxFlowCredit)

	switch {
	case f.floorCredit >= 1:
	case f.credit >= 1 && c.credit > -maxClassDebt:
	case c.shared && c.credit >= spareClassCredit: // Others leave it unused.
	case over:
		return RefusedShare
	default:
		return RefusedClass
	}

	// A request that the floor has admitted counts for the share, too, and the other way round.
	c.credit--
	f.credit = max(f.credit-1, -1)
	f.floorCredit = max(f.floorCredit-1, 0)

	return Admitted
}

// share returns the fraction of the requests of a flow to admit if its class shares what more urgent ones have left, and whether it
// is over its fair share.
func (s *Shedder) share(f *flow, c *class, floor float64) (share float64, over bool) {
	fair := c.level * s.weight(f)
	if f.count <= fair {
		return 1, false
	}

	return max(fair/f.count, floor), true
}

// flow returns the flow of a request. Teams beyond maxFlows share one flow of their class.
func (s *Shedder) flow(now time.Time, d Demand) *flow {
	key := flowKey{class: d.Class, team: d.Team}

	f, ok := s.flows[key]
	if !ok && len(s.flows) >= maxFlows {
		key.team = ""
		f, ok = s.flows[key]
	}

	if !ok {
		f = &flow{key: key, updatedAt: now}
		s.flows[key] = f
		s.order = append(s.order, f)
	}

	return f
}

func (f *flow) advance(now time.Time) {
	if dt := now.Sub(f.updatedAt); dt > 0 {
		f.count *= math.Exp(-dt.Seconds() / flowPeriod.Seconds())
		f.updatedAt = now
	}
}

// expire removes flows without recent requests, about once per second.
func (s *Shedder) expire(now time.Time) {
	if now.Before(s.expireAt) {
		return
	}

	s.expireAt = now.Add(time.Second)

	s.order = slices.DeleteFunc(s.order, func(f *flow) bool {
		expired := now.Sub(f.updatedAt) >= flowExpiry
		if expired {
			delete(s.flows, f.key)
		}

		return expired
	})
}

// divide sets what each class admits, so that the given fraction of all requests is refused. It adds a class that has no
// requests yet.
func (s *Shedder) divide(now time.Time, fraction float64, added ident.Class) {
	s.dividedAt, s.fraction = now, fraction

	for _, c := range s.classes {
		c.flows = c.flows[:0]
	}

	if s.classes[added] == nil {
		s.classes[added] = &class{credit: s.rnd.Float64()}
	}

	s.setAverageWeight()

	total := 0.0

	for _, f := range s.order {
		f.advance(now)
		total += f.count

		if s.classes[f.key.class] == nil {
			s.classes[f.key.class] = &class{credit: s.rnd.Float64()}
		}

		c := s.classes[f.key.class]
		c.flows = append(c.flows, f)
	}

	floor := flowFloor * (1 - fraction)
	left := total * (1 - fraction - floor)

	for _, id := range slices.Sorted(maps.Keys(s.classes)) {
		c := s.classes[id]
		demand := 0.0

		for _, f := range c.flows {
			demand += f.count
		}

		share := min((1-floor)*demand, max(left, 0))
		left -= share
		c.admission, c.level, c.shared = 1, math.Inf(1), true

		switch {
		case demand == 0 && left < minShared*total: // The first request of a class.
			c.admission, c.level, c.shared = floor, 0, false
		case share < (1-floor)*demand:
			c.admission, c.shared = floor+share/demand, share > minShared*demand
			c.level = s.fairLevel(c.flows, share+floor*demand)
		}
	}
}

// weight returns the entitlement of a flow relative to others.
func (s *Shedder) weight(f *flow) float64 {
	if f.weight > 0 {
		return f.weight
	}

	return s.averageWeight
}

// fairLevel returns the number of requests per weight up to which flows get what they ask for, so that they get the given number
// together.
func (s *Shedder) fairLevel(flows []*flow, admitted float64) float64 {
	low, high := 0.0, 0.0
	for _, f := range flows {
		high = max(high, f.count/s.weight(f))
	}

	for range levelSteps {
		level, sum := (low+high)/2, 0.0
		for _, f := range flows {
			sum += min(f.count, level*s.weight(f))
		}

		if sum > admitted {
			high = level
		} else {
			low = level
		}
	}

	return low
}

// setAverageWeight sets the weight of teams that have none.
func (s *Shedder) setAverageWeight() {
	sum, n := 0.0, 0

	for _, f := range s.order {
		if f.weight > 0 {
			sum += f.weight
			n++
		}
	}

	s.averageWeight = 1
	if n > 0 {
		s.averageWeight = sum / float64(n)
	}
}

// FlowReport is what a Shedder has done with the requests of one class since the previous report.
type FlowReport struct {
	Class ident.Class
	Sent  int
	Shed  int
	// Team is the team of the class with the most refused requests, and TeamShed their number.
	Team     ident.TeamID
	TeamShed int
}

// Reports returns what was done with the requests of each class since the last call, in the order of the classes.
func (s *Shedder) Reports() []FlowReport {
	var list []FlowReport

	for _, class := range ident.Classes {
		r := FlowReport{Class: class}

		for _, f := range s.order {
			if f.key.class != class {
				continue
			}

			r.Sent += f.sent
			r.Shed += f.shed

			if f.shed > r.TeamShed || f.shed == r.TeamShed && f.shed > 0 && f.key.team < r.Team {
				r.Team, r.TeamShed = f.key.team, f.shed
			}

			f.sent, f.shed = 0, 0
		}

		if r.Sent+r.Shed > 0 {
			list = append(list, r)
		}
	}

	return list
}
