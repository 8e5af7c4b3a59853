package entry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// contactLoad is the load after a loss of power: 350 nodes that start within 300 ms and know the same three control VMs,
// which start 400 ms later and do one thing after the other. 25 nodes have callers, who come each 100 ms.
type contactLoad struct {
	nodes  [350]contactNode
	queues [maxSeeds][]contactJob
	free   [maxSeeds]time.Duration // when the control VM is done with what it does
	votes  int                     // steps of the election that are over
	rnd    *rand.Rand
	pause  func(wanted bool, failed int, r float64) time.Duration
}

type contactNode struct {
	seed, failed, refusedUnconfigured int
	asks                              bool
	since, next                       time.Duration
	connected                         [maxSeeds]bool
	served                            time.Duration
}

// contactJob is what a control VM does for a node, or a step of the election.
type contactJob struct {
	node int
	vote bool
}

const (
	contactsWanted = 25
	contactStart   = 400 * time.Millisecond // of the control VMs
	contactSteps   = 6                      // of an election, one after the other at the three control VMs
	// Times that a control VM takes with a quarter of a core.
	contactHandshake = 10 * time.Millisecond
	contactAnswer    = 1500 * time.Microsecond // that there is no leader
	contactRoster    = 20 * time.Millisecond
	contactVote      = time.Millisecond
)

func (l *contactLoad) ask(now time.Duration, i int) {
	n := &l.nodes[i]
	n.asks, n.since = true, now

	if now < contactStart {
		return // nobody listens yet
	}

	l.queues[n.seed] = append(l.queues[n.seed], contactJob{node: i})
}

func (l *contactLoad) step(now time.Duration) {
	for i := range l.nodes {
		n := &l.nodes[i]
		called := i < contactsWanted && now%(100*time.Millisecond) == 0

		if called {
			n.refusedUnconfigured++
		}

		switch {
		case n.served > 0:
		case n.asks && now-n.since >= unconfiguredTimeout(n.failed):
			n.asks = false
			n.failed++
			n.seed = (n.seed + 1) % maxSeeds
			n.next = now + l.pause(n.refusedUnconfigured >= callerThreshold, n.failed, l.rnd.Float64())
		case !n.asks && (now >= n.next || called && n.refusedUnconfigured == callerThreshold):
			l.ask(now, i)
		}
	}

	for s := range l.queues {
		if now < l.free[s] || len(l.queues[s]) == 0 {
			continue
		}

		job := l.queues[s][0]
		l.queues[s] = l.queues[s][1:]
		l.free[s] = now + l.do(now, s, job)
	}
}

// do returns the time that a control VM takes for a job. A node that has given up costs its handshake all the same.
func (l *contactLoad) do(now time.Duration, s int, job contactJob) (took time.Duration) {
	if job.vote {
		if l.votes++; l.votes < contactSteps {
			next := l.votes % maxSeeds
			l.queues[next] = append(l.queues[next], job)
		}

		return contactVote
	}

	n := &l.nodes[job.node]
	if !n.connected[s] {
		n.connected[s] = true
		took = contactHandshake
	}

	switch {
	case !n.asks || n.seed != s || n.served > 0:
		return took
	case l.votes < contactSteps:
		n.asks = false
		n.next = now + took + l.pause(n.refusedUnconfigured >= callerThreshold, 0, l.rnd.Float64())

		return took + contactAnswer
	default:
		n.asks, n.served = false, now+took+contactRoster

		return took + contactRoster
	}
}

// play returns when the last node with callers was served, and the last of all.
func (l *contactLoad) play() (lastWanted, last time.Duration) {
	const until = 30 * time.Second

	l.rnd = rand.New(rand.NewPCG(7, 1))

	for i := range l.nodes {
		l.nodes[i].seed = i % maxSeeds
		l.nodes[i].next = time.Duration(l.rnd.IntN(300)) * time.Millisecond
	}

	for s := range l.free {
		l.free[s] = contactStart
	}

	for now := time.Duration(0); now < until; now += time.Millisecond {
		if now == contactStart {
			l.queues[0] = append(l.queues[0], contactJob{vote: true})
		}

		l.step(now)
	}

	for i := range l.nodes {
		served := l.nodes[i].served
		if served == 0 {
			served = until
		}

		last = max(last, served)
		if i < contactsWanted {
			lastWanted = max(lastWanted, served)
		}
	}

	return lastWanted, last
}

// Guards against nodes without callers that keep the control VMs from electing a leader, and that are served while callers
// are refused by others.
func TestNodesWithCallersComeFirst(t *testing.T) {
	before := contactLoad{pause: func(bool, int, float64) time.Duration { return unconfiguredFollowInterval }}
	beforeWanted, beforeAll := before.play()
	got := contactLoad{pause: followBackoff}
	gotWanted, gotAll := got.play()
	t.Logf("nodes with callers are served after %v, all after %v; without longer pauses of the others after %v and %v", gotWanted, gotAll, beforeWanted, beforeAll)

	// The control VMs are back after 400 ms; callers wait for a second or two.
	if most := 2 * time.Second; gotWanted > most {
		t.Errorf("the last node with callers is served after %v, want at most %v", gotWanted, most)
	}

	if most := 10 * time.Second; gotAll > most {
		t.Errorf("the last node is served after %v, want at most %v", gotAll, most)
	}
}

// Guards against a node with callers that waits like one without, and against pauses that all end at one moment.
func TestContactPause(t *testing.T) {
	for name, tc := range map[string]struct {
		wanted    bool
		failed    int
		low, high time.Duration
	}{
		"wanted":                 {true, 0, unconfiguredFollowInterval, unconfiguredFollowInterval},
		"wanted, after failures": {true, 9, unconfiguredFollowInterval, unconfiguredFollowInterval},
		"not wanted":             {false, 0, initialFollowBackoff / 2, initialFollowBackoff},
		"not wanted, after one":  {false, 1, initialFollowBackoff, 2 * initialFollowBackoff},
		"not wanted, after many": {false, 100, maxFollowBackoff / 2, maxFollowBackoff},
	} {
		t.Run(name, func(t *testing.T) {
			if low, high := followBackoff(tc.wanted, tc.failed, 0), followBackoff(tc.wanted, tc.failed, 1); low != tc.low || high != tc.high {
				t.Errorf("pause of %v to %v, want %v to %v", low, high, tc.low, tc.high)
			}
		})
	}
}
