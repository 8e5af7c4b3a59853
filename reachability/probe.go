package reachability

import (
	"math/rand/v2"

	"fulmarfall/ident"
)

const (
	// ProbesPerRound is the number of searchers that a round of probes tries to connect to.
	ProbesPerRound = 12
	// ProbesPerCheck is the same for the first round at a node without a suspicion of its own.
	ProbesPerCheck = 4
)

// Target is a searcher that can be probed.
type Target struct {
	Searcher ident.SearcherID
	Upstream ident.UpstreamID
	// Near is set if the searcher is in the region of the node.
	Near bool
}

// ChooseTargets returns the searchers to probe in a round, at most n. It prefers different upstreams, so that the failure
// of one does not look like a partition, and takes half of the searchers from the node's own region, which answer soonest.
func ChooseTargets(all []Target, n int, rnd *rand.Rand) []Target {
	var (
		order     = rnd.Perm(len(all))
		upstreams = map[ident.UpstreamID]bool{}
		taken     = map[ident.SearcherID]bool{}
		chosen    []Target
	)

	choose := func(limit int, eligible func(Target) bool) {
		for _, i := range order {
			if len(chosen) >= limit {
				return
			}

			if t := all[i]; !taken[t.Searcher] && eligible(t) {
				upstreams[t.Upstream], taken[t.Searcher] = true, true
				chosen = append(chosen, t)
			}
		}
	}

	choose((n+1)/2, func(t Target) bool { return t.Near && !upstreams[t.Upstream] })
	choose(n, func(t Target) bool { return !t.Near && !upstreams[t.Upstream] })
	choose(n, func(t Target) bool { return !upstreams[t.Upstream] })
	choose(n, func(Target) bool { return true })

	return chosen
}
