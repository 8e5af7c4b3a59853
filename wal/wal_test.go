package wal

import (
	"errors"
	"fmt"
	"io"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"fulmarfall/consensus"

	"github.com/google/go-cmp/cmp"
)

func open(fs FS) (*Log, consensus.PersistentState, error) {
	l, saved, _, err := Open(Config{Dir: "d", ID: "a", SegmentBytes: 300}, WithFS(fs))

	return l, saved, err
}

// scenario runs random operations on a log and tracks the states that are valid after a crash.
type scenario struct {
	rnd         *rand.Rand
	log         *Log
	acked, next consensus.PersistentState // the acknowledged state, and the state if the failed operation took effect

	term consensus.Term
}

func lastSavedIndex(s consensus.PersistentState) consensus.Index {
	if n := len(s.Entries); n > 0 {
		return s.Entries[n-1].Index
	}
	if s.Snapshot != nil {
		return s.Snapshot.Meta.Index
	}

	return 0
}

func baseIndex(s consensus.PersistentState) consensus.Index {
	return lastSavedIndex(s) - consensus.Index(len(s.Entries))
}

// step runs one random operation and returns its error.
func (c *scenario) step() error {
	c.next = c.acked
	c.next.Entries = slices.Clone(c.acked.Entries)
	var err error
	switch k := c.rnd.Intn(10); {
	case k < 8: // append entries, sometimes replacing the last ones, sometimes with a hard state
		var hs *consensus.HardState
		if c.rnd.Intn(3) == 0 {
			c.term++
			hs = &consensus.HardState{Cluster: 7, Term: c.term, Vote: "b"}
			c.next.HardState = *hs
		}
		keep := len(c.next.Entries)
		if c.rnd.Intn(4) == 0 {
			keep = c.rnd.Intn(keep + 1)
		}
		c.next.Entries = c.next.Entries[:keep]
		var add []consensus.Entry
		for range c.rnd.Intn(4) {
			add = append(add, consensus.Entry{Index: baseIndex(c.acked) + consensus.Index(keep+len(add)) + 1, Term: c.term, Data: []byte(fmt.Sprint(c.rnd.Int()))})
		}
		if len(add) == 0 { // only a replacing entry truncates the log
			c.next.Entries = slices.Clone(c.acked.Entries)
		}
		c.next.Entries = append(c.next.Entries, add...)

		err = c.log.Append(hs, add)
	case k == 8 && len(c.next.Entries) > 0: // save a local snapshot
		cut := 1 + c.rnd.Intn(len(c.next.Entries))
		e := c.next.Entries[cut-1]
		c.next.Snapshot = &consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: e.Index, Term: e.Term}, Data: []byte(fmt.Sprint(c.rnd.Int()))}
		c.next.Entries = c.next.Entries[cut:]

		if err = c.log.SaveSnapshot(c.next.Snapshot); err == nil {
			err = c.log.Compact(e.Index)
		}
	default: // install a received snapshot of another term, at an index within or beyond the log
		index := baseIndex(c.acked) + 1 + consensus.Index(c.rnd.Intn(10))
		c.term++
		c.next.Snapshot = &consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: index, Term: c.term}, Data: []byte("s")}
		c.next.Entries = nil

		err = c.log.InstallSnapshot(c.next.Snapshot)
	}
	if err == nil {
		c.acked = c.next
	}

	return err
}

func equal(a, b consensus.PersistentState) bool {
	if len(a.Entries) == 0 {
		a.Entries = nil
	}
	if len(b.Entries) == 0 {
		b.Entries = nil
	}

	return cmp.Equal(a, b)
}

// isValidAfterFault reports whether got is the acknowledged state, the state after the failed operation, or one in
// between: only the hard state, or only some of the entries of the operation, may have been written.
func (c *scenario) isValidAfterFault(got consensus.PersistentState) bool {
	if n := len(got.Entries); n >= commonPrefix(c.acked.Entries, c.next.Entries) && n <= len(c.next.Entries) {
		partial := c.next
		partial.Entries = c.next.Entries[:n]
		if equal(got, partial) {
			return true
		}
	}
	partial := c.acked // only the hard state was written
	partial.HardState = c.next.HardState

	return equal(got, c.acked) || equal(got, partial)
}

func commonPrefix(a, b []consensus.Entry) int {
	n := 0
	for n < len(a) && n < len(b) && a[n].Term == b[n].Term && string(a[n].Data) == string(b[n].Data) {
		n++
	}

	return n
}

