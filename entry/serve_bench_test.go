package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fulmarfall/configuration"
	"fulmarfall/ident"
	"fulmarfall/logs"
	"fulmarfall/query"
	"fulmarfall/roster"

	"github.com/phuslu/log"
)

// benchCodec exchanges minimal HTTP/1.1 requests and answers with searchers.
type benchCodec struct{ Codec }

// SetTeam removes nothing, because the requests of tests have no header lines of callers.
func (benchCodec) SetTeam(header []byte, team ident.TeamID) []byte {
	if team == "" {
		return header
	}

	return append(append([]byte(nil), header...), "X-Team: "+string(team)+"\r\n"...)
}

func (benchCodec) AppendRequest(b []byte, r *Request, a *Attempt) []byte {
	b = append(b, "GET "...)
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: a\r\nX-Expect: "...)
	b = append(b, a.Searcher...)

	return append(b, "\r\n\r\n"...)
}

func (benchCodec) ReadReply(c *Conn, _ *Request) (*Reply, error) {
	resp, err := http.ReadResponse(c.R, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()

	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}

	return &Reply{Status: resp.StatusCode, Body: body, Signature: "s", Reusable: true}, nil
}

// serveFixed accepts connections and answers each request with the same bytes.
func serveFixed(ln net.Listener, answer string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}

		go serveConn(c, answer)
	}
}

// serveConn answers each request on a connection with the same bytes.
func serveConn(c net.Conn, answer string) {
	defer func() { _ = c.Close() }()

	r := bufio.NewReader(c)

	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}

		if line == "\r\n" {
			if _, err := c.Write([]byte(answer)); err != nil {
				return
			}
		}
	}
}

// newServingNode returns a node with a single route over the given number of shards, each with one searcher. adjust changes its
// configuration before it starts, because its loops read it.
func newServingNode(tb testing.TB, shards int, adjust ...func(*Config)) *Node {
	tb.Helper()

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatalf("listen: %v", err)
	}

	tb.Cleanup(func() { _ = ln.Close() })

	body := strings.Repeat("0123456789abcdef", 25)
	go serveFixed(ln, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))

	settings := configFor(tb, freeAddress(tb))
	settings.RetryRatio, settings.RetrySlack, settings.RetryWindow = 0.2, 50, 10*time.Second

	for _, f := range adjust {
		f(&settings)
	}

	n, stop, err := Start(settings, benchCodec{}, WithLogger(&log.Logger{Level: log.PanicLevel}))
	if err != nil {
		tb.Fatalf("start: %v", err)
	}

	tb.Cleanup(func() { _ = stop() })

	cfg := &configuration.Configuration{Version: 1, Upstreams: map[ident.UpstreamID]configuration.Upstream{}}
	route := configuration.Route{Name: "r", Host: "h", Prefix: "/", Idempotent: true, Timeout: 2 * time.Second, TargetLatency: 100 * time.Millisecond, MaxAttempts: 2, Limit: 20, MinCoverage: 0.9}

	n.mu.Lock()
	defer n.mu.Unlock()

	for i := range shards {
		id := ident.UpstreamID(fmt.Sprintf("u%d", i))
		cfg.Upstreams[id] = configuration.Upstream{ID: id, MaxConnections: 100}
		route.Shards = append(route.Shards, id)

		// All searchers share the address of one listener.
		addr := fmt.Sprintf("127.0.0.%d:%d", 1, ln.Addr().(*net.TCPAddr).Port)
		n.roster.ApplyReport(time.Now(), roster.Instance{
			ID: roster.InstanceID(id), Role: roster.RoleSearcher, Upstream: id, Address: addr, FailureDomain: "dar",
			Born: uint64(i + 1), Sequence: 1, Capacity: 4,
		}, 0)
	}

	cfg.Routes = []configuration.Route{route}
	v := &view{configuration: cfg, table: configuration.NewTable(cfg), outOfService: map[ident.FailureDomain]bool{}, upstreams: nil}
	v.initUpstreams()
	v.searchers = map[ident.UpstreamID][]roster.Instance{}
	v.byID = map[ident.SearcherID]roster.Instance{}

	n.roster.Each(time.Now(), roster.RoleSearcher, func(in *roster.Instance, _ time.Duration) {
		v.searchers[in.Upstream] = append(v.searchers[in.Upstream], *in)
		v.byID[ident.SearcherID(in.ID)] = *in
	})
	v.setShardUpstreams()
	n.view.Store(v)

	return n
}

// BenchmarkGather measures one request to 36 shards, including the work of the searchers, without and with log lines.
func BenchmarkGather(b *testing.B) {
	b.Run("silent", func(b *testing.B) { benchmarkGather(b, newServingNode(b, 36)) })
	b.Run("logged", func(b *testing.B) {
		n := newServingNode(b, 36)

		logger, closeLog := logs.New(io.Discard, "info", "bench")
		defer closeLog()

		n.logger = logger
		benchmarkGather(b, n)
	})
}

// BenchmarkReport measures the cost of logging and counting one request to 36 shards with one hedge.
func BenchmarkReport(b *testing.B) {
	n := newServingNode(b, 36)

	logger, closeLog := logs.New(io.Discard, "info", "bench")
	defer closeLog()

	n.logger = logger
	v := n.view.Load()
	s := &activeRequest{n: n, r: &Request{ID: "0123456789abcdef", Arrived: time.Now()}, route: &v.configuration.Routes[0], result: &Merged{}}

	for i := range 37 {
		s.attempts = append(s.attempts, &attempt{
			send: &query.Send{Searcher: "searcher-1", Shard: "u1", Hedge: i == 36}, sentAt: time.Now(), endedAt: time.Now(), reply: &Reply{Status: 200},
		})
	}

	b.ReportAllocs()

	for b.Loop() {
		n.report(s, v)
	}
}

func benchmarkGather(b *testing.B, n *Node) {
	b.Helper()
	b.ReportAllocs()

	for i := range b.N {
		now := time.Now()

		res := n.Serve(&Request{
			ID: ident.RequestID(fmt.Sprint(i)), Method: "GET", Host: "h", Path: "/a", URI: "/a", Arrived: now, Deadline: now.Add(time.Second),
		})
		if m, ok := res.(*Merged); !ok || m.Missing > 0 {
			b.Fatalf("result %+v", res)
		}
	}
}
