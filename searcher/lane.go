package searcher

import (
	"cmp"
	"slices"
	"time"

	"fulmarfall/ident"
)

// Lane shares the connections that one node may have to a searcher among its own attempts, where several nodes send to
// the searcher without an owner. It answers the load of a node whose attempts come faster than the searcher answers:
// those of higher classes go first, then those with the earlier deadline. What its request can do without, and what finds
// the queue full, is turned away at once, so that it can go to another replica or be left out: while a searcher gets more
// than it can do, every attempt that waits here would come too late for its target. A Lane is not safe for concurrent use.
type Lane struct {
	limit int
	queue int
	busy  int
	wait  []LaneEntry
	next  uint64
}

// LaneEntry is one attempt that wants a connection.
type LaneEntry struct {
	ID       uint64
	Class    ident.Class
	Deadline time.Time
	// Patient says that the attempt waits when no connection is free.
	Patient bool
	arrival uint64
}

// LaneVerdict says what becomes of an attempt on arrival.
type LaneVerdict uint8

// The verdicts.
const (
	LaneGranted LaneVerdict = iota
	LaneQueued
	LaneFull
)

// NewLane returns a lane with a number of connections and of waiting attempts.
func NewLane(limit, queue int) *Lane { return &Lane{limit: limit, queue: queue} }

// Enter asks for a connection. An attempt that finds the queue full takes the place of the last one if it goes before
// it; the displaced attempt is returned.
func (l *Lane) Enter(e LaneEntry) (v LaneVerdict, displaced uint64) {
	l.next++
	e.arrival = l.next

	if l.busy < l.limit {
		l.busy++

		return LaneGranted, 0
	}

	if !e.Patient {
		return LaneFull, 0
	}

	at, _ := slices.BinarySearchFunc(l.wait, e, compareLane)
	if len(l.wait) >= l.queue {
		if at == len(l.wait) {
			return LaneFull, 0
		}

		last := l.wait[len(l.wait)-1]
		l.wait = l.wait[:len(l.wait)-1]
		displaced = last.ID
	}

	l.wait = slices.Insert(l.wait, at, e)

	return LaneQueued, displaced
}

func compareLane(a, b LaneEntry) int {
	return cmp.Or(cmp.Compare(a.Class, b.Class), a.Deadline.Compare(b.Deadline), cmp.Compare(a.arrival, b.arrival))
}

// Leave gives a connection back. It returns the attempt that has it from now on, if there is one.
func (l *Lane) Leave() (next uint64, ok bool) {
	l.busy--

	return l.grant()
}

func (l *Lane) grant() (next uint64, ok bool) {
	if len(l.wait) == 0 || l.busy >= l.limit {
		return 0, false
	}

	next = l.wait[0].ID
	l.wait = slices.Delete(l.wait, 0, 1)
	l.busy++

	return next, true
}

// Withdraw takes an attempt out of the queue. It returns false if it does not wait, so has a connection or was displaced.
func (l *Lane) Withdraw(id uint64) bool {
	i := slices.IndexFunc(l.wait, func(e LaneEntry) bool { return e.ID == id })
	if i < 0 {
		return false
	}

	l.wait = slices.Delete(l.wait, i, i+1)

	return true
}

// SetLimit changes the number of connections and returns the attempts that have one now.
func (l *Lane) SetLimit(limit int) []uint64 {
	l.limit = limit

	var granted []uint64

	for {
		id, ok := l.grant()
		if !ok {
			return granted
		}

		granted = append(granted, id)
	}
}

// Busy returns the number of connections in use.
func (l *Lane) Busy() int { return l.busy }

// Limit returns the number of connections.
func (l *Lane) Limit() int { return l.limit }

// ConnectionShare returns how many of a searcher's connections a node may use that has a part of all load. A node that
// has just failed can still hold its own, and the shares that nodes compute differ for a moment, so a part of the limit
// stays unused.
func ConnectionShare(limit int, share float64) int {
	if limit <= 0 {
		return maxShare
	}

	return min(max(int(connectionReserve*float64(limit)*share), 1), maxShare)
}

// connectionReserve is the part of a searcher's connections that nodes use in common.
const connectionReserve = 0.9

// ColdShare returns how many requests a node with a part of all load may send to a cold searcher in any second. The
// searcher states the rate that it bears; burst and slack say how far above it the sum of all nodes may be for a second.
// Rounding down keeps the sum below that, and leaves nodes with little load none: the others have enough for all.
func ColdShare(perSecond, burst, slack, share float64) int {
	return int(coldReserve * share * (perSecond*burst + slack))
}

// coldReserve is the part of the bound that nodes use: they may know of the shares of a moment ago.
const coldReserve = 0.8

// maxShare bounds the connections of one node to a searcher: with 2 to 4 slots, more of them only make requests wait at
// the searcher instead of here, where they can still go elsewhere.
const maxShare = 6
