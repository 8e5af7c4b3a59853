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
	// answerLimit is the maximum number of hits that a search requests.
	answerLimit = 10
)

// snapshotData is the immutable shard list of a snapshot.
type snapshotData struct {
	id     ident.SnapshotID
	shards []shardData
	index  map[ident.ShardID]int
	whole  []query.Hit // cached naive merge of all shards
}

type shardData struct {
	id        ident.ShardID
	base      int // index of the shard in the first snapshot, whose searchers serve this shard
	documents ident.Documents
	hits      []query.Hit
}

// newSnapshotData builds the shard list of an upstream. With split, two child shards replace shard 0.
func newSnapshotData(id ident.SnapshotID, u *upstream, split bool) *snapshotData {
	d := &snapshotData{id: id, index: make(map[ident.ShardID]int)}
	add := func(name string, base int, docs ident.Documents) {
		sh := shardData{id: ident.ShardID(name), base: base, documents: docs}
		for k := range hitsPerShard {
			// Neighbouring shards share one document, which exposes a merge that does not drop duplicates.
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

// naiveMerge sorts all hits of the answered shards at once, drops duplicates and applies answerLimit.
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
