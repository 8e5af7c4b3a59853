// This file applies the settings that operators change at run time. A record goes before the node's
// settings file; without one the file holds.

package node

import (
	"time"

	"fulmarfall/control"
	"fulmarfall/query"
	"fulmarfall/record"
	"fulmarfall/searcher"
)

// tuning is what operators can change while a node runs.
type tuning struct {
	inFlight         int
	queuePerSearcher int
	hedgePercent     int
	hedgePercentile  int
}

// percent turns a share into whole percent.
const percent = 100

// tuningOf returns the values in force: those of records, otherwise those of the settings file.
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

// budgetBurst is the burst of the budget; without a budget there is no burst either, which would
// otherwise allow some extra attempts after the start.
func (t tuning) budgetBurst() int {
	if t.hedgePercent == 0 {
		return 0
	}

	return query.DefaultBudgetBurst
}

// tune applies the values in force to the parts of the node that use them.
func (n *Node) tune() {
	var t tuning

	n.state.View(func(v control.View) { t = n.cfg.tuningOf(v.Records()) })

	if t == n.tuned {
		return
	}

	n.admission.SetCapacity(t.inFlight)
	n.planner.Tune(float64(t.hedgePercent)/percent, t.budgetBurst(), float64(t.hedgePercentile)/percent)

	for _, o := range n.owned.list() {
		o.do(func(g *searcher.Gate) []searcher.Effect {
			g.SetQueueLimit(t.queuePerSearcher)

			return g.Tick(time.Now())
		})
	}

	n.tuned = t
	n.logger.Info().Int("in_flight_per_node", t.inFlight).Int("queue_per_searcher", t.queuePerSearcher).
		Int("hedge_budget_percent", t.hedgePercent).Int("hedge_percentile", t.hedgePercentile).Msg("settings in force")
}
