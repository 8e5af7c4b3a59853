// Broadcast of crash suspicions. A strike takes up to one renewal interval to reach all nodes through the log, and a caller
// that resends the request immediately would be faster, so owners also send strikes to the other nodes directly.

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
	// provisionalTTL covers the time until a strike takes effect through the control state.
	provisionalTTL = 4 * time.Second
	// maxProvisionalStandings bounds the table. A crash marks every request in flight at the searcher as suspected,
	// which is at most one per slot.
	maxProvisionalStandings = 10000
)

// provisionalStanding is the standing of a fingerprint as broadcast by an owner, valid until the control state contains it.
type provisionalStanding struct {
	until     time.Time
	convicted bool
}

// suspectTable contains the provisional standings by fingerprint. Expired entries are removed on the next add.
type suspectTable struct {
	mu      sync.Mutex
	entries map[ident.Fingerprint]provisionalStanding
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
		t.entries = make(map[ident.Fingerprint]provisionalStanding)
	}

	if len(t.entries) < maxProvisionalStandings {
		t.entries[f] = provisionalStanding{until: now.Add(provisionalTTL), convicted: convicted || t.entries[f].convicted}
	}
}

func (t *suspectTable) get(f ident.Fingerprint, now time.Time) (provisionalStanding, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	e, ok := t.entries[f]

	return e, ok && now.Before(e.until)
}

// strikeTimeout bounds the wait for the other nodes to acknowledge a strike. It is long enough to open a connection between
// regions on a busy VM; a node that takes longer is assumed to be faulty.
const strikeTimeout = 300 * time.Millisecond

// strike records a crash and broadcasts it to all nodes. It returns when they have acknowledged it or after strikeTimeout, so
// that a resend caused by the reply to the crashed request does not overtake the strike.
func (n *Node) strike(f ident.Fingerprint, alone bool) {
	n.suspects.add(f, alone, time.Now())
	n.proposeStrike(control.AddStrike{Fingerprint: f, Exclusive: alone})

	ctx, cancel := context.WithTimeout(n.ctx, strikeTimeout)
	defer cancel()

	var wg sync.WaitGroup

	for _, m := range n.otherMembers() {
		wg.Go(func() {
			suspect := &wire.Suspect{Fingerprint: f, Alone: alone}
			if _, err := n.transport.Call(ctx, m.Node, m.QUICAddress, suspect); err != nil {
				n.meters.Counter("strikes_not_told_total").Inc(1)
			}
		})
	}

	wg.Wait()
}

// proposeStrike retries a strike in the background until it is stored or older than conviction.EvidenceTTL. Giving up earlier
// would lose it in an outage of the control plane: owners stop running requests when their leases expire, and resume those
// without a stored strike afterwards.
func (n *Node) proposeStrike(s control.AddStrike) {
	started := time.Now()

	n.background(func(ctx context.Context) {
		for {
			_, err := n.propose(ctx, s)
			if err == nil {
				return
			}

			n.meters.Counter("proposals_late_total").Inc(1)

			if ctx.Err() != nil || time.Since(started) >= conviction.EvidenceTTL {
				n.meters.Counter("proposals_lost_total").Inc(1)
				n.logger.Warn().Stringer("fingerprint", s.Fingerprint).Bool("alone", s.Exclusive).Err(err).Msg("strike was not stored")

				return
			}
		}
	})
}

// trialMargin extends a trial beyond the deadline of its exclusive run. By its end, a strike after a crash is in the control
// state, or the owner has failed and its lease has expired.
const trialMargin = 5 * time.Second

func trialToken(req *wire.ShardRequest) string {
	return fmt.Sprintf("%s/%d", req.RequestID, req.Attempt)
}

// beginTrial acquires a cluster-wide lock from the voters that allows a single run of a suspected request at a time.
// Otherwise exclusive runs at several owners could each crash a searcher.
func (n *Node) beginTrial(ctx context.Context, req *wire.ShardRequest) bool {
	timeout := time.Duration(req.TimeoutMicros) * time.Microsecond

	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	result, err := n.propose(ctx, control.BeginTrial{
		Fingerprint: req.Fingerprint, Token: trialToken(req), Duration: timeout + trialMargin,
	})
	if err != nil {
		n.endTrial(req)

		return false
	}

	done, ok := result.(control.DoneResult)

	return ok && done.Done
}

// endTrial releases the lock of beginTrial after an exclusive run that did not crash the searcher.
func (n *Node) endTrial(req *wire.ShardRequest) {
	if req.Exclusive {
		n.proposeAsync(control.EndTrial{Fingerprint: req.Fingerprint, Token: trialToken(req)})
	}
}
