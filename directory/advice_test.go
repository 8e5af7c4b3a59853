package directory

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/ident"
)

var adviceTopology = &Topology{
	Regions:   map[ident.FailureDomain]ident.Region{"dar": "pwani", "tanga": "pwani", "arusha": "kaskazini"},
	Searchers: map[ident.FailureDomain]int{"dar": 36, "tanga": 2, "arusha": 40},
}

// Guards against advice that is sent repeatedly because two control VMs with the same view compute different versions,
// and against a change that is not propagated to the entry VMs because the version stays the same.
func TestAdviceVersion(t *testing.T) {
	nodes := []Node{nodeIn("dar", 1, 0), nodeIn("dar", 2, 0), nodeIn("tanga", 1, 0), nodeIn("arusha", 1, 0)}
	first := Advise(nodes, adviceTopology, Advice{})

	reversed := slices.Clone(nodes)
	slices.Reverse(reversed)

	if diff := cmp.Diff(first, Advise(reversed, adviceTopology, Advice{})); diff != "" {
		t.Errorf("advice depends on the order of the nodes (-want +got):\n%s", diff)
	}

	oneLeaving := slices.Clone(nodes)
	oneLeaving[0].Leaving = true

	if Advise(oneLeaving, adviceTopology, Advice{}).Version == first.Version {
		t.Error("the version does not change when a node leaves")
	}

	if Advise(nil, adviceTopology, Advice{}).Version == 0 {
		t.Error("advice without nodes has version 0, which means no advice")
	}
}

// Guards against advice that changes several times a second while the load varies around the threshold for one more node,
// and against nodes that stay assigned after the load has dropped or when they can no longer be used.
func TestAdviceHysteresis(t *testing.T) {
	topology := &Topology{Regions: map[ident.FailureDomain]ident.Region{"dar": "pwani"}, Searchers: map[ident.FailureDomain]int{"dar": 1}}
	advise := func(former Advice, load float64, change func(assigned []string, n *Node)) Advice {
		var nodes []Node

		for i := range 8 {
			n := nodeIn("dar", i, load)
			if change != nil {
				change(former.Domains[0].Addresses, &n)
			}

			nodes = append(nodes, n)
		}

		return Advise(nodes, topology, former)
	}
	needsFour := advise(Advice{}, 0.15, nil)

	if got := len(needsFour.Domains[0].Addresses); got != 4 {
		t.Fatalf("%d addresses, want 4", got)
	}

	for name, tc := range map[string]struct {
		load   float64
		change func(assigned []string, n *Node)
		want   int
	}{
		"one node fewer needed":   {0.13, nil, 4},
		"two nodes fewer needed":  {0.08, nil, 2},
		"one more needed":         {0.20, nil, 5},
		"one of them is leaving":  {0.13, func(assigned []string, n *Node) { n.Leaving = n.Address == assigned[3] }, 3},
		"one of them is full":     {0.10, func(assigned []string, n *Node) { n.Load += boolToFloat(n.Address == assigned[3]) }, 6},
		"one of them has no load": {0.13, func(assigned []string, n *Node) { n.Load *= 1 - boolToFloat(n.Address == assigned[3]) }, 4},
	} {
		t.Run(name, func(t *testing.T) {
			got := advise(needsFour, tc.load, tc.change).Domains[0].Addresses
			if len(got) != tc.want {
				t.Errorf("%d addresses, want %d: %v", len(got), tc.want, got)
			}
		})
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}

	return 0
}

