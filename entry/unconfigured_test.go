package entry

import (
	"testing"
	"time"
)

// After a loss of power, entry VMs have no configuration for up to a second. A caller that retries earlier is refused for
// good, so one with enough time must be spread over more than that second, and one with little time must not wait longer.
func TestUnconfiguredRetry(t *testing.T) {
	now := time.Now()

	for name, tc := range map[string]struct {
		left     time.Duration
		earliest time.Duration
		latest   time.Duration // at least half of the callers are told to wait for more than half of it
	}{
		"deadline of 4 s":   {4 * time.Second, unconfiguredRetryAfter, 1200 * time.Millisecond},
		"deadline of 15 s":  {15 * time.Second, unconfiguredRetryAfter, unconfiguredRetryLimit},
		"deadline of 0.6 s": {600 * time.Millisecond, unconfiguredRetryAfter, 750 * time.Millisecond},
		"no deadline":       {0, unconfiguredRetryAfter, 750 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			r := &Request{Arrived: now}
			if tc.left > 0 {
				r.Deadline = now.Add(tc.left)
			}

			late := 0

			for range 200 {
				d := unconfiguredRetry(r)
				if d < tc.earliest || d > tc.latest {
					t.Fatalf("caller told to retry after %v, want %v to %v", d, tc.earliest, tc.latest)
				}

				if d > (tc.earliest+tc.latest)/2 {
					late++
				}
			}

			if late < 60 || late > 140 {
				t.Errorf("%d of 200 callers told to retry in the later half of the time, want about half", late)
			}
		})
	}
}
