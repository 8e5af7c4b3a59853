package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"fulmarfall/api"
	"fulmarfall/client"
	"fulmarfall/ident"
	"fulmarfall/record"
	"fulmarfall/standin"
)

// withdrawalTime is the guaranteed time after which withdrawn searchers receive no new requests.
const withdrawalTime = 4 * time.Second

// testSystem is a running system with one upstream.
type testSystem struct {
	t         *testing.T
	ctx       context.Context
	cluster   *Cluster
	org       Organisation
	service   Service
	searchers []Searcher
	op        *client.Client
	team      *client.Client
	// callers is the number of concurrent callers in underLoad.
	callers int
}

func startSystem(t *testing.T, nodes int, s Service) *testSystem {
	t.Helper()

	sys := &testSystem{t: t, ctx: testContext(t), cluster: startTest(t, nodes), service: s, callers: 6}
	sys.org = Organisation{Team: "rangers", Places: testPlaces, Services: []Service{s}}

	var closeOp, closeTeam func()

	sys.op, closeOp = sys.cluster.Operator()
	t.Cleanup(closeOp)

	if err := WriteRecords(sys.ctx, sys.op, sys.org); err != nil {
		t.Fatal(err)
	}

	searchers, stop, err := StartSearchers(sys.org, sys.cluster.Addresses())
	if err != nil {
		t.Fatal(err)
	}

	sys.searchers = searchers

	t.Cleanup(func() {
		if err := stop(); err != nil {
			t.Error(err)
		}
	})

	sys.team, closeTeam = client.New(sys.cluster.Addresses(), client.WithKey(TeamKey(sys.org.Team)))
	t.Cleanup(closeTeam)

	if err := WaitFullCoverage(sys.ctx, sys.team, sys.org); err != nil {
		t.Fatal(err)
	}

	return sys
}

func (sys *testSystem) search(query string) (api.SearchAnswer, error) {
	q, err := json.Marshal(query)
	if err != nil {
		return api.SearchAnswer{}, err
	}

	a, err := sys.team.Search(sys.ctx, api.SearchRequest{Upstream: sys.service.Upstream, Query: q, Limit: 5, TimeoutMS: 3000})
	if err != nil {
		return a, err
	}

	return a, Verify(Dataset(sys.service), sys.service.AllShards(), q, 5, a)
}

// underLoad sends searches from concurrent callers while f runs, and verifies every answer.
func (sys *testSystem) underLoad(f func()) {
	sys.t.Helper()

	var (
		wg    sync.WaitGroup
		count atomic.Int64
		stop  = make(chan struct{})
	)

	for w := range sys.callers {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}

				_, err := sys.search(fmt.Sprintf("load %d %d", w, i))

				var refused *client.RefusalError

				switch {
				case err == nil:
					count.Add(1)
				case errors.Is(err, ErrWrongAnswer):
					sys.t.Error(err)
				case errors.As(err, &refused):
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}

	f()
	close(stop)
	wg.Wait()
	sys.t.Logf("%d answers verified under load", count.Load())
}

// received returns the number of requests that the selected searchers have received.
func (sys *testSystem) received(selected func(Searcher) bool) int {
	n := 0

	for _, s := range sys.searchers {
		if selected(s) {
			n += s.Stats().Received
		}
	}

	return n
}

// servesShard reports whether a searcher serves a shard.
func servesShard(s Searcher, shard ident.ShardID) bool {
	return slices.Contains(s.Announcement().Held[0].Shards, shard)
}

func (sys *testSystem) sleep(d time.Duration) {
	sys.t.Helper()

	select {
	case <-time.After(d):
	case <-sys.ctx.Done():
		sys.t.Fatal("test timed out")
	}
}

