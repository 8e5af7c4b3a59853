package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// slowLookup is a lookup at a slow searcher: 100 ms, twelve times as long.
	slowLookup = 1200 * time.Millisecond
	// configApply is the time after which a manifest has to be in force.
	configApply = 3 * time.Second
	homeLookups = 20
)

// homesCase checks that requests are served only in the regions that the newest manifest allows. A request of the earlier
// manifest is in progress when the new one comes into force, and its searcher fails it.
func homesCase(ctx context.Context, w *world, trouble bool) error {
	var (
		slow     atomic.Bool
		counting atomic.Bool
		foreign  atomic.Int64
	)

	for zone := range 2 {
		_, err := w.addSearcher(ctx, "files", zone, func(s *searcher) {
			s.work = func(*arrival) time.Duration {
				if slow.Load() {
					return slowLookup
				}

				return defaultWork
			}
			s.ran = func(a *arrival) {
				w.rec.add("searcher %s in %s runs %s from %s", s.id, regionName(s.zone), a.id, w.nameOf(a.front))

				if counting.Load() && s.zone != 0 {
					foreign.Add(1)
				}
			}
			s.answer = func(a *arrival, rw http.ResponseWriter) bool {
				if !slow.Load() || !trouble {
					return false
				}

				w.rec.add("searcher %s fails %s with 500", s.id, a.id)
				writeSealed(rw, s, a.id, http.StatusInternalServerError, []byte("failed\n"))

				return true
			}
		})
		if err != nil {
			return err
		}
	}

	homes := func(version, zone int) manifest {
		r := newRoute("lookups", "/lookups/", idempotent, "files")
		r.AllowedRegions = []string{regionName(zone)}

		return newManifest(version, []route{r}, "files")
	}

	if err := w.put(ctx, homes(1, 1)); err != nil {
		return err
	}

	if err := w.awaitReady(ctx); err != nil {
		return err
	}

	pause(ctx, 2*time.Second) // until all searchers are known everywhere

	front := w.front(0, 0)
	lookup := func(n int) answer {
		id := w.newID()
		w.rec.add("client: GET %s to %s", id, front.name)

		r := w.send(ctx, front, http.MethodGet, fmt.Sprintf("/lookups/%d", n), id, nil, 5*time.Second, nil)
		w.rec.add("client: %s is answered %s", id, r.String())

		return r
	}

	if r := lookup(0); r.status != http.StatusOK {
		return fmt.Errorf("the first lookup got %s", r.String())
	}

	slow.Store(true)

	done := make(chan answer, 1)
	go func() { done <- lookup(1) }()

	pause(ctx, 100*time.Millisecond)

	if err := w.put(ctx, homes(2, 0)); err != nil {
		return err
	}

	<-done
	slow.Store(false)
	pause(ctx, configApply+200*time.Millisecond)
	counting.Store(true)

	for i := range homeLookups {
		lookup(2 + i)
		pause(ctx, 200*time.Millisecond)
	}

	if n := foreign.Load(); n > 0 {
		return fmt.Errorf("%w: HOME, CONFIG: %d of %d requests ran in %s, which manifest 2 does not allow", errBroken, n, homeLookups, regionName(1))
	}

	return nil
}
