package entry

import (
	"testing"
	"time"

	"fulmarfall/configuration"
	"fulmarfall/ident"
)

// Guards against requests on routes without shards that wait for a slow searcher for seconds: without a target, no
// second attempt is sent until this node has received 32 answers on the route.
func TestRequestsHaveTarget(t *testing.T) {
	for name, tc := range map[string]struct {
		route configuration.Route
		want  bool
	}{
		"no shards":               {configuration.Route{Idempotent: true, TargetLatency: 300 * time.Millisecond, Parts: []configuration.WeightedUpstream{{Upstream: "u", Weight: 1}}}, true},
		"no shards, no target":    {configuration.Route{Idempotent: true, Parts: []configuration.WeightedUpstream{{Upstream: "u", Weight: 1}}}, false},
		"no shards, at most once": {configuration.Route{TargetLatency: 300 * time.Millisecond, Parts: []configuration.WeightedUpstream{{Upstream: "u", Weight: 1}}}, false},
		"shards":                  {configuration.Route{Idempotent: true, TargetLatency: 300 * time.Millisecond, Shards: []ident.UpstreamID{"u"}}, true},
		"shards, no target":       {configuration.Route{Idempotent: true, Shards: []ident.UpstreamID{"u"}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := &activeRequest{n: &Node{}, r: &Request{Arrived: time.Now()}, route: &tc.route}
			if req, _ := s.request(); req.Target.IsZero() == tc.want {
				t.Errorf("target %v, want a target: %v", req.Target, tc.want)
			}
		})
	}
}
