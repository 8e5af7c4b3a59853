package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fulmarfall/ident"
)

func shardsOf(ids ...ident.ShardID) []Shard {
	list := make([]Shard, 0, len(ids))
	for i, id := range ids {
		list = append(list, Shard{ID: id, Documents: ident.Documents(10 * (i + 1))})
	}

	return list
}

// announce returns an announcement of a searcher that serves the held shards of a snapshot with the
// shards a and b.
func announce(id ident.SearcherID, inc ident.Incarnation, snapshot ident.SnapshotID, held ...ident.ShardID) *Announcement {
	return &Announcement{
		Upstream: "fair-gate", Searcher: id, Incarnation: inc, Address: "127.0.0.1:9000", FailureDomain: "iasi",
		Region: "moldova", Slots: 3, Connections: 40,
		Snapshots: []Snapshot{{ID: snapshot, Shards: shardsOf("a", "b"), Held: held}},
	}
}

func mustRegister(t testing.TB, r *Registry, a *Announcement) {
	t.Helper()
	if err := r.Register(a); err != nil {
		t.Fatalf("register %s: %v", a.Searcher, err)
	}
}

func mustRemove(t testing.TB, r *Registry, id ident.SearcherID) {
	t.Helper()
	if err := r.Remove(id, 1); err != nil {
		t.Fatalf("remove %s: %v", id, err)
	}
}

// Guards against invalid announcements in the replicated state, and against errors that do not name
// the field.
func TestAnnouncementErrorsNameTheField(t *testing.T) {
	tests := map[string]struct {
		change func(*Announcement)
		want   string
	}{
		"upstream":      {func(a *Announcement) { a.Upstream = "fair gate" }, "upstream: "},
		"searcher":      {func(a *Announcement) { a.Searcher = "" }, "searcher: "},
		"domain":        {func(a *Announcement) { a.FailureDomain = "" }, "failure_domain: "},
		"region":        {func(a *Announcement) { a.Region = "-" }, "region: "},
		"incarnation":   {func(a *Announcement) { a.Incarnation = 0 }, "incarnation: 0 is outside 1 to"},
		"host name":     {func(a *Announcement) { a.Address = "localhost:80" }, "address: "},
		"no port":       {func(a *Announcement) { a.Address = "127.0.0.1:0" }, "address: "},
		"slots":         {func(a *Announcement) { a.Slots = 0 }, "slots: 0 is outside 1 to 1024"},
		"connections":   {func(a *Announcement) { a.Connections = MaxConnections + 1 }, "connections: 100001 is outside"},
		"cold rate":     {func(a *Announcement) { a.ColdRatePerSecond = MaxColdRatePerSecond + 1 }, "cold_rate_per_second: "},
		"snapshot":      {func(a *Announcement) { a.Snapshots[0].ID = 0 }, "snapshots[0].id: "},
		"same snapshot": {func(a *Announcement) { a.Snapshots = append(a.Snapshots, a.Snapshots[0]) }, "snapshots[1].id: 7 occurs twice"},
		"too many":      {func(a *Announcement) { a.Snapshots = make([]Snapshot, MaxAnnouncedSnapshots+1) }, "snapshots: has 17 entries"},
		"shard":         {func(a *Announcement) { a.Snapshots[0].Shards[1].ID = "" }, "snapshots[0].shards[1].id: "},
		"same shard":    {func(a *Announcement) { a.Snapshots[0].Shards[1].ID = "a" }, `snapshots[0].shards[1].id: "a" occurs twice`},
		"documents":     {func(a *Announcement) { a.Snapshots[0].Shards[0].Documents = MaxDocuments + 1 }, "snapshots[0].shards[0].documents: "},
		"held twice":    {func(a *Announcement) { a.Snapshots[0].Held = []ident.ShardID{"a", "a"} }, `snapshots[0].held[1]: "a" occurs twice`},
		"not a shard":   {func(a *Announcement) { a.Snapshots[0].Held = []ident.ShardID{"c"} }, `snapshots[0].held[0]: "c" is not a shard`},
		"no shards":     {func(a *Announcement) { a.Snapshots[0].Shards = nil }, "snapshots[0].shards: is empty"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			a := announce("s1", 1, 7, "a")
			tc.change(a)
			r := New()
			err := r.Register(a)
			if !errors.Is(err, ErrInvalid) || !strings.HasPrefix(err.Error(), tc.want) {
				t.Errorf("error is %v, want %s", err, tc.want)
			}
			if diff := cmp.Diff(New().Image(), r.Image()); diff != "" {
				t.Errorf("a refused announcement changed the registry:\n%s", diff)
			}
		})
	}
	a := announce("s1", 1, 7, "a")
	data, err := json.Marshal(a)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	got, err := DecodeAnnouncement(data)
	if diff := cmp.Diff(a, got); diff != "" || err != nil {
		t.Errorf("decoded announcement differs, error %v (-want +got):\n%s", err, diff)
	}
	if _, err := DecodeAnnouncement([]byte(`{"upstream":"u","slotz":1}`)); err == nil || !strings.HasPrefix(err.Error(), "slotz: ") {
		t.Errorf("unknown field: %v", err)
	}
}

