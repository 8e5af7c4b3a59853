// Package standin implements a fake searcher for tests and trials. It serves the interface published in
// docs/upstreams.md over HTTP, announces itself to nodes, answers from a data set that tests can recompute, and
// injects faults that can change while it runs.
package standin

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"fulmarfall/ident"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

const (
	// DefaultDocuments is the minimum number of documents of a shard that was never split.
	DefaultDocuments = 100
	// extraDocuments is the exclusive maximum of further documents per shard, which make shards differ and make every
	// snapshot change the totals.
	extraDocuments = 16
	// scoreLevels is small so that ties are common, which the order by document id must resolve.
	scoreLevels = 400
	// minMatchingScore is the lowest score of a document that matches a query.
	minMatchingScore = 100
	// documentTextLength makes a hit of about 200 bytes.
	documentTextLength = 120
)

// Dataset is the data of one upstream, derived from its seed.
type Dataset struct {
	Seed     uint64
	Upstream ident.UpstreamID
	// Documents is the minimum number of documents of a shard; 0 means DefaultDocuments.
	Documents int
}

// Hit is one document of an answer.
type Hit struct {
	ID       string          `json:"id"`
	Score    float64         `json:"score"`
	Document json.RawMessage `json:"document"`
}

// Compare orders hits by score descending, then by document id.
func (h Hit) Compare(o Hit) int {
	if c := cmp.Compare(o.Score, h.Score); c != 0 {
		return c
	}

	return strings.Compare(h.ID, o.ID)
}

// Children returns the two shards that replace a shard when it is split.
func Children(s ident.ShardID) [2]ident.ShardID { return [2]ident.ShardID{s + ".0", s + ".1"} }

// parseShardID splits a shard id into its root and the half taken at each split: "s3.0.1" is half 1 of half 0 of
// "s3".
func parseShardID(s ident.ShardID) (root string, halves []uint64) {
	parts := strings.Split(string(s), ".")
	root = parts[0]

	for i, p := range parts[1:] {
		half, err := strconv.ParseUint(p, 10, 1)
		if err != nil {
			return strings.Join(parts[:i+2], "."), halves
		}

		halves = append(halves, half)
	}

	return root, halves
}

func hash(seed uint64, parts ...string) uint64 {
	var (
		d   xxhash.Digest
		buf [8]byte
	)

	d.Reset()

	put := func(n uint64) {
		binary.LittleEndian.PutUint64(buf[:], n)
		_, _ = d.Write(buf[:])
	}
	put(seed)

	for _, p := range parts {
		put(uint64(len(p)))
		_, _ = d.WriteString(p)
	}

	return d.Sum64()
}

// ids lists the documents of a shard in a snapshot. The children of a shard partition its documents.
func (d Dataset) ids(shard ident.ShardID, snapshot ident.SnapshotID) []string {
	root, halves := parseShardID(shard)
	name := strconv.FormatUint(uint64(snapshot), 10)

	n := d.Documents
	if n == 0 {
		n = DefaultDocuments
	}

	n += int(hash(d.Seed, "size", string(d.Upstream), root, name) % extraDocuments)
	ids := make([]string, 0, n)

next:
	for i := range n {
		id := fmt.Sprintf("%s/%s/%05d", d.Upstream, root, i)

		for depth, half := range halves {
			if hash(d.Seed, "half", id)>>depth&1 != half {
				continue next
			}
		}

		ids = append(ids, id)
	}

	return ids
}

// Count returns the number of documents of a shard in a snapshot.
func (d Dataset) Count(shard ident.ShardID, snapshot ident.SnapshotID) ident.Documents {
	return ident.Documents(len(d.ids(shard, snapshot)))
}

// Expected returns the hits that a searcher with this data answers. Scores and documents differ between snapshots.
func (d Dataset) Expected(shard ident.ShardID, snapshot ident.SnapshotID, query json.RawMessage, limit int) ([]Hit, error) {
	version := strconv.FormatUint(uint64(snapshot), 10)

	return d.answer(d.ids(shard, snapshot), snapshot, query, limit, func(id string) json.RawMessage {
		return d.document(id, version)
	})
}

func (d Dataset) answer(
	ids []string, snapshot ident.SnapshotID, query json.RawMessage, limit int, document func(id string) json.RawMessage,
) ([]Hit, error) {
	canonical, err := Canonical(query)
	if err != nil {
		return nil, err
	}

	version := strconv.FormatUint(uint64(snapshot), 10)

	var hits []Hit

	for _, id := range ids {
		score := hash(d.Seed, "score", string(canonical), id, version) % scoreLevels
		if score < minMatchingScore {
			continue
		}

		hits = append(hits, Hit{ID: id, Score: float64(score) / scoreLevels})
	}

	slices.SortFunc(hits, Hit.Compare)
	hits = hits[:min(len(hits), max(limit, 0))]

	for i := range hits {
		hits[i].Document = document(hits[i].ID)
	}

	return hits, nil
}

// ExpectedAnswer returns the merged hits of several shards, computed shard by shard.
func (d Dataset) ExpectedAnswer(shards []ident.ShardID, snapshot ident.SnapshotID, query json.RawMessage, limit int) ([]Hit, error) {
	var all []Hit

	for _, s := range shards {
		hits, err := d.Expected(s, snapshot, query, limit)
		if err != nil {
			return nil, err
		}

		all = append(all, hits...)
	}

	slices.SortStableFunc(all, Hit.Compare)
	all = slices.CompactFunc(all, func(a, b Hit) bool { return a.ID == b.ID })

	return all[:min(len(all), max(limit, 0))], nil
}

func (d Dataset) document(id, version string) json.RawMessage {
	text := strings.Repeat(fmt.Sprintf("%016x", hash(d.Seed, "text", id, version)), documentTextLength/16+1)

	return json.RawMessage(fmt.Sprintf(`{"id":%q,"snapshot":%s,"text":%q}`, id, version, text[:documentTextLength]))
}

// ExpectedResult returns the answer to an execute request.
func (d Dataset) ExpectedResult(shard ident.ShardID, body json.RawMessage) (json.RawMessage, error) {
	canonical, err := Canonical(body)
	if err != nil {
		return nil, err
	}

	return json.RawMessage(fmt.Sprintf(`{"done":"%016x"}`, hash(d.Seed, "execute", string(d.Upstream), string(shard), string(canonical)))), nil
}

// Canonical returns a JSON value without white space and with sorted names, because a node may re-encode the query of
// a caller.
func Canonical(data json.RawMessage) (json.RawMessage, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()

	var v any
	if err := dec.Decode(&v); err != nil {
		return nil, errors.Wrap(err, "decode JSON value")
	}

	if dec.More() {
		return nil, errors.New("more than one JSON value")
	}

	out, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode JSON value")
	}

	return out, nil
}
