// Package conviction keeps the fingerprints of requests that are suspected or convicted of
// crashing searchers. It is part of the replicated state: every decision depends only on the clock
// that is passed in, on the arguments and on earlier calls.
package conviction

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fulmarfall/ident"
)

// Bounds of the table. They are constants, because all replicas must agree on them.
const (
	// ConvictedFor is the time for which a convicted fingerprint is refused.
	ConvictedFor = time.Hour
	// SuspectedFor is the time after which a suspect without a further strike is forgotten. It
	// is a day, so that a request that a caller sends daily meets its suspicion.
	SuspectedFor = 24 * time.Hour
	// MaxEntries bounds the table. A crash makes every request that was running a suspect; at
	// 2,200 searchers of 3 slots all crashing at once that is 6,600.
	MaxEntries = 10000
)

// State is what is known of a fingerprint.
type State uint8

// The states.
const (
	// Unknown means that there is no entry.
	Unknown State = iota
	// Suspect means that the request was running when a connection was lost. It runs alone.
	Suspect
	// Convicted means that the request crashed a searcher while it ran alone. It is refused.
	Convicted
)

// Entry is what is known of one fingerprint.
type Entry struct {
	Fingerprint ident.Fingerprint
	State       State
	// Strikes counts the crashes. A run that clears a suspect names the count it started with.
	Strikes uint32
	// Last is the time of the last strike.
	Last time.Time
	// Expires is the time at which a conviction becomes a suspicion, or a suspicion is forgotten.
	Expires time.Time
}

// Table holds the entries. It is not safe for concurrent use.
type Table struct {
	entries map[ident.Fingerprint]*Entry
	// next is a lower bound of the next expiry, so that most commands skip the search.
	next    time.Time
	version uint64
	trials  map[ident.Fingerprint]Trial
	// began holds the version at which each entry was made. Restored entries have none: it is not part of the state.
	began map[ident.Fingerprint]uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{
		entries: make(map[ident.Fingerprint]*Entry), trials: make(map[ident.Fingerprint]Trial), began: make(map[ident.Fingerprint]uint64),
	}
}

// Version grows with each change.
func (t *Table) Version() uint64 { return t.version }

// Follow makes the version greater than that of the table that this one replaces, so that readers
// notice the replacement.
func (t *Table) Follow(old *Table) { t.version += old.version + 1 }

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Lookup returns the entry of a fingerprint as of the last Expire.
func (t *Table) Lookup(fp ident.Fingerprint) (Entry, bool) {
	e, ok := t.entries[fp]
	if !ok {
		return Entry{Fingerprint: fp}, false
	}

	return *e, true
}

// Strike records that a connection was lost while the request ran. A crash while the request ran
// alone convicts it.
func (t *Table) Strike(clock time.Time, fp ident.Fingerprint, alone bool) Entry {
	e, ok := t.entries[fp]
	if !ok {
		if len(t.entries) >= MaxEntries {
			t.evict()
		}
		e = &Entry{Fingerprint: fp, State: Suspect}
		t.entries[fp] = e
		t.began[fp] = t.version + 1
	}
	t.version++
	e.Strikes++
	e.Last = clock
	switch {
	case e.State == Convicted:
		// Runs that were in flight at the conviction do not make it longer.
	case alone:
		e.State, e.Expires = Convicted, clock.Add(ConvictedFor)
	default:
		e.Expires = clock.Add(SuspectedFor)
	}
	t.expectExpiry(e.Expires)

	return *e
}

// Clear forgets a suspect after it has run alone without a crash. It does nothing if there was a
// strike since that run started, or if the fingerprint is convicted.
func (t *Table) Clear(fp ident.Fingerprint, strikes uint32) bool {
	e, ok := t.entries[fp]
	if !ok || e.State != Suspect || e.Strikes != strikes {
		return false
	}
	t.version++
	t.remove(fp)

	return true
}

func (t *Table) remove(fp ident.Fingerprint) {
	delete(t.entries, fp)
	delete(t.began, fp)
}

// EachSuspect calls f with the suspects and with what tells the suspicion of a fingerprint from an earlier one that was cleared.
func (t *Table) EachSuspect(f func(fp ident.Fingerprint, began uint64)) {
	for fp, e := range t.entries {
		if e.State == Suspect {
			f(fp, t.began[fp])
		}
	}
}

