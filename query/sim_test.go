// This file holds a simulated upstream in virtual time and the checks of what its queries do.

package query

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/ident"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type fate struct {
	status Status
	reason ident.Reason
	delay  time.Duration
	lost   bool // the reply never arrives
	copies int  // further deliveries of the same reply
	wrong  int  // 1 to 4: request, attempt, shard or snapshot of the reply is another one's; 5: crossed
}

// ran says whether the searcher began to work on the attempt.
func (f fate) ran() bool {
	return f.status != StatusNotStarted && f.status != StatusSnapshotGone
}

type delivery struct {
	at    time.Time
	query int
	reply ShardReply
}

// push keeps the deliveries in the order of their time.
func (w *world) push(d delivery) {
	i, _ := slices.BinarySearchFunc(w.queue, d, func(a, b delivery) int { return a.at.Compare(b.at) })
	w.queue = slices.Insert(w.queue, i, d)
}

// attemptTruth is what really happened to one send.
type attemptTruth struct {
	send   *Send
	fate   fate
	ended  bool // a matching reply was delivered or the attempt was cancelled
	cancel bool
}

type shardOf struct {
	snapshot ident.SnapshotID
	shard    ident.ShardID
}

// queryTruth is what an observer of one query knows.
type queryTruth struct {
	q        *Query
	req      Request
	sends    []*attemptTruth
	answered map[shardOf]bool
	finish   *Finish
	finishAt time.Time
}

// reporter is what testing.T and rapid.T have in common.
type reporter interface {
	Fatalf(format string, args ...any)
}

// world is a catalog, the data behind it, and the queries in progress.
type world struct {
	t        reporter
	now      time.Time
	planner  *Planner
	upstream *Upstream
	full     *Upstream // every snapshot that there ever is
	standing Standing
	draw     func(w *world, s *Send) fate
	queue    []delivery
	queries  []*queryTruth
	firsts   int
	extras   int
	shake    func() // changes the catalog between events
	coming   []Snapshot
	dropped  ident.SnapshotID // snapshots up to this one are gone at every searcher
}

func (w *world) Upstream(ident.UpstreamID) *Upstream { return w.upstream }
func (w *world) Standing(ident.Fingerprint) (Standing, time.Time) {
	return w.standing, w.now.Add(time.Hour)
}

func newWorld(t reporter, snapshots, shards, replicas int, opts ...Option) *world {
	u := newUpstream(snapshots, shards, replicas)
	return &world{
		t: t, now: epoch, upstream: u, full: u,
		planner: NewPlanner(append([]Option{WithNode("n0", "d0", "r0"), WithRandom(rand.NewPCG(7, 7))}, opts...)...),
		draw:    func(*world, *Send) fate { return fate{status: StatusOK, delay: time.Millisecond} },
	}
}

// newUpstream makes snapshots 1 to n. Each later snapshot has one shard more, as after a split.
func newUpstream(snapshots, shards, replicas int) *Upstream {
	u := &Upstream{}
	for id := 1; id <= snapshots; id++ {
		s := Snapshot{ID: ident.SnapshotID(id)}
		for i := range shards + id - 1 {
			sh := Shard{ID: ident.ShardID(fmt.Sprintf("s%d", i)), Documents: ident.Documents(10 + i)}
			for r := range replicas {
				sh.Replicas = append(sh.Replicas, Replica{
					Searcher:      ident.SearcherID(fmt.Sprintf("s%d-%d", i, r)),
					FailureDomain: ident.FailureDomain(fmt.Sprintf("d%d", r)),
					Owner:         ident.NodeID(fmt.Sprintf("n%d", r)), Region: "r0", Usable: true,
				})
			}
			s.Shards = append(s.Shards, sh)
		}
		u.Snapshots = append(u.Snapshots, s)
	}

	return u
}

// shardHits is the data: the hits of a shard in a snapshot, unsorted, with documents that are also in other shards.
func shardHits(snap ident.SnapshotID, shard ident.ShardID) []Hit {
	rnd := rand.New(rand.NewPCG(uint64(snap), affinity(0, string(shard))))
	hits := make([]Hit, rnd.IntN(8))
	for i := range hits {
		hits[i] = Hit{
			ID: fmt.Sprintf("doc%d", rnd.IntN(40)), Score: float64(rnd.IntN(6)),
			Document: fmt.Appendf(nil, "%d/%s/%d", snap, shard, i),
		}
	}

	return hits
}

func (w *world) start(r Request) *queryTruth {
	qt := &queryTruth{req: r, answered: map[shardOf]bool{}}
	w.queries = append(w.queries, qt)
	q, actions := w.planner.Start(w.now, r, w)
	qt.q = q
	w.act(len(w.queries)-1, actions)

	return qt
}

