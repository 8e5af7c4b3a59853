package query

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fulmarfall/ident"
	"fulmarfall/searcher"
)

const (
	limitBound        = 5 * time.Second // time after the first statement from which the rule binds
	limitWindow       = 4 * time.Second
	limitSlack        = 5                      // requests
	limitHeard        = 500 * time.Millisecond // time after which a node has to keep a limit that it was told
	limitPlayTime     = 24 * time.Second
	limitExchange     = 250 * time.Millisecond
	limitShards       = 10
	limitCopies       = 3
	limitWork         = 6 * time.Millisecond
	limitNear         = 1 * time.Millisecond
	limitFar          = 12 * time.Millisecond
	limitPauseEvery   = 3600 * time.Millisecond
	limitPause        = 150 * time.Millisecond
	limitReportExpiry = 2500 * time.Millisecond
)

// limitNode is an entry VM of a limitPlay.
type limitNode struct {
	id      int
	region  ident.Region
	planner *Planner
	// perSecond is the rate of its requests, and cut is set while it reaches no control VM.
	perSecond func(since time.Duration) float64
	cut       func(since time.Duration) bool
	attempts  int
	rate      float64
	reported  float64
	heardAt   time.Time
}

// limitSearcher is a searcher of a limitPlay.
type limitSearcher struct {
	id       ident.SearcherID
	region   ident.Region
	offset   time.Duration // of its pauses
	statedAt time.Time
	arrivals []limitArrival
}

type limitArrival struct {
	at  time.Time
	cut bool // by a node that reaches no control VM
}

// limitPlay plays the load of several nodes on searchers with request limits in virtual time.
type limitPlay struct {
	t         *testing.T
	rnd       *rand.Rand
	nodes     []*limitNode
	searchers map[ident.SearcherID]*limitSearcher
	shared    map[ident.SearcherID]SharedLimit // what the control VMs know
	upstream  *Upstream
	limit     func(since time.Duration, copy int) float64 // 0: none
	failing   float64                                     // fraction of answers that are failures
	coverage  float64
	events    limitEvents
	now       time.Time

	started, answered, refused, missing int
	slowestRefusal                      time.Duration
	wasted                              int // attempts of refused requests
	afterEnd, answeredAfterEnd          int
	end                                 time.Duration
}

type limitEvent struct {
	at  time.Time
	seq int
	run func()
}

type limitEvents []limitEvent

func (e limitEvents) Len() int      { return len(e) }
func (e limitEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e limitEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}

func (e *limitEvents) Push(x any) {
	if ev, ok := x.(limitEvent); ok {
		*e = append(*e, ev)
	}
}

func (e *limitEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]

	return last
}

// playLoop runs the events of a play in virtual time.
type playLoop struct {
	now    time.Time
	events limitEvents
	seq    int
}

func (l *playLoop) at(at time.Time, run func()) {
	l.seq++
	heap.Push(&l.events, limitEvent{at: at, seq: l.seq, run: run})
}

// drain runs the events up to the given time after the start.
func (l *playLoop) drain(until time.Duration) {
	for l.events.Len() > 0 && !l.events[0].at.After(epoch.Add(until)) {
		e, _ := heap.Pop(&l.events).(limitEvent)
		l.now = e.at
		e.run()
	}
}

func (w *limitPlay) at(at time.Time, run func()) {
	heap.Push(&w.events, limitEvent{at: at, seq: w.events.Len() + int(at.UnixNano()%1000), run: run})
}

func (w *limitPlay) since() time.Duration { return w.now.Sub(epoch) }

func newLimitPlay(t *testing.T, seed uint64, nodes, shards int) *limitPlay {
	w := &limitPlay{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), searchers: map[ident.SearcherID]*limitSearcher{}, shared: map[ident.SearcherID]SharedLimit{}, now: epoch, coverage: 0.89,
		upstream: &Upstream{Snapshots: []Snapshot{{ID: 1}}}, end: limitPlayTime,
		limit: func(time.Duration, int) float64 { return 0 },
	}

	for s := range shards {
		shard := Shard{ID: ident.ShardID(fmt.Sprintf("s%d", s)), Documents: 1}

		for c := range limitCopies {
			region := limitRegion(c)
			id := ident.SearcherID(fmt.Sprintf("s%d-%d", s, c))
			w.searchers[id] = &limitSearcher{id: id, region: region, offset: time.Duration(w.rnd.Int64N(int64(limitPauseEvery)))}
			shard.Replicas = append(shard.Replicas, Replica{
				Searcher: id, FailureDomain: ident.FailureDomain(region), Region: region, Usable: true, Slots: 2, Born: 1,
			})
		}

		w.upstream.Snapshots[0].Shards = append(w.upstream.Snapshots[0].Shards, shard)
	}

	for i := range nodes {
		n := &limitNode{
			id: i, region: limitRegion(i),
			perSecond: func(time.Duration) float64 { return 0 }, cut: func(time.Duration) bool { return false },
		}
		n.restart(w)
		w.nodes = append(w.nodes, n)
	}

	return w
}

