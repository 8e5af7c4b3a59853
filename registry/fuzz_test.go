package registry

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against announced bytes that crash a node or, once accepted, cannot be registered, kept in
// an image and read again.
func FuzzDecodeAnnouncement(f *testing.F) {
	for _, held := range [][]string{{"a"}, {"a", "b"}, {}} {
		a := announce("s1", 1, 7)
		for _, id := range held {
			a.Snapshots[0].Held = append(a.Snapshots[0].Held, a.Snapshots[0].Shards[len(id)-1].ID)
		}
		data, err := json.Marshal(a)
		if err != nil {
			f.Fatalf("encode: %v", err)
		}
		f.Add(data)
	}
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
		again, err := FromImage(r.Image())
		if err != nil {
			t.Fatalf("image of an accepted announcement: %v", err)
		}
		if diff := cmp.Diff(r.Image(), again.Image()); diff != "" {
			t.Fatalf("image differs (-want +got):\n%s", diff)
		}
	})
}
