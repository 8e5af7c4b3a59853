package searcher

import (
	"testing"
	"time"

	"fulmarfall/ident"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// ramp submits requests one after another, each answered the given service time after its start, and
// returns the times of the starts.
func ramp(t *testing.T, g *Gate, from, runs int, service time.Duration) (starts []time.Time) {
	t.Helper()
	now := at(from)
	for n := range runs {
		r := request(1000+from+n, 0)
		r.Deadline = now.Add(time.Hour)
		effects := g.Submit(now, r)
		for len(effects) == 0 {
			due, ok := g.NextTick()
			if !ok {
				t.Fatalf("run %d is neither started nor due to start", n)
			}
			now = due
			effects = append(g.Tick(now), g.Announce(now, g.announced)...)
		}
		starts = append(starts, now)
		now = now.Add(service)
		g.Done(now, r.Run, answered)
	}

	return starts
}

// Guards against a cold searcher that gets runs above its rate or more than one at a time, and against a
// level that rises with elapsed time or on slow answers.
func TestColdStart(t *testing.T) {
	a := Announcement{Incarnation: 1, Slots: 2, Connections: 25}
	tests := map[string]struct {
		service time.Duration
		level   int
		warm    bool
	}{
		"good answers": {service: 10 * time.Millisecond, level: 4, warm: true},
		"slow answers": {service: 30 * time.Millisecond, level: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewGate(GateConfig{WarmLatency: 10 * time.Millisecond}, WithoutWarmConnections())
			g.Announce(t0, a)
			g.SetOpen(t0, true)
			g.Announce(at(60_000), a)
			if l := g.Load(); l.Level != 0 || l.Slots != 1 {
				t.Errorf("load after 60 s without runs = %+v, want level 0 with 1 slot", l)
			}
			starts := ramp(t, g, 60_000, 32, tc.service)
			for i := 1; i <= goodPerLevel; i++ {
				if gap := starts[i].Sub(starts[i-1]); gap < 50*time.Millisecond {
					t.Errorf("gap before start %d = %v, want at least 50ms", i, gap)
				}
			}
			if l := g.Load(); l.Level != tc.level || l.Warm != tc.warm {
				t.Errorf("load = %+v, want level %d, warm %v", l, tc.level, tc.warm)
			}
		})
	}
}

// Guards against a gate that keeps sending at the warm rate to a searcher that turned cold. Each case is
// another sign of it: a restart, an announcement, a crash or slow runs.
func TestDetectsColdSearcher(t *testing.T) {
	slow := func(o RunOutcome) func(*Gate, Announcement) {
		return func(g *Gate, _ Announcement) {
			for n := range slowAnswers {
				g.Submit(at(1000+50*n), request(n, 9000))
				g.Done(at(1041+50*n), runID(n), o)
			}
		}
	}
	tests := map[string]func(*Gate, Announcement){
		"new incarnation": func(g *Gate, a Announcement) { a.Incarnation = 2; g.Announce(at(1000), a) },
		"announced cold":  func(g *Gate, a Announcement) { a.Cold = true; g.Announce(at(1000), a) },
		"crash": func(g *Gate, _ Announcement) {
			g.Submit(at(1000), request(1, 2000))
			g.Done(at(1001), runID(1), RunOutcome{Kind: Crashed})
		},
		"slow answers":        slow(answered),
		"slow runs cancelled": slow(RunOutcome{Kind: Cancelled, AnswerRead: true}),
		"slow runs timed out": slow(RunOutcome{Kind: Failed, AnswerRead: true}),
	}
	for name, turnCold := range tests {
		t.Run(name, func(t *testing.T) {
			g, a := warmGate(2, 25)
			turnCold(g, a)
			if l := g.Load(); l.Warm || l.Level != 0 || l.Slots != 1 {
				t.Errorf("load = %+v, want level 0 with 1 slot", l)
			}
			check(t, "start right after the reset", g.Submit(g.now, request(99, 9000)))
		})
	}

	g, a := warmGate(2, 25)
	a.Incarnation = 0
	a.Cold = true
	g.Announce(at(10), a)
	if !g.Load().Warm {
		t.Error("a late announcement of an earlier incarnation turned the gate cold")
	}
}

