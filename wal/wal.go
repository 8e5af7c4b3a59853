// Package wal stores a voter's durable state in one folder: its disk identity, a segmented write-ahead log of entries
// and hard states, and snapshots. Every write is synced before it is acknowledged. After a failed or short write or a
// failed sync the log rejects all further operations, because the content of the file is then unknown and a second sync
// may report success without having written anything.
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
	identityName   = "identity"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	tmpSuffix      = ".tmp"
)

// DefaultSegmentBytes is the default size at which a segment is closed and the next one created.
const DefaultSegmentBytes = 4 << 20

// Errors for use with errors.Is.
var (
	// ErrCorrupted means that durable data has been altered or lost. The voter must be replaced.
	ErrCorrupted = errors.New("data folder is corrupted")
	// ErrStopped means that the log was closed or that an earlier write or sync failed.
	ErrStopped = errors.New("log is closed or has stopped after a failed write")
)

// Config holds the settings of a log.
type Config struct {
	Dir          string
	ID           ident.NodeID
	SegmentBytes int // 0 means DefaultSegmentBytes
}

// Option overrides a default of Open.
type Option func(*Log)

// WithFS replaces the file system, for fault injection in tests.
func WithFS(fs FS) Option { return func(l *Log) { l.fs = fs } }

// WithRandom replaces the source of randomness for disk ids.
func WithRandom(r io.Reader) Option { return func(l *Log) { l.random = r } }

// segment describes one file of the log.
type segment struct {
	seq  uint64
	last consensus.Index // highest entry index in the file
}

// Log is an open data folder. It is not safe for concurrent use.
type Log struct {
	cfg    Config
	fs     FS
	random io.Reader

	disk          consensus.DiskID
	fresh         bool
	hardState     consensus.HardState
	segments      []segment // ascending; the last one is open
	file          File
	size          int             // bytes in the open segment
	snapshotIndex consensus.Index // of the newest durable snapshot
	err           error           // set by the first failure or by Close; returned by all later operations
	syncs         uint64
}

// Open opens the data folder, creating it if necessary, and returns the log and the state recovered from it. The
// clean-up function closes the log.
func Open(cfg Config, opts ...Option) (*Log, consensus.PersistentState, func() error, error) {
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
		return nil, consensus.PersistentState{}, nil, errors.Wrapf(err, "open data folder of voter %q", cfg.ID)
	}

	return l, saved, l.Close, nil
}

// Disk returns the random id that was generated when the folder was first used.
func (l *Log) Disk() consensus.DiskID { return l.disk }

// Fresh reports whether Open has created the disk identity, that is, whether the folder was empty.
func (l *Log) Fresh() bool { return l.fresh }

// Syncs returns the number of segment syncs caused by writes since Open.
func (l *Log) Syncs() uint64 { return l.syncs }

func (l *Log) open() (consensus.PersistentState, error) {
	var saved consensus.PersistentState
	if err := l.fs.MkdirAll(l.cfg.Dir); err != nil {
		return saved, errors.Wrap(err, "create folder")
	}

	names, err := l.fs.List(l.cfg.Dir)
	if err != nil {
		return saved, errors.Wrap(err, "list folder")
	}

	segments, snapshots, err := l.classifyFiles(names)
	if err != nil {
		return saved, err
	}

	hasIdentity := slices.Contains(names, identityName)
	if hasIdentity && len(segments) == 0 {
		// The first segment is created before the identity, so this is not an interrupted first start.
		return saved, corruptionError("all log segments are missing")
	}

	if len(snapshots) > 0 {
		if saved.Snapshot, err = l.readSnapshot(snapshots[len(snapshots)-1]); err != nil {
			return saved, err
		}
		l.snapshotIndex = saved.Snapshot.Meta.Index
	}

	state, err := l.readSegments(segments)
	if err != nil {
		return saved, err
	}

	empty := state.hardState == consensus.HardState{} && !state.baseKnown && saved.Snapshot == nil
	if err := l.loadOrCreateIdentity(hasIdentity, empty); err != nil {
		return saved, err
	}

	saved.HardState = state.hardState
	var reset bool
	if saved.Entries, reset, err = entriesAfterSnapshot(state, saved.Snapshot); err != nil {
		return saved, err
	}
	if reset {
		if err := l.writeReset(saved.Snapshot.Meta); err != nil {
			return saved, err
		}
	}

	return saved, l.removeOldSnapshots(snapshots)
}

