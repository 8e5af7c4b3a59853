package ident

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a parser that rejects valid class names or accepts unknown ones.
func TestParseClass(t *testing.T) {
	tests := map[string]struct {
		name    string
		want    Class
		wantErr bool
	}{
		"urgent":  {name: "urgent", want: ClassUrgent},
		"normal":  {name: "normal", want: ClassNormal},
		"batch":   {name: "batch", want: ClassBatch},
		"default": {name: "", want: ClassNormal},
		"unknown": {name: "soon", wantErr: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := ParseClass(tc.name)
			if (err != nil) != tc.wantErr {
				t.Fatalf("ParseClass(%q) error = %v, want error %v", tc.name, err, tc.wantErr)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("class differs (-want +got):\n%s", diff)
			}
		})
	}
}