// Guards against searchers that start cold runs in lockstep, and against a ramp that is as fast without a
// known warm latency, when only cold answers can be compared, as with one.
func TestRampWithoutReference(t *testing.T) {
	a := Announcement{Incarnation: 1, Slots: 2, Connections: 25}
	var first []time.Time
	for _, seed := range []uint64{1, 2} {
		g := NewGate(GateConfig{Seed: seed}, WithoutWarmConnections())
		g.Announce(t0, a)
		g.SetOpen(t0, true)
		starts := ramp(t, g, 0, goodPerLevelUnknown-1, 10*time.Millisecond)
		if l := g.Load(); l.Level != 0 {
			t.Errorf("level = %d after %d answers, want 0", l.Level, goodPerLevelUnknown-1)
		}
		first = append(first, starts[2])
	}
	if first[0].Equal(first[1]) {
		t.Errorf("two searchers start their third run at the same time %v", first[0])
	}
}

// Guards against a reused connection that delivers a late answer to another caller, against more
// connections than the limit, and against repeated attempts to open connections on a searcher that refuses
// them.
func TestConnections(t *testing.T) {
	g := NewGate(GateConfig{WarmLatency: 10 * time.Millisecond, ReservedConnections: 1})
	a := Announcement{Incarnation: 1, Slots: 2, Connections: 4}
	g.SetOpen(t0, true)
	check(t, "one connection per slot and a spare", g.Announce(t0, a), "open 1", "open 2", "open 3")
	g.cold.warm = true
	g.Connected(at(6), 1)
	check(t, "connection could not be opened", g.Disconnected(at(6), 2))
	start, _ := g.Submit(at(7), request(1, 500))[0].(Start)
	if diff := cmp.Diff(Start{Run: runID(1), Incarnation: 1, Deadline: at(500), Connection: 1}, start); diff != "" {
		t.Errorf("start on a warm connection differs (-want +got):\n%s", diff)
	}
	g.Cancel(at(8), runID(1))
	check(t, "cancelled, answer not read", g.Done(at(9), runID(1), RunOutcome{Kind: Cancelled}), "close 1")
	check(t, "closing connection counts", g.Submit(at(10), request(2, 500)), "start 2")
	if got := len(g.connections.open); got != 3 {
		t.Errorf("connections = %d, want 3 with one reserved of 4", got)
	}
	check(t, "cancelled, answer read in full", g.Done(at(20), runID(2), RunOutcome{Kind: Cancelled, AnswerRead: true}))
	start, _ = g.Submit(at(21), request(3, 500))[0].(Start)
	if diff := cmp.Diff(ConnectionID(4), start.Connection); diff != "" || start.Opens {
		t.Errorf("start = %+v, want the connection whose answer was read", start)
	}
	check(t, "announced again", g.Announce(at(22), a))
	check(t, "connection closed", g.Disconnected(at(23), 1), "open 5")
	g.Connected(at(23), 3)
	check(t, "another owner takes over", g.SetOpen(at(24), false), "close 3")
	check(t, "answered after the gate closed", g.Done(at(25), runID(3), answered), "close 4")
	check(t, "connected after the gate closed", g.Connected(at(25), 5), "close 5")
}

// gateModel drives a gate with random calls and tracks the resulting runs and connections at the searcher.
type gateModel struct {
	g         *Gate
	now       time.Time
	a         Announcement
	running   map[RunID]bool // started and not ended at the searcher
	submitted map[RunID]bool // neither started nor refused
	open      map[ConnectionID]bool
}

