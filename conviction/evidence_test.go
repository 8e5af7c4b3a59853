package conviction

import (
	"fmt"
	"testing"
	"time"

	"fulmarfall/ident"
)

// Guards against a poison request that is never convicted, and against harmless requests that are convicted because one
// searcher, or several at once, failed while they ran.
func TestEvidence(t *testing.T) {
	now := time.Unix(1000, 0)

	type loss struct {
		after   time.Duration
		request ident.RequestID
		// elapsed is how long the request had been running.
		elapsed time.Duration
	}

	const run = 100 * time.Millisecond

	for name, tc := range map[string]struct {
		losses []loss
		want   bool
	}{
		"one request loses many searchers":    {[]loss{{0, "a", run}, {0, "a", run}, {0, "a", run}, {0, "a", run}}, false},
		"one loss in each of two requests":    {[]loss{{0, "a", run}, {time.Second, "b", run}}, false},
		"the repeated request loses one more": {[]loss{{0, "a", run}, {0, "a", run}, {time.Second, "b", run}}, true},
		"the first losses have expired":       {[]loss{{0, "a", run}, {0, "a", run}, {2 * time.Minute, "b", run}}, false},
		"three requests with one loss each":   {[]loss{{0, "a", run}, {time.Second, "b", run}, {2 * time.Second, "c", run}}, true},
		"losses of two requests interleave": {
			[]loss{{0, "a", run}, {time.Second, "b", run}, {time.Second, "a", time.Second + run}}, true,
		},
		"equal concurrent requests lose many searchers at once": {
			[]loss{{0, "a", run}, {0, "b", run}, {time.Millisecond, "c", run}, {run / 2, "d", run}}, false,
		},
		"overlapping equal requests fail one after the other": {
			[]loss{{0, "a", run}, {settlePeriod / 2, "b", run}, {settlePeriod, "c", run}, {settlePeriod + run, "d", run}}, true,
		},
		"the second request begins within the settle period": {
			[]loss{{0, "a", run}, {0, "a", run}, {settlePeriod, "b", run}}, false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := NewEvidence()
			at, reported := now, 0

			for _, l := range tc.losses {
				at = now.Add(l.after)
				if e.RecordLoss(at, 7, l.request, at.Add(-l.elapsed)) {
					reported++
				}
			}

			if got := e.Convicts(at, 7); got != tc.want {
				t.Errorf("convicted: got %v, want %v", got, tc.want)
			}

			if wantReported := map[bool]int{true: 1}[tc.want]; reported != wantReported {
				t.Errorf("RecordLoss reported a conviction %d times, want %d", reported, wantReported)
			}
		})
	}
}

// Guards against records that grow without limit as different requests lose connections.
func TestEvidenceIsBounded(t *testing.T) {
	e := NewEvidence()
	for i := range 3 * maxTracked {
		e.RecordLoss(time.Unix(1000, 0), ident.Fingerprint(i), ident.RequestID(fmt.Sprint(i)), time.Unix(999, 0))
	}

	if len(e.losses) > maxTracked {
		t.Errorf("%d fingerprints are kept, limit %d", len(e.losses), maxTracked)
	}
}

// Guards against a poison request that crashes one searcher through each of several nodes and is convicted by none of them,
// and against a conviction by one failure that affects several concurrent requests, or by losses that have expired.
func TestSharedStrikes(t *testing.T) {
	now := time.Unix(100000, 0)

	for name, tc := range map[string]struct {
		strikes int
		// When the request begins, the last strike was made ago before, and the node has observed the suspicion for seen.
		ago, seen time.Duration
		cleared   bool   // and struck again
		stored    uint32 // including the strikes of the request
		want      bool
	}{
		"the first request loses many searchers":  {stored: 2},
		"concurrent requests lose searchers":      {stored: 20},
		"a later request loses one more":          {strikes: 2, ago: time.Second, seen: settlePeriod, stored: 3, want: true},
		"it begins within the settle period":      {strikes: 2, ago: time.Second, seen: settlePeriod - 1, stored: 3},
		"two losses in total":                     {strikes: 1, ago: time.Second, seen: settlePeriod, stored: 2},
		"three losses, two of the second request": {strikes: 1, ago: time.Second, seen: settlePeriod, stored: 3, want: true},
		"an answer has cleared the first strikes": {strikes: 2, ago: time.Second, seen: settlePeriod, stored: 1},
		"cleared and struck again":                {strikes: 2, ago: time.Second, seen: settlePeriod, cleared: true, stored: 4},
		"the strikes have expired":                {strikes: 2, ago: EvidenceTTL, seen: settlePeriod, stored: 4},
		"clock of the control state is ahead":     {strikes: 2, ago: -time.Second, seen: settlePeriod, stored: 3, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			const fp = 7

			var (
				e     = NewEvidence()
				table = New()
			)

			strike := func() {
				for range tc.strikes {
					table.Strike(now.Add(-tc.ago), fp, false)
				}
			}

			strike()
			e.ObserveSuspects(now.Add(-tc.seen), table)

			if tc.cleared {
				table.Clear(fp, uint32(tc.strikes))
				strike()
			}

			e.ObserveSuspects(now, table)

			known, _ := table.Lookup(fp)
			if got := ConvictsByStrikes(e.CountedStrikes(now, known), tc.stored); got != tc.want {
				t.Errorf("convicted: got %v, want %v", got, tc.want)
			}
		})
	}

	if got := StrikesForLosses(20); got >= lossesToConvict {
		t.Errorf("one request adds %d strikes, which reach the threshold for a conviction", got)
	}
}

