package consensus

// This file holds the types that travel between voters or lie on disk.

import "fulmarfall/ident"

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file message.go -tests=false -io=false

//msgp:limit arrays:4096 maps:16
//msgp:shim ident.NodeID as:string using:string/ident.NodeID
//msgp:ignore Message
//msgp:tuple Member Entry HardState Header VoteRequest VoteReply AppendRequest AppendReply SnapshotRequest SnapshotReply Hello SnapshotMeta

// Term numbers the elections; at most one leader exists per term.
type Term uint64

// Index numbers the entries of the log, from 1.
type Index uint64

// DiskID tells apart the disks that one node id has had. It is drawn at the first start on an empty folder.
type DiskID uint64

// ClusterID names one formation of the voters. Messages of another cluster are dropped.
type ClusterID uint64

// Round numbers the heartbeat rounds of one leader term.
type Round uint64

// EntryKind says what the data of an entry is.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand EntryKind = iota // data of the state machine
	EntryNoop                     // first entry of a leader's term
	EntryMembers                  // data is an encoded MemberList
)

// Member is one voter or learner.
type Member struct {
	ID      ident.NodeID
	Disk    DiskID
	Learner bool
}

// MemberList is the whole membership, in order of node id.
type MemberList []Member

// Entry is one record of the replicated log.
type Entry struct {
	Index Index
	Term  Term
	Kind  EntryKind
	Data  []byte `msg:"Data,limit=4194304"` // the limit of arrays would hold for bytes too
}

// HardState must be durable before any message that depends on it is sent.
type HardState struct {
	Cluster ClusterID // 0: this disk belongs to no cluster yet
	Term    Term
	Vote    ident.NodeID // empty: no vote in Term
}

// SnapshotMeta describes the state that a snapshot replaces.
type SnapshotMeta struct {
	Index   Index
	Term    Term
	Members MemberList
}

// Header is common to all messages.
type Header struct {
	Cluster  ClusterID
	From     ident.NodeID
	FromDisk DiskID
	To       ident.NodeID
	ToDisk   DiskID // 0 only in Hello, where the disk of the receiver is not known
	Term     Term
}

// VoteRequest asks for a vote, or, with Pre set, whether a vote would be given. The header's term is the one
// campaigned for; a pre-vote request does not change the term of the receiver.
type VoteRequest struct {
	Pre       bool
	LastIndex Index
	LastTerm  Term
}

// VoteReply answers a VoteRequest. In a granted pre-vote the header's term is the one campaigned for.
type VoteReply struct {
	Pre     bool
	Granted bool
}

// AppendRequest replicates entries; without entries it is a heartbeat.
type AppendRequest struct {
	PrevIndex Index
	PrevTerm  Term
	Commit    Index
	Round     Round
	Entries   []Entry
}

// AppendReply answers an AppendRequest after the entries are durable.
type AppendReply struct {
	Reject bool
	Prev   Index // of the request
	Match  Index // accepted: last index known to equal the leader's log
	Hint   Index // rejected: an index at or before which the logs may agree
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

// SnapshotReply acknowledges the chunks below Next; Next equal to the total means that the snapshot is durable.
type SnapshotReply struct {
	Index Index
	Next  uint64
	Done  bool
	Round Round
}

// Hello is sent by a voter whose disk belongs to no cluster, and by a formed voter in answer to one.
type Hello struct {
	Formed  bool
	Voters  []ident.NodeID // configured voters of the sender
	Members MemberList     // formed: the first membership, while it is still in the log
	Member  bool           // formed: the receiver's disk is in the sender's membership
}

// Body is the part of a message that differs by type.
type Body interface{ body() }

func (*VoteRequest) body()     {}
func (*VoteReply) body()       {}
func (*AppendRequest) body()   {}
func (*AppendReply) body()     {}
func (*SnapshotRequest) body() {}
func (*SnapshotReply) body()   {}
func (*Hello) body()           {}

// Message is one message between voters.
type Message struct {
	Header
	Body Body
}