func limitRegion(i int) ident.Region { return ident.Region(fmt.Sprintf("r%d", i%limitCopies)) }

// restart gives the node a planner that knows nothing.
func (n *limitNode) restart(w *limitPlay) {
	n.planner = NewPlanner(WithNode(ident.NodeID(fmt.Sprintf("n%d", n.id)), ident.FailureDomain(n.region), n.region),
		WithDirectSends(0.17, 8, 10*time.Second), WithMargin(DirectMargin), WithHedgeQuantile(DirectHedgeQuantile),
		WithRandom(rand.NewPCG(w.rnd.Uint64(), 2)))
	n.planner.TuneDirectBudget(0.17, BudgetShare{Slack: 8, Minimum: 1})
	n.rate, n.attempts = 0, 0
	n.hear(w)
	n.planner.SetLimitShares(w.now, searcher.RequestShares(0, n.region, w.loads()), limitReportExpiry)
}

// loads returns what the control VMs know of the loads of the nodes.
func (w *limitPlay) loads() map[ident.Region]searcher.RegionLoad {
	loads := map[ident.Region]searcher.RegionLoad{}
	for c := range limitCopies {
		loads[limitRegion(c)] = searcher.RegionLoad{}
	}

	for _, n := range w.nodes {
		if w.now.Sub(n.heardAt) < limitReportExpiry {
			l := loads[n.region]
			loads[n.region] = searcher.RegionLoad{Nodes: l.Nodes + 1, Load: l.Load + n.reported}
		}
	}

	return loads
}

// share tells the control VMs of the limits that searchers have stated to the node.
func (n *limitNode) share(w *limitPlay) {
	list := n.planner.LimitsToShare(w.now)
	for _, l := range list {
		if l.StatedAt.After(w.shared[l.Searcher].StatedAt) {
			w.shared[l.Searcher] = l
		}
	}

	n.planner.LimitsShared(w.now, list)
}

// hear tells the node of the limits that the control VMs know.
func (n *limitNode) hear(w *limitPlay) {
	for _, l := range w.shared {
		n.planner.ApplySharedLimit(l)
	}
}

func (w *limitPlay) exchange() {
	loads := w.loads()

	for _, n := range w.nodes {
		n.rate += 0.25 * (float64(n.attempts)/limitExchange.Seconds() - n.rate)
		n.attempts = 0

		if !n.cut(w.since()) {
			n.planner.SetLimitShares(w.now, searcher.RequestShares(n.rate, n.region, loads), limitReportExpiry)
			n.reported, n.heardAt = n.rate, w.now
			n.share(w)
			n.hear(w)
		}
	}

	w.at(w.now.Add(limitExchange), w.exchange)
}

// callers starts the requests of a node.
func (w *limitPlay) callers(n *limitNode) {
	wait := 50 * time.Millisecond

	if rate := n.perSecond(w.since()); rate > 0 {
		if gap := time.Duration(w.rnd.ExpFloat64() / rate * float64(time.Second)); gap < wait {
			wait = gap
			w.at(w.now.Add(wait), func() { w.request(n) })
		}
	}

	w.at(w.now.Add(wait), func() { w.callers(n) })
}

// limitRequest is one request in progress.
type limitRequest struct {
	w        *limitPlay
	n        *limitNode
	planner  *Planner
	q        *Query
	started  time.Time
	sends    int
	finished bool
}

func (w *limitPlay) request(n *limitNode) {
	r := &limitRequest{w: w, n: n, planner: n.planner, started: w.now}
	w.started++

	if w.since() >= w.end+2*time.Second {
		w.afterEnd++
	}

	var actions []Action

	r.q, actions = n.planner.Start(w.now, Request{
		ID: ident.RequestID(fmt.Sprintf("q%d", w.started)), Upstream: "u", Operation: OperationSearch, Deadline: w.now.Add(2 * time.Second),
		Target: w.now.Add(100 * time.Millisecond), MinCoverage: w.coverage, MaxAttempts: 2, Parts: true,
	}, fixedCatalog{w.upstream})
	r.apply(actions)
}

func (r *limitRequest) apply(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *Send:
			r.sends++
			r.n.attempts++
			r.send(a)
		case *Cancel:
		case *Finish:
			r.finish(a)
		}
	}

	if at, ok := r.q.NextTick(); ok && !r.finished {
		r.w.at(at, func() {
			if !r.finished && !r.w.now.Before(at) {
				r.apply(r.q.Tick(r.w.now))
			}
		})
	}
}

