package searcher

import (
	"testing"
	"time"

	"fulmarfall/ident"
)

// Guards against an owner that sends a searcher more than the request limit that it names, that keeps requests without room
// waiting, or that keeps a limit that has ended or belongs to an earlier incarnation.
func TestGateKeepsRequestLimit(t *testing.T) {
	const (
		window   = 4 * time.Second
		interval = 10 * time.Millisecond
	)

	for name, limit := range map[string]ident.RequestRate{"20 per second": 20, "1 per second": 1, "fraction": 0.5} {
		t.Run(name, func(t *testing.T) {
			g, a := warmGate(2, 25)
			n := 0

			// play submits requests, answers them at once with the given statement, and returns when runs have started.
			play := func(from, until time.Time, st *LimitStatement) (starts []time.Time, refused int) {
				for now := from; now.Before(until); now = now.Add(interval) {
					n++
					r := request(n, 0)
					r.Deadline = now.Add(time.Second)

					for _, e := range g.Submit(now, r) {
						switch e := e.(type) {
						case Start:
							starts = append(starts, now)
							g.Done(now.Add(interval/2), e.Run, RunOutcome{Kind: OK, AnswerRead: true, Limit: st})
						case Refuse:
							if e.Reason != ident.ReasonLimited || e.RetryAfter <= 0 {
								t.Fatalf("refused as %s with retry-after %v", e.Reason, e.RetryAfter)
							}

							refused++
						}
					}

					a.Incarnation = g.announced.Incarnation
					g.Announce(now, a)
				}

				return starts, refused
			}

			starts, _ := play(t0, t0.Add(12*time.Second), &LimitStatement{Limited: true, PerSecond: limit})

			for i, first := range starts {
				sent := 0
				for _, at := range starts[i:] {
					if at.Sub(first) < window {
						sent++
					}
				}

				if allowed := 1.5*float64(limit)*window.Seconds() + 5; float64(sent) > allowed {
					t.Fatalf("%d runs in %v, want at most %v", sent, window, allowed)
				}
			}

			if got, all := float64(len(starts)), float64(limit)*12; got < 0.9*all {
				t.Errorf("%.0f runs under a limit that allows %.0f", got, all)
			}

			// The end of the limit shows in the next answer, which may take 1/0.2 s at the lowest rate.
			play(t0.Add(12*time.Second), t0.Add(17*time.Second), &LimitStatement{})

			if starts, refused := play(t0.Add(17*time.Second), t0.Add(18*time.Second), &LimitStatement{}); refused > 0 || len(starts) != 100 {
				t.Errorf("%d runs and %d refusals in a second after the limit had ended", len(starts), refused)
			}

			play(t0.Add(18*time.Second), t0.Add(19*time.Second), &LimitStatement{Limited: true, PerSecond: limit})
			a.Incarnation++
			g.Announce(t0.Add(19*time.Second), a)

			if g.RequestLimit().Limited {
				t.Error("a new incarnation has the limit of the previous one")
			}
		})
	}
}

// Guards against a limit that an answer sent before the searcher named it ends, or that an answer without a statement ends.
func TestGateRequestLimitStatements(t *testing.T) {
	limited := &LimitStatement{Limited: true, PerSecond: 5}

	for name, tc := range map[string]struct {
		second *LimitStatement // of the run that started before the first one was answered
		want   LimitStatement
	}{
		"answer sent earlier":  {&LimitStatement{}, *limited},
		"says nothing":         {nil, *limited},
		"lower limit":          {&LimitStatement{Limited: true, PerSecond: 2}, LimitStatement{Limited: true, PerSecond: 2}},
		"higher limit earlier": {&LimitStatement{Limited: true, PerSecond: 9}, *limited},
	} {
		t.Run(name, func(t *testing.T) {
			g, _ := warmGate(2, 25)
			g.Submit(t0, request(1, 500))
			g.Submit(t0, request(2, 500))
			g.Done(at(10), runID(1), RunOutcome{Kind: OK, AnswerRead: true, Limit: limited})
			g.Done(at(20), runID(2), RunOutcome{Kind: OK, AnswerRead: true, Limit: tc.second})

			if got := g.RequestLimit(); got != tc.want {
				t.Errorf("request limit %+v, want %+v", got, tc.want)
			}
		})
	}
}
