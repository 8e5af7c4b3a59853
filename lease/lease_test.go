package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const simulated = 20 * time.Second

// Guards against two runs of nodes that may both send to one searcher at the same moment, under
// clock drift, delayed, repeated and lost messages, leader changes, crashes, restarts and moves.
func TestOneSenderPerSearcher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), allRules)
		s.run(simulated)
		if s.violation != "" {
			t.Fatal(s.violation)
		}
	})
	// The property would hold without any assignment. Fixed schedules show that there are many,
	// whatever the number of random ones.
	losses, moves := 0, 0
	for seed := range uint64(50) {
		s := newSim(seed, allRules)
		s.run(simulated)
		if s.violation != "" {
			t.Fatalf("seed %d: %s", seed, s.violation)
		}
		losses, moves = losses+s.losses, moves+s.moves
	}
	if losses < 50 || moves < 50 {
		t.Errorf("50 schedules held only %d reassignments after a loss and %d moves", losses, moves)
	}
	t.Logf("50 schedules held %d reassignments after a loss and %d moves", losses, moves)
}

// Guards against a property test that passes whatever the package does: without any one of its
// rules, some schedule lets two runs send at once. Each search begins at a seed that was seen to
// show it, and goes on from there when a change of the model has moved the schedule.
func TestEachRuleIsNeeded(t *testing.T) {
	seeds := map[rule]uint64{
		holderDrift: 129, leaderDrift: 129, quorumDrift: 192, countFromSent: 68, grantWithinQuorum: 57, ownTermFirst: 117,
		newLeaderWaits: 1, applyFirst: 52, fenceReassigned: 360, runsDiffer: 8, drainFirst: 36,
	}
	for without, seed := range seeds {
		t.Run(string(without), func(t *testing.T) {
			const schedules = 600
			for i := range uint64(schedules) {
				s := newSim(seed+i, without)
				s.run(simulated)
				if s.violation != "" {
					t.Logf("seed %d: %s", seed+i, s.violation)
					return
				}
			}
			t.Errorf("no violation in %d schedules", schedules)
		})
	}
}
