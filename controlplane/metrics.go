package controlplane

import (
	"fulmarfall/ident"
)

// Names of counters and gauges on the metrics page.
const (
	metricFollows        = "follows_served_total"
	metricReports        = "reports_taken_total"
	metricDirectory      = "directory_answers_total"
	metricDirectoryEmpty = "directory_empty_total"
	metricChanges        = "control_changes_total" // by outcome
	metricRoster         = "roster_instances"
	metricIsolated       = "isolated_entry_vms"
	metricLeader         = "voter_leads"
	metricVoters         = "voters"
	metricApplied        = "applied_index"
	metricRolloutSteps   = "rollout_steps_total" // by stage
	metricUsageReports   = "usage_reports_total"
	metricUsageRelayed   = "usage_reports_relayed_total"
	metricUsageHolders   = "usage_entry_vms"
	metricUsageExhausted = "usage_exhausted_teams"
	metricUsageFree      = "usage_least_free_share"
)

// Outcomes of changes of the control state.
const (
	outcomeStored    ident.Reason = "stored"
	outcomeUnchanged ident.Reason = "unchanged"
	outcomeUnknown   ident.Reason = "unsure"
	outcomeAbandoned ident.Reason = "abandoned"
)

func (p *Plane) count(name string) {
	if p.meters != nil {
		p.meters.Counter(name).Inc(1)
	}
}

func (p *Plane) countChange(outcome ident.Reason) {
	if p.meters != nil {
		p.meters.ByReason(metricChanges, outcome).Inc(1)
	}
}

// updateGauges sets the gauges for the state of the voter and the size of the roster.
func (p *Plane) updateGauges() {
	if p.meters == nil {
		return
	}

	p.mu.Lock()
	instances, isolated := p.roster.Size(), p.roster.IsolatedEntryVMs()
	p.mu.Unlock()

	st := p.getVoter().Status()

	leads := 0.0
	if st.IsLeader {
		leads = 1
	}

	p.meters.Gauge(metricRoster).Update(float64(instances))
	p.meters.Gauge(metricIsolated).Update(float64(isolated))
	p.meters.Gauge(metricLeader).Update(leads)
	p.meters.Gauge(metricVoters).Update(float64(len(st.Voters)))
	p.meters.Gauge(metricApplied).Update(float64(st.AppliedIndex))
	p.updateUsageGauges(st.IsLeader)
}
