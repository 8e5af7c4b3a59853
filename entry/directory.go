package entry

import (
	"time"

	"fulmarfall/directory"
	"fulmarfall/ident"
	"fulmarfall/wire"
)

// applyAdvice updates the directory with the addresses that the control VM recommends.
func (n *Node) applyAdvice(r *wire.Followed) {
	a := directory.Advice{Version: r.AdviceVersion}
	for _, d := range r.Advice {
		a.Domains = append(a.Domains, directory.DomainAdvice(d))
	}

	for _, p := range r.Peers {
		a.Peers = append(a.Peers, directory.Peer(p))
	}

	if n.adviser.Renew(a) {
		n.logger.Info().Uint64("version", a.Version).Int("failure_domains", len(a.Domains)).Int("peers", len(a.Peers)).Msg("addresses for callers changed")
	}
}

// Addresses returns the entry VMs that a caller should use, and how long to keep the answer. The control VMs compute it;
// entry VMs serve it too because there are more of them, and a caller that asks a failed control VM waits for a second.
// The answer is empty before the first exchange with a control VM.
func (n *Node) Addresses(domain ident.FailureDomain, region ident.Region) directory.Answer {
	a := n.adviser.Answer(time.Now(), domain, region)

	if n.meters != nil {
		name := "directory_answers_total"
		if len(a.Addresses) == 0 {
			name = "directory_empty_total"
		}

		n.meters.Counter(name).Inc(1)
	}

	return a
}
