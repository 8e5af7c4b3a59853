package wal

// Snapshots: one file each, written under another name, synced and renamed. Only the newest is kept.

import (
	"fmt"

	"fulmarfall/consensus"

	"github.com/go-faster/errors"
)

const (
	recordSnapshotMeta recordType = iota + 16
	recordSnapshotData
)

// snapshotPart is the size of the data records of a snapshot file.
const snapshotPart = 1 << 20

// SaveSnapshot makes a snapshot of the own state durable. The log stays as it is; see Compact.
func (l *Log) SaveSnapshot(s *consensus.Snapshot) error {
	if l.err != nil {
		return l.err
	}

	meta, err := s.Meta.MarshalMsg(nil)
	if err != nil {
		return l.stop(errors.Wrap(err, "encode snapshot"))
	}

	b := appendRecord(nil, recordSnapshotMeta, meta)
	for data := s.Data; len(data) > 0; {
		part := data[:min(len(data), snapshotPart)]
		b = appendRecord(b, recordSnapshotData, part)
		data = data[len(part):]
	}
	// An empty record ends the file, so that a lost last part is noticed.
	b = appendRecord(b, recordSnapshotData, nil)

	old := l.snapIndex
	name := fmt.Sprintf("%s%016x", snapPrefix, uint64(s.Meta.Index))
	if err := writeDurably(l.fs, l.cfg.Dir, name, b); err != nil {
		return l.stop(errors.Wrap(err, "write snapshot"))
	}

	l.snapIndex = s.Meta.Index
	if old > 0 && old != l.snapIndex {
		if err := l.fs.Remove(l.path(snapPrefix, uint64(old))); err != nil {
			return l.stop(errors.Wrap(err, "remove old snapshot"))
		}
	}

	return nil
}

// InstallSnapshot makes a received snapshot durable in place of the whole log.
func (l *Log) InstallSnapshot(s *consensus.Snapshot) error {
	if err := l.SaveSnapshot(s); err != nil {
		return err
	}

	seq := l.segments[len(l.segments)-1].seq + 1
	if err := l.begin(seq); err != nil {
		return l.stop(err)
	}

	if err := l.writeReset(s.Meta); err != nil {
		return l.stop(err)
	}

	// Older segments may hold later entries of the replaced log.
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

	return l.write(appendRecord(nil, recordReset, body))
}

func (l *Log) readSnapshot(index uint64) (*consensus.Snapshot, error) {
	b, err := l.fs.ReadFile(l.path(snapPrefix, index))
	if err != nil {
		return nil, errors.Wrap(err, "read snapshot")
	}

	payload, rest, err := readRecord(b)
	if err != nil || recordType(payload[0]) != recordSnapshotMeta {
		return nil, damaged("snapshot %d: %v", index, err)
	}

	s := &consensus.Snapshot{}
	if _, err := s.Meta.UnmarshalMsg(payload[1:]); err != nil || uint64(s.Meta.Index) != index {
		return nil, damaged("snapshot %d: wrong description", index)
	}

	for {
		payload, rest, err = readRecord(rest)
		if err != nil || recordType(payload[0]) != recordSnapshotData {
			return nil, damaged("snapshot %d: %v", index, err)
		}
		if len(payload) == 1 {
			return s, nil
		}
		s.Data = append(s.Data, payload[1:]...)
	}
}

// removeSnapshotsBefore removes all but the newest snapshot; a crash can leave an older one.
func (l *Log) removeSnapshotsBefore(snaps []uint64) error {
	for i := 0; i+1 < len(snaps); i++ {
		if err := l.fs.Remove(l.path(snapPrefix, snaps[i])); err != nil {
			return errors.Wrap(err, "remove old snapshot")
		}
	}

	return nil
}
