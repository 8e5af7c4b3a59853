package lease

import (
	"time"

	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/registry"
)

// planner is the state of one call of Plan.
type planner struct {
	leader               *Leader
	now                  time.Time
	earlierLeasesExpired bool // every lease of earlier leaders has expired
	renewalsCollected    bool // renewalCollectionPeriod has passed since the election
	moving               int
	commands             []control.Command
}

// Plan returns the owner changes for the leader to propose. leaderSince is the leader's clock at its
// election; reg is the leader's applied state, which must include every entry committed before the
// leader's own term. Plan may be called at any frequency: it does not repeat a recent proposal.
func (l *Leader) Plan(now, leaderSince time.Time, reg *registry.Registry) []control.Command {
	l.expireLeases(now)
	l.clearCommitted(reg)
	l.preferred.setCandidates(l.candidates(now))
	p := planner{
		leader: l, now: now,
		earlierLeasesExpired: !now.Before(leaderSince.Add(lengthen(MaxDuration, l.driftMargin))),
		renewalsCollected:    !now.Before(leaderSince.Add(renewalCollectionPeriod)),
	}
	searchers := reg.Searchers()
	for _, s := range searchers {
		if s.Move != registry.MoveNone && !s.Removed {
			p.moving++
		}
	}
	for _, s := range searchers {
		if len(p.commands) >= maxCommandsPerPlan {
			break
		}
		p.assignOwner(s)
	}
	if p.earlierLeasesExpired {
		// Leaving nodes cannot stop until their searchers have moved, so these moves come before
		// rebalancing.
		for _, s := range searchers {
			p.startMove(s, true)
		}
		for _, s := range searchers {
			p.startMove(s, false)
		}
	}

	return p.commands
}

// assignOwner assigns an owner to a searcher that has none, or whose owner's lease has expired. A
// removed searcher loses its expired owner and gets no new one.
func (p *planner) assignOwner(s *registry.Searcher) {
	owner := nodeIncarnation{s.Owner, s.OwnerIncarnation}
	switch {
	case s.Owner == "" && (s.Removed || !p.renewalsCollected):
		return
	case s.Owner != "" && (!p.earlierLeasesExpired || p.leader.hasLease(p.now, owner)):
		return
	}
	command := control.AssignOwner{Searcher: s.ID, Epoch: s.Epoch}
	if !s.Removed {
		n, ok := p.leader.preferred.nodeFor(s)
		if !ok {
			return
		}
		command.Owner, command.Incarnation = n.ID, n.Incarnation
	}
	if !p.propose(s, command) {
		return
	}
	if _, counted := p.leader.reassignments[s.ID]; s.Owner != "" && !counted {
		p.leader.reassignments[s.ID] = reassignment{owner: owner, epoch: s.Epoch}
		p.leader.fenced[owner]++
	}
}

// startMove starts a planned move of a searcher if its owner is not the preferred one. If leaving is
// set, it considers only the searchers of leaving nodes; otherwise only those of other nodes.
func (p *planner) startMove(s *registry.Searcher, leaving bool) {
	if p.moving >= p.leader.maxMoves || len(p.commands) >= maxCommandsPerPlan || s.Owner == "" || s.Removed || s.Move != registry.MoveNone {
		return
	}
	owner := p.leader.nodes[s.Owner]
	if owner == nil || owner.info.Incarnation != s.OwnerIncarnation || owner.info.Leaving != leaving {
		return
	}
	to, ok := p.leader.preferred.nodeFor(s)
	if !ok || to.ID == s.Owner {
		return
	}
	if !leaving {
		// An owner that misses renewals is not a candidate, so another node is preferred. Its lease
		// may be about to expire, and a move would block until it releases the searcher.
		if !p.leader.renewedRecently(p.now, owner) || p.now.Sub(p.leader.lastMove) < p.leader.moveInterval {
			return
		}
	}
	if p.propose(s, control.MoveOwner{Searcher: s.ID, Epoch: s.Epoch, To: to.ID}) {
		p.moving++
		if !leaving {
			p.leader.lastMove = p.now
		}
	}
}

// propose adds a command unless one was proposed for the same epoch and move state of the searcher
// within proposalRetryInterval. It reports whether the command was added.
func (p *planner) propose(s *registry.Searcher, c control.Command) bool {
	last, ok := p.leader.proposals[s.ID]
	if ok && last.epoch == s.Epoch && last.move == s.Move && p.now.Sub(last.at) < proposalRetryInterval {
		return false
	}
	p.leader.proposals[s.ID] = proposal{epoch: s.Epoch, move: s.Move, at: p.now}
	p.commands = append(p.commands, c)

	return true
}

func (l *Leader) renewedRecently(now time.Time, n *node) bool {
	return l.hasLease(now, nodeIncarnation{n.info.ID, n.info.Incarnation}) && now.Sub(n.lastRenewal) <= maxRenewalAge
}

// candidates returns the nodes that may be assigned searchers, ordered by id.
func (l *Leader) candidates(now time.Time) []NodeInfo {
	list := l.Nodes(now)
	kept := list[:0]
	for _, n := range list {
		if !n.Leaving && l.renewedRecently(now, l.nodes[n.ID]) {
			kept = append(kept, n)
		}
	}

	return kept
}

// preferredOwners caches the preferred owner of each searcher until the candidates change: hashing
// every pair takes milliseconds at 480 nodes and 2,200 searchers.
type preferredOwners struct {
	candidates []NodeInfo
	idHashes   []uint64
	byDomain   map[ident.FailureDomain][]int
	byRegion   map[ident.Region][]int
	all        []int
	cache      map[ident.SearcherID]cachedOwner
}

type cachedOwner struct {
	domain ident.FailureDomain
	region ident.Region
	index  int
}
