package entry

// This file stores evidence against requests in the control state, however long that can't be reached.

import (
	"context"
	"slices"
	"sync"
	"time"

	"fulmarfall/control"
	"fulmarfall/conviction"
	"fulmarfall/ident"
	"fulmarfall/timers"
	"fulmarfall/wire"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
)

const (
	// proposeTimeout bounds a call to one control VM, which gives the leader 400 ms; the way between regions takes 24 ms.
	proposeTimeout = 500 * time.Millisecond
	// firstProposePause is the time until the next control VM is asked when one has not stored a command; it doubles up to
	// maxProposePause. An election takes 0.2 to 0.5 s, and all entry VMs may wait for it.
	firstProposePause = 50 * time.Millisecond
	maxProposePause   = 800 * time.Millisecond
	// maxOutbox bounds the commands that wait. A request that fails gives two strikes at most, and a small VM has 400 requests
	// in progress.
	maxOutbox = 1000
)

// evidence is a command on a fingerprint.
type evidence struct {
	command control.Command
	// since is when it was found. For a strike, request is the request under which it was, began when that began, and suspect
	// what the control state held then.
	since   time.Time
	request ident.RequestID
	began   time.Time
	suspect conviction.Entry
}

// convicts reports whether the command is a conviction.
func (e *evidence) convicts() bool {
	s, ok := e.command.(control.AddStrike)

	return ok && s.Alone
}

// repeats reports whether the command would change nothing when it is stored after an equal one.
func (e *evidence) repeats() bool {
	_, clears := e.command.(control.ClearSuspect)

	return clears || e.convicts()
}

// outbox holds the evidence that is to be stored, oldest first.
type outbox struct {
	mu   sync.Mutex
	list []evidence
	wake chan struct{}
}

// put appends evidence and reports whether other evidence, convictions last, was dropped for it.
func (o *outbox) put(e evidence) (dropped bool) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if e.repeats() && slices.ContainsFunc(o.list, func(other evidence) bool { return other.command == e.command }) {
		return false
	}

	if len(o.list) >= maxOutbox {
		i := max(slices.IndexFunc(o.list, func(other evidence) bool { return !other.convicts() }), 0)
		o.list = slices.Delete(o.list, i, i+1)
		dropped = true
	}

	o.list = append(o.list, e)

	select {
	case o.wake <- struct{}{}:
	default:
	}

	return dropped
}

// dropStrikes removes the strikes against a fingerprint that wait.
func (o *outbox) dropStrikes(fp ident.Fingerprint) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.list = slices.DeleteFunc(o.list, func(e evidence) bool { return e.command == control.AddStrike{Fingerprint: fp} })
}

// take removes the oldest conviction, or the oldest evidence if there is none.
func (o *outbox) take() (e evidence, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if len(o.list) == 0 {
		return e, false
	}

	i := max(slices.IndexFunc(o.list, func(e evidence) bool { return e.convicts() }), 0)
	e = o.list[i]
	o.list = slices.Delete(o.list, i, i+1)

	return e, true
}

// tell stores evidence in the control state as soon as that can be reached.
func (n *Node) tell(now time.Time, e evidence) {
	e.since = now

	if n.outbox.put(e) {
		n.count("evidence_dropped_total", ident.ReasonOverloaded)
		n.logger.Warn().Int("waiting", maxOutbox).Msg("evidence was dropped; too much waits to be stored")
	}
}

func (n *Node) tellLoop() {
	var at ident.NodeID // has stored the last command

	for n.ctx.Err() == nil {
		e, ok := n.outbox.take()
		if !ok {
			select {
			case <-n.ctx.Done():
			case <-n.outbox.wake:
			}

			continue
		}

		at = n.store(e, at)
	}
}

// store offers evidence to one control VM after the other, from at on, until one has stored it, and returns that one. Strikes are
// given up once they would no longer count; a conviction is not. A strike whose acknowledgement is lost is stored twice and
// counts as one more loss.
func (n *Node) store(e evidence, at ident.NodeID) ident.NodeID {
	data, err := control.EncodeCommand(e.since, e.command)
	if err != nil {
		n.logger.Error().Err(err).Msg("evidence was not encoded")

		return at
	}

	var (
		pause = firstProposePause
		tries = 1
	)

	for ; e.convicts() || time.Since(e.since) < conviction.EvidenceFor; tries++ {
		list, _ := n.controlVMs()
		if !slices.Contains(list, at) {
			at = list[0]
		}

		result, err := n.offer(at, data)
		if err == nil {
			e.describe(n.logger.Info()).Str("node", string(at)).Int("tries", tries).Dur("waited", time.Since(e.since)).
				Msg("evidence stored")
			n.judgeStored(time.Now(), e, result)

			return at
		}

		if tries == 1 {
			e.describe(n.logger.Info()).Str("node", string(at)).Err(err).Msg("evidence waits to be stored")
		}

		at = after(list, at)

		if timers.Sleep(n.ctx, pause) != nil {
			break
		}

		pause = min(2*pause, maxProposePause)
	}

	e.describe(n.logger.Warn()).Int("tries", tries).Dur("waited", time.Since(e.since)).Msg("evidence was not stored")
	n.count("evidence_dropped_total", ident.ReasonControlUnreached)

	return at
}

// offer asks a control VM to store a command, and returns the result.
func (n *Node) offer(id ident.NodeID, data []byte) (control.Result, error) {
	ctx, cancel := context.WithTimeout(n.ctx, proposeTimeout)
	defer cancel()

	reply, err := n.transport.Call(ctx, id, string(id), &wire.Propose{Command: data})
	if err != nil {
		return nil, errors.Wrap(err, "propose")
	}

	r, ok := reply.(*wire.Proposed)

	switch {
	case !ok:
		return nil, errors.Errorf("unexpected answer %T to a proposal", reply)
	case !r.OK:
		return nil, errors.New(r.Error)
	}

	result, err := control.DecodeResult(r.Result)
	if err != nil {
		// It is stored all the same.
		n.logger.Error().Str("node", string(id)).Err(err).Msg("result of a proposal was not decoded")
	}

	return result, nil
}

// describe adds to a log line what the evidence says.
func (e *evidence) describe(l *log.Entry) *log.Entry {
	switch c := e.command.(type) {
	case control.AddStrike:
		l = l.Stringer("fingerprint", c.Fingerprint).Bool("convicts", c.Alone)
		if e.request != "" {
			l = l.Str("request", string(e.request)).Uint32("strikes", e.suspect.Strikes)
		}

		return l
	case control.ClearSuspect:
		return l.Stringer("fingerprint", c.Fingerprint).Uint32("cleared", c.Strikes)
	default:
		return l
	}
}
