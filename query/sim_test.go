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

type outcome struct {
	status   Status
	reason   ident.Reason
	delay    time.Duration
	lost     bool // the reply never arrives
	copies   int  // additional deliveries of the same reply
	mismatch int  // 1 to 4: the reply has a wrong request, attempt, shard or snapshot; 5: it is delivered to another query
}

// ran reports whether the searcher started to work on the attempt.
func (f outcome) ran() bool {
	return f.status != StatusNotStarted && f.status != StatusSnapshotGone
}

type delivery struct {
	at    time.Time
	query int
	reply ShardReply
}

// enqueue inserts a delivery in time order.
func (sim *simulation) enqueue(d delivery) {
	i, _ := slices.BinarySearchFunc(sim.queue, d, func(a, b delivery) int { return a.at.Compare(b.at) })
	sim.queue = slices.Insert(sim.queue, i, d)
}

// attemptRecord is the actual outcome of one Send.
type attemptRecord struct {
	send      *Send
	outcome   outcome
	ended     bool // a matching reply was delivered, or the attempt was cancelled
	cancelled bool
}

type snapshotShard struct {
	snapshot ident.SnapshotID
	shard    ident.ShardID
}

// queryRecord is what the simulation observed of one query.
type queryRecord struct {
	q        *Query
	req      Request
	sends    []*attemptRecord
	answered map[snapshotShard]bool
	finish   *Finish
	finishAt time.Time
}

// reporter is implemented by both testing.T and rapid.T.
type reporter interface {
	Fatalf(format string, args ...any)
}

// simulation is a simulated upstream in virtual time: a catalog, the data behind it, and the queries in progress.
type simulation struct {
	t             reporter
	now           time.Time
	planner       *Planner
	upstream      *Upstream
	allSnapshots  *Upstream // all snapshots, including those not yet or no longer in the catalog
	standing      Standing
	drawOutcome   func(sim *simulation, s *Send) outcome
	queue         []delivery
	queries       []*queryRecord
	firstAttempts int
	extraAttempts int
	changeCatalog func() // changes the catalog between events
	upcoming      []Snapshot
	dropped       ident.SnapshotID // searchers no longer have snapshots up to this one
}

func (sim *simulation) Upstream(ident.UpstreamID) *Upstream { return sim.upstream }
func (sim *simulation) Standing(ident.Fingerprint) (Standing, time.Time) {
	return sim.standing, sim.now.Add(time.Hour)
}

func newSimulation(t reporter, snapshots, shards, replicas int, opts ...Option) *simulation {
	u := newUpstream(snapshots, shards, replicas)
	return &simulation{
		t: t, now: epoch, upstream: u, allSnapshots: u,
		planner:     NewPlanner(append([]Option{WithNode("n0", "d0", "r0"), WithRandom(rand.NewPCG(7, 7))}, opts...)...),
		drawOutcome: func(*simulation, *Send) outcome { return outcome{status: StatusOK, delay: time.Millisecond} },
	}
}

// newUpstream returns an upstream with snapshots 1 to n. Each later snapshot has one shard more, as after a split.
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

// shardHits returns the hits of a shard in a snapshot, unsorted, with some document ids that also occur in other shards.
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

func (sim *simulation) start(r Request) *queryRecord {
	qr := &queryRecord{req: r, answered: map[snapshotShard]bool{}}
	sim.queries = append(sim.queries, qr)
	q, actions := sim.planner.Start(sim.now, r, sim)
	qr.q = q
	sim.apply(len(sim.queries)-1, actions)

	return qr
}

// runQuery runs one query until it finishes.
func (sim *simulation) runQuery(r Request) *queryRecord {
	qr := sim.start(r)
	sim.run()
	sim.checkFinish(qr)
	return qr
}

// warmUp marks the request as harmless on snapshot 1 and fills the latency histogram with samples of 2 ms.
func (sim *simulation) warmUp(r Request) {
	sim.planner.harmless.add(harmlessKey{fingerprint: r.Fingerprint, snapshot: 1})
	for range minLatencySamples {
		sim.planner.latencyOf(epoch, "u").observe(2 * time.Millisecond)
	}
}

