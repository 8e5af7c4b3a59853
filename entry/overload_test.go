package entry

import (
	"testing"
	"time"

	"fulmarfall/admission"
	"fulmarfall/configuration"
	"fulmarfall/ident"

	"github.com/google/go-cmp/cmp"
)

// Guards against callers that are told to retry before the node has capacity again, or long after that.
func TestDrainTime(t *testing.T) {
	for name, tc := range map[string]struct {
		inFlight  int64
		perSecond float64
		want      time.Duration
	}{
		"full, 200 completions per second": {maxInFlight, 200, 500 * time.Millisecond},
		"above the limit":                  {maxInFlight + 100, 200, time.Second},
		"high completion rate":             {maxInFlight, 4000, defaultRetryAfter},
		"low completion rate":              {maxInFlight, 10, maxDrainTime},
		"no completions yet":               {maxInFlight, 0, maxDrainTime},
		"below the drain target":           {maxInFlight / 2, 200, defaultRetryAfter},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, drainTime(tc.inFlight, tc.perSecond)); diff != "" {
				t.Errorf("time differs (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against urgent requests that a full node refuses while it runs others, a team that keeps the others out, and refusals
// before the node is full while all requests are alike.
func TestFullNodeRefusesByClassAndTeam(t *testing.T) {
	const room, nearlyFull, full = 200, 360, maxInFlight

	type flow struct {
		class    ident.Class
		team     ident.TeamID
		rate     int // of 100 requests
		low, top float64
	}

	for name, tc := range map[string]struct {
		inFlight int64
		flows    []flow
	}{
		"room for all":     {room, []flow{{ident.ClassUrgent, "", 50, 1, 1}, {ident.ClassBatch, "", 50, 1, 1}}},
		"one kind, full":   {full, []flow{{ident.ClassNormal, "", 100, 1, 1}}},
		"urgent ones":      {nearlyFull, []flow{{ident.ClassUrgent, "", 30, 0.9, 1}, {ident.ClassBatch, "", 70, 0.1, 0.3}}},
		"a team that asks": {nearlyFull, []flow{{ident.ClassNormal, "a", 80, 0.2, 0.4}, {ident.ClassNormal, "b", 20, 0.8, 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			var g gate

			g.init()

			admitted := make([]float64, len(tc.flows))

			for i := range 2000 {
				now := time.Unix(0, 0).Add(time.Duration(i) * 10 * time.Millisecond)

				// 37 and 100 have no common factor, so each flow is spread over the time.
				for k, x := 0, i*37%100; k < len(tc.flows); x, k = x-tc.flows[k].rate, k+1 {
					f := tc.flows[k]
					if x >= f.rate {
						continue
					}

					if g.refuses(now, tc.inFlight, admission.Demand{Class: f.class, Team: f.team}) == "" {
						admitted[k]++
					}

					break
				}
			}

			for k, f := range tc.flows {
				if got := admitted[k] / float64(20*f.rate); got < f.low || got > f.top {
					t.Errorf("%s %q: %.3f admitted, want %v to %v", f.class, f.team, got, f.low, f.top)
				}
			}
		})
	}
}

// Guards against a nearly full node that does not apply the gate to requests, or that says nothing about the time to come back.
func TestNearlyFullNode(t *testing.T) {
	n := newServingNode(t, 1)
	setTeams(n, configuration.Team{Name: "a"}, configuration.Team{Name: "b", Priority: 2, HasPriority: true})
	n.inFlight.Store(maxInFlight - 50)

	refused := map[string]int{}

	for range 40 {
		for _, key := range []string{"a", "b"} {
			r, ok := serveWithKey(n, key).(*Refused)

			switch {
			case !ok || r.Kind != RefusedNotRun || r.RetryAfter == 0:
			case r.Reason == ident.ReasonOverloaded || r.Reason == ident.ReasonOverShare:
				refused[key]++
			default: // The searcher did not serve a request that the gate has admitted.
				t.Logf("%s refused as %s", key, r.Reason)
			}
		}

		time.Sleep(5 * time.Millisecond) // The division among the flows is kept for 20 ms.
	}

	if refused["b"] < 25 || refused["a"] > refused["b"]/2 {
		t.Errorf("%d of 40 urgent requests and %d of 40 others were refused by a nearly full node", refused["a"], refused["b"])
	}

	reports := n.gate.reports()
	if len(reports) != 2 || reports[0].Shed != refused["a"] || reports[1].Shed != refused["b"] || reports[1].Team != "b" {
		t.Errorf("reports %+v, want the refusals of %v", reports, refused)
	}
}

// Guards against requests that compete for searchers in different groups, or that reach the query core without their team.
func TestRequestsCarryTheirShare(t *testing.T) {
	n := newServingNode(t, 3)
	addRoute(n, "single", "", true)
	setTeams(n, configuration.Team{Name: "a", RatePerSecond: 48})

	v := n.view.Load()
	search := &activeRequest{n: n, r: &Request{}, route: &v.configuration.Routes[0], team: v.table.Team("a"), configuration: v.configuration}

	req, part := search.request()
	if got := search.group(part); req.Team != "a" || req.Weight != 48 || got != "u0" {
		t.Errorf("team %q with weight %v in group %q, want a, 48 and u0", req.Team, req.Weight, got)
	}

	single := &activeRequest{n: n, r: &Request{}, route: &v.configuration.Routes[1], configuration: v.configuration}

	req, part = single.request()
	if got := single.group(part); req.Team != "" || req.Weight != 0 || got != "single" {
		t.Errorf("team %q with weight %v in group %q, want none, 0 and single", req.Team, req.Weight, got)
	}
}
