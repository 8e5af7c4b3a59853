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

// Fault names a fault of the affected searchers in a DirectExperiment.
type Fault string

// The faults that a DirectExperiment can inject.
const (
	// FaultNone leaves all searchers healthy.
	FaultNone Fault = "none"
	// FaultShedding makes searchers reject a share of the attempts at once, without running them.
	FaultShedding Fault = "shedding"
	// FaultErrors makes searchers answer a share of the attempts with an error, after the work is done.
	FaultErrors Fault = "errors"
	// FaultSlow multiplies the service times of searchers.
	FaultSlow Fault = "slow"
	// FaultSilent makes searchers accept connections and never answer.
	FaultSilent Fault = "silent"
	// FaultDown makes searchers refuse connections.
	FaultDown Fault = "down"
)

// Faults lists all faults, including FaultNone.
var Faults = []Fault{FaultNone, FaultShedding, FaultErrors, FaultSlow, FaultSilent, FaultDown}

// DirectExperiment configures a run in which entry VMs send directly to the searchers of one upstream. Zero values of
// the fields below Seed mean the defaults, which are those of the two sites in docs/platform.md.
type DirectExperiment struct {
	Fault Fault
	// Strength is the probability of a rejection or an error, or the factor on service times; 0 means the default of
	// the fault.
	Strength float64
	Seed     uint64

	EntryVMs  int     // that receive queries
	PerSecond float64 // query rate over all entry VMs
	Shards    int
	Replicas  int // per shard, assigned to the regions in turn
	// Affected bounds the number of faulty searchers; the last replica of each shard always stays healthy.
	Affected int
	// WholeShards, if positive, overrides Affected: all searchers of that many shards are faulty.
	WholeShards int
}

// DirectPerSecond is the default query rate of a DirectExperiment over all entry VMs.
const DirectPerSecond = 180

const (
	directEntryVMs = 6
	directShards   = 10
	directReplicas = 3
	directAffected = 13
	directRegions  = 3
	directSlots    = 2
	directQueue    = 12
	// Service times are log-normal: directService is their median and directServiceSigma the standard deviation of
	// their logarithm.
	directService      = 6 * time.Millisecond
	directServiceSigma = 0.35
	// Each searcher pauses for directPause once per directPauseInterval.
	directPause         = 150 * time.Millisecond
	directPauseInterval = 3600 * time.Millisecond
	directRegionLatency = 12 * time.Millisecond // one way between regions
	// An answer later than directTarget has a tenth of its worth to the caller. directCallerLatency of that time
	// passes outside the entry VM: 3 ms each way, for the request and for setting up a connection before it.
	directTarget        = 120 * time.Millisecond
	directCallerLatency = 12 * time.Millisecond
	// directTargetMargin is what entry VMs reserve for that latency and for timer delays.
	directTargetMargin = 22 * time.Millisecond
	directDeadline     = 1200 * time.Millisecond
	directLateWorth    = 0.1
	directMinCoverage  = 0.89
	directRetryRatio   = 0.2
	directRetryBurst   = 52
	directRetryWindow  = 10 * time.Second
	directAbandonGrace = 250 * time.Millisecond
	directReplyMargin  = 20 * time.Millisecond

	// The run lasts directFaultStart + directFaultDuration + directRecovery; queries before directWarmup are not
	// counted.
	directWarmup        = 2 * time.Second
	directFaultStart    = 6 * time.Second
	directFaultDuration = 9 * time.Second
	directRecovery      = 5 * time.Second
	// directBin is the interval over which the share of attempts at affected searchers is computed for
	// DirectReport.Recognised.
	directBin = 100 * time.Millisecond
)

// DirectReport is the result of a DirectExperiment. Times are in milliseconds.
type DirectReport struct {
	Before DirectPhase `json:"before"`
	During DirectPhase `json:"during"`
	After  DirectPhase `json:"after"`
	// Recognised is the time from the start of the fault until affected searchers receive less than half of their
	// previous share of first attempts, and Returned the time from its end until they receive that much again. -1
	// means never.
	Recognised float64 `json:"recognised_ms"`
	Returned   float64 `json:"returned_ms"`
}

