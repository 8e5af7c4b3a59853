// Package reachability decides whether an entry VM reaches the searchers at all, and which other entry VMs can serve its
// requests while it does not. A VM that is partitioned from every searcher still has its callers and its control VM, and
// looks idle from outside, so it has to notice by itself.
package reachability

import (
	"time"

	"fulmarfall/ident"
)

// State is what a node knows about its links to the searchers.
type State uint8

const (
	// Connected means that nothing speaks against the links.
	Connected State = iota
	// Suspect means that several searchers fail at once and a round of probes decides.
	Suspect
	// Limited means that searchers answer on open connections, and no new ones can be opened.
	Limited
	// Isolated means that no searcher could be reached.
	Isolated
)

// String returns the name of the state as it appears in log lines.
func (s State) String() string {
	switch s {
	case Connected:
		return "connected"
	case Suspect:
		return "suspect"
	case Limited:
		return "limited"
	case Isolated:
		return "isolated"
	default:
		return "unknown"
	}
}

const (
	// silence is the time after which an attempt without an answer counts against the links. Searchers usually answer
	// within 60 ms and pause for 150 ms, each at its own time.
	silence = 100 * time.Millisecond
	// longSilence is the time after which a single attempt without an answer justifies a probe, if nothing else answers.
	longSilence = 250 * time.Millisecond
	// answerTTL is the time for which an answer shows that open connections work although attempts fail, and idleAnswerTTL the
	// same if none does.
	answerTTL     = 150 * time.Millisecond
	idleAnswerTTL = 500 * time.Millisecond
	// quiet is the time without any answer that has to pass before failures count against the links.
	quiet = 50 * time.Millisecond
	// minSearchers is the number of searchers that have to fail before the links are suspected.
	minSearchers = 3
	// retryInterval is the time between two rounds of probes without success. It determines how soon a node notices the end
	// of a partition.
	retryInterval = 100 * time.Millisecond
	// clearedInterval is the minimum time between a round that reached a searcher and the next one. While the searchers of
	// one service are down, each of its requests raises a suspicion.
	clearedInterval = 500 * time.Millisecond
	// evidenceTTL is the time for which a node without callers relies on an answer or a new connection while others are
	// isolated, and checkInterval the time between two of its rounds of probes, which bounds the load on the searchers.
	evidenceTTL   = 500 * time.Millisecond
	checkInterval = 4 * time.Second
)

// Detector decides from the traffic of a node whether the node reaches the searchers. Failures only raise a suspicion; a
// round of probes to searchers of different upstreams confirms or refutes it, so that a service that is down for all
// nodes does not isolate them. It is not safe for concurrent use.
type Detector struct {
	state State
	// dueAt is the earliest time of the next round of probes of a connected node.
	dueAt time.Time
	// checkedAt is the time of the last round of probes without a suspicion.
	checkedAt time.Time
	// answeredAt is the time of the last answer of any searcher, and openedAt that of the last new connection.
	answeredAt, openedAt time.Time
	// waiting contains the searchers with unanswered attempts.
	waiting map[ident.SearcherID]waiting
	// lost contains the searchers that lost an attempt since the last answer, and refusing those that took no connection
	// since the last new connection.
	lost, refusing map[ident.SearcherID]struct{}
	searchers      int
}

// waiting is the number of unanswered attempts at a searcher, and the time since which there are some.
type waiting struct {
	attempts int
	since    time.Time
}

// NewDetector returns the detector of a node that is assumed to reach the searchers.
func NewDetector() *Detector {
	return &Detector{
		waiting: map[ident.SearcherID]waiting{}, lost: map[ident.SearcherID]struct{}{}, refusing: map[ident.SearcherID]struct{}{},
	}
}

// State returns the current state.
func (d *Detector) State() State { return d.state }

// deliveryMargin is the time after the last answer within which requests may still have reached searchers.
const deliveryMargin = 20 * time.Millisecond

// MayHaveArrived reports whether a request that was sent at a time may have reached its searcher. Searchers have received
// nothing from an isolated node since soon after the last answer.
func (d *Detector) MayHaveArrived(sent time.Time) bool {
	return d.state != Isolated || sent.Before(d.answeredAt.Add(deliveryMargin))
}

// SetSearchers sets the number of searchers that the node knows.
func (d *Detector) SetSearchers(n int) { d.searchers = n }

// Sent records that a request was sent to a searcher.
func (d *Detector) Sent(now time.Time, s ident.SearcherID) {
	w := d.waiting[s]
	if w.attempts == 0 {
		w.since = now
	}

	w.attempts++
	d.waiting[s] = w
}

