package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"fulmarfall/ident"
	"fulmarfall/response"
	"fulmarfall/transport"
	"fulmarfall/wire"

	"github.com/go-faster/errors"
)

const (
	// maxPeers bounds the peers that are asked to serve one request. While most nodes are isolated, the first ones that are
	// asked may be so, too; they decline at once.
	maxPeers = 6
	// isolatedRetryAfter is the retry time of requests that no peer serves. Callers have other addresses by then.
	isolatedRetryAfter = 300 * time.Millisecond
	// peerMargin is reserved at the end of a request's time for the way of its result from the peer.
	peerMargin = 30 * time.Millisecond
	// slowPeer is the time without a result after which other requests are sent to other peers, if there are any. A peer that
	// is frozen stays in the directory for 2.5 s.
	slowPeer = 300 * time.Millisecond
)

// errDeclined means that a peer does not serve a request, and another one should. errStale means that its configuration is
// older than the required version.
var (
	errDeclined = errors.New("peer declines the request")
	errStale    = errors.New("configuration of the peer is older")
)

// forward lets another entry VM serve the request, because this one cannot. All attempts must have ended. It reports whether
// the request has its result.
func (s *activeRequest) forward() bool {
	if s.r.Forwarded {
		return false
	}

	for i, peer := range s.n.peersFor(s.peerAllowed) {
		if i >= maxPeers || !s.canRunAgain() || time.Until(s.deadline()) < peerMargin {
			break
		}

		if s.callPeer(peer); s.result != nil {
			return true
		}
	}

	return false
}

// forwardOrRefuse forwards the request, or refuses it because neither this node nor a peer can serve it.
func (s *activeRequest) forwardOrRefuse() {
	s.countUsedAttempts()

	if s.forward() {
		return
	}

	r := &Refused{Kind: RefusedNotRun, Reason: ident.ReasonIsolated, RetryAfter: withJitter(isolatedRetryAfter), UsedAttempts: s.usedAttempts}
	if s.mayHaveRun() {
		r.Kind = RefusedUnknown
	}

	s.reason, s.result = r.Reason, r
}

// forwardRefused forwards a request that lacks shards because no searcher takes new connections from this node. It reports
// whether the request has its result. Searchers that may have run it receive it again, which draws on the retry budget.
func (s *activeRequest) forwardRefused() bool {
	used := s.countUsedAttempts()

	return s.canRunAgain() && s.n.planner.TakeRepeats(time.Now(), used) && s.forward()
}

// canRunAgain reports whether a further searcher may be sent the request.
func (s *activeRequest) canRunAgain() bool {
	if !s.route.Idempotent {
		return !s.mayHaveRun()
	}

	return s.route.MaxAttempts == 0 || s.usedAttempts < s.route.MaxAttempts
}

// peersFor returns the entry VMs to ask, nearest first. allows reports whether requests may be served in a region.
func (n *Node) peersFor(allows func(ident.Region) bool) []ident.NodeID {
	var domain, region, far []ident.NodeID

	for _, p := range n.adviser.Advice().Peers {
		in := n.cfg.Regions[p.FailureDomain]

		switch {
		case p.Node == n.cfg.Node || !allows(in):
		case p.FailureDomain == n.cfg.FailureDomain:
			domain = append(domain, p.Node)
		case in == n.cfg.Region:
			region = append(region, p.Node)
		default:
			far = append(far, p.Node)
		}
	}

	return n.links.candidates(time.Now(), domain, region, far)
}

// callPeer asks one peer and sets the result, unless another peer can be asked.
func (s *activeRequest) callPeer(peer ident.NodeID) {
	began := time.Now()

	ctx, cancel := context.WithDeadline(s.n.ctx, s.deadline())
	defer cancel()

	reply, disconnected, err := s.awaitPeer(ctx, cancel, peer)

	switch {
	case err == nil:
		err = s.applyForwarded(reply)
	case disconnected:
		s.reason, s.result = ident.ReasonCancelled, &Refused{Kind: RefusedUnknown, Reason: ident.ReasonCancelled}

		return
	case !transport.IsNotSent(err):
		// The peer may have used all attempts that were left.
		r := &Refused{Kind: RefusedUnknown, Reason: ident.ReasonUnreachable}
		if !time.Now().Before(s.deadline()) {
			r.Kind, r.Reason = RefusedDeadline, ident.ReasonDeadline
		}

		s.peerMayHaveRun, s.reason, s.result = true, r.Reason, r
	}

	if err == nil {
		s.peer = peer
		s.n.count("requests_forwarded_total", forwardServed)

		return
	}

	// A peer whose configuration is older has the newer one soon.
	if !errors.Is(err, errStale) {
		s.n.links.peerFailed(time.Now(), peer)
	}

	s.n.count("requests_forwarded_total", forwardFailed)
	s.n.logger.Info().Str("request", string(s.r.ID)).Str("peer", string(peer)).Dur("took", time.Since(began)).Err(err).
		Msg("peer did not serve a forwarded request")
}

