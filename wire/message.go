// Package wire defines the messages between nodes and their encoding.
//
// A frame is one byte of protocol version, one byte of kind and a msgp body. Bodies are maps with short keys. Nodes skip
// unknown keys, so fields can be added without a new protocol version.
package wire

import (
	"fulmarfall/ident"

	"github.com/tinylib/msgp/msgp"
)

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file message.go -tests=false -io=false

//msgp:replace ident.NodeID with:string
//msgp:replace ident.TeamID with:string
//msgp:replace ident.UpstreamID with:string
//msgp:replace ident.SearcherID with:string
//msgp:replace ident.ShardID with:string
//msgp:replace ident.FailureDomain with:string
//msgp:replace ident.Region with:string
//msgp:replace ident.RequestID with:string
//msgp:replace ident.Reason with:string
//msgp:replace ident.SnapshotID with:uint64
//msgp:replace ident.AttemptID with:uint64
//msgp:replace ident.Epoch with:uint64
//msgp:replace ident.Incarnation with:uint64
//msgp:replace ident.Fingerprint with:uint64
//msgp:replace ident.Class with:uint8

//msgp:tuple Refresh
//msgp:tuple UsageDemand
//msgp:tuple UsageShare

//msgp:limit arrays:16384 maps:64 marshal:true

// Kind identifies the message type; it is the second byte of a frame. Values are never reused.
type Kind uint8

// Message kinds. New ones are appended, so that the existing values do not change.
const (
	KindRaft Kind = iota + 1
	KindRenew
	KindRenewed
	KindPropose
	KindProposed
	KindShardRequest
	KindShardReply
	KindAnnounce
	KindAnnounced
	KindStatusRequest
	KindStatusReply
	KindAck
	KindSuspect
	KindFollow
	KindFollowed
	KindRoster
	KindConfirm
	KindConfirmed
	KindForward
	KindForwarded
	KindUsageReport
	KindUsageGrant
)

// Message is a message between nodes. It is implemented only by types of this package.
type Message interface {
	msgp.Marshaler
	msgp.Unmarshaler
	msgp.Sizer
	// Kind returns the kind in the frame header.
	Kind() Kind
	message()
}

// Raft carries an encoded message of package consensus, which is opaque to this package.
type Raft struct {
	From ident.NodeID `msg:"f"`
	Data []byte       `msg:"d,zerocopy,limit=4194304"`
}

// Renew requests a new or renewed node lease from the leader. It can be sent to any voter.
type Renew struct {
	Node ident.NodeID `msg:"n"`
	// Incarnation distinguishes successive processes of the same node.
	Incarnation   ident.Incarnation   `msg:"ic"`
	Address       string              `msg:"a"` // host:port of the QUIC listener
	HTTPAddress   string              `msg:"h"` // host:port that callers use
	FailureDomain ident.FailureDomain `msg:"fd"`
	Region        ident.Region        `msg:"rg"`
	// Applied is the last log index that the node has applied to its control state.
	Applied  uint64 `msg:"ap"`
	InFlight int    `msg:"if"`
	Load     int    `msg:"ld"` // percent of the node's in-flight limit
	Leaving  bool   `msg:"lv"`
	Voter    bool   `msg:"vt"`
	// Relayed is set by the voter that forwards a renewal, so that it is forwarded at most once.
	Relayed bool `msg:"rl"`
	// MembersTerm and MembersNumber identify the version of the node list that the node has received.
	MembersTerm   uint64 `msg:"mt"`
	MembersNumber uint64 `msg:"mn"`
}

// Entry is an encoded command in the replicated log.
type Entry struct {
	Index uint64 `msg:"i"`
	Data  []byte `msg:"d,zerocopy,limit=4194304"`
}

// Renewed is the reply to Renew. The control state that the node has not applied yet is in either Entries or Snapshot.
type Renewed struct {
	OK            bool         `msg:"ok"`
	Leader        ident.NodeID `msg:"l"`
	Error         string       `msg:"er"`
	GrantedMillis int64        `msg:"g"`
	// MustApply is the commit index that the node must have applied before the lease is valid.
	MustApply uint64  `msg:"m"`
	Entries   []Entry `msg:"en"`
	Snapshot  []byte  `msg:"sn,zerocopy,limit=4194304"`
	// Members are the changes to the node list since the version in the renewal.
	Members       []Member `msg:"mb"`
	MembersTerm   uint64   `msg:"mt"`
	MembersNumber uint64   `msg:"mn"`
}

