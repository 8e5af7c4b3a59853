package query

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of one record in a shard reply in record format.
const RecordBytes = 16

// TopRecords returns the n greatest records of all parts in descending byte order. Duplicates are kept. Trailing bytes that
// do not form a complete record are ignored.
func TopRecords(parts [][]byte, n int) []byte {
	total := 0
	for _, p := range parts {
		total += len(p) / RecordBytes
	}
	all := make([][RecordBytes]byte, 0, total)
	for _, p := range parts {
		for ; len(p) >= RecordBytes; p = p[RecordBytes:] {
			all = append(all, [RecordBytes]byte(p))
		}
	}
	slices.SortFunc(all, func(a, b [RecordBytes]byte) int { return bytes.Compare(b[:], a[:]) })
	all = all[:min(n, len(all))]
	out := make([]byte, 0, len(all)*RecordBytes)
	for i := range all {
		out = append(out, all[i][:]...)
	}

	return out
}
