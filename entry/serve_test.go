package entry

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/configuration"
	"fulmarfall/ident"
	"fulmarfall/query"
	"fulmarfall/roster"
	"fulmarfall/searcher"
)

// Guards against results that claim more than is known, or that allow a retry of a request that may have run.
func TestClassify(t *testing.T) {
	single := &configuration.Route{Parts: []configuration.WeightedUpstream{{Upstream: "u", Weight: 1}}}
	gather := &configuration.Route{Shards: []ident.UpstreamID{"a", "b"}}

	for name, tc := range map[string]struct {
		route   *configuration.Route
		reply   *Reply
		failure failure
		started bool
		ok      bool
		sent    bool
	}{
		"no connection free":          {single, nil, failureFull, false, false, false},
		"connection refused":          {single, nil, failureUnreachable, false, false, false},
		"connection lost":             {single, nil, failureLost, true, false, true},
		"no answer in time":           {single, nil, failureTimeout, true, false, true},
		"shed":                        {single, &Reply{Status: 503, NotRun: true}, failureNone, false, false, true},
		"another searcher":            {single, &Reply{Status: 421, Misdirected: true}, failureNone, false, false, true},
		"success":                     {single, &Reply{Status: 200, Signature: "s"}, failureNone, true, true, true},
		"success without a signature": {single, &Reply{Status: 200}, failureNone, true, false, true},
		"client error":                {single, &Reply{Status: 404, Signature: "s"}, failureNone, true, true, true},
		"client error of a shard":     {gather, &Reply{Status: 404, Signature: "s"}, failureNone, true, false, true},
		"server error":                {single, &Reply{Status: 500, Signature: "s"}, failureNone, true, false, true},
		"503 that may have run":       {single, &Reply{Status: 503, Signature: "s"}, failureNone, true, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			got := classify(tc.route, tc.reply, tc.failure)
			if gotStarted := mayHaveStarted(got.Status); gotStarted != tc.started || got.Sent != tc.sent || (got.Status == query.StatusOK) != tc.ok {
				t.Errorf("status %d, sent %v, want started %v, sent %v, ok %v", got.Status, got.Sent, tc.started, tc.sent, tc.ok)
			}
		})
	}

	if relayable(&Reply{Status: 503, Signature: "s"}) {
		t.Errorf("a 503 without the statement 'not run' is relayable: callers would conclude that the request has not run")
	}
}

// mayHaveStarted reports whether the searcher may have started the request, according to a status.
func mayHaveStarted(s query.Status) bool {
	return s != query.StatusNotStarted && s != query.StatusSnapshotGone
}

// addRoute adds a route with an upstream of its own and, unless addr is empty, one searcher.
func addRoute(n *Node, name, addr string, idempotent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()

	old := n.view.Load()
	cfg := *old.configuration
	cfg.Version++
	cfg.Upstreams = map[ident.UpstreamID]configuration.Upstream{}

	for id, u := range old.configuration.Upstreams {
		cfg.Upstreams[id] = u
	}

	id := ident.UpstreamID(name)
	cfg.Upstreams[id] = configuration.Upstream{ID: id}
	cfg.Routes = append(append([]configuration.Route{}, cfg.Routes...), configuration.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: idempotent, Timeout: time.Second, MaxAttempts: 2,
		Parts: []configuration.WeightedUpstream{{Upstream: id, Weight: 1}},
	})

	v := &view{configuration: &cfg, table: configuration.NewTable(&cfg), outOfService: map[ident.FailureDomain]bool{}}
	v.initUpstreams()

	if addr != "" {
		n.roster.ApplyReport(time.Now(), roster.Instance{
			ID: roster.InstanceID(name), Role: roster.RoleSearcher, Upstream: id, Address: addr, FailureDomain: "dar", Born: 1, Sequence: 1, Capacity: 2,
		}, 0)
	}

	v.setSearchers(time.Now(), n.roster)
	v.setShardUpstreams()
	n.view.Store(v)
}

