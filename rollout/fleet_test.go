package rollout

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fulmarfall/ident"
)

// fleet plays one roll-out in virtual time: callers, entry VMs, searchers of both versions in three zones, and the leader.
type fleet struct {
	rnd   *rand.Rand
	order Order
	at    time.Time
	vms   []*fleetVM
	eval  *Evaluator
	// pending are the reports and steps on their way.
	pending []delayed

	load     loadOf
	requests int
	exposed  int
	badAt    []time.Duration // responses of the new version that are bad
	lastNew  time.Duration
	endedAt  time.Duration
	reason   string
}

type delayed struct {
	at time.Time
	do func()
}

type fleetVM struct {
	order    Order
	source   Source
	credit   *Credit
	evidence Evidence
	sequence uint64
	callers  bool
}

// loadOf is the load of a play and what happens in it.
type loadOf struct {
	perSecond int
	vms       int // entry VMs, of which activeVMs have callers
	activeVMs int
	within    time.Duration
	work      time.Duration
	// slowZone is a zone whose responses take five times as long between two and seven seconds after the order.
	slowZone bool
	// cold makes the new searchers slow for three seconds.
	cold bool
	// leaderEnds is when the leader ends; another one decides from 700 ms later on.
	leaderEnds time.Duration
	// bad returns whether a response of the new version fails, and the factor on its latency. recent is the number of requests
	// to the searcher in the last second.
	bad func(rnd *rand.Rand, route string, after time.Duration, recent int) (failed bool, factor float64)
}

var fleetLimits = Limits{Enabled: true, CanaryShare: 0.1, CanarySlack: 50}

var fleetStart = time.Unix(1796000000, 0)

const (
	pauseEvery = 6 * time.Second
	pauseTime  = 250 * time.Millisecond
	tickTime   = 10 * time.Millisecond
)

var zones = []ident.FailureDomain{"a", "b", "c"}

// playFleet plays one roll-out and returns the stage in which it ended.
func playFleet(seed uint64, l loadOf) *fleet {
	f := &fleet{
		rnd: rand.New(rand.NewPCG(seed, 1)), at: fleetStart, load: l,
		order: Order{ID: 1, Upstream: "s", Target: "v2", Current: []ident.SoftwareVersion{"v1"}, Within: l.within, Stage: StageBegin},
	}
	f.eval = NewEvaluator(f.at, fleetLimits, f.order, 0)

	for i := range l.vms {
		vm := &fleetVM{source: Source{Node: ident.NodeID(fmt.Sprintf("n%d", i)), Incarnation: 1}, evidence: Evidence{}, callers: i < l.activeVMs}
		f.vms = append(f.vms, vm)
		f.propagate(vm, f.order)
	}

	var (
		phases = map[string]time.Duration{}
		recent = map[string][]time.Duration{}
	)

	for f.since() < l.within+2*time.Second {
		f.at = f.at.Add(tickTime)
		f.deliver()

		if f.rnd.Float64() < float64(l.perSecond)*tickTime.Seconds() {
			f.request(phases, recent)
		}

		if f.since()%(250*time.Millisecond) == 0 {
			f.report()
		}

		if f.since()%(100*time.Millisecond) == 0 {
			f.decide()
		}
	}

	return f
}

func (f *fleet) since() time.Duration { return f.at.Sub(fleetStart) }

func (f *fleet) deliver() {
	rest := f.pending[:0:0]

	for _, d := range f.pending {
		if d.at.After(f.at) {
			rest = append(rest, d)
		} else {
			d.do()
		}
	}

	f.pending = rest
}

func (f *fleet) after(d time.Duration, do func()) {
	f.pending = append(f.pending, delayed{at: f.at.Add(d), do: do})
}

// propagate sends the state of the order to an entry VM, with its next exchange.
func (f *fleet) propagate(vm *fleetVM, o Order) {
	f.after(time.Duration(20+f.rnd.IntN(500))*time.Millisecond, func() {
		if vm.credit == nil {
			vm.credit = NewCredit(fleetLimits, fleetLimits.InitialCredit(f.load.vms))
		}

		if o.Stage > vm.order.Stage {
			if len(vm.order.Grants) == 0 {
				vm.credit.Grant(o.GrantTo(vm.source))
			}

			vm.order = o
		}
	})
}

