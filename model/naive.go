package model

import (
	"fmt"
	"strings"

	"fulmarfall/ident"
	"fulmarfall/query"
)

// naiveAttempts is how often the naive version tries a shard before it gives the shard up.
const naiveAttempts = 3

// naiveQuery is the naive version of a query: all shards at once, a random replica each, no limits,
// no regard to snapshots, a retry on each error, and an answer when all shards are done.
type naiveQuery struct {
	r       *request
	reply   func(result)
	pending int
	hits    []query.Hit
	docs    ident.Documents
	total   ident.Documents
}

func (r *request) enterNaive(reply func(result)) {
	q := &naiveQuery{r: r, reply: reply}
	shards := r.up.snapshots[0].shards
	if r.key != "" {
		shards = shards[1:2]
	}
	q.pending = len(shards)
	for _, sh := range shards {
		q.total += sh.documents
		q.try(sh, 1)
	}
}

func (q *naiveQuery) try(sh shardData, attempt int) {
	r := q.r
	w, n := r.w, r.entry
	set := r.up.replicaSets[sh.base]
	target := set[w.rand.IntN(len(set))]
	w.seen.sent(r, r.workOn(sh.id))

	hop := w.size.latency(n.domain, target.domain)
	delay := hop
	if n.pools[target] > 0 {
		n.pools[target]--
	} else {
		delay += r.up.opening
		target.connections++
		w.seen.connected(target)
	}
	run := &fakeRun{
		request: r, shard: sh.id, fingerprint: r.fingerprint, key: r.key, snapshot: anySnapshot,
		deadline: w.now.Add(longest),
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
		q.try(sh, attempt+1)
		return
	}
	if kind == endAnswered {
		q.docs += sh.documents
		// The searcher answers from whatever snapshot it has.
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
	res := result{outcome: ident.OutcomeRan, coverage: float64(q.docs) / float64(q.total), answer: &query.Answer{}}
	if q.docs == 0 {
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
			q.r.w.seen.mixedSnapshot++
			return
		}
	}
}
