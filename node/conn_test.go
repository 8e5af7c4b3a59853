package node

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"fulmarfall/sockets"
)

// Guards against a malformed or endless response that is counted as a crash caused by the request, and against a lost
// connection that is reported as a malformed response.
func TestExchangeDistinguishesMalformedAnswersFromLostConnections(t *testing.T) {
	const complete = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

	for name, tc := range map[string]struct {
		prefix, repeated string // repeated is sent until the client closes the connection
		failed           bool
		partial          bool
	}{
		"complete response":      {complete, "", false, false},
		"closed without a byte":  {"", "", true, false},
		"truncated header":       {complete[:20], "", true, true},
		"truncated body":         {complete[:len(complete)-1], "", true, true},
		"not HTTP":               {"\x16\x03\x01 nonsense\r\n\r\n", "", true, true},
		"endless header":         {"HTTP/1.1 200 OK\r\nX-More: ", strings.Repeat("x", connBufferSize), true, true},
		"endless body":           {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 64<<10), true, true},
		"endless chunks":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4000\r\n" + strings.Repeat("x", 16<<10) + "\r\n", true, true},
		"length above the limit": {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", strings.Repeat("x", 64<<10), true, true},
	} {
		t.Run(name, func(t *testing.T) {
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
				if _, err := io.ReadAtLeast(c, make([]byte, connBufferSize), 1); err != nil {
					return
				}

				_, err = io.WriteString(c, tc.prefix)
				for tc.repeated != "" && err == nil {
					_, err = io.WriteString(c, tc.repeated)
				}
			}()

			large := make(chan struct{}, maxLargeReplies)

			c, done, err := dialSearcher(t.Context(), ln.Addr().String(), large)
			if err != nil {
				t.Fatalf("dial: %v", err)
			}
			defer done()

			req, resp := &fasthttp.Request{}, &fasthttp.Response{}
			req.SetRequestURI("http://" + ln.Addr().String() + "/search")
			req.Header.SetMethod(fasthttp.MethodPost)
			req.SetBodyString("{}")

			err = c.exchange(req, resp, time.Now().Add(10*time.Second))

			var xe *exchangeError
			if got := errors.As(err, &xe); got != tc.failed {
				t.Fatalf("error is %v, want an exchangeError: %v", err, tc.failed)
			}

			c.reply.release()

			if len(large) != 0 {
				t.Errorf("%d large replies in the semaphore after release", len(large))
			}

			if xe != nil && (xe.partial != tc.partial || xe.timeout) {
				t.Errorf("partial %v, timeout %v, want partial %v (%v)", xe.partial, xe.timeout, tc.partial, err)
			}
		})
	}
}

// Guards against concurrent large replies that exhaust the memory of a node, and against small replies that are refused with
// them.
func TestConcurrentLargeReplies(t *testing.T) {
	small := "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n" + strings.Repeat("c", 400)

	for name, tc := range map[string]struct {
		length int
		others int // other large replies that are being read
		want   error
	}{
		"small":                {len(small), maxLargeReplies, nil},
		"large, one slot free": {1 << 20, maxLargeReplies - 1, nil},
		"large, no slot free":  {1 << 20, maxLargeReplies, errTooManyLargeReplies},
	} {
		t.Run(name, func(t *testing.T) {
			large := make(chan struct{}, maxLargeReplies)
			for range tc.others {
				large <- struct{}{}
			}

			r := &replyReader{CountingReader: sockets.CountingReader{R: strings.NewReader(strings.Repeat("x", tc.length))}, sem: large}

			_, err := io.Copy(io.Discard, r)
			if !errors.Is(err, tc.want) {
				t.Errorf("error %v, want %v", err, tc.want)
			}

			r.release()

			if len(large) != tc.others {
				t.Errorf("%d large replies in the semaphore after release, want %d", len(large), tc.others)
			}
		})
	}
}
