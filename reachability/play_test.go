package reachability

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fulmarfall/ident"
)

// cut is how a partition treats connections to searchers.
type cut int

const (
	cutNone    cut = iota
	cutHang        // packets are dropped
	cutReset       // open connections are reset and new ones refused
	cutNewOnly     // open connections work on and new ones are refused
)

// load describes the traffic of a node and what happens to it from faultAt to healAt.
type load struct {
	perSecond float64 // searches, each to all shards
	singles   float64 // requests for a single searcher, per second
	shards    int
	cut       cut
	// downShards is the number of shards whose searchers are all down, and slow a factor on all service times.
	downShards int
	slow       float64
	// pause is how long the process itself is stopped at faultAt.
	pause time.Duration
	// restarted is set if the node has no connections at faultAt.
	restarted bool
}

const (
	playEnd    = 20 * time.Second
	faultAt    = 5 * time.Second
	healAt     = 12 * time.Second
	playStep   = time.Millisecond
	tickPeriod = 20 * time.Millisecond // a node with requests in progress looks at its timers at least this often
)

// play is one node in virtual time.
type play struct {
	load
	d   *Detector
	rnd *rand.Rand
	now time.Time

	start       time.Time
	connections map[ident.SearcherID]bool
	events      []event
	inProgress  int
	sent        map[int]ident.SearcherID // attempts in progress
	nextAttempt int

	leftEarly     bool          // isolated no more before the partition has ended
	isolatedAt    time.Duration // since the start; 0 if never
	connectedAt   time.Duration // last return to Connected after the partition has healed
	reachedProbes int           // connections that probes opened
	wronglyFor    time.Duration // isolated although searchers could be reached
}

type event struct {
	at time.Time
	do func()
}

func (p *play) after(d time.Duration, do func()) {
	p.events = append(p.events, event{p.now.Add(d), do})
}

func (p *play) elapsed() time.Duration { return p.now.Sub(p.start) }

func (p *play) faulty() bool { return p.elapsed() >= faultAt && p.elapsed() < healAt }

func (p *play) activeCut() cut {
	if p.faulty() {
		return p.cut
	}

	return cutNone
}

// down reports whether a shard has no searcher that runs.
func (p *play) down(shard int) bool { return p.faulty() && shard < p.downShards }

func searcherID(shard, replica int) ident.SearcherID {
	return ident.SearcherID(fmt.Sprintf("s%d-%d", shard, replica))
}

// attempt sends a request to one searcher of a shard, over a kept connection if there is one.
func (p *play) attempt(shard int) {
	var (
		s       = searcherID(shard, p.rnd.IntN(3))
		service = time.Duration(float64(3+p.rnd.IntN(25)) * float64(time.Millisecond))
	)

	if p.faulty() && p.slow > 0 {
		service = time.Duration(float64(service) * p.slow)
	}

	if p.rnd.IntN(24) == 0 {
		service += 150 * time.Millisecond // a pause
	}

	if !p.connections[s] {
		switch c := p.activeCut(); {
		case c == cutHang:
			p.after(200*time.Millisecond, func() { p.refuse(s) })
			return
		case c != cutNone, p.down(shard):
			p.after(2*time.Millisecond, func() { p.refuse(s) })
			return
		}

		p.d.Opened(p.now)
		p.connections[s] = true
	}

	p.inProgress++
	p.d.Sent(p.now, s)

	id := p.nextAttempt
	p.nextAttempt++
	p.sent[id] = s

	finish := func(f func()) func() {
		return func() {
			if _, active := p.sent[id]; active {
				delete(p.sent, id)
				p.inProgress--
				f()
			}
		}
	}
	lost := func() {
		delete(p.connections, s)
		p.d.Lost(s)
		p.check()
	}

	switch c := p.activeCut(); {
	case p.down(shard), c == cutReset:
		p.after(time.Millisecond, finish(lost))
	case c == cutHang:
		p.after(time.Second, finish(lost))
	default:
		p.after(service, func() {
			switch c := p.activeCut(); {
			case c == cutHang:
				p.after(time.Second, finish(lost))
			case c == cutReset, p.down(shard), !p.connections[s]:
				finish(lost)()
			default:
				finish(func() { p.d.Answered(p.now, s) })()
			}
		})
	}
}

