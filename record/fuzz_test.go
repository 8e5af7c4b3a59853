package record

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a spec that crashes the decoder, that changes when it is decoded, encoded and
// decoded again, or that is accepted although it is not valid JSON.
func FuzzDecodeSpec(f *testing.F) {
	for _, spec := range []string{approvalV1, approvalV2, `{"value":20}`, `{"region":"pwani","in_service":true}`, `{"keys":[` + mustHash(f, testKey) + `]}`, `[`, `{"value":1}{`} {
		for i := range Kinds {
			f.Add(byte(i), byte(1), []byte(spec))
		}
		f.Add(byte(0), byte(2), []byte(spec))
		f.Add(byte(0), byte(3), []byte(spec))
	}
	names := map[Kind]string{KindApproval: "fair-gate.front-office", KindSetting: queue}
	f.Fuzz(func(t *testing.T, kind, schema byte, data []byte) {
		k := Kinds[int(kind)%len(Kinds)]
		name := names[k]
		if name == "" {
			name = "dar"
		}
		spec, err := DecodeSpec(k, name, Schema(schema), data)
		if err != nil {
			return
		}
		if !json.Valid(data) {
			t.Fatalf("accepted invalid JSON: %q", data)
		}
		if spec == nil {
			return
		}
		encoded, err := json.Marshal(spec)
		if err != nil {
			t.Fatalf("encode: %v", err)
		}
		decoded, err := DecodeSpec(k, name, Schema(schema), encoded)
		if err != nil || !cmp.Equal(spec, decoded) {
			t.Fatalf("%s was decoded again as %+v, error %v", encoded, decoded, err)
		}
	})
}
