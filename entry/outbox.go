package entry

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
	// proposeTimeout bounds a call to one control VM, which gives the leader 400 ms; a round trip between regions takes
	// 24 ms.
	proposeTimeout = 500 * time.Millisecond
	// initialProposeBackoff is the delay before the next control VM is tried when one has not stored a command; it
	// doubles up to maxProposeBackoff. An election takes 0.2 to 0.5 s, and all entry VMs may be waiting for it.
	initialProposeBackoff = 50 * time.Millisecond
	maxProposeBackoff     = 800 * time.Millisecond
	// maxQueuedEvidence bounds the commands in the outbox. A failed request adds at most two strikes, and a small VM has
	// 400 requests in progress.
	maxQueuedEvidence = 1000
)

// evidence is a command on a fingerprint that is to be stored in the control state.
type evidence struct {
	command control.Command
	// foundAt is when the evidence was found, request the request that caused a strike.
	foundAt time.Time
	request conviction.Request
}

func (e *evidence) isConviction() bool {
	s, ok := e.command.(control.AddStrike)

	return ok && s.Exclusive
}

// isIdempotent reports whether storing the command again after an equal one has no effect.
func (e *evidence) isIdempotent() bool {
	_, clears := e.command.(control.ClearSuspect)

	return clears || e.isConviction()
}

// outbox queues evidence, oldest first, until it is stored in the control state, which may be unreachable for any length
// of time.
type outbox struct {
	mu    sync.Mutex
	queue []evidence
	wake  chan struct{}
}

// enqueue appends evidence. If the queue is full, it drops the oldest entry, a conviction only if there is nothing else,
// and returns true.
func (o *outbox) enqueue(e evidence) (dropped bool) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if e.isIdempotent() && slices.ContainsFunc(o.queue, func(other evidence) bool { return other.command == e.command }) {
		return false
	}

	if len(o.queue) >= maxQueuedEvidence {
		i := max(slices.IndexFunc(o.queue, func(other evidence) bool { return !other.isConviction() }), 0)
		o.queue = slices.Delete(o.queue, i, i+1)
		dropped = true
	}

	o.queue = append(o.queue, e)

	select {
	case o.wake <- struct{}{}:
	default:
	}

	return dropped
}

// dropStrikes removes the queued strikes against a fingerprint.
func (o *outbox) dropStrikes(fp ident.Fingerprint) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.queue = slices.DeleteFunc(o.queue, func(e evidence) bool { return e.command == control.AddStrike{Fingerprint: fp} })
}

// dequeue removes the oldest conviction, or the oldest evidence if there is none.
func (o *outbox) dequeue() (e evidence, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if len(o.queue) == 0 {
		return e, false
	}

	i := max(slices.IndexFunc(o.queue, func(e evidence) bool { return e.isConviction() }), 0)
	e = o.queue[i]
	o.queue = slices.Delete(o.queue, i, i+1)

	return e, true
}

// queueEvidence queues evidence to be stored in the control state as soon as that can be reached.
func (n *Node) queueEvidence(now time.Time, e evidence) {
	e.foundAt = now

	if n.outbox.enqueue(e) {
		n.count("evidence_dropped_total", ident.ReasonOverloaded)
		n.logger.Warn().Int("waiting", maxQueuedEvidence).Msg("evidence dropped: outbox is full")
	}
}

func (n *Node) evidenceLoop() {
	var at ident.NodeID // the control VM that stored the last command

	for n.ctx.Err() == nil {
		e, ok := n.outbox.dequeue()
		if !ok {
			select {
			case <-n.ctx.Done():
			case <-n.outbox.wake:
			}

			continue
		}

		at = n.storeEvidence(e, at)
	}
}

// storeEvidence proposes evidence to one control VM after the other, starting with at, until one has stored it, and
// returns that one. Strikes are dropped once they would no longer count; convictions are retried until the node stops. A
// strike whose acknowledgement is lost is stored twice and counts as an additional loss.
func (n *Node) storeEvidence(e evidence, at ident.NodeID) ident.NodeID {
	data, err := control.EncodeCommand(e.foundAt, e.command)
	if err != nil {
		n.logger.Error().Err(err).Msg("failed to encode evidence")

		return at
	}

	var (
		backoff  = initialProposeBackoff
		attempts = 1
	)

	for ; e.isConviction() || time.Since(e.foundAt) < conviction.EvidenceTTL; attempts++ {
		list, _ := n.controlVMs()
		if !slices.Contains(list, at) {
			at = list[0]
		}

		result, err := n.propose(at, data)
		if err == nil {
			e.addLogFields(n.logger.Info()).Str("node", string(at)).Int("tries", attempts).Dur("waited", time.Since(e.foundAt)).
				Msg("evidence stored")
			n.convictOnStrikes(time.Now(), e, result)

			return at
		}

		if attempts == 1 {
			e.addLogFields(n.logger.Info()).Str("node", string(at)).Err(err).Msg("evidence waits to be stored")
		}

		at = nextControlVM(list, at)

		if timers.Sleep(n.ctx, backoff) != nil {
			break
		}

		backoff = min(2*backoff, maxProposeBackoff)
	}

	e.addLogFields(n.logger.Warn()).Int("tries", attempts).Dur("waited", time.Since(e.foundAt)).Msg("evidence was not stored")
	n.count("evidence_dropped_total", ident.ReasonControlUnreachable)

	return at
}

// propose asks a control VM to store a command and returns its result.
func (n *Node) propose(id ident.NodeID, data []byte) (control.Result, error) {
	return n.proposeWithin(id, data, proposeTimeout)
}

func (n *Node) proposeWithin(id ident.NodeID, data []byte, timeout time.Duration) (control.Result, error) {
	ctx, cancel := context.WithTimeout(n.ctx, timeout)
	defer cancel()

	reply, err := n.transport.Call(ctx, id, string(id), &wire.Propose{Command: data})
	if err != nil {
		return nil, errors.Wrap(err, "propose")
	}

	r, ok := reply.(*wire.Proposed)

	switch {
	case !ok:
		return nil, errors.Errorf("unexpected answer %T to proposal", reply)
	case !r.OK:
		return nil, errors.New(r.Error)
	}

	result, err := control.DecodeResult(r.Result)
	if err != nil {
		// The command is stored nevertheless.
		n.logger.Error().Str("node", string(id)).Err(err).Msg("failed to decode result of proposal")
	}

	return result, nil
}

// addLogFields adds the content of the evidence to a log line.
func (e *evidence) addLogFields(l *log.Entry) *log.Entry {
	switch c := e.command.(type) {
	case control.AddStrike:
		l = l.Stringer("fingerprint", c.Fingerprint).Bool("convicts", c.Exclusive)
		if e.request.ID != "" {
			l = l.Str("request", string(e.request.ID)).Uint32("strikes", e.request.Suspect.Strikes)
		}

		return l
	case control.ClearSuspect:
		return l.Stringer("fingerprint", c.Fingerprint).Uint32("cleared", c.Strikes)
	default:
		return l
	}
}
