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

// linkMonitor observes whether this node reaches any searcher.
type linkMonitor struct {
	mu       sync.Mutex
	detector *reachability.Detector
	rnd      *rand.Rand
	// isolated is closed while no searcher can be reached.
	isolated chan struct{}
	// reported is the last state of the links that was logged and reported.
	reported roster.Links
	peers    *reachability.Peers
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

// linksOf returns the state of the links for the roster.
func linksOf(s reachability.State) roster.Links {
	switch s {
	case reachability.Limited:
		return roster.LinksLimited
	case reachability.Isolated:
		return roster.LinksDown
	case reachability.Connected, reachability.Suspect:
	}

	return roster.LinksUp
}

// takesNoConnections reports whether no searcher takes new connections from this node, although some may answer on open ones.
func (m *linkMonitor) takesNoConnections() bool { return m.reportedLinks() != roster.LinksUp }

func (m *linkMonitor) reportedLinks() roster.Links {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.reported
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

// candidates returns the peers to ask, see reachability.Peers.
func (m *linkMonitor) candidates(now time.Time, groups ...[]ident.NodeID) []ident.NodeID {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.peers.Candidates(now, groups...)
}

func (m *linkMonitor) peerFailed(now time.Time, id ident.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.peers.Failed(now, id)
}

func (m *linkMonitor) peerSlow(now time.Time, id ident.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.peers.Slow(now, id)
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

// linkPollInterval is how often awaitLinks checks whether a suspicion has ended.
const linkPollInterval = 10 * time.Millisecond

// awaitLinks waits until a suspicion against the links is confirmed or refuted.
func (n *Node) awaitLinks() {
	for n.links.state() == reachability.Suspect {
		if timers.Sleep(n.ctx, linkPollInterval) != nil {
			return
		}
	}
}

// checkLinks starts a round of probes if the traffic suggests that no searcher can be reached.
func (n *Node) checkLinks(now time.Time) {
	n.links.mu.Lock()
	due := n.links.detector.Due(now)
	n.links.mu.Unlock()

	if due {
		n.startProbes(reachability.ProbesPerRound)
	}
}

// startProbes runs rounds of probes, the first with the given number of searchers, until one is reached.
func (n *Node) startProbes(first int) {
	if n.ctx.Err() == nil {
		n.wg.Go(func() { n.probeLinks(first) })
	}
}

func (n *Node) probeLinks(probes int) {
	for ; ; probes = reachability.ProbesPerRound {
		began := time.Now()
		probed, reached := n.probeRound(probes)

		wait := n.endProbeRound(time.Now(), probed, reached, time.Since(began))
		if wait == 0 || timers.Sleep(n.ctx, wait) != nil {
			return
		}
	}
}

// probeRound tries to connect to searchers of different upstreams.
func (n *Node) probeRound(probes int) (probed, reached int) {
	targets := n.probeTargets(probes, func(in *roster.Instance) (eligible, near bool) {
		return true, n.cfg.Regions[in.FailureDomain] == n.cfg.Region
	})

	return n.probePools(targets, linkProbeTimeout+lagFactor*n.lag.get(), len(targets))
}

// probeTargets chooses at most count of the ready searchers that are eligible, half of them among the near ones.
func (n *Node) probeTargets(count int, classify func(*roster.Instance) (eligible, near bool)) []reachability.Target {
	v := n.view.Load()

	var all []reachability.Target

	for id, in := range v.byID {
		if in.State != roster.StateReady || v.outOfService[in.FailureDomain] {
			continue
		}

		if eligible, near := classify(&in); eligible {
			all = append(all, reachability.Target{Searcher: id, Upstream: in.Upstream, Near: near})
		}
	}

	n.links.mu.Lock()
	defer n.links.mu.Unlock()

	return reachability.ChooseTargets(all, count, n.links.rnd)
}

// probePools tries to connect to searchers until enough are reached or all probes have ended.
func (n *Node) probePools(targets []reachability.Target, timeout time.Duration, enough int) (probed, reached int) {
	results := make(chan bool, len(targets))

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

		if reached >= enough {
			break
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
	links, before := linksOf(m.detector.State()), m.reported
	m.reported = links

	switch {
	case links == roster.LinksDown && before != roster.LinksDown:
		close(m.isolated)
	case links != roster.LinksDown && before == roster.LinksDown:
		m.isolated = make(chan struct{})
	}
	m.mu.Unlock()

	n.count("link_probes_total", probeResult(reached))

	if links != before {
		n.reportLinks(links, probed, reached, took)
	}

	return wait
}

// reportLinks applies a change of the links to this node and reports it.
func (n *Node) reportLinks(links roster.Links, probed, reached int, took time.Duration) {
	n.logger.Warn().Stringer("links", links).Int("probed", probed).Int("reached", reached).Dur("took", took).
		Int64("in_flight", n.inFlight.Load()).Msg("links to the searchers changed")

	if n.meters != nil {
		n.meters.Gauge("links_down").Update(boolGauge(links == roster.LinksDown))
		n.meters.Gauge("links_limited").Update(boolGauge(links == roster.LinksLimited))
	}

	if links == roster.LinksUp {
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
		n.startProbes(reachability.ProbesPerCheck)
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
