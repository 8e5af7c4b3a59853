package query

import (
	"math/bits"
	"time"

	"fulmarfall/ident"
)

const (
	// latencyResolution is the width of the narrowest bucket.
	latencyResolution = 16 * time.Microsecond
	// bucketsPerDoubling is the number of buckets per power of two; 8 bound the relative error of a quantile to 1/8.
	bucketsPerDoubling = 8
	// latencyBuckets covers latencies up to about 137 s.
	latencyBuckets = bucketsPerDoubling * 21
	// latencyWindow is the number of samples after which all counts are halved, so that the histogram follows the last few
	// thousand samples in constant memory.
	latencyWindow = 4096
	// minLatencySamples is the number of samples below which quantiles are not used.
	minLatencySamples = 32
	// maxUpstreams bounds the number of latency histograms, and of shard budgets.
	maxUpstreams = 512
)

// latencyHistogram is a histogram with logarithmic buckets.
type latencyHistogram struct {
	counts [latencyBuckets]uint32
	total  uint32
	used   time.Time
	// median is the median as of medianAt samples. It is needed for each replica in another region.
	median   time.Duration
	medianAt uint32
}

func latencyBucket(d time.Duration) int {
	v := uint64(max(d, 0) / latencyResolution)
	if v < bucketsPerDoubling {
		return int(v)
	}
	e := bits.Len64(v) - 4

	return min(e*bucketsPerDoubling+int(v>>e), latencyBuckets-1)
}

// latencyBucketBound returns the upper bound of a bucket.
func latencyBucketBound(bucket int) time.Duration {
	if bucket < 2*bucketsPerDoubling {
		return time.Duration(bucket+1) * latencyResolution
	}
	e := bucket/bucketsPerDoubling - 1

	return time.Duration(uint64(bucket%bucketsPerDoubling+bucketsPerDoubling+1)<<e) * latencyResolution
}

func (r *latencyHistogram) observe(d time.Duration) {
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

// quantile returns an upper bound of the q-quantile; ok is false while there are too few samples.
func (r *latencyHistogram) quantile(q float64) (d time.Duration, ok bool) {
	if r.total < minLatencySamples {
		return 0, false
	}
	rank := uint32(q * float64(r.total))
	var sum uint32
	for i := range r.counts {
		sum += r.counts[i]
		if sum > rank {
			return latencyBucketBound(i), true
		}
	}

	return latencyBucketBound(latencyBuckets - 1), true
}

// medianInterval is the number of samples after which the median is computed again.
const medianInterval = 32

// usual returns the median of up to medianInterval samples ago; ok is false while there are too few samples.
func (r *latencyHistogram) usual() (d time.Duration, ok bool) {
	if r.total < minLatencySamples {
		return 0, false
	}

	if r.medianAt == 0 || r.total-r.medianAt >= medianInterval { // also when the counts have been halved
		r.median, _ = r.quantile(medianQuantile)
		r.medianAt = r.total
	}

	return r.median, true
}

// latencyOf returns the latency histogram of an upstream. If there are too many histograms, the least recently used one is
// evicted.
func (p *Planner) latencyOf(now time.Time, u ident.UpstreamID) *latencyHistogram {
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
		r = &latencyHistogram{}
		p.latency[u] = r
	}
	r.used = now

	return r
}
