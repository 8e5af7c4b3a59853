package wal

// A record consists of a 12-byte header, the payload and a one-byte end marker. The header holds the payload length, the
// CRC-32C of the payload and the CRC-32C of these two fields, each 4 bytes little-endian. The header has its own checksum
// so that a corrupt length is not mistaken for a torn tail. The end marker is not zero, so that a record whose file was
// extended before the data was written is not mistaken for a complete one.

import (
	"encoding/binary"
	"hash/crc32"

	"fulmarfall/consensus"

	"github.com/go-faster/errors"
)

const (
	headerBytes     = 12
	endMarker       = 0xA5
	maxPayloadBytes = 8 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// recordType identifies the kind of a record; it is the first byte of the payload.
type recordType byte

const (
	recordEntry recordType = iota + 1
	recordHardState
	recordReset // the log restarts after a received snapshot; the payload is the SnapshotMeta
)

// Errors returned by readRecord.
var (
	errTorn          = errors.New("incomplete record at the end")
	errCorruptRecord = errors.New("corrupt record")
)

// appendRecord appends an encoded record of type t to b; its payload is the type followed by body.
func appendRecord(b []byte, t recordType, body []byte) []byte {
	payload := append([]byte{byte(t)}, body...)

	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(header[:8], castagnoli))

	b = append(b, header[:]...)
	b = append(b, payload...)

	return append(b, endMarker)
}

// readRecord returns the payload of the first record of b and the bytes that follow the record. errTorn means that the
// record was never completely written, errCorruptRecord that a complete record has been altered.
func readRecord(b []byte) (payload, rest []byte, err error) {
	if len(b) < headerBytes {
		return nil, nil, errTorn
	}

	size := int(binary.LittleEndian.Uint32(b[0:]))
	if crc32.Checksum(b[:8], castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		if allZero(b[headerBytes:]) { // the file was extended, but the header was not completely written
			return nil, nil, errTorn
		}
		return nil, nil, errCorruptRecord
	}
	if size == 0 || size > maxPayloadBytes {
		return nil, nil, errCorruptRecord
	}

	end := headerBytes + size
	if len(b) <= end {
		return nil, nil, errTorn
	}

	payload = b[headerBytes:end]
	if b[end] == endMarker && crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(b[4:]) {
		return payload, b[end+1:], nil
	}
	if allZero(b[end:]) {
		return nil, nil, errTorn
	}

	return nil, nil, errCorruptRecord
}

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}

	return true
}

// replayState is the state of the log that results from applying its records in order.
type replayState struct {
	hardState consensus.HardState
	entries   []consensus.Entry
	baseKnown bool // an entry or a reset has been read, so nextIndex is valid
	nextIndex consensus.Index
}

// apply decodes a payload and applies it. A payload that passes its checksum but can't be decoded is corruption too.
func (s *replayState) apply(payload []byte) error {
	body := payload[1:]
	switch recordType(payload[0]) {
	case recordEntry:
		var e consensus.Entry
		if rest, err := e.UnmarshalMsg(body); err != nil || len(rest) > 0 || e.Index == 0 {
			return errors.Wrap(errCorruptRecord, "entry")
		}
		return s.applyEntry(e)
	case recordHardState:
		var hs consensus.HardState
		if rest, err := hs.UnmarshalMsg(body); err != nil || len(rest) > 0 {
			return errors.Wrap(errCorruptRecord, "hard state")
		}
		s.hardState = hs
	case recordReset:
		var meta consensus.SnapshotMeta
		if rest, err := meta.UnmarshalMsg(body); err != nil || len(rest) > 0 {
			return errors.Wrap(errCorruptRecord, "reset")
		}
		s.entries, s.baseKnown, s.nextIndex = nil, true, meta.Index+1
	default:
		return errors.Wrapf(errCorruptRecord, "unknown record type %d", payload[0])
	}

	return nil
}

// applyEntry appends e after truncating the entries from its index onwards.
func (s *replayState) applyEntry(e consensus.Entry) error {
	if !s.baseKnown {
		s.baseKnown, s.nextIndex = true, e.Index
	}
	if e.Index > s.nextIndex {
		return errors.Wrapf(errCorruptRecord, "entry %d directly after entry %d", e.Index, s.nextIndex-1)
	}

	if replaced := int(s.nextIndex - e.Index); replaced > len(s.entries) {
		s.entries = nil // e also replaces entries whose segments have been removed by compaction
	} else {
		s.entries = s.entries[:len(s.entries)-replaced]
	}
	s.entries = append(s.entries, e)
	s.nextIndex = e.Index + 1

	return nil
}