// awaitPeer sends the request to a peer and waits for the reply. It ends the call if the caller disconnects.
func (s *activeRequest) awaitPeer(ctx context.Context, cancel context.CancelFunc, peer ident.NodeID) (*wire.Forwarded, bool, error) {
	type result struct {
		m   wire.Message
		err error
	}

	done := make(chan result, 1)
	m := s.forwardMessage(time.Now().Add(s.n.transport.RoundTripTime(peer)))

	go func() {
		m, err := s.n.transport.Call(ctx, peer, string(peer), m)
		done <- result{m: m, err: err}
	}()

	ticker := time.NewTicker(disconnectPollInterval)
	defer ticker.Stop()

	slow := time.NewTimer(slowPeer)
	defer slow.Stop()

	disconnected, ending := false, s.n.ending

	for {
		select {
		case <-slow.C:
			s.n.links.peerSlow(time.Now(), peer)
		case <-ticker.C:
			if s.r.Disconnected != nil && s.r.Disconnected() {
				disconnected = true

				cancel()
			}
		case <-ending:
			cancel()

			ending = nil
		case r := <-done:
			if r.err != nil {
				return nil, disconnected, errors.Wrap(r.err, "forward request")
			}

			reply, ok := r.m.(*wire.Forwarded)
			if !ok {
				return nil, disconnected, errDeclined // The program of the peer does not know the message.
			}

			return reply, disconnected, nil
		}
	}
}

// forwardMessage returns the message for a peer whose reply would arrive at the given time if it needed no time itself.
func (s *activeRequest) forwardMessage(now time.Time) *wire.Forward {
	m := &wire.Forward{
		RequestID: s.r.ID, Method: s.r.Method, Host: s.r.Host, Path: s.r.Path, URI: s.r.URI, Header: s.r.Header, Body: s.r.Body,
		HeaderBytes: s.r.HeaderBytes, ElapsedMicros: now.Sub(s.r.Arrived).Microseconds(), Attempts: s.usedAttempts,
		Version: s.n.requiredVersion(), Team: teamName(s.team),
	}

	if !s.r.Deadline.IsZero() {
		m.DeadlineMicros = max((s.r.Deadline.Sub(s.r.Arrived) - peerMargin).Microseconds(), 1)
	}

	return m
}

// countUsedAttempts sets usedAttempts to the largest number of searchers of one shard that may have run the request. It
// returns the shards with any.
func (s *activeRequest) countUsedAttempts() []ident.ShardID {
	used := map[ident.ShardID]int{}

	for _, a := range s.attempts {
		if sent, may := a.mayHaveRun(); may && s.n.links.mayHaveArrived(sent) {
			used[a.send.Shard]++
			s.usedAttempts = max(s.usedAttempts, used[a.send.Shard])
		}
	}

	return slices.Collect(maps.Keys(used))
}

// describeRuns adds to a refusal what the node that forwarded the request has to know before it asks another one.
func (s *activeRequest) describeRuns(r *Refused) {
	s.countUsedAttempts()

	r.UsedAttempts, r.Final = s.usedAttempts, !s.route.Idempotent && s.mayHaveRun()
}

// applyForwarded sets the result from the reply of a peer. It returns an error if another peer should be asked.
func (s *activeRequest) applyForwarded(r *wire.Forwarded) error {
	s.usedAttempts += r.Attempts
	// Attempts leaves out those that probably have not arrived; the kind of the refusal does not.
	s.peerMayHaveRun = s.peerMayHaveRun || r.Attempts > 0 || RefusalKind(r.Refusal) != RefusedNotRun
	s.n.observeVersion(r.Version)

	switch r.Result {
	case wire.ForwardRelayed:
		if err := checkRelayed(r); err != nil {
			s.n.logger.Warn().Str("request", string(s.r.ID)).Err(err).Msg("peer passed on an answer that is not valid")

			s.peerMayHaveRun, s.reason, s.result = true, ident.ReasonBadReply, &Refused{Kind: RefusedUnknown, Reason: ident.ReasonBadReply}

			return nil
		}

		reply := &Reply{Status: r.Status, Body: r.Body}
		for _, f := range r.Header {
			reply.Header = append(reply.Header, Field(f))
		}

		s.answered, s.result = true, &Relayed{Reply: reply}
	case wire.ForwardMerged:
		s.answered, s.result = true, &Merged{Signatures: r.Signatures, Missing: r.Missing, Body: r.Body}
	case wire.ForwardRefused:
		refused := &Refused{Kind: RefusalKind(r.Refusal), Reason: r.Reason, RetryAfter: time.Duration(r.RetryAfterMillis) * time.Millisecond}
		if refused.Kind == RefusedNotRun && s.mayHaveRun() {
			refused.Kind = RefusedUnknown
		}

		s.reason, s.result = refused.Reason, refused
	case wire.ForwardDeclined:
		if r.Reason == ident.ReasonStaleNode {
			return errStale
		}

		return errors.Wrap(errDeclined, string(r.Reason))
	default:
		return errors.Wrapf(errDeclined, "result %d is not known", r.Result)
	}

	return nil
}

