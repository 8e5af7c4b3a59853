package query

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fulmarfall/ident"
)

// newDirectSimulation returns a simulation whose planner uses direct sends.
func newDirectSimulation(t *testing.T, shards, replicas int, ratio, slack float64) *simulation {
	sim := newSimulation(t, 1, shards, replicas)
	sim.planner = NewPlanner(WithNode("n0", "d0", "r0"), WithDirectSends(ratio, slack, 10*time.Second))

	return sim
}

func directCatalog(shards, replicas int) *Upstream {
	u := &Upstream{Snapshots: []Snapshot{{ID: 1}}}
	for s := range shards {
		sh := Shard{ID: ident.ShardID(fmt.Sprintf("s%d", s)), Documents: 1}
		for r := range replicas {
			sh.Replicas = append(sh.Replicas, Replica{
				Searcher: ident.SearcherID(fmt.Sprintf("s%d-%d", s, r)), FailureDomain: "d0", Region: "r0", Usable: true, Slots: 2,
			})
		}

		u.Snapshots[0].Shards = append(u.Snapshots[0].Shards, sh)
	}

	return u
}

type fixedCatalog struct{ u *Upstream }

func (c fixedCatalog) Upstream(ident.UpstreamID) *Upstream { return c.u }
func (fixedCatalog) Standing(ident.Fingerprint) (Standing, time.Time) {
	return StandingNone, time.Time{}
}

func sendsOf(actions []Action) (sends []*Send, finish *Finish) {
	for _, a := range actions {
		switch a := a.(type) {
		case *Send:
			sends = append(sends, a)
		case *Finish:
			finish = a
		case *Cancel:
		}
	}

	return sends, finish
}

func answer(s *Send) ShardReply {
	return ShardReply{Request: s.Request, Attempt: s.Attempt, Shard: s.Shard, Snapshot: s.Snapshot, Status: StatusOK, Sent: true}
}

func partsRequest(target time.Duration, coverage float64) Request {
	r := Request{ID: "q", Upstream: "u", Operation: OperationSearch, Deadline: epoch.Add(time.Second), MinCoverage: coverage, MaxAttempts: 2, Parts: true}
	if target > 0 {
		r.Target = epoch.Add(target)
	}

	return r
}

// An answer must not wait for missing shards beyond the target if it covers enough, and must not be sent at the target if
// it covers too little.
func TestPartialAnswerAtTarget(t *testing.T) {
	for name, tc := range map[string]struct {
		coverage float64
		late     int
		want     time.Duration
		missing  int
	}{
		"one late shard, not required":            {0.89, 1, 100 * time.Millisecond, 1},
		"two late shards, one required":           {0.89, 2, 300 * time.Millisecond, 1},
		"no late shard":                           {0.89, 0, 5 * time.Millisecond, 0},
		"one late shard, required":                {1, 1, 300 * time.Millisecond, 0},
		"late shard needed to reach the coverage": {0.95, 1, 300 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			p := newDirectSimulation(t, 10, 1, 0, 0).planner
			q, actions := p.Start(epoch, partsRequest(100*time.Millisecond, tc.coverage), fixedCatalog{directCatalog(10, 1)})
			sends, _ := sendsOf(actions)

			type event struct {
				at   time.Time
				send *Send
			}

			var events []event
			for i, s := range sends {
				at := epoch.Add(5 * time.Millisecond)
				if i < tc.late {
					at = epoch.Add(time.Duration(300+100*i) * time.Millisecond)
				}

				events = append(events, event{at, s})
			}

			slices.SortStableFunc(events, func(a, b event) int { return a.at.Compare(b.at) })

			now := epoch

			var finish *Finish
			for finish == nil {
				tick, _ := q.NextTick()
				if len(events) > 0 && !events[0].at.After(tick) {
					now = events[0].at
					_, finish = sendsOf(q.Reply(now, answer(events[0].send)))
					events = events[1:]

					continue
				}

				now = tick
				_, finish = sendsOf(q.Tick(now))
			}

			if finish.Answer == nil {
				t.Fatalf("refused: %+v", finish.Refusal)
			}

			if got := now.Sub(epoch); got != tc.want || len(finish.Answer.Coverage.Missing) != tc.missing {
				t.Errorf("answer after %v with %d shards missing, want %v and %d", got, len(finish.Answer.Coverage.Missing), tc.want, tc.missing)
			}

			if diff := cmp.Diff(10-tc.missing, len(finish.Answer.Parts)); diff != "" {
				t.Errorf("number of parts differs (-want +got):\n%s", diff)
			}
		})
	}
}

