package searcher

import (
	"cmp"
	"slices"
	"time"

	"fulmarfall/ident"
)

// ConnectionLimiter limits the connections of one node to a searcher that several nodes use without an owner. When all
// connections are busy, the node's attempts queue for them by class and then by deadline. Attempts that their request
// does not need, and attempts that find the queue full, are refused at once, so that they can go to another replica or be
// left out: while a searcher is overloaded, any attempt that queues here would miss its latency target. A
// ConnectionLimiter is not safe for concurrent use.
type ConnectionLimiter struct {
	limit      int
	queueLimit int
	busy       int
	waiting    []ConnectionRequest
	arrivals   uint64
}

// ConnectionRequest is an attempt that asks for a connection.
type ConnectionRequest struct {
	ID       uint64
	Class    ident.Class
	Deadline time.Time
	// MayQueue makes the attempt queue when no connection is free, instead of being refused.
	MayQueue bool
	arrival  uint64
}

// ConnectionDecision is the result of Acquire for the new attempt.
type ConnectionDecision uint8

// The decisions on a new attempt.
const (
	ConnectionGranted ConnectionDecision = iota
	ConnectionQueued
	ConnectionRefused
)

// NewConnectionLimiter returns a ConnectionLimiter with a limit on connections and a limit on queued attempts.
func NewConnectionLimiter(limit, queue int) *ConnectionLimiter {
	return &ConnectionLimiter{limit: limit, queueLimit: queue}
}

// Acquire asks for a connection. If the queue is full, an attempt that sorts before the last queued one displaces it.
// The ID of the displaced attempt is returned, or 0.
func (l *ConnectionLimiter) Acquire(e ConnectionRequest) (v ConnectionDecision, displaced uint64) {
	l.arrivals++
	e.arrival = l.arrivals

	if l.busy < l.limit {
		l.busy++

		return ConnectionGranted, 0
	}

	if !e.MayQueue {
		return ConnectionRefused, 0
	}

	at, _ := slices.BinarySearchFunc(l.waiting, e, compareConnectionRequests)
	if len(l.waiting) >= l.queueLimit {
		if at == len(l.waiting) {
			return ConnectionRefused, 0
		}

		last := l.waiting[len(l.waiting)-1]
		l.waiting = l.waiting[:len(l.waiting)-1]
		displaced = last.ID
	}

	l.waiting = slices.Insert(l.waiting, at, e)

	return ConnectionQueued, displaced
}

func compareConnectionRequests(a, b ConnectionRequest) int {
	return cmp.Or(cmp.Compare(a.Class, b.Class), a.Deadline.Compare(b.Deadline), cmp.Compare(a.arrival, b.arrival))
}

// Release returns a connection and grants it to the next queued attempt. It returns the ID of that attempt; ok is false
// if no attempt is queued or the limit is still reached.
func (l *ConnectionLimiter) Release() (next uint64, ok bool) {
	l.busy--

	return l.grant()
}

func (l *ConnectionLimiter) grant() (next uint64, ok bool) {
	if len(l.waiting) == 0 || l.busy >= l.limit {
		return 0, false
	}

	next = l.waiting[0].ID
	l.waiting = slices.Delete(l.waiting, 0, 1)
	l.busy++

	return next, true
}

// Cancel removes an attempt from the queue. It returns false if the attempt is not queued, because it has a connection
// or was displaced.
func (l *ConnectionLimiter) Cancel(id uint64) bool {
	i := slices.IndexFunc(l.waiting, func(e ConnectionRequest) bool { return e.ID == id })
	if i < 0 {
		return false
	}

	l.waiting = slices.Delete(l.waiting, i, i+1)

	return true
}

// SetLimit changes the connection limit and returns the queued attempts that are granted a connection by the change.
func (l *ConnectionLimiter) SetLimit(limit int) []uint64 {
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
func (l *ConnectionLimiter) Busy() int { return l.busy }

// Limit returns the connection limit.
func (l *ConnectionLimiter) Limit() int { return l.limit }

// ConnectionShare returns how many of a searcher's connections a node may use, given its share of the total load. Part
// of the limit stays unused, because a node that has just failed may still have its connections open and the shares computed
// by different nodes disagree for a moment.
func ConnectionShare(limit int, share float64) int {
	if limit <= 0 {
		return maxNodeConnections
	}

	return min(max(int(connectionFactor*float64(limit)*share), 1), maxNodeConnections)
}

// connectionFactor is the fraction of a searcher's connection limit that is shared among the nodes.
const connectionFactor = 0.9

// ColdShare returns how many requests a node may send to a cold searcher in any second, given its share of the total
// load. perSecond is the rate that the searcher announces; burst and slack set how far the sum of all nodes may exceed it
// within one second. Rounding down keeps the sum below that bound and gives nodes with little load no requests: the
// shares of the other nodes suffice for all.
func ColdShare(perSecond, burst, slack, share float64) int {
	return int(coldFactor * share * (perSecond*burst + slack))
}

// coldFactor is the fraction of the bound that is shared among the nodes, because they may use outdated shares.
const coldFactor = 0.8

// maxNodeConnections limits the connections of one node to a searcher. A searcher has 2 to 4 slots; with more connections,
// requests would queue at the searcher instead of here, from where they can still go to another replica.
const maxNodeConnections = 6
