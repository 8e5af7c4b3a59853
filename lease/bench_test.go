package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"
)

// renewalBytes returns the size of a renewal and of its reply without commands: the fields of
// NodeInfo with the applied index, and grant, index to apply and commit index. Framing of QUIC is
// not in it.
func renewalBytes(n NodeInfo) int {
	var b []byte
	for _, s := range []string{string(n.ID), n.Address, string(n.FailureDomain), string(n.Region)} {
		b = msgp.AppendString(b, s)
	}
	b = msgp.AppendUint64(b, uint64(n.Incarnation))
	b = msgp.AppendBool(b, n.Leaving)
	for range 4 {
		b = msgp.AppendUint64(b, 1<<33)
	}

	return len(b)
}

var sizes = []struct{ nodes, searchers int }{
	{8, 50}, {8, 500}, {8, 2200}, {32, 500}, {32, 2200}, {128, 500}, {128, 2200}, {480, 500}, {480, 2200},
}

func BenchmarkRenew(b *testing.B) {
	for _, nodes := range []int{8, 32, 128, 480} {
		b.Run(fmt.Sprintf("%d_nodes", nodes), func(b *testing.B) {
			c := newCluster(b, nodes, 0)
			i := 0
			for b.Loop() {
				n := c.nodes[i%nodes]
				i++
				if _, err := c.l.Renew(c.now, c.now, n); err != nil {
					b.Fatal(err)
				}
			}
			n := c.nodes[0]
			n.Address, n.Incarnation = "10.1.200.200:7400", 1767323045000
			b.ReportMetric(float64(renewalBytes(n))/RenewEvery.Seconds(), "renewal-B/s")
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range sizes {
		c := newCluster(b, size.nodes, size.searchers)
		for more := true; more; {
			more = len(c.step(time.Second)) > 0
		}
		b.Run(fmt.Sprintf("%d_nodes_%d_searchers/unchanged", size.nodes, size.searchers), func(b *testing.B) {
			for b.Loop() {
				c.l.Plan(c.now, start, c.reg)
			}
		})
		b.Run(fmt.Sprintf("%d_nodes_%d_searchers/node_added_or_gone", size.nodes, size.searchers), func(b *testing.B) {
			i := 0
			for b.Loop() {
				// The change of one node makes every preferred owner be computed again.
				c.l.nodes[c.nodes[0].ID].info.Leaving = i%2 == 0
				i++
				c.l.Plan(c.now, start, c.reg)
			}
		})
	}
}