// Answered records an answer to a request that was sent.
func (d *Detector) Answered(now time.Time, s ident.SearcherID) {
	d.answeredAt = now
	clear(d.lost)
	delete(d.refusing, s)

	// The searcher may take long for its other requests, but the link to it works.
	if w := d.waiting[s]; w.attempts > 1 {
		d.waiting[s] = waiting{attempts: w.attempts - 1, since: now}
	} else {
		delete(d.waiting, s)
	}
}

// Ended records that the node itself has ended a request that was sent.
func (d *Detector) Ended(s ident.SearcherID) {
	w, ok := d.waiting[s]

	switch {
	case !ok:
	case w.attempts > 1:
		w.attempts--
		d.waiting[s] = w
	default:
		delete(d.waiting, s)
	}
}

// Lost records that a request that was sent got no answer.
func (d *Detector) Lost(s ident.SearcherID) {
	d.Ended(s)
	d.lost[s] = struct{}{}
}

// Unreachable records that a searcher took no connection.
func (d *Detector) Unreachable(s ident.SearcherID) { d.refusing[s] = struct{}{} }

// Opened records that a searcher took a connection.
func (d *Detector) Opened(now time.Time) {
	d.openedAt = now
	clear(d.refusing)
}

// Due reports whether the traffic raises a suspicion. If so it begins a round of probes, which EndRound has to end.
func (d *Detector) Due(now time.Time) bool { return d.raise(now, d.suspicious) }

// Check raises a suspicion, as Due does, at a node that has no recent evidence that its links work. A node without callers
// has no traffic that could raise one.
func (d *Detector) Check(now time.Time) bool {
	due := d.raise(now, func(now time.Time) bool {
		return now.Sub(d.answeredAt) >= evidenceTTL && now.Sub(d.openedAt) >= evidenceTTL && now.Sub(d.checkedAt) >= checkInterval
	})
	if due {
		d.checkedAt = now
	}

	return due
}

func (d *Detector) raise(now time.Time, reason func(time.Time) bool) bool {
	if d.state != Connected || now.Before(d.dueAt) || d.searchers == 0 || !reason(now) {
		return false
	}

	d.state = Suspect

	return true
}

// suspicious reports whether enough searchers fail for the links to be suspected.
func (d *Detector) suspicious(now time.Time) bool {
	needed := min(minSearchers, d.searchers)
	if len(d.refusing) >= needed {
		return true // The connections that are left may work on.
	}

	idle := now.Sub(d.answeredAt)
	if idle < quiet {
		return false
	}

	failing := len(d.lost)

	for s, w := range d.waiting {
		if age := now.Sub(w.since); age >= silence {
			if age >= longSilence && idle >= longSilence {
				return true
			}

			if _, counted := d.lost[s]; !counted {
				failing++
			}
		}
	}

	for s := range d.refusing {
		_, lost := d.lost[s]
		if w, sent := d.waiting[s]; !lost && (!sent || now.Sub(w.since) < silence) {
			failing++
		}
	}

	return failing >= needed
}

// openConnectionsWork reports whether searchers answer on open connections.
func (d *Detector) openConnectionsWork(now time.Time) bool {
	if idle := now.Sub(d.answeredAt); idle < answerTTL {
		return true
	} else if idle >= idleAnswerTTL || len(d.lost) > 0 || d.state == Isolated {
		return false // An isolated node has no attempts that could fail.
	}

	// A node with few requests may wait for a single searcher that pauses.
	limit := silence
	if d.state == Limited {
		limit = longSilence
	}

	for _, w := range d.waiting {
		if now.Sub(w.since) >= limit {
			return false
		}
	}

	return true
}

// EndRound ends a round of probes of which reached have opened a connection. It returns the time until the next round, or 0
// if there is none because the links work. A node that cannot open connections is not isolated as long as searchers answer
// on those that it has.
func (d *Detector) EndRound(now time.Time, reached int) time.Duration {
	switch {
	case reached > 0:
		d.Opened(now)
		clear(d.lost)

		d.state, d.dueAt = Connected, now.Add(clearedInterval)
	case d.openConnectionsWork(now):
		d.state = Limited

		return retryInterval
	default:
		d.state = Isolated

		return retryInterval
	}

	// Requests that are still unanswered raise a suspicion again only after another silence.
	for s, w := range d.waiting {
		w.since = now
		d.waiting[s] = w
	}

	return 0
}
