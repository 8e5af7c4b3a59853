package record

import (
	"encoding/json"
	"fmt"
)

// defaultWeight is the weight of an approval in schema 1, which has no weight field.
const defaultWeight = 1

// toV2 converts the approval to schema 2. Schema 1 has no burst field and lets a team send the
// requests of one second at once, so the burst equals the rate.
func (a *ApprovalV1) toV2() *ApprovalV2 {
	return &ApprovalV2{
		Upstream: a.Upstream, Team: a.Team, Classes: a.Classes,
		RatePerSecond: a.RatePerSecond, Burst: a.RatePerSecond, Weight: defaultWeight,
	}
}

// toV1 converts the approval to schema 1. It rejects values that schema 1 cannot represent, because
// dropping them silently would change what the team may do.
func (a *ApprovalV2) toV1() (*ApprovalV1, error) {
	if a.Burst != a.RatePerSecond {
		return nil, fieldErrorf("spec.burst", "%d differs from rate_per_second; schema 1 cannot represent it", a.Burst)
	}
	if a.Weight != defaultWeight {
		return nil, fieldErrorf("spec.weight", "%d is not %d; schema 1 cannot represent it", a.Weight, defaultWeight)
	}

	return &ApprovalV1{Upstream: a.Upstream, Team: a.Team, Classes: a.Classes, RatePerSecond: a.RatePerSecond}, nil
}

// upgradeSpec converts a spec to the newest schema version of its kind.
func upgradeSpec(s Spec) Spec {
	if a, ok := s.(*ApprovalV1); ok {
		return a.toV2()
	}

	return s
}

// Migrate converts an encoded spec to another schema version of its kind. It returns data unchanged
// if both versions are equal, and rejects versions that this program does not support.
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
	out := upgradeSpec(spec)
	if a, ok := out.(*ApprovalV2); ok && to == 1 {
		if out, err = a.toV1(); err != nil {
			return nil, err
		}
	}
	migrated, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode %s in schema %d: %w", k, to, err)
	}

	return migrated, nil
}
