package wal

// Segments: reading them at the start, appending, and removing those that a snapshot covers.

import (
	"fmt"
	"path/filepath"

	"fulmarfall/consensus"

	"github.com/go-faster/errors"
)

func (l *Log) path(prefix string, n uint64) string {
	return filepath.Join(l.cfg.Dir, fmt.Sprintf("%s%016x", prefix, n))
}

// readSegments applies the records of all segments and opens the last one for appending. Only the last one
// may end in a torn record, as a segment is synced before the next is begun.
func (l *Log) readSegments(seqs []uint64) (*contents, error) {
	c := &contents{}
	for i, seq := range seqs {
		if i > 0 && seq != seqs[i-1]+1 {
			return nil, damaged("log segment %d is missing", seqs[i-1]+1)
		}

		b, err := l.fs.ReadFile(l.path(segmentPrefix, seq))
		if err != nil {
			return nil, errors.Wrap(err, "read log segment")
		}

		good, err := readAll(c, b)
		if errors.Is(err, errTorn) && i == len(seqs)-1 {
			b, err = b[:good], nil
		}
		if err != nil {
			return nil, damaged("log segment %d at byte %d: %v", seq, good, err)
		}

		l.segments = append(l.segments, segment{seq: seq, last: c.lastIndex()})
		if i == len(seqs)-1 {
			l.hardState = c.hardState
			return c, l.rewrite(seq, b)
		}
	}

	return c, l.begin(1)
}

// readAll applies the records of b and returns the length of the good ones.
func readAll(c *contents, b []byte) (good int, err error) {
	for rest := b; len(rest) > 0; {
		payload, after, err := readRecord(rest)
		if err != nil {
			return len(b) - len(rest), err
		}
		if err := c.apply(payload); err != nil {
			return len(b) - len(rest), err
		}
		rest = after
	}

	return len(b), nil
}

func (c *contents) lastIndex() consensus.Index {
	if c.next == 0 {
		return 0
	}

	return c.next - 1
}

// rewrite writes the good part of the last segment to a new file and opens that for appending. This cuts a torn
// tail, and it makes the content durable even if a sync of the old file failed before the restart: after such a
// failure the system may show data that is not on the disk.
func (l *Log) rewrite(seq uint64, good []byte) error {
	tmp := l.path(segmentPrefix, seq) + tmpSuffix
	f, err := l.fs.Create(tmp)
	if err != nil {
		return errors.Wrap(err, "rewrite last log segment")
	}

	// A crash can have come before the hard state that begins the segment was written, so it is written again.
	head, err := l.hardState.MarshalMsg(nil)
	if err != nil {
		_ = f.Close()
		return errors.Wrap(err, "encode hard state")
	}

	content := append(appendRecord(nil, recordHardState, head), good...)
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

// begin opens a new segment that starts with the hard state, so that older segments can be removed.
func (l *Log) begin(seq uint64) error {
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
	if err := l.write(appendRecord(nil, recordHardState, b)); err != nil {
		return err
	}

	return wrap(l.fs.SyncDir(l.cfg.Dir), "sync folder")
}

// write appends b and syncs.
func (l *Log) write(b []byte) error {
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

// stop notes the first failure; from then on nothing is written.
func (l *Log) stop(err error) error {
	if err != nil && l.err == nil {
		l.err = errors.Wrap(ErrStopped, err.Error())
	}

	return err
}

// Append makes a hard state (nil: unchanged) and entries durable with one sync.
func (l *Log) Append(hs *consensus.HardState, entries []consensus.Entry) error {
	if l.err != nil {
		return l.err
	}

	var b []byte
	if hs != nil {
		body, err := hs.MarshalMsg(nil)
		if err != nil {
			return l.stop(errors.Wrap(err, "encode hard state"))
		}
		b = appendRecord(b, recordHardState, body)
		l.hardState = *hs
	}

	for i := range entries {
		body, err := entries[i].MarshalMsg(nil)
		if err != nil {
			return l.stop(errors.Wrap(err, "encode entry"))
		}
		b = appendRecord(b, recordEntry, body)
	}

	if len(b) == 0 {
		return nil
	}
	if err := l.write(b); err != nil {
		return l.stop(err)
	}

	current := &l.segments[len(l.segments)-1]
	if len(entries) > 0 {
		current.last = max(current.last, entries[len(entries)-1].Index)
	}
	if l.size >= l.cfg.SegmentBytes {
		return l.stop(l.begin(current.seq + 1))
	}

	return nil
}

// Compact removes the segments that hold only entries up to index. The caller has made a snapshot that
// covers them durable.
func (l *Log) Compact(index consensus.Index) error {
	if l.err != nil {
		return l.err
	}

	index = min(index, l.snapIndex)
	removed := false
	for len(l.segments) > 1 && l.segments[0].last <= index {
		if err := l.fs.Remove(l.path(segmentPrefix, l.segments[0].seq)); err != nil {
			return l.stop(errors.Wrap(err, "remove log segment"))
		}
		l.segments = l.segments[1:]
		removed = true
	}

	if !removed {
		return nil
	}

	return l.stop(wrap(l.fs.SyncDir(l.cfg.Dir), "sync folder"))
}
