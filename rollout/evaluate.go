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
	// foreignZone is added to the threshold if the old version has no searcher in the failure domain of the new one. A
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
	failureMargin = 0.01
	slowMargin    = 0.04
	marginFactor  = 1.5
	// strongSign is the probability of the observed bad responses below which the version is bad; it is tested about four
	// times a second. weakSign applies once, before a stage that sends more requests.
	strongSign = 0.0005
	weakSign   = 0.02
	// Fewer bad responses are never a sign. A searcher that is lost loses up to four requests.
	strongFailures, weakFailures = 4, 2
	strongSlow, weakSlow         = 5, 3

	// minResponses is the number of responses without which a version is not trusted, and minRouteResponses that for each
	// route with at least routeShare of the responses of the old version.
	minResponses      = 10
	minRouteResponses = 2
	routeShare        = 0.2
)

// findings are the responses of both versions in the same time.
type findings struct {
	route string
	// Responses and failures of the new and the old version.
	responses, failures, oldResponses, oldFailures int
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

	return true
}

// thresholds returns from which latency a response counts as slow, by the key of the new version.
func (s *evidenceSum) thresholds() map[CellKey]time.Duration {
	byRoute := map[string]*Histogram{}

	for k, c := range s.total {
		if k.New {
			continue
		}

		h := byRoute[k.Route]
		if h == nil {
			h = &Histogram{}
			byRoute[k.Route] = h
		}

		for i := range h {
			h[i] += c.Latency[i]
		}
	}

	result := map[CellKey]time.Duration{}

	for k := range s.total {
		if !k.New {
			continue
		}

		same := s.total[CellKey{Route: k.Route, FailureDomain: k.FailureDomain}]
		if same.Latency.total() >= minMedianOf {
			result[k] = max(slowFactor*same.Latency.median(), minSlow)

			continue
		}

		if h := byRoute[k.Route]; h != nil && h.total() >= minMedianOf {
			result[k] = max(slowFactor*h.median(), minSlow) + foreignZone
		}
	}

	return result
}

// compare compares both versions over some slices. route is "" for all routes together.
func (s *evidenceSum) compare(list []Evidence, route string) findings {
	var (
		f          = findings{route: route}
		thresholds = s.thresholds()
		warm       = map[CellKey]int{}
	)

	for _, slice := range list {
		slow, n := 0, 0

		for k, c := range slice {
			switch {
			case route != "" && k.Route != route:
				continue
			case !k.New:
				f.oldResponses += int(c.Responses)
				f.oldFailures += int(c.Failures)

				continue
			}

			f.responses += int(c.Responses)
			f.failures += int(c.Failures)

			if t, ok := thresholds[k]; ok {
				slow += c.Latency.slow(t)
				n += c.Latency.total()
				warm[k] += c.Latency.total()
			}
		}

		f.warm += n
		f.slow += min(slow, max(slowPerSlice, int(slowShare*float64(n))))
	}

	f.expectedSlow = s.expectedSlow(warm, thresholds)

	return f
}

// expectedSlow returns the share of slow responses of the old version, weighted by the responses of the new one. It is that
// of the whole order, so that it rests on as many responses as possible.
func (s *evidenceSum) expectedSlow(warm map[CellKey]int, thresholds map[CellKey]time.Duration) float64 {
	sum, n := 0.0, 0

	for k, responses := range warm {
		old := s.total[CellKey{Route: k.Route, FailureDomain: k.FailureDomain}].Latency
		if old.total() < minMedianOf {
			old = Histogram{}

			for other, c := range s.total {
				if other.Route == k.Route && !other.New {
					for i := range old {
						old[i] += c.Latency[i]
					}
				}
			}
		}

		if total := old.total(); total > 0 {
			sum += float64(responses) * float64(old.slow(thresholds[k])) / float64(total)
			n += responses
		}
	}

	return sum / float64(max(n, 1))
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
	old := float64(f.oldFailures+1) / float64(f.oldResponses+20)

	return tail(f.failures, f.responses, min(marginFactor*old+failureMargin, 1))
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
func (f *findings) sign(strong bool) string {
	limit, failures, slow := weakSign, weakFailures, weakSlow
	if strong {
		limit, failures, slow = strongSign, strongFailures, strongSlow
	}

	switch {
	case f.failures >= failures && f.failureTail() < limit:
		return signFailures
	case f.slow >= slow && f.slowTail() < limit:
		return signSlow
	default:
		return ""
	}
}

// badSign returns the findings that show that the new version is bad, and the sign.
func (s *evidenceSum) badSign(strong bool) (findings, string) {
	windows := [][]Evidence{s.slices}
	if strong && len(s.slices) > recentSlices {
		windows = append(windows, s.slices[len(s.slices)-recentSlices:])
	}

	for _, list := range windows {
		for _, route := range append([]string{""}, s.routes()...) {
			if f := s.compare(list, route); f.sign(strong) != "" {
				return f, f.sign(strong)
			}
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
func (s *evidenceSum) suffices() bool {
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
		if float64(n) >= routeShare*float64(old) && newOnes[route] < minRouteResponses {
			return false
		}
	}

	return all >= minResponses
}

// EntryVM is an entry VM in the roster of the leader, with the age of its last report to any control VM.
type EntryVM struct {
	Node ident.NodeID
	Age  time.Duration
}
