package query

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/ident"
	"fulmarfall/searcher"
)

// Guards against searchers that receive more than the request limit that they state, from all nodes together, and against
// callers that get less than the limits allow. Requests without room are refused at once, and nothing is sent for them.
func TestRequestLimitHoldsForAllNodes(t *testing.T) {
	steady := func(perSecond float64) func(time.Duration) float64 {
		return func(time.Duration) float64 { return perSecond }
	}
	limitFrom := func(at time.Duration, limit float64, copies int) func(time.Duration, int) float64 {
		return func(since time.Duration, c int) float64 {
			if since < at || c >= copies {
				return 0
			}

			return limit
		}
	}
	setLoad := func(w *limitPlay, nodes int, perSecond float64) {
		for _, n := range w.nodes[:nodes] {
			n.perSecond = steady(perSecond)
		}
	}

	// Where all copies are limited, callers get what the limits allow; elsewhere they use the other copies.
	const (
		halfUsed        = 0.5
		servedElsewhere = 0.98
	)

	for name, tc := range map[string]struct {
		nodes, shards int
		setUp         func(w *limitPlay)
		minUsed       float64 // of what the limits allow
		minAnswered   float64 // of all requests
		maxMissing    float64 // shards for each answer
	}{
		"half of the load at two of three copies": {6, limitShards, func(w *limitPlay) {
			setLoad(w, 6, 30)
			w.limit = limitFrom(2*time.Second, 30, 2)
		}, 0, servedElsewhere, 0.3},
		"all copies at half of the load": {6, limitShards, func(w *limitPlay) {
			setLoad(w, 6, 30)
			w.limit = limitFrom(2*time.Second, 30, 3)
		}, halfUsed, 0.45, 1},
		"one request per second on all copies": {6, 1, func(w *limitPlay) {
			setLoad(w, 6, 30)
			w.limit = limitFrom(2*time.Second, 1, 3)
		}, halfUsed, 0.005, 0},
		"one request per second, many nodes": {80, 1, func(w *limitPlay) {
			setLoad(w, 80, 5)
			w.limit = limitFrom(2*time.Second, 1, 3)
		}, halfUsed, 0.002, 0},
		"many nodes, few with callers": {80, limitShards, func(w *limitPlay) {
			setLoad(w, 12, 15)
			w.limit = limitFrom(2*time.Second, 30, 2)
		}, 0, servedElsewhere, 0.3},
		"limit of zero": {6, 1, func(w *limitPlay) {
			setLoad(w, 6, 10)
			w.limit = func(since time.Duration, c int) float64 {
				if since < 2*time.Second || c == 2 {
					return 0
				}

				return 1e-9
			}
		}, 0, servedElsewhere, 0},
		"failing searchers": {6, limitShards, func(w *limitPlay) {
			setLoad(w, 6, 30)
			w.limit, w.failing = limitFrom(2*time.Second, 20, 2), 0.1
		}, 0, 0.9, 1},
		"burst of callers": {6, limitShards, func(w *limitPlay) {
			for _, n := range w.nodes {
				n.perSecond = func(since time.Duration) float64 {
					if since > 9*time.Second && since < 12*time.Second {
						return 60
					}

					return 8
				}
			}
			w.limit = limitFrom(2*time.Second, 10, 2)
		}, 0, 0.95, 0.5},
		"callers move between nodes": {12, limitShards, func(w *limitPlay) {
			for i, n := range w.nodes {
				n.perSecond = func(since time.Duration) float64 {
					if (int(since/(3*time.Second))%2 == 0) == (i < 6) {
						return 30
					}

					return 0
				}
			}
			w.limit = limitFrom(2*time.Second, 20, 2)
		}, 0, servedElsewhere, 0.5},
		"nodes restart in turn": {6, limitShards, func(w *limitPlay) {
			setLoad(w, 6, 30)
			w.limit = limitFrom(2*time.Second, 20, 2)
			for i, n := range w.nodes {
				w.at(epoch.Add(time.Duration(7+2*i)*time.Second), func() { n.restart(w) })
			}
		}, 0, servedElsewhere, 0.5},
		"largest node cut off from control": {6, limitShards, func(w *limitPlay) {
			setLoad(w, 6, 15)
			w.nodes[0].perSecond = steady(60)
			w.nodes[0].cut = func(since time.Duration) bool { return since > 6*time.Second }
			w.limit = limitFrom(2*time.Second, 20, 2)
		}, 0, servedElsewhere, 0.5},
		"control is lost": {6, limitShards, func(w *limitPlay) {
			setLoad(w, 6, 30)
			for _, n := range w.nodes {
				n.cut = func(since time.Duration) bool { return since > 6*time.Second && since < 16*time.Second }
			}
			w.limit = limitFrom(2*time.Second, 20, 2)
		}, 0, servedElsewhere, 0.5},
		"no nodes in the regions of the searchers": {3, 1, func(w *limitPlay) {
			for _, n := range w.nodes {
				n.region = limitRegion(0)
				n.restart(w)
			}
			setLoad(w, 3, 20)
			w.upstream.Snapshots[0].Shards[0].Replicas = w.upstream.Snapshots[0].Shards[0].Replicas[1:]
			w.limit = limitFrom(2*time.Second, 8, 3)
		}, halfUsed, 0, 0},
		"nodes that have not heard get callers": {24, 1, func(w *limitPlay) {
			setLoad(w, 3, 20)
			for i, n := range w.nodes[3:] {
				n.perSecond = func(since time.Duration) float64 {
					if since < time.Duration(7+i/7)*time.Second {
						return 0
					}

					return 20
				}
			}
			w.limit = limitFrom(2*time.Second, 1, 3)
		}, halfUsed, 0, 0},
		"limit changes": {6, limitShards, func(w *limitPlay) {
			setLoad(w, 6, 30)
			w.limit = func(since time.Duration, c int) float64 {
				if since < 2*time.Second || c == 2 {
					return 0
				}

				return []float64{40, 5, 20, 1, 10}[int(since/(3*time.Second))%5]
			}
		}, 0, servedElsewhere, 0.5},
		"limit ends": {6, limitShards, func(w *limitPlay) {
			setLoad(w, 6, 30)
			w.end = 14 * time.Second
			w.limit = func(since time.Duration, _ int) float64 {
				if since < 2*time.Second || since > w.end {
					return 0
				}

				return 20
			}
		}, halfUsed, 0.4, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			received, allowed := 0.0, 0.0

			for seed := range uint64(3) {
				w := newLimitPlay(t, seed+1, tc.nodes, tc.shards)
				tc.setUp(w)
				w.run(limitPlayTime)
				got, most := w.check()
				received += got
				allowed += most

				if got > most+limitSlack*float64(tc.shards*limitCopies) {
					t.Errorf("searchers received %.0f requests under limits that allow %.0f", got, most)
				}

				answered, missing := float64(w.answered)/float64(w.started), float64(w.missing)/float64(max(w.answered, 1))
				t.Logf("seed %d: %d requests, %.3f answered, %d refused, %.3f shards missing", seed+1, w.started, answered, w.refused, missing)

				if answered < tc.minAnswered || missing > tc.maxMissing {
					t.Errorf("%.3f of the requests were answered with %.3f shards missing, want %v and at most %v", answered, missing, tc.minAnswered, tc.maxMissing)
				}

				if w.answeredAfterEnd*100 < w.afterEnd*98 {
					t.Errorf("%d of %d requests were answered after the limits had ended", w.answeredAfterEnd, w.afterEnd)
				}
			}

			t.Logf("%.0f requests under limits that allow %.0f", received, allowed)

			if received < tc.minUsed*allowed {
				t.Errorf("searchers received %.0f requests under limits that allow %.0f, want at least %v of them", received, allowed, tc.minUsed)
			}
		})
	}
}

