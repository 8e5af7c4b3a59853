package ident

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against class names that requests can send but the parser does not accept.
func TestParseClass(t *testing.T) {
	tests := map[string]struct {
		name string
		want Class
		bad  bool
	}{
		"urgent":  {name: "urgent", want: ClassUrgent},
		"normal":  {name: "normal", want: ClassNormal},
		"batch":   {name: "batch", want: ClassBatch},
		"default": {name: "", want: ClassNormal},
		"unknown": {name: "soon", bad: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := ParseClass(tc.name)
			if (err != nil) != tc.bad {
				t.Fatalf("ParseClass(%q) error = %v, want error %v", tc.name, err, tc.bad)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("class differs (-want +got):\n%s", diff)
			}
		})
	}
}
