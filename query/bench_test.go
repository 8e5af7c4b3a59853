// This file measures the decision path and the load that the ways of choosing replicas lead to.

package query

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"fulmarfall/ident"
)

// benchmarkFanOut runs whole queries without faults: Start, one Reply per shard, NextTick after each.
func benchmarkFanOut(b *testing.B, shards, replicas, others int, choice Choice) {
	w := newWorld(b, 1, shards, replicas, WithChoice(choice))
	for i := range others {
		w.planner.load(ident.SearcherID(fmt.Sprintf("other%d", i))).latency = 1
	}
	replies := map[ident.ShardID][]Hit{}
	for i := range shards {
		id := ident.ShardID(fmt.Sprintf("s%d", i))
		for j := range 10 {
			replies[id] = append(replies[id], Hit{ID: fmt.Sprintf("%s/%d", id, j), Score: float64(100 - j*i%10)})
		}
	}
	r := search("a", time.Second)
	w.planner.harmless.add(harmlessKey{fingerprint: r.Fingerprint, snapshot: 1})
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		q, actions := w.planner.Start(epoch, r, w)
		for _, a := range actions {
			s := a.(*Send)
			q.Reply(epoch.Add(time.Millisecond), ShardReply{
				Request: s.Request, Attempt: s.Attempt, Shard: s.Shard, Snapshot: s.Snapshot, Status: StatusOK,
				Hits: replies[s.Shard], Load: Load{Known: true, Queued: 1},
			})
			q.NextTick()
		}
		if _, ok := q.NextTick(); ok {
			b.Fatal("the query has not finished")
		}
	}
}

func BenchmarkFanOut(b *testing.B) {
	for _, shards := range []int{1, 10, 55} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) { benchmarkFanOut(b, shards, 3, 0, FullComparison) })
	}
}

// BenchmarkSearchers holds the fan-out at 55 and varies the number of searchers: all replicas of the upstream asked,
// or 3 replicas per shard while the rest belong to other upstreams.
func BenchmarkSearchers(b *testing.B) {
	for _, n := range []int{55, 220, 2200} {
		for name, choice := range map[string]Choice{"full": FullComparison, "two": TwoRandom} {
			b.Run(fmt.Sprintf("replicas/%s/n=%d", name, n), func(b *testing.B) { benchmarkFanOut(b, 55, n/55, 0, choice) })
		}
		b.Run(fmt.Sprintf("elsewhere/n=%d", n), func(b *testing.B) { benchmarkFanOut(b, 55, 3, n, FullComparison) })
	}
}

// BenchmarkChoice reports, for several nodes that share the searchers of one shard, the shard latency in a queueing model:
// exponential service of 2 ms, one slot, load reports in replies only. One searcher is three times slower.
func BenchmarkChoice(b *testing.B) {
	for _, size := range [][2]int{{8, 3}, {8, 40}, {480, 3}, {480, 40}} {
		for name, choice := range map[string]Choice{"full": FullComparison, "two": TwoRandom} {
			b.Run(fmt.Sprintf("%s/nodes=%d/replicas=%d", name, size[0], size[1]), func(b *testing.B) {
				modelChoice(b, size[0], size[1], choice)
			})
		}
	}
}

func modelChoice(b *testing.B, nodes, replicas int, choice Choice) {
	const service, load = 2 * time.Millisecond, 0.7
	rnd := rand.New(rand.NewPCG(1, 2))
	u := newUpstream(1, 1, replicas)
	planners := make([]*Planner, nodes)
	for i := range planners {
		planners[i] = NewPlanner(WithNode("x", "d0", "r0"), WithChoice(choice), WithRandom(rand.NewPCG(uint64(i), 3)),
			WithHopTimes(HopTimes{}))
	}
	type job struct {
		done    time.Time
		planner *Planner
		sent    time.Time
		server  int
	}
	free := make([]time.Time, replicas)
	var running []job
	var total latencyRecord
	sum, now := 0.0, epoch
	for range b.N {
		now = now.Add(time.Duration(rnd.ExpFloat64() * float64(service) / load / (float64(replicas) - 2.0/3)))
		rest := running[:0]
		for _, j := range running {
			if j.done.After(now) {
				rest = append(rest, j)
				continue
			}
			l := j.planner.load(u.Snapshots[0].Shards[0].Replicas[j.server].Searcher)
			l.inFlight--
			l.observe(j.done.Sub(j.sent))
			queued := int(max(free[j.server].Sub(j.done), 0) / service)
			l.report(j.done, Load{Known: true, Queued: queued})
		}
		running = rest
		p := planners[rnd.IntN(nodes)]
		r := p.choose(now, &u.Snapshots[0].Shards[0], nil)
		var server int
		for i := range u.Snapshots[0].Shards[0].Replicas {
			if u.Snapshots[0].Shards[0].Replicas[i].Searcher == r.Searcher {
				server = i
			}
		}
		work := rnd.ExpFloat64() * float64(service)
		if server == 0 {
			work *= 3
		}
		begin := now
		if free[server].After(now) {
			begin = free[server]
		}
		free[server] = begin.Add(time.Duration(work))
		p.load(r.Searcher).inFlight++
		running = append(running, job{done: free[server], planner: p, sent: now, server: server})
		d := free[server].Sub(now)
		sum += d.Seconds()
		total.counts[latencyBucket(d)]++
		total.total++
	}
	report := func(q float64, unit string) {
		if d, ok := total.quantile(q); ok {
			b.ReportMetric(math.Round(d.Seconds()*1e5)/100, unit)
		}
	}
	b.ReportMetric(sum/float64(b.N)*1e3, "mean-ms")
	report(0.95, "p95-ms")
	report(0.99, "p99-ms")
}
