package transport

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fulmarfall/ident"
	"fulmarfall/wire"
)

// Guards against a call that is reported as not sent although the peer handles it. Calls end by deadline, cancellation,
// refusal, shutdown or kill of the peer.
func TestNotSentMeansNotHandled(t *testing.T) {
	const callers = 8
	ca := newCA(t, "ca")
	var (
		handled, cancels sync.Map
		handledCount     atomic.Int64
	)
	handler := func(ctx context.Context, _ ident.NodeID, m wire.Message) wire.Message {
		id := string(m.(*wire.StatusRequest).Data[:12])
		handled.Store(id, true)
		handledCount.Add(1)
		if cancel, ok := cancels.Load(id); ok {
			cancel.(context.CancelFunc)()
			<-ctx.Done()
		}

		return &wire.StatusReply{}
	}
	files := newKeys(t, "b", ca)
	b := listen(t, files, "127.0.0.1:0", handler, WithMaxCalls(callers/2))
	a := start(t, "a", ca, echo, WithIdleTimeout(time.Second), WithDialTimeout(time.Second))
	addr := b.Addr()
	outcomes := make([]map[string]error, callers)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range callers {
		outcomes[i] = map[string]error{}
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(i)))
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%04d-%07d", i, n)
				m := &wire.StatusRequest{Data: append([]byte(id), make([]byte, rng.IntN(2)*rng.IntN(200_000))...)}
				// Of every five calls, three have deadlines from 0 to 5 ms, one is cancelled while the handler runs,
				// and one has a long deadline, so that every outcome occurs at any machine speed.
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rng.IntN(5_000))*time.Microsecond)
				if n%5 >= 3 {
					ctx, cancel = context.WithTimeout(t.Context(), testTimeout)
				}
				if n%5 == 3 {
					cancels.Store(id, cancel)
				}
				_, outcomes[i][id] = a.Call(ctx, "b", addr, m)
				cancel()
			}
		})
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for i := range 6 {
		seen := handledCount.Load()
		eventually(t, "calls between restarts", func() bool {
			// The deadlines of most other calls may be too short to complete a dial, so keep calling without one.
			_, _ = a.Call(t.Context(), "b", addr, &wire.StatusRequest{Data: []byte("between-runs")})

			return handledCount.Load() > seen+60
		})
		if i%2 == 0 {
			_ = b.udp.Close() // No more packets are sent, as after a kill.
		}
		_ = b.Shutdown(ended)
		b = listen(t, files, addr, handler, WithMaxCalls(callers/2))
	}
	close(stop)
	wg.Wait()
	count := map[string]int{}
	for _, all := range outcomes {
		for id, err := range all {
			_, ran := handled.Load(id)
			switch {
			case err == nil:
				count["answered"]++
				if !ran {
					t.Errorf("%s was answered but not handled", id)
				}
			case IsNotSent(err):
				count["not sent"]++
				if ran {
					t.Errorf("%s was handled: %v", id, err)
				}
			default:
				count["unknown"]++
			}
		}
	}
	t.Log(count)
	for _, what := range []string{"answered", "not sent", "unknown"} {
		if count[what] == 0 {
			t.Errorf("no call ended as %s; the test did not cover this outcome", what)
		}
	}
}

// BenchmarkCall measures a shard request and a reply of 10 hits of 200 bytes each over loopback.
func BenchmarkCall(b *testing.B) {
	ca := newCA(b, "ca")
	reply := &wire.ShardReply{RequestID: "r", Hits: make([]wire.Hit, 10)}
	for i := range reply.Hits {
		reply.Hits[i] = wire.Hit{ID: fmt.Sprintf("document-%d", i), Document: make([]byte, 200)}
	}
	client := start(b, "client", ca, echo)
	server := start(b, "server", ca, func(context.Context, ident.NodeID, wire.Message) wire.Message { return reply })
	request := &wire.ShardRequest{RequestID: "r", Searcher: "s", Shard: "s00", Body: make([]byte, 100)}
	call := func() {
		if _, err := client.Call(b.Context(), "server", server.Addr(), request); err != nil {
			b.Error(err)
		}
	}
	b.Run("sequential", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			call()
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.SetParallelism(16)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				call()
			}
		})
	})
}
