package record

import "slices"

// Setting names a value that operators change at run time.
type Setting string

// The settings. Units are part of the name.
const (
	SettingInFlightPerNode    Setting = "in_flight_per_node"
	SettingQueuePerSearcher   Setting = "queue_per_searcher"
	SettingHedgeBudgetPercent Setting = "hedge_budget_percent"
	SettingHedgePercentile    Setting = "hedge_percentile"
)

type settingRange struct{ least, top int64 }

// settings gives the bounds. Without a record, the settings file of each node holds.
var settings = map[Setting]settingRange{
	SettingInFlightPerNode:    {1, 100000},
	SettingQueuePerSearcher:   {1, 1024},
	SettingHedgeBudgetPercent: {0, 50},
	SettingHedgePercentile:    {50, 99},
}

// Settings lists the names in order.
func Settings() []Setting {
	names := make([]Setting, 0, len(settings))
	for name := range settings {
		names = append(names, name)
	}
	slices.Sort(names)

	return names
}

func (s *SettingV1) validate(name string) error {
	if err := checkDescription(s.Description); err != nil {
		return err
	}
	r, ok := settings[Setting(name)]
	if !ok {
		return fieldErrorf("value", "%q is not a setting", name)
	}

	return checkRange("value", s.Value, r.least, r.top)
}
