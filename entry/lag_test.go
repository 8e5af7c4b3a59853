package entry

import (
	"testing"
	"time"
)

// Guards against callers that stay at a node with a throttled processor, and against a node that counts as overloaded
// because its process was stopped once, or indefinitely because it takes no more samples. The load is searches with a
// target of 80 ms.
func TestOverloaded(t *testing.T) {
	start := time.Unix(1_000_000, 0)

	for name, tc := range map[string]struct {
		lags  []time.Duration // samples, 100 ms apart
		after time.Duration   // since the last sample
		want  bool
	}{
		"no sample yet":                 {nil, 0, false},
		"normal load":                   {repeat(5*time.Millisecond, 50), 0, false},
		"throttled processor":           {append(repeat(2*time.Millisecond, 20), repeat(100*time.Millisecond, 12)...), 0, true},
		"one late timer":                {append(repeat(2*time.Millisecond, 20), 150*time.Millisecond), 0, false},
		"stopped for 10 s":              {append(repeat(2*time.Millisecond, 20), 10*time.Second), 0, false},
		"no longer throttled":           {append(repeat(100*time.Millisecond, 40), repeat(2*time.Millisecond, 20)...), 0, false},
		"no samples since callers left": {repeat(100*time.Millisecond, 40), lagTTL + time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			var (
				m   lagMeter
				now = start
			)

			for _, lag := range tc.lags {
				now = now.Add(100 * time.Millisecond)
				m.observe(now, lag)
			}

			if got := m.overloaded(now.Add(tc.after)); got != tc.want {
				t.Errorf("overloaded %v with an average of %v, want %v", got, m.get(), tc.want)
			}
		})
	}
}

func repeat(lag time.Duration, n int) []time.Duration {
	list := make([]time.Duration, n)
	for i := range list {
		list[i] = lag
	}

	return list
}

// Guards against a throttled node to which callers are sent because its measured load is low.
func TestOverloadedNodeReportsFullLoad(t *testing.T) {
	n := newServingNode(t, 1, func(c *Config) { c.ProcessorCores = 0.2 })

	if in := n.self(); int(in.Load) >= in.Capacity || !n.KeepsConnections() {
		t.Fatalf("an idle node reports load %d of %d, keeps callers %v", in.Load, in.Capacity, n.KeepsConnections())
	}

	for range 100 {
		n.lag.observe(time.Now(), 200*time.Millisecond)
	}

	if in := n.self(); int(in.Load) < in.Capacity || n.KeepsConnections() {
		t.Errorf("a throttled node reports load %d of %d, keeps callers %v", in.Load, in.Capacity, n.KeepsConnections())
	}
}