// No more searchers may run a request than MaxAttempts allows, and attempts that a searcher did not run must not count
// against that limit.
func TestMaxAttempts(t *testing.T) {
	for name, tc := range map[string]struct {
		reply ShardReply
		sends int
	}{
		"lost answers count":           {ShardReply{Status: StatusLost, Reason: ident.ReasonUnreachable, Sent: true}, 2},
		"rejections do not count":      {ShardReply{Status: StatusNotStarted, Reason: ident.ReasonShed, Sent: true}, 4},
		"unsent attempts do not count": {ShardReply{Status: StatusNotStarted, Reason: ident.ReasonUnreachable}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			p := newDirectSimulation(t, 1, 4, 1, 1000).planner
			q, actions := p.Start(epoch, partsRequest(0, 1), fixedCatalog{directCatalog(1, 4)})
			total := 0

			var finish *Finish

			for finish == nil {
				var sends []*Send

				sends, finish = sendsOf(actions)
				total += len(sends)
				actions = nil

				for _, s := range sends {
					r := tc.reply
					r.Request, r.Attempt, r.Shard, r.Snapshot = s.Request, s.Attempt, s.Shard, s.Snapshot
					actions = append(actions, q.Reply(epoch, r)...)
				}
			}

			if total != tc.sends {
				t.Errorf("got %d attempts, want %d", total, tc.sends)
			}

			wantOutcome := ident.OutcomeNotRun
			if tc.reply.Status == StatusLost {
				wantOutcome = ident.OutcomeUnknown
			}

			if finish.Refusal == nil || finish.Refusal.Outcome != wantOutcome {
				t.Errorf("got refusal %+v, want one with outcome %s", finish.Refusal, wantOutcome)
			}
		})
	}
}

// In any window, the hedges and retries of a shard must not exceed the ratio of first attempts plus the slack, whatever
// the pattern of requests.
func TestShardBudgetLimitInEveryWindow(t *testing.T) {
	const (
		ratio  = 0.2
		slack  = 20.0
		window = 10 * time.Second
	)

	rapid.Check(t, func(t *rapid.T) {
		p := NewPlanner(WithDirectSends(ratio, slack, window))

		type arrival struct {
			at    time.Time
			extra bool
		}

		var arrivals []arrival

		now := epoch
		for range rapid.IntRange(50, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			b := p.budgetFor(now, "s")
			b.deposit(1)
			arrivals = append(arrivals, arrival{at: now})

			for range rapid.IntRange(0, 3).Draw(t, "extra") {
				if p.budgetFor(now, "s").takeRetry(nil) {
					arrivals = append(arrivals, arrival{at: now, extra: true})
				}
			}
		}

		for i := range arrivals {
			first, extra := 0, 0

			for j := i; j < len(arrivals) && arrivals[j].at.Sub(arrivals[i].at) <= window; j++ {
				if arrivals[j].extra {
					extra++
				} else {
					first++
				}
			}

			// The bucket's content at the start of the window was earned by earlier requests. The slack in the limit covers it.
			if limit := ratio*float64(first) + slack; float64(extra) > limit {
				t.Fatalf("%d further attempts for %d first ones, limit %.1f", extra, first, limit)
			}
		}
	})
}

