package control

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/claim"
	"fulmarfall/record"
)

// everyCommand returns one command of each type.
func everyCommand() []Command {
	k := keyAt(start, 1)

	return []Command{
		setting(1, "op-1", 20),
		WithdrawRecord{Kind: record.KindSetting, Name: string(record.SettingQueuePerSearcher), Revision: 2, Operation: "op-2"},
		ClaimKey{Key: k, Token: "a", Body: claim.BodyHash{1}},
		ReleaseClaim{Key: k, Token: "a"},
		SettleClaim{Key: k, Token: "a", HasAnswer: true, Answer: []byte("ok")},
		AddStrike{Fingerprint: 9, Alone: true},
		ClearSuspect{Fingerprint: 9, Strikes: 1},
		RegisterSearcher{announcement("s1")},
		UpdateSearcher{announcement("s1")},
		RemoveSearcher{Searcher: "s1", Incarnation: 1},
		AssignOwner{Searcher: "s1", Owner: "n1", Incarnation: 4},
		MoveOwner{Searcher: "s1", Epoch: 1, To: "n2"},
		ReleaseOwner{Searcher: "s1", Epoch: 1},
		AdvanceClock{},
	}
}

// Guards against bytes that crash a replica, that one replica accepts and another does not, or that
// decode to a command that is encoded differently.
func FuzzApply(f *testing.F) {
	for _, c := range everyCommand() {
		data, err := EncodeCommand(start, c)
		if err != nil {
			f.Fatalf("encode %T: %v", c, err)
		}
		f.Add(data)
	}
	f.Add([]byte{})
	f.Add([]byte{0x93, 0x00, 0xcd, 0x03, 0xe7, 0xc4, 0x00}) // A type of a newer version.
	f.Fuzz(func(t *testing.T, data []byte) {
		a, b := New(), New()
		d := newDriver(t, a, b)
		for _, c := range everyCommand()[:8] {
			d.do(c)
		}
		if x, y := a.Apply(100, data), b.Apply(100, bytes.Clone(data)); !bytes.Equal(x, y) {
			t.Fatalf("results differ: %x and %x", x, y)
		}
		if a.Unsupported() == 0 && !bytes.Equal(snapshotOf(t, a), snapshotOf(t, b)) {
			t.Fatal("replicas differ")
		}
		stamp, c, err := DecodeCommand(data)
		if err != nil {
			return
		}
		again, err := EncodeCommand(stamp, c)
		if err != nil {
			return // A well-formed command may be one that a proposer refuses.
		}
		_, second, err := DecodeCommand(again)
		if diff := cmp.Diff(c, second); diff != "" || err != nil {
			t.Fatalf("command differs after encoding, error %v (-first +second):\n%s", err, diff)
		}
	})
}

// Guards against a snapshot that crashes a replica, that is accepted but cannot be taken again, or
// that gives other bytes than it was read from a second time.
func FuzzRestore(f *testing.F) {
	s := New()
	d := newDriver(f, s)
	f.Add(snapshotOf(f, s))
	for _, c := range everyCommand() {
		d.do(c)
		f.Add(snapshotOf(f, s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		first := New()
		if first.Restore(data) != nil {
			return
		}
		want := snapshotOf(t, first)
		second := New()
		if err := second.Restore(want); err != nil {
			t.Fatalf("restore of a snapshot of a restored state: %v", err)
		}
		if !bytes.Equal(want, snapshotOf(t, second)) {
			t.Fatal("the second snapshot differs")
		}
		// The restored state must bear commands.
		d := newDriver(t, first, second)
		d.index = first.AppliedIndex()
		if d.index > 1<<62 {
			return
		}
		for _, c := range everyCommand() {
			d.do(c)
		}
	})
}

// Guards against an answer that crashes the proposer.
func FuzzDecodeResult(f *testing.F) {
	s := New()
	for i, c := range everyCommand() {
		data, err := EncodeCommand(start, c)
		if err != nil {
			f.Fatalf("encode %T: %v", c, err)
		}
		f.Add(s.Apply(uint64(i+1), data))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeResult(data)
		if err != nil {
			return
		}
		again, err := DecodeResult(encodeResult(r))
		if diff := cmp.Diff(r, again); diff != "" || err != nil {
			t.Fatalf("result differs after encoding, error %v (-first +second):\n%s", err, diff)
		}
	})
}
