package query

import (
	"bytes"
	"slices"
)

// RecordBytes is the length of one record of a part in record form.
const RecordBytes = 16

// TopRecords returns the greatest n records of all parts, greatest first, compared byte by byte. Equal records all count.
// Bytes after the last whole record of a part are no record.
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
