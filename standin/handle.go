package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"slices"
	"time"

	"fulmarfall/ident"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// HTTP statuses of the published interface.
const (
	statusNotStarted   = fasthttp.StatusServiceUnavailable
	statusSnapshotGone = fasthttp.StatusGone
	statusExpired      = fasthttp.StatusGatewayTimeout
	statusCancelled    = fasthttp.StatusConflict
)

func (s *Searcher) handle(ctx context.Context, c *fasthttp.RequestCtx) {
	s.waitUnfrozen(ctx)

	switch path := string(c.Path()); {
	case path == "/search" && c.IsPost():
		s.search(ctx, c)
	case path == "/execute" && c.IsPost():
		s.execute(ctx, c)
	case path == "/cancel" && c.IsPost():
		s.cancelRun(c)
	case path == "/health" && c.IsGet():
		reply(c, fasthttp.StatusOK, s.delayedHealth())
	default:
		reply(c, fasthttp.StatusNotFound, Refusal{Reason: ident.ReasonBadRequest})
	}
}

// waitUnfrozen blocks while the searcher is frozen.
func (s *Searcher) waitUnfrozen(ctx context.Context) {
	s.mu.Lock()
	unfrozen := s.unfrozen
	s.mu.Unlock()

	select {
	case <-unfrozen:
	case <-ctx.Done():
	}
}

// requestLimit returns the request limit that answers name.
func (s *Searcher) requestLimit() RequestLimit {
	s.mu.Lock()
	defer s.mu.Unlock()

	return RequestLimit{LimitPerSecond: s.behaviour.LimitPerSecond}
}

func reply(c *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = fasthttp.StatusInternalServerError, []byte(`{"started":true,"reason":"bad_reply"}`)
	}

	c.SetStatusCode(status)
	c.SetContentType("application/json")
	c.SetBody(data)
}

// runRequest has the fields that search and execute requests share.
type runRequest struct {
	key      runKey
	upstream ident.UpstreamID
	timeout  int64
	content  json.RawMessage
	conn     *trackedConn
}

func (s *Searcher) refuse(c *fasthttp.RequestCtx, w runRequest, status int, started bool, reason ident.Reason) {
	s.mu.Lock()
	s.stats.Refused++
	after, limit := s.behaviour.RetryAfterMS, RequestLimit{LimitPerSecond: s.behaviour.LimitPerSecond}
	s.mu.Unlock()

	reply(c, status, Refusal{
		RequestID: w.key.request, Attempt: w.key.attempt, Started: started, Reason: reason, RetryAfterMS: after, RequestLimit: limit,
	})
}

// startRun occupies a slot. It returns nil if the request was refused or must not be answered.
func (s *Searcher) startRun(ctx context.Context, c *fasthttp.RequestCtx, w *runRequest) *run {
	if w.key.request == "" || w.timeout <= 0 || w.upstream != s.cfg.Data.Upstream || len(w.content) == 0 || string(w.content) == "null" {
		s.refuse(c, *w, fasthttp.StatusBadRequest, false, ident.ReasonBadRequest)

		return nil
	}

	// After a freeze, a request may be read after its caller has disconnected; it must not start then.
	w.conn, _ = c.Conn().(*trackedConn)
	if w.conn != nil && w.conn.closedByPeer() {
		return nil
	}

	s.mu.Lock()
	s.stats.Received++

	b := s.behaviour
	_, duplicate := s.runs[w.key]
	full := len(s.runs) >= s.cfg.Slots

	if full {
		s.stats.OverSlots++
	}

	s.stats.PeakInFlight = max(s.stats.PeakInFlight, len(s.runs)+1)

	switch {
	case ctx.Err() != nil:
		s.mu.Unlock()

		return nil
	case duplicate:
		s.mu.Unlock()
		s.refuse(c, *w, fasthttp.StatusBadRequest, false, ident.ReasonBadRequest)

		return nil
	case full || b.Shed || b.Drain:
		s.mu.Unlock()

		reason := ident.ReasonShed
		if b.Drain {
			reason = ident.ReasonLeaving
		}

		s.refuse(c, *w, statusNotStarted, false, reason)

		return nil
	}

	now := time.Now()
	if s.recordStart(now) {
		s.stats.ColdCrashes++
		s.mu.Unlock()
		s.Crash()

		return nil
	}

	r := &run{}
	// fasthttp has read the whole request at c.Time(), so the deadline counts from there even after a freeze.
	r.ctx, r.cancel = context.WithDeadline(ctx, c.Time().Add(time.Duration(w.timeout)*time.Millisecond))
	s.runs[w.key] = r
	s.stats.Started++
	s.recordHealth(now)
	s.mu.Unlock()

	return r
}

