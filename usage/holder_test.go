package usage

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/ident"
)

var epoch = time.Unix(1_000_000, 0)

func leasedHolder(t *testing.T) *Holder {
	t.Helper()

	h := NewHolder(1)
	h.SetLimits(epoch, map[ident.TeamID]Limit{"a": usual.Limit(10, 10)})

	r := h.Report(epoch, true, nil)
	if !h.Apply(epoch, &Grant{Term: 2, Sequence: r.Sequence, Teams: []TeamShare{{Team: "a", Shares: Shares{Rate: 500_000, Burst: 500_000}, Tokens: 3}}}).Applied {
		t.Fatalf("grant not applied")
	}

	return h
}

// Guards against grants that an entry VM must not apply, because the share may belong to others by then.
func TestHolderIgnoresGrants(t *testing.T) {
	raised := []TeamShare{{Team: "a", Shares: whole}}

	for name, tc := range map[string]struct {
		term                    uint64
		earlier, starting       bool
		reportAfter, replyAfter time.Duration
		want                    bool
	}{
		"answer to the latest report":                       {term: 2, want: true},
		"answer to an earlier report":                       {term: 2, earlier: true},
		"earlier leader":                                    {term: 1},
		"later leader":                                      {term: 3, want: true},
		"answer after a lease":                              {term: 2, replyAfter: Lease},
		"lease expired since the report":                    {term: 2, reportAfter: Lease - time.Second, replyAfter: 1500 * time.Millisecond, want: true},
		"the same, from a leader that does not know shares": {term: 3, starting: true, reportAfter: Lease - time.Second, replyAfter: 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			h := leasedHolder(t)
			at := epoch.Add(tc.reportAfter)
			r := h.Report(at, true, nil)
			sequence := r.Sequence

			if tc.earlier {
				h.Report(at, true, nil)
			}

			res := h.Apply(at.Add(tc.replyAfter), &Grant{Term: tc.term, Sequence: sequence, Starting: tc.starting, Teams: raised})
			if got := h.Shares(at.Add(tc.replyAfter))["a"] == whole; got != tc.want || res.Applied != tc.want {
				t.Errorf("applied %v, share raised %v, want %v", res.Applied, got, tc.want)
			}
		})
	}
}

// Guards against an entry VM that serves from its shares after its lease, as one does whose machine was suspended, and against
// a report that does not state that it holds nothing.
func TestHolderAfterLease(t *testing.T) {
	h := leasedHolder(t)
	if !h.Take(epoch.Add(Lease-time.Millisecond), "a") {
		t.Errorf("refused within the lease")
	}

	resumed := epoch.Add(Lease)
	if h.Take(resumed, "a") || h.Leased(resumed) {
		t.Errorf("admitted after the lease")
	}

	if r := h.Report(resumed, true, nil); !r.Full || len(r.Teams) != 0 {
		t.Errorf("report after the lease: full %v, %d teams, want a full one without shares", r.Full, len(r.Teams))
	}
}

// Guards against tokens that appear when a share grows, and against those of a share that shrinks being lost or kept.
func TestTokensFollowShares(t *testing.T) {
	h := leasedHolder(t)
	grant := func(s Share, tokens float64) *Report {
		r := h.Report(epoch, true, nil)
		h.Apply(epoch, &Grant{Term: 2, Sequence: r.Sequence, Teams: []TeamShare{{Team: "a", Shares: Shares{Rate: s, Burst: s}, Tokens: tokens}}})

		return h.Report(epoch, true, nil)
	}
	take := func() (n int) {
		for h.Take(epoch, "a") {
			n++
		}

		return n
	}

	grant(Whole, 2) // 3 tokens before

	// The smaller bucket holds a tenth of the burst.
	returned := 5 - h.limits["a"].Burst/10
	if r := grant(Whole/10, 0); len(r.Teams) != 1 || math.Abs(r.Teams[0].Returned-returned) > 0.002 {
		t.Errorf("report after a lower share: %+v, want %.3f tokens returned", r.Teams, returned)
	}

	got := []int{take()}

	grant(Whole, 0)

	got = append(got, take())

	if diff := cmp.Diff([]int{2, 0}, got); diff != "" {
		t.Errorf("requests admitted after the share was lowered and raised (-want +got):\n%s", diff)
	}
}

// Guards against a leader that grants more than the margin before it knows all shares, however many requests wait, and against
// one that grants no requests at all then.
func TestMarginOfNewLeader(t *testing.T) {
	limit := usual.Limit(1, 2)
	a := NewAllocator(1, epoch)
	a.SetLimits(epoch, map[ident.TeamID]Limit{"a": limit})

	h := NewHolder(1)
	h.SetLimits(epoch, map[ident.TeamID]Limit{"a": limit})

	admitted := []int{}

	for _, after := range []time.Duration{0, time.Second, startPeriod - time.Millisecond} {
		now := epoch.Add(after)
		h.Arrive(now, "a")

		g := a.Report(now, "e", h.Report(now, true, map[ident.TeamID]int{"a": 100}))
		h.Apply(now, g)

		n := 0
		for h.Take(now, "a") {
			n++
		}

		admitted = append(admitted, n)
	}

	// A fifth of 5.1 tokens at once and 30 in 100 over the period, and a quarter of the rate of 1.15 a second, in whole tokens.
	if diff := cmp.Diff([]int{1, 0, 3}, admitted); diff != "" {
		t.Errorf("requests admitted (-want +got):\n%s", diff)
	}
}
