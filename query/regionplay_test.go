package query

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fulmarfall/ident"
	"fulmarfall/searcher"
)

// The searches of the deployment of a zonePlay: 36 shards with a searcher of 4 slots in each region.
const (
	regionShards      = 36
	regionCopies      = 3
	regionSlots       = 4
	regionQueue       = 16 // requests that wait at a searcher
	regionConnections = 40 // that a searcher accepts
	regionConnQueue   = 8
	regionSlack       = 160 // of the retry budget
	regionNodes       = 24  // entry VMs that the directory names
	regionBytes       = 2 << 10
	regionAbandon     = 250 * time.Millisecond // for which a cancelled attempt keeps its connection
	regionCallerTime  = 12 * time.Millisecond  // that passes outside the entry VM
)

// searchKind is a kind of search.
type searchKind struct {
	name           string
	perSecond      float64
	work           time.Duration
	target         time.Duration
	deadline       time.Duration
	coverage       float64
	requests       int
	inTime, late   int
	missing        int
	worth          float64
	times          []time.Duration // of answers
	hedges, remote int
	retries, sends int
}

// regionPlay plays searches over all shards in virtual time.
type regionPlay struct {
	rnd       *rand.Rand
	now       time.Time
	events    limitEvents
	seq       int
	nodes     []*regionNode
	searchers map[ident.SearcherID]*regionSearcher
	upstream  *Upstream
	kinds     []*searchKind
	end       time.Duration
	// slowdown is the factor on the work of a searcher, 0 if it answers nothing. down is set while it takes no connections.
	slowdown func(since time.Duration, shard, copy int) float64
	down     func(since time.Duration, shard, copy int) bool
	surge    func(since time.Duration) float64
	noPauses bool

	regionBytes, rejected, noConnection, unanswered, remoteFirst int
}

type regionNode struct {
	region   int
	planner  *Planner
	limiters map[ident.SearcherID]*searcher.ConnectionLimiter
	waiting  map[uint64]func()
	next     uint64
}

type regionSearcher struct {
	shard, copy int
	running     int
	queue       []func()
	offset      time.Duration
}

func regionName(i int) ident.Region { return ident.Region(fmt.Sprintf("r%d", i%regionCopies)) }

func newRegionPlay(seed uint64, load float64, opts ...Option) *regionPlay {
	w := &regionPlay{
		rnd: rand.New(rand.NewPCG(seed, 5)), now: epoch, searchers: map[ident.SearcherID]*regionSearcher{}, end: 24 * time.Second,
		upstream: &Upstream{Snapshots: []Snapshot{{ID: 1}}},
		slowdown: func(time.Duration, int, int) float64 { return 1 },
		down:     func(time.Duration, int, int) bool { return false },
		surge:    func(time.Duration) float64 { return 1 },
		kinds: []*searchKind{
			{name: "history", perSecond: 72 * load, work: 28 * time.Millisecond, target: 400 * time.Millisecond, deadline: 4 * time.Second, coverage: 0.94},
			{name: "peek", perSecond: 24 * load, work: 9200 * time.Microsecond, target: 150 * time.Millisecond, deadline: 1500 * time.Millisecond, coverage: 0.85},
		},
	}

	for s := range regionShards {
		shard := Shard{ID: ident.ShardID(fmt.Sprintf("s%d", s)), Documents: 1}

		for c := range regionCopies {
			id := ident.SearcherID(fmt.Sprintf("s%d-%d", s, c))
			w.searchers[id] = &regionSearcher{shard: s, copy: c, offset: time.Duration(w.rnd.Int64N(int64(zonePauseEvery)))}
			shard.Replicas = append(shard.Replicas, Replica{
				Searcher: id, FailureDomain: ident.FailureDomain(regionName(c)), Region: regionName(c), Usable: true, Slots: regionSlots, Born: 1,
			})
		}

		w.upstream.Snapshots[0].Shards = append(w.upstream.Snapshots[0].Shards, shard)
	}

	for i := range regionNodes {
		p := NewPlanner(append([]Option{
			WithNode(ident.NodeID(fmt.Sprintf("n%d", i)), ident.FailureDomain(regionName(i)), regionName(i)),
			WithDirectSends(0.17, 8, 10*time.Second), WithMargin(DirectMargin), WithHedgeQuantile(DirectHedgeQuantile),
			WithRandom(rand.NewPCG(w.rnd.Uint64(), 2)),
		}, opts...)...)
		p.TuneDirectBudget(0.17, NewBudgetShare(regionSlack, 1.0/regionNodes, 80))
		w.nodes = append(w.nodes, &regionNode{region: i % regionCopies, planner: p, limiters: map[ident.SearcherID]*searcher.ConnectionLimiter{}, waiting: map[uint64]func(){}})
	}

	return w
}

