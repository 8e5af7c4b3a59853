package searcher

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fulmarfall/ident"
)

// Guards against shares that add up to more than the request limit, or that give a node none.
func TestRequestSharesAddUpToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type node struct {
			region ident.Region
			load   float64
		}

		var nodes []node

		loads := map[ident.Region]RegionLoad{"without nodes": {}}

		for i := range rapid.IntRange(1, 40).Draw(t, "nodes") {
			n := node{
				region: ident.Region(fmt.Sprintf("r%d", rapid.IntRange(0, 3).Draw(t, "region"))),
				load:   rapid.Float64Range(0, 5000).Draw(t, fmt.Sprintf("load %d", i)),
			}
			l := loads[n.region]
			loads[n.region] = RegionLoad{Nodes: l.Nodes + 1, Load: l.Load + n.load}
			nodes = append(nodes, n)
		}

		sums := map[ident.Region]float64{}

		for _, n := range nodes {
			for region, share := range RequestShares(n.load, n.region, loads) {
				if share <= 0 || share > 1 {
					t.Fatalf("share of a node is %v", share)
				}

				sums[region] += share
			}
		}

		if len(sums) != len(loads) {
			t.Errorf("shares for %d of %d regions", len(sums), len(loads))
		}

		for region, sum := range sums {
			if math.Abs(sum-1) > 1e-9 {
				t.Errorf("shares for region %s add up to %v", region, sum)
			}
		}
	})
}

// Guards against an increase of a node's share that takes effect before the decrease at other nodes.
func TestShareAverage(t *testing.T) {
	type update struct {
		at    time.Duration
		share float64
		want  float64
	}

	for name, updates := range map[string][]update{
		"rises late":       {{0, 0.2, 0.2}, {500, 0.8, 0.5}, {1000, 0.8, 0.6}, {2000, 0.8, 0.8}},
		"varies":           {{0, 0.5, 0.5}, {500, 0.4, 0.45}, {1000, 0.6, 0.5}},
		"falls at once":    {{0, 0.8, 0.8}, {500, 0.2, 0.25}},
		"short rise":       {{0, 0.25, 0.25}, {500, 1, 0.625}, {1000, 0.25, 0.3125}},
		"long time unused": {{0, 0.2, 0.2}, {60000, 0.9, 0.9}},
	} {
		t.Run(name, func(t *testing.T) {
			var a ShareAverage

			for _, u := range updates {
				if got := a.Update(time.Unix(0, 0).Add(u.at*time.Millisecond), u.share); math.Abs(got-u.want) > 1e-9 {
					t.Errorf("share after %d ms is %v, want %v", u.at, got, u.want)
				}
			}
		})
	}
}
