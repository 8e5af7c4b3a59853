package standin

import (
	"encoding/json"

	"fulmarfall/ident"
)

// SearchRequest is the body of POST /search.
type SearchRequest struct {
	RequestID ident.RequestID  `json:"request_id"`
	Attempt   ident.AttemptID  `json:"attempt"`
	Upstream  ident.UpstreamID `json:"upstream"`
	Shard     ident.ShardID    `json:"shard"`
	Snapshot  ident.SnapshotID `json:"snapshot"`
	Query     json.RawMessage  `json:"query"`
	Limit     int              `json:"limit"`
	TimeoutMS int64            `json:"timeout_ms"`
}

// SearchReply answers SearchRequest with status 200.
type SearchReply struct {
	RequestID ident.RequestID  `json:"request_id"`
	Attempt   ident.AttemptID  `json:"attempt"`
	Shard     ident.ShardID    `json:"shard"`
	Snapshot  ident.SnapshotID `json:"snapshot"`
	Hits      []Hit            `json:"hits"`
	RequestLimit
}

// ExecuteRequest is the body of POST /execute.
type ExecuteRequest struct {
	RequestID      ident.RequestID  `json:"request_id"`
	Attempt        ident.AttemptID  `json:"attempt"`
	Upstream       ident.UpstreamID `json:"upstream"`
	Shard          ident.ShardID    `json:"shard"`
	Body           json.RawMessage  `json:"body"`
	IdempotencyKey string           `json:"idempotency_key"`
	TimeoutMS      int64            `json:"timeout_ms"`
}

// ExecuteReply answers ExecuteRequest with status 200.
type ExecuteReply struct {
	RequestID ident.RequestID `json:"request_id"`
	Attempt   ident.AttemptID `json:"attempt"`
	Shard     ident.ShardID   `json:"shard"`
	Answer    json.RawMessage `json:"answer"`
	RequestLimit
}

// CancelRequest is the body of POST /cancel.
type CancelRequest struct {
	RequestID ident.RequestID `json:"request_id"`
	Attempt   ident.AttemptID `json:"attempt"`
}

// CancelReply answers CancelRequest. Found is false if no such request is in flight.
type CancelReply struct {
	Found bool `json:"found"`
}

// Refusal is the body of every status but 200. If Started is false, the request is guaranteed not to have run.
type Refusal struct {
	RequestID    ident.RequestID `json:"request_id,omitempty"`
	Attempt      ident.AttemptID `json:"attempt,omitempty"`
	Started      bool            `json:"started"`
	Reason       ident.Reason    `json:"reason"`
	RetryAfterMS int64           `json:"retry_after_ms"`
	RequestLimit
}

// RequestLimit is the part of an answer that names a request limit. It is absent if there is none.
type RequestLimit struct {
	LimitPerSecond float64 `json:"limit_per_second,omitempty"`
}

// Health is the body of GET /health.
type Health struct {
	Upstream    ident.UpstreamID  `json:"upstream"`
	Searcher    ident.SearcherID  `json:"searcher"`
	Incarnation ident.Incarnation `json:"incarnation"`
	InFlight    int               `json:"in_flight"`
	Slots       int               `json:"slots"`
	Cold        bool              `json:"cold"`
	Leaving     bool              `json:"leaving"`
}

// Announcement is the body of POST /v1/announce at a node.
type Announcement struct {
	Upstream          ident.UpstreamID    `json:"upstream"`
	Searcher          ident.SearcherID    `json:"searcher"`
	Incarnation       ident.Incarnation   `json:"incarnation"`
	Address           string              `json:"address"`
	FailureDomain     ident.FailureDomain `json:"failure_domain"`
	Region            ident.Region        `json:"region"`
	Slots             int                 `json:"slots"`
	Connections       int                 `json:"connections"`
	Cold              bool                `json:"cold"`
	ColdRatePerSecond int                 `json:"cold_rate_per_second"`
	Leaving           bool                `json:"leaving"`
	Snapshots         []SnapshotShards    `json:"snapshots"`
	Held              []HeldShards        `json:"held"`
}

// SnapshotShards lists every shard of a snapshot, whether this searcher serves it or not.
type SnapshotShards struct {
	Snapshot ident.SnapshotID `json:"snapshot"`
	Shards   []ShardDocuments `json:"shards"`
}

// ShardDocuments is a shard with its number of documents.
type ShardDocuments struct {
	Shard     ident.ShardID   `json:"shard"`
	Documents ident.Documents `json:"documents"`
}

// HeldShards lists the shards of a snapshot that this searcher serves.
type HeldShards struct {
	Snapshot ident.SnapshotID `json:"snapshot"`
	Shards   []ident.ShardID  `json:"shards"`
}

// Run is one execute request that the searcher started.
type Run struct {
	RequestID      ident.RequestID   `json:"request_id"`
	Attempt        ident.AttemptID   `json:"attempt"`
	Shard          ident.ShardID     `json:"shard"`
	IdempotencyKey string            `json:"idempotency_key"`
	Body           string            `json:"body"`
	Incarnation    ident.Incarnation `json:"incarnation"`
}

// Stats counts the events at a searcher since Start, over all incarnations.
type Stats struct {
	Incarnation         ident.Incarnation `json:"incarnation"`
	InFlight            int               `json:"in_flight"`
	PeakInFlight        int               `json:"peak_in_flight"` // includes requests beyond the slots
	OverSlots           int               `json:"over_slots"`     // requests that found every slot occupied
	Connections         int               `json:"connections"`
	PeakConnections     int               `json:"peak_connections"` // includes connections beyond the limit
	RefusedConnections  int               `json:"refused_connections"`
	AcceptedConnections int               `json:"accepted_connections"`
	Received            int               `json:"received"`
	Started             int               `json:"started"`
	Answered            int               `json:"answered"`
	Refused             int               `json:"refused"`
	Expired             int               `json:"expired"`
	Cancelled           int               `json:"cancelled"`
	Crashes             int               `json:"crashes"`
	ColdCrashes         int               `json:"fell_over"` // crashes caused by overload while cold
	Announced           int               `json:"announced"`
	AnnounceFailures    int               `json:"announce_failures"`
}
