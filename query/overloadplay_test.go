package query

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fulmarfall/ident"
)

// The size of an overloadPlay: 12 entry VMs with callers and 36 shards, as on the users' machines.
const (
	playNodes   = 12
	playShards  = 36
	playCopies  = 3
	playSlots   = 2
	playQueue   = 4 // requests that wait at a searcher; further ones are turned away as not run
	playNear    = time.Millisecond
	playFar     = 12 * time.Millisecond
	playPause   = 250 * time.Millisecond
	playEvery   = 6 * time.Second
	playEnd     = 15 * time.Second
	playTeams   = 74
	playTimeout = 2 * time.Second
)

// playKind is a kind of request: a route for some of the teams.
type playKind struct {
	name   string
	class  ident.Class
	single bool
	work   time.Duration
	target time.Duration
	rate   float64 // per second, of all teams together
	burst  float64 // factor on the rate during the overload
}

// playCount counts requests, and how many of them were served within their target, at the first or the second try.
type playCount struct{ sent, served, first, worth float64 }

func (c playCount) fraction() float64 { return c.served / max(c.sent, 1) }

type playSearcher struct {
	region  int
	offset  time.Duration
	free    [playSlots]time.Time
	waiting []time.Time // when each waiting request starts
	slow    bool
}

// overloadPlay plays the requests of teams at several nodes, and the searchers that serve them, in virtual time.
type overloadPlay struct {
	playLoop

	t         *testing.T
	rnd       *rand.Rand
	planners  []*Planner
	searchers map[ident.SearcherID]*playSearcher
	search    *Upstream
	singles   *Upstream
	kinds     []playKind
	// flood is the factor on the rate of the first team during the overload.
	flood float64
	from  time.Duration
	until time.Duration
	// slowness is the factor on the work of slow searchers during the overload.
	slowness float64
	blind    bool // the nodes know neither classes nor teams

	byKind map[string]*playCount
	byTeam map[int]*playCount
	all    playCount
	retry  []time.Duration // after the refusals during the overload
}

func newOverloadPlay(t *testing.T, seed uint64, kinds ...playKind) *overloadPlay {
	t.Helper()

	w := &overloadPlay{
		playLoop: playLoop{now: epoch}, t: t, rnd: rand.New(rand.NewPCG(seed, 3)), searchers: map[ident.SearcherID]*playSearcher{}, kinds: kinds, flood: 1,
		from: 6 * time.Second, until: 11 * time.Second, slowness: 1, byKind: map[string]*playCount{}, byTeam: map[int]*playCount{},
	}
	w.search, w.singles = w.upstream("s", playShards), w.upstream("t", 1)

	for i := range playNodes {
		region := ident.Region(fmt.Sprintf("r%d", i%playCopies))
		p := NewPlanner(WithNode(ident.NodeID(fmt.Sprintf("n%d", i)), ident.FailureDomain(region), region),
			WithDirectSends(0.17, 8, 10*time.Second), WithMargin(DirectMargin), WithHedgeQuantile(DirectHedgeQuantile),
			WithRandom(rand.NewPCG(w.rnd.Uint64(), 2)))
		p.TuneDirectBudget(0.17, NewBudgetShare(50, 1.0/playNodes, playNodes))
		w.planners = append(w.planners, p)
	}

	return w
}

func (w *overloadPlay) upstream(prefix string, shards int) *Upstream {
	u := &Upstream{Snapshots: []Snapshot{{ID: 1}}}

	for s := range shards {
		shard := Shard{ID: ident.ShardID(fmt.Sprintf("%s%d", prefix, s)), Documents: 1}

		for c := range playCopies {
			id, region := ident.SearcherID(fmt.Sprintf("%s%d-%d", prefix, s, c)), ident.Region(fmt.Sprintf("r%d", c))
			w.searchers[id] = &playSearcher{region: c, offset: time.Duration(w.rnd.Int64N(int64(playEvery)))}
			shard.Replicas = append(shard.Replicas, Replica{
				Searcher: id, FailureDomain: ident.FailureDomain(region), Region: region, Usable: true, Slots: playSlots, Born: 1,
			})
		}

		u.Snapshots[0].Shards = append(u.Snapshots[0].Shards, shard)
	}

	return u
}

func (w *overloadPlay) overloaded() bool {
	since := w.now.Sub(epoch)

	return since >= w.from && since < w.until
}

