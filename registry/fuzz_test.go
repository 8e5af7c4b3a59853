package registry

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against announced bytes that crash a node or, once accepted, cannot be registered, kept in
// an image and read again.
func FuzzDecodeAnnouncement(f *testing.F) {
	data, err := json.Marshal(announce("s1", 1, 7, "a"))
	if err != nil {
		f.Fatalf("encode: %v", err)
	}
	f.Add(data)
	f.Add([]byte(`{"snapshots":[{"id":1,"held":null}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := DecodeAnnouncement(data)
		if err != nil {
			return
		}
		r := New()
		if r.Register(a) != nil {
			return // The shards held need not be shards of the snapshot.
		}
		if again, err := FromImage(r.Image()); err != nil || !cmp.Equal(r.Image(), again.Image()) {
			t.Fatalf("the image of an accepted announcement does not restore it, error %v", err)
		}
	})
}
