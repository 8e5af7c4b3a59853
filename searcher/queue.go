package searcher

import (
	"cmp"
	"slices"
	"time"
)

// deadlineQueue orders the waiting entries by class, primary before hedge, deadline and arrival. It has at
// most 16 entries by default, so a sorted slice is fast enough.
type deadlineQueue struct {
	entries      []entry
	arrivals     uint64
	arrivalOrder bool
}

type entry struct {
	Request
	arrival  uint64
	queuedAt time.Time
}

func (q *deadlineQueue) compare(a, b entry) int {
	if q.arrivalOrder {
		return cmp.Compare(a.arrival, b.arrival)
	}

	return cmp.Or(
		cmp.Compare(a.Class, b.Class),
		compareBool(a.Hedge, b.Hedge),
		a.Deadline.Compare(b.Deadline),
		cmp.Compare(a.arrival, b.arrival),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// position returns the index at which a new request would be inserted.
func (q *deadlineQueue) position(r Request) int {
	at, _ := slices.BinarySearchFunc(q.entries, entry{Request: r, arrival: q.arrivals + 1}, q.compare)

	return at
}

func (q *deadlineQueue) push(r Request, now time.Time) {
	at := q.position(r)
	q.arrivals++
	q.entries = slices.Insert(q.entries, at, entry{Request: r, arrival: q.arrivals, queuedAt: now})
}

func (q *deadlineQueue) remove(i int) Request {
	r := q.entries[i].Request
	q.entries = slices.Delete(q.entries, i, i+1)

	return r
}

func (q *deadlineQueue) index(id RunID) int {
	return slices.IndexFunc(q.entries, func(e entry) bool { return e.Run == id })
}

func (q *deadlineQueue) len() int { return len(q.entries) }
