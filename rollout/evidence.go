package rollout

import (
	"math"
	"time"

	"fulmarfall/ident"
)

// Buckets is the number of buckets of a Histogram. Each is wider than the one before by bucketFactor, so the last one
// begins at about 11 s.
const (
	Buckets      = 24
	bucketFactor = 1.5
)

// Histogram counts latencies in a few buckets.
type Histogram [Buckets]uint32

// bucketOf returns the bucket of a latency.
func bucketOf(d time.Duration) int {
	if d < time.Millisecond {
		return 0
	}

	return min(1+int(math.Log(float64(d)/float64(time.Millisecond))/math.Log(bucketFactor)), Buckets-1)
}

// bucketStart returns the smallest latency of a bucket.
func bucketStart(i int) time.Duration {
	if i == 0 {
		return 0
	}

	return time.Duration(float64(time.Millisecond) * math.Pow(bucketFactor, float64(i-1)))
}

func (h *Histogram) add(o *Histogram) {
	for i := range h {
		h[i] += o[i]
	}
}

func (h *Histogram) total() (n int) {
	for _, c := range h {
		n += int(c)
	}

	return n
}

// median returns the median latency, interpolated within its bucket.
func (h *Histogram) median() time.Duration {
	half, seen := float64(h.total())/2, 0.0

	for i, c := range h {
		if c > 0 && seen+float64(c) >= half {
			start, end := bucketStart(i), bucketStart(i+1)

			return start + time.Duration(float64(end-start)*(half-seen)/float64(c))
		}

		seen += float64(c)
	}

	return 0
}

// slow returns the number of latencies in buckets whose middle is at the threshold or above.
func (h *Histogram) slow(threshold time.Duration) (n int) {
	for i, c := range h {
		if (bucketStart(i)+bucketStart(i+1))/2 >= threshold {
			n += int(c)
		}
	}

	return n
}

// CellKey selects the responses that are compared with each other: those of one route from searchers in one failure
// domain to entry VMs in one region. New is set for the version under roll-out.
type CellKey struct {
	Route         string
	FailureDomain ident.FailureDomain
	From          ident.Region
	New           bool
}

// Cell counts responses. Latency leaves out those of cold searchers.
type Cell struct {
	Responses, Failures uint32
	Latency             Histogram
}

func (c *Cell) add(o *Cell) {
	c.Responses += o.Responses
	c.Failures += o.Failures

	c.Latency.add(&o.Latency)
}

// minus returns the difference to an earlier value. Counters that have decreased count as unchanged.
func (c *Cell) minus(o *Cell) Cell {
	sub := func(a, b uint32) uint32 { return a - min(a, b) }
	d := Cell{Responses: sub(c.Responses, o.Responses), Failures: sub(c.Failures, o.Failures)}

	for i := range c.Latency {
		d.Latency[i] = sub(c.Latency[i], o.Latency[i])
	}

	return d
}

// Response is the result of one attempt at a searcher.
type Response struct {
	// Failed is set if the searcher answered with a status of 500 or above, gave no answer, or one that could not be read.
	Failed bool
	// Latency is the time until the answer, or the time for which the attempt waited for one.
	Latency time.Duration
	// Cold is set if the searcher was starting cold, so that its latency says nothing about its version.
	Cold bool
}

// maxCells bounds the cells of one order at an entry VM.
const maxCells = 512

// Evidence counts the responses that one entry VM has received since it knows an order. The counters never decrease, so a
// lost report is made up for by the next one.
type Evidence map[CellKey]Cell

// Record counts a response.
func (e Evidence) Record(k CellKey, r Response) {
	c, ok := e[k]
	if !ok && len(e) >= maxCells {
		return
	}

	c.Responses++

	if r.Failed {
		c.Failures++
	}

	if !r.Cold {
		c.Latency[bucketOf(r.Latency)]++
	}

	e[k] = c
}

// Source identifies one run of an entry VM.
type Source struct {
	Node        ident.NodeID
	Incarnation uint64
}

// Report is what an entry VM reports about an order.
type Report struct {
	Source
	// Sequence orders the reports of a source.
	Sequence uint64
	Upstream ident.UpstreamID
	Order    OrderID
	// Stage is the one that the VM applies, and OldInFlight the number of its requests in flight at other versions than the
	// target.
	Stage       Stage
	OldInFlight int
	Cells       Evidence
}
