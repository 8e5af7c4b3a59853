package searcher

import (
	"testing"
	"time"

	"fulmarfall/ident"
)

// Guards against detecting a searcher that turned cold without announcing it only after several more runs
// have started on it, and against treating a searcher as cold because of a few stragglers.
func TestDetectsSlowSearcher(t *testing.T) {
	oneRun := func(service int, o RunOutcome) func(g *Gate, n int) {
		return func(g *Gate, n int) {
			g.Submit(at(100*n), request(n, 9000))
			g.Done(at(100*n+service), runID(n), o)
		}
	}
	cancelled := RunOutcome{Kind: Cancelled, AnswerRead: true}
	tests := map[string]struct {
		steps []func(g *Gate, n int)
		warm  bool
	}{
		"slow answers and one between the bounds": {
			steps: []func(*Gate, int){oneRun(41, answered), oneRun(30, answered), oneRun(41, answered), oneRun(41, answered)},
		},
		"slow answers with a good one in between": {
			steps: []func(*Gate, int){oneRun(41, answered), oneRun(10, answered), oneRun(41, answered), oneRun(41, answered)},
			warm:  true,
		},
		"ended by hedges before they are too slow": {
			steps: []func(*Gate, int){oneRun(25, cancelled), oneRun(25, cancelled), oneRun(25, cancelled)},
		},
		"cancelled early": {
			steps: []func(*Gate, int){oneRun(15, cancelled), oneRun(15, cancelled), oneRun(15, cancelled)},
			warm:  true,
		},
		"still running": {
			steps: []func(*Gate, int){func(g *Gate, _ int) {
				for n := range 3 {
					g.Submit(t0, request(n, 9000))
				}
				g.Tick(at(41))
			}},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g, _ := warmGate(3, 25)
			for n, step := range tc.steps {
				step(g, n)
			}
			if got := g.Load().Warm; got != tc.warm {
				t.Errorf("warm = %v, want %v", got, tc.warm)
			}
		})
	}
}

// Guards against a level that rises while the searcher announces that it is cold or sheds load, and against
// a searcher that stays cold for ever because its upstream became permanently slower.
func TestLevelRisesOnlyOnGoodAnswers(t *testing.T) {
	tests := map[string]struct {
		cold     bool
		service  time.Duration
		runs     int
		shedAt   int
		warm     bool
		level    int
		anyLevel bool
	}{
		"good":             {service: 10 * time.Millisecond, runs: 8, level: 1},
		"announced cold":   {cold: true, service: 10 * time.Millisecond, runs: 40},
		"shed in between":  {service: 10 * time.Millisecond, runs: 9, shedAt: 7},
		"permanently slow": {service: 30 * time.Millisecond, runs: relearnAfter + 40, warm: true, anyLevel: true},
		"temporarily slow": {service: 30 * time.Millisecond, runs: relearnAfter - 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewGate(GateConfig{WarmLatency: 10 * time.Millisecond}, WithoutWarmConnections())
			g.Announce(t0, Announcement{Incarnation: 1, Slots: 2, Connections: 25, Cold: tc.cold})
			g.SetOpen(t0, true)
			first := tc.runs
			if tc.shedAt > 0 {
				first = tc.shedAt
			}
			ramp(t, g, 0, first, tc.service)
			if tc.shedAt > 0 {
				g.Submit(at(2000), request(1, 9000))
				g.Done(at(2001), runID(1), RunOutcome{Kind: Shed, AnswerRead: true})
				ramp(t, g, 3000, tc.runs-first, tc.service)
			}
			if l := g.Load(); l.Warm != tc.warm || !tc.anyLevel && l.Level != tc.level {
				t.Errorf("load = %+v, want level %d, warm %v", l, tc.level, tc.warm)
			}
		})
	}
}

// Guards against queueing more entries of a class whose entries are overtaken until they can no longer
// finish in time, because they would be refused late instead of on arrival.
func TestOvertakenClassIsRefusedOnArrival(t *testing.T) {
	g, _ := warmGate(1, 25)
	urgent := func(n int) Request {
		r := request(n, 900)
		r.Class = ident.ClassUrgent

		return r
	}
	g.Submit(t0, request(1, 900))
	check(t, "admitted", g.Submit(t0, request(2, 40)))
	g.Submit(at(1), urgent(3))
	g.Submit(at(1), urgent(4))
	check(t, "overtaken", g.Submit(at(2), urgent(5)), "refuse 2 overloaded")
	check(t, "same class", g.Submit(at(3), request(6, 100)), "refuse 6 overloaded")
	check(t, "later deadline", g.Submit(at(3), request(7, 800)))
	check(t, "higher class", g.Submit(at(3), urgent(8)))
	check(t, "after the period of stricter admission", g.Submit(at(103), request(9, 180)))
}

// Guards against owners that keep refusing a suspected fingerprint after it has been cleared.
func TestClearedSuspect(t *testing.T) {
	tests := map[string]func(g *Gate) Request{
		"cleared by the query": func(*Gate) Request {
			r := request(3, 2000)
			r.Cleared = true

			return r
		},
		"cleared here": func(g *Gate) Request {
			r := request(2, 2000)
			r.Exclusive, r.Fingerprint = true, 3
			g.Submit(at(400), r)
			g.Done(at(410), runID(2), answered)

			return request(3, 2000)
		},
	}
	for name, next := range tests {
		t.Run(name, func(t *testing.T) {
			g, a := warmGate(2, 25)
			r := request(1, 2000)
			r.Fingerprint = 3
			g.Submit(t0, r)
			g.Done(at(1), runID(1), RunOutcome{Kind: Crashed})
			a.Incarnation = 2
			g.Announce(at(100), a)
			check(t, "not cleared", g.Submit(at(300), request(3, 2000)), "refuse 3 suspected")
			check(t, "cleared", g.Submit(at(500), next(g)), "start 3")
		})
	}
}

// Guards against further attempts on a searcher that refuses connections, and against a searcher that is
// never tried again.
func TestUnreachable(t *testing.T) {
	g, a := warmGate(2, 25)
	g.Submit(t0, request(1, 900))
	g.Done(at(1), runID(1), RunOutcome{Kind: Unreachable})
	check(t, "connection refused", g.Submit(at(2), request(2, 900)), "refuse 2 unreachable")
	g.Announce(at(100), a)
	check(t, "announced again", g.Submit(at(200), request(3, 900)), "start 3")
}
