package usage

import (
	"fmt"
	"math"
	"math/rand/v2"
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

// play is a run of one leader and entry VMs under a stated load, without faults.
type play struct {
	now    time.Time
	random *rand.Rand
	leader *Allocator
	limits map[ident.TeamID]operatorLimit
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
		now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(7, 7)), limits: limits,
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
	for id := range p.limits {
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

		if g := p.leader.Report(p.now, ident.NodeID(fmt.Sprint("e", i)), vm.inFlight); g != nil {
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

// manyTeams returns the limits of 74 teams: a few large ones, and small ones.
func manyTeams() map[ident.TeamID]operatorLimit {
	m := map[ident.TeamID]operatorLimit{}
	for i := range 74 {
		rate := []float64{2, 3, 4, 5, 8}[i%5]
		if i < 5 {
			rate = []float64{120, 80, 48, 40, 30}[i]
		}

		m[ident.TeamID(fmt.Sprintf("team%02d", i))] = operatorLimit{rate: rate, burst: rate}
	}

	return m
}

func TestPlayUsual(t *testing.T) {
	for _, callers := range []int{6, 12, 18} {
		for _, part := range []float64{0.15, 0.3, 0.5, 0.8} {
			p := newPlay(60, callers, manyTeams())
			p.load = func(time.Duration, ident.TeamID, int) float64 { return 0 }
			p.run(6 * time.Second)
			p.load = func(_ time.Duration, id ident.TeamID, vm int) float64 {
				if vm >= callers {
					return 0
				}

				return p.limits[id].rate * part / float64(callers)
			}
			p.run(10 * time.Second)
			p.reset()
			p.run(30 * time.Second)
			sent, waited, refused := 0, 0, 0
			ls, lw, lr := 0, 0, 0
			for id := range p.limits {
				sent += p.sent[id]
				waited += p.waited[id]
				refused += p.refused[id]
				if p.limits[id].rate >= 30 {
					ls += p.sent[id]
					lw += p.waited[id]
					lr += p.refused[id]
				}
			}
			t.Logf("callers %d part %.2f: sent %d waited %d refused %d; large %d %d %d; reports %d listed %.1f each; least free %v", callers, part, sent, waited, refused, ls, lw, lr, p.reports, float64(p.listed)/float64(p.reports), p.leader.Stats().LeastFree)
		}
	}
}

func TestPlayPress(t *testing.T) {
	for _, where := range []int{1, 3, 12} {
		for _, times := range []float64{2, 4, 7} {
			p := newPlay(60, 12, manyTeams())
			p.load = func(_ time.Duration, id ident.TeamID, vm int) float64 {
				if vm >= 12 {
					return 0
				}

				return p.limits[id].rate * 0.3 / 12
			}
			p.run(16 * time.Second)
			usualLoad := p.load
			p.load = func(at time.Duration, id ident.TeamID, vm int) float64 {
				if id == "team02" && vm < where {
					return p.limits[id].rate * 0.3 * times / float64(where)
				}
				return usualLoad(at, id, vm)
			}
			line := ""
			for range 8 {
				p.reset()
				p.run(500 * time.Millisecond)
				line += fmt.Sprintf(" %d/%d", p.served["team02"], p.sent["team02"])
			}
			p.load = usualLoad
			p.reset()
			p.run(3 * time.Second)
			t.Logf("team02 at %d VMs x%.0f, limit 24 per 0.5 s:%s; after: sent %d refused %d", where, times, line, p.sent["team02"], p.refused["team02"])
		}
	}
}

func TestPlayMove(t *testing.T) {
	for _, part := range []float64{0.15, 0.3, 0.5, 0.8} {
		p := newPlay(60, 12, manyTeams())
		move := false
		p.load = func(_ time.Duration, id ident.TeamID, vm int) float64 {
			lo, hi := 0, 6
			if move {
				lo, hi = 6, 12
			}
			if vm < lo || vm >= hi {
				return 0
			}

			return p.limits[id].rate * part / 6
		}
		p.run(20 * time.Second)
		move = true
		p.reset()
		p.run(2 * time.Second)
		sent, waited, refused := 0, 0, 0
		for id := range p.limits {
			sent += p.sent[id]
			waited += p.waited[id]
			refused += p.refused[id]
		}
		t.Logf("moved, part %.2f: sent %d waited %d refused %d", part, sent, waited, refused)
	}
}
