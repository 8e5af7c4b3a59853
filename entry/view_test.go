package entry

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/configuration"
	"fulmarfall/ident"
	"fulmarfall/query"
	"fulmarfall/roster"
)

// Guards against requests that run by the regions or the shards of another route: one of an earlier configuration, by which a
// late request still runs, or one with the same name.
func TestRoutesDoNotShareUpstreams(t *testing.T) {
	regions := map[ident.FailureDomain]ident.Region{"dar": "pwani", "arusha": "kaskazini"}
	part := []configuration.WeightedUpstream{{Upstream: "a", Weight: 1}}

	for name, tc := range map[string]struct{ earlier, later configuration.Route }{
		"the regions change": {
			configuration.Route{Name: "r", Prefix: "/r/", Parts: part, Regions: []ident.Region{"pwani"}},
			configuration.Route{Name: "r", Prefix: "/r/", Parts: part, Regions: []ident.Region{"kaskazini"}},
		},
		"the shards change": {
			configuration.Route{Name: "r", Prefix: "/r/", Shards: []ident.UpstreamID{"a"}},
			configuration.Route{Name: "r", Prefix: "/r/", Shards: []ident.UpstreamID{"a", "b"}},
		},
		"the regions of shards change": {
			configuration.Route{Name: "r", Prefix: "/r/", Shards: []ident.UpstreamID{"a", "b"}, Regions: []ident.Region{"pwani"}},
			configuration.Route{Name: "r", Prefix: "/r/", Shards: []ident.UpstreamID{"a", "b"}},
		},
		"two routes with one name": {
			configuration.Route{Name: "r", Prefix: "/r/", Shards: []ident.UpstreamID{"a"}},
			configuration.Route{Name: "r", Prefix: "/s/", Shards: []ident.UpstreamID{"b"}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			v := &view{
				configuration: &configuration.Configuration{Version: 2, Routes: []configuration.Route{tc.later}}, outOfService: map[ident.FailureDomain]bool{},
				searchers: map[ident.UpstreamID][]roster.Instance{
					"a": {{ID: "a1", FailureDomain: "dar"}, {ID: "a2", FailureDomain: "arusha"}},
					"b": {{ID: "b1", FailureDomain: "dar"}},
				},
			}
			v.initUpstreams()
			v.setShardUpstreams()

			usable := func(r *configuration.Route) map[string][]string {
				part := ident.UpstreamID("")
				if len(r.Parts) > 0 {
					part = r.Parts[0].Upstream
				}

				got := map[string][]string{}

				for _, s := range snapshotOf(v.upstream(r, nil, part, regions)).Shards {
					got[string(s.ID)] = nil

					for _, replica := range s.Replicas {
						if replica.Usable {
							got[string(s.ID)] = append(got[string(s.ID)], string(replica.Searcher))
						}
					}
				}

				return got
			}

			want := func(r *configuration.Route) map[string][]string {
				fresh := &view{configuration: v.configuration, outOfService: v.outOfService, searchers: v.searchers}
				fresh.initUpstreams()

				saved := v
				v = fresh
				defer func() { v = saved }()

				return usable(r)
			}

			// A late request of the earlier route comes first, and again after one of the later route.
			for _, r := range []*configuration.Route{&tc.earlier, &tc.later, &tc.earlier} {
				if diff := cmp.Diff(want(r), usable(r)); diff != "" {
					t.Errorf("searchers of %+v differ (-want +got):\n%s", r, diff)
				}
			}

			if cmp.Equal(usable(&tc.earlier), usable(&tc.later)) {
				t.Errorf("both routes have the searchers %v", usable(&tc.earlier))
			}
		})
	}
}

func snapshotOf(u *query.Upstream) *query.Snapshot { return &u.Snapshots[0] }

// Guards against two routes with one name that share the state of their weights.
func TestRoutesDoNotShareWeights(t *testing.T) {
	n := newServingNode(t, 1)
	routes := []*configuration.Route{
		{Name: "r", Prefix: "/r/", Parts: []configuration.WeightedUpstream{{Upstream: "a", Weight: 1}, {Upstream: "b", Weight: 1}}},
		{Name: "r", Prefix: "/s/", Parts: []configuration.WeightedUpstream{{Upstream: "c", Weight: 1}, {Upstream: "d", Weight: 1}}},
	}
	got := map[ident.UpstreamID]int{}

	for range 50 {
		for _, r := range routes {
			got[n.choosePart(r)]++
		}
	}

	if diff := cmp.Diff(map[ident.UpstreamID]int{"a": 25, "b": 25, "c": 25, "d": 25}, got); diff != "" {
		t.Errorf("requests by part differ (-want +got):\n%s", diff)
	}
}
