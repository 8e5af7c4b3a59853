package record

import (
	"encoding/json"
	"fmt"
)

// defaultWeight is the weight of an approval of schema 1, which has no such field.
const defaultWeight = 1

// up returns the approval in schema 2. A team of schema 1 may send the requests of one second at
// once, as it could before there was a burst field.
func (a *ApprovalV1) up() *ApprovalV2 {
	return &ApprovalV2{
		Upstream: a.Upstream, Team: a.Team, Classes: a.Classes,
		RatePerSecond: a.RatePerSecond, Burst: a.RatePerSecond, Weight: defaultWeight,
	}
}

// down returns the approval in schema 1. It refuses values that schema 1 cannot say, because a
// silent loss would change what the team may do.
func (a *ApprovalV2) down() (*ApprovalV1, error) {
	if a.Burst != a.RatePerSecond {
		return nil, fieldErrorf("spec.burst", "%d differs from rate_per_second; schema 1 cannot say it", a.Burst)
	}
	if a.Weight != defaultWeight {
		return nil, fieldErrorf("spec.weight", "%d is not %d; schema 1 cannot say it", a.Weight, defaultWeight)
	}

	return &ApprovalV1{Upstream: a.Upstream, Team: a.Team, Classes: a.Classes, RatePerSecond: a.RatePerSecond}, nil
}

// newestSpec returns a spec in the newest schema version of its kind.
func newestSpec(s Spec) Spec {
	if a, ok := s.(*ApprovalV1); ok {
		return a.up()
	}

	return s
}

// Migrate returns a spec in another schema version of its kind. It leaves a spec of that version
// already unchanged, and refuses versions that this program does not know.
func Migrate(k Kind, name string, from, to Schema, data []byte) ([]byte, error) {
	if from == to {
		return data, nil
	}
	spec, err := DecodeSpec(k, name, from, data)
	if err != nil {
		return nil, err
	}
	if spec == nil || to == 0 || to > k.Newest() {
		return nil, fieldErrorf("schema", "%s cannot be migrated from schema %d to %d", k, from, to)
	}
	out := newestSpec(spec)
	if a, ok := out.(*ApprovalV2); ok && to == 1 {
		if out, err = a.down(); err != nil {
			return nil, err
		}
	}
	migrated, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode %s in schema %d: %w", k, to, err)
	}

	return migrated, nil
}
