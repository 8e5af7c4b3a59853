package controlplane

import (
	"context"
	"math/rand/v2"
	"time"

	"fulmarfall/ident"
	"fulmarfall/roster"
	"fulmarfall/wire"

	"github.com/go-faster/errors"
)

// maxStateBytes limits the size of the commands in one answer. Further commands are sent with the next one.
const maxStateBytes = 1 << 20

// serveFollow records the announcement of the node that sent m, and returns what has changed since its cursor. Control VMs
// receive changes of the roster only; entry VMs also receive those of the control state and of the addresses for callers.
func (p *Plane) serveFollow(m *wire.Follow) wire.Message {
	now := time.Now()
	r := &wire.Followed{OK: true}

	p.count(metricFollows)
	p.relayRollouts(m.Rollouts)

	p.mu.Lock()
	in, age := m.Self.Instance(now)
	linksChanged := p.applyEntryReport(now, in, age)
	p.applyReport(now, p.self(), 0)
	changed := p.applyLimits(now, m)

	update := p.roster.Since(now, roster.Query{Cursor: m.Cursor(), Peer: m.Voter, ControlVMsFirst: m.Contacts})
	r.RosterEpoch, r.RosterVersion, r.More = p.roster.Epoch(), update.Version, update.More
	loads := p.roster.EntryLoads()
	r.Isolated = p.roster.IsolatedEntryVMs()
	p.mu.Unlock()

	if linksChanged {
		p.broadcast(now, &in, age) // Callers ask every control VM for addresses.
	}

	for i := range changed {
		p.broadcast(now, &changed[i].Instance, changed[i].Age)
	}

	total := roster.TotalLoad(loads)
	r.EntryVMs, r.EntryLoad = total.VMs, total.Load

	r.Instances, r.Refreshes = wire.ToWireInstances(now, update.Reports), wire.ToWireRefreshes(update.Refreshes)

	if m.Unpacks {
		if err := r.Pack(); err != nil {
			// The answer still contains the instances, uncompressed.
			p.logger.Error().Err(err).Str("node", m.Self.ID).Msg("cannot compress roster; it is sent uncompressed")
		}
	}

	if m.Voter {
		return r
	}

	r.RegionLoads = wire.ToWireRegionLoads(loads, p.cfg.Regions)
	r.Connected = p.hasLeader(now)
	p.addAdvice(now, m, r)

	r.StateIndex = p.state.AppliedIndex()

	entries, snapshot, err := p.state.UpdatesSince(m.Applied, maxStateBytes, uint16(m.SnapshotFormat))
	if err != nil {
		p.logger.Error().Err(err).Str("node", m.Self.ID).Msg("cannot read control state for an entry VM")

		r.OK = false
	}

	r.Entries, r.Snapshot = wire.ToWireEntries(entries), snapshot

	return r
}

// applyLimits applies the request limits that searchers have stated to the node that sent m. It returns the searchers whose
// limits have changed. The caller must hold mu.
func (p *Plane) applyLimits(now time.Time, m *wire.Follow) (changed []roster.Report) {
	for i := range m.Limits {
		l := &m.Limits[i]

		r, ok := p.roster.RecordLimit(now, roster.InstanceID(l.Searcher), l.Born, l.Limit(now))
		if !ok {
			continue
		}

		changed = append(changed, r)

		p.logger.Info().Str("instance", string(l.Searcher)).Str("upstream", string(r.Instance.Upstream)).Str("node", m.Self.ID).
			Bool("limited", l.Limited).Float64("limit", l.PerSecond).Int64("age_ms", l.AgeMillis).Msg("request limit of a searcher changed")
	}

	return changed
}

// maxStatusAge is the age from which the status of the voter is regarded as stale. The voter updates it every 20 ms.
const maxStatusAge = 500 * time.Millisecond

