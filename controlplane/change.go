package controlplane

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"encoding/json"
	"time"

	"fulmarfall/configuration"
	"fulmarfall/consensus"
	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/quorum"
	"fulmarfall/record"
	"fulmarfall/rollout"
	"fulmarfall/roster"
	"fulmarfall/timers"
	"fulmarfall/voter"
	"fulmarfall/wire"

	"github.com/go-faster/errors"
)

const (
	// proposeCallTimeout limits one attempt at the leader. A commit across regions takes about 30 ms. With a much longer
	// timeout, attempts would still wait for a failed leader after the others have elected a new one, which takes less
	// than a second.
	proposeCallTimeout = 400 * time.Millisecond
	// retryInterval is the pause between two attempts.
	retryInterval = 25 * time.Millisecond
	// readPollInterval is the interval at which a read checks whether a majority has answered a heartbeat and whether the
	// log is applied.
	readPollInterval = 10 * time.Millisecond
)

// ErrUnavailable is returned if the outcome of a change is unknown, or if the latest state can't be read. The caller should
// retry at another control VM.
var ErrUnavailable = errors.New("the control state can't be reached")

// PutConfiguration stores a document unless the current one has the same or a higher version. It returns nil once the
// document, or one that supersedes it, is durable.
func (p *Plane) PutConfiguration(ctx context.Context, v configuration.Version, content []byte) error {
	if current := p.currentDocument(); current.Version >= v {
		p.logger.Info().Uint64("version", uint64(v)).Uint64("held", uint64(current.Version)).Msg("configuration ignored: a document of the same or a higher version is stored")
		p.countChange(outcomeUnchanged)

		return nil
	}

	packed, err := configuration.Pack(content)
	if err != nil {
		return errors.Wrap(err, "put configuration")
	}

	res, err := p.propose(ctx, control.PutConfiguration{Version: v, Document: packed})
	done, ok := res.(control.DoneResult)
	p.logger.Info().Uint64("version", uint64(v)).Int("bytes", len(content)).Int("packed_bytes", len(packed)).Bool("in_force", ok && done.Done).Err(err).Msg("configuration offered")

	if err != nil {
		p.countChange(outcomeUnknown)

		return errors.Wrap(err, "put configuration")
	}

	if !ok {
		p.countChange(outcomeUnknown)

		return errors.Wrapf(ErrUnavailable, "put configuration: result %T", res)
	}

	p.countChange(outcomeStored)

	return nil
}

// currentDocument returns the document in the local copy of the state, which may be out of date.
func (p *Plane) currentDocument() (d configuration.Document) {
	p.state.View(func(v control.View) { d = v.Configuration() })

	return d
}

// Configuration returns the current document. The read is linearizable: it covers every change that was acknowledged before
// the call.
func (p *Plane) Configuration(ctx context.Context) (configuration.Document, error) {
	if err := p.readBarrier(ctx); err != nil {
		return configuration.Document{}, errors.Wrap(err, "read configuration")
	}

	return p.currentDocument(), nil
}

// SetInService takes a failure domain out of service, or returns it to service. It returns nil once the change is durable.
//
// Nothing in the call orders it. It is stored as the revision after the one that was in force while its caller still waited, so
// that it has no effect if the caller has meanwhile ordered something else. For the same reason an order that changes nothing is
// stored, too: its acknowledgement must not be followed by an older order.
func (p *Plane) SetInService(ctx context.Context, call *Call, domain ident.FailureDomain, inService bool) error {
	spec, err := json.Marshal(record.FailureDomainV1{Region: p.cfg.Regions[domain], InService: inService})
	if err != nil {
		return errors.Wrap(err, "encode failure domain")
	}

	for {
		if err := p.readBarrier(ctx); err != nil {
			return errors.Wrap(err, "read failure domain")
		}

		var current record.Record

		p.state.View(func(v control.View) { current, _ = v.Records().Get(record.KindFailureDomain, string(domain)) })

		if err := call.confirmWaiting(ctx); err != nil {
			p.countChange(outcomeAbandoned)

			return errors.Wrap(err, "put failure domain")
		}

		res, err := p.propose(ctx, control.PutRecord{
			Kind: record.KindFailureDomain, Name: string(domain), Schema: 1, Revision: current.Revision + 1,
			Operation: newOperation(), Spec: spec,
		})
		r, ok := res.(control.RecordResult)
		stored := ok && r.Status == record.StatusStored
		p.logger.Info().Str("failure_domain", string(domain)).Bool("in_service", inService).
			Uint64("revision", uint64(current.Revision+1)).Bool("stored", stored).Err(err).Msg("failure domain changed")

		switch {
		case err != nil:
			p.countChange(outcomeUnknown)

			return errors.Wrap(err, "put failure domain")
		case stored:
			p.countChange(outcomeStored)

			return nil
		case !ok || r.Status != record.StatusConflict:
			p.countChange(outcomeUnknown)

			return errors.Wrapf(ErrUnavailable, "put failure domain: result %v", res)
		}
	}
}

