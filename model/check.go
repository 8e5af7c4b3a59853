package model

import (
	"fulmarfall/ident"
	"fulmarfall/query"
)

// Check names a bound that a report has to meet.
type Check string

// The checks, with the bounds that they test.
const (
	CheckTail          Check = "tail_75_ms"       // 99 of 100 answers arrive within 75 ms at fan-out 55
	CheckInTime        Check = "answer_in_time"   // every request gets an answer or a refusal before its deadline
	CheckSlots         Check = "slot_limit"       // requests in flight at a searcher never exceed its slots
	CheckConnections   Check = "connection_limit" // connections to a searcher never exceed the limit that it announced
	CheckCold          Check = "cold_limit"       // starts at a cold searcher never exceed what it can sustain
	CheckNoNewWork     Check = "no_new_work"      // no new work later than 4 s after a target goes out of service or starts leaving
	CheckSnapshot      Check = "one_snapshot"     // the hits equal a naive merge of a single snapshot
	CheckCoverage      Check = "true_coverage"    // the reported coverage equals a naive recomputation
	CheckOnce          Check = "once_per_key"     // at most one run per idempotency key
	CheckExtraLoad     Check = "extra_load"       // retries and hedges stay within the budget of 5% and its burst
	CheckCrashBound    Check = "crash_bound"      // a crashing request crashes at most one searcher per region and one more
	CheckUrgent        Check = "urgent_overload"  // urgent requests keep their coverage at twice the capacity
	CheckEarlyRefusals Check = "early_refusal"    // half of the refusals arrive in the first 60% of the timeout
)

const (
	tailShare        = 0.99
	urgentCoverage   = 0.999
	refusalTimeShare = 0.6
)

// Failed returns the checks that the report fails.
func (r Report) Failed() []Check {
	var failed []Check
	require := func(c Check, ok bool) {
		if !ok {
			failed = append(failed, c)
		}
	}

	require(CheckInTime, r.Unanswered == 0)
	require(CheckSlots, r.OverSlots <= 0)
	require(CheckConnections, r.OverConnections <= 0)
	require(CheckCold, r.ColdOvershoot == 0 && r.FellOver == 0)
	require(CheckNoNewWork, r.LateStarts == 0)
	require(CheckSnapshot, r.MixedSnapshots == 0)
	require(CheckCoverage, r.WrongCoverages == 0)
	require(CheckOnce, r.MostRunsPerKey <= 1)
	require(CheckExtraLoad, r.extraLoadWithinBound())
	switch r.Experiment.Situation {
	case FanOut:
		require(CheckTail, r.Within75 >= tailShare)
	case CrashingRequest:
		size, _ := sizeOf(r.Experiment.Size)
		// Callers send a crashing request to nodes of all regions at the same time: each region may lose one searcher
		// to its canary, and one more crashes in the exclusive run.
		require(CheckCrashBound, r.Crashed <= (size.regions()+1)*crashingRequests)
	case Overload:
		size, _ := sizeOf(r.Experiment.Size)
		timeout := float64(size.timeout.Milliseconds())
		if t := r.Experiment.TimeoutMillis; t > 0 {
			timeout = float64(t)
		} else {
			u := r.Classes[ident.ClassUrgent.String()]
			require(CheckUrgent, u.Answers == u.Queries && u.MeanCoverage >= urgentCoverage)
		}
		require(CheckEarlyRefusals, r.RefusalP50 <= refusalTimeShare*timeout)
	default:
	}

	return failed
}

// extraLoadWithinBound bounds the extra runs at searchers and, in situations where every attempt is charged to the
// budget, the extra attempts too. An attempt after a refusal unrelated to load (leaving, out of service, unreachable)
// is not charged.
func (r Report) extraLoadWithinBound() bool {
	size, _ := sizeOf(r.Experiment.Size)
	burst := float64(size.nodes*query.DefaultBudgetBurst) / float64(max(1, r.FirstSent))
	bound := query.DefaultBudgetRatio + burst
	switch r.Experiment.Situation {
	case Steady, Stragglers, TurnsCold, Overload, FanOut:
		return r.ExtraSent <= bound && r.ExtraStarted <= bound
	default:
		return r.ExtraStarted <= bound
	}
}
