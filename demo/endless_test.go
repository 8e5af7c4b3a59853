package demo

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"fulmarfall/standin"
)

// Guards against searchers that send endless answers: they must neither delay searches that others can answer, nor exhaust
// the memory of the nodes.
func TestEndlessAnswersOfSearchers(t *testing.T) {
	const (
		searches = 40
		// maxHeapGrowth bounds the heap growth of five nodes with their searchers and callers. It is the bound for 60
		// such searchers at one entry VM.
		maxHeapGrowth = 64 << 20
	)

	sys := startSystem(t, 5, Service{Upstream: "counter-desk", Shards: 6, Replicas: 3, Slots: 2, Connections: 25})
	heap := func() uint64 {
		var m runtime.MemStats

		runtime.ReadMemStats(&m)

		return m.HeapInuse
	}

	for name, part := range map[string]standin.Endless{
		"header": standin.EndlessHeader, "body": standin.EndlessBody, "chunks": standin.EndlessChunks,
	} {
		t.Run(name, func(t *testing.T) {
			setEndless := func(e standin.Endless) {
				for _, s := range sys.searchers {
					if s.Announcement().FailureDomain == "arusha" {
						s.UpdateBehaviour(func(b *standin.Behaviour) { b.Endless = e })
					}
				}
			}

			setEndless(part)
			defer setEndless(standin.EndlessNone)

			var (
				before   = heap()
				peak     uint64
				complete int
			)

			for i := range searches {
				a, err := sys.search(fmt.Sprintf("endless %s %d", name, i))
				if err != nil {
					t.Errorf("search %d: %v", i, err)

					continue
				}

				if a.Coverage.ShardsAnswered == a.Coverage.ShardsTotal {
					complete++
				}

				peak = max(peak, heap())
			}

			t.Logf("%d of %d answers complete, heap %d to %d MiB", complete, searches, before>>20, peak>>20)

			if complete < searches*9/10 {
				t.Errorf("%d of %d answers are complete, want 9 of 10", complete, searches)
			}

			if peak > before+maxHeapGrowth {
				t.Errorf("heap grew from %d to %d MiB, want at most %d MiB more", before>>20, peak>>20, maxHeapGrowth>>20)
			}
		})

		// Lets the penalties on the searchers decay before the next case.
		time.Sleep(time.Second)
	}
}
