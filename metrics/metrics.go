// Package metrics counts events and latencies with tally and shows them as a text page.
//
// Every label that comes from outside is bounded: past the bound, samples are
// counted under the label "other", so that a flood of names cannot fill the memory.
package metrics

import (
	"sync"
	"time"

	"fulmarfall/ident"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
)

const (
	// DefaultReportEvery is the time between two updates of the page: a third of
	// the 15 s at which collectors usually read it.
	DefaultReportEvery = 5 * time.Second
	// DefaultTeams bounds the teams with histograms of their own.
	DefaultTeams = 64
	// DefaultReasons bounds the labels of a counter by reason. There are about 30 reasons.
	DefaultReasons = 64
	// Other is the label of everything past a bound.
	Other = "other"

	// noReports keeps tally from starting its report loop.
	noReports time.Duration = 0

	labelTeam   = "team"
	labelClass  = "class"
	labelReason = "reason"

	nameLatency  = "latency_seconds"
	nameRefused  = "refused_total"
	nameOverflow = "label_overflow_total"
)

// Buckets are the bounds of the latency histograms. They are close together
// around 75 ms, the bound that 99 of 100 answers must keep.
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

// WithReportEvery sets the time between two updates of the page.
func WithReportEvery(d time.Duration) Option { return func(m *Metrics) { m.every = d } }

// WithTeams bounds the teams with histograms of their own.
func WithTeams(n int) Option { return func(m *Metrics) { m.maxTeams = n } }

// WithReasons bounds the labels of each counter by reason.
func WithReasons(n int) Option { return func(m *Metrics) { m.maxReasons = n } }

// WithTags adds labels to every metric, such as the node.
func WithTags(tags map[string]string) Option { return func(m *Metrics) { m.tags = tags } }

// Metrics is safe for concurrent use.
type Metrics struct {
	every      time.Duration
	maxTeams   int
	maxReasons int
	tags       map[string]string

	page     *page
	scope    tally.Scope
	overflow tally.Counter

	mu       sync.RWMutex
	teams    map[ident.TeamID]struct{}
	latency  map[latencyKey]tally.Histogram
	reasons  map[string]map[ident.Reason]tally.Counter // by name of the counter
	counters map[string]tally.Counter
	gauges   map[string]tally.Gauge
}

type latencyKey struct {
	team  ident.TeamID
	class ident.Class
}

// New returns metrics without values. The returned function updates the page a last time.
//
// The page is made from snapshots instead of tally's reports: tally reports
// differences, and its last report at Close may overlap with one of its loop,
// which loses or doubles values.
func New(opts ...Option) (*Metrics, func() error) {
	m := &Metrics{
		every: DefaultReportEvery, maxTeams: DefaultTeams, maxReasons: DefaultReasons,
		teams:   map[ident.TeamID]struct{}{},
		latency: map[latencyKey]tally.Histogram{}, reasons: map[string]map[ident.Reason]tally.Counter{},
		counters: map[string]tally.Counter{}, gauges: map[string]tally.Gauge{},
	}
	for _, opt := range opts {
		opt(m)
	}

	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "fulmarfall", Separator: "_", Tags: m.tags, OmitCardinalityMetrics: true,
	}, noReports)
	m.scope = scope
	// Every scope that tally makes gives snapshots.
	m.page = newPage(scope.(tally.TestScope), m.every)
	m.overflow = m.scope.Counter(nameOverflow)

	return m, func() error {
		m.page.end()

		if err := closer.Close(); err != nil {
			return errors.Wrap(err, "close metrics")
		}

		return nil
	}
}

// Counter returns the counter of a name that the code fixes.
func (m *Metrics) Counter(name string) tally.Counter {
	return lookup(m, m.counters, name, func() tally.Counter { return m.scope.Counter(name) })
}

// Gauge returns the gauge of a name that the code fixes.
func (m *Metrics) Gauge(name string) tally.Gauge {
	return lookup(m, m.gauges, name, func() tally.Gauge { return m.scope.Gauge(name) })
}

// Refused counts a refusal by its reason.
func (m *Metrics) Refused(r ident.Reason) { m.ByReason(nameRefused, r).Inc(1) }

// ByReason returns the counter of a name and a reason.
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

// Latency returns the histogram of a team and a class.
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

func lookup[T any](m *Metrics, all map[string]T, name string, make func() T) T {
	m.mu.RLock()
	v, ok := all[name]
	m.mu.RUnlock()

	if ok {
		return v
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	if v, ok := all[name]; ok {
		return v
	}

	v = make()
	all[name] = v

	return v
}

// Page returns the text for GET /metrics. Its values are at most the time of
// WithReportEvery old.
func (m *Metrics) Page() []byte { return m.page.text() }

// ContentType is the media type of the page.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"
