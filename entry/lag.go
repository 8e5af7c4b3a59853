package entry

import (
	"sync"
	"time"
)

const (
	// lagFactor is how many times the lag is subtracted from a target. Lag occurs before a request is read, before the
	// expiry of the target is noticed, and while the answer is written.
	lagFactor = 2
	// maxLagAllowance bounds what is subtracted, to about a quarter of the shortest target.
	maxLagAllowance = 20 * time.Millisecond
	// lagSamples is the number of timers over which the lag is averaged; a search sets three to five.
	lagSamples = 16
	// overloadLag is the lag from which callers are better served by another node. At this lag, a search with a target
	// of 80 ms is late regardless of the searchers.
	overloadLag = 40 * time.Millisecond
	// maxLagSample bounds one sample, so that a process that was stopped for seconds does not count as overloaded for as
	// long.
	maxLagSample = 10 * overloadLag
	// lagTTL is how long the average is valid after the last timer. A node that callers have left takes no samples.
	lagTTL = 2 * time.Second
)

// lagMeter averages how late timers fire, which shows how long work waits for the processor.
type lagMeter struct {
	mu         sync.Mutex
	average    time.Duration
	observedAt time.Time
}

func (m *lagMeter) observe(now time.Time, lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()

	if now.Sub(m.observedAt) > lagTTL {
		m.average = 0
	}

	m.average += (min(max(lag, 0), maxLagSample) - m.average) / lagSamples
	m.observedAt = now
}

func (m *lagMeter) get() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.average
}

// allowance is the time to subtract from a target to compensate for the lag.
func (m *lagMeter) allowance() time.Duration { return min(lagFactor*m.get(), maxLagAllowance) }

// overloaded reports whether the lag is so high that callers are better served by another node.
func (m *lagMeter) overloaded(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.average >= overloadLag && now.Sub(m.observedAt) <= lagTTL
}

// KeepsConnections reports whether callers should keep their connections to this node. If not, their requests are still
// served, but a caller that reconnects selects again among the addresses that it has.
func (n *Node) KeepsConnections() bool { return !n.leaving.Load() && !n.lag.overloaded(time.Now()) }
