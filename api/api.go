// Package api defines the request and response bodies of the public HTTP interface for callers and operators;
// docs/callers.md and docs/OPERATIONS.md describe them.
package api

import (
	"encoding/json"

	"fulmarfall/ident"
	"fulmarfall/record"
)

// SearchRequest is the body of POST /v1/search.
type SearchRequest struct {
	Upstream ident.UpstreamID `json:"upstream"`
	// Query is passed to the upstream's searchers as is.
	Query       json.RawMessage `json:"query"`
	Class       string          `json:"class,omitempty"`
	Limit       int             `json:"limit,omitempty"`
	TimeoutMS   int64           `json:"timeout_ms,omitempty"`
	MinCoverage float64         `json:"min_coverage,omitempty"`
}

// ExecuteRequest is the body of POST /v1/execute.
type ExecuteRequest struct {
	Upstream ident.UpstreamID `json:"upstream"`
	Shard    ident.ShardID    `json:"shard"`
	// Body is passed to the upstream's searcher as is.
	Body      json.RawMessage `json:"body"`
	Class     string          `json:"class,omitempty"`
	TimeoutMS int64           `json:"timeout_ms,omitempty"`
}

// Hit is a matching document with its score.
type Hit struct {
	ID       string          `json:"id"`
	Score    float64         `json:"score"`
	Document json.RawMessage `json:"document"`
}

// MissingShard is a shard that an answer does not cover, and why.
type MissingShard struct {
	Shard  ident.ShardID `json:"shard"`
	Reason ident.Reason  `json:"reason"`
}

// Coverage states how much of the pinned snapshot an answer covers.
type Coverage struct {
	ShardsTotal       int             `json:"shards_total"`
	ShardsAnswered    int             `json:"shards_answered"`
	DocumentsTotal    ident.Documents `json:"documents_total"`
	DocumentsAnswered ident.Documents `json:"documents_answered"`
	Missing           []MissingShard  `json:"missing"`
}

// SearchAnswer is the body of a successful POST /v1/search.
type SearchAnswer struct {
	RequestID ident.RequestID  `json:"request_id"`
	Outcome   ident.Outcome    `json:"outcome"`
	Snapshot  ident.SnapshotID `json:"snapshot"`
	Coverage  Coverage         `json:"coverage"`
	Hits      []Hit            `json:"hits"`
}

// ExecuteAnswer is the body of a successful POST /v1/execute.
type ExecuteAnswer struct {
	RequestID ident.RequestID `json:"request_id"`
	Outcome   ident.Outcome   `json:"outcome"`
	Answer    json.RawMessage `json:"answer,omitempty"`
	Repeated  bool            `json:"repeated"`
	// AnswerKept is false if the answer of an earlier run was too large to be stored.
	AnswerKept bool `json:"answer_kept"`
}

// Refusal is the body of an unsuccessful response.
type Refusal struct {
	RequestID    ident.RequestID `json:"request_id,omitempty"`
	Outcome      ident.Outcome   `json:"outcome"`
	Reason       ident.Reason    `json:"reason"`
	Message      string          `json:"message"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
	Addresses    []string        `json:"addresses,omitempty"`
}

// Addresses is the response to GET /v1/addresses. Callers may cache it for KeepSeconds.
type Addresses struct {
	Addresses   []string `json:"addresses"`
	KeepSeconds int      `json:"keep_seconds"`
}

// Record is a record as operators see it.
type Record struct {
	Kind      record.Kind     `json:"kind"`
	Name      string          `json:"name"`
	Schema    record.Schema   `json:"schema"`
	Revision  ident.Revision  `json:"revision"`
	Withdrawn bool            `json:"withdrawn,omitempty"`
	Spec      json.RawMessage `json:"spec,omitempty"`
}

// RecordChange is the body of PUT and DELETE /v1/records/{kind}/{name}.
type RecordChange struct {
	Schema    record.Schema     `json:"schema,omitempty"`
	Revision  ident.Revision    `json:"revision"`
	Operation ident.OperationID `json:"operation_id"`
	Spec      json.RawMessage   `json:"spec,omitempty"`
}

// RecordAnswer is the response to a RecordChange.
type RecordAnswer struct {
	Status   string `json:"status"`
	Repeated bool   `json:"repeated,omitempty"`
	Record   Record `json:"record"`
	Message  string `json:"message,omitempty"`
}

// RecordList is the response to GET /v1/records and /v1/watch. Index is the log index to pass to the next watch.
type RecordList struct {
	Index   uint64   `json:"index"`
	Records []Record `json:"records"`
}

// NodeStatus is one node in the response to GET /v1/status.
type NodeStatus struct {
	Node          ident.NodeID        `json:"node"`
	HTTPAddress   string              `json:"http_address"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	Region        ident.Region        `json:"region"`
	Leaving       bool                `json:"leaving"`
	LoadPercent   int                 `json:"load_percent"`
	// InForce is the index of the replicated log up to which the node's configuration is in force.
	InForce uint64 `json:"in_force"`
}

