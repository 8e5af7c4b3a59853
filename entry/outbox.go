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

// store offers a command to one control VM after the other, from at on, until one has stored it, and returns that one. Strikes are
// given up once they would no longer count; a conviction is not. A command whose acknowledgement is lost is stored twice, which makes a
// strike count as one more loss.
func (n *Node) store(q queuedCommand, at ident.NodeID) ident.NodeID {
	data, err := control.EncodeCommand(q.since, q.command)
	if err != nil {
		n.logger.Error().Err(err).Msg("evidence was not encoded")

		return at
	}

	var (
		pause = firstProposePause
		tries = 1
	)

	for ; convicts(q.command) || time.Since(q.since) < conviction.EvidenceFor; tries++ {
		list, _ := n.controlVMs()
		if !slices.Contains(list, at) {
			at = list[0]
		}

		err := n.offer(at, data)
		if err == nil {
			describe(n.logger.Info(), q.command).Str("node", string(at)).Int("tries", tries).Dur("waited", time.Since(q.since)).
				Msg("evidence stored")

			return at
		}

		if tries == 1 {
			describe(n.logger.Info(), q.command).Str("node", string(at)).Err(err).Msg("evidence waits to be stored")
		}

		at = after(list, at)

		if timers.Sleep(n.ctx, pause) != nil {
			break
		}

		pause = min(2*pause, maxProposePause)
	}

	describe(n.logger.Warn(), q.command).Int("tries", tries).Dur("waited", time.Since(q.since)).Msg("evidence was not stored")
	n.count("evidence_dropped_total", ident.ReasonControlUnreached)

	return at
}

// offer asks a control VM to store a command.
func (n *Node) offer(id ident.NodeID, data []byte) error {
	ctx, cancel := context.WithTimeout(n.ctx, proposeTimeout)
	defer cancel()

	reply, err := n.transport.Call(ctx, id, string(id), &wire.Propose{Command: data})
	if err != nil {
		return errors.Wrap(err, "propose")
	}

	switch r, ok := reply.(*wire.Proposed); {
	case !ok:
		return errors.Errorf("unexpected answer %T to a proposal", reply)
	case !r.OK:
		return errors.New(r.Error)
	default:
		return nil
	}
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
