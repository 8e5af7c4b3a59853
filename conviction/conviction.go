// Package conviction tracks the fingerprints of poison requests: requests that are suspected or convicted of crashing
// searchers. The table is part of the replicated state, so every decision is deterministic: it depends only on the clock
// that is passed in, the arguments and earlier calls.
package conviction

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fulmarfall/ident"
)

// Limits of the table. They are constants because all replicas must agree on them.
const (
	// ConvictionTTL is how long requests with a convicted fingerprint are refused.
	ConvictionTTL = time.Hour
	// SuspicionTTL is how long a suspect is kept after its last strike. A day covers a request that a caller sends once a
	// day.
	SuspicionTTL = 24 * time.Hour
	// MaxEntries limits the number of entries. A crash turns every request that was running into a suspect: if 2,200
	// searchers with 3 slots each crash at once, that is 6,600 entries.
	MaxEntries = 10000
)

// State classifies a fingerprint.
type State uint8

// States of a fingerprint.
const (
	// Unknown means that there is no entry.
	Unknown State = iota
	// Suspect means that a connection was lost while the request was running. Further runs are exclusive.
	Suspect
	// Convicted means that the request crashed a searcher during an exclusive run. It is refused.
	Convicted
)

// Entry records the strikes against one fingerprint.
type Entry struct {
	Fingerprint ident.Fingerprint
	State       State
	// Strikes counts the crashes. A run may clear a suspect only if the count has not changed since the run started.
	Strikes uint32
	// Last is the time of the last strike.
	Last time.Time
	// Expires is the time at which a conviction is downgraded to a suspicion, or a suspect is removed.
	Expires time.Time
}

// Table maps fingerprints to entries and to exclusive runs in progress. It is not safe for concurrent use.
type Table struct {
	entries map[ident.Fingerprint]*Entry
	// nextExpiry is a lower bound of the time of the next expiry. It spares most commands a scan of the table.
	nextExpiry time.Time
	version    uint64
	trials     map[ident.Fingerprint]Trial
	// createdAt is the table version at which each entry was created. It is not part of the replicated state, so restored
	// entries have none.
	createdAt map[ident.Fingerprint]uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{
		entries: make(map[ident.Fingerprint]*Entry), trials: make(map[ident.Fingerprint]Trial), createdAt: make(map[ident.Fingerprint]uint64),
	}
}

// Version returns a number that increases with each change.
func (t *Table) Version() uint64 { return t.version }

// AdvanceVersionPast raises the version above that of the table that this one replaces, so that readers detect the
// replacement.
func (t *Table) AdvanceVersionPast(old *Table) { t.version += old.version + 1 }

// Len returns the number of entries, not counting exclusive runs.
func (t *Table) Len() int { return len(t.entries) }

// Lookup returns the entry of a fingerprint. Entries that have expired since the last call of Expire are included.
func (t *Table) Lookup(fp ident.Fingerprint) (Entry, bool) {
	e, ok := t.entries[fp]
	if !ok {
		return Entry{Fingerprint: fp}, false
	}

	return *e, true
}

// Strike records that a connection was lost while the request was running. A loss during an exclusive run (alone)
// convicts the fingerprint.
func (t *Table) Strike(clock time.Time, fp ident.Fingerprint, alone bool) Entry {
	e, ok := t.entries[fp]
	if !ok {
		if len(t.entries) >= MaxEntries {
			t.evict()
		}
		e = &Entry{Fingerprint: fp, State: Suspect}
		t.entries[fp] = e
		t.createdAt[fp] = t.version + 1
	}
	t.version++
	e.Strikes++
	e.Last = clock
	switch {
	case e.State == Convicted:
		// Losses of runs that were already in flight at the time of the conviction do not extend it.
	case alone:
		e.State, e.Expires = Convicted, clock.Add(ConvictionTTL)
	default:
		e.Expires = clock.Add(SuspicionTTL)
	}
	t.scheduleExpiry(e.Expires)

	return *e
}

// Clear removes a suspect whose request has completed an exclusive run without a crash. strikes is the count at the start
// of that run. Clear returns false and changes nothing if there was a strike since then, or if the fingerprint is
// convicted.
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
	delete(t.createdAt, fp)
}

// EachSuspect calls f for every suspect, in no particular order. createdAt differs between a suspicion and an earlier one
// of the same fingerprint that was cleared.
func (t *Table) EachSuspect(f func(fp ident.Fingerprint, createdAt uint64)) {
	for fp, e := range t.entries {
		if e.State == Suspect {
			f(fp, t.createdAt[fp])
		}
	}
}

