package entry

import (
	"net"
	"sync"
	"time"

	"fulmarfall/configuration"
	"fulmarfall/ident"
	"fulmarfall/query"
	"fulmarfall/response"
	"fulmarfall/sockets"

	"github.com/go-faster/errors"
)

const (
	// cancelGrace is how long a cancelled attempt may still wait for its answer. A searcher that pauses resumes after
	// 150 ms; its connection can then be reused, which saves the cost of opening another one.
	cancelGrace = 250 * time.Millisecond
	// replyMargin extends the I/O deadline past the deadline sent to the searcher, so that the searcher's answer that
	// the deadline has passed can still be read.
	replyMargin = 20 * time.Millisecond
	// minRemaining is the least time that a searcher is given; below it, the request is not sent. The time is stated in
	// whole milliseconds, so a smaller value can't be expressed.
	minRemaining = time.Millisecond
	// sequentialWriteLimit is the largest request that is written in full before the answer is read; it fits into the
	// buffers of a connection. A longer request may be answered before the searcher has read all of it.
	sequentialWriteLimit = 16 << 10
	// maxResetWait bounds how long an at-most-once request waits for a reset of its new connection. It covers a round
	// trip to another region.
	maxResetWait = 30 * time.Millisecond
	// resetMargin is added to the time that opening a new connection took. A reset within that total means that the
	// searcher is at its connection limit, unless it turns out to have exited.
	resetMargin = 3 * time.Millisecond
)

// attemptResult carries the result of an attempt from its worker to the goroutine of the request.
type attemptResult struct {
	attempt ident.AttemptID
	reply   *Reply
	failure failure
}

// attempt is the state of one attempt to run a request on a searcher.
type attempt struct {
	send   *query.Send
	sentAt time.Time
	class  ident.Class
	// key and requestDeadline are those of the request.
	key             requestKey
	requestDeadline time.Time
	// fingerprint is that of the request, configuration the one that was in force when it arrived.
	fingerprint   ident.Fingerprint
	configuration *configuration.Configuration
	// team is the calling team of the request, or "".
	team ident.TeamID
	// atMostOnce is set if the request must not run twice, or is suspected: it is not retried once it may have been sent, so it is
	// sent only on a connection that is known to be open.
	atMostOnce bool
	// reply is the answer, failure the reason why there is none, and endedAt the time when the result was received. Only
	// the goroutine of the request sets them.
	reply   *Reply
	failure failure
	endedAt time.Time
	// searcherExited receives, after a connection was lost or reset, whether the searcher has exited; nil if it was not probed.
	searcherExited <-chan bool
	// openedAt is when the connection was opened that was lost.
	openedAt time.Time

	mu         sync.Mutex
	conn       *Conn     // set while the attempt uses it
	maybeSent  bool      // a connection was attached, so the request may have been sent
	attachedAt time.Time // when the connection was attached
	cancelled  bool      // the result is no longer needed
	// aborted is set when this node has closed the connection itself, because the result is of no use any more.
	aborted bool
	waiter  *waiter
	// rollout is used by the goroutine of the request until the attempt is passed to a worker, and then by that.
	rollout rolloutAttempt
}

func (s *activeRequest) send(now time.Time, snd *query.Send) {
	a := &attempt{send: snd, sentAt: now, class: s.class(), key: s.key, requestDeadline: s.deadline(), fingerprint: s.fingerprint, configuration: s.configuration, team: teamName(s.team), atMostOnce: !s.route.Idempotent || s.trial != ""}
	s.catalog.planAttempt(a)
	s.attempts = append(s.attempts, a)
	s.n.attempts.Add(1)

	s.n.workers.run(job{s: s, a: a})
}

// mayHaveRun reports whether the searcher may have run the request, or may still run it, and when it may have been sent. The
// attempt must have ended or been cancelled.
func (a *attempt) mayHaveRun() (sent time.Time, may bool) {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.attachedAt, a.maybeSent && (a.reply == nil || !a.reply.NotRun && !a.reply.Misdirected)
}

// wasSent reports whether the request may have been sent.
func (a *attempt) wasSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.maybeSent
}

// isCancelled reports whether this node may itself have ended the exchange on the connection.
func (a *attempt) isCancelled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.cancelled
}

