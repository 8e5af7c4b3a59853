package entry

import (
	"bufio"
	"slices"
	"sync"
	"time"

	"fulmarfall/ident"
	"fulmarfall/roster"
	"fulmarfall/searcher"
	"fulmarfall/sockets"
)

const (
	// connectTimeout bounds the opening of a connection; across a border it takes 24 ms, plus 6 ms at the searcher.
	connectTimeout = 200 * time.Millisecond
	// initialConnLimit is the limit of a pool until the shares of the entry VMs are applied, at most 250 ms later.
	initialConnLimit = 2
	// maxConnQueue bounds the attempts that wait for a connection to one searcher.
	maxConnQueue = 8
	// connBufferSize fits the header and the body of nearly all answers.
	connBufferSize = 4 << 10
)

// pools manages the connection pools of all searchers.
type pools struct {
	n      *Node
	mu     sync.Mutex
	byID   map[ident.SearcherID]*pool
	closed bool
	// coldRateOf returns the requests that this node may send to a cold searcher in any second; nil before the first view.
	coldRateOf func(time.Time, *roster.Instance) int
}

func (ps *pools) init(n *Node) {
	ps.n = n
	ps.byID = map[ident.SearcherID]*pool{}
}

// get returns the pool of a searcher and creates it if needed. It returns nil if the current view does not list the
// searcher, or if the pools are closed and have none for it.
func (ps *pools) get(id ident.SearcherID) *pool {
	ps.mu.Lock()
	defer ps.mu.Unlock()

	if p, ok := ps.byID[id]; ok || ps.closed {
		return p
	}

	v := ps.n.view.Load()

	in, ok := v.byID[id]
	if !ok {
		return nil
	}

	p := &pool{instance: in, budget: &ps.n.budget, links: &ps.n.links, dialer: ps.n.dial, limiter: searcher.NewConnectionLimiter(initialConnLimit, maxConnQueue), share: initialConnLimit, waiting: map[uint64]*waiter{}, coldRate: noColdLimit}
	if ps.coldRateOf != nil {
		p.coldRate = ps.coldRateOf(time.Now(), &in)
	}

	ps.byID[id] = p

	return p
}

// setLimits applies connection limits and closes the pools of searchers that are gone or have restarted under the same
// ID: connections, the address and the state learned from answers belong to one incarnation of a searcher. closeIdle
// also closes connections that have been unused for maxIdleTime.
func (ps *pools) setLimits(now time.Time, closeIdle bool, v *view, limit func(ident.SearcherID) int) {
	ps.mu.Lock()
	defer ps.mu.Unlock()

	for id, p := range ps.byID {
		in, ok := v.byID[id]
		if !ok || in.State == roster.StateGone || in.Born != p.instance.Born || in.Address != p.instance.Address {
			delete(ps.byID, id)
			p.close()

			continue
		}

		p.setShare(limit(id))
		p.setLeaving(!v.inUse(&in))

		if closeIdle {
			p.closeIdle(now)
		}
	}
}

// prewarm opens up to limit connections to searchers of a view that have none, those of this region first.
func (ps *pools) prewarm(v *view, limit int) {
	opened := ps.prewarmRegion(v, limit, true)
	ps.prewarmRegion(v, limit-opened, false)
}

func (ps *pools) prewarmRegion(v *view, limit int, inRegion bool) (opened int) {
	for id, in := range v.byID {
		if opened >= limit {
			break
		}

		if in.State != roster.StateReady || v.outOfService[in.FailureDomain] || !v.shardUpstreams[in.Upstream] ||
			(ps.n.cfg.Regions[in.FailureDomain] == ps.n.cfg.Region) != inRegion || v.versionStopped(&in) {
			continue
		}

		if _, excluded := ps.n.planner.Excluded(time.Now(), id, in.Born); excluded {
			continue
		}

		if p := ps.get(id); p != nil && p.prewarm() {
			opened++
		}
	}

	return opened
}

// prewarmBusy and prewarmIdle bound the connections opened ahead of use in one round, which takes 250 ms at a node with
// callers, and 500 ms at a standby node to which callers are sent when the load grows. Opening a connection takes
// processor time, which delays the requests of callers.
const (
	prewarmBusy = 8
	prewarmIdle = 48
)

func (ps *pools) close() {
	ps.mu.Lock()
	defer ps.mu.Unlock()

	ps.closed = true

	for _, p := range ps.byID {
		p.close()
	}
}

