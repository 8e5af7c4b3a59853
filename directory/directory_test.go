package directory

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/ident"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func nodes(n int) []Node {
	list := make([]Node, n)
	for i := range list {
		id := fmt.Sprintf("n%d", i)
		list[i] = Node{
			ID: ident.NodeID(id), Address: "192.0.2." + fmt.Sprint(i), InService: true,
			FailureDomain: ident.FailureDomain(fmt.Sprintf("d%d", i/2)),
		}
	}

	return list
}

// firstShares returns, by address, the share of 20,000 callers whose answer starts with it.
func firstShares(d *Directory, list []Node, named bool) map[string]float64 {
	share := map[string]float64{}
	for i := range 20000 {
		caller := ""
		if named {
			caller = fmt.Sprintf("10.0.%d.%d", i/256, i%256)
		}
		share[d.Answer(epoch, caller, list).Addresses[0]] += 1.0 / 20000
	}

	return share
}

// Guards against answers with nodes that must get no new requests, callers that all use the same node, and a node that
// is overloaded because its load or its recent return is ignored.
func TestAnswerWeights(t *testing.T) {
	tests := map[string]struct {
		change func(n *Node)
		want   float64 // share of the first of 6 nodes
	}{
		"equal":          {change: func(*Node) {}, want: 1.0 / 6},
		"half loaded":    {change: func(n *Node) { n.Load = 0.5 }, want: 0.5 / 5.5},
		"full":           {change: func(n *Node) { n.Load = 1 }, want: 0.05 / 5.05},
		"load unknown":   {change: func(n *Node) { n.Load = math.NaN() }, want: 0.05 / 5.05},
		"just returned":  {change: func(n *Node) { n.Since = epoch }, want: 0.05 / 5.05},
		"half the ramp":  {change: func(n *Node) { n.Since = epoch.Add(-DefaultRamp / 2) }, want: 0.5 / 5.5},
		"after the ramp": {change: func(n *Node) { n.Since = epoch.Add(-DefaultRamp) }, want: 1.0 / 6},
		"leaving":        {change: func(n *Node) { n.Leaving = true }},
		"out of service": {change: func(n *Node) { n.InService = false }},
		"no address":     {change: func(n *Node) { n.Address = "" }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			list := nodes(6)
			address := list[0].Address
			tc.change(&list[0])
			for _, named := range []bool{true, false} {
				got := firstShares(New(), list, named)[address]
				if math.Abs(got-tc.want) > 0.01 || tc.want == 0 && got != 0 {
					t.Errorf("callers with names %v: node is first for %.3f of them, want %.3f", named, got, tc.want)
				}
			}
		})
	}
}

// Guards against callers that must replace their connections although their nodes have not changed.
func TestAnswerIsStable(t *testing.T) {
	d, list := New(), nodes(6)
	moved := 0
	for i := range 1000 {
		caller := fmt.Sprint(i)
		before := d.Answer(epoch, caller, list)
		if diff := cmp.Diff(before, d.Answer(epoch.Add(time.Minute), caller, list)); diff != "" {
			t.Fatalf("answer differs (-before +after):\n%s", diff)
		}
		if d.Answer(epoch, caller, list[:5]).Addresses[0] != before.Addresses[0] {
			moved++
		}
	}
	if moved > 220 {
		t.Errorf("%d of 1,000 callers change their first node when one of 6 nodes leaves, want at most 220", moved)
	}
}

// Guards against a caller that loses all its addresses with one failure domain, and against answers over the limit.
func TestAnswerSpansFailureDomains(t *testing.T) {
	list := nodes(40)
	domain := map[string]ident.FailureDomain{}
	for i := range list {
		list[i].FailureDomain = "big"
		if i == 7 {
			list[i].FailureDomain = "small"
		}
		domain[list[i].Address] = list[i].FailureDomain
	}
	for i := range 200 {
		got := New(WithMaxAddresses(4)).Answer(epoch, fmt.Sprint(i), list)
		seen, unique := map[ident.FailureDomain]bool{}, map[string]bool{}
		for _, a := range got.Addresses {
			seen[domain[a]], unique[a] = true, true
		}
		if len(unique) != 4 || len(seen) != 2 || got.KeepSeconds != DefaultKeepSeconds {
			t.Fatalf("answer %+v has %d addresses in %d failure domains, want 4 in 2", got, len(unique), len(seen))
		}
	}
}

// Guards against an empty answer that callers cache for long, or whose list is null in JSON.
func TestEmptyAnswer(t *testing.T) {
	want := Answer{Addresses: []string{}, KeepSeconds: emptyKeepSeconds}
	if diff := cmp.Diff(want, New().Answer(epoch, "a", []Node{{ID: "n", Address: "a", Leaving: true}})); diff != "" {
		t.Errorf("answer differs (-want +got):\n%s", diff)
	}
}

func BenchmarkAnswer(b *testing.B) {
	for _, n := range []int{8, 480} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			d, list := New(), nodes(n)
			b.ReportAllocs()
			for range b.N {
				d.Answer(epoch, "10.0.0.1", list)
			}
		})
	}
}
