package control

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/uuid"

	"fulmarfall/claim"
	"fulmarfall/conviction"
	"fulmarfall/ident"
	"fulmarfall/record"
	"fulmarfall/registry"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// driver applies commands to states in step and checks that their results agree.
type driver struct {
	t      testing.TB
	now    time.Time
	index  uint64
	states []*State
}

func newDriver(t testing.TB, states ...*State) *driver {
	return &driver{t: t, now: start, states: states}
}

func (d *driver) do(c Command) Result {
	d.t.Helper()
	data, err := EncodeCommand(d.now, c)
	if err != nil {
		d.t.Fatalf("encode %T: %v", c, err)
	}
	d.index++
	var first []byte
	for i, s := range d.states {
		got := s.Apply(d.index, data)
		if i == 0 {
			first = got
		} else if !bytes.Equal(first, got) {
			d.t.Errorf("replica %d answers %T with other bytes than replica 0", i, c)
		}
	}
	r, err := DecodeResult(first)
	if err != nil {
		d.t.Fatalf("decode result of %T: %v", c, err)
	}

	return r
}

func (d *driver) want(c Command, want Result) {
	d.t.Helper()
	if diff := cmp.Diff(want, d.do(c)); diff != "" {
		d.t.Errorf("result of %T differs (-want +got):\n%s", c, diff)
	}
}

func snapshotOf(t testing.TB, s *State) []byte {
	t.Helper()
	data, err := s.Snapshot()
	if err != nil {
		t.Fatalf("snapshot: %v", err)
	}

	return data
}

func keyAt(at time.Time, n byte) claim.Key {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: n}
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}

	return claim.Key{Team: "front-office", ID: id}
}

func setting(revision ident.Revision, op string, value int) PutRecord {
	return PutRecord{
		Kind: record.KindSetting, Name: string(record.SettingQueuePerSearcher), Schema: 1, Revision: revision,
		Operation: ident.OperationID(op), Spec: fmt.Appendf(nil, `{"value": %d}`, value),
	}
}

func announcement(id string) registry.Announcement {
	return registry.Announcement{
		Upstream: "stock-ledger", Searcher: ident.SearcherID(id), Incarnation: 1, Address: "127.0.0.1:9000",
		FailureDomain: "iasi", Region: "moldova", Slots: 3, Connections: 40,
		Snapshots: []registry.Snapshot{{
			ID: 7, Shards: []registry.Shard{{ID: "a", Documents: 10}, {ID: "b", Documents: 5}}, Held: []ident.ShardID{"a"},
		}},
	}
}

// Guards against a command type that is encoded, decoded or applied as another one, and against
// replicas, restored or not, that differ after the same commands.
func TestPlainCommands(t *testing.T) {
	d := newDriver(t, New(), New())
	put := setting(1, "op-1", 20)
	d.want(put, RecordResult{record.Result{Status: record.StatusStored, Record: record.Record{
		Kind: put.Kind, Name: put.Name, Schema: 1, Revision: 1, Spec: put.Spec,
	}}})
	d.want(WithdrawRecord{Kind: put.Kind, Name: put.Name, Revision: 2, Operation: "op-2"},
		RecordResult{record.Result{Status: record.StatusStored, Record: record.Record{
			Kind: put.Kind, Name: put.Name, Schema: 1, Revision: 2, Withdrawn: true,
		}}})
	k := keyAt(start, 1)
	since := time.Unix(0, start.UnixNano())
	d.want(ClaimKey{Key: k, Token: "a"}, ClaimResult{claim.Result{Verdict: claim.Granted, Since: since}})
	d.want(ReleaseClaim{Key: k, Token: "a"}, DoneResult{Done: true})
	d.want(ClaimKey{Key: k, Token: "b"}, ClaimResult{claim.Result{Verdict: claim.Granted, Since: since}})
	d.want(SettleClaim{Key: k, Token: "b", HasAnswer: true, Answer: []byte("ok")}, DoneResult{Done: true})
	d.want(ClaimKey{Key: k, Token: "c"},
		ClaimResult{claim.Result{Verdict: claim.Done, HasAnswer: true, Answer: []byte("ok"), Since: since}})
	d.want(AddStrike{Fingerprint: 9}, StrikeResult{State: conviction.Suspect, Strikes: 1})
	d.want(ClearSuspect{Fingerprint: 9, Strikes: 1}, DoneResult{Done: true})
	d.want(AddStrike{Fingerprint: 9, Alone: true}, StrikeResult{State: conviction.Convicted, Strikes: 1})
	d.want(RegisterSearcher{announcement("s1")}, RegistryResult{})
	d.want(UpdateSearcher{announcement("s1")}, RegistryResult{})
	d.want(AssignOwner{Searcher: "s1", Owner: "n1", Incarnation: 4}, RegistryResult{Epoch: 1})
	d.want(MoveOwner{Searcher: "s1", Epoch: 1, To: "n2"}, RegistryResult{})
	d.want(ReleaseOwner{Searcher: "s1", Epoch: 1}, RegistryResult{})
	d.want(AssignOwner{Searcher: "s1", Epoch: 1, Owner: "n2", Incarnation: 5}, RegistryResult{Epoch: 2})
	d.want(RemoveSearcher{Searcher: "s1", Incarnation: 1}, RegistryResult{})

	data := snapshotOf(t, d.states[0])
	restored := New()
	if err := restored.Restore(data); err != nil {
		t.Fatalf("restore: %v", err)
	}
	for i, s := range []*State{d.states[1], restored} {
		if !bytes.Equal(data, snapshotOf(t, s)) {
			t.Errorf("state %d has another snapshot", i)
		}
	}
}
