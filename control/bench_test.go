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

func approval(i int, revision ident.Revision) PutRecord {
	u, team := fmt.Sprintf("upstream-%d", i%50), fmt.Sprintf("team-%d", i)

	return PutRecord{
		Kind: record.KindApproval, Name: u + "." + team, Schema: 2, Revision: revision,
		Operation: ident.OperationID(fmt.Sprintf("0194b3c2-7a1e-7cc0-8%03d-%012d", revision, i)),
		Spec: fmt.Appendf(nil, `{"upstream":%q,"team":%q,"classes":["urgent","normal"],"rate_per_second":50,"burst":80,"weight":2}`,
			u, team),
	}
}

// searcherAt is a searcher of the design size: 55 shards per upstream, 2 snapshots, 2 shards held.
func searcherAt(i int) registry.Announcement {
	a := announcement(fmt.Sprintf("upstream-%d-searcher-%d", i%20, i))
	a.Upstream = ident.UpstreamID(fmt.Sprintf("upstream-%d", i%20))
	a.Snapshots = nil
	for sn := range 2 {
		s := registry.Snapshot{ID: ident.SnapshotID(100 + sn)}
		for j := range 55 {
			s.Shards = append(s.Shards, registry.Shard{ID: ident.ShardID(fmt.Sprintf("shard-%d", j)), Documents: 100000})
		}
		s.Held = []ident.ShardID{s.Shards[i/20%55].ID, s.Shards[(i/20+1)%55].ID}
		a.Snapshots = append(a.Snapshots, s)
	}

	return a
}

// filled returns a state with records, each put by its own operation, and searchers.
func filled(b testing.TB, records, searchers int) *State {
	s := New()
	d := newDriver(b, s)
	for i := range records {
		d.do(approval(i, 1))
	}
	for i := range searchers {
		d.do(RegisterSearcher{s.registry.Reduce(searcherAt(i))})
	}

	return s
}

// refused reports whether a command had no effect, which would make its cost meaningless.
func refused(r Result) bool {
	switch r := r.(type) {
	case RecordResult:
		return r.Status != record.StatusStored
	case ClaimResult:
		return r.Verdict != claim.Granted
	case RegistryResult:
		return r.Refusal != ""
	case DoneResult:
		return !r.Done
	default:
		return false
	}
}

func BenchmarkApply(b *testing.B) {
	key := func(i int) claim.Key {
		k := keyAt(start, byte(i))
		k.ID[14], k.ID[13], k.ID[12] = byte(i>>8), byte(i>>16), byte(i>>24)

		return k
	}
	commands := map[string]func(i int) Command{
		"put":   func(i int) Command { return approval(i%10000, ident.Revision(2+i/10000)) },
		"claim": func(i int) Command { return ClaimKey{Key: key(i % claim.MaxClaims), Token: "a"} },
		"claim_settle": func(i int) Command {
			return SettleClaim{Key: key(i % claim.MaxClaims), Token: "a", HasAnswer: true, Answer: make([]byte, 1000)}
		},
		"strike":   func(i int) Command { return AddStrike{Fingerprint: ident.Fingerprint(i % 8000)} },
		"register": func(i int) Command { return RegisterSearcher{searcherAt(i % 2200)} },
		"register_reduced": func(i int) Command {
			a := searcherAt(i % 2200)
			for j := range a.Snapshots {
				a.Snapshots[j].Shards = nil
			}

			return UpdateSearcher{a}
		},
		"assign_owner": func(i int) Command {
			return AssignOwner{Searcher: searcherAt(0).Searcher, Epoch: ident.Epoch(i), Owner: "node-1", Incarnation: 1}
		},
	}
	for name, command := range commands {
		b.Run(name, func(b *testing.B) {
			s := filled(b, 10000, 2200)
			if name == "claim_settle" {
				d := &driver{t: b, now: start, index: s.AppliedIndex(), states: []*State{s}}
				for i := range min(b.N, claim.MaxClaims) {
					d.do(ClaimKey{Key: key(i), Token: "a"})
				}
			}
			data := make([][]byte, 0, b.N)
			size := 0
			for i := range b.N {
				c, err := EncodeCommand(start, command(i))
				if err != nil {
					b.Fatal(err)
				}
				size += len(c)
				data = append(data, c)
			}
			index := s.AppliedIndex()
			b.ReportAllocs()
			b.ResetTimer()
			var res []byte
			for i, c := range data {
				res = s.Apply(index+uint64(i)+1, c)
			}
			b.StopTimer()
			if r, err := DecodeResult(res); err != nil || refused(r) {
				b.Fatalf("the last result is %+v, error %v", r, err)
			}
			b.ReportMetric(float64(size)/float64(b.N), "command-B")
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, records := range []int{100, 1000, 10000} {
		for name, searchers := range map[string]int{"without_searchers": 0, "with_2200_searchers": 2200} {
			s := filled(b, records, searchers)
			full := snapshotOf(b, s)
			node, err := s.NodeSnapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.Run(fmt.Sprintf("take/%d/%s", records, name), func(b *testing.B) {
				for b.Loop() {
					snapshotOf(b, s)
				}
				b.ReportMetric(float64(len(full)), "full-B")
				b.ReportMetric(float64(len(node)), "node-B")
			})
			b.Run(fmt.Sprintf("restore/%d/%s", records, name), func(b *testing.B) {
				for b.Loop() {
					if err := New().Restore(full); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkMemory reports the heap that a state of some size keeps, with a full ring of commands.
func BenchmarkMemory(b *testing.B) {
	for _, records := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("%d_records_2200_searchers", records), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := filled(b, records, 2200)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(s)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-B")
		})
	}
}

func BenchmarkReads(b *testing.B) {
	s := New()
	d := newDriver(b, s)
	const teams = 200
	for i := range teams {
		h, err := record.NewKeyHash(make([]byte, record.MinSaltBytes), fmt.Sprintf("team-%d.0123456789abcdef", i))
		if err != nil {
			b.Fatal(err)
		}
		d.do(PutRecord{
			Kind: record.KindCallingTeam, Name: fmt.Sprintf("team-%d", i), Schema: 1, Revision: 1,
			Operation: ident.OperationID(fmt.Sprint(i)), Spec: fmt.Appendf(nil, `{"keys":[{"salt":%q,"hash":%q}]}`, h.Salt, h.Hash),
		})
	}
	for name, key := range map[string]string{"key_names_its_team": "team-199.0123456789abcdef", "unknown_key": "0123456789abcdef"} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				s.Records().TeamByKey(key)
			}
		})
	}
}

// BenchmarkCommandsSince reports the size of the entries in a renewal's reply.
func BenchmarkCommandsSince(b *testing.B) {
	s := filled(b, 100, 2200)
	for _, behind := range []uint64{0, 1, 10} {
		b.Run(fmt.Sprintf("%d_behind", behind), func(b *testing.B) {
			size := 0
			for b.Loop() {
				entries, _ := s.CommandsSince(s.AppliedIndex() - behind)
				size = 0
				for _, e := range entries {
					size += len(e.Data) + 9
				}
			}
			b.ReportMetric(float64(size), "entries-B")
		})
	}
}
