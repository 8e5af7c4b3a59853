package consensus

import "fulmarfall/ident"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file message.go -tests=false -io=false

//msgp:limit arrays:4096 maps:16
//msgp:shim ident.NodeID as:string using:string/ident.NodeID
//msgp:ignore Message
//msgp:tuple Member Entry HardState Header VoteRequest VoteReply AppendRequest AppendReply SnapshotRequest SnapshotReply Hello SnapshotMeta

// Term is a Raft term. Each term has at most one leader.
type Term uint64

// Index is the position of an entry in the log, starting at 1.
type Index uint64

// DiskID distinguishes the successive disks of a node id. It is generated at the first start with an empty data folder.
type DiskID uint64

// ClusterID identifies one formation of the cluster. Messages with another cluster id are dropped.
type ClusterID uint64

// Round is the number of a heartbeat round within the term of a leader.
type Round uint64

// EntryKind determines how the data of an entry is interpreted.
type EntryKind uint8

// Kinds of log entries.
const (
	EntryCommand EntryKind = iota // command for the state machine
	EntryNoop                     // empty first entry of a leader's term
	EntryMembers                  // data is an encoded MemberList
)

// Member is a voter or learner.
type Member struct {
	ID      ident.NodeID
	Disk    DiskID
	Learner bool
}

// MemberList is the complete membership, sorted by node id.
type MemberList []Member

// Entry is one entry of the replicated log.
type Entry struct {
	Index Index
	Term  Term
	Kind  EntryKind
	Data  []byte `msg:"Data,limit=4194304"` // without this limit, the one for arrays would apply
}

// HardState is the persistent state apart from the log and snapshot. It must be durable before any message that depends
// on it is sent.
type HardState struct {
	Cluster ClusterID // 0 if this disk does not belong to a cluster yet
	Term    Term
	Vote    ident.NodeID // empty if no vote was cast in Term
}

// SnapshotMeta is the position of the last log entry that a snapshot covers, and the membership at that position.
type SnapshotMeta struct {
	Index   Index
	Term    Term
	Members MemberList
}

// Header is the part that all messages have in common.
type Header struct {
	Cluster  ClusterID
	From     ident.NodeID
	FromDisk DiskID
	To       ident.NodeID
	ToDisk   DiskID // 0 only in a Hello, whose sender may not know the receiver's disk
	Term     Term
}

// VoteRequest requests a vote or, if Pre is set, a pre-vote. The header's term is the term of the election; a pre-vote
// request does not change the receiver's term.
type VoteRequest struct {
	Pre       bool
	LastIndex Index
	LastTerm  Term
}

// VoteReply answers a VoteRequest. In a granted pre-vote, the header's term is the term of the election.
type VoteReply struct {
	Pre     bool
	Granted bool
}

// AppendRequest replicates entries. Without entries it is a heartbeat.
type AppendRequest struct {
	PrevIndex Index
	PrevTerm  Term
	Commit    Index
	Round     Round
	Entries   []Entry
}

// AppendReply answers an AppendRequest once the entries are durable.
type AppendReply struct {
	Reject bool
	Prev   Index // PrevIndex of the request
	Match  Index // if accepted: last index known to match the leader's log
	Hint   Index // if rejected: the logs may match at or before this index
	Round  Round
}

// SnapshotRequest carries one chunk of a snapshot.
type SnapshotRequest struct {
	Meta   SnapshotMeta
	Offset uint64
	Total  uint64
	Round  Round
	Data   []byte `msg:"Data,limit=4194304"`
}

// SnapshotReply acknowledges the bytes before offset Next. If Next equals the total, the snapshot is durable.
type SnapshotReply struct {
	Index Index
	Next  uint64
	Done  bool
	Round Round
}

// Hello announces the sender's disk. It is sent by a node that is not a member of a cluster, and by a formed node in reply
// to an unformed one.
type Hello struct {
	Formed  bool
	Voters  []ident.NodeID // the sender's configured voters
	Members MemberList     // if formed: the initial membership, while it is still in the log
	Member  bool           // if formed: whether the receiver's disk is in the sender's membership
}

// Body is the type-specific part of a message.
type Body interface{ body() }

func (*VoteRequest) body()     {}
func (*VoteReply) body()       {}
func (*AppendRequest) body()   {}
func (*AppendReply) body()     {}
func (*SnapshotRequest) body() {}
func (*SnapshotReply) body()   {}
func (*Hello) body()           {}

// Message is a message between two nodes.
type Message struct {
	Header
	Body Body
}
