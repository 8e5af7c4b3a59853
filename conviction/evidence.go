package conviction

import (
	"time"

	"fulmarfall/ident"
)

const (
	// lossesToConvict and requestsToConvict are what one node has to see before it calls a fingerprint convicted where
	// requests are not run alone: connections lost while it ran, in that many requests. A searcher that fails takes the
	// connections of one request with it; that the same request loses them again, at others, is no accident.
	lossesToConvict   = 3
	requestsToConvict = 2
	// evidenceFor is how long a loss counts. A caller sends a request again within its deadline, a few seconds.
	evidenceFor = time.Minute
	// maxEvidence bounds the fingerprints that are watched at a time.
	maxEvidence = 4096
)

// Evidence is what one node has seen of fingerprints that may crash searchers. It is not part of the replicated state and
// not safe for concurrent use.
type Evidence struct {
	losses map[ident.Fingerprint]*lossRecord
}

type lossRecord struct {
	losses, requests int
	last             time.Time
	lastRequest      ident.RequestID
}

// NewEvidence returns a record without any losses.
func NewEvidence() *Evidence { return &Evidence{losses: map[ident.Fingerprint]*lossRecord{}} }

// Lost notes that a connection was lost while a request ran, and reports whether that convicts its fingerprint now.
func (e *Evidence) Lost(now time.Time, fp ident.Fingerprint, request ident.RequestID) (convicted bool) {
	r, ok := e.losses[fp]
	if !ok || now.Sub(r.last) >= evidenceFor {
		if len(e.losses) >= maxEvidence {
			e.expire(now)
		}

		if len(e.losses) >= maxEvidence {
			return false
		}

		r = &lossRecord{}
		e.losses[fp] = r
	}

	before := r.convicts()
	r.losses++
	r.last = now

	if r.requests == 0 || r.lastRequest != request {
		r.requests++
		r.lastRequest = request
	}

	return r.convicts() && !before
}

func (r *lossRecord) convicts() bool {
	return r.losses >= lossesToConvict && r.requests >= requestsToConvict
}

// Convicts reports whether the losses seen here convict a fingerprint.
func (e *Evidence) Convicts(now time.Time, fp ident.Fingerprint) bool {
	r, ok := e.losses[fp]

	return ok && r.convicts() && now.Sub(r.last) < evidenceFor
}

func (e *Evidence) expire(now time.Time) {
	for fp, r := range e.losses {
		if now.Sub(r.last) >= evidenceFor {
			delete(e.losses, fp)
		}
	}
}
