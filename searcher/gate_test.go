package searcher

import (
	"fmt"
	"testing"
	"time"

	"fulmarfall/ident"

	"github.com/google/go-cmp/cmp"
)

var t0 = time.Unix(1_000_000, 0)

// at returns the time the given number of milliseconds after t0.
func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

func runID(n int) RunID { return RunID{Request: ident.RequestID(fmt.Sprint(n)), Attempt: 1} }

func request(n, deadline int) Request {
	return Request{Run: runID(n), Class: ident.ClassNormal, Fingerprint: ident.Fingerprint(n), Deadline: at(deadline)}
}

// warmGate returns an open gate whose searcher counts as warm, and the announcement that it received.
func warmGate(slots, conns int, opts ...Option) (*Gate, Announcement) {
	a := Announcement{Incarnation: 1, Slots: slots, Connections: conns}
	g := NewGate(GateConfig{WarmLatency: 10 * time.Millisecond}, append(opts, WithoutWarmConnections())...)
	g.Announce(t0, a)
	g.SetOpen(t0, true)
	g.cold.warm = true

	return g, a
}

// summary formats effects for comparison with the expected ones.
func summary(effects []Effect) []string {
	var out []string
	for _, e := range effects {
		switch e := e.(type) {
		case Start:
			out = append(out, "start "+string(e.Run.Request))
		case Refuse:
			out = append(out, fmt.Sprintf("refuse %s %s", e.Run.Request, e.Reason))
		case CancelRun:
			out = append(out, "cancel "+string(e.Run.Request))
		case OpenConnection:
			out = append(out, fmt.Sprintf("open %d", e.Connection))
		case CloseConnection:
			out = append(out, fmt.Sprintf("close %d", e.Connection))
		}
	}

	return out
}

func check(t *testing.T, what string, got []Effect, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, summary(got)); diff != "" {
		t.Errorf("%s: effects differ (-want +got):\n%s", what, diff)
	}
}

var answered = RunOutcome{Kind: OK, AnswerRead: true}

// Guards against a queue that ignores the class or, within a class, the deadline.
func TestQueueOrder(t *testing.T) {
	g, _ := warmGate(1, 25)
	check(t, "first", g.Submit(t0, request(1, 500)), "start 1")
	g.Submit(t0, request(2, 400))
	g.Submit(t0, request(3, 300))
	urgent := request(4, 500)
	urgent.Class = ident.ClassUrgent
	g.Submit(t0, urgent)
	check(t, "urgent", g.Done(at(10), runID(1), answered), "start 4")
	check(t, "earlier deadline", g.Done(at(20), runID(4), answered), "start 3")
	check(t, "later deadline", g.Done(at(30), runID(3), answered), "start 2")
}

// Guards against queued entries that cannot meet their deadline, an unbounded queue, batch requests that
// crowd out urgent ones, and hedges that queue behind other requests.
func TestRefusals(t *testing.T) {
	g, _ := warmGate(1, 25)
	g.Submit(t0, request(1, 500))
	check(t, "too late", g.Submit(t0, request(2, 9)), "refuse 2 overloaded")
	hedge := request(3, 500)
	hedge.Hedge = true
	check(t, "hedge with an empty queue", g.Submit(t0, hedge))
	hedge.Run = runID(4)
	check(t, "hedge with a waiting entry", g.Submit(t0, hedge), "refuse 4 overloaded")
	for n := 5; n < 5+DefaultQueueLimit-1; n++ {
		check(t, "within the bound", g.Submit(t0, request(n, 500)))
	}
	check(t, "over the bound, later deadline", g.Submit(t0, request(50, 600)), "refuse 3 overloaded")
	batch := request(51, 500)
	batch.Class = ident.ClassBatch
	check(t, "over the bound, batch", g.Submit(t0, batch), "refuse 51 overloaded")
	urgent := request(52, 500)
	urgent.Class = ident.ClassUrgent
	check(t, "over the bound, urgent", g.Submit(t0, urgent), "refuse 50 overloaded")
	if got, want := g.Load().Queued, DefaultQueueLimit; got != want {
		t.Errorf("queued = %d, want %d", got, want)
	}
	for _, e := range g.Submit(t0, request(53, 9)) {
		if r, ok := e.(Refuse); ok && r.RetryAfter < ident.RetryAfter(50*time.Millisecond) {
			t.Errorf("retry-after %v does not cover a queue of 16 runs of 10 ms", time.Duration(r.RetryAfter))
		}
	}
}

