// Package response reads the heads and trailers of HTTP responses. It alone decides which of them are valid, by RFC 9110 and RFC
// 9112. fasthttp parses only what has passed, because it takes more: spaces in and after field names, lines without CR, folded lines,
// and a length beside a transfer coding. Where a response ends would then depend on who reads it.
package response

import (
	"bufio"
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

const (
	firstStatus        = 100
	switchingProtocols = 101
	firstFinalStatus   = 200
	lastStatus         = 599
	statusDigits       = 3

	// maxInterim bounds the 1xx responses before the final one; searchers rarely send any.
	maxInterim = 5
	// maxQuoted bounds the bytes of a response that an error quotes.
	maxQuoted = 40
)

// Content lengths that fasthttp reports, also of requests, for a body in chunks, and for one that ends when the connection is closed.
const (
	ChunkedLength    = -1
	UntilCloseLength = -2
)

// Protocol versions of responses. HTTP/1.0 has no transfer codings.
const (
	http10 = "HTTP/1.0"
	http11 = "HTTP/1.1"
)

// StatusError is returned for a status that is neither interim nor final.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return fmt.Sprintf("status %03d is outside 200 to 599", e.Status)
}

// IsFinal reports whether a status is that of a final response.
func IsFinal(status int) bool { return status >= firstFinalStatus && status <= lastStatus }

func isInterim(status int) bool {
	return status >= firstStatus && status < firstFinalStatus && status != switchingProtocols
}

// ReadHead reads the head of a final response into h and skips the interim ones before it. A head has to fit into the buffer of r.
// After an error, the connection holds no further response.
func ReadHead(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for range maxInterim + 1 {
		status, err := checkHead(&lineReader{r: r})
		if err != nil {
			return errors.Wrap(err, "check head")
		}

		if err := h.Read(r); err != nil {
			return errors.Wrap(err, "parse head")
		}

		if IsFinal(status) {
			return nil
		}

		// An interim response ends with its head. A searcher that states a body may send one all the same.
		if length := h.ContentLength(); length > 0 || length == ChunkedLength {
			return errors.Errorf("interim response %d states a body", status)
		}
	}

	return errors.New("too many interim responses")
}

// ReadTrailer reads the trailer after a chunked body into h.
func ReadTrailer(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	f, err := checkFields(&lineReader{r: r})
	if err != nil {
		return errors.Wrap(err, "check trailer")
	}

	if f.lengths > 0 || f.codings > 0 {
		return errors.New("trailer states a length or a transfer coding")
	}

	if err := h.ReadTrailer(r); err != nil {
		return errors.Wrap(err, "parse trailer")
	}

	return nil
}

// CheckField returns an error if a field name is not a token, or if a value has a control character other than a tab.
func CheckField(name, value string) error {
	if !isToken(name) {
		return errors.Errorf("field name %s is not a token", quote(name))
	}

	if hasControl(value) {
		return errors.Errorf("value of field %s has a control character", quote(name))
	}

	return nil
}

// isToken reports whether a text is a token of RFC 9110, section 5.6.2.
func isToken(text string) bool {
	for i := range len(text) {
		switch c := text[i]; {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		case strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0:
		default:
			return false
		}
	}

	return text != ""
}

func hasControl(text string) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == '\x7f' {
			return true
		}
	}

	return false
}

// quote returns the beginning of a text that a searcher has sent, in quotes.
func quote(text string) string {
	if len(text) > maxQuoted {
		return strconv.Quote(text[:maxQuoted]) + "..."
	}

	return strconv.Quote(text)
}

// checkHead checks the next head without consuming it, each line as soon as it has arrived. It returns the status.
func checkHead(l *lineReader) (status int, err error) {
	var line []byte

	// Empty lines after the previous response belong to no response.
	for len(line) == 0 {
		if line, err = l.next(); err != nil {
			return 0, errors.Wrap(err, "read status line")
		}
	}

	version, status, err := parseStatusLine(string(line))
	if err != nil {
		return 0, err
	}

	f, err := checkFields(l)

	switch {
	case err != nil:
		return 0, err
	case f.lengths > 1 || f.codings > 1:
		return 0, errors.New("more than one length or transfer coding")
	case f.lengths > 0 && f.codings > 0:
		return 0, errors.New("both a length and a transfer coding")
	case f.codings > 0 && version != http11:
		return 0, errors.New("transfer coding in a response of " + version)
	}

	return status, nil
}

// parseStatusLine returns the version and the status of a status line. It fails for a status that is neither interim nor final.
func parseStatusLine(line string) (version string, status int, err error) {
	version, rest, _ := strings.Cut(line, " ")
	if version != http11 && version != http10 {
		return "", 0, errors.Errorf("status line %s does not begin with %s", quote(line), http11)
	}

	text, reason, _ := strings.Cut(rest, " ")
	if len(text) != statusDigits || !isDigits(text) {
		return "", 0, errors.Errorf("status %s is not a number of %d digits", quote(text), statusDigits)
	}

	if status, err = strconv.Atoi(text); err != nil {
		return "", 0, errors.Wrap(err, "parse status")
	}

	if !IsFinal(status) && !isInterim(status) {
		return "", 0, &StatusError{Status: status}
	}

	if hasControl(reason) {
		return "", 0, errors.New("reason phrase has a control character")
	}

	return version, status, nil
}

func isDigits(text string) bool {
	return text != "" && strings.Trim(text, "0123456789") == ""
}

// framing counts the fields that state where a body ends.
type framing struct{ lengths, codings int }

// checkFields checks the lines up to the empty one that ends a head or a trailer.
func checkFields(l *lineReader) (f framing, err error) {
	for {
		line, err := l.next()

		switch {
		case err != nil:
			return framing{}, errors.Wrap(err, "read field")
		case len(line) == 0:
			return f, nil
		}

		name, value, found := strings.Cut(string(line), ":")
		if !found {
			return framing{}, errors.Errorf("line %s has no colon", quote(name))
		}

		value = strings.Trim(value, " \t")
		if err := CheckField(name, value); err != nil {
			return framing{}, err
		}

		switch {
		case strings.EqualFold(name, fasthttp.HeaderContentLength):
			f.lengths++

			if !isDigits(value) {
				return framing{}, errors.Errorf("length %s is not a number", quote(value))
			}
		case strings.EqualFold(name, fasthttp.HeaderTransferEncoding):
			f.codings++

			if !strings.EqualFold(value, "chunked") {
				return framing{}, errors.Errorf("transfer coding %s is not known", quote(value))
			}
		}
	}
}

// lineReader reads lines without consuming them.
type lineReader struct {
	r *bufio.Reader
	n int // length of the lines that were read
}

// next returns the next line without its CRLF. The line is valid until the next call.
func (l *lineReader) next() ([]byte, error) {
	for searched := l.n; ; {
		b, err := l.r.Peek(l.r.Buffered())
		if err != nil {
			return nil, errors.Wrap(err, "peek at received bytes")
		}

		if i := bytes.IndexByte(b[searched:], '\n'); i >= 0 {
			line := b[l.n : searched+i]
			l.n += len(line) + 1

			if line, ok := bytes.CutSuffix(line, []byte("\r")); ok {
				return line, nil
			}

			return nil, errors.Errorf("line %s does not end with CRLF", quote(string(line)))
		}

		searched = len(b)

		switch _, err := l.r.Peek(searched + 1); {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, errors.Errorf("head or trailer is longer than %d bytes", l.r.Size())
		case err != nil:
			return nil, errors.Wrap(err, "wait for its end")
		}
	}
}
