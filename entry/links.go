package entry

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"fulmarfall/ident"
	"fulmarfall/query"
	"fulmarfall/reachability"
	"fulmarfall/roster"
	"fulmarfall/timers"
)

// linkProbeTimeout bounds a probe, in addition to the time by which timers are late. Opening a connection to another region
// takes 24 ms, plus 6 ms at the searcher.
const linkProbeTimeout = 100 * time.Millisecond

// refusalTTL is how long a round of probes shows that no searcher takes new connections. Rounds follow one another sooner
// while requests find none.
const refusalTTL = time.Second

// linkMonitor observes whether this node reaches any searcher.
type linkMonitor struct {
	mu       sync.Mutex
	detector *reachability.Detector
	rnd      *rand.Rand
	// isolated is closed while no searcher can be reached.
	isolated chan struct{}
	// refusedAt is the end of the last round of probes in which no searcher took a connection.
	refusedAt time.Time
	peers     *reachability.Peers
	// changed is set until an exchange with the control VM has begun after a change.
	changed atomic.Bool
	// servedVersion is the highest version of the configuration by which a peer has served a request for this node.
	servedVersion atomic.Uint64
}

func (m *linkMonitor) init() {
	m.detector = reachability.NewDetector()
	m.rnd = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // Spreads probes; not a secret.
	m.isolated = make(chan struct{})
	m.peers = reachability.NewPeers(m.rnd)
}

// refusesConnections reports whether no searcher takes new connections from this node, although some may answer on open ones.
func (m *linkMonitor) refusesConnections(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return !m.refusedAt.IsZero() && now.Sub(m.refusedAt) < refusalTTL
}

// isolation returns a channel that is closed while no searcher can be reached.
func (m *linkMonitor) isolation() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.isolated
}

func (m *linkMonitor) state() reachability.State {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.detector.State()
}

func (m *linkMonitor) mayHaveArrived(sent time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.detector.MayHaveArrived(sent)
}

func (m *linkMonitor) sent(now time.Time, s ident.SearcherID) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.detector.Sent(now, s)
}

// ended records the result of an attempt that was sent.
func (m *linkMonitor) ended(now time.Time, s ident.SearcherID, r query.AttemptResult) {
	m.mu.Lock()
	defer m.mu.Unlock()

	switch r {
	case query.ResultAnswered:
		m.detector.Answered(now, s)
	case query.ResultLost:
		m.detector.Lost(s)
	case query.ResultNoConnection, query.ResultUnused:
		m.detector.Ended(s)
	}
}

func (m *linkMonitor) opened(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.detector.Opened(now)
}

func (m *linkMonitor) unreachable(s ident.SearcherID) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.detector.Unreachable(s)
}

func (m *linkMonitor) setSearchers(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.detector.SetSearchers(n)
}

// checkLinks starts a round of probes if the traffic suggests that no searcher can be reached.
func (n *Node) checkLinks(now time.Time) {
	n.links.mu.Lock()
	due := n.links.detector.Due(now)
	n.links.mu.Unlock()

	if due {
		n.startProbes()
	}
}

func (n *Node) startProbes() {
	if n.ctx.Err() == nil {
		n.wg.Go(n.probeLinks)
	}
}

// probeLinks runs rounds of probes until a searcher is reached.
func (n *Node) probeLinks() {
	for {
		began := time.Now()
		probed, reached := n.probeRound()

		wait := n.endProbeRound(time.Now(), probed, reached, time.Since(began))
		if wait == 0 || timers.Sleep(n.ctx, wait) != nil {
			return
		}
	}
}

// probeRound tries to connect to searchers of different upstreams.
func (n *Node) probeRound() (probed, reached int) {
	v := n.view.Load()

	var all []reachability.Target

	for id, in := range v.byID {
		if in.State == roster.StateReady && !v.outOfService[in.FailureDomain] {
			all = append(all, reachability.Target{Searcher: id, Upstream: in.Upstream, Near: n.cfg.Regions[in.FailureDomain] == n.cfg.Region})
		}
	}

	n.links.mu.Lock()
	targets := reachability.ChooseTargets(all, reachability.ProbesPerRound, n.links.rnd)
	n.links.mu.Unlock()

	var (
		timeout = linkProbeTimeout + lagFactor*n.lag.get()
		results = make(chan bool, len(targets))
	)

	for _, t := range targets {
		p := n.pools.get(t.Searcher)
		if p == nil {
			continue
		}

		probed++

		go func() { results <- p.reaches(timeout) }()
	}

	for range probed {
		if <-results {
			reached++
		}
	}

	return probed, reached
}

// endProbeRound evaluates a round, and logs and reports a change of the state. It returns the time until the next round,
// or 0.
func (n *Node) endProbeRound(now time.Time, probed, reached int, took time.Duration) time.Duration {
	m := &n.links

	m.mu.Lock()
	wait := m.detector.EndRound(now, reached)

	m.refusedAt = time.Time{}
	if reached == 0 {
		m.refusedAt = now
	}
	m.mu.Unlock()

	n.count("link_probes_total", probeResult(reached))
	n.updateIsolation(probed, reached, took)

	return wait
}

// updateIsolation applies a change of the state to this node.
func (n *Node) updateIsolation(probed, reached int, took time.Duration) {
	m := &n.links

	m.mu.Lock()
	isolated := m.detector.State() == reachability.Isolated
	was := isClosed(m.isolated)

	switch {
	case isolated && !was:
		close(m.isolated)
	case !isolated && was:
		m.isolated = make(chan struct{})
	}
	m.mu.Unlock()

	if isolated == was {
		return
	}

	n.logger.Warn().Bool("isolated", isolated).Int("probed", probed).Int("reached", reached).Dur("took", took).
		Int64("in_flight", n.inFlight.Load()).Msg("links to the searchers changed")

	if n.meters != nil {
		n.meters.Gauge("isolated").Update(boolGauge(isolated))
	}

	if !isolated {
		n.planner.ForgetFailures()
	}

	n.followNow()
}

// checkIdleLinks starts a round of probes at a node without recent traffic, because other nodes reach no searcher. Callers
// may be sent to this one next.
func (n *Node) checkIdleLinks(now time.Time) {
	n.links.mu.Lock()
	due := n.links.detector.Check(now)
	n.links.mu.Unlock()

	if due {
		n.startProbes()
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}

	return 0
}

// Labels of link_probes_total.
const (
	probesReached ident.Reason = "reached"
	probesFailed  ident.Reason = "failed"
)

func probeResult(reached int) ident.Reason {
	if reached > 0 {
		return probesReached
	}

	return probesFailed
}
