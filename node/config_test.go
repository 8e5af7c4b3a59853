package node

import (
	"testing"
	"time"

	"fulmarfall/metrics"
	"fulmarfall/transport"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"
)

// Guards against unset limits that are passed on as 0, and against configured limits that are replaced by defaults.
func TestConfigDefaults(t *testing.T) {
	limits := func(c Config) []any {
		c.setDefaults()

		return []any{
			c.MaxConnections, c.requestLimits().hits, c.requestLimits().timeout, c.CallsPerPeer, c.SendQueue,
			c.IdleTimeout, c.MetricsTeams, c.MetricsInterval,
		}
	}

	want := []any{
		fasthttp.DefaultConcurrency, 1000, 30 * time.Second, transport.DefaultStreamsPerPeer, transport.DefaultSendQueue,
		transport.DefaultIdleTimeout, metrics.DefaultMaxTeams, metrics.DefaultReportInterval,
	}
	if diff := cmp.Diff(want, limits(Config{})); diff != "" {
		t.Errorf("defaults differ (-want +got):\n%s", diff)
	}

	configured := Config{
		MaxConnections: 1, MaxHits: 2, MaxTimeout: 3, CallsPerPeer: 4, SendQueue: 5, IdleTimeout: 6, MetricsTeams: 7, MetricsInterval: 8,
	}
	want = []any{1, 2, time.Duration(3), 4, 5, time.Duration(6), 7, time.Duration(8)}

	if diff := cmp.Diff(want, limits(configured)); diff != "" {
		t.Errorf("configured limits differ (-want +got):\n%s", diff)
	}
}
