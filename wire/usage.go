package wire

import (
	"math"

	"fulmarfall/ident"
	"fulmarfall/usage"
)

// milli is the number of thousandths in one.
const milli = 1000

// ToWireUsageReport converts a report of an entry VM to its wire form.
func ToWireUsageReport(node ident.NodeID, r *usage.Report) *UsageReport {
	m := &UsageReport{
		Node: node, Incarnation: r.Incarnation, Sequence: r.Sequence, Term: r.Term, Applied: r.Applied, Full: r.Full, Callers: r.Callers,
	}

	for _, d := range r.Teams {
		m.Teams = append(m.Teams, UsageDemand{
			Team: d.Team, MilliRate: toMilli(d.Rate, math.Ceil), HeldRate: uint32(d.Held.Rate), HeldBurst: uint32(d.Held.Burst),
			WaitingCount: uint32(min(max(d.Waiting, 0), math.MaxInt32)), MilliRoom: toMilli(d.Room, math.Floor),
			MilliReturned: toMilli(d.Returned, math.Floor),
		})
	}

	return m
}

// Report returns the report that m contains.
func (m *UsageReport) Report() *usage.Report {
	r := &usage.Report{
		Incarnation: m.Incarnation, Sequence: m.Sequence, Term: m.Term, Applied: m.Applied, Full: m.Full, Callers: m.Callers,
	}

	for _, d := range m.Teams {
		r.Teams = append(r.Teams, usage.Demand{
			Team: d.Team, Rate: float64(d.MilliRate) / milli, Waiting: int(d.WaitingCount),
			Held: usage.Shares{Rate: usage.Share(d.HeldRate), Burst: usage.Share(d.HeldBurst)},
			Room: float64(d.MilliRoom) / milli, Returned: float64(d.MilliReturned) / milli,
		})
	}

	return r
}

// ToWireUsageGrant converts a grant of the leader to its wire form.
func ToWireUsageGrant(g *usage.Grant) *UsageGrant {
	m := &UsageGrant{OK: true, Term: g.Term, Sequence: g.Sequence, Resend: g.Resend, Starting: g.Starting}
	for _, s := range g.Teams {
		m.Teams = append(m.Teams, UsageShare{
			Team: s.Team, Rate: uint32(s.Rate), Burst: uint32(s.Burst), MilliTokens: toMilli(s.Tokens, math.Floor), MilliExtra: toMilli(s.Extra, math.Floor),
			Exhausted: s.Exhausted,
		})
	}

	return m
}

// Grant returns the grant that m contains.
func (m *UsageGrant) Grant() *usage.Grant {
	g := &usage.Grant{Term: m.Term, Sequence: m.Sequence, Resend: m.Resend, Starting: m.Starting}
	for _, s := range m.Teams {
		g.Teams = append(g.Teams, usage.TeamShare{
			Team: s.Team, Shares: usage.Shares{Rate: usage.Share(s.Rate), Burst: usage.Share(s.Burst)}, Tokens: float64(s.MilliTokens) / milli, Extra: float64(s.MilliExtra) / milli,
			Exhausted: s.Exhausted,
		})
	}

	return g
}

// toMilli converts to thousandths, which are rounded in the given way.
func toMilli(x float64, round func(float64) float64) uint32 {
	return uint32(min(max(round(x*milli), 0), math.MaxUint32))
}
