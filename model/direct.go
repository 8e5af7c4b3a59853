package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fulmarfall/ident"
	"fulmarfall/query"
)

// Fault names what affects searchers in a DirectExperiment.
type Fault string

// The faults.
const (
	// FaultNone affects none.
	FaultNone Fault = "none"
	// FaultShedding searchers reject a share of what reaches them, at once and not run.
	FaultShedding Fault = "shedding"
	// FaultErrors searchers answer a share of what reaches them with an error, after the work.
	FaultErrors Fault = "errors"
	// FaultSlow searchers work more slowly.
	FaultSlow Fault = "slow"
	// FaultSilent searchers take connections and never answer.
	FaultSilent Fault = "silent"
	// FaultDown searchers refuse connections.
	FaultDown Fault = "down"
)

// Faults lists the faults.
var Faults = []Fault{FaultNone, FaultShedding, FaultErrors, FaultSlow, FaultSilent, FaultDown}

// DirectExperiment configures a run of entry VMs that send to searchers themselves, over one upstream. Zero values of
// the fields below Seed mean the defaults: those of the two sites in docs/platform.md.
type DirectExperiment struct {
	Fault Fault
	// Strength is the share of rejections or errors, or the factor on the work.
	Strength float64
	Seed     uint64

	EntryVMs  int     // with callers
	PerSecond float64 // queries, over all entry VMs
	Shards    int
	Replicas  int // of a shard, one in each region in turn
	// Affected searchers; each shard keeps one that is not affected, as long as there are enough.
	Affected int
	// WholeShards is the number of shards all of whose searchers are affected, instead.
	WholeShards int
}

// DirectPerSecond is the usual rate of queries of a DirectExperiment.
const DirectPerSecond = 180

const (
	directEntryVMs = 6
	directShards   = 10
	directReplicas = 3
	directAffected = 13
	directRegions  = 3
	directSlots    = 2
	directQueue    = 12
	// directWork is the mean time of a run, directSpread its spread (log-normal).
	directWork   = 6 * time.Millisecond
	directSpread = 0.35
	// A searcher stands still for directPause in each directPauseEvery.
	directPause      = 150 * time.Millisecond
	directPauseEvery = 3600 * time.Millisecond
	directFar        = 12 * time.Millisecond // one way between regions
	// directAim is the time after which an answer has a tenth of its worth. Of it, directCallerWay passes before the
	// request is seen and after it is answered: 3 ms each way, for the request and for a new connection before it.
	directAim       = 120 * time.Millisecond
	directCallerWay = 12 * time.Millisecond
	// directTargetMargin is what entry VMs allow for that way and for delays of timers.
	directTargetMargin = 22 * time.Millisecond
	directDeadline     = 1200 * time.Millisecond
	directLateWorth    = 0.1
	directLeast        = 0.89
	directRatio        = 0.2
	directSlack        = 52
	directWindow       = 10 * time.Second
	directLoserGrace   = 250 * time.Millisecond
	directReplyMargin  = 20 * time.Millisecond

	// The run is directStart + directFault + directAfter long; only what comes after directWarm counts.
	directWarm  = 2 * time.Second
	directStart = 6 * time.Second
	directFault = 9 * time.Second
	directAfter = 5 * time.Second
	// directBin is the time over which the share of affected searchers is taken for DirectReport.Recognised.
	directBin = 100 * time.Millisecond
)

// DirectReport is what a run measured. Times are in milliseconds.
type DirectReport struct {
	Before DirectPhase `json:"before"`
	During DirectPhase `json:"during"`
	After  DirectPhase `json:"after"`
	// Recognised is how long after the start of the fault affected searchers get less than half of the first attempts
	// that they got before, and Returned how long after its end they get that again. -1 means never.
	Recognised float64 `json:"recognised_ms"`
	Returned   float64 `json:"returned_ms"`
}

// DirectPhase is the part of a DirectReport for the queries that began before, during or after the fault.
type DirectPhase struct {
	Queries int     `json:"queries"`
	InTime  float64 `json:"in_time"` // share
	Late    float64 `json:"late"`
	Refused float64 `json:"refused"`
	// Missing is the share of shards that answers lack, Worth what callers get: the square of the covered share, a tenth
	// of it when late.
	Missing float64 `json:"missing"`
	Worth   float64 `json:"worth"`
	// Median is the time until the final answer, MedianRefused that until refusals.
	Median        float64 `json:"median_ms"`
	MedianRefused float64 `json:"median_refused_ms"`
	// Extra is the share of further attempts beside the first ones, Rejected that of rejected attempts.
	Extra    float64 `json:"extra"`
	Rejected float64 `json:"rejected"`
}

