package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// lookupWork is the time that a searcher works on a lookup; the users' table has 60 ms on average and at most 360 ms.
	lookupWork = 300 * time.Millisecond
	// cutTime is the length of a partition, and forwardRounds the number of requests.
	cutTime       = 4 * time.Second
	forwardRounds = 8
)

// executions counts how often requests have run.
type executions struct {
	mu  sync.Mutex
	ran map[string]int
}

func (e *executions) add(a *arrival) {
	e.mu.Lock()
	e.ran[a.id]++
	n := e.ran[a.id]
	e.mu.Unlock()

	a.s.w.rec.add("searcher %s (%s) runs %s %s from %s, time %d", a.s.id, a.s.service, a.method, a.id, a.s.w.nameOf(a.front), n)
}

func (e *executions) count(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.ran[id]
}

// forwardCase checks that a request that may run once at most does so while fronts are partitioned from all searchers: one
// front first, and then the one that serves its requests.
func forwardCase(ctx context.Context, w *world, trouble bool) error {
	var (
		ex      = &executions{ran: map[string]int{}}
		running = make(chan *arrival, 100)
	)

	for zone := range zoneCount {
		_, err := w.addSearcher(ctx, "files", zone, func(s *searcher) {
			s.work = func(*arrival) time.Duration { return lookupWork }
			s.ran = func(a *arrival) {
				ex.add(a)
				running <- a
			}
		})
		if err != nil {
			return err
		}

		if _, err := w.addSearcher(ctx, "stock", zone); err != nil {
			return err
		}
	}

	err := w.put(ctx, newManifest(1, []route{
		newRoute("loans", "/loans/", nonIdempotent, "files"), newRoute("stock", "/stock/", idempotent, "stock"),
	}, "files", "stock"))
	if err != nil {
		return err
	}

	if err := w.awaitReady(ctx); err != nil {
		return err
	}

	pause(ctx, 2*time.Second) // until all searchers are known everywhere

	var broken error

	for i := range forwardRounds {
		if err := forwardRound(ctx, w, i, trouble, running, ex); err != nil {
			broken = err

			break
		}
	}

	if err := w.running(); err != nil && broken == nil {
		return err
	}

	return broken
}

func forwardRound(ctx context.Context, w *world, i int, trouble bool, running <-chan *arrival, ex *executions) error {
	zone := i % zoneCount

	addrs, err := w.resolve(ctx, zone)
	if err != nil {
		return err
	}

	first := w.machineAt(addrs[i/zoneCount%len(addrs)])

	if trouble {
		w.cut(first)
	}

	// Callers that still use the front let it notice.
	served := 0
	for n := 0; n < 30 && served < 3; n++ {
		id := w.newID()
		if r := w.send(ctx, first, http.MethodGet, fmt.Sprintf("/stock/%d", n), id, nil, 1500*time.Millisecond, nil); r.status == http.StatusOK {
			served++
		} else {
			served = 0
		}

		pause(ctx, 50*time.Millisecond)
	}

	pause(ctx, 100*time.Millisecond)

	id := w.newID()
	w.rec.add("client: POST %s to %s, deadline 5000 ms", id, first.name)

	done := make(chan answer, 1)
	go func() {
		done <- w.send(ctx, first, http.MethodPost, fmt.Sprintf("/loans/%d", i), id, []byte("unit=7"), 5*time.Second, nil)
	}()

	var r answer

	select {
	case a := <-running:
		second := w.machines[slices.IndexFunc(w.machines, func(m *machine) bool { return m.ip == a.front })]

		pause(ctx, lookupWork/4)

		if trouble && second != first {
			w.cut(second)
		}

		r = <-done
	case r = <-done:
	}

	w.rec.add("client: %s is answered %s after %.0f ms", id, r.String(), float64(r.took.Milliseconds()))
	pause(ctx, cutTime/4)
	w.heal()

	for len(running) > 0 {
		<-running
	}

	switch n := ex.count(id); {
	case n > 1:
		return fmt.Errorf("%w: TWICE: %s, which may run once, has run %d times; the caller got %s", errBroken, id, n, r.String())
	case n > 0 && (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests):
		return fmt.Errorf("%w: REFUSED: %s was answered %s and has run", errBroken, id, r.String())
	}

	pause(ctx, 1500*time.Millisecond)

	return nil
}