func (sim *simulation) apply(query int, actions []Action) {
	qr := sim.queries[query]
	for _, action := range actions {
		if qr.finish != nil {
			sim.t.Fatalf("action %T after Finish", action)
		}
		switch a := action.(type) {
		case *Send:
			sim.checkSend(qr, a)
			at := &attemptRecord{send: a, outcome: sim.drawOutcome(sim, a)}
			if a.Snapshot <= sim.dropped {
				at.outcome.status, at.outcome.reason = StatusSnapshotGone, ""
			}
			sim.countLoad(qr, at)
			qr.sends = append(qr.sends, at)
			sim.deliver(query, at)
		case *Cancel:
			at := qr.sends[a.Attempt-1]
			if at.ended {
				sim.t.Fatalf("attempt %d cancelled after it ended", a.Attempt)
			}
			at.ended, at.cancelled = true, true
		case *Finish:
			qr.finish, qr.finishAt = a, sim.now
		}
	}
}

// countLoad counts first attempts, and the hedges and retries that need a budget token.
func (sim *simulation) countLoad(qr *queryRecord, at *attemptRecord) {
	if !at.send.Hedge && !at.send.Retry {
		sim.firstAttempts++
		return
	}
	if at.send.Hedge || slices.ContainsFunc(qr.sends, func(p *attemptRecord) bool {
		same := p.send.Shard == at.send.Shard && p.send.Snapshot == at.send.Snapshot
		return same && (p.cancelled || p.outcome.ran() || isLoadRefusal(p.outcome.reason))
	}) {
		sim.extraAttempts++
	}
}

func (sim *simulation) deliver(query int, at *attemptRecord) {
	s, f := at.send, at.outcome
	if f.lost {
		return
	}
	r := ShardReply{Request: s.Request, Attempt: s.Attempt, Shard: s.Shard, Snapshot: s.Snapshot, Status: f.status, Reason: f.reason}
	if f.status == StatusOK {
		r.Hits, r.Body = shardHits(s.Snapshot, s.Shard), []byte(s.Request)
	}
	if f.mismatch == 5 && len(sim.queries) == 1 {
		f.mismatch = 1
	}
	if f.mismatch > 0 {
		r.Hits, r.Body = []Hit{{ID: "wrong", Score: 1e9}}, []byte("wrong")
	}
	switch f.mismatch {
	case 5:
		query = (query + 1) % len(sim.queries)
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
		sim.enqueue(delivery{at: sim.now.Add(f.delay * time.Duration(i+1)), query: query, reply: r})
	}
}

// run advances the simulation until all queries have finished and all replies are delivered.
func (sim *simulation) run() {
	for {
		if sim.changeCatalog != nil {
			sim.changeCatalog()
		}
		at, query := time.Time{}, -1
		for i, qr := range sim.queries {
			if next, ok := qr.q.NextTick(); ok && (query < 0 || next.Before(at)) {
				at, query = next, i
			}
		}
		switch {
		case len(sim.queue) > 0 && (query < 0 || sim.queue[0].at.Before(at)):
			d := sim.queue[0]
			sim.queue = sim.queue[1:]
			sim.now = d.at
			sim.reply(d.query, d.reply)
		case query >= 0:
			if at.After(sim.now) {
				sim.now = at
			}
			sim.apply(query, sim.queries[query].q.Tick(sim.now))
			if next, ok := sim.queries[query].q.NextTick(); ok && !next.After(sim.now) {
				sim.t.Fatalf("NextTick is not in the future after Tick at %v", sim.now)
			}
		default:
			return
		}
	}
}

func (sim *simulation) reply(query int, r ShardReply) {
	qr := sim.queries[query]
	if n := int(r.Attempt); r.Request == qr.req.ID && n >= 1 && n <= len(qr.sends) && qr.finish == nil {
		at := qr.sends[n-1]
		if !at.ended && at.send.Shard == r.Shard && at.send.Snapshot == r.Snapshot {
			at.ended = true
			qr.answered[snapshotShard{r.Snapshot, r.Shard}] = r.Status == StatusOK
		}
	}
	sim.apply(query, qr.q.Reply(sim.now, r))
}

