package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// shards, perShard and bodyBytes are those of a search over the second set of shards in the grown deployments; the body is the
	// largest that the manifest allows.
	shards    = 54
	perShard  = 3
	bodyBytes = 262144
	// memoryBytes is limits.memoryMb of an entry VM there.
	memoryBytes = 184 << 20
	searchWork  = 28 * time.Millisecond
	crowd       = 90
	usual       = 6
	crowdTime   = 40 * time.Second
	// watchInterval and restartDelay are those of the platform.
	watchInterval = 20 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
	// endsToBreak and machinesToBreak are the bounds of the rule for six machines.
	endsToBreak     = 3
	machinesToBreak = 2
	hostsPerPort    = 40
)

// runMemory lets many callers send searches with a body of legal size at once, and ends each process that uses more memory than its
// machine has, as the platform does.
func runMemory(w *world) ([]string, error) {
	w.bounds = demandBounds

	if err := w.start(1); err != nil {
		return nil, err
	}

	names, err := w.startShards()
	if err != nil {
		return nil, err
	}

	if err := w.putSearch(names); err != nil {
		return nil, err
	}

	w.sleep(startTime - w.rec.now())

	callers := usual
	if w.trouble {
		callers = crowd
	}

	var served atomic.Int64

	for i := range callers {
		c := &caller{
			w: w, zone: i % zones, host: routeHost, path: routePrefix, method: http.MethodPost, body: make([]byte, bodyBytes), deadline: 4 * time.Second,
			pause: 50 * time.Millisecond, brief: true,
			answered: func(_ string, status int) {
				if status == http.StatusOK {
					served.Add(1)
				}
			},
		}
		w.wg.Go(c.run)
	}

	ends := w.watchMemory(crowdTime)

	if served.Load() == 0 {
		return nil, fmt.Errorf("no request was served")
	}

	if err := w.running(); err != nil {
		return nil, err
	}

	var often []string

	for _, p := range w.entries {
		w.rec.add("%s was ended %d times because of its memory", p.name, ends[p.name])

		if ends[p.name] >= endsToBreak {
			often = append(often, fmt.Sprintf("%s %d times", p.name, ends[p.name]))
		}
	}

	w.rec.add("%d requests were served", served.Load())

	if len(often) >= machinesToBreak {
		return []string{"Fault: processes ended over the memory limit: " + strings.Join(often, ", ")}, nil
	}

	return nil, nil
}

// startShards starts the searchers of all shards and returns the names of these.
func (w *world) startShards() (names []string, err error) {
	for i := range shards {
		name := fmt.Sprintf("shard-%d", i)
		names = append(names, name)

		for z := range perShard {
			s := &searcher{
				w: w, id: fmt.Sprintf("i-%d-%d", i, z), service: name, zone: zone(z), host: firstSearcher + i%hostsPerPort*perShard + z,
				port: searcherPort + i/hostsPerPort, slots: 4, queue: 12,
				work:  func() time.Duration { return around(searchWork) },
				began: func(*searcher, string) {}, quiet: true,
			}
			if err := s.start(); err != nil {
				return nil, err
			}
		}
	}

	return names, nil
}

// putSearch sends the first manifest, with one route to all shards.
func (w *world) putSearch(names []string) error {
	services := make([]any, 0, len(names))
	for _, name := range names {
		services = append(services, map[string]any{
			"name": name, "healthPath": "/health", "maxConnections": 72, "protocol": "h1", "tls": false, "warmupS": 3.0, "coldPerS": 0.0,
		})
	}

	body, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-search", "host": routeHost, "pathPrefix": routePrefix, "kind": "idempotent", "timeoutMs": 4000, "targetLatencyMs": 400, "priority": 1,
			"gather": names, "maxAttempts": 2, "topK": 50, "minCoverage": 0.95, "allowedRegions": []string{},
		}},
		"services": services,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": bodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return fmt.Errorf("encode manifest: %w", err)
	}

	return w.order(http.MethodPut, "/config", body, 0, startTime)
}

// watchMemory ends processes of entry VMs that use too much memory and starts them again. It returns how often, by name.
func (w *world) watchMemory(d time.Duration) map[string]int {
	var (
		mu   sync.Mutex
		wg   sync.WaitGroup
		ends = map[string]int{}
		end  = time.Now().Add(d)
	)

	for _, p := range w.entries {
		wg.Go(func() {
			for most := int64(0); time.Now().Before(end) && w.sleep(watchInterval); {
				used := residentBytes(p.cmd.Process.Pid)
				if used > most+10<<20 {
					most = used
					w.rec.add("%s uses %d MiB", p.name, used>>20)
				}

				if used <= memoryBytes {
					continue
				}

				w.rec.add("%s uses %d MiB of %d", p.name, used>>20, memoryBytes>>20)
				p.signal(syscall.SIGKILL)
				<-p.done

				most = 0

				mu.Lock()
				ends[p.name]++
				mu.Unlock()

				w.sleep(restartDelay)

				if err := p.start(); err != nil {
					w.rec.add("%v", err)

					return
				}
			}
		})
	}

	wg.Wait()

	return ends
}

// residentBytes returns the memory that a process uses, 0 if that is not known.
func residentBytes(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}

	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmRSS:" {
			kib, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				return 0
			}

			return kib << 10
		}
	}

	return 0
}
