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

// Guards against verdicts that promise more than is known, or that run a request again which may have run.
func TestJudge(t *testing.T) {
	single := &configuration.Route{Parts: []configuration.Part{{Upstream: "u", Weight: 1}}}
	gather := &configuration.Route{Shards: []ident.UpstreamID{"a", "b"}}

	for name, tc := range map[string]struct {
		route   *configuration.Route
		reply   *Reply
		failure failure
		started bool
		ok      bool
		sent    bool
	}{
		"no connection free":                  {single, nil, failureFull, false, false, false},
		"connection refused":                  {single, nil, failureUnreachable, false, false, false},
		"connection lost":                     {single, nil, failureLost, true, false, true},
		"no answer in time":                   {single, nil, failureTimeout, true, false, true},
		"shed":                                {single, &Reply{Status: 503, NotRun: true}, failureNone, false, false, true},
		"another searcher":                    {single, &Reply{Status: 421, Replaced: true}, failureNone, false, false, true},
		"success":                             {single, &Reply{Status: 200, Signature: "s"}, failureNone, true, true, true},
		"success without a signature":         {single, &Reply{Status: 200}, failureNone, true, false, true},
		"refusal because of the request":      {single, &Reply{Status: 404, Signature: "s"}, failureNone, true, true, true},
		"refusal in a part":                   {gather, &Reply{Status: 404, Signature: "s"}, failureNone, true, false, true},
		"failure of the searcher":             {single, &Reply{Status: 500, Signature: "s"}, failureNone, true, false, true},
		"503 without the word that it is new": {single, &Reply{Status: 503, Signature: "s"}, failureNone, true, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			got := classify(tc.route, tc.reply, tc.failure)
			if gotStarted := started(got.Status); gotStarted != tc.started || got.Sent != tc.sent || (got.Status == query.StatusOK) != tc.ok {
				t.Errorf("status %d, sent %v, want started %v, sent %v, ok %v", got.Status, got.Sent, tc.started, tc.sent, tc.ok)
			}
		})
	}

	if relayable(&Reply{Status: 503, Signature: "s"}) {
		t.Errorf("a searcher's 503 without its word is passed on: callers would take it for a promise")
	}
}

// started reports whether a status leaves open that the searcher ran the request.
func started(s query.Status) bool {
	return s != query.StatusNotStarted && s != query.StatusSnapshotGone
}

// addRoute gives a node one more searcher behind a route of its own.
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
		Parts: []configuration.Part{{Upstream: id, Weight: 1}},
	})

	v := &view{configuration: &cfg, table: configuration.NewTable(&cfg), outOfService: map[ident.FailureDomain]bool{}}
	v.initUpstreams()

	if addr != "" {
		n.roster.Heard(time.Now(), roster.Instance{
			ID: roster.InstanceID(name), Role: roster.RoleSearcher, Upstream: id, Address: addr, FailureDomain: "dar", Born: 1, Sequence: 1, Capacity: 2,
		}, 0)
	}

	v.setSearchers(time.Now(), n.roster)
	v.assignShardSets(old)
	n.view.Store(v)
}

func serve(n *Node, path string, gone func() bool) Result {
	now := time.Now()

	return n.Serve(&Request{
		ID: "q", Method: "POST", Host: "h", Path: path, URI: path, Arrived: now, Deadline: now.Add(700 * time.Millisecond), Gone: gone,
	})
}

// searcherThat serves connections with a function.
func searcherThat(t *testing.T, serve func(c net.Conn)) string {
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

// Guards against a refusal that says 'not run' although the request went out, and against one that does not say it
// although nothing was sent, so that the caller of a request that is not idempotent can't come back.
func TestRefusalsAreTrue(t *testing.T) {
	n := newServingNode(t, 1)

	closed := searcherThat(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1))
		_ = c.Close()
	})
	silent := searcherThat(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })

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

// Guards against a request that may run once only and is sent on a connection that the searcher has already reset: its
// outcome would be unknown, and the caller could not come back.
func TestOnceOnSoundConnections(t *testing.T) {
	n := newServingNode(t, 1)
	addr := searcherThat(t, func(c net.Conn) { _ = c.Close() })
	addRoute(n, "once", addr, false)

	p := n.pools.get("once")

	for name, prepare := range map[string]func(c *Conn){
		"new":                  func(*Conn) {},
		"in use a moment ago":  func(c *Conn) { c.hasAnswered, c.usedAt = true, time.Now() },
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
			got := p.takeIdle(time.Now(), true)
			p.mu.Unlock()

			if got != nil {
				t.Errorf("a connection that was closed is used")
			}
		})
	}
}

