package entry

import (
	"testing"
	"time"

	"fulmarfall/directory"
)

// Guards against first searches that wait for a connection to each shard at a node to which callers are about to be sent,
// and against nodes without callers that hold searchers' connections.
func TestStandbyOpensConnections(t *testing.T) {
	const (
		shards  = 60 // more than one round opens
		address = "10.0.0.1:80"
	)

	n := newServingNode(t, shards)
	n.cfg.Address = address

	advise := func(version uint64, named, standby string) {
		n.adviser.Renew(directory.Advice{Version: version, Domains: []directory.DomainAdvice{
			{FailureDomain: "dar", Addresses: []string{named}, Standby: standby},
		}})
	}
	open := func() (count int) {
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

		return open()
	}

	if got := round(); got != 0 {
		t.Errorf("%d connections before callers are sent here", got)
	}

	for version, role := range map[uint64]func(v uint64){
		1: func(v uint64) { advise(v, "10.0.0.9:80", address) },
		2: func(v uint64) { advise(v, address, "10.0.0.9:80") },
	} {
		role(version)

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
		t.Errorf("%d connections when callers are sent elsewhere", got)
	}
}
