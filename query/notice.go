package query

import (
	"time"

	"fulmarfall/ident"
)

// Notice is a searcher's request in an answer that a node send it no requests, temporarily or at all.
type Notice struct {
	// Leaving is set if this incarnation of the searcher accepts no new requests.
	Leaving bool
	// Rest is the back-off: how long, from the answer on, the searcher wants no requests from this node.
	Rest time.Duration
}

const (
	// backoffJitter is the maximum random increase of a back-off as a fraction, and maxBackoffJitter its upper bound.
	// Without it, a searcher that asked all nodes for back-off at the same time would receive all of their requests at the
	// same time again.
	backoffJitter    = 0.1
	maxBackoffJitter = 500 * time.Millisecond
	// maxBackoff bounds a back-off so that adding it to a time cannot overflow; no incarnation of a searcher runs as long.
	maxBackoff = 365 * 24 * time.Hour
)

// notice is the combined state of all notices of one incarnation of a searcher.
type notice struct {
	incarnation   uint64
	leaving       bool
	excludedUntil time.Time
	at            time.Time // time of the last notice
}

// RecordNotice records a notice from an incarnation of a searcher. Notices from incarnations older than the latest known
// one are dropped. It reports whether the notice excludes the searcher for longer than earlier ones did.
func (p *Planner) RecordNotice(now time.Time, s ident.SearcherID, incarnation uint64, n Notice) bool {
	if !n.Leaving && n.Rest <= 0 {
		return false
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	known, ok := p.notices[s]

	switch {
	case ok && incarnation < known.incarnation:
		return false
	case !ok || incarnation > known.incarnation:
		if !ok && len(p.notices) >= p.searcherCapacity {
			p.evictNotices(now)
		}

		known = &notice{incarnation: incarnation}
		p.notices[s] = known
	}

	known.at = now
	changed := n.Leaving && !known.leaving
	known.leaving = known.leaving || n.Leaving

	if n.Rest > 0 {
		backoff := min(n.Rest, maxBackoff)
		jitter := min(time.Duration(p.rnd.Float64()*backoffJitter*float64(backoff)), maxBackoffJitter)

		if until := now.Add(backoff + jitter); until.After(known.excludedUntil) {
			known.excludedUntil, changed = until, true
		}
	}

	return changed
}

// Excluded reports whether an incarnation of a searcher has asked for no requests at this time, and for how much longer. A
// searcher that is leaving stays excluded; the wait is then 0.
func (p *Planner) Excluded(now time.Time, s ident.SearcherID, incarnation uint64) (wait time.Duration, excluded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.excluded(now, s, incarnation)
}

func (p *Planner) excluded(now time.Time, s ident.SearcherID, incarnation uint64) (wait time.Duration, excluded bool) {
	n, ok := p.notices[s]

	switch {
	case !ok || n.incarnation != incarnation:
		return 0, false
	case n.leaving:
		return 0, true
	case now.Before(n.excludedUntil):
		return n.excludedUntil.Sub(now), true
	default:
		return 0, false
	}
}

// evictNotices frees space by removing expired back-offs first and then the oldest notices.
func (p *Planner) evictNotices(now time.Time) {
	for id, n := range p.notices {
		if !n.leaving && !now.Before(n.excludedUntil) {
			delete(p.notices, id)
		}
	}

	for len(p.notices) >= p.searcherCapacity {
		var oldest ident.SearcherID

		for id, n := range p.notices {
			if o := p.notices[oldest]; o == nil || n.at.Before(o.at) {
				oldest = id
			}
		}

		delete(p.notices, oldest)
	}
}
