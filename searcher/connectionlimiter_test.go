package searcher

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/ident"
)

// Guards against a queue that ignores class and deadline, against an unbounded queue, and against a connection that leaks
// when its attempt has been cancelled. Seven attempts arrive at once at two connections.
func TestConnectionLimiterOrder(t *testing.T) {
	l := NewConnectionLimiter(2, 3)
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

	type step struct {
		id        uint64
		class     ident.Class
		deadline  int
		decision  ConnectionDecision
		displaced uint64
	}

	for _, s := range []step{
		{1, ident.ClassNormal, 100, ConnectionGranted, 0},
		{2, ident.ClassNormal, 100, ConnectionGranted, 0},
		{3, ident.ClassBatch, 50, ConnectionQueued, 0},
		{4, ident.ClassNormal, 200, ConnectionQueued, 0},
		{5, ident.ClassNormal, 90, ConnectionQueued, 0},
		{6, ident.ClassUrgent, 500, ConnectionQueued, 3},
		{7, ident.ClassBatch, 10, ConnectionRefused, 0},
	} {
		v, displaced := l.Acquire(ConnectionRequest{ID: s.id, Class: s.class, Deadline: at(s.deadline), MayQueue: true})
		if v != s.decision || displaced != s.displaced {
			t.Errorf("attempt %d: decision %d, displaced %d, want %d and %d", s.id, v, displaced, s.decision, s.displaced)
		}
	}

	if !l.Cancel(4) || l.Cancel(4) || l.Cancel(1) {
		t.Errorf("want a queued attempt withdrawn once, and no other")
	}

	var got []uint64

	for range 4 {
		if id, ok := l.Release(); ok {
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

// Guards against queued attempts that get no connection when the limit rises, and against more connections than the limit
// after it has been lowered.
func TestConnectionLimiterSetLimit(t *testing.T) {
	l := NewConnectionLimiter(1, 8)
	for id := range uint64(4) {
		l.Acquire(ConnectionRequest{ID: id + 1, MayQueue: true})
	}

	if diff := cmp.Diff([]uint64{2, 3}, l.SetLimit(3)); diff != "" {
		t.Errorf("admitted attempts differ (-want +got):\n%s", diff)
	}

	l.SetLimit(1)

	for range 2 {
		if id, ok := l.Release(); ok {
			t.Errorf("attempt %d was admitted above the limit", id)
		}
	}

	if id, ok := l.Release(); !ok || id != 4 {
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

// Guards against nodes that together send more requests per second to a cold searcher than its bound.
func TestColdShare(t *testing.T) {
	const perSecond, burst, slack = 10.0, 1.5, 5.0

	for name, shares := range map[string][]float64{
		"one node":               {1},
		"equal nodes":            {0.25, 0.25, 0.25, 0.25},
		"one node has most load": {0.7, 0.1, 0.1, 0.1},
		"many nodes":             {0.02, 0.02, 0.02, 0.02, 0.02, 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			sum := 0
			for _, s := range shares {
				sum += ColdShare(perSecond, burst, slack, s)
			}

			if sum == 0 || float64(sum) > perSecond*burst+slack {
				t.Errorf("sum of the shares = %d requests per second, want 1 to %v", sum, perSecond*burst+slack)
			}
		})
	}
}

// Guards against attempts that queue at the node until many of them miss their target, so that the searcher works mainly
// on answers that come too late. A node sends 212 attempts per second over three connections to the last searcher of a
// shard, which can serve 143 per second in two slots. An answer is in time within 76 ms.
func TestConnectionLimiterUnderOverload(t *testing.T) {
	const minInTime = 0.9 // answers in time, as a fraction of the searcher's capacity

	withRefusals, allQueued := simulateOverload(false), simulateOverload(true)
	if withRefusals < minInTime || withRefusals <= allQueued {
		t.Errorf("answers in time are %.2f of the capacity, %.2f when all attempts queue; want at least %v and more than with queueing", withRefusals, allQueued, minInTime)
	}
}

// simulateOverload returns the answers in time as a fraction of the searcher's capacity. With mayQueue set, attempts that
// find no free connection queue instead of being refused.
func simulateOverload(mayQueue bool) float64 {
	const (
		slots, connections, queue = 2, 3, 8
		service                   = 14 * time.Millisecond
		target                    = 76 * time.Millisecond
		seconds, perSecond        = 10, 212
		step                      = time.Millisecond / 4
	)

	type run struct{ arrived, ends time.Time }

	var (
		l        = NewConnectionLimiter(connections, queue)
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
			if now.Sub(running[0].arrived) <= target {
				inTime++
			}

			running = running[1:]

			if id, ok := l.Release(); ok {
				begin(now, arrivals[id])
			}
		}

		if now.Before(next) {
			continue
		}

		next = next.Add(time.Second / perSecond)
		id := uint64(len(arrivals) + 1)
		arrivals[id] = now

		if v, _ := l.Acquire(ConnectionRequest{ID: id, Deadline: now.Add(2 * time.Second), MayQueue: mayQueue}); v == ConnectionGranted {
			begin(now, now)
		}
	}

	return float64(inTime) * service.Seconds() / (seconds * slots)
}
