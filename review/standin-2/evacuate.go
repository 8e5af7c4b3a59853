package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Bounds of sites/kohl-fulmar.toml.
const (
	contactTime     = 5 * time.Second
	evacuationTime  = 5 * time.Second
	acknowledgeTime = 6 * time.Second
	freezeTime      = 4 * time.Second
	smallSiteBounds = "limits.cpuShare=0.4\nlimits.cores=1\nlimits.memoryMb=284\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=128\ndiscovery=registry\nentry=directory\nheartbeatMs=1200\ncontracts=base,drain,config,cost,retry,recover,scatter,places\nfaultTolerance.machines=1\nfaultTolerance.zones=1\nfaultTolerance.regions=1\nbounds.seedLagS=3\nbounds.addrReuseS=2\nbounds.contactMs=5000\nbounds.ackMs=6000\nbounds.catchUpS=4\nbounds.drainMs=3000\nbounds.graceS=6\nbounds.lossSlackMs=200\nbounds.configApplyMs=3000\nbounds.rollbackSlackMs=250\nbounds.maxSkewMs=15000\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.retryBudgetSlack=52\nbounds.coldBurstFactor=1.5\nbounds.coldSlack=5\nbounds.evacuationDeadlineMs=5000\nbounds.recoveryS=12\nbounds.ttl_max_s=5\nconfig_mode=highest\n"
	evacuatedZone   = 0
	frozenControlVM = 1
	filesService    = "files"
	routeHost       = "files.example"
	routePrefix     = "/records/"
)

// arrival is a request that has reached a searcher.
type arrival struct {
	at       time.Duration
	searcher string
	id       string
}

// runEvacuation withdraws an evacuation while a control VM is frozen, and orders it again before that VM is back. The frozen VM
// has received the withdrawal; the operator has had it acknowledged by another one.
func runEvacuation(w *world) ([]string, error) {
	w.bounds = smallSiteBounds

	if err := w.start(1); err != nil {
		return nil, err
	}

	var (
		mu       sync.Mutex
		arrivals []arrival
	)

	for i := range 2 * zones {
		s := &searcher{
			w: w, id: fmt.Sprintf("i-%d", i), service: filesService, zone: zone(i), host: firstSearcher + i, port: searcherPort, slots: 3, queue: 12,
			work:  func() time.Duration { return around(10 * time.Millisecond) },
			began: func(*searcher, string) {},
			arrived: func(s *searcher, id string) {
				if s.zone != zone(evacuatedZone) {
					return
				}

				mu.Lock()
				defer mu.Unlock()

				arrivals = append(arrivals, arrival{at: w.rec.now(), searcher: s.id, id: id})
			},
		}
		if err := s.start(); err != nil {
			return nil, err
		}
	}

	if err := w.putManifest("idempotent", 5*time.Second, 300*time.Millisecond, 96); err != nil {
		return nil, err
	}

	w.sleep(startTime - w.rec.now())

	for i := range 2 * zones {
		c := &caller{w: w, zone: i % zones, host: routeHost, path: routePrefix, method: http.MethodGet, deadline: 5 * time.Second, pause: 50 * time.Millisecond}
		w.wg.Go(c.run)
	}

	w.sleep(3 * time.Second)

	path := "/evacuate/" + zone(evacuatedZone)
	if err := w.order(http.MethodPost, path, nil, frozenControlVM, acknowledgeTime); err != nil {
		return nil, err
	}

	w.sleep(6 * time.Second)

	frozen := w.rec.now()
	if w.trouble {
		w.controls[frozenControlVM].signal(syscall.SIGSTOP)
	}

	w.sleep(100 * time.Millisecond)

	if err := w.order(http.MethodDelete, path, nil, frozenControlVM, acknowledgeTime); err != nil {
		return nil, err
	}

	w.sleep(time.Second)

	if err := w.order(http.MethodPost, path, nil, frozenControlVM+1, acknowledgeTime); err != nil {
		return nil, err
	}

	acknowledged := w.rec.now()

	w.sleep(frozen + freezeTime - w.rec.now())

	if w.trouble {
		w.controls[frozenControlVM].signal(syscall.SIGCONT)
	}

	// From then on the core is stable, all machines are in touch and the evacuation is due.
	due := max(acknowledged+evacuationTime, frozen+freezeTime+contactTime)

	w.sleep(due + 10*time.Second - w.rec.now())

	if err := w.running(); err != nil {
		return nil, err
	}

	return w.lateArrivals(&mu, &arrivals, acknowledged, due)
}

// lateArrivals returns the violations of EVAC: requests that have reached the zone although its evacuation was due.
func (w *world) lateArrivals(mu *sync.Mutex, arrivals *[]arrival, acknowledged, due time.Duration) ([]string, error) {
	mu.Lock()
	defer mu.Unlock()

	var before, late int

	for _, a := range *arrivals {
		switch {
		case a.at < acknowledged:
			before++
		case a.at > due:
			late++
		}
	}

	w.rec.add("%d requests reached %s before the last evacuation, %d after it was due at %.3f", before, zone(evacuatedZone), late, due.Seconds())

	switch {
	case before == 0:
		return nil, fmt.Errorf("no request reached %s before the evacuation", zone(evacuatedZone))
	case late > 0:
		return []string{fmt.Sprintf("EVAC: %d requests reached searchers in %s more than %v after its evacuation was acknowledged at %.3f s; it was not taken back since",
			late, zone(evacuatedZone), evacuationTime, acknowledged.Seconds())}, nil
	default:
		return nil, nil
	}
}

// putManifest sends the first manifest: a route that all regions may serve or, with homes, one route for each home.
func (w *world) putManifest(kind string, timeout, target time.Duration, connections int, homes ...string) error {
	route := func(host string, regions ...string) map[string]any {
		return map[string]any{
			"name": "r-" + host, "host": host, "pathPrefix": routePrefix, "kind": kind, "timeoutMs": timeout.Milliseconds(),
			"targetLatencyMs": target.Milliseconds(), "priority": 2, "service": filesService, "maxAttempts": 2,
			"allowedRegions": append([]string{}, regions...),
		}
	}

	var routes []any
	for _, home := range homes {
		routes = append(routes, route(home+"."+routeHost, home))
	}

	if len(homes) == 0 {
		routes = append(routes, route(routeHost))
	}

	body, err := json.Marshal(map[string]any{
		"version": 1, "routes": routes,
		"services": []any{map[string]any{
			"name": filesService, "healthPath": "/health", "maxConnections": connections, "protocol": "h1", "tls": false, "warmupS": 3.0, "coldPerS": 0.0,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return fmt.Errorf("encode manifest: %w", err)
	}

	return w.order(http.MethodPut, "/config", body, 0, startTime)
}
