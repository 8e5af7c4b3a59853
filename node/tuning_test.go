package node

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/ident"
	"fulmarfall/record"
)

// Guards against a run-time setting that has no effect, and against one that stays in effect after its record is withdrawn.
func TestTuningFollowsRecords(t *testing.T) {
	five := 5
	cfg := Config{MaxInFlight: 40, QueuePerSearcher: 8, HedgePercent: &five}
	file := tuning{inFlight: 40, queuePerSearcher: 8, hedgePercent: 5, hedgePercentile: 95}

	tests := map[string]struct {
		setting record.Setting
		value   int
		want    tuning
	}{
		"in flight":  {record.SettingInFlightPerNode, 7, tuning{7, 8, 5, 95}},
		"queue":      {record.SettingQueuePerSearcher, 3, tuning{40, 3, 5, 95}},
		"budget":     {record.SettingHedgeBudgetPercent, 0, tuning{40, 8, 0, 95}},
		"percentile": {record.SettingHedgePercentile, 90, tuning{40, 8, 5, 90}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := record.NewStore()
			change := record.Change{
				Kind: record.KindSetting, Name: string(tc.setting), Schema: 1, Revision: 1, Operation: "put",
				Spec: fmt.Appendf(nil, `{"value": %d}`, tc.value),
			}
			if r := s.Apply(&change); r.Status != record.StatusStored {
				t.Fatalf("put: %v", r.Status)
			}
			if diff := cmp.Diff(tc.want, cfg.tuningOf(s), cmp.AllowUnexported(tuning{})); diff != "" {
				t.Errorf("effective values differ (-want +got):\n%s", diff)
			}
			s.Apply(&record.Change{
				Kind: record.KindSetting, Name: string(tc.setting), Revision: ident.Revision(2), Operation: "end", Withdraw: true,
			})
			if diff := cmp.Diff(file, cfg.tuningOf(s), cmp.AllowUnexported(tuning{})); diff != "" {
				t.Errorf("values after the withdrawal differ (-want +got):\n%s", diff)
			}
		})
	}
}