// Trial is the one exclusive run of a suspect that may be under way in the whole system.
type Trial struct {
	Fingerprint ident.Fingerprint
	// Token names the run. The same run may ask again.
	Token string
	// Ends is the time after which another run may begin even if nothing was heard of this one.
	Ends time.Time
}

// BeginTrial gives an exclusive run the right to start. It refuses a convicted fingerprint, and a second
// run while one is under way: two exclusive runs at once could crash two searchers.
func (t *Table) BeginTrial(clock time.Time, trial Trial) bool {
	if e, ok := t.entries[trial.Fingerprint]; ok && e.State == Convicted {
		return false
	}
	if !clock.Before(trial.Ends) {
		// Stored, it would stay until the next call of Expire, whose times differ between replicas.
		return false
	}
	old, ok := t.trials[trial.Fingerprint]
	if ok && old.Token != trial.Token && clock.Before(old.Ends) {
		return false
	}
	if !ok && len(t.trials) >= MaxEntries {
		return false
	}
	t.trials[trial.Fingerprint] = trial
	t.expectExpiry(trial.Ends)

	return true
}

// EndTrial records that a run has ended. A crash of the run must be recorded first.
func (t *Table) EndTrial(fp ident.Fingerprint, token string) bool {
	if old, ok := t.trials[fp]; !ok || old.Token != token {
		return false
	}
	delete(t.trials, fp)

	return true
}

// Trials returns the runs under way ordered by fingerprint.
func (t *Table) Trials() []Trial {
	list := make([]Trial, 0, len(t.trials))
	for _, trial := range t.trials {
		list = append(list, trial)
	}
	slices.SortFunc(list, func(a, b Trial) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })

	return list
}

// Expire turns convictions into suspicions and forgets suspects whose time has come. The result
// depends only on the latest clock, not on how often it is called.
func (t *Table) Expire(clock time.Time) {
	if t.next.IsZero() || clock.Before(t.next) {
		return
	}
	t.next = time.Time{}
	for fp, trial := range t.trials {
		if !clock.Before(trial.Ends) {
			delete(t.trials, fp)
			continue
		}
		t.expectExpiry(trial.Ends)
	}
	for fp, e := range t.entries {
		if e.State == Convicted && !clock.Before(e.Expires) {
			e.State, e.Expires = Suspect, e.Expires.Add(SuspectedFor)
			t.version++
		}
		if e.State == Suspect && !clock.Before(e.Expires) {
			t.remove(fp)
			t.version++

			continue
		}
		t.expectExpiry(e.Expires)
	}
}

func (t *Table) expectExpiry(at time.Time) {
	if t.next.IsZero() || at.Before(t.next) {
		t.next = at
	}
}

// evict drops the suspect with the oldest strike, or the oldest conviction if there is no suspect.
func (t *Table) evict() {
	var worst *Entry
	for _, e := range t.entries {
		if worst == nil || compareForEviction(e, worst) < 0 {
			worst = e
		}
	}
	t.remove(worst.Fingerprint)
}

func compareForEviction(a, b *Entry) int {
	return cmp.Or(cmp.Compare(a.State, b.State), a.Last.Compare(b.Last), cmp.Compare(a.Fingerprint, b.Fingerprint))
}

// Entries returns all entries ordered by fingerprint.
func (t *Table) Entries() []Entry {
	list := make([]Entry, 0, len(t.entries))
	for _, e := range t.entries {
		list = append(list, *e)
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })

	return list
}

// FromEntries builds a table. It refuses entries that break the table's bounds.
func FromEntries(list []Entry, trials []Trial) (*Table, error) {
	if len(list) > MaxEntries || len(trials) > MaxEntries {
		return nil, fmt.Errorf("%d entries and %d trials; at most %d are allowed", len(list), len(trials), MaxEntries)
	}
	t := New()
	for _, trial := range trials {
		if _, twice := t.trials[trial.Fingerprint]; twice {
			return nil, fmt.Errorf("trial of fingerprint %d occurs twice", trial.Fingerprint)
		}
		t.trials[trial.Fingerprint] = trial
		t.expectExpiry(trial.Ends)
	}
	for i := range list {
		e := list[i]
		if e.State != Suspect && e.State != Convicted {
			return nil, fmt.Errorf("entries[%d].state: %d is not a state", i, e.State)
		}
		if _, twice := t.entries[e.Fingerprint]; twice {
			return nil, fmt.Errorf("entries[%d]: the fingerprint occurs twice", i)
		}
		t.entries[e.Fingerprint] = &e
		t.expectExpiry(e.Expires)
	}

	return t, nil
}
