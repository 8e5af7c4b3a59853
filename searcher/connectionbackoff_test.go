package searcher

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against nodes that keep opening connections only to have them reset, and against nodes that do not return to
// their share. Six nodes with a share of 6 connections each use a searcher that accepts 36, of which 24 are occupied for
// 2 s by connections of failed processes. Each node opens a connection whenever its limit allows one.
func TestConnectionLimitAfterResets(t *testing.T) {
	const (
		nodes, share, maxAccepted, stale = 6, 6, 36, 24
		staleFor                         = 2 * time.Second
		tryInterval                      = 10 * time.Millisecond
		duration                         = 4 * time.Second
	)

	var (
		backoffs [nodes]ConnectionBackoff
		open     [nodes]int
		start    = time.Unix(0, 0)
		resets   = 0
	)

	for since := time.Duration(0); since < duration; since += tryInterval {
		now := start.Add(since)

		for i := range nodes {
			if open[i] >= backoffs[i].Limit(now, share) {
				continue
			}

			total := 0
			for _, n := range open {
				total += n
			}

			if since < staleFor {
				total += stale
			}

			if total < maxAccepted {
				open[i]++
				continue
			}

			resets++
			backoffs[i].RecordReset(now, open[i])
		}
	}

	if diff := cmp.Diff([nodes]int{share, share, share, share, share, share}, open); diff != "" {
		t.Errorf("connections after the searcher has dropped the stale ones differ (-want +got):\n%s", diff)
	}

	// Each node may try once per step of the limit, not once per 10 ms.
	if maxResets := nodes * int(staleFor/limitStep+1); resets > maxResets {
		t.Errorf("%d connections were reset, want at most %d", resets, maxResets)
	}
}
