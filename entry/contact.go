package entry

// While a node knows no configuration, it backs off between exchanges with the control VMs. The back-off is sized for a
// large installation in which all machines have lost power: hundreds of nodes contact three control VMs at once, each of
// which can complete about 30 handshakes a second and has to elect a leader meanwhile, and only a few of the nodes have
// callers.

import (
	"math/rand/v2"
	"time"
)

const (
	// callerThreshold is the number of refused requests from which a node counts as having callers. One is not enough:
	// every node occasionally receives a request that only probes it.
	callerThreshold = 2
	// initialFollowBackoff is the upper limit of the back-off of a node without callers before any failure. Each failure
	// doubles it, up to maxFollowBackoff.
	initialFollowBackoff = 400 * time.Millisecond
	maxFollowBackoff     = 2 * time.Second
	// maxBackoffDoublings keeps the shift from overflowing.
	maxBackoffDoublings = 3
)

// followBackoff returns the time until the next exchange with a control VM after the given number of consecutive
// failures. r adds jitter and is drawn from [0, 1).
func followBackoff(hasCallers bool, failures int, r float64) time.Duration {
	if hasCallers {
		return unconfiguredFollowInterval
	}

	d := min(initialFollowBackoff<<min(failures, maxBackoffDoublings), maxFollowBackoff)

	return d/2 + time.Duration(r*float64(d/2))
}

// countUnconfiguredRefusal counts a request that was refused because no configuration is known. At callerThreshold it
// wakes the follow loop, which may be in its back-off.
func (n *Node) countUnconfiguredRefusal() {
	if n.refusedUnconfigured.Add(1) != callerThreshold {
		return
	}

	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// hasCallers reports whether callers use this node. Without a configuration this is inferred from refused requests; with
// one it is assumed.
func (n *Node) hasCallers() bool {
	return n.view.Load() != nil || n.refusedUnconfigured.Load() >= callerThreshold
}

// nextFollowDelay returns the time until the next exchange with a control VM after the given number of consecutive
// failures.
func (n *Node) nextFollowDelay(failures int) time.Duration {
	if n.view.Load() != nil {
		return followInterval
	}

	return followBackoff(n.hasCallers(), failures, rand.Float64())
}
