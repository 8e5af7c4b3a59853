// Package wal keeps a voter's durable state in one folder: its disk identity, a segmented log of entries and
// hard states, and snapshots. Nothing is acknowledged before it is synced. After a failed or short write or a
// failed sync the log refuses all further work: the file's content is then unknown, and a second sync may
// report success without having written anything.
package wal

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"

	"fulmarfall/consensus"
	"fulmarfall/ident"

	"github.com/go-faster/errors"
)

const (
	identityName  = "identity"
	segmentPrefix = "log-"
	snapPrefix    = "snapshot-"
	tmpSuffix     = ".tmp"
)

// DefaultSegmentBytes is the size after which a new segment is begun.
const DefaultSegmentBytes = 4 << 20

// Errors that callers distinguish.
var (
	// ErrDamaged means that data which was durable has changed. The voter must be replaced.
	ErrDamaged = errors.New("damaged data folder")
	// ErrStopped means that an earlier write or sync failed.
	ErrStopped = errors.New("log is stopped after a failed write")
)

// Config describes a log.
type Config struct {
	Dir          string
	ID           ident.NodeID
	SegmentBytes int
}

// Option changes how a log works.
type Option func(*Log)

// WithFS replaces the file system.
func WithFS(fs FS) Option { return func(l *Log) { l.fs = fs } }

// WithRandom replaces the source of disk ids.
func WithRandom(r io.Reader) Option { return func(l *Log) { l.random = r } }

// segment is one file of the log.
type segment struct {
	seq  uint64
	last consensus.Index // highest entry written to it
}

// Log is an open data folder. It is not safe for concurrent use.
type Log struct {
	cfg    Config
	fs     FS
	random io.Reader

	disk      consensus.DiskID
	fresh     bool
	hardState consensus.HardState
	segments  []segment // ascending; the last one is open
	file      File
	size      int
	snapIndex consensus.Index
	err       error
	syncs     uint64
}

// Open reads the folder, creating it at the first start, and returns the log with what it holds. The clean-up
// function closes the files.
func Open(cfg Config, opts ...Option) (*Log, consensus.Saved, func() error, error) {
	if cfg.SegmentBytes == 0 {
		cfg.SegmentBytes = DefaultSegmentBytes
	}

	l := &Log{cfg: cfg, fs: OS{}, random: rand.Reader}
	for _, o := range opts {
		o(l)
	}

	saved, err := l.open()
	if err != nil {
		_ = l.Close()
		return nil, consensus.Saved{}, nil, errors.Wrapf(err, "open data folder of voter %q", cfg.ID)
	}

	return l, saved, l.Close, nil
}

// Disk returns the identity of the disk, drawn when the folder was first used.
func (l *Log) Disk() consensus.DiskID { return l.disk }

// Fresh reports that the folder was empty.
func (l *Log) Fresh() bool { return l.fresh }

// Syncs counts the syncs of log segments since Open.
func (l *Log) Syncs() uint64 { return l.syncs }

func (l *Log) open() (consensus.Saved, error) {
	var saved consensus.Saved
	if err := l.fs.MkdirAll(l.cfg.Dir); err != nil {
		return saved, errors.Wrap(err, "create folder")
	}

	names, err := l.fs.List(l.cfg.Dir)
	if err != nil {
		return saved, errors.Wrap(err, "list folder")
	}

	segments, snaps, err := l.sortNames(names)
	if err != nil {
		return saved, err
	}

	hasIdentity := slices.Contains(names, identityName)
	if hasIdentity && len(segments) == 0 {
		// The first segment is made before the identity.
		return saved, damaged("all log segments are missing")
	}

	if len(snaps) > 0 {
		if saved.Snapshot, err = l.readSnapshot(snaps[len(snaps)-1]); err != nil {
			return saved, err
		}
		l.snapIndex = saved.Snapshot.Meta.Index
	}

	c, err := l.readSegments(segments)
	if err != nil {
		return saved, err
	}

	blank := c.hardState == consensus.HardState{} && !c.started && saved.Snapshot == nil
	if err := l.openIdentity(hasIdentity, blank); err != nil {
		return saved, err
	}

	saved.HardState = c.hardState
	var reset bool
	if saved.Entries, reset, err = tailOf(c, saved.Snapshot); err != nil {
		return saved, err
	}
	if reset {
		if err := l.writeReset(saved.Snapshot.Meta); err != nil {
			return saved, err
		}
	}

	return saved, l.removeSnapshotsBefore(snaps)
}

