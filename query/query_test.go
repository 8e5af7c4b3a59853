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
	for range 2 {
		qt := w.ask(search("a", w.now.Sub(epoch)+time.Second))
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
	w.warm(r)
	qt := w.ask(r)
	want := []MissingShard{{Shard: "s2", Reason: ident.ReasonDeadline}}
	if diff := cmp.Diff(want, qt.finish.Answer.Coverage.Missing); diff != "" {
		t.Errorf("missing shards differ (-want +got):\n%s", diff)
	}
	if at := epoch.Add(45 * time.Millisecond); !qt.finishAt.Equal(at) {
		t.Errorf("the partial answer was sent at %v, want %v", qt.finishAt, at)
	}
}

// Guards against a straggler that delays an answer although another replica is free.
func TestHedge(t *testing.T) {
	w := newWorld(t, 1, 3, 2)
	w.draw = func(_ *world, s *Send) fate {
		if s.Shard == "s1" && !s.Hedge {
			return fate{status: StatusOK, delay: 40 * time.Millisecond}
		}
		return fate{status: StatusOK, delay: time.Millisecond}
	}
	r := search("a", 100*time.Millisecond)
	w.warm(r)
	qt := w.ask(r)
	if took := qt.finishAt.Sub(epoch); took > 5*time.Millisecond {
		t.Errorf("the answer took %v", took)
	}
	if got := w.planner.Counters().Hedges; got != 1 || !qt.sends[1].cancel {
		t.Errorf("%d hedges, loser cancelled %v, want 1 and true", got, qt.sends[1].cancel)
	}
}

// Guards against hedges that use up the budget, so that a shard whose attempt was lost is missing.
func TestRetriesAfterHedges(t *testing.T) {
	w := newWorld(t, 1, 20, 2, WithBudget(0, 8))
	w.draw = func(_ *world, s *Send) fate {
		return fate{status: StatusOK, delay: 15 * time.Millisecond, lost: s.Shard == "s19" && !s.Retry}
	}
	r := search("a", 100*time.Millisecond)
	w.warm(r)
	qt := w.ask(r)
	if got := w.planner.Counters(); got.Hedges != 4 || got.Retries != 1 || qt.finish.Answer.Coverage.ShardsAnswered != 20 {
		t.Errorf("%d shards answered, counters %+v", qt.finish.Answer.Coverage.ShardsAnswered, got)
	}
}

// Guards against a request that crashes more than two searchers however often and wherever it is sent again: the
// canary makes it a suspect and the exclusive run convicts it.
func TestCrashingRequest(t *testing.T) {
	w := newWorld(t, 1, 5, 3)
	w.draw = func(w *world, s *Send) fate {
		w.standing = StandingSuspected
		if s.Exclusive {
			w.standing = StandingConvicted
		}
		return fate{status: StatusCrashed, delay: time.Millisecond}
	}
	var got []ident.Reason
	runs := 0
	for i := range 6 {
		w.planner = NewPlanner(WithNode(ident.NodeID(rune('a'+i)), "d0", "r0"))
		qt := w.ask(search("a", w.now.Sub(epoch)+time.Second))
		runs += len(qt.sends)
		got = append(got, qt.finish.Refusal.Reason)
	}
	c := ident.ReasonConvicted
	if diff := cmp.Diff([]ident.Reason{ident.ReasonCrashed, c, c, c, c, c}, got); diff != "" || runs != 2 {
		t.Errorf("%d searchers crashed, want 2; reasons differ (-want +got):\n%s", runs, diff)
	}
}

// Guards against a suspected request that stays refused or partial although its exclusive run succeeds.
func TestClearedRequest(t *testing.T) {
	w := newWorld(t, 1, 5, 3)
	w.standing = StandingSuspected
	qt := w.ask(search("a", time.Second))
	for i, at := range qt.sends {
		if at.send.Exclusive != (i == 0) || at.send.Cleared != (i > 0) {
			t.Errorf("attempt %d: exclusive %v, cleared %v", i+1, at.send.Exclusive, at.send.Cleared)
		}
	}
	if got := qt.finish.Answer.Coverage.ShardsAnswered; got != 5 {
		t.Errorf("%d shards answered, want 5", got)
	}
}

// Guards against further attempts of a request that became a suspect through another query after it had started.
func TestSuspicionDuringQuery(t *testing.T) {
	for _, status := range []Status{StatusOK, StatusNotStarted} {
		w := newWorld(t, 1, 3, 3)
		w.draw = func(w *world, _ *Send) fate {
			w.standing = StandingSuspected
			return fate{status: status, delay: time.Millisecond, reason: ident.ReasonLeaving}
		}
		qt := w.ask(search("a", time.Second))
		if len(qt.sends) != 1 || qt.finish.Refusal == nil {
			t.Errorf("status %d: %d attempts, finish %+v, want 1 attempt and a refusal", status, len(qt.sends), qt.finish)
		}
	}
}