// Guards against callers that get no address because the known ones have not been confirmed for a while, and against
// addresses of another region.
func TestAdviser(t *testing.T) {
	var (
		now    = time.Unix(1_000_000, 0)
		advice = Advise([]Node{nodeIn("dar", 1, 0), nodeIn("arusha", 1, 0)}, adviceTopology, Advice{})
		other  = Advise([]Node{nodeIn("dar", 2, 0), nodeIn("arusha", 1, 0)}, adviceTopology, Advice{})
	)

	for name, tc := range map[string]struct {
		renewals       []Advice
		domain, region string
		want           []string
	}{
		"no advice yet":                        {nil, "dar", "pwani", []string{}},
		"own failure domain":                   {[]Advice{advice}, "dar", "pwani", []string{"dar-1"}},
		"domain with most searchers in region": {[]Advice{advice}, "tanga", "pwani", []string{"dar-1"}},
		"another region":                       {[]Advice{advice}, "arusha", "kaskazini", []string{"arusha-1"}},
		"an unknown failure domain":            {[]Advice{advice}, "moon", "kaskazini", []string{"arusha-1"}},
		"an unknown region":                    {[]Advice{advice}, "moon", "sky", []string{}},
		"unchanged version without domains":    {[]Advice{advice, {Version: advice.Version}}, "dar", "pwani", []string{"dar-1"}},
		"a control VM without advice":          {[]Advice{advice, {}}, "dar", "pwani", []string{"dar-1"}},
		"new version without domains":          {[]Advice{advice, {Version: other.Version}}, "dar", "pwani", []string{"dar-1"}},
		"replaced":                             {[]Advice{advice, other}, "dar", "pwani", []string{"dar-2"}},
	} {
		t.Run(name, func(t *testing.T) {
			a := NewAdviser(adviceTopology.Regions)
			for _, r := range tc.renewals {
				a.Renew(r)
			}

			got := a.Answer(now, ident.FailureDomain(tc.domain), ident.Region(tc.region))
			if diff := cmp.Diff(tc.want, got.Addresses); diff != "" {
				t.Errorf("addresses differ (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a lifetime of answers above the bound, or so short that callers ask before every request.
func TestMaxTTL(t *testing.T) {
	for name, tc := range map[string]struct {
		bound time.Duration
		want  int
	}{
		"no bound":     {0, 3},
		"wide bound":   {5 * time.Second, 3},
		"narrow bound": {2 * time.Second, 2},
		"under 1 s":    {500 * time.Millisecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			if got := New(WithMaxTTL(tc.bound)).KeepSeconds(); got != tc.want {
				t.Errorf("kept for %d s, want %d s", got, tc.want)
			}
		})
	}
}

// Guards against a standby that is not the node assigned next and would open its connections for nothing.
func TestStandby(t *testing.T) {
	topology := &Topology{Regions: map[ident.FailureDomain]ident.Region{"dar": "pwani"}, Searchers: map[ident.FailureDomain]int{"dar": 1}}
	advise := func(load float64) DomainAdvice {
		var nodes []Node
		for i := range 6 {
			nodes = append(nodes, nodeIn("dar", i, load))
		}

		return Advise(nodes, topology, Advice{}).Domains[0]
	}

	for load := 0.05; load < 0.4; load += 0.05 {
		now := advise(load)
		if slices.Contains(now.Addresses, now.Standby) {
			t.Errorf("load %.2f: the standby %s is already assigned", load, now.Standby)
		}

		for more := load; ; more += 0.005 {
			next := advise(more)
			if len(next.Addresses) == len(now.Addresses) && more < 1 {
				continue
			}

			if len(next.Addresses) > len(now.Addresses) && !slices.Contains(next.Addresses, now.Standby) {
				t.Errorf("load %.2f: a higher load assigns %v without the standby %s", load, next.Addresses, now.Standby)
			}

			break
		}
	}

	if got := advise(0.9); got.Standby != "" || len(got.Addresses) != 6 {
		t.Errorf("all nodes are needed: got standby %q of %v, want none and 6 addresses", got.Standby, got.Addresses)
	}
}

// Guards against callers that are sent to nodes without links to searchers, against an empty directory when no node has any
// because the searchers are down, and against requests that are forwarded to such nodes.
func TestIsolatedNodesAreLeftOut(t *testing.T) {
	topology := &Topology{
		Regions:   map[ident.FailureDomain]ident.Region{"dar": "pwani", "arusha": "kaskazini"},
		Searchers: map[ident.FailureDomain]int{"dar": 1, "arusha": 1},
	}

	for name, tc := range map[string]struct {
		isolated    []string
		limited     []string
		dar, arusha []string
	}{
		"none":                              {nil, nil, []string{"dar-0", "dar-1"}, []string{"arusha-0", "arusha-1"}},
		"one of a domain":                   {[]string{"dar-0"}, nil, []string{"dar-1"}, []string{"arusha-0", "arusha-1"}},
		"all of a domain":                   {[]string{"dar-0", "dar-1"}, nil, []string{"arusha-0", "arusha-1"}, []string{"arusha-0", "arusha-1"}},
		"all but one":                       {[]string{"dar-0", "dar-1", "arusha-0"}, nil, []string{"arusha-1"}, []string{"arusha-1"}},
		"all, as if the searchers are down": {[]string{"dar-0", "dar-1", "arusha-0", "arusha-1"}, nil, []string{"dar-0", "dar-1"}, []string{"arusha-0", "arusha-1"}},
		"one without new connections":       {nil, []string{"dar-0"}, []string{"dar-1"}, []string{"arusha-0", "arusha-1"}},
		"all of a region without":           {nil, []string{"dar-0", "dar-1"}, []string{"dar-0", "dar-1"}, []string{"arusha-0", "arusha-1"}},
		"all without":                       {nil, []string{"dar-0", "dar-1", "arusha-0", "arusha-1"}, []string{"dar-0", "dar-1"}, []string{"arusha-0", "arusha-1"}},
		"one isolated, the other without":   {[]string{"dar-0"}, []string{"dar-1"}, []string{"dar-1"}, []string{"arusha-0", "arusha-1"}},
	} {
		t.Run(name, func(t *testing.T) {
			var nodes []Node

			for _, n := range []Node{nodeIn("dar", 0, 0), nodeIn("dar", 1, 0), nodeIn("arusha", 0, 0), nodeIn("arusha", 1, 0)} {
				n.Isolated, n.Limited = slices.Contains(tc.isolated, n.Address), slices.Contains(tc.limited, n.Address)
				nodes = append(nodes, n)
			}

			a := Advise(nodes, topology, Advise(withoutIsolation(nodes), topology, Advice{}))

			got := map[ident.FailureDomain][]string{}
			for _, d := range a.Domains {
				got[d.FailureDomain] = d.Addresses
			}

			if diff := cmp.Diff(map[ident.FailureDomain][]string{"dar": tc.dar, "arusha": tc.arusha}, got); diff != "" {
				t.Errorf("addresses differ (-want +got):\n%s", diff)
			}

			// A node that cannot open connections is no peer.
			named := slices.Compact(slices.Sorted(slices.Values(slices.Concat(tc.dar, tc.arusha))))
			named = slices.DeleteFunc(named, func(address string) bool {
				return slices.Contains(tc.limited, address) || slices.Contains(tc.isolated, address)
			})

			peers := []string{}
			for _, p := range a.Peers {
				peers = append(peers, string(p.Node))
			}

			if diff := cmp.Diff(named, peers); diff != "" {
				t.Errorf("peers differ (-want +got):\n%s", diff)
			}
		})
	}
}

func withoutIsolation(nodes []Node) []Node {
	list := slices.Clone(nodes)
	for i := range list {
		list[i].Isolated, list[i].Limited = false, false
	}

	return list
}

// Guards against requests that nobody serves although a node that is leaving still could.
func TestLeavingNodeIsLastPeer(t *testing.T) {
	topology := &Topology{Regions: map[ident.FailureDomain]ident.Region{"dar": "pwani"}, Searchers: map[ident.FailureDomain]int{"dar": 1}}

	for name, tc := range map[string]struct {
		othersIsolated, isolated bool
		want                     []Peer
	}{
		"others reach searchers":  {false, false, []Peer{{"dar-1", "dar"}, {"dar-2", "dar"}}},
		"others are isolated":     {true, false, []Peer{{"dar-0", "dar"}}},
		"all nodes are isolated":  {true, true, nil},
		"the leaving one is, too": {false, true, []Peer{{"dar-1", "dar"}, {"dar-2", "dar"}}},
	} {
		t.Run(name, func(t *testing.T) {
			nodes := []Node{nodeIn("dar", 0, 0), nodeIn("dar", 1, 0), nodeIn("dar", 2, 0)}
			nodes[0].InService, nodes[0].Leaving, nodes[0].Isolated = false, true, tc.isolated
			nodes[1].Isolated, nodes[2].Isolated = tc.othersIsolated, tc.othersIsolated

			if diff := cmp.Diff(tc.want, Advise(nodes, topology, Advice{}).Peers); diff != "" {
				t.Errorf("peers differ (-want +got):\n%s", diff)
			}
		})
	}
}
