package entry

// This file sends one attempt to a searcher.

import (
	"net"
	"sync"
	"time"

	"fulmarfall/ident"
	"fulmarfall/query"
	"fulmarfall/sockets"
)

const (
	// loserGrace is for how long an attempt that has lost may go on. A searcher that pauses goes on after 150 ms; its
	// connection can then be used again, and what it costs to open another one is saved.
	loserGrace = 250 * time.Millisecond
	// replyMargin is added to the deadline that the searcher gets, for its answer that the time has passed.
	replyMargin = 20 * time.Millisecond
	// leastRemaining is the time for a searcher below which a request is not sent: it is stated in whole milliseconds, and one
	// is no offer.
	leastRemaining = time.Millisecond
	// writeAhead is the size of a request up to which it is written before the answer is read: it fits into the buffers
	// of a connection. A searcher may answer a longer one before it has read all of it.
	writeAhead = 16 << 10
	// maxProof bounds the time for which a request that may run once waits for a reset of its new connection: the way to
	// another region and back.
	maxProof = 30 * time.Millisecond
	// resetMargin is how much longer than its opening a new connection may take to be reset, for the searcher to count as
	// having too many of them, unless it turns out to have ended.
	resetMargin = 3 * time.Millisecond
)

// attemptEnd is the end of an attempt.
type attemptEnd struct {
	attempt ident.AttemptID
	reply   *Reply
	failure failure
}

// attempt is one sending of a request.
type attempt struct {
	send  *query.Send
	sent  time.Time
	class ident.Class
	// once says that the request may run at most once: what is lost after its sending can't be tried again.
	once bool
	// reply is the answer, failure why there is none, and ended when that was known; the goroutine of the request sets
	// them.
	reply   *Reply
	failure failure
	ended   time.Time
	// searcherEnded tells after a reset of a new connection whether the searcher has ended; nil otherwise.
	searcherEnded <-chan bool

	mu      sync.Mutex
	conn    *Conn // while the attempt uses it
	used    bool  // a connection was taken into use, so the request may have gone out
	stopped bool  // nobody waits for the answer any more
	// abandoned is set when the connection was closed from here because the caller has gone.
	abandoned bool
	grant     *grant
}

func (s *serving) send(now time.Time, snd *query.Send) {
	a := &attempt{send: snd, sent: now, class: classOf(s.route), once: !s.route.Idempotent}
	s.attempts = append(s.attempts, a)
	s.n.attempts.Add(1)

	s.n.workers.run(job{s: s, a: a})
}

// mayHaveRun reports whether the searcher can have run the request, now or later. It has to be called after lose.
func (a *attempt) mayHaveRun() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.used && (a.reply == nil || !a.reply.NotRun && !a.reply.Replaced)
}

// isStopped reports whether the connection may have been closed from here.
func (a *attempt) isStopped() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.stopped
}

// ending says what the end of the attempt shows about the searcher.
func (a *attempt) ending(reply *Reply, f failure) query.Ending {
	a.mu.Lock()
	defer a.mu.Unlock()

	switch {
	case reply != nil:
		return query.EndingAnswered
	case a.abandoned || f == failureFull || f == failureReset || f == failureResting || f == failureLeaving || f == failureExpired:
		return query.EndingUnused
	case f == failureUnreachable:
		return query.EndingNoConnection
	default:
		return query.EndingLost
	}
}

// lose tells an attempt that its answer no longer counts. It may go on for a while.
func (a *attempt) lose() {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.stopped = true
	if a.grant != nil {
		a.grant.withdraw()
	}

	if a.conn != nil {
		// A deadline that can't be set belongs to a connection that is closed already.
		_ = a.conn.SetReadDeadline(time.Now().Add(loserGrace))
	}
}

// abandon ends an attempt at once.
func (a *attempt) abandon() {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.stopped, a.abandoned = true, true
	if a.grant != nil {
		a.grant.withdraw()
	}

	if a.conn != nil {
		_ = a.conn.Close() // The exchange that fails on it says so.
	}
}

// use makes the connection known to lose and abandon. It returns false if the attempt was stopped before.
func (a *attempt) use(c *Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.stopped {
		return false
	}

	a.conn, a.used = c, true

	return true
}

func (a *attempt) setGrant(g *grant) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.grant = g

	return !a.stopped
}

