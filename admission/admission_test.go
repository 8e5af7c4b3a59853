package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fulmarfall/ident"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type departure struct {
	at     time.Time
	ticket Ticket
}

// stream is the traffic of one team, with a mean service time of about 50 ms.
type stream struct {
	team      ident.TeamID
	class     ident.Class
	perSecond float64
	approval  Approval
	from      time.Duration
	timeout   time.Duration

	sent, admitted, lateSent, lateAdmitted int
	next                                   time.Time
}

// simulate runs the streams for a number of seconds. The late counts of a stream cover the second half only.
func simulate(c *Controller, seconds int, streams ...*stream) {
	rnd := rand.New(rand.NewPCG(1, 2))
	var running []departure
	end := epoch.Add(time.Duration(seconds) * time.Second)
	for _, s := range streams {
		s.next = epoch.Add(s.from)
	}
	for {
		first := slices.MinFunc(streams, func(a, b *stream) int { return a.next.Compare(b.next) })
		now := first.next
		if !now.Before(end) {
			return
		}
		for len(running) > 0 && running[0].at.Before(now) {
			c.Release(running[0].at, running[0].ticket)
			running = running[1:]
		}
		first.next = now.Add(time.Duration(rnd.ExpFloat64() / first.perSecond * float64(time.Second)))
		secondHalf := now.After(epoch.Add(end.Sub(epoch) / 2))
		ticket, refusal := c.Admit(now, Request{
			Team: first.team, Upstream: "u", Class: first.class, Deadline: now.Add(first.timeout),
			Approval: first.approval,
		})
		first.sent++
		if secondHalf {
			first.lateSent++
		}
		if refusal != nil {
			continue
		}
		first.admitted++
		if secondHalf {
			first.lateAdmitted++
		}
		work := 25*time.Millisecond + time.Duration(rnd.ExpFloat64()*25*float64(time.Millisecond))
		// A query ends shortly before its deadline with a partial answer.
		l := departure{at: now.Add(min(work, first.timeout*9/10)), ticket: ticket}
		i, _ := slices.BinarySearchFunc(running, l, func(a, b departure) int { return a.at.Compare(b.at) })
		running = slices.Insert(running, i, l)
	}
}

func (s *stream) lateShare() float64 { return float64(s.lateAdmitted) / float64(s.lateSent) }

// Guards against overload by one team, or by a lower class, that takes capacity from others, and against shares that
// ignore the weights. The node serves about 2,000 requests per second.
func TestFairShares(t *testing.T) {
	second := time.Second
	tests := map[string]struct {
		streams []*stream
		check   func(s []*stream) bool
	}{
		"overload by one team does not affect a small team": {
			streams: []*stream{{team: "flood", perSecond: 20000, timeout: second}, {team: "small", perSecond: 300, from: second, timeout: second}},
			check:   func(s []*stream) bool { return s[1].lateShare() > 0.99 && s[0].lateAdmitted > 10*s[0].lateSent/200 },
		},
		"a full node is divided by weight": {
			streams: []*stream{
				{team: "three", perSecond: 20000, approval: Approval{Weight: 3}, timeout: second},
				{team: "one", perSecond: 20000, approval: Approval{Weight: 1}, timeout: second},
			},
			check: func(s []*stream) bool {
				return s[0].lateAdmitted > 2*s[1].lateAdmitted && s[0].lateAdmitted < 4*s[1].lateAdmitted
			},
		},
		"batch leaves capacity for urgent": {
			streams: []*stream{
				{team: "a", class: ident.ClassBatch, perSecond: 20000, timeout: second},
				{team: "b", class: ident.ClassBatch, perSecond: 20000, timeout: second},
				{team: "a", class: ident.ClassUrgent, perSecond: 100, timeout: second},
			},
			check: func(s []*stream) bool { return s[2].lateShare() > 0.99 },
		},
		"a team uses the idle capacity of others": {
			streams: []*stream{
				{team: "a", perSecond: 700, timeout: second},
				{team: "b", perSecond: 9, timeout: second},
				{team: "c", perSecond: 9, timeout: second},
				{team: "d", perSecond: 9, timeout: second},
			},
			check: func(s []*stream) bool { return s[0].admitted == s[0].sent },
		},
		"rate limit of the approval": {
			streams: []*stream{{team: "a", perSecond: 1000, approval: Approval{RatePerSecond: 100, Burst: 20}, timeout: second}},
			check:   func(s []*stream) bool { return s[0].admitted >= 980 && s[0].admitted <= 1020 },
		},
		"requests with impossible deadlines use no capacity and do not distort the estimate": {
			streams: []*stream{{team: "a", perSecond: 500, timeout: second}, {team: "b", perSecond: 5000, timeout: 15 * time.Millisecond}},
			check: func(s []*stream) bool {
				return s[0].lateShare() == 1 && s[1].lateShare() < 0.01 && s[1].lateAdmitted > 0
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := New(WithCapacity(100))
			simulate(c, 10, tc.streams...)
			if !tc.check(tc.streams) {
				for _, s := range tc.streams {
					t.Logf("%s %s: %d of %d admitted, in the second half %d of %d", s.team, s.class, s.admitted, s.sent, s.lateAdmitted, s.lateSent)
				}
				t.Errorf("shares differ from the expected ones; counters %+v", c.Counters())
			}
		})
	}
}

