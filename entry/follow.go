package entry

// This file follows roster and control state at a control VM.

import (
	"context"
	"time"

	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/roster"
	"fulmarfall/wire"

	"github.com/go-faster/errors"
)

// returnAfter is how long a node follows a control VM that is not the nearest before it tries the nearest one again.
const returnAfter = 3 * time.Second

// followed is the state of the follow loop; only its goroutine uses it.
type followed struct {
	at             ident.NodeID
	since          time.Time // of the exchange with at that came first
	epoch, version uint64
	reached        bool
	failures       int
}

func (n *Node) followLoop() {
	ticker := time.NewTicker(followEvery)
	defer ticker.Stop()

	var f followed

	for {
		if !n.follow(&f) {
			// The next control VM is asked at once, but not in a busy loop when none can be reached.
			f.failures++
			if f.failures < len(n.controlVMs()) {
				continue
			}
		}

		f.failures = 0

		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		case <-n.wake:
		}
	}
}

// errDisconnected means that a control VM answers, but has no leader, so that others may be ahead of it.
var errDisconnected = errors.New("the control VM has no leader")

// follow exchanges once with the control VM in use, and chooses another one if that fails.
func (n *Node) follow(f *followed) bool {
	if f.at == "" {
		f.at = n.chooseControlVM("")
	}

	now := time.Now()
	if nearest := n.controlVMs()[0]; f.reached && f.at != nearest && now.Sub(f.since) >= returnAfter {
		*f = followed{at: nearest}
	}

	self := n.self()
	req := &wire.Follow{
		Self: wire.InstanceOf(now, &self, 0), RosterEpoch: f.epoch, RosterVersion: f.version, Applied: n.state.AppliedIndex(),
	}

	ctx, cancel := context.WithTimeout(n.ctx, followTimeout)
	defer cancel()

	reply, err := n.transport.Call(ctx, f.at, string(f.at), req)
	r, ok := reply.(*wire.Followed)

	if err == nil && (!ok || !r.OK) {
		err = errors.New("the control VM can't answer")
	}

	if err == nil {
		err = n.take(r)
	}

	if err == nil && !r.Connected {
		err = errDisconnected
	}

	if err != nil {
		if n.ctx.Err() == nil {
			n.logger.Warn().Str("node", string(f.at)).Err(err).Msg("control VM lost")
		}

		*f = followed{at: n.chooseControlVM(f.at), failures: f.failures}

		return false
	}

	if !f.reached {
		f.since = now
		n.logger.Info().Str("node", string(f.at)).Uint64("applied", n.state.AppliedIndex()).Msg("control VM reached")
	}

	f.reached, f.epoch, f.version = true, r.RosterEpoch, r.RosterVersion

	return true
}

// self returns the announcement of this entry VM.
func (n *Node) self() roster.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.sequence++
	in := roster.Instance{
		ID: roster.InstanceID(n.cfg.Node), Role: roster.RoleEntry, Address: n.cfg.Address,
		FailureDomain: n.cfg.FailureDomain, Born: n.cfg.Incarnation, Sequence: n.sequence,
	}

	if n.leaving.Load() {
		in.State = roster.StateLeaving
	}

	return in
}

// controlVMs returns the known control VMs, nearest first.
func (n *Node) controlVMs() []ident.NodeID {
	var domain, region, far []ident.NodeID

	seen := map[ident.NodeID]bool{}

	n.mu.Lock()
	n.roster.Each(time.Now(), roster.RoleControl, func(in *roster.Instance, _ time.Duration) {
		id := ident.NodeID(in.ID)

		switch {
		case in.State != roster.StateReady:
			return
		case in.FailureDomain == n.cfg.FailureDomain:
			domain = append(domain, id)
		case n.cfg.Regions[in.FailureDomain] == n.cfg.Region:
			region = append(region, id)
		default:
			far = append(far, id)
		}

		seen[id] = true
	})
	seeds := n.cfg.Seeds
	n.mu.Unlock()

	list := append(append(domain, region...), far...)

	for _, id := range seeds {
		if !seen[id] {
			list = append(list, id)
		}
	}

	return list
}

// chooseControlVM returns the control VM to ask after another one.
func (n *Node) chooseControlVM(after ident.NodeID) ident.NodeID {
	list := n.controlVMs()
	for i, id := range list {
		if id == after {
			return list[(i+1)%len(list)]
		}
	}

	return list[0]
}

// take brings the copies up to date.
func (n *Node) take(r *wire.Followed) error {
	now := time.Now()

	if len(r.Snapshot) > 0 {
		if err := n.state.Restore(r.Snapshot); err != nil && !errors.Is(err, control.ErrOlderSnapshot) {
			return errors.Wrap(err, "restore control state")
		}
	}

	for i := range r.Entries {
		n.state.Apply(r.Entries[i].Index, r.Entries[i].Data)
	}

	n.mu.Lock()
	defer n.mu.Unlock()

	for i := range r.Instances {
		in, age := r.Instances[i].Instance(now)

		old, known := n.roster.Lookup(in.Role, in.ID)
		if n.roster.Heard(now, in, age) && (!known || old.Instance.State != in.State || old.Instance.Born != in.Born) {
			n.logger.Info().Str("instance", string(in.ID)).Uint8("role", uint8(in.Role)).Str("address", in.Address).
				Str("upstream", string(in.Upstream)).Uint8("state", uint8(in.State)).Dur("age", age).Msg("roster changed")
		}
	}

	n.roster.Expire(now)
	n.rebuild(now)

	return nil
}