// DirectPhase covers the queries that started before, during or after the fault.
type DirectPhase struct {
	Queries int     `json:"queries"`
	InTime  float64 `json:"in_time"` // share of the queries, as are Late and Refused
	Late    float64 `json:"late"`
	Refused float64 `json:"refused"`
	// Missing is the share of shards that answers lack. Worth is the mean value of answers to callers: the square of
	// the covered share of shards, reduced to a tenth if late.
	Missing float64 `json:"missing"`
	Worth   float64 `json:"worth"`
	// Median is the median time to the final answer, MedianRefused that to a refusal.
	Median        float64 `json:"median_ms"`
	MedianRefused float64 `json:"median_refused_ms"`
	// Extra is the number of retries and hedges, and Rejected that of rejected attempts, per first attempt.
	Extra    float64 `json:"extra"`
	Rejected float64 `json:"rejected"`
}

type directPhase struct {
	queries, inTime, late, refused, shards, missing int
	worth                                           float64
	first, extra, rejected                          int
	answers, refusals                               []time.Duration // times from the start of the query
}

// directRun is the state of one run.
type directRun struct {
	*clock
	x        DirectExperiment
	upstream *query.Upstream
	entries  []*query.Planner
	regions  []ident.Region
	servers  map[ident.SearcherID]*directSearcher
	phases   [3]directPhase
	// bins counts the first attempts per directBin: all of them, and those at affected searchers.
	bins [][2]int
}

type directSearcher struct {
	region       ident.Region
	affected     bool
	pausePhase   time.Duration // offset of the periodic pauses
	slotFree     []time.Time   // when each slot becomes free
	queuedStarts []time.Time   // start times of the runs in the queue
}

// RunDirect simulates the experiment in virtual time with the planner of package query.
func RunDirect(x DirectExperiment) DirectReport {
	x.defaults()
	w := newDirectRun(x)
	end := epoch.Add(directFaultStart + directFaultDuration + directRecovery)
	w.scheduleArrival(end)
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
		bins:    make([][2]int, (directFaultStart+directFaultDuration+directRecovery)/directBin+1),
	}
	region := func(i int) ident.Region { return ident.Region(fmt.Sprintf("r%d", i%directRegions)) }

	for i := range x.Shards {
		shard := query.Shard{ID: ident.ShardID(fmt.Sprintf("s%d", i)), Documents: 1}
		for r := range x.Replicas {
			id := ident.SearcherID(fmt.Sprintf("s%d-%d", i, r))
			w.servers[id] = &directSearcher{
				region: region(r), affected: x.affects(i, r),
				pausePhase: w.between(0, directPauseInterval), slotFree: make([]time.Time, directSlots),
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
			query.WithDirectSends(directRetryRatio*query.DirectRetryFraction, directRetryBurst*query.DirectRetryFraction/float64(x.EntryVMs), directRetryWindow),
			query.WithMargin(query.DirectMargin), query.WithHedgeQuantile(query.DirectHedgeQuantile),
		)
		w.entries, w.regions = append(w.entries, p), append(w.regions, region(i))
	}

	return w
}

// affects reports whether a searcher is among the faulty ones.
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

// scheduleArrival schedules the next query of a Poisson process that stops at end.
func (w *directRun) scheduleArrival(end time.Time) {
	w.after(w.exponential(w.x.PerSecond), func() {
		if w.now.Before(end) {
			w.startQuery()
			w.scheduleArrival(end)
		}
	})
}

// faultActive reports whether the fault is in effect now.
func (w *directRun) faultActive() bool {
	since := w.now.Sub(epoch)

	return w.x.Fault != FaultNone && since >= directFaultStart && since < directFaultStart+directFaultDuration
}

