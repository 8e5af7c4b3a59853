package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func examples(t testing.TB) []string {
	t.Helper()
	names, err := filepath.Glob("../examples/*/*.jsonc")
	if err != nil {
		t.Fatal(err)
	}

	return names
}

// Guards against examples that do not load, that disagree on the voters, or that use an address or
// id twice.
func TestExamplesLoad(t *testing.T) {
	filesPerFolder, used, voters := map[string]int{}, map[string]string{}, map[string][]Voter{}
	for _, name := range examples(t) {
		s, err := Load(name)
		if err != nil {
			t.Errorf("%s: %v", name, err)

			continue
		}
		folder := filepath.Dir(name)
		filesPerFolder[filepath.Base(folder)]++
		for _, key := range []string{s.HTTPAddress, s.QUICAddress, "id " + string(s.Node)} {
			if used[key] != "" {
				t.Errorf("%s and %s both use %s", name, used[key], key)
			}
			used[key] = name
		}
		if voters[folder] == nil {
			voters[folder] = s.Voters
		}
		if diff := cmp.Diff(voters[folder], s.Voters); diff != "" {
			t.Errorf("%s: voters differ from the first file of the folder:\n%s", name, diff)
		}
		if got, ok := s.Operator(filepath.Base(folder) + "-example-key"); !ok || got != s.OperatorKeys[0].Name {
			t.Errorf("%s: the documented operator key is not accepted", name)
		}
		if _, ok := s.Operator("other"); ok {
			t.Errorf("%s: another operator key is accepted", name)
		}
		if !filepath.IsAbs(s.Keys.KeyFile) && !strings.HasPrefix(s.Keys.KeyFile, folder) {
			t.Errorf("%s: key file %s is not in the folder of the settings", name, s.Keys.KeyFile)
		}
	}
	if diff := cmp.Diff(map[string]int{"kilimanjaro": 7, "cluj": 7}, filesPerFolder); diff != "" {
		t.Errorf("number of examples differs (-want +got):\n%s", diff)
	}
}

const minimalSettings = `{
  // A single voter.
  "node": "n1",
  "failure_domain": "dar",
  "region": "pwani",
  "http_address": "127.0.0.1:7400",
  "quic_address": "127.0.0.1:7401",
  "data_folder": "data",
  "voters": [{"node": "n1", "quic_address": "127.0.0.1:7401"}],
  "keys": {"ca_files": ["ca.pem"], "cert_file": "c.pem", "key_file": "k.pem"},
}`

// Guards against defaults that differ from the documentation.
func TestDefaults(t *testing.T) {
	s, err := Parse([]byte(minimalSettings))
	if err != nil {
		t.Fatal(err)
	}
	want := Timings{KeepSeconds: 5, DrainSeconds: 65}
	if diff := cmp.Diff(want, s.Timings); diff != "" {
		t.Errorf("timings differ (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]any{16, 5, "info", "127.0.0.1:7400", true}, []any{
		s.Limits.QueuePerSearcher, s.Limits.HedgePercent, s.Log.Level, s.AdvertiseHTTP, s.IsVoter(),
	}); diff != "" {
		t.Errorf("defaults differ (-want +got):\n%s", diff)
	}
	if got := s.Timings.KeepSeconds.Duration() + s.Limits.MaxTimeoutMS.Duration(); got != 65*time.Second {
		t.Errorf("durations add up to %v", got)
	}
}

