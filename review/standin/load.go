package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// load sends requests of clients in one zone at a steady rate to the fronts that the directory names.
type load struct {
	method    string
	prefix    string
	body      []byte
	perSecond int

	wg     sync.WaitGroup
	w      *world
	counts sync.Map // from status to *atomic.Int64
}

const (
	// loadZone is the zone of the clients.
	loadZone = 0
	// loadDeadline is the deadline of the lookups on the users' page.
	loadDeadline = 5 * time.Second
	// addressLife is the time for which clients keep an answer of the directory.
	addressLife = 3
)

// start sends requests until the context ends.
func (l *load) start(ctx context.Context, w *world) {
	l.w = w
	l.wg.Go(func() { l.run(ctx) })
}

func (l *load) run(ctx context.Context) {
	var addrs []string

	ticker := time.NewTicker(time.Second / time.Duration(l.perSecond))
	defer ticker.Stop()

	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}

		if i%(addressLife*l.perSecond) == 0 {
			if list, err := l.w.resolve(ctx, loadZone); err == nil {
				addrs = list
			}
		}

		if len(addrs) == 0 {
			continue
		}

		m, id := l.w.machineAt(addrs[i%len(addrs)]), l.w.newID()

		l.wg.Go(func() {
			r := l.w.send(context.WithoutCancel(ctx), m, l.method, fmt.Sprintf("%s%d", l.prefix, i), id, l.body, loadDeadline, nil)
			if r.status == http.StatusBadGateway {
				l.w.rec.add("client: %s is answered %s by %s", id, r.String(), m.name)
			}

			n, _ := l.counts.LoadOrStore(r.status, &atomic.Int64{})
			n.(*atomic.Int64).Add(1) //nolint:forcetypeassert // Only counters are stored.
		})
	}
}

// wait waits for the answers and records them.
func (l *load) wait() {
	l.wg.Wait()
	l.counts.Range(func(status, n any) bool {
		l.w.rec.add("clients got %v: %d", status, n.(*atomic.Int64).Load()) //nolint:forcetypeassert // Only counters are stored.

		return true
	})
}
