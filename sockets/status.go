package sockets

import (
	"bufio"
	"bytes"
)

const (
	firstStatus        = 100
	switchingProtocols = 101
	firstFinalStatus   = 200
	lastStatus         = 599
)

// PeekStatus returns the status of the next response without consuming it; ok is false if its first line can't be read or has no
// number of three digits in its place. fasthttp takes status 000 for 200.
func PeekStatus(r *bufio.Reader) (status int, ok bool) {
	line := peekLine(r)

	_, rest, _ := bytes.Cut(line, []byte(" "))

	text, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	text = bytes.TrimRight(text, "\r")

	if len(text) != 3 {
		return 0, false
	}

	for _, digit := range text {
		if digit < '0' || digit > '9' {
			return 0, false
		}

		status = 10*status + int(digit-'0')
	}

	return status, true
}

// peekLine returns the first line that is not empty, or nil if it is longer than the buffer or can't be read.
func peekLine(r *bufio.Reader) []byte {
	for n := 1; ; {
		if _, err := r.Peek(n); err != nil {
			return nil
		}

		b, _ := r.Peek(r.Buffered())

		start := 0
		for start < len(b) && (b[start] == '\r' || b[start] == '\n') {
			start++
		}

		if end := bytes.IndexByte(b[start:], '\n'); end >= 0 {
			return b[start : start+end]
		}

		n = len(b) + 1
	}
}

// IsInterim reports whether a status is that of a response that another one follows.
func IsInterim(status int) bool {
	return status >= firstStatus && status < firstFinalStatus && status != switchingProtocols
}

// IsFinal reports whether a status is that of a final response.
func IsFinal(status int) bool { return status >= firstFinalStatus && status <= lastStatus }