// Guards against a waiting entry that is refused only at its deadline although it could no longer finish
// before.
func TestRefusesWhileWaiting(t *testing.T) {
	g, _ := warmGate(1, 25)
	g.Submit(t0, request(1, 500))
	g.Submit(t0, request(2, 60))
	due, ok := g.NextTick()
	if diff := cmp.Diff(at(50), due); !ok || diff != "" {
		t.Errorf("next tick differs (-want +got):\n%s", diff)
	}
	check(t, "cannot finish", g.Tick(due), "refuse 2 overloaded")
}

// Guards against a suspected request that runs concurrently with others, and against one that waits for
// ever because others overtake it.
func TestExclusiveRunsAlone(t *testing.T) {
	g, _ := warmGate(2, 25)
	g.Submit(t0, request(1, 500))
	suspect := request(2, 400)
	suspect.Exclusive = true
	check(t, "while another request runs", g.Submit(t0, suspect))
	check(t, "behind the suspect", g.Submit(t0, request(3, 500)))
	check(t, "searcher idle", g.Done(at(10), runID(1), answered), "start 2")
	check(t, "while the suspect runs", g.Submit(at(11), request(4, 500)))
	check(t, "after the suspect", g.Done(at(20), runID(2), answered), "start 3", "start 4")
}

// Guards against a crashing request that occupies several slots, or that crashes the restarted searcher
// again, before the suspicion has reached the entry nodes.
func TestUnprovenRunsOneAtATime(t *testing.T) {
	unproven := func(n, fingerprint int) Request {
		r := request(n, 500)
		r.Fingerprint, r.Unproven = ident.Fingerprint(fingerprint), true

		return r
	}
	g, a := warmGate(3, 25)
	check(t, "first", g.Submit(t0, unproven(1, 7)), "start 1")
	check(t, "same fingerprint", g.Submit(t0, unproven(2, 7)))
	check(t, "same fingerprint", g.Submit(t0, unproven(3, 7)))
	check(t, "other fingerprint", g.Submit(t0, unproven(4, 8)), "start 4")
	check(t, "fingerprint proven", g.Done(at(10), runID(1), answered), "start 2", "start 3")

	g.Done(at(20), runID(2), answered)
	g.Submit(at(20), unproven(5, 8))
	check(t, "crash", g.Done(at(21), runID(4), RunOutcome{Kind: Crashed}), "close 2", "refuse 5 suspected")
	g.SetOpen(at(30), false)
	check(t, "suspect at a closed gate", g.Submit(at(31), unproven(11, 8)), "refuse 11 suspected")
	g.SetOpen(at(32), true)
	a.Incarnation = 2
	g.Announce(at(500), a)
	check(t, "suspicion not yet known to the entry node", g.Submit(at(600), unproven(6, 8)), "refuse 6 suspected")
	exclusive := unproven(7, 8)
	exclusive.Exclusive, exclusive.Deadline = true, at(2000)
	check(t, "exclusive", g.Submit(at(600), exclusive), "start 7")
	exclusive.Run = runID(9)
	check(t, "exclusive again", g.Submit(at(601), exclusive))
	check(t, "crash", g.Done(at(610), runID(7), RunOutcome{Kind: Crashed}), "close 4", "refuse 9 convicted")
	a.Incarnation = 3
	g.Announce(at(1000), a)
	exclusive.Run = runID(8)
	check(t, "crashed alone", g.Submit(at(1100), exclusive), "refuse 8 convicted")
}

