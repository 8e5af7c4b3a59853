package model

import (
	"math"
	"time"

	"fulmarfall/ident"
	"fulmarfall/searcher"
)

const (
	// serviceSigma is the standard deviation of the logarithm of service times, which are log-normal.
	serviceSigma = 0.4
	// coldFactor is the slowdown of a fully cold searcher relative to a warm one.
	coldFactor = 5
	// coldRuns is the number of answers after which a searcher is warm.
	coldRuns = 64
	// coldLimit is the rate of starts that a fully cold searcher can sustain; the limit grows with its warmth.
	coldLimit = searcher.DefaultColdRate
	// coldBurst is the number of starts above the limit that a cold searcher tolerates. Without it, a searcher that
	// turns cold without notice would crash before its owner can detect that.
	coldBurst = 8
	// restartTime is the time between a crash and the restart.
	restartTime = 2 * time.Second
	// crashAfter is how long a crashing request runs before it crashes its searcher.
	crashAfter = time.Millisecond
	// defaultRunTimeout is the timeout of runs whose sender sets no deadline.
	defaultRunTimeout = 10 * time.Second
)

// endKind is how a run at a searcher ended.
type endKind uint8

const (
	endAnswered endKind = iota
	endTimedOut
	endCrashed
	endUnreachable
	endSnapshotGone
	endCancelled
)

// fakeSearcher simulates a searcher at its network interface: it runs everything that it receives, even beyond its
// limits, and records how far they were exceeded.
type fakeSearcher struct {
	w           *world
	id          ident.SearcherID
	up          *upstream
	shard       int
	domain      int
	owner       *node // nil in the naive version
	alive       bool
	leaving     bool
	leavingAt   time.Time
	incarnation ident.Incarnation
	slow        float64 // factor on service times
	snapshots   []ident.SnapshotID

	inFlight    []*fakeRun // in order of arrival
	running     int
	answered    int // answers since the searcher was last cold
	startTokens float64
	tokensAt    time.Time

	connections int
}

type fakeRun struct {
	request     *request
	shard       ident.ShardID
	fingerprint ident.Fingerprint
	key         string // idempotency key
	snapshot    ident.SnapshotID
	deadline    time.Time
	done        func(endKind)
	executing   bool
	ended       bool
}

func (s *fakeSearcher) warmth() float64 { return math.Min(1, float64(s.answered)/coldRuns) }

// turnCold resets the searcher as if its caches were empty.
func (s *fakeSearcher) turnCold() {
	s.answered = 0
	s.startTokens, s.tokensAt = coldBurst, s.w.now
}

// takeStartToken charges a start to the token bucket of a searcher that is not warm. It returns by how many tokens
// the bucket is overdrawn.
func (s *fakeSearcher) takeStartToken() (over float64) {
	warmth := s.warmth()
	if warmth >= 1 {
		return 0
	}

	warmRate := float64(s.up.slots) / s.up.service.Seconds()
	limit := coldLimit + warmth*(warmRate-coldLimit)
	s.startTokens = math.Min(coldBurst, s.startTokens+limit*s.w.now.Sub(s.tokensAt).Seconds())
	s.tokensAt = s.w.now
	s.startTokens--

	return math.Max(0, -s.startTokens)
}

// start runs r, or queues it while all slots are busy. r.done is called when the answer leaves the searcher or its
// connection breaks.
func (s *fakeSearcher) start(r *fakeRun) {
	if !s.alive {
		r.done(endUnreachable)
		return
	}
	if !s.hasSnapshot(r.snapshot) {
		r.done(endSnapshotGone)
		return
	}

	s.inFlight = append(s.inFlight, r)
	s.w.stats.recordStart(s, r)
	if over := s.takeStartToken(); over > 0 {
		s.w.stats.coldOvershoot = math.Max(s.w.stats.coldOvershoot, over)
		s.w.stats.coldCrashes++
		s.crash()
		return
	}

	s.startQueued()
}

// anySnapshot marks a run that accepts any snapshot.
const anySnapshot ident.SnapshotID = 0

func (s *fakeSearcher) hasSnapshot(id ident.SnapshotID) bool {
	if id == anySnapshot {
		return true
	}
	for _, held := range s.snapshots {
		if held == id {
			return true
		}
	}

	return false
}

// startQueued executes queued runs in order of arrival while slots are free.
func (s *fakeSearcher) startQueued() {
	for _, r := range s.inFlight {
		if s.running >= s.up.slots {
			return
		}
		if !r.executing {
			s.execute(r)
		}
	}
}

func (s *fakeSearcher) execute(r *fakeRun) {
	r.executing = true
	s.running++
	if s.w.crashing[r.fingerprint] {
		s.w.after(crashAfter, func() {
			if !r.ended {
				s.w.stats.crashed++
				s.crash()
			}
		})
		return
	}

	d := s.w.logNormal(s.up.service, serviceSigma)
	d = time.Duration(float64(d) * s.slow * (1 + (coldFactor-1)*(1-s.warmth())))
	if s.w.chance(s.w.stragglers) {
		d += s.w.between(s.w.size.pause[0], s.w.size.pause[1])
	}
	end, kind := s.w.now.Add(d), endAnswered
	if end.After(r.deadline) {
		end, kind = r.deadline, endTimedOut
	}
	s.w.at(end, func() {
		if !r.ended {
			if kind == endAnswered {
				s.answered++
			}
			s.end(r, kind)
		}
	})
}

// end removes a run from those in flight, reports how it ended, and starts queued runs.
func (s *fakeSearcher) end(r *fakeRun, kind endKind) {
	for i, other := range s.inFlight {
		if other == r {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
			break
		}
	}
	if r.executing {
		s.running--
	}
	r.ended = true
	r.done(kind)
	s.startQueued()
}

func (s *fakeSearcher) cancel(r *fakeRun) {
	if !r.ended {
		s.end(r, endCancelled)
	}
}

// crash ends every run without an answer. The searcher restarts cold with a new incarnation.
func (s *fakeSearcher) crash() {
	s.stop()
	s.w.after(restartTime, s.restart)
}

func (s *fakeSearcher) stop() {
	if !s.alive {
		return
	}
	s.alive = false
	runs := s.inFlight
	s.inFlight, s.running = nil, 0
	for _, r := range runs {
		r.ended = true
	}
	for _, r := range runs {
		r.done(endCrashed)
	}
}

func (s *fakeSearcher) restart() {
	if s.alive {
		return
	}
	s.alive, s.leaving = true, false
	s.incarnation++
	s.turnCold()
	s.announce()
	s.w.propagate(renewalInterval + commitLatency)
}

// announce sends an announcement to the owner. It never reports the searcher as cold: the gate has to detect that.
func (s *fakeSearcher) announce() {
	if !s.alive || s.owner == nil {
		return
	}
	a := searcher.Announcement{
		Incarnation: s.incarnation, Slots: s.up.slots, Connections: s.up.connections, Leaving: s.leaving,
	}
	s.w.after(linkLatency, func() { s.owner.handleAnnouncement(s, a) })
}

// heartbeat announces the searcher every second.
func (s *fakeSearcher) heartbeat() {
	s.announce()
	s.w.after(time.Second, s.heartbeat)
}
