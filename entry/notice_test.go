package entry

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"fulmarfall/ident"
	"fulmarfall/query"
	"fulmarfall/roster"
)

// noticeCodec adds a notice to each answer that it reads.
type noticeCodec struct {
	benchCodec
	leaving, misdirected bool
	backoff              time.Duration
}

func (c noticeCodec) ReadReply(conn *Conn, r *Request) (*Reply, error) {
	reply, err := c.benchCodec.ReadReply(conn, r)
	if err == nil {
		reply.Leaving, reply.Misdirected, reply.RetryAfter = c.leaving, c.misdirected, c.backoff
	}

	return reply, err
}

// Guards against requests that are sent to a searcher after it has announced in an answer that it is leaving or asks
// for back-off, including attempts planned earlier and idle connections, and against notices of another process at its
// address.
func TestNoticeStopsAttempts(t *testing.T) {
	for name, tc := range map[string]struct {
		codec  noticeCodec
		second failure
	}{
		"no notice":            {noticeCodec{}, failureNone},
		"leaving":              {noticeCodec{leaving: true}, failureLeaving},
		"back-off":             {noticeCodec{backoff: time.Minute}, failureBackoff},
		"from another process": {noticeCodec{leaving: true, backoff: time.Minute, misdirected: true}, failureNone},
	} {
		t.Run(name, func(t *testing.T) {
			n := newServingNode(t, 1)
			n.codec = tc.codec

			for i, want := range []failure{failureNone, tc.second} {
				a := &attempt{send: &query.Send{Searcher: "u0", Deadline: time.Now().Add(5 * time.Second)}}
				if _, got := n.exchange(&Request{ID: "q", URI: "/x"}, a); got != want {
					t.Errorf("attempt %d ended as %q, want %q", i+1, got, want)
				}
			}

			p := n.pools.get("u0")
			if p.limiter.Busy() != 0 {
				t.Errorf("%d connections are in use after all attempts have ended", p.limiter.Busy())
			}
		})
	}
}

// Guards against a process that was paused and then sends a request whose deadline passed in the meantime.
func TestExpiredAttemptIsNotSent(t *testing.T) {
	n := newServingNode(t, 1)

	for name, tc := range map[string]struct {
		remaining time.Duration
		want      failure
	}{
		"deadline ahead":               {5 * time.Second, failureNone},
		"deadline just passed":         {-time.Millisecond, failureExpired},
		"deadline passed during pause": {-30 * time.Second, failureExpired},
		"less than minRemaining":       {minRemaining / 2, failureExpired},
	} {
		t.Run(name, func(t *testing.T) {
			a := &attempt{send: &query.Send{Searcher: "u0", Deadline: time.Now().Add(tc.remaining)}}
			if got := n.checkBeforeSend(time.Now(), &Request{}, a, n.pools.get("u0")); got != tc.want {
				t.Errorf("%q, want %q", got, tc.want)
			}

			if _, got := n.exchange(&Request{ID: "q", URI: "/x"}, a); got != tc.want {
				t.Errorf("the attempt ended as %q, want %q", got, tc.want)
			}
		})
	}
}

// Guards against a searcher that counts as unreachable because attempts had less time than a connection takes to open. Its
// listener accepts nothing and its backlog is full, so a connection hangs.
func TestShortAttemptIsNoEvidenceOfUnreachability(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatalf("create socket: %v", err)
	}

	defer func() { _ = syscall.Close(fd) }()

	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatalf("bind: %v", err)
	}

	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatalf("listen: %v", err)
	}

	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatalf("read address: %v", err)
	}

	addr := fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)

	for {
		c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			break // the backlog is full
		}

		defer func() { _ = c.Close() }()
	}

	for name, tc := range map[string]struct {
		remaining time.Duration
		want      failure
	}{
		"less time than a connection may take": {connectTimeout / 4, failureExpired},
		"time enough":                          {2 * connectTimeout, failureUnreachable},
	} {
		t.Run(name, func(t *testing.T) {
			n := newServingNode(t, 1)
			addRoute(n, "full", addr, true)

			a := &attempt{send: &query.Send{Searcher: "full", Deadline: time.Now().Add(tc.remaining)}}
			if _, got := n.exchange(&Request{ID: "q", URI: "/x"}, a); got != tc.want {
				t.Errorf("the attempt ended as %q, want %q", got, tc.want)
			}
		})
	}
}

// Guards against a node that, after a searcher has restarted under the same ID, still uses its former address,
// connections and notices.
func TestRestartedSearcherGetsNewPool(t *testing.T) {
	n := newServingNode(t, 1)
	addRoute(n, "again", "127.0.0.1:9", true)

	old := n.pools.get("again")
	n.planner.RecordNotice(time.Now(), "again", old.instance.Born, query.Notice{Leaving: true})

	addr := startSearcher(t, func(c net.Conn) { serveConn(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx") })

	n.mu.Lock()
	in := old.instance
	in.Address, in.Born, in.Sequence = addr, old.instance.Born+1, 1

	if !n.roster.ApplyReport(time.Now(), in, 0) {
		t.Fatalf("the roster did not accept the new incarnation")
	}

	v := n.view.Load()
	next := &view{configuration: v.configuration, table: v.table, outOfService: v.outOfService}
	next.initUpstreams()
	next.setSearchers(time.Now(), n.roster)
	next.setShardUpstreams()
	n.view.Store(next)
	n.applyShares(time.Now(), next)
	n.mu.Unlock()

	if p := n.pools.get("again"); p == old || p.instance.Address != addr {
		t.Fatalf("connections still go to the former address %s", p.instance.Address)
	}

	a := &attempt{send: &query.Send{Searcher: "again", Deadline: time.Now().Add(5 * time.Second)}}
	if _, f := n.exchange(&Request{ID: "q", URI: "/x"}, a); f != failureNone {
		t.Errorf("an attempt at the new incarnation ended as %q", f)
	}
}

// Guards against a view without the incarnations of searchers: a notice would still apply after a restart.
func TestReplicasCarryIncarnation(t *testing.T) {
	n := newServingNode(t, 2)
	v := n.view.Load()

	for _, sh := range v.upstream(&v.configuration.Routes[0], nil, "", map[ident.FailureDomain]ident.Region{}).Snapshots[0].Shards {
		for _, r := range sh.Replicas {
			in, ok := n.roster.Lookup(roster.RoleSearcher, roster.InstanceID(r.Searcher))
			if !ok || r.Born != in.Instance.Born || r.Born == 0 {
				t.Errorf("searcher %s has incarnation %d, want %d", r.Searcher, r.Born, in.Instance.Born)
			}
		}
	}
}
