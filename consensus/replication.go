package consensus

import (
	"slices"
	"time"

	"fulmarfall/ident"
)

// progress is the leader's view of the replication to one voter or learner.
type progress struct {
	disk        DiskID
	match       Index // last index known to be durable on the follower
	next        Index // index of the next entry to send
	probing     bool  // the follower's log position is unknown: send one message at a time
	probeNow    bool
	round       Round // latest heartbeat round acknowledged
	lastReplyAt int   // tick of the last reply
	snap        *Snapshot
	offset      uint64 // of the next chunk of snap
}

// roundStart is the start time of a heartbeat round.
type roundStart struct {
	round Round
	at    time.Time
}

// maxRounds limits the unacknowledged rounds kept. With check-quorum, a leader steps down long before it is reached.
const maxRounds = 256

// incomingSnapshot is a partially received snapshot.
type incomingSnapshot struct {
	meta  SnapshotMeta
	total uint64
	data  []byte
}

// appendAsLeader appends an entry in the leader's term.
func (n *Node) appendAsLeader(_ time.Time, kind EntryKind, data []byte) {
	n.appendEntry(Entry{Index: n.log.last() + 1, Term: n.hs.Term, Kind: kind, Data: data})
	n.refreshPeers()
}

// appendEntry appends an entry to the log. The entries that it replaces no longer count as durable.
func (n *Node) appendEntry(e Entry) {
	n.persisting = min(n.persisting, e.Index-1)
	n.stable = min(n.stable, e.Index-1)
	n.log.truncateAndAppend(e)
}

// refreshPeers updates the leader's followers to the membership in effect.
func (n *Node) refreshPeers() {
	members := n.log.current().members
	for id, p := range n.peers {
		if m, ok := members.Find(id); !ok || m.Disk != p.disk {
			delete(n.peers, id)
		}
	}

	n.peerIDs = nil
	for _, m := range members {
		if m.ID == n.cfg.ID {
			continue
		}
		n.peerIDs = append(n.peerIDs, m.ID)
		if _, ok := n.peers[m.ID]; !ok {
			n.peers[m.ID] = &progress{disk: m.Disk, next: n.log.last() + 1, probing: true, probeNow: true, lastReplyAt: n.clock}
		}
	}
}

// startHeartbeatRound sends each follower a message with the number of a new heartbeat round.
func (n *Node) startHeartbeatRound(now time.Time) {
	n.round++
	n.roundStarts = append(n.roundStarts, roundStart{round: n.round, at: now})
	if len(n.roundStarts) > maxRounds {
		n.roundStarts = n.roundStarts[1:]
	}
	n.updateQuorum(now)

	for _, id := range n.peerIDs {
		n.sendAppend(id, n.peers[id])
	}
}

// updateQuorum sets quorumAt to the start of the latest round that a majority has acknowledged.
func (n *Node) updateQuorum(_ time.Time) {
	rounds := n.voterValues(func(p *progress) uint64 { return uint64(p.round) }, uint64(n.round))
	if len(rounds) == 0 {
		return
	}

	acked := Round(quorumValue(rounds))
	for len(n.roundStarts) > 0 && n.roundStarts[0].round <= acked {
		n.quorumAt = n.roundStarts[0].at
		n.roundStarts = n.roundStarts[1:]
	}
}

// voterValues returns one value for each voter; self is the value for this node.
func (n *Node) voterValues(value func(*progress) uint64, self uint64) []uint64 {
	var out []uint64
	for _, m := range n.log.current().members {
		switch p, ok := n.peers[m.ID]; {
		case m.Learner:
		case m.ID == n.cfg.ID:
			out = append(out, self)
		case ok:
			out = append(out, value(p))
		default:
			out = append(out, 0)
		}
	}

	return out
}

// quorumValue returns the largest value that a majority of the values reach.
func quorumValue(values []uint64) uint64 {
	slices.Sort(values)

	return values[(len(values)-1)/2]
}

// advanceCommit commits the entries that are durable on a majority if the last one is of the leader's own term.
func (n *Node) advanceCommit(now time.Time) {
	matches := n.voterValues(func(p *progress) uint64 { return uint64(p.match) }, uint64(n.stable))
	if len(matches) == 0 {
		return
	}

	index := Index(quorumValue(matches))
	if t, ok := n.log.term(index); !ok || index <= n.commit || t != n.hs.Term {
		return
	}

	n.commit = index
	if current := n.log.current(); current.index <= n.commit && !n.isVoter() {
		n.startHeartbeatRound(now) // propagates the commit index before this leader, now removed, steps down
		n.becomeFollower(n.hs.Term, "")
	}
}

// replicate sends new entries to the followers whose limit of in-flight entries allows it.
func (n *Node) replicate() {
	if n.role != RoleLeader {
		return
	}

	for _, id := range n.peerIDs {
		p := n.peers[id]
		if p.probing {
			if p.probeNow {
				n.sendAppend(id, p)
			}
			continue
		}
		for p.snap == nil && !p.probing && p.next <= n.log.last() && p.next-p.match <= maxInFlight {
			n.sendAppend(id, p)
		}
	}
}

