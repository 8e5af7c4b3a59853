package searcher

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/ident"
)

// Guards against an order of arrival where callers are served better by class and deadline, against a queue without a
// bound, and against a connection that is lost when its attempt has left the queue. The load: ten attempts at once on two
// connections.
func TestLaneOrder(t *testing.T) {
	l := NewLane(2, 3)
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

	type step struct {
		id        uint64
		class     ident.Class
		deadline  int
		verdict   LaneVerdict
		displaced uint64
	}

	for _, s := range []step{
		{1, ident.ClassNormal, 100, LaneGranted, 0},
		{2, ident.ClassNormal, 100, LaneGranted, 0},
		{3, ident.ClassBatch, 50, LaneQueued, 0},
		{4, ident.ClassNormal, 200, LaneQueued, 0},
		{5, ident.ClassNormal, 90, LaneQueued, 0},
		{6, ident.ClassUrgent, 500, LaneQueued, 3},
		{7, ident.ClassBatch, 10, LaneFull, 0},
	} {
		v, displaced := l.Enter(LaneEntry{ID: s.id, Class: s.class, Deadline: at(s.deadline), Patient: true})
		if v != s.verdict || displaced != s.displaced {
			t.Errorf("attempt %d: verdict %d, displaced %d, want %d and %d", s.id, v, displaced, s.verdict, s.displaced)
		}
	}

	if !l.Withdraw(4) || l.Withdraw(4) || l.Withdraw(1) {
		t.Errorf("only an attempt that waits can be withdrawn, once")
	}

	var got []uint64

	for range 4 {
		if id, ok := l.Leave(); ok {
			got = append(got, id)
		}
	}

	if diff := cmp.Diff([]uint64{6, 5}, got); diff != "" {
		t.Errorf("order differs (-want +got):\n%s", diff)
	}

	if l.Busy() != 0 {
		t.Errorf("%d connections in use at the end", l.Busy())
	}
}

// Guards against waiting attempts that are forgotten when the limit rises, and against more connections than it allows
// after it has fallen.
func TestLaneLimit(t *testing.T) {
	l := NewLane(1, 8)
	for id := range uint64(4) {
		l.Enter(LaneEntry{ID: id + 1, Patient: true})
	}

	if diff := cmp.Diff([]uint64{2, 3}, l.SetLimit(3)); diff != "" {
		t.Errorf("admitted attempts differ (-want +got):\n%s", diff)
	}

	l.SetLimit(1)

	for range 2 {
		if id, ok := l.Leave(); ok {
			t.Errorf("attempt %d was admitted above the limit", id)
		}
	}

	if id, ok := l.Leave(); !ok || id != 4 {
		t.Errorf("admitted %d, %v, want 4", id, ok)
	}
}

// Guards against nodes that together open more connections than a searcher accepts.
func TestConnectionShare(t *testing.T) {
	for name, tc := range map[string]struct {
		limit  int
		shares []float64
	}{
		"six equal nodes":        {25, []float64{1. / 6, 1. / 6, 1. / 6, 1. / 6, 1. / 6, 1. / 6}},
		"one node has most load": {26, []float64{0.7, 0.1, 0.1, 0.1}},
		"a single node":          {25, []float64{1}},
	} {
		t.Run(name, func(t *testing.T) {
			sum := 0
			for _, s := range tc.shares {
				n := ConnectionShare(tc.limit, s)
				if n < 1 {
					t.Errorf("a node with share %v may open no connection", s)
				}

				sum += n
			}

			if sum > tc.limit {
				t.Errorf("%d connections, the limit is %d", sum, tc.limit)
			}
		})
	}
}

// Guards against nodes that together send more to a cold searcher than it bears in a second.
func TestColdShare(t *testing.T) {
	const perSecond, burst, slack = 10.0, 1.5, 5.0

	for name, shares := range map[string][]float64{
		"one node":        {1},
		"equal nodes":     {0.25, 0.25, 0.25, 0.25},
		"one of them hot": {0.7, 0.1, 0.1, 0.1},
		"many nodes":      {0.02, 0.02, 0.02, 0.02, 0.02, 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			sum := 0
			for _, s := range shares {
				sum += ColdShare(perSecond, burst, slack, s)
			}

			if sum == 0 || float64(sum) > perSecond*burst+slack {
				t.Errorf("%d requests a second together, the bound is %v", sum, perSecond*burst+slack)
			}
		})
	}
}

// The load: a searcher, the last one of its shard, bears 143 attempts a second on two slots; a node sends 212 a second over
// three connections. An attempt is of use if it ends within 76 ms.
//
// Guards against attempts that wait here until many of them come too late, while the searcher works on nothing else.
func TestLaneUnderOverload(t *testing.T) {
	const least = 0.9 // answers of use, as a part of what the searcher bears

	spared, patient := overloadedLane(false), overloadedLane(true)
	if spared < least || spared <= patient {
		t.Errorf("%.2f of what the searcher bears is answered in time, %.2f when all wait; want at least %v, and more", spared, patient, least)
	}
}

// overloadedLane returns which part of what the searcher bears is answered in time.
func overloadedLane(patient bool) float64 {
	const (
		slots, connections, queue = 2, 3, 8
		service                   = 14 * time.Millisecond
		useful                    = 76 * time.Millisecond
		seconds, perSecond        = 10, 212
		step                      = time.Millisecond / 4
	)

	type run struct{ arrived, ends time.Time }

	var (
		l        = NewLane(connections, queue)
		start    = time.Unix(0, 0)
		next     = start
		arrivals = map[uint64]time.Time{}
		running  []run // in the order in which they end
		free     [slots]time.Time
		inTime   int
	)

	begin := func(now, arrived time.Time) {
		slot := 0
		if free[1].Before(free[0]) {
			slot = 1
		}

		from := now
		if free[slot].After(from) {
			from = free[slot]
		}

		free[slot] = from.Add(service)
		running = append(running, run{arrived, free[slot]})
	}

	for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(step) {
		for len(running) > 0 && !running[0].ends.After(now) {
			if now.Sub(running[0].arrived) <= useful {
				inTime++
			}

			running = running[1:]

			if id, ok := l.Leave(); ok {
				begin(now, arrivals[id])
			}
		}

		if now.Before(next) {
			continue
		}

		next = next.Add(time.Second / perSecond)
		id := uint64(len(arrivals) + 1)
		arrivals[id] = now

		if v, _ := l.Enter(LaneEntry{ID: id, Deadline: now.Add(2 * time.Second), Patient: patient}); v == LaneGranted {
			begin(now, now)
		}
	}

	return float64(inTime) * service.Seconds() / (seconds * slots)
}
