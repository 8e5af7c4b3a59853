package query

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/ident"
)

// Without faults, a fan-out must answer from all shards, and only the first run of a request may use a canary.
func TestFanOut(t *testing.T) {
	sim := newSimulation(t, 1, 55, 3)
	for range 2 {
		qr := sim.runQuery(search("a", sim.now.Sub(epoch)+time.Second))
		if got := qr.finish.Answer.Coverage.ShardsAnswered; got != 55 {
			t.Errorf("%d shards answered, want 55", got)
		}
	}
	want := Counters{Queries: 2, FirstAttempts: 110, Canaries: 1}
	if diff := cmp.Diff(want, sim.planner.Counters()); diff != "" {
		t.Errorf("counters differ (-want +got):\n%s", diff)
	}
}

// A query must not wait beyond its deadline for a shard that never replies, and must report it as missing.
func TestUnresponsiveShard(t *testing.T) {
	sim := newSimulation(t, 1, 4, 1)
	sim.drawOutcome = func(_ *simulation, s *Send) outcome {
		return outcome{status: StatusOK, delay: time.Millisecond, lost: s.Shard == "s2"}
	}
	r := search("a", 50*time.Millisecond)
	sim.warmUp(r)
	qr := sim.runQuery(r)
	want := []MissingShard{{Shard: "s2", Reason: ident.ReasonDeadline}}
	if diff := cmp.Diff(want, qr.finish.Answer.Coverage.Missing); diff != "" {
		t.Errorf("missing shards differ (-want +got):\n%s", diff)
	}
	if at := epoch.Add(45 * time.Millisecond); !qr.finishAt.Equal(at) {
		t.Errorf("partial answer sent at %v, want %v", qr.finishAt, at)
	}
}

// A slow attempt must not delay the answer if another replica is free.
func TestHedge(t *testing.T) {
	sim := newSimulation(t, 1, 3, 2)
	sim.drawOutcome = func(_ *simulation, s *Send) outcome {
		if s.Shard == "s1" && !s.Hedge {
			return outcome{status: StatusOK, delay: 40 * time.Millisecond}
		}
		return outcome{status: StatusOK, delay: time.Millisecond}
	}
	r := search("a", 100*time.Millisecond)
	sim.warmUp(r)
	qr := sim.runQuery(r)
	if took := qr.finishAt.Sub(epoch); took > 5*time.Millisecond {
		t.Errorf("answer took %v, want at most 5 ms", took)
	}
	if got := sim.planner.Counters().Hedges; got != 1 || !qr.sends[1].cancelled {
		t.Errorf("%d hedges, slower attempt cancelled: %v, want 1 and true", got, qr.sends[1].cancelled)
	}
}

// Hedges must leave enough of the budget to retry a lost attempt, since its shard would otherwise be missing.
func TestRetriesAfterHedges(t *testing.T) {
	sim := newSimulation(t, 1, 20, 2, WithBudget(0, 8))
	sim.drawOutcome = func(_ *simulation, s *Send) outcome {
		return outcome{status: StatusOK, delay: 15 * time.Millisecond, lost: s.Shard == "s19" && !s.Retry}
	}
	r := search("a", 100*time.Millisecond)
	sim.warmUp(r)
	qr := sim.runQuery(r)
	if got := sim.planner.Counters(); got.Hedges != 4 || got.Retries != 1 || qr.finish.Answer.Coverage.ShardsAnswered != 20 {
		t.Errorf("%d shards answered, want 20; counters %+v, want 4 hedges and 1 retry", qr.finish.Answer.Coverage.ShardsAnswered, got)
	}
}

// A request must not crash more than two searchers, however often and wherever it is sent again: the crash of its canary
// makes it suspected, and the crash of its exclusive run convicts it.
func TestCrashingRequest(t *testing.T) {
	sim := newSimulation(t, 1, 5, 3)
	sim.drawOutcome = func(sim *simulation, s *Send) outcome {
		sim.standing = StandingSuspected
		if s.Exclusive {
			sim.standing = StandingConvicted
		}
		return outcome{status: StatusCrashed, delay: time.Millisecond}
	}
	var got []ident.Reason
	runs := 0
	for i := range 6 {
		sim.planner = NewPlanner(WithNode(ident.NodeID(rune('a'+i)), "d0", "r0"))
		qr := sim.runQuery(search("a", sim.now.Sub(epoch)+time.Second))
		runs += len(qr.sends)
		got = append(got, qr.finish.Refusal.Reason)
	}
	c := ident.ReasonConvicted
	if diff := cmp.Diff([]ident.Reason{ident.ReasonCrashed, c, c, c, c, c}, got); diff != "" || runs != 2 {
		t.Errorf("%d searchers crashed, want 2; refusal reasons differ (-want +got):\n%s", runs, diff)
	}
}

// A suspected request whose exclusive run succeeds must be answered in full.
func TestClearedRequest(t *testing.T) {
	sim := newSimulation(t, 1, 5, 3)
	sim.standing = StandingSuspected
	qr := sim.runQuery(search("a", time.Second))
	for i, at := range qr.sends {
		if at.send.Exclusive != (i == 0) || at.send.Cleared != (i > 0) {
			t.Errorf("attempt %d: exclusive %v, cleared %v", i+1, at.send.Exclusive, at.send.Cleared)
		}
	}
	if got := qr.finish.Answer.Coverage.ShardsAnswered; got != 5 {
		t.Errorf("%d shards answered, want 5", got)
	}
}

