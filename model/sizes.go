package model

import (
	"fmt"
	"time"

	"fulmarfall/ident"
)

// Size names a deployment size from section 4 of the design.
type Size string

// The sizes that a run can simulate.
const (
	Kilimanjaro Size = "kilimanjaro"
	Cluj        Size = "cluj"
	// TwoYears is one eighth of the size to design for: 60 nodes, 275 searchers and 13,750 queries/s with a fan-out
	// of 55. The load per searcher and per node equals that of the full size.
	TwoYears Size = "two_years"
)

// Sizes lists all sizes.
var Sizes = []Size{Kilimanjaro, Cluj, TwoYears}

// One-way latencies within a failure domain and to clients.
const (
	linkLatency   = 50 * time.Microsecond // node to searcher, or node to node in the same failure domain
	clientLatency = 3 * time.Millisecond
)

type domainSpec struct {
	name   ident.FailureDomain
	region ident.Region
}

type upstreamSpec struct {
	name        ident.UpstreamID
	shards      int
	replicas    int
	slots       int
	connections int
	connectTime time.Duration
	service     time.Duration // median service time of a warm searcher; an assumption, as the design page states none
	rate        float64       // queries per second, for 40 to 46% slot utilisation at the mean service time
}

type sizeSpec struct {
	domains       []domainSpec
	nodes         int
	domainLatency time.Duration // between failure domains of one region
	regionLatency time.Duration // between regions
	upstreams     []upstreamSpec
	stragglers    float64 // probability that a run is delayed by a pause of the searcher
	pause         [2]time.Duration
	timeout       time.Duration
	warmup        time.Duration // not measured
	measured      time.Duration
}

func (s *sizeSpec) regions() int {
	seen := make(map[ident.Region]bool)
	for _, d := range s.domains {
		seen[d.region] = true
	}

	return len(seen)
}

func ms(f float64) time.Duration { return time.Duration(f * float64(time.Millisecond)) }

func sizeOf(s Size) (sizeSpec, error) {
	switch s {
	case Kilimanjaro:
		return sizeSpec{
			domains:       []domainSpec{{"dar", "pwani"}, {"arusha", "kaskazini"}, {"mwanza", "ziwa"}},
			nodes:         8,
			domainLatency: ms(1.5), regionLatency: ms(12),
			upstreams: []upstreamSpec{
				{"counter-desk", 10, 3, 2, 25, ms(6), ms(10), 210},
				{"calib-log", 15, 3, 2, 25, ms(6), ms(10), 210},
				{"borrower-files", 3, 3, 3, 100, ms(1), ms(6), 520},
				{"depot-dispatch", 2, 2, 3, 100, ms(1), ms(6), 340},
			},
			stragglers: 0.001, pause: [2]time.Duration{ms(30), ms(120)},
			timeout: 250 * time.Millisecond, warmup: time.Second, measured: 8 * time.Second,
		}, nil
	case Cluj:
		return sizeSpec{
			//nolint:misspell // the region's own name
			domains:       []domainSpec{{"cluj", "transilvania"}, {"ploiesti", "muntenia"}, {"iasi", "moldova"}},
			nodes:         6,
			domainLatency: ms(0.5), regionLatency: ms(12),
			upstreams: []upstreamSpec{
				{"inspector-desk", 10, 3, 2, 25, ms(6), ms(10), 210},
				{"school-templates", 15, 3, 2, 25, ms(6), ms(10), 210},
				{"fair-gate", 3, 3, 3, 40, ms(1), ms(6), 520},
				{"stock-ledger", 2, 2, 3, 40, ms(1), ms(6), 340},
			},
			stragglers: 0.001, pause: [2]time.Duration{ms(30), ms(120)},
			timeout: 250 * time.Millisecond, warmup: time.Second, measured: 8 * time.Second,
		}, nil
	case TwoYears:
		return sizeSpec{
			domains:       []domainSpec{{"a1", "a"}, {"a2", "a"}, {"a3", "a"}, {"b1", "b"}, {"b2", "b"}},
			nodes:         60,
			domainLatency: ms(1.5), regionLatency: ms(12),
			upstreams: []upstreamSpec{
				// 2,750 runs per second on 3 slots allow at most 1.09 ms per run; a median of 0.4 ms with its tail
				// uses 46% of that.
				{"catalogue", 55, 5, 3, 25, ms(1), ms(0.4), 13750},
			},
			// 1 in 2,000 runs, so 2.7% of the queries hit a pause. Longer or more frequent pauses would fill the
			// slots, as runs take 0.4 ms.
			stragglers: 0.0005, pause: [2]time.Duration{ms(40), ms(100)},
			timeout: 250 * time.Millisecond, warmup: 100 * time.Millisecond, measured: 150 * time.Millisecond,
		}, nil
	default:
		return sizeSpec{}, fmt.Errorf("size %q is not one of %v", s, Sizes)
	}
}

// latency returns the one-way latency between two failure domains.
func (s *sizeSpec) latency(a, b int) time.Duration {
	switch {
	case a == b:
		return linkLatency
	case s.domains[a].region == s.domains[b].region:
		return s.domainLatency
	default:
		return s.regionLatency
	}
}
