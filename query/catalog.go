// This file defines what a query needs to know about upstreams and fingerprints.

package query

import (
	"time"

	"fulmarfall/ident"
)

// Catalog is a read view over registry, records and convictions. A query keeps it until it finishes and asks it
// again for every retry, hedge and change of snapshot, so a view that follows the current state keeps new attempts
// away from searchers that went out of service after the query started. The returned values must not change once
// returned; a changed upstream is a new value. Calls must be cheap and must not block, because they are made under
// the lock of the Planner.
type Catalog interface {
	// Upstream returns nil for an upstream that is not known.
	Upstream(id ident.UpstreamID) *Upstream
	// Standing returns what is known about a fingerprint, and for a conviction the time at which it expires.
	Standing(f ident.Fingerprint) (Standing, time.Time)
}

// Standing says what is known about the harm that a fingerprint does.
type Standing uint8

// The standings.
const (
	StandingNone Standing = iota
	StandingSuspected
	StandingConvicted
)

// Upstream is one upstream at one moment.
type Upstream struct {
	Snapshots []Snapshot
}

// Snapshot is a snapshot with its full list of shards; the list, its order and its document counts never change
// during the life of the snapshot, whatever happens to the replicas.
type Snapshot struct {
	ID     ident.SnapshotID
	Shards []Shard
}

// Shard is one shard of a snapshot with the searchers that hold it.
type Shard struct {
	ID        ident.ShardID
	Documents ident.Documents
	Replicas  []Replica
}

// Replica is one searcher that holds a shard in a snapshot.
type Replica struct {
	Searcher      ident.SearcherID
	FailureDomain ident.FailureDomain
	Region        ident.Region
	// Owner is the node that sends to the searcher; a replica without an owner is not usable.
	Owner ident.NodeID
	// Usable is false when the searcher is unreachable, leaving, without an owner or in a failure domain that is
	// out of service.
	Usable bool
	Cold   bool
}

func (u *Upstream) snapshot(id ident.SnapshotID) *Snapshot {
	if u == nil {
		return nil
	}
	for i := range u.Snapshots {
		if u.Snapshots[i].ID == id {
			return &u.Snapshots[i]
		}
	}

	return nil
}

// shard finds a shard by id; hint is where it is when the list has kept its order.
func (s *Snapshot) shard(id ident.ShardID, hint int) *Shard {
	if s == nil {
		return nil
	}
	if hint < len(s.Shards) && s.Shards[hint].ID == id {
		return &s.Shards[hint]
	}
	for i := range s.Shards {
		if s.Shards[i].ID == id {
			return &s.Shards[i]
		}
	}

	return nil
}

func (s *Shard) usable() bool {
	for i := range s.Replicas {
		if s.Replicas[i].Usable {
			return true
		}
	}

	return false
}

// pin chooses the snapshot whose shards with at least one usable replica hold the most documents, among equals the
// newest. Only snapshots newer than after are considered.
func pin(u *Upstream, after ident.SnapshotID, anyAge bool) *Snapshot {
	var (
		best       *Snapshot
		bestDocs   ident.Documents
		bestShards int
	)
	for i := range u.Snapshots {
		s := &u.Snapshots[i]
		if !anyAge && s.ID <= after {
			continue
		}
		var docs ident.Documents
		shards := 0
		for j := range s.Shards {
			if s.Shards[j].usable() {
				docs += s.Shards[j].Documents
				shards++
			}
		}
		if shards == 0 {
			continue
		}
		if best == nil || docs > bestDocs || docs == bestDocs && s.ID > best.ID {
			best, bestDocs, bestShards = s, docs, shards
		}
	}
	if bestShards == 0 {
		return nil
	}

	return best
}
