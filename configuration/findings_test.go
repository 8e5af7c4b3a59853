package configuration

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/ident"
)

const secret = "s2eek22xp4zhpfd4n8hk"

// soundDocument returns a document without findings.
func soundDocument() *Configuration {
	return &Configuration{
		Version: 7,
		Routes: []Route{
			{Name: "search", Host: "h", Prefix: "/search/", Idempotent: true, Timeout: time.Second, TargetLatency: 300 * time.Millisecond, Shards: []ident.UpstreamID{"a", "b"}, MinCoverage: 0.5, Limit: 5, MaxAttempts: 2},
			{Name: "orders", Host: "h", Prefix: "/orders/", Timeout: time.Second, Parts: []WeightedUpstream{{"c", 1}}, Regions: []ident.Region{"pwani"}},
		},
		Upstreams: map[ident.UpstreamID]Upstream{"a": {ID: "a", MaxConnections: 25}, "b": {ID: "b"}, "c": {ID: "c"}},
		Limits:    Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Teams:     []Team{{Name: "kami770", RatePerSecond: 48, Burst: 48}, {Name: "lend4", Regions: []ident.Region{"pwani"}}},
		Keys:      []TeamKey{{secret, "kami770"}, {"caac6dnvhz6prvnzqjyn", "lend4"}},
	}
}

// Guards against a check that misses what control VMs refuse, what no request can match, and limits that contradict each other, and
// against one that finds faults in a sound document.
func TestFindings(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(*Configuration)
		errs   []string // parts of the errors
		warns  []string // parts of the warnings
	}{
		"sound": {func(*Configuration) {}, nil, nil},
		"several errors": {func(c *Configuration) {
			c.Version, c.Routes[0].Timeout, c.Routes[0].TargetLatency, c.Routes[1].Prefix, c.Teams[1].Name = 0, 0, 0, "orders/", "kami770"
			c.Keys = c.Keys[:1]
		}, []string{"version is missing", `"search": timeout`, `"orders": path prefix`, "defined twice"}, nil},
		"same host and prefix":    {func(c *Configuration) { c.Routes[1].Prefix = "/search/" }, []string{"same host and prefix"}, nil},
		"prefix without a slash":  {func(c *Configuration) { c.Routes[1].Prefix = "/orders" }, nil, []string{`"orders" never matches: path prefix`}},
		"prefix with a query":     {func(c *Configuration) { c.Routes[1].Prefix = "/orders?a/" }, nil, []string{`"orders" never matches: path prefix`}},
		"host with a port":        {func(c *Configuration) { c.Routes[1].Host = "h:80" }, nil, []string{`"orders" never matches: host`}},
		"address with a port":     {func(c *Configuration) { c.Routes[1].Host = "[::1]:80" }, nil, []string{`"orders" never matches: host`}},
		"address":                 {func(c *Configuration) { c.Routes[1].Host = "::1" }, nil, nil},
		"no host":                 {func(c *Configuration) { c.Routes[1].Host = "" }, nil, []string{`"orders" never matches: it has no host`}},
		"weight 0":                {func(c *Configuration) { c.Routes[1].Parts = append(c.Routes[1].Parts, WeightedUpstream{"a", 0}) }, nil, []string{`"a" never gets a request: its weight is 0`}},
		"shards and an upstream":  {func(c *Configuration) { c.Routes[0].Parts = []WeightedUpstream{{"c", 1}} }, nil, []string{`"c" never gets a request, because`}},
		"unused upstream":         {func(c *Configuration) { c.Upstreams["d"] = Upstream{ID: "d"} }, nil, []string{`upstream "d" is on no route`}},
		"target after timeout":    {func(c *Configuration) { c.Routes[0].TargetLatency = 2 * time.Second }, nil, []string{"target of 2s is after the timeout of 1s"}},
		"coverage above 1":        {func(c *Configuration) { c.Routes[0].MinCoverage = 1.1 }, nil, []string{"coverage of at least 1.1"}},
		"coverage without shards": {func(c *Configuration) { c.Routes[1].MinCoverage = 0.5 }, nil, []string{"no effect without shards"}},
		"attempts of one run":     {func(c *Configuration) { c.Routes[1].MaxAttempts = 3 }, nil, []string{"3 attempts are allowed"}},
		"exempt without teams":    {func(c *Configuration) { c.Teams, c.Keys, c.Routes[1].AuthExempt = nil, nil, true }, nil, []string{"exempt from keys"}},
		"team without a key":      {func(c *Configuration) { c.Keys = c.Keys[:1] }, nil, []string{`"lend4" never matches: it has no key`}},
		"team without a region": {func(c *Configuration) {
			c.Teams[1].Regions, c.Routes[0].Regions = []ident.Region{"ziwa"}, []ident.Region{"pwani"}
		}, nil, []string{`"lend4": no route allows`}},
		"rate without a burst":   {func(c *Configuration) { c.Teams[0].Burst = 0 }, nil, []string{"a burst of 0 admits no request"}},
		"burst without a rate":   {func(c *Configuration) { c.Teams[0].RatePerSecond = 0 }, nil, []string{"no effect without a rate"}},
		"negative limit":         {func(c *Configuration) { c.Limits.MaxBodyBytes = -1 }, nil, []string{"negative limit"}},
		"key of two teams":       {func(c *Configuration) { c.Keys = append(c.Keys, TeamKey{secret, "lend4"}) }, []string{"share a key"}, nil},
		"negative cold rate":     {func(c *Configuration) { c.Upstreams["a"] = Upstream{ID: "a", ColdRatePerSecond: -1} }, nil, []string{`upstream "a" has a negative`}},
		"negative max. attempts": {func(c *Configuration) { c.Routes[0].MaxAttempts = -1 }, nil, []string{"negative limit"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := soundDocument()
			tc.change(c)

			var errs, warns []string

			for _, f := range c.Findings() {
				if strings.Contains(f.Text, secret) {
					t.Errorf("%q shows a key", f.Text)
				}

				if f.Error {
					errs = append(errs, f.Text)
				} else {
					warns = append(warns, f.Text)
				}
			}

			for kind, list := range map[string][2][]string{"errors": {tc.errs, errs}, "warnings": {tc.warns, warns}} {
				if !slices.EqualFunc(list[0], list[1], func(part, text string) bool { return strings.Contains(text, part) }) {
					t.Errorf("%s are %q, want these parts: %q", kind, list[1], list[0])
				}
			}

			if (c.Validate() != nil) != (len(errs) > 0) {
				t.Errorf("validation: %v, but %d errors", c.Validate(), len(errs))
			}
		})
	}
}

