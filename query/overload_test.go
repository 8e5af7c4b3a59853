package query

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"fulmarfall/ident"
)

// runOverload runs a search every 10 ms on a planner whose admission grace period is over. full reports whether a shard
// rejects an attempt at a given time. It returns which searches were admitted, and the last refusal.
func runOverload(t *testing.T, coverage float64, d time.Duration, full func(now time.Time, shard int) bool) (admitted []bool, last *Refusal) {
	t.Helper()

	const (
		shards   = 20
		interval = 10 * time.Millisecond
	)

	p := newDirectSimulation(t, shards, 1, 0, 0).planner
	c := fixedCatalog{directCatalog(shards, 1)}
	now := epoch.Add(-admissionGrace - time.Second)
	p.Start(now, searchAt(now, coverage), c)

	for now = epoch; now.Before(epoch.Add(d)); now = now.Add(interval) {
		q, actions := p.Start(now, searchAt(now, coverage), c)
		sends, finish := sendsOf(actions)
		admitted = append(admitted, len(sends) > 0)

		if len(sends) == 0 {
			if finish == nil || finish.Refusal == nil {
				t.Fatalf("search neither sent nor refused")
			}

			last = finish.Refusal
		}

		for len(sends) > 0 {
			s := sends[0]
			reply := answer(s)

			var shard int
			if _, err := fmt.Sscanf(string(s.Shard), "s%d", &shard); err != nil {
				t.Fatalf("shard %s: %v", s.Shard, err)
			}

			if full(now, shard) {
				reply.Status, reply.Reason, reply.Sent = StatusNotStarted, ident.ReasonOverloaded, false
			}

			p.AttemptEnded(now, s.Searcher, now, ResultUnused)
			more, _ := sendsOf(q.Reply(now.Add(time.Millisecond), reply))
			sends = append(sends[1:], more...)
		}
	}

	return admitted, last
}

func searchAt(now time.Time, coverage float64) Request {
	r := partsRequest(0, coverage)
	r.Deadline, r.Target = now.Add(time.Second), now.Add(100*time.Millisecond)

	return r
}

func trueFraction(list []bool) float64 {
	n := 0
	for _, ok := range list {
		if ok {
			n++
		}
	}

	return float64(n) / float64(len(list))
}

// While a few shards reject most searches, fewer searches must be sent to all shards. Searches that can do without these
// shards must not be refused, and refusals must end when the searchers recover or when load is not the cause.
func TestOverloadedShards(t *testing.T) {
	always := func(time.Time, int) bool { return true }
	between := func(low, high time.Duration) func(time.Time, int) bool {
		return func(now time.Time, _ int) bool {
			return !now.Before(epoch.Add(low)) && now.Before(epoch.Add(high))
		}
	}

	for name, tc := range map[string]struct {
		coverage   float64
		overloaded int
		full       func(time.Time, int) bool
		from, to   time.Duration
		low, high  float64 // admitted fraction between from and to
	}{
		"no shard full":                   {1, 0, always, 0, 2 * time.Second, 1, 1},
		"two full, both needed":           {1, 2, always, time.Second, 2 * time.Second, 0.1, 0.4},
		"two full, one needed":            {0.95, 2, always, time.Second, 2 * time.Second, 0.1, 0.4},
		"two full, none needed":           {0.9, 2, always, 0, 2 * time.Second, 1, 1},
		"two full, then recovered":        {1, 2, between(0, 2*time.Second), 5 * time.Second, 6 * time.Second, 1, 1},
		"refusing searches has no effect": {1, 2, always, 5 * time.Second, 6 * time.Second, 1, 1},
		"few attempts rejected":           {1, 2, func(now time.Time, _ int) bool { return now.UnixMilli()/10%10 == 0 }, time.Second, 3 * time.Second, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			admitted, refusal := runOverload(t, tc.coverage, tc.to, func(now time.Time, shard int) bool {
				return shard < tc.overloaded && tc.full(now, shard)
			})

			if got := trueFraction(admitted[tc.from/(10*time.Millisecond):]); got < tc.low || got > tc.high {
				t.Errorf("admitted fraction %.2f, want %v to %v", got, tc.low, tc.high)
			}

			if refusal != nil && (refusal.Outcome != ident.OutcomeNotRun || refusal.RetryAfter < overloadRetryAfter/2 || refusal.RetryAfter > ident.RetryAfter(time.Second/3)) {
				t.Errorf("refused with outcome %s and retry-after %v", refusal.Outcome, time.Duration(refusal.RetryAfter))
			}
		})
	}
}

