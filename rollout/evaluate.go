package rollout

import (
	"math"
	"slices"
	"time"

	"fulmarfall/ident"
)

const (
	// slowFactor is how many times the median of the old version a response takes to count as slow. The buckets of a
	// histogram add up to half of it.
	slowFactor = 3
	// minSlow is the smallest threshold for slow responses; timers and the network vary by several milliseconds.
	minSlow = 10 * time.Millisecond
	// foreignZone is added to the threshold if entry VMs of the region did not use the old version in the failure domain. A
	// round trip between regions takes 24 ms.
	foreignZone = 30 * time.Millisecond
	// minMedianOf is the number of responses of the old version from which their median is used.
	minMedianOf = 8

	// sliceTime is the time between two slices of the evidence. A pause of a searcher, 250 to 300 ms, is in one or two.
	sliceTime = 500 * time.Millisecond
	// maxSlices bounds the slices of an order. Older ones are merged.
	maxSlices = 128
	// recentSlices are the slices in which signs of a version that turns bad later are looked for.
	recentSlices = 6
	// slowPerSlice and slowShare bound the slow responses that count in a slice: so many, or this share of its responses. All
	// requests at a searcher are slow at once when it pauses.
	slowPerSlice = 2
	slowShare    = 0.3

	// The expected share of bad responses is that of the old version, raised by failureMargin and slowMargin, because the
	// responses are not independent, and by marginFactor.
	failureMargin = 0.004
	slowMargin    = 0.06 // pauses make up to 0.05 of the responses slow
	marginFactor  = 1.5
	// priorResponses is how many responses with one failure are added to those of the old version on each route, because its
	// true share of failures is not known from a few responses.
	priorResponses = 100
	// routeShare is the share of the responses of the old version from which a route has to have evidence of its own.
	routeShare = 0.2
)

// signLevel is from how many bad responses, and below which probability of as many, the new version counts as bad.
type signLevel struct {
	failures    int
	failureTail float64
	slow        int
	slowTail    float64
}

var (
	// strongSign is tested twice a second in all stages. A searcher that is lost loses up to four requests.
	strongSign = signLevel{failures: 4, failureTail: 0.0005, slow: 5, slowTail: 0.0005}
	// weakSign is tested before StageAll, finalSign before the order is completed. Slow responses have more causes than failures.
	weakSign  = signLevel{failures: 2, failureTail: 0.05, slow: 5, slowTail: 0.03}
	finalSign = signLevel{failures: 2, failureTail: 0.02, slow: 8, slowTail: 0.01}
)

// evidenceNeeded is a number of responses of the new version, over all and on each route that matters.
type evidenceNeeded struct{ responses, perRoute int }

// A version is not trusted with less than leastEvidence. The leader waits some time for fullEvidence.
var (
	leastEvidence = evidenceNeeded{responses: 8, perRoute: 1}
	fullEvidence  = evidenceNeeded{responses: 30, perRoute: 8}
)

// findings are the responses of both versions in the same time.
type findings struct {
	route string
	// Responses and failures of the new and the old version, and the share of failures that is expected from the old one.
	responses, failures, oldResponses, oldFailures int
	expectedFailures                               float64
	// Warm responses of the new version, how many of them were slow, and the share of slow ones that is expected from the
	// old version.
	warm, slow   int
	expectedSlow float64
}

// evidenceSum is the sum of the evidence of all entry VMs, in slices of time.
type evidenceSum struct {
	total    Evidence
	previous Evidence // total at the end of the last slice
	slices   []Evidence
	slicedAt time.Time
}

func newEvidenceSum(now time.Time) evidenceSum {
	return evidenceSum{total: Evidence{}, previous: Evidence{}, slicedAt: now}
}

// add adds what a source has counted since its last report.
func (s *evidenceSum) add(cells, before Evidence) {
	for k, c := range cells {
		old := before[k]
		d := c.minus(&old)
		t := s.total[k]
		t.add(&d)
		s.total[k] = t
	}
}

// slice ends a slice if its time has passed. It reports whether it did.
func (s *evidenceSum) slice(now time.Time) bool {
	if now.Sub(s.slicedAt) < sliceTime {
		return false
	}

	s.endSlice(now)

	return true
}

// endSlice ends a slice.
func (s *evidenceSum) endSlice(now time.Time) {
	d := Evidence{}

	for k, c := range s.total {
		before := s.previous[k]
		if c := c.minus(&before); c.Responses > 0 {
			d[k] = c
		}

		s.previous[k] = c
	}

	s.slices, s.slicedAt = append(s.slices, d), now

	if len(s.slices) > maxSlices {
		merged := Evidence{}

		for _, old := range s.slices[:2] {
			for k, c := range old {
				m := merged[k]
				m.add(&c)
				merged[k] = m
			}
		}

		s.slices = append([]Evidence{merged}, s.slices[2:]...)
	}
}

// compare compares both versions over some slices. route is "" for all routes together.
func compare(list []Evidence, route string) findings {
	var (
		f        = findings{route: route}
		newOnes  = map[string]int{}
		old      = map[string]Cell{}
		expected float64
	)

	for _, slice := range list {
		for k, c := range slice {
			switch {
			case route != "" && k.Route != route:
			case k.New:
				f.responses += int(c.Responses)
				f.failures += int(c.Failures)
				newOnes[k.Route] += int(c.Responses)
			default:
				sum := old[k.Route]
				sum.add(&c)
				old[k.Route] = sum
				f.oldResponses += int(c.Responses)
				f.oldFailures += int(c.Failures)
			}
		}
	}

	for r, n := range newOnes {
		sum := old[r]
		expected += float64(n) * float64(sum.Failures+1) / float64(sum.Responses+priorResponses)
	}

	f.expectedFailures = expected / float64(max(f.responses, 1))

	norms := slowNorms(list, route)
	expected = 0

	for _, slice := range list {
		slow, n := 0, 0

		for k, c := range slice {
			norm, ok := norms[k]
			if !ok {
				continue
			}

			total := c.Latency.total()
			slow += c.Latency.slow(norm.threshold)
			n += total
			expected += float64(total) * norm.share
		}

		f.warm += n
		f.slow += min(slow, max(slowPerSlice, int(slowShare*float64(n))))
	}

	f.expectedSlow = expected / float64(max(f.warm, 1))

	return f
}

