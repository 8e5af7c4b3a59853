package model

import (
	"math"
	"time"

	"fulmarfall/ident"
	"fulmarfall/searcher"
)

const (
	// serviceSigma is the spread of service times (log-normal).
	serviceSigma = 0.4
	// coldFactor is how much slower than a warm searcher a fully cold one is.
	coldFactor = 5
	// coldRuns answers warm a searcher up.
	coldRuns = 64
	// coldLimit is the rate of starts that a fully cold searcher bears; the limit grows with its warmth.
	coldLimit = searcher.DefaultColdRate
	// coldBurst starts above the limit are borne, so that a searcher that turns cold without a sign does not fall over
	// before anybody can have seen it.
	coldBurst = 8
	// restartTime is how long a crashed searcher is away.
	restartTime = 2 * time.Second
	// crashAfter is how long a crashing request runs.
	crashAfter = time.Millisecond
	// longest is the deadline of runs whose sender gives none.
	longest = 10 * time.Second
)

// endKind says how a searcher ended a run.
type endKind uint8

const (
	endAnswered endKind = iota
	endTimedOut
	endCrashed
	endUnreachable
	endSnapshotGone
	endCancelled
)

// fakeSearcher is a searcher at its interface: it runs what it is given, even above its limits, and
// keeps count.
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

	order    []*fakeRun // in flight, in order of arrival
	active   int
	answered int // answers since it was cold
	tokens   float64
	tokensAt time.Time

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

// turnCold empties the caches of the searcher.
func (s *fakeSearcher) turnCold() {
	s.answered = 0
	s.tokens, s.tokensAt = coldBurst, s.w.now
}

// takeToken counts a start against what the searcher bears while it is not warm.
func (s *fakeSearcher) takeToken() (over float64) {
	warmth := s.warmth()
	if warmth >= 1 {
		return 0
	}

	full := float64(s.up.slots) / s.up.service.Seconds()
	limit := coldLimit + warmth*(full-coldLimit)
	s.tokens = math.Min(coldBurst, s.tokens+limit*s.w.now.Sub(s.tokensAt).Seconds())
	s.tokensAt = s.w.now
	s.tokens--

	return math.Max(0, -s.tokens)
}

// start takes a run. done is called when the searcher's answer leaves it, or its connection breaks.
func (s *fakeSearcher) start(r *fakeRun) {
	if !s.alive {
		r.done(endUnreachable)
		return
	}
	if !s.holds(r.snapshot) {
		r.done(endSnapshotGone)
		return
	}

	s.order = append(s.order, r)
	s.w.seen.start(s, r)
	if over := s.takeToken(); over > 0 {
		s.w.seen.coldOvershoot = math.Max(s.w.seen.coldOvershoot, over)
		s.w.seen.fellOver++
		s.crash()
		return
	}

	s.next()
}

// anySnapshot is the snapshot of a run whose sender does not care.
const anySnapshot ident.SnapshotID = 0

func (s *fakeSearcher) holds(id ident.SnapshotID) bool {
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

// next executes runs while there are free slots.
func (s *fakeSearcher) next() {
	for _, r := range s.order {
		if s.active >= s.up.slots {
			return
		}
		if !r.executing {
			s.execute(r)
		}
	}
}

func (s *fakeSearcher) execute(r *fakeRun) {
	r.executing = true
	s.active++
	if s.w.crashing[r.fingerprint] {
		s.w.after(crashAfter, func() {
			if !r.ended {
				s.w.seen.crashed++
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

// end takes a run out of flight and reports it.
func (s *fakeSearcher) end(r *fakeRun, kind endKind) {
	for i, other := range s.order {
		if other == r {
			s.order = append(s.order[:i], s.order[i+1:]...)
			break
		}
	}
	if r.executing {
		s.active--
	}
	r.ended = true
	r.done(kind)
	s.next()
}

func (s *fakeSearcher) cancel(r *fakeRun) {
	if !r.ended {
		s.end(r, endCancelled)
	}
}

// crash ends every run without an answer. The searcher comes back cold with a new incarnation.
func (s *fakeSearcher) crash() {
	s.stop()
	s.w.after(restartTime, s.restart)
}

func (s *fakeSearcher) stop() {
	if !s.alive {
		return
	}
	s.alive = false
	runs := s.order
	s.order, s.active = nil, 0
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
	s.w.changed(renewal + commitTime)
}

// announce tells the owner about the searcher. The searcher never says that it is cold: the gate has
// to see it.
func (s *fakeSearcher) announce() {
	if !s.alive || s.owner == nil {
		return
	}
	a := searcher.Announcement{
		Incarnation: s.incarnation, Slots: s.up.slots, Connections: s.up.connections, Leaving: s.leaving,
	}
	s.w.after(linkLatency, func() { s.owner.announced(s, a) })
}

// heartbeat announces the searcher every second.
func (s *fakeSearcher) heartbeat() {
	s.announce()
	s.w.after(time.Second, s.heartbeat)
}
