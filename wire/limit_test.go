package wire

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/roster"
)

// Guards against a request limit whose age or state changes on the way between nodes, whose clocks differ.
func TestRequestLimitOnTheWire(t *testing.T) {
	sent, received := time.Unix(1000, 0), time.Unix(5000, 0)

	for name, tc := range map[string]struct{ limit, want roster.RequestLimit }{
		"none":   {roster.RequestLimit{}, roster.RequestLimit{}},
		"stated": {roster.RequestLimit{StatedAt: sent.Add(-time.Second), Limited: true, PerSecond: 2.5}, roster.RequestLimit{StatedAt: received.Add(-time.Second), Limited: true, PerSecond: 2.5}},
		"ended":  {roster.RequestLimit{StatedAt: sent}, roster.RequestLimit{StatedAt: received}},
	} {
		t.Run(name, func(t *testing.T) {
			w := ToWireInstance(sent, &roster.Instance{ID: "s", Limit: tc.limit}, 0)

			in, _ := w.Instance(received)
			if diff := cmp.Diff(tc.want, in.Limit); diff != "" {
				t.Errorf("request limit differs (-want +got):\n%s", diff)
			}
		})
	}
}
