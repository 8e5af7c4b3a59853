// This file computes fingerprints.

package query

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"fulmarfall/ident"
)

// NewFingerprint returns the fingerprint of what a request asks an upstream to do. Each field is preceded by its
// length, so that two different requests cannot run into the same bytes.
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

// affinity ranks a shard or a searcher for the canary of a fingerprint. Every node computes the same rank.
func affinity(f ident.Fingerprint, name string) uint64 {
	x := xxhash.Sum64String(name) ^ uint64(f)
	// Finaliser of MurmurHash3: spreads the difference of the two hashes over all bits.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53

	return x ^ x>>33
}
