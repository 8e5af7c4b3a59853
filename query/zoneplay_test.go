package query

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"fulmarfall/ident"
)

// The deployment of a zonePlay: 6 zones in 3 regions, 80 entry VMs of which the directory names a few per zone to callers, and 27
// searchers with 3 slots for requests to one searcher.
const (
	zoneCount        = 6
	zoneRegions      = 3
	zoneSearchers    = 27
	zoneSlots        = 3
	zoneQueue        = 12 // requests that wait at a searcher
	zoneWork         = 220 * time.Millisecond
	zoneWorkSigma    = 0.35
	zoneTarget       = time.Second
	zoneDeadline     = 15 * time.Second
	zoneCallerTime   = 22 * time.Millisecond
	zoneHopNear      = 500 * time.Microsecond
	zoneHopRegion    = 3500 * time.Microsecond
	zoneHopFar       = 12 * time.Millisecond
	zonePause        = 300 * time.Millisecond
	zonePauseEvery   = 7500 * time.Millisecond
	zoneSwing        = 0.55
	zoneSwingPeriod  = 15 * time.Second
	zoneBytes        = 30 << 10 // of a request and its answer
	zoneQuarter      = zoneTarget / 4
	zoneRetryHalving = 0.5 // worth of an answer in time to the second try
	zoneLateWorth    = 0.1
)

// zonePlay plays the requests to one searcher of a deployment in virtual time.
type zonePlay struct {
	playLoop

	rnd       *rand.Rand
	nodes     []*zoneNode
	searchers map[ident.SearcherID]*zoneSearcher
	upstream  *Upstream
	before    bool // requests do not wait at the entry VM
	end       time.Duration
	// perSecond is the mean rate of each zone, surge a factor on it, slowdown one on the work of a searcher.
	perSecond float64
	surge     func(since time.Duration, zone int) float64
	slowdown  func(since time.Duration, searcher int) float64

	zoneReport
}

// zoneReport is what the callers and the searchers got.
type zoneReport struct {
	requests, inTime, inTimeRetry, late, refused, expired int
	slowRefusals                                          int // after more than a quarter of the target
	sent, rejected, hedges, retries                       int
	zoneBytes, regionBytes                                int
	worth                                                 float64
}

func (r *zoneReport) String() string {
	n := float64(max(r.requests, 1))

	return fmt.Sprintf("%d requests: in time %.3f, at the second try %.3f, late %.3f, unserved %.3f (refused late %.3f); worth %.3f; sends %.2f, rejected %.2f, hedges %.2f, retries %.2f; MB between zones %d, regions %d",
		r.requests, float64(r.inTime)/n, float64(r.inTimeRetry)/n, float64(r.late)/n, float64(r.refused+r.expired)/n, float64(r.slowRefusals)/n, r.worth/n,
		float64(r.sent)/n, float64(r.rejected)/n, float64(r.hedges)/n, float64(r.retries)/n, r.zoneBytes>>20, r.regionBytes>>20)
}

func (r *zoneReport) unserved() float64 {
	return float64(r.refused+r.expired) / float64(max(r.requests, 1))
}
func (r *zoneReport) meanWorth() float64 { return r.worth / float64(max(r.requests, 1)) }

type zoneNode struct {
	zone    int
	planner *Planner
}

type zoneSearcher struct {
	index, zone int
	running     int
	queue       []func(start time.Time)
	offset      time.Duration
}

func zoneName(i int) ident.FailureDomain { return ident.FailureDomain(fmt.Sprintf("z%d", i)) }
func zoneRegion(zone int) ident.Region   { return ident.Region(fmt.Sprintf("r%d", zone%zoneRegions)) }

func newZonePlay(seed uint64, perZone int, perSecond float64) *zonePlay {
	w := &zonePlay{
		playLoop: playLoop{now: epoch}, rnd: rand.New(rand.NewPCG(seed, 3)), searchers: map[ident.SearcherID]*zoneSearcher{}, end: 36 * time.Second, perSecond: perSecond,
		surge:    func(time.Duration, int) float64 { return 1 },
		slowdown: func(time.Duration, int) float64 { return 1 },
	}
	shard := Shard{ID: "statements", Documents: 1}

	for i := range zoneSearchers {
		zone := i % zoneCount
		id := ident.SearcherID(fmt.Sprintf("w%d", i))
		w.searchers[id] = &zoneSearcher{index: i, zone: zone, offset: time.Duration(w.rnd.Int64N(int64(zonePauseEvery)))}
		shard.Replicas = append(shard.Replicas, Replica{
			Searcher: id, FailureDomain: zoneName(zone), Region: zoneRegion(zone), Usable: true, Slots: zoneSlots, Born: 1,
		})
	}

	w.upstream = &Upstream{Snapshots: []Snapshot{{ID: 1, Shards: []Shard{shard}}}}

	nodes := zoneCount * perZone
	for i := range nodes {
		zone := i % zoneCount
		p := NewPlanner(WithNode(ident.NodeID(fmt.Sprintf("n%d", i)), zoneName(zone), zoneRegion(zone)),
			WithDirectSends(0.17, 8, 10*time.Second), WithMargin(DirectMargin), WithHedgeQuantile(DirectHedgeQuantile),
			WithHopTimes(HopTimes{Near: zoneHopNear, Region: zoneHopRegion, Far: zoneHopFar}),
			WithRandom(rand.NewPCG(w.rnd.Uint64(), 2)))
		p.TuneDirectBudget(0.17, NewBudgetShare(50, 1/float64(nodes), 80))
		w.nodes = append(w.nodes, &zoneNode{zone: zone, planner: p})
	}

	return w
}

