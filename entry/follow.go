package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/reachability"
	"fulmarfall/roster"
	"fulmarfall/wire"

	"github.com/go-faster/errors"
)

// failbackDelay is how long a control VM that failed is avoided while another one answers.
const failbackDelay = 3 * time.Second

// followState is the state of the follow loop; only its goroutine uses it.
type followState struct {
	current ident.NodeID
	reached bool
	// unreachable counts the consecutive control VMs that could not be reached, failures the consecutive exchanges
	// without an answer.
	unreachable int
	failures    int
	vms         map[ident.NodeID]*controlVMState
	// firstContact is set if the roster listed no control VM before the last exchange.
	firstContact bool
	// lastExchange is the time of the last exchange, zero if it failed.
	lastExchange time.Time
}

// controlVMState is the synchronisation state with one control VM.
type controlVMState struct {
	cursor   roster.Cursor
	hasMore  bool // its last answer did not contain all changes
	failedAt time.Time
}

func (f *followState) controlVM(id ident.NodeID) *controlVMState {
	vm := f.vms[id]
	if vm == nil {
		vm = &controlVMState{}
		f.vms[id] = vm
	}

	return vm
}

// clearFailures makes all control VMs eligible again. At the first contact, all nodes may have contacted the seeds at
// once, so failures say little about a control VM.
func (f *followState) clearFailures() {
	for _, vm := range f.vms {
		vm.failedAt = time.Time{}
	}
}

// rateMeter keeps an exponentially weighted average of the events per second.
type rateMeter struct {
	measuredAt time.Time
	count      int64
	rate       float64
	// surgeUntil is the time until which an increase counts at once.
	surgeUntil time.Time
}

// surgeTime is the time for which increases count at once after a node was isolated: its callers come to the others, and back,
// all together. They keep addresses for 3 s.
const surgeTime = 3 * time.Second

// rateWeight is the weight of the newest measurement, which covers 250 ms.
const rateWeight = 0.25

func (m *rateMeter) measure(now time.Time, count int64) uint32 {
	if d := now.Sub(m.measuredAt); !m.measuredAt.IsZero() && d > 0 {
		measured := float64(count-m.count) / d.Seconds()

		weight := rateWeight
		if now.Before(m.surgeUntil) && measured > m.rate {
			weight = 1
		}

		m.rate += weight * (measured - m.rate)
	}

	m.measuredAt, m.count = now, count

	return uint32(m.rate)
}

// exchangeTimeout returns the timeout of an exchange with the control VM after the given number of consecutive failures.
func (n *Node) exchangeTimeout(failures int) time.Duration {
	if n.view.Load() != nil {
		return followTimeout
	}

	return unconfiguredTimeout(failures)
}

// unconfiguredTimeout returns the timeout of an exchange for a node that knows no configuration. It doubles with each
// round over all seeds: if hundreds of nodes contact a control VM at once, each one that times out and retries adds to
// its load.
func unconfiguredTimeout(failures int) time.Duration {
	return unconfiguredFollowTimeout << min(failures/maxSeeds, maxTimeoutDoublings)
}

func (n *Node) followLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()

	f := &followState{vms: map[ident.NodeID]*controlVMState{}}

	for {
		began := time.Now()
		n.reportLimits(began)
		n.reportAdmission(began)
		n.reportZones(began)

		if err := n.followIfDue(f, began); err != nil && !errors.Is(err, errNoLeader) {
			// Try the next control VM at once, unless all are unreachable, which would make this a busy loop, or this
			// node has no callers.
			f.unreachable++
			if list, _ := n.controlVMs(); f.unreachable < len(list) && n.hasCallers() {
				continue
			}
		}

		f.unreachable = 0

		timer.Reset(time.Until(began.Add(n.nextFollowDelay(f.failures))))

		select {
		case <-n.ctx.Done():
			return
		case <-timer.C:
		case <-n.wake:
		}
	}
}

