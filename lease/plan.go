package lease

import (
	"time"

	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/registry"
)

// planner is the work of one Plan.
type planner struct {
	l        *Leader
	now      time.Time
	settled  bool // one lease term has passed since the election
	listened bool
	inMotion int
	commands []control.Command
}

// Plan returns the owner changes that are due, for the leader to propose. leaderSince is the
// leader's clock at its election; reg is the leader's applied state, including every entry that it
// has committed before its own term. Plan may be called as often as the caller likes.
func (l *Leader) Plan(now, leaderSince time.Time, reg *registry.Registry) []control.Command {
	l.expire(now)
	l.settle(reg)
	l.pref.refresh(l.candidates(now))
	p := planner{
		l: l, now: now,
		settled:  !now.Before(leaderSince.Add(more(Term, l.drift))),
		listened: !now.Before(leaderSince.Add(listenFor)),
	}
	searchers := reg.Searchers()
	for _, s := range searchers {
		if s.Move != registry.MoveNone && !s.Removed {
			p.inMotion++
		}
	}
	for _, s := range searchers {
		if len(p.commands) >= maxCommands {
			break
		}
		p.replace(s)
	}
	if p.settled {
		// Nodes that leave wait for their moves, so these come before the rebalancing.
		for _, s := range searchers {
			p.move(s, true)
		}
		for _, s := range searchers {
			p.move(s, false)
		}
	}

	return p.commands
}

// replace assigns an owner to a searcher that has none, or whose owner is gone.
func (p *planner) replace(s *registry.Searcher) {
	owner := run{s.Owner, s.OwnerIncarnation}
	switch {
	case s.Owner == "" && (s.Removed || !p.listened):
		return
	case s.Owner != "" && (!p.settled || p.l.holds(p.now, owner)):
		return
	}
	command := control.AssignOwner{Searcher: s.ID, Epoch: s.Epoch}
	if !s.Removed {
		n, ok := p.l.pref.of(s)
		if !ok {
			return
		}
		command.Owner, command.Incarnation = n.ID, n.Incarnation
	}
	if !p.emit(s, command) {
		return
	}
	if _, known := p.l.losses[s.ID]; s.Owner != "" && !known {
		p.l.losses[s.ID] = loss{run: owner, epoch: s.Epoch}
		p.l.fenced[owner]++
	}
}

// move starts a planned move of a searcher whose owner is leaving, or is not the preferred one.
func (p *planner) move(s *registry.Searcher, leaving bool) {
	if p.inMotion >= p.l.maxMoves || len(p.commands) >= maxCommands || s.Owner == "" || s.Removed || s.Move != registry.MoveNone {
		return
	}
	owner := p.l.nodes[s.Owner]
	if owner == nil || owner.info.Incarnation != s.OwnerIncarnation || owner.info.Leaving != leaving {
		return
	}
	to, ok := p.l.pref.of(s)
	if !ok || to.ID == s.Owner {
		return
	}
	if !leaving {
		// An owner that misses renewals is not in the list of candidates. It may be about to be
		// lost, so a move would only wait for it.
		if !p.l.fresh(p.now, owner) || p.now.Sub(p.l.lastMove) < p.l.moveEvery {
			return
		}
	}
	if p.emit(s, control.MoveOwner{Searcher: s.ID, Epoch: s.Epoch, To: to.ID}) {
		p.inMotion++
		if !leaving {
			p.l.lastMove = p.now
		}
	}
}

// emit adds a command unless the same one was made a short time ago.
func (p *planner) emit(s *registry.Searcher, c control.Command) bool {
	last, ok := p.l.emitted[s.ID]
	if ok && last.epoch == s.Epoch && last.move == s.Move && p.now.Sub(last.at) < repeatAfter {
		return false
	}
	p.l.emitted[s.ID] = emitted{epoch: s.Epoch, move: s.Move, at: p.now}
	p.commands = append(p.commands, c)

	return true
}

func (l *Leader) fresh(now time.Time, n *node) bool {
	return l.holds(now, run{n.info.ID, n.info.Incarnation}) && now.Sub(n.renewed) <= freshFor
}

// candidates returns the nodes that may be given searchers, ordered by id.
func (l *Leader) candidates(now time.Time) []NodeInfo {
	list := l.Nodes(now)
	kept := list[:0]
	for _, n := range list {
		if !n.Leaving && l.fresh(now, l.nodes[n.ID]) {
			kept = append(kept, n)
		}
	}

	return kept
}

// preferences remembers the preferred owner of each searcher while the candidates stay the same:
// hashing every pair takes milliseconds at 480 nodes and 2,200 searchers.
type preferences struct {
	candidates []NodeInfo
	seeds      []uint64
	byDomain   map[ident.FailureDomain][]int
	byRegion   map[ident.Region][]int
	all        []int
	known      map[ident.SearcherID]preference
}

type preference struct {
	domain ident.FailureDomain
	region ident.Region
	index  int
}