// A newly started node must not refuse searches because its first ones found no free connection.
func TestAdmissionGrace(t *testing.T) {
	var a admissionControl

	for now := epoch; now.Before(epoch.Add(admissionGrace)); now = now.Add(admissionInterval) {
		if a.update(now, 1); a.refusedFraction > 0 {
			t.Fatalf("fraction %.2f of searches refused %v after the first one", a.refusedFraction, now.Sub(epoch))
		}
	}
}

// The number of tracked shard losses must stay bounded.
func TestLossesAreBounded(t *testing.T) {
	p := NewPlanner(WithDirectSends(0, 0, time.Second), WithSearcherCapacity(8))

	for i := range 100 {
		q := &Query{p: p, snapshot: &Snapshot{Shards: []Shard{{ID: ident.ShardID(fmt.Sprint(i))}, {ID: "x"}}}}
		q.shards = []shardState{{phase: shardMissing, reason: ident.ReasonOverloaded}, {phase: shardAnswered}}
		q.recordLosses(epoch)
	}

	if len(p.losses) > 8 {
		t.Errorf("losses of %d shards stored, want at most 8", len(p.losses))
	}
}

// A caller that was refused once and returns does not come a third time, so returning callers must be admitted first, within
// the fraction of all searches that the searchers can serve: admitting all of them while the overload lasts would fill the
// searchers again. Refused callers must be spread over the time that they can wait, a third of what they have left, because a
// burst of 3 s outlasts retries after 0.3 s.
func TestReturningCallersGoFirst(t *testing.T) {
	type fractions struct{ First, Repeated, All float64 }

	for name, tc := range map[string]struct {
		repeatedEvery int // one in so many searches is repeated
		refused       float64
		want          fractions
	}{
		"half refused, a quarter returns":      {4, 0.5, fractions{1.0 / 3, 1, 0.5}},
		"half refused, one in ten returns":     {10, 0.5, fractions{4.0 / 9, 1, 0.5}},
		"four fifths refused, half returns":    {2, 0.8, fractions{0, 0.4, 0.2}},
		"four fifths refused, a tenth returns": {10, 0.8, fractions{1.0 / 9, 1, 0.2}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newDirectSimulation(t, 20, 1, 0, 0).planner
			c := fixedCatalog{directCatalog(20, 1)}
			p.admission = admissionControl{refusedFraction: tc.refused, adjustedAt: epoch, noReductionBefore: epoch}

			var (
				admitted, seen   [2]float64
				earliest, latest time.Duration
			)

			for i := range 4000 {
				r := searchAt(epoch, 1)
				r.Deadline = epoch.Add(4 * time.Second)
				r.Repeated = i%tc.repeatedEvery == 0

				kind := 0
				if r.Repeated {
					kind = 1
				}

				_, actions := p.Start(epoch, r, c)
				_, finish := sendsOf(actions)

				switch {
				case i < 1000: // The fraction of repeated searches is not known yet.
					continue
				case finish == nil:
					admitted[kind]++
				default:
					after := time.Duration(finish.Refusal.RetryAfter)
					if earliest == 0 || after < earliest {
						earliest = after
					}

					latest = max(latest, after)
				}

				seen[kind]++
			}

			got := fractions{admitted[0] / seen[0], admitted[1] / seen[1], (admitted[0] + admitted[1]) / (seen[0] + seen[1])}
			if diff := cmp.Diff(tc.want, got, cmpopts.EquateApprox(0, 0.08)); diff != "" {
				t.Errorf("admitted fractions differ (-want +got):\n%s", diff)
			}

			if earliest < time.Duration(overloadRetryAfter) || latest > 4*time.Second/3 || latest < time.Second {
				t.Errorf("refused callers return after %v to %v, want %v to 1.33 s", earliest, latest, time.Duration(overloadRetryAfter))
			}
		})
	}
}
