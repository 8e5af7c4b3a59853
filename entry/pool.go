package entry

// This file holds the connections to searchers. How many a searcher may get and who waits for them is decided in package
// searcher.

import (
	"bufio"
	"net"
	"slices"
	"sync"
	"time"

	"fulmarfall/ident"
	"fulmarfall/roster"
	"fulmarfall/searcher"
	"fulmarfall/sockets"
)

const (
	// connectTimeout bounds the opening of a connection; across a border it takes 24 ms, and 6 ms more at the searcher.
	connectTimeout = 200 * time.Millisecond
	// firstConnections is the limit of a pool until the shares of the entry VMs are applied, 250 ms later at most.
	firstConnections = 2
	// laneQueue bounds the attempts that wait for a connection to one searcher.
	laneQueue = 8
	// connBuffer holds the header and the body of nearly all answers.
	connBuffer = 4 << 10
)

// pools holds the pool of each searcher.
type pools struct {
	n      *Node
	mu     sync.Mutex
	all    map[ident.SearcherID]*pool
	closed bool
}

func (ps *pools) init(n *Node) {
	ps.n = n
	ps.all = map[ident.SearcherID]*pool{}
}

// get returns the pool of a searcher that the current view knows.
func (ps *pools) get(id ident.SearcherID) *pool {
	ps.mu.Lock()
	defer ps.mu.Unlock()

	if p, ok := ps.all[id]; ok || ps.closed {
		return p
	}

	v := ps.n.view.Load()

	in, ok := v.byID[id]
	if !ok {
		return nil
	}

	p := &pool{in: in, budget: &ps.n.budget, lane: searcher.NewLane(firstConnections, laneQueue), share: firstConnections, waiting: map[uint64]*grant{}, coldRate: noColdLimit}
	ps.all[id] = p

	return p
}

// setLimits changes the limits and drops the pools of searchers that are gone, or have started again under the same id: a
// connection, an address and what the searcher has said belong to one lifetime.
func (ps *pools) setLimits(now time.Time, quiet bool, v *view, limit func(ident.SearcherID) int) {
	ps.mu.Lock()
	defer ps.mu.Unlock()

	for id, p := range ps.all {
		in, ok := v.byID[id]
		if !ok || in.State == roster.StateGone || in.Born != p.in.Born || in.Address != p.in.Address {
			delete(ps.all, id)
			p.close()

			continue
		}

		p.setLimit(limit(id))

		if quiet {
			p.trim(now)
		}
	}
}

// warm opens connections to the searchers of a view that have none, a few at a time, those of this region first.
func (ps *pools) warm(v *view, most int) {
	opened := ps.warmThose(v, most, true)
	ps.warmThose(v, most-opened, false)
}

func (ps *pools) warmThose(v *view, most int, inRegion bool) (opened int) {
	for id, in := range v.byID {
		if opened >= most {
			break
		}

		if in.State != roster.StateReady || v.outOfService[in.FailureDomain] || !v.sharded[in.Upstream] ||
			(ps.n.cfg.Regions[in.FailureDomain] == ps.n.cfg.Region) != inRegion {
			continue
		}

		if _, barred := ps.n.planner.Barred(time.Now(), id, in.Born); barred {
			continue
		}

		if p := ps.get(id); p != nil && p.warm() {
			opened++
		}
	}

	return opened
}

// warmBusy and warmIdle bound the connections that are opened ahead of use in one round, of 250 ms at a node with callers
// and of 500 ms at one to which they are sent when the load grows. Opening one takes processor time, for which callers wait.
const (
	warmBusy = 8
	warmIdle = 48
)

func (ps *pools) close() {
	ps.mu.Lock()
	defer ps.mu.Unlock()

	ps.closed = true

	for _, p := range ps.all {
		p.close()
	}
}

// pool holds the connections of this node to one searcher.
type pool struct {
	in     roster.Instance
	budget *replyBudget

	mu      sync.Mutex
	lane    *searcher.Lane
	waiting map[uint64]*grant
	nextID  uint64
	idle    []*Conn // most recently used last
	// coldRate bounds the attempts in any second while the searcher is cold; recent holds when they began.
	coldRate int
	recent   []time.Time
	warming  bool
	closed   bool
	// share is the limit by the shares of the entry VMs; crowding lowers it while the searcher resets new connections.
	share    int
	crowding searcher.Crowding
}

