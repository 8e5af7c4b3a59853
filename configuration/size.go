package configuration

import "github.com/go-faster/errors"

const (
	// maxEntries bounds the routes, upstreams and teams of a document, and maxValues all its values. A document of 4 MB with
	// the shortest entries takes gigabytes when it is decoded.
	maxEntries = 20_000
	maxValues  = 250_000
	// entryDepth is the depth of the lists of routes, upstreams and teams.
	entryDepth = 2
)

// CheckSize returns an error if a document in JSON has more entries or values than a process can hold. It is to be called before the
// document is decoded, and accepts text that is no JSON.
func CheckSize(content []byte) error {
	var (
		depth, entries, values int
		quoted, escaped        bool
	)

	for _, b := range content {
		switch {
		case escaped:
			escaped = false
		case quoted:
			escaped = b == '\\'
			quoted = b != '"'
		case b == '"':
			quoted = true
		case b == '{' || b == '[':
			depth++
			values++
		case b == '}' || b == ']':
			depth--
		case b == ',':
			values++

			if depth == entryDepth {
				entries++
			}
		}
	}

	switch {
	case entries > maxEntries:
		return errors.Wrapf(ErrInvalid, "more than %d routes, upstreams and teams", maxEntries)
	case values > maxValues:
		return errors.Wrapf(ErrInvalid, "more than %d values", maxValues)
	default:
		return nil
	}
}
