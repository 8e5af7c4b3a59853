// Package registry keeps the searchers known to the system, the immutable shard maps of their
// snapshots, and the owner of each searcher. It is part of the replicated state: every result
// depends only on the arguments and on earlier calls.
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

// Snapshot is one snapshot as a searcher announces it. Shards lists every shard of the snapshot;
// Held lists those that the searcher serves.
type Snapshot struct {
	ID ident.SnapshotID `json:"id"`
	// Shards may be empty in a command whose snapshot is already stored.
	Shards []Shard         `json:"shards,omitempty"`
	Held   []ident.ShardID `json:"held"`
}

// Announcement is what a searcher says about itself.
type Announcement struct {
	Upstream      ident.UpstreamID    `json:"upstream"`
	Searcher      ident.SearcherID    `json:"searcher"`
	Incarnation   ident.Incarnation   `json:"incarnation"`
	Address       string              `json:"address"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	Region        ident.Region        `json:"region"`
	// Slots is the number of requests that the searcher can run at once.
	Slots uint32 `json:"slots"`
	// Connections is the number of connections that the searcher accepts.
	Connections uint32 `json:"connections"`
	Cold        bool   `json:"cold,omitempty"`
	// ColdRatePerSecond is the number of starts per second that the searcher bears while cold;
	// 0 means that it does not say.
	ColdRatePerSecond uint32     `json:"cold_rate_per_second,omitempty"`
	Leaving           bool       `json:"leaving,omitempty"`
	Snapshots         []Snapshot `json:"snapshots"`
}

// MoveState says how far the planned move of a searcher to another owner has come.
type MoveState uint8

// The states of a move.
const (
	// MoveNone means that the owner, if there is one, may send.
	MoveNone MoveState = iota
	// MoveStarted means that the owner starts no new requests and will report the release. Within
	// an epoch there is no way back to MoveNone.
	MoveStarted
	// MoveReleased means that the last owner has stopped; the searcher has no owner.
	MoveReleased
)

// Holding is a snapshot of which a searcher serves some shards.
type Holding struct {
	Snapshot ident.SnapshotID
	Held     []ident.ShardID
}

// Searcher is the registry's entry for one searcher. Entries are replaced and never changed, so
// a copy stays valid after the view that gave it has ended.
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
	// Removed means that the searcher is out of routing. Its entry stays, because its owner may
	// still have requests in flight.
	Removed  bool
	Holdings []Holding

	// Owner is empty while nobody may send to the searcher.
	Owner ident.NodeID
	// OwnerIncarnation tells two runs of the owner's process apart. A restarted process does not
	// know what its earlier run has in flight, so it is not the same owner.
	OwnerIncarnation ident.Incarnation
	// Epoch grows with each change of owner. It is unique in the registry.
	Epoch ident.Epoch
	Move  MoveState
	// OwnerCold is the owner's report that it limits the searcher as cold, whatever the searcher announces.
	OwnerCold bool
	// MoveTo is the node that the current move is meant for.
	MoveTo ident.NodeID
}

// OwnedBy reports whether a run of a node may send to the searcher, given that it holds a lease.
func (s *Searcher) OwnedBy(n ident.NodeID, inc ident.Incarnation) bool {
	return s.Owner != "" && s.Owner == n && s.OwnerIncarnation == inc && s.Move == MoveNone
}

// ShardMap is the immutable list of shards of one snapshot, ordered by shard id.
type ShardMap struct {
	Snapshot ident.SnapshotID
	Shards   []Shard
	// Complete means that at some time every shard was held by a searcher in routing. It is
	// never taken back, so pruning does not depend on which searchers have died since.
	Complete bool
}

// Documents returns the documents in all shards.
func (m *ShardMap) Documents() ident.Documents {
	var n ident.Documents
	for i := range m.Shards {
		n += m.Shards[i].Documents
	}

	return n
}

// UpstreamImage is the part of an Image that belongs to one upstream.
type UpstreamImage struct {
	ID   ident.UpstreamID
	Maps []ShardMap
}

// Image is the content of a registry in its fixed order.
type Image struct {
	LastEpoch ident.Epoch
	Searchers []Searcher
	Upstreams []UpstreamImage
}