func newOperation() ident.OperationID {
	var b [16]byte
	// crypto/rand.Read never returns an error; it aborts the process instead.
	_, _ = crand.Read(b[:])

	return ident.OperationID(hex.EncodeToString(b[:]))
}

// propose sends a command to the leader and retries until it is committed or ctx ends. Commands are idempotent, so a retry
// that commits one twice is harmless.
func (p *Plane) propose(ctx context.Context, c control.Command) (control.Result, error) {
	return p.proposeMessage(ctx, c, &wire.Propose{})
}

// errSuperseded means that the leader has stored a later order than the one that a proposal refers to.
var errSuperseded = errors.New("a later order is stored")

// proposeMessage is propose with a message whose condition the leader checks. It returns errSuperseded if that is not met.
func (p *Plane) proposeMessage(ctx context.Context, c control.Command, m *wire.Propose) (control.Result, error) {
	data, err := control.EncodeCommand(time.Now(), c)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}

	m.Command, m.Relayed = data, true

	for {
		r := p.proposeOnce(ctx, m)

		switch {
		case r.Superseded:
			return nil, errors.Wrap(errSuperseded, "propose")
		case r.OK:
			res, err := control.DecodeResult(r.Result)
			if err != nil {
				return nil, errors.Wrap(err, "decode result")
			}

			return res, nil
		}

		if err := timers.Sleep(ctx, retryInterval); err != nil {
			return nil, errors.Wrap(ErrUnavailable, r.Error)
		}
	}
}

// proposeOnce makes one attempt to propose a command at the leader, which may be this node. m must be marked as relayed.
func (p *Plane) proposeOnce(ctx context.Context, m *wire.Propose) *wire.Proposed {
	v := p.getVoter()
	if v == nil {
		return &wire.Proposed{Error: "the voter starts"}
	}

	st := v.Status()
	if st.IsLeader {
		return p.servePropose(ctx, m)
	}

	if st.Leader == "" {
		return &wire.Proposed{Error: "no leader is known"}
	}

	ctx, cancel := context.WithTimeout(ctx, proposeCallTimeout)
	defer cancel()

	reply, err := p.transport.Call(ctx, st.Leader, string(st.Leader), m)
	if err != nil {
		return &wire.Proposed{Error: err.Error()}
	}

	r, ok := reply.(*wire.Proposed)
	if !ok {
		return &wire.Proposed{Error: "unexpected answer to a proposal"}
	}

	return r
}

// servePropose commits a command if this node is the leader.
func (p *Plane) servePropose(ctx context.Context, m *wire.Propose) *wire.Proposed {
	v := p.getVoter()
	if v == nil || !v.Status().IsLeader {
		return &wire.Proposed{Error: "not the leader"}
	}

	if m.Upstream != "" {
		switch st := v.Status(); {
		case !st.Ready || st.AppliedIndex < st.CommitIndex:
			return &wire.Proposed{Error: "the leader has not applied all orders"}
		case p.latestOrder(m.Upstream) != rollout.OrderID(m.LatestOrder):
			return &wire.Proposed{Error: "a later order is stored", Superseded: true}
		}
	}

	return Commit(ctx, v, m.Command)
}

// Commit proposes a command at the local voter, which must be the leader, and waits for its result.
func Commit(ctx context.Context, v *voter.Voter, command []byte) *wire.Proposed {
	// The replicated state uses the clock of the leader, not that of the proposer.
	data, err := control.Restamp(time.Now(), command)
	if err != nil {
		return &wire.Proposed{Error: err.Error()}
	}

	result, err := v.Propose(ctx, data)
	if err != nil {
		return &wire.Proposed{Error: err.Error(), OutcomeUnknown: errors.Is(err, voter.ErrOutcomeUnknown)}
	}

	return &wire.Proposed{OK: true, Result: result}
}

