package query

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fulmarfall/ident"
)

// drawOutcome draws the outcome of one attempt. successPercent is the percentage of attempts that succeed without a fault.
func drawOutcome(t *rapid.T, successPercent int) outcome {
	f := outcome{status: StatusOK, delay: time.Duration(rapid.IntRange(100, 9000).Draw(t, "delay")) * time.Microsecond}
	if rapid.IntRange(0, 99).Draw(t, "success") < successPercent {
		return f
	}
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0:
		f.lost = true
	case 1:
		f.delay *= 15
	case 2:
		f.copies = 2
	case 3:
		f.mismatch = rapid.IntRange(1, 5).Draw(t, "wrong")
	case 4:
		f.status = StatusSnapshotGone
	case 5:
		f.status = StatusCrashed
	case 6:
		f.status = rapid.SampledFrom([]Status{StatusLost, StatusTimedOut, StatusFailed}).Draw(t, "status")
	default:
		f.status = StatusNotStarted
		f.reason = rapid.SampledFrom([]ident.Reason{
			ident.ReasonShed, ident.ReasonCold, ident.ReasonOverloaded, ident.ReasonLeaving, ident.ReasonUnreachable,
			ident.ReasonSuspected, ident.ReasonConvicted, "",
		}).Draw(t, "reason")
	}

	return f
}

func drawRequest(t *rapid.T, now time.Time, n int) Request {
	timeout := time.Duration(rapid.IntRange(1, 80).Draw(t, "timeout")) * time.Millisecond
	r := search(fmt.Sprintf("q%d", n), now.Sub(epoch)+timeout)
	r.Limit = rapid.IntRange(0, 20).Draw(t, "limit")
	r.MinCoverage = rapid.SampledFrom([]float64{0, 0, 0.5, 1}).Draw(t, "min_coverage")
	r.Fingerprint = ident.Fingerprint(rapid.IntRange(0, 3).Draw(t, "fingerprint"))
	if rapid.IntRange(0, 4).Draw(t, "execute") == 0 {
		r.Operation, r.Shard = OperationExecute, ident.ShardID(fmt.Sprintf("s%d", rapid.IntRange(0, 5).Draw(t, "shard")))
	}

	return r
}

// toggleReplica returns a copy of the upstream with the usability of one replica inverted.
func toggleReplica(u *Upstream, snapshot, shard, replica int) *Upstream {
	c := &Upstream{Snapshots: slices.Clone(u.Snapshots)}
	s := &c.Snapshots[snapshot%len(c.Snapshots)]
	s.Shards = slices.Clone(s.Shards)
	sh := &s.Shards[shard%len(s.Shards)]
	sh.Replicas = slices.Clone(sh.Replicas)
	r := &sh.Replicas[replica%len(sh.Replicas)]
	r.Usable = !r.Usable

	return c
}

// Runs random schedules with loss, delay, duplicated, reordered and misdirected replies, crashes, refusals, split and
// dropped snapshots, and searchers that join and leave. No query may mix two snapshots, report a wrong coverage, return
// the answer of another request, run a non-idempotent request twice, report not_run after a run, exceed the budget for
// extra load, finish never, twice or after its deadline, or leave attempts counted as in flight.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const burst = 3
		successPercent := rapid.SampledFrom([]int{0, 50, 80, 95}).Draw(t, "success percent")
		sim := newSimulation(t, rapid.IntRange(1, 3).Draw(t, "snapshots"), rapid.IntRange(1, 5).Draw(t, "shards"),
			rapid.IntRange(1, 3).Draw(t, "replicas"), WithBudget(DefaultBudgetRatio, burst), WithHarmlessCapacity(4),
			WithSearcherCapacity(8), WithReplicaPolicy(rapid.SampledFrom([]ReplicaPolicy{LowestCost, TwoRandomChoices}).Draw(t, "policy")),
			WithRandom(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		sim.standing = rapid.SampledFrom([]Standing{StandingNone, StandingNone, StandingSuspected, StandingConvicted}).Draw(t, "standing")
		if rapid.Bool().Draw(t, "latency known") {
			sim.warmUp(Request{})
		}
		sim.drawOutcome = func(*simulation, *Send) outcome { return drawOutcome(t, successPercent) }
		known := rapid.IntRange(1, len(sim.upstream.Snapshots)).Draw(t, "known")
		sim.upcoming, sim.upstream = sim.upstream.Snapshots[known:], &Upstream{Snapshots: sim.upstream.Snapshots[:known:known]}
		sim.changeCatalog = func() {
			switch n := rapid.IntRange(0, 399).Draw(t, "catalog change"); {
			case n < 20:
				sim.upstream = toggleReplica(sim.upstream, n, n/2, n/3)
			case n < 40 && len(sim.upcoming) > 0:
				sim.dropped = sim.upcoming[0].ID - 1
				old := sim.upstream.Snapshots
				if n%2 == 0 {
					old = nil // the registry drops the old snapshots as well
				}
				sim.upstream = &Upstream{Snapshots: append(slices.Clone(old), sim.upcoming[0])}
				sim.upcoming = sim.upcoming[1:]
			}
		}
		for range rapid.IntRange(1, 4).Draw(t, "rounds") {
			before := len(sim.queries)
			for i := range rapid.IntRange(1, 3).Draw(t, "queries") {
				sim.start(drawRequest(t, sim.now, before+i))
			}
			if rapid.IntRange(0, 9).Draw(t, "abandon") == 0 {
				sim.apply(before, sim.queries[before].q.Abandon(sim.now))
			}
			sim.run()
		}
		for _, qr := range sim.queries {
			sim.checkFinish(qr)
		}
		if limit := DefaultBudgetRatio*float64(sim.firstAttempts) + burst; float64(sim.extraAttempts) > limit {
			t.Fatalf("%d hedges and paid retries for %d first attempts, limit %.1f", sim.extraAttempts, sim.firstAttempts, limit)
		}
		for id, l := range sim.planner.searchers {
			if l.inFlight != 0 {
				t.Fatalf("%d attempts on %s still counted as in flight", l.inFlight, id)
			}
		}
	})
}
