package controlplane

import (
	"context"
	"sync"
	"time"

	"fulmarfall/configuration"
	"fulmarfall/ident"
	"fulmarfall/timers"
	"fulmarfall/usage"
	"fulmarfall/voter"
	"fulmarfall/wire"
)

const (
	// quorumMaxAge is the age of the last confirmation by a majority up to which the leader grants shares of rate limits.
	// Others elect a new leader after 400 ms at the earliest.
	quorumMaxAge = 300 * time.Millisecond
	// suspensionTolerance is the smallest difference between two clocks that counts as a suspension of the machine.
	suspensionTolerance = 50 * time.Millisecond
	// usageReportInterval is the time between two log lines about the division of rate limits.
	usageReportInterval = 10 * time.Second
)

// usageState divides the rate limits of calling teams while this control VM is the leader.
type usageState struct {
	mu        sync.Mutex
	allocator *usage.Allocator
	term      uint64
	version   configuration.Version // of the limits
	// suspended is the time for which this machine has been suspended since its start, resumedAt when an increase was found.
	suspended time.Duration
	resumedAt time.Time
	settled   bool
	exhausted int
	loggedAt  time.Time
}

// WithConfigurationDecoder sets the function that decodes configuration documents. Without it, this control VM grants no
// shares of rate limits.
func WithConfigurationDecoder(decode func(content []byte) (*configuration.Configuration, error)) Option {
	return func(p *Plane) { p.decode = decode }
}

// serveUsage answers the report of an entry VM: the leader with a grant, another control VM by passing it to the leader.
func (p *Plane) serveUsage(ctx context.Context, m *wire.UsageReport) wire.Message {
	v := p.getVoter()
	if v == nil {
		return &wire.UsageGrant{Error: "the voter starts"}
	}

	st := v.Status()

	switch {
	case st.IsLeader:
		return p.grantUsage(time.Now(), &st, m)
	case m.Relayed:
		return &wire.UsageGrant{Error: "not the leader"}
	case st.Leader == "":
		return &wire.UsageGrant{Error: "no leader is known"}
	}

	ctx, cancel := context.WithTimeout(ctx, proposeCallTimeout)
	defer cancel()

	relayed := *m
	relayed.Relayed = true

	reply, err := p.transport.Call(ctx, st.Leader, string(st.Leader), &relayed)
	if err != nil {
		return &wire.UsageGrant{Error: err.Error()}
	}

	// An older build answers with wire.Ack, from which the entry VM draws its conclusions.
	p.count(metricUsageRelayed)

	return reply
}

// grantUsage answers a report as the leader.
func (p *Plane) grantUsage(now time.Time, st *voter.Status, m *wire.UsageReport) *wire.UsageGrant {
	p.usage.mu.Lock()
	defer p.usage.mu.Unlock()

	u := &p.usage
	u.checkSuspension(now)

	if !st.Ready || now.Sub(st.QuorumAt) >= quorumMaxAge || !st.QuorumAt.After(u.resumedAt) {
		return &wire.UsageGrant{Error: "the leader is not sure"}
	}

	if u.allocator == nil || u.term != st.Term {
		u.allocator, u.term, u.version, u.settled = usage.NewAllocator(st.Term, st.LeaderSince), st.Term, 0, false
		p.logger.Info().Uint64("term", st.Term).Msg("division of rate limits begins")
	}

	p.updateUsageLimits(now)

	g := u.allocator.Report(now, m.Node, m.Report())
	if g == nil {
		return &wire.UsageGrant{Error: "a later report or leader is known"}
	}

	p.count(metricUsageReports)
	p.reportUsage(now)

	return wire.ToWireUsageGrant(g)
}

// checkSuspension finds out whether this machine was suspended. Its monotonic clock stands still meanwhile, so a
// confirmation by a majority seems younger than it is.
func (u *usageState) checkSuspension(now time.Time) {
	suspended, ok := timers.Suspended()
	if ok && suspended-u.suspended > suspensionTolerance {
		u.suspended, u.resumedAt = suspended, now
	}
}

// updateUsageLimits applies the limits of the current configuration. The caller must hold usage.mu.
func (p *Plane) updateUsageLimits(now time.Time) {
	u := &p.usage

	doc := p.currentDocument()
	if doc.Version == u.version || p.decode == nil {
		return
	}

	u.version = doc.Version

	content, err := doc.Content.Unpack()
	if err != nil {
		p.logger.Error().Err(err).Uint64("version", uint64(doc.Version)).Msg("cannot read the rate limits of a configuration; the previous ones stay in force")

		return
	}

	cfg, err := p.decode(content)
	if err != nil {
		p.logger.Error().Err(err).Uint64("version", uint64(doc.Version)).Msg("cannot read the rate limits of a configuration; the previous ones stay in force")

		return
	}

	limits := map[ident.TeamID]usage.Limit{}

	for i := range cfg.Teams {
		t := &cfg.Teams[i]
		if l := p.cfg.Quota.Limit(t.RatePerSecond, t.Burst); l.Rate > 0 {
			limits[t.Name] = l
		}
	}

	u.allocator.SetLimits(now, limits)
	p.logger.Info().Uint64("version", uint64(doc.Version)).Int("teams", len(limits)).Msg("rate limits changed")
}

// reportUsage logs changes of the division, and its state every usageReportInterval. The caller must hold usage.mu.
func (p *Plane) reportUsage(now time.Time) {
	u := &p.usage
	st := u.allocator.Stats()

	if st.Settled == u.settled && (st.Exhausted > 0) == (u.exhausted > 0) && now.Sub(u.loggedAt) < usageReportInterval {
		return
	}

	u.settled, u.exhausted, u.loggedAt = st.Settled, st.Exhausted, now
	p.logger.Info().Uint64("term", u.term).Bool("settled", st.Settled).Int("entry_vms", st.VMs).Int("with_callers", st.Callers).Int("teams", st.Teams).
		Int("exhausted_teams", st.Exhausted).Float64("least_free", float64(st.LeastFree)/float64(usage.Whole)).Msg("division of rate limits")
}

// updateUsageGauges sets the gauges for the division of rate limits, to 0 on control VMs other than the leader.
func (p *Plane) updateUsageGauges(leads bool) {
	var st usage.Stats

	p.usage.mu.Lock()
	if leads && p.usage.allocator != nil {
		st = p.usage.allocator.Stats()
	}
	p.usage.mu.Unlock()

	p.meters.Gauge(metricUsageHolders).Update(float64(st.VMs))
	p.meters.Gauge(metricUsageExhausted).Update(float64(st.Exhausted))
	p.meters.Gauge(metricUsageFree).Update(float64(st.LeastFree) / float64(usage.Whole))
}
