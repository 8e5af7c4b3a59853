// This file measures the decision path and the load that the ways of choosing replicas lead to.

package query

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
	for i, s := range w.upstream.Snapshots[0].Shards {
		for j := range 10 {
			replies[s.ID] = append(replies[s.ID], Hit{ID: fmt.Sprintf("%s/%d", s.ID, j), Score: float64(100 - j - i%10)})
		}
	}
	r := search("a", time.Second)
	w.warm(r)
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

// BenchmarkFanOut varies the shards, then the searchers at fan-out 55: all of them replicas of the upstream (with either
// choice), or 3 replicas per shard while the others belong to other upstreams.
func BenchmarkFanOut(b *testing.B) {
	for _, shards := range []int{1, 10, 55} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) { benchmarkFanOut(b, shards, 3, 0, FullComparison) })
	}
	for _, n := range []int{55, 220, 2200} {
		b.Run(fmt.Sprintf("replicas/full/n=%d", n), func(b *testing.B) { benchmarkFanOut(b, 55, n/55, 0, FullComparison) })
		b.Run(fmt.Sprintf("replicas/two/n=%d", n), func(b *testing.B) { benchmarkFanOut(b, 55, n/55, 0, TwoRandom) })
		b.Run(fmt.Sprintf("elsewhere/n=%d", n), func(b *testing.B) { benchmarkFanOut(b, 55, 3, n, FullComparison) })
	}
}

// BenchmarkChoice reports, for several nodes that share the searchers of one shard, the shard latency in a queueing model:
// exponential service of 2 ms, one slot, load reports in replies only. One searcher is three times slower. Lagging
// reports count the queue as of the time when the request was sent.
func BenchmarkChoice(b *testing.B) {
	for _, size := range [][2]int{{8, 3}, {8, 40}, {480, 3}, {480, 40}} {
		for name, choice := range map[string]Choice{"full": FullComparison, "two": TwoRandom} {
			for _, lagging := range []bool{false, true} {
				b.Run(fmt.Sprintf("%s/nodes=%d/replicas=%d/lagging=%v", name, size[0], size[1], lagging), func(b *testing.B) {
					modelChoice(b, size[0], size[1], choice, lagging)
				})
			}
		}
	}
}

func modelChoice(b *testing.B, nodes, replicas int, choice Choice, lagging bool) {
	const service, load = 2 * time.Millisecond, 0.7
	rnd := rand.New(rand.NewPCG(1, 2))
	shard := &newUpstream(1, 1, replicas).Snapshots[0].Shards[0]
	planners := make([]*Planner, nodes)
	for i := range planners {
		planners[i] = NewPlanner(WithNode("x", "d0", "r0"), WithChoice(choice), WithRandom(rand.NewPCG(uint64(i), 3)),
			WithHopTimes(HopTimes{}))
	}
	type job struct {
		sent, done time.Time
		load       *searcherLoad
		server     int
	}
	free := make([]time.Time, replicas)
	var running []job
	var total latencyRecord
	sum, now := 0.0, epoch
	for range b.N {
		now = now.Add(time.Duration(rnd.ExpFloat64() * float64(service) / load / (float64(replicas) - 2.0/3)))
		for ; len(running) > 0 && running[0].done.Before(now); running = running[1:] {
			j := running[0]
			j.load.inFlight--
			planners[0].observe(j.done, j.load, j.done.Sub(j.sent))
			seen := map[bool]time.Time{false: j.done, true: j.sent}[lagging]
			j.load.report(j.done, Load{Known: true, Queued: int(max(free[j.server].Sub(seen), 0) / service)})
		}
		p := planners[rnd.IntN(nodes)]
		r := p.choose(now, shard, nil)
		server := slices.IndexFunc(shard.Replicas, func(o Replica) bool { return o.Searcher == r.Searcher })
		work := rnd.ExpFloat64() * float64(service)
		if server == 0 {
			work *= 3
		}
		d := max(free[server].Sub(now), 0) + time.Duration(work)
		free[server] = now.Add(d)
		j := job{sent: now, done: now.Add(d), load: p.load(r.Searcher), server: server}
		j.load.inFlight++
		i, _ := slices.BinarySearchFunc(running, j, func(a, b job) int { return a.done.Compare(b.done) })
		running = slices.Insert(running, i, j)
		sum += d.Seconds()
		total.counts[latencyBucket(d)]++
		total.total++
	}
	b.ReportMetric(sum/float64(b.N)*1e3, "mean-ms")
	p99, _ := total.quantile(0.99)
	b.ReportMetric(p99.Seconds()*1e3, "p99-ms")
}
