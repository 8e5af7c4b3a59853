package model

import (
	"slices"
	"time"

	"fulmarfall/ident"
	"fulmarfall/searcher"
)

// collector accumulates what callers and searchers observe during a run.
type collector struct {
	w *world

	queries, answers, unanswered int
	latencies                    []time.Duration
	within75                     int
	coverage                     float64
	minCoverage                  float64
	refusals                     map[ident.Reason]int
	refusalTimes                 []time.Duration

	classes map[ident.Class]*classStats

	firstSends, extraSends   int
	firstStarts, extraStarts int
	shardRefusals            map[ident.Reason]int
	refusedLate              int // shard requests refused at or after their deadline
	refusalWaits             []time.Duration

	peakInFlight    map[*fakeSearcher]int
	peakConnections map[*fakeSearcher]int
	coldOvershoot   float64
	coldCrashes     int
	crashed         int
	lateStarts      int
	keyRuns         map[string]int

	mixedSnapshot int
	wrongCoverage int
}

type classStats struct {
	queries, refused int
	coverage         float64
	latencies        []time.Duration
}

func newCollector(w *world) *collector {
	return &collector{
		w: w, minCoverage: 1, refusals: make(map[ident.Reason]int), shardRefusals: make(map[ident.Reason]int),
		peakInFlight: make(map[*fakeSearcher]int), peakConnections: make(map[*fakeSearcher]int),
		keyRuns: make(map[string]int), classes: make(map[ident.Class]*classStats),
	}
}

// recordCall records the result of a measured call.
func (c *collector) recordCall(call *call, res result) {
	c.queries++
	k := c.classes[call.class]
	if k == nil {
		k = &classStats{}
		c.classes[call.class] = k
	}
	k.queries++
	took := c.w.now.Sub(call.issued)
	switch {
	case res.answer != nil:
		c.answers++
		c.latencies = append(c.latencies, took)
		c.coverage += res.coverage
		k.latencies = append(k.latencies, took)
		k.coverage += res.coverage
		c.minCoverage = min(c.minCoverage, res.coverage)
		if took <= tailTarget {
			c.within75++
		}
	case res.reason != "":
		k.refused++
		c.refusals[res.reason]++
		c.refusalTimes = append(c.refusalTimes, took)
	default:
		c.unanswered++
		c.minCoverage = 0
	}
}

// recordSend counts a shard request. Only those of measured calls enter the report.
func (c *collector) recordSend(r *request, k *shardWork) {
	k.sent++
	if !r.call.measured {
		return
	}
	if k.sent == 1 {
		c.firstSends++
	} else {
		c.extraSends++
	}
}

// recordStart records a run that arrives at a searcher.
func (c *collector) recordStart(s *fakeSearcher, r *fakeRun) {
	c.peakInFlight[s] = max(c.peakInFlight[s], len(s.inFlight))
	if r.request.call.measured {
		k := r.request.workOn(r.shard)
		k.started++
		if k.started == 1 {
			c.firstStarts++
		} else {
			c.extraStarts++
		}
	}
	out := c.w.domainOut[s.domain] && c.w.now.Sub(c.w.outSince[s.domain]) > newWorkBound
	leaving := s.leaving && c.w.now.Sub(s.leavingAt) > newWorkBound
	if out || leaving {
		c.lateStarts++
	}
	if r.key != "" {
		c.keyRuns[r.key]++
	}
}

func (c *collector) recordConnection(s *fakeSearcher) {
	c.peakConnections[s] = max(c.peakConnections[s], s.connections)
}

func (c *collector) recordRefusal(r *shardRequest, e searcher.Refuse, now time.Time) {
	if e.Reason == ident.ReasonCancelled {
		return
	}
	c.shardRefusals[e.Reason]++
	c.refusalWaits = append(c.refusalWaits, now.Sub(r.submitted))
	if !now.Before(r.send.Deadline) {
		c.refusedLate++
	}
}

// peakOver returns the largest excess of a peak over its limit, which is negative if all peaks are below their
// limits.
func peakOver(peaks map[*fakeSearcher]int, limit func(*fakeSearcher) int) int {
	over, first := 0, true
	for s, p := range peaks {
		if first || p-limit(s) > over {
			over, first = p-limit(s), false
		}
	}

	return over
}

// quantile returns a quantile of the durations in milliseconds, or 0 if there are none.
func quantile(d []time.Duration, q float64) float64 {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	i := min(int(q*float64(len(sorted))), len(sorted)-1)

	return float64(sorted[i]) / float64(time.Millisecond)
}
