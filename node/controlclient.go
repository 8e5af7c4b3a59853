// Client side of the control plane: the applied copy of the control state, lease renewal, and proposals to the leader.

package node

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"fulmarfall/control"
	"fulmarfall/directory"
	"fulmarfall/ident"
	"fulmarfall/lease"
	"fulmarfall/membership"
	"fulmarfall/timers"
	"fulmarfall/transport"
	"fulmarfall/voter"
	"fulmarfall/wire"

	"github.com/go-faster/errors"
)

// Timeouts and intervals of the control client.
const (
	renewTimeout   = 300 * time.Millisecond
	proposeTimeout = 3 * time.Second
	proposeRetry   = 50 * time.Millisecond
	// proposeCallTimeout bounds a single attempt. A commit takes milliseconds, so a longer attempt is probably waiting for
	// a failed leader, and the other voters elect a new one in under a second.
	proposeCallTimeout = 500 * time.Millisecond
)

// errControlUnreachable means that the proposal was not submitted and has no effect.
var errControlUnreachable = errors.New("no leader of the voters could be reached; nothing was proposed")

// errOutcomeUnknown means that the proposal may have been committed or may still be committed.
var errOutcomeUnknown = errors.New("the outcome of the proposal is unknown")

func newRandomSource() rand.Source {
	var seed [32]byte
	// crypto/rand.Read never returns an error on the supported systems; it crashes the process instead.
	_, _ = crand.Read(seed[:])

	return rand.NewChaCha8(seed)
}

func newToken() string {
	var b [16]byte

	_, _ = crand.Read(b[:])

	return fmt.Sprintf("%016x%016x", binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:]))
}

func (n *Node) triggerRenewal() {
	select {
	case n.renewNow <- struct{}{}:
	default:
	}
}

// renewLoop renews the lease and updates the applied copy, periodically and when triggered.
func (n *Node) renewLoop(ctx context.Context) {
	ticker := time.NewTicker(lease.RenewInterval)
	defer ticker.Stop()

	valid := false

	for {
		n.renew(ctx)

		if now := n.leaseValid(time.Now()); now != valid {
			valid = now
			n.logger.Info().Bool("valid", valid).Msg("lease changed")
		}

		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.renewNow:
		}
	}
}

// renew tries the voters in turn, starting with the one that answered the last renewal.
func (n *Node) renew(ctx context.Context) {
	n.mu.Lock()
	first := n.lastVoter
	n.mu.Unlock()

	for i := range n.cfg.Voters {
		index := (first + i) % len(n.cfg.Voters)
		if n.renewVia(ctx, index) {
			n.mu.Lock()
			n.lastVoter = index
			n.mu.Unlock()

			return
		}

		if ctx.Err() != nil {
			return
		}
	}

	n.meters.Counter("renewals_failed_total").Inc(1)
}

func (n *Node) renewal() *wire.Renew {
	n.mu.Lock()
	version := n.members.Version()
	n.mu.Unlock()

	return &wire.Renew{
		Node: n.cfg.ID, Incarnation: n.incarnation,
		Address: n.cfg.AdvertiseQUIC, HTTPAddress: n.cfg.AdvertiseHTTP,
		FailureDomain: n.cfg.FailureDomain, Region: n.cfg.Region,
		Applied: n.state.AppliedIndex(), Load: int(n.admission.Load() * 100),
		Leaving: n.stageNow() != stageServing || !n.inService(), Voter: n.voter != nil,
		MembersTerm: version.Term, MembersNumber: version.Number,
	}
}

func (n *Node) renewVia(ctx context.Context, index int) bool {
	p := n.cfg.Voters[index]
	req := n.renewal()

	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()

	sent := time.Now()

	var reply wire.Message

	if p.Node == n.cfg.ID {
		reply = n.serveRenew(ctx, n.cfg.ID, req)
	} else {
		var err error

		reply, err = n.transport.Call(ctx, p.Node, p.QUICAddress, req)
		if err != nil {
			return false
		}
	}

	r, ok := reply.(*wire.Renewed)
	if !ok || !r.OK {
		return false
	}

	if err := n.catchUp(r); err != nil {
		n.logger.Error().Err(err).Msg("failed to apply the control state from a lease renewal")

		return false
	}

	n.mu.Lock()
	n.holder.RecordGrant(sent, time.Duration(r.GrantedMillis)*time.Millisecond, r.MustApply)
	n.members.Update(time.Now(), membersOf(r), membership.Version{Term: r.MembersTerm, Number: r.MembersNumber})
	n.mu.Unlock()

	n.owned.setLeaseEnd(time.Now(), n.updateApplied())
	n.owned.notify()

	return true
}

// updateApplied passes the applied index to the lease holder and returns the expiry of the lease.
func (n *Node) updateApplied() time.Time {
	applied := n.state.AppliedIndex()

	n.mu.Lock()
	defer n.mu.Unlock()

	n.holder.SetApplied(applied)

	return n.holder.Expiry()
}

