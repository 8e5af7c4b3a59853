package record

import "slices"

// Setting names a value that operators change at run time.
type Setting string

// The settings. Units are part of the name.
const (
	SettingInFlightPerNode     Setting = "in_flight_per_node"
	SettingQueuePerSearcher    Setting = "queue_per_searcher"
	SettingHedgeBudgetPercent  Setting = "hedge_budget_percent"
	SettingHedgePercentile     Setting = "hedge_percentile"
	SettingPartialMarginMS     Setting = "partial_margin_ms"
	SettingAddressKeepSeconds  Setting = "address_keep_seconds"
	SettingRetryAfterMS        Setting = "retry_after_ms"
	SettingAnswerLimit         Setting = "answer_limit"
	SettingHarmlessFingerprint Setting = "harmless_fingerprints"
)

type settingRange struct{ least, top, byDefault int64 }

// settings gives the bounds and the value without a record. The defaults are those of the design.
var settings = map[Setting]settingRange{
	SettingInFlightPerNode:     {1, 100000, 512},
	SettingQueuePerSearcher:    {0, 1024, 16},
	SettingHedgeBudgetPercent:  {0, 50, 5},
	SettingHedgePercentile:     {50, 99, 95},
	SettingPartialMarginMS:     {0, 1000, 5},
	SettingAddressKeepSeconds:  {1, 60, 5},
	SettingRetryAfterMS:        {1, 60000, 100},
	SettingAnswerLimit:         {1, 10000, 1000},
	SettingHarmlessFingerprint: {0, 1000000, 65536},
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

// Bounds returns the least and greatest value of a setting and its value without a record.
func (s Setting) Bounds() (least, top, byDefault int64, ok bool) {
	r, ok := settings[s]
	return r.least, r.top, r.byDefault, ok
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
