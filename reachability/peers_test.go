package reachability

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/ident"
)

// Guards against forwarded requests that all go to one peer, to a far one while a near one is there, or again and again to
// one that has failed.
func TestPeerCandidates(t *testing.T) {
	var (
		now  = time.Unix(1000, 0)
		near = []ident.NodeID{"a", "b"}
		far  = []ident.NodeID{"b", "c", "d"}
		p    = NewPeers(rand.New(rand.NewPCG(1, 1)))
	)

	first := map[ident.NodeID]int{}

	for range 100 {
		list := p.Candidates(now, near, far)
		first[list[0]]++

		head := slices.Sorted(slices.Values(list[:2]))
		if diff := cmp.Diff(near, head); diff != "" || len(list) != 4 {
			t.Fatalf("candidates %v, want the near ones first (-want +got):\n%s", list, diff)
		}
	}

	if first["a"] < 25 || first["b"] < 25 {
		t.Errorf("requests are not spread over the near peers: %v", first)
	}

	for name, tc := range map[string]struct {
		after time.Duration
		want  int
	}{
		"in back-off":    {peerBackoff - 1, 3},
		"after back-off": {peerBackoff, 4},
	} {
		t.Run(name, func(t *testing.T) {
			p.Failed(now, "a")

			if got := p.Candidates(now.Add(tc.after), near, far); len(got) != tc.want {
				t.Errorf("candidates %v, want %d", got, tc.want)
			}
		})
	}
}

// Guards against requests that wait for a peer that is frozen although another one is there, and against a node that has no
// peer left because the only one takes long.
func TestSlowPeersAreLast(t *testing.T) {
	now := time.Unix(1000, 0)

	for name, tc := range map[string]struct {
		slow []ident.NodeID
		want []ident.NodeID
	}{
		"the near one is slow": {[]ident.NodeID{"near"}, []ident.NodeID{"far", "near"}},
		"the far one is slow":  {[]ident.NodeID{"far"}, []ident.NodeID{"near", "far"}},
		"both are slow":        {[]ident.NodeID{"near", "far"}, []ident.NodeID{"near", "far"}},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPeers(rand.New(rand.NewPCG(1, 1)))
			for _, id := range tc.slow {
				p.Slow(now, id)
			}

			if diff := cmp.Diff(tc.want, p.Candidates(now, []ident.NodeID{"near"}, []ident.NodeID{"far"})); diff != "" {
				t.Errorf("candidates differ (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a round of probes that only asks searchers of an upstream that is down, or none of another region.
func TestProbeTargets(t *testing.T) {
	var all []Target

	for u := range 30 {
		for r := range 3 {
			all = append(all, Target{Searcher: searcherID(u, r), Upstream: ident.UpstreamID(fmt.Sprint(u)), Near: r == 0})
		}
	}

	for name, tc := range map[string]struct {
		all             []Target
		want, upstreams int
	}{
		"many upstreams": {all, ProbesPerRound, ProbesPerRound},
		"two upstreams":  {all[:6], 6, 2},
		"one searcher":   {all[:1], 1, 1},
		"none":           {nil, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			chosen := ChooseTargets(tc.all, ProbesPerRound, rand.New(rand.NewPCG(1, 1)))
			upstreams, searchers, near := map[ident.UpstreamID]bool{}, map[ident.SearcherID]bool{}, 0

			for _, c := range chosen {
				upstreams[c.Upstream], searchers[c.Searcher] = true, true

				if c.Near {
					near++
				}
			}

			if len(chosen) != tc.want || len(searchers) != tc.want || len(upstreams) != tc.upstreams {
				t.Errorf("%d targets, %d searchers of %d upstreams, want %d of %d", len(chosen), len(searchers), len(upstreams), tc.want, tc.upstreams)
			}

			if tc.want == ProbesPerRound && near != ProbesPerRound/2 {
				t.Errorf("%d of %d targets are in the own region, want half", near, tc.want)
			}
		})
	}
}