// request plays one request of a caller.
func (f *fleet) request(phases map[string]time.Duration, recent map[string][]time.Duration) {
	vm := f.vms[f.rnd.IntN(f.load.activeVMs)]
	route := []string{"x", "x", "y"}[f.rnd.IntN(3)]
	zone := zones[f.rnd.IntN(len(zones))]
	isNew := false

	switch vm.order.Stage {
	case StageBegin, StageCanary, StageLoad:
		isNew = vm.credit.Take(vm.order.Stage, route, f.rnd.Float64())
	case StageAll, StageCompleted:
		isNew = true
	default:
	}

	if vm.order.Stage == StageLoad && isNew {
		zone = zones[0]
	}

	if vm.credit != nil {
		vm.credit.Sent()
	}

	name := fmt.Sprintf("%s-%v", zone, isNew)
	if _, ok := phases[name]; !ok {
		phases[name] = time.Duration(f.rnd.Int64N(int64(pauseEvery)))
	}

	latency := time.Duration(float64(f.load.work) * (0.8 + 0.4*f.rnd.ExpFloat64()))
	if f.load.slowZone && zone == "b" && f.since() > 2*time.Second && f.since() < 7*time.Second {
		latency *= 5
	}

	if left := pauseTime - (f.since()+phases[name])%pauseEvery; left > 0 {
		latency += left
	}

	resp := Response{Latency: latency}
	if within := f.since() <= f.load.within; within {
		f.requests++

		if isNew {
			f.exposed++
		}
	}

	if isNew {
		f.lastNew = f.since()
		recent[name] = append(recent[name], f.since())

		for f.since()-recent[name][0] > time.Second {
			recent[name] = recent[name][1:]
		}

		if f.load.cold && f.since() < 3*time.Second {
			resp.Cold, resp.Latency = true, 4*resp.Latency
		}

		if f.load.bad != nil {
			failed, factor := f.load.bad(f.rnd, route, f.since(), len(recent[name]))
			resp.Failed, resp.Latency = failed, time.Duration(factor*float64(resp.Latency))

			if failed || factor > 2 {
				f.badAt = append(f.badAt, f.since())
			}
		}
	}

	f.after(resp.Latency, func() { vm.evidence.Record(CellKey{Route: route, FailureDomain: zone, New: isNew}, resp) })
}

// report sends the counters of all entry VMs to the leader.
func (f *fleet) report() {
	for _, vm := range f.vms {
		if vm.credit == nil {
			continue
		}

		vm.sequence++

		cells := Evidence{}
		for k, c := range vm.evidence {
			cells[k] = c
		}

		r := Report{
			Source: vm.source, Sequence: vm.sequence, Upstream: "s", Order: 1,
			Stage: vm.order.Stage, Cells: cells,
		}
		f.after(time.Duration(10+f.rnd.IntN(300))*time.Millisecond, func() { f.eval.Add(f.at, r) })
	}
}

func (f *fleet) decide() {
	switch end := f.load.leaderEnds; {
	case end > 0 && f.since() == end:
		f.eval = NewEvaluator(f.at, fleetLimits, f.order, f.since())
	case end > 0 && f.since() > end && f.since() < end+700*time.Millisecond:
		return
	}

	var list []EntryVM
	for _, vm := range f.vms {
		list = append(list, EntryVM{Node: vm.source.Node})
	}

	s, ok := f.eval.Decide(f.at, list)
	if !ok {
		return
	}

	f.order.Stage, f.order.Reason, f.order.Age = s.Stage, s.Reason, s.Age
	if len(s.Grants) > 0 {
		f.order.Grants = s.Grants
	}

	if !s.Stage.Running() {
		f.endedAt, f.reason = f.since(), s.Reason
	}

	f.eval.SetOrder(f.at, f.order)

	for _, vm := range f.vms {
		f.propagate(vm, f.order)
	}
}

// plays is the number of plays of each load; "go test ./rollout -args -plays 200" plays more.
var plays = flag.Int("plays", 12, "plays of each load")