// finishRun releases the slot.
func (s *Searcher) finishRun(w runRequest, r *run, answered bool) {
	r.cancel()

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.runs[w.key] == r {
		delete(s.runs, w.key)
	}

	if answered {
		s.stats.Answered++
		s.answersSinceCold++
	}

	s.recordHealth(time.Now())
}

// serve waits for the service time. It returns false if the run ends before its answer, with the refusal written
// unless the searcher crashed.
func (s *Searcher) serve(ctx context.Context, c *fasthttp.RequestCtx, w runRequest, r *run) bool {
	s.mu.Lock()
	d, mark := s.serviceTime(w.key.request, w.key.attempt), s.behaviour.CrashMark
	s.mu.Unlock()

	if mark != "" && bytes.Contains(w.content, []byte(mark)) {
		s.Crash()

		return false
	}

	done := time.NewTimer(d)
	defer done.Stop()

	disconnectPoll := time.NewTicker(pollInterval)
	defer disconnectPoll.Stop()

	for {
		select {
		case <-done.C:
			s.waitUnfrozen(ctx)

			if r.ctx.Err() == nil {
				return true
			}
		case <-disconnectPoll.C:
			if w.conn != nil && w.conn.closedByPeer() {
				r.cancel()
			}

			continue
		case <-r.ctx.Done():
			s.waitUnfrozen(ctx)
		}

		s.mu.Lock()
		expired := errors.Is(r.ctx.Err(), context.DeadlineExceeded)

		if expired {
			s.stats.Expired++
		} else {
			s.stats.Cancelled++
		}
		s.mu.Unlock()

		if expired {
			s.refuse(c, w, statusExpired, true, ident.ReasonDeadline)
		} else {
			s.refuse(c, w, statusCancelled, true, ident.ReasonCancelled)
		}

		return false
	}
}

func (s *Searcher) search(ctx context.Context, c *fasthttp.RequestCtx) {
	var q SearchRequest
	if json.Unmarshal(c.PostBody(), &q) != nil {
		s.refuse(c, runRequest{}, fasthttp.StatusBadRequest, false, ident.ReasonBadRequest)

		return
	}

	w := runRequest{key: runKey{request: q.RequestID, attempt: q.Attempt}, upstream: q.Upstream, timeout: q.TimeoutMS, content: q.Query}

	r := s.startRun(ctx, c, &w)
	if r == nil {
		return
	}

	answered := false
	defer func() { s.finishRun(w, r, answered) }()

	if !s.serves(q.Shard, q.Snapshot) {
		s.refuse(c, w, statusSnapshotGone, false, ident.ReasonSnapshotGone)

		return
	}

	if !s.serve(ctx, c, w, r) {
		return
	}

	if e := s.Behaviour().Endless; e != EndlessNone {
		c.HijackSetNoResponse(true)
		c.Hijack(func(conn net.Conn) { sendEndless(ctx, conn, e) })

		return
	}

	// The snapshot may have been dropped in the meantime.
	if !s.serves(q.Shard, q.Snapshot) {
		s.refuse(c, w, statusSnapshotGone, true, ident.ReasonSnapshotGone)

		return
	}

	s.mu.Lock()
	stored := s.contentFor(q.Shard, q.Snapshot)
	s.mu.Unlock()

	hits, err := s.cfg.Data.answer(stored.ids, q.Snapshot, q.Query, q.Limit, func(id string) json.RawMessage {
		return stored.documents[id]
	})
	if err != nil {
		s.refuse(c, w, fasthttp.StatusBadRequest, false, ident.ReasonBadRequest)

		return
	}

	answered = true

	if hits == nil {
		hits = []Hit{}
	}

	reply(c, fasthttp.StatusOK, SearchReply{
		RequestID: q.RequestID, Attempt: q.Attempt, Shard: q.Shard, Snapshot: q.Snapshot, Hits: hits, RequestLimit: s.requestLimit(),
	})
	s.malformReply(ctx, c)
}

