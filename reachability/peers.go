package reachability

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"fulmarfall/ident"
)

// peerBackoff is how long a peer that could not serve a forwarded request is passed over. The directory, which names the
// peers, changes about as often.
const peerBackoff = 500 * time.Millisecond

// Peers selects the entry VMs that serve requests for an isolated one. It is not safe for concurrent use.
type Peers struct {
	rnd *rand.Rand
	// failed and slow are the peers to be passed over, and until when.
	failed, slow map[ident.NodeID]time.Time
}

// NewPeers returns a selector that draws from rnd.
func NewPeers(rnd *rand.Rand) *Peers {
	return &Peers{rnd: rnd, failed: map[ident.NodeID]time.Time{}, slow: map[ident.NodeID]time.Time{}}
}

// Candidates returns the peers to try: those of the nearest group first, each group shuffled so that the requests of one node
// are spread, and slow ones last. Peers that have failed are left out.
func (p *Peers) Candidates(now time.Time, groups ...[]ident.NodeID) []ident.NodeID {
	for _, passed := range []map[ident.NodeID]time.Time{p.failed, p.slow} {
		maps.DeleteFunc(passed, func(_ ident.NodeID, until time.Time) bool { return !now.Before(until) })
	}

	var list, last []ident.NodeID

	for _, group := range groups {
		at := len(list)

		for _, id := range group {
			_, failed := p.failed[id]
			_, slow := p.slow[id]

			switch {
			case failed || slices.Contains(list, id) || slices.Contains(last, id):
			case slow:
				last = append(last, id)
			default:
				list = append(list, id)
			}
		}

		p.rnd.Shuffle(len(list)-at, func(i, j int) { list[at+i], list[at+j] = list[at+j], list[at+i] })
	}

	return append(list, last...)
}

// Failed passes over a peer for a while, because it did not serve a request.
func (p *Peers) Failed(now time.Time, id ident.NodeID) { p.failed[id] = now.Add(peerBackoff) }

// Slow asks other peers first for a while, because a peer takes long for a request.
func (p *Peers) Slow(now time.Time, id ident.NodeID) { p.slow[id] = now.Add(peerBackoff) }