// checkRelayed returns an error if the answer of a peer has an invalid status or field, which entry VMs of earlier builds pass on.
func checkRelayed(r *wire.Forwarded) error {
	if !response.IsFinal(r.Status) {
		return &response.StatusError{Status: r.Status}
	}

	for _, f := range r.Header {
		if err := response.CheckField(f.Name, f.Value); err != nil {
			return errors.Wrap(err, "check field")
		}
	}

	return nil
}

// requiredVersion returns the lowest version of the configuration by which requests of this node may be served.
func (n *Node) requiredVersion() uint64 {
	return max(uint64(n.view.Load().configuration.Version), n.links.servedVersion.Load())
}

// observeVersion records by which version of the configuration a peer has served a request. Callers of this node must not
// see an older one in force later.
func (n *Node) observeVersion(version uint64) {
	for served := n.links.servedVersion.Load(); version > served; served = n.links.servedVersion.Load() {
		if n.links.servedVersion.CompareAndSwap(served, version) {
			break
		}
	}

	if version > uint64(n.view.Load().configuration.Version) {
		n.followNow()
	}
}

// followNow starts an exchange with the control VM at once.
func (n *Node) followNow() {
	n.links.changed.Store(true)

	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Labels of requests_forwarded_total.
const (
	forwardServed ident.Reason = "served"
	forwardFailed ident.Reason = "failed"
)

// handleMessage serves the messages of other nodes.
func (n *Node) handleMessage(ctx context.Context, from ident.NodeID, m wire.Message) wire.Message {
	f, ok := m.(*wire.Forward)
	if !ok {
		return &wire.Ack{Error: "not served"}
	}

	if reason := n.declines(f); reason != "" {
		n.logger.Info().Str("request", string(f.RequestID)).Str("node", string(from)).Str("reason", string(reason)).
			Msg("forwarded request declined")

		return &wire.Forwarded{Result: wire.ForwardDeclined, Reason: reason}
	}

	out := toWireForwarded(n.Serve(forwardedRequest(ctx, time.Now(), f)))
	// The configuration may have changed meanwhile; this is the newest that can have been applied.
	out.Version = uint64(n.view.Load().configuration.Version)

	return out
}

// declines returns why this node does not serve a forwarded request, or "".
func (n *Node) declines(f *wire.Forward) ident.Reason {
	v := n.view.Load()

	switch {
	case v == nil:
		return ident.ReasonControlUnreachable
	case n.stopping.Load():
		return ident.ReasonLeaving
	case uint64(v.configuration.Version) < f.Version:
		// The callers of the other node would see its configuration regress.
		n.followNow()

		return ident.ReasonStaleNode
	case !v.knowsTeam(v.table.Match(f.Host, f.Path), f.Team):
		return ident.ReasonStaleNode
	case n.links.takesNoConnections():
		return ident.ReasonIsolated
	case n.inFlight.Load() >= maxInFlight:
		return ident.ReasonOverloaded
	default:
		return ""
	}
}

func forwardedRequest(ctx context.Context, now time.Time, f *wire.Forward) *Request {
	r := &Request{
		ID: f.RequestID, Method: f.Method, Host: f.Host, Path: f.Path, URI: f.URI, Header: f.Header, Body: f.Body, HeaderBytes: f.HeaderBytes,
		Arrived: now.Add(-max(time.Duration(f.ElapsedMicros)*time.Microsecond, 0)), Forwarded: true, UsedAttempts: max(f.Attempts, 0), Team: f.Team,
		Disconnected: func() bool { return ctx.Err() != nil },
	}

	if f.DeadlineMicros > 0 {
		r.Deadline = r.Arrived.Add(time.Duration(f.DeadlineMicros) * time.Microsecond)
	}

	return r
}

func toWireForwarded(res Result) *wire.Forwarded {
	switch res := res.(type) {
	case *Relayed:
		out := &wire.Forwarded{Result: wire.ForwardRelayed, Status: res.Reply.Status, Body: res.Reply.Body}
		for _, f := range res.Reply.Header {
			out.Header = append(out.Header, wire.HeaderField(f))
		}

		return out
	case *Merged:
		return &wire.Forwarded{Result: wire.ForwardMerged, Signatures: res.Signatures, Missing: res.Missing, Body: res.Body}
	case *Refused:
		out := &wire.Forwarded{
			Result: wire.ForwardRefused, Refusal: uint8(res.Kind), Reason: res.Reason, RetryAfterMillis: res.RetryAfter.Milliseconds(),
			Attempts: res.UsedAttempts,
		}
		if !res.Final && (res.Reason == ident.ReasonIsolated || res.Reason == ident.ReasonLeaving) {
			out.Result = wire.ForwardDeclined
		}

		return out
	default:
		return &wire.Forwarded{Result: wire.ForwardDeclined}
	}
}
