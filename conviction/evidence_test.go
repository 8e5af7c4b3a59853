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

// Guards against a request that crashes searchers at one node after the other and is convicted at none, and against one that is
// convicted by a failure under several requests at a moment, or by losses of long ago.
func TestSharedStrikes(t *testing.T) {
	now := time.Unix(100000, 0)

	for name, tc := range map[string]struct {
		entry  Entry
		losses int
		want   bool
	}{
		"the first request loses many":            {Entry{}, 20, false},
		"one that begins later loses one more":    {Entry{State: Suspect, Strikes: 2, Last: now.Add(-time.Second)}, 1, true},
		"two losses in all":                       {Entry{State: Suspect, Strikes: 1, Last: now.Add(-time.Second)}, 1, false},
		"three, two of them under the second":     {Entry{State: Suspect, Strikes: 1, Last: now.Add(-time.Second)}, 2, true},
		"the second loses none":                   {Entry{State: Suspect, Strikes: 9, Last: now.Add(-time.Second)}, 0, false},
		"the strikes are from long ago":           {Entry{State: Suspect, Strikes: 2, Last: now.Add(-EvidenceFor)}, 2, false},
		"the clock of the control state is ahead": {Entry{State: Suspect, Strikes: 2, Last: now.Add(time.Second)}, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := ConvictsAgain(Suspected(now, tc.entry), tc.losses); got != tc.want {
				t.Errorf("convicted %v, want %v", got, tc.want)
			}
		})
	}

	if got := ConvictsAgain(0, Strikes(20)) || Strikes(20) >= lossesToConvict; got {
		t.Errorf("the strikes of one request convict")
	}
}

// Guards against a node that goes on to send what other nodes' losses have convicted, and against losses that outlive an answer.
func TestConvictAndAcquit(t *testing.T) {
	now := time.Unix(100000, 0)
	e := NewEvidence()

	if !e.Convict(now, 7) || e.Convict(now, 7) {
		t.Errorf("a conviction is not new once")
	}

	if !e.Convicts(now, 7) {
		t.Errorf("not convicted")
	}

	e.Lost(now, 8, "a")
	e.Lost(now, 8, "a")
	e.Acquit(8)

	if e.Lost(now, 8, "b") || e.Convicts(now, 8) {
		t.Errorf("convicted by losses from before an answer")
	}
}

// Guards against a conviction that a node forgets while the control state, which was out of reach, does not have it.
func TestConvictionOutlivesEvidence(t *testing.T) {
	now := time.Unix(100000, 0)
	e := NewEvidence()

	e.Lost(now, 7, "a")
	e.Lost(now, 7, "a")
	e.Lost(now, 7, "b")

	for name, tc := range map[string]struct {
		after time.Duration
		want  bool
	}{
		"at once":                     {0, true},
		"when losses no longer count": {EvidenceFor, true},
		"at its end":                  {ConvictedFor, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := e.Convicts(now.Add(tc.after), 7); got != tc.want {
				t.Errorf("convicted %v, want %v", got, tc.want)
			}
		})
	}
}