// Member is an entry in the node list.
type Member struct {
	Node          ident.NodeID        `msg:"n"`
	Address       string              `msg:"a"` // host:port of the QUIC listener
	HTTPAddress   string              `msg:"h"` // host:port that callers use
	FailureDomain ident.FailureDomain `msg:"fd"`
	Region        ident.Region        `msg:"rg"`
	Leaving       bool                `msg:"lv"`
	Load          int                 `msg:"ld"` // percent of the node's in-flight limit
	Gone          bool                `msg:"go"` // the lease of the node has expired
}

// Propose submits an encoded command to the leader. It can be sent to any voter.
type Propose struct {
	// Relayed is set by the voter that forwards a proposal, so that it is forwarded at most once.
	Relayed bool   `msg:"rl"`
	Command []byte `msg:"c,zerocopy,limit=4194304"`
	// Upstream and LatestOrder are set with an order of a roll-out. The leader refuses it as superseded unless LatestOrder is the
	// latest order of the upstream that it has stored, 0 if there is none.
	Upstream    ident.UpstreamID `msg:"up,omitempty"`
	LatestOrder uint64           `msg:"lo,omitempty"`
}

// Proposed is the reply to Propose. OutcomeUnknown is set if the proposal failed but the command may still be committed,
// Superseded if it was refused because a later order is stored.
type Proposed struct {
	OK             bool         `msg:"ok"`
	Result         []byte       `msg:"r,zerocopy,limit=4194304"`
	Leader         ident.NodeID `msg:"l"`
	Error          string       `msg:"er"`
	OutcomeUnknown bool         `msg:"u"`
	Superseded     bool         `msg:"su,omitempty"`
}

// ShardRequest is one attempt of a request on one shard. The entry node sends it to the node that owns the searcher.
type ShardRequest struct {
	RequestID ident.RequestID  `msg:"id"`
	Attempt   ident.AttemptID  `msg:"at"`
	Team      ident.TeamID     `msg:"tm"`
	Upstream  ident.UpstreamID `msg:"up"`
	Searcher  ident.SearcherID `msg:"se"`
	// Epoch is the epoch of the searcher assignment that the entry node used. The owner refuses the request if it has
	// another one.
	Epoch       ident.Epoch       `msg:"ep"`
	Shard       ident.ShardID     `msg:"sh"`
	Snapshot    ident.SnapshotID  `msg:"sn"`
	Class       ident.Class       `msg:"cl"`
	Fingerprint ident.Fingerprint `msg:"fp"`
	Hedge       bool              `msg:"hg"`
	Exclusive   bool              `msg:"ex"`
	// Cleared marks attempts that follow a successful exclusive run of the same query.
	Cleared        bool   `msg:"cr"`
	Canary         bool   `msg:"ca"`
	Execute        bool   `msg:"xq"`
	IdempotencyKey string `msg:"ik"`
	// TimeoutMicros is the remaining time when the request was sent. It is relative because the clocks of nodes are never
	// compared.
	TimeoutMicros int64  `msg:"to"`
	Limit         int    `msg:"li"`
	Body          []byte `msg:"b,zerocopy,limit=4194304"`
}

// ShardStatus is the outcome of a shard request.
type ShardStatus uint8

// Outcomes of a shard request. Only ShardNotRun guarantees that no searcher started it.
const (
	ShardAnswered ShardStatus = iota + 1
	ShardNotRun
	ShardUnknown
	ShardCrashed
)

// Hit is one matching document in a shard reply.
type Hit struct {
	ID       string  `msg:"i"`
	Score    float64 `msg:"s"`
	Document []byte  `msg:"d,zerocopy,limit=4194304"`
}

// Load is the state of the searcher's admission control when the reply was sent.
type Load struct {
	InFlight      int   `msg:"f"`
	Queued        int   `msg:"q"`
	Slots         int   `msg:"s"`
	Cold          bool  `msg:"c"`
	LatencyMicros int64 `msg:"l"`
}

