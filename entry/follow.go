package entry

// This file follows roster and control state at a control VM.

import (
	"context"
	"math/rand/v2"
	"time"

	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/roster"
	"fulmarfall/wire"

	"github.com/go-faster/errors"
)

// returnAfter is how long a control VM that failed is passed over while another one answers.
const returnAfter = 3 * time.Second

// followed is the state of the follow loop; only its goroutine uses it.
type followed struct {
	at      ident.NodeID
	reached bool
	// tried counts the control VMs in a row that could not be reached, failed the exchanges in a row without an answer.
	tried  int
	failed int
	known  map[ident.NodeID]*followedVM
	// first says that no control VM had told of itself or another one before the last exchange.
	first bool
	// exchangedAt is the time of the last exchange, zero if it failed.
	exchangedAt time.Time
}

// followedVM is what this node has received from one control VM.
type followedVM struct {
	cursor   roster.Cursor
	more     bool // it has more than its last answer
	failedAt time.Time
}

func (f *followed) vm(id ident.NodeID) *followedVM {
	k := f.known[id]
	if k == nil {
		k = &followedVM{}
		f.known[id] = k
	}

	return k
}

// forgetFailures makes all control VMs usable again. Before the first contact, all nodes may have come to the seeds at
// once, and failures say little.
func (f *followed) forgetFailures() {
	for _, k := range f.known {
		k.failedAt = time.Time{}
	}
}

// rateMeter measures how many events there are in a second.
type rateMeter struct {
	at    time.Time
	count int64
	rate  float64
}

// loadWeight is the weight of the newest measurement, of 250 ms, in the average.
const loadWeight = 0.25

func (m *rateMeter) measure(now time.Time, count int64) uint32 {
	if d := now.Sub(m.at); !m.at.IsZero() && d > 0 {
		m.rate += loadWeight * (float64(count-m.count)/d.Seconds() - m.rate)
	}

	m.at, m.count = now, count

	return uint32(m.rate)
}

// patienceFor returns the bound of an exchange with the control VM, after some that failed in a row.
func (n *Node) patienceFor(failed int) time.Duration {
	if n.view.Load() != nil {
		return followTimeout
	}

	return firstPatience(failed)
}

// firstPatience returns how long a node that knows no configuration waits for an answer after some exchanges that failed in
// a row. Each round over all seeds doubles it: a control VM to which hundreds of nodes come at once has more to do with
// each one that gives up and comes again.
func firstPatience(failed int) time.Duration {
	return firstFollowTimeout << min(failed/maxSeeds, maxFollowDoublings)
}

func (n *Node) followLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()

	f := &followed{known: map[ident.NodeID]*followedVM{}}

	for {
		began := time.Now()

		if err := n.followWhenDue(f, began); err != nil && !errors.Is(err, errDisconnected) {
			// The next control VM is asked at once, but not in a busy loop when none can be reached, and not by a node
			// without callers.
			f.tried++
			if list, _ := n.controlVMs(); f.tried < len(list) && n.hasCallers() {
				continue
			}
		}

		f.tried = 0

		timer.Reset(time.Until(began.Add(n.pause(f.failed))))

		select {
		case <-n.ctx.Done():
			return
		case <-timer.C:
		case <-n.wake:
		}
	}
}

// followWhenDue leaves out every other exchange while no callers come here and nothing waits for this node.
func (n *Node) followWhenDue(f *followed, now time.Time) error {
	if !n.exchangeDue(f, now) {
		return nil
	}

	err := n.follow(f)

	if err == nil && f.first {
		f.forgetFailures()

		if f.vm(f.at).more {
			err = n.follow(f) // the nearest control VM has the rest
		}
	}

	switch {
	case err == nil:
		f.exchangedAt, f.failed = now, 0
	case errors.Is(err, errDisconnected):
		f.exchangedAt, f.failed = time.Time{}, 0
	default:
		f.exchangedAt = time.Time{}
		f.failed++
	}

	return err
}

// exchangeDue reports whether the control VM has to be asked in this round.
func (n *Node) exchangeDue(f *followed, now time.Time) bool {
	if n.view.Load() == nil || n.leaving.Load() || f.vm(f.at).more || now.Sub(f.exchangedAt) >= idleFollowEvery {
		return true
	}

	n.mu.Lock()
	defer n.mu.Unlock()

	return n.load.rate >= 1 || n.load.count != n.attempts.Load()
}

// errDisconnected means that a control VM answers, but has no leader, so that others may be ahead of it.
var errDisconnected = errors.New("the control VM has no leader")

