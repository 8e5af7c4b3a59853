package voter

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"fulmarfall/ident"
)

// folderSizes returns the size of the newest snapshot and the total size of all files in a data folder.
func folderSizes(b *testing.B, dir string) (snapshot, total int64) {
	b.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		b.Fatal(err)
	}
	for _, e := range entries {
		info, err := e.Info()
		if err != nil {
			b.Fatal(err)
		}
		total += info.Size()
		if ok, _ := filepath.Match("snapshot-*", e.Name()); ok {
			snapshot = info.Size()
		}
	}

	return snapshot, total
}

// BenchmarkRestart measures the time until a voter has restored its state from a data folder after n entries of 200 bytes.
// The state machine keeps all data, so its snapshot grows with n. The results are in docs/consensus.md.
func BenchmarkRestart(b *testing.B) {
	for _, n := range []int{500, 1500, 10500, 50500} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			cfg := Config{ID: "v1", Dir: b.TempDir(), Voters: []ident.NodeID{"v1"}}
			v, stop, err := Start(cfg, &recordingStateMachine{}, sender{net: &network{}})
			if err != nil {
				b.Fatal(err)
			}
			for !v.Status().Ready {
				time.Sleep(time.Millisecond)
			}
			data := make([]byte, 199)
			for i := range data {
				data[i] = 'x'
			}
			var wg sync.WaitGroup
			for range 100 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for range n / 100 {
						if _, err := v.Propose(context.Background(), data); err != nil {
							b.Error(err)
						}
					}
				}()
			}
			wg.Wait()
			syncs := v.Status().Syncs
			if err := stop(); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				_, stop, err := Start(cfg, &recordingStateMachine{}, sender{net: &network{}})
				if err != nil {
					b.Fatal(err)
				}
				b.StopTimer()
				if err := stop(); err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
			}
			snapshot, total := folderSizes(b, cfg.Dir)
			b.ReportMetric(float64(snapshot), "snapshot-B")
			b.ReportMetric(float64(total), "folder-B")
			b.ReportMetric(float64(n)/float64(syncs), "entries/sync")
		})
	}
}
