package controlplane

import (
	"context"
	"slices"
	"sync"
	"time"

	"fulmarfall/configuration"
	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/rollout"
	"fulmarfall/roster"
	"fulmarfall/timers"
	"fulmarfall/wire"

	"github.com/go-faster/errors"
)

const (
	// rolloutInterval is the time between two evaluations at the leader.
	rolloutInterval = 100 * time.Millisecond
	// rolloutLogInterval is the time between two log lines about the evidence of a running roll-out.
	rolloutLogInterval = time.Second
	// maxOutgoing bounds the reports that wait for the leader, maxReportsPerMessage those in one message.
	maxOutgoing          = 1024
	maxReportsPerMessage = 32
	// stepTimeout limits the commit of a step.
	stepTimeout = time.Second
	// announcedWait is how long an order waits for an announcement of its version, which may be on its way from another
	// control VM. announcedAfter is the time after the start of the process from which the roster counts as complete:
	// searchers announce themselves each 1.2 s, at any control VM.
	announcedWait  = 400 * time.Millisecond
	announcedAfter = 5 * time.Second
	// replayTime is the time after the start of the process in which orders may come from the log rather than be new.
	replayTime = 3 * time.Second
)

// Errors of OrderRollout. With ErrRolloutRefused and ErrRolloutConflict, nothing was stored.
var (
	// ErrRolloutRefused means that the order can't be carried out.
	ErrRolloutRefused = errors.New("the roll-out is refused")
	// ErrRolloutConflict means that a different order for the same service is running.
	ErrRolloutConflict = errors.New("another roll-out of the service is running")
	// ErrRolloutsOff means that the settings do not allow roll-outs.
	ErrRolloutsOff = errors.New("roll-outs are not enabled in the settings")
)

// rolloutLoopState is what a control VM knows of running orders besides their stored state.
type rolloutLoopState struct {
	startedAt time.Time

	mu sync.Mutex
	// ages are when each running order was first seen here, and how old it was then.
	ages map[rollout.OrderID]orderAge
	// evaluators are those of the running orders, while this node is the leader.
	evaluators map[rollout.OrderID]*rollout.Evaluator
	loggedAt   time.Time
	// outgoing are reports of entry VMs for the leader, which are sent together.
	outgoing []wire.RolloutReport
	// upstreams are those of the configuration document with the given version.
	upstreams map[ident.UpstreamID]configuration.Upstream
	version   configuration.Version
}

type orderAge struct {
	seenAt time.Time
	age    time.Duration
}

func (a orderAge) at(now time.Time) time.Duration { return a.age + now.Sub(a.seenAt) }

// OrderRollout orders a roll-out of a version of an upstream's searchers. It returns nil once the order, or an earlier one
// that it repeats, is durable. Nothing in the call orders it: it has no effect unless its caller still waits, or if a later order
// is stored by then.
func (p *Plane) OrderRollout(ctx context.Context, call *Call, upstream ident.UpstreamID, target ident.SoftwareVersion, within time.Duration) error {
	order := rollout.Order{Upstream: upstream, Target: target, Within: within}

	switch err := order.Check(); {
	case !p.cfg.Rollout.Enabled:
		return ErrRolloutsOff
	case err != nil:
		return errors.Wrap(ErrRolloutRefused, err.Error())
	}

	status, err := p.offerRollout(ctx, call, order)
	for errors.Is(err, errSuperseded) {
		status, err = p.offerRollout(ctx, call, order)
	}

	if err != nil {
		return errors.Wrap(err, "order roll-out")
	}

	p.logger.Info().Str("upstream", string(upstream)).Str("version", string(target)).Dur("within", within).Uint8("status", uint8(status)).
		Msg("roll-out ordered")

	switch status {
	case rollout.StatusOrdered:
		p.countChange(outcomeStored)

		return nil
	case rollout.StatusRepeated:
		p.countChange(outcomeUnchanged)

		return nil
	case rollout.StatusConflict:
		return errors.Wrapf(ErrRolloutConflict, "service %q", upstream)
	default:
		return errors.Wrap(ErrRolloutRefused, "too many services have orders")
	}
}

