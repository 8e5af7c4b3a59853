package consensus

// Replication: the leader's view of each follower, appends, commit, heartbeat rounds and snapshots.

import (
	"slices"
	"time"

	"fulmarfall/ident"
)

// progress is what the leader knows of one voter or learner.
type progress struct {
	disk     DiskID
	match    Index // known to be durable there
	next     Index // first entry to send
	probing  bool  // the follower's log is unknown: one message at a time
	probeNow bool
	round    Round // latest heartbeat round answered
	heardAt  int   // tick of the last answer
	snap     *Snapshot
	offset   uint64 // of the next chunk of snap
}

// roundStart is when a heartbeat round began.
type roundStart struct {
	round Round
	at    time.Time
}

// maxRounds bounds the rounds remembered; check-quorum ends a leader long before.
const maxRounds = 256

// incomingSnapshot collects the chunks of a snapshot.
type incomingSnapshot struct {
	meta  SnapshotMeta
	total uint64
	data  []byte
}

// appendOwn adds an entry of the leader's term.
func (n *Node) appendOwn(_ time.Time, kind EntryKind, data []byte) {
	n.put(Entry{Index: n.log.last() + 1, Term: n.hs.Term, Kind: kind, Data: data})
	n.refreshPeers()
}

// put adds an entry to the log; entries that it replaces are no longer durable.
func (n *Node) put(e Entry) {
	n.handedOut = min(n.handedOut, e.Index-1)
	n.stable = min(n.stable, e.Index-1)
	n.log.put(e)
}

// refreshPeers makes the leader's followers those of the membership in force.
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
			n.peers[m.ID] = &progress{disk: m.Disk, next: n.log.last() + 1, probing: true, probeNow: true, heardAt: n.clock}
		}
	}
}

// beginRound starts a heartbeat round: every follower gets a message that carries its number.
func (n *Node) beginRound(now time.Time) {
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

// updateQuorum finds the latest round that a majority answered and notes when it began.
func (n *Node) updateQuorum(_ time.Time) {
	rounds := n.ofVoters(func(p *progress) uint64 { return uint64(p.round) }, uint64(n.round))
	if len(rounds) == 0 {
		return
	}

	acked := Round(majority(rounds))
	for len(n.roundStarts) > 0 && n.roundStarts[0].round <= acked {
		n.quorumAt = n.roundStarts[0].at
		n.roundStarts = n.roundStarts[1:]
	}
}

// ofVoters returns one value per voter; own is the value of this voter.
func (n *Node) ofVoters(value func(*progress) uint64, own uint64) []uint64 {
	var out []uint64
	for _, m := range n.log.current().members {
		switch p, ok := n.peers[m.ID]; {
		case m.Learner:
		case m.ID == n.cfg.ID:
			out = append(out, own)
		case ok:
			out = append(out, value(p))
		default:
			out = append(out, 0)
		}
	}

	return out
}

// majority returns the largest value that more than half of the values reach.
func majority(values []uint64) uint64 {
	slices.Sort(values)

	return values[(len(values)-1)/2]
}

// advanceCommit commits what a majority holds durably, if it is of the leader's own term.
func (n *Node) advanceCommit(now time.Time) {
	matches := n.ofVoters(func(p *progress) uint64 { return uint64(p.match) }, uint64(n.stable))
	if len(matches) == 0 {
		return
	}

	index := Index(majority(matches))
	if t, ok := n.log.term(index); !ok || index <= n.commit || t != n.hs.Term {
		return
	}

	n.commit = index
	if current := n.log.current(); current.index <= n.commit && !n.isVoter() {
		n.beginRound(now) // tells the others of the commit before this voter, now removed, stops leading
		n.becomeFollower(n.hs.Term, "")
	}
}

// replicate sends new entries to the followers that can take them.
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

// sendAppend sends the next entries, or a heartbeat, or a chunk of a snapshot when the entries are gone.
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
		req.Entries = n.log.slice(p.next, n.cfg.AppendEntries, maxAppendBytes)
	}
	if !p.probing {
		p.next += Index(len(req.Entries))
	}

	n.sendEarly(id, p.disk, req)
}

func (n *Node) sendChunk(id ident.NodeID, p *progress) {
	total := uint64(len(p.snap.Data))
	end := min(total, p.offset+uint64(n.cfg.ChunkBytes))
	n.sendEarly(id, p.disk, &SnapshotRequest{
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
		n.put(e)
	}

	reply.Match = req.PrevIndex + Index(len(req.Entries))
	n.commit = max(n.commit, min(req.Commit, reply.Match))
	n.send(m.From, m.FromDisk, n.hs.Term, reply)
}

func (n *Node) handleAppendReply(now time.Time, m Message, reply *AppendReply) {
	p := n.peers[m.From]
	if reply.Reject {
		if reply.Prev <= p.match || (p.probing && reply.Prev != p.next-1) {
			return // answers an earlier message
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
		// Everything in the snapshot is in the log already.
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
	n.install, n.snap = s, s
	n.log.reset(s.Meta)
	n.commit, n.applying, n.handedOut, n.stable = s.Meta.Index, s.Meta.Index, s.Meta.Index, s.Meta.Index
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
	forward := next > p.offset
	p.offset = next
	if forward {
		n.sendChunk(m.From, p)
	}
}
