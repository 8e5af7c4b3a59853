package transport

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"fulmarfall/wire"
)

// maxPooledBytes is the largest buffer that returns to the pool. Larger frames, such as snapshots, are
// rare, and their buffers are left to the garbage collector.
const maxPooledBytes = 64 << 10

var bufferPool = sync.Pool{New: func() any {
	b := make([]byte, 0, 8<<10)

	return &b
}}

func putBuffer(p *[]byte, b []byte) {
	if cap(b) <= maxPooledBytes {
		*p = b[:0]
		bufferPool.Put(p)
	}
}

// writeFrame encodes m into a pooled buffer and writes it in a single call.
func writeFrame(w io.Writer, m wire.Message) error {
	p := bufferPool.Get().(*[]byte)

	frame, err := wire.AppendFrame((*p)[:0], m)
	if err != nil {
		return err
	}

	_, err = w.Write(frame)
	putBuffer(p, frame)

	return err
}

// readFrame reads until end of stream; a stream that is reset before that is an error. The result is a copy outside the
// buffer pool, because decoded messages alias it.
func readFrame(r io.Reader) ([]byte, error) {
	p := bufferPool.Get().(*[]byte)
	b := (*p)[:0]

	for {
		if len(b) == cap(b) {
			b = append(b, 0)[:len(b)]
		}

		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]

		switch {
		case len(b) > wire.MaxFrameBytes:
			return nil, wire.ErrTooLarge
		case errors.Is(err, io.EOF):
			frame := bytes.Clone(b)
			putBuffer(p, b)

			return frame, nil
		case err != nil:
			putBuffer(p, b)

			return nil, err
		}
	}
}
