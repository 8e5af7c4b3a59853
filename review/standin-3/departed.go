package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	drainTime   = 3 * time.Second // bounds.drainMs
	contactTime = 5 * time.Second // bounds.contactMs

	// killDelay is the time from the acknowledgement to the kill.
	killDelay = 50 * time.Millisecond
)

// playDeparted lets a searcher say that it is gone. All processes of the core are killed right after the acknowledgement and are back
// within a second. The searcher goes on serving for some seconds, and exits.
func playDeparted(w *world) (bool, error) {
	if err := w.startPrograms(3, 6); err != nil {
		return false, err
	}

	var (
		leaver   *searcher
		ackedAt  atomic.Int64
		settled  atomic.Int64
		lateRuns atomic.Int64
	)

	for i := range zoneCount {
		s := w.newSearcher("orders", i, searcherHost+i, time.Second)
		if err := s.start(); err != nil {
			return false, err
		}

		if i == 0 {
			leaver = s
		}
	}

	leaver.ran = func(r *request) {
		acked, from := ackedAt.Load(), settled.Load()
		if acked == 0 {
			return
		}

		after := time.Duration(r.at.UnixNano() - acked)
		w.note("the searcher that is gone gets request %s %d ms after the acknowledgement", r.id, after.Milliseconds())

		if after > drainTime && from != 0 && r.at.UnixNano() >= from {
			lateRuns.Add(1)
		}
	}

	if _, err := w.order(0, http.MethodPut, "/config", manifest(1, 0, newRoute("orders", "non_idempotent", "orders", 5*time.Second))); err != nil {
		return false, err
	}

	if err := w.awaitReady(); err != nil {
		return false, err
	}

	time.Sleep(contactTime + time.Second)

	if !leaver.beat() {
		return false, errTimeout
	}

	at := leaver.depart(0)
	if at == nil {
		return false, errTimeout
	}

	acked := time.Now()
	ackedAt.Store(acked.UnixNano())
	w.note("%s has acknowledged that searcher %s is gone", at.name(), leaver.id)

	back := acked

	if w.trouble {
		time.Sleep(killDelay)

		if err := w.killCore(400 * time.Millisecond); err != nil {
			return false, err
		}

		back = time.Now()
	}

	// Twice contactMs after the core is back, all programs are in touch by any reading of the rules.
	time.Sleep(time.Until(back.Add(2*contactTime + 500*time.Millisecond)))
	settled.Store(time.Now().UnixNano())

	var wg sync.WaitGroup

	for i := range 12 {
		wg.Go(func() {
			// Clients ask a directory of their zone.
			addrs := w.role("entry")[i%zoneCount].resolve(i)
			if len(addrs) > 0 {
				w.send(addrs[i/zoneCount%len(addrs)], http.MethodPost, "/orders/book", newID(), 5*time.Second, "camera")
			}
		})
	}

	time.AfterFunc(600*time.Millisecond, func() {
		w.note("the searcher that is gone exits")
		leaver.crash()
	})
	wg.Wait()
	w.note("%d requests reached the searcher that is gone later than drainMs after the acknowledgement", lateRuns.Load())

	return lateRuns.Load() > 0, nil
}
