package query

import (
	"fmt"
	"testing"
	"time"

	"fulmarfall/ident"
)

// Guards against a share that follows noise, and against one that moves everything at once.
func TestZoneShare(t *testing.T) {
	for name, tc := range map[string]struct {
		start, ratio float64
		after        time.Duration
		want         float64
	}{
		"searchers near suffice":          {0, 0.9, time.Second, 0},
		"noise below":                     {0, 1.2, time.Second, 0},
		"noise above":                     {0.5, 1.15, time.Second, 0.5},
		"slower here":                     {0, 1.4, 500 * time.Millisecond, 0.5},
		"slower here for long":            {0, 1.4, 5 * time.Second, 1},
		"much slower here, one interval":  {0, 100, shareInterval, shareStep},
		"faster here again, one interval": {1, 0.5, shareInterval, 1 - shareStep},
		"faster here again for long":      {1, 0.5, 5 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			z := zoneShare{share: tc.start, adjustedAt: epoch}
			for at := time.Duration(0); at <= tc.after; at += 10 * time.Millisecond {
				z.observe(epoch.Add(at), tc.ratio)
			}

			if d := z.share - tc.want; d > 1e-9 || d < -1e-9 {
				t.Errorf("share %v, want %v", z.share, tc.want)
			}
		})
	}
}

// zoneUpstream returns an upstream with the given numbers of searchers in zone z0 of region r0, z3 of the same region, and z1 of
// another one.
func zoneUpstream(own, region, far int) *Upstream {
	s := Shard{ID: "s", Documents: 1}

	for _, x := range []struct{ zone, n int }{{0, own}, {3, region}, {1, far}} {
		zone := x.zone
		for i := range x.n {
			s.Replicas = append(s.Replicas, Replica{
				Searcher: ident.SearcherID(fmt.Sprintf("%s-%d", zoneName(zone), i)), FailureDomain: zoneName(zone), Region: zoneRegion(zone), Usable: true, Slots: 3,
			})
		}
	}

	return &Upstream{Snapshots: []Snapshot{{ID: 1, Shards: []Shard{s}}}}
}

// Guards against requests that leave searchers near the node while these suffice, that stay at searchers that may not be used or
// have no place, and against a zone of too few searchers.
func TestNearSearchers(t *testing.T) {
	for name, tc := range map[string]struct {
		upstream *Upstream
		inFlight int // of this node, at each searcher near
		change   func(p *Planner, u *Upstream)
		want     ident.FailureDomain
	}{
		"zone suffices":               {zoneUpstream(3, 3, 3), 0, nil, "z0"},
		"zone is crowded":             {zoneUpstream(3, 3, 0), 6, nil, "z3"},
		"zone has one searcher":       {zoneUpstream(1, 3, 3), 6, nil, "z3"},
		"region has one searcher":     {zoneUpstream(1, 0, 3), 20, nil, "z1"},
		"zone and region are crowded": {zoneUpstream(2, 0, 3), 20, nil, "z1"},
		"region not allowed": {zoneUpstream(3, 0, 3), 20, func(_ *Planner, u *Upstream) {
			for i := range u.Snapshots[0].Shards[0].Replicas {
				if r := &u.Snapshots[0].Shards[0].Replicas[i]; r.Region != "r0" {
					r.Usable = false
				}
			}
		}, "z0"},
		"zone leaves": {zoneUpstream(3, 3, 3), 0, func(p *Planner, _ *Upstream) {
			for i := range 3 {
				p.RecordNotice(epoch, ident.SearcherID(fmt.Sprintf("z0-%d", i)), 0, Notice{Leaving: true})
			}
		}, "z3"},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPlanner(WithNode("n0", "z0", "r0"), WithDirectSends(0.2, 8, 10*time.Second))

			for _, r := range tc.upstream.Snapshots[0].Shards[0].Replicas {
				l := p.load(r.Searcher)
				l.latency, l.observedAt = float64(200*time.Millisecond+2*p.hop(&r)), epoch

				if r.FailureDomain == "z0" {
					l.inFlight = tc.inFlight
				}
			}

			if tc.change != nil {
				tc.change(p, tc.upstream)
			}

			r := partsRequest(0, 1)
			_, actions := p.Start(epoch, r, fixedCatalog{tc.upstream})

			sends, _ := sendsOf(actions)
			if len(sends) != 1 || ident.FailureDomain(sends[0].Searcher[:2]) != tc.want {
				t.Errorf("sends %+v, want one to %s", sends, tc.want)
			}
		})
	}
}

// searchUpstream returns an upstream of two shards with the given numbers of searchers in zone z0 and in another region.
func searchUpstream(own, far int) *Upstream {
	u := zoneUpstream(own, 0, far)
	second := u.Snapshots[0].Shards[0]
	second.ID = "s2"
	second.Replicas = nil

	for _, r := range u.Snapshots[0].Shards[0].Replicas {
		r.Searcher += "-2"
		second.Replicas = append(second.Replicas, r)
	}

	u.Snapshots[0].Shards = append(u.Snapshots[0].Shards, second)

	return u
}