// Guards against a good version that is rolled back. The loads have pauses of searchers and, by case, cold new searchers, a slow
// zone, few requests and many entry VMs.
func TestGoodVersionCompletes(t *testing.T) {
	for name, l := range map[string]loadOf{
		"30 a second, 6 VMs":        {perSecond: 30, vms: 6, activeVMs: 6},
		"80 a second, 60 VMs":       {perSecond: 80, vms: 60, activeVMs: 12},
		"80 a second, 300 VMs":      {perSecond: 80, vms: 300, activeVMs: 24},
		"15 a second, 60 VMs":       {perSecond: 15, vms: 60, activeVMs: 12},
		"cold start":                {perSecond: 60, vms: 60, activeVMs: 12, cold: true},
		"slow zone":                 {perSecond: 60, vms: 60, activeVMs: 12, slowZone: true},
		"cold start in a slow zone": {perSecond: 60, vms: 60, activeVMs: 12, slowZone: true, cold: true},
		"work of 220 ms, slow zone": {perSecond: 25, vms: 60, activeVMs: 12, work: 220 * time.Millisecond, slowZone: true},
		"six seconds":               {perSecond: 60, vms: 60, activeVMs: 12, within: 6 * time.Second},
		"one minute, 80 a second":   {perSecond: 80, vms: 60, activeVMs: 12, within: time.Minute},
		"leader ends in canary":     {perSecond: 60, vms: 60, activeVMs: 12, leaderEnds: 3 * time.Second},
		"leader ends in load":       {perSecond: 60, vms: 60, activeVMs: 12, leaderEnds: 6 * time.Second},
		"leader ends before all":    {perSecond: 60, vms: 60, activeVMs: 12, leaderEnds: 7400 * time.Millisecond},
		"work of 2 ms, 95 a second": {perSecond: 95, vms: 60, activeVMs: 12, work: 2 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(*plays) {
				f := playFleet(seed, withDefaults(l))
				if f.order.Stage != StageCompleted || f.endedAt > f.load.within {
					t.Errorf("seed %d: %v after %v: %s", seed, f.order.Stage, f.endedAt, f.reason)
				}
			}
		})
	}
}

func withDefaults(l loadOf) loadOf {
	if l.within == 0 {
		l.within = 12 * time.Second
	}

	if l.work == 0 {
		l.work = 20 * time.Millisecond
	}

	return l
}

// Guards against a bad version that is completed, gets more requests than allowed, or gets requests later than 5 s after its
// 50th bad response. In each case, the loads have pauses of searchers and 60 entry VMs, 12 of which have callers.
func TestBadVersionIsRolledBack(t *testing.T) {
	for name, bad := range map[string]func(rnd *rand.Rand, route string, after time.Duration, recent int) (bool, float64){
		"failures at once":  func(rnd *rand.Rand, _ string, _ time.Duration, _ int) (bool, float64) { return rnd.Float64() < 0.3, 1 },
		"all fail":          func(*rand.Rand, string, time.Duration, int) (bool, float64) { return true, 1 },
		"four times slower": func(*rand.Rand, string, time.Duration, int) (bool, float64) { return false, 4 },
		"half six times slower": func(rnd *rand.Rand, _ string, _ time.Duration, _ int) (bool, float64) {
			return false, 1 + 5*float64(rnd.IntN(2))
		},
		"failures later": func(rnd *rand.Rand, _ string, after time.Duration, _ int) (bool, float64) {
			return after > 4*time.Second && rnd.Float64() < 0.5, 1
		},
		"slow later": func(_ *rand.Rand, _ string, after time.Duration, _ int) (bool, float64) {
			if after > 4*time.Second {
				return false, 5
			}

			return false, 1
		},
		"failures under load": func(rnd *rand.Rand, _ string, _ time.Duration, recent int) (bool, float64) {
			return recent > 5 && rnd.Float64() < 0.7, 1
		},
		"failures on one route": func(rnd *rand.Rand, route string, _ time.Duration, _ int) (bool, float64) {
			return route == "y" && rnd.Float64() < 0.6, 1
		},
		"slow on one route": func(_ *rand.Rand, route string, _ time.Duration, _ int) (bool, float64) {
			if route == "y" {
				return false, 5
			}

			return false, 1
		},
	} {
		for _, l := range []loadOf{{perSecond: 30}, {perSecond: 80}, {perSecond: 80, leaderEnds: 5 * time.Second}} {
			t.Run(fmt.Sprintf("%s, %d a second, leader ends at %v", name, l.perSecond, l.leaderEnds), func(t *testing.T) {
				for seed := range uint64(*plays) {
					l.vms, l.activeVMs, l.bad = 60, 12, bad
					f := playFleet(seed, withDefaults(l))

					if f.order.Stage != StageRolledBack || f.endedAt > f.load.within {
						t.Errorf("seed %d: %v after %v: %s", seed, f.order.Stage, f.endedAt, f.reason)
					}

					if limit := 0.1*float64(f.requests) + 50; float64(f.exposed) > limit {
						t.Errorf("seed %d: %d of %d requests to the new version, at most %.0f are allowed", seed, f.exposed, f.requests, limit)
					}

					if len(f.badAt) >= 50 && f.lastNew > f.badAt[49]+5*time.Second {
						t.Errorf("seed %d: the last request came at %v, the 50th bad response at %v", seed, f.lastNew, f.badAt[49])
					}
				}
			})
		}
	}
}
