package wal

// Format of one record: length, CRC of the payload and CRC of those two, each 4 bytes little-endian; the
// payload; one end mark. The header has a CRC of its own so that a damaged length is not taken for a torn
// tail, and the end mark is not zero so that a file that grew before its data was written is told apart from
// a complete record.

import (
	"encoding/binary"
	"hash/crc32"

	"fulmarfall/consensus"

	"github.com/go-faster/errors"
)

const (
	headerBytes     = 12
	endMark         = 0xA5
	maxPayloadBytes = 8 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// recordType is the first byte of a payload.
type recordType byte

const (
	recordEntry recordType = iota + 1
	recordHardState
	recordReset // the log continues after a received snapshot; the payload is its SnapshotMeta
)

// Errors of readRecord.
var (
	errTorn    = errors.New("incomplete record at the end")
	errDamaged = errors.New("damaged record")
)

// appendRecord appends a record with the payload to b.
func appendRecord(b []byte, t recordType, body []byte) []byte {
	payload := append([]byte{byte(t)}, body...)

	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(header[:8], castagnoli))

	b = append(b, header[:]...)
	b = append(b, payload...)

	return append(b, endMark)
}

// readRecord returns the payload of the first record of b and the bytes after it. errTorn means that b ends
// within a record that was never complete, errDamaged that a complete record has changed.
func readRecord(b []byte) (payload, rest []byte, err error) {
	if len(b) < headerBytes {
		return nil, nil, errTorn
	}

	size := int(binary.LittleEndian.Uint32(b[0:]))
	if crc32.Checksum(b[:8], castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		if allZero(b[headerBytes:]) { // the file grew, and not even the whole header was written
			return nil, nil, errTorn
		}
		return nil, nil, errDamaged
	}
	if size == 0 || size > maxPayloadBytes {
		return nil, nil, errDamaged
	}

	end := headerBytes + size
	if len(b) <= end {
		return nil, nil, errTorn
	}

	payload = b[headerBytes:end]
	if b[end] == endMark && crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(b[4:]) {
		return payload, b[end+1:], nil
	}
	if allZero(b[end:]) {
		return nil, nil, errTorn
	}

	return nil, nil, errDamaged
}

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}

	return true
}

// contents is what the records say when they are applied in order.
type contents struct {
	hardState consensus.HardState
	entries   []consensus.Entry
	started   bool // entries is meaningful: a first entry or a reset was seen
	next      consensus.Index
}

// apply decodes a payload. A payload that passed its CRC and can't be decoded is damage too.
func (c *contents) apply(payload []byte) error {
	body := payload[1:]
	switch recordType(payload[0]) {
	case recordEntry:
		var e consensus.Entry
		if rest, err := e.UnmarshalMsg(body); err != nil || len(rest) > 0 || e.Index == 0 {
			return errors.Wrap(errDamaged, "entry")
		}
		return c.applyEntry(e)
	case recordHardState:
		var hs consensus.HardState
		if rest, err := hs.UnmarshalMsg(body); err != nil || len(rest) > 0 {
			return errors.Wrap(errDamaged, "hard state")
		}
		c.hardState = hs
	case recordReset:
		var meta consensus.SnapshotMeta
		if rest, err := meta.UnmarshalMsg(body); err != nil || len(rest) > 0 {
			return errors.Wrap(errDamaged, "reset")
		}
		c.entries, c.started, c.next = nil, true, meta.Index+1
	default:
		return errors.Wrapf(errDamaged, "record type %d", payload[0])
	}

	return nil
}

// applyEntry appends e; an entry at its index and all after it are replaced.
func (c *contents) applyEntry(e consensus.Entry) error {
	if !c.started {
		c.started, c.next = true, e.Index
	}
	if e.Index > c.next {
		return errors.Wrapf(errDamaged, "entry %d follows entry %d", e.Index, c.next-1)
	}

	if back := int(c.next - e.Index); back > len(c.entries) {
		c.entries = nil // replaces entries that were compacted away from this run of segments
	} else {
		c.entries = c.entries[:len(c.entries)-back]
	}
	c.entries = append(c.entries, e)
	c.next = e.Index + 1

	return nil
}
