package voter

import (
	"fulmarfall/consensus"

	"github.com/go-faster/errors"
)

// run processes ticks, messages and requests until the voter is stopped or fails.
func (v *Voter) run() {
	defer close(v.done)

	for {
		var err error
		select {
		case <-v.stop:
			v.shutDown(nil)
			return
		case <-v.ticks:
			v.core.Tick(v.now())
		case in := <-v.inbox:
			v.handle(in)
		case in := <-v.requests:
			v.handle(in)
		}

		v.handleQueued()
		if err = v.process(); err != nil {
			v.shutDown(err)
			return
		}
	}
}

// handleQueued handles the inputs that are already queued, so that a single sync covers them.
func (v *Voter) handleQueued() {
	for range maxBatchInputs {
		select {
		case in := <-v.inbox:
			v.handle(in)
		case in := <-v.requests:
			v.handle(in)
		default:
			return
		}
	}
}

func (v *Voter) handle(in input) {
	switch in := in.(type) {
	case receiveInput:
		v.core.Step(v.now(), in.msg)
	case proposeInput:
		index, term, err := v.core.Propose(v.now(), in.data)
		if err != nil {
			in.done <- outcome{err: v.requestError(err)}
			return
		}
		v.waiters[index] = waiter{term: term, done: in.done}
	case changeInput:
		v.changes = append(v.changes, in)
	}
}

// requestError converts an error of the core, for a request that had no effect, to the one returned to the caller.
func (v *Voter) requestError(err error) error {
	if errors.Is(err, consensus.ErrNotLeader) {
		return &NotLeaderError{Leader: v.core.Status().Leader}
	}

	return err
}

// process carries out the pending work of the core until there is none left. In each round it persists the changes with
// one sync, sends messages and applies committed entries.
func (v *Voter) process() error {
	v.startChanges()
	for {
		r := v.core.Ready()
		if r.Empty() {
			break
		}

		v.sendAll(r.ImmediateMessages)
		if err := v.persist(r); err != nil {
			return err
		}
		v.core.Advance(v.now(), r)
		if len(r.Messages) > 0 {
			v.publish(nil) // before sending, so that the status covers what the messages acknowledge
			v.sendAll(r.Messages)
		}
		v.apply(r.Committed)
		v.deliverResults()
		v.startChanges()
	}

	v.deliverResults()
	v.failStaleWaiters()
	if err := v.maybeSnapshot(); err != nil {
		return err
	}
	v.publish(nil)

	return nil
}

// persist makes the hard state, a received snapshot and the entries durable. The snapshot is installed before the
// entries, which follow it in the log.
func (v *Voter) persist(r consensus.Ready) error {
	if r.Snapshot != nil {
		// The hard state is written first because the snapshot may be of a later term.
		if err := v.wal.Append(r.HardState, nil); err != nil {
			return errors.Wrap(err, "write hard state")
		}
		if err := v.wal.InstallSnapshot(r.Snapshot); err != nil {
			return errors.Wrap(err, "install snapshot")
		}
		if err := v.sm.Restore(r.Snapshot.Data); err != nil {
			return errors.Wrap(err, "restore state")
		}
		v.applied, v.snapshotIndex = r.Snapshot.Meta.Index, r.Snapshot.Meta.Index
		r.HardState = nil
	}

	return wrap(v.wal.Append(r.HardState, r.Entries), "write log")
}

func (v *Voter) sendAll(messages []consensus.Message) {
	for _, m := range messages {
		b, err := consensus.Encode(m)
		if err != nil {
			v.logger.Error().Err(err).Msg("dropped raft message that could not be encoded")
			continue
		}
		v.net.Send(m.To, b)
	}
}

func (v *Voter) apply(entries []consensus.Entry) {
	for _, e := range entries {
		var result []byte
		if e.Kind == consensus.EntryCommand {
			result = v.sm.Apply(uint64(e.Index), e.Data)
		}
		v.applied = e.Index

		w, ok := v.waiters[e.Index]
		if !ok {
			continue
		}
		delete(v.waiters, e.Index)
		if w.term == e.Term {
			v.pendingResults = append(v.pendingResults, pendingResult{done: w.done, outcome: outcome{result: result}})
		} else { // an entry of another leader has replaced the proposal
			w.done <- outcome{err: errors.Wrap(ErrOutcomeUnknown, "leader changed")}
		}
	}
}

// deliverResults sends the results of applied entries to their callers. The status is published first, so that a
// caller that has its result sees a CommitIndex and an AppliedIndex that cover it; leases depend on this.
func (v *Voter) deliverResults() {
	if len(v.pendingResults) == 0 {
		return
	}

	v.publish(nil)
	for _, r := range v.pendingResults {
		r.done <- r.outcome
	}
	clear(v.pendingResults)
	v.pendingResults = v.pendingResults[:0]
}

