package configuration

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/go-faster/errors"
)

// Packed is a document as it is stored and sent: compressed, because every entry VM receives every version, and frequent
// changes by operators make documents the largest part of the traffic between regions. Documents stored by releases without
// compression are as the operator sent them.
type Packed []byte

const (
	// formatDeflate is the first byte of a compressed document. Uncompressed documents begin with white space or a brace.
	formatDeflate = 1
	// MaxDocumentBytes limits the size of an uncompressed document. A document with 350 routes has 150 KB.
	MaxDocumentBytes = 4 << 20
)

// ErrDocument is wrapped by the errors of Unpack for a document that can't be decompressed.
var ErrDocument = errors.New("stored document is damaged")

// Pack compresses a document. It returns an error if the document is larger than MaxDocumentBytes.
func Pack(plain []byte) (Packed, error) {
	if len(plain) > MaxDocumentBytes {
		return nil, errors.Errorf("document of %d bytes, at most %d are allowed", len(plain), MaxDocumentBytes)
	}

	b := bytes.NewBuffer([]byte{formatDeflate})

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

// Unpack returns the document as the operator sent it, decompressed if necessary.
func (p Packed) Unpack() ([]byte, error) {
	if len(p) == 0 || p[0] != formatDeflate {
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
