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

	"github.com/phuslu/log"
)

const (
	// proposeTimeout bounds a call to one control VM, which gives the leader 400 ms; the way between regions takes 24 ms.
	proposeTimeout = 500 * time.Millisecond
	// proposePause is the time until all control VMs are asked again when none has stored a command. An election takes 0.2 to
	// 0.5 s.
	proposePause = 100 * time.Millisecond
	// maxOutbox bounds the commands that wait. A request that fails gives two strikes at most, and a small VM has 400 requests
	// in progress.
	maxOutbox = 1000
)

// outbox holds the commands that are to be stored, oldest first.
type outbox struct {
	mu       sync.Mutex
	commands []queuedCommand
	wake     chan struct{}
}

type queuedCommand struct {
	command control.Command
	since   time.Time
}

// convicts reports whether a command is a conviction.
func convicts(c control.Command) bool {
	s, ok := c.(control.AddStrike)

	return ok && s.Alone
}

// put appends commands and reports how many others had to make room. Convictions make none.
func (o *outbox) put(now time.Time, list ...control.Command) (dropped int) {
	o.mu.Lock()
	defer o.mu.Unlock()

	for _, c := range list {
		q := queuedCommand{c, now}
		if _, clears := c.(control.ClearSuspect); (clears || convicts(c)) && o.waits(c) {
			continue // stored twice it would change nothing
		}

		if len(o.commands) >= maxOutbox {
			i := slices.IndexFunc(o.commands, func(q queuedCommand) bool { return !convicts(q.command) })
			o.commands = slices.Delete(o.commands, max(i, 0), max(i, 0)+1)
			dropped++
		}

		o.commands = append(o.commands, q)
	}

	select {
	case o.wake <- struct{}{}:
	default:
	}

	return dropped
}

// waits reports whether a command is in the outbox. The caller holds mu.
func (o *outbox) waits(c control.Command) bool {
	return slices.ContainsFunc(o.commands, func(q queuedCommand) bool { return q.command == c })
}

// take removes the oldest conviction, or the oldest command if there is none.
func (o *outbox) take() (q queuedCommand, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if len(o.commands) == 0 {
		return q, false
	}

	i := max(slices.IndexFunc(o.commands, func(q queuedCommand) bool { return convicts(q.command) }), 0)
	q = o.commands[i]
	o.commands = slices.Delete(o.commands, i, i+1)

	return q, true
}

// tell stores commands in the control state, in their order, as soon as that can be reached.
func (n *Node) tell(list ...control.Command) {
	if dropped := n.outbox.put(time.Now(), list...); dropped > 0 {
		n.count("evidence_dropped_total", ident.ReasonOverloaded)
		n.logger.Warn().Int("dropped", dropped).Int("waiting", maxOutbox).Msg("evidence was dropped; too much waits to be stored")
	}
}

func (n *Node) tellLoop() {
	var at ident.NodeID // has stored the last command

	for n.ctx.Err() == nil {
		q, ok := n.outbox.take()
		if !ok {
			select {
			case <-n.ctx.Done():
			case <-n.outbox.wake:
			}

			continue
		}

		at = n.store(q, at)
	}
}

// store offers a command to one control VM after the other until one has stored it, and returns that one. Strikes are given up
// once they would no longer count; a conviction is not. A command whose acknowledgement is lost is stored twice, which makes a
// strike count as one more loss.
func (n *Node) store(q queuedCommand, at ident.NodeID) ident.NodeID {
	data, err := control.EncodeCommand(q.since, q.command)
	if err != nil {
		n.logger.Error().Err(err).Msg("evidence was not encoded")

		return at
	}

	for convicts(q.command) || time.Since(q.since) < conviction.EvidenceFor {
		list, _ := n.controlVMs()
		if i := slices.Index(list, at); i > 0 {
			list = append([]ident.NodeID{at}, slices.Delete(list, i, i+1)...)
		}

		for _, id := range list {
			if n.offer(q, id, data) {
				return id
			}
		}

		if timers.Sleep(n.ctx, proposePause) != nil {
			return at
		}
	}

	describe(n.logger.Warn(), q.command).Dur("waited", time.Since(q.since)).Msg("evidence was not stored in time")
	n.count("evidence_dropped_total", ident.ReasonControlUnreached)

	return at
}

// offer asks a control VM to store a command.
func (n *Node) offer(q queuedCommand, id ident.NodeID, data []byte) bool {
	ctx, cancel := context.WithTimeout(n.ctx, proposeTimeout)
	defer cancel()

	began := time.Now()
	reply, err := n.transport.Call(ctx, id, string(id), &wire.Propose{Command: data})
	r, ok := reply.(*wire.Proposed)
	stored := err == nil && ok && r.OK
	e := describe(n.logger.Info(), q.command).Str("node", string(id)).Bool("stored", stored).Dur("took", time.Since(began)).
		Dur("waited", time.Since(q.since)).Err(err)

	if ok && r.Error != "" {
		e = e.Str("answer", r.Error)
	}

	e.Msg("evidence offered")

	return stored
}

// describe adds to a log line what a command says of a fingerprint.
func describe(e *log.Entry, c control.Command) *log.Entry {
	switch c := c.(type) {
	case control.AddStrike:
		return e.Uint64("fingerprint", uint64(c.Fingerprint)).Bool("convicts", c.Alone)
	case control.ClearSuspect:
		return e.Uint64("fingerprint", uint64(c.Fingerprint)).Uint32("cleared", c.Strikes)
	default:
		return e
	}
}
