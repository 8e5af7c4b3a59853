package entry

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/ident"
	"fulmarfall/wire"
)

// Guards against a response with an invalid status that a peer of an earlier build relays, and that this node passes on.
func TestInvalidStatusOfPeerIsNotRelayed(t *testing.T) {
	for _, status := range []int{0, 20, 99, 101, 199, 600, 999, 2000, -12} {
		s := isolatedRequest(time.Now(), false, true)
		if err := s.applyForwarded(&wire.Forwarded{Result: wire.ForwardRelayed, Status: status, Body: []byte("body")}); err != nil {
			t.Errorf("status %d: error %v, want a result, as the peer may have run the request", status, err)
		}

		// The peer may have run it, so another one must not be asked.
		if diff := cmp.Diff(Result(&Refused{Kind: RefusedUnknown, Reason: ident.ReasonBadReply}), s.result, cmp.AllowUnexported(Reply{})); diff != "" || !s.mayHaveRun() {
			t.Errorf("status %d: may have run %v, result differs (-want +got):\n%s", status, s.mayHaveRun(), diff)
		}
	}
}

// Guards against a field with an invalid name that a peer of an earlier build relays, and that this node passes on.
func TestInvalidFieldOfPeerIsNotRelayed(t *testing.T) {
	for name, f := range map[string]wire.HeaderField{
		"space": {Name: "X Odd", Value: "1"}, "space at the end": {Name: "X-Odd ", Value: "1"}, "no name": {Value: "1"},
		"control character": {Name: "X\x01", Value: "1"}, "control character in a value": {Name: "X-Odd", Value: "1\r\nX-Two: 2"},
	} {
		t.Run(name, func(t *testing.T) {
			s := isolatedRequest(time.Now(), false, false)
			if err := s.applyForwarded(&wire.Forwarded{Result: wire.ForwardRelayed, Status: 200, Header: []wire.HeaderField{{Name: "X-Any", Value: "1"}, f}}); err != nil {
				t.Errorf("error %v, want a result, as the peer may have run the request", err)
			}

			if diff := cmp.Diff(Result(&Refused{Kind: RefusedUnknown, Reason: ident.ReasonBadReply}), s.result, cmp.AllowUnexported(Reply{})); diff != "" || s.canRunAgain() {
				t.Errorf("may run again %v, result differs (-want +got):\n%s", s.canRunAgain(), diff)
			}
		})
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
