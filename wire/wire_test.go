package wire

import (
	"encoding/json"
	"errors"
	"math"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/tinylib/msgp/msgp"
)

// fill sets every field reachable from v to a non-zero value.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 3, 3))
		for i := range v.Len() {
			fill(v.Index(i))
		}
	case reflect.String:
		v.SetString("kilimanjaro")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(math.Pi)
	case reflect.Uint8:
		v.SetUint(200)
	case reflect.Uint32:
		v.SetUint(math.MaxUint32 - 1)
	case reflect.Uint64:
		v.SetUint(math.MaxUint64 - 1)
	case reflect.Int, reflect.Int64:
		v.SetInt(math.MinInt64 + 1)
	default:
		panic("no value for " + v.Type().String())
	}
}

func allMessages() []Message {
	var all []Message
	for k := range 256 {
		if m := newMessage(Kind(k)); m != nil {
			all = append(all, m)
		}
	}

	return all
}

// Guards against a field that the generated codec omits, a kind that decodes to the wrong type, a declared kind that Decode
// does not support, and truncated frames that are accepted.
func TestEveryMessageRoundTrips(t *testing.T) {
	all := allMessages()
	if diff := cmp.Diff(int(KindUsageGrant), len(all)); diff != "" {
		t.Errorf("number of kinds differs (-declared +decoded):\n%s", diff)
	}
	for _, m := range all {
		fill(reflect.ValueOf(m))
		frame, err := Encode(m)
		if err != nil {
			t.Fatalf("encode %T: %v", m, err)
		}
		got, err := Decode(frame)
		if err != nil {
			t.Fatalf("decode %T: %v", m, err)
		}
		if diff := cmp.Diff(m, got); diff != "" {
			t.Errorf("%T differs (-sent +received):\n%s", m, diff)
		}
		for cut := range frame {
			if _, err := Decode(frame[:cut]); err == nil {
				t.Errorf("%T truncated to %d of %d bytes was accepted", m, cut, len(frame))
			}
		}
	}
}

// Guards against decoding errors on fields that a later version adds.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	b := []byte{Version, byte(KindSuspect)}
	b = msgp.AppendMapHeader(b, 3)
	b = msgp.AppendString(b, "later")
	b = msgp.AppendArrayHeader(b, 1)
	b = msgp.AppendString(b, "value")
	b = msgp.AppendString(b, "fp")
	b = msgp.AppendUint64(b, 7)
	b = msgp.AppendString(b, "al")
	b = msgp.AppendBool(b, true)
	got, err := Decode(b)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Message(&Suspect{Fingerprint: 7, Alone: true}), got); diff != "" {
		t.Errorf("message differs (-want +got):\n%s", diff)
	}
}

// Guards against oversized or malformed frames that are accepted.
func TestFrameLimits(t *testing.T) {
	valid, err := Encode(&Raft{From: "n1"})
	if err != nil {
		t.Fatal(err)
	}
	hits := append(msgp.AppendMapHeader([]byte{Version, byte(KindShardReply)}, 1), 0xa1, 'h')
	tests := map[string]struct {
		frame []byte
		want  error
	}{
		"empty":         {frame: nil, want: ErrMalformed},
		"header only":   {frame: []byte{Version, byte(KindRaft)}, want: ErrMalformed},
		"version":       {frame: []byte{Version + 1, byte(KindRaft), 0x80}, want: ErrVersion},
		"kind zero":     {frame: []byte{Version, 0, 0x80}, want: ErrKind},
		"kind unknown":  {frame: []byte{Version, 255, 0x80}, want: ErrKind},
		"trailing byte": {frame: append(valid, 0), want: ErrMalformed},
		"too large":     {frame: make([]byte, MaxFrameBytes+1), want: ErrTooLarge},
		"array header":  {frame: msgp.AppendArrayHeader(hits, math.MaxUint32), want: ErrMalformed},
		"wrong type":    {frame: []byte{Version, byte(KindSuspect), 0x90}, want: ErrMalformed},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := Decode(tc.frame); !errors.Is(err, tc.want) {
				t.Errorf("Decode error = %v, want %v", err, tc.want)
			}
		})
	}
	for name, m := range map[string]Message{
		"data":    &Raft{Data: make([]byte, MaxFrameBytes)},
		"strings": &Announced{Error: strings.Repeat("x", MaxFrameBytes)},
	} {
		if _, err := Encode(m); !errors.Is(err, ErrTooLarge) {
			t.Errorf("Encode(%s) error = %v, want %v", name, err, ErrTooLarge)
		}
	}
	if _, err := Encode(&ShardReply{Hits: make([]Hit, 16385)}); err == nil {
		t.Error("Encode accepted more hits than Decode does")
	}
	if frame, err := Encode(&Raft{Data: make([]byte, MaxFrameBytes-64)}); err != nil {
		t.Errorf("Encode just below the limit: %v", err)
	} else if _, err := Decode(frame); err != nil {
		t.Errorf("Decode just below the limit: %v", err)
	}
}

// Guards against panics, and against messages that change when decoded and encoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range allMessages() {
		empty, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(empty)
		fill(reflect.ValueOf(m))
		full, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(full)
	}
	f.Add([]byte{Version, byte(KindRenew), 0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, frame []byte) {
		m, err := Decode(frame)
		if err != nil {
			return
		}
		again, err := Encode(m)
		if errors.Is(err, ErrTooLarge) {
			return
		}
		if err != nil {
			t.Fatalf("encode a decoded %T: %v", m, err)
		}
		got, err := Decode(again)
		if err != nil {
			t.Fatalf("decode the second frame of %T: %v", m, err)
		}
		if diff := cmp.Diff(m, got, cmpopts.EquateEmpty(), cmpopts.EquateNaNs()); diff != "" {
			t.Errorf("%T differs (-first +second):\n%s", m, diff)
		}
	})
}

func benchReply() *ShardReply {
	r := &ShardReply{
		RequestID: "0190f5a4-7c1e-7000-8000-000000000001", Attempt: 3, Shard: "fair-gate-2", Snapshot: 41,
		Status: ShardAnswered, Load: Load{InFlight: 2, Queued: 1, Slots: 3, LatencyMicros: 6200},
	}
	for i := range 10 {
		doc, _ := json.Marshal(strings.Repeat("x", 198))
		r.Hits = append(r.Hits, Hit{ID: "document-" + string(rune('a'+i)), Score: 0.5 + float64(i), Document: doc})
	}

	return r
}

// BenchmarkShardReply compares codecs on a reply of 10 hits of 200 bytes each.
func BenchmarkShardReply(b *testing.B) {
	type codec struct {
		enc func(*ShardReply) ([]byte, error)
		dec func([]byte) error
	}
	codecs := map[string]codec{
		"msgp": {
			enc: func(r *ShardReply) ([]byte, error) { return Encode(r) },
			dec: func(d []byte) error { _, err := Decode(d); return err },
		},
		"cbor": {
			enc: func(r *ShardReply) ([]byte, error) { return cbor.Marshal(r) },
			dec: func(d []byte) error { return cbor.Unmarshal(d, &ShardReply{}) },
		},
		"json": {
			enc: func(r *ShardReply) ([]byte, error) { return json.Marshal(r) },
			dec: func(d []byte) error { return json.Unmarshal(d, &ShardReply{}) },
		},
	}
	r := benchReply()
	for name, c := range codecs {
		frame, err := c.enc(r)
		if err != nil {
			b.Fatal(err)
		}
		b.Run("encode/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.enc(r); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(frame)), "frame_bytes")
		})
		b.Run("decode/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := c.dec(frame); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
