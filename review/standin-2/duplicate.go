package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// demandBounds are the settings of demands/umhlaba-stmt-grown.toml, for three machines of each kind.
	demandBounds = "limits.cpuShare=0.192\nlimits.cores=1\nlimits.memoryMb=184\nlimits.maxFds=4100\nlimits.linkMbps=20.0\nlimits.diskMb=128\ndiscovery=registry\nentry=directory\nheartbeatMs=1200\ncontracts=base,drain,config,cost,retry,recover,scatter,places\nfaultTolerance.machines=1\nfaultTolerance.zones=1\nfaultTolerance.regions=1\nbounds.seedLagS=3\nbounds.addrReuseS=2\nbounds.contactMs=6000\nbounds.ackMs=8000\nbounds.catchUpS=6\nbounds.drainMs=4000\nbounds.graceS=6\nbounds.lossSlackMs=200\nbounds.configApplyMs=4000\nbounds.rollbackSlackMs=250\nbounds.maxSkewMs=20000\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.retryBudgetSlack=200\nbounds.coldBurstFactor=1.5\nbounds.coldSlack=5\nbounds.evacuationDeadlineMs=5000\nbounds.recoveryS=15\nbounds.ttl_max_s=5\nconfig_mode=highest\n"
	longDeadline = 15 * time.Second
	longTarget   = time.Second
	// extraShare is the largest share of the answers that a faulty searcher sends twice.
	extraShare = 0.04
	// extraTime is how long a searcher is faulty, and calmTime the pause until it is again.
	extraTime = 5 * time.Second
	calmTime  = time.Second
	// Each of the first homes has one searcher, which is faulty; the others are in the last region.
	homes          = 2
	searchers      = 4
	slots          = 3
	queue          = 3
	connections    = 25
	meanWork       = 220 * time.Millisecond
	loadTime       = 95 * time.Second
	entriesPerZone = 6
	callers        = 60
)

// runDuplicate sends requests that must not run twice to busy searchers, some of which send a second answer now and then.
func runDuplicate(w *world) ([]string, error) {
	w.bounds = demandBounds

	if err := w.start(entriesPerZone); err != nil {
		return nil, err
	}

	var (
		mu     sync.Mutex
		runs   = map[string][]string{}
		status = map[string]int{}
	)

	for i := range searchers {
		s := &searcher{
			w: w, id: fmt.Sprintf("i-%d", i), service: filesService, zone: zone(min(i, zones-1)), host: firstSearcher + i, port: searcherPort, slots: slots, queue: queue,
			work: func() time.Duration { return around(meanWork) },
			began: func(s *searcher, id string) {
				mu.Lock()
				defer mu.Unlock()

				runs[id] = append(runs[id], s.id)
			},
		}
		if w.trouble && i < homes {
			s.extra = duplicateRejections(w.rec.now)
		}

		if err := s.start(); err != nil {
			return nil, err
		}
	}

	if err := w.putManifest("non_idempotent", longDeadline, longTarget, connections, region(0), region(1)); err != nil {
		return nil, err
	}

	w.sleep(startTime - w.rec.now())

	for i := range callers {
		c := &caller{
			w: w, zone: i % zones, host: region(i%homes) + "." + routeHost, path: routePrefix, method: http.MethodPost, body: []byte("print"), deadline: longDeadline, pause: time.Second,
			answered: func(id string, s int) {
				mu.Lock()
				defer mu.Unlock()

				status[id] = s
			},
		}
		w.wg.Go(c.run)
	}

	w.sleep(loadTime)

	if err := w.running(); err != nil {
		return nil, err
	}

	mu.Lock()
	defer mu.Unlock()

	return w.repeatedRuns(runs, status)
}

// duplicateRejections returns the fault of one searcher: it sends rejections twice, as long as these are few of its answers.
func duplicateRejections(now func() time.Duration) func(status int) bool {
	var (
		mu              sync.Mutex
		answers, copies int
	)

	return func(status int) bool {
		mu.Lock()
		defer mu.Unlock()

		if !faulty(now()) {
			return false
		}

		answers++

		if status != http.StatusServiceUnavailable || float64(copies+1) > extraShare*float64(answers) {
			return false
		}

		copies++

		return true
	}
}

// faulty reports whether the faulty searchers send second answers at a time.
func faulty(at time.Duration) bool {
	return at >= startTime && (at-startTime)%(extraTime+calmTime) < extraTime
}

// repeatedRuns returns the violations of TWICE and REFUSED.
func (w *world) repeatedRuns(runs map[string][]string, status map[string]int) (violations []string, err error) {
	served := 0

	for id, s := range status {
		switch {
		case s == http.StatusOK:
			served++
		case len(runs[id]) > 0 && (s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests || s == http.StatusRequestTimeout || s == http.StatusMisdirectedRequest):
			violations = append(violations, fmt.Sprintf("REFUSED: %s was answered %d and has run on %v", id, s, runs[id]))
		}
	}

	for id, at := range runs {
		if len(at) > 1 {
			violations = append(violations, fmt.Sprintf("TWICE: %s has run on %v", id, at))
		}
	}

	w.rec.add("%d requests were answered, %d with success", len(status), served)

	if served == 0 {
		return nil, fmt.Errorf("no request was served")
	}

	return violations, nil
}
