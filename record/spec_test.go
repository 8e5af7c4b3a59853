package record

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/ident"
)

var testSalt = bytes.Repeat([]byte{7}, MinSaltBytes)

const (
	testKey    = "front-office.0123456789abcdef"
	approvalV1 = `{"upstream":"fair-gate","team":"front-office","classes":["normal"],"rate_per_second":50}`
	approvalV2 = `{"upstream":"fair-gate","team":"front-office","classes":["urgent","batch"],"rate_per_second":50,"burst":9,"weight":3}`
)

func mustHash(t testing.TB, key string) string {
	t.Helper()
	h, err := NewKeyHash(testSalt, key)
	if err != nil {
		t.Fatalf("hash key: %v", err)
	}

	return `{"salt":"` + h.Salt + `","hash":"` + h.Hash + `"}`
}

func mustPut(t testing.TB, s *Store, k Kind, name string, schema Schema, spec string) {
	t.Helper()
	cur, _ := s.Get(k, name)
	c := &Change{
		Kind: k, Name: name, Schema: schema, Revision: cur.Revision + 1, Spec: []byte(spec),
		Operation: ident.OperationID(string(k) + name + string(rune('a'+cur.Revision))),
	}
	if err := c.Validate(); err != nil {
		t.Fatalf("validate %s %s: %v", k, name, err)
	}
	if res := s.Apply(c); res.Status != StatusStored {
		t.Fatalf("put %s %s: %s", k, name, res.Status)
	}
}

// Guards against invalid specs that are accepted, and against errors that do not name the field.
func TestSpecErrorsNameTheField(t *testing.T) {
	tests := map[string]struct {
		kind Kind
		name string
		spec string
		want string
	}{
		"unknown field":    {KindSetting, queue, `{"value":1,"valeu":2}`, "spec.valeu: is not a known field"},
		"letter case":      {KindSetting, queue, `{"Value":1}`, "spec.Value: is not a known field"},
		"missing":          {KindSetting, queue, `{}`, "spec.value: is missing"},
		"duplicate field":  {KindSetting, queue, `{"value":1,"value":2}`, "spec.value: occurs twice"},
		"null":             {KindSetting, queue, `{"value":null}`, "spec.value: must be a number"},
		"fraction":         {KindSetting, queue, `{"value":1.5}`, "spec.value: 1.5 is not a 64-bit integer"},
		"out of range":     {KindSetting, queue, `{"value":-1}`, "spec.value: -1 is outside 1 to 1024"},
		"trailing":         {KindSetting, queue, `{"value":1} x`, "spec: data after the end of the document"},
		"not an object":    {KindSetting, queue, `[1]`, "spec: must be an object"},
		"truncated":        {KindSetting, queue, `{"value":1`, "spec: is not valid JSON"},
		"unknown setting":  {KindSetting, "no_such", `{"value":1}`, `spec.value: "no_such" is not a setting`},
		"nested":           {KindCallingTeam, "t", `{"keys":[{"salt":"00","hash":"00"}]}`, "spec.keys[0].salt: is not 16 to 64 bytes in hex"},
		"nested unknown":   {KindCallingTeam, "t", `{"keys":[{"sal":"00"}]}`, "spec.keys[0].sal: is not a known field"},
		"no keys":          {KindUpstream, "u", `{"announce_keys":[],"default_timeout_ms":5}`, "spec.announce_keys: has 0 entries; 1 to 16 are allowed"},
		"class":            {KindApproval, "u.t", `{"upstream":"u","team":"t","classes":["normal","soon"],"rate_per_second":1}`, `spec.classes[1]: "soon" is not one of urgent, normal, batch`},
		"duplicate class":  {KindApproval, "u.t", `{"upstream":"u","team":"t","classes":["batch","batch"],"rate_per_second":1}`, `spec.classes[1]: "batch" occurs twice`},
		"number overflow":  {KindApproval, "u.t", `{"upstream":"u","team":"t","classes":["batch"],"rate_per_second":4294967296}`, "spec.rate_per_second: 4294967296 is not a 32-bit unsigned integer"},
		"other name":       {KindApproval, "u.x", `{"upstream":"u","team":"t","classes":["batch"],"rate_per_second":1}`, `spec.team: the record is named "u.x", but upstream and team require "u.t"`},
		"name of approval": {KindApproval, "ut", `{}`, `name: "ut" is not of the form upstream.team`},
		"name":             {KindFailureDomain, "Dar/1", `{}`, `name: "Dar/1" must be 1 to 63 characters from a-z, 0-9, - and _`},
		"in service":       {KindFailureDomain, "dar", `{"region":"pwani"}`, "spec.in_service: is missing"},
		"kind":             {"searcher", "x", `{}`, `kind: "searcher" is not a record kind`},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := Change{Kind: tc.kind, Name: tc.name, Schema: 1, Revision: 1, Operation: "op", Spec: []byte(tc.spec)}
			err := c.Validate()
			if err == nil || !strings.HasPrefix(err.Error(), tc.want) {
				t.Errorf("error is %v, want %s", err, tc.want)
			}
		})
	}
}