// Guards against acknowledged state that is lost or altered by a crash, a failed sync, a full disk or a short write at any
// operation, and against a log that continues, or syncs the same file again, after such a failure.
func TestFaultAtAnyOperation(t *testing.T) {
	faults := []error{errSync, errFull, io.ErrShortWrite}
	for seed := range int64(800) {
		rnd := rand.New(rand.NewSource(seed))
		fs := newMemFS()
		c := &scenario{rnd: rnd}
		var disk consensus.DiskID
		for restart := range 4 {
			fs.failAt, fs.fault = 0, faults[rnd.Intn(len(faults))]
			if restart > 0 || rnd.Intn(4) == 0 {
				fs.failAt = fs.ops + 1 + rnd.Intn(40) // the fault may occur while the log is opened
			}
			log, got, err := open(fs)
			if err != nil {
				if !errors.Is(err, fs.fault) {
					t.Fatalf("seed %d: open: %v", seed, err)
				}
				fs.crash(rnd)
				continue
			}
			if disk == 0 {
				disk = log.Disk()
			}
			if log.Disk() != disk {
				t.Fatalf("seed %d: disk id changed after a restart", seed)
			}
			if !c.isValidAfterFault(got) {
				t.Fatalf("seed %d: state after restart %d differs (-acknowledged +got):\n%s", seed, restart, cmp.Diff(c.acked, got))
			}
			c.log, c.acked, c.next = log, got, got
			for range 25 {
				if err = c.step(); err != nil {
					break
				}
			}
			if err != nil {
				if appendErr := log.Append(&consensus.HardState{Term: 99}, nil); !errors.Is(appendErr, ErrStopped) {
					t.Fatalf("seed %d: write after failure %v: got error %v, want ErrStopped", seed, err, appendErr)
				}
				if len(fs.resyncs) > 0 {
					t.Fatalf("seed %d: a file was synced again after a failed sync", seed)
				}
			}
			_ = log.Close()
			fs.crash(rnd)
		}
	}
}

// Guards against a vote that is lost when the segment that contains it is removed, after a crash while the next segment
// is created.
func TestHardStateSurvivesSegmentRemoval(t *testing.T) {
	want := consensus.HardState{Cluster: 7, Term: 3, Vote: "b"}
	for failAt := 1; failAt < 200; failAt++ {
		fs := newMemFS()
		fs.fault = errSync
		l, _, err := open(fs)
		if err == nil {
			err = l.Append(&want, nil)
		}
		if err != nil {
			t.Fatal(err)
		}
		fs.failAt = fs.ops + failAt
		for i := consensus.Index(1); i <= 20; {
			if err = l.Append(nil, []consensus.Entry{{Index: i, Term: 3, Data: []byte("data")}}); err == nil && i%6 == 0 {
				err = l.SaveSnapshot(&consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: i, Term: 3}})
				if err == nil {
					err = l.Compact(i)
				}
			}
			if i++; err != nil {
				fs.crash(rand.New(rand.NewSource(int64(failAt))))
				var saved consensus.PersistentState
				if l, saved, err = open(fs); err != nil {
					t.Fatal(err)
				}
				i = lastSavedIndex(saved) + 1
			}
		}
		fs.failAt = 0
		if _, got, err := open(fs); err != nil || got.HardState != want {
			t.Fatalf("failure at operation %d: hard state %+v, %v", failAt, got.HardState, err)
		}
	}
}

// Guards against a size limit of the reader that rejects a large entry which was acknowledged.
func TestLargeEntry(t *testing.T) {
	fs := newMemFS()
	l, _, err := open(fs)
	if err != nil {
		t.Fatal(err)
	}
	want := []consensus.Entry{{Index: 1, Term: 1, Data: make([]byte, 1<<20)}}
	if err := l.Append(nil, want); err != nil {
		t.Fatal(err)
	}
	if _, got, err := open(fs); err != nil || len(got.Entries) != 1 || string(got.Entries[0].Data) != string(want[0].Data) {
		t.Errorf("reopened with %d entries: %v", len(got.Entries), err)
	}
}