// hasLeader reports whether the voter has a leader. A control VM that is partitioned from the others, or whose disk is
// stalled, still serves its state, but reports that it is not connected, so that entry VMs look for another one.
func (p *Plane) hasLeader(now time.Time) bool {
	v := p.getVoter()
	if v == nil {
		return false
	}

	st := v.Status()

	return st.Leader != "" && now.Sub(st.PublishedAt) < maxStatusAge
}

// applyEntryReport applies the announcement of the node that sent an exchange. It returns whether the links of an entry VM
// to the searchers have changed. The caller must hold mu.
func (p *Plane) applyEntryReport(now time.Time, in roster.Instance, age time.Duration) bool {
	old, known := p.roster.Lookup(in.Role, in.ID)

	before := roster.LinksUp
	if known && old.Instance.Born == in.Born {
		before = old.Instance.Links
	}

	if !p.applyReport(now, in, age) || in.Links == before {
		return false
	}

	p.logger.Info().Str("instance", string(in.ID)).Str("failure_domain", string(in.FailureDomain)).Stringer("links", in.Links).
		Msg("links of an entry VM to the searchers changed")

	return true
}

// applyReport applies a report to the roster and returns whether it was a change. It logs new instances, new lifetimes and
// changes of state. The caller must hold mu.
func (p *Plane) applyReport(now time.Time, in roster.Instance, age time.Duration) bool {
	old, known := p.roster.Lookup(in.Role, in.ID)
	if !p.roster.ApplyReport(now, in, age) {
		return false
	}

	if !known || old.Instance.State != in.State || old.Instance.Born != in.Born {
		p.logger.Info().Str("instance", string(in.ID)).Str("role", in.Role.String()).Str("address", in.Address).
			Str("upstream", string(in.Upstream)).Str("state", in.State.String()).Uint64("born", in.Born).
			Uint64("sequence", in.Sequence).Dur("age", age).Msg("roster changed")
	}

	return true
}

// merge applies reports and refreshes from another control VM to the roster. It returns the keys of refreshed instances
// that are not in the roster.
func (p *Plane) merge(list []wire.Instance, refreshes []roster.Refresh) (missing []roster.KeyHash) {
	now := time.Now()

	p.mu.Lock()
	defer p.mu.Unlock()

	for i := range list {
		in, age := list[i].Instance(now)
		if in.Role == roster.RoleControl && string(in.ID) == string(p.cfg.Node) {
			continue // The announcements of this process itself are newer.
		}

		p.applyReport(now, in, age)
	}

	return p.roster.ApplyRefreshes(now, refreshes)
}

// ErrOtherUpstream means that a report has the id of a searcher of another upstream that is in use.
var ErrOtherUpstream = errors.New("the id is in use by a searcher of another upstream")

// Report applies the announcement of an instance. Changes are sent to the other control VMs immediately. If the instance
// is not ready, Report waits until one of them has confirmed the change, or until confirmTimeout.
//
// Reports are ordered by the lifetime and their number, but how old one is when it is read can only be bounded. An instance does
// not become known by a report whose sender no longer waits: it may have ended since, and if not, it has told another control VM.
//
// A report for another upstream can't take over the id of a searcher that is in use, which would hide that searcher. It can once the
// searcher has announced its end, or has expired.
func (p *Plane) Report(call *Call, in roster.Instance) error {
	now, age := time.Now(), call.maxAge()

	p.count(metricReports)

	p.mu.Lock()
	known, ok := p.roster.Lookup(in.Role, in.ID)

	if in.State == roster.StateReady && (!ok || known.Instance.Born < in.Born) && call.disconnected() {
		p.mu.Unlock()

		return errors.Wrap(ErrAbandoned, "report of a new instance")
	}

	if ok && known.Instance.State != roster.StateGone && known.Instance.Upstream != in.Upstream {
		p.mu.Unlock()

		return errors.Wrapf(ErrOtherUpstream, "report for %q, known for %q", in.Upstream, known.Instance.Upstream)
	}

	changed := p.applyReport(now, in, age)
	p.mu.Unlock()

	switch {
	case !changed:
	case in.State == roster.StateReady:
		p.broadcast(now, &in, age)
	default:
		p.broadcastConfirmed(now, &in)
	}

	return nil
}

