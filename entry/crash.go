package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"fulmarfall/control"
	"fulmarfall/conviction"
	"fulmarfall/ident"
	"fulmarfall/query"
	"fulmarfall/reachability"
	"fulmarfall/roster"
	"fulmarfall/sockets"
	"fulmarfall/timers"

	"github.com/cespare/xxhash/v2"
)

// crashTracker holds this node's evidence of requests that crash searchers. The evidence is shared through the control
// state, so that losses under requests at different nodes add up.
type crashTracker struct {
	mu       sync.Mutex
	evidence *conviction.Evidence
	// activeProbes counts the probes in progress.
	activeProbes atomic.Int64
	// trials holds the suspected fingerprints of which a request runs at this node.
	trials map[ident.Fingerprint]struct{}
	// trialTokens numbers the trials of this node.
	trialTokens uint64
}

// fingerprint identifies a repeated request: one with the same method, host, path, query and body.
func fingerprint(r *Request) ident.Fingerprint {
	d := xxhash.New()
	for _, part := range [][]byte{[]byte(r.Method), []byte(r.Host), []byte(r.URI), r.Body} {
		// Writes to an xxhash digest never fail.
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0})
	}

	return ident.Fingerprint(d.Sum64())
}

// standing returns whether a fingerprint is convicted by the evidence of this node or by the control state and, if so,
// when the caller may retry.
func (n *Node) standing(now time.Time, fp ident.Fingerprint) (query.Standing, time.Time) {
	n.crashes.mu.Lock()
	local := n.crashes.evidence.Convicts(now, fp)
	n.crashes.mu.Unlock()

	if local {
		return query.StandingConvicted, now.Add(convictedRetryAfter)
	}

	if n.convictionEntry(fp).State == conviction.Convicted {
		return query.StandingConvicted, now.Add(convictedRetryAfter)
	}

	return query.StandingNone, time.Time{}
}

// convictedRetryAfter is the time after which a caller may retry a convicted request; it is far above any deadline.
const convictedRetryAfter = time.Minute

const (
	// probeTimeout bounds a probe for whether a searcher has exited. A refused connection takes a round trip, 24 ms
	// between regions.
	probeTimeout = 100 * time.Millisecond
	// maxProbes bounds the concurrent probes. After a power loss, a node receives hundreds of resets from searchers that
	// are at their connection limit.
	maxProbes = 16
	// otherSearchers is the number of searchers that are asked whether the links of this node work. A new connection may hold
	// a slot there for some milliseconds.
	otherSearchers = 2
	// restartWait is how long a searcher that accepts connections again may take to report that it has restarted. It
	// reports at its start, and this node asks each followInterval.
	restartWait = 4 * followInterval
	// probePeriod bounds the time until the links of this node let a probe decide, probeInterval is the time between two.
	probePeriod   = 3 * time.Second
	probeInterval = 100 * time.Millisecond
)

// probe determines, soon after a connection to a searcher was lost, whether the searcher has exited. One at its connection
// limit keeps listening; the address of one that has exited refuses connections until it is back, which takes seconds.
func (n *Node) probe(p *pool) <-chan bool {
	exited := make(chan bool, 1)

	if n.ctx.Err() != nil {
		exited <- false

		return exited
	}

	if n.crashes.activeProbes.Add(1) > maxProbes {
		n.crashes.activeProbes.Add(-1)
		n.count("crash_probes_skipped_total", ident.ReasonOverloaded)

		exited <- false

		return exited
	}

	n.wg.Go(func() {
		defer n.crashes.activeProbes.Add(-1)

		// A process that exits closes its sockets one after the other, so its listener may still be open.
		if timers.Sleep(n.ctx, resetMargin) != nil {
			exited <- false

			return
		}

		exited <- n.hasExited(p)
	})

	return exited
}