// Guards against a change of snapshot when too little time is left, and against missing it when there is enough,
// whether a searcher says that the snapshot is gone or the registry has dropped it.
func TestSnapshotGone(t *testing.T) {
	for want, delay := range map[ident.SnapshotID]time.Duration{1: 60 * time.Millisecond, 2: 10 * time.Millisecond} {
		for kept, status := range []Status{StatusSnapshotGone, StatusNotStarted} {
			w := newWorld(t, 2, 2, 1)
			w.upstream = &Upstream{Snapshots: w.full.Snapshots[:1]}
			w.shake = func() { w.upstream = &Upstream{Snapshots: w.full.Snapshots[kept:]} }
			w.draw = func(_ *world, s *Send) fate {
				if s.Snapshot == 1 && s.Shard == "s0" {
					return fate{status: status, delay: delay}
				}
				return fate{status: StatusOK, delay: time.Millisecond}
			}
			r := search("a", 100*time.Millisecond)
			w.warm(r)
			if got := w.ask(r).finish.Answer.Snapshot; got != want {
				t.Errorf("answer from snapshot %d after %v and status %d, want %d", got, delay, status, want)
			}
		}
	}
}

// Guards against a latency record whose quantiles are too low, so that hedges come too early, or far too high.
func TestLatencyQuantile(t *testing.T) {
	var r latencyRecord
	for i := range 3 * latencyWindow {
		r.observe(time.Duration(i%1000) * 100 * time.Microsecond)
	}
	for _, q := range []float64{0.1, 0.5, 0.95, 0.99} {
		exact := time.Duration(q * 1000 * float64(100*time.Microsecond))
		if got, ok := r.quantile(q); !ok || got < exact*9/10 || got > exact*5/4 {
			t.Errorf("quantile %v = %v, want about %v", q, got, exact)
		}
	}
}

// Guards against two different requests with one fingerprint because their fields run into each other.
func TestFingerprintFields(t *testing.T) {
	if NewFingerprint("ab", "search", []byte("q")) == NewFingerprint("a", "bsearch", []byte("q")) {
		t.Error("requests to two upstreams have one fingerprint")
	}
}

// Guards against a searcher that fails fast and draws traffic by its short latency, and against a preference for far
// or cold searchers.
func TestReplicaChoice(t *testing.T) {
	for name, harm := range map[string]func(p *Planner, r *Replica){
		"fails":  func(p *Planner, r *Replica) { p.load(r.Searcher).failedAt = epoch },
		"queued": func(p *Planner, r *Replica) { p.load(r.Searcher).report(epoch, Load{Known: true, Queued: 3}) },
		"busy":   func(p *Planner, r *Replica) { p.load(r.Searcher).inFlight = 2 },
		"cold":   func(_ *Planner, r *Replica) { r.Cold = true },
		"far":    func(_ *Planner, r *Replica) { r.FailureDomain, r.Region, r.Owner = "d9", "r9", "n9" },
		"unused": func(_ *Planner, r *Replica) { r.Usable = false },
	} {
		t.Run(name, func(t *testing.T) {
			for _, choice := range []Choice{FullComparison, TwoRandom} {
				w := newWorld(t, 1, 1, 2, WithChoice(choice))
				shard := &w.upstream.Snapshots[0].Shards[0]
				shard.Replicas[1].FailureDomain, shard.Replicas[1].Owner = "d0", "n0"
				harm(w.planner, &shard.Replicas[0])
				if r := w.planner.choose(epoch, shard, nil); r != &shard.Replicas[1] {
					t.Errorf("choice %d takes the worse replica", choice)
				}
			}
		})
	}
}

// Guards against queries that stay on an old snapshot because a newer complete one holds fewer documents, and
// against a newer snapshot that is chosen although less of it can be answered.
func TestPin(t *testing.T) {
	usable := []Replica{{Searcher: "s", Usable: true}}
	twice := append([]Replica{{Searcher: "t", Usable: true}}, usable...)
	lost := []Replica{{Searcher: "s"}}
	snapshot := func(id ident.SnapshotID, documents ident.Documents, replicas ...[]Replica) Snapshot {
		s := Snapshot{ID: id}
		for _, r := range replicas {
			s.Shards = append(s.Shards, Shard{Documents: documents, Replicas: r})
		}

		return s
	}
	tests := map[string]struct {
		snapshots []Snapshot
		want      ident.SnapshotID
	}{
		"newest of complete ones":    {[]Snapshot{snapshot(1, 10, usable), snapshot(2, 10, usable)}, 2},
		"newer with fewer documents": {[]Snapshot{snapshot(1, 10, usable, usable), snapshot(2, 5, usable, usable)}, 2},
		"newer only in part":         {[]Snapshot{snapshot(1, 10, usable, usable), snapshot(2, 99, usable, lost)}, 1},
		"larger part of two":         {[]Snapshot{snapshot(1, 10, usable, lost, lost), snapshot(2, 10, usable, lost)}, 2},
		"shards without documents":   {[]Snapshot{snapshot(1, 0, usable, lost), snapshot(2, 0, usable, usable)}, 2},
		"newer with one replica":     {[]Snapshot{snapshot(1, 10, twice), snapshot(2, 10, usable)}, 1},
		"newer with two of three":    {[]Snapshot{snapshot(1, 10, append(twice, usable...)), snapshot(2, 10, twice)}, 2},
		"no usable replica":          {[]Snapshot{snapshot(1, 10, lost)}, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := ident.SnapshotID(0)
			if s := pin(&Upstream{Snapshots: tc.snapshots}, 0, true); s != nil {
				got = s.ID
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("pinned snapshot differs (-want +got):\n%s", diff)
			}
		})
	}
}
