package entry

// This file keeps requests that crash searchers away from them. What one node sees is told to all through the control
// state, so that losses under requests that come to different nodes add up.

import (
	"sync"
	"sync/atomic"
	"time"

	"fulmarfall/control"
	"fulmarfall/conviction"
	"fulmarfall/ident"
	"fulmarfall/query"
	"fulmarfall/sockets"
	"fulmarfall/timers"

	"github.com/cespare/xxhash/v2"
)

// crashes holds what this node has seen of requests that crash searchers.
type crashes struct {
	mu       sync.Mutex
	evidence *conviction.Evidence
	// probes counts the looks at searchers that are under way.
	probes atomic.Int64
}

// fingerprint identifies a request that comes again: the same method, host, path, query and body.
func fingerprint(r *Request) ident.Fingerprint {
	d := xxhash.New()
	for _, part := range [][]byte{[]byte(r.Method), []byte(r.Host), []byte(r.URI), r.Body} {
		// The digest of xxhash never fails to write.
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0})
	}

	return ident.Fingerprint(d.Sum64())
}

// standing returns what is known of a fingerprint, here and at the other nodes.
func (n *Node) standing(now time.Time, fp ident.Fingerprint) (query.Standing, time.Time) {
	n.crashes.mu.Lock()
	local := n.crashes.evidence.Convicts(now, fp)
	n.crashes.mu.Unlock()

	if local {
		return query.StandingConvicted, now.Add(convictedRetry)
	}

	if n.heldAgainst(fp).State == conviction.Convicted {
		return query.StandingConvicted, now.Add(convictedRetry)
	}

	return query.StandingNone, time.Time{}
}

// convictedRetry is when a caller may ask again after a conviction; it is far above any deadline.
const convictedRetry = time.Minute

const (
	// probeTimeout bounds the look at whether a searcher has ended. Its refusal takes the way there and back, 24 ms between
	// regions.
	probeTimeout = 100 * time.Millisecond
	// maxProbes bounds these looks at a time. After a loss of power a node meets hundreds of resets by searchers that have
	// too many connections.
	maxProbes = 16
)

// probe tells, soon after a searcher has reset a new connection, whether it has ended. One that has too many connections goes
// on listening; the address of one that has ended refuses connections until it is back, which takes seconds.
func (n *Node) probe(p *pool) <-chan bool {
	ended := make(chan bool, 1)

	if n.ctx.Err() != nil {
		ended <- false

		return ended
	}

	if n.crashes.probes.Add(1) > maxProbes {
		n.crashes.probes.Add(-1)
		n.count("crash_probes_skipped_total", ident.ReasonOverloaded)

		ended <- false

		return ended
	}

	n.wg.Go(func() {
		defer n.crashes.probes.Add(-1)

		// A process that ends closes its sockets one after the other.
		if timers.Sleep(n.ctx, resetMargin) != nil {
			ended <- false

			return
		}

		c, err := p.dial(probeTimeout)
		if err == nil {
			_ = c.Close() // Nothing was sent on it.
		}

		ended <- sockets.IsRefused(err)
	})

	return ended
}

// judgeCrashes draws the conclusion from the connections that were lost while the request ran, once it is known which
// searchers that reset new ones have ended.
func (s *serving) judgeCrashes(now time.Time) {
	var probes []<-chan bool

	for _, a := range s.attempts {
		// The failure is known only of attempts whose end was taken; others may still be writing searcherEnded.
		if a.failure == failureReset && a.searcherEnded != nil {
			probes = append(probes, a.searcherEnded)
		}
	}

	if len(probes) == 0 {
		s.conclude(now, 0)

		return
	}

	s.n.wg.Go(func() {
		ended := 0

		for _, p := range probes {
			if <-p {
				ended++
			}
		}

		s.conclude(time.Now(), ended)
	})
}

