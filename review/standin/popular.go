package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// popularSearchers is the number of searchers of the lookups' service on the users' page, and popularWork the time for a
	// lookup, which has 60 ms there on average and 360 ms at most.
	popularSearchers = 9
	popularWork      = 250 * time.Millisecond
	// popularInterval is the time between two of the requests at a front: 40 a second at six fronts, where the page has 45.
	popularInterval = 150 * time.Millisecond
	popularPath     = "/files/popular"
	stockPath       = "/stock/1"
	// popularRounds is the number of times that the links fail, flaps how often they do so each time, flapTime for how long, and
	// flapPause the time for which they work in between.
	popularRounds = 6
	flaps         = 3
	flapTime      = time.Second
	flapPause     = 200 * time.Millisecond
	// calmTime is the time after the last partition from which the state is steady, and calmRequests the number of requests on
	// each route then.
	calmTime     = 8 * time.Second
	calmRequests = 30
)

// popularCase checks that a route that was added later is served like the first ones after the links between half of the fronts
// and the searchers have failed. All requests of the route are equal, and sound.
func popularCase(ctx context.Context, w *world, trouble bool) error {
	if err := startPopular(ctx, w); err != nil {
		return err
	}

	var (
		wg            sync.WaitGroup
		statuses      sync.Map
		traffic, stop = context.WithCancel(ctx)
	)

	defer stop()

	for _, m := range w.withRole("entry") {
		wg.Go(func() {
			for traffic.Err() == nil {
				wg.Go(func() {
					r := w.send(ctx, m, http.MethodGet, popularPath, w.newID(), nil, loadDeadline, nil)
					n, _ := statuses.LoadOrStore(r.status, &atomic.Int64{})
					n.(*atomic.Int64).Add(1) //nolint:forcetypeassert // Only counters are stored.
				})
				pause(traffic, popularInterval)
			}
		})
	}

	pause(ctx, 3*time.Second)

	for range popularRounds {
		if trouble {
			flapLinks(ctx, w)
		}

		pause(ctx, 3*time.Second)
	}

	pause(ctx, calmTime)
	stop()
	wg.Wait()
	statuses.Range(func(status, n any) bool {
		w.rec.add("clients of %s got %v: %d", popularPath, status, n.(*atomic.Int64).Load()) //nolint:forcetypeassert // Only counters are stored.

		return true
	})

	if err := w.running(); err != nil {
		return err
	}

	return checkServed(ctx, w)
}

// startPopular starts the searchers, and adds the second route in a later manifest.
func startPopular(ctx context.Context, w *world) error {
	for i := range popularSearchers {
		for _, name := range []string{"files", "stock"} {
			if _, err := w.addSearcher(ctx, name, i%zoneCount, func(s *searcher) { s.work = func(*arrival) time.Duration { return popularWork } }); err != nil {
				return err
			}
		}
	}

	first, later := newRoute("stock", "/stock/", idempotent, "stock"), newRoute("files", "/files/", idempotent, "files")

	if err := w.put(ctx, newManifest(1, []route{first}, "files", "stock")); err != nil {
		return err
	}

	if err := w.awaitReady(ctx); err != nil {
		return err
	}

	if err := w.put(ctx, newManifest(2, []route{first, later}, "files", "stock")); err != nil {
		return err
	}

	pause(ctx, configApply)

	return nil
}

// flapLinks partitions one front of each zone from all searchers, several times in a row.
func flapLinks(ctx context.Context, w *world) {
	for range flaps {
		for zone := range zoneCount {
			w.cutReset(w.front(zone, 0))
		}

		pause(ctx, flapTime)
		w.heal()
		pause(ctx, flapPause)
	}
}

// checkServed compares how often the two routes are served in steady state.
func checkServed(ctx context.Context, w *world) error {
	served := map[string]int{}

	for i := range calmRequests {
		front := w.withRole("entry")[i%(zoneCount*frontsPerZone)]

		for _, path := range []string{popularPath, stockPath} {
			id := w.newID()
			r := w.send(ctx, front, http.MethodGet, path, id, nil, loadDeadline, nil)
			w.rec.add("client: GET %s %s to %s is answered %s", path, id, front.name, r.String())

			if r.status == http.StatusOK {
				served[path]++
			}
		}
	}

	if 4*served[popularPath] < served[stockPath] {
		return fmt.Errorf("%w: CONFIG: in steady state %d of %d requests on the route that was added later are served, and %d on the first route",
			errBroken, served[popularPath], calmRequests, served[stockPath])
	}

	return nil
}
