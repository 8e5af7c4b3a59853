package entry

import (
	"testing"
	"time"
)

// The load: 480 nodes that start within 300 ms and know the same three control VMs. Each of these ends one handshake in
// 10 ms (2.3 ms of a core on a VM that has a quarter of one), in the order of their arrival, and drops those that arrive
// when 50 wait (packets of 1,200 bytes in a receive buffer of 64 KiB). A node that has waited for its patience goes to the
// next control VM, and begins a new handshake there unless its last one is still under way.
//
// Guards against nodes that keep control VMs busy with handshakes that nobody waits for any more.
func TestFirstContactsUnderLoad(t *testing.T) {
	const (
		nodes, seeds, queue = 480, maxSeeds, 50
		handshake           = 10 * time.Millisecond
		step                = time.Millisecond
		until               = 20 * time.Second
	)

	play := func(patience func(failed int) time.Duration) (last time.Duration) {
		type node struct {
			seed, failed int
			since        time.Duration
			connected    bool
			dials        [seeds]time.Duration // when the handshake under way began, -1 for none
		}

		var (
			all    [nodes]node
			queues [seeds][]int
			done   [seeds]time.Duration
		)

		begin := func(now time.Duration, i int) {
			n := &all[i]
			n.since = now

			if n.dials[n.seed] >= 0 && now-n.dials[n.seed] < dialTimeout {
				return
			}

			if n.dials[n.seed] = now; len(queues[n.seed]) < queue {
				queues[n.seed] = append(queues[n.seed], i)
			}
		}

		for now := time.Duration(0); now < until; now += step {
			for i := range all {
				n := &all[i]
				started := time.Duration(i) * 300 * time.Millisecond / nodes

				switch {
				case n.connected || now < started:
				case now == started.Truncate(step)+step:
					n.seed, n.dials = i%seeds, [seeds]time.Duration{-1, -1, -1}
					begin(now, i)
				case n.since > 0 && now-n.since >= patience(n.failed):
					n.failed++
					n.seed = (n.seed + 1) % seeds
					begin(now, i)
				}
			}

			for s := range queues {
				if len(queues[s]) == 0 || now < done[s]+handshake {
					continue
				}

				n := &all[queues[s][0]]
				queues[s], done[s] = queues[s][1:], now

				if n.seed == s && !n.connected && n.dials[s] >= 0 && now-n.dials[s] < dialTimeout {
					n.connected, last = true, now
				}
			}
		}

		for i := range all {
			if !all[i].connected {
				return until
			}
		}

		return last
	}

	constant := play(func(int) time.Duration { return unconfiguredFollowTimeout })
	got := play(unconfiguredTimeout)
	t.Logf("all nodes connected after %v, %v with constant patience", got, constant)

	if ideal := nodes / seeds * handshake; got > 2*ideal {
		t.Errorf("all nodes connected after %v, want at most %v", got, 2*ideal)
	}
}
