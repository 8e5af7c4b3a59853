package entry

import (
	"context"
	"encoding/hex"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"pgregory.net/rapid"

	"fulmarfall/configuration"
	"fulmarfall/directory"
	"fulmarfall/ident"
	"fulmarfall/query"
	"fulmarfall/roster"
	"fulmarfall/wire"
)

// isolate makes a node forward its requests.
func isolate(n *Node) {
	n.links.mu.Lock()
	defer n.links.mu.Unlock()

	n.links.reported = roster.LinksDown
	close(n.links.isolated)
}

// changeConfiguration replaces the configuration of a node and keeps its searchers.
func changeConfiguration(n *Node, change func(*configuration.Configuration)) {
	old := n.view.Load()
	cfg := *old.configuration
	cfg.Routes = slices.Clone(cfg.Routes)
	change(&cfg)

	next := &view{
		configuration: &cfg, table: configuration.NewTable(&cfg), outOfService: old.outOfService, searchers: old.searchers,
		byID: old.byID, shardUpstreams: old.shardUpstreams,
	}
	next.initUpstreams()
	n.view.Store(next)
}

// setVersion changes the version of a node's configuration.
func setVersion(n *Node, v configuration.Version) {
	changeConfiguration(n, func(cfg *configuration.Configuration) { cfg.Version = v })
}

// requireAllShards makes a node answer only with all shards. Otherwise an answer that reaches the least coverage may be sent at the
// target of the route, on a busy machine without some of them.
func requireAllShards(n *Node) {
	changeConfiguration(n, func(cfg *configuration.Configuration) {
		for i := range cfg.Routes {
			cfg.Routes[i].MinCoverage = 1
		}
	})
}

// Guards against requests of an isolated node that are not served although a peer could, that wait for peers that cannot
// serve them, and that are served by an older configuration than the node has.
func TestIsolatedNodeForwards(t *testing.T) {
	for name, tc := range map[string]struct {
		first, second func(peer *Node) // what is wrong with two peers, nil if there is no such peer
		served        bool
	}{
		"one peer":                      {func(*Node) {}, nil, true},
		"no peer":                       {nil, nil, false},
		"peer is isolated, too":         {isolate, nil, false},
		"one of two peers is isolated":  {isolate, func(*Node) {}, true},
		"one of two peers is stopping":  {func(p *Node) { p.stopping.Store(true) }, func(*Node) {}, true},
		"one of two peers is outdated":  {func(p *Node) { setVersion(p, 1) }, func(*Node) {}, true},
		"the only peer is outdated":     {func(p *Node) { setVersion(p, 1) }, nil, false},
		"one of two peers has no state": {func(p *Node) { p.view.Store(nil) }, func(*Node) {}, true},
		"one of two peers is full":      {func(p *Node) { p.inFlight.Store(maxInFlight) }, func(*Node) {}, true},
	} {
		t.Run(name, func(t *testing.T) {
			n := newServingNode(t, 10)
			requireAllShards(n)
			setVersion(n, 2)
			isolate(n)

			var peers []directory.Peer

			for _, prepare := range []func(*Node){tc.first, tc.second} {
				if prepare == nil {
					continue
				}

				peer := newServingNode(t, 10)
				requireAllShards(peer)
				setVersion(peer, 2)
				prepare(peer)

				peers = append(peers, directory.Peer{Node: peer.cfg.Node, FailureDomain: "dar"})
			}

			n.adviser.Renew(directory.Advice{Version: 1, Domains: []directory.DomainAdvice{{FailureDomain: "dar"}}, Peers: peers})

			began := time.Now()
			res := serve(n, "/x", nil)

			switch r := res.(type) {
			case *Merged:
				if !tc.served || len(r.Signatures) != 10 || r.Missing != 0 {
					t.Errorf("answer with %d parts, %d missing, want served %v", len(r.Signatures), r.Missing, tc.served)
				}
			case *Refused:
				if tc.served || r.Kind != RefusedNotRun || r.RetryAfter <= 0 {
					t.Errorf("refusal %+v, want served %v, or not run and a time to come back", r, tc.served)
				}
			default:
				t.Errorf("result %T", res)
			}

			// The deadline is 700 ms: what cannot be served must not wait for it.
			if took := time.Since(began); took > 350*time.Millisecond {
				t.Errorf("the result took %v", took)
			}
		})
	}
}