// Guards against approvals that have different effects in the two schema versions while both are in
// use, and against a migration that silently drops a value.
func TestApprovalSchemasEquivalent(t *testing.T) {
	s := NewStore()
	mustPut(t, s, KindCallingTeam, "front-office", 1, `{"keys":[`+mustHash(t, testKey)+`]}`)
	mustPut(t, s, KindCallingTeam, "back-office", 1, `{"keys":[`+mustHash(t, "another key of a team")+`]}`)
	mustPut(t, s, KindUpstream, "fair-gate", 1, `{"announce_keys":[`+mustHash(t, "announce-key-0123")+`],"default_timeout_ms":75}`)
	mustPut(t, s, KindApproval, "fair-gate.front-office", 1, approvalV1)
	mustPut(t, s, KindApproval, "fair-gate.back-office", 2, strings.Replace(approvalV2, "front", "back", 1))
	s = restoreFromImage(t, s, true)
	want := map[ident.TeamID]Grant{
		"front-office": {classes: 1 << ident.ClassNormal, RatePerSecond: 50, Burst: 50, Weight: 1, Revision: 1},
		"back-office":  {classes: 1<<ident.ClassUrgent | 1<<ident.ClassBatch, RatePerSecond: 50, Burst: 9, Weight: 3, Revision: 1},
	}
	for team, grant := range want {
		got, _ := s.Approval(team, "fair-gate")
		if diff := cmp.Diff(grant, got, cmp.AllowUnexported(Grant{})); diff != "" {
			t.Errorf("approval of %s differs (-want +got):\n%s", team, diff)
		}
	}
	for key, team := range map[string]ident.TeamID{testKey: "front-office", "another key of a team": "back-office", testKey + "x": "", "": ""} {
		if got, ok := s.TeamByKey(key); got != team || ok != (team != "") {
			t.Errorf("key %q belongs to %q", key, got)
		}
	}
	if !s.AnnounceKeyValid("fair-gate", "announce-key-0123") || s.AnnounceKeyValid("fair-gate", testKey) {
		t.Error("a valid announce key is rejected or a team key is accepted")
	}

	up, err := Migrate(KindApproval, "fair-gate.front-office", 1, 2, []byte(approvalV1))
	if err != nil {
		t.Fatalf("migrate up: %v", err)
	}
	down, err := Migrate(KindApproval, "fair-gate.front-office", 2, 1, up)
	if err != nil {
		t.Fatalf("migrate down: %v", err)
	}
	if diff := cmp.Diff(approvalV1, string(down)); diff != "" {
		t.Errorf("approval differs after migration up and down (-want +got):\n%s", diff)
	}
	if out, err := Migrate(KindApproval, "fair-gate.front-office", 2, 1, []byte(approvalV2)); err == nil {
		t.Errorf("migration down drops weight and burst: %s", out)
	}
}

