// Package callerlimit decides how much memory and how many connections the callers of a process may use, and which of them
// gives way when that is exhausted.
package callerlimit

import (
	"net/netip"
	"sync"
	"time"
)

// Limits are those of one process, over all its listeners.
type Limits struct {
	// Bytes is the memory for connections, requests that are being read, and responses that have not been sent.
	Bytes int64
	// Connections and PerAddress are the numbers of connections in total, and from one address.
	Connections int
	PerAddress  int
}

const (
	// defaultMemory and defaultDescriptors are those of the smallest machines in use.
	defaultMemory      = 184_000_000
	defaultDescriptors = 4_100
	// memoryShare is the part of the memory that callers may use.
	memoryShare = 4
	// connectionShare is the part of that which connections without a request may use at most, in quarters.
	connectionShare = 3
	// reservedDescriptors are for the process itself. Connections to searchers and other nodes may use half of the others.
	reservedDescriptors = 200
	minConnections      = 8
)

// LimitsOf returns the limits of a process that may use a number of bytes of memory and of descriptors, 0 for unknown.
func LimitsOf(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}

	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}

	l := Limits{Bytes: memory / memoryShare}
	l.Connections = max(min((descriptors-reservedDescriptors)/2, int(l.Bytes*connectionShare/4/ConnectionBytes)), minConnections)
	l.PerAddress = max(l.Connections*3/4, 1)

	return l
}

// Phase is what a connection is doing.
type Phase uint8

// Phases of a connection. A connection whose request is running is never closed for others, because the request may have
// reached a searcher.
const (
	Idle Phase = iota
	Reading
	Running
	Writing
)

// Reason tells why a connection or a request was refused or closed.
type Reason string

// Reasons, which are also the labels of counters.
const (
	ReasonMemory      Reason = "caller_memory"
	ReasonConnections Reason = "caller_connections"
	ReasonAddress     Reason = "caller_address"
)

const (
	// ConnectionBytes is what an open connection takes of the memory: its read buffer, write buffer, stack and context.
	ConnectionBytes = 48 << 10
	// SmallBytes is included in ConnectionBytes for small requests and responses, so that they need no reservation.
	SmallBytes = 8 << 10
	// grace is the time that a request has to arrive, or its response to be read, before it is slow.
	grace = 500 * time.Millisecond
)

// Socket is the connection that a decision is about.
type Socket interface {
	// Evict ends the request or the connection. It must not block.
	Evict(Phase, Reason)
}

// Budget accounts for the connections of a process. It is safe for concurrent use.
type Budget struct {
	limits Limits

	mu        sync.Mutex
	used      int64
	open      []*Connection
	byAddress map[netip.Addr]int
}

// Connection is the account of one open connection.
type Connection struct {
	budget  *Budget
	socket  Socket
	address netip.Addr
	index   int // in Budget.open
	// base is what the open connection takes, reserved what the current request and response take, and queued what the kernel
	// holds, in bytes.
	base     int64
	reserved int64
	queued   int64
	phase    Phase
	since    time.Time // of the current request, response or idle time
	answered bool      // at least one request
	evicted  bool
	closed   bool
}

// NewBudget returns a budget without connections.
func NewBudget(limits Limits) *Budget {
	return &Budget{limits: limits, byAddress: map[netip.Addr]int{}}
}

// eviction is a decision that is carried out once the budget is unlocked.
type eviction struct {
	c      *Connection
	phase  Phase
	reason Reason
}

func carryOut(list []eviction) {
	for _, e := range list {
		e.c.socket.Evict(e.phase, e.reason)
	}
}

// Open accounts for a new connection. Slow connections are closed for it, if need be. It returns nil and the reason if there is
// no room.
func (b *Budget) Open(s Socket, address netip.Addr, now time.Time) (*Connection, Reason) {
	c := &Connection{budget: b, socket: s, address: address, base: ConnectionBytes, since: now}

	b.mu.Lock()
	evictions, reason := b.makeRoom(c, now)

	if reason == "" {
		c.index = len(b.open)
		b.open = append(b.open, c)
		b.byAddress[address]++
		b.used += ConnectionBytes
	}
	b.mu.Unlock()

	carryOut(evictions)

	if reason != "" {
		return nil, reason
	}

	return c, ""
}

// makeRoom evicts connections until one more fits in.
func (b *Budget) makeRoom(c *Connection, now time.Time) ([]eviction, Reason) {
	var evictions []eviction

	for {
		reason := Reason("")
		eligible := func(*Connection) bool { return true }

		switch {
		case b.byAddress[c.address] >= b.limits.PerAddress:
			reason = ReasonAddress
			eligible = func(o *Connection) bool { return o.address == c.address }
		case len(b.open) >= b.limits.Connections:
			reason = ReasonConnections
		case b.used+ConnectionBytes > b.limits.Bytes:
			reason = ReasonMemory
		default:
			return evictions, ""
		}

		victim := b.victim(now, eligible)
		if victim == nil || victim.rank(now).class == young {
			return evictions, reason
		}

		evictions = append(evictions, b.evict(victim, reason))
		b.remove(victim)
	}
}

