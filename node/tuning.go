// Settings that operators can change at run time. A record takes precedence over the settings file of the node.

package node

import (
	"time"

	"fulmarfall/control"
	"fulmarfall/query"
	"fulmarfall/record"
	"fulmarfall/searcher"
)

// tuning contains the settings that can be changed while a node runs.
type tuning struct {
	inFlight         int
	queuePerSearcher int
	hedgePercent     int
	hedgePercentile  int
}

// percent converts between ratios and percentages.
const percent = 100

// tuningOf returns the effective settings: the values of records, or else those of the settings file.
func (c *Config) tuningOf(s *record.Store) tuning {
	t := tuning{
		inFlight: c.MaxInFlight, queuePerSearcher: c.QueuePerSearcher,
		hedgePercent:    int(query.DefaultBudgetRatio * percent),
		hedgePercentile: int(query.DefaultHedgeQuantile * percent),
	}
	if c.HedgePercent != nil {
		t.hedgePercent = *c.HedgePercent
	}

	if t.queuePerSearcher == 0 {
		t.queuePerSearcher = searcher.DefaultQueueLimit
	}

	for name, value := range map[record.Setting]*int{
		record.SettingInFlightPerNode: &t.inFlight, record.SettingQueuePerSearcher: &t.queuePerSearcher,
		record.SettingHedgeBudgetPercent: &t.hedgePercent, record.SettingHedgePercentile: &t.hedgePercentile,
	} {
		if v, ok := s.Setting(name); ok {
			*value = int(v)
		}
	}

	return t
}

// budgetBurst returns the burst of the hedge budget. It is 0 for a budget of 0 %, since a burst would still allow extra
// attempts after the start.
func (t tuning) budgetBurst() int {
	if t.hedgePercent == 0 {
		return 0
	}

	return query.DefaultBudgetBurst
}

// applyTuning applies changed settings to admission control, the query planner and the gates.
func (n *Node) applyTuning() {
	var t tuning

	n.state.View(func(v control.View) { t = n.cfg.tuningOf(v.Records()) })

	if t == n.appliedTuning {
		return
	}

	n.admission.SetCapacity(t.inFlight)
	n.planner.Tune(float64(t.hedgePercent)/percent, t.budgetBurst(), float64(t.hedgePercentile)/percent)

	for _, o := range n.owned.list() {
		o.updateGate(func(g *searcher.Gate) []searcher.Effect {
			g.SetQueueLimit(t.queuePerSearcher)

			return g.Tick(time.Now())
		})
	}

	n.appliedTuning = t
	n.logger.Info().Int("in_flight_per_node", t.inFlight).Int("queue_per_searcher", t.queuePerSearcher).
		Int("hedge_budget_percent", t.hedgePercent).Int("hedge_percentile", t.hedgePercentile).Msg("settings in force")
}
