package callerlimit

import "time"

// class orders connections by who gives way first: slow ones before idle ones, which other callers may use again, before
// those that have just begun.
type class uint8

const (
	young class = iota
	idle
	slow
)

// rank orders the connections of a class by their size and slowness.
type rank struct {
	class class
	score float64 // byte seconds
}

func (r rank) less(o rank) bool {
	return r.class < o.class || r.class == o.class && r.score < o.score
}

func (c *Connection) rank(now time.Time) rank { return c.rankWith(0, now) }

// rankWith returns the rank with n more bytes. A connection that has not sent a request by the end of the grace period is
// slow.
func (c *Connection) rankWith(n int64, now time.Time) rank {
	age := now.Sub(c.since)
	r := rank{score: float64(c.base+c.reserved+c.queued+n) * age.Seconds()}

	switch {
	case c.phase == Idle && c.answered:
		r.class = idle
	case age >= grace:
		r.class = slow
	default:
		r.class = young
	}

	return r
}

// victim returns the eligible connection that gives way first, or nil if there is none. The caller must hold mu.
func (b *Budget) victim(now time.Time, eligible func(*Connection) bool) *Connection {
	var (
		worst *Connection
		most  rank
	)

	for _, c := range b.open {
		if c.evicted || c.phase == Running || !eligible(c) {
			continue
		}

		if r := c.rank(now); worst == nil || most.less(r) {
			worst, most = c, r
		}
	}

	return worst
}