func (r *limitRequest) finish(f *Finish) {
	r.finished = true

	if f.Answer != nil {
		r.w.answered++
		r.w.missing += len(f.Answer.Coverage.Missing)

		if r.w.since() >= r.w.end+2*time.Second {
			r.w.answeredAfterEnd++
		}

		return
	}

	if f.Refusal.Reason == ident.ReasonLimited {
		// A caller without room is a load, too, that other nodes have to leave room for.
		r.n.attempts += len(r.w.upstream.Snapshots[0].Shards)
		r.w.refused++
		r.w.wasted += r.sends
		r.w.slowestRefusal = max(r.w.slowestRefusal, r.w.now.Sub(r.started))
	}
}

// send delivers an attempt to its searcher and the answer back.
func (r *limitRequest) send(s *Send) {
	w, sent := r.w, r.w.now
	target := w.searchers[s.Searcher]

	reply := answer(s)

	if !r.planner.AdmitSend(sent, s, sent, 1, target.region) {
		reply.Status, reply.Reason, reply.Sent = StatusNotStarted, ident.ReasonLimited, false
		w.at(sent, func() { r.ended(s, sent, reply, ResultUnused) })

		return
	}

	target.arrivals = append(target.arrivals, limitArrival{at: sent, cut: r.n.cut(w.since())})

	hop := limitNear
	if target.region != r.n.region {
		hop = limitFar
	}

	done := sent.Add(hop + limitWork)
	if into := (done.Sub(epoch) + target.offset) % limitPauseEvery; into < limitPause {
		done = done.Add(limitPause - into)
	}

	limit := w.limit(done.Sub(epoch), int(s.Searcher[len(s.Searcher)-1]-'0'))
	if limit > 0 && target.statedAt.IsZero() {
		target.statedAt = done
	}

	if w.rnd.Float64() < w.failing {
		reply.Status, reply.Reason = StatusFailed, ident.ReasonBadReply
	}

	w.at(done.Add(hop), func() {
		if r.planner != r.n.planner {
			return // the node has restarted
		}

		r.planner.RecordLimit(w.now, s.Searcher, 1, searcher.LimitStatement{Limited: limit > 0, PerSecond: ident.RequestRate(limit)}, sent)

		r.ended(s, sent, reply, ResultAnswered)
	})
}

func (r *limitRequest) ended(s *Send, sent time.Time, reply ShardReply, result AttemptResult) {
	r.planner.AttemptEnded(r.w.now, s.Searcher, sent, result)

	if !r.finished {
		r.apply(r.q.Reply(r.w.now, reply))
	}
}

func (w *limitPlay) run(d time.Duration) {
	w.at(w.now, w.exchange)

	for _, n := range w.nodes {
		w.at(w.now, func() { w.callers(n) })
	}

	for w.events.Len() > 0 {
		e, ok := heap.Pop(&w.events).(limitEvent)
		if !ok || e.at.Sub(epoch) > d {
			return
		}

		w.now = e.at
		e.run()
	}
}

// check compares what searchers received with the stated bound. It returns what they received of what their limits allowed,
// without requests of nodes that could not know the shares of the others.
func (w *limitPlay) check() (received, allowed float64) {
	for _, s := range w.searchers {
		if s.statedAt.IsZero() {
			continue
		}

		var (
			from, until = s.statedAt.Add(limitBound), epoch.Add(w.end)
			arrivals    []time.Time
		)

		for _, a := range s.arrivals {
			if a.at.Before(from) || !a.at.Before(until) {
				continue
			}

			arrivals = append(arrivals, a.at)

			if !a.cut {
				received++
			}
		}

		allowed += w.allowed(s, from, until)

		for i, first := range arrivals {
			n := 0
			for _, at := range arrivals[i:] {
				if at.Sub(first) < limitWindow {
					n++
				}
			}

			if bound := 1.5*w.allowed(s, first, first.Add(limitWindow)) + limitSlack; float64(n) > bound {
				w.t.Errorf("%s received %d requests in the %v from %v on, want at most %.1f", s.id, n, limitWindow, first.Sub(epoch), bound)

				break
			}
		}
	}

	if w.slowestRefusal > 0 || w.wasted > 0 {
		w.t.Errorf("requests without room were refused after up to %v and %d attempts, want at once and none", w.slowestRefusal, w.wasted)
	}

	return received, allowed
}

// allowed returns the requests that a searcher takes in a period. A lower limit counts from when nodes have to keep it.
func (w *limitPlay) allowed(s *limitSearcher, from, until time.Time) float64 {
	const step = 10 * time.Millisecond

	sum, steps := 0.0, 0
	c := int(s.id[len(s.id)-1] - '0')

	for at := from; at.Before(until); at = at.Add(step) {
		since := at.Sub(epoch)
		sum += max(w.limit(since, c), w.limit(since-limitHeard, c))
		steps++
	}

	return sum * until.Sub(from).Seconds() / float64(max(steps, 1))
}