type directPhase struct {
	queries, inTime, late, refused, shards, missing int
	worth                                           float64
	first, extra, rejected                          int
	answers, refusals                               []time.Duration // times until them
}

// directRun is the state of a run.
type directRun struct {
	*clock
	x        DirectExperiment
	upstream *query.Upstream
	entries  []*query.Planner
	regions  []ident.Region
	servers  map[ident.SearcherID]*directSearcher
	phases   [3]directPhase
	// bins count first attempts, all and those at affected searchers.
	bins [][2]int
}

type directSearcher struct {
	region   ident.Region
	affected bool
	phase    time.Duration // of its pauses
	free     []time.Time   // when each slot is free
	starts   []time.Time   // of the runs that wait
}

// RunDirect plays the experiment in virtual time with the planner of package query.
func RunDirect(x DirectExperiment) DirectReport {
	x.defaults()
	w := newDirectRun(x)
	end := epoch.Add(directStart + directFault + directAfter)
	w.arrive(end)
	w.runUntil(end.Add(2 * directDeadline))

	return w.report()
}

func (x *DirectExperiment) defaults() {
	if x.EntryVMs == 0 {
		x.EntryVMs = directEntryVMs
	}
	if x.PerSecond == 0 {
		x.PerSecond = DirectPerSecond
	}
	if x.Shards == 0 {
		x.Shards = directShards
	}
	if x.Replicas == 0 {
		x.Replicas = directReplicas
	}
	if x.Affected == 0 {
		x.Affected = directAffected
	}
	if x.Strength == 0 {
		x.Strength = map[Fault]float64{FaultShedding: 0.5, FaultErrors: 0.5, FaultSlow: 8}[x.Fault]
	}
}

func newDirectRun(x DirectExperiment) *directRun {
	w := &directRun{
		clock: newClock(x.Seed), x: x, upstream: &query.Upstream{Snapshots: []query.Snapshot{{ID: 1}}},
		servers: map[ident.SearcherID]*directSearcher{},
		bins:    make([][2]int, (directStart+directFault+directAfter)/directBin+1),
	}
	region := func(i int) ident.Region { return ident.Region(fmt.Sprintf("r%d", i%directRegions)) }

	for i := range x.Shards {
		shard := query.Shard{ID: ident.ShardID(fmt.Sprintf("s%d", i)), Documents: 1}
		for r := range x.Replicas {
			id := ident.SearcherID(fmt.Sprintf("s%d-%d", i, r))
			w.servers[id] = &directSearcher{
				region: region(r), affected: x.affects(i, r),
				phase: w.between(0, directPauseEvery), free: make([]time.Time, directSlots),
			}
			shard.Replicas = append(shard.Replicas, query.Replica{
				Searcher: id, FailureDomain: ident.FailureDomain(region(r)), Region: region(r), Usable: true, Slots: directSlots,
			})
		}
		w.upstream.Snapshots[0].Shards = append(w.upstream.Snapshots[0].Shards, shard)
	}

	for i := range x.EntryVMs {
		p := query.NewPlanner(
			query.WithNode(ident.NodeID(fmt.Sprintf("n%d", i)), ident.FailureDomain(region(i)), region(i)),
			query.WithRandom(rand.NewPCG(x.Seed, uint64(i)+2)),
			query.WithDirectSends(directRatio*query.DirectRetryShare, directSlack*query.DirectRetryShare/float64(x.EntryVMs), directWindow),
			query.WithMargin(query.DirectMargin), query.WithHedgeQuantile(query.DirectHedgeQuantile),
		)
		w.entries, w.regions = append(w.entries, p), append(w.regions, region(i))
	}

	return w
}

// affects reports whether the fault affects a searcher.
func (x *DirectExperiment) affects(shard, replica int) bool {
	if x.WholeShards > 0 {
		return shard < x.WholeShards
	}

	return replica < x.Replicas-1 && shard+replica*x.Shards < x.Affected
}

// Upstream implements query.Catalog.
func (w *directRun) Upstream(ident.UpstreamID) *query.Upstream { return w.upstream }

// Standing implements query.Catalog.
func (*directRun) Standing(ident.Fingerprint) (query.Standing, time.Time) {
	return query.StandingNone, time.Time{}
}

// arrive plans the next query.
func (w *directRun) arrive(end time.Time) {
	w.after(w.exponential(w.x.PerSecond), func() {
		if w.now.Before(end) {
			w.begin()
			w.arrive(end)
		}
	})
}

