package control

import (
	"fmt"
	"runtime"
	"testing"

	"fulmarfall/claim"
	"fulmarfall/ident"
	"fulmarfall/record"
	"fulmarfall/registry"
)

func putApproval(i int, revision ident.Revision) PutRecord {
	u, team := fmt.Sprintf("upstream-%d", i%50), fmt.Sprintf("team-%d", i)

	return PutRecord{
		Kind: record.KindApproval, Name: u + "." + team, Schema: 2, Revision: revision,
		Operation: ident.OperationID(fmt.Sprintf("0194b3c2-7a1e-7cc0-8%03d-%012d", revision, i)),
		Spec: fmt.Appendf(nil, `{"upstream":%q,"team":%q,"classes":["urgent","normal"],"rate_per_second":50,"burst":80,"weight":2}`,
			u, team),
	}
}

// benchAnnouncement returns the announcement of a searcher of the design size: an upstream with 55
// shards and 2 snapshots, of which the searcher serves 2 shards.
func benchAnnouncement(i int) registry.Announcement {
	a := announcement(fmt.Sprintf("upstream-%d-searcher-%d", i%20, i))
	a.Upstream = ident.UpstreamID(fmt.Sprintf("upstream-%d", i%20))
	a.Snapshots = make([]registry.Snapshot, 2)
	for n := range a.Snapshots {
		s := &a.Snapshots[n]
		s.ID = ident.SnapshotID(100 + n)
		for j := range 55 {
			s.Shards = append(s.Shards, registry.Shard{ID: ident.ShardID(fmt.Sprintf("shard-%d", j)), Documents: 100000})
		}
		s.Held = []ident.ShardID{s.Shards[i/20%55].ID, s.Shards[(i/20+1)%55].ID}
	}

	return a
}

// newPopulatedState returns a state with searchers and records, each put by its own operation.
func newPopulatedState(b *testing.B, records, searchers int) *State {
	s := New()
	d := newDriver(b, s)
	for i := range records {
		d.do(putApproval(i, 1))
	}
	for i := range searchers {
		d.do(RegisterSearcher{s.registry.OmitStoredShardLists(benchAnnouncement(i))})
	}

	return s
}

func BenchmarkApply(b *testing.B) {
	commands := map[string]func(i int) Command{
		"put":      func(i int) Command { return putApproval(i%10000, ident.Revision(2+i/10000)) },
		"claim":    func(i int) Command { return ClaimKey{Key: keyAt(start, i%claim.MaxClaims), Token: "a"} },
		"strike":   func(i int) Command { return AddStrike{Fingerprint: ident.Fingerprint(i % 8000)} },
		"register": func(i int) Command { return RegisterSearcher{benchAnnouncement(i % 2200)} },
		"settle": func(i int) Command {
			return SettleClaim{Key: keyAt(start, i%claim.MaxClaims), Token: "a", HasAnswer: true, Answer: make([]byte, 1000)}
		},
		"register_reduced": func(i int) Command {
			a := benchAnnouncement(i % 2200)
			a.Snapshots[0].Shards, a.Snapshots[1].Shards = nil, nil

			return UpdateSearcher{a}
		},
		"assign_owner": func(i int) Command {
			return AssignOwner{Searcher: benchAnnouncement(0).Searcher, Epoch: ident.Epoch(i), Owner: "node-1", Incarnation: 1}
		},
	}
	for name, command := range commands {
		b.Run(name, func(b *testing.B) {
			s := newPopulatedState(b, 10000, 2200)
			d := newDriver(b, s)
			for i := 0; i < min(b.N, claim.MaxClaims) && name == "settle"; i++ {
				d.do(ClaimKey{Key: keyAt(start, i), Token: "a"})
			}
			data, size := make([][]byte, b.N), 0
			for i := range data {
				var err error
				if data[i], err = EncodeCommand(start, command(i)); err != nil {
					b.Fatal(err)
				}
				size += len(data[i])
			}
			b.ResetTimer()
			var last []byte
			for i, c := range data {
				last = s.Apply(d.index+uint64(i)+1, c)
			}
			b.StopTimer()
			b.ReportMetric(float64(size)/float64(b.N), "command-B")
			// Logs the last result, because a rejected command is cheaper and would distort the benchmark.
			r, err := DecodeResult(last)
			switch r := r.(type) {
			case RecordResult:
				b.Logf("%s", r.Status)
			default:
				b.Logf("%+v, error %v", r, err)
			}
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, searchers := range []int{0, 2200} {
		for _, records := range []int{100, 1000, 10000} {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := newPopulatedState(b, records, searchers)
			runtime.GC()
			runtime.ReadMemStats(&after)
			full := snapshotOf(b, s)
			node, err := s.NodeSnapshot()
			if err != nil {
				b.Fatal(err)
			}
			name := fmt.Sprintf("%d_records_%d_searchers", records, searchers)
			b.Run(name+"/take", func(b *testing.B) {
				for b.Loop() {
					snapshotOf(b, s)
				}
				b.ReportMetric(float64(len(full)), "full-B")
				b.ReportMetric(float64(len(node)), "node-B")
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-B")
			})
			b.Run(name+"/restore", func(b *testing.B) {
				for b.Loop() {
					if err := New().Restore(full); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