// grant is a place in the queue of a pool.
type grant struct {
	p    *pool
	id   uint64
	done chan bool // receives whether the attempt has a connection
}

// freshFor is the time after its last use for which a connection is used again without a look at whether the searcher
// has closed it: that look costs a system call, and idle connections last for seconds. Package conviction lets losses settle
// for as long.
const freshFor = 300 * time.Millisecond

// withdraw gives the place up.
func (g *grant) withdraw() {
	g.p.mu.Lock()
	defer g.p.mu.Unlock()

	if g.p.lane.Withdraw(g.id) {
		delete(g.p.waiting, g.id)
		g.done <- false
	}
}

// acquire waits for a connection of the pool.
func (p *pool) acquire(a *attempt) (*Conn, failure) {
	if !p.enter(a) {
		return nil, failureFull
	}

	p.mu.Lock()
	c := p.takeIdle(time.Now(), a.once)
	p.mu.Unlock()

	if c != nil {
		return c, failureNone
	}

	c, err := p.dial(min(connectTimeout, max(time.Until(a.send.Deadline), time.Millisecond)))
	if err != nil {
		p.leave()

		return nil, failureUnreachable
	}

	if a.once {
		// A searcher that has too many connections resets a new one soon after its opening. A request that was sent by
		// then has an unknown outcome; one that was not can go elsewhere.
		time.Sleep(min(c.opening, maxProof) + resetMargin)

		if c.stale() {
			p.reset(c)

			return nil, failureFull
		}
	}

	return c, failureNone
}

func (p *pool) dial(timeout time.Duration) (*Conn, error) {
	began := time.Now()
	d := net.Dialer{Timeout: timeout}

	nc, err := d.Dial("tcp", p.in.Address)
	if err != nil {
		return nil, err
	}

	in := &sockets.CountingReader{R: nc}

	now := time.Now()

	return &Conn{Conn: nc, R: bufio.NewReaderSize(in, connBuffer), opened: now, opening: now.Sub(began), arrived: in, budget: p.budget}, nil
}

// enter waits until the lane lets the attempt pass.
func (p *pool) enter(a *attempt) bool {
	p.mu.Lock()
	if !p.coldAllows(time.Now()) {
		p.mu.Unlock()

		return false
	}

	p.nextID++

	verdict, displaced := p.lane.Enter(searcher.LaneEntry{ID: p.nextID, Class: a.class, Deadline: a.send.Deadline, Patient: a.send.Essential})
	if displaced != 0 {
		p.waiting[displaced].done <- false
		delete(p.waiting, displaced)
	}

	var g *grant
	if verdict == searcher.LaneQueued {
		g = &grant{p: p, id: p.nextID, done: make(chan bool, 1)}
		p.waiting[g.id] = g
	}
	p.mu.Unlock()

	switch verdict {
	case searcher.LaneGranted:
		return true
	case searcher.LaneFull:
		return false
	case searcher.LaneQueued:
	}

	if !a.setGrant(g) {
		g.withdraw()
	}

	timer := time.NewTimer(time.Until(a.send.Deadline))
	defer timer.Stop()

	select {
	case ok := <-g.done:
		return ok
	case <-timer.C:
		g.withdraw()

		return <-g.done
	}
}

// noColdLimit means that a searcher is warm, or states no rate.
const noColdLimit = -1

// coldAllows counts an attempt against the rate of a cold searcher. The caller holds mu.
func (p *pool) coldAllows(now time.Time) bool {
	if p.coldRate == noColdLimit {
		return true
	}

	p.recent = slices.DeleteFunc(p.recent, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	if len(p.recent) >= p.coldRate {
		return false
	}

	p.recent = append(p.recent, now)

	return true
}

// setColdRates changes the rates of the searchers of a view.
func (ps *pools) setColdRates(rate func(*roster.Instance) int, v *view) {
	ps.mu.Lock()
	defer ps.mu.Unlock()

	for id, p := range ps.all {
		in, ok := v.byID[id]
		if !ok {
			continue
		}

		p.mu.Lock()
		p.coldRate = rate(&in)
		p.mu.Unlock()
	}
}

// takeIdle returns a usable connection, and closes those that are not. With check set it looks at each, however short it was
// idle. The caller holds mu.
func (p *pool) takeIdle(now time.Time, check bool) *Conn {
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]

		if !check && c.proven && now.Sub(c.usedAt) < freshFor && c.R.Buffered() == 0 ||
			(c.unusedAfter.IsZero() || now.Before(c.unusedAfter)) && !c.stale() {
			return c
		}

		if !c.proven {
			p.crowding.Reset(now, p.lane.Busy()-1+len(p.idle))
		}

		_ = c.Close() // It is given up; an error on closing it changes nothing.
	}

	return nil
}

