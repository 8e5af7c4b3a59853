package entry

import (
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

const (
	// maxReplyBytes bounds the body of one answer; the largest on the users' sheets has 18 KB.
	maxReplyBytes = 8 << 20
	// maxReplyMemory bounds the memory for bodies in the process, to a twelfth of the smallest entry VM on the sheets,
	// 184 MB. 400 requests in progress with 90 answers of 400 bytes each take 14 MB.
	maxReplyMemory = 16 << 20
	// smallReply is the size up to which an answer may use all of that memory. Larger answers leave half of it free, so
	// that a few searchers that send without end do not starve the answers of the others.
	smallReply = 64 << 10
	// initialBodyBuffer is the first buffer size for a body of unknown length.
	initialBodyBuffer = 1 << 10
)

// Errors of answers that exceed the memory limits.
var (
	errReplyTooLarge = errors.New("answer exceeds the size limit")
	errReplyMemory   = errors.New("memory for answers is exhausted")
)

// replyBudget bounds the memory that answers use. Without it, a faulty searcher could exhaust memory by sending bytes
// without end on many attempts at once.
type replyBudget struct{ reserved atomic.Int64 }

// reserve reserves n more bytes for an answer of the given size.
func (b *replyBudget) reserve(size, n int64) error {
	if size+n > maxReplyBytes {
		return errReplyTooLarge
	}

	limit := int64(maxReplyMemory)
	if size+n > smallReply {
		limit /= 2
	}

	if b.reserved.Add(n) > limit {
		b.reserved.Add(-n)

		return errReplyMemory
	}

	return nil
}

func (b *replyBudget) release(n int64) { b.reserved.Add(-n) }

// UnknownLength is the length of a body that ends at the end of its reader.
const UnknownLength = -1

// ReadBody reads the body of an answer within the memory limits. If the length is stated, r may hold more bytes than
// that.
func (c *Conn) ReadBody(r io.Reader, length int64) ([]byte, error) {
	if length != UnknownLength {
		if err := c.reserve(0, length); err != nil {
			return nil, err
		}

		body := make([]byte, length)
		if _, err := io.ReadFull(r, body); err != nil {
			return nil, errors.Wrap(err, "read body")
		}

		return body, nil
	}

	var body []byte

	for {
		if len(body) == cap(body) {
			more := max(len(body), initialBodyBuffer)
			if err := c.reserve(int64(cap(body)), int64(more)); err != nil {
				return nil, err
			}

			grown := make([]byte, len(body), cap(body)+more)
			copy(grown, body)
			body = grown
		}

		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]

		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, errors.Wrap(err, "read body")
		}
	}
}

// reserve reserves memory for an answer on this connection until the answer is released. A connection outside a pool
// gets a budget of its own.
func (c *Conn) reserve(size, n int64) error {
	if c.budget == nil {
		c.budget = &replyBudget{}
	}

	if err := c.budget.reserve(size, n); err != nil {
		return err
	}

	c.reserved += n

	return nil
}

// transferReservation passes the memory reserved on the connection to the reply, or releases it if there is no reply.
func (c *Conn) transferReservation(reply *Reply) {
	if c.budget == nil || c.reserved == 0 {
		return
	}

	if reply != nil {
		reply.budget, reply.reserved = c.budget, c.reserved
	} else {
		c.budget.release(c.reserved)
	}

	c.reserved = 0
}

// release returns the memory of an answer that is no longer needed to its budget.
func (r *Reply) release() {
	if r != nil && r.budget != nil {
		r.budget.release(r.reserved)
		r.reserved = 0
	}
}
