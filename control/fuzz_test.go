package control

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against bytes that crash a replica or a proposer, that one replica accepts and another does
// not, or that decode to a command that is encoded differently.
func FuzzApply(f *testing.F) {
	for _, step := range everyCommand() {
		data, err := EncodeCommand(start, step.command)
		if err != nil {
			f.Fatalf("encode %T: %v", step.command, err)
		}
		f.Add(data)
		f.Add(encodeResult(step.want))
	}
	f.Add([]byte{0x93, 0x00, 0xcd, 0x03, 0xe7, 0xc4, 0x00}) // A type of a newer version.
	f.Fuzz(func(t *testing.T, data []byte) {
		a, b := New(), New()
		d := newDriver(t, a, b)
		for _, step := range everyCommand()[:12] {
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
		// A well-formed command may be one that a proposer refuses.
		if again, err := EncodeCommand(stamp, c); err == nil {
			if _, second, err := DecodeCommand(again); err != nil || !cmp.Equal(c, second) {
				t.Fatalf("command %+v became %+v, error %v", c, second, err)
			}
		}
	})
}

// Guards against a snapshot that crashes a replica, that is accepted but bears no commands, or that
// gives other bytes than it was read from a second time.
func FuzzRestore(f *testing.F) {
	s := New()
	d := newDriver(f, s)
	f.Add(snapshotOf(f, s))
	for _, step := range everyCommand() {
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
		for _, step := range everyCommand() {
			d.do(step.command)
		}
	})
}