// teamShare returns the share of a team in the requests of a kind. The first teams are large ones.
func teamShare(team int) float64 {
	switch {
	case team == 0:
		return 0.16
	case team < 4:
		return 0.08
	default:
		return 0.6 / (playTeams - 4)
	}
}

// callers starts the requests of a team and a kind.
func (w *overloadPlay) callers(k playKind, team int) {
	rate := k.rate * teamShare(team)
	peak := rate * max(k.burst, 1) * w.flood

	w.at(w.now.Add(time.Duration(w.rnd.ExpFloat64()/peak*float64(time.Second))), func() {
		now := rate
		if w.overloaded() {
			now *= k.burst
			if team == 0 {
				now *= w.flood
			}
		}

		if w.rnd.Float64()*peak < now {
			w.request(k, team)
		}

		w.callers(k, team)
	})
}

// playRequest is one try of a caller.
type playRequest struct {
	w        *overloadPlay
	node     int
	k        playKind
	team     int
	first    time.Time // when the caller sent it the first time
	began    time.Time
	again    bool
	counted  bool // it was sent while the load was high
	q        *Query
	finished bool
}

func (w *overloadPlay) request(k playKind, team int) {
	counted := w.overloaded()
	if counted {
		w.count(k, team, func(c *playCount) { c.sent++ })
	}

	(&playRequest{w: w, k: k, team: team, first: w.now, counted: counted}).start()
}

func (w *overloadPlay) count(k playKind, team int, add func(*playCount)) {
	if w.byKind[k.name] == nil {
		w.byKind[k.name] = &playCount{}
	}

	if w.byTeam[team] == nil {
		w.byTeam[team] = &playCount{}
	}

	add(w.byKind[k.name])
	add(w.byTeam[team])
	add(&w.all)
}

func (r *playRequest) start() {
	r.node, r.began = r.w.rnd.IntN(playNodes), r.w.now

	req := Request{
		ID: ident.RequestID(fmt.Sprintf("q%d", r.w.seq)), Upstream: ident.UpstreamID(r.k.name), Operation: OperationSearch, Group: "s0", Class: r.k.class,
		Team: ident.TeamID(fmt.Sprintf("team%d", r.team)), Weight: 8 * teamShare(r.team),
		Deadline: r.first.Add(playTimeout), Target: r.began.Add(r.k.target - 22*time.Millisecond), MinCoverage: 0.9, MaxAttempts: 2, Parts: true,
	}
	if r.w.blind {
		req.Class, req.Team, req.Weight = ident.ClassNormal, "", 0
	}

	u := r.w.search
	if r.k.single {
		u, req.Group, req.MinCoverage = r.w.singles, "t0", 1
	}

	var actions []Action

	r.finished = false
	r.q, actions = r.w.planners[r.node].Start(r.w.now, req, fixedCatalog{u})
	r.apply(r.q, actions)
}

func (r *playRequest) apply(q *Query, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *Send:
			r.send(q, a)
		case *Cancel:
		case *Finish:
			r.finish(a)
		}
	}

	if at, ok := q.NextTick(); ok && !r.finished {
		r.w.at(at, func() {
			if q == r.q && !r.finished && !r.w.now.Before(at) {
				r.apply(q, q.Tick(r.w.now))
			}
		})
	}
}

// finish counts the result. A caller that was refused as not run comes back once, after at most a third of its time.
func (r *playRequest) finish(f *Finish) {
	r.finished = true
	w := r.w

	if f.Answer != nil {
		if r.counted && w.now.Sub(r.began) <= r.k.target {
			w.count(r.k, r.team, func(c *playCount) {
				c.served++
				if r.again {
					c.worth += 0.5
				} else {
					c.first++
					c.worth++
				}
			})
		}

		return
	}

	if r.again || f.Refusal.Outcome != ident.OutcomeNotRun || w.now.Sub(r.began) > r.k.target/4 {
		return
	}

	r.again = true
	wait := min(time.Duration(f.Refusal.RetryAfter), r.first.Add(playTimeout).Sub(w.now)/3)

	if r.counted {
		w.retry = append(w.retry, wait)
	}

	w.at(w.now.Add(wait), r.start)
}

