// This file checks the rules of the design over random schedules. A failure prints the seed to repeat it with.

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

// drawFate draws the end of one attempt; calm is the percentage of attempts that simply succeed.
func drawFate(t *rapid.T, calm int) fate {
	f := fate{status: StatusOK, delay: time.Duration(rapid.IntRange(100, 9000).Draw(t, "delay")) * time.Microsecond}
	if rapid.IntRange(0, 99).Draw(t, "luck") < calm {
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
		f.wrong = rapid.IntRange(1, 5).Draw(t, "wrong")
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

// toggle makes one replica usable or not, in a new value of the upstream.
func toggle(u *Upstream, snapshot, shard, replica int) *Upstream {
	c := &Upstream{Snapshots: slices.Clone(u.Snapshots)}
	s := &c.Snapshots[snapshot%len(c.Snapshots)]
	s.Shards = slices.Clone(s.Shards)
	sh := &s.Shards[shard%len(s.Shards)]
	sh.Replicas = slices.Clone(sh.Replicas)
	r := &sh.Replicas[replica%len(sh.Replicas)]
	r.Usable = !r.Usable

	return c
}

// Guards, under loss, delay, duplicates, reordering, crashes, replies that belong elsewhere, refusals, split and dropped
// snapshots and searchers that come and go, against: answers from two snapshots, untrue coverage, answers of another
// request, second runs of a request that is not idempotent, not_run after a run, extra load over the budget, no or
// several ends of a query, ends after the deadline, and attempts that stay counted as in flight.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const burst = 3
		calm := rapid.SampledFrom([]int{0, 50, 80, 95}).Draw(t, "calm")
		w := newWorld(t, rapid.IntRange(1, 3).Draw(t, "snapshots"), rapid.IntRange(1, 5).Draw(t, "shards"),
			rapid.IntRange(1, 3).Draw(t, "replicas"), WithBudget(DefaultBudgetRatio, burst), WithHarmlessCapacity(4),
			WithSearcherCapacity(8), WithChoice(rapid.SampledFrom([]Choice{FullComparison, TwoRandom}).Draw(t, "choice")),
			WithRandom(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		w.standing = rapid.SampledFrom([]Standing{StandingNone, StandingNone, StandingSuspected, StandingConvicted}).Draw(t, "standing")
		if rapid.Bool().Draw(t, "latency known") {
			w.warm(Request{})
		}
		w.draw = func(*world, *Send) fate { return drawFate(t, calm) }
		known := rapid.IntRange(1, len(w.upstream.Snapshots)).Draw(t, "known")
		w.coming, w.upstream = w.upstream.Snapshots[known:], &Upstream{Snapshots: w.upstream.Snapshots[:known:known]}
		w.shake = func() {
			switch n := rapid.IntRange(0, 399).Draw(t, "shake"); {
			case n < 20:
				w.upstream = toggle(w.upstream, n, n/2, n/3)
			case n < 40 && len(w.coming) > 0:
				w.dropped = w.coming[0].ID - 1
				old := w.upstream.Snapshots
				if n%2 == 0 {
					old = nil // the registry forgets them as well
				}
				w.upstream = &Upstream{Snapshots: append(slices.Clone(old), w.coming[0])}
				w.coming = w.coming[1:]
			}
		}
		for range rapid.IntRange(1, 4).Draw(t, "rounds") {
			before := len(w.queries)
			for i := range rapid.IntRange(1, 3).Draw(t, "queries") {
				w.start(drawRequest(t, w.now, before+i))
			}
			if rapid.IntRange(0, 9).Draw(t, "abandon") == 0 {
				w.act(before, w.queries[before].q.Abandon(w.now))
			}
			w.run()
		}
		for _, qt := range w.queries {
			w.checkFinish(qt)
		}
		if limit := DefaultBudgetRatio*float64(w.firsts) + burst; float64(w.extras) > limit {
			t.Fatalf("%d hedges and paid retries for %d first attempts, limit %.1f", w.extras, w.firsts, limit)
		}
		for id, l := range w.planner.searchers {
			if l.inFlight != 0 {
				t.Fatalf("%d attempts on %s stay in flight", l.inFlight, id)
			}
		}
	})
}
