package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// drainSearchers is the number of searchers of the smallest service on the users' page, with three slots each.
	drainSearchers = 4
	// slowWork is a lookup of 60 ms at a searcher that is twelve times as slow.
	slowWork = 720 * time.Millisecond
	// slowTime is the time for which searchers are slow, and slowLead the part of it before one of them leaves.
	slowTime = 8 * time.Second
	slowLead = 4 * time.Second
	// drainRate is the number of requests a second on the users' page.
	drainRate = 45
	// drainTime is the time after the acknowledgement from which a leaving searcher gets no requests.
	drainTime = 3 * time.Second
	// drainRest is the time for which a searcher serves after that before it ends.
	drainRest = 2 * time.Second
)

// drainCase checks that a searcher that leaves gets no requests later than drainTime after that was acknowledged, while all
// searchers of its service are slow.
func drainCase(ctx context.Context, w *world, trouble bool) error {
	var (
		slow    atomic.Bool
		ackedAt atomic.Int64
		late    atomic.Int64
		list    []*searcher
	)

	for i := range drainSearchers {
		s, err := w.addSearcher(ctx, "files", i%zoneCount, func(s *searcher) {
			s.work = func(*arrival) time.Duration {
				if slow.Load() {
					return slowWork
				}

				return defaultWork
			}
			s.arrived = func(a *arrival) {
				at := ackedAt.Load()
				if at == 0 || i != 0 {
					return
				}

				if after := a.at.Sub(time.UnixMicro(at)); after > drainTime {
					late.Add(1)
					w.rec.add("searcher %s gets %s from %s %.2f s after its leaving was acknowledged", s.id, a.id, w.nameOf(a.front), after.Seconds())
				}
			}
		})
		if err != nil {
			return err
		}

		list = append(list, s)
	}

	if err := w.put(ctx, newManifest(1, []route{newRoute("loans", "/loans/", nonIdempotent, "files")}, "files")); err != nil {
		return err
	}

	if err := w.awaitReady(ctx); err != nil {
		return err
	}

	pause(ctx, 2*time.Second) // until all searchers are known everywhere

	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()

	load := &load{method: http.MethodPost, prefix: "/loans/", body: []byte("unit=7"), perSecond: drainRate}
	load.start(traffic, w)
	pause(ctx, 2*time.Second)

	slow.Store(trouble)
	pause(ctx, slowLead)

	leaver := list[0]
	leaver.draining.Store(true)

	if !leaver.report(ctx) {
		return fmt.Errorf("the leaving of %s was not acknowledged", leaver.id)
	}

	ackedAt.Store(time.Now().UnixMicro())
	w.rec.add("searcher %s: its leaving is acknowledged", leaver.id)
	pause(ctx, slowTime-slowLead)
	slow.Store(false)
	pause(ctx, drainTime+drainRest-(slowTime-slowLead))
	w.rec.add("searcher %s ends, its last call is acknowledged: %v", leaver.id, leaver.leave(ctx))
	leaver.end()
	pause(ctx, 3*time.Second)
	stopTraffic()
	load.wait()

	if n := late.Load(); n > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests reached the searcher later than %v after its leaving was acknowledged", errBroken, n, drainTime)
	}

	return nil
}