// Guards against searchers that go on working for a caller that has gone: the connection has to be closed soon.
func TestCallerGone(t *testing.T) {
	n := newServingNode(t, 1)
	started, ended := make(chan struct{}), make(chan time.Time, 1)
	addr := searcherThat(t, func(c net.Conn) {
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

	var gone atomic.Bool

	go func() {
		<-started
		gone.Store(true)
	}()

	begin := time.Now()
	serve(n, "/slow/x", gone.Load)

	select {
	case at := <-ended:
		if took := at.Sub(begin); took > 500*time.Millisecond {
			t.Errorf("the searcher's connection was closed %v after the request", took)
		}
	case <-time.After(5 * time.Second):
		t.Errorf("the searcher still works for a caller that has gone")
	}
}

// Guards against requests that are held, or sent, while the node knows no configuration or stops.
func TestRefusedAtOnce(t *testing.T) {
	n := newServingNode(t, 1)
	v := n.view.Load()

	for name, tc := range map[string]struct {
		prepare func()
		path    string
		want    Refused
	}{
		"no configuration": {func() { n.view.Store(nil) }, "/x", Refused{Kind: RefusedNotRun, Reason: ident.ReasonControlUnreached, RetryAfter: unconfiguredRetryAfter}},
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

			// The time to come back is spread over half of it.
			if got.RetryAfter >= tc.want.RetryAfter && got.RetryAfter < tc.want.RetryAfter*3/2 {
				got.RetryAfter = tc.want.RetryAfter
			}

			if diff := cmp.Diff(&tc.want, got); diff != "" {
				t.Errorf("refusal differs (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against requests above the operator's limits that reach searchers, and against limits that refuse requests at them.
func TestLimits(t *testing.T) {
	n := newServingNode(t, 1)
	addRoute(n, "single", "", true)

	v := n.view.Load()
	v.configuration.Limits = configuration.Limits{MaxHeaderBytes: 100, MaxBodyBytes: 10}

	for name, tc := range map[string]struct {
		header, body int
		want         RefusalKind
	}{
		"at the limits":     {100, 10, RefusedNotRun}, // there is no searcher
		"header above them": {101, 10, RefusedHeaderTooLarge},
		"body above them":   {100, 11, RefusedBodyTooLarge},
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

// earlyCodec answers a long request before it is read, over plain connections.
type earlyCodec struct{ benchCodec }

func (earlyCodec) AppendRequest(b []byte, r *Request, _ *Attempt) []byte {
	b = append(b, "POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n"...)

	return append(b, r.Body...)
}

// Guards against a connection that is used again while the searcher still reads the body of the request before: it would
// take the next request for the rest of that body.
func TestEarlyAnswer(t *testing.T) {
	addr := searcherThat(t, func(c net.Conn) {
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

	// Far more than the buffers of a loopback connection hold.
	reply, err := n.roundTrip(c, &Request{Method: "POST", Body: make([]byte, 32<<20)}, a)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}

	if string(reply.Body) != "ok" || reply.Reusable {
		t.Errorf("body %q, connection reusable %v, want it closed", reply.Body, reply.Reusable)
	}
}

// Guards against requests that are convicted of crashing searchers because these reset new connections, and against crashes
// that are taken for that.
func TestResetAtOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		proven bool
		after  time.Duration
		want   bool
	}{
		"new connection, reset on arrival":     {false, 24 * time.Millisecond, true},
		"new connection, lost after some work": {false, 30 * time.Millisecond, false},
		"connection that has served before":    {true, time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := &Conn{openDuration: 24 * time.Millisecond, hasAnswered: tc.proven}
			if got := c.wasRejected(tc.after); got != tc.want {
				t.Errorf("reset at once: %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against a node that goes on opening connections to a searcher that resets them.
func TestResetLowersLimit(t *testing.T) {
	n := newServingNode(t, 1)
	addRoute(n, "crowded", searcherThat(t, func(c net.Conn) { _ = c.Close() }), true)

	p := n.pools.get("crowded")
	p.setShare(6)

	if v, _ := p.lane.Enter(searcher.LaneEntry{ID: 1}); v != searcher.LaneGranted {
		t.Fatalf("verdict %d for the first attempt", v)
	}

	c, err := p.dial(time.Second)
	if err != nil {
		t.Fatalf("dial: %v", err)
	}

	p.handleReset(c)

	if got := p.lane.Limit(); got != 1 {
		t.Errorf("limit of connections %d after a reset, want 1", got)
	}

	// The shares of the entry VMs are applied each 250 ms.
	p.setShare(6)

	if got := p.lane.Limit(); got != 1 {
		t.Errorf("limit of connections %d after the share was applied again, want 1", got)
	}
}

// Guards against requests that are convicted of crashing searchers because these reset new connections.
func TestResetsConvictNobody(t *testing.T) {
	for name, tc := range map[string]struct {
		failure failure
		want    query.Standing
	}{
		"connections lost during the work": {failureLost, query.StandingConvicted},
		"new connections reset":            {failureReset, query.StandingNone},
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

// Guards against a request to many shards that is convicted because a part of the searchers crashes while it runs, and
// against one that crashes each of them and is not.
func TestCrashesOfOthersConvictNobody(t *testing.T) {
	for name, tc := range map[string]struct {
		lost, answered int
		want           query.Standing
	}{
		"a seventh of 90 crashes":           {13, 77, query.StandingNone},
		"all of them crash":                 {90, 0, query.StandingConvicted},
		"those that were seen until it end": {10, 1, query.StandingConvicted},
	} {
		t.Run(name, func(t *testing.T) {
			var ends []attemptResult

			for range tc.lost {
				ends = append(ends, attemptResult{failure: failureLost})
			}

			for range tc.answered {
				ends = append(ends, attemptResult{reply: &Reply{Status: 200, Signature: "s"}})
			}

			if got := standingAfterTwo(t, ends); got != tc.want {
				t.Errorf("standing %v, want %v", got, tc.want)
			}
		})
	}
}