// ShardReply is the reply to ShardRequest.
type ShardReply struct {
	RequestID        ident.RequestID  `msg:"id"`
	Attempt          ident.AttemptID  `msg:"at"`
	Shard            ident.ShardID    `msg:"sh"`
	Snapshot         ident.SnapshotID `msg:"sn"`
	Status           ShardStatus      `msg:"st"`
	Reason           ident.Reason     `msg:"re"`
	RetryAfterMillis int64            `msg:"ra"`
	Hits             []Hit            `msg:"h"`
	Answer           []byte           `msg:"an,zerocopy,limit=4194304"`
	Load             Load             `msg:"lo"`
}

// Announce forwards an encoded searcher announcement to the owner of the searcher.
type Announce struct {
	Data []byte `msg:"d,zerocopy,limit=4194304"`
}

// Announced is the reply to Announce.
type Announced struct {
	OK    bool   `msg:"ok"`
	Error string `msg:"er"`
}

// Suspect notifies a node that a request with this fingerprint was running when the connection to a searcher was lost. It
// is sent ahead of the strike, which takes longer to be committed to the control state.
type Suspect struct {
	Fingerprint ident.Fingerprint `msg:"fp"`
	// Alone is set if nothing else was running on the searcher, which is sufficient to convict the fingerprint.
	Alone bool `msg:"al"`
}

// StatusRequest requests the status of a node.
type StatusRequest struct {
	Data []byte `msg:"d,zerocopy,limit=4194304"`
}

// StatusReply is the reply to StatusRequest.
type StatusReply struct {
	Data []byte `msg:"d,zerocopy,limit=4194304"`
}

// Ack is the reply to a message that has no reply type of its own.
type Ack struct {
	Error string `msg:"er"`
}

// Instance is a roster entry: a searcher, entry VM or control VM that has announced itself.
type Instance struct {
	ID            string              `msg:"i"`
	Role          uint8               `msg:"r"`
	Upstream      ident.UpstreamID    `msg:"u"`
	Address       string              `msg:"a"` // host:port on which the instance accepts requests
	FailureDomain ident.FailureDomain `msg:"fd"`
	// Born and Sequence order the reports about the instance: Born is the start of its lifetime in milliseconds, Sequence
	// the number of the report within the lifetime.
	Born     uint64 `msg:"b"`
	Sequence uint64 `msg:"s"`
	State    uint8  `msg:"st"`
	Capacity int    `msg:"c"`
	// ColdMillis is the remaining time for which the instance is cold when the message is sent.
	ColdMillis int64 `msg:"cm"`
	// AgeMillis is the time since the last report from the instance when the message is sent.
	AgeMillis int64  `msg:"ag"`
	Disk      uint64 `msg:"d"` // identifies the disk of a control VM
	Load      uint32 `msg:"l"` // requests per second that an entry VM sends to searchers
	// The request limit of a searcher: LimitState is 0 if it has stated none, otherwise LimitStated or LimitEnded.
	LimitState     uint8   `msg:"ls,omitempty"`
	LimitPerSecond float64 `msg:"lp,omitempty"`
	LimitAgeMillis int64   `msg:"la,omitempty"` // time since the statement when the message is sent
	Links          uint8   `msg:"lk,omitempty"` // state of the links of an entry VM to the searchers; 0 if they work
	Version        string  `msg:"ve,omitempty"` // version of a searcher's program
}

// Values of Instance.LimitState.
const (
	LimitStated uint8 = iota + 1
	LimitEnded
)

// SearcherLimit is the request limit that a searcher has stated in an answer to the sender.
type SearcherLimit struct {
	Searcher  ident.SearcherID `msg:"i"`
	Born      uint64           `msg:"b"`
	Limited   bool             `msg:"lt"`
	PerSecond float64          `msg:"ps"`
	AgeMillis int64            `msg:"ag"` // time since the statement when the message is sent
}

// Refresh reports that an instance is still alive and has not changed.
type Refresh struct {
	Key       uint64
	Sequence  uint64
	AgeMillis int64
	Load      uint32
}