// Guards against a delayed announcement of an older incarnation, or for another upstream, that
// replaces the current entry, and against a delayed update that undoes a removal.
func TestOlderIncarnationNeverReplacesNewer(t *testing.T) {
	r := New()
	mustRegister(t, r, announce("s1", 5, 7, "a"))
	other := announce("s1", 6, 7, "a")
	other.Upstream = "stock-ledger"
	for name, tc := range map[string]struct{ err, want error }{
		"older":          {r.Register(announce("s1", 4, 7, "a")), ErrOldIncarnation},
		"older update":   {r.Update(announce("s1", 4, 7, "a")), ErrOldIncarnation},
		"newer update":   {r.Update(announce("s1", 6, 7, "a")), ErrOldIncarnation},
		"older removal":  {r.Remove("s1", 4), ErrOldIncarnation},
		"other upstream": {r.Register(other), ErrOtherUpstream},
		"removal":        {r.Remove("s1", 5), nil},
	} {
		if !errors.Is(tc.err, tc.want) {
			t.Errorf("%s: error %v, want %v", name, tc.err, tc.want)
		}
	}
	if err := r.Update(announce("s1", 5, 7, "a")); !errors.Is(err, ErrUnknownSearcher) {
		t.Errorf("update after the removal: %v", err)
	}
	if err := r.Register(announce("s1", 4, 7, "a")); !errors.Is(err, ErrOldIncarnation) {
		t.Errorf("older incarnation after the removal: %v", err)
	}
	if !r.WouldChange(announce("s1", 5, 7, "a")) {
		t.Error("the return of a removed searcher is not reported as a change")
	}
	mustRegister(t, r, announce("s1", 5, 7, "a"))
	if s, _ := r.Searcher("s1"); s.Removed || r.WouldChange(announce("s1", 5, 7, "a")) {
		t.Error("the searcher is still removed, or an equal announcement is reported as a change")
	}
}

