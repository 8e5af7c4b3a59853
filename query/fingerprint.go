package query

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"fulmarfall/ident"
)

// NewFingerprint returns the hash of an upstream, an operation and a canonical query. Each field is prefixed with its
// length, so that different requests cannot produce the same input bytes.
func NewFingerprint(u ident.UpstreamID, op Operation, canonical []byte) ident.Fingerprint {
	var (
		d   xxhash.Digest
		buf [8]byte
	)
	d.Reset()
	field := func(n int) {
		binary.LittleEndian.PutUint64(buf[:], uint64(n))
		_, _ = d.Write(buf[:])
	}
	field(len(u))
	_, _ = d.WriteString(string(u))
	field(len(op))
	_, _ = d.WriteString(string(op))
	field(len(canonical))
	_, _ = d.Write(canonical)

	return ident.Fingerprint(d.Sum64())
}

// affinity ranks shards and searchers for the canary of a fingerprint by rendezvous hashing. All nodes compute the same
// rank.
func affinity(f ident.Fingerprint, name string) uint64 {
	x := xxhash.Sum64String(name) ^ uint64(f)
	// The finaliser of MurmurHash3 mixes the XOR of the two hashes into all bits.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53

	return x ^ x>>33
}