// pool holds the connections of this node to one searcher. Package searcher decides how many there may be and which
// attempt gets the next one.
type pool struct {
	instance roster.Instance
	budget   *replyBudget
	links    *linkMonitor
	dialer   Dialer

	mu      sync.Mutex
	limiter *searcher.ConnectionLimiter
	waiting map[uint64]*waiter
	nextID  uint64
	idle    []*Conn // most recently used last
	// coldRate bounds the attempts in any second while the searcher is cold; coldStarts holds their start times.
	coldRate   int
	coldStarts []time.Time
	prewarming bool
	// leaving is set when the searcher takes no more requests, closed when the pool is no longer used.
	leaving, closed bool
	// invalidLimitLogged is set once a request limit of the searcher that could not be read has been logged.
	invalidLimitLogged bool
	// share is this node's share of the searcher's connection limit; resetBackoff lowers it while the searcher resets new
	// connections.
	share        int
	resetBackoff searcher.ConnectionBackoff
}

// waiter is an attempt in the queue of a pool.
type waiter struct {
	p    *pool
	id   uint64
	done chan bool // receives whether the attempt may use a connection
}

// freshFor is the time after its last use for which a connection is reused without checking whether the searcher has
// closed it. The check costs a system call, and idle connections last for seconds. Package conviction lets losses settle
// for the same time, so it must not be longer.
const freshFor = 300 * time.Millisecond

func (p *pool) isLeaving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.leaving
}

// setLeaving sets whether the searcher takes no more requests. Attempts that wait for it can go to another one.
func (p *pool) setLeaving(leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.leaving = leaving; leaving {
		p.refuseWaiting()
	}
}

// refuseWaiting ends the wait of all attempts in the queue. The caller must hold mu.
func (p *pool) refuseWaiting() {
	for id, w := range p.waiting {
		if p.limiter.Cancel(id) {
			delete(p.waiting, id)
			w.done <- false
		}
	}
}

// withdraw removes the attempt from the queue.
func (w *waiter) withdraw() {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()

	if w.p.limiter.Cancel(w.id) {
		delete(w.p.waiting, w.id)
		w.done <- false
	}
}

// acquire waits for a connection slot and returns an idle connection or a new one.
func (p *pool) acquire(a *attempt) (*Conn, failure) {
	if !p.acquireSlot(a) {
		if p.isLeaving() {
			return nil, failureLeaving
		}

		return nil, failureFull
	}

	p.mu.Lock()

	c := p.takeIdle(time.Now(), a.key, a.atMostOnce)
	if c == nil {
		p.makeRoom()
	}

	p.mu.Unlock()

	if c != nil {
		return c, failureNone
	}

	remaining := time.Until(a.send.Deadline)
	if remaining < minRemaining {
		p.releaseSlot()

		return nil, failureExpired
	}

	c, err := p.dial(min(connectTimeout, remaining))
	if err != nil {
		p.releaseSlot()

		if remaining < connectTimeout && sockets.IsTimeout(err) {
			return nil, failureExpired // The searcher may be reachable in the usual time.
		}

		p.links.unreachable(p.searcher())

		return nil, failureUnreachable
	}

	if a.atMostOnce {
		// A searcher at its connection limit resets a new connection soon after it is opened. The outcome of a request
		// already sent is then unknown; one not yet sent can go to another searcher.
		time.Sleep(min(c.openDuration, maxResetWait) + resetMargin)

		if c.stale() {
			p.handleReset(c)

			return nil, failureFull
		}
	}

	return c, failureNone
}

func (p *pool) dial(timeout time.Duration) (*Conn, error) {
	began := time.Now()

	nc, err := p.dialer(p.instance.Address, timeout)
	if err != nil {
		return nil, err
	}

	in := &sockets.CountingReader{R: nc}

	now := time.Now()
	p.links.opened(now)

	return &Conn{Conn: nc, R: bufio.NewReaderSize(in, connBufferSize), openedAt: now, openDuration: now.Sub(began), input: in, budget: p.budget}, nil
}

