package control

import (
	"bytes"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fulmarfall/claim"
	"fulmarfall/configuration"
	"fulmarfall/conviction"
	"fulmarfall/ident"
	"fulmarfall/record"
	"fulmarfall/registry"
)

// drawCommand draws a command of any type, with few distinct names so that commands conflict.
func drawCommand(t *rapid.T, now time.Time) Command {
	drawSmall := func(name string) int { return rapid.IntRange(0, 3).Draw(t, name) }
	revision := ident.Revision(1 + drawSmall("revision"))
	fp := ident.Fingerprint(drawSmall("fingerprint"))
	id := ident.SearcherID(fmt.Sprintf("s%d", drawSmall("searcher")))
	epoch := ident.Epoch(rapid.IntRange(0, 6).Draw(t, "epoch"))
	k := keyAt(now.Add(-time.Duration(drawSmall("age"))*12*time.Hour), 1)
	tok := claim.Token(fmt.Sprint(drawSmall("token")))
	op := fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "operation"))
	a := announcement(string(id))
	a.Incarnation, a.Cold = ident.Incarnation(1+drawSmall("incarnation")), drawSmall("cold") == 0
	a.Snapshots[0].ID = ident.SnapshotID(1 + drawSmall("snapshot"))
	all := []Command{
		PutConfiguration{Version: configuration.Version(1 + drawSmall("version")), Document: []byte(op)},
		putSetting(revision, op, 1+drawSmall("value")), putSetting(revision, op, 1+drawSmall("value")),
		WithdrawRecord{Kind: record.KindSetting, Name: string(record.SettingQueuePerSearcher), Revision: revision, Operation: ident.OperationID(op)},
		ClaimKey{Key: k, Token: tok},
		SettleClaim{Key: k, Token: tok, HasAnswer: true, Answer: []byte("ok")},
		ReleaseClaim{Key: k, Token: tok},
		AddStrike{Fingerprint: fp, Exclusive: drawSmall("alone") == 0},
		ClearSuspect{Fingerprint: fp, Strikes: uint32(drawSmall("strikes"))},
		RegisterSearcher{a},
		RegisterSearcher{a},
		UpdateSearcher{a},
		RemoveSearcher{Searcher: id, Incarnation: a.Incarnation},
		AssignOwner{Searcher: id, Epoch: epoch, Owner: "n1", Incarnation: 1},
		MoveOwner{Searcher: id, Epoch: epoch, To: "n2"},
		ReleaseOwner{Searcher: id, Epoch: epoch},
		MarkCold{Searcher: id, Epoch: epoch, Cold: drawSmall("owner cold") == 0},
		AdvanceClock{},
		BeginTrial{Fingerprint: fp, Token: string(tok) + "t", Duration: time.Duration(drawSmall("duration")) * time.Hour},
		EndTrial{Fingerprint: fp, Token: string(tok) + "t"},
	}

	return all[rapid.IntRange(0, len(all)-1).Draw(t, "command")]
}

// catchUp brings a node's copy up to date with a voter, as lease renewals do.
func catchUp(t *rapid.T, from, node *State) {
	entries, ok := from.CommandsSince(node.AppliedIndex())
	if !ok {
		data, err := from.NodeSnapshot()
		if err := errors.Join(err, node.Restore(data)); err != nil {
			t.Fatal(err)
		}
	}
	for _, e := range entries {
		node.Apply(e.Index, e.Data)
	}
	if node.AppliedIndex() != from.AppliedIndex() {
		t.Fatalf("node is at %d after catching up, voter at %d", node.AppliedIndex(), from.AppliedIndex())
	}
}

// Guards against replicas that differ after the same commands: one that applied all of them, one that
// was restored from snapshots, and node copies that received batches of commands or snapshots. Some
// stamps go backwards, as they do when the leader changes.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, restored := New(), New()
		follower, joiner := New(WithoutClaims()), New(WithoutClaims())
		now := start
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-int(time.Minute), int(2*time.Hour)).Draw(t, "passed")))
			data, err := EncodeCommand(now, drawCommand(t, now))
			if err != nil {
				t.Fatal(err)
			}
			if rapid.IntRange(0, 20).Draw(t, "truncated") == 0 {
				data = data[:rapid.IntRange(0, len(data)-1).Draw(t, "length")]
			}
			index := uint64(2*i + 1) // The log also contains entries of the consensus protocol.
			a, b := first.Apply(index, data), restored.Apply(index, data)
			if !bytes.Equal(a, b) {
				t.Fatalf("results differ: %x and %x", a, b)
			}
			switch rapid.IntRange(0, 8).Draw(t, "then") {
			case 0:
				snap, err := restored.Snapshot()
				restored = New()
				if err := errors.Join(err, restored.Restore(snap)); err != nil {
					t.Fatal(err)
				}
			case 1:
				catchUp(t, first, follower)
			case 2:
				joiner = New(WithoutClaims())
				catchUp(t, restored, joiner)
			}
		}
		catchUp(t, first, follower)
		catchUp(t, first, joiner)
		want, err := first.NodeSnapshot()
		if err != nil {
			t.Fatal(err)
		}
		for name, s := range map[string]*State{"restored voter": restored, "following node": follower, "joining node": joiner} {
			if got, err := s.NodeSnapshot(); err != nil || !bytes.Equal(want, got) {
				t.Errorf("%s differs from the first voter, error %v", name, err)
			}
		}
		x, errX := first.Snapshot()
		y, errY := restored.Snapshot()
		if errX != nil || errY != nil || !bytes.Equal(x, y) {
			t.Errorf("voters differ, errors %v, %v", errX, errY)
		}
	})
}