// Guards against new requests to searchers more than 4 s after their failure domain was taken out of
// service, they announced that they leave, or the team's approval was withdrawn.
func TestNoRequestsAfterWithdrawal(t *testing.T) {
	inArusha := func(s Searcher) bool { return s.Announcement().FailureDomain == "arusha" }
	all := func(Searcher) bool { return true }

	tests := map[string]struct {
		withdraw     func(t *testing.T, sys *testSystem)
		affected     func(Searcher) bool
		othersAnswer bool // the remaining searchers still answer
	}{
		"failure domain out of service": {
			affected: inArusha, othersAnswer: true,
			withdraw: func(t *testing.T, sys *testSystem) {
				spec := record.FailureDomainV1{Region: "kaskazini", InService: false}
				if err := PutRecord(sys.ctx, sys.op, record.KindFailureDomain, "arusha", 1, 2, spec); err != nil {
					t.Fatal(err)
				}
			},
		},
		"searchers leaving": {
			affected: inArusha, othersAnswer: true,
			withdraw: func(_ *testing.T, sys *testSystem) {
				for _, s := range sys.searchers {
					if inArusha(s) {
						s.UpdateBehaviour(func(b *standin.Behaviour) { b.Drain = true })
					}
				}
			},
		},
		"approval withdrawn": {
			affected: all,
			withdraw: func(t *testing.T, sys *testSystem) {
				name := record.ApprovalName(sys.service.Upstream, sys.org.Team)
				if _, err := sys.op.Withdraw(sys.ctx, record.KindApproval, name, api.RecordChange{Revision: 2, Operation: "end"}); err != nil {
					t.Fatal(err)
				}
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			sys := startSystem(t, 5, Service{Upstream: "counter-desk", Shards: 4, Replicas: 3, Slots: 2, Connections: 25})

			// The other searchers of the first shard shed all requests, so that those in arusha are in demand
			// before and after they are withdrawn.
			for _, s := range sys.searchers {
				if servesShard(s, sys.service.AllShards()[0]) && !inArusha(s) {
					s.UpdateBehaviour(func(b *standin.Behaviour) { b.Shed = true })
				}
			}

			sys.underLoad(func() {
				if err := WaitFor(sys.ctx, "requests before the withdrawal", func() bool { return sys.received(tc.affected) > 20 }); err != nil {
					t.Error(err)
				}

				tc.withdraw(t, sys)
				sys.sleep(withdrawalTime)

				before := sys.received(tc.affected)
				sys.sleep(2 * time.Second)

				if after := sys.received(tc.affected); after != before {
					t.Errorf("%d requests arrived more than %s after the withdrawal", after-before, withdrawalTime)
				}
			})

			if !tc.othersAnswer {
				return
			}

			if err := WaitFor(sys.ctx, "an answer from the remaining searchers", func() bool {
				a, err := sys.search("after the end")

				return err == nil && len(a.Coverage.Missing) == 1
			}); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against a failure domain that receives no requests after it was put back into service.
func TestFailureDomainBackInService(t *testing.T) {
	t.Parallel()

	sys := startSystem(t, 5, Service{Upstream: "counter-desk", Shards: 4, Replicas: 3, Slots: 2, Connections: 25})
	inArusha := func(s Searcher) bool { return s.Announcement().FailureDomain == "arusha" }

	set := func(revision ident.Revision, inService bool) {
		spec := record.FailureDomainV1{Region: "kaskazini", InService: inService}
		if err := PutRecord(sys.ctx, sys.op, record.KindFailureDomain, "arusha", 1, revision, spec); err != nil {
			t.Fatal(err)
		}
	}

	sys.underLoad(func() {
		set(2, false)
		sys.sleep(withdrawalTime)
		set(3, true)

		// The other searchers of the first shard shed all requests: while they have free capacity, distant
		// entry nodes need not choose the restored failure domain.
		for _, s := range sys.searchers {
			if servesShard(s, sys.service.AllShards()[0]) && !inArusha(s) {
				s.UpdateBehaviour(func(b *standin.Behaviour) { b.Shed = true })
			}
		}

		before := sys.received(inArusha)
		if err := WaitFor(sys.ctx, "requests to the restored failure domain", func() bool {
			return sys.received(inArusha) > before+10
		}); err != nil {
			t.Error(err)
		}
	})

	for _, s := range sys.searchers {
		if st := s.Stats(); st.ColdCrashes > 0 || st.OverSlots > 0 || st.RefusedConnections > 0 {
			t.Errorf("%s was overloaded: %+v", s.ID(), st)
		}
	}
}

// Guards against a request that crashes one searcher after another while its caller retries it at every
// entry VM, and against the conviction of requests that ran concurrently. The bounds are those of the
// design: 2 searchers for a request that is retried after each answer, and one per region plus one for a
// request that arrives at all nodes simultaneously.
func TestCrashingRequestIsContained(t *testing.T) {
	tests := map[string]struct {
		parallelNodes int // nodes that get the request simultaneously
		maxCrashes    int
		// serviceMS is the service time, in ms, of searchers that many callers saturate, so that the request is queued at its
		// owners while it becomes suspect; 0 means no saturation.
		serviceMS float64
	}{
		"retried after each answer":               {parallelNodes: 1, maxCrashes: 2},
		"sent to all nodes at once":               {parallelNodes: 5, maxCrashes: len(testPlaces) + 1},
		"sent to all nodes while queues are long": {parallelNodes: 5, maxCrashes: len(testPlaces) + 1, serviceMS: 60},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			sys := startSystem(t, 5, Service{Upstream: "counter-desk", Shards: 6, Replicas: 3, Slots: 2, Connections: 25})
			for _, s := range sys.searchers {
				s.UpdateBehaviour(func(b *standin.Behaviour) {
					b.CrashMark = "crash mark"
					if tc.serviceMS > 0 {
						b.ServiceMS = tc.serviceMS
					}
				})
			}

			if tc.serviceMS > 0 {
				sys.callers = 24
			}

			sys.underLoad(func() { sys.sendUntilConvicted(tc.parallelNodes) })

			crashes := 0
			for _, s := range sys.searchers {
				crashes += s.Stats().Crashes
			}

			t.Logf("%d searchers crashed", crashes)

			if crashes > tc.maxCrashes {
				t.Errorf("one request crashed %d searchers, want at most %d", crashes, tc.maxCrashes)
			}

			if err := WaitFor(sys.ctx, "answers to requests that ran concurrently", func() bool {
				for w := range 6 {
					if _, err := sys.search(fmt.Sprintf("load %d 0", w)); err != nil {
						return false
					}
				}

				return true
			}); err != nil {
				t.Error(err)
			}
		})
	}
}

// sendUntilConvicted sends a crashing request to parallelNodes nodes at a time, in rotation, until one refuses it
// as convicted.
func (sys *testSystem) sendUntilConvicted(parallelNodes int) {
	addrs := sys.cluster.Addresses()

	for i := 0; ; i++ {
		var (
			wg        sync.WaitGroup
			convicted atomic.Bool
		)

		for j := range parallelNodes {
			wg.Go(func() {
				_, err := sys.team.SearchAt(sys.ctx, addrs[(i+j)%len(addrs)], api.SearchRequest{
					Upstream: sys.service.Upstream, Query: json.RawMessage(`"crash mark"`), TimeoutMS: 2000,
				})

				var refused *client.RefusalError

				switch {
				case err == nil:
					sys.t.Error("a crashing request was answered")
				case errors.As(err, &refused) && refused.Refusal.Reason == ident.ReasonConvicted:
					convicted.Store(true)

					if refused.Refusal.RetryAfterMS <= 0 {
						sys.t.Error("the refusal of a convicted request has no retry time")
					}
				}
			})
		}

		wg.Wait()

		if convicted.Load() {
			return
		}

		if sys.ctx.Err() != nil {
			sys.t.Error("the request was not convicted")

			return
		}
	}
}

// Guards against a second run of a non-idempotent request that arrives at several entry VMs at once
// while one of them, which may own its searcher, stops, and against an outcome "ran" without a run.
func TestExecuteRunsAtMostOnce(t *testing.T) {
	t.Parallel()

	sys := startSystem(t, 5, Service{Upstream: "depot-dispatch", Shards: 2, Replicas: 2, Slots: 3, Connections: 40})
	for _, s := range sys.searchers {
		s.UpdateBehaviour(func(b *standin.Behaviour) { b.ServiceMS = 20 })
	}

	const keys = 40

	var (
		wg       sync.WaitGroup
		mu       sync.Mutex
		outcomes = make(map[string][]ident.Outcome)
	)

	for i := range keys {
		key := uuid.Must(uuid.NewV7()).String()
		body := json.RawMessage(fmt.Sprintf(`"reserve camera %d"`, i))
		shard := sys.service.AllShards()[i%sys.service.Shards]

		for _, addr := range sys.cluster.Addresses() {
			wg.Go(func() {
				outcome := sys.executeAt(addr, key, api.ExecuteRequest{Upstream: sys.service.Upstream, Shard: shard, Body: body, TimeoutMS: 2000})

				mu.Lock()
				defer mu.Unlock()

				outcomes[key] = append(outcomes[key], outcome)
			})
		}

		if i == keys/2 {
			wg.Go(func() {
				if err := sys.cluster.stops[4](); err != nil {
					t.Errorf("stop node: %v", err)
				}
			})
		}
	}

	wg.Wait()

	total := 0

	for key, list := range outcomes {
		runs := 0
		for _, s := range sys.searchers {
			runs += s.CountRuns(key)
		}

		total += runs
		if runs > 1 {
			t.Errorf("key %s ran %d times", key, runs)
		}

		for _, outcome := range list {
			if outcome == ident.OutcomeRan && runs == 0 {
				t.Errorf("key %s: outcome is ran, but no searcher ran it", key)
			}
		}
	}

	t.Logf("%d keys sent to 5 nodes each, %d runs", keys, total)
}

func (sys *testSystem) executeAt(addr, key string, req api.ExecuteRequest) ident.Outcome {
	_, err := sys.team.ExecuteAt(sys.ctx, addr, key, req)

	var refused *client.RefusalError

	switch {
	case err == nil:
		return ident.OutcomeRan
	case errors.As(err, &refused):
		sys.t.Log(err)
		return refused.Refusal.Outcome
	default:
		sys.t.Log(err)
		return ident.OutcomeUnknown
	}
}

// Guards against an answer that mixes snapshots while searchers add new snapshots and drop old ones under
// load.
func TestSnapshotsChangeUnderLoad(t *testing.T) {
	t.Parallel()

	sys := startSystem(t, 5, Service{Upstream: "calib-log", Shards: 4, Replicas: 3, Slots: 2, Connections: 25})

	sys.underLoad(func() {
		for snapshot := FirstSnapshot + 1; snapshot <= FirstSnapshot+3; snapshot++ {
			for _, s := range sys.searchers {
				held := s.Announcement().Held[0].Shards
				s.AddSnapshot(standin.Holding{Snapshot: snapshot, Shards: sys.service.AllShards(), Held: held})
				sys.sleep(20 * time.Millisecond)
			}

			for _, s := range sys.searchers {
				s.DropSnapshot(snapshot - 1)
				sys.sleep(20 * time.Millisecond)
			}
		}
	})

	if err := WaitFor(sys.ctx, "an answer from the last snapshot", func() bool {
		a, err := sys.search("last")

		return err == nil && a.Snapshot == FirstSnapshot+3 && len(a.Coverage.Missing) == 0
	}); err != nil {
		t.Error(err)
	}
}

// Guards against two operators whose changes are both stored as the same revision, and against a retry
// that is applied as a second change.
func TestConcurrentRecordChanges(t *testing.T) {
	t.Parallel()

	c := startTest(t, 3)
	ctx := testContext(t)

	op, closeOp := c.Operator()
	defer closeOp()

	put := func(operation string, revision ident.Revision, region string) (api.RecordAnswer, error) {
		spec := fmt.Appendf(nil, `{"region":%q,"in_service":true}`, region)

		return op.Put(ctx, record.KindFailureDomain, "dar", api.RecordChange{
			Schema: 1, Revision: revision, Operation: ident.OperationID(operation), Spec: spec,
		})
	}

	if err := PutRecord(ctx, op, record.KindFailureDomain, "dar", 1, 1, record.FailureDomainV1{Region: "pwani", InService: true}); err != nil {
		t.Fatal(err)
	}

	var (
		wg     sync.WaitGroup
		stored atomic.Int64
	)

	for i := range 8 {
		wg.Go(func() {
			name := fmt.Sprintf("region-%d", i)

			a, err := put("race-"+name, 2, name)

			var conflict *client.ConflictError

			switch {
			case err == nil && a.Record.Revision == 2:
				stored.Add(1)

				again, err := put("race-"+name, 2, name)
				if err != nil || !again.Repeated || again.Record.Revision != 2 {
					t.Errorf("retry of a stored change: %+v, %v; want the first result", again, err)
				}
			case errors.As(err, &conflict):
				if conflict.Answer.Record.Revision != 2 {
					t.Errorf("conflict names revision %d, want the current record", conflict.Answer.Record.Revision)
				}
			default:
				t.Errorf("put: %+v, %v", a, err)
			}
		})
	}

	wg.Wait()

	if n := stored.Load(); n != 1 {
		t.Errorf("%d changes were stored as revision 2, want 1", n)
	}
}

// Guards against overload of cold searchers: all replicas of a shard restart cold while under load and
// receive requests at once.
func TestColdShardIsNotOverloaded(t *testing.T) {
	t.Parallel()

	sys := startSystem(t, 5, Service{Upstream: "counter-desk", Shards: 4, Replicas: 3, Slots: 2, Connections: 25})
	first := sys.service.AllShards()[0]
	sys.callers = 24

	sys.underLoad(func() {
		sys.sleep(time.Second)

		for _, s := range sys.searchers {
			if servesShard(s, first) {
				s.UpdateBehaviour(func(b *standin.Behaviour) { b.ColdRatePerSecond = 5 })
				s.Crash()
			}
		}

		if err := WaitFor(sys.ctx, "answers from the cold shard", func() bool {
			for _, s := range sys.searchers {
				if servesShard(s, first) && s.Stats().Answered == 0 {
					return false
				}
			}

			a, err := sys.search(uuid.NewString())

			return err == nil && len(a.Coverage.Missing) == 0
		}); err != nil {
			t.Error(err)
		}

		sys.sleep(2 * time.Second)
	})

	for _, s := range sys.searchers {
		if st := s.Stats(); st.ColdCrashes > 0 || st.OverSlots > 0 || st.RefusedConnections > 0 {
			t.Errorf("%s was overloaded: %+v", s.ID(), st)
		}
	}
}

// Guards against owners that send a searcher more than the request limit that it names, and against searches that lose a
// shard although another replica has room.
func TestRequestLimitIsKept(t *testing.T) {
	t.Parallel()

	const limit, seconds = 5, 4

	sys := startSystem(t, 5, Service{Upstream: "counter-desk", Shards: 4, Replicas: 3, Slots: 2, Connections: 25})
	limited := sys.searchers[0]
	sys.callers = 24

	sys.underLoad(func() {
		limited.UpdateBehaviour(func(b *standin.Behaviour) { b.LimitPerSecond = limit })
		sys.sleep(time.Second)

		before := limited.Stats().Received

		sys.sleep(seconds * time.Second)

		if got, allowed := limited.Stats().Received-before, 1.5*limit*seconds+5; float64(got) > allowed {
			t.Errorf("%s received %d requests in %d s at a limit of %d per second, want at most %v", limited.ID(), got, seconds, limit, allowed)
		}

		// A node on a busy machine may refuse a search because it is full.
		if err := WaitFor(sys.ctx, "full coverage while a searcher has a request limit", func() bool {
			a, err := sys.search(uuid.NewString())

			return err == nil && len(a.Coverage.Missing) == 0
		}); err != nil {
			t.Error(err)
		}

		limited.UpdateBehaviour(func(b *standin.Behaviour) { b.LimitPerSecond = 0 })

		// How much the searcher is sent without a limit depends on how busy the machine is.
		if err := WaitFor(sys.ctx, "more requests than the limit that has ended", func() bool {
			before := limited.Stats().Received

			sys.sleep(time.Second)

			return limited.Stats().Received-before > 2*limit
		}); err != nil {
			t.Error(err)
		}
	})
}
