package searcher

import "fulmarfall/ident"

// connections counts every connection to the searcher, from the order to open it until the owner
// reports it closed, so that the limit holds at the searcher and not only at the owner.
type connections struct {
	limit    int
	reserved int
	last     ConnectionID
	open     map[ConnectionID]*connection
	idle     []ConnectionID // most recently used last
}

type connectionState uint8

const (
	connectionOpening connectionState = iota // ahead of use
	connectionIdle
	connectionBusy
	connectionClosing
)

type connection struct {
	state       connectionState
	incarnation ident.Incarnation
}

// usable is the number of connections that runs may use. One is left to runs even if the reserve
// takes the whole limit.
func (c *connections) usable() int {
	if c.limit <= 0 {
		return 0
	}

	return max(1, c.limit-c.reserved)
}

func (c *connections) available() bool {
	return len(c.idle) > 0 || len(c.open) < c.usable()
}

// take returns an idle connection, or the number of a new one.
func (c *connections) take(inc ident.Incarnation) (id ConnectionID, opens bool) {
	if n := len(c.idle); n > 0 {
		id = c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.open[id].state = connectionBusy

		return id, false
	}

	return c.add(inc, connectionBusy), true
}

func (c *connections) add(inc ident.Incarnation, state connectionState) ConnectionID {
	c.last++
	c.open[c.last] = &connection{state: state, incarnation: inc}

	return c.last
}

// release gives a busy connection back for reuse.
func (c *connections) release(id ConnectionID) {
	if k := c.open[id]; k != nil && k.state == connectionBusy {
		k.state = connectionIdle
		c.idle = append(c.idle, id)
	}
}

// close marks a connection as closing and says whether the owner has to be told.
func (c *connections) close(id ConnectionID) bool {
	k := c.open[id]
	if k == nil || k.state == connectionClosing {
		return false
	}

	c.dropIdle(id)
	k.state = connectionClosing

	return true
}

func (c *connections) closed(id ConnectionID) {
	c.dropIdle(id)
	delete(c.open, id)
}

func (c *connections) dropIdle(id ConnectionID) {
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
	for _, k := range c.open {
		if k.state == connectionIdle || k.state == connectionOpening {
			n++
		}
	}

	return n
}

func (c *connections) busy() int {
	n := 0
	for _, k := range c.open {
		if k.state == connectionBusy {
			n++
		}
	}

	return n
}

// excess returns connections that are not in use and stand above the limit.
func (c *connections) excess() []ConnectionID {
	over := c.ready() + c.busy() - c.usable()
	var ids []ConnectionID
	for i := 0; i < over && i < len(c.idle); i++ {
		ids = append(ids, c.idle[i])
	}

	return ids
}