// hasExited probes a searcher until it is known whether it has exited.
func (n *Node) hasExited(p *pool) bool {
	var (
		exit    reachability.Exit
		refused bool
	)

	for end := time.Now().Add(probePeriod); time.Now().Before(end); {
		if n.links.state() != reachability.Connected {
			refused = true // It would refuse connections.
		} else if exit, refused = reachability.ProbeExit(exitProbe{n: n, p: p}, refused); exit != reachability.ExitUnknown {
			break
		}

		if timers.Sleep(n.ctx, probeInterval) != nil {
			break
		}
	}

	return exit == reachability.Exited
}

// exitProbe implements reachability.ExitProbe for the searcher of a pool.
type exitProbe struct {
	n *Node
	p *pool
}

// Refuses implements reachability.ExitProbe.
func (x exitProbe) Refuses() bool {
	c, err := x.p.dial(probeTimeout)
	if err == nil {
		_ = c.Close() // Nothing was sent on it.
	}

	return sockets.IsRefused(err)
}

// OthersAccept implements reachability.ExitProbe. It asks searchers in the failure domain of the probed one first, because a
// partition may separate this node from that domain alone.
func (x exitProbe) OthersAccept() bool {
	in := x.p.instance
	others := x.n.probeTargets(otherSearchers, func(o *roster.Instance) (eligible, near bool) {
		return o.Address != in.Address, o.FailureDomain == in.FailureDomain
	})
	probed, reached := x.n.probePools(others, probeTimeout, 1)

	return probed == 0 || reached > 0
}

// Restarted implements reachability.ExitProbe.
func (x exitProbe) Restarted() bool {
	for end := time.Now().Add(restartWait); ; {
		for _, in := range x.n.view.Load().byID {
			if in.Address == x.p.instance.Address && in.Born > x.p.instance.Born {
				return true
			}
		}

		if !time.Now().Before(end) || timers.Sleep(x.n.ctx, linkPollInterval) != nil {
			return false
		}
	}
}

// detectCrash evaluates the connections lost under the request once the probes of their searchers have ended, and ends its trial.
func (s *activeRequest) detectCrash(now time.Time) {
	var (
		probed   []*attempt
		unprobed = s.lost
	)

	for _, a := range s.attempts {
		// The failure is known only for attempts whose result was received; workers of others may still be writing
		// searcherExited.
		if a.failure != failureReset && a.failure != failureLost || a.searcherExited == nil {
			continue
		}

		probed = append(probed, a)

		if a.failure == failureLost {
			unprobed--
		}
	}

	// Lost connections may also mean that the links of this node have failed.
	suspect := s.lost > 0 && s.n.links.state() == reachability.Suspect
	if len(probed) == 0 && !suspect {
		s.recordLosses(now, unprobed)
		s.endTrial()

		return
	}

	if s.n.ctx.Err() != nil {
		return // The process stops.
	}

	s.n.wg.Go(func() {
		var exits []conviction.Exit

		for _, a := range probed {
			if <-a.searcherExited {
				exits = append(exits, conviction.Exit{Searcher: a.send.Searcher, Opened: a.openedAt, Lost: a.endedAt})
			}
		}

		s.n.awaitLinks()

		now := time.Now()
		s.recordLosses(now, unprobed+s.n.newExits(now, s.fingerprint, exits))
		s.endTrial()
	})
}

// newExits returns how many of the exits were not counted against the fingerprint before.
func (n *Node) newExits(now time.Time, fp ident.Fingerprint, exits []conviction.Exit) (count int) {
	n.crashes.mu.Lock()
	defer n.crashes.mu.Unlock()

	for _, x := range exits {
		if n.crashes.evidence.RecordExit(now, fp, x) {
			count++
		}
	}

	return count
}

// recordLosses decides whether the connections lost under the request are evidence against it. lost is the number of
// searchers that are known to have exited, and of those that were not probed. A request that crashes searchers loses its
// connection at each one that runs it; if most have run it and answered, the other crashes had another cause. When a
// seventh of all searchers crash at once, a request to 90 shards loses more than ten connections.
func (s *activeRequest) recordLosses(now time.Time, lost int) {
	// Connections to all searchers are lost when the links of this node fail.
	isEvidence := lost > 0 && lost >= s.ran && !s.answered && s.n.links.state() != reachability.Isolated

	if s.lost+s.resets > 0 {
		s.n.logger.Info().Str("request", string(s.r.ID)).Stringer("fingerprint", s.fingerprint).Int("lost", s.lost).
			Int("resets", s.resets).Int("ended", lost).Int("ran", s.ran).Int("not_run", s.notRun).
			Uint32("strikes", s.suspect.Strikes).Bool("evidence", isEvidence).Msg("connections lost under a request")
	}

	switch {
	case isEvidence:
		s.n.count("crash_evidence_total", ident.ReasonCrashed)
		s.addEvidence(now, lost)
	case s.answered:
		s.clearEvidence(now)
	}
}

