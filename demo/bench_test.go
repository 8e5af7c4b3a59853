// The benchmarks produce the figures of docs/CAPACITY.md. Nodes, stand-in searchers and callers run in
// one process over loopback and share its CPU time.

package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fulmarfall/api"
	"fulmarfall/client"
	"fulmarfall/ident"
	"fulmarfall/lease"
	"fulmarfall/membership"
	"fulmarfall/record"
	"fulmarfall/standin"
	"fulmarfall/wire"

	"github.com/google/uuid"
	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"
)

func must(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

// startBench starts nodes, of which 3 are voters, and one upstream with one searcher per shard. If bytes
// is not nil, the traffic between the voters and the other nodes goes through relays that count it.
func startBench(b *testing.B, nodes, shards int, bytes *atomic.Int64) (c *Cluster, op, team *client.Client) {
	org := Organisation{Team: "rangers", Places: testPlaces}
	if shards > 0 {
		org.Services = []Service{{Upstream: "bench", Shards: shards, Replicas: 1, Slots: 8, Connections: 25}}
	}
	configs, err := Configure(b.TempDir(), Layout{Places: testPlaces, Nodes: nodes, Voters: 3, KeepTime: time.Second})
	must(b, err)
	for i := 3; i < nodes && bytes != nil; i++ {
		configs[i].Voters = slices.Clone(configs[i].Voters)
		for j := range configs[i].Voters {
			configs[i].Voters[j].QUICAddress = relay(b, configs[i].Voters[j].QUICAddress, bytes)
		}
	}
	c, stop, err := Start(configs, &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: b.Output()}})
	must(b, err)
	b.Cleanup(func() { must(b, stop()) })
	ctx, cancel := context.WithTimeout(b.Context(), readyTimeout)
	b.Cleanup(cancel)
	op, closeOp := c.Operator()
	b.Cleanup(closeOp)
	must(b, WriteRecords(ctx, op, org))
	_, stopSearchers, err := StartSearchers(org, c.Addresses())
	must(b, err)
	b.Cleanup(func() { must(b, stopSearchers()) })
	team, closeTeam := client.New(c.Addresses(), client.WithKey(TeamKey(org.Team)))
	b.Cleanup(closeTeam)
	// Completes the slow start: each searcher gets one request at a time until its rate has doubled up to its slots
	// per service time.
	for range 300 {
		must(b, WaitFullCoverage(ctx, team, org))
	}
	must(b, WaitFor(ctx, "every node", func() bool {
		st, err := op.Status(ctx)
		return err == nil && len(st.Nodes) == nodes
	}))
	return c, op, team
}

// relay forwards datagrams between one node and an address, and counts their bytes with 28 bytes of IP
// and UDP headers each. It returns the address that it listens on.
func relay(b *testing.B, to string, bytes *atomic.Int64) string {
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must(b, err)
	outbound, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(netip.MustParseAddrPort(to)))
	must(b, err)
	b.Cleanup(func() { _, _ = listener.Close(), outbound.Close() })
	forward := func(from *net.UDPConn, write func(from netip.AddrPort, p []byte)) {
		p := make([]byte, 1<<11)
		for n, addr, err := from.ReadFromUDPAddrPort(p); err == nil; n, addr, err = from.ReadFromUDPAddrPort(p) {
			bytes.Add(int64(n) + 28)
			write(addr, p[:n])
		}
	}
	var peer atomic.Pointer[netip.AddrPort]
	go forward(listener, func(from netip.AddrPort, p []byte) { peer.Store(&from); _, _ = outbound.Write(p) })
	go forward(outbound, func(_ netip.AddrPort, p []byte) { _, _ = listener.WriteToUDPAddrPort(p, *peer.Load()) })
	return listener.LocalAddr().String()
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	must(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// run calls f in parallel and reports the rate, the failures, and the CPU time of the whole process per call.
func run(b *testing.B, callersPerCore int, f func(i uint64) error) {
	var failed, next atomic.Uint64
	cpu := cpuTime(b)
	b.SetParallelism(callersPerCore)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := f(next.Add(1)); err != nil && failed.Add(1) == 1 {
				b.Logf("first failure: %v", err)
			}
		}
	})
	b.ReportMetric(float64((cpuTime(b)-cpu).Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "op/s")
	b.ReportMetric(float64(failed.Load()), "failed")
}

// BenchmarkSearch measures a repeated query over HTTP and QUIC with 4 nodes.
func BenchmarkSearch(b *testing.B) {
	for _, shards := range []int{4, 15, 55} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			_, _, team := startBench(b, 4, shards, nil)
			run(b, 1, func(uint64) error {
				a, err := team.Search(b.Context(), api.SearchRequest{Upstream: "bench", Query: json.RawMessage(`"ready"`), Limit: hitLimit, TimeoutMS: 5000})
				if err == nil && a.Coverage.ShardsAnswered != shards {
					err = ErrWrongAnswer
				}
				return err
			})
		})
	}
}

