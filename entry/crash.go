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
)

// probe determines, soon after a searcher has reset a new connection, whether it has exited. A searcher at its
// connection limit keeps listening; the address of one that has exited refuses connections until it is back, which takes
// seconds.
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

		c, err := p.dial(probeTimeout)
		if err == nil {
			_ = c.Close() // Nothing was sent on it.
		}

		exited <- sockets.IsRefused(err)
	})

	return exited
}

// detectCrash evaluates the connections lost under the request once the probes of searchers that reset a new connection
// have ended.
func (s *activeRequest) detectCrash(now time.Time) {
	var probes []<-chan bool

	for _, a := range s.attempts {
		// The failure is known only for attempts whose result was received; workers of others may still be writing
		// searcherExited.
		if a.failure == failureReset && a.searcherExited != nil {
			probes = append(probes, a.searcherExited)
		}
	}

	// Lost connections may also mean that the links of this node have failed.
	suspect := s.lost > 0 && s.n.links.state() == reachability.Suspect

	if len(probes) == 0 && !suspect {
		s.recordLosses(now, 0)

		return
	}

	if s.n.ctx.Err() != nil {
		return // The process stops.
	}

	s.n.wg.Go(func() {
		exited := 0

		for _, p := range probes {
			if <-p {
				exited++
			}
		}

		s.n.awaitLinks()
		s.recordLosses(time.Now(), exited)
	})
}

// recordLosses decides whether the connections lost under the request are evidence against it. exited is the number of
// searchers that reset a new connection and have exited. A request that crashes searchers loses its connection at each
// one that runs it; if most have run it and answered, the other crashes had another cause. When a seventh of all
// searchers crash at once, a request to 90 shards loses more than ten connections.
func (s *activeRequest) recordLosses(now time.Time, exited int) {
	lost := s.lost + exited
	// Connections to all searchers are lost when the links of this node fail.
	isEvidence := lost > 0 && lost >= s.ran && !s.answered && s.n.links.state() != reachability.Isolated

	if s.lost+s.resets > 0 {
		s.n.logger.Info().Str("request", string(s.r.ID)).Stringer("fingerprint", s.fingerprint).Int("lost", s.lost).
			Int("resets", s.resets).Int("ended", exited).Int("ran", s.ran).Int("not_run", s.notRun).
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

	n.crashes.mu.Lock()
	convicted := false

	for range lost {
		convicted = n.crashes.evidence.RecordLoss(now, s.fingerprint, s.r.ID, s.r.Arrived) || convicted
	}

	n.crashes.mu.Unlock()

	if convicted {
		n.convict(s.fingerprint, s.r.ID)

		return
	}

	if conviction.Outdated(now, s.suspect) {
		// Expired strikes must not count together with the new ones.
		n.queueEvidence(now, evidence{command: control.ClearSuspect{Fingerprint: s.fingerprint, Strikes: s.suspect.Strikes}})
	}

	for range conviction.StrikesForLosses(lost) {
		n.queueEvidence(now, evidence{
			command: control.AddStrike{Fingerprint: s.fingerprint}, request: s.r.ID, requestStart: s.r.Arrived, suspect: s.suspect,
		})
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
	known := n.crashes.evidence.CountedStrikes(e.requestStart, e.suspect)
	convicted := conviction.ConvictsByStrikes(known, r.Strikes) && n.crashes.evidence.Convict(now, s.Fingerprint)
	n.crashes.mu.Unlock()

	if convicted {
		n.convict(s.Fingerprint, e.request)
	}
}

// clearEvidence clears the fingerprint of a request that was answered: a request that crashes every searcher is never
// answered.
func (s *activeRequest) clearEvidence(now time.Time) {
	n := s.n

	n.crashes.mu.Lock()
	n.crashes.evidence.Clear(now, s.fingerprint, s.suspect)
	n.crashes.mu.Unlock()
	n.outbox.dropStrikes(s.fingerprint)

	if s.suspect.State == conviction.Suspect {
		n.queueEvidence(now, evidence{command: control.ClearSuspect{Fingerprint: s.fingerprint, Strikes: s.suspect.Strikes}})
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
