package controlplane

import (
	"time"

	"fulmarfall/directory"
	"fulmarfall/ident"
	"fulmarfall/roster"
	"fulmarfall/wire"
)

// isolationGrace is how long a control VM without a leader gives no addresses, so that callers use another one. Most network
// partitions heal, or the other control VMs elect a leader, within this time. After it, an old answer is better than none.
const isolationGrace = 4 * time.Second

// canAdvise reports whether this control VM should give addresses to callers. One that is partitioned from the others
// does not learn of entry VMs that have failed, and the entry VMs on its side of the partition may not reach the searchers.
func (p *Plane) canAdvise(now time.Time, hasLeader bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	if hasLeader {
		p.leaderSeenAt = now
	}

	return hasLeader || now.Sub(p.leaderSeenAt) >= isolationGrace
}

// entryVMs returns the entry VMs, and the number of ready searchers in each failure domain.
func (p *Plane) entryVMs(now time.Time) ([]directory.Node, *directory.Topology) {
	p.mu.Lock()
	defer p.mu.Unlock()

	var nodes []directory.Node

	topology := &directory.Topology{Regions: p.cfg.Regions, Searchers: map[ident.FailureDomain]int{}}

	p.roster.Each(now, roster.RoleSearcher, func(in *roster.Instance, _ time.Duration) {
		if in.State == roster.StateReady {
			topology.Searchers[in.FailureDomain]++
		}
	})
	p.roster.Each(now, roster.RoleEntry, func(in *roster.Instance, _ time.Duration) {
		nodes = append(nodes, directory.Node{
			ID: ident.NodeID(in.ID), Address: in.Address, FailureDomain: in.FailureDomain,
			InService: in.State == roster.StateReady, Leaving: in.State == roster.StateLeaving,
			Load:     float64(in.Load) / float64(max(in.Capacity, 1)),
			Isolated: in.Links == roster.LinksDown, Limited: in.Links == roster.LinksLimited,
		})
	})

	return nodes, topology
}

// adviceInterval is the minimum time between two computations of the addresses for callers. Several hundred entry VMs ask
// for these every 250 or 500 ms, so they are not computed for each request.
const adviceInterval = 100 * time.Millisecond

// refreshAdvice recomputes the addresses for callers if they are older than adviceInterval. It returns false if this control
// VM should not give addresses.
func (p *Plane) refreshAdvice(now time.Time, hasLeader bool) bool {
	if !p.canAdvise(now, hasLeader) {
		return false
	}

	p.adviceMu.Lock()
	defer p.adviceMu.Unlock()

	if now.Sub(p.advisedAt) >= adviceInterval {
		nodes, topology := p.entryVMs(now)
		p.adviser.Renew(directory.Advise(nodes, topology, p.adviser.Advice()))
		p.advisedAt = now
	}

	return true
}

// Addresses returns the entry VMs that a caller in the given failure domain and region should use, and how long it should
// keep the answer. The answer is empty if this control VM should not give addresses.
func (p *Plane) Addresses(domain ident.FailureDomain, region ident.Region) directory.Answer {
	now := time.Now()
	if !p.refreshAdvice(now, p.hasLeader(now)) {
		p.count(metricDirectoryEmpty)

		return directory.Answer{}
	}

	p.count(metricDirectory)

	return p.adviser.Answer(now, domain, region)
}

// addAdvice adds the addresses for callers to the answer to an entry VM, unless the entry VM already has this version.
func (p *Plane) addAdvice(now time.Time, m *wire.Follow, r *wire.Followed) {
	if !p.refreshAdvice(now, r.Connected) {
		return
	}

	a := p.adviser.Advice()

	r.AdviceVersion = a.Version
	if m.AdviceVersion == a.Version {
		return
	}

	for _, d := range a.Domains {
		r.Advice = append(r.Advice, wire.DomainAdvice(d))
	}

	for _, peer := range a.Peers {
		r.Peers = append(r.Peers, wire.Peer(peer))
	}
}
