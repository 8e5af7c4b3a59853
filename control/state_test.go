package control

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/uuid"

	"fulmarfall/claim"
	"fulmarfall/configuration"
	"fulmarfall/conviction"
	"fulmarfall/ident"
	"fulmarfall/record"
	"fulmarfall/registry"
)

var start = time.Unix(1767323045, 0)

// driver applies the same commands to several states and checks that their results are equal.
type driver struct {
	t      testing.TB
	now    time.Time
	index  uint64
	states []*State
}

func newDriver(t testing.TB, states ...*State) *driver {
	return &driver{t: t, now: start, index: states[0].AppliedIndex(), states: states}
}

func (d *driver) do(c Command) Result {
	d.t.Helper()
	data, err := EncodeCommand(d.now, c)
	if err != nil {
		d.t.Fatalf("encode %T: %v", c, err)
	}
	d.index++
	first := d.states[0].Apply(d.index, data)
	for i, s := range d.states[1:] {
		if got := s.Apply(d.index, data); !bytes.Equal(first, got) {
			d.t.Errorf("result of replica %d for %T differs from that of replica 0", i+1, c)
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

func keyAt(at time.Time, n int) claim.Key {
	id := uuid.UUID{6: 0x70, 8: 0x80, 13: byte(n >> 16), 14: byte(n >> 8), 15: byte(n)}
	for i := range 6 {
		id[i] = byte(at.UnixMilli() >> (40 - 8*i))
	}

	return claim.Key{Team: "front-office", ID: id}
}

func putSetting(revision ident.Revision, op string, value int) PutRecord {
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

type step struct {
	command Command
	want    Result
}

// allCommands returns a sequence of commands with every type and the results that it has when it is
// applied to an empty state.
func allCommands() []step {
	put, k := putSetting(1, "op-1", 20), keyAt(start, 1)
	stored := func(r record.Record) Result {
		r.Kind, r.Name, r.Schema = put.Kind, put.Name, put.Schema
		return RecordResult{record.Result{Status: record.StatusStored, Record: r}}
	}
	granted := ClaimResult{claim.Result{Verdict: claim.Granted, Since: start}}

	return []step{
		{put, stored(record.Record{Revision: 1, Spec: put.Spec, Index: 1})},
		{WithdrawRecord{Kind: put.Kind, Name: put.Name, Revision: 2, Operation: "op-2"}, stored(record.Record{Revision: 2, Withdrawn: true, Index: 2})},
		{ClaimKey{Key: k, Token: "a", Body: claim.BodyHash{1}}, granted},
		{ReleaseClaim{Key: k, Token: "a"}, DoneResult{Done: true}},
		{ClaimKey{Key: k, Token: "b", Body: claim.BodyHash{1}}, granted},
		{SettleClaim{Key: k, Token: "a"}, DoneResult{}},
		{SettleClaim{Key: k, Token: "b", HasAnswer: true, Answer: []byte("ok")}, DoneResult{Done: true}},
		{ClaimKey{Key: k, Token: "c", Body: claim.BodyHash{1}}, ClaimResult{claim.Result{Verdict: claim.Done, HasAnswer: true, Answer: []byte("ok"), Since: start}}},
		{AddStrike{Fingerprint: 9}, StrikeResult{State: conviction.Suspect, Strikes: 1}},
		{ClearSuspect{Fingerprint: 9, Strikes: 1}, DoneResult{Done: true}},
		{AddStrike{Fingerprint: 9, Exclusive: true}, StrikeResult{State: conviction.Convicted, Strikes: 1}},
		{RegisterSearcher{announcement("s1")}, RegistryResult{}},
		{UpdateSearcher{announcement("s1")}, RegistryResult{}},
		{AssignOwner{Searcher: "s1", Owner: "n1", Incarnation: 4}, RegistryResult{Epoch: 1}},
		{MoveOwner{Searcher: "s1", Epoch: 1, To: "n2"}, RegistryResult{}},
		{ReleaseOwner{Searcher: "s1", Epoch: 1}, RegistryResult{}},
		{AssignOwner{Searcher: "s1", Epoch: 1, Owner: "n2", Incarnation: 5}, RegistryResult{Epoch: 2}},
		{MarkCold{Searcher: "s1", Epoch: 2, Cold: true}, RegistryResult{}},
		{MarkCold{Searcher: "s1", Epoch: 2}, RegistryResult{}},
		{RemoveSearcher{Searcher: "s1", Incarnation: 1}, RegistryResult{}},
		{AdvanceClock{}, DoneResult{Done: true}},
		{BeginTrial{Fingerprint: 9, Token: "a", Duration: time.Second}, DoneResult{}},
		{BeginTrial{Fingerprint: 8, Token: "a", Duration: time.Second}, DoneResult{Done: true}},
		{BeginTrial{Fingerprint: 8, Token: "b", Duration: time.Second}, DoneResult{}},
		{EndTrial{Fingerprint: 8, Token: "b"}, DoneResult{}},
		{EndTrial{Fingerprint: 8, Token: "a"}, DoneResult{Done: true}},
		{BeginTrial{Fingerprint: 8, Token: "b", Duration: time.Second}, DoneResult{Done: true}},
		{PutConfiguration{Version: 7, Document: []byte("seven")}, DoneResult{Done: true}},
		{PutConfiguration{Version: 7, Document: []byte("other")}, DoneResult{}},
		{PutConfiguration{Version: 3, Document: []byte("three")}, DoneResult{}},
	}
}

// encodeFormat1 encodes a snapshot in format 1, which has no configuration document.
func encodeFormat1(t *testing.T, s *State) []byte {
	t.Helper()
	h := header{Format: 1, Claims: true, Index: s.index, ClockNano: s.clock.UnixNano()}
	for _, e := range s.convictions.Entries() {
		h.Convictions = append(h.Convictions, convictionBody{
			Fingerprint: uint64(e.Fingerprint), State: uint8(e.State), Strikes: e.Strikes,
			LastNano: e.Last.UnixNano(), ExpiresNano: e.Expires.UnixNano(),
		})
	}
	for _, trial := range s.convictions.Trials() {
		h.Trials = append(h.Trials, trialBody{Fingerprint: uint64(trial.Fingerprint), Token: trial.Token, Nano: trial.Ends.UnixNano()})
	}
	var data []byte
	for _, p := range []marshaler{&h, s.records.Image(true), s.registry.Image(), s.claims.Image()} {
		var err error
		if data, err = p.MarshalMsg(data); err != nil {
			t.Fatalf("encode: %v", err)
		}
	}

	return data
}

// Guards against a program that cannot read a snapshot of format 1, and against a snapshot that omits
// the configuration document.
func TestSnapshotFormats(t *testing.T) {
	s := New()
	d := newDriver(t, s)
	for _, step := range allCommands() {
		if _, ok := step.command.(PutConfiguration); !ok {
			d.want(step.command, step.want)
		}
	}
	old := encodeFormat1(t, s)
	sum := sha256.Sum256(old)
	if diff := cmp.Diff("c041b50c2310a24f", hex.EncodeToString(sum[:8])); diff != "" {
		t.Fatalf("encoding differs from that of the version that wrote format 1 (-want +got):\n%s", diff)
	}
	restored := New()
	if err := restored.Restore(old); err != nil {
		t.Fatalf("restore format 1: %v", err)
	}
	if diff := cmp.Diff(snapshotOf(t, s), snapshotOf(t, restored)); diff != "" {
		t.Errorf("state restored from format 1 differs (-want +got):\n%s", diff)
	}

	d.want(PutConfiguration{Version: 7, Document: []byte("seven")}, DoneResult{Done: true})
	for name, snapshot := range map[string]func() ([]byte, error){"voter": s.Snapshot, "node": s.NodeSnapshot} {
		data, err := snapshot()
		if err != nil {
			t.Fatalf("%s: snapshot: %v", name, err)
		}
		copied := New(WithoutClaims())
		if err := copied.Restore(data); err != nil {
			t.Fatalf("%s: restore: %v", name, err)
		}
		copied.View(func(v View) {
			if diff := cmp.Diff(configuration.Document{Version: 7, Content: []byte("seven")}, v.Configuration()); diff != "" {
				t.Errorf("%s: configuration differs (-want +got):\n%s", name, diff)
			}
		})
	}
}

// Guards against a command type that is encoded, decoded or applied as another one, a field that is
// lost when the leader restamps a command, and a change of the encodings: replicas of two versions
// must be able to decode each other's commands and snapshots. A new encoding needs a new command type
// or snapshot format.
func TestEveryCommand(t *testing.T) {
	s := New()
	d := newDriver(t, s)
	var all, beforeConfiguration []byte
	for _, step := range allCommands() {
		d.want(step.command, step.want)
		if _, ok := step.command.(PutConfiguration); ok && beforeConfiguration == nil {
			beforeConfiguration = all
		}
		data, err := EncodeCommand(start, step.command)
		if err != nil {
			t.Fatalf("encode %T: %v", step.command, err)
		}
		other, err := EncodeCommand(start.Add(time.Hour), step.command)
		if err != nil {
			t.Fatalf("encode %T: %v", step.command, err)
		}
		if again, err := Restamp(start, other); err != nil || !bytes.Equal(data, again) {
			t.Errorf("restamped %T is %x, want %x; error %v", step.command, again, data, err)
		}
		all = append(all, data...)
	}
	for name, tc := range map[string]struct {
		data []byte
		want string
	}{
		"commands before configurations": {beforeConfiguration, "5bd9b091f043c2ef"},
		"commands":                       {all, "cd44341e7a35127e"},
		"snapshot":                       {snapshotOf(t, s), "2e820e64d256b462"},
	} {
		sum := sha256.Sum256(tc.data)
		if diff := cmp.Diff(tc.want, hex.EncodeToString(sum[:8])); diff != "" {
			t.Errorf("encoding of the %s has changed (-want +got):\n%s", name, diff)
		}
	}
}
