package searcher

import (
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
	// idleNodeLoad is added to the load of each node, in attempts per second, so that one without load has a share.
	idleNodeLoad = 1
)

// RequestShares returns a node's shares of the request limits of searchers, by the region of the searcher, from its own load
// and the loads of all nodes. The shares of all nodes for a region add up to one.
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

	for to := range all {
		total := 0.0
		for from, l := range all {
			total += weight(from, to) * (l.Load + idleNodeLoad*float64(l.Nodes))
		}

		shares[to] = weight(region, to) * (own + idleNodeLoad) / total
	}

	return shares
}

// shareRiseDelay is how long an increase of a node's share is held back. The other nodes learn of it with their next
// exchanges, and a control VM that has just started knows few nodes for as long.
const shareRiseDelay = 2 * time.Second

// ShareFloor returns the smallest of a node's recent shares of a limit. Decreases apply at once and increases late, so that the
// shares in use add up to no more than one while they move between nodes. The zero value is ready for use. A ShareFloor is
// not safe for concurrent use.
type ShareFloor struct{ recent []timedShare }

type timedShare struct {
	at    time.Time
	share float64
}

// Update adds the current share and returns the smallest one of the last shareRiseDelay.
func (f *ShareFloor) Update(now time.Time, share float64) float64 {
	// Only shares below all later ones can be a minimum, now or later.
	n := len(f.recent)
	for n > 0 && f.recent[n-1].share >= share {
		n--
	}

	f.recent = append(f.recent[:n], timedShare{at: now, share: share})
	for len(f.recent) > 1 && now.Sub(f.recent[0].at) >= shareRiseDelay {
		f.recent = f.recent[1:]
	}

	return f.recent[0].share
}