// conclude draws the conclusion from the connections that were lost while the request ran, ended of them new ones of searchers
// that have ended. A request that crashes searchers loses them at each one that runs it; where most have run it and answered,
// some of them crashed for another reason. When a seventh of all searchers crash at a moment, a request to 90 shards loses more
// than ten connections.
func (s *serving) conclude(now time.Time, ended int) {
	lost := s.lost + ended
	evidence := lost > 0 && lost >= s.ran && !s.served

	if s.lost+s.resets > 0 {
		s.n.logger.Info().Str("request", string(s.r.ID)).Stringer("fingerprint", s.fingerprint).Int("lost", s.lost).
			Int("resets", s.resets).Int("ended", ended).Int("ran", s.ran).Int("not_run", s.notRun).
			Uint32("strikes", s.suspect.Strikes).Bool("evidence", evidence).Msg("connections lost under a request")
	}

	switch {
	case evidence:
		s.n.count("crash_evidence_total", ident.ReasonCrashed)
		s.accuse(now, lost)
	case s.served:
		s.acquit(now)
	}
}

// accuse counts lost connections against the fingerprint of the request, here and at all nodes.
func (s *serving) accuse(now time.Time, lost int) {
	n := s.n

	n.crashes.mu.Lock()
	convicted := false

	for range lost {
		convicted = n.crashes.evidence.Lost(now, s.fingerprint, s.r.ID, s.r.Arrived) || convicted
	}

	n.crashes.mu.Unlock()

	if convicted {
		n.convict(s.fingerprint, s.r.ID)

		return
	}

	if conviction.Outdated(now, s.suspect) {
		// Strikes from long ago must not count with the new ones.
		n.tell(now, evidence{command: control.ClearSuspect{Fingerprint: s.fingerprint, Strikes: s.suspect.Strikes}})
	}

	for range conviction.Strikes(lost) {
		n.tell(now, evidence{
			command: control.AddStrike{Fingerprint: s.fingerprint}, request: s.r.ID, began: s.r.Arrived, suspect: s.suspect,
		})
	}
}

// convict has all nodes refuse a fingerprint; the losses of a request have decided that.
func (n *Node) convict(fp ident.Fingerprint, request ident.RequestID) {
	n.logger.Warn().Str("request", string(request)).Stringer("fingerprint", fp).Msg("request is convicted of crashing searchers")
	n.count("requests_convicted_total", ident.ReasonConvicted)
	n.tell(time.Now(), evidence{command: control.AddStrike{Fingerprint: fp, Alone: true}})
}

// judgeStored convicts a fingerprint if the control state, which has just taken a strike, holds enough against it.
func (n *Node) judgeStored(now time.Time, e evidence, result control.Result) {
	s, ok := e.command.(control.AddStrike)
	r, stored := result.(control.StrikeResult)

	if !ok || !stored || s.Alone || r.State != conviction.Suspect {
		return
	}

	n.crashes.mu.Lock()
	known := n.crashes.evidence.Known(e.began, e.suspect)
	convicted := conviction.ConvictsAgain(known, r.Strikes) && n.crashes.evidence.Convict(now, s.Fingerprint)
	n.crashes.mu.Unlock()

	if convicted {
		n.convict(s.Fingerprint, e.request)
	}
}

// acquit clears the fingerprint of a request that was answered: what crashes each searcher is answered by none.
func (s *serving) acquit(now time.Time) {
	n := s.n

	n.crashes.mu.Lock()
	n.crashes.evidence.Acquit(now, s.fingerprint, s.suspect)
	n.crashes.mu.Unlock()
	n.outbox.dropStrikes(s.fingerprint)

	if s.suspect.State == conviction.Suspect {
		n.tell(now, evidence{command: control.ClearSuspect{Fingerprint: s.fingerprint, Strikes: s.suspect.Strikes}})
	}
}

// observeSuspects notes which suspicions are new in the copy of the control state.
func (n *Node) observeSuspects(now time.Time) {
	n.state.View(func(v control.View) {
		n.crashes.mu.Lock()
		defer n.crashes.mu.Unlock()

		n.crashes.evidence.ObserveSuspects(now, v.Convictions())
	})
}

// heldAgainst returns what the control state holds against a fingerprint.
func (n *Node) heldAgainst(fp ident.Fingerprint) (e conviction.Entry) {
	n.state.View(func(v control.View) { e, _ = v.Convictions().Lookup(fp) })

	return e
}
