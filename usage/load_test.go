package usage

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fulmarfall/ident"
)

const (
	// tick is the step of the simulated time, roundTrip the time from a report to its grant between regions, and reportEvery
	// the time between the reports of an entry VM.
	tick        = 5 * time.Millisecond
	roundTrip   = 30 * time.Millisecond
	reportEvery = 500 * time.Millisecond
	// longestWait is how long a request waits for a token, as at a route with a target of 400 ms.
	longestWait = 100 * time.Millisecond
	// minReportGap is the shortest time between two reports of an entry VM.
	minReportGap = 40 * time.Millisecond
)

// playSeed is the seed of the arrivals of requests.
const playSeed = 7

// play is a run of one leader and entry VMs under a stated load, without faults.
type play struct {
	now    time.Time
	random *rand.Rand
	leader *Allocator
	limits map[ident.TeamID]operatorLimit
	teams  []ident.TeamID
	vms    []*playedVM
	// load returns the requests per second of a team at an entry VM.
	load func(at time.Duration, team ident.TeamID, vm int) float64
	// Counts by team, since the last reset.
	sent, served, waited, refused map[ident.TeamID]int
	reports, listed               int
}

type playedVM struct {
	holder   *Holder
	callers  bool
	reportAt time.Time // next report
	sentAt   time.Time
	inFlight *Report
	grantAt  time.Time
	urgent   bool
	waiting  map[ident.TeamID][]time.Time // ends of the waits
}

func newPlay(vms, withCallers int, limits map[ident.TeamID]operatorLimit) *play {
	p := &play{
		now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(playSeed, 7)), limits: limits,
		teams: slices.Sorted(maps.Keys(limits)),
	}
	p.leader = NewAllocator(1, p.now)
	p.leader.SetLimits(p.now, p.effective())
	p.reset()

	for i := range vms {
		vm := &playedVM{
			holder: NewHolder(1), callers: i < withCallers, waiting: map[ident.TeamID][]time.Time{},
			reportAt: p.now.Add(time.Duration(p.random.Int64N(int64(reportEvery)))),
		}
		vm.holder.SetLimits(p.now, p.effective())
		p.vms = append(p.vms, vm)
	}

	return p
}

func (p *play) effective() map[ident.TeamID]Limit {
	m := map[ident.TeamID]Limit{}
	for id, l := range p.limits {
		m[id] = usual.Limit(l.rate, l.burst)
	}

	return m
}

func (p *play) reset() {
	p.sent, p.served, p.waited, p.refused = map[ident.TeamID]int{}, map[ident.TeamID]int{}, map[ident.TeamID]int{}, map[ident.TeamID]int{}
	p.reports, p.listed = 0, 0
}

// run plays for the given time.
func (p *play) run(d time.Duration) {
	began := p.now

	for p.now.Sub(began) < d {
		for i, vm := range p.vms {
			p.requests(i, vm, p.now.Sub(began))
			p.exchange(i, vm)
		}

		p.now = p.now.Add(tick)
	}
}

// requests lets the requests of one tick arrive, at random.
func (p *play) requests(i int, vm *playedVM, at time.Duration) {
	for _, id := range p.teams {
		rate := p.load(at, id, i)
		if rate <= 0 || p.random.Float64() >= 1-math.Exp(-rate*tick.Seconds()) {
			p.expireWaits(vm, id)

			continue
		}

		p.sent[id]++
		vm.holder.Arrive(p.now, id)

		if len(vm.waiting[id]) == 0 && vm.holder.Take(p.now, id) {
			p.served[id]++

			continue
		}

		p.waited[id]++
		vm.waiting[id] = append(vm.waiting[id], p.now.Add(longestWait))
		vm.urgent = true
	}
}

func nodeName(i int) ident.NodeID { return ident.NodeID(fmt.Sprint("e", i)) }

func (p *play) expireWaits(vm *playedVM, id ident.TeamID) {
	queue := vm.waiting[id]
	for len(queue) > 0 && vm.holder.Take(p.now, id) {
		p.served[id]++
		queue = queue[1:]
	}

	for len(queue) > 0 && p.now.After(queue[0]) {
		p.refused[id]++
		queue = queue[1:]
	}

	vm.waiting[id] = queue
}

func (p *play) exchange(i int, vm *playedVM) {
	if vm.inFlight != nil {
		if p.now.Before(vm.grantAt) {
			return
		}

		p.reports++
		p.listed += len(vm.inFlight.Teams)

		if g := p.leader.Report(p.now, nodeName(i), vm.inFlight); g != nil {
			res := vm.holder.Apply(p.now, g)
			vm.urgent = vm.urgent || res.Lowered
			p.listed += len(g.Teams)
		}

		vm.inFlight = nil
	}

	if !vm.callers && !vm.urgent {
		return
	}

	if p.now.Before(vm.reportAt) && (!vm.urgent || p.now.Sub(vm.sentAt) < minReportGap) {
		return
	}

	waiting := map[ident.TeamID]int{}
	for id, queue := range vm.waiting {
		if len(queue) > 0 {
			waiting[id] = len(queue)
		}
	}

	vm.inFlight = vm.holder.Report(p.now, vm.callers, waiting)
	vm.urgent, vm.sentAt, vm.reportAt, vm.grantAt = false, p.now, p.now.Add(reportEvery), p.now.Add(roundTrip)
}

