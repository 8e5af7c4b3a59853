package consensus

// The state of one voter, its inputs (Tick, Step, Propose) and its outputs (Ready).

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"fulmarfall/ident"

	"github.com/go-faster/errors"
)

// Defaults of the timing, in ticks of DefaultTick: heartbeat 100 ms, election timeout 400 to 800 ms.
const (
	DefaultTick           = 20 * time.Millisecond
	DefaultHeartbeatTicks = 5
	DefaultElectionTicks  = 20
)

// Bounds on what one message carries and what may be unacknowledged.
const (
	maxEntryBytes    = 1 << 20   // a proposal
	maxAppendBytes   = 1 << 20   // entries of one message, unless a single one is larger
	maxAppendEntries = 1024      // entries of one message, by default
	maxInFlight      = 2048      // entries sent to a follower and not acknowledged
	defaultChunk     = 256 << 10 // of a snapshot in one message
	maxSnapshotBytes = 1 << 30
)

// Role is what a voter does in its term.
type Role uint8

// The roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// Errors of Propose and of membership changes.
var (
	ErrNotLeader     = errors.New("not the leader")
	ErrTooLarge      = errors.New("proposal is too large")
	ErrChangePending = errors.New("a membership change is in progress")
	ErrNotReady      = errors.New("the leader has not committed an entry of its term yet")
	ErrNotCaughtUp   = errors.New("the learner has not caught up")
	ErrUnknownMember = errors.New("no such member")
	ErrBadChange     = errors.New("membership change is not possible")
)

// Config describes one voter.
type Config struct {
	ID             ident.NodeID
	Disk           DiskID
	Voters         []ident.NodeID // voters of the first start; every voter has the same list
	Rand           *rand.Rand
	Tick           time.Duration
	HeartbeatTicks int
	ElectionTicks  int // the timeout is drawn from [ElectionTicks, 2*ElectionTicks)
	ChunkBytes     int // of a snapshot in one message
	AppendEntries  int // in one message
	// NoPreVote and NoCheckQuorum exist for the measurements in docs/consensus.md.
	NoPreVote, NoCheckQuorum bool
}

// Saved is what a voter finds on its disk.
type Saved struct {
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry // consecutive, after Snapshot; earlier ones may be included
}

// Ready is work for the caller, in this order: send Early; make HardState, Snapshot and Entries durable;
// call Advance; send Messages; apply Committed.
type Ready struct {
	HardState *HardState
	Snapshot  *Snapshot // replaces the whole log and the state machine
	Entries   []Entry   // the first one replaces what the log holds from its index on
	Early     []Message // need not wait for durability
	Messages  []Message
	Committed []Entry
}

// Empty reports that there is nothing to do.
func (r *Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries)+len(r.Early)+len(r.Messages)+len(r.Committed) == 0
}

// Node is the state of one voter. It is not safe for concurrent use.
type Node struct {
	cfg Config
	hs  HardState
	log raftLog

	role   Role
	leader ident.NodeID // of hs.Term, empty when unknown
	commit Index
	snap   *Snapshot // latest one, for followers that are too far behind

	// Progress of the caller.
	handedOut Index // entries up to here were in a Ready
	stable    Index // entries up to here are durable
	applying  Index // entries up to here were in Committed
	savedHS   HardState
	install   *Snapshot // received, not yet in a Ready

	// Timers, in ticks.
	electionElapsed  int // since the last message of the leader or the last campaign
	askedAt          int // tick of the last request for pre-votes
	electionTimeout  int
	preVoteAt        int // tick of the last pre-vote granted, to preVoteFor for its request preVote
	preVoteFor       ident.NodeID
	preVote          VoteRequest
	heartbeatElapsed int

	votes    map[ident.NodeID]bool
	refusals map[ident.NodeID]bool // of a candidate in its term

	// Leader only.
	peers       map[ident.NodeID]*progress
	peerIDs     []ident.NodeID // keys of peers in a fixed order, so that a run can be repeated from its seed
	termStart   Index          // index of the first entry of the term
	round       Round
	roundStarts []roundStart
	quorumAt    time.Time
	leaderSince time.Time

	incoming *incomingSnapshot
	early    []Message
	messages []Message

	announced map[ident.NodeID]announcement
	clock     int // ticks since New
	excluded  bool
	stats     Stats
}