func (w *regionPlay) at(at time.Time, run func()) {
	w.seq++
	heap.Push(&w.events, limitEvent{at: at, seq: w.seq, run: run})
}

func (w *regionPlay) run() {
	for _, k := range w.kinds {
		for _, n := range w.nodes {
			w.at(w.now, func() { w.callers(k, n) })
		}
	}

	for w.events.Len() > 0 {
		e, ok := heap.Pop(&w.events).(limitEvent)
		if !ok {
			break
		}

		w.now = e.at
		e.run()
	}
}

func (w *regionPlay) callers(k *searchKind, n *regionNode) {
	since := w.now.Sub(epoch)
	if since >= w.end {
		return
	}

	const headroom = 4

	peak := k.perSecond / regionNodes * headroom
	phase := 2 * math.Pi * (float64(since)/float64(zoneSwingPeriod) + float64(n.region)/regionCopies)

	if w.rnd.Float64() < (1+zoneSwing*math.Sin(phase))*w.surge(since)/headroom {
		(&regionRequest{w: w, n: n, k: k, started: w.now, counted: since >= 2*time.Second}).start()
	}

	w.at(w.now.Add(time.Duration(w.rnd.ExpFloat64()/peak*float64(time.Second))), func() { w.callers(k, n) })
}

func (w *regionPlay) worth() float64 {
	worth, requests := 0.0, 0
	for _, k := range w.kinds {
		worth += k.worth
		requests += k.requests
	}

	return worth / float64(max(requests, 1))
}

func (w *regionPlay) String() string {
	text := ""

	for _, k := range w.kinds {
		n := float64(max(k.requests, 1))
		slices.Sort(k.times)
		median := k.times[len(k.times)/2].Milliseconds()
		text += fmt.Sprintf("%s: %d, median %d ms, in time %.3f, late %.3f, unserved %.3f, missing %.2f, worth %.3f; sends %.1f, hedges %.2f, retries %.2f, remote %.2f | ",
			k.name, k.requests, median, float64(k.inTime)/n, float64(k.late)/n, 1-float64(k.inTime+k.late)/n, float64(k.missing)/n, k.worth/n,
			float64(k.sends)/n, float64(k.hedges)/n, float64(k.retries)/n, float64(k.remote)/n)
	}

	return fmt.Sprintf("worth %.4f %sremote first %d, MB between regions %d, rejected %d, no connection %d", w.worth(), text, w.remoteFirst, w.regionBytes>>20, w.rejected, w.noConnection)
}

type regionAttempt struct {
	send             *Send
	sent             time.Time
	connection       bool
	ended, cancelled bool
	id               uint64
}

type regionRequest struct {
	w        *regionPlay
	n        *regionNode
	k        *searchKind
	q        *Query
	started  time.Time
	counted  bool
	finished bool
	attempts []*regionAttempt
}

func (r *regionRequest) start() {
	w := r.w
	if r.counted {
		r.k.requests++
	}

	var actions []Action

	r.q, actions = r.n.planner.Start(w.now, Request{
		ID: ident.RequestID(fmt.Sprintf("q%d", w.seq)), Upstream: ident.UpstreamID(r.k.name), Operation: OperationSearch, Deadline: w.now.Add(r.k.deadline),
		Target: w.now.Add(r.k.target - zoneCallerTime), MinCoverage: r.k.coverage, MaxAttempts: 3, Parts: true,
	}, fixedCatalog{w.upstream})
	r.apply(actions)
}

func (r *regionRequest) apply(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *Send:
			r.send(a)
		case *Cancel:
			r.cancel(r.attempts[a.Attempt-1])
		case *Finish:
			r.finish(a)
		}
	}

	if at, ok := r.q.NextTick(); ok && !r.finished {
		r.w.at(at, func() {
			if next, ok := r.q.NextTick(); ok && !r.finished && !r.w.now.Before(next) {
				r.apply(r.q.Tick(r.w.now))
			}
		})
	}
}

