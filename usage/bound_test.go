package usage

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fulmarfall/ident"
)

// usual are the bounds of the users' settings.
var usual = Bounds{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}

// leaderValidity is how long a leader that has been replaced may still grant.
const leaderValidity = 300 * time.Millisecond

// operatorLimit is a limit as operators state it.
type operatorLimit struct{ rate, burst float64 }

// simulation is a set of entry VMs and leaders without a network. Messages wait until they are delivered, in any order.
type simulation struct {
	t       *rapid.T
	random  *rand.Rand
	now     time.Time
	began   time.Time
	limits  map[ident.TeamID]operatorLimit
	vms     []*simulatedVM
	leaders []*simulatedLeader
	reports []reportInFlight
	grants  []grantInFlight
	// runs are the times at which requests of a team were admitted, loosest the highest bound of a team in force at any
	// time in the last window.
	runs     map[ident.TeamID][]time.Time
	earlier  map[ident.TeamID]operatorLimit
	bindsAt  time.Time // from when only limits count, and not earlier
	changeAt []time.Time
}

type simulatedVM struct {
	name           ident.NodeID
	holder         *Holder
	incarnation    ident.Incarnation
	limits         map[ident.TeamID]operatorLimit
	cutUntil       time.Time
	suspendedUntil time.Time
	callers        bool
	// demand is the number of requests that it tries to admit in each step.
	demand int
}

type simulatedLeader struct {
	a     *Allocator
	until time.Time // zero for the current leader
}

type reportInFlight struct {
	vm     *simulatedVM
	leader *simulatedLeader
	report *Report
}

type grantInFlight struct {
	vm          *simulatedVM
	incarnation ident.Incarnation
	grant       *Grant
}

func (s *simulation) effective(limits map[ident.TeamID]operatorLimit) map[ident.TeamID]Limit {
	m := map[ident.TeamID]Limit{}
	for id, l := range limits {
		m[id] = usual.Limit(l.rate, l.burst)
	}

	return m
}

func newSimulation(t *rapid.T, vms int) *simulation {
	began := time.Unix(1_000_000, 0)
	s := &simulation{
		t: t, now: began, began: began, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), runs: map[ident.TeamID][]time.Time{},
		limits: map[ident.TeamID]operatorLimit{"large": {rate: 48, burst: 48}, "small": {rate: 1, burst: 2}},
	}

	for i := range vms {
		vm := &simulatedVM{
			name: ident.NodeID(fmt.Sprint("e", i)), incarnation: 1, holder: NewHolder(1), limits: s.limits, callers: i%5 == 0,
		}
		vm.holder.SetLimits(s.now, s.effective(s.limits))
		s.vms = append(s.vms, vm)
	}

	s.elect()

	return s
}

func (s *simulation) elect() {
	for _, l := range s.leaders {
		if l.until.IsZero() {
			l.until = s.now.Add(leaderValidity)
		}
	}

	l := &simulatedLeader{a: NewAllocator(uint64(len(s.leaders)+1), s.now)}
	l.a.SetLimits(s.now, s.effective(s.limits))
	s.leaders = append(s.leaders, l)
}

func (s *simulation) current() *simulatedLeader { return s.leaders[len(s.leaders)-1] }

func (s *simulation) report(vm *simulatedVM, leader *simulatedLeader, waiting map[ident.TeamID]int) {
	if s.now.Before(vm.suspendedUntil) {
		return
	}

	r := vm.holder.Report(s.now, vm.callers, waiting)

	if !s.now.Before(vm.cutUntil) {
		s.reports = append(s.reports, reportInFlight{vm: vm, leader: leader, report: r})
	}
}

// deliverReport delivers a report, and the grant at once unless it is delayed.
func (s *simulation) deliverReport(i int, delayGrant bool) {
	m := s.reports[i]
	s.reports = slices.Delete(s.reports, i, i+1)

	if !m.leader.until.IsZero() && s.now.After(m.leader.until) {
		return
	}

	g := m.leader.a.Report(s.now, m.vm.name, m.report)
	if g == nil {
		return
	}

	s.grants = append(s.grants, grantInFlight{vm: m.vm, incarnation: m.report.Incarnation, grant: g})
	if !delayGrant {
		s.deliverGrant(len(s.grants) - 1)
	}
}

func (s *simulation) deliverGrant(i int) {
	m := s.grants[i]
	if s.now.Before(m.vm.suspendedUntil) {
		return // it waits in the buffers of the VM
	}

	s.grants = slices.Delete(s.grants, i, i+1)

	if m.incarnation == m.vm.incarnation && !s.now.Before(m.vm.cutUntil) {
		m.vm.holder.Apply(s.now, m.grant)
	}
}

// admit lets a VM admit up to n requests of each team, and returns how many were short of tokens.
func (s *simulation) admit(vm *simulatedVM, n int) map[ident.TeamID]int {
	short := map[ident.TeamID]int{}
	if s.now.Before(vm.suspendedUntil) {
		return short
	}

	for id := range s.limits {
		for k := range n {
			vm.holder.Arrive(s.now, id)

			if !vm.holder.Take(s.now, id) {
				short[id] = n - k

				break
			}

			s.runs[id] = append(s.runs[id], s.now)
		}
	}

	return short
}

