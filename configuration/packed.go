package configuration

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/go-faster/errors"
)

// Packed is a document in the form in which it is stored and travels: compressed, because every entry VM gets every
// version, and while operators change it often these are most of the bytes between regions. A document from before
// this form is as the operator sent it.
type Packed []byte

const (
	// markDeflate is the first byte of a compressed document. Those from before begin with white space or a brace.
	markDeflate = 1
	// MaxDocumentBytes bounds a document. One with 350 routes has 150 KB.
	MaxDocumentBytes = 4 << 20
)

// ErrDocument is returned for a stored document that can't be read.
var ErrDocument = errors.New("stored document is damaged")

// Pack compresses a document.
func Pack(plain []byte) (Packed, error) {
	if len(plain) > MaxDocumentBytes {
		return nil, errors.Errorf("document of %d bytes, at most %d are allowed", len(plain), MaxDocumentBytes)
	}

	b := bytes.NewBuffer([]byte{markDeflate})

	w, err := flate.NewWriter(b, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "compress document")
	}

	if _, err := w.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress document")
	}

	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress document")
	}

	return b.Bytes(), nil
}

// Plain returns the document as the operator sent it.
func (p Packed) Plain() ([]byte, error) {
	if len(p) == 0 || p[0] != markDeflate {
		return p, nil
	}

	r := flate.NewReader(bytes.NewReader(p[1:]))

	plain, err := io.ReadAll(io.LimitReader(r, MaxDocumentBytes+1))
	switch {
	case err != nil:
		return nil, errors.Wrapf(ErrDocument, "decompress: %v", err)
	case len(plain) > MaxDocumentBytes:
		return nil, errors.Wrapf(ErrDocument, "more than %d bytes", MaxDocumentBytes)
	}

	return plain, nil
}
