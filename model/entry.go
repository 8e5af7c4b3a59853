package model

import (
	"slices"
	"time"

	"fulmarfall/admission"
	"fulmarfall/ident"
	"fulmarfall/query"
)

// provenFingerprint replaces every fingerprint at the planner when the canary is disabled. The first requests prove
// it harmless.
const provenFingerprint ident.Fingerprint = 42

// catalogView is the catalog for one request, backed by the replica of the records at its node.
type catalogView struct {
	n           *node
	fingerprint ident.Fingerprint
}

var _ query.Catalog = catalogView{}

// Upstream implements query.Catalog.
func (v catalogView) Upstream(id ident.UpstreamID) *query.Upstream {
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
func (v catalogView) Standing(ident.Fingerprint) (query.Standing, time.Time) {
	return v.n.standing[v.fingerprint], v.n.w.now.Add(time.Hour)
}

// admit passes a request through admission control at its entry node and starts it.
func (r *request) admit(reply func(result)) {
	w, n := r.w, r.entry
	if n.domainOut[n.domain] {
		reply(result{outcome: ident.OutcomeNotRun, reason: ident.ReasonOutOfService})
		return
	}
	ticket, refusal := n.admission.Admit(w.now, admission.Request{
		Team: "team", Upstream: r.up.name, Class: r.class, Deadline: r.deadline,
	})
	if refusal != nil {
		reply(result{outcome: refusal.Outcome, reason: refusal.Reason})
		return
	}
	r.release = func() { n.admission.Release(w.now, ticket) }
	if r.key == "" {
		r.begin(query.Request{Operation: query.OperationSearch, Limit: answerLimit}, reply)
		return
	}

	// A non-idempotent request claims its key through the replicated log before it is sent.
	w.after(commitLatency, func() {
		if w.claimed[r.key] {
			r.release()
			reply(result{outcome: ident.OutcomeUnknown, reason: ident.ReasonInProgress})
			return
		}
		w.claimed[r.key] = true
		r.begin(query.Request{Operation: query.OperationExecute, Shard: r.call.shard}, func(res result) {
			if res.outcome == ident.OutcomeNotRun {
				w.after(commitLatency, func() { delete(w.claimed, r.key) })
			}
			reply(res)
		})
	})
}

func (r *request) begin(q query.Request, reply func(result)) {
	w, n := r.w, r.entry
	q.ID, q.Upstream, q.Fingerprint, q.Class, q.Deadline = r.id, r.up.name, r.fingerprint, r.class, r.deadline
	if w.disabled[Canary] {
		q.Fingerprint = provenFingerprint
	}
	var actions []query.Action
	r.query, actions = n.planner.Start(w.now, q, catalogView{n: n, fingerprint: r.fingerprint})
	r.timer = timer{c: w.clock, do: func() { r.apply(r.query.Tick(w.now), reply) }}
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
			r.release()
			reply(r.finish(a))
		}
	}
	if r.query != nil {
		r.timer.set(r.query.NextTick())
	}
}

func (r *request) send(a *query.Send, reply func(result)) {
	w := r.w
	target := w.byID[a.Searcher]
	k := r.workOn(a.Shard)
	w.stats.recordSend(r, k)
	sr := &shardRequest{
		send: a, entry: r.entry, request: r, gate: target.owner.gates[target],
		deliver: func(rep query.ShardReply) { r.reply(rep, reply) },
	}
	r.attempts[a.Attempt] = sr
	w.after(w.hop(r.entry, target.owner), func() { sr.gate.submit(sr) })
}

// reply passes the result of an attempt to the query.
func (r *request) reply(rep query.ShardReply, reply func(result)) {
	if sr := r.attempts[rep.Attempt]; sr != nil && rep.Status == query.StatusOK && !r.finished {
		// The model records the answered shards itself, to check the reported coverage.
		d := r.up.data(rep.Snapshot)
		if r.answered[d.id] == nil {
			r.answered[d.id] = make([]bool, len(d.shards))
		}
		r.answered[d.id][d.index[rep.Shard]] = true
		delete(r.attempts, rep.Attempt)
	}
	r.apply(r.query.Reply(r.w.now, rep), reply)
}

// finish checks the coverage and the hits of an answer against the state of the model.
func (r *request) finish(f *query.Finish) result {
	if f.Refusal != nil {
		return result{outcome: f.Refusal.Outcome, reason: f.Refusal.Reason}
	}
	res := result{answer: f.Answer, outcome: f.Answer.Outcome, coverage: f.Answer.Coverage.Fraction()}
	if r.key != "" {
		return res
	}

	stats, d := r.w.stats, r.up.data(f.Answer.Snapshot)
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
		stats.wrongCoverage++
	}
	if !slices.EqualFunc(d.naiveMerge(answered), f.Answer.Hits, equalHits) {
		stats.mixedSnapshot++
	}

	return res
}

// markProven feeds the planner of a node one answer to each popular request, as if the system had been running for a
// while.
func (n *node) markProven() {
	for _, u := range n.w.upstreams {
		for f := range ident.Fingerprint(popularFingerprints + 1) {
			q, actions := n.planner.Start(epoch, query.Request{
				ID: "prove", Upstream: u.name, Operation: query.OperationSearch, Fingerprint: f,
				Deadline: epoch.Add(n.w.size.timeout),
			}, catalogView{n: n, fingerprint: f})
			s := actions[0].(*query.Send)
			q.Reply(epoch.Add(2*linkLatency+u.service), query.ShardReply{
				Request: s.Request, Attempt: s.Attempt, Shard: s.Shard, Snapshot: s.Snapshot, Status: query.StatusOK,
			})
			q.Abandon(epoch)
		}
	}
}