// release takes a connection back. Without a reply, or with one after which the connection can't be used, it is closed.
func (p *pool) release(c *Conn, reply *Reply) {
	p.mu.Lock()
	if reply != nil && reply.Reusable && !p.closed {
		c.usedAt, c.unusedAfter, c.proven = time.Now(), time.Time{}, true
		if reply.IdleLimit > 0 {
			c.unusedAfter = c.usedAt.Add(reply.IdleLimit * 4 / 5)
		}

		p.idle = append(p.idle, c)
	} else {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.leave()
}

// giveBack takes a connection back on which nothing was sent.
func (p *pool) giveBack(c *Conn) {
	p.mu.Lock()
	if p.closed {
		_ = c.Close() // It is given up; an error on closing it changes nothing.
	} else {
		c.usedAt = time.Now()
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	p.leave()
}

func (p *pool) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()

	if id, ok := p.lane.Leave(); ok {
		p.admit(id)
	}
}

// admit tells a waiting attempt that it may go on. The caller holds mu.
func (p *pool) admit(id uint64) {
	p.waiting[id].done <- true
	delete(p.waiting, id)
}

// accepted reports whether a connection that is still open has not been turned away: it has served before, or is open for
// longer than a searcher with too many connections takes to reset one.
func (c *Conn) accepted(now time.Time) bool {
	return c.proven || now.Sub(c.opened) >= c.opening+resetMargin
}

// resetAtOnce reports whether a connection that was lost some time after its request was sent had been turned away: it was
// new, and the searcher can hardly have begun to work.
func (c *Conn) resetAtOnce(after time.Duration) bool {
	return !c.proven && after < c.opening+resetMargin
}

// reset drops a new connection that the searcher has reset, and lowers the limit to what is open besides.
func (p *pool) reset(c *Conn) {
	p.mu.Lock()
	p.crowding.Reset(time.Now(), p.lane.Busy()-1+len(p.idle))
	_ = c.Close() // It is given up; an error on closing it changes nothing.
	p.applyLimit()
	p.mu.Unlock()

	p.leave()
}

func (p *pool) setLimit(share int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.share = share
	p.applyLimit()
}

// applyLimit brings the limit of the lane up to date. The caller holds mu.
func (p *pool) applyLimit() {
	limit := p.crowding.Limit(time.Now(), p.share)
	if limit == p.lane.Limit() {
		return
	}

	for _, id := range p.lane.SetLimit(limit) {
		p.admit(id)
	}

	for len(p.idle) > limit {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
	}
}

// idleFor is how long a connection may be unused at an entry VM to which callers no longer come: it gives its part of the
// searchers' connections back.
const idleFor = 300 * time.Millisecond

// warm opens a connection if there is none, so that a second attempt in another region does not wait for its opening,
// which takes longer than the attempt.
func (p *pool) warm() (opens bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.warming || p.closed || len(p.idle) > 0 || p.lane.Busy() > 0 || p.crowding.Crowded(time.Now()) {
		return false
	}

	p.warming = true

	go func() {
		c, err := p.dial(connectTimeout)

		p.mu.Lock()
		defer p.mu.Unlock()

		p.warming = false

		switch {
		case err != nil: // an attempt that finds the searcher unreachable says so
		case p.closed || len(p.idle)+p.lane.Busy() >= p.lane.Limit():
			_ = c.Close()
		default:
			c.usedAt = time.Now()
			p.idle = append(p.idle, c)
		}
	}()

	return true
}

// trim closes the connections that have not been used for long, the least recently used first.
func (p *pool) trim(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for len(p.idle) > 0 && now.Sub(p.idle[0].usedAt) >= idleFor {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.closed = true

	for _, c := range p.idle {
		_ = c.Close()
	}

	p.idle = nil
}

// received returns the number of bytes that have arrived.
func (c *Conn) received() int64 {
	if c.arrived == nil {
		return 0
	}

	return c.arrived.N
}

// stale reports whether the other side has closed an idle connection or sent bytes that nobody asked for.
func (c *Conn) stale() bool { return c.R.Buffered() > 0 || !sockets.Quiet(c.Conn) }