// follow exchanges once with the control VM in use, and chooses another one if that fails.
func (n *Node) follow(f *followed) error {
	now := time.Now()
	list, known := n.controlVMs()
	f.first = !known

	switch nearest := list[0]; {
	case f.at == "":
		f.at = list[rand.IntN(len(list))]
	case f.at != nearest && now.Sub(f.vm(nearest).failedAt) >= returnAfter:
		f.at, f.reached = nearest, false
	}

	k := f.vm(f.at)

	err := n.exchangeRoster(now, f, k)
	if errors.Is(err, errDisconnected) && n.view.Load() == nil {
		return err // nobody has a configuration yet; asking all the others in turn would find no more
	}

	if err != nil {
		if n.ctx.Err() == nil {
			n.logger.Warn().Str("node", string(f.at)).Err(err).Msg("control VM lost")
		}

		k.failedAt = now
		f.at, f.reached = after(list, f.at), false

		return err
	}

	if !f.reached {
		f.reached = true
		n.logger.Info().Str("node", string(f.at)).Uint64("applied", n.state.AppliedIndex()).Msg("control VM reached")
	}

	return nil
}

// exchangeRoster announces this node to the control VM in use and takes what has changed there.
func (n *Node) exchangeRoster(now time.Time, f *followed, k *followedVM) error {
	self := n.self()
	req := &wire.Follow{
		Self: wire.InstanceOf(now, &self, 0), Applied: n.state.AppliedIndex(), Unpacks: true, Contacts: f.first,
		AdviceVersion: n.adviser.Advice().Version,
	}
	req.SetCursor(&k.cursor)

	ctx, cancel := context.WithTimeout(n.ctx, n.patienceFor(f.failed))
	defer cancel()

	reply, err := n.transport.Call(ctx, f.at, string(f.at), req)
	if err != nil {
		return errors.Wrap(err, "follow control VM")
	}

	r, ok := reply.(*wire.Followed)
	if !ok || !r.OK {
		return errors.New("the control VM can't answer")
	}

	if err := r.Unpack(); err != nil {
		return errors.Wrap(err, "follow control VM")
	}

	n.takeAdvice(r)

	missing, err := n.take(r)
	if err != nil {
		return err
	}

	k.cursor.Advance(r.RosterEpoch, r.RosterVersion, missing)
	k.more = r.More || len(missing) > 0

	if !r.Connected {
		return errDisconnected
	}

	return nil
}

// self returns the announcement of this entry VM.
func (n *Node) self() roster.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()

	now := time.Now()
	n.ends.measure(now, n.ended.Load())
	n.sequence++
	in := roster.Instance{
		ID: roster.InstanceID(n.cfg.Node), Role: roster.RoleEntry, Address: n.cfg.Address,
		FailureDomain: n.cfg.FailureDomain, Born: n.cfg.Incarnation, Sequence: n.sequence,
		Capacity: max(int(attemptsPerCore*n.cfg.Processor), 1), Load: n.load.measure(now, n.attempts.Load()),
	}

	overloaded := n.lag.overloaded(now)
	if overloaded {
		// A node whose processor is slowed sends few requests and is full all the same.
		in.Load = max(in.Load, uint32(in.Capacity)) //nolint:gosec // Above 0.
	}

	if overloaded != n.overloaded {
		n.overloaded = overloaded
		n.logger.Info().Bool("overloaded", overloaded).Dur("lag", n.lag.get()).Uint32("load", in.Load).Int("capacity", in.Capacity).
			Msg("whether callers are sent to other entry VMs changed")
	}

	if n.leaving.Load() {
		in.State = roster.StateLeaving
	}

	return in
}

// controlVMs returns the control VMs to ask, nearest first, the seeds last. It reports whether any has told of itself or
// another one.
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

// after returns the control VM to ask after another one.
func after(list []ident.NodeID, at ident.NodeID) ident.NodeID {
	for i, id := range list {
		if id == at {
			return list[(i+1)%len(list)]
		}
	}

	return list[0]
}

// take brings the copies up to date. It returns the instances that the answer refers to and that are not known here.
func (n *Node) take(r *wire.Followed) (missing []roster.KeyHash, err error) {
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
		if n.roster.Heard(now, in, age) && (!known || old.Instance.State != in.State || old.Instance.Born != in.Born) {
			n.logger.Info().Str("instance", string(in.ID)).Str("role", in.Role.String()).Str("address", in.Address).
				Str("upstream", string(in.Upstream)).Str("state", in.State.String()).Dur("age", age).Msg("roster changed")
		}
	}

	missing = n.roster.TakeRefreshes(now, r.RosterRefreshes())
	n.entryVMs, n.entryLoad = r.EntryVMs, float64(r.EntryLoad)
	n.roster.Expire(now)
	n.rebuild(now)

	return missing, nil
}
