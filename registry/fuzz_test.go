package registry

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against announcements that crash a node or that, once registered, cannot be restored from an
// image.
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
			return // Decoding does not check that the held shards belong to the snapshot.
		}
		if restored, err := FromImage(r.Image()); err != nil || !cmp.Equal(r.Image(), restored.Image()) {
			t.Fatalf("the registry restored from its image differs from the original, error %v", err)
		}
	})
}