// slowNorm is from which latency a response counts as slow, and the share of such responses of the old version.
type slowNorm struct {
	threshold time.Duration
	share     float64
}

// slowNorms returns the norms by the key of the new version. They come from the responses of the old version in the slices in
// which the new one was used, and those next to them: a zone that becomes slow slows both versions, but the new one may have
// been cold before.
func slowNorms(list []Evidence, route string) map[CellKey]slowNorm {
	var (
		same  = map[CellKey]*Histogram{} // between the same places
		all   = map[CellKey]*Histogram{} // in all
		norms = map[CellKey]slowNorm{}
		used  = map[CellKey]int{} // the slices before this one have been added
	)

	for i, slice := range list {
		for k, c := range slice {
			if !k.New || route != "" && k.Route != route || c.Latency.total() == 0 {
				continue
			}

			if same[k] == nil {
				same[k], all[k] = &Histogram{}, &Histogram{}
			}

			for ; used[k] < min(i+2, len(list)); used[k]++ {
				if used[k] >= i-1 {
					addOld(list[used[k]], k, same[k], all[k])
				}
			}
		}
	}

	for k, h := range same {
		extra := time.Duration(0)
		if h.total() < minMedianOf {
			h, extra = all[k], foreignZone
		}

		if total := h.total(); total >= minMedianOf {
			t := max(slowFactor*h.median(), minSlow) + extra
			norms[k] = slowNorm{threshold: t, share: float64(h.slow(t)) / float64(total)}
		}
	}

	return norms
}

// addOld adds the latencies of the old version on the route of a key in one slice.
func addOld(slice Evidence, key CellKey, same, all *Histogram) {
	for k, c := range slice {
		if k.New || k.Route != key.Route {
			continue
		}

		all.add(&c.Latency)

		if k.FailureDomain == key.FailureDomain && k.From == key.From {
			same.add(&c.Latency)
		}
	}
}

// tail returns the probability of at least x of n independent events of probability p.
func tail(x, n int, p float64) float64 {
	switch {
	case x <= 0 || p >= 1:
		return 1
	case p <= 0:
		return 0
	}

	below := 0.0
	term := float64(n) * math.Log1p(-p) // logarithm of the probability of exactly i events

	for i := range x {
		below += math.Exp(term)
		term += math.Log(float64(n-i)) - math.Log(float64(i+1)) + math.Log(p) - math.Log1p(-p)
	}

	return max(1-below, 0)
}

func (f *findings) failureTail() float64 {
	return tail(f.failures, f.responses, min(marginFactor*f.expectedFailures+failureMargin, 1))
}

func (f *findings) slowTail() float64 {
	return tail(f.slow, f.warm, min(marginFactor*f.expectedSlow+slowMargin, 1))
}

// Signs of a bad version, in log lines and in the reason of a step.
const (
	signFailures = "failures"
	signSlow     = "slow responses"
)

// sign returns why the new version looks bad, or "".
func (f *findings) sign(l signLevel) string {
	switch {
	case f.failures >= l.failures && f.failureTail() < l.failureTail:
		return signFailures
	case f.slow >= l.slow && f.slowTail() < l.slowTail:
		return signSlow
	default:
		return ""
	}
}

// badSign returns the findings that show that the new version is bad, and the sign.
func (s *evidenceSum) badSign(l signLevel) (findings, string) {
	for _, route := range append([]string{""}, s.routes()...) {
		whole := compare(s.slices, route)
		if sign := whole.sign(l); sign != "" {
			return whole, sign
		}

		if l != strongSign || len(s.slices) <= recentSlices {
			continue
		}

		recent := compare(s.slices[len(s.slices)-recentSlices:], route)
		// In so short a time, the old version may have had no pause.
		recent.expectedSlow = max(recent.expectedSlow, whole.expectedSlow)

		if sign := recent.sign(l); sign != "" {
			return recent, sign
		}
	}

	return findings{}, ""
}

// routes returns the routes with responses of the new version, in ascending order.
func (s *evidenceSum) routes() []string {
	var list []string

	for k := range s.total {
		if k.New && !slices.Contains(list, k.Route) {
			list = append(list, k.Route)
		}
	}

	slices.Sort(list)

	return list
}

// suffices reports whether there are enough responses of the new version, also on each route that matters.
func (s *evidenceSum) suffices(needed evidenceNeeded) bool {
	var (
		all, old int
		byRoute  = map[string]int{}
		newOnes  = map[string]int{}
	)

	for k, c := range s.total {
		if k.New {
			all += int(c.Responses)
			newOnes[k.Route] += int(c.Responses)
		} else {
			old += int(c.Responses)
			byRoute[k.Route] += int(c.Responses)
		}
	}

	for route, n := range byRoute {
		if float64(n) >= routeShare*float64(old) && newOnes[route] < needed.perRoute {
			return false
		}
	}

	return all >= needed.responses
}

// EntryVM is an entry VM in the roster of the leader, with the age of its last report to any control VM.
type EntryVM struct {
	Node ident.NodeID
	Age  time.Duration
}