// Guards against a document total that shrinks when searchers fail, a shard list that changes while
// the snapshot id stays the same, and shard maps that are pruned too early or never.
func TestShardMapRetention(t *testing.T) {
	r := New()
	mustRegister(t, r, announce("s1", 1, 7, "a"))
	mustRegister(t, r, announce("s2", 1, 7, "b"))
	before, _ := r.ShardMap("fair-gate", 7)
	mustRemove(t, r, "s1")
	mustRemove(t, r, "s2")
	want := &ShardMap{Snapshot: 7, Shards: shardsOf("a", "b"), Complete: true}
	if after, _ := r.ShardMap("fair-gate", 7); !cmp.Equal(want, after) || !cmp.Equal(want, before) || after.Documents() != 30 {
		t.Errorf("shard map after the removal of all searchers: %+v", after)
	}
	changed := announce("s3", 1, 7, "a")
	changed.Snapshots[0].Shards = shardsOf("a")
	if err := r.Register(changed); !errors.Is(err, ErrShardListMismatch) {
		t.Errorf("different shard list for the same snapshot: %v", err)
	}
	if _, ok := r.Searcher("s3"); ok {
		t.Error("the refused searcher is in the registry")
	}

	// The order of shards is irrelevant, and a list that is already stored can be omitted.
	same := announce("s3", 1, 7, "a")
	same.Snapshots[0].Shards = []Shard{{ID: "b", Documents: 20}, {ID: "a", Documents: 10}}
	reduced := r.OmitStoredShardLists(*same)
	if len(reduced.Snapshots[0].Shards) != 0 || len(same.Snapshots[0].Shards) != 2 {
		t.Error("the stored shard list is not omitted, or the argument is modified")
	}
	mustRegister(t, r, &reduced)

	// s3 keeps announcing snapshot 7; s1 and s2 announce newer ones, all of them complete except 9.
	for id := ident.SnapshotID(8); id <= 13; id++ {
		mustRegister(t, r, announce("s1", 1, id, "a"))
		if id != 9 {
			mustRegister(t, r, announce("s2", 1, id, "b"))
		}
	}
	ids := func() string {
		var list []string
		for _, m := range r.ShardMaps("fair-gate") {
			list = append(list, fmt.Sprint(m.Snapshot, m.Complete))
		}

		return strings.Join(list, " ")
	}
	if diff := cmp.Diff("13 true 12 true 11 true 10 true 7 true", ids()); diff != "" {
		t.Errorf("kept snapshots differ (-want +got):\n%s", diff)
	}
	mustRemove(t, r, "s3")
	if diff := cmp.Diff("13 true 12 true 11 true 10 true", ids()); diff != "" {
		t.Errorf("kept snapshots after the removal of s3 differ (-want +got):\n%s", diff)
	}
}

// Guards against two owners at one epoch, a reused epoch, a delayed command of an earlier epoch that
// takes effect, an owner that is dropped while it may still send, and an owner that may send again
// after its move or removal has started.
func TestOwnerChangesRequireCurrentEpoch(t *testing.T) {
	ownership := func(s Searcher) [4]any { return [4]any{s.Owner, s.Epoch, s.Move, s.MoveTo} }
	rapid.Check(t, func(t *rapid.T) {
		r := New()
		last := ident.Epoch(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := ident.SearcherID(rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "searcher"))
			epoch := ident.Epoch(rapid.IntRange(0, 8).Draw(t, "epoch"))
			before, after := Searcher{}, Searcher{}
			if s, ok := r.Searcher(id); ok {
				before = *s
			}
			next, err := ident.Epoch(0), error(nil)
			action := rapid.IntRange(0, 5).Draw(t, "action")
			switch action {
			case 0:
				_ = r.Register(announce(id, ident.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")), 7, "a"))
			case 1:
				_ = r.Remove(id, before.Incarnation)
			case 2:
				err = r.MoveOwner(id, epoch, "n2")
			case 3:
				err = r.ReleaseOwner(id, epoch)
			case 4:
				if next, err = r.AssignOwner(id, epoch, "n1", 1); err == nil && next <= last {
					t.Fatalf("epoch %d follows %d", next, last)
				}
				last = max(last, next)
			case 5:
				if r, err = FromImage(r.Image()); err != nil {
					t.Fatal(err)
				}
			}
			if s, ok := r.Searcher(id); ok {
				after = *s
			}
			changed := ownership(before) != ownership(after)
			if changed && action != 1 && (action < 2 || action > 4 || err != nil || before.Epoch != epoch) {
				t.Fatalf("action %d of epoch %d with error %v has changed %+v to %+v", action, epoch, err, before, after)
			}
			if before.Owner != "" && before.Owner != after.Owner && action == 2 {
				t.Fatalf("the owner of %+v is dropped", before)
			}
			// An owner whose move has started may have a release in flight. It must not send again in
			// the same epoch, because the delayed release could take effect while it sends.
			stopped := before.Owner != "" && (before.Move != MoveNone || before.Removed)
			if stopped && after.Epoch == before.Epoch && after.OwnedBy("n1", 1) {
				t.Fatalf("the owner of %+v may send again in %+v", before, after)
			}
		}
	})
}