// acquireSlot waits until the limiter admits the attempt. It returns false if the attempt is refused, displaced or
// cancelled, or its deadline or connection wait passes.
func (p *pool) acquireSlot(a *attempt) bool {
	p.mu.Lock()
	if p.leaving || !p.coldAllows(time.Now()) {
		p.mu.Unlock()

		return false
	}

	p.nextID++

	verdict, displaced := p.limiter.Acquire(searcher.ConnectionRequest{ID: p.nextID, Class: a.class, Deadline: a.send.Deadline, MayQueue: a.send.Essential || a.send.ConnectionWait > 0})
	if displaced != 0 {
		p.waiting[displaced].done <- false
		delete(p.waiting, displaced)
	}

	var w *waiter
	if verdict == searcher.ConnectionQueued {
		w = &waiter{p: p, id: p.nextID, done: make(chan bool, 1)}
		p.waiting[w.id] = w
	}
	p.mu.Unlock()

	switch verdict {
	case searcher.ConnectionGranted:
		return true
	case searcher.ConnectionRefused:
		return false
	case searcher.ConnectionQueued:
	}

	if !a.setWaiter(w) {
		w.withdraw()
	}

	wait := time.Until(a.send.Deadline)
	if !a.send.Essential {
		wait = min(wait, a.send.ConnectionWait)
	}

	timer := time.NewTimer(wait)
	defer timer.Stop()

	select {
	case ok := <-w.done:
		return ok
	case <-timer.C:
		w.withdraw()

		return <-w.done
	}
}

// noColdLimit means that a searcher is warm, or states no rate.
const noColdLimit = -1

// coldAllows reports whether the rate limit of a cold searcher admits another attempt, and counts it. The caller must
// hold mu.
func (p *pool) coldAllows(now time.Time) bool {
	if p.coldRate == noColdLimit {
		return true
	}

	p.coldStarts = slices.DeleteFunc(p.coldStarts, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	if len(p.coldStarts) >= p.coldRate {
		return false
	}

	p.coldStarts = append(p.coldStarts, now)

	return true
}

// setColdRates updates the rate limits of the searchers of a view. Pools that are created later have them from the start.
func (ps *pools) setColdRates(now time.Time, rate func(time.Time, *roster.Instance) int, v *view) {
	ps.mu.Lock()
	defer ps.mu.Unlock()

	ps.coldRateOf = rate

	for id, p := range ps.byID {
		in, ok := v.byID[id]
		if !ok {
			continue
		}

		p.mu.Lock()
		p.coldRate = rate(now, &in)
		p.mu.Unlock()
	}
}

// takeIdle returns a usable idle connection that has carried no attempt of a request, or nil, and closes unusable ones. If verify is
// set, recently used connections are checked as well. The caller must hold mu.
func (p *pool) takeIdle(now time.Time, key requestKey, verify bool) *Conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if c.mayHaveCarried(now, key) {
			continue
		}

		p.idle = slices.Delete(p.idle, i, i+1)

		if !verify && c.hasAnswered && now.Sub(c.usedAt) < freshFor && c.R.Buffered() == 0 ||
			(c.reusableUntil.IsZero() || now.Before(c.reusableUntil)) && !c.stale() {
			return c
		}

		if !c.hasAnswered {
			p.resetBackoff.RecordReset(now, p.limiter.Busy()-1+len(p.idle))
		}

		_ = c.Close() // The connection is discarded, so a close error has no effect.
	}

	return nil
}

// makeRoom closes idle connections so that one can be opened within the limit. There are any only if they have carried an earlier
// attempt of the request that needs one. The caller must hold mu and a slot.
func (p *pool) makeRoom() {
	for len(p.idle) > 0 && len(p.idle)+p.limiter.Busy() > p.limiter.Limit() {
		_ = p.idle[0].Close() // The connection is discarded, so a close error has no effect.
		p.idle = p.idle[1:]
	}
}