// offerRollout proposes an order unless it repeats or contradicts the stored one.
func (p *Plane) offerRollout(ctx context.Context, call *Call, order rollout.Order) (rollout.Status, error) {
	if err := p.readBarrier(ctx); err != nil {
		return 0, errors.Wrap(err, "read latest order")
	}

	var (
		status rollout.Status
		latest rollout.Order
	)

	p.state.View(func(v control.View) {
		status = v.Rollouts().Check(time.Now(), order)
		latest, _ = v.Rollouts().Get(order.Upstream)
	})

	if status != rollout.StatusOrdered {
		return status, nil
	}

	if err := p.checkRollout(ctx, order); err != nil {
		return 0, errors.Wrap(err, "check order")
	}

	if err := call.confirmWaiting(ctx); err != nil {
		p.countChange(outcomeAbandoned)

		return 0, errors.Wrap(err, "check caller")
	}

	res, err := p.proposeMessage(ctx, control.OrderRollout{
		Upstream: order.Upstream, Target: order.Target, Within: order.Within, Current: p.currentVersions(order),
	}, &wire.Propose{Upstream: order.Upstream, LatestOrder: uint64(latest.ID)})
	if err != nil {
		p.countChange(outcomeUnknown)

		return 0, errors.Wrap(err, "store order")
	}

	r, ok := res.(control.RolloutResult)
	if !ok {
		p.countChange(outcomeUnknown)

		return 0, errors.Wrapf(ErrUnavailable, "store order: result %T", res)
	}

	return r.Status, nil
}

// latestOrder returns the id of the latest order of an upstream, 0 if there is none.
func (p *Plane) latestOrder(id ident.UpstreamID) (latest rollout.OrderID) {
	p.state.View(func(v control.View) {
		o, _ := v.Rollouts().Get(id)
		latest = o.ID
	})

	return latest
}

// checkRollout returns an error if the upstream is not configured, or no searcher announces the version.
func (p *Plane) checkRollout(ctx context.Context, o rollout.Order) error {
	if known, err := p.configured(o.Upstream); err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	} else if !known {
		return errors.Wrapf(ErrRolloutRefused, "service %q is not in the configuration", o.Upstream)
	}

	for end := time.Now().Add(announcedWait); ; {
		for _, a := range p.announced(o.Upstream) {
			if a.Version == o.Target && !a.Leaving {
				return nil
			}
		}

		if time.Now().After(end) {
			break
		}

		if err := timers.Sleep(ctx, retryInterval); err != nil {
			return errors.Wrap(ErrUnavailable, "the version is not announced yet")
		}
	}

	if time.Since(p.rollouts.startedAt) < announcedAfter {
		return errors.Wrap(ErrUnavailable, "this control VM has just started and does not know all searchers")
	}

	return errors.Wrapf(ErrRolloutRefused, "no searcher of service %q announces version %q", o.Upstream, o.Target)
}

// configured reports whether the current configuration has an upstream. Without a decoder, all upstreams count as configured.
func (p *Plane) configured(id ident.UpstreamID) (bool, error) {
	doc := p.currentDocument()

	p.rollouts.mu.Lock()
	defer p.rollouts.mu.Unlock()

	return p.configuredLocked(doc, id)
}

// configuredLocked reports whether a document has an upstream. The caller must hold rollouts.mu.
func (p *Plane) configuredLocked(doc configuration.Document, id ident.UpstreamID) (bool, error) {
	if p.cfg.DecodeConfiguration == nil {
		return true, nil
	}

	if p.rollouts.upstreams == nil || p.rollouts.version != doc.Version {
		content, err := doc.Content.Unpack()
		if err != nil {
			return false, errors.Wrap(err, "read configuration")
		}

		if len(content) == 0 {
			return false, nil
		}

		cfg, err := p.cfg.DecodeConfiguration(content)
		if err != nil {
			return false, errors.Wrap(err, "read configuration")
		}

		p.rollouts.upstreams, p.rollouts.version = cfg.Upstreams, doc.Version
	}

	_, ok := p.rollouts.upstreams[id]

	return ok, nil
}