// Follow requests the changes to the roster and the control state since the versions that the sender has. It also announces
// the sender.
type Follow struct {
	Self          Instance `msg:"se"`
	RosterEpoch   uint64   `msg:"re"`
	RosterVersion uint64   `msg:"rv"`
	// Applied is the last log index that the sender has applied to its control state. A sender that runs a voter sets Voter
	// and receives no control state.
	Applied uint64 `msg:"ap"`
	Voter   bool   `msg:"vt"`
	// Missing are the keys of refreshes in the last reply for instances that are unknown to the sender.
	Missing []uint64 `msg:"ms,omitempty"`
	// Contacts is set while the sender has not yet determined the nearest control VM.
	Contacts bool `msg:"ct,omitempty"`
	// Unpacks is set if the sender supports Packed in the reply.
	Unpacks bool `msg:"up,omitempty"`
	// AdviceVersion is the version of the advice that the sender has; see package directory.
	AdviceVersion uint64 `msg:"av,omitempty"`
	// Limits are the request limits that searchers have stated to the sender.
	Limits []SearcherLimit `msg:"sl,omitempty"`
	// Rollouts are what the sender has to report about the roll-outs that are running.
	Rollouts []RolloutReport `msg:"ro,omitempty,limit=64"`
	// SnapshotFormat is the newest format of Followed.Snapshot that the sender reads; 0 stands for format 2.
	SnapshotFormat uint8 `msg:"sf,omitempty"`
}

// DomainAdvice lists the entry VMs that the callers in one failure domain should use. Standby is the next one to be added.
type DomainAdvice struct {
	FailureDomain ident.FailureDomain `msg:"fd"`
	Addresses     []string            `msg:"ad"`
	Standby       string              `msg:"sb,omitempty"`
}

// Peer is an entry VM that callers are sent to, and that can serve requests for others.
type Peer struct {
	Node          ident.NodeID        `msg:"n"`
	FailureDomain ident.FailureDomain `msg:"fd"`
}

// RegionLoad is the number of entry VMs in a region and the sum of their loads.
type RegionLoad struct {
	Region ident.Region `msg:"rg"`
	VMs    int          `msg:"ev"`
	Load   uint64       `msg:"el"`
}

// InstanceList is the encoding of the instances in Followed.Packed before compression.
type InstanceList []Instance

// Followed is the reply to Follow. The control state that the requester has not applied yet is in either Entries or Snapshot.
type Followed struct {
	OK            bool       `msg:"ok"`
	RosterEpoch   uint64     `msg:"re"`
	RosterVersion uint64     `msg:"rv"`
	Instances     []Instance `msg:"in"`
	// Packed contains further instances, as a compressed InstanceList.
	Packed    []byte    `msg:"pk,omitempty,limit=1048576"`
	Refreshes []Refresh `msg:"rf"`
	Entries   []Entry   `msg:"en"`
	Snapshot  []byte    `msg:"sn,zerocopy,limit=4194304"`
	// EntryVMs is the number of entry VMs in the roster, EntryLoad the sum of their loads.
	EntryVMs  int    `msg:"ev"`
	EntryLoad uint64 `msg:"el"`
	// RegionLoads are the same by region.
	RegionLoads []RegionLoad `msg:"rl,omitempty,limit=64"`
	// Connected is set if the control VM has a leader, so that its state is at most one election timeout old.
	Connected bool `msg:"co"`
	// StateIndex is the index of the control state at the control VM. Unlike the entries, it is not limited by the size of the
	// reply.
	StateIndex uint64 `msg:"si,omitempty"`
	// More is set if there are further roster changes to request.
	More bool `msg:"mo,omitempty"`
	// AdviceVersion is the version of the current advice, or 0 if the control VM has none. Advice is the whole advice, or
	// empty if the requester already has that version.
	AdviceVersion uint64         `msg:"av,omitempty"`
	Advice        []DomainAdvice `msg:"ai,omitempty,limit=256"`
	// Peers are the entry VMs of the advice. They are sent together with it.
	Peers []Peer `msg:"pe,omitempty"`
	// Isolated is the number of entry VMs that reach no searcher.
	Isolated int `msg:"is,omitempty"`
}

// Roster pushes instances that have just changed to another control VM, ahead of its next Follow.
type Roster struct {
	Instances []Instance `msg:"in"`
	// Rollouts are reports of entry VMs that are passed on to the leader.
	Rollouts []RolloutReport `msg:"ro,omitempty,limit=64"`
}

// RolloutReport is what an entry VM reports about one roll-out: the stage that it applies, its requests in flight at other
// versions than the target, and its counters since it knows the order. See package rollout.
type RolloutReport struct {
	Node        ident.NodeID     `msg:"n"`
	Born        uint64           `msg:"b"`
	Sequence    uint64           `msg:"s"`
	Upstream    ident.UpstreamID `msg:"u"`
	Order       uint64           `msg:"o"`
	Stage       uint8            `msg:"st"`
	OldInFlight int              `msg:"of"`
	Cells       []RolloutCell    `msg:"c,limit=512"`
}

