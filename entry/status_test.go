package entry

import (
	"io"
	"net"
	"testing"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/configuration"
	"fulmarfall/ident"
	"fulmarfall/wire"
)

// Guards against a response with an invalid status that a peer of an earlier build relays, and that this node passes on.
func TestInvalidStatusOfPeerIsNotRelayed(t *testing.T) {
	for _, status := range []int{0, 20, 99, 101, 199, 600, 999, 2000, -12} {
		n := &Node{}
		n.links.init()
		n.view.Store(&view{configuration: &configuration.Configuration{}})

		s := &activeRequest{n: n, r: &Request{}, route: &configuration.Route{Idempotent: true}}
		if err := s.applyForwarded(&wire.Forwarded{Result: wire.ForwardRelayed, Status: status, Body: []byte("body")}); err != nil {
			t.Errorf("status %d: error %v, want a result, as the peer may have run the request", status, err)
		}

		// The peer may have run it, so another one must not be asked.
		if diff := cmp.Diff(Result(&Refused{Kind: RefusedUnknown, Reason: ident.ReasonBadReply}), s.result, cmp.AllowUnexported(Reply{})); diff != "" || !s.mayHaveRun() {
			t.Errorf("status %d: may have run %v, result differs (-want +got):\n%s", status, s.mayHaveRun(), diff)
		}
	}
}

// Guards against a searcher whose malformed response on a new connection counts as a rejected connection, so that fewer are used.
func TestMalformedResponseIsNoRejection(t *testing.T) {
	n := newServingNode(t, 1)
	addRoute(n, "odd", startSearcher(t, func(c net.Conn) {
		if _, err := c.Read(make([]byte, 4096)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 20 Odd\r\nContent-Length: 0\r\n\r\n")
		}

		_ = c.Close()
	}), true)

	p := n.pools.get("odd")
	p.setShare(6)

	if r, ok := serve(n, "/odd/", nil).(*Refused); !ok || r.Kind == RefusedNotRun {
		t.Errorf("result %+v, want a refusal that doesn't promise that nothing has run", r)
	}

	if got := p.limiter.Limit(); got != 6 {
		t.Errorf("connection limit %d, want 6", got)
	}
}