func (p *play) refuse(s ident.SearcherID) {
	p.d.Unreachable(s)
	p.check()
}

// check starts a round of probes if one is due, as a node does after a failure and when a timer fires.
func (p *play) check() {
	if p.d.Due(p.now) {
		p.probe()
	}
}

// moveToPeers ends the attempts in progress, whose requests are forwarded.
func (p *play) moveToPeers() {
	for _, s := range p.sent {
		p.inProgress--
		p.d.Ended(s)
	}

	clear(p.sent)
}

// probe runs a round of probes in the way of a node.
func (p *play) probe() {
	var all []Target

	for shard := range p.shards {
		for r := range 3 {
			all = append(all, Target{Searcher: searcherID(shard, r), Upstream: ident.UpstreamID(fmt.Sprint(shard)), Near: r == 0})
		}
	}

	reached, took := 0, 30*time.Millisecond

	for _, t := range ChooseTargets(all, ProbesPerRound, p.rnd) {
		var shard int
		if _, err := fmt.Sscanf(string(t.Upstream), "%d", &shard); err != nil {
			panic(err)
		}

		switch c := p.activeCut(); {
		case c == cutHang:
			took = 100 * time.Millisecond
		case c == cutNone && !p.down(shard):
			reached++
			p.reachedProbes++
		}
	}

	p.after(took, func() {
		wait := p.d.EndRound(p.now, reached)
		if p.d.State() == Isolated {
			p.moveToPeers()
		}

		if wait == 0 {
			return
		}

		p.after(wait, p.probe)
	})
}

func (p *play) run() {
	p.start = time.Unix(1000, 0)
	p.now = p.start
	p.d = NewDetector()
	p.connections = map[ident.SearcherID]bool{}
	p.sent = map[int]ident.SearcherID{}
	p.d.SetSearchers(3 * p.shards)

	for ; p.elapsed() < playEnd; p.now = p.now.Add(playStep) {
		if p.elapsed() == faultAt && p.pause > 0 {
			p.now = p.now.Add(p.pause)
		}

		if p.elapsed() == faultAt && p.restarted {
			clear(p.connections)
		}

		slices.SortStableFunc(p.events, func(a, b event) int { return a.at.Compare(b.at) })

		for len(p.events) > 0 && !p.events[0].at.After(p.now) {
			e := p.events[0]
			p.events = p.events[1:]
			e.do()
		}

		// An isolated node forwards its requests.
		if p.d.State() != Isolated {
			p.arrivals()
		}

		if p.inProgress > 0 && p.elapsed()%tickPeriod == 0 {
			p.check()
		}

		p.observe()
	}
}

func (p *play) arrivals() {
	perStep := playStep.Seconds()

	if p.rnd.Float64() < p.perSecond*perStep {
		for shard := range p.shards {
			p.attempt(shard)
		}
	}

	if p.rnd.Float64() < p.singles*perStep {
		p.attempt(p.rnd.IntN(p.shards))
	}
}

func (p *play) observe() {
	isolated := p.d.State() == Isolated
	if !isolated && p.isolatedAt != 0 && p.activeCut() != cutNone {
		p.leftEarly = true
	}

	reachable := p.activeCut() == cutNone && (!p.faulty() || p.downShards < p.shards)

	switch {
	case isolated:
		if p.isolatedAt == 0 {
			p.isolatedAt = p.elapsed()
		}

		if reachable && p.elapsed() < healAt {
			p.wronglyFor += playStep
		}
	case p.isolatedAt != 0 && p.connectedAt == 0 && p.elapsed() >= healAt:
		p.connectedAt = p.elapsed()
	}
}