// ErrUnknownSearcher means that the end of a searcher can't be acknowledged: this control VM doesn't know the searcher and reaches no
// other one. Entry VMs may know it from others, and send requests to it.
var ErrUnknownSearcher = errors.New("the searcher is not known here")

// EndLifetime marks a lifetime of a searcher as gone, at its own request. Where the lifetime is not known, it returns nil once another
// control VM, if there is any, has confirmed its end.
func (p *Plane) EndLifetime(id roster.InstanceID, born uint64) error {
	now := time.Now()

	p.mu.Lock()
	known := p.roster.MarkGone(now, roster.RoleSearcher, id, born)
	r, _ := p.roster.Lookup(roster.RoleSearcher, id)
	p.mu.Unlock()

	p.logger.Info().Str("instance", string(id)).Uint64("born", born).Uint64("latest_born", r.Instance.Born).Bool("known", known).
		Msg("searcher has announced that it is gone")

	if r.Instance.Born > born {
		return nil // a later lifetime has told all that the earlier one has ended
	}

	if !p.broadcastConfirmed(now, &r.Instance) && !known {
		return errors.Wrap(ErrUnknownSearcher, "end lifetime")
	}

	return nil
}

// EndCurrentLifetime marks the lifetime of a searcher that is known as gone, at the request of a caller that names none. Nothing orders
// such a call: if the lifetime takes requests, the call may be that of an earlier one. It is not, if the earlier one is known to have
// ended and the caller still waits.
func (p *Plane) EndCurrentLifetime(ctx context.Context, call *Call, id roster.InstanceID) error {
	p.mu.Lock()
	r, ok := p.roster.Lookup(roster.RoleSearcher, id)
	ambiguous := p.roster.OvertookRecently(time.Now(), roster.RoleSearcher, id)
	p.mu.Unlock()

	switch {
	case !ok:
		return errors.Wrap(ErrUnknownSearcher, "end current lifetime")
	case r.Instance.State != roster.StateReady:
	case ambiguous:
		return errors.Wrap(ErrAbandoned, "an earlier lifetime has not announced its end")
	default:
		if err := call.confirmWaiting(ctx); err != nil {
			return errors.Wrap(err, "end current lifetime")
		}
	}

	return p.EndLifetime(id, r.Instance.Born)
}

// confirmTimeout limits the wait for another control VM before the end of a searcher is acknowledged. A round trip to
// another region takes 24 ms; the searcher waits for the acknowledgement for one second.
const confirmTimeout = 300 * time.Millisecond

// confirmPeers is the number of control VMs that are asked for a confirmation; the others are notified without one. With
// only one, a failure that has not been detected yet would leave the change unconfirmed.
const confirmPeers = 2

// broadcastConfirmed notifies the other control VMs of a searcher that is leaving or gone, and returns when one of them has
// confirmed it. The searcher announces this only once: if this VM lost power right after an unconfirmed acknowledgement,
// requests would be sent to the searcher for 18 s, until it expires from the rosters. It returns false if there are others and none
// has confirmed it.
func (p *Plane) broadcastConfirmed(now time.Time, in *roster.Instance) bool {
	others := p.otherControlVMs()
	if len(others) == 0 {
		return true
	}

	var (
		m    = &wire.Roster{Instances: []wire.Instance{wire.ToWireInstance(now, in, 0)}}
		acks = make(chan error, confirmPeers)
	)

	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	asked := others[:min(confirmPeers, len(others))]

	for _, id := range others[len(asked):] {
		p.transport.Send(id, string(id), m)
	}

	for _, id := range asked {
		p.wg.Go(func() {
			// The calls are independent: the others continue after the first confirmation.
			ctx, cancel := context.WithTimeout(p.ctx, confirmTimeout)
			defer cancel()

			_, err := p.transport.Call(ctx, id, string(id), m)
			acks <- err
		})
	}

	var errs error

	for range asked {
		err := <-acks
		if err == nil {
			return true
		}

		errs = errors.Join(errs, err)
	}

	p.logger.Warn().Err(errs).Str("instance", string(in.ID)).Str("state", in.State.String()).Int("others", len(others)).
		Msg("no other control VM has confirmed that a searcher leaves")

	return false
}

