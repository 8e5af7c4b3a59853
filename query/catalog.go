package query

import (
	"cmp"
	"math"
	"time"

	"fulmarfall/ident"
)

// Catalog is a read-only view of the registry, the records and the convictions. A query keeps it until it finishes and
// reads it again for every retry, hedge and change of snapshot. A view that follows the current state therefore keeps new
// attempts away from searchers that went out of service after the query started. Returned values must be immutable; a
// changed upstream is a new value. Calls must be cheap and must not block, because the Planner's mutex is held.
type Catalog interface {
	// Upstream returns nil for an unknown upstream.
	Upstream(id ident.UpstreamID) *Upstream
	// Standing returns whether a fingerprint is suspected or convicted, and for a conviction when it expires.
	Standing(f ident.Fingerprint) (Standing, time.Time)
}

// Standing is the crash status of a fingerprint.
type Standing uint8

// Crash statuses: not known to crash searchers, suspected after a crash, and convicted.
const (
	StandingNone Standing = iota
	StandingSuspected
	StandingConvicted
)

// Upstream is the state of an upstream at one point in time.
type Upstream struct {
	Snapshots []Snapshot
}

// Snapshot is a snapshot with its complete list of shards. The list, its order and the document counts never change
// during the lifetime of the snapshot, even when replicas come and go.
type Snapshot struct {
	ID     ident.SnapshotID
	Shards []Shard
	// Retired marks a snapshot that is kept only for queries that have already pinned it.
	Retired bool
}

// Shard is one shard of a snapshot and the searchers that serve it.
type Shard struct {
	ID        ident.ShardID
	Documents ident.Documents
	Replicas  []Replica
}

// Replica is a searcher that serves a shard of a snapshot.
type Replica struct {
	Searcher      ident.SearcherID
	FailureDomain ident.FailureDomain
	Region        ident.Region
	// Owner is the node that sends requests to the searcher; a replica without an owner is not usable.
	Owner ident.NodeID
	// Usable is false if the searcher is unreachable, leaving, without an owner or in a failure domain that is out of
	// service.
	Usable bool
	// Preferred is set if the searcher is to be chosen before those for which it is not set, as long as it takes connections.
	Preferred bool
	Cold      bool
	// Born identifies the incarnation of the searcher; each incarnation has its own notices. It is 0 if nodes do not send to
	// searchers directly.
	Born uint64
	// Slots is the number of requests that the searcher runs concurrently; 0 if unknown.
	Slots int
	// OwnerCold is set if the owner reports through the control state that it limits the searcher as cold. Only canaries avoid
	// such a replica. Other attempts rely on load reports, which expire, so that a cold replica is tried again and can warm
	// up.
	OwnerCold bool
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

// shard finds a shard by id; hint is its index if the order of the list is unchanged.
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

// pinDepth is the number of usable replicas per shard up to which pin prefers a snapshot with more replicas.
const pinDepth = 2

// pin chooses the snapshot whose usable replicas cover the largest fraction of its documents. Ties are broken by the
// number of usable replicas of the shard with the fewest, up to pinDepth, and then by the newest id. The fraction is
// compared instead of the document count, because a newer snapshot may have fewer documents and would otherwise never be
// chosen. The replica count keeps all queries from moving to the first searcher of each shard that has a new snapshot.
// Only snapshots newer than after are considered, unless anyAge is set.
func pin(u *Upstream, after ident.SnapshotID, anyAge bool) *Snapshot {
	var (
		best      *Snapshot
		bestShare float64
		bestDepth int
	)
	for i := range u.Snapshots {
		s := &u.Snapshots[i]
		if s.Retired || !anyAge && s.ID <= after {
			continue
		}
		share, depth := s.usableShare(), s.usableDepth()
		if share == 0 {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(share, bestShare), cmp.Compare(depth, bestDepth), cmp.Compare(s.ID, best.ID)) > 0 {
			best, bestShare, bestDepth = s, share, depth
		}
	}

	return best
}

// usableDepth returns the number of usable replicas of the shard with the fewest, at most pinDepth.
func (s *Snapshot) usableDepth() int {
	depth := pinDepth
	for i := range s.Shards {
		n := 0
		for j := range s.Shards[i].Replicas {
			if s.Shards[i].Replicas[j].Usable {
				n++
			}
		}
		depth = min(depth, n)
	}

	return depth
}

// usableShare returns the fraction of the documents for which there is a usable replica, or of the shards if there are no
// documents.
func (s *Snapshot) usableShare() float64 {
	var (
		usable, total ident.Documents
		shards        int
	)
	for i := range s.Shards {
		total += s.Shards[i].Documents
		if s.Shards[i].usable() {
			usable += s.Shards[i].Documents
			shards++
		}
	}
	switch {
	case shards == 0:
		return 0
	case total == 0:
		return float64(shards) / float64(len(s.Shards))
	case usable == 0:
		// A snapshot with only empty shards usable is still better than none.
		return math.SmallestNonzeroFloat64
	}

	return float64(usable) / float64(total)
}