func (w *zonePlay) run() *zoneReport {
	for zone := range zoneCount {
		w.at(w.now, func() { w.callers(zone) })
	}

	w.drain(time.Hour)

	return &w.zoneReport
}

// callers starts the requests of a zone, whose demand swings at its own phase.
func (w *zonePlay) callers(zone int) {
	since := w.now.Sub(epoch)
	if since >= w.end {
		return
	}

	phase := 2 * math.Pi * (float64(since)/float64(zoneSwingPeriod) + float64(zone)/zoneCount)
	peak := w.perSecond * (1 + zoneSwing) * 4

	if rate := w.perSecond * (1 + zoneSwing*math.Sin(phase)) * w.surge(since, zone); w.rnd.Float64() < rate/peak {
		w.requests++
		r := &zoneRequest{w: w, arrived: w.now}
		r.start(zone)
	}

	w.at(w.now.Add(time.Duration(w.rnd.ExpFloat64()/peak*float64(time.Second))), func() { w.callers(zone) })
}

// zoneRequest is one try of a request.
type zoneRequest struct {
	w        *zonePlay
	n        *zoneNode
	q        *Query
	arrived  time.Time // of the first try
	started  time.Time
	again    bool
	finished bool
	sends    []*Send
	running  int // attempts that a searcher may be at work on
}

func (r *zoneRequest) start(zone int) {
	w := r.w
	r.started = w.now

	var nodes []*zoneNode
	for _, n := range w.nodes {
		if n.zone == zone {
			nodes = append(nodes, n)
		}
	}

	r.n = nodes[w.rnd.IntN(len(nodes))]
	req := Request{
		ID: ident.RequestID(fmt.Sprintf("q%d", w.seq)), Upstream: "route/statements", Operation: OperationSearch, Deadline: r.arrived.Add(zoneDeadline),
		Target: w.now.Add(zoneTarget - zoneCallerTime), MinCoverage: 1, MaxAttempts: 3, Parts: true, Repeated: r.again,
	}

	if !w.before {
		req.LateAt = req.Target
		req.Wake = func() { w.at(w.now, r.tick) }
	}

	var actions []Action

	r.q, actions = r.n.planner.Start(w.now, req, fixedCatalog{w.upstream})
	r.apply(actions)
}

func (r *zoneRequest) tick() {
	if !r.finished {
		r.apply(r.q.Tick(r.w.now))
	}
}

func (r *zoneRequest) apply(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *Send:
			r.send(a)
		case *Cancel:
		case *Finish:
			r.finish(a)
		}
	}

	if at, ok := r.q.NextTick(); ok && !r.finished {
		r.w.at(at, func() {
			if next, ok := r.q.NextTick(); ok && !r.w.now.Before(next) {
				r.tick()
			}
		})
	}
}

func (r *zoneRequest) finish(f *Finish) {
	w := r.w
	r.finished = true
	took := w.now.Sub(r.started)

	switch {
	case f.Answer != nil && took <= zoneTarget-zoneCallerTime && !r.again:
		w.inTime++
		w.worth++
	case f.Answer != nil && took <= zoneTarget-zoneCallerTime:
		w.inTimeRetry++
		w.worth += zoneRetryHalving
	case f.Answer != nil:
		w.late++
		w.worth += zoneLateWorth
	default:
		w.refusal(r, f.Refusal, took)
	}
}

// refusal makes the caller try again once, after the stated time but at most a third of what it has left.
func (w *zonePlay) refusal(r *zoneRequest, f *Refusal, took time.Duration) {
	if took > zoneQuarter || r.running > 0 {
		w.slowRefusals++
	}

	left := r.arrived.Add(zoneDeadline).Sub(w.now)

	switch {
	case r.again || left <= zoneWork:
		w.expired++
	case took > zoneQuarter || r.running > 0:
		w.refused++
	default:
		next := &zoneRequest{w: w, arrived: r.arrived, again: true}
		zone := r.n.zone
		w.at(w.now.Add(min(time.Duration(f.RetryAfter), left/3)+2*time.Millisecond), func() { next.start(zone) })
	}
}