// catchUp applies the snapshot and log entries of a renewal. A voter does nothing, because it applies its own log.
func (n *Node) catchUp(r *wire.Renewed) error {
	if n.voter != nil {
		return nil
	}

	if len(r.Snapshot) > 0 {
		if err := n.state.Restore(r.Snapshot); err != nil && !errors.Is(err, control.ErrOlderSnapshot) {
			return fmt.Errorf("restore snapshot: %w", err)
		}
	}

	for i := range r.Entries {
		n.state.Apply(r.Entries[i].Index, r.Entries[i].Data)
	}

	return nil
}

func membersOf(r *wire.Renewed) []membership.Member {
	list := make([]membership.Member, 0, len(r.Members))
	for i := range r.Members {
		m := &r.Members[i]
		list = append(list, membership.Member{
			Node: m.Node, QUICAddress: m.Address, HTTPAddress: m.HTTPAddress, FailureDomain: m.FailureDomain,
			Region: m.Region, Leaving: m.Leaving, LoadPercent: m.Load, Expired: m.Gone,
		})
	}

	return list
}

// member returns the membership entry of a node, or false if the node is not a member.
func (n *Node) member(id ident.NodeID) (membership.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.members.Member(id)
}

// otherMembers returns all members except this node.
func (n *Node) otherMembers() []membership.Member {
	n.mu.Lock()
	defer n.mu.Unlock()

	var list []membership.Member

	n.members.Each(func(m membership.Member, _ time.Time) {
		if m.Node != n.cfg.ID {
			list = append(list, m)
		}
	})

	return list
}

// addresses returns the node addresses that a caller should use, with their time to live.
func (n *Node) addresses(caller string) directory.Answer {
	now := time.Now()

	var nodes []directory.Node

	n.mu.Lock()
	n.members.Each(func(m membership.Member, since time.Time) {
		nodes = append(nodes, directory.Node{
			ID: m.Node, Address: m.HTTPAddress, FailureDomain: m.FailureDomain,
			Leaving: m.Leaving, InService: true, Since: since, Load: float64(m.LoadPercent) / 100,
		})
	})
	n.mu.Unlock()

	n.state.View(func(v control.View) {
		for i := range nodes {
			nodes[i].InService = v.Records().InService(nodes[i].FailureDomain)
		}
	})

	if n.stageNow() != stageServing {
		for i := range nodes {
			nodes[i].Leaving = nodes[i].Leaving || nodes[i].ID == n.cfg.ID
		}
	}

	return n.directory.Answer(now, caller, nodes)
}

// propose retries a command until it is committed or ctx ends. Retries are safe, because each command is idempotent by its
// operation ID, token, epoch or incarnation.
func (n *Node) propose(ctx context.Context, c control.Command) (control.Result, error) {
	data, err := control.EncodeCommand(time.Now(), c)
	if err != nil {
		return nil, fmt.Errorf("propose: %w", err)
	}

	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()

	unknown := false

	for index := n.lastVoterIndex(); ; index++ {
		r := n.proposeVia(ctx, n.cfg.Voters[index%len(n.cfg.Voters)], data, false)
		if r.OK {
			res, err := control.DecodeResult(r.Result)
			if err != nil {
				return nil, fmt.Errorf("propose: %w", err)
			}

			return res, nil
		}

		unknown = unknown || r.OutcomeUnknown

		if err := timers.Sleep(ctx, proposeRetry); err != nil {
			if unknown {
				return nil, fmt.Errorf("%w: %s", errOutcomeUnknown, r.Error)
			}

			return nil, fmt.Errorf("%w: %s", errControlUnreachable, r.Error)
		}
	}
}

func (n *Node) lastVoterIndex() int {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.lastVoter
}

// proposeVia sends a command to one voter, which relays it to the leader if it is not the leader itself.
func (n *Node) proposeVia(ctx context.Context, p Peer, data []byte, relayed bool) *wire.Proposed {
	req := &wire.Propose{Command: data, Relayed: relayed}
	if p.Node == n.cfg.ID {
		return n.servePropose(ctx, req)
	}

	ctx, cancel := context.WithTimeout(ctx, proposeCallTimeout)
	defer cancel()

	reply, err := n.transport.Call(ctx, p.Node, p.QUICAddress, req)
	if err != nil {
		return &wire.Proposed{Error: err.Error(), OutcomeUnknown: !transport.IsNotSent(err)}
	}

	r, ok := reply.(*wire.Proposed)
	if !ok {
		return &wire.Proposed{Error: "unexpected answer to a proposal", OutcomeUnknown: true}
	}

	return r
}

// raftSender sends the Raft messages of the local voter over the transport.
type raftSender struct{ n *Node }

var _ voter.Sender = raftSender{}

// Send implements voter.Sender. Messages to nodes that are not configured as voters are dropped.
func (s raftSender) Send(to ident.NodeID, msg []byte) {
	for _, p := range s.n.cfg.Voters {
		if p.Node == to {
			s.n.transport.Send(to, p.QUICAddress, &wire.Raft{From: s.n.cfg.ID, Data: msg})

			return
		}
	}
}
