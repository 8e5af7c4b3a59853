package model

import (
	"slices"
	"time"

	"fulmarfall/admission"
	"fulmarfall/ident"
	"fulmarfall/query"
)

// alias stands for every fingerprint at the planner when the canary is switched off: it is proven by
// the first requests.
const alias ident.Fingerprint = 42

// view is the catalog for one request: the node's copy of the records.
type view struct {
	n           *node
	fingerprint ident.Fingerprint
}

var _ query.Catalog = view{}

// Upstream implements query.Catalog.
func (v view) Upstream(id ident.UpstreamID) *query.Upstream {
	variants := v.n.catalog[id]
	switch len(variants) {
	case 0:
		return nil
	case 1:
		return variants[0]
	default:
		return variants[v.n.w.rand.IntN(len(variants))]
	}
}

// Standing implements query.Catalog.
func (v view) Standing(ident.Fingerprint) (query.Standing, time.Time) {
	return v.n.standing[v.fingerprint], v.n.w.now.Add(time.Hour)
}

// enter takes a request at its entry node.
func (r *request) enter(reply func(result)) {
	w, n := r.w, r.entry
	if n.out[n.domain] {
		reply(result{outcome: ident.OutcomeNotRun, reason: ident.ReasonOutOfService})
		return
	}
	ticket, refusal := n.admission.Enter(w.now, admission.Request{
		Team: "team", Upstream: r.up.name, Class: r.class, Deadline: r.deadline,
	})
	if refusal != nil {
		reply(result{outcome: refusal.Outcome, reason: refusal.Reason})
		return
	}
	r.leave = func() { n.admission.Leave(w.now, ticket) }
	if r.key == "" {
		r.begin(query.Request{Operation: query.OperationSearch, Limit: answerLimit}, reply)
		return
	}

	// A request that is not idempotent claims its key through the log before it is sent.
	w.after(commitTime, func() {
		if w.claimed[r.key] {
			r.leave()
			reply(result{outcome: ident.OutcomeUnknown, reason: ident.ReasonInProgress})
			return
		}
		w.claimed[r.key] = true
		r.begin(query.Request{Operation: query.OperationExecute, Shard: r.call.shard}, func(res result) {
			if res.outcome == ident.OutcomeNotRun {
				w.after(commitTime, func() { delete(w.claimed, r.key) })
			}
			reply(res)
		})
	})
}

func (r *request) begin(q query.Request, reply func(result)) {
	w, n := r.w, r.entry
	q.ID, q.Upstream, q.Fingerprint, q.Class, q.Deadline = r.id, r.up.name, r.fingerprint, r.class, r.deadline
	if w.without[Canary] {
		q.Fingerprint = alias
	}
	var actions []query.Action
	r.core, actions = n.planner.Start(w.now, q, view{n: n, fingerprint: r.fingerprint})
	r.timer = timer{c: w.clock, do: func() { r.apply(r.core.Tick(w.now), reply) }}
	r.apply(actions, reply)
}

func (r *request) apply(actions []query.Action, reply func(result)) {
	w := r.w
	for _, a := range actions {
		switch a := a.(type) {
		case *query.Send:
			r.send(a, reply)
		case *query.Cancel:
			sr := r.attempts[a.Attempt]
			delete(r.attempts, a.Attempt)
			w.after(w.hop(r.entry, sr.owner()), func() { sr.gate.cancel(sr) })
		case *query.Finish:
			r.leave()
			reply(r.finish(a))
		}
	}
	if r.core != nil {
		r.timer.set(r.core.NextTick())
	}
}

func (r *request) send(a *query.Send, reply func(result)) {
	w := r.w
	target := w.byID[a.Searcher]
	k := r.workOn(a.Shard)
	w.seen.sent(r, k)
	sr := &shardRequest{
		send: a, entry: r.entry, request: r, gate: target.owner.gates[target],
		deliver: func(rep query.ShardReply) { r.reply(rep, reply) },
	}
	r.attempts[a.Attempt] = sr
	w.after(w.hop(r.entry, target.owner), func() { sr.gate.submit(sr) })
}

// reply hands the end of an attempt to the query.
func (r *request) reply(rep query.ShardReply, reply func(result)) {
	if sr := r.attempts[rep.Attempt]; sr != nil && rep.Status == query.StatusOK && !r.over {
		// What an observer knows to be answered, for the check of the coverage.
		d := r.up.data(rep.Snapshot)
		if r.answered[d.id] == nil {
			r.answered[d.id] = make([]bool, len(d.shards))
		}
		r.answered[d.id][d.index[rep.Shard]] = true
		delete(r.attempts, rep.Attempt)
	}
	r.apply(r.core.Reply(r.w.now, rep), reply)
}

// finish checks an answer against what the model knows.
func (r *request) finish(f *query.Finish) result {
	if f.Refusal != nil {
		return result{outcome: f.Refusal.Outcome, reason: f.Refusal.Reason}
	}
	res := result{answer: f.Answer, outcome: f.Answer.Outcome, coverage: f.Answer.Coverage.Fraction()}
	if r.key != "" {
		return res
	}

	seen, d := r.w.seen, r.up.data(f.Answer.Snapshot)
	answered := r.answered[d.id]
	if answered == nil {
		answered = make([]bool, len(d.shards))
	}
	want := query.Coverage{ShardsTotal: len(d.shards)}
	for i, sh := range d.shards {
		want.DocumentsTotal += sh.documents
		if answered[i] {
			want.ShardsAnswered++
			want.DocumentsAnswered += sh.documents
		}
	}
	got := f.Answer.Coverage
	if got.ShardsTotal != want.ShardsTotal || got.ShardsAnswered != want.ShardsAnswered ||
		got.DocumentsTotal != want.DocumentsTotal || got.DocumentsAnswered != want.DocumentsAnswered ||
		len(got.Missing) != got.ShardsTotal-got.ShardsAnswered {
		seen.wrongCoverage++
	}
	if !slices.EqualFunc(d.naiveMerge(answered), f.Answer.Hits, equalHits) {
		seen.mixedSnapshot++
	}

	return res
}

// prove lets the planner of a node see an answer to each popular request, as in a system that has run
// for a while.
func (n *node) prove() {
	for _, u := range n.w.upstreams {
		for f := range ident.Fingerprint(popular + 1) {
			q, actions := n.planner.Start(epoch, query.Request{
				ID: "prove", Upstream: u.name, Operation: query.OperationSearch, Fingerprint: f,
				Deadline: epoch.Add(n.w.size.timeout),
			}, view{n: n, fingerprint: f})
			s := actions[0].(*query.Send)
			q.Reply(epoch.Add(2*linkLatency+u.service), query.ShardReply{
				Request: s.Request, Attempt: s.Attempt, Shard: s.Shard, Snapshot: s.Snapshot, Status: query.StatusOK,
			})
			q.Abandon(epoch)
		}
	}
}
