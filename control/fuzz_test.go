package control

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against input that crashes a replica or a proposer, that one replica accepts and another
// rejects, or that decodes to a command or result which does not survive encoding and decoding.
func FuzzApply(f *testing.F) {
	for _, step := range allCommands() {
		data, err := EncodeCommand(start, step.command)
		if err != nil {
			f.Fatalf("encode %T: %v", step.command, err)
		}
		f.Add(data)
		f.Add(encodeResult(step.want))
	}
	f.Add([]byte{0x93, 0x00, 0xcd, 0x03, 0xe7, 0xc4, 0x00}) // A command type of a newer version.
	f.Fuzz(func(t *testing.T, data []byte) {
		a, b := New(), New()
		d := newDriver(t, a, b)
		for _, step := range allCommands()[:12] {
			d.do(step.command)
		}
		if x, y := a.Apply(100, data), b.Apply(100, bytes.Clone(data)); !bytes.Equal(x, y) {
			t.Fatalf("results differ: %x and %x", x, y)
		}
		if a.Unsupported() == 0 && !bytes.Equal(snapshotOf(t, a), snapshotOf(t, b)) {
			t.Fatal("replicas differ")
		}
		if r, err := DecodeResult(data); err == nil {
			if again, err := DecodeResult(encodeResult(r)); err != nil || !cmp.Equal(r, again) {
				t.Fatalf("result %+v became %+v, error %v", r, again, err)
			}
		}
		stamp, c, err := DecodeCommand(data)
		if err != nil {
			return
		}
		// Decoding does not validate, so a decoded command may be rejected here.
		if again, err := EncodeCommand(stamp, c); err == nil {
			if _, second, err := DecodeCommand(again); err != nil || !cmp.Equal(c, second) {
				t.Fatalf("command %+v became %+v, error %v", c, second, err)
			}
		}
	})
}

// Guards against a snapshot that crashes a replica, that is accepted but yields a state on which
// commands fail, or whose restored state does not survive a second snapshot and restore.
func FuzzRestore(f *testing.F) {
	s := New()
	d := newDriver(f, s)
	f.Add(snapshotOf(f, s))
	for _, step := range allCommands() {
		d.do(step.command)
		f.Add(snapshotOf(f, s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		first, second := New(), New()
		if first.Restore(data) != nil || first.AppliedIndex() > 1<<62 {
			return
		}
		want := snapshotOf(t, first)
		if err := second.Restore(want); err != nil || !bytes.Equal(want, snapshotOf(t, second)) {
			t.Fatalf("the second snapshot differs, error %v", err)
		}
		d := newDriver(t, first, second)
		for _, step := range allCommands() {
			d.do(step.command)
		}
	})
}
