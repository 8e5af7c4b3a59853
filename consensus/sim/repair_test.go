package sim

import (
	"runtime"
	"slices"
	"sync"
	"testing"

	"github.com/anishathalye/porcupine"

	"fulmarfall/consensus"
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

// electionTimes returns the ticks until a leader serves, after all voters have lost their power and one of them perhaps
// its disk, for some seeds.
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

		s.flights = nil
		for i, n := range s.nodes {
			// The machines are back within 60 ms of each other.
			s.crash(n, 1+s.rnd.Intn(3))
			n.voters = nil

			if diskLost && i == 0 {
				s.disks++
				n.disk, n.saved = s.disks, consensus.Saved{}
			}
		}

		began := s.tick
		for s.leader() == nil && s.tick-began < 1000 {
			s.step()
		}

		times = append(times, s.tick-began)
	}

	slices.Sort(times)

	return times
}

// Guards against voters that wait for a leader which can't be there after a loss of power, and against two remaining ones
// that split the vote: callers get no answer in that time.
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
			median, late := times[seeds/2], times[seeds*95/100]
			t.Logf("ticks until a leader serves: median %d, 95 in 100 %d, most %d", median, late, times[seeds-1])

			// Up to 3 ticks until a machine is back, a timer that is shorter than the shortest election timeout, and six
			// messages of up to 3 ticks: pre-vote, vote, first entry.
			if want := 3 + simElection + 6*3; late > want {
				t.Errorf("95 of 100 elections take up to %d ticks, want %d", late, want)
			}
		})
	}
}
