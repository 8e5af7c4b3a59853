package configuration

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/ident"
)

func validConfiguration() *Configuration {
	return &Configuration{
		Version: 3,
		Routes: []Route{
			{Name: "all", Host: "h", Prefix: "/", Timeout: time.Second, Parts: []WeightedUpstream{{Upstream: "a", Weight: 1}}},
			{Name: "deep", Host: "h", Prefix: "/x/y/", Timeout: time.Second, Parts: []WeightedUpstream{{Upstream: "b", Weight: 1}}},
			{Name: "search", Host: "h", Prefix: "/x/", Timeout: time.Second, Shards: []ident.UpstreamID{"a", "b"}},
		},
		Upstreams: map[ident.UpstreamID]Upstream{"a": {ID: "a"}, "b": {ID: "b"}},
	}
}

// Guards against the acceptance of a document that can't be applied.
func TestValidate(t *testing.T) {
	for name, invalidate := range map[string]func(c *Configuration){
		"no version":         func(c *Configuration) { c.Version = 0 },
		"unknown upstream":   func(c *Configuration) { c.Routes[0].Parts[0].Upstream = "z" },
		"unknown shard":      func(c *Configuration) { c.Routes[2].Shards[1] = "z" },
		"shard named twice":  func(c *Configuration) { c.Routes[2].Shards[1] = "a" },
		"same host and path": func(c *Configuration) { c.Routes[1].Prefix = "/" },
		"all weights 0":      func(c *Configuration) { c.Routes[0].Parts[0].Weight = 0 },
		"negative weight":    func(c *Configuration) { c.Routes[0].Parts[0].Weight = -1 },
		"timeout of 0":       func(c *Configuration) { c.Routes[0].Timeout = 0 },
		"no upstream at all": func(c *Configuration) { c.Routes[0].Parts = nil },
		"prefix not a path":  func(c *Configuration) { c.Routes[0].Prefix = "x" },
	} {
		t.Run(name, func(t *testing.T) {
			c := validConfiguration()
			if err := c.Validate(); err != nil {
				t.Fatalf("valid document rejected: %v", err)
			}

			invalidate(c)

			if err := c.Validate(); !errors.Is(err, ErrInvalid) {
				t.Errorf("error %v, want ErrInvalid", err)
			}
		})
	}
}

// Guards against requests that are matched to the route of another host, or of a shorter prefix than the longest match.
func TestMatch(t *testing.T) {
	table := NewTable(validConfiguration())

	for name, tc := range map[string]struct{ host, path, want string }{
		"longest prefix":         {"h", "/x/y/z", "deep"},
		"prefix itself":          {"h", "/x/y/", "deep"},
		"without trailing slash": {"h", "/x/y", "search"},
		"shorter prefix":         {"h", "/x/z", "search"},
		"root":                   {"h", "/q", "all"},
		"other host":             {"g", "/x/y/z", ""},
		"path without a slash":   {"h", "x", ""},
		"prefix of a segment":    {"h", "/xx/y/", "all"},
	} {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r := table.Match(tc.host, tc.path); r != nil {
				got = r.Name
			}

			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("route differs (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a split that deviates from the weights, even over a few requests, and against requests to a part with
// weight 0.
func TestSplitter(t *testing.T) {
	parts := []WeightedUpstream{{Upstream: "a", Weight: 7}, {Upstream: "b", Weight: 2}, {Upstream: "c", Weight: 0}, {Upstream: "d", Weight: 1}}
	counts := make([]float64, len(parts))

	var s Splitter

	const n = 100
	for i := range n {
		counts[s.Next(parts)]++

		for k, p := range parts {
			if want := p.Weight / 10 * float64(i+1); math.Abs(counts[k]-want) > 1.5 {
				t.Fatalf("after %d requests part %d has received %v, want about %v", i+1, k, counts[k], want)
			}
		}
	}
}

// Guards against a document that is replaced by one with a lower or an equal version.
func TestReplaceIfNewer(t *testing.T) {
	d := Document{Version: 3, Content: []byte("three")}
	for _, v := range []Version{1, 3} {
		if d.ReplaceIfNewer(v, []byte("other")) {
			t.Errorf("version %d replaces version 3", v)
		}
	}

	if !d.ReplaceIfNewer(4, []byte("four")) {
		t.Errorf("version 4 does not replace version 3")
	}

	if diff := cmp.Diff(Document{Version: 4, Content: []byte("four")}, d); diff != "" {
		t.Errorf("document differs (-want +got):\n%s", diff)
	}
}

// Guards against requests for the same searchers that do not compete, and against those for different ones that do.
func TestGroup(t *testing.T) {
	route := func(shards ...ident.UpstreamID) Route { return Route{Shards: shards} }
	table := NewTable(&Configuration{Routes: []Route{
		route("d", "c"), route("f", "e"), route("b", "c"), route("a", "b"), {Parts: []WeightedUpstream{{Upstream: "f", Weight: 1}, {Upstream: "g", Weight: 1}}},
	}})

	for id, want := range map[ident.UpstreamID]ident.UpstreamID{"a": "a", "b": "a", "c": "a", "d": "a", "e": "e", "f": "e", "g": "g", "h": "h"} {
		if diff := cmp.Diff(want, table.Group(id)); diff != "" {
			t.Errorf("group of %s differs (-want +got):\n%s", id, diff)
		}
	}
}
