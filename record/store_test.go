package record

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fulmarfall/ident"
)

const queue = string(SettingQueuePerSearcher)

func put(revision ident.Revision, op string, value int) *Change {
	return &Change{
		Kind: KindSetting, Name: queue, Schema: 1, Revision: revision, Operation: ident.OperationID(op),
		Spec: fmt.Appendf(nil, `{"value": %d}`, value),
	}
}

func withdraw(revision ident.Revision, op string) *Change {
	return &Change{Kind: KindSetting, Name: queue, Revision: revision, Operation: ident.OperationID(op), Withdraw: true}
}

// restoreFromImage encodes a store and restores it, as a snapshot and its restore do.
func restoreFromImage(t testing.TB, s *Store, results bool) *Store {
	t.Helper()
	data, err := s.Image(results).MarshalMsg(nil)
	if err != nil {
		t.Fatalf("encode image: %v", err)
	}
	img := new(Image)
	if _, err := img.UnmarshalMsg(data); err != nil {
		t.Fatalf("decode image: %v", err)
	}
	out, err := FromImage(img)
	if err != nil {
		t.Fatalf("restore image: %v", err)
	}

	return out
}

// Guards against two changes that are both accepted with one revision, the loss of an acknowledged
// change, and a resend that does not get the original result, also after a restore.
func TestConcurrentOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore()
		results := map[ident.OperationID]Result{}
		changes := map[ident.OperationID]*Change{}
		var last Record
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				var err error
				if s, err = FromImage(s.Image(true)); err != nil {
					t.Fatal(err)
				}
			}
			op := ident.OperationID(fmt.Sprintf("op-%d", rapid.IntRange(0, i).Draw(t, "operation")))
			c := changes[op]
			if c == nil {
				// Operators may have read a stale revision or send a wrong one.
				read := max(0, int(last.Revision)+rapid.IntRange(-2, 2).Draw(t, "read"))
				c = put(ident.Revision(read+1), string(op), i)
				if rapid.IntRange(0, 4).Draw(t, "withdraw") == 0 {
					c = withdraw(c.Revision, string(op))
				}
				changes[op] = c
			}
			got := s.Apply(c)
			if first, repeated := results[op]; repeated {
				first.Repeated = true
				if diff := cmp.Diff(first, got); diff != "" {
					t.Fatalf("result of the resend of %s differs (-first +resend):\n%s", op, diff)
				}

				continue
			}
			results[op] = got
			if got.Status == StatusStored {
				if got.Record.Revision != last.Revision+1 {
					t.Fatalf("revision %d follows %d", got.Record.Revision, last.Revision)
				}
				last = got.Record
			} else if c.Revision == last.Revision+1 && (!c.Withdraw || last.Revision > 0 && !last.Withdrawn) {
				t.Fatalf("change of the next revision is refused: %s", got.Status)
			}
			current, _ := s.Get(KindSetting, queue)
			if diff := cmp.Diff(last, current); diff != "" && last.Revision > 0 {
				t.Fatalf("record differs from the last one acknowledged (-want +got):\n%s", diff)
			}
		}
	})
}

// Guards against a delayed copy of an old put that restores a withdrawn record, whether or not its
// operation id is still retained, and against a put that does not continue the revision sequence.
func TestLateResendOfWithdrawnRecord(t *testing.T) {
	s := NewStore()
	first := s.Apply(put(1, "op-1", 20))
	s.Apply(withdraw(2, "op-2"))
	late := s.Apply(put(1, "op-1", 20))
	first.Repeated = true
	if diff := cmp.Diff(first, late); diff != "" {
		t.Errorf("result of a resend with a retained id differs (-first +resend):\n%s", diff)
	}
	for i := range MaxOperations {
		s.Apply(&Change{Kind: KindSetting, Name: "other", Schema: 1, Revision: 9, Operation: ident.OperationID(fmt.Sprint(i)), Spec: []byte(`{}`)})
	}
	if len(s.ops) != MaxOperations || len(s.opOrder) != MaxOperations {
		t.Errorf("%d operations are retained, want %d", len(s.ops), MaxOperations)
	}
	tombstone := Record{Kind: KindSetting, Name: queue, Schema: 1, Revision: 2, Withdrawn: true}
	for name, revision := range map[string]ident.Revision{"same operation": 1, "equal to the tombstone": 2} {
		want := Result{Status: StatusConflict, Record: tombstone}
		if diff := cmp.Diff(want, s.Apply(put(revision, "op-1"+name, 20))); diff != "" {
			t.Errorf("%s: result differs (-want +got):\n%s", name, diff)
		}
	}
	if got, ok := s.Setting(SettingQueuePerSearcher); ok {
		t.Errorf("setting is %d after the withdrawal, want none", got)
	}
	if got := s.Apply(withdraw(3, "op-4")); got.Status != StatusNothingToWithdraw {
		t.Errorf("withdrawal of a tombstone: %s", got.Status)
	}
	got := s.Apply(put(3, "op-3", 30))
	if value, ok := s.Setting(SettingQueuePerSearcher); got.Status != StatusStored || !ok || value != 30 {
		t.Errorf("put after the tombstone: %s", got.Status)
	}
}

