package searcher

import "time"

// ConnectionBackoff lowers a node's connection limit for a searcher that resets new connections because it has reached
// its own limit. This happens after many nodes have failed at once: the searcher still counts their connections, and
// while its queue is long it accepts fewer than it announces. The zero value has recorded no reset.
type ConnectionBackoff struct {
	limit     int
	lastReset time.Time
}

// limitStep is the interval at which the limit rises by one connection after a reset.
const limitStep = 250 * time.Millisecond

// RecordReset records that a new connection was reset while the given number of connections were open.
func (c *ConnectionBackoff) RecordReset(now time.Time, open int) {
	c.limit, c.lastReset = max(open, 1), now
}

// Limit returns the node's current connection limit. It is the node's share unless a reset has lowered it.
func (c *ConnectionBackoff) Limit(now time.Time, share int) int {
	if c.limit == 0 {
		return share
	}

	limit := c.limit + int(now.Sub(c.lastReset)/limitStep)
	if limit >= share {
		*c = ConnectionBackoff{}

		return share
	}

	return limit
}

// RecentlyReset reports whether a new connection was reset within the last two intervals of limitStep.
func (c *ConnectionBackoff) RecentlyReset(now time.Time) bool {
	return c.limit > 0 && now.Sub(c.lastReset) < 2*limitStep
}