func serve(n *Node, path string, disconnected func() bool) Result {
	now := time.Now()

	return n.Serve(&Request{
		ID: "q", Method: "POST", Host: "h", Path: path, URI: path, Arrived: now, Deadline: now.Add(700 * time.Millisecond), Disconnected: disconnected,
	})
}

// startSearcher starts a searcher that handles each connection with a function, and returns its address.
func startSearcher(t *testing.T, serve func(c net.Conn)) string {
	t.Helper()

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}

	t.Cleanup(func() { _ = ln.Close() })

	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}

			go serve(c)
		}
	}()

	return ln.Addr().String()
}

// Guards against a refusal that states 'not run' although the request was sent, and against one that does not state it
// although nothing was sent, so that the caller can't retry a request that is not idempotent.
func TestRefusalKinds(t *testing.T) {
	n := newServingNode(t, 1)

	closed := startSearcher(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1))
		_ = c.Close()
	})
	silent := startSearcher(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}

	refusing := ln.Addr().String()
	if err := ln.Close(); err != nil {
		t.Fatalf("close: %v", err)
	}

	for name, tc := range map[string]struct {
		addr string
		want RefusalKind
	}{
		"nosearcher": {"", RefusedNotRun},
		"refusing":   {refusing, RefusedNotRun},
		"closing":    {closed, RefusedUnknown},
		"silent":     {silent, RefusedDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			addRoute(n, name, tc.addr, false)

			got, ok := serve(n, "/"+name+"/x", nil).(*Refused)
			if !ok {
				t.Fatalf("not refused")
			}

			if diff := cmp.Diff(tc.want, got.Kind); diff != "" {
				t.Errorf("kind differs (-want +got):\n%s; reason %s", diff, got.Reason)
			}
		})
	}
}

// Guards against an at-most-once request that is sent on a connection that the searcher has already closed: its outcome
// would be unknown, and the caller could not retry it.
func TestAtMostOnceSkipsClosedConnections(t *testing.T) {
	n := newServingNode(t, 1)
	addr := startSearcher(t, func(c net.Conn) { _ = c.Close() })
	addRoute(n, "once", addr, false)

	p := n.pools.get("once")

	for name, prepare := range map[string]func(c *Conn){
		"new":                  func(*Conn) {},
		"recently used":        func(c *Conn) { c.hasAnswered, c.usedAt = true, time.Now() },
		"idle for a long time": func(c *Conn) { c.hasAnswered = true },
	} {
		t.Run(name, func(t *testing.T) {
			c, err := p.dial(time.Second)
			if err != nil {
				t.Fatalf("dial: %v", err)
			}

			for end := time.Now().Add(5 * time.Second); !c.stale() && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}

			prepare(c)

			p.mu.Lock()
			p.idle = []*Conn{c}
			got := p.takeIdle(time.Now(), 0, true)
			p.mu.Unlock()

			if got != nil {
				t.Errorf("takeIdle returned a connection that the searcher has closed")
			}
		})
	}
}

// Guards against searchers that continue to work for a caller that has disconnected: their connection has to be closed
// within 500 ms.
func TestCallerDisconnected(t *testing.T) {
	n := newServingNode(t, 1)
	started, ended := make(chan struct{}), make(chan time.Time, 1)
	addr := startSearcher(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		if _, err := r.ReadString('\n'); err != nil {
			return
		}

		close(started)

		for {
			if _, err := r.ReadByte(); err != nil {
				ended <- time.Now()

				return
			}
		}
	})
	addRoute(n, "slow", addr, true)

	var disconnected atomic.Bool

	go func() {
		<-started
		disconnected.Store(true)
	}()

	begin := time.Now()
	serve(n, "/slow/x", disconnected.Load)

	select {
	case at := <-ended:
		if took := at.Sub(begin); took > 500*time.Millisecond {
			t.Errorf("the searcher's connection was closed %v after the request", took)
		}
	case <-time.After(5 * time.Second):
		t.Errorf("the connection to the searcher is still open although the caller has disconnected")
	}
}

