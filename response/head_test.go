package response

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"
)

// Guards against a valid head that is rejected, or that ends where its last line does not.
func TestValidHeads(t *testing.T) {
	for name, head := range map[string]string{
		"fields":                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Any:a\r\nX-Any: \tb \t\r\n!#$%&'*+-.^_`|~09: \r\n\r\n",
		"no field":              "HTTP/1.1 200 OK\r\n\r\n",
		"no reason phrase":      "HTTP/1.1 200\r\nContent-Length: 4\r\n\r\n",
		"bytes over 127":        "HTTP/1.1 200 d\xe9j\xe0\r\nX-Any: \xc3\xa9\tx\r\n\r\n",
		"after empty lines":     "\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n",
		"chunks":                "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n",
		"HTTP/1.0":              "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\n",
		"interim responses":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"interim, empty length": "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var h fasthttp.ResponseHeader

			r := bufio.NewReader(iotest.OneByteReader(strings.NewReader(head + "body")))
			if err := ReadHead(r, &h); err != nil || h.StatusCode() != fasthttp.StatusOK {
				t.Errorf("status %d, error %v", h.StatusCode(), err)
			}

			if rest, _ := io.ReadAll(r); string(rest) != "body" {
				t.Errorf("%q follows the head", rest)
			}
		})
	}
}

// Guards against a malformed head that is rejected only once more of it, or its end, has arrived: a searcher may send it without end.
func TestMalformedHeadIsRejectedAtOnce(t *testing.T) {
	for start, want := range map[string]string{
		"HTTP/1.1 099 no\r\n":                                     "status 099 is outside 200 to 599",
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\n":                         `field name "X Odd" is not a token`,
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("é", 99) + ":\r\n": `é"... is not a token`,
		"HTTP/1.1 200 OK\r\nX-Odd: \x7f\r\n":                      `value of field "X-Odd" has a control character`,
		"HTTP/1.1 200 OK\r\n\n":                                   "does not end with CRLF",
		"HTTP/1.1 200 OK\r\nX-Odd: " + strings.Repeat("x", 4096):  "longer than 4096 bytes",
	} {
		in, out := io.Pipe()
		go func() { _, _ = io.WriteString(out, start) }()

		if err := ReadHead(bufio.NewReader(in), &fasthttp.ResponseHeader{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("head %q: error %v, want %q in it", start, err, want)
		}
	}
}

// FuzzReadHead checks that net/http takes each head that is valid here, with the same status and framing.
func FuzzReadHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Any: 1\r\n\r\nbody"))
	f.Add([]byte("HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var h fasthttp.ResponseHeader
		if ReadHead(bufio.NewReader(bytes.NewReader(data)), &h) != nil {
			return
		}

		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(bytes.TrimLeft(data, "\r\n"))), nil)
		if err != nil {
			t.Fatalf("net/http: %v", err)
		}
		defer func() { _ = resp.Body.Close() }()

		if IsFinal(resp.StatusCode) && (resp.StatusCode != h.StatusCode() || len(resp.TransferEncoding) > 0 != (h.ContentLength() == ChunkedLength)) {
			t.Errorf("net/http reads %+v", resp)
		}
	})
}