// Guards against an operator's retry, after a lost reply, that is treated as a new change once the
// voter has restarted from a snapshot and the record has been withdrawn.
func TestRetryAcrossRestore(t *testing.T) {
	first, restored := New(), New()
	d := newDriver(t, first)
	put := putSetting(1, "op-1", 20)
	want, _ := d.do(put).(RecordResult)
	d.do(WithdrawRecord{Kind: put.Kind, Name: put.Name, Revision: 2, Operation: "op-2"})
	if err := restored.Restore(snapshotOf(t, first)); err != nil {
		t.Fatalf("restore: %v", err)
	}
	want.Repeated = true
	newDriver(t, restored, first).want(put, want)
	if rec, _ := restored.Records().Get(put.Kind, put.Name); !rec.Withdrawn || rec.Revision != 2 {
		t.Errorf("record after the retry: %+v", rec)
	}
}

// Guards against a clock that goes backwards with a new leader's stamps, so that a claim or conviction
// would expire twice, and against expiry by a clock other than that of the commands.
func TestClockIsMonotonic(t *testing.T) {
	d := newDriver(t, New())
	d.do(AddStrike{Fingerprint: 1, Exclusive: true})
	d.now = start.Add(conviction.ConvictionTTL)
	d.do(AdvanceClock{})
	d.now = start
	d.want(AddStrike{Fingerprint: 2, Exclusive: true}, StrikeResult{State: conviction.Convicted, Strikes: 1})
	later := start.Add(conviction.ConvictionTTL)
	d.states[0].View(func(v View) {
		one, _ := v.Convictions().Lookup(1)
		two, _ := v.Convictions().Lookup(2)
		if !v.Clock().Equal(later) || one.State != conviction.Suspect || !two.Expires.Equal(later.Add(conviction.ConvictionTTL)) {
			t.Errorf("clock is %v, entries are %+v and %+v", v.Clock(), one, two)
		}
	})
}

// Guards against a replica that crashes on a command of a newer version, and against a snapshot
// without the effect of that command, which other replicas would restore.
func TestUnknownCommandType(t *testing.T) {
	env := envelope{StampNano: start.UnixNano(), Type: 999, Body: []byte("later")}
	data, err := env.MarshalMsg(nil)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	s := New()
	d := newDriver(t, s)
	d.do(putSetting(1, "op-1", 20))
	before := snapshotOf(t, s)
	d.index++
	res, err := DecodeResult(s.Apply(d.index, data))
	if skipped, ok := res.(SkippedResult); err != nil || !ok || skipped.Reason != SkipUnknownType {
		t.Errorf("result is %+v, error %v", res, err)
	}
	d.want(AddStrike{Fingerprint: 1}, StrikeResult{State: conviction.Suspect, Strikes: 1})
	if got := s.Unsupported(); got != 2 {
		t.Errorf("first unknown command is at %d, want 2", got)
	}
	if _, err := s.Snapshot(); !errors.Is(err, ErrUnsupportedCommand) {
		t.Errorf("snapshot: %v", err)
	}
	if _, err := s.NodeSnapshot(); !errors.Is(err, ErrUnsupportedCommand) {
		t.Errorf("node snapshot: %v", err)
	}
	if _, err := Restamp(start, data); !errors.Is(err, ErrUnknownType) {
		t.Errorf("an unknown command from a node is proposed: %v", err)
	}
	entries, ok := s.CommandsSince(1)
	if !ok || len(entries) != 2 || !bytes.Equal(entries[0].Data, data) {
		t.Errorf("entries for newer nodes are %+v, %v", entries, ok)
	}
	// An upgraded program starts from the previous snapshot and replays the log.
	restarted := New()
	if err := restarted.Restore(before); err != nil || restarted.Unsupported() != 0 {
		t.Errorf("restore: %v", err)
	}
}