// sendAppend sends the next entries, a heartbeat, or a snapshot chunk if the entries have been compacted.
func (n *Node) sendAppend(id ident.NodeID, p *progress) {
	p.probeNow = false
	if p.snap != nil {
		n.sendChunk(id, p)
		return
	}

	prevTerm, ok := n.log.term(p.next - 1)
	if !ok {
		p.snap, p.offset = n.snap, 0
		n.sendChunk(id, p)
		return
	}

	req := &AppendRequest{PrevIndex: p.next - 1, PrevTerm: prevTerm, Commit: n.commit, Round: n.round}
	if p.probing || p.next-p.match <= maxInFlight {
		req.Entries = n.log.slice(p.next, n.cfg.MaxAppendEntries, maxAppendBytes)
	}
	if !p.probing {
		p.next += Index(len(req.Entries))
	}

	n.sendImmediate(id, p.disk, req)
}

func (n *Node) sendChunk(id ident.NodeID, p *progress) {
	total := uint64(len(p.snap.Data))
	end := min(total, p.offset+uint64(n.cfg.SnapshotChunkBytes))
	n.sendImmediate(id, p.disk, &SnapshotRequest{
		Meta: p.snap.Meta, Offset: p.offset, Total: total, Round: n.round, Data: p.snap.Data[p.offset:end],
	})
}

func (n *Node) handleAppend(m Message, req *AppendRequest) {
	reply := &AppendReply{Prev: req.PrevIndex, Round: req.Round}
	if t, ok := n.log.term(req.PrevIndex); req.PrevIndex > n.log.base && (!ok || t != req.PrevTerm) {
		reply.Reject = true
		reply.Hint = min(req.PrevIndex-1, n.log.last())
		for t, ok := n.log.term(reply.Hint); ok && t > req.PrevTerm && reply.Hint > n.log.base; t, ok = n.log.term(reply.Hint) {
			reply.Hint--
		}
		n.send(m.From, m.FromDisk, n.hs.Term, reply)
		return
	}

	for _, e := range req.Entries {
		if e.Index <= n.log.base {
			continue
		}
		if t, ok := n.log.term(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= n.commit {
			return // would replace a committed entry: the sender is faulty
		}
		n.appendEntry(e)
	}

	reply.Match = req.PrevIndex + Index(len(req.Entries))
	n.commit = max(n.commit, min(req.Commit, reply.Match))
	n.send(m.From, m.FromDisk, n.hs.Term, reply)
}

func (n *Node) handleAppendReply(now time.Time, m Message, reply *AppendReply) {
	p := n.peers[m.From]
	if reply.Reject {
		if reply.Prev <= p.match || (p.probing && reply.Prev != p.next-1) {
			return // reply to an earlier message
		}
		p.next = max(p.match+1, min(reply.Prev, reply.Hint+1))
		p.probing, p.probeNow = true, true
		return
	}

	if reply.Match > n.log.last() {
		return
	}

	p.match = max(p.match, reply.Match)
	if p.probing && p.snap == nil {
		p.probing = false
		p.next = p.match + 1
	}
	p.next = max(p.next, p.match+1)
	n.advanceCommit(now)
}

func (n *Node) handleSnapshot(m Message, req *SnapshotRequest) {
	reply := &SnapshotReply{Index: req.Meta.Index, Round: req.Round}
	t, ok := n.log.term(req.Meta.Index)
	if req.Meta.Index <= n.commit || (ok && t == req.Meta.Term) {
		// The log already contains everything that the snapshot covers.
		n.commit = max(n.commit, req.Meta.Index)
		reply.Next, reply.Done = req.Total, true
		n.send(m.From, m.FromDisk, n.hs.Term, reply)
		return
	}

	in := n.incoming
	if in == nil || in.meta.Index != req.Meta.Index || in.meta.Term != req.Meta.Term || in.total != req.Total {
		in = &incomingSnapshot{meta: req.Meta, total: req.Total}
		n.incoming = in
	}
	if req.Offset == uint64(len(in.data)) {
		in.data = append(in.data, req.Data...)
	}

	reply.Next = uint64(len(in.data))
	if reply.Next == in.total {
		n.installSnapshot(&Snapshot{Meta: in.meta, Data: in.data})
		reply.Done = true
	}

	n.send(m.From, m.FromDisk, n.hs.Term, reply)
}

func (n *Node) installSnapshot(s *Snapshot) {
	n.incoming = nil
	n.pendingSnapshot, n.snap = s, s
	n.log.reset(s.Meta)
	n.commit, n.applying, n.persisting, n.stable = s.Meta.Index, s.Meta.Index, s.Meta.Index, s.Meta.Index
}

func (n *Node) handleSnapshotReply(now time.Time, m Message, reply *SnapshotReply) {
	p := n.peers[m.From]
	if p.snap == nil || reply.Index != p.snap.Meta.Index {
		return
	}

	if reply.Done {
		p.snap = nil
		p.match = max(p.match, reply.Index)
		p.next = p.match + 1
		p.probing, p.probeNow = true, true
		n.advanceCommit(now)
		return
	}

	next := min(reply.Next, uint64(len(p.snap.Data)))
	advanced := next > p.offset
	p.offset = next
	if advanced {
		n.sendChunk(m.From, p)
	}
}
