package conviction

import (
	"time"

	"fulmarfall/ident"
)

const (
	// lossesToConvict and requestsToConvict are what convicts a fingerprint where requests are not run alone: connections lost
	// while it ran, in that many requests, of which each begins after losses under the one before. A searcher that fails takes
	// the connections of the requests at that moment with it; that the same request loses them again, at others, is no
	// accident.
	lossesToConvict   = 3
	requestsToConvict = 2
	// settles is how long after the first losses a request has to begin for its own to show more than these. Connections to a
	// searcher that has ended are used without a look for 300 ms (freshFor in package entry, which must not be longer), and
	// where other searchers work, equal requests are answered in that time.
	settles = 300 * time.Millisecond
	// EvidenceFor is how long a loss counts. A caller sends a request again within its deadline, a few seconds.
	EvidenceFor = time.Minute
	// maxEvidence bounds the fingerprints that are watched at a time.
	maxEvidence = 4096
)

// Strikes returns how many strikes the losses of one request are worth where all nodes share them. They stay below what
// convicts, so that a conviction takes a second request.
func Strikes(losses int) int { return min(losses, lossesToConvict-1) }

// Outdated reports whether an entry is a suspicion whose last strike is long ago.
func Outdated(now time.Time, e Entry) bool {
	return e.State == Suspect && now.Sub(e.Last) >= EvidenceFor
}

// ConvictsAgain reports whether a request that has lost connections convicts its fingerprint, given the strikes that were known
// when it began, and those that the control state holds with its own. Strikes of requests that run at the same moment do not
// convict: one failure may be behind all of them. Those that an answer has cleared meanwhile do not either.
func ConvictsAgain(known, stored uint32) bool { return known > 0 && stored >= lossesToConvict }

// Evidence is what one node has seen of fingerprints that may crash searchers. It is not part of the replicated state and
// not safe for concurrent use.
type Evidence struct {
	losses map[ident.Fingerprint]*lossRecord
	// acquitted holds when a fingerprint under suspicion was last answered here.
	acquitted map[ident.Fingerprint]time.Time
	// suspects holds since when the copy of the control state has had each suspicion, as of a version of its table.
	suspects map[ident.Fingerprint]suspicion
	version  uint64
}

// suspicion is a suspect of the control state: began tells it from former ones, seen is when the copy had it.
type suspicion struct {
	began uint64
	seen  time.Time
}

type lossRecord struct {
	losses, requests int
	last             time.Time
	// since is the time of the first loss under the last request that counts.
	since       time.Time
	lastRequest ident.RequestID
}

// NewEvidence returns a record without any losses.
func NewEvidence() *Evidence {
	return &Evidence{
		losses: map[ident.Fingerprint]*lossRecord{}, acquitted: map[ident.Fingerprint]time.Time{}, suspects: map[ident.Fingerprint]suspicion{},
	}
}

// ObserveSuspects notes which suspicions are new in the copy of the control state.
func (e *Evidence) ObserveSuspects(now time.Time, t *Table) {
	if t.Version() == e.version {
		return
	}

	e.version = t.Version()
	former := e.suspects
	e.suspects = map[ident.Fingerprint]suspicion{}

	t.EachSuspect(func(fp ident.Fingerprint, began uint64) {
		s := suspicion{began: began, seen: now}
		if old, ok := former[fp]; ok && old.began == began {
			s = old
		}

		e.suspects[fp] = s
	})
}

// Lost notes that a connection was lost while a request ran that began at a time, and reports whether that convicts its
// fingerprint now.
func (e *Evidence) Lost(now time.Time, fp ident.Fingerprint, request ident.RequestID, began time.Time) (convicted bool) {
	r := e.record(now, fp)
	if r == nil {
		return false
	}

	before := r.convicts()
	r.losses++
	r.last = now

	if r.requests == 0 || r.lastRequest != request && began.Sub(r.since) >= settles {
		r.requests++
		r.lastRequest, r.since = request, now
	}

	return r.convicts() && !before
}

// record returns the record of a fingerprint, a new one if there is none that counts, or nil if there are too many.
func (e *Evidence) record(now time.Time, fp ident.Fingerprint) *lossRecord {
	r, ok := e.losses[fp]
	if ok && r.counts(now) {
		return r
	}

	if len(e.losses) >= maxEvidence {
		e.expire(now)
	}

	if len(e.losses) >= maxEvidence {
		return nil
	}

	r = &lossRecord{}
	e.losses[fp] = r

	return r
}

// counts reports whether the losses are not too long ago. A conviction lasts as long as in the control state, which may not
// have it yet.
func (r *lossRecord) counts(now time.Time) bool {
	lasts := EvidenceFor
	if r.convicts() {
		lasts = ConvictedFor
	}

	return now.Sub(r.last) < lasts
}

func (r *lossRecord) convicts() bool {
	return r.losses >= lossesToConvict && r.requests >= requestsToConvict
}

// Convicts reports whether the losses seen here convict a fingerprint.
func (e *Evidence) Convicts(now time.Time, fp ident.Fingerprint) bool {
	r, ok := e.losses[fp]

	return ok && r.convicts() && r.counts(now)
}

// Convict takes the word of other nodes that, with the losses seen here, a fingerprint is convicted. It reports whether that is
// new.
func (e *Evidence) Convict(now time.Time, fp ident.Fingerprint) bool {
	r := e.record(now, fp)
	if r == nil || r.convicts() {
		return false
	}

	r.losses, r.requests, r.last = lossesToConvict, requestsToConvict, now

	return true
}

// Acquit forgets the losses under a fingerprint, and what the control state holds against it: a request with it was answered.
func (e *Evidence) Acquit(now time.Time, fp ident.Fingerprint, known Entry) {
	_, lost := e.losses[fp]
	_, suspected := e.suspects[fp]

	if !lost && !suspected && known.State != Suspect {
		return
	}

	delete(e.losses, fp)

	if len(e.acquitted) >= maxEvidence {
		e.expire(now)
	}

	if len(e.acquitted) < maxEvidence {
		e.acquitted[fp] = now
	}
}

// Known returns the strikes that count against a fingerprint when a request begins, by an entry of the control state: none
// while the suspicion has not settled, or once an answer has refuted it.
func (e *Evidence) Known(began time.Time, known Entry) uint32 {
	s, ok := e.suspects[known.Fingerprint]

	switch at, answered := e.acquitted[known.Fingerprint]; {
	case !ok || known.State != Suspect || Outdated(began, known):
		return 0
	case answered && !s.seen.After(at):
		return 0
	case began.Sub(s.seen) < settles:
		return 0
	default:
		return known.Strikes
	}
}

func (e *Evidence) expire(now time.Time) {
	for fp, r := range e.losses {
		if !r.counts(now) {
			delete(e.losses, fp)
		}
	}

	for fp, at := range e.acquitted {
		if now.Sub(at) >= EvidenceFor {
			delete(e.acquitted, fp)
		}
	}
}