// broadcast notifies the other control VMs of a change without waiting for a confirmation. age is the time since the last report
// of the instance.
func (p *Plane) broadcast(now time.Time, in *roster.Instance, age time.Duration) {
	m := &wire.Roster{Instances: []wire.Instance{wire.ToWireInstance(now, in, age)}}
	for _, id := range p.otherControlVMs() {
		p.transport.Send(id, string(id), m)
	}
}

// otherControlVMs returns the other control VMs: those in the roster, the seeds, and the voters and learners. The voters
// and learners are stored on disk; after a power failure the rosters are empty, and all seeds may have been replaced since
// they were configured.
func (p *Plane) otherControlVMs() []ident.NodeID {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.otherControlVMsLocked(time.Now())
}

func (p *Plane) otherControlVMsLocked(now time.Time) []ident.NodeID {
	seen := map[ident.NodeID]bool{p.cfg.Node: true}

	var list []ident.NodeID

	add := func(id ident.NodeID) {
		if !seen[id] {
			seen[id] = true
			list = append(list, id)
		}
	}

	p.roster.Each(now, roster.RoleControl, func(in *roster.Instance, _ time.Duration) {
		if in.State != roster.StateGone {
			add(ident.NodeID(in.ID))
		}
	})

	for _, id := range p.cfg.Seeds {
		add(id)
	}

	if v := p.getVoter(); v != nil {
		st := v.Status()
		for _, m := range st.Voters {
			add(m.ID)
		}

		for _, m := range st.Learners {
			add(m.ID)
		}
	}

	return list
}

// exchangeLoop periodically fetches the changes of the roster from every other control VM.
func (p *Plane) exchangeLoop() {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()

	for {
		now := time.Now()

		p.mu.Lock()
		p.applyReport(now, p.self(), 0)
		p.roster.Expire(now)

		for _, id := range p.otherControlVMsLocked(now) {
			p.exchange(now, id)
		}
		p.mu.Unlock()
		p.updateGauges()

		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// exchange fetches the changes of the roster from another control VM in the background, unless a fetch is in flight. The
// caller must hold mu.
func (p *Plane) exchange(now time.Time, id ident.NodeID) {
	other := p.peers[id]
	if other == nil {
		other = &peer{}
		p.peers[id] = other
	}

	if other.inFlight {
		return
	}

	other.inFlight = true
	self := p.self()
	req := &wire.Follow{Self: wire.ToWireInstance(now, &self, 0), Voter: true, Unpacks: true}
	req.SetCursor(&other.cursor)

	p.wg.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, exchangeTimeout)
		defer cancel()

		reply, err := p.transport.Call(ctx, id, string(id), req)
		r, ok := reply.(*wire.Followed)
		ok = ok && r.OK && err == nil

		if ok {
			if err = r.Unpack(); err != nil {
				ok = false
			}
		}

		var missing []roster.KeyHash
		if ok {
			missing = p.merge(r.Instances, r.RosterRefreshes())
		}

		p.mu.Lock()
		defer p.mu.Unlock()

		other.inFlight = false
		if ok {
			other.cursor.Advance(r.RosterEpoch, r.RosterVersion, missing)
		}

		if ok != other.reachable {
			other.reachable = ok
			p.logger.Info().Str("node", string(id)).Bool("reached", ok).Err(err).Msg("connection to control VM changed")
		}

		if ok && r.More {
			p.exchange(time.Now(), id)
		}
	})
}
