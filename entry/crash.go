package entry

// This file keeps requests that crash searchers away from them. What one node sees is told to all through the control
// state.

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"fulmarfall/control"
	"fulmarfall/conviction"
	"fulmarfall/ident"
	"fulmarfall/query"
	"fulmarfall/sockets"
	"fulmarfall/timers"
	"fulmarfall/wire"

	"github.com/cespare/xxhash/v2"
)

// proposeTimeout bounds the time to tell the other nodes of a conviction.
const proposeTimeout = 3 * time.Second

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

	var convicted bool

	n.state.View(func(v control.View) {
		e, ok := v.Convictions().Lookup(fp)
		convicted = ok && e.State == conviction.Convicted
	})

	if convicted {
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

// conclude notes the connections that were lost while the request ran, ended of them new ones of searchers that have ended. A
// request that crashes searchers loses them at each one that runs it; where most have run it and answered, some of them crashed
// for another reason. When a seventh of all searchers crash at a moment, a request to 90 shards loses more than ten connections.
func (s *serving) conclude(now time.Time, ended int) {
	lost := s.lost + ended
	evidence := lost > 0 && lost >= s.ran

	if s.lost+s.resets > 0 {
		s.n.logger.Info().Str("request", string(s.r.ID)).Uint64("fingerprint", uint64(s.fingerprint)).Int("lost", s.lost).
			Int("resets", s.resets).Int("ended", ended).Int("ran", s.ran).Int("not_run", s.notRun).
			Bool("evidence", evidence).Msg("connections lost under a request")
	}

	if !evidence {
		return
	}

	s.n.count("crash_evidence_total", ident.ReasonCrashed)

	for range lost {
		s.n.lost(now, s.fingerprint, s.r.ID)
	}
}

// lost notes that a connection was lost while a request ran.
func (n *Node) lost(now time.Time, fp ident.Fingerprint, id ident.RequestID) {
	n.crashes.mu.Lock()
	convicted := n.crashes.evidence.Lost(now, fp, id)
	n.crashes.mu.Unlock()

	if !convicted {
		return
	}

	n.logger.Warn().Str("request", string(id)).Uint64("fingerprint", uint64(fp)).Msg("request is convicted of crashing searchers")
	n.count("requests_convicted_total", ident.ReasonConvicted)
	n.wg.Go(func() { n.tellConviction(fp) })
}

func (n *Node) tellConviction(fp ident.Fingerprint) {
	data, err := control.EncodeCommand(time.Now(), control.AddStrike{Fingerprint: fp, Alone: true})
	if err != nil {
		n.logger.Error().Err(err).Msg("conviction was not encoded")

		return
	}

	ctx, cancel := context.WithTimeout(n.ctx, proposeTimeout)
	defer cancel()

	list, _ := n.controlVMs()
	for _, id := range list {
		began := time.Now()
		reply, err := n.transport.Call(ctx, id, string(id), &wire.Propose{Command: data})

		r, ok := reply.(*wire.Proposed)
		stored := err == nil && ok && r.OK
		e := n.logger.Info().Uint64("fingerprint", uint64(fp)).Str("node", string(id)).Bool("stored", stored).
			Dur("took", time.Since(began)).Err(err)

		if ok && r.Error != "" {
			e = e.Str("answer", r.Error)
		}

		e.Msg("conviction offered")

		if stored {
			return
		}
	}

	n.logger.Warn().Uint64("fingerprint", uint64(fp)).Msg("conviction was not stored; other nodes have to find out by themselves")
}
