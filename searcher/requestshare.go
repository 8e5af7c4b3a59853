package searcher

import (
	"maps"
	"slices"
	"time"

	"fulmarfall/ident"
)

// RegionLoad is the number of nodes in a region and the sum of their loads, in attempts per second.
type RegionLoad struct {
	Nodes int
	Load  float64
}

const (
	// remoteWeight is the weight of the load of nodes in other regions. They use a searcher only when the copies in their own
	// region are short of room.
	remoteWeight = 0.1
	// idleNodeLoad is added to the load of each node, in attempts per second, so that one without load has a share. It is small
	// because a node to which callers have just come can send to searchers without a limit.
	idleNodeLoad = 1
)

// RequestShares returns a node's shares of the request limits of searchers, by the region of the searcher, from its own load
// and the loads of all nodes, which have to contain the regions without nodes. The shares of all nodes for a region add up to
// one.
func RequestShares(own float64, region ident.Region, loads map[ident.Region]RegionLoad) map[ident.Region]float64 {
	weight := func(from, to ident.Region) float64 {
		if from == to {
			return 1
		}

		return remoteWeight
	}

	// The loads of all nodes are older than the node's own.
	all := map[ident.Region]RegionLoad{region: {}}
	for r, l := range loads {
		all[r] = l
	}

	l := all[region]
	all[region] = RegionLoad{Nodes: max(l.Nodes, 1), Load: max(l.Load, own)}

	shares := make(map[ident.Region]float64, len(all))
	regions := slices.Sorted(maps.Keys(all)) // for sums that do not depend on the order of the map

	for _, to := range regions {
		total := 0.0
		for _, from := range regions {
			total += weight(from, to) * (all[from].Load + idleNodeLoad*float64(all[from].Nodes))
		}

		shares[to] = weight(region, to) * (own + idleNodeLoad) / total
	}

	return shares
}

const (
	// shareWindow is the time over which a node's share is averaged. The other nodes learn of a change with their next
	// exchanges, and a control VM that has just started knows few nodes for as long.
	shareWindow = 2 * time.Second
	// shareTolerance is how far the average may exceed the present share, as a factor. The load of a node with few requests
	// varies as much by chance.
	shareTolerance = 1.25
)

// ShareAverage averages a node's recent shares of a limit. Large decreases apply at once and increases over shareWindow, so that
// the shares in use add up to hardly more than one while they move between nodes. The zero value is ready for use. A
// ShareAverage is not safe for concurrent use.
type ShareAverage struct{ recent []timedShare }

type timedShare struct {
	at    time.Time
	share float64
}

// Update adds the present share and returns the share to use.
func (a *ShareAverage) Update(now time.Time, share float64) float64 {
	a.recent = slices.DeleteFunc(a.recent, func(s timedShare) bool { return now.Sub(s.at) >= shareWindow })
	a.recent = append(a.recent, timedShare{at: now, share: share})

	sum := 0.0
	for _, s := range a.recent {
		sum += s.share
	}

	return min(sum/float64(len(a.recent)), shareTolerance*share)
}
