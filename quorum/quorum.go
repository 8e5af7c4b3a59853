// Package quorum decides how the set of voters changes by itself: control VMs that start with an empty disk become
// learners and then voters, and voters that are lost leave the set once the set can spare them. The leader asks for one
// change at a time.
package quorum

import (
	"time"

	"fulmarfall/consensus"
	"fulmarfall/ident"
)

// Seen is a control VM that has announced itself.
type Seen struct {
	ID   ident.NodeID
	Disk consensus.DiskID
	// Age is the time since it was last heard of.
	Age time.Duration
}

// Change is a change of the set. The types are Add, Promote and Remove.
type Change interface{ change() }

// Add makes a disk a learner, in place of the disk that its node had before.
type Add struct{ Member consensus.Member }

// Promote makes a learner a voter.
type Promote struct{ ID ident.NodeID }

// Remove takes a member out.
type Remove struct{ ID ident.NodeID }

func (Add) change()     {}
func (Promote) change() {}
func (Remove) change()  {}

const (
	// freshFor is the age up to which an announcement shows that a node is running. Nodes announce themselves several
	// times a second.
	freshFor = 1500 * time.Millisecond
	// lostAfter is the age from which a voter counts as lost. A voter that is removed too early returns as a learner
	// within a second, so a wrong guess costs little; a late one leaves the set without a spare voter after its
	// successor has started.
	lostAfter = 2 * time.Second
	// minVoters is the least number of voters that bears the loss of one.
	minVoters = 3
)

// Floor returns the number of voters below which no voter is removed: a majority of the rest must hold each committed
// entry after the loss of as many disks as the system has to bear.
func Floor(tolerated int) int { return max(2*tolerated+1, minVoters) }

// Plan returns the next change, or nil. members is the set in force, self the leader's own node, and tolerated the
// number of disks that may be lost at once.
func Plan(self ident.NodeID, members []consensus.Member, seen []Seen, tolerated int) Change {
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
		if m.Learner && ok && age <= freshFor && diskOf(seen, m.ID) == m.Disk {
			return Promote{ID: m.ID}
		}
	}

	for _, s := range seen {
		if s.ID != self && s.Disk != 0 && s.Age <= freshFor && !holds(members, s) {
			return Add{Member: consensus.Member{ID: s.ID, Disk: s.Disk, Learner: true}}
		}
	}

	for _, m := range members {
		if age, ok := ages[m.ID]; m.ID == self || ok && age < lostAfter {
			continue
		}

		if m.Learner || voters-1 >= Floor(tolerated) {
			return Remove{ID: m.ID}
		}
	}

	return nil
}

func diskOf(seen []Seen, id ident.NodeID) consensus.DiskID {
	for _, s := range seen {
		if s.ID == id {
			return s.Disk
		}
	}

	return 0
}

func holds(members []consensus.Member, s Seen) bool {
	for _, m := range members {
		if m.ID == s.ID && m.Disk == s.Disk {
			return true
		}
	}

	return false
}