// Guards against attempts that wait for a connection where another searcher is near, or at a searcher that has stopped answering.
func TestConnectionWaitOfAttempts(t *testing.T) {
	for name, tc := range map[string]struct {
		upstream *Upstream
		stalled  bool
		want     time.Duration
	}{
		"others in other regions":        {searchUpstream(1, 2), false, 2 * DefaultHopTimes.Far},
		"another one in the same region": {searchUpstream(2, 1), false, 0},
		"only in another region":         {searchUpstream(0, 1), false, 0},
		"stalled":                        {searchUpstream(1, 0), true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPlanner(WithNode("n0", "z0", "r0"), WithDirectSends(0.2, 8, 10*time.Second))
			if tc.stalled {
				for _, s := range tc.upstream.Snapshots[0].Shards {
					l := p.load(s.Replicas[0].Searcher)
					l.latency, l.observedAt, l.sentTimes = float64(5*time.Millisecond), epoch, []time.Time{epoch.Add(-time.Second)}
				}
			}

			_, actions := p.Start(epoch, partsRequest(0, 1), fixedCatalog{tc.upstream})

			sends, _ := sendsOf(actions)
			if len(sends) != 2 || sends[0].ConnectionWait != tc.want || sends[1].ConnectionWait != tc.want {
				t.Errorf("sends %+v, want two that wait for a connection for %v", sends, tc.want)
			}
		})
	}
}

// Guards against traffic that leaves the zone although its searchers suffice, and against callers that are served worse because
// traffic stays.
func TestZoneTraffic(t *testing.T) {
	const maxLeaving = 0.1

	w := newZonePlay(1, 2, 15) // a quarter of the capacity
	got := w.run()
	t.Logf("%v", got)

	if share := float64(got.zoneBytes+got.regionBytes) / float64(got.sent*zoneBytes); share > maxLeaving || got.inTime < got.requests*99/100 {
		t.Errorf("%.3f of the bytes left their zone, %d of %d requests in time; want at most %v and 99 of 100", share, got.inTime, got.requests, maxLeaving)
	}
}

// Guards against searches that leave the region while its searchers suffice, because a searcher in another region seems faster than
// the network: its average latency decayed while it was unused, or the short age of a cancelled hedge counted as its latency.
func TestRegionSuffices(t *testing.T) {
	const near, far = 10 * time.Millisecond, 34 * time.Millisecond

	for name, prepare := range map[string]func(t *testing.T, p *Planner, c fixedCatalog) time.Time{
		"unused for a minute": func(_ *testing.T, p *Planner, c fixedCatalog) time.Time {
			for _, s := range c.u.Snapshots[0].Shards {
				l := p.load(s.Replicas[1].Searcher)
				l.latency, l.observedAt = float64(far), epoch
			}

			return epoch.Add(time.Minute)
		},
		"hedge cancelled after 3 ms": func(t *testing.T, p *Planner, c fixedCatalog) time.Time {
			r := partsRequest(time.Second, 1)
			r.Target = epoch.Add(90 * time.Millisecond)
			q, actions := p.Start(epoch, r, c)
			first, _ := sendsOf(actions)

			at, _ := q.NextTick()
			hedges, _ := sendsOf(q.Tick(at))

			if len(first) != 2 || len(hedges) != 2 {
				t.Fatalf("%d first attempts and %d hedges, want 2 of each", len(first), len(hedges))
			}

			at = at.Add(3 * time.Millisecond)
			for _, s := range first {
				p.AttemptEnded(at, s.Searcher, epoch, ResultAnswered)
				q.Reply(at, answer(s))
			}

			for _, s := range hedges {
				p.AttemptEnded(at, s.Searcher, at.Add(-3*time.Millisecond), ResultUnused)
			}

			return at
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := fixedCatalog{searchUpstream(1, 1)}
			p := NewPlanner(WithNode("n0", "z0", "r0"), WithDirectSends(1, 100, 10*time.Second), WithHedgeQuantile(DirectHedgeQuantile))
			now := prepare(t, p, c)

			for _, s := range c.u.Snapshots[0].Shards {
				for range 100 { // The usual latency of the upstream is known.
					p.latencyOf(now, partsRequest(0, 1).Upstream).observe(near)
				}

				l := p.load(s.Replicas[0].Searcher)
				l.latency, l.observedAt = float64(near), now
			}

			for range 20 {
				r := partsRequest(time.Second, 1)
				r.Deadline = now.Add(time.Second)

				q, actions := p.Start(now, r, c)

				sends, _ := sendsOf(actions)
				for _, s := range sends {
					if s.Searcher[:2] != "z0" {
						t.Fatalf("first attempt to %s in another region", s.Searcher)
					}

					p.AttemptEnded(now.Add(near), s.Searcher, now, ResultAnswered)
					q.Reply(now.Add(near), answer(s))
				}

				now = now.Add(2 * near)
			}
		})
	}
}