// Guards against changes that are missing in the differences, against keys in them, and against a document that control VMs would
// ignore without a word.
func TestDifferences(t *testing.T) {
	from, to := soundDocument(), soundDocument()

	if d := Differences(from, to); len(d) > 0 || len(to.FindingsAgainst(from)) > 0 {
		t.Errorf("differences of equal documents: %q, findings %v", d, to.FindingsAgainst(from))
	}

	to.Routes[0].MinCoverage = 0.8
	to.Routes[1].Prefix = "/order/"
	to.Upstreams["a"] = Upstream{ID: "a", MaxConnections: 30}
	to.Upstreams["d"] = Upstream{ID: "d"}
	to.Teams[0].HasPriority = true
	to.Teams[1].Name = "lend5"
	to.Keys = []TeamKey{{"another-key-of-kami770", "kami770"}, {"caac6dnvhz6prvnzqjyn", "lend5"}}
	to.Limits.MaxBodyBytes = 1 << 20

	want := []string{
		`route "h/order/" is new`, `route "h/orders/" is removed`, `route "h/search/": coverage 0.8 instead of 0.5`,
		`upstream "a": connections 30 instead of 25`, `upstream "d" is new`,
		`team "kami770": priority 0 instead of that of the route`, `team "lend4" is removed`, `team "lend5" is new`,
		`team "kami770": keys: 1 new, 1 removed`, `team "lend4": keys: 0 new, 1 removed`, `team "lend5": keys: 1 new, 0 removed`,
		`limits: body bytes 1048576 instead of 262144`,
	}
	if diff := cmp.Diff(want, Differences(from, to)); diff != "" {
		t.Errorf("differences differ (-want +got):\n%s", diff)
	}

	if f := to.FindingsAgainst(from); len(f) != 1 || !f[0].Error {
		t.Errorf("findings of another document with the version in force: %v, want an error", f)
	}

	to.Version++

	if f := to.FindingsAgainst(from); len(f) != 0 {
		t.Errorf("findings of the next version: %v, want none", f)
	}
}