// A request that becomes suspected through another query after its start must not be sent any further.
func TestSuspicionDuringQuery(t *testing.T) {
	for _, status := range []Status{StatusOK, StatusNotStarted} {
		sim := newSimulation(t, 1, 3, 3)
		sim.drawOutcome = func(sim *simulation, _ *Send) outcome {
			sim.standing = StandingSuspected
			return outcome{status: status, delay: time.Millisecond, reason: ident.ReasonLeaving}
		}
		qr := sim.runQuery(search("a", time.Second))
		if len(qr.sends) != 1 || qr.finish.Refusal == nil {
			t.Errorf("status %d: got %d attempts and finish %+v, want 1 attempt and a refusal", status, len(qr.sends), qr.finish)
		}
	}
}

// A query must move to a newer snapshot if at least half of its time remains, and not otherwise, both when a searcher
// reports that the snapshot is gone and when the registry has dropped it.
func TestSnapshotGone(t *testing.T) {
	for want, delay := range map[ident.SnapshotID]time.Duration{1: 60 * time.Millisecond, 2: 10 * time.Millisecond} {
		for kept, status := range []Status{StatusSnapshotGone, StatusNotStarted} {
			sim := newSimulation(t, 2, 2, 1)
			sim.upstream = &Upstream{Snapshots: sim.allSnapshots.Snapshots[:1]}
			sim.changeCatalog = func() { sim.upstream = &Upstream{Snapshots: sim.allSnapshots.Snapshots[kept:]} }
			sim.drawOutcome = func(_ *simulation, s *Send) outcome {
				if s.Snapshot == 1 && s.Shard == "s0" {
					return outcome{status: status, delay: delay}
				}
				return outcome{status: StatusOK, delay: time.Millisecond}
			}
			r := search("a", 100*time.Millisecond)
			sim.warmUp(r)
			if got := sim.runQuery(r).finish.Answer.Snapshot; got != want {
				t.Errorf("answer from snapshot %d after %v and status %d, want %d", got, delay, status, want)
			}
		}
	}
}

// Quantiles must not be too low, which would send hedges too early, nor far too high.
func TestLatencyQuantile(t *testing.T) {
	var r latencyHistogram
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

// Requests whose concatenated fields are equal must have different fingerprints.
func TestFingerprintFields(t *testing.T) {
	if NewFingerprint("ab", "search", []byte("q")) == NewFingerprint("a", "bsearch", []byte("q")) {
		t.Error("requests to different upstreams have the same fingerprint")
	}
}

// A searcher that fails fast must not attract traffic by its low latency, and busy, cold, distant or unusable searchers
// must not be preferred.
func TestReplicaChoice(t *testing.T) {
	for name, degrade := range map[string]func(p *Planner, r *Replica){
		"fails":    func(p *Planner, r *Replica) { p.load(r.Searcher).failedAt = epoch },
		"queued":   func(p *Planner, r *Replica) { p.load(r.Searcher).report(epoch, Load{Known: true, Queued: 3}) },
		"busy":     func(p *Planner, r *Replica) { p.load(r.Searcher).inFlight = 2 },
		"cold":     func(_ *Planner, r *Replica) { r.Cold = true },
		"far":      func(_ *Planner, r *Replica) { r.FailureDomain, r.Region, r.Owner = "d9", "r9", "n9" },
		"unusable": func(_ *Planner, r *Replica) { r.Usable = false },
	} {
		t.Run(name, func(t *testing.T) {
			for _, policy := range []ReplicaPolicy{LowestCost, TwoRandomChoices} {
				sim := newSimulation(t, 1, 1, 2, WithReplicaPolicy(policy))
				shard := &sim.upstream.Snapshots[0].Shards[0]
				shard.Replicas[1].FailureDomain, shard.Replicas[1].Owner = "d0", "n0"
				degrade(sim.planner, &shard.Replicas[0])
				if r := sim.planner.choose(epoch, nil, shard, nil); r != &shard.Replicas[1] {
					t.Errorf("policy %d chose the worse replica", policy)
				}
			}
		})
	}
}

// Queries must not stay on an old snapshot because a newer complete one has fewer documents, and must not choose a newer
// snapshot of which a smaller fraction can be answered.
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
		"newest complete snapshot":         {[]Snapshot{snapshot(1, 10, usable), snapshot(2, 10, usable)}, 2},
		"newer with fewer documents":       {[]Snapshot{snapshot(1, 10, usable, usable), snapshot(2, 5, usable, usable)}, 2},
		"newer but incomplete":             {[]Snapshot{snapshot(1, 10, usable, usable), snapshot(2, 99, usable, lost)}, 1},
		"larger usable fraction":           {[]Snapshot{snapshot(1, 10, usable, lost, lost), snapshot(2, 10, usable, lost)}, 2},
		"shards without documents":         {[]Snapshot{snapshot(1, 0, usable, lost), snapshot(2, 0, usable, usable)}, 2},
		"newer with one replica":           {[]Snapshot{snapshot(1, 10, twice), snapshot(2, 10, usable)}, 1},
		"newer with two of three replicas": {[]Snapshot{snapshot(1, 10, append(twice, usable...)), snapshot(2, 10, twice)}, 2},
		"no usable replica":                {[]Snapshot{snapshot(1, 10, lost)}, 0},
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