// manyTeams returns the limits of a few large teams and of small ones.
func manyTeams(n int) map[ident.TeamID]operatorLimit {
	m := map[ident.TeamID]operatorLimit{}

	for i := range n {
		rate := []float64{2, 3, 4, 5, 8}[i%5]
		if i < 3 {
			rate = []float64{120, 48, 30}[i]
		}

		m[ident.TeamID(fmt.Sprintf("team%02d", i))] = operatorLimit{rate: rate, burst: rate}
	}

	return m
}

// evenly returns a load of all teams at the entry VMs from the first up to the last, as a part of their limits.
func (p *play) evenly(part float64, first, last int) func(time.Duration, ident.TeamID, int) float64 {
	return func(_ time.Duration, id ident.TeamID, vm int) float64 {
		if vm < first || vm >= last {
			return 0
		}

		return p.limits[id].rate * part / float64(last-first)
	}
}

func total(m map[ident.TeamID]int) (sum int) {
	for _, n := range m {
		sum += n
	}

	return sum
}

// Guards against refusals of teams below their limits, requests that wait although their team has a limit to spare, and reports
// more often than twice a second, or with all teams. The load is 0.15 and 0.3 of the limits of 30 teams, at the 12 entry VMs
// that have callers; small teams have 0.3 requests per second over these.
func TestUsualLoadIsAdmitted(t *testing.T) {
	for name, tc := range map[string]struct {
		part            float64
		refused, waited float64 // at most, as a part of all requests
	}{
		"0.15 of the limits": {0.15, 0, 0.2},
		"0.3 of the limits":  {0.3, 0.005, 0.2},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlay(60, 12, manyTeams(30))
			p.load = p.evenly(tc.part, 0, 12)
			p.run(startPeriod + 10*time.Second)
			p.reset()

			const measured = 20 * time.Second

			p.run(measured)

			sent, waited, refused := total(p.sent), total(p.waited), total(p.refused)
			if float64(refused) > tc.refused*float64(sent) || float64(waited) > tc.waited*float64(sent) {
				t.Errorf("of %d requests %d waited and %d were refused", sent, waited, refused)
			}

			if perVM := float64(p.reports) / 12 / measured.Seconds(); perVM > 4 {
				t.Errorf("%.1f reports per second from each entry VM", perVM)
			}

			if teams := float64(p.listed) / float64(p.reports); teams > 15 {
				t.Errorf("%.1f teams in each report and its grant", teams)
			}
		})
	}
}

// Guards against refusals of teams far below their limits when all their load moves to other entry VMs at once: 0.15 and 0.3
// of the limits of 30 teams, from 6 entry VMs to 6 others.
func TestLoadMoves(t *testing.T) {
	for name, part := range map[string]float64{"0.15 of the limits": 0.15, "0.3 of the limits": 0.3} {
		t.Run(name, func(t *testing.T) {
			p := newPlay(60, 12, manyTeams(30))
			p.load = p.evenly(part, 0, 6)
			p.run(startPeriod + 10*time.Second)

			p.load = p.evenly(part, 6, 12)
			p.reset()
			p.run(3 * time.Second)

			if sent, refused := total(p.sent), total(p.refused); float64(refused) > 0.01*float64(sent) {
				t.Errorf("%d of %d requests refused", refused, sent)
			}
		})
	}
}

// Guards against a limit that is not used, or exceeded, while its team presses, and against shares that follow late. The usual
// load of each team is 0.3 of its limit at 12 entry VMs; one team then sends 4 and 7 times as much, at one, three and all of
// them, with 60 and 300 entry VMs.
func TestTeamPresses(t *testing.T) {
	const pressing ident.TeamID = "team01" // 48 requests per second

	for _, vms := range []int{60, 300} {
		for _, times := range []float64{4, 7} {
			for _, at := range []int{1, 3, 12} {
				t.Run(fmt.Sprintf("%d VMs, %.0f times at %d", vms, times, at), func(t *testing.T) {
					p := newPlay(vms, 12, manyTeams(6))
					p.load = p.evenly(0.3, 0, 12)
					p.run(startPeriod + 6*time.Second)

					usualLoad, pressingLoad := p.load, p.evenly(0.3*times, 0, at)
					p.load = func(after time.Duration, id ident.TeamID, vm int) float64 {
						if id == pressing {
							return pressingLoad(after, id, vm)
						}

						return usualLoad(after, id, vm)
					}

					// Shares follow within half a second.
					limit := p.limits[pressing]
					p.reset()
					p.run(500 * time.Millisecond)

					first := p.served[pressing]

					p.reset()
					p.run(4500 * time.Millisecond)

					served, sent := p.served[pressing], p.sent[pressing]
					if float64(served) < 0.9*min(4.5*limit.rate, float64(sent)) {
						t.Errorf("%d of %d requests served after the first half-second, the limit is %.0f", served, sent, 4.5*limit.rate)
					}

					if bound := usual.Total(limit.rate, limit.burst); float64(first+served) > bound {
						t.Errorf("%d requests served in 5 s, the bound is %.0f", first+served, bound)
					}
				})
			}
		}
	}
}
