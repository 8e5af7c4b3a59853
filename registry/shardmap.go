package registry

import (
	"cmp"
	"fmt"
	"slices"

	"fulmarfall/ident"
)

// newShardMaps checks the shard lists of an announcement against the stored ones and returns the shard
// maps that are not stored yet.
func (r *Registry) newShardMaps(a *Announcement) ([]*ShardMap, error) {
	var added []*ShardMap
	for i := range a.Snapshots {
		sn := &a.Snapshots[i]
		shards := sortedShards(sn.Shards)
		m, stored := r.ShardMap(a.Upstream, sn.ID)
		switch {
		case stored && len(shards) > 0 && !slices.Equal(m.Shards, shards):
			return nil, fmt.Errorf("snapshots[%d].shards: snapshot %d: %w", i, sn.ID, ErrShardListMismatch)
		case !stored && len(shards) == 0:
			return nil, fieldError(fmt.Sprintf("snapshots[%d].shards", i), "is empty and the snapshot is not stored")
		case !stored:
			m = &ShardMap{Snapshot: sn.ID, Shards: shards}
			added = append(added, m)
		}
		for j, id := range sn.Held {
			if !m.Has(id) {
				return nil, fieldError(fmt.Sprintf("snapshots[%d].held[%d]", i, j), fmt.Sprintf("%q is not a shard of the snapshot", id))
			}
		}
	}
	storedCount := 0
	if up := r.upstreams[a.Upstream]; up != nil {
		storedCount = len(up.maps)
	}
	if storedCount+len(added) > MaxSnapshotsPerUpstream {
		return nil, fmt.Errorf("snapshots: upstream %s has more than %d snapshots: %w", a.Upstream, MaxSnapshotsPerUpstream, ErrFull)
	}

	return added, nil
}

// Has reports whether a shard belongs to the snapshot.
func (m *ShardMap) Has(id ident.ShardID) bool {
	_, ok := slices.BinarySearchFunc(m.Shards, id, func(s Shard, id ident.ShardID) int { return cmp.Compare(s.ID, id) })
	return ok
}

func sortedShards(shards []Shard) []Shard {
	return slices.SortedFunc(slices.Values(shards), func(a, b Shard) int { return cmp.Compare(a.ID, b.ID) })
}

// markComplete marks those snapshots of a searcher as complete of which searchers in routing hold
// every shard.
func (r *Registry) markComplete(s *Searcher) {
	up := r.upstreams[s.Upstream]
	for i := range s.Holdings {
		m := up.maps[s.Holdings[i].Snapshot]
		if m.Complete {
			continue
		}
		held := make(map[ident.ShardID]struct{}, len(m.Shards))
		for _, other := range r.byUpstream[s.Upstream] {
			if h := other.Holding(m.Snapshot); h != nil && !other.Removed {
				for _, id := range h.Held {
					held[id] = struct{}{}
				}
			}
		}
		if len(held) == len(m.Shards) {
			// Readers may retain the map, so it is replaced and not modified.
			completed := *m
			completed.Complete = true
			up.maps[m.Snapshot] = &completed
		}
	}
}

// Holding returns the shards that the searcher serves of a snapshot, or nil.
func (s *Searcher) Holding(id ident.SnapshotID) *Holding {
	i, ok := slices.BinarySearchFunc(s.Holdings, id, func(h Holding, id ident.SnapshotID) int { return cmp.Compare(h.Snapshot, id) })
	if !ok {
		return nil
	}

	return &s.Holdings[i]
}

// pruneShardMaps deletes the shard maps of an upstream that are older than the KeptCompleteSnapshots
// newest complete ones and that no searcher in routing announces.
func (r *Registry) pruneShardMaps(u ident.UpstreamID) {
	up := r.upstreams[u]
	if up == nil || len(up.maps) <= KeptCompleteSnapshots {
		return
	}
	complete := 0
	for _, m := range r.ShardMaps(u) {
		if complete >= KeptCompleteSnapshots && !r.isAnnounced(u, m.Snapshot) {
			delete(up.maps, m.Snapshot)
			continue
		}
		if m.Complete {
			complete++
		}
	}
}

func (r *Registry) isAnnounced(u ident.UpstreamID, id ident.SnapshotID) bool {
	return slices.ContainsFunc(r.byUpstream[u], func(s *Searcher) bool {
		return !s.Removed && s.Holding(id) != nil
	})
}

// Image returns the content in a deterministic order.
func (r *Registry) Image() *Image {
	img := &Image{LastEpoch: r.lastEpoch, Searchers: make([]Searcher, 0, len(r.ordered))}
	for _, s := range r.ordered {
		img.Searchers = append(img.Searchers, *s)
	}
	for _, id := range r.Upstreams() {
		ui := UpstreamImage{ID: id}
		for _, m := range r.ShardMaps(id) {
			ui.Maps = append(ui.Maps, *m)
		}
		img.Upstreams = append(img.Upstreams, ui)
	}

	return img
}

// FromImage restores a registry. It rejects an inconsistent image.
func FromImage(img *Image) (*Registry, error) {
	r := New()
	r.lastEpoch = img.LastEpoch
	for i := range img.Upstreams {
		ui := &img.Upstreams[i]
		up := &upstream{maps: make(map[ident.SnapshotID]*ShardMap, len(ui.Maps))}
		for j := range ui.Maps {
			m := ui.Maps[j]
			if !slices.IsSortedFunc(m.Shards, func(a, b Shard) int { return cmp.Compare(a.ID, b.ID) }) {
				return nil, fmt.Errorf("upstreams[%d].maps[%d]: shards are not sorted", i, j)
			}
			up.maps[m.Snapshot] = &m
		}
		if len(up.maps) != len(ui.Maps) {
			return nil, fmt.Errorf("upstreams[%d].maps: duplicate snapshot", i)
		}
		r.upstreams[ui.ID] = up
	}
	for i := range img.Searchers {
		s := img.Searchers[i]
		for _, h := range s.Holdings {
			if _, ok := r.ShardMap(s.Upstream, h.Snapshot); !ok {
				// A removed searcher may refer to snapshots that have since been pruned.
				if !s.Removed {
					return nil, fmt.Errorf("searchers[%d]: snapshot %d has no shard map", i, h.Snapshot)
				}
			}
		}
		if s.Epoch > r.lastEpoch {
			return nil, fmt.Errorf("searchers[%d]: epoch %d is greater than the last epoch %d", i, s.Epoch, r.lastEpoch)
		}
		r.store(&s)
	}
	if len(r.ordered) != len(img.Searchers) || len(r.upstreams) != len(img.Upstreams) {
		return nil, fmt.Errorf("duplicate searcher or upstream id")
	}

	return r, nil
}