// BenchmarkStandin measures one stand-in searcher with an HTTP client and no nodes.
func BenchmarkStandin(b *testing.B) {
	cfg := searcherConfigs(Organisation{Places: testPlaces}, Service{Upstream: "bench", Shards: 1, Replicas: 1, Slots: 256, Connections: 256}, []string{"127.0.0.1:1"})[0]
	s, stop, err := standin.Start(cfg)
	must(b, err)
	defer func() { must(b, stop()) }()
	hc := &fasthttp.HostClient{Addr: s.Address(), MaxConns: 256}
	run(b, 1, func(i uint64) error {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + s.Address() + "/search")
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyString(fmt.Sprintf(`{"request_id":"%d","attempt":1,"upstream":"bench","shard":"shard-00","snapshot":1,"query":"ready","limit":10,"timeout_ms":5000}`, i))
		if err := hc.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
			return fmt.Errorf("%w: status %d, %w", ErrWrongAnswer, resp.StatusCode(), err)
		}
		return nil
	})
}

// BenchmarkAccept measures record changes, and non-idempotent requests (a claim and its outcome).
func BenchmarkAccept(b *testing.B) {
	_, op, team := startBench(b, 3, 8, nil)
	b.Run("changes", func(b *testing.B) {
		run(b, 16, func(uint64) error {
			id := uuid.NewString()
			_, err := op.Put(b.Context(), record.KindFailureDomain, id, api.RecordChange{Schema: 1, Revision: 1, Operation: ident.OperationID(id), Spec: json.RawMessage(`{"region":"ziwa","in_service":true}`)})
			return err
		})
	})
	b.Run("claims", func(b *testing.B) {
		run(b, 8, func(i uint64) error {
			_, err := team.Execute(b.Context(), uuid.Must(uuid.NewV7()).String(), api.ExecuteRequest{Upstream: "bench", Shard: shardName(int(i % 8)), Body: json.RawMessage(`"reserve"`), TimeoutMS: 5000})
			return err
		})
	})
}

// BenchmarkControl measures idle nodes ("rest", with relays), and the time from the acceptance of a change
// until every node serves it ("in_force", polled every 20 ms).
func BenchmarkControl(b *testing.B) {
	for _, nodes := range []int{8, 16, 32} {
		var bytes atomic.Int64
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			c, op, _ := startBench(b, nodes, 0, &bytes)
			b.Run("rest", func(b *testing.B) {
				cpu, before := cpuTime(b), bytes.Load()
				for b.Loop() {
					time.Sleep(time.Second)
				}
				b.ReportMetric(float64((cpuTime(b)-cpu).Microseconds())/float64(b.N), "cpu-us/s")
				b.ReportMetric(float64(bytes.Load()-before)/float64(b.N*(nodes-3)), "B/s/node")
				var m runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&m)
				b.ReportMetric(float64(m.HeapAlloc+m.StackInuse), "heap+stack-B")
			})
			revision := ident.Revision(0)
			b.Run("in_force", func(b *testing.B) {
				var latencies []time.Duration
				for b.Loop() {
					time.Sleep(rand.N(lease.RenewInterval)) // Spreads the changes over the phases of lease renewal.
					revision++
					must(b, PutRecord(b.Context(), op, record.KindFailureDomain, "spare", 1, revision, record.FailureDomainV1{Region: "ziwa", InService: true}))
					accepted := time.Now()
					var wg sync.WaitGroup
					for _, addr := range c.Addresses() {
						wg.Go(func() {
							node, closeNode := client.New([]string{addr}, client.WithKey(OperatorKey))
							defer closeNode()
							_ = WaitFor(b.Context(), addr, func() bool {
								r, err := node.Get(b.Context(), record.KindFailureDomain, "spare")
								return err == nil && r.Revision == revision
							})
						})
					}
					wg.Wait()
					latencies = append(latencies, time.Since(accepted))
				}
				slices.Sort(latencies)
				b.ReportMetric(float64(latencies[len(latencies)/2].Milliseconds()), "p50-ms")
				b.ReportMetric(float64(latencies[len(latencies)-1].Milliseconds()), "max-ms")
			})
		})
	}
}

// BenchmarkMembers measures how the leader builds the member list of one lease renewal with 480 nodes,
// and the encoded size of the response.
func BenchmarkMembers(b *testing.B) {
	for _, changed := range []int{0, 1, 480} {
		b.Run(fmt.Sprint(changed), func(b *testing.B) {
			t, r := membership.NewTable(1), &wire.Renewed{OK: true, Leader: nodeID(0), GrantedMillis: 2000, MustApply: 1 << 33}
			for i := range 480 {
				t.Renew(time.Now(), membership.Member{Node: nodeID(i), QUICAddress: "10.1.200.200:7401", HTTPAddress: "10.1.200.200:7400", FailureDomain: "arusha", Region: "kaskazini"})
			}
			for b.Loop() {
				list, _, _ := t.Since(membership.Version{Term: 1, Number: uint64(480 - changed)})
				r.Members = r.Members[:0]
				for _, m := range list {
					r.Members = append(r.Members, wire.Member{Node: m.Node, Address: m.QUICAddress, HTTPAddress: m.HTTPAddress, FailureDomain: m.FailureDomain, Region: m.Region})
				}
				_, _ = wire.Encode(r)
			}
			frame, err := wire.Encode(r)
			must(b, err)
			b.ReportMetric(float64(len(frame)), "B/answer")
		})
	}
}