// Several hundred nodes receive few requests each, some of which are lost at their searcher, and each node's budget is
// below one token. The nodes must still retry lost requests and hedge slow ones, and together must not exceed the slack.
func TestBudgetBelowOneToken(t *testing.T) {
	const (
		nodes  = 300
		ratio  = 0.2
		slack  = 200.0
		window = 10 * time.Second
	)

	retry := func(b *budget, random func() float64) bool { return b.takeRetry(random) }
	hedge := func(b *budget, random func() float64) bool { return b.takeHedge(random) }

	for name, tc := range map[string]struct {
		perWindow int
		take      func(b *budget, random func() float64) bool
		minimum   float64
	}{
		"one request per window":          {1, retry, slack / 4},
		"one request per second":          {10, retry, slack / 4},
		"one request per second, hedged":  {10, hedge, (1 - shardHedgeReserve) * slack / 4},
		"ten requests per second, hedged": {100, hedge, (1 - shardHedgeReserve) * slack / 4},
	} {
		perWindow := tc.perWindow

		t.Run(name, func(t *testing.T) {
			var (
				rnd      = rand.New(rand.NewPCG(1, 1))
				planners []*Planner
				retries  [20]int
			)

			for range nodes {
				planners = append(planners, NewPlanner(WithDirectSends(ratio, slack/nodes, window)))
			}

			for w := range retries {
				for i := range perWindow {
					at := epoch.Add(time.Duration(w)*window + time.Duration(i)*window/time.Duration(perWindow))

					for _, p := range planners {
						b := p.budgetFor(at, "s")
						b.deposit(1)

						if tc.take(b, rnd.Float64) {
							retries[w]++
						}
					}
				}
			}

			for w, n := range retries {
				if limit := ratio*nodes*float64(perWindow) + slack; float64(n) > limit {
					t.Errorf("window %d: %d further attempts, limit %.0f", w, n, limit)
				}

				if w > 0 && float64(n) < tc.minimum {
					t.Errorf("window %d: %d further attempts, want at least %.0f of the slack of %.0f", w, n, tc.minimum, slack)
				}
			}
		})
	}
}

// Callers move to a node that had no load, and its first searches meet paused searchers. The node must be able to hedge
// before its load is known, and the shares of all nodes together must not exceed the slack.
func TestNewBudgetShare(t *testing.T) {
	const window = 10 * time.Second

	for name, tc := range map[string]struct {
		slack  float64
		nodes  int
		hedges bool // whether a node without load can send one hedge
	}{
		"11 nodes":                            {52, 11, true},
		"300 nodes":                           {622, 300, true},
		"too little slack for one token each": {100, 300, false},
		"one node":                            {52, 1, true},
		"no slack":                            {0, 11, false},
	} {
		t.Run(name, func(t *testing.T) {
			idle := NewPlanner(WithDirectSends(0, 0, window))
			idle.TuneDirectBudget(0.2, NewBudgetShare(tc.slack, 0, tc.nodes))

			if got := idle.budgetFor(epoch, "s").takeHedge(func() float64 { return 1 }); got != tc.hedges {
				t.Errorf("takeHedge at a node without load = %v, want %v", got, tc.hedges)
			}

			// A tenth of the nodes have all of the load, and each node uses its whole budget at the start and the end of a window.
			var used float64

			for i := range tc.nodes {
				load := 0.0
				if busy := max(tc.nodes/10, 1); i < busy {
					load = 1 / float64(busy)
				}

				p := NewPlanner(WithDirectSends(0, 0, window))
				p.TuneDirectBudget(0, NewBudgetShare(tc.slack, load, tc.nodes))

				b := p.budgetFor(epoch, "s")
				used += b.tokens
				b.tokens = 0

				used += p.budgetFor(epoch.Add(window), "s").tokens
			}

			if used > tc.slack {
				t.Errorf("%.1f further attempts in a window, limit %.1f", used, tc.slack)
			}
		})
	}
}

