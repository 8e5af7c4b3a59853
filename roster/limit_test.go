package roster

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/ident"
)

// Guards against a request limit that is lost when the searcher reports again, that an older statement or an earlier
// lifetime overrides, or that other tables do not learn of.
func TestRequestLimitReachesOtherTables(t *testing.T) {
	limitAt := func(at time.Duration, limited bool, perSecond ident.RequestRate) RequestLimit {
		return RequestLimit{StatedAt: start.Add(at), Limited: limited, PerSecond: perSecond}
	}

	type step struct {
		born   uint64
		limit  RequestLimit
		report uint64 // sequence of a report of the searcher after the statement; 0: none
	}

	for name, tc := range map[string]struct {
		steps []step
		want  RequestLimit
	}{
		"stated":                        {[]step{{1, limitAt(1, true, 5), 0}}, limitAt(1, true, 5)},
		"kept after further reports":    {[]step{{1, limitAt(1, true, 5), 7}}, limitAt(1, true, 5)},
		"changed":                       {[]step{{1, limitAt(1, true, 5), 7}, {1, limitAt(2, true, 9), 8}}, limitAt(2, true, 9)},
		"ended":                         {[]step{{1, limitAt(1, true, 5), 7}, {1, limitAt(2, false, 0), 8}}, limitAt(2, false, 0)},
		"older statement":               {[]step{{1, limitAt(2, true, 5), 7}, {1, limitAt(1, false, 0), 8}}, limitAt(2, true, 5)},
		"statement of another lifetime": {[]step{{2, limitAt(1, true, 5), 7}}, RequestLimit{}},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := NewTable(1), NewTable(2)
			a.ApplyReport(start, searcherAt("s", 1, 1, StateReady), 0)

			var cursor Cursor

			exchange(start, a, b, &cursor, true)

			for _, s := range tc.steps {
				a.RecordLimit(start, "s", s.born, s.limit)

				if s.report > 0 {
					a.ApplyReport(start, searcherAt("s", 1, s.report, StateReady), 0)
				}

				exchange(start, a, b, &cursor, true)
			}

			for table, in := range map[string]*Table{"own": a, "other": b} {
				r, _ := in.Lookup(RoleSearcher, "s")
				if diff := cmp.Diff(tc.want, r.Instance.Limit); diff != "" {
					t.Errorf("request limit in the %s table differs (-want +got):\n%s", table, diff)
				}
			}

			a.ApplyReport(start, searcherAt("s", 2, 1, StateReady), 0)

			if r, _ := a.Lookup(RoleSearcher, "s"); r.Instance.Limit != (RequestLimit{}) {
				t.Errorf("a new lifetime has the request limit %+v of the previous one", r.Instance.Limit)
			}
		})
	}
}
