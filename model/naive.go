package model

import (
	"fmt"
	"strings"

	"fulmarfall/ident"
	"fulmarfall/query"
)

// naiveAttempts is the number of attempts per shard before the naive version gives up on the shard.
const naiveAttempts = 3

// naiveQuery is a query of the naive version. It sends to a random replica of every shard at once, without limits and
// without regard to snapshots, retries every error, and answers when all shards are done.
type naiveQuery struct {
	r              *request
	reply          func(result)
	pending        int
	hits           []query.Hit
	documents      ident.Documents
	documentsTotal ident.Documents
}

func (r *request) runNaive(reply func(result)) {
	q := &naiveQuery{r: r, reply: reply}
	shards := r.up.snapshots[0].shards
	if r.key != "" {
		shards = shards[1:2]
	}
	q.pending = len(shards)
	for _, sh := range shards {
		q.documentsTotal += sh.documents
		q.send(sh, 1)
	}
}

func (q *naiveQuery) send(sh shardData, attempt int) {
	r := q.r
	w, n := r.w, r.entry
	set := r.up.replicaSets[sh.base]
	target := set[w.rand.IntN(len(set))]
	w.stats.recordSend(r, r.workOn(sh.id))

	hop := w.size.latency(n.domain, target.domain)
	delay := hop
	if n.pools[target] > 0 {
		n.pools[target]--
	} else {
		delay += r.up.connectTime
		target.connections++
		w.stats.recordConnection(target)
	}
	run := &fakeRun{
		request: r, shard: sh.id, fingerprint: r.fingerprint, key: r.key, snapshot: anySnapshot,
		deadline: w.now.Add(defaultRunTimeout),
	}
	run.done = func(kind endKind) {
		w.after(hop, func() {
			if kind == endAnswered {
				n.pools[target]++
			} else {
				target.connections--
			}
			q.done(sh, attempt, kind, target)
		})
	}
	w.after(delay, func() { target.start(run) })
}

func (q *naiveQuery) done(sh shardData, attempt int, kind endKind, from *fakeSearcher) {
	if kind != endAnswered && attempt < naiveAttempts {
		q.send(sh, attempt+1)
		return
	}
	if kind == endAnswered {
		q.documents += sh.documents
		// The searcher answers from its newest snapshot, which may differ from that of other searchers.
		d := q.r.up.data(from.snapshots[len(from.snapshots)-1])
		for _, other := range d.shards {
			if other.base == sh.base {
				q.hits = append(q.hits, other.hits...)
			}
		}
	}
	q.pending--
	if q.pending > 0 {
		return
	}

	q.checkSnapshots()
	res := result{outcome: ident.OutcomeRan, coverage: float64(q.documents) / float64(q.documentsTotal), answer: &query.Answer{}}
	if q.documents == 0 {
		res = result{outcome: ident.OutcomeUnknown}
	}
	q.reply(res)
}

func (q *naiveQuery) checkSnapshots() {
	if len(q.hits) == 0 || q.r.key != "" {
		return
	}
	first := fmt.Sprintf("%s/", strings.SplitN(q.hits[0].ID, "/", 2)[0])
	for _, h := range q.hits {
		if !strings.HasPrefix(h.ID, first) {
			q.r.w.stats.mixedSnapshot++
			return
		}
	}
}
