package consensus

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"fulmarfall/ident"

	"github.com/go-faster/errors"
)

// Default timing in ticks of DefaultTick: a heartbeat interval of 100 ms and an election timeout of 400 to 800 ms.
const (
	DefaultTick           = 20 * time.Millisecond
	DefaultHeartbeatTicks = 5
	DefaultElectionTicks  = 20
)

// Limits on the size of messages and on unacknowledged entries.
const (
	maxEntryBytes     = 1 << 20   // size of a proposal
	maxAppendBytes    = 1 << 20   // size of the entries in one message, unless a single entry is larger
	maxAppendEntries  = 1024      // number of entries in one message, by default
	maxInFlight       = 2048      // entries sent to a follower but not yet acknowledged
	defaultChunkBytes = 256 << 10 // snapshot data in one message
	maxSnapshotBytes  = 1 << 30
)

// Role is the role of a node in its current term.
type Role uint8

// Roles of a node. A learner is always a follower.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// Errors returned by Propose and by membership changes.
var (
	ErrNotLeader     = errors.New("not the leader")
	ErrTooLarge      = errors.New("proposal is too large")
	ErrChangePending = errors.New("a membership change is in progress")
	ErrNotReady      = errors.New("the leader has not committed an entry of its term yet")
	ErrNotCaughtUp   = errors.New("the learner has not caught up")
	ErrUnknownMember = errors.New("no such member")
	ErrBadChange     = errors.New("membership change is not possible")
)

// Config configures a node. Fields for timing and sizes that are 0 take their defaults.
type Config struct {
	ID                 ident.NodeID
	Disk               DiskID
	Voters             []ident.NodeID // initial voters; the list must be the same on all of them
	Rand               *rand.Rand
	Tick               time.Duration
	HeartbeatTicks     int
	ElectionTicks      int // the election timeout is drawn from [ElectionTicks, 2*ElectionTicks)
	SnapshotChunkBytes int // snapshot data in one message
	MaxAppendEntries   int // number of entries in one message
	// NoPreVote and NoCheckQuorum disable pre-vote and check-quorum for the measurements in docs/consensus.md.
	NoPreVote, NoCheckQuorum bool
}

// PersistentState is the persistent state from which a node starts.
type PersistentState struct {
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry // consecutive; entries that Snapshot covers are skipped
}

// Ready is pending work. The caller must, in this order, send ImmediateMessages; make HardState, Snapshot and Entries
// durable; call Advance; send Messages; and apply Committed.
type Ready struct {
	HardState         *HardState
	Snapshot          *Snapshot // replaces the whole log and the state of the state machine
	Entries           []Entry   // replace all entries of the log from the index of the first one on
	ImmediateMessages []Message // may be sent before HardState, Snapshot and Entries are durable
	Messages          []Message
	Committed         []Entry
}

// Empty reports whether there is no work.
func (r *Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries)+len(r.ImmediateMessages)+len(r.Messages)+len(r.Committed) == 0
}

// Node is a voter or learner. Its inputs are Tick, Step, Propose and membership changes; its output is Ready. It is not
// safe for concurrent use.
type Node struct {
	cfg Config
	hs  HardState
	log raftLog

	role   Role
	leader ident.NodeID // of hs.Term; empty if unknown
	commit Index
	snap   *Snapshot // latest snapshot, for followers that need compacted entries

	// Positions that the caller has reached.
	persisting      Index // last index returned by Ready for persisting
	stable          Index // last durable index
	applying        Index // last index returned by Ready for applying
	savedHS         HardState
	pendingSnapshot *Snapshot // received but not yet returned by Ready

	// Timers, in ticks.
	electionElapsed    int // since the last message from the leader or the last campaign
	preVoteRequestedAt int // tick of the last pre-vote request sent
	electionTimeout    int
	preVoteGrantedAt   int // tick of the last pre-vote granted, to preVoteFor for preVoteRequest
	preVoteFor         ident.NodeID
	preVoteRequest     VoteRequest
	heartbeatElapsed   int

	votes      map[ident.NodeID]bool
	rejections map[ident.NodeID]bool // voters that rejected this candidate in its term

	// Leader only.
	peers       map[ident.NodeID]*progress
	peerIDs     []ident.NodeID // keys of peers in a fixed order, so that a simulation can be reproduced from its seed
	termStart   Index          // index of the first entry of the term
	round       Round
	roundStarts []roundStart
	quorumAt    time.Time
	leaderSince time.Time

	incoming  *incomingSnapshot
	immediate []Message
	messages  []Message

	announced map[ident.NodeID]announcement
	clock     int // ticks since New
	excluded  bool
	stats     Stats
}

// Stats counts election events since New.
type Stats struct {
	PreCampaigns, Campaigns, Elected, SteppedDown, TermsSeen uint64
}