// sendEndless sends until the peer closes the connection or the incarnation ends.
func sendEndless(ctx context.Context, conn net.Conn, e Endless) {
	preamble, chunk := e.stream()

	for _, err := io.WriteString(conn, preamble); err == nil && ctx.Err() == nil; _, err = io.WriteString(conn, chunk) {
		time.Sleep(endlessInterval)
	}
}

// endlessInterval limits each endless answer to about 4 MB/s.
const endlessInterval = time.Millisecond

// serves reports whether the searcher serves a shard of a snapshot; snapshot 0 matches any.
func (s *Searcher) serves(shard ident.ShardID, snapshot ident.SnapshotID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.ContainsFunc(s.holdings, func(h Holding) bool {
		return (snapshot == 0 || h.Snapshot == snapshot) && slices.Contains(h.Held, shard)
	})
}

func (s *Searcher) execute(ctx context.Context, c *fasthttp.RequestCtx) {
	var q ExecuteRequest
	if json.Unmarshal(c.PostBody(), &q) != nil {
		s.refuse(c, runRequest{}, fasthttp.StatusBadRequest, false, ident.ReasonBadRequest)

		return
	}

	w := runRequest{key: runKey{request: q.RequestID, attempt: q.Attempt}, upstream: q.Upstream, timeout: q.TimeoutMS, content: q.Body}

	r := s.startRun(ctx, c, &w)
	if r == nil {
		return
	}

	answered := false
	defer func() { s.finishRun(w, r, answered) }()

	answer, err := s.cfg.Data.ExpectedResult(q.Shard, q.Body)

	switch {
	case err != nil:
		s.refuse(c, w, fasthttp.StatusBadRequest, false, ident.ReasonBadRequest)

		return
	case !s.serves(q.Shard, 0):
		s.refuse(c, w, fasthttp.StatusNotFound, false, ident.ReasonUnknownShard)

		return
	case !s.journalRun(r, q):
		s.refuse(c, w, statusExpired, false, ident.ReasonDeadline)

		return
	}

	if !s.serve(ctx, c, w, r) {
		return
	}

	answered = true

	reply(c, fasthttp.StatusOK, ExecuteReply{RequestID: q.RequestID, Attempt: q.Attempt, Shard: q.Shard, Answer: answer, RequestLimit: s.requestLimit()})
	s.malformReply(ctx, c)
}

// journalRun adds the run to the journal unless its context has ended. From here on the request counts as run.
func (s *Searcher) journalRun(r *run, q ExecuteRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if r.ctx.Err() != nil {
		return false
	}

	s.journal = append(s.journal, Run{
		RequestID: q.RequestID, Attempt: q.Attempt, Shard: q.Shard,
		IdempotencyKey: q.IdempotencyKey, Body: string(q.Body), Incarnation: s.incarnation,
	})

	return true
}

func (s *Searcher) cancelRun(c *fasthttp.RequestCtx) {
	var q CancelRequest
	if json.Unmarshal(c.PostBody(), &q) != nil {
		s.refuse(c, runRequest{}, fasthttp.StatusBadRequest, false, ident.ReasonBadRequest)

		return
	}

	key := runKey{request: q.RequestID, attempt: q.Attempt}

	s.mu.Lock()
	r, found := s.runs[key]
	// The slot must be free before the reply to the cancellation is sent.
	delete(s.runs, key)
	s.mu.Unlock()

	if found {
		r.cancel()
	}

	reply(c, fasthttp.StatusOK, CancelReply{Found: found})
}

func (s *Searcher) handleAdmin(c *fasthttp.RequestCtx) {
	switch path := string(c.Path()); {
	case path == "/faults" && c.IsPost():
		if err := s.applyFaults(c.PostBody()); err != nil {
			c.Error(err.Error(), fasthttp.StatusBadRequest)

			return
		}

		reply(c, fasthttp.StatusOK, s.Behaviour())
	case path == "/faults" && c.IsGet():
		reply(c, fasthttp.StatusOK, s.Behaviour())
	case path == "/stats" && c.IsGet():
		reply(c, fasthttp.StatusOK, s.Stats())
	case path == "/runs" && c.IsGet():
		reply(c, fasthttp.StatusOK, s.Runs())
	default:
		c.Error("unknown path", fasthttp.StatusNotFound)
	}
}
