package model

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// run simulates an experiment in a parallel test, with defaults for size, version and seed.
func run(t *testing.T, e Experiment) Report {
	t.Helper()
	t.Parallel()
	if e.Size == "" {
		e.Size = Kilimanjaro
	}
	if e.Version == "" {
		e.Version = Product
	}
	if e.Seed == 0 {
		e.Seed = 1
	}

	return Run(e)
}

// Guards against a violation of any check in any situation: work beyond the slots, the connections or the cold limit
// of a searcher, new work at a target that is out of service or leaving, answers from two snapshots, wrong coverage,
// a second run for an idempotency key, retries beyond the budget, more crashed searchers than the bound, and a tail
// latency above the target at fan-out 55.
func TestProductPassesEveryCheck(t *testing.T) {
	// Each run is as short as the events of its situation allow, because CI runs them under the race detector.
	experiments := []Experiment{
		{Situation: Steady, MeasuredMillis: 500},
		{Situation: Stragglers, MeasuredMillis: 700},
		{Situation: DomainOut, MeasuredMillis: 7000, LoadFactor: 0.3},
		{Size: Cluj, Situation: DomainOut, MeasuredMillis: 7000, LoadFactor: 0.3},
		{Situation: Leaving, MeasuredMillis: 8000, LoadFactor: 0.3},
		{Situation: ShardCold, MeasuredMillis: 3500, LoadFactor: 0.6},
		{Situation: ReplicaLost, MeasuredMillis: 1500},
		{Situation: TurnsCold, MeasuredMillis: 1500},
		{Situation: CrashingRequest, MeasuredMillis: 4500, LoadFactor: 0.3},
		{Size: Cluj, Situation: CrashingRequest, MeasuredMillis: 4500, LoadFactor: 0.3},
		{Situation: Overload, MeasuredMillis: 200},
		{Situation: Overload, MeasuredMillis: 150, TimeoutMillis: 80},
		{Situation: SnapshotChange, MeasuredMillis: 5000, LoadFactor: 0.3},
		{Situation: FanOut, MeasuredMillis: 25},
	}
	for _, e := range experiments {
		t.Run(fmt.Sprintf("%s/%s/%d", e.Size, e.Situation, e.TimeoutMillis), func(t *testing.T) {
			r := run(t, e)
			if failed := r.Failed(); len(failed) > 0 {
				t.Errorf("checks failed: %v\n%+v", failed, r)
			}
			if r.Queries == 0 || r.Answers == 0 {
				t.Errorf("the run measured nothing: %+v", r)
			}
		})
	}
}

// Guards against checks that pass whatever the code does: each must fail for the naive version or without the
// mechanism that it covers.
func TestChecksFail(t *testing.T) {
	tests := map[string]struct {
		e    Experiment
		want []Check
	}{
		"naive, stragglers": {
			Experiment{Version: Naive, Situation: Stragglers, MeasuredMillis: 2000},
			[]Check{CheckInTime, CheckSlots, CheckConnections},
		},
		"naive, domain out": {
			Experiment{Version: Naive, Situation: DomainOut, MeasuredMillis: 6000, LoadFactor: 0.5}, []Check{CheckNoNewWork, CheckOnce},
		},
		"naive, shard cold":        {Experiment{Version: Naive, Situation: ShardCold, MeasuredMillis: 4000}, []Check{CheckCold}},
		"naive, snapshot change":   {Experiment{Version: Naive, Situation: SnapshotChange, MeasuredMillis: 3000}, []Check{CheckSnapshot}},
		"naive, crashing request":  {Experiment{Version: Naive, Situation: CrashingRequest, MeasuredMillis: 2000}, []Check{CheckCrashBound}},
		"naive, overload":          {Experiment{Version: Naive, Situation: Overload, MeasuredMillis: 300}, []Check{CheckUrgent}},
		"naive, fan-out":           {Experiment{Version: Naive, Situation: FanOut, MeasuredMillis: 60, LoadFactor: 0.3}, []Check{CheckTail}},
		"no hedges, fan-out":       {Experiment{Without: []Mechanism{Hedging}, Situation: FanOut, MeasuredMillis: 90, LoadFactor: 0.5}, []Check{CheckTail}},
		"no canary":                {Experiment{Without: []Mechanism{Canary}, Situation: CrashingRequest, MeasuredMillis: 2000, LoadFactor: 0.4}, []Check{CheckCrashBound}},
		"no cold gate":             {Experiment{Without: []Mechanism{ColdGate}, Situation: ShardCold, MeasuredMillis: 3500}, []Check{CheckCold}},
		"no deadline queue":        {Experiment{Without: []Mechanism{DeadlineQueue}, Situation: Overload, MeasuredMillis: 200}, []Check{CheckUrgent}},
		"no early partial answers": {Experiment{Without: []Mechanism{EarlyPartial}, Situation: Overload, MeasuredMillis: 200}, []Check{CheckInTime}},
		"no budget":                {Experiment{Without: []Mechanism{Budget}, Situation: Overload, MeasuredMillis: 100}, []Check{CheckExtraLoad}},
		"no early refusal": {
			Experiment{Without: []Mechanism{EarlyRefusal}, Situation: Overload, TimeoutMillis: 80, MeasuredMillis: 150},
			[]Check{CheckEarlyRefusals},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			// At the default capacity, admission refuses the load before it reaches the mechanisms behind it.
			tc.e.NodeCapacity = 256

			r := run(t, tc.e)
			for _, c := range tc.want {
				if !slices.Contains(r.Failed(), c) {
					t.Errorf("check %s passes; failed checks: %v\n%+v", c, r.Failed(), r)
				}
			}
		})
	}
}

// Guards against a naive merge that would not reveal a missing shard.
func TestNaiveMergeDetectsMissingShard(t *testing.T) {
	u := &upstream{upstreamSpec: upstreamSpec{shards: 6}}
	d := newSnapshotData(1, u, false)
	all, without := make([]bool, 6), make([]bool, 6)
	for i := range all {
		all[i], without[i] = true, i != 3
	}
	if cmp.Equal(d.naiveMerge(all), d.naiveMerge(without)) {
		t.Error("the merge without a shard equals the merge with it")
	}
}

// Guards against runs that do not repeat: the same seed must give the same report.
func TestRunIsReproducible(t *testing.T) {
	for _, s := range []Situation{CrashingRequest, SnapshotChange} {
		t.Run(string(s), func(t *testing.T) {
			e := Experiment{Situation: s, MeasuredMillis: 1200, LoadFactor: 0.3}
			first := run(t, e)
			if diff := cmp.Diff(first, Run(first.Experiment)); diff != "" {
				t.Errorf("two runs differ (-first +second):\n%s", diff)
			}
		})
	}
}