// RolloutCell counts the responses of one version on one route from one failure domain to entry VMs in one region.
type RolloutCell struct {
	Route         string              `msg:"r"`
	FailureDomain ident.FailureDomain `msg:"d"`
	From          ident.Region        `msg:"rg"`
	New           bool                `msg:"n"`
	Responses     uint32              `msg:"c"`
	Failures      uint32              `msg:"f"`
	// Latency is the histogram without the empty buckets at its end.
	Latency []uint32 `msg:"l,limit=64"`
}

// Confirm requests a read index from the leader: a log index that covers everything committed before the call arrived.
type Confirm struct{}

// Confirmed is the reply to Confirm.
type Confirmed struct {
	OK    bool   `msg:"ok"`
	Index uint64 `msg:"i"`
	Error string `msg:"er"`
}

// Forward asks an entry VM to serve a request of a caller of the sender, which cannot reach the searchers.
type Forward struct {
	RequestID ident.RequestID `msg:"id"`
	Method    string          `msg:"m"`
	Host      string          `msg:"h"`
	Path      string          `msg:"p"`
	URI       string          `msg:"u"`
	// Header holds the header lines that are forwarded to the searcher, HeaderBytes the size of the header as received.
	Header      []byte `msg:"hd,zerocopy,limit=4194304"`
	Body        []byte `msg:"b,zerocopy,limit=4194304"`
	HeaderBytes int    `msg:"hb"`
	// ElapsedMicros is the time since the request arrived, plus that on the network to the peer and back. DeadlineMicros is the time from its
	// arrival until the caller gives up, or 0 if it states none.
	ElapsedMicros  int64 `msg:"el"`
	DeadlineMicros int64 `msg:"dl"`
	// Attempts is the number of searchers of a shard that may have run the request already.
	Attempts int `msg:"at"`
	// Version is the lowest version of the configuration that may be applied.
	Version uint64 `msg:"v"`
	// Team is the calling team, which the sender has authenticated, or "" for a request without one.
	Team ident.TeamID `msg:"tm,omitempty"`
}

// ForwardResult tells what a Forwarded contains.
type ForwardResult uint8

// Results of Forward. ForwardDeclined means that another entry VM should be asked.
const (
	ForwardDeclined ForwardResult = iota + 1
	ForwardRelayed
	ForwardMerged
	ForwardRefused
)

// HeaderField is a header field of a searcher's answer.
type HeaderField struct {
	Name  string `msg:"n"`
	Value string `msg:"v"`
}

// Forwarded is the reply to Forward.
type Forwarded struct {
	Result ForwardResult `msg:"r"`
	// Attempts is the number of searchers of a shard that may have run a request that was declined or refused.
	Attempts int `msg:"at"`
	// Status and Header belong to a relayed answer; Body also to a merged one.
	Status int           `msg:"st"`
	Header []HeaderField `msg:"hd"`
	Body   []byte        `msg:"b,zerocopy,limit=4194304"`
	// Signatures and Missing describe the parts of a merged answer.
	Signatures []string `msg:"sg"`
	Missing    int      `msg:"ms"`
	// Refusal is the kind of a refusal, also of a request that was declined; see package entry.
	Refusal          uint8        `msg:"rf"`
	Reason           ident.Reason `msg:"re"`
	RetryAfterMillis int64        `msg:"ra"`
	// Version is the version of the configuration that was applied.
	Version uint64 `msg:"v"`
}

// UsageDemand is the demand for the rate limit of one team at an entry VM. Full reports state the shares of the rate and of
// the burst that the entry VM holds, in millionths.
type UsageDemand struct {
	Team          ident.TeamID
	MilliRate     uint32 // thousandths of a request per second, refused requests included
	HeldRate      uint32
	HeldBurst     uint32
	WaitingCount  uint32 // requests that wait for tokens
	MilliRoom     uint32 // thousandths of tokens that fit in the bucket
	MilliReturned uint32 // thousandths of tokens that were left over when the share was lowered
}