// New returns a node that starts as a follower from the saved state.
func New(cfg Config, saved PersistentState) (*Node, error) {
	if cfg.ID == "" || cfg.Disk == 0 || cfg.Rand == nil {
		return nil, errors.New("consensus: node id, disk id and random source are required")
	}

	if cfg.Tick == 0 {
		cfg.Tick = DefaultTick
	}
	if cfg.HeartbeatTicks == 0 {
		cfg.HeartbeatTicks = DefaultHeartbeatTicks
	}
	if cfg.ElectionTicks == 0 {
		cfg.ElectionTicks = DefaultElectionTicks
	}
	if cfg.SnapshotChunkBytes == 0 {
		cfg.SnapshotChunkBytes = defaultChunkBytes
	}
	if cfg.MaxAppendEntries == 0 {
		cfg.MaxAppendEntries = maxAppendEntries
	}

	cfg.Voters = slices.Clone(cfg.Voters)
	slices.Sort(cfg.Voters)
	cfg.Voters = slices.Compact(cfg.Voters)

	n := &Node{cfg: cfg, hs: saved.HardState, savedHS: saved.HardState, announced: map[ident.NodeID]announcement{}}
	if saved.Snapshot != nil {
		n.snap = saved.Snapshot
		n.log.reset(saved.Snapshot.Meta)
		n.commit, n.applying = n.log.base, n.log.base
	}

	for _, e := range saved.Entries {
		if e.Index <= n.log.base {
			continue
		}
		if e.Index != n.log.last()+1 {
			return nil, errors.Errorf("consensus: saved log is not consecutive: entry %d follows entry %d", e.Index, n.log.last())
		}
		n.log.truncateAndAppend(e)
	}

	n.stable, n.persisting = n.log.last(), n.log.last()
	n.setInitialTimer()

	return n, nil
}

// Status is the state of a node at one point in time.
type Status struct {
	Formed       bool // the disk belongs to a cluster
	Excluded     bool // the cluster's membership lacks this disk; the voter must be replaced
	Leader       ident.NodeID
	Term         Term
	Role         Role
	Ready        bool // the node leads and has committed an entry of its own term
	Commit       Index
	Last         Index
	QuorumAt     time.Time // start of the latest heartbeat round that a majority acknowledged
	LeaderSince  time.Time
	Members      MemberList // in effect, committed or not
	MembersIndex Index      // index of the entry that contains Members
	Stats        Stats
}

// Status returns the current state. The caller must not modify its member list.
func (n *Node) Status() Status {
	return Status{
		Formed: n.hs.Cluster != 0, Excluded: n.excluded, Leader: n.leader, Term: n.hs.Term, Role: n.role,
		Ready: n.ready(), Commit: n.commit, Last: n.log.last(), QuorumAt: n.quorumAt, LeaderSince: n.leaderSince,
		Members: n.log.current().members, MembersIndex: n.log.current().index, Stats: n.stats,
	}
}

func (n *Node) ready() bool { return n.role == RoleLeader && n.commit >= n.termStart }

// Tick advances the timers by one tick.
func (n *Node) Tick(now time.Time) {
	n.clock++
	if n.hs.Cluster == 0 {
		n.tickUnformed()
		return
	}

	if n.role == RoleLeader {
		n.tickLeader(now)
		return
	}

	n.electionElapsed++
	if n.electionElapsed < n.electionTimeout {
		return
	}

	n.resetElectionTimer()
	if n.canCampaign() {
		n.preCampaign(now)
		if n.role == RolePreCandidate {
			n.setRetryTimer()
		}

		return
	}

	// This disk was added by a change that was never committed, or it was removed: announce it to the leader again.
	n.leader = ""
	n.excluded = true
	n.announce()
}

// Step processes a message from another node. Messages for another disk or cluster are dropped.
func (n *Node) Step(now time.Time, m Message) {
	if m.To != n.cfg.ID || m.From == n.cfg.ID {
		return
	}

	if body, ok := m.Body.(*Hello); ok {
		n.handleHello(m, body)
		return
	}

	if m.ToDisk != n.cfg.Disk || m.Cluster == 0 {
		return
	}

	if n.hs.Cluster == 0 && !n.joinCluster(m) {
		return
	}

	if m.Cluster != n.hs.Cluster {
		return
	}

	switch body := m.Body.(type) {
	case *VoteRequest:
		n.handleVoteRequest(m, body)
	case *VoteReply:
		n.handleVoteReply(now, m, body)
	case *AppendRequest:
		if n.acceptLeaderMessage(now, m) {
			n.handleAppend(m, body)
		}
	case *SnapshotRequest:
		if n.acceptLeaderMessage(now, m) {
			n.handleSnapshot(m, body)
		}
	case *AppendReply:
		if n.acceptFollowerReply(now, m) {
			n.handleAppendReply(now, m, body)
		}
	case *SnapshotReply:
		if n.acceptFollowerReply(now, m) {
			n.handleSnapshotReply(now, m, body)
		}
	}
}

// Propose appends a command to the leader's log and returns its index and term. The command may still be lost until an
// entry with this index and term is in Ready.Committed.
func (n *Node) Propose(now time.Time, data []byte) (Index, Term, error) {
	if n.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	if len(data) > maxEntryBytes {
		return 0, 0, errors.Wrapf(ErrTooLarge, "%d bytes exceed %d", len(data), maxEntryBytes)
	}

	n.appendAsLeader(now, EntryCommand, data)

	return n.log.last(), n.hs.Term, nil
}