// Guards against an operation id that is accepted again with different content, and against a resend
// that is taken for different content because its JSON is formatted differently.
func TestOperationContent(t *testing.T) {
	tests := map[string]struct {
		change *Change
		want   Status
	}{
		"same":              {put(1, "op-1", 20), StatusStored},
		"other white space": {&Change{Kind: KindSetting, Name: queue, Schema: 1, Revision: 1, Operation: "op-1", Spec: []byte(`{"value":20}`)}, StatusStored},
		"other value":       {put(1, "op-1", 21), StatusOperationReused},
		"other revision":    {put(2, "op-1", 20), StatusOperationReused},
		"withdrawal":        {withdraw(1, "op-1"), StatusOperationReused},
		"other schema":      {&Change{Kind: KindSetting, Name: queue, Schema: 2, Revision: 1, Operation: "op-1", Spec: []byte(`{"value": 20}`)}, StatusOperationReused},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewStore()
			s.Apply(put(1, "op-1", 20))
			for _, results := range []bool{true, false} {
				if got := restoreFromImage(t, s, results).Apply(tc.change); got.Status != tc.want {
					t.Errorf("status %s, want %s (with results: %v)", got.Status, tc.want, results)
				}
			}
		})
	}
}

// Guards against a watch that misses or repeats a change or a withdrawal, also after a restore.
func TestChangedSince(t *testing.T) {
	s := NewStore()
	for i, c := range []*Change{
		put(1, "op-1", 1),
		{Kind: KindFailureDomain, Name: "dar", Schema: 1, Revision: 1, Operation: "op-2", Spec: []byte(`{}`)},
		put(2, "op-3", 2), put(2, "op-4", 3), withdraw(3, "op-5"), put(1, "op-1", 1),
	} {
		c.Index = uint64(10 * (i + 1))
		s.Apply(c)
	}
	s = restoreFromImage(t, s, false)
	for after, want := range map[uint64]string{0: "dar 1 20, queue_per_searcher 3 50, ", 20: "queue_per_searcher 3 50, ", 50: ""} {
		got := ""
		for _, r := range s.ChangedSince(after) {
			got += fmt.Sprintf("%s %d %d, ", r.Name, r.Revision, r.Index)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("changes after %d differ (-want +got):\n%s", after, diff)
		}
	}
}

// Guards against unbounded growth of specs or retained results, and against a replica without
// results that evicts operations at a different log index than a replica with them.
func TestStoreBounds(t *testing.T) {
	big := func(i int, revision ident.Revision) *Change {
		return &Change{
			Kind: KindUpstream, Name: fmt.Sprintf("u%d", i), Schema: 9, Revision: revision,
			Operation: ident.OperationID(fmt.Sprint(revision, i)), Spec: make([]byte, MaxSpecBytes),
		}
	}
	s, full := NewStore(), 0
	for i := range MaxSpecBytesTotal/MaxSpecBytes + 10 {
		if s.Apply(big(i, 1)).Status == StatusFull {
			full++
		}
	}
	if s.specBytes != MaxSpecBytesTotal || full != 10 {
		t.Errorf("%d bytes of specs, %d changes refused", s.specBytes, full)
	}
	withoutResults := restoreFromImage(t, s, false)
	for i := range 100 {
		s.Apply(big(i, 2))
		withoutResults.Apply(big(i, 2))
	}
	if s.opBytes > MaxOperationBytes {
		t.Errorf("%d bytes of results", s.opBytes)
	}
	with, err := s.Image(false).MarshalMsg(nil)
	without, err2 := withoutResults.Image(false).MarshalMsg(nil)
	if err != nil || err2 != nil || !bytes.Equal(with, without) {
		t.Errorf("stores with and without results differ; errors %v, %v", err, err2)
	}
}