// tailOf returns the entries that follow the snapshot. Entries of a log that the snapshot replaced are dropped;
// reset reports that the log must say so before more is appended.
func tailOf(c *contents, snap *consensus.Snapshot) (tail []consensus.Entry, reset bool, err error) {
	if snap == nil {
		if len(c.entries) > 0 && c.entries[0].Index != 1 {
			return nil, false, damaged("the log starts at entry %d and there is no snapshot", c.entries[0].Index)
		}
		return c.entries, false, nil
	}

	at := snap.Meta.Index
	if len(c.entries) == 0 || c.next <= at {
		return nil, c.started && c.next != at+1, nil
	}

	first := c.entries[0].Index
	switch {
	case first > at+1:
		return nil, false, damaged("the log starts at entry %d and the snapshot ends at %d", first, at)
	case first == at+1:
		return c.entries, false, nil
	case c.entries[at-first].Term != snap.Meta.Term:
		// A crash came between a received snapshot and the reset of the log that it replaced.
		return nil, true, nil
	default:
		return c.entries[at-first+1:], false, nil
	}
}

func (l *Log) sortNames(names []string) (segments, snaps []uint64, err error) {
	for _, name := range names {
		if strings.HasSuffix(name, tmpSuffix) {
			if err := l.fs.Remove(filepath.Join(l.cfg.Dir, name)); err != nil {
				return nil, nil, errors.Wrap(err, "remove unfinished file")
			}
			continue
		}

		var n uint64
		if _, err := fmt.Sscanf(name, segmentPrefix+"%016x", &n); err == nil {
			segments = append(segments, n)
		} else if _, err := fmt.Sscanf(name, snapPrefix+"%016x", &n); err == nil {
			snaps = append(snaps, n)
		}
	}

	slices.Sort(segments)
	slices.Sort(snaps)

	return segments, snaps, nil
}

// openIdentity reads the identity or, in a blank folder, writes a new one.
func (l *Log) openIdentity(exists, blank bool) error {
	name := filepath.Join(l.cfg.Dir, identityName)
	if exists {
		b, err := l.fs.ReadFile(name)
		if err != nil {
			return errors.Wrap(err, "read identity")
		}

		var m consensus.Member
		payload, _, err := readRecord(b)
		if err != nil {
			return damaged("identity: %v", err)
		}
		if _, err := m.UnmarshalMsg(payload[1:]); err != nil || m.Disk == 0 {
			return damaged("identity can't be decoded")
		}
		if m.ID != l.cfg.ID {
			return errors.Errorf("folder belongs to voter %q: correct the node id or the data folder in the settings", m.ID)
		}
		l.disk = m.Disk

		return nil
	}

	if !blank {
		return damaged("identity is missing")
	}

	var b [8]byte
	if _, err := io.ReadFull(l.random, b[:]); err != nil {
		return errors.Wrap(err, "draw disk id")
	}

	l.disk = consensus.DiskID(binary.LittleEndian.Uint64(b[:]) | 1) // never 0
	l.fresh = true
	body, err := consensus.Member{ID: l.cfg.ID, Disk: l.disk}.MarshalMsg(nil)
	if err != nil {
		return errors.Wrap(err, "encode identity")
	}

	return wrap(writeDurably(l.fs, l.cfg.Dir, identityName, appendRecord(nil, 0, body)), "write identity")
}

// damaged returns an error that tells the operator what to do.
func damaged(format string, args ...any) error {
	return errors.Wrapf(ErrDamaged, "%s; this voter must not start with this folder: move the folder away, start "+
		"the voter with an empty one, and run 'fulmarfall voter replace'", fmt.Sprintf(format, args...))
}

// Close closes the open segment.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	f := l.file
	l.file = nil
	if l.err == nil {
		l.err = ErrStopped
	}

	return wrap(f.Close(), "close log")
}

func writeAll(f File, b []byte) error {
	n, err := f.Write(b)
	if err != nil {
		return err
	}
	if n != len(b) {
		return io.ErrShortWrite
	}

	return nil
}

// wrap adds context to an error that may be nil.
func wrap(err error, context string) error {
	if err == nil {
		return nil
	}

	return errors.Wrap(err, context)
}