// Guards against an error that is not detected, is reported without its field and line, or hides
// another error.
func TestParseErrors(t *testing.T) {
	change := func(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(minimalSettings) }
	tests := map[string]struct {
		text string
		want []string // "line path" of each error
	}{
		"syntax":         {text: `{"node": }`, want: []string{"0 "}},
		"not an object":  {text: `[]`, want: []string{"1 ", "1 node", "1 failure_domain", "1 region", "1 http_address", "1 quic_address", "1 voters", "1 keys.ca_files", "1 keys.cert_file", "1 keys.key_file"}},
		"unknown field":  {text: change(`"region"`, `"regoin": 1, "region"`), want: []string{"5 regoin"}},
		"unknown inside": {text: change(`"key_file"`, `"password": 1, "key_file"`), want: []string{"10 keys.password"}},
		"duplicate":      {text: change(`"region"`, `"node": "n1", "region"`), want: []string{"5 node"}},
		"null":           {text: change(`"pwani"`, `null`), want: []string{"5 region"}},
		"wrong types": {
			text: change(`"pwani"`, `7`, `"data",`, `"data", "join": "yes", "limits": [], "operator_keys": {},`),
			want: []string{"5 region", "8 join", "8 limits", "8 operator_keys"},
		},
		"range":       {text: change(`"data",`, `"data", "limits": {"max_in_flight": 0, "max_hits": 1.5, "send_queue": 99999999999999999999},`), want: []string{"8 limits.max_in_flight", "8 limits.max_hits", "8 limits.send_queue"}},
		"forms":       {text: change(`"dar"`, `"a b"`, `"127.0.0.1:7400"`, `"localhost:7400"`, `"ca.pem"`, `""`), want: []string{"4 failure_domain", "6 http_address", "10 keys.ca_files[0]"}},
		"port 0":      {text: change(`127.0.0.1:7400`, `127.0.0.1:0`), want: []string{"6 http_address"}},
		"unspecified": {text: change(`127.0.0.1:7400`, `0.0.0.0:7400`), want: []string{"6 advertise_http"}},
		"absent":      {text: change(`"node": "n1", "quic`, `"quic`), want: []string{"9 voters[0].node", "8 data_folder"}},
		"no voters":   {text: change(`{"node": "n1", "quic_address": "127.0.0.1:7401"}`, ``), want: []string{"9 voters", "8 data_folder"}},
		"voter twice": {text: change(`"voters": [`, `"voters": [{"node": "n1", "quic_address": "127.0.0.1:7401"},`), want: []string{"9 voters[1].node", "9 voters[1].quic_address", "9 voters"}},
		"voter elsewhere": {
			text: change(`{"node": "n1", "quic_address": "127.0.0.1:7401"}`, `{"node": "n1", "quic_address": "127.0.0.9:7401"}`),
			want: []string{"9 voters[0].quic_address"},
		},
		"voter without folder":  {text: change(`"data_folder": "data",`, ``), want: []string{"9 data_folder"}},
		"data folder, no voter": {text: change(`{"node": "n1"`, `{"node": "n2"`), want: []string{"8 data_folder"}},
		"joins":                 {text: change(`{"node": "n1"`, `{"node": "n2"`, `"data",`, `"data", "join": true,`)},
		"join without folder":   {text: change(`{"node": "n1"`, `{"node": "n2"`, `"data_folder": "data",`, `"join": true,`), want: []string{"8 join"}},
		"times": {
			text: change(`"data",`, `"data", "timings": {"heartbeat_ms": 100, "lease_term_ms": 2000, "renew_ms": 400, "drain_seconds": 1},`),
			want: []string{"8 timings.heartbeat_ms", "8 timings.lease_term_ms", "8 timings.renew_ms", "8 timings.drain_seconds"},
		},
		"timeouts": {text: change(`"data",`, `"data", "limits": {"default_timeout_ms": 1000, "max_timeout_ms": 70000},`), want: []string{"8 limits.default_timeout_ms", "1 timings.drain_seconds"}},
		"operators": {
			text: change(`"data",`, `"data", "operator_keys": [{"name": "o", "salt": "00", "hash": "XX"}, {"name": "o", "salt": "`+
				strings.Repeat("0", 32)+`", "hash": "`+strings.Repeat("0", 64)+`"}],`),
			want: []string{"8 operator_keys[0].salt", "8 operator_keys[0].hash", "8 operator_keys[1].name"},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(tc.text))
			var errs FieldErrors
			if err != nil && !errors.As(err, &errs) {
				t.Fatalf("error is not a FieldErrors: %v", err)
			}
			var got []string
			for _, f := range errs {
				got = append(got, fmt.Sprintf("%d %s", f.Line, f.Path))
				if f.Accepted == "" && f.Problem != "unknown field" || !strings.Contains(err.Error(), f.String()) {
					t.Errorf("error %q does not say what is accepted, or is missing from the error text", f)
				}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("errors differ (-want +got):\n%s\n%v", diff, err)
			}
		})
	}
	if _, err := Load("absent.jsonc"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("Load of a missing file: %v", err)
	}
}

// Guards against a reference that omits a field, describes it with values other than those in the
// code, or describes a field that no longer exists.
func TestReferenceIsComplete(t *testing.T) {
	page, err := os.ReadFile("../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	var got, want []Field
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(line, "|")
		if len(cells) != 8 || !strings.Contains(cells[1], "`") {
			continue
		}
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		if len(cells[6]) < 10 {
			t.Errorf("%s has no description", cells[1])
		}
		got = append(got, Field{Path: strings.Trim(cells[1], "`"), Type: cells[2], Unit: cells[3], Default: cells[4], Accepted: cells[5]})
	}
	want = Fields()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("reference differs (-code +page):\n%s", diff)
	}
}

// Guards against panics, and against accepted settings that violate a rule.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalSettings))
	for _, name := range examples(f) {
		data, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err != nil {
			if err.Error() == "" {
				t.Error("error without text")
			}

			return
		}
		if s.Node == "" || len(s.Voters) == 0 || s.Limits.MaxInFlight < 1 || s.Timings.DrainSeconds.Duration() < s.Limits.MaxTimeoutMS.Duration() {
			t.Errorf("settings violate a rule: %+v", s)
		}
	})
}