// Guards against a state that an older snapshot reverts, that loses its claims to a node's snapshot,
// or that a corrupt snapshot replaces in part.
func TestRestoreRefusals(t *testing.T) {
	s := New()
	d := newDriver(t, s)
	d.do(putSetting(1, "op-1", 20))
	old := snapshotOf(t, s)
	d.do(ClaimKey{Key: keyAt(start, 1), Token: "a"})
	node, err := s.NodeSnapshot()
	if err != nil {
		t.Fatalf("node snapshot: %v", err)
	}
	current := snapshotOf(t, s)
	newer, err := (&header{Format: snapshotFormat + 1}).MarshalMsg(nil)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	tests := map[string]struct {
		data []byte
		want error
	}{
		"older":         {old, ErrOlderSnapshot},
		"node":          {node, ErrMalformed},
		"truncated":     {current[:len(current)-1], ErrMalformed},
		"trailing byte": {append(bytes.Clone(current), 0), ErrMalformed},
		"newer format":  {newer, ErrNewerFormat},
		"empty":         {nil, ErrMalformed},
	}
	for name, tc := range tests {
		if err := s.Restore(tc.data); !errors.Is(err, tc.want) {
			t.Errorf("%s: error %v, want %v", name, err, tc.want)
		}
		if !bytes.Equal(current, snapshotOf(t, s)) {
			t.Fatalf("%s: the state has changed", name)
		}
	}
}

// Guards against a ring that grows without bound, a node that receives only some of the entries it
// lacks, and a node that is reverted because the voter is behind it.
func TestCommandsSinceBounds(t *testing.T) {
	s := New()
	d := newDriver(t, s)
	for i := range RingEntries + 10 {
		d.do(AddStrike{Fingerprint: ident.Fingerprint(i % 100)})
	}
	for i := range 50 {
		d.do(ClaimKey{Key: keyAt(start, i), Token: "a"})
	}
	last := s.AppliedIndex()
	tests := map[string]struct {
		index uint64
		want  int
		ok    bool
	}{
		"too old":       {10, 0, false},
		"oldest kept":   {11, RingEntries, true},
		"within claims": {last - 20, 1, true},
		"up to date":    {last, 0, true},
		"ahead":         {last + 5, 0, true},
	}
	for name, tc := range tests {
		entries, ok := s.CommandsSince(tc.index)
		if len(entries) != tc.want || ok != tc.ok {
			t.Errorf("%s: %d entries, %v; want %d, %v", name, len(entries), ok, tc.want, tc.ok)
		}
	}
	spec := fmt.Appendf(nil, `{"later": "%060000d"}`, 0)
	for i := range 200 {
		d.do(PutRecord{
			Kind: record.KindUpstream, Name: fmt.Sprintf("u%d", i), Schema: 9, Revision: 1,
			Operation: ident.OperationID(fmt.Sprint(i)), Spec: spec,
		})
	}
	if s.ring.bytes > RingBytes || s.ring.bytes < RingBytes/2 {
		t.Errorf("the ring contains %d bytes", s.ring.bytes)
	}
}

// Guards against entries that are modified while a reader still uses them outside its view, and
// against data races of reads and snapshots with Apply. It relies on the race detector.
func TestConcurrentReaders(t *testing.T) {
	s := New()
	d := newDriver(t, s)
	done := make(chan struct{})
	var readers sync.WaitGroup
	read := func() {
		var searchers []*registry.Searcher
		var maps []*registry.ShardMap
		s.View(func(v View) {
			searchers = append(searchers, v.Registry().Searchers()...)
			maps = v.Registry().ShardMaps("stock-ledger")
			v.Records().Setting(record.SettingQueuePerSearcher)
			v.Convictions().Lookup(9)
		})
		for _, e := range searchers {
			_ = e.OwnedBy("n1", 1) || e.Removed
		}
		for _, m := range maps {
			_ = m.Complete && m.Documents() > 0
		}
		s.CommandsSince(0)
		if _, err := s.Snapshot(); err != nil {
			t.Errorf("snapshot: %v", err)
		}
	}
	for range 4 {
		readers.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					read()
				}
			}
		})
	}
	for i := range 30 {
		d.now = d.now.Add(time.Minute)
		for _, step := range allCommands() {
			d.do(step.command)
		}
		a := announcement(fmt.Sprintf("s%d", i))
		a.Snapshots[0].Held = []ident.ShardID{"b"}
		d.do(RegisterSearcher{a})
	}
	close(done)
	readers.Wait()
}