// plannerResult returns what the result says about the health of the searcher, for Planner.AttemptEnded.
func (a *attempt) plannerResult(reply *Reply, f failure) query.AttemptResult {
	a.mu.Lock()
	defer a.mu.Unlock()

	switch {
	case reply != nil:
		return query.ResultAnswered
	case a.aborted || f == failureFull || f == failureReset || f == failureBackoff || f == failureLeaving || f == failureExpired || f == failureLimited ||
		f == failureConvicted:
		return query.ResultUnused
	case f == failureUnreachable:
		return query.ResultNoConnection
	default:
		return query.ResultLost
	}
}

// cancel marks the result as no longer needed. An exchange in flight may continue for cancelGrace.
func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.cancelled = true
	if a.waiter != nil {
		a.waiter.withdraw()
	}

	if a.conn != nil {
		// SetReadDeadline fails only on a connection that is already closed.
		_ = a.conn.SetReadDeadline(time.Now().Add(cancelGrace))
	}
}

// abort ends the attempt at once by closing its connection.
func (a *attempt) abort() {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.cancelled, a.aborted = true, true
	if a.waiter != nil {
		a.waiter.withdraw()
	}

	if a.conn != nil {
		_ = a.conn.Close() // The exchange on it fails and reports the error.
	}
}

// attachConn makes the connection known to cancel and abort. It returns false if the attempt was cancelled before.
func (a *attempt) attachConn(c *Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.cancelled {
		return false
	}

	a.conn, a.maybeSent, a.attachedAt = c, true, time.Now()

	return true
}

func (a *attempt) setWaiter(w *waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.waiter = w

	return !a.cancelled
}

// exchange sends the request on a connection of the searcher's pool and reads the answer.
func (n *Node) exchange(r *Request, a *attempt) (*Reply, failure) {
	p := n.pools.get(a.send.Searcher)
	if p == nil {
		return nil, failureUnreachable
	}

	sent := false

	defer func() {
		if !sent && a.send.Limited {
			n.planner.ReturnRoom(a.send.Searcher, p.instance.Born)
		}
	}()

	c, f := p.acquire(a)
	if f != failureNone {
		return nil, f
	}

	if f := n.checkBeforeSend(time.Now(), r, a, p); f != failureNone {
		p.releaseUnsent(c)

		return nil, f
	}

	if !n.beginRollout(time.Now(), a, &p.instance) {
		p.releaseUnsent(c)

		return nil, failureLeaving
	}

	if !a.attachConn(c) {
		p.release(c, nil)

		return nil, failureFull
	}

	sent = true
	began := time.Now()
	c.recordCarried(began, a.key, a.requestDeadline)
	n.links.sent(began, a.send.Searcher)
	accepted := c.accepted(began)
	before := c.bytesReceived()
	reply, err := n.roundTrip(c, r, a)
	c.transferReservation(reply)

	a.mu.Lock()
	a.conn = nil
	a.mu.Unlock()

	if err != nil {
		timeout := sockets.IsTimeout(err)
		// A searcher that rejects a connection sends nothing.
		if !timeout && !a.isCancelled() && !accepted && c.bytesReceived() == before && c.wasRejected(time.Since(began)) {
			p.handleReset(c)
			a.searcherExited, a.openedAt = n.probe(p), c.openedAt

			return nil, failureReset
		}

		p.release(c, nil)

		switch got := c.bytesReceived() - before; {
		case timeout:
			return nil, failureTimeout
		case got > 0 && !a.isCancelled():
			n.logBadReply(r, p, got, err)

			return nil, failureBadReply
		case a.isCancelled():
			return nil, failureLost
		default:
			a.searcherExited, a.openedAt = n.probe(p), c.openedAt

			return nil, failureLost
		}
	}

	n.handleNotice(p, reply)
	n.handleLimit(p, reply, began)
	p.release(c, reply)

	return reply, failureNone
}

// logBadReply counts and logs a response that is no answer, although some bytes of it arrived.
func (n *Node) logBadReply(r *Request, p *pool, got int64, err error) {
	n.count("bad_replies_total", ident.ReasonBadReply)

	line := n.logger.Warn().Str("request", string(r.ID)).Str("searcher", string(p.instance.ID))

	var se *response.StatusError
	if errors.As(err, &se) {
		line.Int("status", se.Status).Msg("searcher sent an invalid status; its connection is closed")

		return
	}

	line.Int64("bytes", got).Err(err).Msg("searcher sent no whole answer; its connection is closed")
}

