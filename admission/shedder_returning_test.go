package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"fulmarfall/ident"
)

// A caller that returns after a refusal does not come a third time. Returning callers must be admitted before first tries of
// the same flow, within what the flow gets: a team whose callers all return must not take the share of others.
func TestReturningCallersGoFirst(t *testing.T) {
	const fraction = 0.5

	s := NewShedder(rand.New(rand.NewPCG(1, 2)))
	now := time.Unix(0, 0)

	type counts struct{ first, firstAdmitted, returning, returningAdmitted int }

	teams := map[ident.TeamID]*counts{"a": {}, "b": {}}

	for i := range 8000 {
		now = now.Add(5 * time.Millisecond)
		d := Demand{Class: ident.ClassNormal, Team: "a"}

		if i%2 == 1 {
			d.Team = "b" // Its callers never return.
		}

		d.Returning = d.Team == "a" && i%8 == 0
		admitted := s.Admit(now, d, fraction) == Admitted

		if i < 1000 {
			continue
		}

		c := teams[d.Team]

		switch {
		case d.Returning:
			c.returning++
			if admitted {
				c.returningAdmitted++
			}
		default:
			c.first++
			if admitted {
				c.firstAdmitted++
			}
		}
	}

	a, b := teams["a"], teams["b"]

	returning, first := float64(a.returningAdmitted)/float64(a.returning), float64(a.firstAdmitted)/float64(a.first)
	if returning < 2*first {
		t.Errorf("%.2f of the returning callers admitted, and %.2f of the first tries of the team; want at least twice as many", returning, first)
	}

	served := func(c *counts) float64 {
		return float64(c.firstAdmitted+c.returningAdmitted) / float64(c.first+c.returning)
	}

	if x, y := served(a), served(b); x > y+0.05 || y > x+0.05 || x < 0.45 || x > 0.55 {
		t.Errorf("%.2f of the requests of the team with returning callers admitted, %.2f of the other, want %.2f of both", x, y, 1-fraction)
	}
}