// Guards against requests sent to a searcher that is leaving, out of service or silent, against waiting
// requests that are not refused then, and against planned stops that abort running requests.
func TestNoNewWorkWhenClosed(t *testing.T) {
	tests := map[string]struct {
		close func(g *Gate, a Announcement) []Effect
		want  string
		ms    int
		end   []string // effects of the end of the running request
	}{
		"closed":  {func(g *Gate, _ Announcement) []Effect { return g.SetOpen(at(5), false) }, "stale_node", 5, []string{"close 1"}},
		"leaving": {func(g *Gate, a Announcement) []Effect { a.Leaving = true; return g.Announce(at(5), a) }, "leaving", 5, nil},
		"out of service": {func(g *Gate, _ Announcement) []Effect {
			return g.Close(at(5), ident.ReasonOutOfService)
		}, "out_of_service", 5, []string{"close 1"}},
		"silent": {func(g *Gate, _ Announcement) []Effect { return g.Tick(at(5000)) }, "unreachable", 5000, nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g, a := warmGate(1, 25)
			g.Submit(t0, request(1, 9000))
			g.Submit(t0, request(2, 9000))
			check(t, "waiting", tc.close(g, a), "refuse 2 "+tc.want)
			if got := g.Load().InFlight; got != 1 {
				t.Errorf("in flight = %d, want 1: the running request goes on", got)
			}
			check(t, "new", g.Submit(at(tc.ms), request(3, 9000)), "refuse 3 "+tc.want)
			check(t, "end of the running request", g.Done(at(tc.ms+1), runID(1), answered), tc.end...)
		})
	}
}

// Guards against starts before the former owner's runs have ended, and against runs that outlast the
// lease.
func TestClearanceAndLease(t *testing.T) {
	g := NewGate(GateConfig{WarmLatency: 10 * time.Millisecond, NotBefore: at(200)}, WithoutWarmConnections())
	g.Announce(t0, Announcement{Incarnation: 1, Slots: 2, Connections: 25})
	g.SetOpen(t0, true)
	g.SetLeaseEnd(t0, at(2000))
	check(t, "clearance", g.Submit(t0, request(1, 9000)))
	due, _ := g.NextTick()
	check(t, "cold spacing", g.Tick(due))
	due, _ = g.NextTick()
	if diff := cmp.Diff(at(200), due); diff != "" {
		t.Errorf("next tick differs (-want +got):\n%s", diff)
	}
	effects := g.Tick(due)
	check(t, "after the clearance", effects, "start 1")
	if start, ok := effects[0].(Start); !ok || !start.Deadline.Equal(at(2000)) {
		t.Errorf("effects = %+v, want a deadline at the lease end", effects)
	}
	g.Done(at(300), runID(1), answered)
	check(t, "lease about to end", g.Submit(at(1995), request(2, 9000)))
	check(t, "lease renewed", g.SetLeaseEnd(at(2100), at(4000)), "start 2")
}

// Guards against a slot that is reused while the searcher may still execute its run, and against slots
// that are never freed.
func TestUnansweredRunKeepsItsSlot(t *testing.T) {
	tests := map[string]func(g *Gate, a Announcement) []Effect{
		"deadline":        func(g *Gate, _ Announcement) []Effect { return g.Tick(at(100).Add(deadlineGrace)) },
		"ended":           func(g *Gate, _ Announcement) []Effect { return g.Ended(at(30), runID(1)) },
		"late answer":     func(g *Gate, _ Announcement) []Effect { return g.Done(at(30), runID(1), answered) },
		"new incarnation": func(g *Gate, a Announcement) []Effect { a.Incarnation = 2; return g.Announce(at(30), a) },
	}
	for name, free := range tests {
		t.Run(name, func(t *testing.T) {
			g, a := warmGate(1, 25)
			g.Submit(t0, request(1, 100))
			check(t, "cancel", g.Cancel(at(10), runID(1)), "cancel 1")
			check(t, "cancel again", g.Cancel(at(10), runID(1)))
			check(t, "closed without an answer", g.Done(at(12), runID(1), RunOutcome{Kind: Cancelled}), "close 1")
			check(t, "slot occupied", g.Submit(at(13), request(2, 900)))
			effects := append(free(g, a), g.Tick(at(250))...)
			check(t, "slot freed", effects, "start 2")
			check(t, "repeated report", g.Done(at(251), runID(1), answered))
			if got := g.Load().InFlight; got != 1 {
				t.Errorf("in flight = %d, want 1", got)
			}
		})
	}
}
