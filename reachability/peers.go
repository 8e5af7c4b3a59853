package reachability

import (
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
	rnd     *rand.Rand
	backoff map[ident.NodeID]time.Time
}

// NewPeers returns a selector that draws from rnd.
func NewPeers(rnd *rand.Rand) *Peers {
	return &Peers{rnd: rnd, backoff: map[ident.NodeID]time.Time{}}
}

// Candidates returns the peers to try: those of the nearest group first, each group shuffled so that the
// requests of one node are spread. Peers in back-off are left out.
func (p *Peers) Candidates(now time.Time, groups ...[]ident.NodeID) []ident.NodeID {
	for id, until := range p.backoff {
		if !now.Before(until) {
			delete(p.backoff, id)
		}
	}

	var list []ident.NodeID

	for _, group := range groups {
		at := len(list)

		for _, id := range group {
			if _, wait := p.backoff[id]; !wait && !slices.Contains(list, id) {
				list = append(list, id)
			}
		}

		p.rnd.Shuffle(len(list)-at, func(i, j int) { list[at+i], list[at+j] = list[at+j], list[at+i] })
	}

	return list
}

// Failed passes over a peer for a while, because it did not serve a request.
func (p *Peers) Failed(now time.Time, id ident.NodeID) { p.backoff[id] = now.Add(peerBackoff) }
