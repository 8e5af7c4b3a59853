package transport

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"fulmarfall/wire"
)

// maxPooled bounds the buffers that are kept; snapshots are larger and rare.
const maxPooled = 64 << 10

var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, 8<<10)

	return &b
}}

func putBuffer(p *[]byte, b []byte) {
	if cap(b) <= maxPooled {
		*p = b[:0]
		buffers.Put(p)
	}
}

// writeFrame writes the frame of m.
func writeFrame(w io.Writer, m wire.Message) error {
	p := buffers.Get().(*[]byte)

	frame, err := wire.AppendFrame((*p)[:0], m)
	if err != nil {
		return err
	}

	_, err = w.Write(frame)
	putBuffer(p, frame)

	return err
}

// readFrame reads to the end of the stream, and fails without its end. The frame
// is not shared, because decoded messages keep parts of it.
func readFrame(r io.Reader) ([]byte, error) {
	p := buffers.Get().(*[]byte)
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