// Stats counts events since New.
type Stats struct {
	PreCampaigns, Campaigns, Elected, SteppedDown, TermsSeen uint64
}

// New returns a voter in the state that saved describes.
func New(cfg Config, saved Saved) (*Node, error) {
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
	if cfg.ChunkBytes == 0 {
		cfg.ChunkBytes = defaultChunk
	}
	if cfg.AppendEntries == 0 {
		cfg.AppendEntries = maxAppendEntries
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
			return nil, errors.Errorf("consensus: entry %d follows entry %d", e.Index, n.log.last())
		}
		n.log.put(e)
	}

	n.stable, n.handedOut = n.log.last(), n.log.last()
	n.setFirstTimer()

	return n, nil
}

// Status describes the voter at one moment.
type Status struct {
	Formed      bool // the disk belongs to a cluster
	Excluded    bool // the cluster formed without this disk; the voter must be replaced
	Leader      ident.NodeID
	Term        Term
	Role        Role
	Ready       bool // leader that has committed an entry of its own term
	Commit      Index
	Last        Index
	QuorumAt    time.Time
	LeaderSince time.Time
	Members     MemberList // in force, committed or not
	MembersAt   Index      // entry that holds Members
	Stats       Stats
}

// Status returns the present state.
func (n *Node) Status() Status {
	return Status{
		Formed: n.hs.Cluster != 0, Excluded: n.excluded, Leader: n.leader, Term: n.hs.Term, Role: n.role,
		Ready: n.ready(), Commit: n.commit, Last: n.log.last(), QuorumAt: n.quorumAt, LeaderSince: n.leaderSince,
		Members: n.log.current().members, MembersAt: n.log.current().index, Stats: n.stats,
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
	if n.mayCampaign() {
		n.preCampaign(now)
		if n.role == RolePreCandidate {
			n.setRetryTimer()
		}

		return
	}

	// This disk follows a change that was never committed, or was removed: the leader must learn of it again.
	n.leader = ""
	n.excluded = true
	n.announce()
}

// Step handles a message of another voter. Messages for another disk or cluster are dropped.
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

	if n.hs.Cluster == 0 && !n.joinBy(m) {
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
		if n.followLeader(now, m) {
			n.handleAppend(m, body)
		}
	case *SnapshotRequest:
		if n.followLeader(now, m) {
			n.handleSnapshot(m, body)
		}
	case *AppendReply:
		if n.fromFollower(now, m) {
			n.handleAppendReply(now, m, body)
		}
	case *SnapshotReply:
		if n.fromFollower(now, m) {
			n.handleSnapshotReply(now, m, body)
		}
	}
}

// Propose appends a command to the leader's log and returns its position.
func (n *Node) Propose(now time.Time, data []byte) (Index, Term, error) {
	if n.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	if len(data) > maxEntryBytes {
		return 0, 0, errors.Wrapf(ErrTooLarge, "%d bytes exceed %d", len(data), maxEntryBytes)
	}

	n.appendOwn(now, EntryCommand, data)

	return n.log.last(), n.hs.Term, nil
}

// Ready returns the work to do. The caller must finish it and call Advance before the next Ready.
func (n *Node) Ready() Ready {
	n.replicate()

	var r Ready
	if n.hs != n.savedHS {
		hs := n.hs
		r.HardState, n.savedHS = &hs, hs
	}

	if n.install != nil {
		r.Snapshot, n.install = n.install, nil
	}

	if n.handedOut < n.log.last() {
		r.Entries = slices.Clone(n.log.entries[n.handedOut-n.log.base:])
		n.handedOut = n.log.last()
	}

	r.Early, n.early = n.early, nil
	r.Messages, n.messages = n.messages, nil
	r.Committed = n.takeCommitted()

	return r
}

