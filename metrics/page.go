package metrics

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// page is the tally reporter that adds up what is reported and prints it.
type page struct {
	mu     sync.Mutex
	series map[string]series // by name and labels
}

// series is a counter, gauge or histogram with its labels.
type series interface {
	id() identity
	kind() string
	print(b *bytes.Buffer)
}

type identity struct {
	name   string
	labels string // rendered, without braces
}

type count struct {
	identity
	n atomic.Int64
}

type level struct {
	identity
	bits atomic.Uint64
}

type histogram struct {
	identity
	buckets []bucket
}

type bucket struct {
	upper float64
	n     atomic.Int64
}

var (
	_ tally.CachedStatsReporter   = (*page)(nil)
	_ tally.CachedCount           = (*count)(nil)
	_ tally.CachedGauge           = (*level)(nil)
	_ tally.CachedHistogram       = (*histogram)(nil)
	_ tally.CachedTimer           = (*histogram)(nil)
	_ tally.CachedHistogramBucket = (*bucket)(nil)
)

func newPage() *page { return &page{series: map[string]series{}} }

// Capabilities implements tally.BaseStatsReporter.
func (p *page) Capabilities() tally.Capabilities { return p }

// Flush implements tally.BaseStatsReporter.
func (p *page) Flush() {}

// Reporting implements tally.Capabilities.
func (p *page) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (p *page) Tagging() bool { return true }

// AllocateCounter implements tally.CachedStatsReporter.
func (p *page) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return allocate(p, &count{identity: newIdentity(name, tags)})
}

// AllocateGauge implements tally.CachedStatsReporter.
func (p *page) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return allocate(p, &level{identity: newIdentity(name, tags)})
}

// AllocateTimer implements tally.CachedStatsReporter.
func (p *page) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return allocate(p, newHistogram(name, tags, Buckets))
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (p *page) AllocateHistogram(name string, tags map[string]string, buckets tally.Buckets) tally.CachedHistogram {
	return allocate(p, newHistogram(name, tags, buckets))
}

func allocate[T series](p *page, s T) T {
	p.mu.Lock()
	defer p.mu.Unlock()

	key := s.kind() + " " + s.id().name + " " + s.id().labels
	if old, ok := p.series[key].(T); ok {
		return old
	}

	p.series[key] = s

	return s
}

func newIdentity(name string, tags map[string]string) identity {
	pairs := make([]string, 0, len(tags))
	for k, v := range tags {
		pairs = append(pairs, k+`="`+escape(v)+`"`)
	}

	slices.Sort(pairs)

	return identity{name: name, labels: strings.Join(pairs, ",")}
}

// escape follows the text format: backslash, quote and line feed are escaped.
func escape(v string) string {
	return strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`).Replace(strings.ToValidUTF8(v, "?"))
}

func newHistogram(name string, tags map[string]string, buckets tally.Buckets) *histogram {
	h := &histogram{identity: newIdentity(name, tags)}

	var bounds []float64
	if _, ok := buckets.(tally.DurationBuckets); ok {
		for _, d := range buckets.AsDurations() {
			bounds = append(bounds, d.Seconds())
		}
	} else {
		bounds = append(bounds, buckets.AsValues()...)
	}

	slices.Sort(bounds)
	h.buckets = make([]bucket, len(bounds)+1)

	for i, upper := range bounds {
		h.buckets[i].upper = upper
	}

	h.buckets[len(bounds)].upper = math.Inf(1)

	return h
}

func (i identity) id() identity { return i }

// ReportCount implements tally.CachedCount.
func (c *count) ReportCount(n int64) { c.n.Add(n) }

// ReportGauge implements tally.CachedGauge.
func (g *level) ReportGauge(v float64) { g.bits.Store(math.Float64bits(v)) }

// ValueBucket implements tally.CachedHistogram.
func (h *histogram) ValueBucket(_, upper float64) tally.CachedHistogramBucket { return h.at(upper) }

// DurationBucket implements tally.CachedHistogram. tally's last bucket ends at the longest duration.
func (h *histogram) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	if upper == math.MaxInt64 {
		return h.at(math.Inf(1))
	}

	return h.at(upper.Seconds())
}

// ReportTimer implements tally.CachedTimer.
func (h *histogram) ReportTimer(d time.Duration) { h.at(d.Seconds()).ReportSamples(1) }

// at returns the first bucket that holds v.
func (h *histogram) at(v float64) *bucket {
	for i := range h.buckets {
		if v <= h.buckets[i].upper {
			return &h.buckets[i]
		}
	}

	return &h.buckets[len(h.buckets)-1]
}

// ReportSamples implements tally.CachedHistogramBucket.
func (b *bucket) ReportSamples(n int64) { b.n.Add(n) }

func (c *count) kind() string     { return "counter" }
func (g *level) kind() string     { return "gauge" }
func (h *histogram) kind() string { return "histogram" }

func (c *count) print(b *bytes.Buffer) {
	fmt.Fprintf(b, "%s%s %d\n", c.name, braces(c.labels), c.n.Load())
}

func (g *level) print(b *bytes.Buffer) {
	fmt.Fprintf(b, "%s%s %s\n", g.name, braces(g.labels), number(math.Float64frombits(g.bits.Load())))
}

func (h *histogram) print(b *bytes.Buffer) {
	labels := h.labels
	if labels != "" {
		labels += ","
	}

	var sum int64
	for i := range h.buckets {
		sum += h.buckets[i].n.Load()
		fmt.Fprintf(b, "%s_bucket{%sle=\"%s\"} %d\n", h.name, labels, number(h.buckets[i].upper), sum)
	}

	fmt.Fprintf(b, "%s_count%s %d\n", h.name, braces(h.labels), sum)
}

func braces(labels string) string {
	if labels == "" {
		return ""
	}

	return "{" + labels + "}"
}

func number(v float64) string {
	if math.IsInf(v, 1) {
		return "+Inf"
	}

	return strconv.FormatFloat(v, 'g', -1, 64)
}

// text prints all series, sorted by name and labels.
func (p *page) text() []byte {
	p.mu.Lock()
	all := make([]series, 0, len(p.series))

	for _, s := range p.series {
		all = append(all, s)
	}
	p.mu.Unlock()

	slices.SortFunc(all, func(a, b series) int {
		if c := strings.Compare(a.id().name, b.id().name); c != 0 {
			return c
		}

		return strings.Compare(a.id().labels, b.id().labels)
	})

	var b bytes.Buffer

	last := ""
	for _, s := range all {
		if name := s.id().name; name != last {
			fmt.Fprintf(&b, "# TYPE %s %s\n", name, s.kind())
			last = name
		}

		s.print(&b)
	}

	return b.Bytes()
}