// ask runs one query to its end.
func (w *world) ask(r Request) *queryTruth {
	qt := w.start(r)
	w.run()
	w.checkFinish(qt)
	return qt
}

// warm makes the request known to be harmless on snapshot 1 and the latency known to be 2 ms.
func (w *world) warm(r Request) {
	w.planner.harmless.add(harmlessKey{fingerprint: r.Fingerprint, snapshot: 1})
	for range latencyMinimum {
		w.planner.record(epoch, "u").observe(2 * time.Millisecond)
	}
}

func (w *world) act(query int, actions []Action) {
	qt := w.queries[query]
	for _, action := range actions {
		if qt.finish != nil {
			w.t.Fatalf("action %T after Finish", action)
		}
		switch a := action.(type) {
		case *Send:
			w.checkSend(qt, a)
			at := &attemptTruth{send: a, fate: w.draw(w, a)}
			if a.Snapshot <= w.dropped {
				at.fate.status, at.fate.reason = StatusSnapshotGone, ""
			}
			w.account(qt, at)
			qt.sends = append(qt.sends, at)
			w.deliver(query, at)
		case *Cancel:
			at := qt.sends[a.Attempt-1]
			if at.ended {
				w.t.Fatalf("attempt %d is cancelled after its end", a.Attempt)
			}
			at.ended, at.cancel = true, true
		case *Finish:
			qt.finish, qt.finishAt = a, w.now
		}
	}
}

// account counts the load that first attempts, and paid hedges and retries, put on the upstream.
func (w *world) account(qt *queryTruth, at *attemptTruth) {
	if !at.send.Hedge && !at.send.Retry {
		w.firsts++
		return
	}
	if at.send.Hedge || slices.ContainsFunc(qt.sends, func(p *attemptTruth) bool {
		same := p.send.Shard == at.send.Shard && p.send.Snapshot == at.send.Snapshot
		return same && (p.cancel || p.fate.ran() || loadReason(p.fate.reason))
	}) {
		w.extras++
	}
}

func (w *world) deliver(query int, at *attemptTruth) {
	s, f := at.send, at.fate
	if f.lost {
		return
	}
	r := ShardReply{Request: s.Request, Attempt: s.Attempt, Shard: s.Shard, Snapshot: s.Snapshot, Status: f.status, Reason: f.reason}
	if f.status == StatusOK {
		r.Hits, r.Body = shardHits(s.Snapshot, s.Shard), []byte(s.Request)
	}
	if f.wrong == 5 && len(w.queries) == 1 {
		f.wrong = 1
	}
	if f.wrong > 0 {
		r.Hits, r.Body = []Hit{{ID: "wrong", Score: 1e9}}, []byte("wrong")
	}
	switch f.wrong {
	case 5:
		query = (query + 1) % len(w.queries)
	case 1:
		r.Request += "x"
	case 2:
		r.Attempt += 1000
	case 3:
		r.Shard += "x"
	case 4:
		r.Snapshot++
	}
	for i := range f.copies + 1 {
		w.push(delivery{at: w.now.Add(f.delay * time.Duration(i+1)), query: query, reply: r})
	}
}

// run carries on until every query has finished and every reply is delivered.
func (w *world) run() {
	for {
		if w.shake != nil {
			w.shake()
		}
		at, query := time.Time{}, -1
		for i, qt := range w.queries {
			if next, ok := qt.q.NextTick(); ok && (query < 0 || next.Before(at)) {
				at, query = next, i
			}
		}
		switch {
		case len(w.queue) > 0 && (query < 0 || w.queue[0].at.Before(at)):
			d := w.queue[0]
			w.queue = w.queue[1:]
			w.now = d.at
			w.reply(d.query, d.reply)
		case query >= 0:
			if at.After(w.now) {
				w.now = at
			}
			w.act(query, w.queries[query].q.Tick(w.now))
			if next, ok := w.queries[query].q.NextTick(); ok && !next.After(w.now) {
				w.t.Fatalf("NextTick is not in the future after Tick at %v", w.now)
			}
		default:
			return
		}
	}
}

func (w *world) reply(query int, r ShardReply) {
	qt := w.queries[query]
	if n := int(r.Attempt); r.Request == qt.req.ID && n >= 1 && n <= len(qt.sends) && qt.finish == nil {
		at := qt.sends[n-1]
		if !at.ended && at.send.Shard == r.Shard && at.send.Snapshot == r.Snapshot {
			at.ended = true
			qt.answered[shardOf{r.Snapshot, r.Shard}] = r.Status == StatusOK
		}
	}
	w.act(query, qt.q.Reply(w.now, r))
}

