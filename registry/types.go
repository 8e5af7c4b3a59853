// Package registry stores the registered searchers, the immutable shard maps of their snapshots, and
// the owner of each searcher. It is part of the replicated state, so its operations are
// deterministic: their results depend only on the arguments and on earlier calls.
package registry

import (
	"fulmarfall/ident"
)

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file types.go -tests=false -io=false

//msgp:replace ident.NodeID with:string
//msgp:replace ident.UpstreamID with:string
//msgp:replace ident.SearcherID with:string
//msgp:replace ident.ShardID with:string
//msgp:replace ident.FailureDomain with:string
//msgp:replace ident.Region with:string
//msgp:replace ident.Incarnation with:uint64
//msgp:replace ident.SnapshotID with:uint64
//msgp:replace ident.Epoch with:uint64
//msgp:replace ident.Documents with:uint64
//msgp:limit arrays:20000 maps:64
//msgp:tuple Shard Snapshot Announcement Searcher Holding ShardMap UpstreamImage Image

// Shard is one shard of a snapshot.
type Shard struct {
	ID        ident.ShardID   `json:"id"`
	Documents ident.Documents `json:"documents"`
}

// Snapshot is one snapshot as announced by a searcher. Shards lists every shard of the snapshot, Held
// the shards that the searcher serves.
type Snapshot struct {
	ID ident.SnapshotID `json:"id"`
	// Shards may be empty if the registry already stores the snapshot.
	Shards []Shard         `json:"shards,omitempty"`
	Held   []ident.ShardID `json:"held"`
}

// Announcement is the data that a searcher registers about itself.
type Announcement struct {
	Upstream      ident.UpstreamID    `json:"upstream"`
	Searcher      ident.SearcherID    `json:"searcher"`
	Incarnation   ident.Incarnation   `json:"incarnation"`
	Address       string              `json:"address"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	Region        ident.Region        `json:"region"`
	// Slots is the number of requests that the searcher can execute concurrently.
	Slots uint32 `json:"slots"`
	// Connections is the maximum number of connections that the searcher accepts.
	Connections uint32 `json:"connections"`
	Cold        bool   `json:"cold,omitempty"`
	// ColdRatePerSecond is the number of requests per second that the searcher can start while it
	// is cold; 0 means that it is not specified.
	ColdRatePerSecond uint32     `json:"cold_rate_per_second,omitempty"`
	Leaving           bool       `json:"leaving,omitempty"`
	Snapshots         []Snapshot `json:"snapshots"`
}

// MoveState is the state of a searcher's move to another owner.
type MoveState uint8

// States of a move.
const (
	// MoveNone means that no move is in progress: the owner, if any, may send requests.
	MoveNone MoveState = iota
	// MoveStarted means that the owner starts no new requests and will report the release. There is
	// no transition back to MoveNone within an epoch.
	MoveStarted
	// MoveReleased means that the last owner has stopped sending and the searcher has no owner.
	MoveReleased
)

// Holding lists the shards of one snapshot that a searcher serves.
type Holding struct {
	Snapshot ident.SnapshotID
	Held     []ident.ShardID
}

// Searcher is the registry entry of one searcher. Entries are replaced and never modified, so a copy
// stays valid after the view that returned it has ended.
type Searcher struct {
	ID                ident.SearcherID
	Upstream          ident.UpstreamID
	Incarnation       ident.Incarnation
	Address           string
	FailureDomain     ident.FailureDomain
	Region            ident.Region
	Slots             uint32
	Connections       uint32
	Cold              bool
	ColdRatePerSecond uint32
	Leaving           bool
	// Removed means that the searcher is out of routing. Its entry remains, because its owner may
	// still have requests in flight.
	Removed  bool
	Holdings []Holding

	// Owner is the node that may send to the searcher; it is empty while there is none.
	Owner ident.NodeID
	// OwnerIncarnation distinguishes runs of the owner's process. A restarted process does not know
	// which requests its earlier run has in flight, so it does not count as the same owner.
	OwnerIncarnation ident.Incarnation
	// Epoch increases with each change of owner and is unique across the registry.
	Epoch ident.Epoch
	Move  MoveState
	// OwnerCold means that the owner reports that it applies the cold rate limit to the searcher,
	// regardless of Cold.
	OwnerCold bool
	// MoveTo is the destination of the current move.
	MoveTo ident.NodeID
}

// OwnedBy reports whether a run of a node may send to the searcher, provided that it holds a lease.
func (s *Searcher) OwnedBy(n ident.NodeID, inc ident.Incarnation) bool {
	return s.Owner != "" && s.Owner == n && s.OwnerIncarnation == inc && s.Move == MoveNone
}

// ShardMap is the immutable list of shards of one snapshot, ordered by shard id.
type ShardMap struct {
	Snapshot ident.SnapshotID
	Shards   []Shard
	// Complete means that at some point every shard was held by a searcher in routing. It is never
	// reset, so pruning does not depend on which searchers have failed since.
	Complete bool
}

// Documents returns the total number of documents in all shards.
func (m *ShardMap) Documents() ident.Documents {
	var n ident.Documents
	for i := range m.Shards {
		n += m.Shards[i].Documents
	}

	return n
}

// UpstreamImage contains the shard maps of one upstream in an Image.
type UpstreamImage struct {
	ID   ident.UpstreamID
	Maps []ShardMap
}

// Image is the content of a registry in a deterministic order.
type Image struct {
	LastEpoch ident.Epoch
	Searchers []Searcher
	Upstreams []UpstreamImage
}
