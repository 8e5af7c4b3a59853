// Services that a voter provides to other nodes. The leader grants leases, distributes the control state and commits proposals;
// other voters relay renewals and proposals to the leader.

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
	// planInterval is the interval at which the leader looks for due owner changes.
	planInterval = 100 * time.Millisecond
	// maxEntryBytes bounds the total size of the log entries in one reply. The following renewals fetch the remaining ones.
	maxEntryBytes = 1 << 20
)

// leaderState is the state that a voter keeps while it is the leader. The tables are replaced in each new term.
type leaderState struct {
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

// getVoter returns nil if this node is not a voter, or has not started it yet. Messages can arrive before that.
func (n *Node) getVoter() *voter.Voter {
	n.leader.mu.Lock()
	defer n.leader.mu.Unlock()

	return n.leader.voter
}

// refresh returns the status of the voter and whether it can act as leader. If so, the tables of the current term are
// present. The caller must hold s.mu.
func (s *leaderState) refresh() (voter.Status, bool) {
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

// serveRenew renews the lease of a node, or relays the request to the leader.
func (n *Node) serveRenew(ctx context.Context, from ident.NodeID, m *wire.Renew) wire.Message {
	if _, isVoter := n.voterPeer(from); m.Node != from && (!m.Relayed || !isVoter) {
		return &wire.Renewed{Error: fmt.Sprintf("node %s may not renew the lease of node %s", from, m.Node)}
	}

	n.leader.mu.Lock()
	st, isLeader := n.leader.refresh()

	if !isLeader {
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

	n.leader.members.Renew(now, membership.Member{
		Node: m.Node, QUICAddress: m.Address, HTTPAddress: m.HTTPAddress, FailureDomain: m.FailureDomain,
		Region: m.Region, Leaving: m.Leaving, LoadPercent: m.Load, Applied: m.Applied,
	})

	r := &wire.Renewed{
		OK: true, Leader: n.cfg.ID, GrantedMillis: granted.Milliseconds(),
		// Read the commit index after Renew, so that it covers every change accepted before the grant.
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
			Region: e.Region, Leaving: e.Leaving, Load: e.LoadPercent, Gone: e.Expired,
		})
	}
}

func (n *Node) fillState(r *wire.Renewed, m *wire.Renew) error {
	if m.Voter {
		return nil
	}

	entries, snapshot, err := n.state.UpdatesSince(m.Applied, maxEntryBytes, control.SnapshotFormat)
	if err != nil {
		return fmt.Errorf("read control state for renewal: %w", err)
	}

	r.Entries, r.Snapshot = wire.ToWireEntries(entries), snapshot

	return nil
}

// relayRenew forwards a renewal to the leader for a node that cannot reach it. A renewal is relayed at most once.
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

// voterPeer returns the configured voter with the given ID. It does not return this node.
func (n *Node) voterPeer(id ident.NodeID) (Peer, bool) {
	for _, p := range n.cfg.Voters {
		if p.Node == id && id != n.cfg.ID {
			return p, true
		}
	}

	return Peer{}, false
}

// servePropose commits a command, or relays it to the leader.
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

// planLoop proposes due owner changes while this voter is the leader.
func (n *Node) planLoop(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()

	wasLeader := false

	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}

		commands, isLeader := n.plan()
		if isLeader != wasLeader {
			wasLeader = isLeader
			n.logger.Info().Bool("leads", isLeader).Msg("leadership changed")
		}

		for _, c := range commands {
			n.proposeLocal(ctx, c)
		}
	}
}

func (n *Node) plan() (commands []control.Command, isLeader bool) {
	n.leader.mu.Lock()
	defer n.leader.mu.Unlock()

	st, isLeader := n.leader.refresh()
	if !isLeader {
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
