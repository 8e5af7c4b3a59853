package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// coldPerS is the rate that a cold searcher tolerates according to the manifest.
	coldPerS = 5
	// coldBound is coldPerS x coldBurstFactor + coldSlack.
	coldBound = coldPerS*1.5 + 5
	// warmup is the time for which a new searcher is cold, as on the users' page.
	warmup = 3 * time.Second
	// coldRate is the number of requests a second for one shard on the users' page, and coldWork the time for one.
	coldRate  = 180
	coldWork  = 8 * time.Millisecond
	newcomers = 5
)

// coldCase checks that a searcher that has just started gets no more requests in one second than the rules allow.
func coldCase(ctx context.Context, w *world, trouble bool) error {
	for i := range 2 {
		if _, err := w.addSearcher(ctx, "desk", i, func(s *searcher) { s.work = func(*arrival) time.Duration { return coldWork } }); err != nil {
			return err
		}
	}

	m := newManifest(1, []route{newRoute("avail", "/avail/", idempotent, "desk")}, "desk")
	m.Services[0].ColdPerS = coldPerS

	if err := w.put(ctx, m); err != nil {
		return err
	}

	if err := w.awaitReady(ctx); err != nil {
		return err
	}

	pause(ctx, 2*time.Second) // until all searchers are known everywhere

	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()

	load := &load{method: http.MethodGet, prefix: "/avail/", perSecond: coldRate}
	load.start(traffic, w)

	worst := 0

	pause(ctx, 4*time.Second)

	for range newcomers {
		n, err := newcomer(ctx, w, trouble)
		if err != nil {
			return err
		}

		worst = max(worst, n)
	}

	stopTraffic()
	load.wait()

	if float64(worst) > coldBound {
		return fmt.Errorf("%w: FAILBACK: a cold searcher got %d requests in one second, %v are allowed", errBroken, worst, coldBound)
	}

	return nil
}

// newcomer starts a searcher and returns the most requests that it got in one second while it was cold.
func newcomer(ctx context.Context, w *world, trouble bool) (most int, err error) {
	var (
		mu sync.Mutex
		at []time.Time
	)

	s, err := w.addSearcher(ctx, "desk", 0, func(s *searcher) {
		if trouble {
			s.coldTill = time.Now().Add(warmup)
		}

		s.work = func(*arrival) time.Duration { return coldWork }
		s.arrived = func(a *arrival) {
			mu.Lock()
			defer mu.Unlock()

			if a.at.Before(s.coldTill) {
				at = append(at, a.at)
			}
		}
	})
	if err != nil {
		return 0, err
	}

	pause(ctx, warmup+time.Second)
	s.draining.Store(true)
	s.report(ctx)
	pause(ctx, 4*time.Second)
	s.end()

	mu.Lock()
	defer mu.Unlock()

	for i := range at {
		n := 0
		for j := i; j < len(at) && at[j].Sub(at[i]) < time.Second; j++ {
			n++
		}

		most = max(most, n)
	}

	w.rec.add("searcher %s got %d requests while it was cold, at most %d in one second", s.id, len(at), most)

	return most, nil
}