// addEvidence counts lost connections against the fingerprint of the request, on this node and in the control state.
func (s *activeRequest) addEvidence(now time.Time, lost int) {
	n := s.n
	r := conviction.Request{ID: s.r.ID, Fingerprint: s.fingerprint, Began: s.r.Arrived, Suspect: s.suspect, Trial: s.trial != ""}

	n.crashes.mu.Lock()
	v := n.crashes.evidence.RecordLosses(now, r, lost)
	n.crashes.mu.Unlock()

	if v.Convicts {
		n.convict(s.fingerprint, s.r.ID)

		return
	}

	if v.Expired {
		n.queueEvidence(now, evidence{command: control.ClearSuspect{Fingerprint: s.fingerprint, Strikes: s.suspect.Strikes}})
	}

	for range v.Strikes {
		n.queueEvidence(now, evidence{command: control.AddStrike{Fingerprint: s.fingerprint}, request: r})
	}
}

// convict makes all nodes refuse a fingerprint. request is the one whose losses led to the conviction.
func (n *Node) convict(fp ident.Fingerprint, request ident.RequestID) {
	n.logger.Warn().Str("request", string(request)).Stringer("fingerprint", fp).Msg("request is convicted of crashing searchers")
	n.count("requests_convicted_total", ident.ReasonConvicted)
	n.queueEvidence(time.Now(), evidence{command: control.AddStrike{Fingerprint: fp, Exclusive: true}})
}

// convictOnStrikes convicts a fingerprint if the control state, which has just stored a strike, has enough evidence
// against it.
func (n *Node) convictOnStrikes(now time.Time, e evidence, result control.Result) {
	s, ok := e.command.(control.AddStrike)
	r, stored := result.(control.StrikeResult)

	if !ok || !stored || s.Exclusive || r.State != conviction.Suspect {
		return
	}

	n.crashes.mu.Lock()
	convicted := n.crashes.evidence.ConvictStored(now, e.request, r.Strikes)
	n.crashes.mu.Unlock()

	if convicted {
		n.convict(s.Fingerprint, e.request.ID)
	}
}

// clearEvidence clears the fingerprint of a request that was answered: a request that crashes every searcher is never
// answered.
func (s *activeRequest) clearEvidence(now time.Time) {
	n := s.n

	// Strikes that were stored while the request ran are cleared, too.
	suspect := n.convictionEntry(s.fingerprint)
	if suspect.State != conviction.Suspect {
		suspect = s.suspect
	}

	n.crashes.mu.Lock()
	n.crashes.evidence.Clear(now, s.fingerprint, suspect)
	n.crashes.mu.Unlock()

	n.outbox.dropStrikes(s.fingerprint)

	if suspect.State == conviction.Suspect {
		n.queueEvidence(now, evidence{command: control.ClearSuspect{Fingerprint: s.fingerprint, Strikes: suspect.Strikes}})
	}
}

// observeSuspects records which suspicions are new in this node's copy of the control state.
func (n *Node) observeSuspects(now time.Time) {
	n.state.View(func(v control.View) {
		n.crashes.mu.Lock()
		defer n.crashes.mu.Unlock()

		n.crashes.evidence.ObserveSuspects(now, v.Convictions())
	})
}

// convictionEntry returns the entry of the control state for a fingerprint, which is zero if there is none.
func (n *Node) convictionEntry(fp ident.Fingerprint) (e conviction.Entry) {
	n.state.View(func(v control.View) { e, _ = v.Convictions().Lookup(fp) })

	return e
}
