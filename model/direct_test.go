package model

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The load is that of the sites: 180 searches/s at 6 entry VMs, over 10 shards with 3 searchers each. For 9 s, 13 of
// the 30 searchers are faulty; each shard keeps one healthy searcher, which has to carry the load of the shard alone.
// Callers may therefore lose 5% of the worth of their answers, and 10% where it takes time to detect a faulty
// searcher.
//
// Guards against partly failing searchers that use up the retry budget because one success makes up for each failure,
// and against searchers that stay excluded after the fault.
func TestDirectFaults(t *testing.T) {
	const (
		seeds          = 5
		maxRecognition = 500 * time.Millisecond
		maxReturn      = 3 * time.Second
	)

	for name, tc := range map[string]struct {
		fault Fault
		worth float64 // minimum, relative to the worth before the fault
	}{
		"none":                          {FaultNone, 0.99},
		"half of the attempts rejected": {FaultShedding, 0.95},
		"half of the attempts fail":     {FaultErrors, 0.95},
		"eight times slower":            {FaultSlow, 0.9},
		"no answers":                    {FaultSilent, 0.9},
		"connections refused":           {FaultDown, 0.95},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			var before, during, recognised, returned float64

			for seed := range uint64(seeds) {
				r := RunDirect(DirectExperiment{Fault: tc.fault, Seed: seed + 1})
				before += r.Before.Worth
				during += r.During.Worth
				recognised = max(recognised, r.Recognised)
				returned = max(returned, r.Returned)

				if tc.fault != FaultNone && (r.Recognised < 0 || r.Returned < 0) {
					t.Errorf("seed %d: fault recognised after %v ms, searchers in use again after %v ms", seed+1, r.Recognised, r.Returned)
				}
			}

			if during < tc.worth*before {
				t.Errorf("worth is %.4f of that before the fault, want at least %v", during/before, tc.worth)
			}

			if limit := float64(maxRecognition.Milliseconds()); recognised > limit {
				t.Errorf("fault recognised after %v ms, want at most %v", recognised, limit)
			}

			if limit := float64(maxReturn.Milliseconds()); returned > limit {
				t.Errorf("searchers in use again after %v ms, want at most %v", returned, limit)
			}
		})
	}
}

// Guards against runs that do not repeat from their seed.
func TestDirectRunIsReproducible(t *testing.T) {
	x := DirectExperiment{Fault: FaultShedding, Seed: 3}
	if diff := cmp.Diff(RunDirect(x), RunDirect(x)); diff != "" {
		t.Errorf("two runs of one seed differ (-first +second):\n%s", diff)
	}
}

// Guards against queries that try each searcher of a shard that is down, region after region, and against searchers
// that stay excluded after they recover.
func TestDirectWholeShards(t *testing.T) {
	for name, tc := range map[string]struct {
		shards  int
		worth   float64 // minimum; one shard of ten may be missing
		refused float64 // maximum in the 5 s after the fault; searchers are retried after 500 ms
		median  float64 // maximum, in ms
		// lost is the minimum of searches refused during the fault. A few begin right before the searchers are back.
		lost float64
	}{
		"one shard down, answers without it":        {shards: 1, worth: 0.78, median: 25},
		"two shards down, more than may be missing": {shards: 2, refused: 0.1, median: float64(directTarget.Milliseconds()), lost: 0.99},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				r := RunDirect(DirectExperiment{Fault: FaultDown, WholeShards: tc.shards, Seed: seed + 1})
				if r.During.Worth < tc.worth || r.After.Refused > tc.refused {
					t.Errorf("seed %d: worth %.3f during the fault, refused %.3f after it; want at least %v, at most %v", seed+1, r.During.Worth, r.After.Refused, tc.worth, tc.refused)
				}

				if r.During.Refused < tc.lost {
					t.Errorf("seed %d: %.3f refused during the fault, want at least %v", seed+1, r.During.Refused, tc.lost)
				}

				if r.During.Median > tc.median || r.During.MedianRefused > 1 {
					t.Errorf("seed %d: answered after %v ms, refused after %v ms; want at most %v and 1", seed+1, r.During.Median, r.During.MedianRefused, tc.median)
				}
			}
		})
	}
}

// The load is 160 searches/s over 36 shards. The searchers of four, eight or sixteen shards are six times slower and
// can serve 125 to 165 searches/s; an answer may lack three shards.
//
// Guards against searches that all queue at overloaded shards until each misses its target, or that one overloaded
// shard rejects after all other shards have done their work.
func TestDirectOverloadedShards(t *testing.T) {
	for name, tc := range map[string]struct {
		shards int
		worth  float64 // minimum; equals a fifth of all searches in time
	}{
		"four shards":    {4, 0.2},
		"eight shards":   {8, 0.2},
		"sixteen shards": {16, 0.2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			r := RunDirect(DirectExperiment{
				Fault: FaultSlow, Strength: 6, WholeShards: tc.shards, Shards: 36, EntryVMs: 14, PerSecond: 160, Seed: 1,
			})
			t.Logf("worth %.3f, in time %.3f, late %.3f, refused %.3f within %.0f ms; worth after the fault %.3f", r.During.Worth, r.During.InTime,
				r.During.Late, r.During.Refused, r.During.MedianRefused, r.After.Worth)

			if r.During.Worth < tc.worth {
				t.Errorf("worth %.3f during the fault, want at least %v", r.During.Worth, tc.worth)
			}

			if r.During.MedianRefused > 1 {
				t.Errorf("refused after %v ms, want at most 1", r.During.MedianRefused)
			}

			if r.After.Worth < 0.85 {
				t.Errorf("worth %.3f in the 5 s after the fault, want at least 0.85", r.After.Worth)
			}
		})
	}
}
