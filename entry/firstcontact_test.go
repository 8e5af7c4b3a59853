package entry

import (
	"testing"
	"time"
)

// Guards against control VMs that spend their time on handshakes of nodes that have already timed out.
//
// The simulation has 480 nodes that start within 300 ms and contact the same three control VMs. A control VM completes
// one handshake every 10 ms (2.3 ms of processor time, with a quarter of a core), in order of arrival, and drops those
// that arrive while 50 are queued (packets of 1,200 bytes in a receive buffer of 64 KiB). A node that times out goes to
// the next control VM, and starts a new handshake there unless its last one with it is still in progress.
func TestFirstContactsUnderLoad(t *testing.T) {
	const (
		nodes, seeds, queue = 480, maxSeeds, 50
		handshake           = 10 * time.Millisecond
		step                = time.Millisecond
		duration            = 20 * time.Second
	)

	simulate := func(timeout func(failures int) time.Duration) (last time.Duration) {
		type node struct {
			seed, failures  int
			startedAt       time.Duration
			connected       bool
			handshakeStarts [seeds]time.Duration // start of the handshake in progress with each control VM, -1 for none
		}

		var (
			all           [nodes]node
			queues        [seeds][]int
			lastCompleted [seeds]time.Duration
		)

		startExchange := func(now time.Duration, i int) {
			n := &all[i]
			n.startedAt = now

			if n.handshakeStarts[n.seed] >= 0 && now-n.handshakeStarts[n.seed] < dialTimeout {
				return
			}

			if n.handshakeStarts[n.seed] = now; len(queues[n.seed]) < queue {
				queues[n.seed] = append(queues[n.seed], i)
			}
		}

		for now := time.Duration(0); now < duration; now += step {
			for i := range all {
				n := &all[i]
				nodeStart := time.Duration(i) * 300 * time.Millisecond / nodes

				switch {
				case n.connected || now < nodeStart:
				case now == nodeStart.Truncate(step)+step:
					n.seed, n.handshakeStarts = i%seeds, [seeds]time.Duration{-1, -1, -1}
					startExchange(now, i)
				case n.startedAt > 0 && now-n.startedAt >= timeout(n.failures):
					n.failures++
					n.seed = (n.seed + 1) % seeds
					startExchange(now, i)
				}
			}

			for s := range queues {
				if len(queues[s]) == 0 || now < lastCompleted[s]+handshake {
					continue
				}

				n := &all[queues[s][0]]
				queues[s], lastCompleted[s] = queues[s][1:], now

				if n.seed == s && !n.connected && n.handshakeStarts[s] >= 0 && now-n.handshakeStarts[s] < dialTimeout {
					n.connected, last = true, now
				}
			}
		}

		for i := range all {
			if !all[i].connected {
				return duration
			}
		}

		return last
	}

	constant := simulate(func(int) time.Duration { return unconfiguredFollowTimeout })
	got := simulate(unconfiguredTimeout)
	t.Logf("all nodes connected after %v, %v with a constant timeout", got, constant)

	if ideal := nodes / seeds * handshake; got > 2*ideal {
		t.Errorf("all nodes connected after %v, want at most %v", got, 2*ideal)
	}
}
