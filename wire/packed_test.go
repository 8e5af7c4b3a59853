package wire

import (
	"fmt"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/klauspost/compress/s2"
)

func followedWith(instances int) *Followed {
	f := &Followed{OK: true}
	for i := range instances {
		f.Instances = append(f.Instances, Instance{
			ID: fmt.Sprintf("i-%x", i*7919), Role: 1, Upstream: "stock", Address: fmt.Sprintf("10.0.%d.%d:8183", i/250, i%250),
			FailureDomain: "dar", Born: 1780818364052, Sequence: uint64(i), Capacity: 4,
		})
	}

	return f
}

// Guards against instances that are lost or changed by compression, and against compression that saves too little.
func TestPack(t *testing.T) {
	for name, tc := range map[string]struct {
		instances int
		ratio     int // minimum compression ratio
	}{
		"none":       {0, 1},
		"few":        {minPackedInstances - 1, 1},
		"full reply": {250, 3},
	} {
		t.Run(name, func(t *testing.T) {
			plain, err := Encode(followedWith(tc.instances))
			if err != nil {
				t.Fatal(err)
			}

			f := followedWith(tc.instances)
			if err := f.Pack(); err != nil {
				t.Fatalf("pack: %v", err)
			}

			packed, err := Encode(f)
			if err != nil {
				t.Fatal(err)
			}

			if len(packed)*tc.ratio > len(plain) {
				t.Errorf("%d bytes compressed, %d plain, want a ratio of at least %d", len(packed), len(plain), tc.ratio)
			}

			m, err := Decode(packed)
			if err != nil {
				t.Fatalf("decode: %v", err)
			}

			got, ok := m.(*Followed)
			if !ok {
				t.Fatalf("decoded a %T", m)
			}

			if err := got.Unpack(); err != nil {
				t.Fatalf("unpack: %v", err)
			}

			if diff := cmp.Diff(followedWith(tc.instances).Instances, got.Instances, cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("instances differ (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against corrupt data that decodes to wrong instances, and against small inputs that decompress to a huge size.
func TestUnpackCorruptData(t *testing.T) {
	f := followedWith(100)
	if err := f.Pack(); err != nil {
		t.Fatal(err)
	}

	for name, packed := range map[string][]byte{
		"not compressed": []byte("not compressed at all"),
		"truncated":      f.Packed[:len(f.Packed)/2],
		"too large":      s2.Encode(nil, make([]byte, maxUnpackedBytes+1)),
		"not a list":     s2.Encode(nil, []byte{0xc3}),
		"trailing bytes": s2.Encode(nil, []byte{0x90, 0x90}),
	} {
		t.Run(name, func(t *testing.T) {
			if err := (&Followed{Packed: packed}).Unpack(); !errors.Is(err, ErrPacked) {
				t.Errorf("error %v, want %v", err, ErrPacked)
			}
		})
	}
}

// Guards against input from another node that makes this one panic.
func FuzzUnpack(f *testing.F) {
	whole := followedWith(20)
	if err := whole.Pack(); err != nil {
		f.Fatal(err)
	}

	f.Add(whole.Packed)
	f.Add([]byte{})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, packed []byte) {
		m := &Followed{Packed: packed}
		if err := m.Unpack(); err != nil && !errors.Is(err, ErrPacked) {
			t.Errorf("error %v is not %v", err, ErrPacked)
		}
	})
}