// checkSend checks the invariants of every attempt.
func (sim *simulation) checkSend(qr *queryRecord, s *Send) {
	sh := sim.upstream.snapshot(s.Snapshot).shard(s.Shard, 0)
	if !slices.ContainsFunc(sh.Replicas, func(r Replica) bool { return r.Usable && r.Searcher == s.Searcher }) {
		sim.t.Fatalf("%+v sent to a searcher that is not usable", s)
	}
	if s.Request != qr.req.ID || int(s.Attempt) != len(qr.sends)+1 ||
		!s.Deadline.After(sim.now) || s.Deadline.After(qr.req.Deadline) {
		sim.t.Fatalf("%+v does not match request %+v", s, qr.req)
	}
	for _, p := range qr.sends {
		same := p.send.Shard == s.Shard && p.send.Snapshot == s.Snapshot
		if same && p.send.Searcher == s.Searcher {
			sim.t.Fatalf("%+v repeats attempt %d", s, p.send.Attempt)
		}
		if (p.send.Canary || p.send.Exclusive || s.Exclusive) && !p.ended {
			sim.t.Fatalf("%+v sent while attempt %d is in flight, although one of them must run alone", s, p.send.Attempt)
		}
		if qr.req.Operation == OperationExecute && (!p.ended || p.outcome.ran()) {
			sim.t.Fatalf("%+v may run a second time", s)
		}
		crashed := p.outcome.status == StatusCrashed && p.ended && !p.cancelled
		if crashed || p.send.Exclusive && (p.cancelled || p.outcome.ran() && p.outcome.status != StatusOK) {
			sim.t.Fatalf("%+v sent after a crash or a failed exclusive run", s)
		}
	}
}

// checkFinish compares a finished query with what actually happened.
func (sim *simulation) checkFinish(qr *queryRecord) {
	if qr.finish == nil || qr.finishAt.After(qr.req.Deadline) {
		sim.t.Fatalf("request %s not finished by its deadline", qr.req.ID)
	}
	if late := append(qr.q.Tick(sim.now.Add(time.Hour)), qr.q.Abandon(sim.now)...); len(late) > 0 {
		sim.t.Fatalf("actions %v after Finish", late)
	}
	ran := 0
	for _, at := range qr.sends {
		if at.outcome.ran() {
			ran++
		}
		if !at.ended {
			sim.t.Fatalf("attempt %d neither answered nor cancelled", at.send.Attempt)
		}
	}
	if qr.req.Operation == OperationExecute && ran > 1 {
		sim.t.Fatalf("request %s ran %d times", qr.req.ID, ran)
	}
	if r := qr.finish.Refusal; r != nil {
		if r.Outcome == ident.OutcomeRan || r.Outcome == ident.OutcomeNotRun && ran > 0 || qr.finish.Answer != nil {
			sim.t.Fatalf("refusal %+v after %d runs", r, ran)
		}
		return
	}
	if qr.req.Operation == OperationExecute {
		if got := string(qr.finish.Answer.Body); got != string(qr.req.ID) {
			sim.t.Fatalf("request %s received the answer to %q", qr.req.ID, got)
		}
		return
	}
	sim.checkAnswer(qr, qr.finish.Answer)
}

func (sim *simulation) checkAnswer(qr *queryRecord, got *Answer) {
	want := &Answer{Request: qr.req.ID, Outcome: ident.OutcomeRan, Snapshot: got.Snapshot}
	var covered [][]Hit
	for _, s := range sim.allSnapshots.snapshot(got.Snapshot).Shards {
		want.Coverage.ShardsTotal++
		want.Coverage.DocumentsTotal += s.Documents
		if !qr.answered[snapshotShard{got.Snapshot, s.ID}] {
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
	want.Hits = MergeSequentially(covered, qr.req.Limit)
	if diff := cmp.Diff(want, got); diff != "" {
		sim.t.Fatalf("answer differs from the reference (-want +got):\n%s", diff)
	}
	if got.Coverage.Fraction() < qr.req.MinCoverage {
		sim.t.Fatalf("coverage %v is below %v", got.Coverage.Fraction(), qr.req.MinCoverage)
	}
}

func search(id string, timeout time.Duration) Request {
	return Request{
		ID: ident.RequestID(id), Upstream: "u", Operation: OperationSearch, Deadline: epoch.Add(timeout), Limit: 10,
		Fingerprint: NewFingerprint("u", OperationSearch, []byte(id)),
	}
}
