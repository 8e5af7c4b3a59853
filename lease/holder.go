package lease

import "time"

// maxPending bounds the grants that are not yet valid because the applied index is too low. One
// arrives every RenewInterval and none lasts longer than MaxDuration, so at most 6 can be unexpired.
const maxPending = 8

type pendingGrant struct {
	until     time.Time
	mustApply uint64
}

// Holder is the node-side state of its lease. It is not safe for concurrent use.
type Holder struct {
	// driftMargin is the percentage by which each grant is shortened, so that a lease measured by a
	// slow clock does not outlast its true duration.
	driftMargin time.Duration
	until       time.Time
	applied     uint64
	pending     []pendingGrant
}

// HolderOption configures a Holder in NewHolder.
type HolderOption func(*Holder)

// NewHolder returns a holder without a lease.
func NewHolder(opts ...HolderOption) *Holder {
	h := &Holder{driftMargin: driftPercent}
	for _, o := range opts {
		o(h)
	}

	return h
}

// RecordGrant records a grant. sent is the holder's clock when it sent the renewal request. The grant
// takes effect once the node has applied the entry at index mustApply.
func (h *Holder) RecordGrant(sent time.Time, granted time.Duration, mustApply uint64) {
	until := sent.Add(shorten(min(granted, MaxDuration), h.driftMargin))
	if h.applied >= mustApply {
		h.extend(until)
		return
	}
	if len(h.pending) == maxPending {
		h.pending = append(h.pending[:0], h.pending[1:]...)
	}
	h.pending = append(h.pending, pendingGrant{until: until, mustApply: mustApply})
}

// SetApplied records the applied index of the node's control state and activates the pending grants
// that required it.
func (h *Holder) SetApplied(index uint64) {
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

// Valid reports whether the lease is valid, so that the node may accept new work.
func (h *Holder) Valid(now time.Time) bool { return now.Before(h.until) }

// Expiry returns the expiry of the lease by the holder's clock. No request to a searcher may have a
// later deadline.
func (h *Holder) Expiry() time.Time { return h.until }