func (m *gateModel) apply(t *rapid.T, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Start:
			m.running[e.Run] = true
			if e.Opens {
				m.open[e.Connection] = true
			}
			if !m.open[e.Connection] {
				t.Fatalf("run %v starts on connection %d, which is not open", e.Run, e.Connection)
			}
			delete(m.submitted, e.Run)
		case Refuse:
			if !m.submitted[e.Run] {
				t.Fatalf("run %v refused as not started after it was started or refused", e.Run)
			}
			delete(m.submitted, e.Run)
		case OpenConnection:
			m.open[e.Connection] = true
		case CloseConnection, CancelRun:
		}
	}
	if len(m.running) > m.a.Slots {
		t.Fatalf("%d runs at the searcher, limit %d", len(m.running), m.a.Slots)
	}
	if len(m.open) > m.a.Connections {
		t.Fatalf("%d connections, limit %d", len(m.open), m.a.Connections)
	}
	if len(m.submitted) > DefaultQueueLimit {
		t.Fatalf("%d entries wait, limit %d", len(m.submitted), DefaultQueueLimit)
	}
}

// Guards against any order of calls that gives the searcher more runs or connections than it announced,
// refuses a run that was started, or makes the gate request a tick that is not in the future, which would
// make its owner spin.
func TestGateLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &gateModel{
			now: t0, a: Announcement{Incarnation: 1, Slots: rapid.IntRange(1, 3).Draw(t, "slots"), Connections: 4},
			running: map[RunID]bool{}, submitted: map[RunID]bool{}, open: map[ConnectionID]bool{},
		}
		m.g = NewGate(GateConfig{WarmLatency: 10 * time.Millisecond})
		m.g.SetOpen(t0, true)
		m.apply(t, m.g.Announce(t0, m.a))
		n := 0
		anyRun := func() RunID {
			ids := []RunID{{}}
			for _, r := range m.g.runs {
				ids = append(ids, r.Run)
			}

			return ids[rapid.IntRange(0, len(ids)-1).Draw(t, "run")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				n++
				r := request(n, 0)
				r.Deadline = m.now.Add(time.Duration(rapid.IntRange(5, 500).Draw(t, "deadline")) * time.Millisecond)
				r.Class = ident.Class(rapid.IntRange(0, 2).Draw(t, "class"))
				r.Fingerprint = ident.Fingerprint(rapid.IntRange(1, 4).Draw(t, "fingerprint"))
				r.Exclusive, r.Unproven = rapid.Bool().Draw(t, "exclusive"), rapid.Bool().Draw(t, "unproven")
				m.submitted[r.Run] = true
				m.apply(t, m.g.Submit(m.now, r))
			},
			"answer": func(t *rapid.T) {
				id := anyRun()
				delete(m.running, id)
				m.apply(t, m.g.Done(m.now, id, answered))
			},
			"end without answer": func(t *rapid.T) {
				kind := rapid.SampledFrom([]OutcomeKind{Crashed, Cancelled, Failed}).Draw(t, "kind")
				m.apply(t, m.g.Done(m.now, anyRun(), RunOutcome{Kind: kind}))
			},
			"cancel": func(t *rapid.T) {
				id := anyRun()
				m.apply(t, m.g.Cancel(m.now, id))
			},
			"disconnect": func(t *rapid.T) {
				for id, conn := range m.g.connections.open {
					if conn.state != connectionBusy {
						delete(m.open, id)
						m.apply(t, m.g.Disconnected(m.now, id))
						break
					}
				}
			},
			"warm": func(*rapid.T) { m.g.cold.warm = true },
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "wait")) * time.Millisecond)
				for id := range m.running { // the searcher ends runs at their deadlines
					if r := m.g.findRun(id); r != nil && !r.Deadline.After(m.now) {
						delete(m.running, id)
					}
				}
				m.apply(t, m.g.Announce(m.now, m.a))
				if due, ok := m.g.NextTick(); ok && !due.After(m.now) {
					t.Fatalf("next tick %v is not after %v", due, m.now)
				}
			},
		})
	})
}
