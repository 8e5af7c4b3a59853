package query

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/ident"
)

// Guards against a fan-out that loses or changes shard answers when nothing fails, and against canaries of requests
// that are known to be harmless.
func TestFanOut(t *testing.T) {
	w := newWorld(t, 1, 55, 3)
	for _, id := range []string{"a", "a"} {
		r := search(id, time.Second)
		r.Deadline = w.now.Add(time.Second)
		qt := w.start(r)
		w.run()
		w.checkFinish(qt)
		if got := qt.finish.Answer.Coverage.ShardsAnswered; got != 55 {
			t.Errorf("%d shards answered, want 55", got)
		}
	}
	want := Counters{Queries: 2, FirstAttempts: 110, Canaries: 1}
	if diff := cmp.Diff(want, w.planner.Counters()); diff != "" {
		t.Errorf("counters differ (-want +got):\n%s", diff)
	}
}

// Guards against a query that waits for a silent shard beyond its deadline or hides that it is missing.
func TestSilentShard(t *testing.T) {
	w := newWorld(t, 1, 4, 1)
	w.draw = func(_ *world, s *Send) fate {
		return fate{status: StatusOK, delay: time.Millisecond, lost: s.Shard == "s2"}
	}
	r := search("a", 50*time.Millisecond)
	w.planner.harmless.add(harmlessKey{fingerprint: r.Fingerprint, snapshot: 1})
	qt := w.start(r)
	w.run()
	w.checkFinish(qt)
	want := []MissingShard{{Shard: "s2", Reason: ident.ReasonDeadline}}
	if diff := cmp.Diff(want, qt.finish.Answer.Coverage.Missing); diff != "" {
		t.Errorf("missing shards differ (-want +got):\n%s", diff)
	}
	if at := epoch.Add(45 * time.Millisecond); !qt.finishAt.Equal(at) {
		t.Errorf("the partial answer was sent at %v, want %v", qt.finishAt, at)
	}
}
