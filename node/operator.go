// Operator API: records, status and the voter set.

package node

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"fulmarfall/api"
	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/record"
	"fulmarfall/timers"
	"fulmarfall/voter"
	"fulmarfall/wire"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// maxWatchWait bounds the wait of GET /v1/watch for a change.
const maxWatchWait = 25 * time.Second

func recordBody(r *record.Record) api.Record {
	return api.Record{
		Kind: r.Kind, Name: r.Name, Schema: r.Schema, Revision: r.Revision, Withdrawn: r.Withdrawn, Spec: r.Spec,
	}
}

// serveRecord handles /v1/records/KIND/NAME.
func (n *Node) serveRecord(ctx *fasthttp.RequestCtx, method string, kind record.Kind, name string) {
	switch method {
	case fasthttp.MethodGet:
		n.serveGet(ctx, kind, name)
	case fasthttp.MethodPut, fasthttp.MethodDelete:
		n.serveChange(ctx, method, kind, name)
	default:
		n.refuse(ctx, "", notRun(ident.ReasonBadRequest, 0, "method %s is not served for records", method))
	}
}

func (n *Node) serveGet(ctx *fasthttp.RequestCtx, kind record.Kind, name string) {
	if r := n.checkLease(); r != nil {
		n.refuse(ctx, "", r)

		return
	}

	var (
		rec record.Record
		ok  bool
	)

	n.state.View(func(v control.View) { rec, ok = v.Records().Get(kind, name) })

	if !ok {
		writeJSON(ctx, fasthttp.StatusNotFound, api.Refusal{
			Outcome: ident.OutcomeNotRun, Reason: ident.ReasonBadRequest, Message: fmt.Sprintf("no record %s/%s", kind, name),
		})

		return
	}

	writeJSON(ctx, fasthttp.StatusOK, recordBody(&rec))
}

// checkLease refuses to return records if the node has no valid lease, since they may be out of date.
func (n *Node) checkLease() *refusal {
	if n.leaseValid(time.Now()) {
		return nil
	}

	return notRun(ident.ReasonStaleNode, retryAfterStale, "this node has no lease and may not know the current configuration")
}

func (n *Node) serveChange(ctx *fasthttp.RequestCtx, method string, kind record.Kind, name string) {
	cmd, r := parseChange(ctx.PostBody(), method, kind, name)
	if r != nil {
		n.refuse(ctx, "", r)

		return
	}

	result, err := n.propose(n.ctx, cmd)
	if err != nil {
		r := &refusal{ident.OutcomeUnknown, ident.ReasonControlUnreachable, err.Error() + "; send the same operation again", retryAfterControl}
		if errors.Is(err, errControlUnreachable) {
			r.outcome = ident.OutcomeNotRun
		}

		n.refuse(ctx, "", r)

		return
	}

	n.triggerRenewal()
	n.writeChange(ctx, result)
}

func parseChange(data []byte, method string, kind record.Kind, name string) (control.Command, *refusal) {
	var body api.RecordChange
	if err := decodeStrict(data, &body); err != nil {
		return nil, notRun(ident.ReasonBadRequest, 0, "%v", err)
	}

	var cmd control.Command = control.PutRecord{
		Kind: kind, Name: name, Schema: body.Schema, Revision: body.Revision, Operation: body.Operation, Spec: body.Spec,
	}
	if method == fasthttp.MethodDelete {
		cmd = control.WithdrawRecord{Kind: kind, Name: name, Revision: body.Revision, Operation: body.Operation}
	}

	// EncodeCommand validates the record, so that an invalid one is refused before it is proposed.
	if _, err := control.EncodeCommand(time.Now(), cmd); err != nil {
		return nil, notRun(ident.ReasonBadRequest, 0, "%v", err)
	}

	return cmd, nil
}

func (n *Node) writeChange(ctx *fasthttp.RequestCtx, result control.Result) {
	r, ok := result.(control.RecordResult)
	if !ok {
		n.refuse(ctx, "", notRun(ident.ReasonBadRequest, 0, "the voters did not apply the change: %+v", result))

		return
	}

	status := fasthttp.StatusOK
	if r.Status != record.StatusStored {
		status = fasthttp.StatusConflict
	}

	writeJSON(ctx, status, api.RecordAnswer{Status: r.Status.String(), Repeated: r.Repeated, Record: recordBody(&r.Record)})
}

func (n *Node) listRecords() api.RecordList {
	a := api.RecordList{Records: []api.Record{}}

	n.state.View(func(v control.View) {
		a.Index = v.AppliedIndex()

		for _, r := range v.Records().List() {
			a.Records = append(a.Records, recordBody(&r))
		}
	})

	return a
}

func (n *Node) serveList(ctx *fasthttp.RequestCtx) {
	if r := n.checkLease(); r != nil {
		n.refuse(ctx, "", r)

		return
	}

	writeJSON(ctx, fasthttp.StatusOK, n.listRecords())
}

// serveWatch handles GET /v1/watch, a long poll. It returns all records as soon as one has changed after the given log index,
// or after maxWatchWait.
func (n *Node) serveWatch(ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		n.refuse(ctx, "", notRun(ident.ReasonBadRequest, 0, "after is not a number: %v", err))

		return
	}

	waitCtx, cancel := context.WithTimeout(n.ctx, maxWatchWait)
	defer cancel()

	base, ok := n.recordsVersion()
	for ok && n.stageNow() != stageDraining {
		version, valid := n.recordsVersion()
		if !valid || version != base || n.changedAfter(after) {
			break
		}

		if timers.Sleep(waitCtx, reconcileInterval) != nil {
			break
		}
	}

	n.serveList(ctx)
}

