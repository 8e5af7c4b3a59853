package model

import (
	"time"

	"fulmarfall/ident"
	"fulmarfall/query"
	"fulmarfall/searcher"
)

// gate wraps the searcher.Gate of one searcher at its owner and executes its effects.
type gate struct {
	w       *world
	owner   *node
	target  *fakeSearcher
	core    *searcher.Gate
	timer   timer
	pending map[searcher.RunID]*shardRequest // submitted and not ended
}

// shardRequest is one attempt that passes through the owner of a searcher.
type shardRequest struct {
	send      *query.Send
	entry     *node
	request   *request
	gate      *gate
	deliver   func(query.ShardReply)
	submitted time.Time
	run       *fakeRun // nil until it reaches the searcher
	cancelled bool
}

func (r *shardRequest) owner() *node { return r.gate.owner }

func newGate(w *world, owner *node, s *fakeSearcher, opts []searcher.Option) *gate {
	g := &gate{w: w, owner: owner, target: s, pending: make(map[searcher.RunID]*shardRequest)}
	g.core = searcher.NewGate(searcher.GateConfig{
		Searcher: s.id, WarmLatency: s.up.service, ReservedConnections: 1, Seed: w.rand.Uint64(),
	}, opts...)
	g.timer = timer{c: w.clock, do: func() { g.apply(g.core.Tick(w.now)) }}
	g.prewarm()

	return g
}

// prewarm completes synthetic runs before the epoch until the gate counts as warm.
func (g *gate) prewarm() {
	now := epoch.Add(-time.Minute)
	a := searcher.Announcement{
		Incarnation: g.target.incarnation, Slots: g.target.up.slots, Connections: g.target.up.connections,
	}
	g.core.SetOpen(now, true)
	for n := ident.AttemptID(0); !g.core.Load().Warm && n < 1000; n++ {
		id := searcher.RunID{Request: "prewarm", Attempt: n}
		effects := g.core.Announce(now, a)
		effects = append(effects, g.core.Submit(now, searcher.Request{Run: id, Deadline: now.Add(time.Hour)})...)
		for started := false; !started; {
			for _, e := range effects {
				switch e := e.(type) {
				case searcher.Start:
					started = true
					if e.Opens {
						g.target.connections++
					}
				case searcher.OpenConnection:
					g.target.connections++
					g.core.Connected(now, e.Connection)
				default:
				}
			}
			if !started {
				now, _ = g.core.NextTick()
				effects = g.core.Tick(now)
			}
		}
		now = now.Add(g.target.up.service)
		g.core.Done(now, id, searcher.RunOutcome{Kind: searcher.OK, AnswerRead: true})
	}
	g.core.Announce(epoch, a)
}

// submit passes a shard request that arrived from an entry node to the gate.
func (g *gate) submit(r *shardRequest) {
	id := searcher.RunID{Request: r.send.Request, Attempt: r.send.Attempt}
	if r.cancelled {
		return
	}
	r.submitted = g.w.now
	g.pending[id] = r
	g.apply(g.core.Submit(g.w.now, searcher.Request{
		Run: id, Class: r.request.class, Fingerprint: r.request.fingerprint, Deadline: r.send.Deadline,
		Hedge: r.send.Hedge, Exclusive: r.send.Exclusive, Unproven: r.send.Canary, Cleared: r.send.Cleared,
	}))
}

func (g *gate) cancel(r *shardRequest) {
	r.cancelled = true
	g.apply(g.core.Cancel(g.w.now, searcher.RunID{Request: r.send.Request, Attempt: r.send.Attempt}))
}

func (g *gate) apply(effects []searcher.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case searcher.Start:
			g.start(e)
		case searcher.Refuse:
			r := g.pending[e.Run]
			delete(g.pending, e.Run)
			g.w.stats.recordRefusal(r, e, g.w.now)
			g.reply(r, query.ShardReply{Status: query.StatusNotStarted, Reason: e.Reason, RetryAfter: e.RetryAfter})
		case searcher.CancelRun:
			if r := g.pending[e.Run]; r != nil {
				g.w.after(linkLatency, func() {
					if r.run != nil {
						g.target.cancel(r.run)
					}
				})
			}
		case searcher.OpenConnection:
			g.open(e.Connection, func(ok bool) {
				if ok {
					g.apply(g.core.Connected(g.w.now, e.Connection))
				}
			})
		case searcher.CloseConnection:
			g.w.after(linkLatency, func() {
				g.target.connections--
				g.apply(g.core.Disconnected(g.w.now, e.Connection))
			})
		}
	}
	g.timer.set(g.core.NextTick())
	g.w.reportCold(g.target, !g.core.Load().Warm)
}

