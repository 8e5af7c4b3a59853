package wal

import (
	"fmt"
	"path/filepath"

	"fulmarfall/consensus"

	"github.com/go-faster/errors"
)

func (l *Log) path(prefix string, n uint64) string {
	return filepath.Join(l.cfg.Dir, fmt.Sprintf("%s%016x", prefix, n))
}

// readSegments replays the records of all segments and opens the last one for appending. Only the last segment may
// end in a torn record, because each segment is synced before the next one is created.
func (l *Log) readSegments(seqs []uint64) (*replayState, error) {
	state := &replayState{}
	for i, seq := range seqs {
		if i > 0 && seq != seqs[i-1]+1 {
			return nil, corruptionError("log segment %d is missing", seqs[i-1]+1)
		}

		b, err := l.fs.ReadFile(l.path(segmentPrefix, seq))
		if err != nil {
			return nil, errors.Wrap(err, "read log segment")
		}

		validBytes, err := replayRecords(state, b)
		if errors.Is(err, errTorn) && i == len(seqs)-1 {
			b, err = b[:validBytes], nil
		}
		if err != nil {
			return nil, corruptionError("log segment %d at byte %d: %v", seq, validBytes, err)
		}

		l.segments = append(l.segments, segment{seq: seq, last: state.lastIndex()})
		if i == len(seqs)-1 {
			l.hardState = state.hardState
			return state, l.rewriteLastSegment(seq, b)
		}
	}

	return state, l.startSegment(1)
}

// replayRecords applies the records of b in order, up to the first invalid one. validBytes is the length of the valid
// prefix of b.
func replayRecords(state *replayState, b []byte) (validBytes int, err error) {
	for rest := b; len(rest) > 0; {
		payload, after, err := readRecord(rest)
		if err != nil {
			return len(b) - len(rest), err
		}
		if err := state.apply(payload); err != nil {
			return len(b) - len(rest), err
		}
		rest = after
	}

	return len(b), nil
}

func (s *replayState) lastIndex() consensus.Index {
	if s.nextIndex == 0 {
		return 0
	}

	return s.nextIndex - 1
}

// rewriteLastSegment copies the valid part of the last segment to a new file and opens that file for appending. This
// truncates a torn tail. It also makes the content durable if a sync of the old file failed before the restart: after
// such a failure the operating system may return cached data that is not on the disk.
func (l *Log) rewriteLastSegment(seq uint64, valid []byte) error {
	tmp := l.path(segmentPrefix, seq) + tmpSuffix
	f, err := l.fs.Create(tmp)
	if err != nil {
		return errors.Wrap(err, "rewrite last log segment")
	}

	// The hard state is written again because a crash may have prevented the write of the one at the segment's start.
	hs, err := l.hardState.MarshalMsg(nil)
	if err != nil {
		_ = f.Close()
		return errors.Wrap(err, "encode hard state")
	}

	content := append(appendRecord(nil, recordHardState, hs), valid...)
	l.file, l.size = f, len(content)
	if err := writeAll(f, content); err != nil {
		return errors.Wrap(err, "rewrite last log segment")
	}
	if err := f.Sync(); err != nil {
		return errors.Wrap(err, "sync last log segment")
	}
	if err := l.fs.Rename(tmp, l.path(segmentPrefix, seq)); err != nil {
		return errors.Wrap(err, "rename last log segment")
	}

	return wrap(l.fs.SyncDir(l.cfg.Dir), "sync folder")
}

// startSegment closes the current segment and creates the next one. A segment starts with the hard state, so that older
// segments can be removed.
func (l *Log) startSegment(seq uint64) error {
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			l.file = nil
			return errors.Wrap(err, "close log segment")
		}
	}

	f, err := l.fs.Create(l.path(segmentPrefix, seq))
	if err != nil {
		l.file = nil
		return errors.Wrap(err, "create log segment")
	}

	l.file, l.size = f, 0
	l.segments = append(l.segments, segment{seq: seq})

	b, err := l.hardState.MarshalMsg(nil)
	if err != nil {
		return errors.Wrap(err, "encode hard state")
	}
	if err := l.appendAndSync(appendRecord(nil, recordHardState, b)); err != nil {
		return err
	}

	return wrap(l.fs.SyncDir(l.cfg.Dir), "sync folder")
}

// appendAndSync appends b to the open segment and syncs the file.
func (l *Log) appendAndSync(b []byte) error {
	if err := writeAll(l.file, b); err != nil {
		return errors.Wrap(err, "write log")
	}
	if err := l.file.Sync(); err != nil {
		return errors.Wrap(err, "sync log")
	}

	l.syncs++
	l.size += len(b)

	return nil
}

// fail records the first failure, after which the log rejects all writes, and returns err unchanged.
func (l *Log) fail(err error) error {
	if err != nil && l.err == nil {
		l.err = errors.Wrap(ErrStopped, err.Error())
	}

	return err
}

// Append makes a hard state and entries durable with one sync. A nil hs leaves the hard state unchanged.
func (l *Log) Append(hs *consensus.HardState, entries []consensus.Entry) error {
	if l.err != nil {
		return l.err
	}

	var b []byte
	if hs != nil {
		body, err := hs.MarshalMsg(nil)
		if err != nil {
			return l.fail(errors.Wrap(err, "encode hard state"))
		}
		b = appendRecord(b, recordHardState, body)
		l.hardState = *hs
	}

	for i := range entries {
		body, err := entries[i].MarshalMsg(nil)
		if err != nil {
			return l.fail(errors.Wrap(err, "encode entry"))
		}
		b = appendRecord(b, recordEntry, body)
	}

	if len(b) == 0 {
		return nil
	}
	if err := l.appendAndSync(b); err != nil {
		return l.fail(err)
	}

	current := &l.segments[len(l.segments)-1]
	if len(entries) > 0 {
		current.last = max(current.last, entries[len(entries)-1].Index)
	}
	if l.size >= l.cfg.SegmentBytes {
		return l.fail(l.startSegment(current.seq + 1))
	}

	return nil
}

// Compact removes the segments that contain only entries up to index and are covered by the newest saved snapshot. The
// last segment is always kept.
func (l *Log) Compact(index consensus.Index) error {
	if l.err != nil {
		return l.err
	}

	index = min(index, l.snapshotIndex)
	removed := false
	for len(l.segments) > 1 && l.segments[0].last <= index {
		if err := l.fs.Remove(l.path(segmentPrefix, l.segments[0].seq)); err != nil {
			return l.fail(errors.Wrap(err, "remove log segment"))
		}
		l.segments = l.segments[1:]
		removed = true
	}

	if !removed {
		return nil
	}

	return l.fail(wrap(l.fs.SyncDir(l.cfg.Dir), "sync folder"))
}