// UsageReport states the demand of an entry VM for the rate limits of teams, and requests that its shares be renewed. It can
// be sent to any control VM; see package usage.
type UsageReport struct {
	Node        ident.NodeID      `msg:"n"`
	Incarnation ident.Incarnation `msg:"ic"`
	Sequence    uint64            `msg:"sq"`
	// Term and Applied identify the last grant that the entry VM has applied.
	Term    uint64 `msg:"t,omitempty"`
	Applied uint64 `msg:"ap,omitempty"`
	Full    bool   `msg:"fu,omitempty"`
	Callers bool   `msg:"ca,omitempty"`
	// Relayed is set by the control VM that forwards a report, so that it is forwarded at most once.
	Relayed bool          `msg:"rl,omitempty"`
	Teams   []UsageDemand `msg:"tm,omitempty"`
}

// UsageShare are the shares of an entry VM in the rate and the burst of the limit of a team, in millionths, with thousandths
// of tokens for its bucket and beyond it.
type UsageShare struct {
	Team        ident.TeamID
	Rate        uint32
	Burst       uint32
	MilliTokens uint32
	MilliExtra  uint32
	Exhausted   bool
}

// UsageGrant is the reply to UsageReport. If OK is not set, no leader has processed the report.
type UsageGrant struct {
	OK       bool         `msg:"ok,omitempty"`
	Error    string       `msg:"er,omitempty"`
	Term     uint64       `msg:"t,omitempty"`
	Sequence uint64       `msg:"sq,omitempty"`
	Resend   bool         `msg:"rs,omitempty"`
	Starting bool         `msg:"st,omitempty"`
	Teams    []UsageShare `msg:"tm,omitempty"`
}

// Kind implements Message.
func (*UsageReport) Kind() Kind { return KindUsageReport }

// Kind implements Message.
func (*UsageGrant) Kind() Kind { return KindUsageGrant }

func (*UsageReport) message() {}
func (*UsageGrant) message()  {}

// Kind implements Message.
func (*Forward) Kind() Kind { return KindForward }

// Kind implements Message.
func (*Forwarded) Kind() Kind { return KindForwarded }

func (*Forward) message()   {}
func (*Forwarded) message() {}

// Kind implements Message.
func (*Follow) Kind() Kind { return KindFollow }

// Kind implements Message.
func (*Followed) Kind() Kind { return KindFollowed }

// Kind implements Message.
func (*Roster) Kind() Kind { return KindRoster }

// Kind implements Message.
func (*Confirm) Kind() Kind { return KindConfirm }

// Kind implements Message.
func (*Confirmed) Kind() Kind { return KindConfirmed }

func (*Follow) message()    {}
func (*Followed) message()  {}
func (*Roster) message()    {}
func (*Confirm) message()   {}
func (*Confirmed) message() {}

// Kind implements Message.
func (*Raft) Kind() Kind { return KindRaft }

// Kind implements Message.
func (*Renew) Kind() Kind { return KindRenew }

// Kind implements Message.
func (*Renewed) Kind() Kind { return KindRenewed }

// Kind implements Message.
func (*Propose) Kind() Kind { return KindPropose }

// Kind implements Message.
func (*Proposed) Kind() Kind { return KindProposed }

// Kind implements Message.
func (*ShardRequest) Kind() Kind { return KindShardRequest }

// Kind implements Message.
func (*ShardReply) Kind() Kind { return KindShardReply }

// Kind implements Message.
func (*Announce) Kind() Kind { return KindAnnounce }

// Kind implements Message.
func (*Announced) Kind() Kind { return KindAnnounced }

// Kind implements Message.
func (*StatusRequest) Kind() Kind { return KindStatusRequest }

// Kind implements Message.
func (*StatusReply) Kind() Kind { return KindStatusReply }

// Kind implements Message.
func (*Ack) Kind() Kind { return KindAck }

// Kind implements Message.
func (*Suspect) Kind() Kind { return KindSuspect }

func (*Suspect) message()       {}
func (*Raft) message()          {}
func (*Renew) message()         {}
func (*Renewed) message()       {}
func (*Propose) message()       {}
func (*Proposed) message()      {}
func (*ShardRequest) message()  {}
func (*ShardReply) message()    {}
func (*Announce) message()      {}
func (*Announced) message()     {}
func (*StatusRequest) message() {}
func (*StatusReply) message()   {}
func (*Ack) message()           {}