// startChanges starts the membership changes that are possible now, fails those that never will be, and keeps the
// others for a retry.
func (v *Voter) startChanges() {
	pending := v.changes[:0]
	for _, c := range v.changes {
		c.lastErr.Store(nil)
		if c.ctx.Err() != nil {
			continue // the caller no longer waits
		}

		index, err := c.change(v.core, v.now())
		switch {
		case errors.Is(err, consensus.ErrChangePending), errors.Is(err, consensus.ErrNotReady), errors.Is(err, consensus.ErrNotCaughtUp):
			c.lastErr.Store(&err)
			pending = append(pending, c)
		case err != nil:
			c.done <- outcome{err: v.requestError(err)}
		case index <= v.applied: // already in effect
			v.pendingResults = append(v.pendingResults, pendingResult{done: c.done})
		default:
			v.waiters[index] = waiter{term: v.core.Status().Term, done: c.done}
		}
	}

	clear(v.changes[len(pending):])
	v.changes = pending
}

// failStaleWaiters fails the requests that were proposed in a term that this voter no longer leads.
func (v *Voter) failStaleWaiters() {
	if len(v.waiters) == 0 {
		return
	}

	st := v.core.Status()
	for index, w := range v.waiters {
		if st.Role != consensus.RoleLeader || w.term != st.Term {
			w.done <- outcome{err: errors.Wrap(ErrOutcomeUnknown, "leadership was lost")}
			delete(v.waiters, index)
		}
	}
}

// maybeSnapshot takes a snapshot when SnapshotEvery entries have been applied since the last one. The log keeps as many
// entries before the snapshot, so that followers that lag slightly need no snapshot transfer.
func (v *Voter) maybeSnapshot() error {
	interval := consensus.Index(v.cfg.SnapshotEvery)
	if v.applied < v.snapshotIndex+interval {
		return nil
	}

	meta, err := v.core.SnapshotMetaAt(v.applied)
	if err != nil {
		return errors.Wrap(err, "describe snapshot")
	}

	data, err := v.sm.Snapshot()
	if err != nil {
		return errors.Wrap(err, "take snapshot")
	}

	s := &consensus.Snapshot{Meta: meta, Data: data}
	if err := v.wal.SaveSnapshot(s); err != nil {
		return errors.Wrap(err, "save snapshot")
	}
	v.snapshotIndex = v.applied

	return wrap(v.wal.Compact(v.core.Compact(s, interval)), "compact log")
}

// shutDown fails all pending requests and publishes the final status; err is the failure that stopped the voter, if any.
func (v *Voter) shutDown(err error) {
	if err != nil {
		v.logger.Error().Err(err).Msg("voter stopped")
	}

	for _, w := range v.waiters {
		w.done <- outcome{err: errors.Wrap(ErrOutcomeUnknown, "voter stopped")}
	}
	v.waiters = nil
	for _, c := range v.changes {
		c.done <- outcome{err: errors.Wrap(ErrStopped, "membership change")}
	}
	v.changes = nil
	v.publish(err)
}

// publish updates the state returned by Status and logs changes of leader, term and exclusion.
func (v *Voter) publish(err error) {
	st := v.core.Status()
	s := Status{
		ID: v.cfg.ID, Disk: v.wal.Disk(), Formed: st.Formed, Excluded: st.Excluded,
		Leader: st.Leader, Term: uint64(st.Term), IsLeader: st.Role == consensus.RoleLeader && err == nil,
		CommitIndex: uint64(st.Commit), AppliedIndex: uint64(v.applied), LastIndex: uint64(st.Last),
		QuorumAt: st.QuorumAt, LeaderSince: st.LeaderSince,
		PublishedAt: v.now(), Voters: st.Members.Voters(), Learners: st.Members.Learners(), Syncs: v.wal.Syncs(), Stats: st.Stats, Err: err,
	}
	s.Ready = s.IsLeader && st.Ready
	if err != nil {
		s.Leader = "" // a stopped voter no longer learns of leader changes
	}
	if s.Leader != v.lastPublished.Leader || s.Term != v.lastPublished.Term || s.Excluded != v.lastPublished.Excluded {
		v.logger.Info().Str("leader", string(s.Leader)).Uint64("term", s.Term).Bool("excluded", s.Excluded).
			Msg("voter state changed")
	}
	v.lastPublished = s
	v.status.Store(&s)
}

// wrap adds context to err; unlike errors.Wrap it returns nil for nil.
func wrap(err error, context string) error {
	if err == nil {
		return nil
	}

	return errors.Wrap(err, context)
}
