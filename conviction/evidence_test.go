package conviction

import (
	"fmt"
	"testing"
	"time"

	"fulmarfall/ident"
)

// Guards against a request that goes on to crash searchers, and against innocent requests that are refused because one
// searcher, or several at once, failed under them.
func TestEvidence(t *testing.T) {
	now := time.Unix(1000, 0)

	type loss struct {
		after   time.Duration
		request ident.RequestID
	}

	for name, tc := range map[string]struct {
		losses []loss
		want   bool
	}{
		"many searchers fail under one request":   {[]loss{{0, "a"}, {0, "a"}, {0, "a"}, {0, "a"}}, false},
		"one loss in each of two requests":        {[]loss{{0, "a"}, {time.Second, "b"}}, false},
		"the request comes again and loses more":  {[]loss{{0, "a"}, {0, "a"}, {time.Second, "b"}}, true},
		"the first losses are from long ago":      {[]loss{{0, "a"}, {0, "a"}, {2 * time.Minute, "b"}}, false},
		"three requests with one loss each":       {[]loss{{0, "a"}, {time.Second, "b"}, {2 * time.Second, "c"}}, true},
		"losses between those of another request": {[]loss{{0, "a"}, {0, "b"}, {0, "a"}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			e := NewEvidence()
			at, told := now, 0

			for _, l := range tc.losses {
				at = now.Add(l.after)
				if e.Lost(at, 7, l.request) {
					told++
				}
			}

			if got := e.Convicts(at, 7); got != tc.want {
				t.Errorf("convicted %v, want %v", got, tc.want)
			}

			if wantTold := map[bool]int{true: 1}[tc.want]; told != wantTold {
				t.Errorf("conviction was told %d times, want %d", told, wantTold)
			}
		})
	}
}

// Guards against a table that grows with every request that loses a connection.
func TestEvidenceIsBounded(t *testing.T) {
	e := NewEvidence()
	for i := range 3 * maxEvidence {
		e.Lost(time.Unix(1000, 0), ident.Fingerprint(i), ident.RequestID(fmt.Sprint(i)))
	}

	if len(e.losses) > maxEvidence {
		t.Errorf("%d fingerprints are kept, bound %d", len(e.losses), maxEvidence)
	}
}