// Guards against a record in a newer schema version that is refused, changed or has any effect. The
// revision that it replaces must not remain in effect either.
func TestNewerSchemaGrantsNothing(t *testing.T) {
	s := NewStore()
	mustPut(t, s, KindCallingTeam, "front-office", 1, `{"keys":[`+mustHash(t, testKey)+`]}`)
	mustPut(t, s, KindUpstream, "fair-gate", 1, `{"announce_keys":[`+mustHash(t, "announce-key-0123")+`],"default_timeout_ms":75}`)
	mustPut(t, s, KindApproval, "fair-gate.front-office", 2, approvalV2)
	mustPut(t, s, KindSetting, queue, 1, `{"value":20}`)
	mustPut(t, s, KindFailureDomain, "dar", 1, `{"region":"pwani","in_service":true}`)
	if _, ok := s.Approval("front-office", "fair-gate"); !ok || !s.InService("dar") {
		t.Fatal("records in a supported schema have no effect")
	}
	newer := "{ \"later\": [1, 2.50] }"
	mustPut(t, s, KindApproval, "fair-gate.front-office", 3, newer)
	mustPut(t, s, KindFailureDomain, "dar", 2, newer)
	mustPut(t, s, KindSetting, queue, 2, newer)
	s = restoreFromImage(t, s, false)
	got, _ := s.Get(KindApproval, "fair-gate.front-office")
	want := Record{Kind: KindApproval, Name: "fair-gate.front-office", Schema: 3, Revision: 2, Spec: []byte(newer)}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("record differs (-want +got):\n%s", diff)
	}
	if g, ok := s.Approval("front-office", "fair-gate"); ok {
		t.Errorf("approval in a newer schema grants %+v", g)
	}
	if _, ok := s.Setting(SettingQueuePerSearcher); ok || s.InService("dar") || !s.InService("arusha") {
		t.Error("a failure domain or setting in a newer schema has an effect")
	}
	mustPut(t, s, KindCallingTeam, "front-office", 2, newer)
	if team, ok := s.TeamByKey(testKey); ok || s.HasTeam("front-office") {
		t.Errorf("key in a newer schema belongs to %q", team)
	}
}

// Guards against lenient decoding of the requests of operators, and against specs that are altered
// when they are stored or returned.
func TestDocuments(t *testing.T) {
	tests := map[string]struct{ body, want string }{
		"stored":         {`{"schema":1,"revision":1,"operation_id":"op","spec":{ "value": 20 }}`, `{"status":"stored","record":{"kind":"setting","name":"queue_per_searcher","schema":1,"revision":1,"spec":{"value":20}}}`},
		"conflict":       {`{"schema":1,"revision":2,"operation_id":"op","spec":{"value":20}}`, `{"status":"revision_conflict"}`},
		"newer":          {`{"schema":7,"revision":1,"operation_id":"op","spec":{"a":[1,{}]}}`, `{"status":"stored","record":{"kind":"setting","name":"queue_per_searcher","schema":7,"revision":1,"spec":{"a":[1,{}]}}}`},
		"no spec":        {`{"schema":1,"revision":1,"operation_id":"op"}`, "spec: is missing"},
		"null spec":      {`{"schema":1,"revision":1,"operation_id":"op","spec":null}`, "spec: must be an object"},
		"newer null":     {`{"schema":7,"revision":1,"operation_id":"op","spec":null}`, "spec: must be a JSON object"},
		"in the spec":    {`{"schema":1,"revision":1,"operation_id":"op","spec":{"value":-1}}`, "spec.value: -1 is outside 1 to 1024"},
		"no operation":   {`{"schema":1,"revision":1,"operation_id":"","spec":{"value":1}}`, "operation_id: has 0 bytes; 1 to 128 are allowed"},
		"no revision":    {`{"schema":1,"revision":0,"operation_id":"op","spec":{"value":1}}`, "revision: must be 1 or above"},
		"no schema":      {`{"schema":0,"revision":1,"operation_id":"op","spec":{"value":1}}`, "schema: must be 1 or above"},
		"truncated spec": {`{"schema":1,"revision":1,"operation_id":"op","spec":{"value":1`, "spec: is not valid JSON: unexpected EOF"},
	}
	for name, tc := range tests {
		c, err := DecodePut(KindSetting, queue, []byte(tc.body))
		got := ""
		if err != nil {
			got = err.Error()
		} else {
			res := NewStore().Apply(c)
			data, err := json.Marshal(res.Answer())
			if err != nil {
				t.Fatalf("%s: encode: %v", name, err)
			}
			got = string(data)
		}
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("%s: response differs (-want +got):\n%s", name, diff)
		}
	}
	if c, err := DecodeWithdraw(KindSetting, queue, []byte(`{"revision":2,"operation_id":"op"}`)); err != nil || !c.Withdraw || c.Revision != 2 {
		t.Errorf("withdrawal is %+v, error %v", c, err)
	}
}
