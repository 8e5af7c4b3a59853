package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// crashSearchers is the number of searchers of the lookups' service on the users' page.
	crashSearchers = 9
	// crashDelay is the time after which a searcher that runs the request ends, crashDowntime that until it is back.
	crashDelay    = 10 * time.Millisecond
	crashDowntime = 2500 * time.Millisecond
	// repeats is how often a client with bad manners repeats a request, at once, and crashWaves how often the request comes.
	repeats    = 3
	crashWaves = 4
	// contact is the time after the third crash from which only crashRetries retries may reach searchers.
	contact      = 5 * time.Second
	crashRetries = 3
	crashPath    = "/lookups/crash"
)

// crashes counts the searchers that a request has ended, and the client attempts that reached one too late.
type crashes struct {
	mu      sync.Mutex
	ended   int
	thirdAt time.Time
	late    map[string]int
}

// add records that a client attempt has reached a searcher, which ends.
func (c *crashes) add(a *arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.ended++
	if c.ended == crashRetries {
		c.thirdAt = a.at
	}

	after := ""

	if !c.thirdAt.IsZero() && a.at.Sub(c.thirdAt) > contact {
		c.late[a.id]++
		after = fmt.Sprintf(", %.1f s after the third", a.at.Sub(c.thirdAt).Seconds())
	}

	a.s.w.rec.add("searcher %s runs %s from %s and ends, number %d%s", a.s.id, a.id, a.s.w.nameOf(a.front), c.ended, after)
}

// crashCase checks that a request that crashes searchers is kept from them once it has crashed three. Its client repeats it at
// once, as some do, and it comes again after some seconds.
func crashCase(ctx context.Context, w *world, trouble bool) error {
	c := &crashes{late: map[string]int{}}

	var start func(zone int) error

	start = func(zone int) error {
		_, err := w.addSearcher(ctx, "files", zone, func(s *searcher) {
			s.ran = func(a *arrival) {
				if !trouble || a.path != crashPath {
					return
				}

				time.Sleep(crashDelay)
				c.add(a)
				s.end()
				time.AfterFunc(crashDowntime, func() {
					if err := start(zone); err != nil {
						w.rec.add("the searcher is not back: %v", err)
					}
				})
			}
		})

		return err
	}

	for i := range crashSearchers {
		if err := start(i % zoneCount); err != nil {
			return err
		}
	}

	if err := w.put(ctx, newManifest(1, []route{newRoute("lookups", "/lookups/", idempotent, "files")}, "files")); err != nil {
		return err
	}

	if err := w.awaitReady(ctx); err != nil {
		return err
	}

	pause(ctx, 2*time.Second) // until all searchers are known everywhere

	for i := range crashWaves {
		if err := crashWave(ctx, w); err != nil {
			return err
		}

		if i < crashWaves-1 {
			pause(ctx, contact+2*time.Second)
		}
	}

	if err := w.running(); err != nil {
		return err
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	if len(c.late) > crashRetries {
		return fmt.Errorf("%w: BUDGET: %d retries of a request that crashes searchers reached searchers later than %v after the third crash, %d searchers ended in all",
			errBroken, len(c.late), contact, c.ended)
	}

	return nil
}

// crashWave sends the request to fronts that the directory names, and repeats it at once.
func crashWave(ctx context.Context, w *world) error {
	var wg sync.WaitGroup

	for i := range 1 + repeats {
		zone := i % zoneCount

		addrs, err := w.resolve(ctx, zone)
		if err != nil {
			return err
		}

		front, id := w.machineAt(addrs[i/zoneCount%len(addrs)]), w.newID()

		wg.Go(func() {
			w.rec.add("client: GET %s %s to %s", crashPath, id, front.name)

			r := w.send(ctx, front, http.MethodGet, crashPath, id, nil, 5*time.Second, nil)
			w.rec.add("client: %s is answered %s", id, r.String())
		})
	}

	wg.Wait()

	return nil
}