// Requests must avoid a searcher that has stopped answering while another one is free, and must use it again once it
// answers.
func TestStalledSearcherIsAvoided(t *testing.T) {
	p := newDirectSimulation(t, 1, 2, 1, 1000).planner
	catalog := fixedCatalog{directCatalog(1, 2)}
	run := func(at time.Time, reply bool) (ident.SearcherID, *Query, *Send) {
		r := partsRequest(0, 1)
		r.Deadline = at.Add(time.Second)
		q, actions := p.Start(at, r, catalog)
		sends, _ := sendsOf(actions)

		if reply {
			q.Reply(at.Add(5*time.Millisecond), answer(sends[0]))
			p.AttemptEnded(at.Add(5*time.Millisecond), sends[0].Searcher, at, ResultAnswered)
		}

		return sends[0].Searcher, q, sends[0]
	}

	now := epoch
	for range 20 {
		run(now, true)
		now = now.Add(20 * time.Millisecond)
	}

	stalled, q, s := run(now, false)
	sentAt := now
	now = now.Add(40 * time.Millisecond)

	for range 5 {
		if got, _, _ := run(now, true); got == stalled {
			t.Errorf("request sent to %s, which has not answered for %v", got, now.Sub(sentAt))
		}

		now = now.Add(20 * time.Millisecond)
	}

	q.Reply(now, answer(s))
	p.AttemptEnded(now, stalled, sentAt, ResultAnswered)

	used := false
	for range 200 {
		now = now.Add(20 * time.Millisecond)

		if got, _, _ := run(now, true); got == stalled {
			used = true
		}
	}

	if !used {
		t.Errorf("%s still unused 4 s after it answered", stalled)
	}
}

// The merge must not lose or reorder records. The reference sorts all complete records.
func TestTopRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 30).Draw(t, "n")

		var (
			parts [][]byte
			all   [][]byte
		)

		for range rapid.IntRange(0, 6).Draw(t, "parts") {
			body := rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 5*RecordBytes).Draw(t, "body")
			parts = append(parts, body)

			for ; len(body) >= RecordBytes; body = body[RecordBytes:] {
				all = append(all, body[:RecordBytes])
			}
		}

		slices.SortStableFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })

		want := bytes.Join(all[:min(n, len(all))], nil)
		if got := TopRecords(parts, n); !bytes.Equal(got, want) {
			t.Errorf("records differ (-want +got):\n%s", cmp.Diff(want, got))
		}
	})
}

// Hedges must be sent early enough to answer before the target, also if no latency is known or if many searchers are slow
// and the quantile is therefore high.
func TestHedgeBeforeTarget(t *testing.T) {
	// A third of the time until the target, plus the round trip to the searcher.
	latest := 90*time.Millisecond/hedgeTargetDivisor + 2*DefaultHopTimes.Near

	for name, seen := range map[string]time.Duration{"unknown latency": 0, "high quantile": 80 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			p := newDirectSimulation(t, 2, 2, 1, 1000).planner
			if seen > 0 {
				for range 2 * minLatencySamples {
					p.latencyOf(epoch, "u").observe(seen)
				}
			}

			q, _ := p.Start(epoch, partsRequest(90*time.Millisecond, 0.5), fixedCatalog{directCatalog(2, 2)})

			at, _ := q.NextTick()
			if after := at.Sub(epoch); after > latest {
				t.Fatalf("first tick %v after the start, want at most %v", after, latest)
			}

			hedges, _ := sendsOf(q.Tick(epoch.Add(latest)))
			if len(hedges) != 2 || !hedges[0].Hedge {
				t.Errorf("%d hedges after a third of the time until the target, want one for each of 2 shards", len(hedges))
			}
		})
	}
}