// newPopulatedFS returns a data folder with several segments, a snapshot and a vote, and the state stored in it.
func newPopulatedFS(t *testing.T) (*memFS, consensus.PersistentState) {
	t.Helper()
	fs := newMemFS()
	l, _, err := open(fs)
	if err != nil {
		t.Fatal(err)
	}
	for i := consensus.Index(1); i <= 24; i++ {
		hs := &consensus.HardState{Cluster: 7, Term: consensus.Term(i), Vote: "b"}
		if err := l.Append(hs, []consensus.Entry{{Index: i, Term: consensus.Term(i), Data: []byte("data")}}); err != nil {
			t.Fatal(err)
		}
		if i == 10 {
			if err := l.SaveSnapshot(&consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 8, Term: 8}, Data: []byte("state")}); err != nil {
				t.Fatal(err)
			}
			if err := l.Compact(8); err != nil {
				t.Fatal(err)
			}
		}
	}
	_, want, err := open(fs)
	if err != nil || len(want.Entries) != 16 {
		t.Fatalf("reopened with %d entries: %v", len(want.Entries), err)
	}

	return fs, want
}

// Guards against a flipped bit anywhere in the folder that loses or alters acknowledged state, in particular in the last
// record or in a length field, and against a corruption error that does not name the recovery command.
func TestFlippedBit(t *testing.T) {
	fs, want := newPopulatedFS(t)
	for name, f := range fs.files {
		for bit := range len(f.data) * 8 {
			corrupted := newMemFS()
			for other, g := range fs.files {
				corrupted.files[other] = &memFile{data: slices.Clone(g.data)}
			}
			corrupted.files[name].data[bit/8] ^= 1 << (bit % 8)
			_, got, err := open(corrupted)
			switch {
			case err == nil && !equal(got, want):
				t.Fatalf("%s bit %d: corruption was not detected", name, bit)
			case err != nil && (!errors.Is(err, ErrCorrupted) || !strings.Contains(err.Error(), "voter replace")):
				t.Fatalf("%s bit %d: got error %v, want ErrCorrupted with recovery steps", name, bit, err)
			}
		}
	}
}

// Guards against a torn tail that prevents the log from opening, and against missing files that go undetected.
func TestTornTailAndMissingFiles(t *testing.T) {
	fs, want := newPopulatedFS(t)
	names, _ := fs.List("")
	lastSegment := ""
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) {
			lastSegment = "d/" + name
		}
	}
	complete := fs.files[lastSegment].data
	for cut := range complete {
		for _, tail := range [][]byte{nil, make([]byte, len(complete)-cut)} {
			fs.files[lastSegment].data = append(slices.Clone(complete[:cut]), tail...)
			_, got, err := open(fs)
			if err != nil || !equal(consensus.PersistentState{Entries: want.Entries[:len(got.Entries)]}, consensus.PersistentState{Entries: got.Entries}) {
				t.Fatalf("truncated to %d of %d bytes, followed by %d zeros: %v", cut, len(complete), len(tail), err)
			}
		}
	}

	for _, name := range []string{"identity", "log-0000000000000003", "snapshot-0000000000000008"} {
		fs, _ := newPopulatedFS(t)
		if _, ok := fs.files["d/"+name]; !ok {
			t.Fatalf("file %s is not among %v", name, names)
		}
		delete(fs.files, "d/"+name)
		if _, _, err := open(fs); !errors.Is(err, ErrCorrupted) {
			t.Errorf("%s missing: got error %v, want ErrCorrupted", name, err)
		}
	}
	if _, _, _, err := Open(Config{Dir: "d", ID: "b"}, WithFS(fs)); err == nil {
		t.Error("opened the data folder of another voter")
	}
}

// Guards against input that makes the reader panic and against records that are not encoded to the same bytes again.
func FuzzReadRecord(f *testing.F) {
	fs := newMemFS()
	if _, _, err := open(fs); err != nil {
		f.Fatal(err)
	}
	for _, file := range fs.files {
		f.Add(file.data)
	}
	e, _ := (&consensus.Entry{Index: 1, Term: 1, Data: []byte("x")}).MarshalMsg(nil)
	f.Add(appendRecord(nil, recordEntry, e))
	f.Fuzz(func(t *testing.T, b []byte) {
		state := &replayState{}
		validBytes, _ := replayRecords(state, b)
		if validBytes < 0 || validBytes > len(b) {
			t.Fatalf("valid prefix of %d bytes has length %d", len(b), validBytes)
		}
		if payload, rest, err := readRecord(b); err == nil {
			rewritten := appendRecord(nil, recordType(payload[0]), payload[1:])
			if diff := cmp.Diff(b[:len(b)-len(rest)], rewritten); diff != "" {
				t.Errorf("record differs when encoded again (-read +written):\n%s", diff)
			}
		}
	})
}
