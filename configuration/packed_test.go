package configuration

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against documents that differ when operators read them back, including uncompressed ones stored by earlier
// releases.
func TestPacked(t *testing.T) {
	route := `{"name":"r-1","host":"a.example","prefix":"/one/"},`
	for name, plain := range map[string]string{
		"empty": "", "short": "{}", "only the format byte": "\x01", "many routes": `{"all":[` + strings.Repeat(route, 350) + `]}`,
	} {
		t.Run(name, func(t *testing.T) {
			p, err := Pack([]byte(plain))
			if err != nil {
				t.Fatal(err)
			}

			got, err := p.Unpack()
			if err != nil {
				t.Fatal(err)
			}

			if diff := cmp.Diff(plain, string(got)); diff != "" {
				t.Errorf("document differs (-want +got):\n%s", diff)
			}
		})
	}

	uncompressed := `{"version":7}`
	if got, err := Packed(uncompressed).Unpack(); err != nil || string(got) != uncompressed {
		t.Errorf("uncompressed document: got %q, %v", got, err)
	}
}

// Guards against a damaged document that crashes a process or exhausts its memory, and against undetected truncation.
func TestPackedDamaged(t *testing.T) {
	p, err := Pack(bytes.Repeat([]byte("route"), 1000))
	if err != nil {
		t.Fatal(err)
	}

	huge, err := Pack(make([]byte, MaxDocumentBytes))
	if err != nil {
		t.Fatal(err)
	}

	if _, err := Pack(make([]byte, MaxDocumentBytes+1)); err == nil {
		t.Errorf("a document above the size limit is accepted")
	}

	for name, damaged := range map[string]Packed{
		"truncated": p[:len(p)-3], "only the format byte": p[:1], "invalid bytes": {formatDeflate, 0xff, 0xff, 0xff},
	} {
		if _, err := damaged.Unpack(); !errors.Is(err, ErrDocument) {
			t.Errorf("%s: error %v, want %v", name, err, ErrDocument)
		}
	}

	if got, err := huge.Unpack(); err != nil || len(got) != MaxDocumentBytes {
		t.Errorf("document at the size limit: got %d bytes, %v", len(got), err)
	}
}

func FuzzPacked(f *testing.F) {
	p, err := Pack([]byte("{}"))
	if err != nil {
		f.Fatal(err)
	}

	f.Add([]byte(p))
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if got, err := Packed(data).Unpack(); err == nil && len(got) > max(MaxDocumentBytes, len(data)) {
			t.Errorf("%d bytes were decompressed to %d, above the size limit", len(data), len(got))
		}
	})
}
