package entry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The load: a node with as many requests in progress as it takes, which end at some rate.
//
// Guards against callers that are told to come back before the node has room, or long after it has.
func TestDrainTime(t *testing.T) {
	for name, tc := range map[string]struct {
		inFlight  int64
		perSecond float64
		want      time.Duration
	}{
		"full, 200 end in a second":       {maxInFlight, 200, 500 * time.Millisecond},
		"above the bound":                 {maxInFlight + 100, 200, time.Second},
		"fast":                            {maxInFlight, 4000, defaultRetryAfter},
		"slow":                            {maxInFlight, 10, maxDrainTime},
		"nothing has ended yet":           {maxInFlight, 0, maxDrainTime},
		"room again while it was decided": {maxInFlight / 2, 200, defaultRetryAfter},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, drainTime(tc.inFlight, tc.perSecond)); diff != "" {
				t.Errorf("time differs (-want +got):\n%s", diff)
			}
		})
	}
}