// Ready returns the pending work. The caller must complete it and call Advance before the next call.
func (n *Node) Ready() Ready {
	n.replicate()

	var r Ready
	if n.hs != n.savedHS {
		hs := n.hs
		r.HardState, n.savedHS = &hs, hs
	}

	if n.pendingSnapshot != nil {
		r.Snapshot, n.pendingSnapshot = n.pendingSnapshot, nil
	}

	if n.persisting < n.log.last() {
		r.Entries = slices.Clone(n.log.entries[n.persisting-n.log.base:])
		n.persisting = n.log.last()
	}

	r.ImmediateMessages, n.immediate = n.immediate, nil
	r.Messages, n.messages = n.messages, nil
	r.Committed = n.nextCommitted()

	return r
}

// nextCommitted returns the committed entries that are durable on this node and have not been returned yet.
func (n *Node) nextCommitted() []Entry {
	upTo := min(n.commit, n.stable)
	if upTo <= n.applying {
		return nil
	}

	out := slices.Clone(n.log.entries[n.applying-n.log.base : upTo-n.log.base])
	n.applying = upTo

	return out
}

// Advance must be called once HardState, Snapshot and Entries of r, the last Ready, are durable.
func (n *Node) Advance(now time.Time, r Ready) {
	if len(r.Entries) > 0 {
		last := r.Entries[len(r.Entries)-1]
		// The entry may have been replaced since; its replacement is then in a later Ready.
		if t, ok := n.log.term(last.Index); ok && t == last.Term {
			n.stable = max(n.stable, min(last.Index, n.persisting))
		}
	}

	switch n.role {
	case RoleLeader:
		n.advanceCommit(now)
	case RoleCandidate:
		n.votes[n.cfg.ID] = true
		n.countVotes(now)
	default:
	}
}

// Compact discards the log entries that a durable snapshot covers, except for trailing ones that are kept for followers
// slightly behind. It returns the index up to which the log is no longer needed.
func (n *Node) Compact(s *Snapshot, trailing Index) Index {
	n.snap = s
	if s.Meta.Index > n.log.base+trailing {
		n.log.compact(s.Meta.Index - trailing)
	}

	return n.log.base
}

// SnapshotMetaAt returns the metadata for a snapshot taken at the applied index i.
func (n *Node) SnapshotMetaAt(i Index) (SnapshotMeta, error) {
	t, ok := n.log.term(i)
	if !ok || i > n.commit {
		return SnapshotMeta{}, errors.Errorf("consensus: no committed entry %d in the log for a snapshot", i)
	}

	return SnapshotMeta{Index: i, Term: t, Members: n.log.membersAt(i)}, nil
}

// send queues a message that must not be sent until all earlier state changes are durable.
func (n *Node) send(to ident.NodeID, disk DiskID, term Term, body Body) {
	n.messages = append(n.messages, n.message(to, disk, term, body))
}

// sendImmediate queues a message that does not depend on the durable state of this node.
func (n *Node) sendImmediate(to ident.NodeID, disk DiskID, body Body) {
	n.immediate = append(n.immediate, n.message(to, disk, n.hs.Term, body))
}

func (n *Node) message(to ident.NodeID, disk DiskID, term Term, body Body) Message {
	return Message{
		Header: Header{
			Cluster: n.hs.Cluster, From: n.cfg.ID, FromDisk: n.cfg.Disk, To: to, ToDisk: disk, Term: term,
		},
		Body: body,
	}
}

// setElectionTimer restarts the election timer with a random timeout in [minTicks, minTicks+spread).
func (n *Node) setElectionTimer(minTicks, spread int) {
	n.electionElapsed, n.electionTimeout = 0, minTicks+n.cfg.Rand.Intn(spread)
}

func (n *Node) resetElectionTimer() { n.setElectionTimer(n.cfg.ElectionTicks, n.cfg.ElectionTicks) }

// initialTimerTicks is the minimum time from start to the first campaign: 100 ms, in which the voters connect.
const initialTimerTicks = 5

// setInitialTimer sets a short election timer at start. If all voters start together, there is no leader to wait for; if
// one starts alone, the others reject its pre-vote while they have a live leader.
func (n *Node) setInitialTimer() { n.setElectionTimer(initialTimerTicks, n.cfg.ElectionTicks/2+1) }

// setRetryTimer sets the election timer after a pre-vote has started. Without a majority, the pre-vote is retried after
// about half an election timeout: the voters may not have been connected, and a pre-vote does not increment the term.
func (n *Node) setRetryTimer() { n.setElectionTimer(n.cfg.ElectionTicks/2, n.cfg.ElectionTicks/2+1) }

// String describes the node in test output.
func (n *Node) String() string {
	return fmt.Sprintf("%s role %d term %d commit %d last %d", n.cfg.ID, n.role, n.hs.Term, n.commit, n.log.last())
}