// Guards against callers that see an older configuration in force after a newer one: a peer served them by it, and this node
// has not received it.
func TestConfigurationOfPeerIsNotReverted(t *testing.T) {
	n := newServingNode(t, 1)
	setVersion(n, 2)

	for _, tc := range []struct {
		served, own uint64
		refused     bool
	}{{1, 2, false}, {3, 2, true}, {3, 3, false}} {
		n.observeVersion(tc.served)
		setVersion(n, configuration.Version(tc.own))

		r, refused := serve(n, "/x", nil).(*Refused)
		if refused != tc.refused || refused && (r.Kind != RefusedNotRun || r.RetryAfter <= 0) {
			t.Errorf("served %d, own %d: refused %v (%+v), want %v", tc.served, tc.own, refused, r, tc.refused)
		}
	}
}

// Guards against a request that runs on more searchers than its route allows, or twice although it must not, because it was
// sent to searchers before the node was isolated.
func TestForwardingCountsAttempts(t *testing.T) {
	isolated := time.Now()

	for name, tc := range map[string]struct {
		idempotent  bool
		maxAttempts int
		sent        []time.Duration // before the last answer of any searcher
		used        int
		forwarded   bool
		limited     bool // open connections work
	}{
		"sent later over a working connection":   {true, 1, []time.Duration{-100 * time.Millisecond}, 1, false, true},
		"two sent later over such connections":   {true, 3, []time.Duration{-100 * time.Millisecond, -100 * time.Millisecond}, 2, true, true},
		"nothing sent":                           {true, 1, nil, 0, true, false},
		"nothing sent, at most once":             {false, 1, nil, 0, true, false},
		"one of two":                             {true, 2, []time.Duration{time.Millisecond}, 1, true, false},
		"two of two":                             {true, 2, []time.Duration{time.Millisecond, time.Millisecond}, 2, false, false},
		"one of one":                             {true, 1, []time.Duration{time.Millisecond}, 1, false, false},
		"any number":                             {true, 0, []time.Duration{time.Millisecond, time.Millisecond}, 2, true, false},
		"sent, at most once":                     {false, 2, []time.Duration{time.Millisecond}, 1, false, false},
		"sent after the links failed":            {true, 1, []time.Duration{-100 * time.Millisecond}, 0, true, false},
		"sent later, at most once":               {false, 1, []time.Duration{-100 * time.Millisecond}, 0, false, false},
		"one before and one after they failed":   {true, 2, []time.Duration{time.Millisecond, -100 * time.Millisecond}, 1, true, false},
		"two before, with a third one not there": {true, 3, []time.Duration{time.Millisecond, time.Millisecond}, 2, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			n := &Node{}
			n.links.init()
			n.links.setSearchers(1)
			n.links.sent(isolated, "a")
			n.links.ended(isolated, "a", query.ResultAnswered)
			n.links.unreachable("a")

			if !n.links.detector.Due(isolated) {
				t.Fatal("no suspicion although the searcher takes no connection")
			}

			// A round without success right after an answer leaves the links limited, a later one isolates the node.
			n.links.detector.EndRound(isolated, 0)

			if !tc.limited {
				n.links.detector.EndRound(isolated.Add(time.Second), 0)
			}

			s := &activeRequest{n: n, r: &Request{}, route: &configuration.Route{Idempotent: tc.idempotent, MaxAttempts: tc.maxAttempts}}
			for _, before := range tc.sent {
				s.attempts = append(s.attempts, &attempt{send: &query.Send{Shard: "s"}, maybeSent: true, attachedAt: isolated.Add(-before)})
			}

			s.countUsedAttempts()

			if s.usedAttempts != tc.used || s.canRunAgain() != tc.forwarded {
				t.Errorf("%d attempts used, forwarded %v, want %d and %v", s.usedAttempts, s.canRunAgain(), tc.used, tc.forwarded)
			}
		})
	}
}

