package consensus

// Elections: pre-vote, votes, check-quorum and the changes of role.

import (
	"time"

	"fulmarfall/ident"
)

// hearsLeader reports that a leader was heard within the shortest election timeout. Such a voter helps no
// candidate, so a voter that returns from a cut does not disturb a leader that works.
func (n *Node) hearsLeader() bool {
	return n.role == RoleLeader || (n.leader != "" && n.electionElapsed < n.cfg.ElectionTicks)
}

// preCampaign asks whether an election could succeed, without a new term.
func (n *Node) preCampaign(now time.Time) {
	n.leader = ""
	if n.cfg.NoPreVote {
		n.campaign()
		return
	}

	n.stats.PreCampaigns++
	n.role, n.askedAt = RolePreCandidate, n.clock
	n.votes = map[ident.NodeID]bool{n.cfg.ID: true}
	n.requestVotes(n.hs.Term+1, true)
	n.countVotes(now)
}

// campaign starts an election in a new term. The own vote counts once it is durable (see Advance).
func (n *Node) campaign() {
	n.stats.Campaigns++
	n.role = RoleCandidate
	n.leader = ""
	n.hs.Term++
	n.stats.TermsSeen++
	n.hs.Vote = n.cfg.ID
	n.votes, n.refusals = map[ident.NodeID]bool{}, map[ident.NodeID]bool{}
	n.resetElectionTimer()
	n.requestVotes(n.hs.Term, false)
}

func (n *Node) requestVotes(term Term, pre bool) {
	for _, m := range n.log.current().members {
		if m.Learner || m.ID == n.cfg.ID {
			continue
		}
		n.requestVote(m.ID, m.Disk, term, pre)
	}
}

func (n *Node) requestVote(to ident.NodeID, disk DiskID, term Term, pre bool) {
	n.send(to, disk, term, &VoteRequest{Pre: pre, LastIndex: n.log.last(), LastTerm: n.log.lastTerm()})
}

func (n *Node) handleVoteRequest(m Message, req *VoteRequest) {
	upToDate := req.LastTerm > n.log.lastTerm() ||
		(req.LastTerm == n.log.lastTerm() && req.LastIndex >= n.log.last())

	if req.Pre {
		if n.precedes(m.From, req) {
			// The other one may not have heard the request of this one.
			n.send(m.From, m.FromDisk, n.hs.Term, &VoteReply{Pre: true})
			n.requestVote(m.From, m.FromDisk, n.hs.Term+1, true)

			return
		}
		if upToDate && m.Term > n.hs.Term && !n.hearsLeader() && !n.prefersOther(m.From, req) {
			n.postponeCampaign()
			n.preVoteFor, n.preVote, n.preVoteAt = m.From, *req, n.clock
			n.send(m.From, m.FromDisk, m.Term, &VoteReply{Pre: true, Granted: true})
		} else {
			n.send(m.From, m.FromDisk, n.hs.Term, &VoteReply{Pre: true})
		}
		return
	}

	if m.Term > n.hs.Term {
		if !n.cfg.NoCheckQuorum && n.hearsLeader() {
			return
		}
		n.becomeFollower(m.Term, "")
	}

	granted := m.Term == n.hs.Term && upToDate && (n.hs.Vote == "" || n.hs.Vote == m.From)
	if granted {
		n.hs.Vote = m.From
		n.resetElectionTimer()
	}

	n.send(m.From, m.FromDisk, n.hs.Term, &VoteReply{Granted: granted})
}

// preVoteGraceTicks is how long a voter that has granted a pre-vote leaves the election to the candidate: 100 ms, while
// one between regions takes 60 ms. It is short, because a candidate that can send and not receive asks again and again.
const preVoteGraceTicks = 5

// precedes reports whether this voter has just asked for a pre-vote itself and goes first, by its id, before another one
// with the same log. Otherwise two voters that ask at the same time, as after a start, both go on to an election and split
// the votes. It holds for a short time only: a voter that sends and does not receive must not keep the others from leading.
func (n *Node) precedes(other ident.NodeID, req *VoteRequest) bool {
	return n.role == RolePreCandidate && n.clock-n.askedAt < preVoteGraceTicks && n.cfg.ID < other &&
		req.LastTerm == n.log.lastTerm() && req.LastIndex == n.log.last()
}

// prefersOther reports whether this voter has just granted a pre-vote to a voter that goes first, by its id, before another
// one with the same log. With four voters and more, two candidates can have a majority of pre-votes without asking each other.
func (n *Node) prefersOther(other ident.NodeID, req *VoteRequest) bool {
	return n.preVoteFor != "" && n.preVoteFor < other && n.preVote == *req && n.clock-n.preVoteAt < preVoteGraceTicks
}

// postponeCampaign keeps the own timer from running out during the election of a candidate. Without it two voters in
// different regions, both of which are needed, split about one vote in five.
func (n *Node) postponeCampaign() {
	n.electionElapsed = min(n.electionElapsed, n.electionTimeout-preVoteGraceTicks)
}

