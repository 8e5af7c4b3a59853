package query

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fulmarfall/ident"
)

// benchmarkFanOut runs complete queries without faults: Start, then Reply and NextTick for each shard.
func benchmarkFanOut(b *testing.B, shards, replicas, others int, policy ReplicaPolicy) {
	sim := newSimulation(b, 1, shards, replicas, WithReplicaPolicy(policy))
	for i := range others {
		sim.planner.load(ident.SearcherID(fmt.Sprintf("other%d", i))).latency = 1
	}
	replies := map[ident.ShardID][]Hit{}
	for i, s := range sim.upstream.Snapshots[0].Shards {
		for j := range 10 {
			replies[s.ID] = append(replies[s.ID], Hit{ID: fmt.Sprintf("%s/%d", s.ID, j), Score: float64(100 - j - i%10)})
		}
	}
	r := search("a", time.Second)
	sim.warmUp(r)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		q, actions := sim.planner.Start(epoch, r, sim)
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

// BenchmarkFanOut varies the number of shards, and at 55 shards the number of searchers: either all of them are replicas
// of the upstream (under both policies), or each shard has 3 replicas and the others belong to other upstreams.
func BenchmarkFanOut(b *testing.B) {
	for _, shards := range []int{1, 10, 55} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) { benchmarkFanOut(b, shards, 3, 0, LowestCost) })
	}
	for _, n := range []int{55, 220, 2200} {
		b.Run(fmt.Sprintf("replicas/full/n=%d", n), func(b *testing.B) { benchmarkFanOut(b, 55, n/55, 0, LowestCost) })
		b.Run(fmt.Sprintf("replicas/two/n=%d", n), func(b *testing.B) { benchmarkFanOut(b, 55, n/55, 0, TwoRandomChoices) })
		b.Run(fmt.Sprintf("elsewhere/n=%d", n), func(b *testing.B) { benchmarkFanOut(b, 55, 3, n, LowestCost) })
	}
}

// BenchmarkReplicaPolicy reports the shard latency in a queueing model of several nodes that share the searchers of one
// shard. Service times are exponential with a mean of 2 ms, each searcher has one slot, and one searcher is three times
// slower. Load reports arrive only in replies; lagging reports give the queue length at the time the request was sent.
func BenchmarkReplicaPolicy(b *testing.B) {
	for _, size := range [][2]int{{8, 3}, {8, 40}, {480, 3}, {480, 40}} {
		for name, policy := range map[string]ReplicaPolicy{"full": LowestCost, "two": TwoRandomChoices} {
			for _, lagging := range []bool{false, true} {
				b.Run(fmt.Sprintf("%s/nodes=%d/replicas=%d/lagging=%v", name, size[0], size[1], lagging), func(b *testing.B) {
					simulatePolicy(b, size[0], size[1], policy, lagging)
				})
			}
		}
	}
}

func simulatePolicy(b *testing.B, nodes, replicas int, policy ReplicaPolicy, lagging bool) {
	const service, load = 2 * time.Millisecond, 0.7
	rnd := rand.New(rand.NewPCG(1, 2))
	shard := &newUpstream(1, 1, replicas).Snapshots[0].Shards[0]
	planners := make([]*Planner, nodes)
	for i := range planners {
		planners[i] = NewPlanner(WithNode("x", "d0", "r0"), WithReplicaPolicy(policy), WithRandom(rand.NewPCG(uint64(i), 3)),
			WithHopTimes(HopTimes{}))
	}
	type job struct {
		sent, done time.Time
		load       *searcherLoad
		server     int
	}
	free := make([]time.Time, replicas)
	var running []job
	var total latencyHistogram
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
		r := p.choose(now, nil, shard, nil)
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
