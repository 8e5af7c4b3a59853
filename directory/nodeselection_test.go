package directory

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/ident"
)

func nodeIn(domain string, n int, load float64) Node {
	id := fmt.Sprintf("%s-%d", domain, n)

	return Node{ID: ident.NodeID(id), Address: id, FailureDomain: ident.FailureDomain(domain), InService: true, Load: load}
}

func addressesOf(nodes []Node) map[string]bool {
	got := map[string]bool{}
	for i := range nodes {
		got[nodes[i].Address] = true
	}

	return got
}

// Guards against callers that are sent to another region while a node of their own is in service, and against callers
// that get no address when no node of their region is in service.
func TestNearestNodes(t *testing.T) {
	topology := &Topology{
		Regions:   map[ident.FailureDomain]ident.Region{"dar": "pwani", "tanga": "pwani", "arusha": "kaskazini"},
		Searchers: map[ident.FailureDomain]int{"dar": 36, "tanga": 2, "arusha": 40},
	}
	outOfService := func(n Node) Node { n.InService = false; return n }
	leaving := func(n Node) Node { n.Leaving = true; return n }

	for name, tc := range map[string]struct {
		nodes          []Node
		domain, region string
		want           map[string]bool
	}{
		"own failure domain has most searchers": {
			[]Node{nodeIn("dar", 1, 0), nodeIn("tanga", 1, 0), nodeIn("arusha", 1, 0)}, "dar", "pwani", map[string]bool{"dar-1": true},
		},
		"other failure domain of the region has most searchers": {
			[]Node{nodeIn("dar", 1, 0), nodeIn("tanga", 1, 0), nodeIn("arusha", 1, 0)}, "tanga", "pwani", map[string]bool{"dar-1": true},
		},
		"failure domain with most searchers has no node in service": {
			[]Node{outOfService(nodeIn("dar", 1, 0)), nodeIn("tanga", 1, 0), nodeIn("arusha", 1, 0)}, "tanga", "pwani", map[string]bool{"tanga-1": true},
		},
		"own failure domain has no node in service": {
			[]Node{leaving(nodeIn("dar", 1, 0)), nodeIn("tanga", 1, 0), nodeIn("arusha", 1, 0)}, "dar", "pwani", map[string]bool{"tanga-1": true},
		},
		"nodes of the failure domain are full": {
			[]Node{nodeIn("dar", 1, 1), nodeIn("dar", 2, 1.2), nodeIn("tanga", 1, 0)}, "dar", "pwani", map[string]bool{"dar-1": true, "dar-2": true, "tanga-1": true},
		},
		"one node of the failure domain is not full": {
			[]Node{nodeIn("dar", 1, 1), nodeIn("dar", 2, 0.9), nodeIn("tanga", 1, 0)}, "dar", "pwani", map[string]bool{"dar-1": true, "dar-2": true},
		},
		"all nodes of the region are full": {
			[]Node{nodeIn("dar", 1, 1), nodeIn("tanga", 1, 1), nodeIn("arusha", 1, 0)}, "dar", "pwani", map[string]bool{"dar-1": true},
		},
		"region has no node": {
			[]Node{nodeIn("arusha", 1, 0)}, "dar", "pwani", map[string]bool{"arusha-1": true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			got := addressesOf(NearestNodes(tc.nodes, ident.FailureDomain(tc.domain), ident.Region(tc.region), topology))
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("nodes differ (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against callers spread over so many nodes that each observes too little of the searchers, against a single node
// whose failure would leave callers without an address, and against nodes too loaded to absorb the loss of one of them.
func TestNodesForLoad(t *testing.T) {
	for name, tc := range map[string]struct {
		load float64 // of each of the 14 nodes
		want int
	}{
		"no load":     {0, 2},
		"little load": {0.04, 2},
		"medium load": {0.09, 4},
		"full":        {0.9, 14},
	} {
		t.Run(name, func(t *testing.T) {
			var nodes []Node
			for i := range 14 {
				nodes = append(nodes, nodeIn("dar", i, tc.load))
			}

			first := NodesForLoad(nodes)
			if len(first) != tc.want {
				t.Errorf("%d nodes, want %d", len(first), tc.want)
			}

			if diff := cmp.Diff(addressesOf(first), addressesOf(NodesForLoad(nodes))); diff != "" {
				t.Errorf("a second call with the same load returns other nodes (-want +got):\n%s", diff)
			}

			// When one of the nodes fails, the others must stay, so that their callers keep their connections.
			failed := first[0].ID
			for i := range nodes {
				nodes[i].InService = nodes[i].ID != failed
			}

			kept := addressesOf(NodesForLoad(nodes))
			for _, n := range first[1:] {
				if !kept[n.Address] {
					t.Errorf("node %s is no longer selected after %s has failed", n.ID, failed)
				}
			}
		})
	}
}

// Guards against sending callers to a node without spare capacity, for example one whose processor is throttled, while
// others have some, and against returning no node when all are full.
func TestNodesForLoadSkipsFullNodes(t *testing.T) {
	for name, tc := range map[string]struct {
		full int // of 8 nodes
		want int
	}{
		"one full":       {1, 3},
		"half full":      {4, 4},
		"all but one":    {7, 8},
		"all full":       {8, 8},
		"none, light":    {0, 2},
		"two full nodes": {2, 6},
	} {
		t.Run(name, func(t *testing.T) {
			var nodes []Node
			for i := range 8 {
				nodes = append(nodes, nodeIn("dar", i, 0))
			}

			selected := NodesForLoad(nodes)

			byAddress := map[string]*Node{}
			for i := range nodes {
				byAddress[nodes[i].Address] = &nodes[i]
			}

			// The selected nodes become full first.
			order := append(slices.Clone(selected), slices.DeleteFunc(slices.Clone(nodes), func(n Node) bool { return addressesOf(selected)[n.Address] })...)
			for _, n := range order[:tc.full] {
				byAddress[n.Address].Load = 1
			}

			got := NodesForLoad(nodes)
			if len(got) != tc.want {
				t.Errorf("%d nodes, want %d", len(got), tc.want)
			}

			for _, n := range got {
				if n.Load >= 1 && 8-tc.full >= minNodes {
					t.Errorf("full node %s is selected although enough others have capacity", n.ID)
				}
			}
		})
	}
}

// Guards against callers of one failure domain that need more entry VMs than it has: 80 entry VMs of 0.192 cores in 6 failure domains,
// 120 searches a second of which all those of a region come to one failure domain, at the peak of a swing by 0.55.
func TestNodesForSwings(t *testing.T) {
	const (
		nodesInDomain = 80 / 6
		regions       = 3
		peak          = 120.0 / regions * 1.55
		capacity      = 10000 * 0.192 // attempts per second of an entry VM
	)

	for _, shards := range []int{36, 54} {
		nodes := make([]Node, 0, nodesInDomain)
		for i := range nodesInDomain {
			nodes = append(nodes, nodeIn("dar", i, peak*float64(shards)/capacity/nodesInDomain))
		}

		if named := len(NodesForLoad(nodes)); named >= nodesInDomain {
			t.Errorf("%d of %d nodes are needed for %d shards", named, nodesInDomain, shards)
		} else {
			t.Logf("%d shards: %d of %d nodes", shards, named, nodesInDomain)
		}
	}
}
