package entry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// contactSimulation simulates the recovery from a power loss: 350 nodes start within 300 ms and contact the same three
// control VMs, which accept connections from 400 ms on and process one job at a time. 25 nodes have callers, each of
// which receives a request every 100 ms.
type contactSimulation struct {
	nodes             [350]contactNode
	queues            [maxSeeds][]contactJob
	busyUntil         [maxSeeds]time.Duration // when the control VM finishes its current job
	electionStepsDone int                     // completed steps of the election
	rnd               *rand.Rand
	backoff           func(hasCallers bool, failures int, r float64) time.Duration
}

type contactNode struct {
	seed, failures, refusedUnconfigured int
	exchanging                          bool
	startedAt, nextAt                   time.Duration
	connected                           [maxSeeds]bool
	servedAt                            time.Duration
}

// contactJob is an exchange with a node, or a step of the election.
type contactJob struct {
	node     int
	election bool
}

const (
	contactNodesWithCallers = 25
	contactControlVMStart   = 400 * time.Millisecond
	contactElectionSteps    = 6 // sequential, rotating over the three control VMs
	// Processing times of a control VM that has a quarter of a core.
	contactHandshake     = 10 * time.Millisecond
	contactNoLeaderReply = 1500 * time.Microsecond // the answer that there is no leader
	contactRoster        = 20 * time.Millisecond
	contactElectionStep  = time.Millisecond
)

func (sim *contactSimulation) startExchange(now time.Duration, i int) {
	n := &sim.nodes[i]
	n.exchanging, n.startedAt = true, now

	if now < contactControlVMStart {
		return // the control VMs do not listen yet
	}

	sim.queues[n.seed] = append(sim.queues[n.seed], contactJob{node: i})
}

func (sim *contactSimulation) step(now time.Duration) {
	for i := range sim.nodes {
		n := &sim.nodes[i]
		receivesRequest := i < contactNodesWithCallers && now%(100*time.Millisecond) == 0

		if receivesRequest {
			n.refusedUnconfigured++
		}

		switch {
		case n.servedAt > 0:
		case n.exchanging && now-n.startedAt >= unconfiguredTimeout(n.failures):
			n.exchanging = false
			n.failures++
			n.seed = (n.seed + 1) % maxSeeds
			n.nextAt = now + sim.backoff(n.refusedUnconfigured >= callerThreshold, n.failures, sim.rnd.Float64())
		case !n.exchanging && (now >= n.nextAt || receivesRequest && n.refusedUnconfigured == callerThreshold):
			sim.startExchange(now, i)
		}
	}

	for s := range sim.queues {
		if now < sim.busyUntil[s] || len(sim.queues[s]) == 0 {
			continue
		}

		job := sim.queues[s][0]
		sim.queues[s] = sim.queues[s][1:]
		sim.busyUntil[s] = now + sim.process(now, s, job)
	}
}

// process returns the processing time of a job. The handshake of a node that has timed out is still processed.
func (sim *contactSimulation) process(now time.Duration, s int, job contactJob) (took time.Duration) {
	if job.election {
		if sim.electionStepsDone++; sim.electionStepsDone < contactElectionSteps {
			next := sim.electionStepsDone % maxSeeds
			sim.queues[next] = append(sim.queues[next], job)
		}

		return contactElectionStep
	}

	n := &sim.nodes[job.node]
	if !n.connected[s] {
		n.connected[s] = true
		took = contactHandshake
	}

	switch {
	case !n.exchanging || n.seed != s || n.servedAt > 0:
		return took
	case sim.electionStepsDone < contactElectionSteps:
		n.exchanging = false
		n.nextAt = now + took + sim.backoff(n.refusedUnconfigured >= callerThreshold, 0, sim.rnd.Float64())

		return took + contactNoLeaderReply
	default:
		n.exchanging, n.servedAt = false, now+took+contactRoster

		return took + contactRoster
	}
}

// run returns when the last node with callers, and the last node of all, received the configuration.
func (sim *contactSimulation) run() (lastWithCallers, last time.Duration) {
	const duration = 30 * time.Second

	sim.rnd = rand.New(rand.NewPCG(7, 1))

	for i := range sim.nodes {
		sim.nodes[i].seed = i % maxSeeds
		sim.nodes[i].nextAt = time.Duration(sim.rnd.IntN(300)) * time.Millisecond
	}

	for s := range sim.busyUntil {
		sim.busyUntil[s] = contactControlVMStart
	}

	for now := time.Duration(0); now < duration; now += time.Millisecond {
		if now == contactControlVMStart {
			sim.queues[0] = append(sim.queues[0], contactJob{election: true})
		}

		sim.step(now)
	}

	for i := range sim.nodes {
		servedAt := sim.nodes[i].servedAt
		if servedAt == 0 {
			servedAt = duration
		}

		last = max(last, servedAt)
		if i < contactNodesWithCallers {
			lastWithCallers = max(lastWithCallers, servedAt)
		}
	}

	return lastWithCallers, last
}

// Guards against nodes without callers that overload the control VMs, which delays the election of a leader and the
// nodes whose callers are being refused.
func TestNodesWithCallersAreServedFirst(t *testing.T) {
	constant := contactSimulation{backoff: func(bool, int, float64) time.Duration { return unconfiguredFollowInterval }}
	constantWithCallers, constantAll := constant.run()
	got := contactSimulation{backoff: followBackoff}
	gotWithCallers, gotAll := got.run()
	t.Logf("nodes with callers are served after %v, all nodes after %v; with a constant interval after %v and %v", gotWithCallers, gotAll, constantWithCallers, constantAll)

	// The control VMs are back after 400 ms, and callers wait for one to two seconds.
	if limit := 2 * time.Second; gotWithCallers > limit {
		t.Errorf("the last node with callers is served after %v, want at most %v", gotWithCallers, limit)
	}

	if limit := 10 * time.Second; gotAll > limit {
		t.Errorf("the last node is served after %v, want at most %v", gotAll, limit)
	}
}

// Guards against a node with callers that backs off like one without, and against a back-off without jitter, after
// which all nodes retry together.
func TestFollowBackoff(t *testing.T) {
	for name, tc := range map[string]struct {
		hasCallers bool
		failures   int
		low, high  time.Duration
	}{
		"callers":                         {true, 0, unconfiguredFollowInterval, unconfiguredFollowInterval},
		"callers, after failures":         {true, 9, unconfiguredFollowInterval, unconfiguredFollowInterval},
		"no callers":                      {false, 0, initialFollowBackoff / 2, initialFollowBackoff},
		"no callers, after one failure":   {false, 1, initialFollowBackoff, 2 * initialFollowBackoff},
		"no callers, after many failures": {false, 100, maxFollowBackoff / 2, maxFollowBackoff},
	} {
		t.Run(name, func(t *testing.T) {
			if low, high := followBackoff(tc.hasCallers, tc.failures, 0), followBackoff(tc.hasCallers, tc.failures, 1); low != tc.low || high != tc.high {
				t.Errorf("back-off of %v to %v, want %v to %v", low, high, tc.low, tc.high)
			}
		})
	}
}