// checkBeforeSend repeats, right before a request is sent, the checks that were made when the attempt was planned. The attempt may
// have waited for its connection, or the process may have been paused: the searcher may be leaving or gone, its failure domain
// out of service, its region no longer allowed, the request convicted, or its deadline may have passed.
func (n *Node) checkBeforeSend(now time.Time, r *Request, a *attempt, p *pool) failure {
	if a.send.Deadline.Sub(now) < minRemaining {
		return failureExpired
	}

	v := n.view.Load()
	if !v.inUse(&p.instance) || a.configuration != nil && a.configuration != v.configuration && !v.allows(r, a.team, n.cfg.Regions[p.instance.FailureDomain]) {
		return failureLeaving
	}

	if standing, _ := n.standing(now, a.fingerprint); standing == query.StandingConvicted {
		return failureConvicted
	}

	switch backoff, excluded := n.planner.Excluded(now, a.send.Searcher, p.instance.Born); {
	case !excluded && !n.planner.AdmitSend(now, a.send, a.sentAt, p.instance.Born, n.cfg.Regions[p.instance.FailureDomain]):
		return failureLimited
	case !excluded:
		return failureNone
	case backoff == 0:
		return failureLeaving
	default:
		return failureBackoff
	}
}

// handleNotice applies the back-off or the planned stop that a searcher announces in an answer, whether or not the
// answer is used. Another process that answers at the searcher's address does not speak for it.
func (n *Node) handleNotice(p *pool, reply *Reply) {
	if !reply.Leaving && reply.RetryAfter == 0 || reply.Misdirected {
		return
	}

	now := time.Now()
	if !n.planner.RecordNotice(now, ident.SearcherID(p.instance.ID), p.instance.Born, query.Notice{Leaving: reply.Leaving, Rest: reply.RetryAfter}) {
		return
	}

	reason := ident.ReasonResting
	if reply.Leaving {
		reason = ident.ReasonLeaving
	}

	n.count("searcher_notices_total", reason)
	n.logger.Info().Str("searcher", string(p.instance.ID)).Str("upstream", string(p.instance.Upstream)).Uint64("born", p.instance.Born).
		Int("status", reply.Status).Bool("leaving", reply.Leaving).Dur("rest", reply.RetryAfter).Msg("searcher asks for no more requests")
}

// requestBuffers holds buffers for encoded requests.
var requestBuffers = sync.Pool{New: func() any { return new([]byte) }}

func (n *Node) roundTrip(c *Conn, r *Request, a *attempt) (*Reply, error) {
	if err := c.SetDeadline(a.send.Deadline.Add(replyMargin)); err != nil {
		return nil, err
	}

	buf, _ := requestBuffers.Get().(*[]byte)
	defer requestBuffers.Put(buf)

	*buf = n.codec.AppendRequest((*buf)[:0], r, &Attempt{Searcher: a.send.Searcher, Remaining: time.Until(a.send.Deadline)})

	if len(*buf) <= sequentialWriteLimit {
		if _, err := c.Write(*buf); err != nil {
			return nil, err
		}

		return n.codec.ReadReply(c, r)
	}

	return n.roundTripConcurrent(c, r, *buf)
}

// roundTripConcurrent reads the answer while the request is still being written. If the request was not written in full,
// the connection is not reused: the searcher would take the next request for the remainder of this one.
func (n *Node) roundTripConcurrent(c *Conn, r *Request, data []byte) (*Reply, error) {
	var (
		written  = make(chan struct{})
		writeErr error // set before written is closed
	)

	go func() {
		defer close(written)

		_, writeErr = c.Write(data)
	}()

	reply, err := n.codec.ReadReply(c, r)

	select {
	case <-written:
	default:
		// Closing the connection ends the write, which still uses the buffer.
		_ = c.Close()
		<-written

		writeErr = net.ErrClosed
	}

	if reply != nil && writeErr != nil {
		reply.Reusable = false
	}

	return reply, err
}
