package node

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/lease"
	"fulmarfall/membership"
	"fulmarfall/record"
	"fulmarfall/registry"
)

// Guards against a deadlock. A query acquires Node.mu inside a view of the control state, so a goroutine that holds mu must not
// read the state: with a writer of the state waiting, both would block.
func TestCatalogWhileStateChanges(t *testing.T) {
	n := &Node{state: control.New(), holder: lease.NewHolder(), members: membership.NewCopy()}
	index := uint64(0)
	apply := func(c control.Command) {
		data, err := control.EncodeCommand(time.Unix(1, 0), c)
		if err != nil {
			t.Errorf("encode: %v", err)

			return
		}

		index++
		n.state.Apply(index, data)
	}

	hash, err := record.NewKeyHash([]byte("salt-of-16-bytes"), "key-of-16-bytes-x")
	if err != nil {
		t.Fatal(err)
	}

	apply(control.PutRecord{
		Kind: record.KindUpstream, Name: "desk", Schema: 1, Revision: 1, Operation: "op-1",
		Spec: fmt.Appendf(nil, `{"announce_keys":[{"salt":%q,"hash":%q}],"default_timeout_ms":1000}`, hash.Salt, hash.Hash),
	})

	const rounds = 2000

	var wg sync.WaitGroup

	wg.Go(func() {
		for i := range rounds {
			apply(control.RegisterSearcher{Announcement: registry.Announcement{
				Upstream: "desk", Searcher: "desk-0", Incarnation: ident.Incarnation(i + 1), Address: "127.0.0.1:9",
				FailureDomain: "dar", Region: "pwani", Slots: 2, Connections: 25,
				Snapshots: []registry.Snapshot{{ID: 1, Shards: []registry.Shard{{ID: "a", Documents: 1}}, Held: []ident.ShardID{"a"}}},
			}})
			apply(control.AssignOwner{Searcher: "desk-0", Epoch: ident.Epoch(i), Owner: "other", Incarnation: 1})
		}
	})
	wg.Go(func() {
		for range rounds {
			n.updateApplied()
		}
	})
	wg.Go(func() {
		for range rounds {
			if up := (catalog{n}).Upstream("desk"); up == nil {
				t.Error("upstream is not known")
			}
		}
	})
	wg.Wait()
}
