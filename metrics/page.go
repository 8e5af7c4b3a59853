package metrics

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// page renders the values of a scope as text. The text is cached, so that frequent
// reads do not take a snapshot each.
type page struct {
	scope    tally.TestScope // for its snapshots
	interval time.Duration

	mu         sync.Mutex
	cached     []byte
	renderedAt time.Time // when cached was rendered
	final      bool      // cached no longer changes
}

// series is one metric with its labels and rendered sample lines.
type series struct {
	name   string
	labels string // rendered, without braces
	kind   string
	lines  string
}

func newPage(scope tally.TestScope, interval time.Duration) *page {
	return &page{scope: scope, interval: interval}
}

// text returns the cached page, rendered again if it is older than interval.
func (p *page) text() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.cached == nil || !p.final && time.Since(p.renderedAt) >= p.interval {
		p.refresh()
	}

	return p.cached
}

// finish renders the page a last time; later reads return this text.
func (p *page) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()

	if !p.final {
		p.refresh()
		p.final = true
	}
}

// refresh renders the page. The caller holds mu.
func (p *page) refresh() {
	p.renderedAt = time.Now()
	p.cached = render(snapshot(p.scope))
}

// snapshot returns all series of a scope. Because the scope is never reported,
// which would reset its values, they are totals since the start.
func snapshot(scope tally.TestScope) []series {
	snap := scope.Snapshot()

	var all []series

	for _, c := range snap.Counters() {
		s := newSeries(c.Name(), c.Tags(), "counter")
		s.lines = fmt.Sprintf("%s%s %d\n", s.name, wrapLabels(s.labels), c.Value())
		all = append(all, s)
	}

	for _, g := range snap.Gauges() {
		s := newSeries(g.Name(), g.Tags(), "gauge")
		s.lines = fmt.Sprintf("%s%s %s\n", s.name, wrapLabels(s.labels), formatFloat(g.Value()))
		all = append(all, s)
	}

	for _, h := range snap.Histograms() {
		s := newSeries(h.Name(), h.Tags(), "histogram")
		s.lines = s.buckets(sampleCounts(h))
		all = append(all, s)
	}

	return all
}

// sampleCounts returns the sample counts of a histogram by upper bound. Durations are
// in seconds; tally's last bound, the maximum of its type, becomes infinity.
func sampleCounts(h tally.HistogramSnapshot) map[float64]int64 {
	counts := map[float64]int64{}

	for upper, count := range h.Values() {
		if upper == math.MaxFloat64 {
			upper = math.Inf(1)
		}

		counts[upper] = count
	}

	for upper, count := range h.Durations() {
		seconds := upper.Seconds()
		if upper == math.MaxInt64 {
			seconds = math.Inf(1)
		}

		counts[seconds] = count
	}

	return counts
}

func newSeries(name string, tags map[string]string, kind string) series {
	pairs := make([]string, 0, len(tags))
	for k, v := range tags {
		pairs = append(pairs, k+`="`+escape(v)+`"`)
	}

	slices.Sort(pairs)

	return series{name: name, labels: strings.Join(pairs, ","), kind: kind}
}

// escape escapes a label value as the Prometheus text format requires.
func escape(v string) string {
	return strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`).Replace(strings.ToValidUTF8(v, "?"))
}

// buckets renders the cumulative buckets and the count of a histogram.
func (s series) buckets(counts map[float64]int64) string {
	labels := s.labels
	if labels != "" {
		labels += ","
	}

	var (
		b   strings.Builder
		sum int64
	)

	for _, upper := range slices.Sorted(maps.Keys(counts)) {
		sum += counts[upper]
		fmt.Fprintf(&b, "%s_bucket{%sle=\"%s\"} %d\n", s.name, labels, formatFloat(upper), sum)
	}

	fmt.Fprintf(&b, "%s_count%s %d\n", s.name, wrapLabels(s.labels), sum)

	return b.String()
}

func wrapLabels(labels string) string {
	if labels == "" {
		return ""
	}

	return "{" + labels + "}"
}

func formatFloat(v float64) string {
	if math.IsInf(v, 1) {
		return "+Inf"
	}

	return strconv.FormatFloat(v, 'g', -1, 64)
}

// render returns the page of all series, sorted by name and labels.
func render(all []series) []byte {
	slices.SortFunc(all, func(a, b series) int {
		return cmp.Or(strings.Compare(a.name, b.name), strings.Compare(a.labels, b.labels))
	})

	var (
		b        bytes.Buffer
		lastName string
	)

	for _, s := range all {
		if s.name != lastName {
			fmt.Fprintf(&b, "# TYPE %s %s\n", s.name, s.kind)
			lastName = s.name
		}

		b.WriteString(s.lines)
	}

	return b.Bytes()
}
