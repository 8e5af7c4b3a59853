package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// cutTime is how long a searcher is cut off from all machines of the system: node_cut of sites/kohl-fulmar.toml.
	cutTime = 5500 * time.Millisecond
	// drainTime is bounds.drainMs. quietExit is the time after which a searcher exits without an acknowledgement, and startDelay
	// the time until it starts again.
	drainTime  = 3 * time.Second
	quietExit  = 3500 * time.Millisecond
	startDelay = 500 * time.Millisecond
	// firstRetransmission is the time after which TCP sends unacknowledged bytes again; it doubles each time.
	firstRetransmission = 200 * time.Millisecond
	laterHost           = "later.example"
	laterService        = "desk"
	comparedFor         = 20 * time.Second
)

// link is the path between one searcher and the machines of the system. While it is cut, nothing passes.
type link struct {
	w *world

	mu         sync.Mutex
	from, till time.Time
}

func (l *link) cut(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.from, l.till = time.Now(), time.Now().Add(d)
}

// arrival returns when bytes that are sent now on an open connection arrive: at once, or with the first retransmission after the
// end of the cut.
func (l *link) arrival() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()

	at := time.Now()
	for wait := firstRetransmission; !at.Before(l.from) && at.Before(l.till); wait *= 2 {
		at = at.Add(wait)
	}

	return at
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	now := time.Now()

	return !now.Before(l.from) && now.Before(l.till)
}

// leave sends DELETE for a searcher to one control VM on a connection that was opened before. The bytes arrive although the searcher
// no longer waits for the answer. It reports whether the call was acknowledged within the time that a searcher waits.
func (l *link) leave(p *process, s *searcher) bool {
	at := l.arrival()
	l.w.rec.add("%s, born %d, sends DELETE to %s, which gets it at %.3f", s.id, s.born, p.name, at.Sub(l.w.rec.start).Seconds())

	id, body := s.id, fmt.Appendf(nil, `{"born":%d}`, s.born)

	result := make(chan int, 1)

	l.w.wg.Go(func() {
		l.w.sleep(time.Until(at))

		status, err := l.w.call(p, http.MethodDelete, "/instances/"+id, body)
		l.w.rec.add("%s has got DELETE for %s and answers %d (%v)", p.name, id, status, err)
		result <- status
	})

	select {
	case status := <-result:
		return status >= 200 && status < 300
	case <-time.After(orderTimeout):
		return false
	}
}

// runRebirth cuts a searcher off while it leaves and starts again under its id.
func runRebirth(w *world) ([]string, error) {
	w.bounds = smallSiteBounds

	if err := w.start(1); err != nil {
		return nil, err
	}

	var (
		path  = &link{w: w}
		first = &searcher{}
	)

	for i := range 2 * zones {
		s := &searcher{
			w: w, id: fmt.Sprintf("i-%d", i), service: filesService, zone: zone(i), host: firstSearcher + i, port: searcherPort, slots: 3, queue: 12,
			work:  func() time.Duration { return around(20 * time.Millisecond) },
			began: func(*searcher, string) {},
		}
		if i >= zones {
			s.service = laterService
		}

		if i == zones {
			first, s.path = s, path
		}

		if err := s.start(); err != nil {
			return nil, err
		}
	}

	if err := w.putTwoRoutes(1, false); err != nil {
		return nil, err
	}

	w.sleep(startTime - w.rec.now())

	counts := newShares()

	for i := range 4 * zones {
		c := &caller{
			w: w, zone: i % zones, host: routeHost, path: routePrefix, method: http.MethodGet, deadline: 5 * time.Second, pause: 200 * time.Millisecond,
			answered: func(_ string, status int) { counts.add(routeHost, status) },
		}
		if i >= 2*zones {
			c.host = laterHost
			c.answered = func(_ string, status int) { counts.add(laterHost, status) }
		}

		w.wg.Go(c.run)
	}

	w.sleep(2 * time.Second)

	if err := w.putTwoRoutes(2, true); err != nil {
		return nil, err
	}

	w.sleep(6 * time.Second)

	if w.trouble {
		w.rec.add("%s is cut off from all machines for %v", first.id, cutTime)
		path.cut(cutTime)
	}

	w.sleep(200 * time.Millisecond)
	w.restart(first, path)

	// All machines have been in touch for long when the shares are compared.
	w.sleep(cutTime + contactTime + 2*time.Second)
	counts.reset()
	w.sleep(comparedFor)

	if err := w.running(); err != nil {
		return nil, err
	}

	return counts.compare(w.rec)
}

// restart makes a searcher leave as those do that send DELETE first, and start again under its id.
func (w *world) restart(s *searcher, path *link) {
	s.stopHeartbeats()

	began := time.Now()
	acknowledged := false

	for i := range w.controls {
		if time.Since(began) < quietExit && !acknowledged {
			acknowledged = path.leave(w.controls[(i+1)%len(w.controls)], s)
		}
	}

	if acknowledged {
		w.sleep(drainTime)
	} else {
		w.sleep(quietExit - time.Since(began))
	}

	s.close()
	w.rec.add("%s exits, acknowledged: %v", s.id, acknowledged)
	w.sleep(startDelay)

	if err := s.start(); err != nil {
		w.rec.add("%v", err)

		return
	}

	w.rec.add("%s starts again under its id, born %d", s.id, s.born)
}

// putTwoRoutes sends a version of the manifest, with the later route or without it. The later route has a home with one searcher.
func (w *world) putTwoRoutes(version int, later bool) error {
	route := func(host, service string, regions ...string) map[string]any {
		return map[string]any{
			"name": "r-" + host, "host": host, "pathPrefix": routePrefix, "kind": "idempotent", "timeoutMs": 5000, "targetLatencyMs": 300, "priority": 2,
			"service": service, "maxAttempts": 2, "allowedRegions": append([]string{}, regions...),
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{
			"name": name, "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false, "warmupS": 3.0, "coldPerS": 0.0,
		}
	}

	routes := []any{route(routeHost, filesService)}
	if later {
		routes = append(routes, route(laterHost, laterService, region(0)))
	}

	body, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": []any{service(filesService), service(laterService)},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return fmt.Errorf("encode manifest: %w", err)
	}

	return w.order(http.MethodPut, "/config", body, 0, startTime)
}

// shares counts the requests by host and whether they were served.
type shares struct {
	mu           sync.Mutex
	sent, served map[string]int
}

func newShares() *shares {
	s := &shares{}
	s.reset()

	return s
}

func (s *shares) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.sent, s.served = map[string]int{}, map[string]int{}
}

func (s *shares) add(host string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.sent[host]++
	if status == http.StatusOK {
		s.served[host]++
	}
}

// minRequests is the number of requests from which the rule on later routes applies, and minShare the least share of them.
const (
	minRequests = 20
	minShare    = 0.25
)

// compare returns the violations of the rule on routes that were added later.
func (s *shares) compare(rec *record) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	line := fmt.Sprintf("%d of %d requests were served on the first route, %d of %d on the later one",
		s.served[routeHost], s.sent[routeHost], s.served[laterHost], s.sent[laterHost])
	rec.add("%s", line)

	if s.served[routeHost] == 0 || s.sent[laterHost] < minRequests {
		return nil, fmt.Errorf("too few requests: %s", line)
	}

	usual := float64(s.served[routeHost]) / float64(s.sent[routeHost])
	if later := float64(s.served[laterHost]) / float64(s.sent[laterHost]); later < minShare*usual {
		return []string{"CONFIG: " + line}, nil
	}

	return nil, nil
}