// SetPhase records what the connection does from now on. The end of a response releases what its request took.
func (c *Connection) SetPhase(p Phase, now time.Time) {
	b := c.budget

	b.mu.Lock()
	defer b.mu.Unlock()

	if p == Idle {
		c.answered = c.answered || c.phase != Idle
		b.setReserved(c, 0)
	}

	c.phase, c.since = p, now
}

// Reserve reserves n more bytes for the current request. Larger and slower requests give way to it. It returns false if the
// request itself has to give way.
func (c *Connection) Reserve(n int64, now time.Time) bool {
	b := c.budget

	var evictions []eviction

	b.mu.Lock()

	ok := !c.evicted
	for ok && b.used+n > b.limits.Bytes {
		victim := b.victim(now, func(o *Connection) bool { return o != c })
		// The request with the reservation counts as larger already.
		if victim == nil || victim.rank(now).class == young || !c.rankWith(n, now).less(victim.rank(now)) {
			ok = false

			break
		}

		evictions = append(evictions, b.evict(victim, ReasonMemory))
	}

	if ok {
		b.setReserved(c, c.reserved+n)
	}
	b.mu.Unlock()

	carryOut(evictions)

	return ok
}

// Hold accounts for n bytes that the connection takes as long as it is open, beside ConnectionBytes.
func (c *Connection) Hold(n int64) {
	b := c.budget

	b.mu.Lock()
	defer b.mu.Unlock()

	if !c.closed && !c.evicted {
		c.base += n
		b.used += n
	}
}

// Charge accounts for n bytes that are in memory already, such as those of a response. Others give way if the budget is
// exceeded, or the connection itself.
func (c *Connection) Charge(n int64, now time.Time) {
	b := c.budget

	b.mu.Lock()
	b.setReserved(c, c.reserved+n)
	evictions := b.enforce(now)
	b.mu.Unlock()

	carryOut(evictions)
}

// Release returns n bytes of the current request.
func (c *Connection) Release(n int64) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()

	c.budget.setReserved(c, max(c.reserved-n, 0))
}

// Close ends the account of the connection.
func (c *Connection) Close() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()

	c.budget.remove(c)
}

// Inspect measures the bytes that the kernel holds for connections with queued, and lets connections give way if the budget is
// exceeded. It measures nothing while perConnection bytes for each would not exceed an eighth of the budget.
func (b *Budget) Inspect(perConnection int64, now time.Time, queued func(Socket) int64) {
	b.mu.Lock()

	if int64(len(b.open))*perConnection <= b.limits.Bytes/8 {
		b.mu.Unlock()

		return
	}

	for _, c := range b.open {
		if !c.evicted {
			n := queued(c.socket)
			b.used += n - c.queued
			c.queued = n
		}
	}

	evictions := b.enforce(now)
	b.mu.Unlock()

	carryOut(evictions)
}

// Used returns the accounted bytes and the number of open connections.
func (b *Budget) Used() (bytes int64, connections int) {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.used, len(b.open)
}

// enforce evicts connections until the budget is kept.
func (b *Budget) enforce(now time.Time) []eviction {
	var evictions []eviction

	for b.used > b.limits.Bytes {
		victim := b.victim(now, func(*Connection) bool { return true })
		if victim == nil {
			break // the rest belongs to running requests
		}

		evictions = append(evictions, b.evict(victim, ReasonMemory))
	}

	return evictions
}

// evict releases at once what a connection takes. Its memory is free when the goroutine that serves it has noticed.
func (b *Budget) evict(c *Connection, reason Reason) eviction {
	b.used -= c.base + c.reserved + c.queued
	c.base, c.reserved, c.queued = 0, 0, 0
	c.evicted = true

	return eviction{c, c.phase, reason}
}

// remove ends the account of a connection. The caller must hold mu.
func (b *Budget) remove(c *Connection) {
	if c.closed {
		return
	}

	c.closed = true
	b.used -= c.base + c.reserved + c.queued
	c.base, c.reserved, c.queued = 0, 0, 0

	if b.byAddress[c.address]--; b.byAddress[c.address] == 0 {
		delete(b.byAddress, c.address)
	}

	last := b.open[len(b.open)-1]
	b.open[c.index], last.index = last, c.index
	b.open[len(b.open)-1] = nil
	b.open = b.open[:len(b.open)-1]
}

func (b *Budget) setReserved(c *Connection, n int64) {
	if c.closed || c.evicted {
		n = 0
	}

	b.used += n - c.reserved
	c.reserved = n
}
