package model

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"fulmarfall/ident"
	"fulmarfall/query"
)

const (
	documentsPerShard = 1000
	hitsPerShard      = 3
	// answerLimit is the limit of each search.
	answerLimit = 10
)

// snapshotData is the immutable shard list of a snapshot.
type snapshotData struct {
	id     ident.SnapshotID
	shards []shardData
	index  map[ident.ShardID]int
	whole  []query.Hit // the naive merge of all shards
}

type shardData struct {
	id        ident.ShardID
	base      int // the searchers of this shard are those of the first snapshot's shard
	documents ident.Documents
	hits      []query.Hit
}

// newSnapshotData makes the shard list of an upstream; split puts two children in place of shard 0.
func newSnapshotData(id ident.SnapshotID, u *upstream, split bool) *snapshotData {
	d := &snapshotData{id: id, index: make(map[ident.ShardID]int)}
	add := func(name string, base int, docs ident.Documents) {
		sh := shardData{id: ident.ShardID(name), base: base, documents: docs}
		for k := range hitsPerShard {
			// One document is in two neighbouring shards, so that a merge that does not drop duplicates shows.
			doc := fmt.Sprintf("%d/%s/%d", id, name, k)
			if k == 0 {
				doc = fmt.Sprintf("%d/shared/%d", id, base/2)
			}
			sh.hits = append(sh.hits, query.Hit{
				ID: doc, Score: float64((base*7 + k*3) % 11), Document: fmt.Appendf(nil, "snapshot %d", id),
			})
		}
		slices.SortFunc(sh.hits, compareHits)
		d.index[sh.id] = len(d.shards)
		d.shards = append(d.shards, sh)
	}
	for i := range u.shards {
		if i == 0 && split {
			add("s0a", 0, documentsPerShard/2)
			add("s0b", 0, documentsPerShard/2)
			continue
		}
		add(fmt.Sprintf("s%d", i), i, documentsPerShard)
	}

	return d
}

func (u *upstream) data(id ident.SnapshotID) *snapshotData {
	for _, d := range u.snapshots {
		if d.id == id {
			return d
		}
	}

	return nil
}

func (u *upstream) hits(id ident.SnapshotID, shard ident.ShardID) []query.Hit {
	d := u.data(id)

	return d.shards[d.index[shard]].hits
}

// naiveMerge orders the hits of the given shards by sorting everything, and drops duplicates.
func (d *snapshotData) naiveMerge(answered []bool) []query.Hit {
	all := !slices.Contains(answered, false)
	if all && d.whole != nil {
		return d.whole
	}
	merged := d.merge(answered)
	if all {
		d.whole = merged
	}

	return merged
}

func (d *snapshotData) merge(answered []bool) []query.Hit {
	var all []query.Hit
	for i, sh := range d.shards {
		if answered[i] {
			all = append(all, sh.hits...)
		}
	}
	slices.SortStableFunc(all, compareHits)
	seen := make(map[string]bool)
	var out []query.Hit
	for _, h := range all {
		if !seen[h.ID] && len(out) < answerLimit {
			seen[h.ID] = true
			out = append(out, h)
		}
	}

	return out
}

func compareHits(a, b query.Hit) int {
	return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
}

func equalHits(a, b query.Hit) bool {
	return a.ID == b.ID && a.Score == b.Score && bytes.Equal(a.Document, b.Document)
}