// Guards against more requests in flight than the capacity, capacity that leaks, tables that grow with the number of
// teams, and refusals whose retry delay is out of bounds.
func TestRandomTraffic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 20).Draw(t, "capacity")
		c := New(WithCapacity(capacity), WithTables(4, 4))
		now := epoch
		var tickets []Ticket
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if n := len(tickets); n > 0 && rapid.Bool().Draw(t, "leave") {
				c.Release(now, tickets[n-1])
				tickets = tickets[:n-1]
				continue
			}
			ticket, refusal := c.Admit(now, Request{
				Team:     ident.TeamID(fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "team"))),
				Class:    rapid.SampledFrom(ident.Classes).Draw(t, "class"),
				Deadline: now.Add(time.Duration(rapid.IntRange(-1, 400).Draw(t, "deadline")) * time.Millisecond),
				Approval: Approval{Weight: float64(rapid.IntRange(-1, 9).Draw(t, "weight")), RatePerSecond: float64(rapid.IntRange(0, 9).Draw(t, "rate"))},
			})
			if refusal == nil {
				tickets = append(tickets, ticket)
			} else if r := time.Duration(refusal.RetryAfter); refusal.Outcome != ident.OutcomeNotRun || r < minRetryAfter || r > maxRetryAfter {
				t.Fatalf("refusal %+v: want outcome not run and a retry delay within bounds", refusal)
			}
			weights := c.teams.overflow.weight
			for _, team := range c.teams.entries {
				weights += team.weight
			}
			if weights != c.teams.totalWeight {
				t.Fatalf("the sum of weights is %v, want %v", c.teams.totalWeight, weights)
			}
			if c.InFlight() != len(tickets) || len(tickets) > capacity {
				t.Fatalf("%d in flight, %d tickets, capacity %d", c.InFlight(), len(tickets), capacity)
			}
			if len(c.teams.entries) > 4 || c.teams.order.Len() != len(c.teams.entries) || len(c.buckets.entries) > 5 {
				t.Fatalf("%d teams and %d buckets, want at most 4 and 5", len(c.teams.entries), len(c.buckets.entries))
			}
		}
		for _, ticket := range tickets {
			c.Release(now, ticket)
		}
		c.teams.expire(now.Add(time.Hour))
		if c.InFlight() != 0 || len(c.teams.entries) != 0 || c.teams.totalWeight != 0 {
			t.Fatalf("%d in flight, %d teams of weight %v remain", c.InFlight(), len(c.teams.entries), c.teams.totalWeight)
		}
	})
}

// Guards against refused callers that all get the same retry time, or one long before capacity becomes free.
func TestRetryAfterSpread(t *testing.T) {
	c := New(WithCapacity(10))
	now := epoch
	for ; now.Before(epoch.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
		ticket, _ := c.Admit(now, Request{Deadline: epoch.Add(time.Hour)})
		c.Release(now, ticket)
	}
	var last *Refusal
	for range 110 {
		_, last = c.Admit(now, Request{Class: ident.ClassUrgent, Deadline: now.Add(time.Hour)})
	}
	// The node serves 100 requests per second, and 99 refused requests precede the hundredth.
	if got := time.Duration(last.RetryAfter); got < 900*time.Millisecond || got > 1300*time.Millisecond {
		t.Errorf("the retry delay of the last of 100 refused requests is %v, want about 1 s", got)
	}
}

func BenchmarkAdmitRelease(b *testing.B) {
	for _, teams := range []int{1, 100, 10000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			c, names := New(), make([]ident.TeamID, teams)
			for i := range names {
				names[i] = ident.TeamID(fmt.Sprint(i))
			}
			r := Request{Upstream: "u", Deadline: epoch.Add(time.Hour), Approval: Approval{RatePerSecond: 1e9}}
			b.ReportAllocs()
			for i := range b.N {
				now := epoch.Add(time.Duration(i) * time.Microsecond)
				r.Team = names[i%teams]
				ticket, _ := c.Admit(now, r)
				c.Release(now, ticket)
			}
		})
	}
}
