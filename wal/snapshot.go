package wal

import (
	"fmt"

	"fulmarfall/consensus"

	"github.com/go-faster/errors"
)

// Record types of a snapshot file: one record of metadata, then the data in chunks, then an empty data record.
const (
	recordSnapshotMeta recordType = iota + 16
	recordSnapshotData
)

// snapshotChunkBytes is the maximum data size of one record of a snapshot file.
const snapshotChunkBytes = 1 << 20

// SaveSnapshot makes a snapshot of the local state durable and removes the previous one. It does not truncate the log;
// see Compact.
func (l *Log) SaveSnapshot(s *consensus.Snapshot) error {
	if l.err != nil {
		return l.err
	}

	meta, err := s.Meta.MarshalMsg(nil)
	if err != nil {
		return l.fail(errors.Wrap(err, "encode snapshot"))
	}

	b := appendRecord(nil, recordSnapshotMeta, meta)
	for data := s.Data; len(data) > 0; {
		chunk := data[:min(len(data), snapshotChunkBytes)]
		b = appendRecord(b, recordSnapshotData, chunk)
		data = data[len(chunk):]
	}
	// An empty record marks the end of the file, so that a missing tail is detected.
	b = appendRecord(b, recordSnapshotData, nil)

	old := l.snapshotIndex
	name := fmt.Sprintf("%s%016x", snapshotPrefix, uint64(s.Meta.Index))
	if err := writeFileAtomic(l.fs, l.cfg.Dir, name, b); err != nil {
		return l.fail(errors.Wrap(err, "write snapshot"))
	}

	l.snapshotIndex = s.Meta.Index
	if old > 0 && old != l.snapshotIndex {
		if err := l.fs.Remove(l.path(snapshotPrefix, uint64(old))); err != nil {
			return l.fail(errors.Wrap(err, "remove old snapshot"))
		}
	}

	return nil
}

// InstallSnapshot makes a received snapshot durable and replaces the whole log with it.
func (l *Log) InstallSnapshot(s *consensus.Snapshot) error {
	if err := l.SaveSnapshot(s); err != nil {
		return err
	}

	seq := l.segments[len(l.segments)-1].seq + 1
	if err := l.startSegment(seq); err != nil {
		return l.fail(err)
	}

	if err := l.writeReset(s.Meta); err != nil {
		return l.fail(err)
	}

	// Older segments may contain entries beyond the snapshot. These belong to the replaced log and are removed too.
	for len(l.segments) > 1 {
		l.segments[0].last = 0
		if err := l.Compact(s.Meta.Index); err != nil {
			return err
		}
	}

	return nil
}

func (l *Log) writeReset(meta consensus.SnapshotMeta) error {
	body, err := meta.MarshalMsg(nil)
	if err != nil {
		return errors.Wrap(err, "encode reset")
	}

	return l.appendAndSync(appendRecord(nil, recordReset, body))
}

func (l *Log) readSnapshot(index uint64) (*consensus.Snapshot, error) {
	b, err := l.fs.ReadFile(l.path(snapshotPrefix, index))
	if err != nil {
		return nil, errors.Wrap(err, "read snapshot")
	}

	payload, rest, err := readRecord(b)
	if err != nil || recordType(payload[0]) != recordSnapshotMeta {
		return nil, corruptionError("snapshot %d: %v", index, err)
	}

	s := &consensus.Snapshot{}
	if _, err := s.Meta.UnmarshalMsg(payload[1:]); err != nil || uint64(s.Meta.Index) != index {
		return nil, corruptionError("snapshot %d: invalid metadata", index)
	}

	for {
		payload, rest, err = readRecord(rest)
		if err != nil || recordType(payload[0]) != recordSnapshotData {
			return nil, corruptionError("snapshot %d: %v", index, err)
		}
		if len(payload) == 1 {
			return s, nil
		}
		s.Data = append(s.Data, payload[1:]...)
	}
}

// removeOldSnapshots removes all but the newest snapshot. A crash between writing a snapshot and removing its
// predecessor leaves both.
func (l *Log) removeOldSnapshots(indexes []uint64) error {
	for i := 0; i+1 < len(indexes); i++ {
		if err := l.fs.Remove(l.path(snapshotPrefix, indexes[i])); err != nil {
			return errors.Wrap(err, "remove old snapshot")
		}
	}

	return nil
}
