package standin

import (
	"encoding/json"
	"fmt"
	"testing"

	"fulmarfall/ident"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Guards against a split that loses or duplicates documents, an answer that depends on the encoding of the query or
// on the fan-out, and snapshots with equal answers.
func TestDataset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Dataset{Seed: rapid.Uint64().Draw(t, "seed"), Upstream: "u", Documents: rapid.IntRange(1, 40).Draw(t, "documents")}
		shard := ident.ShardID(rapid.SampledFrom([]string{"s0", "s0.1", "s3.0.1"}).Draw(t, "shard"))
		snapshot := ident.SnapshotID(rapid.Uint64Range(1, 5).Draw(t, "snapshot"))
		limit := rapid.IntRange(0, 50).Draw(t, "limit")
		n := rapid.IntRange(0, 9).Draw(t, "query")
		query, spaced := fmt.Sprintf(`{"a":%d,"b":[1]}`, n), fmt.Sprintf("{ \"b\": [1],\n \"a\": %d }", n)
		children := Children(shard)
		if d.Count(shard, snapshot) != d.Count(children[0], snapshot)+d.Count(children[1], snapshot) {
			t.Error("children have more or fewer documents than their parent")
		}
		whole, err := d.Expected(shard, snapshot, json.RawMessage(query), limit)
		if err != nil {
			t.Fatal(err)
		}
		parts, err := d.ExpectedAnswer(children[:], snapshot, json.RawMessage(spaced), limit)
		if err != nil {
			t.Fatal(err)
		}
		// Strings are compared because cmp takes a second for the bytes of 100 draws.
		text := func(hits []Hit) (all []string) {
			for _, h := range hits {
				all = append(all, fmt.Sprint(h.ID, h.Score, string(h.Document)))
			}

			return all
		}
		if diff := cmp.Diff(text(whole), text(parts)); diff != "" {
			t.Errorf("answer of the children differs from that of the parent (-parent +children):\n%s", diff)
		}
		next, err := d.Expected(shard, snapshot+1, json.RawMessage(query), limit)
		if err != nil {
			t.Fatal(err)
		}
		if len(whole) > 0 && cmp.Equal(text(whole), text(next)) {
			t.Error("two snapshots give the same answer")
		}
	})
}

// Guards against layouts that differ from the sizes on the design page or put two replicas of a shard into one
// failure domain.
func TestLayouts(t *testing.T) {
	for name, org := range map[string]Organisation{"kilimanjaro": Kilimanjaro(), "cluj": Cluj()} {
		var sizes []int
		ids := map[ident.SearcherID]bool{}
		for _, l := range org.Layouts {
			configs := l.Configs(1, org.Places)
			sizes = append(sizes, len(configs))
			for _, cfg := range configs {
				ids[cfg.Searcher] = true
			}
		}
		if diff := cmp.Diff([]int{30, 45, 9, 4}, sizes); diff != "" || len(ids) != 88 {
			t.Errorf("%s: %d searchers; sizes differ (-want +got):\n%s", name, len(ids), diff)
		}
	}
}
