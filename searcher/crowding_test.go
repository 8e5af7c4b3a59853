package searcher

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The load: six nodes with a share of 6 connections each at a searcher that accepts 25, of which 12 are taken by
// connections of processes that are gone, for 2 s. Each node tries a new connection whenever its limit allows one.
//
// Guards against nodes that open one connection after the other only to have it reset, and against nodes that do not use
// their share again.
func TestCrowding(t *testing.T) {
	const (
		nodes, share, accepts, stale = 6, 6, 36, 24
		staleFor                     = 2 * time.Second
		every                        = 10 * time.Millisecond
		until                        = 4 * time.Second
	)

	var (
		crowding [nodes]Crowding
		open     [nodes]int
		start    = time.Unix(0, 0)
		resets   = 0
	)

	for since := time.Duration(0); since < until; since += every {
		now := start.Add(since)

		for i := range nodes {
			if open[i] >= crowding[i].Limit(now, share) {
				continue
			}

			total := 0
			for _, n := range open {
				total += n
			}

			if since < staleFor {
				total += stale
			}

			if total < accepts {
				open[i]++
				continue
			}

			resets++
			crowding[i].Reset(now, open[i])
		}
	}

	if diff := cmp.Diff([nodes]int{share, share, share, share, share, share}, open); diff != "" {
		t.Errorf("connections after the searcher has forgotten the former ones differ (-want +got):\n%s", diff)
	}

	// One try of each node in each step, instead of one in each 10 ms.
	if most := nodes * int(staleFor/crowdingStep+1); resets > most {
		t.Errorf("%d connections were reset, at most %d are allowed", resets, most)
	}
}