// announced returns the searchers of an upstream that are not gone.
func (p *Plane) announced(id ident.UpstreamID) (list []rollout.Announced) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.roster.Each(time.Now(), roster.RoleSearcher, func(in *roster.Instance, _ time.Duration) {
		if in.Upstream == id && in.State != roster.StateGone {
			list = append(list, rollout.Announced{Version: in.Version, Born: in.Born, Leaving: in.State == roster.StateLeaving})
		}
	})

	return list
}

// currentVersions returns the versions that serve the upstream of a new order.
func (p *Plane) currentVersions(o rollout.Order) []ident.SoftwareVersion {
	var previous *rollout.Order

	p.state.View(func(v control.View) {
		if old, ok := v.Rollouts().Get(o.Upstream); ok {
			previous = &old
		}
	})

	return rollout.VersionsToReplace(previous, p.announced(o.Upstream), o.Target)
}

// Rollout returns the latest order for an upstream. The read is linearizable.
func (p *Plane) Rollout(ctx context.Context, id ident.UpstreamID) (o rollout.Order, ok bool, err error) {
	if err := p.readBarrier(ctx); err != nil {
		return rollout.Order{}, false, errors.Wrap(err, "read roll-out")
	}

	p.state.View(func(v control.View) { o, ok = v.Rollouts().Get(id) })

	return o, ok, nil
}

// rolloutLoop evaluates the running orders while this node is the leader.
func (p *Plane) rolloutLoop() {
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()

	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
		}

		p.sendRollouts()

		for _, s := range p.evaluateRollouts(time.Now()) {
			p.advanceRollout(s)
		}
	}
}

// orderStep is a step that is to be stored.
type orderStep struct {
	order rollout.Order
	step  rollout.Step
}

// evaluateRollouts returns the steps to be taken now.
func (p *Plane) evaluateRollouts(now time.Time) (steps []orderStep) {
	var orders []rollout.Order

	p.state.View(func(v control.View) { orders = v.Rollouts().Orders() })

	st := p.getVoter().Status()
	leads := st.IsLeader && st.Ready
	vms := p.announcedEntryVMs(now)
	doc := p.currentDocument()

	p.rollouts.mu.Lock()
	defer p.rollouts.mu.Unlock()

	running := map[rollout.OrderID]bool{}
	logs := now.Sub(p.rollouts.loggedAt) >= rolloutLogInterval

	for _, o := range orders {
		if !o.Stage.Running() {
			continue
		}

		running[o.ID] = true
		age := p.observeAge(now, &o)

		if !leads {
			continue
		}

		if known, err := p.configuredLocked(doc, o.Upstream); err == nil && !known {
			steps = append(steps, orderStep{order: o, step: rollout.Step{
				Stage: rollout.StageRolledBack, Age: age, Reason: "the service is not in the configuration",
			}})

			continue
		}

		e := p.rollouts.evaluators[o.ID]
		if e == nil {
			e = rollout.NewEvaluator(now, p.cfg.Rollout, o, age)
			p.rollouts.evaluators[o.ID] = e
		}

		e.SetOrder(now, o)

		if s, ok := e.Decide(now, vms); ok {
			steps = append(steps, orderStep{order: o, step: s})
		} else if logs {
			p.rollouts.loggedAt = now
			p.logger.Info().Str("upstream", string(o.Upstream)).Uint64("order", uint64(o.ID)).Str("version", string(o.Target)).
				Stringer("stage", o.Stage).Dur("age", e.Age(now)).Str("evidence", e.Describe()).Msg("roll-out running")
		}
	}

	for id := range p.rollouts.ages {
		if !running[id] {
			delete(p.rollouts.ages, id)
		}
	}

	for id := range p.rollouts.evaluators {
		if !running[id] || !leads {
			delete(p.rollouts.evaluators, id)
		}
	}

	return steps
}

