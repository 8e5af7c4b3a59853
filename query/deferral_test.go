package query

import (
	"testing"
	"time"

	"fulmarfall/ident"

	"github.com/google/go-cmp/cmp"
)

// deferralPlay runs one search over ten shards with one searcher each. The searcher of shard 0 rejects every attempt before
// fullFor has passed; the others answer after a millisecond.
func deferralPlay(t *testing.T, r Request, slack float64, fullFor time.Duration, reply ShardReply) (attempts int, end time.Duration, f *Finish) {
	t.Helper()

	type event struct {
		at   time.Time
		send *Send
	}

	p := newDirectSimulation(t, 10, 1, 0, slack).planner
	q, actions := p.Start(epoch, r, fixedCatalog{directCatalog(10, 1)})

	var (
		events []event
		now    = epoch
	)

	for {
		sends, finish := sendsOf(actions)
		for _, s := range sends {
			if s.Shard == "s0" {
				attempts++
			}

			events = append(events, event{now.Add(time.Millisecond), s})
		}

		if finish != nil {
			return attempts, now.Sub(epoch), finish
		}

		if at, _ := q.NextTick(); len(events) == 0 || at.Before(events[0].at) {
			now, actions = at, q.Tick(at)

			continue
		}

		e := events[0]
		now, events = e.at, events[1:]
		answered := answer(e.send)

		if e.send.Shard == "s0" && now.Before(epoch.Add(fullFor)) {
			reply.Request, reply.Attempt, reply.Shard, reply.Snapshot = e.send.Request, e.send.Attempt, e.send.Shard, e.send.Snapshot
			answered = reply
		}

		p.AttemptEnded(now, e.send.Searcher, now, ResultAnswered)
		actions = q.Reply(now, answered)
	}
}

// A search over many shards must not fail because one searcher rejects it for a moment while the others have answered: a
// burst fills single searchers for fractions of a second, and the deadline is ten times later. Nor may deferred attempts
// exceed the retry budget, the attempts of the route, or the deadline.
func TestDeferredShard(t *testing.T) {
	type result struct {
		Answered bool
		Reason   ident.Reason
		Outcome  ident.Outcome
		// Retried is set if shard 0 was asked more than once.
		Retried bool
	}

	shed := ShardReply{Status: StatusNotStarted, Reason: ident.ReasonShed, Sent: true}

	for name, tc := range map[string]struct {
		fullFor     time.Duration
		slack       float64
		reply       ShardReply
		maxAttempts int
		want        result
	}{
		"full for 100 ms": {
			100 * time.Millisecond, 100, shed, 2, result{Answered: true, Retried: true},
		},
		"full until the deadline": {
			time.Hour, 100, shed, 2, result{Reason: ident.ReasonLowCoverage, Outcome: ident.OutcomeUnknown, Retried: true},
		},
		"no retry budget": {
			100 * time.Millisecond, 0, shed, 2, result{Reason: ident.ReasonLowCoverage, Outcome: ident.OutcomeUnknown},
		},
		"attempts exhausted": {
			100 * time.Millisecond, 100,
			ShardReply{Status: StatusLost, Reason: ident.ReasonUnreachable, Sent: true},
			1,
			result{Reason: ident.ReasonLowCoverage, Outcome: ident.OutcomeUnknown},
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := partsRequest(time.Second, 1)
			r.MaxAttempts = tc.maxAttempts
			attempts, end, f := deferralPlay(t, r, tc.slack, tc.fullFor, tc.reply)
			got := result{Answered: f.Answer != nil, Retried: attempts > 1}

			if f.Refusal != nil {
				got.Reason, got.Outcome = f.Refusal.Reason, f.Refusal.Outcome
			}

			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("result differs (-want +got):\n%s", diff)
			}

			if limit := tc.fullFor + 2*maxDeferralDelay; got.Answered && end > limit {
				t.Errorf("answered after %v, want at most %v", end, limit)
			}
		})
	}
}

// A request that no searcher has seen must be refused at once as not run, so that its caller can try another entry VM. A
// caller that returns after a refusal does not come again, and its request is tried until its deadline.
func TestUnseenRequestIsDeferredOnlyIfRepeated(t *testing.T) {
	for name, repeated := range map[string]bool{"first try": false, "repeated": true} {
		t.Run(name, func(t *testing.T) {
			p := newDirectSimulation(t, 1, 1, 0, 100).planner
			r := partsRequest(time.Second, 1)
			r.Repeated = repeated
			q, actions := p.Start(epoch, r, fixedCatalog{directCatalog(1, 1)})
			sends, _ := sendsOf(actions)
			reply := answer(sends[0])
			reply.Status, reply.Reason, reply.Sent = StatusNotStarted, ident.ReasonShed, true
			_, finish := sendsOf(q.Reply(epoch.Add(time.Millisecond), reply))

			if refused := finish != nil && finish.Refusal != nil && finish.Refusal.Outcome == ident.OutcomeNotRun; refused == repeated {
				t.Errorf("refused as not run: %v, want %v", refused, !repeated)
			}
		})
	}
}
