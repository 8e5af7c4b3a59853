package query

import (
	"cmp"
	"slices"
	"strings"
)

// compareHits orders hits by descending score, then by document id.
func compareHits(a, b Hit) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}

	return strings.Compare(a.ID, b.ID)
}

// validHits reports whether all scores can be ordered, that is, none is NaN.
func validHits(hits []Hit) bool {
	for i := range hits {
		if hits[i].Score != hits[i].Score {
			return false
		}
	}

	return true
}

// cursor iterates over the sorted hits of one shard.
type cursor struct {
	hits  []Hit
	order int
}

func (c cursor) before(o cursor) bool {
	if r := compareHits(c.hits[0], o.hits[0]); r != 0 {
		return r < 0
	}

	return c.order < o.order
}

// mergeHits returns the first limit hits of all shards with a k-way merge. Of hits with the same document id it keeps the
// first in order; of hits with equal score and id, the one from the first shard in snapshot order. It may sort the given
// lists in place.
func mergeHits(shards [][]Hit, limit int) []Hit {
	heap := make([]cursor, 0, len(shards))
	total := 0
	for i, hits := range shards {
		if len(hits) == 0 {
			continue
		}
		if !slices.IsSortedFunc(hits, compareHits) {
			slices.SortStableFunc(hits, compareHits)
		}
		heap = append(heap, cursor{hits: hits, order: i})
		total += len(hits)
	}
	for i := len(heap)/2 - 1; i >= 0; i-- {
		siftDown(heap, i)
	}

	merged := make([]Hit, 0, min(total, limit))
	seen := newIDSet(min(total, limit))
	for len(heap) > 0 && len(merged) < limit {
		h := heap[0].hits[0]
		if seen.add(merged, h.ID) {
			merged = append(merged, h)
		}
		heap[0].hits = heap[0].hits[1:]
		if len(heap[0].hits) == 0 {
			heap[0] = heap[len(heap)-1]
			heap = heap[:len(heap)-1]
		}
		siftDown(heap, 0)
	}

	return merged
}

func siftDown(heap []cursor, i int) {
	for {
		first := i
		for _, c := range [2]int{2*i + 1, 2*i + 2} {
			if c < len(heap) && heap[c].before(heap[first]) {
				first = c
			}
		}
		if first == i {
			return
		}
		heap[i], heap[first] = heap[first], heap[i]
		i = first
	}
}

// MergeSequentially is the reference implementation of the merge: it concatenates the hits in shard order, sorts them and
// drops repeated document ids. Answers are compared with its result.
func MergeSequentially(shards [][]Hit, limit int) []Hit {
	all := slices.Concat(shards...)
	slices.SortStableFunc(all, func(a, b Hit) int {
		switch {
		case a.Score > b.Score:
			return -1
		case a.Score < b.Score:
			return 1
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		default:
			return 0
		}
	})
	seen := map[string]bool{}
	hits := []Hit{}
	for _, h := range all {
		if !seen[h.ID] && len(hits) < limit {
			hits = append(hits, h)
		}
		seen[h.ID] = true
	}

	return hits
}

// linearScanLimit is the answer size up to which scanning the merged hits is cheaper than a map of their ids.
const linearScanLimit = 16

// idSet is the set of document ids of the merged hits. Without a map, add scans the merged hits.
type idSet struct{ ids map[string]struct{} }

func newIDSet(size int) idSet {
	if size <= linearScanLimit {
		return idSet{}
	}

	return idSet{ids: make(map[string]struct{}, size)}
}

func (s idSet) add(merged []Hit, id string) bool {
	if s.ids == nil {
		return !slices.ContainsFunc(merged, func(h Hit) bool { return h.ID == id })
	}
	if _, ok := s.ids[id]; ok {
		return false
	}
	s.ids[id] = struct{}{}

	return true
}
