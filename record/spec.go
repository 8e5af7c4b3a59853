package record

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
	"time"

	"fulmarfall/ident"
)

// Kind is the type of an operator record.
type Kind string

// Kinds of records.
const (
	KindUpstream      Kind = "upstream"
	KindCallingTeam   Kind = "calling_team"
	KindApproval      Kind = "approval"
	KindFailureDomain Kind = "failure_domain"
	KindSetting       Kind = "setting"
)

// Kinds lists every kind in alphabetical order.
var Kinds = []Kind{KindApproval, KindCallingTeam, KindFailureDomain, KindSetting, KindUpstream}

// Schema is the schema version of a record's spec, starting at 1.
type Schema uint32

// Newest returns the newest schema version of a kind that this program supports, or 0 for an unknown
// kind.
func (k Kind) Newest() Schema {
	switch k {
	case KindApproval:
		return 2
	case KindUpstream, KindCallingTeam, KindFailureDomain, KindSetting:
		return 1
	default:
		return 0
	}
}

// Limits of the fields of specs.
const (
	MaxNameBytes        = 128
	MaxSpecBytes        = 64 << 10
	MaxKeys             = 16
	MaxTimeoutMS        = 600000
	MaxRatePerSecond    = 1000000
	MaxWeight           = 1000
	MaxDescriptionBytes = 1024
	// approvalSeparator separates the upstream from the team in the name of an approval. Neither
	// name can contain it, so each record name identifies exactly one pair.
	approvalSeparator = "."
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

// Spec is the decoded spec of a record in one schema version.
type Spec interface {
	validate(name string) error
	spec()
}

// UpstreamV1 is the spec of an upstream in schema 1.
type UpstreamV1 struct {
	Description string `json:"description,omitempty"`
	// AnnounceKeys are the hashes of the keys with which searchers authenticate their
	// announcements. Several keys can be valid at once, so that keys can be rotated without an
	// interruption.
	AnnounceKeys     []KeyHash `json:"announce_keys"`
	DefaultTimeoutMS uint32    `json:"default_timeout_ms"`
	// FullRatePerSecond is the request rate at which a searcher counts as warm; 0 means that it is
	// derived from observation.
	FullRatePerSecond uint32 `json:"full_rate_per_second,omitempty"`
}

// DefaultTimeout returns the timeout of requests that do not specify one.
func (u *UpstreamV1) DefaultTimeout() time.Duration {
	return time.Duration(u.DefaultTimeoutMS) * time.Millisecond
}

// AcceptsKey reports whether a key authorises announcements of searchers of the upstream.
func (u *UpstreamV1) AcceptsKey(key string) bool { return anyMatches(u.AnnounceKeys, key) }

// CallingTeamV1 is the spec of a calling team in schema 1.
type CallingTeamV1 struct {
	Description string    `json:"description,omitempty"`
	Keys        []KeyHash `json:"keys"`
}

// ApprovalV1 permits a calling team to use an upstream, in schema 1.
type ApprovalV1 struct {
	Upstream      ident.UpstreamID `json:"upstream"`
	Team          ident.TeamID     `json:"team"`
	Classes       []string         `json:"classes"`
	RatePerSecond uint32           `json:"rate_per_second"`
}

// ApprovalV2 is an approval in schema 2, which adds burst and weight.
type ApprovalV2 struct {
	Upstream      ident.UpstreamID `json:"upstream"`
	Team          ident.TeamID     `json:"team"`
	Classes       []string         `json:"classes"`
	RatePerSecond uint32           `json:"rate_per_second"`
	// Burst is the number of requests that the team may send at once.
	Burst uint32 `json:"burst"`
	// Weight is the team's share of a saturated node relative to other teams.
	Weight uint32 `json:"weight"`
}

// FailureDomainV1 specifies whether a failure domain is in service, in schema 1.
type FailureDomainV1 struct {
	Description string       `json:"description,omitempty"`
	Region      ident.Region `json:"region"`
	InService   bool         `json:"in_service"`
}

// SettingV1 is the value of a run-time setting in schema 1.
type SettingV1 struct {
	Description string `json:"description,omitempty"`
	Value       int64  `json:"value"`
}

func (*UpstreamV1) spec()      {}
func (*CallingTeamV1) spec()   {}
func (*ApprovalV1) spec()      {}
func (*ApprovalV2) spec()      {}
func (*FailureDomainV1) spec() {}
func (*SettingV1) spec()       {}

func newSpec(k Kind, schema Schema) Spec {
	switch {
	case k == KindUpstream && schema == 1:
		return new(UpstreamV1)
	case k == KindCallingTeam && schema == 1:
		return new(CallingTeamV1)
	case k == KindApproval && schema == 1:
		return new(ApprovalV1)
	case k == KindApproval && schema == 2:
		return new(ApprovalV2)
	case k == KindFailureDomain && schema == 1:
		return new(FailureDomainV1)
	case k == KindSetting && schema == 1:
		return new(SettingV1)
	default:
		return nil
	}
}

// DecodeSpec decodes and validates a spec. For a schema version that is newer than this program
// supports, it returns nil without an error and checks only that the spec is a JSON object within
// the size limit.
func DecodeSpec(k Kind, name string, schema Schema, data []byte) (Spec, error) {
	newest := k.Newest()
	switch {
	case newest == 0:
		return nil, fieldErrorf("kind", "%q is not a record kind", k)
	case schema == 0:
		return nil, fieldErrorf("schema", "must be 1 or above")
	case len(data) > MaxSpecBytes:
		return nil, fieldErrorf("spec", "has %d bytes; at most %d are allowed", len(data), MaxSpecBytes)
	}
	if err := checkName(k, name); err != nil {
		return nil, err
	}
	if schema > newest {
		var object map[string]json.RawMessage
		if err := json.Unmarshal(data, &object); err != nil || object == nil {
			return nil, fieldErrorf("spec", "must be a JSON object")
		}

		return nil, nil //nolint:nilnil // Both are nil for a newer schema, as documented.
	}
	spec := newSpec(k, schema)
	if err := DecodeStrict(data, spec); err != nil {
		return nil, addSpecPrefix(err)
	}
	if err := spec.validate(name); err != nil {
		return nil, addSpecPrefix(err)
	}

	return spec, nil
}

// addSpecPrefix prefixes the path of a field error with "spec", the field of the request that
// contains the spec.
func addSpecPrefix(err error) error {
	fe, ok := err.(*FieldError) //nolint:errorlint // The decoder does not wrap it.
	if !ok {
		return err
	}

	return &FieldError{Path: strings.TrimSuffix(joinPath("spec", fe.Path), "."), Text: fe.Text}
}

func checkName(k Kind, name string) error {
	parts := []string{name}
	if k == KindApproval {
		upstream, team, ok := strings.Cut(name, approvalSeparator)
		if !ok {
			return fieldErrorf("name", "%q is not of the form upstream.team", name)
		}
		parts = []string{upstream, team}
	}
	for _, p := range parts {
		if !namePattern.MatchString(p) {
			return fieldErrorf("name", "%q must be 1 to 63 characters from a-z, 0-9, - and _", p)
		}
	}

	return nil
}

func checkRange(path string, value, low, high int64) error {
	if value < low || value > high {
		return fieldErrorf(path, "%d is outside %d to %d", value, low, high)
	}

	return nil
}

func checkDescription(text string) error {
	if len(text) > MaxDescriptionBytes {
		return fieldErrorf("description", "has %d bytes; at most %d are allowed", len(text), MaxDescriptionBytes)
	}

	return nil
}

func checkKeys(path string, keys []KeyHash) error {
	if len(keys) == 0 || len(keys) > MaxKeys {
		return fieldErrorf(path, "has %d entries; 1 to %d are allowed", len(keys), MaxKeys)
	}
	for i := range keys {
		if err := keys[i].check(fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}

	return nil
}

func (u *UpstreamV1) validate(string) error {
	if err := checkDescription(u.Description); err != nil {
		return err
	}
	if err := checkKeys("announce_keys", u.AnnounceKeys); err != nil {
		return err
	}
	if err := checkRange("default_timeout_ms", int64(u.DefaultTimeoutMS), 1, MaxTimeoutMS); err != nil {
		return err
	}

	return checkRange("full_rate_per_second", int64(u.FullRatePerSecond), 0, MaxRatePerSecond)
}

func (c *CallingTeamV1) validate(string) error {
	if err := checkDescription(c.Description); err != nil {
		return err
	}

	return checkKeys("keys", c.Keys)
}

func (a *ApprovalV1) validate(name string) error {
	v2 := a.toV2()
	return v2.validate(name)
}

func (a *ApprovalV2) validate(name string) error {
	if want := ApprovalName(a.Upstream, a.Team); name != want {
		return fieldErrorf("team", "the record is named %q, but upstream and team require %q", name, want)
	}
	if len(a.Classes) == 0 {
		return fieldErrorf("classes", "is empty")
	}
	var seen classSet
	for i, text := range a.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		c, err := ident.ParseClass(text)
		if err != nil || text == "" {
			return fieldErrorf(path, "%q is not one of urgent, normal, batch", text)
		}
		if seen.has(c) {
			return fieldErrorf(path, "%q occurs twice", text)
		}
		seen |= 1 << c
	}
	if err := checkRange("rate_per_second", int64(a.RatePerSecond), 1, MaxRatePerSecond); err != nil {
		return err
	}
	if err := checkRange("burst", int64(a.Burst), 1, MaxRatePerSecond); err != nil {
		return err
	}

	return checkRange("weight", int64(a.Weight), 1, MaxWeight)
}

func (f *FailureDomainV1) validate(string) error {
	if err := checkDescription(f.Description); err != nil {
		return err
	}
	if !namePattern.MatchString(string(f.Region)) {
		return fieldErrorf("region", "%q must be 1 to 63 characters from a-z, 0-9, - and _", f.Region)
	}

	return nil
}

// ApprovalName returns the name of the approval record for an upstream and a team.
func ApprovalName(u ident.UpstreamID, t ident.TeamID) string {
	return string(u) + approvalSeparator + string(t)
}
