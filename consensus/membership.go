package consensus

import (
	"slices"
	"time"

	"fulmarfall/ident"

	"github.com/go-faster/errors"
)

// Find returns the member with the given id, and whether there is one.
func (l MemberList) Find(id ident.NodeID) (Member, bool) {
	for _, m := range l {
		if m.ID == id {
			return m, true
		}
	}

	return Member{}, false
}

// Voters returns a copy of the list without learners.
func (l MemberList) Voters() MemberList {
	return slices.DeleteFunc(slices.Clone(l), func(m Member) bool { return m.Learner })
}

// Learners returns the non-voting members, which only replicate the log.
func (l MemberList) Learners() MemberList {
	return slices.DeleteFunc(slices.Clone(l), func(m Member) bool { return !m.Learner })
}

func (l MemberList) without(id ident.NodeID) MemberList {
	return slices.DeleteFunc(slices.Clone(l), func(m Member) bool { return m.ID == id })
}

func (l MemberList) with(m Member) MemberList {
	out := append(l.without(m.ID), m)
	slices.SortFunc(out, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})

	return out
}

// isVoter reports whether this disk is a voter in the membership in effect.
func (n *Node) isVoter() bool {
	m, ok := n.log.current().members.Find(n.cfg.ID)

	return ok && !m.Learner && m.Disk == n.cfg.Disk
}

// canCampaign reports whether this node may start an election. This includes a voter whose removal is not known to be
// committed: the others may not have received the removal and may need its vote, which it can't grant while its log is
// more up to date than theirs.
func (n *Node) canCampaign() bool {
	for k := len(n.log.members) - 1; k >= 0; k-- {
		e := n.log.members[k]
		if m, ok := e.members.Find(n.cfg.ID); ok && !m.Learner && m.Disk == n.cfg.Disk {
			return true
		}
		if e.index <= n.commit {
			return false
		}
	}

	return false
}

func (n *Node) soleVoter() bool {
	return n.isVoter() && len(n.log.current().members.Voters()) == 1
}

// maxAnnouncementAge is the maximum age of a usable announcement, in minimum election timeouts. A node that waits to be
// added announces its disk at least once every two of them.
const maxAnnouncementAge = 4

// AddLearner adds a learner. An existing member with the same node id and another disk is replaced and loses its vote,
// because its old disk is lost. If disk is 0, the disk that the node last announced is used.
func (n *Node) AddLearner(now time.Time, id ident.NodeID, disk DiskID) (Index, error) {
	if err := n.checkChangeAllowed(); err != nil {
		return 0, err
	}

	if a, ok := n.announced[id]; disk == 0 && ok && n.clock-a.at <= maxAnnouncementAge*n.cfg.ElectionTicks {
		disk = a.disk
	}
	if disk == 0 {
		return 0, errors.Wrapf(ErrUnknownMember, "node %q has announced no disk", id)
	}

	members := n.log.current().members
	old, ok := members.Find(id)
	switch {
	case id == n.cfg.ID || (ok && old.Disk == disk && !old.Learner):
		return 0, errors.Wrapf(ErrBadChange, "%q is a voter", id)
	case ok && old.Disk == disk:
		return n.log.current().index, nil
	case len(members) >= maxMembers:
		return 0, errors.Wrapf(ErrBadChange, "more than %d members", maxMembers)
	}

	return n.proposeMembership(now, members.with(Member{ID: id, Disk: disk, Learner: true}))
}

// Promote makes a learner a voter. The learner must have persisted all committed entries, and must have replied within
// the minimum election timeout.
func (n *Node) Promote(now time.Time, id ident.NodeID) (Index, error) {
	if err := n.checkChangeAllowed(); err != nil {
		return 0, err
	}

	members := n.log.current().members
	m, ok := members.Find(id)
	if !ok {
		return 0, errors.Wrapf(ErrUnknownMember, "promote %q", id)
	}
	if !m.Learner {
		return n.log.current().index, nil
	}

	p := n.peers[id]
	if p.match < n.commit || n.clock-p.lastReplyAt > n.cfg.ElectionTicks {
		return 0, errors.Wrapf(ErrNotCaughtUp, "%q holds %d of %d entries", id, p.match, n.commit)
	}

	m.Learner = false

	return n.proposeMembership(now, members.with(m))
}

// Remove removes a voter or learner from the membership. The last voter can't be removed.
func (n *Node) Remove(now time.Time, id ident.NodeID) (Index, error) {
	if err := n.checkChangeAllowed(); err != nil {
		return 0, err
	}

	members := n.log.current().members
	if _, ok := members.Find(id); !ok {
		return 0, errors.Wrapf(ErrUnknownMember, "remove %q", id)
	}

	remaining := members.without(id)
	if len(remaining.Voters()) == 0 {
		return 0, errors.Wrapf(ErrBadChange, "%q is the last voter", id)
	}

	return n.proposeMembership(now, remaining)
}

// checkChangeAllowed rejects a membership change until the previous one is committed and the leader has committed an
// entry of its own term. Without the second rule, changes by different leaders could have majorities that do not overlap.
func (n *Node) checkChangeAllowed() error {
	switch {
	case n.role != RoleLeader:
		return ErrNotLeader
	case !n.ready():
		return ErrNotReady
	case n.log.current().index > n.commit:
		return ErrChangePending
	default:
		return nil
	}
}

func (n *Node) proposeMembership(now time.Time, members MemberList) (Index, error) {
	n.appendAsLeader(now, EntryMembers, encodeMembers(members))

	return n.log.last(), nil
}
