package entry

import (
	"testing"
	"time"

	"fulmarfall/directory"
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