// faulty reports whether the fault acts now.
func (w *directRun) faulty() bool {
	since := w.now.Sub(epoch)

	return w.x.Fault != FaultNone && since >= directStart && since < directStart+directFault
}

// phase returns where a query counts that began at a time, or nil.
func (w *directRun) phase(began time.Time) *directPhase {
	switch since := began.Sub(epoch); {
	case since < directWarm:
		return &directPhase{}
	case since < directStart:
		return &w.phases[0]
	case since < directStart+directFault:
		return &w.phases[1]
	default:
		return &w.phases[2]
	}
}

// directQuery is a query in progress.
type directQuery struct {
	w        *directRun
	p        *query.Planner
	region   ident.Region
	q        *query.Query
	began    time.Time
	timer    timer
	attempts []*directAttempt
	finished bool
}

type directAttempt struct {
	send *query.Send
	sent time.Time
	// lost is set when its answer no longer counts, ended when the searcher is free of it.
	lost, ended bool
}

func (w *directRun) begin() {
	i := w.rand.IntN(len(w.entries))
	d := &directQuery{w: w, p: w.entries[i], region: w.regions[i], began: w.now}
	d.timer = timer{c: w.clock, do: d.tick}

	q, actions := d.p.Start(w.now, query.Request{
		ID: "q", Upstream: "u", Operation: query.OperationSearch, Deadline: w.now.Add(directDeadline),
		Target: w.now.Add(directAim - directTargetMargin), MinCoverage: directLeast, MaxAttempts: 3, Parts: true,
	}, w)
	d.q = q
	d.act(actions)
}

func (d *directQuery) tick() {
	if !d.finished {
		d.act(d.q.Tick(d.w.now))
	}
}

func (d *directQuery) act(actions []query.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *query.Send:
			d.send(a)
		case *query.Cancel:
			d.lose(d.attempts[a.Attempt-1])
		case *query.Finish:
			d.finish(a)
		}
	}

	if !d.finished {
		at, ok := d.q.NextTick()
		d.timer.set(at, ok)
	}
}

func (d *directQuery) finish(f *query.Finish) {
	d.finished = true
	for _, a := range d.attempts {
		d.lose(a)
	}

	ph := d.w.phase(d.began)
	ph.queries++

	if f.Answer == nil {
		ph.refused++
		ph.refusals = append(ph.refusals, d.w.now.Sub(d.began))

		return
	}

	ph.answers = append(ph.answers, d.w.now.Sub(d.began))

	c := f.Answer.Coverage
	worth := math.Pow(float64(c.ShardsAnswered)/float64(c.ShardsTotal), 2)

	if d.w.now.Sub(d.began) <= directAim-directCallerWay {
		ph.inTime++
	} else {
		ph.late++
		worth *= directLateWorth
	}

	ph.worth += worth
	ph.shards += c.ShardsTotal
	ph.missing += len(c.Missing)
}

func (d *directQuery) send(s *query.Send) {
	a := &directAttempt{send: s, sent: d.w.now}
	d.attempts = append(d.attempts, a)
	d.count(a)

	server := d.w.servers[s.Searcher]

	way := linkLatency
	if server.region != d.region {
		way = directFar
	}

	d.w.after(way, func() {
		answerAt, reply := server.take(d.w)
		if answerAt.IsZero() {
			d.w.at(s.Deadline.Add(directReplyMargin), func() {
				d.end(a, query.ShardReply{Status: query.StatusTimedOut, Reason: ident.ReasonDeadline, Sent: true}, query.EndingLost)
			})

			return
		}

		ending := query.EndingAnswered
		if reply.Reason == ident.ReasonUnreachable {
			ending = query.EndingNoConnection
		}

		d.w.at(answerAt.Add(way), func() { d.end(a, reply, ending) })
	})
}

func (d *directQuery) count(a *directAttempt) {
	ph := d.w.phase(d.began)
	if a.send.Hedge || a.send.Retry {
		ph.extra++
		return
	}

	ph.first++

	bin := &d.w.bins[min(int(d.w.now.Sub(epoch)/directBin), len(d.w.bins)-1)]
	bin[0]++

	if d.w.servers[a.send.Searcher].affected {
		bin[1]++
	}
}

// lose lets an attempt go on for a while.
func (d *directQuery) lose(a *directAttempt) {
	if a.lost || a.ended {
		return
	}

	a.lost = true
	d.w.after(directLoserGrace, func() { d.free(a, query.EndingLost) })
}