// Guards against a node that keeps sending requests convicted by the losses of other nodes, and against losses that still
// count after a request was answered.
func TestConvictAndClear(t *testing.T) {
	now := time.Unix(100000, 0)
	e := NewEvidence()

	if !e.Convict(now, 7) || e.Convict(now, 7) {
		t.Errorf("Convict does not report the conviction as new exactly once")
	}

	if !e.Convicts(now, 7) {
		t.Errorf("fingerprint is not convicted after Convict")
	}

	table := New()
	table.Strike(now, 8, false)
	table.Strike(now, 8, false)
	e.ObserveSuspects(now, table)

	e.RecordLoss(now, 8, "a", now)
	e.RecordLoss(now, 8, "a", now)

	known, _ := table.Lookup(8)
	e.Clear(now, 8, known)

	later := now.Add(time.Second)
	if e.RecordLoss(later, 8, "b", later) || e.Convicts(later, 8) {
		t.Errorf("fingerprint is convicted by losses before an answer")
	}

	if got := e.CountedStrikes(later, known); got != 0 {
		t.Errorf("%d strikes before an answer count, want 0", got)
	}

	table.Clear(8, 2)
	table.Strike(later, 8, false)
	e.ObserveSuspects(later, table)

	known, _ = table.Lookup(8)
	if got := e.CountedStrikes(later.Add(settlePeriod), known); got != 1 {
		t.Errorf("%d strikes of a new suspicion count, want 1", got)
	}
}

// Guards against a conviction that a node drops before the control state, which was unreachable, has stored it.
func TestConvictionOutlivesEvidence(t *testing.T) {
	now := time.Unix(100000, 0)
	e := NewEvidence()

	e.RecordLoss(now, 7, "a", now)
	e.RecordLoss(now, 7, "a", now)
	e.RecordLoss(now.Add(settlePeriod), 7, "b", now.Add(settlePeriod))

	now = now.Add(settlePeriod)

	for name, tc := range map[string]struct {
		after time.Duration
		want  bool
	}{
		"immediately":                 {0, true},
		"after losses have expired":   {EvidenceTTL, true},
		"when the conviction expires": {ConvictionTTL, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := e.Convicts(now.Add(tc.after), 7); got != tc.want {
				t.Errorf("convicted: got %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against one exit of a searcher that counts for each of the equal requests that it ran, and against exits of later
// incarnations that do not count.
func TestExitCountsOnce(t *testing.T) {
	now := time.Unix(1000, 0)

	for name, tc := range map[string]struct {
		first, second Exit
		want          bool // of the second exit
	}{
		"two requests on one searcher":    {Exit{"a", now.Add(-time.Second), now}, Exit{"a", now.Add(-time.Minute), now}, false},
		"two searchers":                   {Exit{"a", now.Add(-time.Second), now}, Exit{"b", now.Add(-time.Second), now}, true},
		"the searcher had restarted":      {Exit{"a", now.Add(-time.Second), now}, Exit{"a", now.Add(time.Second), now.Add(2 * time.Second)}, true},
		"connection opened before, later": {Exit{"a", now.Add(-time.Second), now}, Exit{"a", now.Add(-time.Second), now.Add(time.Second)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := NewEvidence()
			if !e.RecordExit(now, 7, tc.first) {
				t.Errorf("the first exit does not count")
			}

			e.RecordLoss(now, 7, "a", now)

			if got := e.RecordExit(now.Add(2*time.Second), 7, tc.second); got != tc.want {
				t.Errorf("the second exit counts: got %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against losses that count on at a node, and convict a request, after an answer at another node has cleared the
// suspicion.
func TestAnswerElsewhereClearsLosses(t *testing.T) {
	now := time.Unix(100000, 0)
	e, table := NewEvidence(), New()

	e.RecordLoss(now, 7, "a", now)
	e.RecordLoss(now, 7, "a", now)
	table.Strike(now, 7, false)
	table.Strike(now, 7, false)
	e.ObserveSuspects(now, table)

	table.Clear(7, 2)
	e.ObserveSuspects(now, table)

	later := now.Add(time.Second)
	if e.RecordLoss(later, 7, "b", later) || e.Convicts(later, 7) {
		t.Errorf("fingerprint is convicted by losses before an answer at another node")
	}
}
