package sim

import (
	"runtime"
	"sync"
	"testing"

	"github.com/anishathalye/porcupine"
)

// Guards against two clusters, acknowledged changes that are lost, a system without a leader 4 s after the last event,
// and machines that do not vote in the end, while control VMs that know three seeds at most form and repair the set of
// voters by themselves.
func TestRepairSchedules(t *testing.T) {
	const (
		ticks = 3000
		seeds = 300
	)

	var (
		wg    sync.WaitGroup
		mu    sync.Mutex
		next  = make(chan int64)
		total = map[string]int{}
		sum   Result
	)

	for range max(1, runtime.GOMAXPROCS(0)/2) {
		wg.Go(func() {
			for seed := range next {
				r := RunRepair(seed, RandomRepair(seed, ticks))
				if r.Err != nil {
					t.Errorf("seed %d: %v", seed, r.Err)
				} else if res := linearizable(r.History); res != porcupine.Ok {
					t.Errorf("seed %d: history of %d operations: %v", seed, len(r.History), res)
				}

				mu.Lock()
				for kind, n := range r.Events {
					total[kind] += n
				}

				sum.Answered += r.Answered
				sum.DisksLost += r.DisksLost
				mu.Unlock()
			}
		})
	}

	for seed := range int64(seeds) {
		next <- *firstSeed + seed
	}

	close(next)
	wg.Wait()
	t.Logf("events: %v; %d disks lost, %d operations answered", total, sum.DisksLost, sum.Answered)

	for _, kind := range []string{"crash", "wipe", "wipe_after_answer", "replace", "freeze", "cut", "one_way", "seeds", "power"} {
		if total[kind] < seeds/3 {
			t.Errorf("event %s came %d times in %d schedules", kind, total[kind], seeds)
		}
	}
}
