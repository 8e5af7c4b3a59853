// This file holds what a voter does for other nodes: it grants leases and passes on the control state
// while it leads, and passes renewals and proposals to the leader while it does not.

package node

import (
	"context"
	"fmt"
	"sync"
	"time"

	"fulmarfall/control"
	"fulmarfall/controlplane"
	"fulmarfall/ident"
	"fulmarfall/lease"
	"fulmarfall/membership"
	"fulmarfall/voter"
	"fulmarfall/wire"
)

const (
	// planEvery is how often the leader looks for owner changes that are due.
	planEvery = 100 * time.Millisecond
	// maxReplyEntries bounds the bytes of commands in one answer; the rest follows with the next.
	maxReplyEntries = 1 << 20
)

// leaderSide is the state that a voter keeps while it leads.
type leaderSide struct {
	mu      sync.Mutex
	voter   *voter.Voter
	term    uint64
	leases  *lease.Leader
	members *membership.Table
}

func (n *Node) setVoter(v *voter.Voter) {
	n.leader.mu.Lock()
	defer n.leader.mu.Unlock()

	n.leader.voter = v
	n.voter = v
}

// getVoter returns nil while the voter is starting; messages can arrive earlier than that.
func (n *Node) getVoter() *voter.Voter {
	n.leader.mu.Lock()
	defer n.leader.mu.Unlock()

	return n.leader.voter
}

// lead returns the leader's tables of the current term, or false if this voter cannot act as leader.
// The caller holds the lock.
func (s *leaderSide) lead() (voter.Status, bool) {
	if s.voter == nil {
		return voter.Status{}, false
	}

	st := s.voter.Status()
	if !st.IsLeader || !st.Ready {
		return st, false
	}

	if s.leases == nil || s.term != st.Term {
		s.term = st.Term
		s.leases = lease.NewLeader()
		s.members = membership.NewTable(st.Term)
	}

	return st, true
}

// serveRenew grants a lease, or passes the renewal to the leader.
func (n *Node) serveRenew(ctx context.Context, from ident.NodeID, m *wire.Renew) wire.Message {
	if _, isVoter := n.voterPeer(from); m.Node != from && (!m.Relayed || !isVoter) {
		return &wire.Renewed{Error: fmt.Sprintf("node %s renews for node %s", from, m.Node)}
	}

	n.leader.mu.Lock()
	st, leads := n.leader.lead()

	if !leads {
		n.leader.mu.Unlock()

		return n.relayRenew(ctx, st, m)
	}

	defer n.leader.mu.Unlock()

	now := time.Now()

	granted, err := n.leader.leases.Renew(now, st.QuorumAt, lease.NodeInfo{
		ID: m.Node, Incarnation: m.Incarnation, Address: m.Address,
		FailureDomain: m.FailureDomain, Region: m.Region, Leaving: m.Leaving,
	})
	if err != nil {
		return &wire.Renewed{Leader: n.cfg.ID, Error: err.Error()}
	}

	n.leader.members.Renewed(now, membership.Member{
		Node: m.Node, QUICAddress: m.Address, HTTPAddress: m.HTTPAddress, FailureDomain: m.FailureDomain,
		Region: m.Region, Leaving: m.Leaving, LoadPercent: m.Load, Applied: m.Applied,
	})

	r := &wire.Renewed{
		OK: true, Leader: n.cfg.ID, GrantedMillis: granted.Milliseconds(),
		// Read after Renew, so that every change accepted before the grant is covered.
		MustApply: n.leader.voter.Status().CommitIndex,
	}
	n.fillMembers(r, m)

	if err := n.fillState(r, m); err != nil {
		return &wire.Renewed{Leader: n.cfg.ID, Error: err.Error()}
	}

	return r
}

func (n *Node) fillMembers(r *wire.Renewed, m *wire.Renew) {
	list, version, _ := n.leader.members.Since(membership.Version{Term: m.MembersTerm, Number: m.MembersNumber})
	r.MembersTerm, r.MembersNumber = version.Term, version.Number

	for i := range list {
		e := &list[i]
		r.Members = append(r.Members, wire.Member{
			Node: e.Node, Address: e.QUICAddress, HTTPAddress: e.HTTPAddress, FailureDomain: e.FailureDomain,
			Region: e.Region, Leaving: e.Leaving, Load: e.LoadPercent, Gone: e.Gone,
		})
	}
}

func (n *Node) fillState(r *wire.Renewed, m *wire.Renew) error {
	if m.Voter {
		return nil
	}

	entries, snapshot, err := n.state.Since(m.Applied, maxReplyEntries)
	if err != nil {
		return fmt.Errorf("make snapshot for a node: %w", err)
	}

	r.Entries, r.Snapshot = wire.EntriesOf(entries), snapshot

	return nil
}

// relayRenew passes a renewal on once, for nodes that reach this voter but not the leader.
func (n *Node) relayRenew(ctx context.Context, st voter.Status, m *wire.Renew) wire.Message {
	p, ok := n.voterPeer(st.Leader)
	if !ok || m.Relayed {
		return &wire.Renewed{Leader: st.Leader, Error: "not the leader"}
	}

	relayed := *m
	relayed.Relayed = true

	reply, err := n.transport.Call(ctx, p.Node, p.QUICAddress, &relayed)
	if err != nil {
		return &wire.Renewed{Leader: st.Leader, Error: err.Error()}
	}

	return reply
}

// voterPeer returns another voter of the settings.
func (n *Node) voterPeer(id ident.NodeID) (Peer, bool) {
	for _, p := range n.cfg.Voters {
		if p.Node == id && id != n.cfg.ID {
			return p, true
		}
	}

	return Peer{}, false
}

// servePropose commits a command, or passes it to the leader.
func (n *Node) servePropose(ctx context.Context, m *wire.Propose) *wire.Proposed {
	v := n.getVoter()
	if v == nil {
		return &wire.Proposed{Error: "not a voter"}
	}

	if st := v.Status(); !st.IsLeader {
		p, ok := n.voterPeer(st.Leader)
		if !ok || m.Relayed {
			return &wire.Proposed{Leader: st.Leader, Error: "not the leader"}
		}

		return n.proposeVia(ctx, p, m.Command, true)
	}

	return controlplane.Commit(ctx, v, m.Command)
}

// planLoop proposes the owner changes that are due while this voter leads.
func (n *Node) planLoop(ctx context.Context) {
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()

	led := false

	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}

		commands, leads := n.plan()
		if leads != led {
			led = leads
			n.logger.Info().Bool("leads", leads).Msg("leadership changed")
		}

		for _, c := range commands {
			n.proposeLocal(ctx, c)
		}
	}
}

func (n *Node) plan() (commands []control.Command, leads bool) {
	n.leader.mu.Lock()
	defer n.leader.mu.Unlock()

	st, leads := n.leader.lead()
	if !leads {
		return nil, false
	}

	now := time.Now()
	holders := make(map[ident.NodeID]bool)

	for _, info := range n.leader.leases.Nodes(now) {
		holders[info.ID] = true
	}

	n.leader.members.Expire(func(id ident.NodeID) bool { return holders[id] })
	n.state.View(func(v control.View) {
		commands = n.leader.leases.Plan(now, st.LeaderSince, v.Registry())
	})

	return commands, true
}

func (n *Node) proposeLocal(ctx context.Context, c control.Command) {
	data, err := control.EncodeCommand(time.Now(), c)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()

		_, err = n.voter.Propose(ctx, data)
	}

	if err != nil {
		n.meters.Counter("plan_failed_total").Inc(1)
	}
}