// exchange sends the request and reads the answer.
func (n *Node) exchange(r *Request, a *attempt) (*Reply, failure) {
	p := n.pools.get(a.send.Searcher)
	if p == nil {
		return nil, failureUnreachable
	}

	c, f := p.acquire(a)
	if f != failureNone {
		return nil, f
	}

	// The attempt may have waited for its connection, or the process may have stood still, while the searcher asked to be left
	// alone, or until the caller's time was over.
	if f := n.mayStillSend(time.Now(), a, p); f != failureNone {
		p.giveBack(c)

		return nil, f
	}

	if !a.use(c) {
		p.release(c, nil)

		return nil, failureFull
	}

	began := time.Now()
	accepted := c.accepted(began)
	before := c.received()
	reply, err := n.talk(c, r, a)
	c.handOver(reply)

	a.mu.Lock()
	a.conn = nil
	a.mu.Unlock()

	if err != nil {
		timeout := sockets.IsTimeout(err)
		if !timeout && !a.isStopped() && !accepted && c.resetAtOnce(time.Since(began)) {
			p.reset(c)
			a.searcherEnded = n.probe(p)

			return nil, failureReset
		}

		p.release(c, nil)

		switch got := c.received() - before; {
		case timeout:
			return nil, failureTimeout
		case got > 0 && !a.isStopped():
			n.count("bad_replies_total", ident.ReasonBadReply)
			n.logger.Warn().Str("request", string(r.ID)).Str("searcher", string(p.in.ID)).Int64("bytes", got).Err(err).
				Msg("searcher sent no whole answer; its connection is closed")

			return nil, failureBadReply
		default:
			return nil, failureLost
		}
	}

	n.noteNotice(p, reply)
	p.release(c, reply)

	return reply, failureNone
}

// mayStillSend checks right before a request goes out what allowed it when it was decided.
func (n *Node) mayStillSend(now time.Time, a *attempt, p *pool) failure {
	if a.send.Deadline.Sub(now) < leastRemaining {
		return failureExpired
	}

	switch rest, barred := n.planner.Barred(now, a.send.Searcher, p.in.Born); {
	case !barred:
		return failureNone
	case rest == 0:
		return failureLeaving
	default:
		return failureResting
	}
}

// noteNotice takes what a searcher asks for in an answer, whatever becomes of the request. What answers in place of the searcher
// does not speak for it.
func (n *Node) noteNotice(p *pool, reply *Reply) {
	if !reply.Leaving && reply.Rest == 0 || reply.Replaced {
		return
	}

	now := time.Now()
	if !n.planner.Notify(now, ident.SearcherID(p.in.ID), p.in.Born, query.Notice{Leaving: reply.Leaving, Rest: reply.Rest}) {
		return
	}

	reason := ident.ReasonResting
	if reply.Leaving {
		reason = ident.ReasonLeaving
	}

	n.count("searcher_notices_total", reason)
	n.logger.Info().Str("searcher", string(p.in.ID)).Str("upstream", string(p.in.Upstream)).Uint64("born", p.in.Born).
		Int("status", reply.Status).Bool("leaving", reply.Leaving).Dur("rest", reply.Rest).Msg("searcher asks for no more requests")
}

// buffers hold requests in the form in which they are sent.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

func (n *Node) talk(c *Conn, r *Request, a *attempt) (*Reply, error) {
	if err := c.SetDeadline(a.send.Deadline.Add(replyMargin)); err != nil {
		return nil, err
	}

	buf, _ := buffers.Get().(*[]byte)
	defer buffers.Put(buf)

	*buf = n.codec.AppendRequest((*buf)[:0], r, &Attempt{Searcher: a.send.Searcher, Remaining: time.Until(a.send.Deadline)})

	if len(*buf) <= writeAhead {
		if _, err := c.Write(*buf); err != nil {
			return nil, err
		}

		return n.codec.ReadReply(c, r)
	}

	return n.talkLong(c, r, *buf)
}

// talkLong reads the answer while the request is still being written. A connection whose request was not read to its end
// is not used again: the searcher would take the next request for the rest of this one.
func (n *Node) talkLong(c *Conn, r *Request, data []byte) (*Reply, error) {
	var (
		written = make(chan struct{})
		werr    error // set before written is closed
	)

	go func() {
		defer close(written)

		_, werr = c.Write(data)
	}()

	reply, err := n.codec.ReadReply(c, r)

	select {
	case <-written:
	default:
		// Closing ends the write, which uses the buffer.
		_ = c.Close()
		<-written

		werr = net.ErrClosed
	}

	if reply != nil && werr != nil {
		reply.Reusable = false
	}

	return reply, err
}