func (r *zoneRequest) send(s *Send) {
	w, sent := r.w, r.w.now
	target := w.searchers[s.Searcher]
	r.sends = append(r.sends, s)
	r.running++
	w.sent++

	switch {
	case s.Hedge:
		w.hedges++
	case s.Retry:
		w.retries++
	}

	hop := zoneHopFar

	switch {
	case target.zone == r.n.zone:
		hop = zoneHopNear
	case zoneRegion(target.zone) == zoneRegion(r.n.zone):
		hop = zoneHopRegion
		w.zoneBytes += zoneBytes
	default:
		w.regionBytes += zoneBytes
	}

	w.at(sent.Add(hop), func() {
		target.submit(w, func(reply ShardReply) {
			w.at(w.now.Add(hop), func() {
				r.running--
				if reply.Reason == ident.ReasonShed {
					w.rejected++
				}

				r.n.planner.AttemptEnded(w.now, s.Searcher, sent, ResultAnswered)

				if !r.finished {
					reply.Request, reply.Attempt, reply.Shard, reply.Snapshot = s.Request, s.Attempt, s.Shard, s.Snapshot
					r.apply(r.q.Reply(w.now, reply))
				}
			})
		})
	})
}

// submit runs a request, queues it while all slots are taken, or rejects it if the queue is full.
func (s *zoneSearcher) submit(w *zonePlay, done func(ShardReply)) {
	run := func(start time.Time) {
		s.running++
		work := float64(zoneWork) * math.Exp(zoneWorkSigma*w.rnd.NormFloat64()) * w.slowdown(w.now.Sub(epoch), s.index)
		end := start.Add(time.Duration(work))

		if into := (end.Sub(epoch) + s.offset) % zonePauseEvery; into < zonePause {
			end = end.Add(zonePause - into)
		}

		w.at(end, func() {
			s.running--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next(w.now)
			}

			done(ShardReply{Status: StatusOK, Sent: true})
		})
	}

	switch {
	case s.running < zoneSlots:
		run(w.now)
	case len(s.queue) < zoneQueue:
		s.queue = append(s.queue, run)
	default:
		done(ShardReply{Status: StatusNotStarted, Reason: ident.ReasonShed, Sent: true})
	}
}

// zoneLoads are the loads of the single-searcher requests. perSecond is the mean of a zone: all searchers together end 368 requests
// per second.
var zoneLoads = map[string]func(seed uint64) *zonePlay{
	"half of the capacity": func(seed uint64) *zonePlay { return newZonePlay(seed, 2, 31) },
	"0.85 of the capacity": func(seed uint64) *zonePlay { return newZonePlay(seed, 2, 52) },
	"1.1 times the capacity": func(seed uint64) *zonePlay {
		w := newZonePlay(seed, 2, 67)
		w.end = 20 * time.Second // many requests wait

		return w
	},
	"0.6 of the capacity, a burst of 2.5 times in two zones for 5 s": func(seed uint64) *zonePlay {
		w := newZonePlay(seed, 2, 37)
		w.surge = func(since time.Duration, zone int) float64 {
			if zone < 2 && since >= 20*time.Second && since < 25*time.Second {
				return 2.5
			}
			return 1
		}

		return w
	},
	"0.6 of the capacity, a burst of 2.5 times everywhere for 5 s": func(seed uint64) *zonePlay {
		w := newZonePlay(seed, 2, 37)
		w.surge = func(since time.Duration, _ int) float64 {
			if since >= 20*time.Second && since < 25*time.Second {
				return 2.5
			}
			return 1
		}

		return w
	},
	"0.7 of the capacity, 4 searchers 8 to 12 times slower for 8 s": func(seed uint64) *zonePlay {
		w := newZonePlay(seed, 2, 43)
		w.slowdown = func(since time.Duration, searcher int) float64 {
			if searcher%7 == 0 && since >= 20*time.Second && since < 28*time.Second {
				return 8 + float64(searcher%5)
			}
			return 1
		}

		return w
	},
}

// Guards against requests with a long deadline that are refused, or sent to be rejected, while a searcher will have room in time;
// and against searchers that receive more requests than without waiting.
func TestWaitingRequests(t *testing.T) {
	for name, load := range zoneLoads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			without := load(1)
			without.before = true
			before, after := without.run(), load(1).run()
			t.Logf("before: %v", before)
			t.Logf("after:  %v", after)

			if after.meanWorth() < before.meanWorth()-0.01 || after.unserved() > before.unserved()+0.005 {
				t.Errorf("worth %.3f, %.3f unserved; without waiting %.3f and %.3f", after.meanWorth(), after.unserved(), before.meanWorth(), before.unserved())
			}

			if after.rejected > before.rejected+after.requests/1000 {
				t.Errorf("%d attempts were rejected, %d without waiting", after.rejected, before.rejected)
			}
		})
	}
}
