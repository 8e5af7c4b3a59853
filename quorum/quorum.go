// Package quorum plans the automatic changes of the voter set: control VMs that start with an empty disk become
// learners and then voters, and lost voters are removed once enough voters remain without them. The leader requests one
// change at a time.
package quorum

import (
	"time"

	"fulmarfall/consensus"
	"fulmarfall/ident"
)

// AnnouncedVM is a control VM that has announced itself.
type AnnouncedVM struct {
	ID   ident.NodeID
	Disk consensus.DiskID
	// Age is the time since its last announcement.
	Age time.Duration
}

// Change is a change of the voter set: an Add, Promote or Remove.
type Change interface{ change() }

// Add adds a disk as a learner, in place of the previous disk of its node.
type Add struct{ Member consensus.Member }

// Promote makes a learner a voter.
type Promote struct{ ID ident.NodeID }

// Remove removes a voter or learner.
type Remove struct{ ID ident.NodeID }

func (Add) change()     {}
func (Promote) change() {}
func (Remove) change()  {}

const (
	// maxAnnouncementAge is the maximum age of an announcement that counts as proof that a node is running. Nodes
	// announce themselves several times per second.
	maxAnnouncementAge = 1500 * time.Millisecond
	// lostTimeout is the age of the last announcement from which a voter counts as lost. A voter that is removed too
	// early returns as a learner within a second, so a false positive costs little; a late removal leaves the set
	// without a spare voter after the successor has started.
	lostTimeout = 2 * time.Second
	// minVoters is the minimum number of voters that tolerates the loss of one.
	minVoters = 3
)

// MinVoters returns the number of voters below which no voter is removed: after the loss of toleratedLosses disks, a
// majority of the remaining voters must still store each committed entry.
func MinVoters(toleratedLosses int) int { return max(2*toleratedLosses+1, minVoters) }

// Plan returns the next change, or nil if none is needed. members is the current set, self the leader's own node, and
// toleratedLosses the number of disks that may be lost at once.
func Plan(self ident.NodeID, members []consensus.Member, seen []AnnouncedVM, toleratedLosses int) Change {
	ages := make(map[ident.NodeID]time.Duration, len(seen))

	for _, s := range seen {
		ages[s.ID] = s.Age
	}

	voters := 0

	for _, m := range members {
		if !m.Learner {
			voters++
		}
	}

	for _, m := range members {
		age, ok := ages[m.ID]
		if m.Learner && ok && age <= maxAnnouncementAge && diskOf(seen, m.ID) == m.Disk {
			return Promote{ID: m.ID}
		}
	}

	for _, s := range seen {
		if s.ID != self && s.Disk != 0 && s.Age <= maxAnnouncementAge && !isMember(members, s) {
			return Add{Member: consensus.Member{ID: s.ID, Disk: s.Disk, Learner: true}}
		}
	}

	for _, m := range members {
		if age, ok := ages[m.ID]; m.ID == self || ok && age < lostTimeout {
			continue
		}

		if m.Learner || voters-1 >= MinVoters(toleratedLosses) {
			return Remove{ID: m.ID}
		}
	}

	return nil
}

func diskOf(seen []AnnouncedVM, id ident.NodeID) consensus.DiskID {
	for _, s := range seen {
		if s.ID == id {
			return s.Disk
		}
	}

	return 0
}

func isMember(members []consensus.Member, s AnnouncedVM) bool {
	for _, m := range members {
		if m.ID == s.ID && m.Disk == s.Disk {
			return true
		}
	}

	return false
}
