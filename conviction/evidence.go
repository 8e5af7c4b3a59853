package conviction

import (
	"time"

	"fulmarfall/ident"
)

const (
	// lossesToConvict and requestsToConvict are the thresholds for convicting a fingerprint without exclusive runs: the
	// number of connections lost while its requests ran, and the number of requests that lost them. Each of these requests
	// must begin after the losses of the one before. A searcher that fails breaks the connections of all requests that it
	// runs at that moment, harmless ones included; a request that loses connections again at another time is unlikely to be
	// harmless.
	lossesToConvict   = 3
	requestsToConvict = 2
	// settlePeriod is the minimum time between the first losses and the start of a request whose own losses count as new
	// evidence. Pooled connections to a searcher that has stopped are reused without a liveness check for 300 ms (freshFor
	// in package entry, which must not be longer), so one failure can affect requests that begin within that time. If other
	// searchers are healthy, equal requests are answered within it.
	settlePeriod = 300 * time.Millisecond
	// EvidenceTTL is how long a loss counts as evidence. A caller retries a request within its deadline of a few seconds.
	EvidenceTTL = time.Minute
	// maxTracked limits the number of fingerprints with losses, and of those cleared, that a node keeps.
	maxTracked = 4096
	// maxExits limits the exits that are kept for a fingerprint. A search that crashes searchers has one or two in each shard.
	maxExits = 256
)

// StrikesForLosses returns the number of strikes that a node adds to the control state for the losses of one request. It
// is always below the threshold, so that a conviction needs a second request.
func StrikesForLosses(losses int) int { return min(losses, lossesToConvict-1) }

// Outdated reports whether an entry is a suspect whose last strike is at least EvidenceTTL ago.
func Outdated(now time.Time, e Entry) bool {
	return e.State == Suspect && now.Sub(e.Last) >= EvidenceTTL
}

// NeedsTrial reports whether requests with the fingerprint of an entry may run only one at a time, each on one searcher, until
// one is answered or crashes its searcher. Equal requests that come at once would otherwise each crash a searcher before the
// first loss is known. Strikes of any age count: a trial costs a harmless request little.
func NeedsTrial(e Entry) bool { return e.State == Suspect }

// ConvictsByStrikes reports whether a request that has lost connections convicts its fingerprint. known is the number of
// strikes that counted when the request began, stored the number in the control state including those of the request.
// Strikes of concurrent requests alone do not convict, because all of them may have the same cause; nor do strikes that an
// answer has cleared in the meantime.
func ConvictsByStrikes(known, stored uint32) bool { return known > 0 && stored >= lossesToConvict }

// Evidence collects the lost connections that one node has observed, by fingerprint. It is not part of the replicated state
// and not safe for concurrent use.
type Evidence struct {
	losses map[ident.Fingerprint]*lossRecord
	// clearedAt is when this node last answered a request with a suspected fingerprint.
	clearedAt map[ident.Fingerprint]time.Time
	// suspects are the suspects in the local copy of the control state, as of version.
	suspects map[ident.Fingerprint]suspicion
	version  uint64 // of the table
}

// suspicion is a suspect in the control state. createdAt is the table version at which it was created, which distinguishes
// it from earlier suspicions of the fingerprint; seenAt is when this node first observed it.
type suspicion struct {
	createdAt uint64
	seenAt    time.Time
}

type lossRecord struct {
	losses, requests int
	lastLoss         time.Time
	// countedAt is the time of the first loss of lastRequest, the last request that was counted.
	countedAt   time.Time
	lastRequest ident.RequestID
	// exits tells when the connection to each searcher was lost whose exit was counted last.
	exits map[ident.SearcherID]time.Time
}

// Exit is the exit of a searcher, as seen on a connection.
type Exit struct {
	Searcher ident.SearcherID
	// Opened is when the connection was established, Lost when it was lost.
	Opened, Lost time.Time
}