// followIfDue skips every other exchange while this node has no callers and nothing is pending for it.
func (n *Node) followIfDue(f *followState, now time.Time) error {
	if !n.exchangeDue(f, now) {
		return nil
	}

	err := n.follow(f)

	if err == nil && f.firstContact {
		f.clearFailures()

		if f.controlVM(f.current).hasMore {
			err = n.follow(f) // the nearest control VM has the remaining changes
		}
	}

	switch {
	case err == nil:
		f.lastExchange, f.failures = now, 0
	case errors.Is(err, errNoLeader):
		f.lastExchange, f.failures = time.Time{}, 0
	default:
		f.lastExchange = time.Time{}
		f.failures++
	}

	return err
}

// exchangeDue reports whether this round needs an exchange with the control VM.
func (n *Node) exchangeDue(f *followState, now time.Time) bool {
	if n.view.Load() == nil || n.leaving.Load() || n.links.changed.Swap(false) || f.controlVM(f.current).hasMore || now.Sub(f.lastExchange) >= idleFollowInterval {
		return true
	}

	if n.links.state() == reachability.Isolated || n.rollouts.reportDue() {
		return true
	}

	n.mu.Lock()
	defer n.mu.Unlock()

	return n.load.rate >= 1 || n.load.count != n.attempts.Load()
}

// errNoLeader means that a control VM answers but has no leader, so that others may be ahead of it.
var errNoLeader = errors.New("control VM has no leader")

// follow performs one exchange with the current control VM, and selects another one if that fails.
func (n *Node) follow(f *followState) error {
	now := time.Now()
	list, known := n.controlVMs()
	f.firstContact = !known

	switch nearest := list[0]; {
	case f.current == "":
		f.current = list[rand.IntN(len(list))]
	case f.current != nearest && now.Sub(f.controlVM(nearest).failedAt) >= failbackDelay:
		f.current, f.reached = nearest, false
	}

	vm := f.controlVM(f.current)

	err := n.exchangeRoster(now, f, vm)
	if errors.Is(err, errNoLeader) && n.view.Load() == nil {
		return err // no control VM has a configuration yet, so trying the others is of no use
	}

	if err != nil {
		if n.ctx.Err() == nil {
			n.logger.Warn().Str("node", string(f.current)).Err(err).Msg("control VM lost")
		}

		vm.failedAt = now
		f.current, f.reached = nextControlVM(list, f.current), false

		return err
	}

	n.usage.setNearest(f.current)

	if !f.reached {
		f.reached = true
		n.logger.Info().Str("node", string(f.current)).Uint64("applied", n.state.AppliedIndex()).Msg("control VM reached")
	}

	return nil
}

// exchangeRoster announces this node to the current control VM and applies the changes that it returns.
func (n *Node) exchangeRoster(now time.Time, f *followState, vm *controlVMState) error {
	self := n.self()
	req := &wire.Follow{
		Self: wire.ToWireInstance(now, &self, 0), Applied: n.state.AppliedIndex(), Unpacks: true, Contacts: f.firstContact,
		AdviceVersion: n.adviser.Advice().Version,
	}
	limits := n.planner.LimitsToShare(now)
	req.Limits = toWireLimits(now, limits)
	req.Rollouts, req.SnapshotFormat = n.rolloutReports(), control.SnapshotFormat
	req.SetCursor(&vm.cursor)

	ctx, cancel := context.WithTimeout(n.ctx, n.exchangeTimeout(f.failures))
	defer cancel()

	reply, err := n.transport.Call(ctx, f.current, string(f.current), req)
	if err != nil {
		return errors.Wrap(err, "follow control VM")
	}

	r, ok := reply.(*wire.Followed)
	if !ok || !r.OK {
		return errors.New("control VM did not accept the exchange")
	}

	if err := r.Unpack(); err != nil {
		return errors.Wrap(err, "follow control VM")
	}

	n.planner.LimitsShared(now, limits)
	n.applyAdvice(r)

	if r.Isolated > 0 {
		n.checkIdleLinks(now)
	}

	missing, err := n.applyFollowed(r)
	if err != nil {
		return err
	}

	vm.cursor.Advance(r.RosterEpoch, r.RosterVersion, missing)
	vm.hasMore = r.More || len(missing) > 0
	n.confirmConfiguration(now, r)

	if !r.Connected {
		return errNoLeader
	}

	n.rollouts.recordContact(now)

	return nil
}

