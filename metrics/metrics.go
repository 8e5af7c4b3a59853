// Package metrics records counters, gauges and latency histograms with tally and
// exposes them as a page in the Prometheus text format.
//
// The number of values of each label that comes from outside is bounded: further
// values are counted under "other", so that a flood of names cannot exhaust memory.
package metrics

import (
	"sync"
	"time"

	"fulmarfall/ident"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
)

const (
	// DefaultReportInterval is the interval between two updates of the page: a third
	// of the usual scrape interval of 15 s.
	DefaultReportInterval = 5 * time.Second
	// DefaultMaxTeams limits the number of teams with their own histograms.
	DefaultMaxTeams = 64
	// DefaultMaxReasons limits the reason labels per counter. There are about 30 reasons.
	DefaultMaxReasons = 64
	// Other is the label value for everything above a limit.
	Other = "other"

	// noReporting disables tally's report loop.
	noReporting time.Duration = 0

	labelTeam   = "team"
	labelClass  = "class"
	labelReason = "reason"

	nameLatency  = "latency_seconds"
	nameRefused  = "refused_total"
	nameOverflow = "label_overflow_total"
)

// Buckets are the bounds of the latency histograms. They are narrow around
// 75 ms, the target for the 99th percentile.
var Buckets = tally.DurationBuckets{
	1 * time.Millisecond, 2 * time.Millisecond, 3 * time.Millisecond, 5 * time.Millisecond, 7500 * time.Microsecond,
	10 * time.Millisecond, 15 * time.Millisecond, 20 * time.Millisecond, 30 * time.Millisecond, 40 * time.Millisecond,
	50 * time.Millisecond, 60 * time.Millisecond, 70 * time.Millisecond, 75 * time.Millisecond, 80 * time.Millisecond,
	90 * time.Millisecond, 100 * time.Millisecond, 125 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond,
	300 * time.Millisecond, 500 * time.Millisecond, 750 * time.Millisecond, time.Second, 2 * time.Second,
	5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute,
}

// Option changes a default of Metrics.
type Option func(*Metrics)

// WithReportInterval sets the interval between two updates of the page.
func WithReportInterval(d time.Duration) Option { return func(m *Metrics) { m.interval = d } }

// WithMaxTeams limits the number of teams with their own histograms.
func WithMaxTeams(n int) Option { return func(m *Metrics) { m.maxTeams = n } }

// WithMaxReasons limits the reason labels per counter.
func WithMaxReasons(n int) Option { return func(m *Metrics) { m.maxReasons = n } }

// WithTags adds constant labels, such as the node, to every metric.
func WithTags(tags map[string]string) Option { return func(m *Metrics) { m.tags = tags } }

// Metrics is safe for concurrent use.
type Metrics struct {
	interval   time.Duration
	maxTeams   int
	maxReasons int
	tags       map[string]string

	page     *page
	scope    tally.Scope
	overflow tally.Counter

	mu       sync.RWMutex
	teams    map[ident.TeamID]struct{}
	latency  map[latencyKey]tally.Histogram
	reasons  map[string]map[ident.Reason]tally.Counter // by counter name
	counters map[string]tally.Counter
	gauges   map[string]tally.Gauge
}

type latencyKey struct {
	team  ident.TeamID
	class ident.Class
}

// New returns an empty set of metrics and a function that updates the page a
// last time and closes the tally scope.
//
// The page is rendered from snapshots rather than tally's reports: tally reports
// deltas, and its final report at Close may overlap with one of its loop, which
// loses or duplicates values.
func New(opts ...Option) (*Metrics, func() error) {
	m := &Metrics{
		interval: DefaultReportInterval, maxTeams: DefaultMaxTeams, maxReasons: DefaultMaxReasons,
		teams:   map[ident.TeamID]struct{}{},
		latency: map[latencyKey]tally.Histogram{}, reasons: map[string]map[ident.Reason]tally.Counter{},
		counters: map[string]tally.Counter{}, gauges: map[string]tally.Gauge{},
	}
	for _, opt := range opts {
		opt(m)
	}

	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "fulmarfall", Separator: "_", Tags: m.tags, OmitCardinalityMetrics: true,
	}, noReporting)
	m.scope = scope
	// Every scope that tally creates implements TestScope.
	m.page = newPage(scope.(tally.TestScope), m.interval)
	m.overflow = m.scope.Counter(nameOverflow)

	return m, func() error {
		m.page.finish()

		if err := closer.Close(); err != nil {
			return errors.Wrap(err, "close metrics")
		}

		return nil
	}
}

// Counter returns the counter of a name. Names must be constants, because their
// number is not limited.
func (m *Metrics) Counter(name string) tally.Counter {
	return lookup(m, m.counters, name, func() tally.Counter { return m.scope.Counter(name) })
}

// Gauge returns the gauge of a name. Names must be constants, because their
// number is not limited.
func (m *Metrics) Gauge(name string) tally.Gauge {
	return lookup(m, m.gauges, name, func() tally.Gauge { return m.scope.Gauge(name) })
}

// Refused counts a refusal by its reason.
func (m *Metrics) Refused(r ident.Reason) { m.ByReason(nameRefused, r).Inc(1) }

// ByReason returns the counter of a name and a reason; above the limit of reasons,
// the one for Other.
func (m *Metrics) ByReason(name string, r ident.Reason) tally.Counter {
	m.mu.RLock()
	c, ok := m.reasons[name][r]
	m.mu.RUnlock()

	if ok {
		return c
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	byReason := m.reasons[name]
	if byReason == nil {
		byReason = map[ident.Reason]tally.Counter{}
		m.reasons[name] = byReason
	}

	if c, ok := byReason[r]; ok {
		return c
	}

	label := string(r)
	if r != Other && len(byReason) >= m.maxReasons {
		m.overflow.Inc(1)

		if c, ok := byReason[Other]; ok {
			return c
		}

		r, label = Other, Other
	}

	c = m.scope.Tagged(map[string]string{labelReason: label}).Counter(name)
	byReason[r] = c

	return c
}

// Latency returns the histogram of a team and a class; above the limit of teams,
// the one for Other. Unknown classes count as batch.
func (m *Metrics) Latency(team ident.TeamID, class ident.Class) tally.Histogram {
	key := latencyKey{team: team, class: class}

	m.mu.RLock()
	h, ok := m.latency[key]
	m.mu.RUnlock()

	if ok {
		return h
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	if class > ident.ClassBatch {
		key.class = ident.ClassBatch
	}

	if _, ok := m.teams[team]; !ok && team != Other {
		if len(m.teams) < m.maxTeams {
			m.teams[team] = struct{}{}
		} else {
			m.overflow.Inc(1)

			key.team = Other
		}
	}

	if h, ok := m.latency[key]; ok {
		return h
	}

	h = m.scope.Tagged(map[string]string{
		labelTeam: string(key.team), labelClass: key.class.String(),
	}).Histogram(nameLatency, Buckets)
	m.latency[key] = h

	return h
}

func lookup[T any](m *Metrics, byName map[string]T, name string, create func() T) T {
	m.mu.RLock()
	v, ok := byName[name]
	m.mu.RUnlock()

	if ok {
		return v
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	if v, ok := byName[name]; ok {
		return v
	}

	v = create()
	byName[name] = v

	return v
}

// Page returns the body for GET /metrics. It is cached for up to the interval set
// by WithReportInterval.
func (m *Metrics) Page() []byte { return m.page.text() }

// ContentType is the media type of the page.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"
