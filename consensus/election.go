package consensus

import (
	"time"

	"fulmarfall/ident"
)

// hasLiveLeader reports whether this voter leads or has received a message from the leader within the minimum election
// timeout. Such a voter supports no candidate, so a voter that rejoins after a partition does not disrupt a working leader.
func (n *Node) hasLiveLeader() bool {
	return n.role == RoleLeader || (n.leader != "" && n.electionElapsed < n.cfg.ElectionTicks)
}

// preCampaign starts a pre-vote, which finds out whether an election could succeed without incrementing the term.
func (n *Node) preCampaign(now time.Time) {
	n.leader = ""
	if n.cfg.NoPreVote {
		n.campaign()
		return
	}

	n.stats.PreCampaigns++
	n.role, n.preVoteRequestedAt = RolePreCandidate, n.clock
	n.votes = map[ident.NodeID]bool{n.cfg.ID: true}
	n.requestVotes(n.hs.Term+1, true)
	n.countVotes(now)
}

// campaign starts an election in a new term. The node's own vote is counted once it is durable (see Advance).
func (n *Node) campaign() {
	n.stats.Campaigns++
	n.role = RoleCandidate
	n.leader = ""
	n.hs.Term++
	n.stats.TermsSeen++
	n.hs.Vote = n.cfg.ID
	n.votes, n.rejections = map[ident.NodeID]bool{}, map[ident.NodeID]bool{}
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
		if n.hasPreVotePriority(m.From, req) {
			// The other candidate may have missed the request of this one.
			n.send(m.From, m.FromDisk, n.hs.Term, &VoteReply{Pre: true})
			n.requestVote(m.From, m.FromDisk, n.hs.Term+1, true)

			return
		}
		if upToDate && m.Term > n.hs.Term && !n.hasLiveLeader() && !n.grantedHigherPriority(m.From, req) {
			n.postponeCampaign()
			n.preVoteFor, n.preVoteRequest, n.preVoteGrantedAt = m.From, *req, n.clock
			n.send(m.From, m.FromDisk, m.Term, &VoteReply{Pre: true, Granted: true})
		} else {
			n.send(m.From, m.FromDisk, n.hs.Term, &VoteReply{Pre: true})
		}
		return
	}

	if m.Term > n.hs.Term {
		if !n.cfg.NoCheckQuorum && n.hasLiveLeader() {
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

// preVoteGraceTicks is how long a voter that has granted a pre-vote defers to the candidate: 100 ms, while an election
// across regions takes 60 ms. A much longer period would let a candidate that can send but not receive block elections,
// because it keeps repeating its request.
const preVoteGraceTicks = 5

// hasPreVotePriority reports whether this voter has recently requested pre-votes itself and takes priority, by its lower
// id, over a candidate with the same log. Without this rule, two voters that request pre-votes at the same time, as after
// a start, both campaign and split the vote. The priority expires after preVoteGraceTicks, so that a voter that can send
// but not receive does not prevent the others from being elected.
func (n *Node) hasPreVotePriority(other ident.NodeID, req *VoteRequest) bool {
	return n.role == RolePreCandidate && n.clock-n.preVoteRequestedAt < preVoteGraceTicks && n.cfg.ID < other &&
		req.LastTerm == n.log.lastTerm() && req.LastIndex == n.log.last()
}

// grantedHigherPriority reports whether this voter has recently granted a pre-vote to a candidate with a lower id and the
// same log. With four or more voters, two candidates can each win a majority of pre-votes without asking each other.
func (n *Node) grantedHigherPriority(other ident.NodeID, req *VoteRequest) bool {
	return n.preVoteFor != "" && n.preVoteFor < other && n.preVoteRequest == *req && n.clock-n.preVoteGrantedAt < preVoteGraceTicks
}

// postponeCampaign keeps this voter's election timer from expiring during the election of a candidate. Without it, two
// voters in different regions that are both needed for a majority split about one vote in five.
func (n *Node) postponeCampaign() {
	n.electionElapsed = min(n.electionElapsed, n.electionTimeout-preVoteGraceTicks)
}

func (n *Node) handleVoteReply(now time.Time, m Message, reply *VoteReply) {
	if !reply.Granted {
		switch {
		case m.Term > n.hs.Term:
			n.becomeFollower(m.Term, "")
		case n.role == RoleCandidate && !reply.Pre && m.Term == n.hs.Term && n.fromVoter(m):
			n.rejections[m.From] = true
			n.retryLostElection()
		}
		return
	}

	wantTerm, role := n.hs.Term, RoleCandidate
	if reply.Pre {
		wantTerm, role = n.hs.Term+1, RolePreCandidate
	}
	if n.role != role || m.Term != wantTerm {
		return
	}

	if n.fromVoter(m) {
		n.votes[m.From] = true
		n.countVotes(now)
	}
}

// fromVoter reports whether the sender is a voter with the disk named in the membership. A voter with a new disk has lost
// the record of the votes that it cast.
func (n *Node) fromVoter(m Message) bool {
	member, ok := n.log.current().members.Find(m.From)

	return ok && !member.Learner && member.Disk == m.FromDisk
}

// lostElectionRetryTicks is the maximum delay between a lost election and the next pre-vote: 80 ms. The other candidates
// retry at about the same time, and the one with the lowest id wins (see hasPreVotePriority).
const lostElectionRetryTicks = 4

// retryLostElection schedules an early pre-vote once so many voters have rejected this candidate that it can't win the
// term. With an even number of voters, two concurrent candidates can split the vote and would otherwise both wait for an
// election timeout.
func (n *Node) retryLostElection() {
	voters := len(n.log.current().members.Voters())

	if majority := voters/2 + 1; len(n.rejections) > voters-majority {
		n.rejections = map[ident.NodeID]bool{}
		n.setElectionTimer(1, lostElectionRetryTicks)
	}
}

// countVotes starts the election after a majority of pre-votes, and makes the node leader after a majority of votes.
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
	n.peers, n.roundStarts, n.votes, n.rejections, n.incoming = nil, nil, nil, nil, nil
	n.quorumAt, n.leaderSince = time.Time{}, time.Time{}
	n.resetElectionTimer()
}

func (n *Node) becomeLeader(now time.Time) {
	n.stats.Elected++
	n.role, n.leader, n.votes, n.rejections = RoleLeader, n.cfg.ID, nil, nil
	n.peers = map[ident.NodeID]*progress{}
	n.incoming = nil
	n.quorumAt, n.leaderSince = time.Time{}, now
	n.heartbeatElapsed = 0
	n.appendAsLeader(now, EntryNoop, nil)
	n.termStart = n.log.last()
	n.startHeartbeatRound(now)
}

// tickLeader sends heartbeats and, with check-quorum, steps down if no majority has replied within the maximum election
// timeout. It compares times instead of counting ticks, so that a leader whose process was suspended steps down at its
// first tick.
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
		n.startHeartbeatRound(now)
	}
}

// acceptLeaderMessage processes the header of a message that only a leader sends. It reports whether the sender is the
// leader of the current term.
func (n *Node) acceptLeaderMessage(_ time.Time, m Message) bool {
	if m.Term < n.hs.Term {
		// The later term in the reply makes the sender step down. Without the reply, a voter whose term is ahead
		// could never follow a leader again, because its vote requests are ignored.
		n.send(m.From, m.FromDisk, n.hs.Term, &AppendReply{Reject: true})
		return false
	}

	if m.Term == n.hs.Term && n.role == RoleLeader {
		return false // a second leader in the same term: impossible while election safety holds
	}

	if m.Term > n.hs.Term || n.role != RoleFollower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.electionElapsed = 0
	n.excluded = false

	return true
}

// acceptFollowerReply processes the header of a reply to the leader and records the heartbeat round that it acknowledges.
// It reports whether the reply is for the current term and from a current follower.
func (n *Node) acceptFollowerReply(now time.Time, m Message) bool {
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

	p.lastReplyAt = n.clock
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
