package query

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/ident"
)

// A searcher that has asked for no requests must receive none, until its back-off is over or a new incarnation starts.
func TestNoticeExcludesSearcher(t *testing.T) {
	type step struct {
		at          time.Duration
		incarnation uint64
		n           Notice
	}

	backoff := func(at time.Duration, inc uint64, d time.Duration) step { return step{at, inc, Notice{Rest: d}} }
	leaving := func(at time.Duration, inc uint64) step { return step{at, inc, Notice{Leaving: true}} }

	for name, tc := range map[string]struct {
		steps       []step
		incarnation uint64
		after       time.Duration
		excluded    bool
	}{
		"no notice":                                  {nil, 1, 0, false},
		"empty notice":                               {[]step{{0, 1, Notice{}}}, 1, 0, false},
		"end of a back-off without its jitter":       {[]step{backoff(0, 1, time.Second)}, 1, time.Second, true}, // extended by the jitter
		"after a back-off and its jitter":            {[]step{backoff(0, 1, time.Second)}, 1, 1101 * time.Millisecond, false},
		"jitter of a long back-off is bounded":       {[]step{backoff(0, 1, time.Minute)}, 1, time.Minute + maxBackoffJitter, false},
		"shorter back-off does not end a longer one": {[]step{backoff(0, 1, 2*time.Second), backoff(time.Second, 1, 10*time.Millisecond)}, 1, 1900 * time.Millisecond, true},
		"repeated back-off":                          {[]step{backoff(0, 1, time.Second), backoff(time.Second, 1, time.Second)}, 1, 1900 * time.Millisecond, true},
		"back-off that would overflow":               {[]step{backoff(0, 1, 1<<62)}, 1, 24 * time.Hour, true},
		"leaving":                                    {[]step{leaving(0, 1)}, 1, time.Hour, true},
		"back-off after leaving":                     {[]step{leaving(0, 1), backoff(0, 1, time.Second)}, 1, time.Minute, true},
		"new incarnation":                            {[]step{leaving(0, 1), backoff(0, 1, time.Minute)}, 2, time.Second, false},
		"late notice from an earlier incarnation":    {[]step{backoff(0, 2, time.Second), leaving(time.Second, 1)}, 2, 2 * time.Second, false},
		"new incarnation is leaving, too":            {[]step{leaving(0, 1), leaving(time.Second, 2)}, 2, 2 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newDirectSimulation(t, 1, 1, 0, 0).planner
			for _, s := range tc.steps {
				p.RecordNotice(epoch.Add(s.at), "s0-0", s.incarnation, s.n)
			}

			if _, excluded := p.Excluded(epoch.Add(tc.after), "s0-0", tc.incarnation); excluded != tc.excluded {
				t.Errorf("Excluded = %v, want %v", excluded, tc.excluded)
			}
		})
	}
}

// The number of notices must stay bounded, and the notice of a leaving searcher must not be evicted while expired ones
// remain: the searcher would receive requests again.
func TestNoticesAreBounded(t *testing.T) {
	p := NewPlanner(WithDirectSends(0, 0, time.Second), WithSearcherCapacity(4))
	p.RecordNotice(epoch, "leaving", 1, Notice{Leaving: true})

	for i := range 100 {
		p.RecordNotice(epoch.Add(time.Duration(i)*time.Second), ident.SearcherID(fmt.Sprint(i)), 1, Notice{Rest: time.Millisecond})
	}

	if len(p.notices) > 4 {
		t.Errorf("%d notices stored, want at most 4", len(p.notices))
	}

	if _, excluded := p.Excluded(epoch.Add(time.Hour), "leaving", 1); !excluded {
		t.Errorf("notice of the leaving searcher was evicted")
	}
}