// Guards against a request limit that is ended or raised by an answer that the searcher sent before it stated the limit, or
// that outlives the incarnation that stated it.
func TestRequestLimitStatements(t *testing.T) {
	limited := func(perSecond ident.RequestRate) searcher.LimitStatement {
		return searcher.LimitStatement{Limited: true, PerSecond: perSecond}
	}

	type statement struct {
		received, sent time.Duration
		incarnation    uint64
		statement      searcher.LimitStatement
		changed        bool
	}

	for name, tc := range map[string]struct {
		statements []statement
		want       searcher.LimitStatement
	}{
		"stated and ended": {[]statement{
			{10, 0, 1, limited(5), true}, {20, 12, 1, limited(5), false}, {30, 22, 1, searcher.LimitStatement{}, true}, {40, 32, 1, searcher.LimitStatement{}, false},
		}, searcher.LimitStatement{}},
		"earlier answer without a limit":     {[]statement{{10, 0, 1, limited(5), true}, {20, 5, 1, searcher.LimitStatement{}, false}}, limited(5)},
		"earlier answer with a higher limit": {[]statement{{10, 0, 1, limited(5), true}, {20, 5, 1, limited(9), false}}, limited(5)},
		"earlier answer with a lower limit":  {[]statement{{10, 0, 1, limited(5), true}, {20, 5, 1, limited(2), true}}, limited(2)},
		"raised":                             {[]statement{{10, 0, 1, limited(5), true}, {20, 15, 1, limited(9), true}}, limited(9)},
		"new incarnation":                    {[]statement{{10, 0, 1, limited(5), true}, {20, 15, 2, limited(9), true}}, limited(9)},
		"earlier incarnation":                {[]statement{{10, 0, 2, limited(9), true}, {20, 15, 1, limited(5), false}}, limited(9)},
		"no limit":                           {[]statement{{10, 0, 1, searcher.LimitStatement{}, false}}, searcher.LimitStatement{}},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPlanner(WithDirectSends(0, 0, time.Second))

			for i, st := range tc.statements {
				if got := p.RecordLimit(epoch.Add(st.received), "i", st.incarnation, st.statement, epoch.Add(st.sent)); got != st.changed {
					t.Errorf("statement %d is a change: %v, want %v", i, got, st.changed)
				}
			}

			var got searcher.LimitStatement
			if l := p.limits["i"]; l != nil {
				got = l.statement
			}

			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("request limit differs (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against attempts that wait for connections and are then sent together, and against attempts that were planned before
// the searcher stated its limit.
func TestAdmitSendAfterWait(t *testing.T) {
	for name, tc := range map[string]struct {
		limited bool // room was taken when the attempt was planned
		waited  time.Duration
		room    bool // there is room for a further request
		want    bool
	}{
		"room taken, sent soon":               {true, roomTTL / 2, false, true},
		"room taken, sent late":               {true, roomTTL, false, false},
		"room taken, sent late, room left":    {true, roomTTL, true, true},
		"planned before the limit":            {false, 0, false, false},
		"planned before the limit, room left": {false, 0, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPlanner(WithDirectSends(0, 0, time.Second))
			p.RecordLimit(epoch, "i", 1, searcher.LimitStatement{Limited: true, PerSecond: 1}, epoch)

			planned := epoch.Add(time.Minute)
			l := p.limit(epoch, "i", 1, "r")

			if tc.room {
				planned = planned.Add(-tc.waited)
			} else {
				for l.limiter.Take(planned.Add(tc.waited), 0) {
				}
			}

			if got := p.AdmitSend(planned.Add(tc.waited), &Send{Searcher: "i", Limited: tc.limited}, planned, 1, "r"); got != tc.want {
				t.Errorf("attempt is sent: %v, want %v", got, tc.want)
			}
		})
	}
}