// Guards against results that change on the way between nodes, and against the promise 'not run' for a request that may
// have run at the node or at a peer.
func TestForwardedResults(t *testing.T) {
	reply := &Reply{Status: 200, Header: []Field{{Name: "X-Any", Value: "v"}}, Body: []byte("body")}

	for name, tc := range map[string]struct {
		at             Result // of the peer
		used           int    // attempts before the request was forwarded
		want           Result
		askAnotherPeer bool
	}{
		"relayed":               {&Relayed{Reply: reply}, 0, &Relayed{Reply: reply}, false},
		"merged":                {&Merged{Signatures: []string{"a", "b"}, Missing: 1, Body: []byte("x")}, 1, &Merged{Signatures: []string{"a", "b"}, Missing: 1, Body: []byte("x")}, false},
		"refused":               {&Refused{Kind: RefusedNotRun, Reason: ident.ReasonLimited, RetryAfter: time.Second}, 0, &Refused{Kind: RefusedNotRun, Reason: ident.ReasonLimited, RetryAfter: time.Second}, false},
		"refused, may have run": {&Refused{Kind: RefusedNotRun, Reason: ident.ReasonLimited}, 1, &Refused{Kind: RefusedUnknown, Reason: ident.ReasonLimited}, false},
		"isolated, may have run once": {
			&Refused{Kind: RefusedUnknown, Reason: ident.ReasonIsolated, Final: true}, 0, &Refused{Kind: RefusedUnknown, Reason: ident.ReasonIsolated}, false,
		},
		"isolated, may have run":  {&Refused{Kind: RefusedUnknown, Reason: ident.ReasonIsolated}, 0, nil, true},
		"isolated":                {&Refused{Kind: RefusedNotRun, Reason: ident.ReasonIsolated}, 0, nil, true},
		"isolated after attempts": {&Refused{Kind: RefusedUnknown, Reason: ident.ReasonIsolated, UsedAttempts: 1}, 0, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			n := &Node{}
			n.links.init()
			n.view.Store(&view{configuration: &configuration.Configuration{}})

			s := &activeRequest{n: n, r: &Request{}, route: &configuration.Route{Idempotent: true}}
			for range tc.used {
				s.attempts = append(s.attempts, &attempt{send: &query.Send{}, maybeSent: true})
			}

			frame, err := wire.Encode(toWireForwarded(tc.at))
			if err != nil {
				t.Fatalf("encode: %v", err)
			}

			m, err := wire.Decode(frame)
			if err != nil {
				t.Fatalf("decode: %v", err)
			}

			err = s.applyForwarded(m.(*wire.Forwarded)) //nolint:forcetypeassert // Encoded above.
			if (err != nil) != tc.askAnotherPeer {
				t.Errorf("error %v, want another peer to be asked: %v", err, tc.askAnotherPeer)
			}

			if diff := cmp.Diff(tc.want, s.result, cmp.AllowUnexported(Reply{})); diff != "" {
				t.Errorf("result differs (-want +got):\n%s", diff)
			}

			if refused, ok := tc.at.(*Refused); ok && s.mayHaveRun() != (tc.used > 0 || refused.UsedAttempts > 0 || refused.Kind == RefusedUnknown) {
				t.Errorf("may have run: %v", s.mayHaveRun())
			}
		})
	}
}

// Guards against a peer that gives searchers more time than the caller has left, or that counts the target of a request from
// its own arrival.
func TestForwardedRequestKeepsItsTimes(t *testing.T) {
	var (
		n         = newServingNode(t, 1)
		arrived   = time.Now()
		s         = &activeRequest{n: n, route: &configuration.Route{}, r: &Request{ID: "q", Arrived: arrived, Deadline: arrived.Add(time.Second)}}
		roundtrip = 24 * time.Millisecond
		sent      = arrived.Add(100 * time.Millisecond)
		received  = sent.Add(roundtrip / 2)
	)

	r := forwardedRequest(context.Background(), received, s.forwardMessage(sent.Add(roundtrip)))

	if r.Deadline.After(s.r.Deadline.Add(-roundtrip/2)) || r.Deadline.Before(s.r.Deadline.Add(-2*peerMargin)) {
		t.Errorf("the peer's deadline is %v before the caller's", s.r.Deadline.Sub(r.Deadline))
	}

	if early := arrived.Sub(r.Arrived); early < roundtrip/2-time.Millisecond || early > roundtrip {
		t.Errorf("the peer counts from %v before the arrival, want the way back, %v", early, roundtrip/2)
	}
}

// isolatedRequest returns a request at a node that was isolated after the last answer of a searcher.
func isolatedRequest(lastAnswer time.Time, forwarded, idempotent bool) *activeRequest {
	n := &Node{adviser: directory.NewAdviser(nil), logger: &log.Logger{Level: log.PanicLevel}}
	n.links.init()
	n.links.setSearchers(1)
	n.links.ended(lastAnswer, "a", query.ResultAnswered)
	n.links.unreachable("a")
	n.links.detector.Due(lastAnswer)
	n.links.detector.EndRound(lastAnswer.Add(time.Second), 0)
	n.view.Store(&view{configuration: &configuration.Configuration{}})

	return &activeRequest{n: n, r: &Request{Forwarded: forwarded}, route: &configuration.Route{Idempotent: idempotent}}
}

// previousApply reads a reply as the build 0ff3b0b does, which knows nothing of declined requests that may have run.
func previousApply(s *activeRequest, m *wire.Forwarded) {
	s.peerMayHaveRun = s.peerMayHaveRun || m.Attempts > 0
	if m.Result == wire.ForwardRefused {
		s.result = &Refused{Kind: RefusalKind(m.Refusal)}
	}
}

