package main

import (
	"reflect"
	"testing"

	"fulmarfall/settings"
)

// Guards against a setting that is validated and documented but not passed on to the node.
func TestEverySettingReachesTheNode(t *testing.T) {
	base := nodeConfig(&settings.Settings{})

	for _, section := range []string{"Limits", "Timings", "Metrics"} {
		fields := reflect.TypeFor[settings.Settings]()
		f, _ := fields.FieldByName(section)

		for i := range f.Type.NumField() {
			s := &settings.Settings{}
			reflect.ValueOf(s).Elem().FieldByName(section).Field(i).SetInt(7)

			if reflect.DeepEqual(nodeConfig(s), base) {
				t.Errorf("%s.%s does not change the configuration of the node", section, f.Type.Field(i).Name)
			}
		}
	}
}