// send delivers an attempt to its searcher, which works on it, lets it wait or turns it away, and the answer back.
func (r *playRequest) send(q *Query, s *Send) {
	w, sent, s0 := r.w, r.w.now, r.w.searchers[s.Searcher]
	node := r.node

	hop := playNear
	if s0.region != node%playCopies {
		hop = playFar
	}

	w.at(sent.Add(hop), func() {
		done, ok := s0.serve(w, r.k.work)
		if !ok {
			w.at(w.now.Add(hop), func() { r.ended(q, node, s, sent, turnedAway(s), ResultAnswered) })

			return
		}

		w.at(done.Add(hop), func() { r.ended(q, node, s, sent, answer(s), ResultAnswered) })
	})
}

func turnedAway(s *Send) ShardReply {
	reply := answer(s)
	reply.Status, reply.Reason = StatusNotStarted, ident.ReasonShed

	return reply
}

// serve returns when the searcher has done its work on a request that arrives now, or false if it turns the request away.
func (s *playSearcher) serve(w *overloadPlay, work time.Duration) (time.Time, bool) {
	waiting := s.waiting[:0]
	for _, at := range s.waiting {
		if at.After(w.now) {
			waiting = append(waiting, at)
		}
	}

	s.waiting = waiting
	if len(s.waiting) >= playQueue {
		return time.Time{}, false
	}

	slot := 0
	if s.free[1].Before(s.free[0]) {
		slot = 1
	}

	start := w.now
	if s.free[slot].After(start) {
		start = s.free[slot]
		s.waiting = append(s.waiting, start)
	}

	took := time.Duration((0.5 + w.rnd.ExpFloat64()/2) * float64(work))
	if s.slow && w.overloaded() {
		took = time.Duration(float64(took) * w.slowness)
	}

	done := start.Add(took)
	if into := (done.Sub(epoch) + s.offset) % playEvery; into < playPause {
		done = done.Add(playPause - into)
	}

	s.free[slot] = done

	return done, true
}

func (r *playRequest) ended(q *Query, node int, s *Send, sent time.Time, reply ShardReply, result AttemptResult) {
	r.w.planners[node].AttemptEnded(r.w.now, s.Searcher, sent, result)

	if q == r.q && !r.finished {
		r.apply(q, q.Reply(r.w.now, reply))
	}
}

func (w *overloadPlay) run() {
	for _, k := range w.kinds {
		for team := range playTeams {
			w.callers(k, team)
		}
	}

	w.drain(playEnd)
}

func (c *playCount) add(d *playCount) {
	if d != nil {
		c.sent, c.served, c.first, c.worth = c.sent+d.sent, c.served+d.served, c.first+d.first, c.worth+d.worth
	}
}

// report logs the fractions that were served.
func (w *overloadPlay) report(name string) {
	text := ""

	for _, k := range w.kinds {
		c := &playCount{}
		c.add(w.byKind[k.name])
		text += fmt.Sprintf(" %s %.3f of %.0f;", k.name, c.fraction(), c.sent)
	}

	w.t.Logf("%s: worth %.3f, served %.3f of %.0f;%s first team %.3f of %.0f, small teams %.3f; %d refused to come back", name,
		w.all.worth/w.all.sent, w.all.fraction(), w.all.sent, text, w.byTeam[0].fraction(), w.byTeam[0].sent, w.smallTeams().fraction(), len(w.retry))
}

// smallTeams counts the teams with few requests each.
func (w *overloadPlay) smallTeams() *playCount {
	sum := &playCount{}

	for team, c := range w.byTeam {
		if team >= 4 {
			sum.add(c)
		}
	}

	return sum
}

func playKinds() []playKind {
	const (
		long, longTarget   = 32 * time.Millisecond, 400 * time.Millisecond
		short, shortTarget = 11 * time.Millisecond, 150 * time.Millisecond
	)

	return []playKind{
		{name: "urgent", class: ident.ClassUrgent, work: long, target: longTarget, rate: 20, burst: 1},
		{name: "normal", class: ident.ClassNormal, work: long, target: longTarget, rate: 60, burst: 1},
		{name: "short", class: ident.ClassNormal, work: short, target: shortTarget, rate: 30, burst: 1},
		{name: "batch", class: ident.ClassBatch, work: long, target: longTarget, rate: 20, burst: 1},
	}
}

