package lease

import (
	"slices"

	"fulmarfall/ident"
	"fulmarfall/registry"

	"github.com/cespare/xxhash/v2"
)

// setCandidates replaces the candidates, which must be ordered by id, and clears the cache if they
// differ.
func (p *preferredOwners) setCandidates(candidates []NodeInfo) {
	if p.cache != nil && slices.Equal(candidates, p.candidates) {
		return
	}
	p.candidates = slices.Clone(candidates)
	p.idHashes = make([]uint64, len(candidates))
	p.byDomain = make(map[ident.FailureDomain][]int)
	p.byRegion = make(map[ident.Region][]int)
	p.all = make([]int, len(candidates))
	p.cache = make(map[ident.SearcherID]cachedOwner)
	for i := range candidates {
		n := &candidates[i]
		p.idHashes[i] = xxhash.Sum64String(string(n.ID))
		p.byDomain[n.FailureDomain] = append(p.byDomain[n.FailureDomain], i)
		p.byRegion[n.Region] = append(p.byRegion[n.Region], i)
		p.all[i] = i
	}
}

// nodeFor returns the preferred owner of a searcher: the candidate with the highest rendezvous hash
// in the searcher's failure domain, or else in its region, or else anywhere.
func (p *preferredOwners) nodeFor(s *registry.Searcher) (*NodeInfo, bool) {
	if len(p.candidates) == 0 {
		return nil, false
	}
	if k, ok := p.cache[s.ID]; ok && k.domain == s.FailureDomain && k.region == s.Region {
		return &p.candidates[k.index], true
	}
	eligible := p.byDomain[s.FailureDomain]
	if len(eligible) == 0 {
		eligible = p.byRegion[s.Region]
	}
	if len(eligible) == 0 {
		eligible = p.all
	}
	idHash := xxhash.Sum64String(string(s.ID))
	best, bestWeight := eligible[0], uint64(0)
	for _, i := range eligible {
		// Candidates are ordered by id, so the lowest id wins a tie.
		if w := mix(idHash ^ p.idHashes[i]); w > bestWeight {
			best, bestWeight = i, w
		}
	}
	p.cache[s.ID] = cachedOwner{domain: s.FailureDomain, region: s.Region, index: best}

	return &p.candidates[best], true
}

// mix is the finaliser of SplitMix64: every bit of the result depends on every bit of x.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31

	return x
}