// checkSend holds for every attempt.
func (w *world) checkSend(qt *queryTruth, s *Send) {
	sh := w.upstream.snapshot(s.Snapshot).shard(s.Shard, 0)
	if !slices.ContainsFunc(sh.Replicas, func(r Replica) bool { return r.Usable && r.Searcher == s.Searcher }) {
		w.t.Fatalf("%+v goes to a searcher that is not usable", s)
	}
	if s.Request != qt.req.ID || int(s.Attempt) != len(qt.sends)+1 ||
		!s.Deadline.After(w.now) || s.Deadline.After(qt.req.Deadline) {
		w.t.Fatalf("%+v does not fit request %+v", s, qt.req)
	}
	for _, p := range qt.sends {
		same := p.send.Shard == s.Shard && p.send.Snapshot == s.Snapshot
		if same && p.send.Searcher == s.Searcher {
			w.t.Fatalf("%+v repeats attempt %d", s, p.send.Attempt)
		}
		if (p.send.Canary || p.send.Exclusive || s.Exclusive) && !p.ended {
			w.t.Fatalf("%+v is sent while unproven attempt %d is in flight", s, p.send.Attempt)
		}
		if qt.req.Operation == OperationExecute && (!p.ended || p.fate.ran()) {
			w.t.Fatalf("%+v may run a second time", s)
		}
		crashed := p.fate.status == StatusCrashed && p.ended && !p.cancel
		if crashed || p.send.Exclusive && (p.cancel || p.fate.ran() && p.fate.status != StatusOK) {
			w.t.Fatalf("%+v is sent after a crash or a failed exclusive run", s)
		}
	}
}

// checkFinish compares a finished query with what really happened.
func (w *world) checkFinish(qt *queryTruth) {
	if qt.finish == nil || qt.finishAt.After(qt.req.Deadline) {
		w.t.Fatalf("request %s has no Finish by its deadline", qt.req.ID)
	}
	if late := append(qt.q.Tick(w.now.Add(time.Hour)), qt.q.Abandon(w.now)...); len(late) > 0 {
		w.t.Fatalf("actions %v after Finish", late)
	}
	ran := 0
	for _, at := range qt.sends {
		if at.fate.ran() {
			ran++
		}
		if !at.ended {
			w.t.Fatalf("attempt %d is neither answered nor cancelled", at.send.Attempt)
		}
	}
	if qt.req.Operation == OperationExecute && ran > 1 {
		w.t.Fatalf("request %s ran %d times", qt.req.ID, ran)
	}
	if r := qt.finish.Refusal; r != nil {
		if r.Outcome == ident.OutcomeRan || r.Outcome == ident.OutcomeNotRun && ran > 0 || qt.finish.Answer != nil {
			w.t.Fatalf("refusal %+v after %d runs", r, ran)
		}
		return
	}
	if qt.req.Operation == OperationExecute {
		if got := string(qt.finish.Answer.Body); got != string(qt.req.ID) {
			w.t.Fatalf("request %s got the answer of %q", qt.req.ID, got)
		}
		return
	}
	w.checkAnswer(qt, qt.finish.Answer)
}

func (w *world) checkAnswer(qt *queryTruth, got *Answer) {
	want := &Answer{Request: qt.req.ID, Outcome: ident.OutcomeRan, Snapshot: got.Snapshot}
	var covered [][]Hit
	for _, s := range w.full.snapshot(got.Snapshot).Shards {
		want.Coverage.ShardsTotal++
		want.Coverage.DocumentsTotal += s.Documents
		if !qt.answered[shardOf{got.Snapshot, s.ID}] {
			m := MissingShard{Shard: s.ID, Reason: "any but none"}
			if n := len(want.Coverage.Missing); n < len(got.Coverage.Missing) && got.Coverage.Missing[n].Reason != "" {
				m.Reason = got.Coverage.Missing[n].Reason
			}
			want.Coverage.Missing = append(want.Coverage.Missing, m)
			continue
		}
		covered = append(covered, shardHits(got.Snapshot, s.ID))
		want.Coverage.ShardsAnswered++
		want.Coverage.DocumentsAnswered += s.Documents
	}
	want.Hits = Sequential(covered, qt.req.Limit)
	if diff := cmp.Diff(want, got); diff != "" {
		w.t.Fatalf("answer differs from the sequential one (-want +got):\n%s", diff)
	}
	if got.Coverage.Fraction() < qt.req.MinCoverage {
		w.t.Fatalf("coverage %v is below %v", got.Coverage.Fraction(), qt.req.MinCoverage)
	}
}

func search(id string, timeout time.Duration) Request {
	return Request{
		ID: ident.RequestID(id), Upstream: "u", Operation: OperationSearch, Deadline: epoch.Add(timeout), Limit: 10,
		Fingerprint: NewFingerprint("u", OperationSearch, []byte(id)),
	}
}