// Guards against requests that are queued or sent while the node has no configuration or is stopping.
func TestRefusedImmediately(t *testing.T) {
	n := newServingNode(t, 1)
	v := n.view.Load()

	for name, tc := range map[string]struct {
		prepare func()
		path    string
		want    Refused
	}{
		"no configuration": {func() { n.view.Store(nil) }, "/x", Refused{Kind: RefusedNotRun, Reason: ident.ReasonControlUnreachable, RetryAfter: unconfiguredRetryAfter}},
		"stopping":         {func() { n.stopping.Store(true) }, "/x", Refused{Kind: RefusedNotRun, Reason: ident.ReasonLeaving, RetryAfter: defaultRetryAfter}},
		"no route":         {func() {}, "x", Refused{Kind: RefusedNoRoute, Reason: ident.ReasonUnknownUpstream}},
	} {
		t.Run(name, func(t *testing.T) {
			n.view.Store(v)
			n.stopping.Store(false)
			tc.prepare()

			got, ok := serve(n, tc.path, nil).(*Refused)
			if !ok {
				t.Fatalf("not refused")
			}

			// Jitter lengthens the retry time by up to a half.
			if got.RetryAfter >= tc.want.RetryAfter && got.RetryAfter < tc.want.RetryAfter*3/2 {
				got.RetryAfter = tc.want.RetryAfter
			}

			if diff := cmp.Diff(&tc.want, got); diff != "" {
				t.Errorf("refusal differs (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against requests above the operator's limits that reach searchers, and against the refusal of requests that
// are exactly at the limits.
func TestLimits(t *testing.T) {
	n := newServingNode(t, 1)
	addRoute(n, "single", "", true)

	v := n.view.Load()
	v.configuration.Limits = configuration.Limits{MaxHeaderBytes: 100, MaxBodyBytes: 10}

	for name, tc := range map[string]struct {
		header, body int
		want         RefusalKind
	}{
		"at the limits":      {100, 10, RefusedNotRun}, // refused because there is no searcher
		"header above limit": {101, 10, RefusedHeaderTooLarge},
		"body above limit":   {100, 11, RefusedBodyTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()

			got, ok := n.Serve(&Request{
				ID: "q", Method: "POST", Host: "h", Path: "/single/x", URI: "/single/x", Arrived: now, Deadline: now.Add(time.Second),
				HeaderBytes: tc.header, Body: make([]byte, tc.body),
			}).(*Refused)
			if !ok || got.Kind != tc.want {
				t.Errorf("result %+v, want kind %v", got, tc.want)
			}
		})
	}
}

// earlyCodec sends requests whose header announces a body of 1 MB.
type earlyCodec struct{ benchCodec }

func (earlyCodec) AppendRequest(b []byte, r *Request, _ *Attempt) []byte {
	b = append(b, "POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n"...)

	return append(b, r.Body...)
}

// Guards against the reuse of a connection on which the searcher is still reading the body of the previous request: it
// would take the next request for the remainder of that body.
func TestEarlyAnswer(t *testing.T) {
	addr := startSearcher(t, func(c net.Conn) {
		if _, err := bufio.NewReader(c).ReadString('\n'); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}

		time.Sleep(300 * time.Millisecond)
		_, _ = io.Copy(io.Discard, c)
	})

	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	defer func() { _ = nc.Close() }()

	n := &Node{codec: earlyCodec{}}
	c := &Conn{Conn: nc, R: bufio.NewReader(nc)}
	a := &attempt{send: &query.Send{Deadline: time.Now().Add(5 * time.Second)}}

	// The body is much larger than the buffers of a loopback connection.
	reply, err := n.roundTrip(c, &Request{Method: "POST", Body: make([]byte, 32<<20)}, a)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}

	if string(reply.Body) != "ok" || reply.Reusable {
		t.Errorf("body %q, connection reusable %v, want it closed", reply.Body, reply.Reusable)
	}
}

// Guards against requests that are convicted of crashing searchers because searchers at their connection limit reset
// new connections, and against crashes that are taken for such resets.
func TestWasRejected(t *testing.T) {
	for name, tc := range map[string]struct {
		hasAnswered bool
		after       time.Duration
		want        bool
	}{
		"new connection, reset on arrival":       {false, 24 * time.Millisecond, true},
		"new connection, lost during processing": {false, 30 * time.Millisecond, false},
		"connection that has carried an answer":  {true, time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := &Conn{openDuration: 24 * time.Millisecond, hasAnswered: tc.hasAnswered}
			if got := c.wasRejected(tc.after); got != tc.want {
				t.Errorf("wasRejected: %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against a node that keeps opening connections to a searcher that resets them.
func TestResetLowersLimit(t *testing.T) {
	n := newServingNode(t, 1)
	addRoute(n, "limited", startSearcher(t, func(c net.Conn) { _ = c.Close() }), true)

	p := n.pools.get("limited")
	p.setShare(6)

	if v, _ := p.limiter.Acquire(searcher.ConnectionRequest{ID: 1}); v != searcher.ConnectionGranted {
		t.Fatalf("verdict %d for the first attempt", v)
	}

	c, err := p.dial(time.Second)
	if err != nil {
		t.Fatalf("dial: %v", err)
	}

	p.handleReset(c)

	if got := p.limiter.Limit(); got != 1 {
		t.Errorf("connection limit %d after a reset, want 1", got)
	}

	// The shares of the entry VMs are applied again every 250 ms.
	p.setShare(6)

	if got := p.limiter.Limit(); got != 1 {
		t.Errorf("connection limit %d after the share was applied again, want 1", got)
	}
}

// Guards against requests that are convicted of crashing searchers because searchers reset new connections.
func TestResetsDoNotConvict(t *testing.T) {
	for name, tc := range map[string]struct {
		failure failure
		want    query.Standing
	}{
		"connections lost during processing": {failureLost, query.StandingConvicted},
		"new connections reset":              {failureReset, query.StandingNone},
	} {
		t.Run(name, func(t *testing.T) {
			n := newServingNode(t, 1)

			const fp ident.Fingerprint = 7

			at := time.Now()

			for _, id := range []ident.RequestID{"q1", "q1", "q2", "q2"} {
				at = at.Add(time.Second)
				s := &activeRequest{
					n: n, r: &Request{ID: id, Arrived: at}, route: &configuration.Route{}, fingerprint: fp, attempts: []*attempt{{send: &query.Send{}}},
				}
				s.recordResult(attemptResult{attempt: 1, failure: tc.failure})
				s.detectCrash(at)
			}

			if got, _ := n.standing(at, fp); got != tc.want {
				t.Errorf("standing %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against a request to many shards that is convicted because some searchers crash for another reason while it
// runs, and against one that crashes every searcher and is not convicted.
func TestUnrelatedCrashesDoNotConvict(t *testing.T) {
	for name, tc := range map[string]struct {
		lost, answered int
		want           query.Standing
	}{
		"a seventh of 90 crash":                 {13, 77, query.StandingNone},
		"all crash":                             {90, 0, query.StandingConvicted},
		"10 crash and 1 answers before it ends": {10, 1, query.StandingConvicted},
	} {
		t.Run(name, func(t *testing.T) {
			var results []attemptResult

			for range tc.lost {
				results = append(results, attemptResult{failure: failureLost})
			}

			for range tc.answered {
				results = append(results, attemptResult{reply: &Reply{Status: 200, Signature: "s"}})
			}

			if got := standingAfterTwoRequests(t, results); got != tc.want {
				t.Errorf("standing %v, want %v", got, tc.want)
			}
		})
	}
}