// self returns the roster announcement of this entry VM with its current load.
func (n *Node) self() roster.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()

	now := time.Now()
	n.completions.measure(now, n.completed.Load())
	n.sequence++
	in := roster.Instance{
		ID: roster.InstanceID(n.cfg.Node), Role: roster.RoleEntry, Address: n.cfg.Address,
		FailureDomain: n.cfg.FailureDomain, Born: n.cfg.Incarnation, Sequence: n.sequence,
		Capacity: max(int(attemptsPerCore*n.cfg.ProcessorCores), 1), Load: n.load.measure(now, n.attempts.Load()),
	}

	overloaded := n.lag.overloaded(now)
	if overloaded {
		// A node with a throttled processor sends few requests, so its measured load understates how full it is.
		in.Load = max(in.Load, uint32(in.Capacity)) //nolint:gosec // Above 0.
	}

	if overloaded != n.reportedOverloaded {
		n.reportedOverloaded = overloaded
		n.logger.Info().Bool("overloaded", overloaded).Dur("lag", n.lag.get()).Uint32("load", in.Load).Int("capacity", in.Capacity).
			Msg("whether callers are sent to other entry VMs changed")
	}

	if n.leaving.Load() {
		in.State = roster.StateLeaving
	}

	if in.Links = n.links.reportedLinks(); in.Links == roster.LinksDown {
		n.load.rate, in.Load = 0, 0 // The shares of this node are of use to those that serve its callers.
	}

	return in
}

// controlVMs returns the control VMs to try, nearest first and seeds last. known reports whether the roster lists any.
func (n *Node) controlVMs() (list []ident.NodeID, known bool) {
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

	list = append(append(domain, region...), far...)
	known = len(list) > 0

	for _, id := range seeds {
		if !seen[id] {
			list = append(list, id)
		}
	}

	return list, known
}

// nextControlVM returns the control VM that follows the given one in the list, or the first if that is not listed.
func nextControlVM(list []ident.NodeID, at ident.NodeID) ident.NodeID {
	for i, id := range list {
		if id == at {
			return list[(i+1)%len(list)]
		}
	}

	return list[0]
}

// applyFollowed applies an answer to the copies of the control state and the roster. It returns the instances that the
// answer refers to and that are unknown here.
func (n *Node) applyFollowed(r *wire.Followed) (missing []roster.KeyHash, err error) {
	now := time.Now()

	if len(r.Snapshot) > 0 {
		if err := n.state.Restore(r.Snapshot); err != nil && !errors.Is(err, control.ErrOlderSnapshot) {
			return nil, errors.Wrap(err, "restore control state")
		}
	}

	for i := range r.Entries {
		n.state.Apply(r.Entries[i].Index, r.Entries[i].Data)
	}

	n.observeSuspects(now)

	n.mu.Lock()
	defer n.mu.Unlock()

	for i := range r.Instances {
		in, age := r.Instances[i].Instance(now)

		old, known := n.roster.Lookup(in.Role, in.ID)
		if n.roster.ApplyReport(now, in, age) && (!known || old.Instance.State != in.State || old.Instance.Born != in.Born) {
			n.logger.Info().Str("instance", string(in.ID)).Str("role", in.Role.String()).Str("address", in.Address).
				Str("upstream", string(in.Upstream)).Str("state", in.State.String()).Dur("age", age).Msg("roster changed")
		}
	}

	for i := range r.Instances {
		in, _ := r.Instances[i].Instance(now)
		n.applySharedLimit(&in)
	}

	missing = n.roster.ApplyRefreshes(now, r.RosterRefreshes())
	if r.Isolated > 0 {
		n.load.surgeUntil = now.Add(surgeTime)
	}

	n.entryVMs, n.entryLoad, n.regionLoads = r.EntryVMs, float64(r.EntryLoad), n.loadsByRegion(r)
	n.roster.Expire(now)
	n.rebuild(now)

	return missing, nil
}
