package entry

import (
	"testing"
	"time"

	"fulmarfall/configuration"

	"github.com/google/go-cmp/cmp"
)

// Guards against configured limits that are not applied to callers, and against a limit of zero where none is
// configured.
func TestCallerTimeouts(t *testing.T) {
	n := newServingNode(t, 1)
	addRoute(n, "single", "", true)

	for name, tc := range map[string]struct {
		limits configuration.Limits
		want   CallerTimeouts
	}{
		"configured":     {configuration.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}, CallerTimeouts{Header: 3 * time.Second, Body: bodyTimeout, Idle: 15 * time.Second}},
		"not configured": {configuration.Limits{}, CallerTimeouts{Header: defaultHeaderTimeout, Body: bodyTimeout, Idle: defaultIdleTimeout}},
	} {
		t.Run(name, func(t *testing.T) {
			n.view.Load().configuration.Limits = tc.limits
			if diff := cmp.Diff(tc.want, n.CallerTimeouts()); diff != "" {
				t.Errorf("timeouts differ (-want +got):\n%s", diff)
			}
		})
	}
}
