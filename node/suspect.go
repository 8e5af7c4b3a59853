// This file carries suspicions ahead of the control state. A strike takes up to one renewal interval to
// reach every node through the log, and a caller that resends at once would be faster than that.

package node

import (
	"context"
	"fmt"
	"sync"
	"time"

	"fulmarfall/control"
	"fulmarfall/conviction"
	"fulmarfall/ident"
	"fulmarfall/wire"
)

const (
	// suspectFor is the time within which a strike is in force through the control state.
	suspectFor = 4 * time.Second
	// maxEarlySuspects bounds the table; a crash suspects as many requests as a searcher has slots.
	maxEarlySuspects = 10000
)

// earlyStanding is what an owner has announced of a fingerprint.
type earlyStanding struct {
	until     time.Time
	convicted bool
}

// suspectTable holds the fingerprints that owners have announced as suspected or convicted.
type suspectTable struct {
	mu      sync.Mutex
	entries map[ident.Fingerprint]earlyStanding
}

func (t *suspectTable) add(f ident.Fingerprint, convicted bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for old, e := range t.entries {
		if now.After(e.until) {
			delete(t.entries, old)
		}
	}

	if t.entries == nil {
		t.entries = make(map[ident.Fingerprint]earlyStanding)
	}

	if len(t.entries) < maxEarlySuspects {
		t.entries[f] = earlyStanding{until: now.Add(suspectFor), convicted: convicted || t.entries[f].convicted}
	}
}

func (t *suspectTable) get(f ident.Fingerprint, now time.Time) (earlyStanding, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	e, ok := t.entries[f]

	return e, ok && now.Before(e.until)
}

// strikeTimeout bounds the wait for the other nodes. It covers a new connection between regions on a
// busy VM; a node that does not answer within it has trouble of its own.
const strikeTimeout = 300 * time.Millisecond

// strike tells every node of a crash and records it. It returns when the nodes have heard, so that the
// reply to the crashed request cannot cause a resend that is ahead of the strike.
func (n *Node) strike(f ident.Fingerprint, alone bool) {
	n.suspects.add(f, alone, time.Now())
	n.proposeStrike(control.AddStrike{Fingerprint: f, Alone: alone})

	ctx, cancel := context.WithTimeout(n.ctx, strikeTimeout)
	defer cancel()

	var wg sync.WaitGroup

	for _, m := range n.others() {
		wg.Go(func() {
			suspect := &wire.Suspect{Fingerprint: f, Alone: alone}
			if _, err := n.transport.Call(ctx, m.Node, m.QUICAddress, suspect); err != nil {
				n.meters.Counter("strikes_not_told_total").Inc(1)
			}
		})
	}

	wg.Wait()
}

// proposeStrike proposes a strike until it is stored or no longer counts. Without control no owner runs requests for long; when it
// is back they run what no strike has stopped.
func (n *Node) proposeStrike(s control.AddStrike) {
	began := time.Now()

	n.background(func(ctx context.Context) {
		for {
			_, err := n.propose(ctx, s)
			if err == nil {
				return
			}

			n.meters.Counter("proposals_late_total").Inc(1)

			if ctx.Err() != nil || time.Since(began) >= conviction.EvidenceFor {
				n.meters.Counter("proposals_lost_total").Inc(1)
				n.logger.Warn().Stringer("fingerprint", s.Fingerprint).Bool("alone", s.Alone).Err(err).Msg("strike was not stored")

				return
			}
		}
	})
}

// trialMargin is added to the deadline of an exclusive run: within it the owner's strike after a crash
// is in the control state, or the owner is lost and its lease has run out.
const trialMargin = 5 * time.Second

func trialToken(req *wire.ShardRequest) string {
	return fmt.Sprintf("%s/%d", req.RequestID, req.Attempt)
}

// beginTrial asks the voters for the right to run a suspect, which one run in the whole system has at a
// time. Without it, exclusive runs at several owners could each crash a searcher.
func (n *Node) beginTrial(ctx context.Context, req *wire.ShardRequest) bool {
	timeout := time.Duration(req.TimeoutMicros) * time.Microsecond

	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	result, err := n.propose(ctx, control.BeginTrial{
		Fingerprint: req.Fingerprint, Token: trialToken(req), Lasts: timeout + trialMargin,
	})
	if err != nil {
		n.endTrial(req)

		return false
	}

	done, ok := result.(control.DoneResult)

	return ok && done.Done
}

// endTrial gives the right back after a run that did not crash the searcher.
func (n *Node) endTrial(req *wire.ShardRequest) {
	if req.Exclusive {
		n.proposeSoon(control.EndTrial{Fingerprint: req.Fingerprint, Token: trialToken(req)})
	}
}