// phase returns the counters for queries that started at the given time; for the warm-up these are discarded.
func (w *directRun) phase(began time.Time) *directPhase {
	switch since := began.Sub(epoch); {
	case since < directWarmup:
		return &directPhase{}
	case since < directFaultStart:
		return &w.phases[0]
	case since < directFaultStart+directFaultDuration:
		return &w.phases[1]
	default:
		return &w.phases[2]
	}
}

// directQuery is a query in progress.
type directQuery struct {
	w         *directRun
	p         *query.Planner
	region    ident.Region
	q         *query.Query
	startedAt time.Time
	timer     timer
	attempts  []*directAttempt
	finished  bool
}

type directAttempt struct {
	send *query.Send
	sent time.Time
	// abandoned is set once the answer no longer counts, ended once the planner has been notified of the end of the
	// attempt.
	abandoned, ended bool
}

func (w *directRun) startQuery() {
	i := w.rand.IntN(len(w.entries))
	d := &directQuery{w: w, p: w.entries[i], region: w.regions[i], startedAt: w.now}
	d.timer = timer{c: w.clock, do: d.tick}

	q, actions := d.p.Start(w.now, query.Request{
		ID: "q", Upstream: "u", Operation: query.OperationSearch, Deadline: w.now.Add(directDeadline),
		Target: w.now.Add(directTarget - directTargetMargin), MinCoverage: directMinCoverage, MaxAttempts: 3, Parts: true,
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
			d.abandon(d.attempts[a.Attempt-1])
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
		d.abandon(a)
	}

	ph := d.w.phase(d.startedAt)
	ph.queries++

	if f.Answer == nil {
		ph.refused++
		ph.refusals = append(ph.refusals, d.w.now.Sub(d.startedAt))

		return
	}

	ph.answers = append(ph.answers, d.w.now.Sub(d.startedAt))

	c := f.Answer.Coverage
	worth := math.Pow(float64(c.ShardsAnswered)/float64(c.ShardsTotal), 2)

	if d.w.now.Sub(d.startedAt) <= directTarget-directCallerLatency {
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
	d.countAttempt(a)

	server := d.w.servers[s.Searcher]

	latency := linkLatency
	if server.region != d.region {
		latency = directRegionLatency
	}

	d.w.after(latency, func() {
		answerAt, reply := server.submit(d.w)
		if answerAt.IsZero() {
			d.w.at(s.Deadline.Add(directReplyMargin), func() {
				d.end(a, query.ShardReply{Status: query.StatusTimedOut, Reason: ident.ReasonDeadline, Sent: true}, query.ResultLost)
			})

			return
		}

		ending := query.ResultAnswered
		if reply.Reason == ident.ReasonUnreachable {
			ending = query.ResultNoConnection
		}

		d.w.at(answerAt.Add(latency), func() { d.end(a, reply, ending) })
	})
}

func (d *directQuery) countAttempt(a *directAttempt) {
	ph := d.w.phase(d.startedAt)
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

// abandon ignores the answer of an attempt, which stays in flight for directAbandonGrace.
func (d *directQuery) abandon(a *directAttempt) {
	if a.abandoned || a.ended {
		return
	}

	a.abandoned = true
	d.w.after(directAbandonGrace, func() { d.release(a, query.ResultLost) })
}

func (d *directQuery) release(a *directAttempt, e query.AttemptResult) {
	if !a.ended {
		a.ended = true
		d.p.AttemptEnded(d.w.now, a.send.Searcher, a.sent, e)
	}
}

func (d *directQuery) end(a *directAttempt, r query.ShardReply, e query.AttemptResult) {
	if a.ended {
		return
	}

	d.release(a, e)

	if r.Reason == ident.ReasonShed {
		d.w.phase(d.startedAt).rejected++
	}

	if d.finished || a.abandoned {
		return
	}

	r.Request, r.Attempt, r.Shard, r.Snapshot = a.send.Request, a.send.Attempt, a.send.Shard, a.send.Snapshot
	d.act(d.q.Reply(d.w.now, r))
}

// submit runs an attempt that arrives now. It returns the time at which the answer leaves, or the zero time if there
// is none.
func (s *directSearcher) submit(w *directRun) (time.Time, query.ShardReply) {
	fault := FaultNone
	if s.affected && w.faultActive() {
		fault = w.x.Fault
	}

	s.queuedStarts = slices.DeleteFunc(s.queuedStarts, func(t time.Time) bool { return !t.After(w.now) })

	switch {
	case fault == FaultSilent:
		return time.Time{}, query.ShardReply{}
	case fault == FaultDown:
		return w.now, query.ShardReply{Status: query.StatusNotStarted, Reason: ident.ReasonUnreachable}
	case fault == FaultShedding && w.chance(w.x.Strength), len(s.queuedStarts) >= directQueue:
		return w.now, query.ShardReply{Status: query.StatusNotStarted, Reason: ident.ReasonShed, Sent: true}
	}

	work := w.logNormal(directService, directServiceSigma)
	if fault == FaultSlow {
		work = time.Duration(float64(work) * w.x.Strength)
	}

	slot := 0
	for i := range s.slotFree {
		if s.slotFree[i].Before(s.slotFree[slot]) {
			slot = i
		}
	}

	start := w.now
	if s.slotFree[slot].After(start) {
		start = s.slotFree[slot]
		s.queuedStarts = append(s.queuedStarts, start)
	}

	s.slotFree[slot] = s.completionTime(start, work)

	if fault == FaultErrors && w.chance(w.x.Strength) {
		return s.slotFree[slot], query.ShardReply{Status: query.StatusFailed, Reason: ident.ReasonBadReply, Sent: true}
	}

	return s.slotFree[slot], query.ShardReply{Status: query.StatusOK, Sent: true}
}

// completionTime returns when work with the given start is done, including the pauses that interrupt it.
func (s *directSearcher) completionTime(start time.Time, work time.Duration) time.Time {
	for {
		offset := (start.Sub(epoch) + s.pausePhase) % directPauseInterval
		if offset < directPause {
			start = start.Add(directPause - offset)
			continue
		}

		if untilPause := directPauseInterval - offset; work > untilPause {
			start, work = start.Add(untilPause), work-untilPause
			continue
		}

		return start.Add(work)
	}
}

func (w *directRun) report() DirectReport {
	r := DirectReport{Before: w.phases[0].report(), During: w.phases[1].report(), After: w.phases[2].report(), Recognised: -1, Returned: -1}

	from, to := int(directFaultStart/directBin), int((directFaultStart+directFaultDuration)/directBin)
	baseline := w.share(int(directWarmup/directBin), from)

	const smoothedBins = 3 // averages out the noise of single bins

	for i := from; i+smoothedBins <= to; i++ {
		if w.share(i, i+smoothedBins) < baseline/2 {
			r.Recognised = float64(i-from) * float64(directBin/time.Millisecond)
			break
		}
	}

	for i := to; i+smoothedBins <= len(w.bins); i++ {
		if w.share(i, i+smoothedBins) >= baseline/2 {
			r.Returned = float64(i-to) * float64(directBin/time.Millisecond)
			break
		}
	}

	return r
}

// share returns the share of the first attempts in a range of bins that went to affected searchers.
func (w *directRun) share(from, to int) float64 {
	all, affected := 0, 0
	for _, b := range w.bins[from:to] {
		all, affected = all+b[0], affected+b[1]
	}

	return float64(affected) / float64(max(all, 1))
}

func (p *directPhase) report() DirectPhase {
	n, first := float64(max(p.queries, 1)), float64(max(p.first, 1))

	return DirectPhase{
		Queries: p.queries, InTime: float64(p.inTime) / n, Late: float64(p.late) / n, Refused: float64(p.refused) / n,
		Median: quantile(p.answers, 0.5), MedianRefused: quantile(p.refusals, 0.5),
		Missing: float64(p.missing) / float64(max(p.shards, 1)), Worth: p.worth / n,
		Extra: float64(p.extra) / first, Rejected: float64(p.rejected) / first,
	}
}
