package entry

import (
	"net"
	"testing"
	"time"

	"fulmarfall/query"
)

// Guards against attempts that leave the region although a connection is free within the round trip that this takes, and against
// attempts that wait longer.
func TestConnectionWait(t *testing.T) {
	const long = 10 * time.Second

	for name, tc := range map[string]struct {
		wait  time.Duration
		freed bool // a connection is returned while the attempt waits
		want  bool
	}{
		"no wait":                 {0, false, false},
		"no connection is freed":  {20 * time.Millisecond, false, false},
		"a connection is freed":   {long, true, true},
		"freed after the attempt": {time.Millisecond, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			n := newServingNode(t, 1)
			addRoute(n, "busy", startSearcher(t, func(net.Conn) {}), true)

			p := n.pools.get("busy")
			p.setShare(1)

			deadline := time.Now().Add(long)
			if !p.acquireSlot(&attempt{send: &query.Send{Deadline: deadline}}) {
				t.Fatal("no connection for the first attempt")
			}

			if tc.freed {
				go p.releaseSlot()
			}

			began := time.Now()
			if got := p.acquireSlot(&attempt{send: &query.Send{Deadline: deadline, ConnectionWait: tc.wait}}); got != tc.want {
				t.Errorf("connection %v after %v, want %v", got, time.Since(began), tc.want)
			}

			if took := time.Since(began); took >= long/2 {
				t.Errorf("waited %v, want at most %v", took, tc.wait)
			}
		})
	}
}