// Requests must not be sent to searchers that have asked for back-off or are leaving, and must not wait for them: they must
// be refused at once, with the time until the first searcher accepts requests again.
func TestShardBackingOffOrLeaving(t *testing.T) {
	for name, tc := range map[string]struct {
		shards   int
		notice   Notice
		replicas int // number of the first shard's 2 replicas that have sent the notice
		coverage float64
		sends    int
		reason   ident.Reason
		after    time.Duration
	}{
		"one replica backing off":           {10, Notice{Rest: time.Minute}, 1, 1, 10, "", 0},
		"all backing off, shard not needed": {10, Notice{Rest: time.Minute}, 2, 0.9, 9, "", 0},
		"all backing off, shard needed":     {10, Notice{Rest: time.Second}, 2, 1, 0, ident.ReasonResting, time.Second},
		"all leaving, shard needed":         {10, Notice{Leaving: true}, 2, 1, 0, ident.ReasonLeaving, leavingRetryAfter},
		"single shard, all backing off":     {1, Notice{Rest: time.Second}, 2, 1, 0, ident.ReasonResting, time.Second},
		"single shard, all leaving":         {1, Notice{Leaving: true}, 2, 1, 0, ident.ReasonLeaving, leavingRetryAfter},
		"single shard, one replica left":    {1, Notice{Leaving: true}, 1, 1, 1, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			p := newDirectSimulation(t, tc.shards, 2, 0, 0).planner
			for r := range tc.replicas {
				p.RecordNotice(epoch, ident.SearcherID(fmt.Sprintf("s0-%d", r)), 0, tc.notice)
			}

			_, actions := p.Start(epoch, partsRequest(0, tc.coverage), fixedCatalog{directCatalog(tc.shards, 2)})
			sends, finish := sendsOf(actions)

			if diff := cmp.Diff(tc.sends, len(sends)); diff != "" {
				t.Fatalf("number of attempts differs (-want +got):\n%s", diff)
			}

			for _, s := range sends {
				if _, excluded := p.Excluded(epoch, s.Searcher, 0); excluded {
					t.Errorf("attempt sent to excluded searcher %s", s.Searcher)
				}
			}

			if tc.sends > 0 {
				return
			}

			if finish == nil || finish.Refusal == nil {
				t.Fatalf("request not refused at once")
			}

			r := finish.Refusal
			if r.Outcome != ident.OutcomeNotRun {
				t.Errorf("outcome %s for a request that was not sent", r.Outcome)
			}

			// Back-offs and retry-after times are extended by a random jitter.
			if got := time.Duration(r.RetryAfter); got < tc.after || got > tc.after*2 {
				t.Errorf("retry-after is %v, want %v to %v", got, tc.after, tc.after*2)
			}
		})
	}
}

// Searchers that reject some requests and then ask for back-off must not be avoided so much, by back-offs and failure rate
// combined, that one of the others receives nearly all requests.
func TestBackoffsKeepLoadBalanced(t *testing.T) {
	const (
		replicas = 3
		rounds   = 3000
	)

	p := newDirectSimulation(t, 1, replicas, 0.2, 50).planner
	c := fixedCatalog{directCatalog(1, replicas)}
	rnd := rand.New(rand.NewPCG(1, 1))
	got := map[ident.SearcherID]int{}
	now := epoch

	for range rounds {
		now = now.Add(5 * time.Millisecond)
		r := partsRequest(0, 1)
		r.Deadline = now.Add(time.Second)

		q, actions := p.Start(now, r, c)
		for len(actions) > 0 {
			sends, _ := sendsOf(actions)
			if len(sends) == 0 {
				break
			}

			s := sends[0]
			got[s.Searcher]++
			reply := answer(s)

			// Each searcher rejects a tenth of its requests and then asks for a short back-off.
			if rnd.Float64() < 0.1 {
				reply.Status, reply.Reason = StatusNotStarted, ident.ReasonShed
				p.RecordNotice(now, s.Searcher, 0, Notice{Rest: 100 * time.Millisecond})
			}

			p.AttemptEnded(now, s.Searcher, now, ResultAnswered)
			actions = q.Reply(now.Add(4*time.Millisecond), reply)
		}
	}

	for id, n := range got {
		if share := float64(n) / rounds; share > 0.6 {
			t.Errorf("%s received a fraction of %.2f of all requests, want at most 0.6", id, share)
		}
	}
}