func (r *regionRequest) finish(f *Finish) {
	r.finished = true
	for _, a := range r.attempts {
		r.cancel(a)
	}

	if f.Answer == nil || !r.counted {
		return
	}

	c := f.Answer.Coverage
	worth := math.Pow(float64(c.ShardsAnswered)/float64(c.ShardsTotal), 2)

	if r.w.now.Sub(r.started) <= r.k.target-regionCallerTime {
		r.k.inTime++
	} else {
		r.k.late++
		worth *= zoneLateWorth
	}

	r.k.times = append(r.k.times, r.w.now.Sub(r.started))
	r.k.missing += len(c.Missing)
	r.k.worth += worth
}

// cancel withdraws an attempt that waits for its connection, and ends another one after a while.
func (r *regionRequest) cancel(a *regionAttempt) {
	if a.ended || a.cancelled {
		return
	}

	a.cancelled = true

	if !a.connection {
		if r.n.limiters[a.send.Searcher].Cancel(a.id) {
			delete(r.n.waiting, a.id)
		}

		a.ended = true
		r.n.planner.AttemptEnded(r.w.now, a.send.Searcher, a.sent, ResultUnused)

		return
	}

	r.w.at(r.w.now.Add(regionAbandon), func() { r.end(a, ShardReply{Status: StatusLost, Sent: true}, ResultLost) })
}

func (r *regionRequest) end(a *regionAttempt, reply ShardReply, result AttemptResult) {
	if a.ended {
		return
	}

	a.ended = true
	r.n.planner.AttemptEnded(r.w.now, a.send.Searcher, a.sent, result)

	if a.connection {
		if id, ok := r.n.limiters[a.send.Searcher].Release(); ok {
			run := r.n.waiting[id]
			delete(r.n.waiting, id)
			run()
		}
	}

	if !r.finished && !a.cancelled {
		s := a.send
		reply.Request, reply.Attempt, reply.Shard, reply.Snapshot = s.Request, s.Attempt, s.Shard, s.Snapshot
		r.apply(r.q.Reply(r.w.now, reply))
	}
}

func (r *regionRequest) send(s *Send) {
	w := r.w
	a := &regionAttempt{send: s, sent: w.now}
	r.attempts = append(r.attempts, a)

	l := r.n.limiters[s.Searcher]
	if l == nil {
		l = searcher.NewConnectionLimiter(searcher.ConnectionShare(regionConnections, 1.0/regionNodes), regionConnQueue)
		r.n.limiters[s.Searcher] = l
	}

	r.n.next++
	a.id = r.n.next
	verdict, displaced := l.Acquire(searcher.ConnectionRequest{ID: a.id, Deadline: s.Deadline, MayQueue: s.Essential || s.ConnectionWait > 0})

	if displaced != 0 {
		delete(r.n.waiting, displaced) // its request goes on without the shard
	}

	switch verdict {
	case searcher.ConnectionGranted:
		r.transmit(a)
	case searcher.ConnectionQueued:
		r.n.waiting[a.id] = func() { r.transmit(a) }

		if s.Essential {
			break
		}

		w.at(w.now.Add(s.ConnectionWait), func() {
			if !a.connection && !a.ended && l.Cancel(a.id) {
				delete(r.n.waiting, a.id)
				w.noConnection++
				r.end(a, ShardReply{Status: StatusNotStarted, Reason: ident.ReasonOverloaded}, ResultUnused)
			}
		})
	case searcher.ConnectionRefused:
		w.noConnection++
		w.at(w.now, func() { r.end(a, ShardReply{Status: StatusNotStarted, Reason: ident.ReasonOverloaded}, ResultUnused) })
	}
}

func (r *regionRequest) transmit(a *regionAttempt) {
	w, s := r.w, a.send
	a.connection = true
	target := w.searchers[s.Searcher]

	hop := zoneHopNear
	if target.copy != r.n.region {
		hop = zoneHopFar
		w.regionBytes += regionBytes
	}

	if r.counted {
		r.k.sends++

		switch {
		case s.Hedge:
			r.k.hedges++
		case s.Retry:
			r.k.retries++
		case target.copy != r.n.region:
			w.remoteFirst++
		}

		if target.copy != r.n.region {
			r.k.remote++
		}
	}

	if w.down(w.now.Sub(epoch), target.shard, target.copy) {
		w.at(w.now.Add(2*hop), func() {
			r.end(a, ShardReply{Status: StatusNotStarted, Reason: ident.ReasonUnreachable}, ResultNoConnection)
		})

		return
	}

	w.at(w.now.Add(hop), func() {
		target.submit(w, r.k.work, func(reply ShardReply) {
			w.at(w.now.Add(hop), func() { r.end(a, reply, ResultAnswered) })
		})
	})
}