// NewEvidence returns an empty Evidence.
func NewEvidence() *Evidence {
	return &Evidence{
		losses: map[ident.Fingerprint]*lossRecord{}, clearedAt: map[ident.Fingerprint]time.Time{}, suspects: map[ident.Fingerprint]suspicion{},
	}
}

// ObserveSuspects updates the set of suspects from the local copy of the control state. Suspicions that it has not observed
// before are recorded as seen now.
func (e *Evidence) ObserveSuspects(now time.Time, t *Table) {
	if t.Version() == e.version {
		return
	}

	e.version = t.Version()
	previous := e.suspects
	e.suspects = map[ident.Fingerprint]suspicion{}

	t.EachSuspect(func(fp ident.Fingerprint, createdAt uint64) {
		s := suspicion{createdAt: createdAt, seenAt: now}
		if old, ok := previous[fp]; ok && old.createdAt == createdAt {
			s = old
		}

		e.suspects[fp] = s
	})

	// A suspicion ends with an answer to a request at any node, or when it expires.
	for fp := range previous {
		r, lost := e.losses[fp]
		if _, stored := t.Lookup(fp); lost && !stored && !r.convicts() {
			delete(e.losses, fp)
		}
	}
}

// RecordExit records that a searcher has exited while a request was running, and reports whether this exit was not recorded
// before: a searcher that exits loses the connections of all requests that it runs.
func (e *Evidence) RecordExit(now time.Time, fp ident.Fingerprint, x Exit) bool {
	r := e.record(now, fp)
	if r == nil {
		return false
	}

	if lost, known := r.exits[x.Searcher]; known && !x.Opened.After(lost) || len(r.exits) >= maxExits {
		return false
	}

	if r.exits == nil {
		r.exits = map[ident.SearcherID]time.Time{}
	}

	r.exits[x.Searcher], r.lastLoss = x.Lost, now

	return true
}

// RecordLoss records that a connection was lost while a request was running, and reports whether this loss convicts its
// fingerprint. began is the start of the request.
func (e *Evidence) RecordLoss(now time.Time, fp ident.Fingerprint, request ident.RequestID, began time.Time) (convicted bool) {
	r := e.record(now, fp)
	if r == nil {
		return false
	}

	before := r.convicts()
	r.losses++
	r.lastLoss = now

	if r.requests == 0 || r.lastRequest != request && began.Sub(r.countedAt) >= settlePeriod {
		r.requests++
		r.lastRequest, r.countedAt = request, now
	}

	return r.convicts() && !before
}

// Request is what is known of a request when connections are lost under it.
type Request struct {
	ID          ident.RequestID
	Fingerprint ident.Fingerprint
	Began       time.Time
	// Suspect is the entry of the control state when the request began.
	Suspect Entry
	// Trial is set if it was the only one with its fingerprint that ran.
	Trial bool
}

// Verdict is what the losses of a request change in the control state.
type Verdict struct {
	// Convicts is set if the fingerprint is convicted. Otherwise Strikes are added, after those that have expired are cleared if
	// Expired is set.
	Convicts, Expired bool
	Strikes           int
}

// RecordLosses records the connections lost under a request.
func (e *Evidence) RecordLosses(now time.Time, r Request, losses int) Verdict {
	var v Verdict
	for range losses {
		v.Convicts = e.RecordLoss(now, r.Fingerprint, r.ID, r.Began) || v.Convicts
	}

	if !v.Convicts {
		v.Strikes = StrikesForLosses(losses)
		v.Expired = !r.Trial && Outdated(now, r.Suspect) // A trial counts together with strikes of any age.
	}

	return v
}

// ConvictStored reports whether the control state, which has just stored a strike for a request, has enough evidence to convict
// its fingerprint, and records the conviction. stored is the number of strikes there.
func (e *Evidence) ConvictStored(now time.Time, r Request, stored uint32) bool {
	known := e.CountedStrikes(r.Began, r.Suspect)
	if r.Trial {
		known = e.TrialStrikes(r.Began, r.Suspect)
	}

	return ConvictsByStrikes(known, stored) && e.Convict(now, r.Fingerprint)
}

