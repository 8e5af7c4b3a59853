package controlplane

// This file changes and reads the replicated control state.

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
	"fulmarfall/roster"
	"fulmarfall/timers"
	"fulmarfall/voter"
	"fulmarfall/wire"

	"github.com/go-faster/errors"
)

const (
	// proposeCallTimeout bounds one try at the leader. A commit between regions takes about 30 ms; a try that takes
	// longer waits for a leader that is gone, while the others elect a new one in under a second.
	proposeCallTimeout = 400 * time.Millisecond
	// retryPause is the time between two tries.
	retryPause = 25 * time.Millisecond
	// confirmPoll is how often a leader looks whether a majority has answered a heartbeat.
	confirmPoll = 10 * time.Millisecond
)

// ErrUnsure is returned when the outcome of a change is not known, or the newest state can't be read. The caller tries
// another control VM.
var ErrUnsure = errors.New("the control state can't be reached")

// PutConfiguration stores a document unless the one in force has the same version or a higher one. It returns nil once
// the document, or one that has overtaken it, is durable.
func (p *Plane) PutConfiguration(ctx context.Context, v configuration.Version, content []byte) error {
	if held := p.held(); held.Version >= v {
		p.logger.Info().Uint64("version", uint64(v)).Uint64("held", uint64(held.Version)).Msg("configuration changes nothing")
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
		p.countChange(outcomeUnsure)

		return errors.Wrap(err, "put configuration")
	}

	if !ok {
		p.countChange(outcomeUnsure)

		return errors.Wrapf(ErrUnsure, "put configuration: result %T", res)
	}

	p.countChange(outcomeStored)

	return nil
}

func (p *Plane) held() (d configuration.Document) {
	p.state.View(func(v control.View) { d = v.Configuration() })

	return d
}

// Configuration returns the newest document: every one that was acknowledged before the call is covered.
func (p *Plane) Configuration(ctx context.Context) (configuration.Document, error) {
	if err := p.confirm(ctx); err != nil {
		return configuration.Document{}, errors.Wrap(err, "read configuration")
	}

	return p.held(), nil
}

// SetInService takes a failure domain out of service or back. It returns nil once the change is durable.
func (p *Plane) SetInService(ctx context.Context, domain ident.FailureDomain, inService bool) error {
	spec, err := json.Marshal(record.FailureDomainV1{Region: p.cfg.Regions[domain], InService: inService})
	if err != nil {
		return errors.Wrap(err, "encode failure domain")
	}

	for {
		// The newest state has to be known before a change can be found to be in force already.
		if err := p.confirm(ctx); err != nil {
			return errors.Wrap(err, "read failure domain")
		}

		var (
			current bool
			rec     record.Record
		)

		p.state.View(func(v control.View) {
			current = v.Records().InService(domain)
			rec, _ = v.Records().Get(record.KindFailureDomain, string(domain))
		})

		if current == inService {
			p.countChange(outcomeUnchanged)

			return nil
		}

		res, err := p.propose(ctx, control.PutRecord{
			Kind: record.KindFailureDomain, Name: string(domain), Schema: 1, Revision: rec.Revision + 1,
			Operation: newOperation(), Spec: spec,
		})
		p.logger.Info().Str("failure_domain", string(domain)).Bool("in_service", inService).
			Uint64("revision", uint64(rec.Revision+1)).Err(err).Msg("failure domain changed")

		if err != nil {
			p.countChange(outcomeUnsure)

			return errors.Wrap(err, "put failure domain")
		}

		if r, ok := res.(control.RecordResult); ok && r.Status == record.StatusStored {
			p.countChange(outcomeStored)

			return nil
		}
	}
}

func newOperation() ident.OperationID {
	var b [16]byte
	// The reader of crypto/rand does not fail on the supported systems; it ends the process instead.
	_, _ = crand.Read(b[:])

	return ident.OperationID(hex.EncodeToString(b[:]))
}

// propose sends a command to the leader until it is committed or ctx ends. Each command can be committed twice without a
// second effect.
func (p *Plane) propose(ctx context.Context, c control.Command) (control.Result, error) {
	data, err := control.EncodeCommand(time.Now(), c)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}

	for {
		r := p.proposeOnce(ctx, data)
		if r.OK {
			res, err := control.DecodeResult(r.Result)
			if err != nil {
				return nil, errors.Wrap(err, "decode result")
			}

			return res, nil
		}

		if err := timers.Sleep(ctx, retryPause); err != nil {
			return nil, errors.Wrap(ErrUnsure, r.Error)
		}
	}
}

// proposeOnce proposes at the leader, which may be this node.
func (p *Plane) proposeOnce(ctx context.Context, data []byte) *wire.Proposed {
	v := p.getVoter()
	if v == nil {
		return &wire.Proposed{Error: "the voter starts"}
	}

	st := v.Status()
	if st.IsLeader {
		return p.servePropose(ctx, &wire.Propose{Command: data})
	}

	if st.Leader == "" {
		return &wire.Proposed{Error: "no leader is known"}
	}

	ctx, cancel := context.WithTimeout(ctx, proposeCallTimeout)
	defer cancel()

	reply, err := p.transport.Call(ctx, st.Leader, string(st.Leader), &wire.Propose{Command: data, Relayed: true})
	if err != nil {
		return &wire.Proposed{Error: err.Error()}
	}

	r, ok := reply.(*wire.Proposed)
	if !ok {
		return &wire.Proposed{Error: "unexpected answer to a proposal"}
	}

	return r
}

// servePropose commits a command at the leader.
func (p *Plane) servePropose(ctx context.Context, m *wire.Propose) *wire.Proposed {
	v := p.getVoter()
	if v == nil || !v.Status().IsLeader {
		return &wire.Proposed{Error: "not the leader"}
	}

	return Commit(ctx, v, m.Command)
}

// Commit proposes a command at the voter that leads.
func Commit(ctx context.Context, v *voter.Voter, command []byte) *wire.Proposed {
	// The state's clock is the leader's, whatever the clock of the proposer says.
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

// confirm returns when this node has applied everything that was committed when it was called.
func (p *Plane) confirm(ctx context.Context) error {
	for {
		index, err := p.confirmOnce(ctx)
		if err == nil {
			// The state machine does not see the entries of elections and of membership changes.
			for p.getVoter().Status().AppliedIndex < index {
				if err := timers.Sleep(ctx, confirmPoll); err != nil {
					return errors.Wrap(ErrUnsure, "the log is behind")
				}
			}

			return nil
		}

		if timers.Sleep(ctx, retryPause) != nil {
			return errors.Wrap(ErrUnsure, err.Error())
		}
	}
}

func (p *Plane) confirmOnce(ctx context.Context) (uint64, error) {
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

// readIndex waits for a heartbeat round that began after the call and that a majority answered: no other leader can
// have committed anything before the call that this one lacks. The state machine applies what is committed at once.
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

		if err := timers.Sleep(ctx, confirmPoll); err != nil {
			return 0, errors.Wrap(err, "no majority has answered")
		}
	}
}

// planLoop changes the set of voters while this node leads.
func (p *Plane) planLoop() {
	ticker := time.NewTicker(planEvery)
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
	var seen []quorum.Seen

	p.mu.Lock()
	p.roster.Each(time.Now(), roster.RoleControl, func(in *roster.Instance, age time.Duration) {
		if in.State == roster.StateReady {
			seen = append(seen, quorum.Seen{ID: ident.NodeID(in.ID), Disk: consensus.DiskID(in.Disk), Age: age})
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
