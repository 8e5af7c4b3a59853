package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"
)

// renewalBytes returns the size of a renewal and of its reply without commands: the fields of
// NodeInfo and the applied index; the granted duration, the index to apply and the commit index. It
// excludes QUIC framing.
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

func BenchmarkRenew(b *testing.B) {
	for _, nodes := range []int{8, 32, 128, 480} {
		b.Run(fmt.Sprintf("%d_nodes", nodes), func(b *testing.B) {
			c := newCluster(b, nodes, 0)
			i := 0
			for b.Loop() {
				n := c.nodes[i%nodes]
				i++
				if _, err := c.leader.Renew(c.now, c.now, n); err != nil {
					b.Fatal(err)
				}
			}
			n := c.nodes[0]
			n.Address, n.Incarnation = "10.1.200.200:7400", 1767323045000
			b.ReportMetric(float64(renewalBytes(n))/RenewInterval.Seconds(), "renewal-B/s")
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, nodes := range []int{8, 32, 128, 480} {
		for _, searchers := range []int{50, 500, 2200} {
			c := newCluster(b, nodes, searchers)
			for planned := true; planned; {
				planned = len(c.step(time.Second)) > 0
			}
			for name, changes := range map[string]bool{"unchanged": false, "node_added_or_removed": true} {
				b.Run(fmt.Sprintf("%d_nodes_%d_searchers/%s", nodes, searchers, name), func(b *testing.B) {
					for b.Loop() {
						if changes {
							// A change of one candidate invalidates every cached preferred owner.
							info := &c.leader.nodes[c.nodes[0].ID].info
							info.Leaving = !info.Leaving
						}
						c.leader.Plan(c.now, start, c.reg)
					}
				})
			}
		}
	}
}
