package model

import (
	"fmt"
	"time"

	"fulmarfall/ident"
	"fulmarfall/query"
)

const (
	// popular fingerprints make up the requests that are not fresh.
	popular = 8
	// executeShare of the requests to the smallest upstream are not idempotent.
	executeShare = 0.05
	// lostAnswers of the answers to such requests are lost on the way to the caller, which sends again.
	lostAnswers = 0.1
	// resends of a caller that got no answer, and the pause before each.
	resends     = 20
	resendPause = 200 * time.Millisecond
	// otherAddresses is how often a caller follows the advice to use another entry node.
	otherAddresses = 3
)

// request is one request of a caller at one entry node. A resend is a new request.
type request struct {
	w           *world
	call        *call
	id          ident.RequestID
	entry       *node
	class       ident.Class
	fingerprint ident.Fingerprint
	key         string
	deadline    time.Time
	up          *upstream
	core        *query.Query
	timer       timer
	attempts    map[ident.AttemptID]*shardRequest
	work        map[ident.ShardID]*shardWork
	answered    map[ident.SnapshotID][]bool
	leave       func()
	over        bool
}

// shardWork counts what a request sent for one shard and what searchers started.
type shardWork struct{ sent, started int }

// call is what a caller wants, over all its resends.
type call struct {
	w           *world
	issued      time.Time
	up          *upstream
	class       ident.Class
	fingerprint ident.Fingerprint
	key         string // not empty: not idempotent
	shard       ident.ShardID
	crashes     bool
	sends       int
	redirects   int
	measured    bool
}

// result is what arrives at the caller.
type result struct {
	answer   *query.Answer
	reason   ident.Reason
	outcome  ident.Outcome
	coverage float64
}

// generate issues the requests of one upstream as a Poisson process.
func (w *world) generate(u *upstream) {
	w.after(w.exponential(u.rate), func() {
		if w.now.Sub(epoch) > w.size.warmup+w.size.measured+tail {
			return
		}
		w.issue(u)
		w.generate(u)
	})
}

func (w *world) issue(u *upstream) {
	c := &call{w: w, issued: w.now, up: u, fingerprint: ident.Fingerprint(1 + w.rand.IntN(popular))}
	if w.chance(w.cfg.fresh()) {
		w.fresh++
		c.fingerprint = ident.Fingerprint(1_000_000 + w.fresh)
	}
	switch x := w.rand.Float64(); {
	case x < 0.2:
		c.class = ident.ClassUrgent
	case x < 0.8:
		c.class = ident.ClassNormal
	default:
		c.class = ident.ClassBatch
	}
	if u == w.upstreams[len(w.upstreams)-1] && len(w.upstreams) > 1 && w.chance(executeShare) {
		c.key = fmt.Sprintf("key%d", w.requests)
		c.shard = u.snapshots[0].shards[1].id // not the shard that is split
	}
	since := w.now.Sub(epoch)
	c.measured = c.key == "" && since >= w.size.warmup && since < w.size.warmup+w.size.measured
	c.send()
}

// send sends the request to a drawn entry node.
func (c *call) send() {
	c.sends++
	w := c.w
	w.requests++
	r := &request{
		w: w, call: c, id: ident.RequestID(fmt.Sprintf("r%d", w.requests)), entry: w.nodes[w.rand.IntN(len(w.nodes))],
		class: c.class, fingerprint: c.fingerprint, key: c.key, deadline: w.now.Add(w.size.timeout), up: c.up,
		attempts: make(map[ident.AttemptID]*shardRequest), work: make(map[ident.ShardID]*shardWork),
		answered: make(map[ident.SnapshotID][]bool), leave: func() {},
	}
	settled := false
	got := func(res result) {
		if !settled {
			settled = true
			c.got(res)
		}
	}
	reply := func(res result) {
		r.over = true
		if c.key != "" && w.chance(lostAnswers) {
			return
		}
		w.after(clientLatency, func() { got(res) })
	}
	w.after(clientLatency, func() {
		if w.naive {
			r.enterNaive(reply)
			return
		}
		r.enter(reply)
	})
	// The caller gives up at its deadline.
	w.at(r.deadline, func() { got(result{outcome: ident.OutcomeUnknown}) })
}

// got takes the answer, or decides whether to send again.
func (c *call) got(res result) {
	w := c.w
	if (res.reason == ident.ReasonOutOfService || res.reason == ident.ReasonLeaving) && c.redirects < otherAddresses {
		c.redirects++
		c.sends--
		c.send()
		return
	}
	if c.measured && c.sends == 1 && !c.crashes {
		w.seen.ended(c, res)
	}
	if res.outcome != ident.OutcomeRan && (c.crashes || c.key != "") && c.sends <= resends {
		w.after(resendPause, c.send)
	}
}

func (r *request) workOn(shard ident.ShardID) *shardWork {
	k := r.work[shard]
	if k == nil {
		k = &shardWork{}
		r.work[shard] = k
	}

	return k
}