// singleKinds are requests to one of three searchers, which bear 27 of them a second.
func singleKinds() []playKind {
	const work, target = 220 * time.Millisecond, time.Second

	return []playKind{
		{name: "urgent", class: ident.ClassUrgent, single: true, work: work, target: target, rate: 6, burst: 1},
		{name: "batch", class: ident.ClassBatch, single: true, work: work, target: target, rate: 10, burst: 3},
	}
}

const (
	// A kind may be served less often than a less urgent one by maxInversion, and a team at leastShare of the average.
	maxInversion = 0.05
	leastShare   = 0.25
	// minCounted is the number of requests from which a team is looked at alone; fewer may all be lost by chance.
	minCounted = 20
	// maxFall is by how much fewer requests may be served in all.
	maxFall = 0.03
)

// playOverload plays a load while nodes know classes and teams or, as without groups, while they do not.
func playOverload(t *testing.T, blind bool, kinds func() []playKind, prepare func(*overloadPlay)) *overloadPlay {
	t.Helper()

	w := newOverloadPlay(t, 1, kinds()...)
	prepare(w)
	w.blind = blind
	w.run()

	return w
}

// Guards against urgent requests that are refused while others are served, a team that is hardly served or that takes the place
// of others with several times its usual load, and fewer served requests than without classes and teams. The loads are those of docs/hard-load.md, part 3.
func TestOverloadIsSharedByClassAndTeam(t *testing.T) {
	for name, tc := range map[string]struct {
		kinds   func() []playKind
		prepare func(w *overloadPlay)
		full    bool
		flood   bool
	}{
		"usual load":                         {playKinds, func(*overloadPlay) {}, false, false},
		"2.5 times of one kind, for 5 s":     {playKinds, func(w *overloadPlay) { w.kinds[1].burst = 2.5 }, true, false},
		"2.2 times of all kinds, for 5 s":    {playKinds, burstOfAll(2.2), true, false},
		"one team, 7.5 times, for 6 s":       {playKinds, floodOf(7.5), true, true},
		"15% of the searchers 10 times slow": {playKinds, slowSearchers, true, false},
		"single searcher, 3 times of batch":  {singleKinds, func(*overloadPlay) {}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			before, after := playOverload(t, true, tc.kinds, tc.prepare), playOverload(t, false, tc.kinds, tc.prepare)
			before.report("before")
			after.report("after")

			for i, k := range after.kinds {
				for _, less := range after.kinds[i+1:] {
					served, other := after.byKind[k.name].fraction(), after.byKind[less.name].fraction()
					if k.target == less.target && k.class < less.class && served < other-maxInversion {
						t.Errorf("%s was served %.3f, %s %.3f", k.name, served, less.name, other)
					}
				}
			}

			if most, least := after.byKind["urgent"], after.byKind["batch"]; tc.full && most.fraction() <= least.fraction() {
				t.Errorf("urgent requests were served %.3f, batch %.3f", most.fraction(), least.fraction())
			}

			for team, c := range after.byTeam {
				if c.sent >= minCounted && c.fraction() < leastShare*after.all.fraction() {
					t.Errorf("team %d was served %.3f of %.0f, all %.3f", team, c.fraction(), c.sent, after.all.fraction())
				}
			}

			if others := after.smallTeams(); others.fraction() < leastShare*after.all.fraction() {
				t.Errorf("small teams were served %.3f, all %.3f", others.fraction(), after.all.fraction())
			}

			if after.all.fraction() < before.all.fraction()-maxFall {
				t.Errorf("served %.3f, before %.3f", after.all.fraction(), before.all.fraction())
			}

			if tc.flood && after.byTeam[0].fraction() > after.smallTeams().fraction() {
				t.Errorf("the team with several times its usual load was served %.3f, small teams %.3f", after.byTeam[0].fraction(), after.smallTeams().fraction())
			}
		})
	}
}

func burstOfAll(factor float64) func(*overloadPlay) {
	return func(w *overloadPlay) {
		for i := range w.kinds {
			w.kinds[i].burst = factor
		}
	}
}

func floodOf(factor float64) func(*overloadPlay) {
	return func(w *overloadPlay) { w.flood, w.until = factor, w.from+6*time.Second }
}

func slowSearchers(w *overloadPlay) {
	w.slowness, w.until = 10, w.from+8*time.Second

	for _, id := range slices.Sorted(maps.Keys(w.searchers)) {
		w.searchers[id].slow = w.rnd.Float64() < 0.15
	}
}