// VoterStatus is the leader's view of the voters in the response to GET /v1/status.
type VoterStatus struct {
	Leader      ident.NodeID   `json:"leader"`
	Term        uint64         `json:"term"`
	CommitIndex uint64         `json:"commit_index"`
	Voters      []ident.NodeID `json:"voters"`
	Learners    []ident.NodeID `json:"learners"`
}

// SearcherStatus is one searcher in the response to GET /v1/status.
type SearcherStatus struct {
	Searcher      ident.SearcherID    `json:"searcher"`
	Upstream      ident.UpstreamID    `json:"upstream"`
	FailureDomain ident.FailureDomain `json:"failure_domain"`
	Owner         ident.NodeID        `json:"owner"`
	Epoch         ident.Epoch         `json:"epoch"`
	Leaving       bool                `json:"leaving"`
	Removed       bool                `json:"removed"`
}

// Status is the response to GET /v1/status.
type Status struct {
	AnsweredBy ident.NodeID     `json:"answered_by"`
	Voters     VoterStatus      `json:"voters"`
	Nodes      []NodeStatus     `json:"nodes"`
	Searchers  []SearcherStatus `json:"searchers"`
}

// VoterChange is the body of POST /v1/voters, which only the leader serves.
type VoterChange struct {
	// Change is add_learner, promote, remove or replace. Replace adds the node, with its new disk, as a
	// learner and promotes it once it has caught up.
	Change string       `json:"change"`
	Node   ident.NodeID `json:"node"`
}

// VoterAnswer is the response to a VoterChange.
type VoterAnswer struct {
	Change string       `json:"change"`
	Node   ident.NodeID `json:"node"`
}

// Announcement is the body of POST /v1/announce; docs/upstreams.md describes it.
type Announcement struct {
	Upstream          ident.UpstreamID    `json:"upstream"`
	Searcher          ident.SearcherID    `json:"searcher"`
	Incarnation       ident.Incarnation   `json:"incarnation"`
	Address           string              `json:"address"`
	FailureDomain     ident.FailureDomain `json:"failure_domain"`
	Region            ident.Region        `json:"region"`
	Slots             uint32              `json:"slots"`
	Connections       uint32              `json:"connections"`
	Cold              bool                `json:"cold"`
	ColdRatePerSecond uint32              `json:"cold_rate_per_second"`
	Leaving           bool                `json:"leaving"`
	Snapshots         []SnapshotShards    `json:"snapshots"`
	Held              []HeldShards        `json:"held"`
}

// SnapshotShards lists every shard of a snapshot, including those on other searchers.
type SnapshotShards struct {
	Snapshot ident.SnapshotID `json:"snapshot"`
	Shards   []ShardDocuments `json:"shards"`
}

// ShardDocuments is a shard with its number of documents.
type ShardDocuments struct {
	Shard     ident.ShardID   `json:"shard"`
	Documents ident.Documents `json:"documents"`
}

// HeldShards lists the shards of a snapshot that the announcing searcher serves.
type HeldShards struct {
	Snapshot ident.SnapshotID `json:"snapshot"`
	Shards   []ident.ShardID  `json:"shards"`
}

// AnnouncementAnswer is the response to a successful POST /v1/announce.
type AnnouncementAnswer struct {
	Accepted bool  `json:"accepted"`
	NextMS   int64 `json:"next_ms"`
}