func (s *regionSearcher) submit(w *regionPlay, work time.Duration, done func(ShardReply)) {
	factor := w.slowdown(w.now.Sub(epoch), s.shard, s.copy)
	if factor == 0 {
		w.unanswered++
		return // the attempt is lost
	}

	run := func() {
		s.running++
		end := w.now.Add(time.Duration(float64(work) * factor * math.Exp(zoneWorkSigma*w.rnd.NormFloat64())))

		if into := (end.Sub(epoch) + s.offset) % zonePauseEvery; into < zonePause && !w.noPauses {
			end = end.Add(zonePause - into)
		}

		w.at(end, func() {
			s.running--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}

			done(ShardReply{Status: StatusOK, Sent: true})
		})
	}

	switch {
	case s.running < regionSlots:
		run()
	case len(s.queue) < regionQueue:
		s.queue = append(s.queue, run)
	default:
		w.rejected++
		done(ShardReply{Status: StatusNotStarted, Reason: ident.ReasonShed, Sent: true})
	}
}

func during(since, from, until time.Duration) bool { return since >= from && since < until }

// regionLoads are the loads of the searches. worth is what callers got from the code before zones were weighed (seeds 1 to 3), which
// deployments must keep within regionTolerance.
var regionLoads = map[string]struct {
	worth float64
	play  func(seed uint64) *regionPlay
}{
	"calm": {0.9994, func(seed uint64) *regionPlay { return newRegionPlay(seed, 1) }},
	"15 of 100 searchers 8 to 12 times slower for 8 s": {0.9987, func(seed uint64) *regionPlay {
		w := newRegionPlay(seed, 1)
		w.slowdown = func(since time.Duration, shard, copy int) float64 {
			if x := (shard*7 + copy*31) % 100; x < 15 && during(since, 6*time.Second, 14*time.Second) {
				return 8 + float64(x%5)
			}
			return 1
		}

		return w
	}},
	"15 of 100 searchers mute for 8 s": {0.9982, func(seed uint64) *regionPlay {
		w := newRegionPlay(seed, 1)
		w.slowdown = func(since time.Duration, shard, copy int) float64 {
			if x := (shard*7 + copy*31) % 100; x < 15 && during(since, 6*time.Second, 14*time.Second) {
				return 0
			}
			return 1
		}

		return w
	}},
	"all searchers of one shard down for 8 s": {0.979, func(seed uint64) *regionPlay {
		w := newRegionPlay(seed, 1)
		w.down = func(since time.Duration, shard, _ int) bool {
			return shard == 3 && during(since, 6*time.Second, 14*time.Second)
		}

		return w
	}},
	"two shards with slow searchers only for 8 s": {0.9556, func(seed uint64) *regionPlay {
		w := newRegionPlay(seed, 1)
		w.slowdown = func(since time.Duration, shard, _ int) float64 {
			if shard%18 == 3 && during(since, 6*time.Second, 14*time.Second) {
				return 10
			}
			return 1
		}

		return w
	}},
	"burst of 2 times for 5 s": {0.9988, func(seed uint64) *regionPlay {
		w := newRegionPlay(seed, 1)
		w.surge = func(since time.Duration) float64 {
			if during(since, 6*time.Second, 11*time.Second) {
				return 2
			}
			return 1
		}

		return w
	}},
}

// regionTolerance is how far the worth of a deployment may fall.
const regionTolerance = 0.03

// Guards against callers that are served worse than before zones were weighed.
func TestRegionLoads(t *testing.T) {
	for name, load := range regionLoads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			w := load.play(1)
			w.run()
			t.Logf("%v", w)

			if got := w.worth(); got < load.worth-regionTolerance {
				t.Errorf("worth %.4f, %.4f before", got, load.worth)
			}
		})
	}
}

// Guards against requests that leave the region while its searchers suffice: searchers in other regions seemed faster than the
// network, because the average of their latency decayed to zero, and because of the short age of cancelled hedges.
func TestRegionSuffices(t *testing.T) {
	const maxShare = 0.01 // of the first attempts

	w := newRegionPlay(1, 1)
	w.noPauses = true
	w.run()
	t.Logf("%v", w)

	first := 0
	for _, k := range w.kinds {
		first += k.sends - k.hedges - k.retries
	}

	if share := float64(w.remoteFirst) / float64(first); share > maxShare {
		t.Errorf("%.3f of the first attempts left the region, want at most %v", share, maxShare)
	}
}
