package voter

// The goroutine of the voter.

import (
	"fulmarfall/consensus"

	"github.com/go-faster/errors"
)

// run handles inputs until the voter is stopped or fails.
func (v *Voter) run() {
	defer close(v.done)

	for {
		var err error
		select {
		case <-v.stop:
			v.finish(nil)
			return
		case <-v.ticks:
			v.core.Tick(v.now())
		case in := <-v.inbox:
			v.handle(in)
		case in := <-v.calls:
			v.handle(in)
		}

		v.drain()
		if err = v.process(); err != nil {
			v.finish(err)
			return
		}
	}
}

// drain handles what is waiting already, so that one sync covers it.
func (v *Voter) drain() {
	for range batchLimit {
		select {
		case in := <-v.inbox:
			v.handle(in)
		case in := <-v.calls:
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
			in.done <- outcome{err: v.refusal(err)}
			return
		}
		v.waiters[index] = waiter{term: term, done: in.done}
	case changeInput:
		v.changes = append(v.changes, in)
	}
}

// refusal is the error for a call that changed nothing.
func (v *Voter) refusal(err error) error {
	if errors.Is(err, consensus.ErrNotLeader) {
		return &NotLeaderError{Leader: v.core.Status().Leader}
	}

	return err
}

// process carries out all work of the core: messages, one sync, apply.
func (v *Voter) process() error {
	v.tryChanges()
	for {
		r := v.core.Ready()
		if r.Empty() {
			break
		}

		v.sendAll(r.Early)
		if err := v.persist(r); err != nil {
			return err
		}
		v.core.Advance(v.now(), r)
		if len(r.Messages) > 0 {
			v.publish(nil) // the status covers what the messages acknowledge
			v.sendAll(r.Messages)
		}
		v.apply(r.Committed)
		v.answer()
		v.tryChanges()
	}

	v.answer()
	v.dropWaiters()
	if err := v.maybeSnapshot(); err != nil {
		return err
	}
	v.publish(nil)

	return nil
}

// persist makes the state durable. A received snapshot comes before the entries that follow it.
func (v *Voter) persist(r consensus.Ready) error {
	if r.Snapshot != nil {
		// The hard state goes first: the snapshot may be of a later term.
		if err := v.wal.Append(r.HardState, nil); err != nil {
			return errors.Wrap(err, "write hard state")
		}
		if err := v.wal.InstallSnapshot(r.Snapshot); err != nil {
			return errors.Wrap(err, "install snapshot")
		}
		if err := v.sm.Restore(r.Snapshot.Data); err != nil {
			return errors.Wrap(err, "restore state")
		}
		v.applied, v.snapAt = r.Snapshot.Meta.Index, r.Snapshot.Meta.Index
		r.HardState = nil
	}

	return wrap(v.wal.Append(r.HardState, r.Entries), "write log")
}

func (v *Voter) sendAll(messages []consensus.Message) {
	for _, m := range messages {
		b, err := consensus.Encode(m)
		if err != nil {
			v.logger.Error().Err(err).Msg("raft message was not sent")
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
			v.answers = append(v.answers, answer{done: w.done, outcome: outcome{result: result}})
		} else { // another leader's entry took the place
			w.done <- outcome{err: errors.Wrap(ErrOutcomeUnknown, "leader changed")}
		}
	}
}

// answer gives the results of applied entries. The status is published first, so that a caller who has its result
// sees a CommitIndex and an AppliedIndex that cover it; leases rely on this.
func (v *Voter) answer() {
	if len(v.answers) == 0 {
		return
	}

	v.publish(nil)
	for _, a := range v.answers {
		a.done <- a.outcome
	}
	clear(v.answers)
	v.answers = v.answers[:0]
}

// tryChanges starts the membership changes that can start now and answers those that can't.
func (v *Voter) tryChanges() {
	rest := v.changes[:0]
	for _, c := range v.changes {
		c.refused.Store(nil)
		if c.ctx.Err() != nil {
			continue // its caller has gone
		}

		index, err := c.change(v.core, v.now())
		switch {
		case errors.Is(err, consensus.ErrChangePending), errors.Is(err, consensus.ErrNotReady), errors.Is(err, consensus.ErrNotCaughtUp):
			c.refused.Store(&err)
			rest = append(rest, c)
		case err != nil:
			c.done <- outcome{err: v.refusal(err)}
		case index <= v.applied: // in force already
			v.answers = append(v.answers, answer{done: c.done})
		default:
			v.waiters[index] = waiter{term: v.core.Status().Term, done: c.done}
		}
	}

	clear(v.changes[len(rest):])
	v.changes = rest
}

// dropWaiters answers the proposals of a leader term that has ended.
func (v *Voter) dropWaiters() {
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

// maybeSnapshot takes a snapshot when enough entries were applied since the last one. As many entries as lie
// between two snapshots stay in the log, for followers that are a little behind.
func (v *Voter) maybeSnapshot() error {
	every := consensus.Index(v.cfg.SnapshotEvery)
	if v.applied < v.snapAt+every {
		return nil
	}

	meta, err := v.core.MetaAt(v.applied)
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
	v.snapAt = v.applied

	return wrap(v.wal.Compact(v.core.Compact(s, every)), "compact log")
}

// finish answers everyone who waits.
func (v *Voter) finish(err error) {
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

// publish makes the present state visible to Status and logs changes of role.
func (v *Voter) publish(err error) {
	st := v.core.Status()
	s := Status{
		ID: v.cfg.ID, Disk: v.wal.Disk(), Formed: st.Formed, Excluded: st.Excluded,
		Leader: st.Leader, Term: uint64(st.Term), IsLeader: st.Role == consensus.RoleLeader && err == nil,
		CommitIndex: uint64(st.Commit), AppliedIndex: uint64(v.applied), LastIndex: uint64(st.Last),
		QuorumAt: st.QuorumAt, LeaderSince: st.LeaderSince,
		At: v.now(), Voters: st.Members.Voters(), Learners: st.Members.Learners(), Syncs: v.wal.Syncs(), Stats: st.Stats, Err: err,
	}
	s.Ready = s.IsLeader && st.Ready
	if err != nil {
		s.Leader = "" // a stopped voter knows no leader
	}
	if s.Leader != v.lastSeen.Leader || s.Term != v.lastSeen.Term || s.Excluded != v.lastSeen.Excluded {
		v.logger.Info().Str("leader", string(s.Leader)).Uint64("term", s.Term).Bool("excluded", s.Excluded).
			Msg("voter state changed")
	}
	v.lastSeen = s
	v.status.Store(&s)
}

// wrap adds context to an error that may be nil.
func wrap(err error, context string) error {
	if err == nil {
		return nil
	}

	return errors.Wrap(err, context)
}