// entriesAfterSnapshot returns the entries that follow the snapshot. Entries of a log that the snapshot has replaced are
// dropped; reset reports whether a reset record must be written before more entries are appended.
func entriesAfterSnapshot(state *replayState, snap *consensus.Snapshot) (entries []consensus.Entry, reset bool, err error) {
	if snap == nil {
		if len(state.entries) > 0 && state.entries[0].Index != 1 {
			return nil, false, corruptionError("the log starts at entry %d and there is no snapshot", state.entries[0].Index)
		}
		return state.entries, false, nil
	}

	snapshotIndex := snap.Meta.Index
	if len(state.entries) == 0 || state.nextIndex <= snapshotIndex {
		return nil, state.baseKnown && state.nextIndex != snapshotIndex+1, nil
	}

	first := state.entries[0].Index
	switch {
	case first > snapshotIndex+1:
		return nil, false, corruptionError("the log starts at entry %d and the snapshot ends at %d", first, snapshotIndex)
	case first == snapshotIndex+1:
		return state.entries, false, nil
	case state.entries[snapshotIndex-first].Term != snap.Meta.Term:
		// A received snapshot was saved, but a crash prevented the reset of the log that it replaces.
		return nil, true, nil
	default:
		return state.entries[snapshotIndex-first+1:], false, nil
	}
}

// classifyFiles returns the sorted numbers of the segments and snapshots, and removes temporary files that a crash has
// left behind.
func (l *Log) classifyFiles(names []string) (segments, snapshots []uint64, err error) {
	for _, name := range names {
		if strings.HasSuffix(name, tmpSuffix) {
			if err := l.fs.Remove(filepath.Join(l.cfg.Dir, name)); err != nil {
				return nil, nil, errors.Wrap(err, "remove temporary file")
			}
			continue
		}

		var n uint64
		if _, err := fmt.Sscanf(name, segmentPrefix+"%016x", &n); err == nil {
			segments = append(segments, n)
		} else if _, err := fmt.Sscanf(name, snapshotPrefix+"%016x", &n); err == nil {
			snapshots = append(snapshots, n)
		}
	}

	slices.Sort(segments)
	slices.Sort(snapshots)

	return segments, snapshots, nil
}

// loadOrCreateIdentity reads the disk identity or, in an empty folder, generates and writes one. A folder that has data
// but no identity is corrupted.
func (l *Log) loadOrCreateIdentity(exists, empty bool) error {
	name := filepath.Join(l.cfg.Dir, identityName)
	if exists {
		b, err := l.fs.ReadFile(name)
		if err != nil {
			return errors.Wrap(err, "read identity")
		}

		var m consensus.Member
		payload, _, err := readRecord(b)
		if err != nil {
			return corruptionError("identity: %v", err)
		}
		if _, err := m.UnmarshalMsg(payload[1:]); err != nil || m.Disk == 0 {
			return corruptionError("identity can't be decoded")
		}
		if m.ID != l.cfg.ID {
			return errors.Errorf("data folder belongs to voter %q: correct the node id or the data folder in the settings", m.ID)
		}
		l.disk = m.Disk

		return nil
	}

	if !empty {
		return corruptionError("identity is missing")
	}

	var b [8]byte
	if _, err := io.ReadFull(l.random, b[:]); err != nil {
		return errors.Wrap(err, "generate disk id")
	}

	l.disk = consensus.DiskID(binary.LittleEndian.Uint64(b[:]) | 1) // never 0
	l.fresh = true
	body, err := consensus.Member{ID: l.cfg.ID, Disk: l.disk}.MarshalMsg(nil)
	if err != nil {
		return errors.Wrap(err, "encode identity")
	}

	return wrap(writeFileAtomic(l.fs, l.cfg.Dir, identityName, appendRecord(nil, 0, body)), "write identity")
}

// corruptionError wraps ErrCorrupted with a description and the recovery steps for the operator.
func corruptionError(format string, args ...any) error {
	return errors.Wrapf(ErrCorrupted, "%s; this voter must not start with this folder: move the folder away, start "+
		"the voter with an empty one, and run 'fulmarfall voter replace'", fmt.Sprintf(format, args...))
}

// Close closes the open segment; later writes fail with ErrStopped.
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

// wrap adds context to err; unlike errors.Wrap it returns nil for nil.
func wrap(err error, context string) error {
	if err == nil {
		return nil
	}

	return errors.Wrap(err, context)
}
