package entry

import (
	"testing"
	"time"

	"fulmarfall/configuration"
	"fulmarfall/ident"
)

// Guards against requests for one searcher that wait for a slow one for seconds: without a target, no second attempt went
// out until this node had seen 32 answers of their route.
func TestRequestsHaveTarget(t *testing.T) {
	for name, tc := range map[string]struct {
		route configuration.Route
		want  bool
	}{
		"one searcher":            {configuration.Route{Idempotent: true, Target: 300 * time.Millisecond, Parts: []configuration.Part{{Upstream: "u", Weight: 1}}}, true},
		"no target stated":        {configuration.Route{Idempotent: true, Parts: []configuration.Part{{Upstream: "u", Weight: 1}}}, false},
		"may run at most once":    {configuration.Route{Target: 300 * time.Millisecond, Parts: []configuration.Part{{Upstream: "u", Weight: 1}}}, false},
		"all shards":              {configuration.Route{Idempotent: true, Target: 300 * time.Millisecond, Shards: []ident.UpstreamID{"u"}}, true},
		"all shards, none stated": {configuration.Route{Idempotent: true, Shards: []ident.UpstreamID{"u"}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := &activeRequest{n: &Node{}, r: &Request{Arrived: time.Now()}, route: &tc.route}
			if req, _ := s.request(); req.Target.IsZero() == tc.want {
				t.Errorf("target %v, want one: %v", req.Target, tc.want)
			}
		})
	}
}
