package lease

import (
	"slices"

	"fulmarfall/ident"
	"fulmarfall/registry"

	"github.com/cespare/xxhash/v2"
)

// refresh takes over a new list of candidates, ordered by id.
func (p *preferences) refresh(candidates []NodeInfo) {
	if p.known != nil && slices.Equal(candidates, p.candidates) {
		return
	}
	p.candidates = slices.Clone(candidates)
	p.seeds = make([]uint64, len(candidates))
	p.byDomain = make(map[ident.FailureDomain][]int)
	p.byRegion = make(map[ident.Region][]int)
	p.all = make([]int, len(candidates))
	p.known = make(map[ident.SearcherID]preference)
	for i := range candidates {
		n := &candidates[i]
		p.seeds[i] = xxhash.Sum64String(string(n.ID))
		p.byDomain[n.FailureDomain] = append(p.byDomain[n.FailureDomain], i)
		p.byRegion[n.Region] = append(p.byRegion[n.Region], i)
		p.all[i] = i
	}
}

// of returns the preferred owner of a searcher: the highest rendezvous hash among the candidates
// in its failure domain, otherwise in its region, otherwise anywhere.
func (p *preferences) of(s *registry.Searcher) (*NodeInfo, bool) {
	if len(p.candidates) == 0 {
		return nil, false
	}
	if k, ok := p.known[s.ID]; ok && k.domain == s.FailureDomain && k.region == s.Region {
		return &p.candidates[k.index], true
	}
	among := p.byDomain[s.FailureDomain]
	if len(among) == 0 {
		among = p.byRegion[s.Region]
	}
	if len(among) == 0 {
		among = p.all
	}
	seed := xxhash.Sum64String(string(s.ID))
	best, weight := among[0], uint64(0)
	for _, i := range among {
		// The order of candidates breaks ties, which is by id.
		if w := mix(seed ^ p.seeds[i]); w > weight {
			best, weight = i, w
		}
	}
	p.known[s.ID] = preference{domain: s.FailureDomain, region: s.Region, index: best}

	return &p.candidates[best], true
}

// mix is the finaliser of SplitMix64. It makes every bit of the result depend on every bit of x.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31

	return x
}
