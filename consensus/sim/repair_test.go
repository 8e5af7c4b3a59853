package sim

import (
	"runtime"
	"slices"
	"sync"
	"testing"

	"github.com/anishathalye/porcupine"

	"fulmarfall/consensus"
)

// Guards against two clusters, lost acknowledged writes, a cluster without a leader 4 s after the last event, and machines
// that are not voters at the end, while control VMs that know at most three seeds form a cluster and repair its set of
// voters automatically.
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
			t.Errorf("event %s occurred %d times in %d schedules", kind, total[kind], seeds)
		}
	}
}

// electionTimes returns, sorted, the number of ticks until a leader serves after a power failure of all voters, for each
// of the seeds. If diskLost is set, one of the voters also loses its disk.
func electionTimes(seeds int64, voters int, diskLost bool) []int {
	var times []int

	for seed := range seeds {
		s := newSim(seed, Options{Voters: voters})
		for s.leader() == nil || !s.settled() {
			s.step()
		}

		for range 100 {
			s.step()
		}

		s.inFlight = nil
		for i, n := range s.nodes {
			// All machines restart within 60 ms.
			s.crash(n, 1+s.rnd.Intn(3))
			n.voters = nil

			if diskLost && i == 0 {
				s.lastDisk++
				n.disk, n.saved = s.lastDisk, consensus.PersistentState{}
			}
		}

		start := s.tick
		for s.leader() == nil && s.tick-start < 1000 {
			s.step()
		}

		times = append(times, s.tick-start)
	}

	slices.Sort(times)

	return times
}

// Guards against voters that wait for an existing leader after a power failure of all voters, and against two remaining
// voters that split the vote: callers get no answers until a leader is elected.
func TestElectionAfterPowerLoss(t *testing.T) {
	const seeds = 400

	for name, tc := range map[string]struct {
		voters   int
		diskLost bool
	}{
		"two of three voters": {3, true},
		"three voters":        {3, false},
		"four voters":         {4, false},
		"three of four":       {4, true},
		"five voters":         {5, false},
	} {
		t.Run(name, func(t *testing.T) {
			times := electionTimes(seeds, tc.voters, tc.diskLost)
			median, p95 := times[seeds/2], times[seeds*95/100]
			t.Logf("ticks until a leader serves: median %d, 95th percentile %d, maximum %d", median, p95, times[seeds-1])

			// Up to 3 ticks until a machine restarts, an initial timer below the minimum election timeout, and six messages
			// of up to 3 ticks each: requests and replies for the pre-vote, the vote and the first entry.
			if want := 3 + simElection + 6*3; p95 > want {
				t.Errorf("95th percentile of election times is %d ticks, want at most %d", p95, want)
			}
		})
	}
}