// observeAge returns the age of an order. The clocks of the control VMs may differ, so the age is measured here from when the
// order was first seen; only for orders that were stored before the start of this process does the time of the order count.
// The caller must hold rollouts.mu.
func (p *Plane) observeAge(now time.Time, o *rollout.Order) time.Duration {
	a, ok := p.rollouts.ages[o.ID]
	if !ok {
		a = orderAge{seenAt: now, age: o.Age}
		if now.Sub(p.rollouts.startedAt) < replayTime {
			a.age = max(a.age, now.Sub(o.OrderedAt))
		}
	}

	if o.Age > a.at(now) {
		a = orderAge{seenAt: now, age: o.Age}
	}

	p.rollouts.ages[o.ID] = a

	return a.at(now)
}

// announcedEntryVMs returns the entry VMs in the roster.
func (p *Plane) announcedEntryVMs(now time.Time) (list []rollout.EntryVM) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.roster.Each(now, roster.RoleEntry, func(in *roster.Instance, age time.Duration) {
		if in.State != roster.StateGone {
			list = append(list, rollout.EntryVM{Node: ident.NodeID(in.ID), Age: age})
		}
	})

	return list
}

// advanceRollout stores a step. If that fails, the next evaluation decides again.
func (p *Plane) advanceRollout(s orderStep) {
	ctx, cancel := context.WithTimeout(p.ctx, stepTimeout)
	defer cancel()

	res, err := p.propose(ctx, control.AdvanceRollout{
		Upstream: s.order.Upstream, Order: s.order.ID, Stage: s.step.Stage, Age: s.step.Age, Reason: s.step.Reason,
		Grants: s.step.Grants,
	})
	done, ok := res.(control.DoneResult)

	p.logger.Info().Str("upstream", string(s.order.Upstream)).Uint64("order", uint64(s.order.ID)).Str("version", string(s.order.Target)).
		Stringer("from", s.order.Stage).Stringer("stage", s.step.Stage).Dur("age", s.step.Age).Str("reason", s.step.Reason).
		Bool("stored", ok && done.Done).Err(err).Msg("step of a roll-out")

	if p.meters != nil && ok && done.Done {
		p.meters.ByReason(metricRolloutSteps, ident.Reason(s.step.Stage.String())).Inc(1)
	}
}

// relayRollouts takes the reports of an entry VM for the leader.
func (p *Plane) relayRollouts(list []wire.RolloutReport) {
	if len(list) == 0 || !p.cfg.Rollout.Enabled {
		return
	}

	p.rollouts.mu.Lock()
	defer p.rollouts.mu.Unlock()

	// More reports than this mean that they are not sent, because there is no leader. All counters come again.
	if len(p.rollouts.outgoing) < maxOutgoing {
		p.rollouts.outgoing = append(p.rollouts.outgoing, list...)
	}
}

// sendRollouts passes the collected reports to the leader. With 300 entry VMs, single messages would take a large part of the
// leader's processor time.
func (p *Plane) sendRollouts() {
	p.rollouts.mu.Lock()
	list := p.rollouts.outgoing
	p.rollouts.outgoing = nil
	p.rollouts.mu.Unlock()

	st := p.getVoter().Status()
	if st.IsLeader {
		p.addRollouts(list)

		return
	}

	for part := range slices.Chunk(list, maxReportsPerMessage) {
		if st.Leader != "" {
			// A lost message does no harm, because the next report contains all counters again.
			p.transport.Send(st.Leader, string(st.Leader), &wire.Roster{Rollouts: part})
		}
	}
}

// addRollouts adds the reports of entry VMs to the evidence, if this node is the leader.
func (p *Plane) addRollouts(list []wire.RolloutReport) {
	now := time.Now()

	p.rollouts.mu.Lock()
	defer p.rollouts.mu.Unlock()

	for i := range list {
		if e := p.rollouts.evaluators[rollout.OrderID(list[i].Order)]; e != nil {
			e.Add(now, list[i].Report())
		}
	}
}
