package metrics

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"fulmarfall/ident"

	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
)

// Guards against reporter goroutines that outlive Metrics.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// matchingLines returns the lines of the page that contain all of the given words.
func matchingLines(page []byte, words ...string) []string {
	var found []string
next:
	for line := range strings.Lines(string(page)) {
		for _, w := range words {
			if !strings.Contains(line, w) {
				continue next
			}
		}
		found = append(found, strings.TrimSpace(line))
	}

	return found
}

// Guards against values that are lost, counted twice or put into the wrong bucket between tally and the page.
func TestPage(t *testing.T) {
	m, stop := New(WithReportInterval(time.Hour), WithTags(map[string]string{"node": `a"b\`}))
	m.Counter("queries_total").Inc(2)
	m.Counter("queries_total").Inc(3)
	m.Gauge("in_flight").Update(1.5)
	m.Refused(ident.ReasonShed)
	m.Refused(ident.ReasonShed)
	m.Refused(ident.ReasonCold)
	for _, d := range []time.Duration{500 * time.Microsecond, 74 * time.Millisecond, 75 * time.Millisecond, 2 * time.Minute} {
		m.Latency("lending", ident.ClassUrgent).RecordDuration(d)
	}
	m.scope.Histogram("hits", tally.ValueBuckets{1, 10}).RecordValue(10)
	m.scope.Histogram("sync", Buckets).RecordDuration(time.Minute)
	if err := stop(); err != nil {
		t.Fatal(err)
	}
	page, node := m.Page(), `node="a\"b\\"`
	tests := map[string]struct {
		words []string
		want  []string
	}{
		"counter": {words: []string{"queries_total"}, want: []string{"# TYPE fulmarfall_queries_total counter", "fulmarfall_queries_total{" + node + "} 5"}},
		"gauge":   {words: []string{"in_flight{"}, want: []string{"fulmarfall_in_flight{" + node + "} 1.5"}},
		"refused": {words: []string{"refused_total{"}, want: []string{
			"fulmarfall_refused_total{" + node + `,reason="cold"} 1`, "fulmarfall_refused_total{" + node + `,reason="shed"} 2`,
		}},
		"first bucket": {words: []string{`le="0.001"`, "latency"}, want: []string{`fulmarfall_latency_seconds_bucket{class="urgent",` + node + `,team="lending",le="0.001"} 1`}},
		"upper bound":  {words: []string{`le="0.075"`, "latency"}, want: []string{`fulmarfall_latency_seconds_bucket{class="urgent",` + node + `,team="lending",le="0.075"} 3`}},
		"last bucket":  {words: []string{`le="+Inf"`, "latency"}, want: []string{`fulmarfall_latency_seconds_bucket{class="urgent",` + node + `,team="lending",le="+Inf"} 4`}},
		"count":        {words: []string{"latency_seconds_count"}, want: []string{`fulmarfall_latency_seconds_count{class="urgent",` + node + `,team="lending"} 4`}},
		"values":       {words: []string{"hits_bucket", `le="10"`}, want: []string{"fulmarfall_hits_bucket{" + node + `,le="10"} 1`}},
		"last bound":   {words: []string{"sync_count"}, want: []string{"fulmarfall_sync_count{" + node + "} 1"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, matchingLines(page, tc.words...)); diff != "" {
				t.Errorf("lines differ (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against unbounded labels from outside, samples that are lost above the
// limit, and data races between recording, updating and reading the page.
func TestLabelLimitsUnderLoad(t *testing.T) {
	const users, names, teams, reasons = 8, 200, 10, 5
	m, stop := New(WithReportInterval(time.Millisecond), WithMaxTeams(teams), WithMaxReasons(reasons))
	var wg sync.WaitGroup
	for range users {
		wg.Go(func() {
			for i := range names {
				name := fmt.Sprintf("name-%d", i)
				m.Latency(ident.TeamID(name), ident.Class(i%5)).RecordDuration(time.Millisecond)
				m.Refused(ident.Reason(name))
				m.Counter("queries_total").Inc(1)
				m.Gauge("in_flight").Update(float64(i))
				if i%50 == 0 {
					m.Page()
				}
			}
		})
	}
	wg.Wait()
	if err := stop(); err != nil {
		t.Fatal(err)
	}
	page := m.Page()
	perTeam, perReason := matchingLines(page, "latency_seconds_count{"), matchingLines(page, "refused_total{")
	if maxCount := (teams + 1) * len(ident.Classes); len(perTeam) > maxCount {
		t.Errorf("%d histograms, want at most %d", len(perTeam), maxCount)
	}
	if diff := cmp.Diff(reasons+1, len(perReason)); diff != "" {
		t.Errorf("number of reasons differs (-want +got):\n%s", diff)
	}
	for what, all := range map[string][]string{"latencies": perTeam, "refusals": perReason, "counter": matchingLines(page, "queries_total ")[1:]} {
		sum, other := 0, false
		for _, line := range all {
			var n int
			if _, err := fmt.Sscan(line[strings.LastIndexByte(line, ' '):], &n); err != nil {
				t.Fatal(err)
			}
			sum += n
			other = other || strings.Contains(line, `"other"`)
		}
		if diff := cmp.Diff(users*names, sum); diff != "" {
			t.Errorf("number of %s differs (-want +got):\n%s", what, diff)
		}
		if other != (what != "counter") {
			t.Errorf("%s: label \"other\" present: %v", what, other)
		}
	}
	if got := matchingLines(page, "label_overflow_total ")[1:]; len(got) != 1 || strings.HasSuffix(got[0], " 0") {
		t.Errorf("label overflow is not counted: %v", got)
	}
}

// Guards against values that are lost or counted twice when the final update
// overlaps with a periodic one.
func TestLastUpdateIsExact(t *testing.T) {
	const rounds, reasons, events = 100, 40, 50
	for range rounds {
		m, stop := New(WithReportInterval(20 * time.Microsecond))
		for i := range reasons * events {
			m.Refused(ident.Reason(fmt.Sprintf("name-%d", i%reasons)))
		}
		if err := stop(); err != nil {
			t.Fatal(err)
		}
		sum := 0
		for _, line := range matchingLines(m.Page(), "refused_total{") {
			var n int
			if _, err := fmt.Sscan(line[strings.LastIndexByte(line, ' '):], &n); err != nil {
				t.Fatal(err)
			}
			sum += n
		}
		if diff := cmp.Diff(reasons*events, sum); diff != "" {
			t.Fatalf("number of refusals differs (-want +got):\n%s", diff)
		}
	}
}
