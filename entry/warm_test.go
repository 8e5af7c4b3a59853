package entry

import (
	"testing"
	"time"

	"fulmarfall/configuration"
	"fulmarfall/directory"
	"fulmarfall/ident"
	"fulmarfall/roster"
	"fulmarfall/searcher"
)

// Guards against first searches that wait for a connection to each shard to open at a node to which callers are about
// to be sent, and against nodes without callers that use up the connection limits of searchers.
func TestStandbyOpensConnections(t *testing.T) {
	const (
		shards  = 60 // more than prewarmIdle
		address = "10.0.0.1:80"
	)

	n := newServingNode(t, shards, func(c *Config) { c.Address = address })

	advise := func(version uint64, listed, standby string) {
		n.adviser.Renew(directory.Advice{Version: version, Domains: []directory.DomainAdvice{
			{FailureDomain: "dar", Addresses: []string{listed}, Standby: standby},
		}})
	}
	countIdle := func() (count int) {
		n.pools.mu.Lock()
		defer n.pools.mu.Unlock()

		for _, p := range n.pools.byID {
			p.mu.Lock()
			count += len(p.idle)
			p.mu.Unlock()
		}

		return count
	}
	round := func() int {
		n.mu.Lock()
		n.applyShares(time.Now(), n.view.Load())
		n.mu.Unlock()
		time.Sleep(maxIdleTime)

		return countIdle()
	}

	if got := round(); got != 0 {
		t.Errorf("%d connections before the node is listed or on standby, want 0", got)
	}

	for version, recommend := range map[uint64]func(v uint64){
		1: func(v uint64) { advise(v, "10.0.0.9:80", address) },
		2: func(v uint64) { advise(v, address, "10.0.0.9:80") },
	} {
		recommend(version)

		got := 0
		for range 10 {
			if got = round(); got == shards {
				break
			}
		}

		if got != shards {
			t.Errorf("advice %d: %d connections, want %d", version, got, shards)
		}
	}

	advise(3, "10.0.0.8:80", "10.0.0.9:80")

	if got := round(); got != 0 {
		t.Errorf("%d connections when callers are sent to other nodes, want 0", got)
	}
}

// Guards against a burst of requests to a searcher that has just started: its pool is created between two exchanges with a control
// VM, and has to keep the rate of a cold searcher from its first connection on.
func TestNewSearcherIsColdFromTheStart(t *testing.T) {
	for name, tc := range map[string]struct {
		perSecond float64
		cold      time.Duration
		want      int
	}{
		"cold":                    {5, time.Minute, searcher.ColdShare(5, 1.5, 5, 1)},
		"warm":                    {5, -time.Second, noColdLimit},
		"upstream states no rate": {0, time.Minute, noColdLimit},
	} {
		t.Run(name, func(t *testing.T) {
			n := newServingNode(t, 1, func(c *Config) { c.ColdBurst, c.ColdSlack = 1.5, 5 })

			changeView(n, func(v *view) {
				cfg := *v.configuration
				cfg.Upstreams = map[ident.UpstreamID]configuration.Upstream{"u0": {ID: "u0", MaxConnections: 100, ColdRatePerSecond: tc.perSecond}}
				v.configuration = &cfg
			})

			n.mu.Lock()
			n.applyShares(time.Now(), n.view.Load())
			n.mu.Unlock()

			// The searcher becomes known after the shares were applied.
			n.mu.Lock()
			n.roster.ApplyReport(time.Now(), roster.Instance{
				ID: "new", Role: roster.RoleSearcher, Upstream: "u0", Address: "127.0.0.1:1", FailureDomain: "dar", Born: 1, Sequence: 1, Capacity: 2,
				ColdUntil: time.Now().Add(tc.cold),
			}, 0)
			n.mu.Unlock()
			changeView(n, func(*view) {})

			if got := n.pools.get("new").coldRate; got != tc.want {
				t.Errorf("a new pool allows %d requests in a second, want %d", got, tc.want)
			}
		})
	}
}
