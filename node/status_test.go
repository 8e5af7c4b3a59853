package node

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"fulmarfall/searcher"
	"fulmarfall/wire"
)

// Guards against a response with an invalid status that counts as a whole answer to its request: its connection would be kept, and
// its request limit believed.
func TestInvalidStatusIsBadReply(t *testing.T) {
	for _, execute := range []bool{false, true} {
		for _, status := range []int{1, 20, 99, 101, 199, 600, 999, 2000} {
			t.Run(fmt.Sprintf("execute %v, status %d", execute, status), func(t *testing.T) {
				resp := &fasthttp.Response{}
				resp.SetStatusCode(status)
				resp.SetBodyString(`{"request_id":"q","attempt":1,"shard":"a","snapshot":1,"started":false,"limit_per_second":1}`)

				reply, outcome := translate(&wire.ShardRequest{RequestID: "q", Attempt: 1, Shard: "a", Snapshot: 1, Execute: execute}, resp)
				if reply.Status != wire.ShardUnknown || outcome.Kind != searcher.Failed || outcome.AnswerRead || outcome.Limit != nil {
					t.Errorf("status %d of the shard, outcome %+v, want one that may have run, with its connection closed and no limit", reply.Status, outcome)
				}
			})
		}
	}
}

// Guards against a status outside 200 to 599 that is taken for another one, or for that of an interim response.
func TestInvalidStatusEndsExchange(t *testing.T) {
	for status, wantErr := range map[string]bool{
		"200": false, "503": false, "000": true, "020": true, "099": true, "101": true, "600": true, "999": true, "20": true, "-12": true, "2000": true,
	} {
		t.Run(status, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatalf("listen: %v", err)
			}
			defer func() { _ = ln.Close() }()

			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()

				// Unread request bytes would make the close reset the connection and discard the response.
				if _, err := io.ReadAtLeast(c, make([]byte, connBufferSize), 1); err == nil {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 %s Odd\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", status)
				}
			}()

			c, done, err := dialSearcher(t.Context(), ln.Addr().String(), make(chan struct{}, maxLargeReplies))
			if err != nil {
				t.Fatalf("dial: %v", err)
			}
			defer done()

			req, resp := &fasthttp.Request{}, &fasthttp.Response{}
			req.SetRequestURI("http://" + ln.Addr().String() + "/search")

			var xe *exchangeError

			err = c.exchange(req, resp, time.Now().Add(10*time.Second))
			if (err != nil) != wantErr || wantErr && (!errors.As(err, &xe) || !xe.partial || xe.timeout) {
				t.Errorf("error %v with status %d, want a malformed response: %v", err, resp.StatusCode(), wantErr)
			}

			c.reply.release()
		})
	}
}
