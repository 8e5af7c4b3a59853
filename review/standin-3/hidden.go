package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	applyTime = 3 * time.Second // bounds.configApplyMs

	// compareFor is how long the two routes are compared, compareInterval the time between two requests on each.
	compareFor      = 10 * time.Second
	compareInterval = 100 * time.Millisecond
	// leastRequests is how many requests the rule asks for on the later route.
	leastRequests = 20
)

// playHidden lets another writer leave one report among those of the searchers. It names a service that is in no manifest, and the
// address of a sound searcher.
func playHidden(w *world) (bool, error) {
	if err := w.startPrograms(3, 6); err != nil {
		return false, err
	}

	var hidden *searcher

	for i, service := range []string{"files", "orders"} {
		for z := range zoneCount {
			s := w.newSearcher(service, z, searcherHost+i*zoneCount+z, 10*time.Millisecond)
			if err := s.start(); err != nil {
				return false, err
			}

			if service == "orders" && z == 1 {
				hidden = s
			}
		}
	}

	// Both routes have the same home, in which each service has one searcher.
	first := newRoute("first", "idempotent", "files", 2*time.Second)
	later := newRoute("later", "idempotent", "orders", 2*time.Second)
	first["allowedRegions"], later["allowedRegions"] = []string{region(1)}, []string{region(1)}

	if _, err := w.order(0, http.MethodPut, "/config", manifest(1, 0, first)); err != nil {
		return false, err
	}

	if err := w.awaitReady(); err != nil {
		return false, err
	}

	time.Sleep(time.Second)

	if _, err := w.order(0, http.MethodPut, "/config", manifest(2, 0, first, later)); err != nil {
		return false, err
	}

	w.note("manifest 2 with the later route is acknowledged")
	time.Sleep(applyTime + contactTime)

	if w.trouble {
		w.reportOdd(hidden)
	}

	time.Sleep(time.Second)

	served := w.compare("/first/x", "/later/x")
	w.note("%d of %d requests were served on the first route, %d of %d on the later one", served[0].good, served[0].sent, served[1].good, served[1].sent)

	return served[1].sent >= leastRequests && served[1].good*4 < served[0].good, nil
}

// reportOdd sends the report of another writer to one control program.
func (w *world) reportOdd(at *searcher) {
	p := w.role("control")[0]
	status, answer := call(http.MethodPut, fmt.Sprintf("http://%s:%d/instances/agent-1", p.ip(), controlPort), map[string]any{
		"service": "agents", "address": at.address, "zone": zone(at.zone), "version": "v1", "capacity": 1, "state": "ready",
		"warmupLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	w.note("another writer reports agent-1 of service agents at %s, the address of searcher %s, to %s: status %d %s", at.address, at.id, p.name(), status, answer)
}

type served struct{ sent, good int64 }

// compare sends requests on several paths in turn, to all entry programs that the directories name.
func (w *world) compare(paths ...string) []served {
	var (
		wg   sync.WaitGroup
		sent = make([]atomic.Int64, len(paths))
		good = make([]atomic.Int64, len(paths))
	)

	for end, i := time.Now().Add(compareFor), 0; time.Now().Before(end); i++ {
		for k, path := range paths {
			wg.Go(func() {
				list := w.role("entry")

				addrs := list[i%len(list)].resolve(i)
				if len(addrs) == 0 {
					return
				}

				sent[k].Add(1)

				if w.send(addrs[i%len(addrs)], http.MethodGet, path, newID(), 2*time.Second, "").status == http.StatusOK {
					good[k].Add(1)
				}
			})
		}

		time.Sleep(compareInterval)
	}

	wg.Wait()

	out := make([]served, len(paths))
	for k := range paths {
		out[k] = served{sent: sent[k].Load(), good: good[k].Load()}
	}

	return out
}