// readBarrier waits until this node has applied everything that was committed before the call.
func (p *Plane) readBarrier(ctx context.Context) error {
	for {
		index, err := p.fetchReadIndex(ctx)
		if err == nil {
			// The applied index of the voter counts, because the state machine does not see the entries of elections and
			// membership changes.
			for p.getVoter().Status().AppliedIndex < index {
				if err := timers.Sleep(ctx, readPollInterval); err != nil {
					return errors.Wrap(ErrUnavailable, "the log is behind")
				}
			}

			return nil
		}

		if timers.Sleep(ctx, retryInterval) != nil {
			return errors.Wrap(ErrUnavailable, err.Error())
		}
	}
}

// fetchReadIndex obtains the read index from the leader, which may be this node.
func (p *Plane) fetchReadIndex(ctx context.Context) (uint64, error) {
	st := p.getVoter().Status()
	if st.IsLeader {
		return p.readIndex(ctx)
	}

	if st.Leader == "" {
		return 0, errors.New("no leader is known")
	}

	ctx, cancel := context.WithTimeout(ctx, proposeCallTimeout)
	defer cancel()

	reply, err := p.transport.Call(ctx, st.Leader, string(st.Leader), &wire.Confirm{})
	if err != nil {
		return 0, errors.Wrap(err, "ask the leader")
	}

	r, ok := reply.(*wire.Confirmed)
	if !ok || !r.OK {
		return 0, errors.New("the leader is not sure")
	}

	return r.Index, nil
}

func (p *Plane) serveConfirm(ctx context.Context) wire.Message {
	index, err := p.readIndex(ctx)
	if err != nil {
		return &wire.Confirmed{Error: err.Error()}
	}

	return &wire.Confirmed{OK: true, Index: index}
}

// readIndex returns the commit index of this node, which must be the leader. It first waits until a majority has answered
// a round of heartbeats that began after the call: then no other leader can have committed an entry before the call that
// this one lacks. It also waits until this node has applied all committed entries.
func (p *Plane) readIndex(ctx context.Context) (uint64, error) {
	v := p.getVoter()
	if v == nil {
		return 0, errors.New("the voter starts")
	}

	began := time.Now()

	for {
		st := v.Status()

		switch {
		case !st.IsLeader:
			return 0, errors.New("not the leader")
		case st.Ready && st.QuorumAt.After(began) && st.AppliedIndex >= st.CommitIndex:
			return st.CommitIndex, nil
		}

		if err := timers.Sleep(ctx, readPollInterval); err != nil {
			return 0, errors.Wrap(err, "no majority has answered")
		}
	}
}

// membershipLoop adjusts the set of voters while this node is the leader.
func (p *Plane) membershipLoop() {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()

	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
		}

		if st := p.getVoter().Status(); st.IsLeader && st.Ready {
			p.changeVoters(st)
		}
	}
}

func (p *Plane) changeVoters(st voter.Status) {
	var seen []quorum.AnnouncedVM

	p.mu.Lock()
	p.roster.Each(time.Now(), roster.RoleControl, func(in *roster.Instance, age time.Duration) {
		if in.State == roster.StateReady {
			seen = append(seen, quorum.AnnouncedVM{ID: ident.NodeID(in.ID), Disk: consensus.DiskID(in.Disk), Age: age})
		}
	})
	p.mu.Unlock()

	members := append(append([]consensus.Member{}, st.Voters...), st.Learners...)

	change := quorum.Plan(p.cfg.Node, members, seen, p.cfg.TolerableLosses)
	if change == nil {
		return
	}

	ctx, cancel := context.WithTimeout(p.ctx, changeTimeout)
	defer cancel()

	var err error

	v := p.getVoter()
	e := p.logger.Info().Int("members", len(members))

	switch c := change.(type) {
	case quorum.Add:
		e = e.Str("add", string(c.Member.ID)).Uint64("disk", uint64(c.Member.Disk))
		err = v.AddLearner(ctx, c.Member)
	case quorum.Promote:
		e = e.Str("promote", string(c.ID))
		err = v.Promote(ctx, c.ID)
	case quorum.Remove:
		e = e.Str("remove", string(c.ID))
		err = v.Remove(ctx, c.ID)
	}

	e.Err(err).Msg("set of voters changed")
}
