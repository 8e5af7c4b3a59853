package wire

import (
	"cmp"
	"slices"

	"fulmarfall/rollout"
)

// ToWireRollout converts a report about a roll-out to its wire form.
func ToWireRollout(r *rollout.Report) RolloutReport {
	w := RolloutReport{
		Node: r.Node, Born: r.Incarnation, Sequence: r.Sequence, Upstream: r.Upstream, Order: uint64(r.Order),
		Stage: uint8(r.Stage), OldInFlight: r.OldInFlight, Cells: make([]RolloutCell, 0, len(r.Cells)),
	}

	for k, c := range r.Cells {
		end := len(c.Latency)
		for end > 0 && c.Latency[end-1] == 0 {
			end--
		}

		w.Cells = append(w.Cells, RolloutCell{
			Route: k.Route, FailureDomain: k.FailureDomain, From: k.From, New: k.New, Responses: c.Responses, Failures: c.Failures,
			Latency: slices.Clone(c.Latency[:end]),
		})
	}

	slices.SortFunc(w.Cells, func(a, b RolloutCell) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.From, b.From), compareBool(a.New, b.New))
	})

	return w
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Report converts a received report about a roll-out.
func (w *RolloutReport) Report() rollout.Report {
	r := rollout.Report{
		Source: rollout.Source{Node: w.Node, Incarnation: w.Born}, Sequence: w.Sequence, Upstream: w.Upstream,
		Order: rollout.OrderID(w.Order), Stage: rollout.Stage(w.Stage), OldInFlight: max(w.OldInFlight, 0), Cells: rollout.Evidence{},
	}

	for i := range w.Cells {
		c := &w.Cells[i]
		cell := rollout.Cell{Responses: c.Responses, Failures: c.Failures}
		copy(cell.Latency[:], c.Latency)
		r.Cells[rollout.CellKey{Route: c.Route, FailureDomain: c.FailureDomain, From: c.From, New: c.New}] = cell
	}

	return r
}