func (n *Node) handleVoteReply(now time.Time, m Message, reply *VoteReply) {
	if !reply.Granted {
		switch {
		case m.Term > n.hs.Term:
			n.becomeFollower(m.Term, "")
		case n.role == RoleCandidate && !reply.Pre && m.Term == n.hs.Term && n.fromVoter(m):
			n.refusals[m.From] = true
			n.endLostElection()
		}
		return
	}

	want, role := n.hs.Term, RoleCandidate
	if reply.Pre {
		want, role = n.hs.Term+1, RolePreCandidate
	}
	if n.role != role || m.Term != want {
		return
	}

	if n.fromVoter(m) {
		n.votes[m.From] = true
		n.countVotes(now)
	}
}

// fromVoter reports whether the sender has a vote. Only that of the disk which the membership names counts: a voter with a
// new disk has lost its votes.
func (n *Node) fromVoter(m Message) bool {
	member, ok := n.log.current().members.Find(m.From)

	return ok && !member.Learner && member.Disk == m.FromDisk
}

// lostElectionSpread bounds the time from a lost election to the next pre-vote, at 80 ms. Other candidates of the lost one
// ask at about the same time, and the first of them goes on (see precedes).
const lostElectionSpread = 4

// endLostElection asks again soon when so many voters have refused that this candidate can't win the term: with an even
// number of voters, two that campaign at once split the votes, and would both wait for an election timeout.
func (n *Node) endLostElection() {
	voters := len(n.log.current().members.Voters())

	if majority := voters/2 + 1; len(n.refusals) > voters-majority {
		n.refusals = map[ident.NodeID]bool{}
		n.setTimer(1, lostElectionSpread)
	}
}

// countVotes moves on when a majority of the voters has agreed.
func (n *Node) countVotes(now time.Time) {
	count, voters := 0, 0
	for _, m := range n.log.current().members {
		if m.Learner {
			continue
		}
		voters++
		if n.votes[m.ID] {
			count++
		}
	}

	if count <= voters/2 {
		return
	}

	if n.role == RolePreCandidate {
		n.campaign()
	} else {
		n.becomeLeader(now)
	}
}

func (n *Node) becomeFollower(term Term, leader ident.NodeID) {
	if n.role == RoleLeader {
		n.stats.SteppedDown++
	}
	if term > n.hs.Term {
		n.hs.Term, n.hs.Vote = term, ""
		n.stats.TermsSeen++
	}

	n.role, n.leader = RoleFollower, leader
	n.peers, n.roundStarts, n.votes, n.refusals, n.incoming = nil, nil, nil, nil, nil
	n.quorumAt, n.leaderSince = time.Time{}, time.Time{}
	n.resetElectionTimer()
}

func (n *Node) becomeLeader(now time.Time) {
	n.stats.Elected++
	n.role, n.leader, n.votes, n.refusals = RoleLeader, n.cfg.ID, nil, nil
	n.peers = map[ident.NodeID]*progress{}
	n.incoming = nil
	n.quorumAt, n.leaderSince = time.Time{}, now
	n.heartbeatElapsed = 0
	n.appendOwn(now, EntryNoop, nil)
	n.termStart = n.log.last()
	n.beginRound(now)
}

// tickLeader sends heartbeats and, with check-quorum, steps down when no majority has answered for the
// longest election timeout. The time passed in is used, not ticks, so a leader that was frozen steps down at
// its first tick.
func (n *Node) tickLeader(now time.Time) {
	last := n.quorumAt
	if n.leaderSince.After(last) {
		last = n.leaderSince
	}

	limit := 2 * time.Duration(n.cfg.ElectionTicks) * n.cfg.Tick
	if !n.cfg.NoCheckQuorum && now.Sub(last) > limit && !n.soleVoter() {
		n.becomeFollower(n.hs.Term, "")
		return
	}

	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.heartbeatElapsed = 0
		n.beginRound(now)
	}
}

// followLeader checks a message that only a leader sends. It reports whether the sender leads this term.
func (n *Node) followLeader(_ time.Time, m Message) bool {
	if m.Term < n.hs.Term {
		// The sender steps down when it sees the later term; without this answer a voter whose term ran
		// ahead could never be led again, as its requests for votes are not answered.
		n.send(m.From, m.FromDisk, n.hs.Term, &AppendReply{Reject: true})
		return false
	}

	if m.Term == n.hs.Term && n.role == RoleLeader {
		return false // a second leader of one term: impossible while the quorum rules hold
	}

	if m.Term > n.hs.Term || n.role != RoleFollower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.electionElapsed = 0
	n.excluded = false

	return true
}

// fromFollower checks a message that answers a leader. It reports whether it answers this leader's term.
func (n *Node) fromFollower(now time.Time, m Message) bool {
	if m.Term > n.hs.Term {
		n.becomeFollower(m.Term, "")
		return false
	}
	if m.Term < n.hs.Term || n.role != RoleLeader {
		return false
	}

	p, ok := n.peers[m.From]
	if !ok || p.disk != m.FromDisk {
		return false
	}

	p.heardAt = n.clock
	var round Round
	switch body := m.Body.(type) {
	case *AppendReply:
		round = body.Round
	case *SnapshotReply:
		round = body.Round
	}

	if round <= n.round && round > p.round {
		p.round = round
		n.updateQuorum(now)
	}

	return true
}