func (n *Node) recordsVersion() (version uint64, valid bool) {
	n.state.View(func(v control.View) { version = v.Records().Version() })

	return version, n.leaseValid(time.Now())
}

// changedAfter reports whether a log entry after index has changed a record.
func (n *Node) changedAfter(index uint64) (changed bool) {
	n.state.View(func(v control.View) { changed = len(v.Records().ChangedSince(index)) > 0 })

	return changed
}

// serveStatusHTTP handles GET /v1/status. It queries the leader, the only node that tracks the applied index of every other
// node.
func (n *Node) serveStatusHTTP(ctx *fasthttp.RequestCtx) {
	waitCtx, cancel := context.WithTimeout(n.ctx, proposeTimeout)
	defer cancel()

	reply := &wire.StatusReply{}

	if data, ok := n.localStatus(); ok {
		reply.Data = data
	} else {
		for _, p := range n.cfg.Voters {
			if p.Node == n.cfg.ID {
				continue
			}

			m, err := n.transport.Call(waitCtx, p.Node, p.QUICAddress, &wire.StatusRequest{})
			if r, ok := m.(*wire.StatusReply); err == nil && ok && len(r.Data) > 0 {
				reply = r

				break
			}
		}
	}

	if len(reply.Data) == 0 {
		n.refuse(ctx, "", notRun(ident.ReasonControlUnreachable, retryAfterControl, "no leader of the voters answers"))

		return
	}

	ctx.SetContentType("application/json")
	ctx.SetBody(reply.Data)
}

// serveStatus answers a status request of another node. The reply is empty if this node is not the leader.
func (n *Node) serveStatus(context.Context, *wire.StatusRequest) wire.Message {
	data, _ := n.localStatus()

	return &wire.StatusReply{Data: data}
}

func (n *Node) localStatus() ([]byte, bool) {
	n.leader.mu.Lock()
	defer n.leader.mu.Unlock()

	st, isLeader := n.leader.refresh()
	if !isLeader {
		return nil, false
	}

	a := api.Status{AnsweredBy: n.cfg.ID, Voters: api.VoterStatus{
		Leader: st.Leader, Term: st.Term, CommitIndex: st.CommitIndex,
		Voters: memberIDs(st.Voters), Learners: memberIDs(st.Learners),
	}, Nodes: []api.NodeStatus{}, Searchers: []api.SearcherStatus{}}

	for _, m := range n.leader.members.Applied() {
		a.Nodes = append(a.Nodes, api.NodeStatus{
			Node: m.Node, HTTPAddress: m.HTTPAddress, FailureDomain: m.FailureDomain, Region: m.Region,
			Leaving: m.Leaving, LoadPercent: m.LoadPercent, InForce: m.Applied,
		})
	}

	n.state.View(func(v control.View) {
		for _, s := range v.Registry().Searchers() {
			a.Searchers = append(a.Searchers, api.SearcherStatus{
				Searcher: s.ID, Upstream: s.Upstream, FailureDomain: s.FailureDomain, Owner: s.Owner, Epoch: s.Epoch,
				Leaving: s.Leaving, Removed: s.Removed,
			})
		}
	})

	data, err := json.Marshal(a)
	if err != nil {
		return nil, false
	}

	return data, true
}

func memberIDs(list []voter.Member) []ident.NodeID {
	ids := make([]ident.NodeID, 0, len(list))
	for _, m := range list {
		ids = append(ids, m.ID)
	}

	return ids
}

// voterChangeTimeout bounds a change of the voter set, including the transfer of the state to a new learner.
const voterChangeTimeout = 60 * time.Second

func (n *Node) serveVoters(ctx *fasthttp.RequestCtx) {
	var body api.VoterChange
	if err := decodeStrict(ctx.PostBody(), &body); err != nil {
		n.refuse(ctx, "", notRun(ident.ReasonBadRequest, 0, "%v", err))

		return
	}

	v := n.getVoter()
	if v == nil || !v.Status().IsLeader {
		r := notRun(ident.ReasonControlUnreachable, 0, "this node does not lead the voters; ask the leader that /v1/status names")
		n.refuse(ctx, "", r)

		return
	}

	waitCtx, cancel := context.WithTimeout(n.ctx, voterChangeTimeout)
	defer cancel()

	if err := changeVoters(waitCtx, v, body); err != nil {
		n.refuse(ctx, "", &refusal{ident.OutcomeUnknown, ident.ReasonControlUnreachable, err.Error(), retryAfterControl})

		return
	}

	n.logger.Info().Str("change", body.Change).Str("voter", string(body.Node)).Msg("voter set changed")
	writeJSON(ctx, fasthttp.StatusOK, api.VoterAnswer(body))
}

func changeVoters(ctx context.Context, v *voter.Voter, body api.VoterChange) error {
	switch body.Change {
	case "add_learner":
		return v.AddLearner(ctx, voter.Member{ID: body.Node})
	case "promote":
		return v.Promote(ctx, body.Node)
	case "remove":
		return v.Remove(ctx, body.Node)
	case "replace":
		if err := v.AddLearner(ctx, voter.Member{ID: body.Node}); err != nil {
			return fmt.Errorf("add the new disk as a learner: %w", err)
		}

		return v.Promote(ctx, body.Node)
	default:
		return fmt.Errorf("change is %q, want add_learner, promote, remove or replace", body.Change)
	}
}