// takeCommitted returns the committed entries that are durable here and were not handed out yet.
func (n *Node) takeCommitted() []Entry {
	upTo := min(n.commit, n.stable)
	if upTo <= n.applying {
		return nil
	}

	out := slices.Clone(n.log.entries[n.applying-n.log.base : upTo-n.log.base])
	n.applying = upTo

	return out
}

// Advance tells that HardState, Snapshot and Entries of the last Ready are durable.
func (n *Node) Advance(now time.Time, r Ready) {
	if len(r.Entries) > 0 {
		last := r.Entries[len(r.Entries)-1]
		// The entry may have been replaced since; then it is in a later Ready.
		if t, ok := n.log.term(last.Index); ok && t == last.Term {
			n.stable = max(n.stable, min(last.Index, n.handedOut))
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

// Compact replaces the log up to a snapshot that is durable, keeping trailing entries for followers that are
// a little behind. It returns the index up to which the log is no longer needed.
func (n *Node) Compact(s *Snapshot, trailing Index) Index {
	n.snap = s
	if s.Meta.Index > n.log.base+trailing {
		n.log.compact(s.Meta.Index - trailing)
	}

	return n.log.base
}

// MetaAt returns the description of a snapshot taken at the applied index i.
func (n *Node) MetaAt(i Index) (SnapshotMeta, error) {
	t, ok := n.log.term(i)
	if !ok || i > n.commit {
		return SnapshotMeta{}, errors.Errorf("consensus: no entry %d for a snapshot", i)
	}

	return SnapshotMeta{Index: i, Term: t, Members: n.log.membersAsOf(i)}, nil
}

// send queues a message that must wait until all state decided before it is durable.
func (n *Node) send(to ident.NodeID, disk DiskID, term Term, body Body) {
	n.messages = append(n.messages, n.message(to, disk, term, body))
}

// sendEarly queues a message that says nothing about this voter's own durable state.
func (n *Node) sendEarly(to ident.NodeID, disk DiskID, body Body) {
	n.early = append(n.early, n.message(to, disk, n.hs.Term, body))
}

func (n *Node) message(to ident.NodeID, disk DiskID, term Term, body Body) Message {
	return Message{
		Header: Header{
			Cluster: n.hs.Cluster, From: n.cfg.ID, FromDisk: n.cfg.Disk, To: to, ToDisk: disk, Term: term,
		},
		Body: body,
	}
}

// setTimer starts the election timer anew, with a timeout of at least some ticks and below that and a spread.
func (n *Node) setTimer(least, spread int) {
	n.electionElapsed, n.electionTimeout = 0, least+n.cfg.Rand.Intn(spread)
}

func (n *Node) resetElectionTimer() { n.setTimer(n.cfg.ElectionTicks, n.cfg.ElectionTicks) }

// firstTimerTicks is the least time from the start to the first campaign: 100 ms, in which the voters connect.
const firstTimerTicks = 5

// setFirstTimer sets a short timer at the start. When all voters start together, there is no leader to wait for; when one
// starts alone, the others refuse its pre-vote as long as they hear a leader.
func (n *Node) setFirstTimer() { n.setTimer(firstTimerTicks, n.cfg.ElectionTicks/2+1) }

// setRetryTimer sets the timer after a pre-campaign that has no majority yet: half of an election timeout, in which no
// term was used up. The voters may not have been connected.
func (n *Node) setRetryTimer() { n.setTimer(n.cfg.ElectionTicks/2, n.cfg.ElectionTicks/2+1) }

// String names the voter in test output.
func (n *Node) String() string {
	return fmt.Sprintf("%s role %d term %d commit %d last %d", n.cfg.ID, n.role, n.hs.Term, n.commit, n.log.last())
}
