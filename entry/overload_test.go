package entry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against callers that are told to retry before the node has capacity again, or long after that.
func TestDrainTime(t *testing.T) {
	for name, tc := range map[string]struct {
		inFlight  int64
		perSecond float64
		want      time.Duration
	}{
		"full, 200 completions per second": {maxInFlight, 200, 500 * time.Millisecond},
		"above the limit":                  {maxInFlight + 100, 200, time.Second},
		"high completion rate":             {maxInFlight, 4000, defaultRetryAfter},
		"low completion rate":              {maxInFlight, 10, maxDrainTime},
		"no completions yet":               {maxInFlight, 0, maxDrainTime},
		"below the drain target":           {maxInFlight / 2, 200, defaultRetryAfter},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, drainTime(tc.inFlight, tc.perSecond)); diff != "" {
				t.Errorf("time differs (-want +got):\n%s", diff)
			}
		})
	}
}