// check fails the test if more requests have run in the window that ends now than the bound allows.
func (s *simulation) check() {
	for id, l := range s.limits {
		runs := s.runs[id]
		i := 0

		for i < len(runs) && !runs[i].After(s.now.Add(-usual.Window)) {
			i++
		}

		runs = runs[i:]
		s.runs[id] = runs

		bound := usual.Total(l.rate, l.burst)
		if e, ok := s.earlier[id]; ok && s.now.Before(s.bindsAt) {
			bound = max(bound, usual.Total(e.rate, e.burst))
		}

		if s.now.Sub(s.leaders[len(s.leaders)-1].a.started) > startPeriod+usual.Window && !s.now.Before(s.bindsAt) {
			// No leader has granted its margin in this window.
			effective := usual.Limit(l.rate, l.burst)
			bound = effective.Rate*usual.Window.Seconds() + effective.Burst
		}

		if float64(len(runs)) > bound {
			s.t.Fatalf("team %s: %d requests ran within %v, the bound is %.1f, at %v", id, len(runs), usual.Window, bound, s.now.Sub(s.began))
		}
	}
}

// checkShares fails the test if entry VMs hold more than the whole limit of a team.
func (s *simulation) checkShares() {
	sum := map[ident.TeamID]Shares{}

	for _, vm := range s.vms {
		for id, share := range vm.holder.Shares(s.now) {
			sum[id] = sum[id].plus(share)
		}
	}

	for id, total := range sum {
		if total.Rate > Whole || total.Burst > Whole {
			s.t.Fatalf("team %s: the shares of all entry VMs add up to %v, at %v", id, total, s.now.Sub(s.began))
		}
	}
}

// changeLimits puts a configuration in force, at entry VMs within 4 s.
func (s *simulation) changeLimits(rate float64) {
	s.earlier = s.limits
	s.limits = map[ident.TeamID]operatorLimit{"large": {rate: rate, burst: rate}, "small": {rate: 1 + rate/48, burst: 2}}
	s.bindsAt = s.now.Add(4*time.Second + usual.Window)
	s.changeAt = make([]time.Time, len(s.vms))

	for i := range s.vms {
		s.changeAt[i] = s.now.Add(s.upTo(4 * time.Second))
	}

	s.current().a.SetLimits(s.now, s.effective(s.limits))
}

func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)

	for i, at := range s.changeAt {
		if !at.IsZero() && !s.now.Before(at) {
			vm := s.vms[i]
			vm.limits, s.changeAt[i] = s.limits, time.Time{}
			vm.holder.SetLimits(s.now, s.effective(s.limits))
		}
	}
}

// step performs one random event.
func (s *simulation) step(busy []*simulatedVM, elections *[]time.Time) {
	vm := busy[s.random.IntN(len(busy))]

	switch s.random.IntN(18) {
	case 0:
		if n := len(s.reports); n > 0 {
			i := s.random.IntN(n)
			s.reports = slices.Delete(s.reports, i, i+1)
		}
	case 1:
		if n := len(s.grants); n > 0 {
			i := s.random.IntN(n)
			s.grants = slices.Delete(s.grants, i, i+1)
		}
	case 2:
		vm.cutUntil = s.now.Add(s.upTo(8 * time.Second))
	case 3:
		vm.incarnation++
		vm.holder = NewHolder(vm.incarnation)
		vm.holder.SetLimits(s.now, s.effective(vm.limits))
	case 4:
		vm.suspendedUntil = s.now.Add(s.upTo(8 * time.Second))
	case 5:
		// The margin allows for three leaders in a window.
		*elections = slices.DeleteFunc(*elections, func(at time.Time) bool { return s.now.Sub(at) > 3*usual.Window })
		if len(*elections) < 3 && s.random.IntN(3) == 0 {
			*elections = append(*elections, s.now)
			s.elect()
		}
	case 6:
		if s.changeAt == nil || !s.now.Before(s.bindsAt) {
			s.changeLimits([]float64{6, 24, 48, 90}[s.random.IntN(4)])
		}
	case 7, 8:
		vm.demand = []int{0, 1, 30, 100}[s.random.IntN(4)]
	case 15:
		if n := len(s.leaders); n > 1 {
			s.report(vm, s.leaders[n-2], nil)
		}
	case 9, 10, 11:
		if n := len(s.reports); n > 0 {
			s.deliverReport(s.random.IntN(n), true)
		}
	case 12, 13:
		if n := len(s.grants); n > 0 {
			s.deliverGrant(s.random.IntN(n))
		}
	case 14:
		s.report(vm, s.current(), nil)
	default: // exchanges without a fault
		for _, vm := range busy {
			if s.random.IntN(3) == 0 {
				s.exchange(vm)
			}
		}
	}
}

func (s *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d)))
}

// exchange lets a VM report, and delivers the report and the grant.
func (s *simulation) exchange(vm *simulatedVM) {
	before := len(s.reports)
	s.report(vm, s.current(), s.admit(vm, vm.demand))

	if len(s.reports) > before {
		s.deliverReport(len(s.reports)-1, false)
	}
}

// Guards against more requests than the bound allows in any window, whatever the order of reports, grants, lost messages,
// partitions, restarts, suspensions, changes of leader and lowered limits; and against shares that add up to more than the
// limit at any moment. The VMs with callers ask for more than the limit most of the time.
func TestBoundHoldsInAnyOrder(t *testing.T) {
	for _, vms := range []int{60, 300} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := newSimulation(t, vms)
				// The directory concentrates the callers; the others have a request now and then.
				busy := s.vms[:rapid.IntRange(2, 12).Draw(t, "busy")]
				s.advance(s.upTo(2 * startPeriod))

				var elections []time.Time

				for range 200 {
					s.step(busy, &elections)
					s.admit(s.vms[s.random.IntN(vms)], 3)

					for _, vm := range busy {
						s.admit(vm, vm.demand)
					}

					s.check()
					s.checkShares()

					if len(s.reports)+len(s.grants) > 30 {
						s.reports, s.grants = s.reports[len(s.reports)/2:], s.grants[len(s.grants)/2:]
					}

					s.advance(s.upTo(200 * time.Millisecond))
				}
			})
		})
	}
}
