package searcher

import "fulmarfall/ident"

// connections tracks every connection to the searcher from the effect that opens it until the owner
// reports it closed. Connections that are still opening or closing count, so that the limit holds at the
// searcher and not only at the owner.
type connections struct {
	limit    int
	reserved int
	lastID   ConnectionID
	open     map[ConnectionID]*connection
	idle     []ConnectionID // most recently used last
}

type connectionState uint8

const (
	connectionOpening connectionState = iota // being opened ahead of use
	connectionIdle
	connectionBusy
	connectionClosing
)

type connection struct {
	state       connectionState
	incarnation ident.Incarnation
}

// usable returns the number of connections that runs may use. It is at least 1 for a positive limit,
// even if the reserve covers the whole limit.
func (c *connections) usable() int {
	if c.limit <= 0 {
		return 0
	}

	return max(1, c.limit-c.reserved)
}

func (c *connections) available() bool {
	return len(c.idle) > 0 || len(c.open) < c.usable()
}

// acquire returns the most recently used idle connection, or the ID of a new one that the owner must open.
func (c *connections) acquire(inc ident.Incarnation) (id ConnectionID, opens bool) {
	if n := len(c.idle); n > 0 {
		id = c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.open[id].state = connectionBusy

		return id, false
	}

	return c.add(inc, connectionBusy), true
}

func (c *connections) add(inc ident.Incarnation, state connectionState) ConnectionID {
	c.lastID++
	c.open[c.lastID] = &connection{state: state, incarnation: inc}

	return c.lastID
}

// release makes a busy connection available for reuse.
func (c *connections) release(id ConnectionID) {
	if conn := c.open[id]; conn != nil && conn.state == connectionBusy {
		conn.state = connectionIdle
		c.idle = append(c.idle, id)
	}
}

// close marks a connection as closing and reports whether the owner must close it. It returns false for
// a connection that is unknown or already closing.
func (c *connections) close(id ConnectionID) bool {
	conn := c.open[id]
	if conn == nil || conn.state == connectionClosing {
		return false
	}

	c.removeIdle(id)
	conn.state = connectionClosing

	return true
}

func (c *connections) closed(id ConnectionID) {
	c.removeIdle(id)
	delete(c.open, id)
}

func (c *connections) removeIdle(id ConnectionID) {
	for i, other := range c.idle {
		if other == id {
			c.idle = append(c.idle[:i], c.idle[i+1:]...)
			return
		}
	}
}

// ready counts connections that are idle or being opened ahead of use.
func (c *connections) ready() int {
	n := 0
	for _, conn := range c.open {
		if conn.state == connectionIdle || conn.state == connectionOpening {
			n++
		}
	}

	return n
}

func (c *connections) busy() int {
	n := 0
	for _, conn := range c.open {
		if conn.state == connectionBusy {
			n++
		}
	}

	return n
}

// excess returns the idle connections to close when the limit is exceeded, least recently used first.
func (c *connections) excess() []ConnectionID {
	over := c.ready() + c.busy() - c.usable()
	var ids []ConnectionID
	for i := 0; i < over && i < len(c.idle); i++ {
		ids = append(ids, c.idle[i])
	}

	return ids
}
