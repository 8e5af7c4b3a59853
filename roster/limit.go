package roster

import (
	"time"

	"fulmarfall/ident"
)

// RequestLimit is the last statement of a searcher about the requests per second that it takes from all entry VMs together,
// as reported by the entry VM that received it. Unlike the rest of an Instance it is not part of the searcher's reports, so
// StatedAt orders it instead of the sequence number.
type RequestLimit struct {
	// StatedAt is when the statement was received; zero if there is none.
	StatedAt time.Time
	// Limited is false if the searcher has stopped stating a limit.
	Limited   bool
	PerSecond ident.RequestRate
}

// differs reports whether two statements allow different rates.
func (l RequestLimit) differs(other RequestLimit) bool {
	return l.Limited != other.Limited || l.PerSecond != other.PerSecond
}

// RecordLimit records the request limit of one incarnation of a searcher. It returns whether the limit has changed, and if so
// the searcher with it.
func (t *Table) RecordLimit(now time.Time, id InstanceID, born uint64, l RequestLimit) (r Report, changed bool) {
	e, ok := t.entries[key{role: RoleSearcher, id: id}]
	if !ok || e.Born != born || !t.applyLimit(now, e, l) {
		return Report{}, false
	}

	return Report{Instance: e.Instance, Age: now.Sub(e.reportedAt)}, true
}

// applyLimit applies a statement to an entry unless it is older than the present one.
func (t *Table) applyLimit(now time.Time, e *entry, l RequestLimit) bool {
	if !l.StatedAt.After(e.Limit.StatedAt) {
		return false
	}

	changed := e.Limit.differs(l)
	e.Limit = l

	if changed {
		t.publishChange(now, e)
	}

	return changed
}
