package lease

import "time"

// maxPending bounds the grants that wait for the control state. One arrives every RenewEvery and
// none lasts longer than Term, so no more than 6 are of use.
const maxPending = 8

type pendingGrant struct {
	until     time.Time
	mustApply uint64
}

// Holder is the node's side of its lease. It is not safe for concurrent use.
type Holder struct {
	// drift is taken off each grant: a slow clock then ends it no later than its true time.
	drift   time.Duration
	until   time.Time
	applied uint64
	pending []pendingGrant
}

// HolderOption changes a Holder at its construction.
type HolderOption func(*Holder)

// NewHolder returns a holder without a lease.
func NewHolder(opts ...HolderOption) *Holder {
	h := &Holder{drift: driftPercent}
	for _, o := range opts {
		o(h)
	}

	return h
}

// Renewed records a grant. sent is the holder's clock at the moment it sent the renewal that the
// grant answers. The grant counts once the node has applied mustApply.
func (h *Holder) Renewed(sent time.Time, granted time.Duration, mustApply uint64) {
	until := sent.Add(less(min(granted, Term), h.drift))
	if h.applied >= mustApply {
		h.extend(until)
		return
	}
	if len(h.pending) == maxPending {
		h.pending = append(h.pending[:0], h.pending[1:]...)
	}
	h.pending = append(h.pending, pendingGrant{until: until, mustApply: mustApply})
}

// Applied records that the node's copy of the control state has reached an index.
func (h *Holder) Applied(index uint64) {
	if index <= h.applied {
		return
	}
	h.applied = index
	kept := h.pending[:0]
	for _, p := range h.pending {
		if h.applied >= p.mustApply {
			h.extend(p.until)
		} else {
			kept = append(kept, p)
		}
	}
	h.pending = kept
}

func (h *Holder) extend(until time.Time) {
	if until.After(h.until) {
		h.until = until
	}
}

// Valid reports whether the node may take new work.
func (h *Holder) Valid(now time.Time) bool { return now.Before(h.until) }

// Until returns the end of the lease by the holder's clock. No request to a searcher may have a
// later deadline.
func (h *Holder) Until() time.Time { return h.until }
