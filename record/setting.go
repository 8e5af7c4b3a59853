package record

import "slices"

// Setting is the name of a value that operators can change at run time.
type Setting string

// Run-time settings. The unit is part of the name.
const (
	SettingInFlightPerNode    Setting = "in_flight_per_node"
	SettingQueuePerSearcher   Setting = "queue_per_searcher"
	SettingHedgeBudgetPercent Setting = "hedge_budget_percent"
	SettingHedgePercentile    Setting = "hedge_percentile"
)

type settingRange struct{ low, high int64 }

// settingRanges gives the valid range of each setting. Without a record, the value in the settings
// file of each node applies.
var settingRanges = map[Setting]settingRange{
	SettingInFlightPerNode:    {1, 100000},
	SettingQueuePerSearcher:   {1, 1024},
	SettingHedgeBudgetPercent: {0, 50},
	SettingHedgePercentile:    {50, 99},
}

// Settings returns the names of all settings in alphabetical order.
func Settings() []Setting {
	names := make([]Setting, 0, len(settingRanges))
	for name := range settingRanges {
		names = append(names, name)
	}
	slices.Sort(names)

	return names
}

func (s *SettingV1) validate(name string) error {
	if err := checkDescription(s.Description); err != nil {
		return err
	}
	r, ok := settingRanges[Setting(name)]
	if !ok {
		return fieldErrorf("value", "%q is not a setting", name)
	}

	return checkRange("value", s.Value, r.low, r.high)
}
