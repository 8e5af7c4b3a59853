package consensus

// Membership: learners, promotion and removal, one change at a time.

import (
	"slices"
	"time"

	"fulmarfall/ident"

	"github.com/go-faster/errors"
)

// Find returns the member with the id.
func (l MemberList) Find(id ident.NodeID) (Member, bool) {
	for _, m := range l {
		if m.ID == id {
			return m, true
		}
	}

	return Member{}, false
}

// Voters returns the members that vote.
func (l MemberList) Voters() MemberList {
	return slices.DeleteFunc(slices.Clone(l), func(m Member) bool { return m.Learner })
}

// Learners returns the members that only receive the log.
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

// isVoter reports whether this disk votes by the membership in force.
func (n *Node) isVoter() bool {
	m, ok := n.log.current().members.Find(n.cfg.ID)

	return ok && !m.Learner && m.Disk == n.cfg.Disk
}

// mayCampaign also lets a voter campaign whose removal is not known to be committed: the others may not know of
// the removal, may need its vote, and can't have it when its log is longer than theirs.
func (n *Node) mayCampaign() bool {
	for k := len(n.log.members) - 1; k >= 0; k-- {
		at := n.log.members[k]
		if m, ok := at.members.Find(n.cfg.ID); ok && !m.Learner && m.Disk == n.cfg.Disk {
			return true
		}
		if at.index <= n.commit {
			return false
		}
	}

	return false
}

func (n *Node) soleVoter() bool {
	return n.isVoter() && len(n.log.current().members.Voters()) == 1
}

// maxAnnouncementAge bounds the age of a usable announcement, in shortest election timeouts; a node that waits to be
// added announces its disk at least every two.
const maxAnnouncementAge = 4

// AddLearner adds a learner. A member with the same node id and another disk is replaced, and loses its vote:
// that disk is lost. With disk 0, the disk that the node last announced is taken.
func (n *Node) AddLearner(now time.Time, id ident.NodeID, disk DiskID) (Index, error) {
	if err := n.mayChange(); err != nil {
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

	return n.change(now, members.with(Member{ID: id, Disk: disk, Learner: true}))
}

// Promote makes a learner a voter. The learner must hold durably everything that is committed, and must have
// answered within the shortest election timeout.
func (n *Node) Promote(now time.Time, id ident.NodeID) (Index, error) {
	if err := n.mayChange(); err != nil {
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
	if p.match < n.commit || n.clock-p.heardAt > n.cfg.ElectionTicks {
		return 0, errors.Wrapf(ErrNotCaughtUp, "%q holds %d of %d entries", id, p.match, n.commit)
	}

	m.Learner = false

	return n.change(now, members.with(m))
}

// Remove takes a member out.
func (n *Node) Remove(now time.Time, id ident.NodeID) (Index, error) {
	if err := n.mayChange(); err != nil {
		return 0, err
	}

	members := n.log.current().members
	if _, ok := members.Find(id); !ok {
		return 0, errors.Wrapf(ErrUnknownMember, "remove %q", id)
	}

	rest := members.without(id)
	if len(rest.Voters()) == 0 {
		return 0, errors.Wrapf(ErrBadChange, "%q is the last voter", id)
	}

	return n.change(now, rest)
}

// mayChange holds back a change until the one before is committed and the leader has committed an entry of its
// own term; without the second rule two changes of different leaders could have majorities that do not meet.
func (n *Node) mayChange() error {
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

func (n *Node) change(now time.Time, members MemberList) (Index, error) {
	n.appendOwn(now, EntryMembers, encodeMembers(members))

	return n.log.last(), nil
}