// Trial is an exclusive run of a suspect. At most one per fingerprint is in progress in the whole system.
type Trial struct {
	Fingerprint ident.Fingerprint
	// Token identifies the run, so that its request for a trial can be repeated.
	Token string
	// Ends is the time after which another run may begin even if the end of this one was never reported.
	Ends time.Time
}

// BeginTrial reports whether an exclusive run may start, and registers it if so. It rejects a convicted fingerprint, and a
// second run while one is in progress: two exclusive runs at once could crash two searchers.
func (t *Table) BeginTrial(clock time.Time, trial Trial) bool {
	if e, ok := t.entries[trial.Fingerprint]; ok && e.State == Convicted {
		return false
	}
	if !clock.Before(trial.Ends) {
		// The trial would be kept until the next call of Expire, and the times of these calls differ between replicas.
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
	t.scheduleExpiry(trial.Ends)

	return true
}

// EndTrial unregisters the run with the given token and reports whether it was registered. If the run crashed a searcher,
// Strike must be called first; otherwise another run could start in between.
func (t *Table) EndTrial(fp ident.Fingerprint, token string) bool {
	if old, ok := t.trials[fp]; !ok || old.Token != token {
		return false
	}
	delete(t.trials, fp)

	return true
}

// Trials returns the exclusive runs in progress, ordered by fingerprint.
func (t *Table) Trials() []Trial {
	list := make([]Trial, 0, len(t.trials))
	for _, trial := range t.trials {
		list = append(list, trial)
	}
	slices.SortFunc(list, func(a, b Trial) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })

	return list
}

// Expire downgrades expired convictions to suspicions, and removes expired suspects and trials. The result depends only on
// the latest clock, not on how often Expire is called.
func (t *Table) Expire(clock time.Time) {
	if t.nextExpiry.IsZero() || clock.Before(t.nextExpiry) {
		return
	}
	t.nextExpiry = time.Time{}
	for fp, trial := range t.trials {
		if !clock.Before(trial.Ends) {
			delete(t.trials, fp)
			continue
		}
		t.scheduleExpiry(trial.Ends)
	}
	for fp, e := range t.entries {
		if e.State == Convicted && !clock.Before(e.Expires) {
			e.State, e.Expires = Suspect, e.Expires.Add(SuspicionTTL)
			t.version++
		}
		if e.State == Suspect && !clock.Before(e.Expires) {
			t.remove(fp)
			t.version++

			continue
		}
		t.scheduleExpiry(e.Expires)
	}
}

// scheduleExpiry lowers nextExpiry if the given time is earlier.
func (t *Table) scheduleExpiry(at time.Time) {
	if t.nextExpiry.IsZero() || at.Before(t.nextExpiry) {
		t.nextExpiry = at
	}
}

// evict removes the suspect with the oldest last strike, or the oldest conviction if there is no suspect.
func (t *Table) evict() {
	var victim *Entry
	for _, e := range t.entries {
		if victim == nil || compareForEviction(e, victim) < 0 {
			victim = e
		}
	}
	t.remove(victim.Fingerprint)
}

// compareForEviction is a total order, so that all replicas evict the same entry.
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

// FromEntries restores a table. It returns an error for duplicates, invalid states, or more than MaxEntries entries or
// trials.
func FromEntries(list []Entry, trials []Trial) (*Table, error) {
	if len(list) > MaxEntries || len(trials) > MaxEntries {
		return nil, fmt.Errorf("too many entries or trials: got %d entries and %d trials, limit %d each", len(list), len(trials), MaxEntries)
	}
	t := New()
	for _, trial := range trials {
		if _, duplicate := t.trials[trial.Fingerprint]; duplicate {
			return nil, fmt.Errorf("duplicate trial for fingerprint %d", trial.Fingerprint)
		}
		t.trials[trial.Fingerprint] = trial
		t.scheduleExpiry(trial.Ends)
	}
	for i := range list {
		e := list[i]
		if e.State != Suspect && e.State != Convicted {
			return nil, fmt.Errorf("entries[%d]: invalid state %d", i, e.State)
		}
		if _, duplicate := t.entries[e.Fingerprint]; duplicate {
			return nil, fmt.Errorf("entries[%d]: duplicate fingerprint", i)
		}
		t.entries[e.Fingerprint] = &e
		t.scheduleExpiry(e.Expires)
	}

	return t, nil
}
