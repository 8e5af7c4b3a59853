// This file keeps the latency record of the upstreams.

package query

import (
	"math/bits"
	"time"

	"fulmarfall/ident"
)

const (
	// latencyUnit is the resolution of the record.
	latencyUnit = 16 * time.Microsecond
	// latencySteps is the number of buckets per doubling; 8 steps bound the error of a quantile to 1/8.
	latencySteps = 8
	// latencyBuckets reaches to about 137 s.
	latencyBuckets = latencySteps * 21
	// latencyWindow is the number of observations after which all counts are halved, so that the record follows
	// the last few thousand observations in constant memory.
	latencyWindow = 4096
	// latencyMinimum is the number of observations below which quantiles are not used.
	latencyMinimum = 32
	// maxUpstreams bounds the number of latency records.
	maxUpstreams = 512
)

// latencyRecord is a histogram with logarithmic buckets.
type latencyRecord struct {
	counts [latencyBuckets]uint32
	total  uint32
	used   time.Time
}

func latencyBucket(d time.Duration) int {
	v := uint64(max(d, 0) / latencyUnit)
	if v < latencySteps {
		return int(v)
	}
	e := bits.Len64(v) - 4

	return min(e*latencySteps+int(v>>e), latencyBuckets-1)
}

// latencyBound returns the upper end of a bucket.
func latencyBound(bucket int) time.Duration {
	if bucket < 2*latencySteps {
		return time.Duration(bucket+1) * latencyUnit
	}
	e := bucket/latencySteps - 1

	return time.Duration(uint64(bucket%latencySteps+latencySteps+1)<<e) * latencyUnit
}

func (r *latencyRecord) observe(d time.Duration) {
	r.counts[latencyBucket(d)]++
	r.total++
	if r.total < latencyWindow {
		return
	}
	r.total = 0
	for i := range r.counts {
		r.counts[i] /= 2
		r.total += r.counts[i]
	}
}

// quantile returns an upper bound of the q-quantile; ok is false while there are too few observations.
func (r *latencyRecord) quantile(q float64) (d time.Duration, ok bool) {
	if r.total < latencyMinimum {
		return 0, false
	}
	rank := uint32(q * float64(r.total))
	var sum uint32
	for i := range r.counts {
		sum += r.counts[i]
		if sum > rank {
			return latencyBound(i), true
		}
	}

	return latencyBound(latencyBuckets - 1), true
}

// record returns the latency record of an upstream. When there are too many, the one unused for longest is dropped.
func (p *Planner) record(now time.Time, u ident.UpstreamID) *latencyRecord {
	r, ok := p.latency[u]
	if !ok {
		if len(p.latency) >= maxUpstreams {
			var oldest ident.UpstreamID
			for id, other := range p.latency {
				if o := p.latency[oldest]; o == nil || other.used.Before(o.used) {
					oldest = id
				}
			}
			delete(p.latency, oldest)
		}
		r = &latencyRecord{}
		p.latency[u] = r
	}
	r.used = now

	return r
}
