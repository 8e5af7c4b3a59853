package standin

import (
	"context"
	"fmt"
	"io"
	"net"

	"github.com/valyala/fasthttp"
)

// malformedFields are lines that are no header fields.
var malformedFields = map[string]string{
	"space in a name":              "X Odd: 1\r\n",
	"space before a colon":         "X-Odd : 1\r\n",
	"space before a name":          " X-Odd: 1\r\n",
	"tab in a name":                "X\tOdd: 1\r\n",
	"control character in a name":  "X-\x01Odd: 1\r\n",
	"NUL in a name":                "X-\x00Odd: 1\r\n",
	"DEL in a name":                "X-\x7fOdd: 1\r\n",
	"CR in a name":                 "X-\rOdd: 1\r\n",
	"LF before a name":             "\nX-Odd: 1\r\n",
	"LF in a name":                 "X-\nOdd: 1\r\n",
	"byte over 127 in a name":      "X-\xe9Odd: 1\r\n",
	"separator in a name":          "X(Odd): 1\r\n",
	"no name":                      ": 1\r\n",
	"no colon":                     "X-Odd\r\n",
	"control character in a value": "X-Odd: 1\x01\r\n",
	"line without CR":              "X-Odd: 1\n",
}

// MalformedResponses returns malformed responses to an HTTP request, by what is wrong with them. Each contains the given field lines
// and the body in full.
func MalformedResponses(fields, body string) map[string]string {
	const (
		statusLine = "HTTP/1.1 200 OK\r\n"
		interim    = "HTTP/1.1 103 Early Hints\r\n"
		coding     = "Transfer-Encoding: chunked\r\n"
	)

	var (
		head    = statusLine + fields
		length  = fmt.Sprintf("Content-Length: %d\r\n", len(body))
		valid   = head + length + "\r\n" + body
		chunks  = fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
		chunked = "\r\n" + chunks + "\r\n"
	)

	out := map[string]string{
		"space before the colon of a length":          fmt.Sprintf("%sContent-Length : %d\r\n\r\n%s", head, len(body), body),
		"space before the colon of a transfer coding": head + "Transfer-Encoding : chunked\r\n" + chunked,
		"two lengths":                            head + length + length + "\r\n" + body,
		"length with a sign":                     fmt.Sprintf("%sContent-Length: +%d\r\n\r\n%s", head, len(body), body),
		"length without a number":                head + "Content-Length:\r\n\r\n" + body,
		"length beside a transfer coding":        head + length + coding + chunked,
		"transfer coding beside a length":        head + coding + length + chunked,
		"control character in the reason phrase": "HTTP/1.1 200 O\x01K\r\n" + fields + length + "\r\n" + body,
		"two transfer codings":                   head + coding + coding + chunked,
		"unknown transfer coding":                head + "Transfer-Encoding: gzip, chunked\r\n" + chunked,
		"transfer coding in HTTP/1.0":            "HTTP/1.0 200 OK\r\n" + fields + coding + chunked,
		"length in a trailer":                    head + coding + "\r\n" + chunks + length + "\r\n",
		"interim response with a length":         interim + length + "\r\n" + valid,
		"interim response with a body in chunks": interim + coding + "\r\n" + valid,
		"unknown version":                        "HTTP/2.0 200 OK\r\n" + fields + length + "\r\n" + body,
		"status of two digits":                   "HTTP/1.1 20 OK\r\n" + fields + length + "\r\n" + body,
		"status 000":                             "HTTP/1.1 000 OK\r\n" + fields + length + "\r\n" + body,
	}

	for name, line := range malformedFields {
		out[name+", head"] = head + line + length + "\r\n" + body
		out[name+", interim head"] = interim + line + "\r\n" + valid
		out[name+", trailer"] = head + coding + "\r\n" + chunks + line + "\r\n"
	}

	return out
}

// malformReply replaces a response by a malformed one with the same body, if the searcher is told to. The connection stays open until
// the peer closes it, or the incarnation ends.
func (s *Searcher) malformReply(ctx context.Context, c *fasthttp.RequestCtx) {
	kind := s.Behaviour().Malformed
	if kind == "" {
		return
	}

	data := MalformedResponses("Content-Type: application/json\r\n", string(c.Response.Body()))[kind]

	c.HijackSetNoResponse(true)
	c.Hijack(func(conn net.Conn) {
		defer context.AfterFunc(ctx, func() { _ = conn.Close() })()

		// An error means that the peer has closed the connection.
		if _, err := io.WriteString(conn, data); err == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
	})
}
