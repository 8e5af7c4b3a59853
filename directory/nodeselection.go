package directory

import (
	"cmp"
	"math"
	"slices"

	"fulmarfall/ident"

	"github.com/cespare/xxhash/v2"
)

// Topology contains the region and the number of searchers of each failure domain.
type Topology struct {
	Regions   map[ident.FailureDomain]ident.Region
	Searchers map[ident.FailureDomain]int
}

// preferredDomain returns the failure domain whose entry VMs have the lowest network latency to searchers for a caller:
// the one in its region with the most searchers. The request then crosses the domain boundary once instead of once per
// shard. The caller's own failure domain wins a tie.
func (p *Topology) preferredDomain(domain ident.FailureDomain, region ident.Region, nodes []Node) ident.FailureDomain {
	best, most := domain, p.Searchers[domain]

	for i := range nodes {
		n := &nodes[i]
		if usable(n) && p.Regions[n.FailureDomain] == region && p.Searchers[n.FailureDomain] > most {
			best, most = n.FailureDomain, p.Searchers[n.FailureDomain]
		}
	}

	return best
}

func usable(n *Node) bool { return n.InService && !n.Leaving && n.Address != "" }

// full reports whether a node has no capacity left. A node whose processor is throttled also reports this load.
func full(n Node) bool { return n.Load >= 1 }

// NearestNodes returns the usable nodes of the caller's preferred failure domain, else those of its region, else all
// nodes. If the nodes of the failure domain are all full and others of the region are not, it returns those of the region: the
// requests of a full node can't be helped by sending its attempts elsewhere. Distance is handled here because a caller chooses
// among the addresses of an answer without regard to it.
func NearestNodes(nodes []Node, domain ident.FailureDomain, region ident.Region, topology *Topology) []Node {
	preferred := topology.preferredDomain(domain, region, nodes)
	inDomain := usableNodes(nodes, func(n *Node) bool { return n.FailureDomain == preferred })
	inRegion := usableNodes(nodes, func(n *Node) bool { return topology.Regions[n.FailureDomain] == region })

	switch {
	case len(inRegion) == 0 && len(inDomain) == 0:
		return nodes
	case len(inDomain) == 0 || allFull(inDomain) && !allFull(inRegion):
		return inRegion
	default:
		return inDomain
	}
}

func usableNodes(nodes []Node, match func(*Node) bool) []Node {
	var list []Node

	for i := range nodes {
		if n := &nodes[i]; usable(n) && match(n) {
			list = append(list, *n)
		}
	}

	return list
}

func allFull(nodes []Node) bool {
	return !slices.ContainsFunc(nodes, func(n Node) bool { return !full(n) })
}

const (
	// targetLoad is the fraction of its capacity up to which a node is loaded before another one is assigned. The
	// remainder absorbs bursts, or the callers of a node that fails, until the answers change.
	targetLoad = 0.35
	// minNodes leaves callers an address when a node fails.
	minNodes = 2
)

// NodesForLoad returns as many of the nodes as the load needs, and the same ones for the same load. A node with many
// requests observes which searchers pause or are slow, and has connections to all of them; with the load spread over
// many nodes, each would have to find that out by itself. Full nodes are skipped while enough others are available.
func NodesForLoad(nodes []Node) []Node {
	list := slices.DeleteFunc(slices.Clone(nodes), func(n Node) bool { return !usable(&n) })

	var load float64
	for i := range list {
		load += max(list[i].Load, 0)
	}

	n := minNodes
	if needed := math.Ceil(load / targetLoad); needed > minNodes {
		n = int(min(needed, float64(len(list))))
	}

	if notFull := slices.DeleteFunc(slices.Clone(list), full); len(notFull) >= minNodes {
		list = notFull
	}

	if len(list) <= n {
		return list
	}

	sortByHash(list)

	return list[:n]
}

// sortByHash sorts nodes in the order in which they are assigned as the load grows.
func sortByHash(list []Node) {
	slices.SortFunc(list, func(a, b Node) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID))), cmp.Compare(a.ID, b.ID))
	})
}

// standby returns the address of the node that is assigned next as the load grows, or "".
func standby(nearest []Node, assigned []string) string {
	list := slices.DeleteFunc(slices.Clone(nearest), func(n Node) bool { return !usable(&n) || full(n) || slices.Contains(assigned, n.Address) })
	if len(list) == 0 {
		return ""
	}

	sortByHash(list)

	return list[0].Address
}