// record returns the record of a fingerprint. It creates one if there is none or it has expired, and returns nil if the
// limit is reached.
func (e *Evidence) record(now time.Time, fp ident.Fingerprint) *lossRecord {
	r, ok := e.losses[fp]
	if ok && r.valid(now) {
		return r
	}

	if len(e.losses) >= maxTracked {
		e.expire(now)
	}

	if len(e.losses) >= maxTracked {
		return nil
	}

	r = &lossRecord{}
	e.losses[fp] = r

	return r
}

// valid reports whether the record has not expired. A conviction lasts as long here as in the control state, which may not
// have stored it yet.
func (r *lossRecord) valid(now time.Time) bool {
	ttl := EvidenceTTL
	if r.convicts() {
		ttl = ConvictionTTL
	}

	return now.Sub(r.lastLoss) < ttl
}

// convicts reports whether the losses reach the thresholds for a conviction.
func (r *lossRecord) convicts() bool {
	return r.losses >= lossesToConvict && r.requests >= requestsToConvict
}

// Convicts reports whether a fingerprint is convicted by the losses recorded here or by Convict.
func (e *Evidence) Convicts(now time.Time, fp ident.Fingerprint) bool {
	r, ok := e.losses[fp]

	return ok && r.convicts() && r.valid(now)
}

// Convict records a conviction that follows from the losses of all nodes together. It reports whether the conviction is
// new.
func (e *Evidence) Convict(now time.Time, fp ident.Fingerprint) bool {
	r := e.record(now, fp)
	if r == nil || r.convicts() {
		return false
	}

	r.losses, r.requests, r.lastLoss = lossesToConvict, requestsToConvict, now

	return true
}

// Clear clears the losses of a fingerprint, because a request with it was answered. From then on, CountedStrikes also
// ignores the strikes of the current suspicion in the control state.
func (e *Evidence) Clear(now time.Time, fp ident.Fingerprint, entry Entry) {
	_, lost := e.losses[fp]
	_, suspected := e.suspects[fp]

	if !lost && !suspected && entry.State != Suspect {
		return
	}

	delete(e.losses, fp)

	if len(e.clearedAt) >= maxTracked {
		e.expire(now)
	}

	if len(e.clearedAt) < maxTracked {
		e.clearedAt[fp] = now
	}
}

// CountedStrikes returns the number of strikes in an entry of the control state that count against a request that begins
// at began. Strikes count only if the entry is a suspect that is not outdated, settlePeriod has passed since this node
// first observed the suspicion, and no request with the fingerprint has been answered here since then.
func (e *Evidence) CountedStrikes(began time.Time, entry Entry) uint32 {
	if Outdated(began, entry) {
		return 0
	}

	return e.TrialStrikes(began, entry)
}

// TrialStrikes is CountedStrikes for a request that ran alone, against which strikes of any age count. A request that crashes
// searchers may come less often than EvidenceTTL.
func (e *Evidence) TrialStrikes(began time.Time, entry Entry) uint32 {
	s, ok := e.suspects[entry.Fingerprint]

	switch at, answered := e.clearedAt[entry.Fingerprint]; {
	case !ok || entry.State != Suspect:
		return 0
	case answered && !s.seenAt.After(at):
		return 0
	case began.Sub(s.seenAt) < settlePeriod:
		return 0
	default:
		return entry.Strikes
	}
}

func (e *Evidence) expire(now time.Time) {
	for fp, r := range e.losses {
		if !r.valid(now) {
			delete(e.losses, fp)
		}
	}

	for fp, at := range e.clearedAt {
		if now.Sub(at) >= EvidenceTTL {
			delete(e.clearedAt, fp)
		}
	}
}
