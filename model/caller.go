package model

import (
	"fmt"
	"time"

	"fulmarfall/ident"
	"fulmarfall/query"
)

const (
	// popularFingerprints is the number of distinct fingerprints among requests that are not fresh.
	popularFingerprints = 8
	// executeShare is the share of non-idempotent requests to the smallest upstream.
	executeShare = 0.05
	// answerLossProbability is the probability that the answer to a non-idempotent request is lost before it reaches
	// the caller, which then resends after its deadline.
	answerLossProbability = 0.1
	// maxResends bounds the resends of a call that has not succeeded; resendDelay is the pause before each.
	maxResends  = 20
	resendDelay = 200 * time.Millisecond
	// maxRedirects bounds how often a caller switches to another entry node on the advice of a refusal.
	maxRedirects = 3
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
	query       *query.Query
	timer       timer
	attempts    map[ident.AttemptID]*shardRequest
	work        map[ident.ShardID]*shardWork
	answered    map[ident.SnapshotID][]bool
	release     func()
	finished    bool
}

// shardWork counts the shard requests sent and the runs started at searchers for one shard of a request.
type shardWork struct{ sent, started int }

// call is one logical request of a caller, across all its resends.
type call struct {
	w           *world
	issued      time.Time
	up          *upstream
	class       ident.Class
	fingerprint ident.Fingerprint
	key         string // idempotency key; empty for idempotent calls
	shard       ident.ShardID
	crashes     bool
	sends       int
	redirects   int
	measured    bool
}

// result is the outcome that a caller receives.
type result struct {
	answer   *query.Answer
	reason   ident.Reason
	outcome  ident.Outcome
	coverage float64
}

// generate issues the requests of one upstream as a Poisson process.
func (w *world) generate(u *upstream) {
	w.after(w.exponential(u.rate), func() {
		if w.now.Sub(epoch) > w.size.warmup+w.size.measured+loadExtension {
			return
		}
		w.issue(u)
		w.generate(u)
	})
}

func (w *world) issue(u *upstream) {
	c := &call{w: w, issued: w.now, up: u, fingerprint: ident.Fingerprint(1 + w.rand.IntN(popularFingerprints))}
	if w.chance(w.cfg.freshShare()) {
		w.freshCount++
		c.fingerprint = ident.Fingerprint(1_000_000 + w.freshCount)
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
		c.shard = u.snapshots[0].shards[1].id // shard 0 is split in SnapshotChange
	}
	since := w.now.Sub(epoch)
	c.measured = c.key == "" && since >= w.size.warmup && since < w.size.warmup+w.size.measured
	c.send()
}

// send sends the request to an entry node chosen at random.
func (c *call) send() {
	c.sends++
	w := c.w
	w.requests++
	r := &request{
		w: w, call: c, id: ident.RequestID(fmt.Sprintf("r%d", w.requests)), entry: w.nodes[w.rand.IntN(len(w.nodes))],
		class: c.class, fingerprint: c.fingerprint, key: c.key, deadline: w.now.Add(w.size.timeout), up: c.up,
		attempts: make(map[ident.AttemptID]*shardRequest), work: make(map[ident.ShardID]*shardWork),
		answered: make(map[ident.SnapshotID][]bool), release: func() {},
	}
	delivered := false
	deliver := func(res result) {
		if !delivered {
			delivered = true
			c.receive(res)
		}
	}
	reply := func(res result) {
		r.finished = true
		if c.key != "" && w.chance(answerLossProbability) {
			return
		}
		w.after(clientLatency, func() { deliver(res) })
	}
	w.after(clientLatency, func() {
		if w.naive {
			r.runNaive(reply)
			return
		}
		r.admit(reply)
	})
	// A call that has no answer by its deadline ends with an unknown outcome.
	w.at(r.deadline, func() { deliver(result{outcome: ident.OutcomeUnknown}) })
}

// receive records the result, follows a redirect, or schedules a resend.
func (c *call) receive(res result) {
	w := c.w
	if (res.reason == ident.ReasonOutOfService || res.reason == ident.ReasonLeaving) && c.redirects < maxRedirects {
		c.redirects++
		c.sends--
		c.send()
		return
	}
	if c.measured && c.sends == 1 && !c.crashes {
		w.stats.recordCall(c, res)
	}
	if res.outcome != ident.OutcomeRan && (c.crashes || c.key != "") && c.sends <= maxResends {
		w.after(resendDelay, c.send)
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
