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

// page prints the values of a scope as text. A text is kept for a while, so
// that many readers do not cost a snapshot each.
type page struct {
	scope tally.TestScope // gives snapshots
	every time.Duration

	mu    sync.Mutex
	last  []byte
	at    time.Time // of last
	ended bool      // last stays
}

// series is one metric with its labels and the lines of its values.
type series struct {
	name   string
	labels string // rendered, without braces
	kind   string
	lines  string
}

func newPage(scope tally.TestScope, every time.Duration) *page {
	return &page{scope: scope, every: every}
}

// text returns the page, made anew if it is older than every.
func (p *page) text() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.last == nil || !p.ended && time.Since(p.at) >= p.every {
		p.update()
	}

	return p.last
}

// end makes the page a last time.
func (p *page) end() {
	p.mu.Lock()
	defer p.mu.Unlock()

	if !p.ended {
		p.update()
		p.ended = true
	}
}

// update is called with mu held.
func (p *page) update() {
	p.at = time.Now()
	p.last = render(snapshot(p.scope))
}

// snapshot returns all series of a scope. No report ever takes values out of
// the scope, so the snapshot holds those since the start.
func snapshot(scope tally.TestScope) []series {
	snap := scope.Snapshot()

	var all []series

	for _, c := range snap.Counters() {
		s := newSeries(c.Name(), c.Tags(), "counter")
		s.lines = fmt.Sprintf("%s%s %d\n", s.name, braces(s.labels), c.Value())
		all = append(all, s)
	}

	for _, g := range snap.Gauges() {
		s := newSeries(g.Name(), g.Tags(), "gauge")
		s.lines = fmt.Sprintf("%s%s %s\n", s.name, braces(s.labels), number(g.Value()))
		all = append(all, s)
	}

	for _, h := range snap.Histograms() {
		s := newSeries(h.Name(), h.Tags(), "histogram")
		s.lines = s.buckets(samples(h))
		all = append(all, s)
	}

	return all
}

// samples returns the samples of a histogram by upper bound. Durations are in
// seconds, and the last bound, the greatest value of tally's types, is infinite.
func samples(h tally.HistogramSnapshot) map[float64]int64 {
	n := map[float64]int64{}

	for upper, count := range h.Values() {
		if upper == math.MaxFloat64 {
			upper = math.Inf(1)
		}

		n[upper] = count
	}

	for upper, count := range h.Durations() {
		seconds := upper.Seconds()
		if upper == math.MaxInt64 {
			seconds = math.Inf(1)
		}

		n[seconds] = count
	}

	return n
}

func newSeries(name string, tags map[string]string, kind string) series {
	pairs := make([]string, 0, len(tags))
	for k, v := range tags {
		pairs = append(pairs, k+`="`+escape(v)+`"`)
	}

	slices.Sort(pairs)

	return series{name: name, labels: strings.Join(pairs, ","), kind: kind}
}

// escape follows the text format: backslash, quote and line feed are escaped.
func escape(v string) string {
	return strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`).Replace(strings.ToValidUTF8(v, "?"))
}

// buckets prints the cumulative buckets and the count of a histogram.
func (s series) buckets(n map[float64]int64) string {
	labels := s.labels
	if labels != "" {
		labels += ","
	}

	var (
		b   strings.Builder
		sum int64
	)

	for _, upper := range slices.Sorted(maps.Keys(n)) {
		sum += n[upper]
		fmt.Fprintf(&b, "%s_bucket{%sle=\"%s\"} %d\n", s.name, labels, number(upper), sum)
	}

	fmt.Fprintf(&b, "%s_count%s %d\n", s.name, braces(s.labels), sum)

	return b.String()
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

// render prints all series, sorted by name and labels.
func render(all []series) []byte {
	slices.SortFunc(all, func(a, b series) int {
		return cmp.Or(strings.Compare(a.name, b.name), strings.Compare(a.labels, b.labels))
	})

	var (
		b    bytes.Buffer
		last string
	)

	for _, s := range all {
		if s.name != last {
			fmt.Fprintf(&b, "# TYPE %s %s\n", s.name, s.kind)
			last = s.name
		}

		b.WriteString(s.lines)
	}

	return b.Bytes()
}