// release returns a connection to the pool. It is closed if there is no reply, or if the reply does not allow reuse.
func (p *pool) release(c *Conn, reply *Reply) {
	p.mu.Lock()
	if reply != nil && reply.Reusable && !p.closed {
		c.usedAt, c.reusableUntil, c.hasAnswered = time.Now(), time.Time{}, true
		if reply.KeepAliveTimeout > 0 {
			c.reusableUntil = c.usedAt.Add(reply.KeepAliveTimeout * 4 / 5)
		}

		p.idle = append(p.idle, c)
	} else {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.releaseSlot()
}

// releaseUnsent returns a connection to the pool on which nothing was sent.
func (p *pool) releaseUnsent(c *Conn) {
	p.mu.Lock()
	if p.closed {
		_ = c.Close() // The connection is discarded, so a close error has no effect.
	} else {
		c.usedAt = time.Now()
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	p.releaseSlot()
}

func (p *pool) releaseSlot() {
	p.mu.Lock()
	defer p.mu.Unlock()

	if id, ok := p.limiter.Release(); ok {
		p.admit(id)
	}
}

// admit wakes a waiting attempt that may use a connection. The caller must hold mu.
func (p *pool) admit(id uint64) {
	p.waiting[id].done <- true
	delete(p.waiting, id)
}

// accepted reports whether the searcher is known to have accepted an open connection: it has carried an answer, or has
// been open for longer than a searcher at its connection limit takes to reset one.
func (c *Conn) accepted(now time.Time) bool {
	return c.hasAnswered || now.Sub(c.openedAt) >= c.openDuration+resetMargin
}

// wasRejected reports whether a connection that was lost some time after its request was sent had been rejected by the
// searcher: it was new, and the searcher can hardly have started on the request.
func (c *Conn) wasRejected(after time.Duration) bool {
	return !c.hasAnswered && after < c.openDuration+resetMargin
}

// handleReset closes a new connection that the searcher has reset, and lowers the limit to the number of other
// connections.
func (p *pool) handleReset(c *Conn) {
	p.mu.Lock()
	p.resetBackoff.RecordReset(time.Now(), p.limiter.Busy()-1+len(p.idle))
	_ = c.Close() // The connection is discarded, so a close error has no effect.
	p.applyLimit()
	p.mu.Unlock()

	p.releaseSlot()
}

func (p *pool) setShare(share int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.share = share
	p.applyLimit()
}

// applyLimit updates the limit of the pool and closes idle connections above it. The caller must hold mu.
func (p *pool) applyLimit() {
	limit := p.resetBackoff.Limit(time.Now(), p.share)
	if limit == p.limiter.Limit() {
		return
	}

	for _, id := range p.limiter.SetLimit(limit) {
		p.admit(id)
	}

	for len(p.idle) > limit {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
	}
}

// maxIdleTime is how long a connection may stay unused at an entry VM that callers no longer use. Closing it frees part
// of the searchers' connection limits for other entry VMs.
const maxIdleTime = 300 * time.Millisecond

// prewarm opens a connection if there is none, so that a second attempt in another region does not wait for a connection
// to open, which takes longer than the attempt.
func (p *pool) prewarm() (opens bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.prewarming || p.closed || len(p.idle) > 0 || p.limiter.Busy() > 0 || p.resetBackoff.RecentlyReset(time.Now()) {
		return false
	}

	p.prewarming = true

	go func() {
		if c, err := p.dial(connectTimeout); err == nil {
			p.keep(c)
		} else { // The next attempt reports it: it finds the searcher unreachable.
			p.links.unreachable(p.searcher())
		}

		p.mu.Lock()
		defer p.mu.Unlock()

		p.prewarming = false
	}()

	return true
}

// keep keeps a new connection for the next attempt if the limit allows.
func (p *pool) keep(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.closed || len(p.idle)+p.limiter.Busy() >= p.limiter.Limit() {
		_ = c.Close() // Nothing was sent on it.

		return
	}

	c.usedAt = time.Now()
	p.idle = append(p.idle, c)
}

// probeHold is the least time for which a connection has to stay open to count as accepted by a probe.
const probeHold = 20 * time.Millisecond

// reaches reports whether the searcher accepts a connection and does not reset it at once.
func (p *pool) reaches(timeout time.Duration) bool {
	c, err := p.dial(timeout)
	if err != nil {
		return false
	}

	time.Sleep(max(min(c.openDuration, maxResetWait)+resetMargin, probeHold))

	if c.stale() {
		_ = c.Close() // Nothing was sent on it.

		return false
	}

	p.keep(c)

	return true
}

// searcher returns the ID of the searcher of the pool.
func (p *pool) searcher() ident.SearcherID { return ident.SearcherID(p.instance.ID) }

// closeIdle closes connections that have not been used for maxIdleTime, least recently used first.
func (p *pool) closeIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for len(p.idle) > 0 && now.Sub(p.idle[0].usedAt) >= maxIdleTime {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.closed, p.leaving = true, true
	p.refuseWaiting()

	for _, c := range p.idle {
		_ = c.Close()
	}

	p.idle = nil
}

func (c *Conn) bytesReceived() int64 {
	if c.input == nil {
		return 0
	}

	return c.input.N
}

// stale reports whether the peer has closed an idle connection or sent unsolicited bytes.
func (c *Conn) stale() bool { return c.R.Buffered() > 0 || !sockets.IsIdle(c.Conn) }