// open opens a connection and reports whether the searcher accepted it.
func (g *gate) open(id searcher.ConnectionID, opened func(ok bool)) {
	g.target.connections++
	g.w.stats.recordConnection(g.target)
	g.w.after(g.target.up.connectTime, func() {
		if !g.target.alive {
			g.target.connections--
			g.apply(g.core.Disconnected(g.w.now, id))
		}
		opened(g.target.alive)
	})
}

func (g *gate) start(e searcher.Start) {
	r := g.pending[e.Run]
	send := func() {
		g.w.after(linkLatency, func() {
			r.run = &fakeRun{
				request: r.request, shard: r.send.Shard,
				fingerprint: r.request.fingerprint, key: r.request.key, snapshot: r.send.Snapshot, deadline: e.Deadline,
				done: func(kind endKind) { g.w.after(linkLatency, func() { g.done(e.Run, r, kind) }) },
			}
			if g.target.incarnation != e.Incarnation && g.target.alive {
				// The connection belongs to the previous incarnation and is broken.
				r.run.done(endUnreachable)
				return
			}
			g.target.start(r.run)
		})
	}
	if !e.Opens {
		send()
		return
	}
	g.open(e.Connection, func(ok bool) {
		if !ok {
			g.done(e.Run, r, endUnreachable)
			return
		}
		g.apply(g.core.Connected(g.w.now, e.Connection))
		send()
	})
}

func (g *gate) done(id searcher.RunID, r *shardRequest, kind endKind) {
	delete(g.pending, id)
	var (
		o   searcher.RunOutcome
		rep query.ShardReply
	)
	switch kind {
	case endAnswered:
		o = searcher.RunOutcome{Kind: searcher.OK, AnswerRead: true}
		rep = query.ShardReply{Status: query.StatusOK, Hits: g.target.up.hits(r.send.Snapshot, r.send.Shard)}
		if r.send.Exclusive {
			g.w.clearSuspicion(r.request.fingerprint)
		}
	case endTimedOut:
		o = searcher.RunOutcome{Kind: searcher.Failed, AnswerRead: true}
		rep = query.ShardReply{Status: query.StatusTimedOut, Reason: ident.ReasonDeadline}
	case endCrashed:
		o = searcher.RunOutcome{Kind: searcher.Crashed}
		rep = query.ShardReply{Status: query.StatusCrashed, Reason: ident.ReasonCrashed}
		g.w.recordCrash(g.owner, r.request.fingerprint, r.send.Exclusive)
	case endUnreachable:
		o = searcher.RunOutcome{Kind: searcher.Unreachable}
		rep = query.ShardReply{Status: query.StatusNotStarted, Reason: ident.ReasonUnreachable}
		g.w.markUnreachable(g.target)
	case endSnapshotGone:
		o = searcher.RunOutcome{Kind: searcher.Shed, AnswerRead: true}
		rep = query.ShardReply{Status: query.StatusSnapshotGone, Reason: ident.ReasonSnapshotGone}
	case endCancelled:
		o = searcher.RunOutcome{Kind: searcher.Cancelled, AnswerRead: true}
		rep = query.ShardReply{Status: query.StatusTimedOut, Reason: ident.ReasonCancelled}
	}
	g.apply(g.core.Done(g.w.now, id, o))
	g.reply(r, rep)
}

// reply sends the result of a shard request back to the entry node, with the load of the gate.
func (g *gate) reply(r *shardRequest, rep query.ShardReply) {
	l := g.core.Load()
	rep.Request, rep.Attempt, rep.Shard, rep.Snapshot = r.send.Request, r.send.Attempt, r.send.Shard, r.send.Snapshot
	rep.Load = query.Load{Known: true, InFlight: l.InFlight, Queued: l.Queued, Cold: !l.Warm}
	g.w.after(g.w.hop(g.owner, r.entry), func() { r.deliver(rep) })
}