func (d *directQuery) free(a *directAttempt, e query.Ending) {
	if !a.ended {
		a.ended = true
		d.p.Ended(d.w.now, a.send.Searcher, a.sent, e)
	}
}

func (d *directQuery) end(a *directAttempt, r query.ShardReply, e query.Ending) {
	if a.ended {
		return
	}

	d.free(a, e)

	if r.Reason == ident.ReasonShed {
		d.w.phase(d.began).rejected++
	}

	if d.finished || a.lost {
		return
	}

	r.Request, r.Attempt, r.Shard, r.Snapshot = a.send.Request, a.send.Attempt, a.send.Shard, a.send.Snapshot
	d.act(d.q.Reply(d.w.now, r))
}

// take runs an attempt that arrives now. It returns when the answer leaves, or no time when there is none.
func (s *directSearcher) take(w *directRun) (time.Time, query.ShardReply) {
	fault := FaultNone
	if s.affected && w.faulty() {
		fault = w.x.Fault
	}

	s.starts = slices.DeleteFunc(s.starts, func(t time.Time) bool { return !t.After(w.now) })

	switch {
	case fault == FaultSilent:
		return time.Time{}, query.ShardReply{}
	case fault == FaultDown:
		return w.now, query.ShardReply{Status: query.StatusNotStarted, Reason: ident.ReasonUnreachable}
	case fault == FaultShedding && w.chance(w.x.Strength), len(s.starts) >= directQueue:
		return w.now, query.ShardReply{Status: query.StatusNotStarted, Reason: ident.ReasonShed, Sent: true}
	}

	work := w.logNormal(directWork, directSpread)
	if fault == FaultSlow {
		work = time.Duration(float64(work) * w.x.Strength)
	}

	slot := 0
	for i := range s.free {
		if s.free[i].Before(s.free[slot]) {
			slot = i
		}
	}

	start := w.now
	if s.free[slot].After(start) {
		start = s.free[slot]
		s.starts = append(s.starts, start)
	}

	s.free[slot] = s.through(start, work)

	if fault == FaultErrors && w.chance(w.x.Strength) {
		return s.free[slot], query.ShardReply{Status: query.StatusFailed, Reason: ident.ReasonBadReply, Sent: true}
	}

	return s.free[slot], query.ShardReply{Status: query.StatusOK, Sent: true}
}

// through returns when work that starts at a time is done, with the pauses in between.
func (s *directSearcher) through(start time.Time, work time.Duration) time.Time {
	for {
		in := (start.Sub(epoch) + s.phase) % directPauseEvery
		if in < directPause {
			start = start.Add(directPause - in)
			continue
		}

		if left := directPauseEvery - in; work > left {
			start, work = start.Add(left), work-left
			continue
		}

		return start.Add(work)
	}
}

func (w *directRun) report() DirectReport {
	r := DirectReport{Before: w.phases[0].report(), During: w.phases[1].report(), After: w.phases[2].report(), Recognised: -1, Returned: -1}

	from, to := int(directStart/directBin), int((directStart+directFault)/directBin)
	usual := w.share(int(directWarm/directBin), from)

	const smooth = 3 // bins, so that chance in one of them does not count

	for i := from; i+smooth <= to; i++ {
		if w.share(i, i+smooth) < usual/2 {
			r.Recognised = float64(i-from) * float64(directBin/time.Millisecond)
			break
		}
	}

	for i := to; i+smooth <= len(w.bins); i++ {
		if w.share(i, i+smooth) >= usual/2 {
			r.Returned = float64(i-to) * float64(directBin/time.Millisecond)
			break
		}
	}

	return r
}

// share returns the part of the first attempts in some bins that went to affected searchers.
func (w *directRun) share(from, to int) float64 {
	all, affected := 0, 0
	for _, b := range w.bins[from:to] {
		all, affected = all+b[0], affected+b[1]
	}

	return float64(affected) / float64(max(all, 1))
}

func (p *directPhase) report() DirectPhase {
	n, tried := float64(max(p.queries, 1)), float64(max(p.first, 1))

	return DirectPhase{
		Queries: p.queries, InTime: float64(p.inTime) / n, Late: float64(p.late) / n, Refused: float64(p.refused) / n,
		Median: quantile(p.answers, 0.5), MedianRefused: quantile(p.refusals, 0.5),
		Missing: float64(p.missing) / float64(max(p.shards, 1)), Worth: p.worth / n,
		Extra: float64(p.extra) / tried, Rejected: float64(p.rejected) / tried,
	}
}
