package callerlimit

import (
	"bytes"
	"time"
)

const (
	// FieldBytes is what a parsed header field takes in memory.
	FieldBytes = 160
	// SmallFields is the number of fields that the account of a connection includes.
	SmallFields = 64
	// MinBodyRate is the rate, in bytes per second, at which a body may always arrive.
	MinBodyRate = 8 << 10
	// BodyGap is the longest time between two pieces of a body.
	BodyGap = 15 * time.Second

	// firstBodyPiece is the size up to which the memory for a body is reserved at once. Larger bodies get more as they
	// arrive, so that a stated length alone takes little.
	firstBodyPiece = 64 << 10
	bodyGrowth     = 4
)

// HeaderLines counts the lines of request headers in a stream of bytes, before they are parsed. The zero value expects a header.
type HeaderLines struct {
	// Lines is the number of lines of the current header so far. Carried is the number of lines that were received before the
	// previous request had ended; those of the current header may be among them.
	Lines     int
	Carried   int
	following int // after the end of the header: of the body or of later requests
	ended     bool
	blank     bool // nothing but carriage returns since the last line feed
}

// Add counts the lines in received bytes.
func (h *HeaderLines) Add(b []byte) {
	for len(b) > 0 && !h.ended {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			h.blank = h.blank && isBlank(b)

			return
		}

		// Empty lines before the request line are not its end.
		h.ended = h.Lines > 0 && h.blank && isBlank(b[:i])
		h.blank = true
		h.Lines++
		b = b[i+1:]
	}

	h.following += bytes.Count(b, []byte{'\n'})
}

func isBlank(b []byte) bool { return len(b) == 0 || len(b) == 1 && b[0] == '\r' }

// EndBody records that the request had a body, to which the lines after the header belong.
func (h *HeaderLines) EndBody() { h.following = 0 }

// Next prepares for the next request.
func (h *HeaderLines) Next() { *h = HeaderLines{Carried: h.following} }

// FieldsCost returns the memory that a header with a number of lines takes beyond the account of its connection.
func FieldsCost(lines int) int64 {
	return FieldBytes * int64(max(lines-SmallFields, 0))
}

// BodyDeadline returns the time until which the next piece of a body has to arrive: allowed after the start, and later for what has
// been received.
func BodyDeadline(start, now time.Time, allowed time.Duration, received int) time.Time {
	end := start.Add(allowed + time.Duration(received)*time.Second/MinBodyRate)
	if gap := now.Add(BodyGap); gap.Before(end) {
		return gap
	}

	return end
}

// BodyCapacity returns the size of the buffer for a body of which capacity bytes are full. length is its stated length, negative if
// unknown, and limit the largest size that is accepted.
func BodyCapacity(capacity, length, limit int) int {
	next := bodyGrowth * capacity

	switch {
	case length >= 0 && length <= firstBodyPiece:
		next = length
	case capacity == 0 && length < 0:
		next = SmallBytes
	case capacity == 0:
		next = firstBodyPiece
	}

	if length >= 0 {
		limit = min(limit, length)
	}

	return min(next, limit)
}

// Throttle bounds the number of log lines about callers.
type Throttle struct {
	until      time.Time
	written    int
	suppressed int
}

const (
	throttleInterval = time.Second
	linesPerInterval = 5
)

// Allow reports whether a line may be written, and how many were suppressed before it.
func (t *Throttle) Allow(now time.Time) (ok bool, suppressed int) {
	if !now.Before(t.until) {
		t.until, t.written = now.Add(throttleInterval), 0
	}

	if t.written >= linesPerInterval {
		t.suppressed++

		return false, 0
	}

	t.written++
	suppressed, t.suppressed = t.suppressed, 0

	return true, suppressed
}