// Guards against a node that does not notice that it reaches no searcher, or notices the end of that late: callers of a
// partition of 3 s get a tenth of it at most to lose. Guards, too, against a node that takes a fault of searchers, or its
// own pause, for a partition.
func TestIsolationIsDetectedUnderLoad(t *testing.T) {
	const noticed = 300 * time.Millisecond

	for name, tc := range map[string]struct {
		load
		isolated bool
	}{
		"packets dropped, many searches":             {load{perSecond: 60, singles: 15, shards: 10, cut: cutHang}, true},
		"packets dropped, wide searches":             {load{perSecond: 20, singles: 5, shards: 90, cut: cutHang}, true},
		"connections reset, many searches":           {load{perSecond: 60, singles: 15, shards: 10, cut: cutReset}, true},
		"connections reset, wide searches":           {load{perSecond: 20, singles: 5, shards: 90, cut: cutReset}, true},
		"new connections refused, none left":         {load{perSecond: 60, shards: 10, cut: cutNewOnly, restarted: true}, true},
		"new connections refused, all kept":          {load{perSecond: 60, singles: 15, shards: 10, cut: cutNewOnly}, false},
		"nothing happens":                            {load{perSecond: 60, singles: 15, shards: 10}, false},
		"nothing happens, little load":               {load{perSecond: 1, singles: 1, shards: 10}, false},
		"nothing happens, single searchers only":     {load{singles: 3, shards: 10}, false},
		"all searchers of a shard are down":          {load{perSecond: 60, singles: 15, shards: 10, downShards: 1}, false},
		"all searchers of most shards are down":      {load{perSecond: 60, singles: 15, shards: 10, downShards: 9}, false},
		"all searchers are slow":                     {load{perSecond: 60, singles: 15, shards: 10, slow: 12}, false},
		"all searchers are slow, little load":        {load{perSecond: 1, shards: 10, slow: 12}, false},
		"the process pauses":                         {load{perSecond: 60, singles: 15, shards: 10, pause: 3 * time.Second}, false},
		"the process restarts":                       {load{perSecond: 60, singles: 15, shards: 10, restarted: true}, false},
		"all searchers of all shards are down":       {load{perSecond: 60, singles: 15, shards: 10, downShards: 10}, true},
		"packets dropped beside a shard down":        {load{perSecond: 60, singles: 15, shards: 10, cut: cutHang, downShards: 1}, true},
		"packets dropped while searchers are slow":   {load{perSecond: 60, singles: 15, shards: 10, cut: cutHang, slow: 3}, true},
		"connections reset while the process pauses": {load{perSecond: 60, singles: 15, shards: 10, cut: cutReset, pause: time.Second}, true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				p := &play{load: tc.load, rnd: rand.New(rand.NewPCG(seed, 1))}
				p.run()

				if p.wronglyFor > 0 {
					t.Errorf("seed %d: isolated for %v although searchers could be reached", seed, p.wronglyFor)
				}

				if !tc.isolated {
					if p.isolatedAt != 0 {
						t.Errorf("seed %d: isolated after %v", seed, p.isolatedAt)
					}

					if limit := (int(2*playEnd.Seconds()) + 1) * ProbesPerRound; p.reachedProbes > limit {
						t.Errorf("seed %d: %d searchers were probed, want at most %d", seed, p.reachedProbes, limit)
					}

					continue
				}

				// A search that arrives shows the partition, or one in progress does.
				from := faultAt + tc.pause + time.Duration(float64(time.Second)/tc.perSecond)
				if p.isolatedAt == 0 || p.isolatedAt > from+noticed {
					t.Errorf("seed %d: isolated after %v, want at most %v", seed, p.isolatedAt, from+noticed)
				}

				if p.leftEarly {
					t.Errorf("seed %d: not isolated any more before the partition has ended", seed)
				}

				if p.connectedAt == 0 || p.connectedAt > healAt+noticed {
					t.Errorf("seed %d: connected again after %v, want at most %v", seed, p.connectedAt, healAt+noticed)
				}
			}
		})
	}
}