// Guards against callers that are told to come back all at once, or later than they can wait: a third of the time that they have.
func TestRetriesAreSpread(t *testing.T) {
	const timeout = 1500 * time.Millisecond

	p := newDirectSimulation(t, 4, 1, 0, 0).planner
	u := directCatalog(4, 1)
	u.Snapshots[0].Shards[1].Replicas[0].Usable = false

	var waits []time.Duration

	for range 200 {
		r := partsRequest(0, 1)
		r.Group, r.Deadline = "g", epoch.Add(timeout)

		_, actions := p.Start(epoch, r, fixedCatalog{u})
		if _, f := sendsOf(actions); f != nil && f.Refusal != nil && f.Refusal.Outcome == ident.OutcomeNotRun {
			waits = append(waits, time.Duration(f.Refusal.RetryAfter))
		}
	}

	if len(waits) != 200 || slices.Max(waits) > timeout/3 || slices.Max(waits)-slices.Min(waits) < timeout/3/3 {
		t.Errorf("%d refusals, times to come back from %v to %v, want 200, at most %v, over a third of that", len(waits), slices.Min(waits), slices.Max(waits), timeout/3)
	}
}

// Guards against a change for deployments without teams whose requests have one class: they are admitted as before, by a draw at
// random.
func TestOneFlowIsAdmittedAsBefore(t *testing.T) {
	a := newDirectSimulation(t, 20, 1, 0, 0).planner
	c := a.admissionOf(epoch, "g")
	c.adjustedAt, c.refusedFraction, c.noReductionBefore = epoch, 0.5, epoch

	want := rand.New(rand.NewPCG(5, 6))
	WithRandom(rand.NewPCG(5, 6))(a)

	for i := range 100 {
		r := partsRequest(0, 1)
		r.Group = "g"

		_, actions := a.Start(epoch, r, fixedCatalog{directCatalog(20, 1)})

		sends, f := sendsOf(actions)
		if admitted := want.Float64() >= 0.5; (len(sends) > 0) != admitted {
			t.Fatalf("request %d admitted: %v, want %v", i, !admitted, admitted)
		} else if !admitted {
			// They are spread over what the caller can wait.
			latest := ident.RetryAfter(RetryFraction * float64(r.Deadline.Sub(epoch)))
			earliest := min(overloadRetryAfter, latest/2)

			if f.Refusal.RetryAfter != earliest+ident.RetryAfter(want.Float64()*float64(latest-earliest)) {
				t.Fatalf("request %d is told to come back after %v", i, time.Duration(f.Refusal.RetryAfter))
			}
		}
	}
}

// Guards against searches that are admitted although all of them are answered after their target: no searcher turns any away.
func TestLateSearchesAreRefused(t *testing.T) {
	const late = 150 * time.Millisecond

	for name, tc := range map[string]struct {
		delay   time.Duration
		refuses bool
	}{
		"in time": {late / 3, false},
		"late":    {late, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newDirectSimulation(t, 4, 1, 0, 0).planner
			c := fixedCatalog{directCatalog(4, 1)}
			refused := 0

			type running struct {
				q     *Query
				sends []*Send
				sent  time.Time
			}

			var queue []running

			for now := epoch; now.Before(epoch.Add(admissionGrace + 2*time.Second)); now = now.Add(10 * time.Millisecond) {
				r := searchAt(now, 1)
				r.Class, r.Group = ident.Classes[now.UnixMilli()/10%2], "g"

				q, actions := p.Start(now, r, c)
				sends, _ := sendsOf(actions)
				queue = append(queue, running{q, sends, now})

				if len(sends) == 0 {
					refused++
				}

				for _, x := range queue {
					if at, ok := x.q.NextTick(); ok && !at.After(now) {
						x.q.Tick(now)
					}
				}

				for len(queue) > 0 && now.Sub(queue[0].sent) >= tc.delay {
					for _, s := range queue[0].sends {
						p.AttemptEnded(now, s.Searcher, queue[0].sent, ResultAnswered)
						queue[0].q.Reply(now, answer(s))
					}

					queue = queue[1:]
				}
			}

			if (refused > 0) != tc.refuses {
				t.Errorf("%d searches refused, want some: %v", refused, tc.refuses)
			}
		})
	}
}
