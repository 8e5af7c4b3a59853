package rollout

import (
	"math"
	"testing"
	"time"
)

// fill records the same response some times.
func fill(e Evidence, k CellKey, n int, r Response) {
	for range n {
		e.Record(k, r)
	}
}

// Guards against searchers that count as slow because the entry VMs that used them are in another region, and against slow ones
// that are overlooked because of that.
func TestSlowResponsesByPlace(t *testing.T) {
	const local, far = 10 * time.Millisecond, 24 * time.Millisecond

	for name, tc := range map[string]struct {
		from    string
		latency time.Duration
		want    string
	}{
		"near":                {from: "dar", latency: local},
		"near, slow":          {from: "dar", latency: 5 * local, want: signSlow},
		"another region":      {from: "mwanza", latency: local + far},
		"another region,slow": {from: "mwanza", latency: 8*local + far, want: signSlow},
	} {
		t.Run(name, func(t *testing.T) {
			old, fresh := CellKey{Route: "r", FailureDomain: "dar-1", From: "dar"}, CellKey{Route: "r", FailureDomain: "dar-1", From: "dar", New: true}
			if tc.from == "mwanza" {
				fresh.From = "mwanza"
			}

			s := newEvidenceSum(time.Unix(0, 0))

			for i := range 8 {
				e := Evidence{}
				fill(e, old, 20, Response{Latency: local})
				fill(e, fresh, 4, Response{Latency: tc.latency})
				s.add(e, nil)
				s.slice(time.Unix(0, 0).Add(time.Duration(i+1) * sliceTime))
			}

			if f, sign := s.badSign(strongSign); sign != tc.want {
				t.Errorf("sign %q (%s), want %q", sign, f.describe(), tc.want)
			}
		})
	}
}

// Guards against a wrong probability, by which good versions would be rolled back or bad ones completed.
func TestTail(t *testing.T) {
	for name, tc := range map[string]struct {
		x, n int
		p    float64
		want float64
	}{
		"none": {0, 10, 0.5, 1}, "all": {3, 3, 0.5, 0.125}, "half": {1, 2, 0.5, 0.75}, "impossible": {1, 5, 0, 0}, "certain": {5, 5, 1, 1},
		"rare": {2, 10, 0.1, 0.2639}, "many": {60, 1000, 0.05, 0.0867},
	} {
		if got := tail(tc.x, tc.n, tc.p); math.Abs(got-tc.want) > 0.001 {
			t.Errorf("%s: %v, want %v", name, got, tc.want)
		}
	}
}

// Guards against responses of cold searchers that count as slow, and reports that are counted twice or not at all.
func TestEvidenceIsCountedOnce(t *testing.T) {
	e := NewEvaluator(time.Unix(0, 0), Limits{}, Order{ID: 1, Stage: StageCanary, Within: time.Minute}, 0)
	k := CellKey{Route: "r", New: true}
	r := Report{Source: Source{Node: "n", Incarnation: 1}, Sequence: 1, Order: 1, Cells: Evidence{}}

	r.Cells.Record(k, Response{Latency: time.Second, Cold: true})
	r.Cells.Record(k, Response{Latency: time.Second})

	copied := func(sequence, incarnation uint64) Report {
		c := r
		c.Sequence, c.Incarnation, c.Cells = sequence, incarnation, Evidence{k: r.Cells[k]}

		return c
	}

	for _, report := range []Report{copied(2, 1), copied(2, 1), copied(1, 1), copied(3, 1), copied(1, 2), {Source: r.Source, Sequence: 9, Order: 7, Cells: r.Cells}} {
		e.Add(time.Unix(0, 0), report)
	}

	if c := e.sum.total[k]; c.Responses != 4 || c.Latency.total() != 2 {
		t.Errorf("%d responses, %d latencies, want 4 and 2", c.Responses, c.Latency.total())
	}
}