// Guards against a request that must run at most once and is sent to a further entry VM after one has sent it to a searcher,
// and against the promise 'not run' for a request that has run at any of them, whichever of them run the previous build.
func TestForwardedRequestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			idempotent = rapid.Bool().Draw(t, "idempotent")
			previous   = rapid.Bool().Draw(t, "previous build")
			lastAnswer = time.Now()
			runs       int
		)

		send := func(s *activeRequest) {
			for range rapid.IntRange(0, 2).Draw(t, "attempts") {
				if !s.canRunAgain() {
					break
				}

				sent := lastAnswer.Add(time.Duration(rapid.IntRange(-50, 300).Draw(t, "sent")) * time.Millisecond)
				a := &attempt{send: &query.Send{Shard: "s"}, maybeSent: true, attachedAt: sent}

				if rapid.Bool().Draw(t, "rejected") {
					a.reply = &Reply{Status: 503, NotRun: true}
				} else if rapid.Bool().Draw(t, "runs") {
					runs++
				}

				s.attempts = append(s.attempts, a)
			}

			s.countUsedAttempts()
		}

		s := isolatedRequest(lastAnswer, false, idempotent)
		send(s)

		for range rapid.IntRange(0, 4).Draw(t, "peers") {
			if s.result != nil || !s.canRunAgain() {
				break
			}

			peer := isolatedRequest(lastAnswer, true, idempotent)
			send(peer)
			peer.forwardOrRefuse()

			// The previous build describes nothing, so both cannot be the previous one.
			if previous || rapid.Bool().Draw(t, "peer has this build") {
				peer.describeRuns(peer.result.(*Refused)) //nolint:forcetypeassert // Nothing answers.
			}

			frame, err := wire.Encode(toWireForwarded(peer.result))
			if err != nil {
				t.Fatalf("encode: %v", err)
			}

			m, err := wire.Decode(frame)
			if err != nil {
				t.Fatalf("decode: %v", err)
			}

			if reply := m.(*wire.Forwarded); previous { //nolint:forcetypeassert // Encoded above.
				previousApply(s, reply)
			} else {
				_ = s.applyForwarded(reply) // Asks for another peer.
			}
		}

		if !idempotent && runs > 1 {
			t.Errorf("a request that must run at most once has run %d times", runs)
		}

		if s.result == nil && !previous {
			s.forwardOrRefuse()
		}

		if r, ok := s.result.(*Refused); ok && r.Kind == RefusedNotRun && runs > 0 {
			t.Errorf("refused as not run after %d runs", runs)
		}
	})
}

// Guards against the promise 'not run' at a node whose own attempts were all rejected, for a request that may have run at a
// peer.
func TestRefusalCountsRunsAtPeers(t *testing.T) {
	s := isolatedRequest(time.Now(), false, true)
	s.peerMayHaveRun = true
	s.refuse(&query.Refusal{Outcome: ident.OutcomeNotRun, Reason: ident.ReasonUnreachable})

	if r, ok := s.result.(*Refused); !ok || r.Kind != RefusedUnknown {
		t.Errorf("result %+v, want a refusal that promises nothing", s.result)
	}
}

// Guards against replies of the build 0ff3b0b, recorded here, by which a request that must run at most once is sent on although
// it may have run, or is not sent on although it cannot have.
func TestRepliesOfPreviousBuild(t *testing.T) {
	for name, tc := range map[string]struct {
		frame string
		again bool
	}{
		"declined at once": {
			"01148ba17201a2617400a2737400a2686490a162c400a2736790a26d7300a2726600a27265aa6f7665726c6f61646564a2726100a17600", true,
		},
		"isolated, nothing sent": {
			"01148ba17201a2617400a2737400a2686490a162c400a2736790a26d7300a2726600a27265a869736f6c61746564a27261d1012ca17607", true,
		},
		"isolated, sent and probably not arrived": {
			"01148ba17201a2617400a2737400a2686490a162c400a2736790a26d7300a2726601a27265a869736f6c61746564a27261d1012ca17607", false,
		},
		"isolated, sent": {
			"01148ba17201a2617401a2737400a2686490a162c400a2736790a26d7300a2726601a27265a869736f6c61746564a27261d1012ca17607", false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			frame, err := hex.DecodeString(tc.frame)
			if err != nil {
				t.Fatalf("decode text: %v", err)
			}

			m, err := wire.Decode(frame)
			if err != nil {
				t.Fatalf("decode: %v", err)
			}

			s := isolatedRequest(time.Now(), false, false)
			if err := s.applyForwarded(m.(*wire.Forwarded)); err == nil { //nolint:forcetypeassert // Recorded above.
				t.Errorf("no error, want another peer to be asked")
			}

			if got := s.canRunAgain(); got != tc.again {
				t.Errorf("the request may run again: %v, want %v", got, tc.again)
			}
		})
	}
}