// A request must not be sent if a shard that it needs is known to be unreachable, must not be refused for that reason for
// longer than 500 ms, and the refusal must carry a retry-after time.
func TestUnreachableShard(t *testing.T) {
	for name, tc := range map[string]struct {
		results []AttemptResult // of the attempts at the first shard, alternating between its searchers
		after   time.Duration
		refused bool
	}{
		"each searcher refused two connections":    {[]AttemptResult{ResultNoConnection, ResultNoConnection, ResultNoConnection, ResultNoConnection}, 100 * time.Millisecond, true},
		"one searcher refused only one":            {[]AttemptResult{ResultNoConnection, ResultNoConnection, ResultNoConnection}, 100 * time.Millisecond, false},
		"one searcher answered since":              {[]AttemptResult{ResultNoConnection, ResultNoConnection, ResultNoConnection, ResultNoConnection, ResultAnswered}, 100 * time.Millisecond, false},
		"the refused connections are old":          {[]AttemptResult{ResultNoConnection, ResultNoConnection, ResultNoConnection, ResultNoConnection}, 600 * time.Millisecond, false},
		"lost answers are not refused connections": {[]AttemptResult{ResultLost, ResultLost, ResultLost, ResultLost}, 100 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newDirectSimulation(t, 2, 2, 1, 1000).planner
			catalog := fixedCatalog{directCatalog(2, 2)}

			for i, result := range tc.results {
				s := catalog.u.Snapshots[0].Shards[0].Replicas[i%2].Searcher
				p.load(s)
				p.AttemptEnded(epoch, s, epoch, result)
			}

			now := epoch.Add(tc.after)
			r := partsRequest(0, 1)
			r.Deadline = now.Add(time.Second)
			_, actions := p.Start(now, r, catalog)
			sends, finish := sendsOf(actions)

			if !tc.refused {
				if len(sends) != 2 || finish != nil {
					t.Fatalf("got %d sends and finish %+v, want 2 and none", len(sends), finish)
				}

				return
			}

			if len(sends) != 0 || finish == nil || finish.Refusal == nil || finish.Refusal.Outcome != ident.OutcomeNotRun {
				t.Fatalf("got %d sends and finish %+v, want none and a refusal with outcome not_run", len(sends), finish)
			}

			if at := time.Duration(finish.Refusal.RetryAfter); at < 400*time.Millisecond || at > 600*time.Millisecond {
				t.Errorf("retry-after is %v, want 400 to 600 ms", at)
			}
		})
	}
}

// A request must not wait for the busy searchers of a shard that it does not need, and must not be refused while such
// searchers could still answer.
func TestRetryOfBusyShards(t *testing.T) {
	busy := ShardReply{Status: StatusNotStarted, Reason: ident.ReasonOverloaded}
	shed := ShardReply{Status: StatusNotStarted, Reason: ident.ReasonOverloaded, Sent: true}
	broken := ShardReply{Status: StatusFailed, Reason: ident.ReasonBadReply, Sent: true}

	for name, tc := range map[string]struct {
		coverage float64
		replies  []ShardReply // of shard 0, 1, ...
		want     []string     // shards that are retried; all retries must be essential
		refused  bool
	}{
		"one busy shard is skipped":                           {0.89, []ShardReply{busy}, nil, false},
		"the second busy shard is needed and retried":         {0.89, []ShardReply{busy, busy}, []string{"s1"}, false},
		"the busy shard is needed after a failure of another": {0.89, []ShardReply{busy, broken}, []string{"s0"}, false},
		"all shards are needed":                               {1, []ShardReply{busy}, []string{"s0"}, false},
		"two shards fail":                                     {0.89, []ShardReply{broken, broken}, nil, true},
		"no budget to retry the busy shard":                   {0.89, []ShardReply{shed, broken}, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newDirectSimulation(t, 10, 1, 0, 0).planner
			q, actions := p.Start(epoch, partsRequest(100*time.Millisecond, tc.coverage), fixedCatalog{directCatalog(10, 1)})
			sends, _ := sendsOf(actions)

			var (
				again  []string
				finish *Finish
			)

			for i, r := range tc.replies {
				r.Request, r.Attempt, r.Shard, r.Snapshot = sends[i].Request, sends[i].Attempt, sends[i].Shard, sends[i].Snapshot
				more, f := sendsOf(q.Reply(epoch.Add(time.Millisecond), r))
				finish = f

				for _, s := range more {
					if !s.Essential {
						t.Errorf("retry of %s is not essential", s.Shard)
					}

					again = append(again, string(s.Shard))
				}
			}

			if diff := cmp.Diff(tc.want, again); diff != "" {
				t.Errorf("retried shards differ (-want +got):\n%s", diff)
			}

			// A shard that is asked again later must not be asked without a token of the retry budget.
			for finish == nil && tc.refused {
				at, _ := q.NextTick()
				more, f := sendsOf(q.Tick(at))
				finish = f

				if len(more) > 0 {
					t.Fatalf("%s asked again without budget", more[0].Shard)
				}
			}

			if refused := finish != nil && finish.Refusal != nil; refused != tc.refused {
				t.Errorf("refused: %v, want %v", refused, tc.refused)
			}
		})
	}
}
