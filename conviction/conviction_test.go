package conviction

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fulmarfall/ident"
)

var start = time.Unix(1767323045, 0)

// Guards against a conviction without a crash during an exclusive run, against a suspect that is cleared by a run started
// before its last crash, and against a conviction that ends early, never ends, or is extended by a late strike.
func TestFingerprintStates(t *testing.T) {
	const fp = ident.Fingerprint(7)
	steps := []struct {
		name string
		do   func(*Table)
		want Entry
	}{
		{"strike", func(t *Table) { t.Strike(start, fp, false) }, Entry{fp, Suspect, 1, start, start.Add(SuspicionTTL)}},
		{"second strike", func(t *Table) { t.Strike(start, fp, false) }, Entry{fp, Suspect, 2, start, start.Add(SuspicionTTL)}},
		{"clear by an earlier run", func(t *Table) { t.Clear(fp, 1) }, Entry{fp, Suspect, 2, start, start.Add(SuspicionTTL)}},
		{"crash during an exclusive run", func(t *Table) { t.Strike(start, fp, true) }, Entry{fp, Convicted, 3, start, start.Add(ConvictionTTL)}},
		{"late strike", func(t *Table) { t.Strike(start.Add(1), fp, true) }, Entry{fp, Convicted, 4, start.Add(1), start.Add(ConvictionTTL)}},
		{"clear of a convicted fingerprint", func(t *Table) { t.Clear(fp, 4) }, Entry{fp, Convicted, 4, start.Add(1), start.Add(ConvictionTTL)}},
		{"just before the conviction expires", func(t *Table) { t.Expire(start.Add(ConvictionTTL - 1)) }, Entry{fp, Convicted, 4, start.Add(1), start.Add(ConvictionTTL)}},
		{"expiry of the conviction", func(t *Table) { t.Expire(start.Add(ConvictionTTL)) }, Entry{fp, Suspect, 4, start.Add(1), start.Add(ConvictionTTL + SuspicionTTL)}},
		{"clear", func(t *Table) { t.Clear(fp, 4) }, Entry{Fingerprint: fp}},
	}
	table := New()
	for _, step := range steps {
		step.do(table)
		got, _ := table.Lookup(fp)
		if diff := cmp.Diff(step.want, got); diff != "" {
			t.Errorf("entry after step %q differs (-want +got):\n%s", step.name, diff)
		}
	}
}

// Guards against replicas that diverge because they call Expire at different rates, as happens when a node receives
// several commands as one batch.
func TestExpiryDependsOnTheClockOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		frequent, rare, now := New(), New(), start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, int(20*time.Hour)).Draw(t, "elapsed")))
			frequent.Expire(now)
			if rapid.Bool().Draw(t, "clock only") {
				continue
			}
			rare.Expire(now)
			fp, alone := ident.Fingerprint(rapid.IntRange(0, 3).Draw(t, "fingerprint")), rapid.Bool().Draw(t, "alone")
			frequent.Strike(now, fp, alone)
			rare.Strike(now, fp, alone)
		}
		rare.Expire(now)
		if diff := cmp.Diff(frequent.Entries(), rare.Entries()); diff != "" {
			t.Fatalf("tables differ (-frequent +rare):\n%s", diff)
		}
	})
}

// Guards against a table that grows without limit, against suspects that evict convictions, and against replicas that
// evict different ones of several equally old suspects.
func TestTableLimit(t *testing.T) {
	table := New()
	table.Strike(start, 1<<60, true)
	for i := range MaxEntries + 100 {
		table.Strike(start.Add(time.Duration(i/1000)), ident.Fingerprint(i), false)
	}
	if table.Len() != MaxEntries {
		t.Errorf("got %d entries, want the limit %d", table.Len(), MaxEntries)
	}
	if e, _ := table.Lookup(1 << 60); e.State != Convicted {
		t.Error("a conviction was evicted while there were suspects")
	}
	for i := range MaxEntries + 100 {
		// The conviction occupies one entry, so 101 suspects are evicted.
		if _, ok := table.Lookup(ident.Fingerprint(i)); ok != (i > 100) {
			t.Fatalf("suspect %d: present %v", i, ok)
		}
	}
	restored, err := FromEntries(table.Entries(), nil)
	if err != nil {
		t.Fatalf("restore: %v", err)
	}
	if diff := cmp.Diff(table.Entries(), restored.Entries()); diff != "" {
		t.Errorf("restored table differs (-want +got):\n%s", diff)
	}
}

// Guards against two simultaneous exclusive runs of one suspect, against a trial of a convicted fingerprint, and against a
// trial whose end is never reported and that blocks others for ever.
func TestTrials(t *testing.T) {
	const fp = ident.Fingerprint(7)
	trial := func(token string) Trial { return Trial{Fingerprint: fp, Token: token, Ends: start.Add(time.Second)} }
	steps := []struct {
		name string
		do   func(*Table) bool
		want bool
	}{
		{"run that ends at its start", func(t *Table) bool {
			return t.BeginTrial(start, Trial{Fingerprint: fp, Token: "z", Ends: start}) || len(t.Trials()) > 0
		}, false},
		{"first run", func(t *Table) bool { return t.BeginTrial(start, trial("a")) }, true},
		{"first run, repeated", func(t *Table) bool { return t.BeginTrial(start, trial("a")) }, true},
		{"second run during the first", func(t *Table) bool { return t.BeginTrial(start, trial("b")) }, false},
		{"end by another run", func(t *Table) bool { return t.EndTrial(fp, "b") }, false},
		{"end of the first run", func(t *Table) bool { return t.EndTrial(fp, "a") }, true},
		{"second run after the first", func(t *Table) bool { return t.BeginTrial(start, trial("b")) }, true},
		{"third run after the second has expired", func(t *Table) bool {
			return t.BeginTrial(start.Add(time.Second), Trial{Fingerprint: fp, Token: "c", Ends: start.Add(2 * time.Second)})
		}, true},
		{"crash during an exclusive run", func(t *Table) bool { return t.Strike(start, fp, true).State == Convicted }, true},
		{"run of a convicted request", func(t *Table) bool { return t.BeginTrial(start.Add(time.Minute), trial("d")) }, false},
	}
	table := New()
	for _, step := range steps {
		if got := step.do(table); got != step.want {
			t.Errorf("%s: got %t, want %t", step.name, got, step.want)
		}
	}
	table.Expire(start.Add(2 * time.Second))
	if got := table.Trials(); len(got) != 0 {
		t.Errorf("trials left after their expiry: %+v", got)
	}
}
