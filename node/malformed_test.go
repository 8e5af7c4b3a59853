package node

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"fulmarfall/standin"
)

// exchangeWith sends a request to a searcher that responds with the given bytes and closes the connection. It reports whether the
// response counted as malformed, which is neither a lost connection nor a missed deadline.
func exchangeWith(t *testing.T, data string) (malformed bool, err error) {
	t.Helper()

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
			_, _ = io.WriteString(c, data)
		}
	}()

	c, done, err := dialSearcher(t.Context(), ln.Addr().String(), make(chan struct{}, maxLargeReplies))
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	defer done()
	defer c.reply.release()

	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + ln.Addr().String() + "/search")

	var xe *exchangeError

	err = c.exchange(req, resp, time.Now().Add(10*time.Second))

	return errors.As(err, &xe) && xe.partial && !xe.timeout, err
}

// Guards against a malformed response of a searcher that is taken for an answer, or for evidence that the request crashed it.
func TestMalformedResponseEndsExchange(t *testing.T) {
	for name, data := range standin.MalformedResponses("X-Any: 1\r\n", "{}") {
		t.Run(name, func(t *testing.T) {
			if malformed, err := exchangeWith(t, data); !malformed {
				t.Errorf("error %v, want a malformed response", err)
			}
		})
	}
}
