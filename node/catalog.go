// Implements query.Catalog on this node's copy of the control state.

package node

import (
	"sync"
	"time"

	"fulmarfall/control"
	"fulmarfall/conviction"
	"fulmarfall/ident"
	"fulmarfall/query"
	"fulmarfall/registry"
)

// catalogVersion identifies the state that a cached entry was built from. An entry with an older version is rebuilt.
type catalogVersion struct {
	registry, records, members uint64
}

type catalogEntry struct {
	version  catalogVersion
	upstream *query.Upstream
}

// catalogCache caches upstreams built from the control state: a build takes up to milliseconds for a large upstream,
// and the state changes rarely.
type catalogCache struct {
	mu      sync.RWMutex
	entries map[ident.UpstreamID]catalogEntry
}

// maxCatalogEntries bounds the cache, which is cleared when it is full. It is far above the expected number of upstreams.
const maxCatalogEntries = 1024

func (c *catalogCache) get(id ident.UpstreamID, v catalogVersion) (*query.Upstream, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()

	e, ok := c.entries[id]

	return e.upstream, ok && e.version == v
}

func (c *catalogCache) put(id ident.UpstreamID, e catalogEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.entries == nil || len(c.entries) >= maxCatalogEntries {
		c.entries = make(map[ident.UpstreamID]catalogEntry)
	}

	c.entries[id] = e
}

// catalog implements query.Catalog. Upstreams are cached by the version of the state.
type catalog struct{ n *Node }

var _ query.Catalog = catalog{}

// Upstream implements query.Catalog.
func (c catalog) Upstream(id ident.UpstreamID) *query.Upstream {
	n := c.n

	n.mu.Lock()
	members := n.members.Changes()
	n.mu.Unlock()

	var up *query.Upstream

	n.state.View(func(v control.View) {
		version := catalogVersion{registry: v.Registry().Version(), records: v.Records().Version(), members: members}

		var ok bool
		if up, ok = n.upstreams.get(id, version); ok {
			return
		}

		up = n.buildUpstream(v, id)
		n.upstreams.put(id, catalogEntry{version: version, upstream: up})
	})

	return up
}

// Standing implements query.Catalog.
func (c catalog) Standing(f ident.Fingerprint) (query.Standing, time.Time) {
	var (
		e     conviction.Entry
		known bool
	)

	c.n.state.View(func(v control.View) { e, known = v.Convictions().Lookup(f) })

	provisional, ok := c.n.suspects.get(f, time.Now())

	switch {
	case known && e.State == conviction.Convicted:
		return query.StandingConvicted, e.Expires
	case ok && provisional.convicted:
		return query.StandingConvicted, provisional.until
	case known && e.State == conviction.Suspect:
		return query.StandingSuspected, e.Expires
	case ok:
		return query.StandingSuspected, provisional.until
	default:
		return query.StandingNone, time.Time{}
	}
}

func (n *Node) buildUpstream(v control.View, id ident.UpstreamID) *query.Upstream {
	if _, ok := v.Records().Upstream(id); !ok {
		return nil
	}

	up := &query.Upstream{}
	searchers := v.Registry().SearchersOf(id)

	for _, m := range v.Registry().ShardMaps(id) {
		up.Snapshots = append(up.Snapshots, n.buildSnapshot(v, m, searchers))
	}

	return up
}

func (n *Node) buildSnapshot(v control.View, m *registry.ShardMap, searchers []*registry.Searcher) query.Snapshot {
	snap := query.Snapshot{ID: m.Snapshot, Shards: make([]query.Shard, len(m.Shards))}
	shardIndex := make(map[ident.ShardID]int, len(m.Shards))

	for i := range m.Shards {
		snap.Shards[i] = query.Shard{ID: m.Shards[i].ID, Documents: m.Shards[i].Documents}
		shardIndex[m.Shards[i].ID] = i
	}

	for _, s := range searchers {
		r := n.replica(v, s)

		for _, h := range s.Holdings {
			if h.Snapshot != m.Snapshot {
				continue
			}

			for _, shard := range h.Held {
				if i, ok := shardIndex[shard]; ok {
					snap.Shards[i].Replicas = append(snap.Shards[i].Replicas, r)
				}
			}
		}
	}

	return snap
}

func (n *Node) replica(v control.View, s *registry.Searcher) query.Replica {
	usable := s.Owner != "" && s.Move == registry.MoveNone && !s.Removed && !s.Leaving && v.Records().InService(s.FailureDomain)
	if usable && s.Owner != n.cfg.ID {
		_, usable = n.member(s.Owner)
	}

	return query.Replica{
		Searcher: s.ID, FailureDomain: s.FailureDomain, Region: s.Region, Owner: s.Owner, Usable: usable,
		Cold: s.Cold, OwnerCold: s.OwnerCold,
	}
}
