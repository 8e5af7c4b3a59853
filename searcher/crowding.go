package searcher

import "time"

// Crowding is what a node has learned of a searcher that resets new connections because it has as many as it accepts. It
// answers the load after many nodes have failed at once: the searcher still counts their connections, and while its queue
// is long it accepts fewer than it states. The zero value knows of no reset.
type Crowding struct {
	limit int
	at    time.Time
}

// crowdingStep is the time after which one more connection than stood at the last reset is tried.
const crowdingStep = 250 * time.Millisecond

// Reset notes that a new connection was reset while some others were open.
func (c *Crowding) Reset(now time.Time, open int) { c.limit, c.at = max(open, 1), now }

// Limit returns how many connections the node should have, of those that are its share.
func (c *Crowding) Limit(now time.Time, share int) int {
	if c.limit == 0 {
		return share
	}

	limit := c.limit + int(now.Sub(c.at)/crowdingStep)
	if limit >= share {
		*c = Crowding{}

		return share
	}

	return limit
}

// Crowded reports whether a new connection was reset in the last two steps.
func (c *Crowding) Crowded(now time.Time) bool {
	return c.limit > 0 && now.Sub(c.at) < 2*crowdingStep
}
