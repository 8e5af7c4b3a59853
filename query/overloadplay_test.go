package query

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
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
	playStart   = 6 * time.Second // after the grace period of admission
	playEnd     = 18 * time.Second
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
	dead    bool
}

// overloadPlay plays the requests of teams at several nodes, and the searchers that serve them, in virtual time.
type overloadPlay struct {
	t         *testing.T
	rnd       *rand.Rand
	now       time.Time
	events    limitEvents
	seq       int
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
	during playCount
	retry  []time.Duration // after the refusals during the overload
}

func newOverloadPlay(t *testing.T, seed uint64, kinds ...playKind) *overloadPlay {
	t.Helper()

	w := &overloadPlay{
		t: t, rnd: rand.New(rand.NewPCG(seed, 3)), now: epoch, searchers: map[ident.SearcherID]*playSearcher{}, kinds: kinds, flood: 1,
		from: 8 * time.Second, until: 13 * time.Second, slowness: 1, byKind: map[string]*playCount{}, byTeam: map[int]*playCount{},
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

func (w *overloadPlay) at(at time.Time, run func()) {
	w.seq++
	heap.Push(&w.events, limitEvent{at: at, seq: w.seq, run: run})
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
	counted  bool
	q        *Query
	sends    int
	finished bool
}

func (w *overloadPlay) request(k playKind, team int) {
	counted := w.now.Sub(epoch) >= playStart && w.overloaded()
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
		Team: ident.TeamID(fmt.Sprintf("team%d", r.team)), Weight: 8 * teamShare(r.team), SpreadRetries: true,
		Deadline: r.first.Add(playTimeout), Target: r.began.Add(r.k.target - 22*time.Millisecond), MinCoverage: 0.9, MaxAttempts: 2, Parts: true,
	}
	if r.w.blind {
		req.Class, req.Team, req.Weight, req.SpreadRetries = ident.ClassNormal, "", 0, false
	}

	u := r.w.search
	if r.k.single {
		u, req.Group, req.MinCoverage = r.w.singles, "t0", 1
	}

	var actions []Action

	r.finished, r.sends = false, 0
	r.q, actions = r.w.planners[r.node].Start(r.w.now, req, fixedCatalog{u})
	r.apply(r.q, actions)
}

func (r *playRequest) apply(q *Query, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *Send:
			r.sends++
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

	if s0.dead && w.overloaded() {
		w.at(sent.Add(2*hop), func() { r.ended(q, node, s, sent, notStarted(s, ident.ReasonUnreachable), ResultNoConnection) })

		return
	}

	w.at(sent.Add(hop), func() {
		done, ok := s0.serve(w, r.k.work)
		if !ok {
			w.at(w.now.Add(hop), func() { r.ended(q, node, s, sent, notStarted(s, ident.ReasonShed), ResultAnswered) })

			return
		}

		w.at(done.Add(hop), func() { r.ended(q, node, s, sent, answer(s), ResultAnswered) })
	})
}

func notStarted(s *Send, reason ident.Reason) ShardReply {
	reply := answer(s)
	reply.Status, reply.Reason, reply.Sent = StatusNotStarted, reason, reason == ident.ReasonShed

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

	for w.events.Len() > 0 {
		e, ok := heap.Pop(&w.events).(limitEvent)
		if !ok || e.at.Sub(epoch) > playEnd {
			return
		}

		w.now = e.at
		e.run()
	}
}

// report logs the served fractions.
func (w *overloadPlay) report(name string) {
	text := ""
	for _, k := range w.kinds {
		if c := w.byKind[k.name]; c != nil {
			text += fmt.Sprintf(" %s %.3f (first %.3f) of %.0f;", k.name, c.fraction(), c.first/max(c.sent, 1), c.sent)
		}
	}

	large, small := w.byTeam[0], playCount{}
	least := 2.0

	for team, c := range w.byTeam {
		if team >= 4 {
			small.sent += c.sent
			small.served += c.served
		}

		if c.sent >= 10 {
			least = min(least, c.fraction())
		}
	}

	w.t.Logf("%s: worth %.3f, served %.3f of %.0f;%s first team %.3f of %.0f, small teams %.3f, least of a team %.3f; %d refused in advance", name,
		w.all.worth/w.all.sent, w.all.fraction(), w.all.sent, text, large.fraction(), large.sent, small.fraction(), least, len(w.retry))
}

func playKinds() []playKind {
	return []playKind{
		{name: "urgent", class: ident.ClassUrgent, work: 32 * time.Millisecond, target: 400 * time.Millisecond, rate: 20, burst: 1},
		{name: "normal", class: ident.ClassNormal, work: 32 * time.Millisecond, target: 400 * time.Millisecond, rate: 60, burst: 1},
		{name: "short", class: ident.ClassNormal, work: 11 * time.Millisecond, target: 150 * time.Millisecond, rate: 30, burst: 1},
		{name: "batch", class: ident.ClassBatch, work: 32 * time.Millisecond, target: 400 * time.Millisecond, rate: 20, burst: 1},
	}
}

func TestOverloadPlayTrial(t *testing.T) {
	for name, prepare := range map[string]func(w *overloadPlay){
		"quiet": func(*overloadPlay) {},

		"burst normal": func(w *overloadPlay) { w.kinds[1].burst = 2.5 },

		"burst all": func(w *overloadPlay) {
			for i := range w.kinds {
				w.kinds[i].burst = 2.2
			}
		},
		"flood": func(w *overloadPlay) { w.flood, w.until = 7.5, 14*time.Second },
		"slow": func(w *overloadPlay) {
			w.slowness, w.until = 10, 16*time.Second
			for _, s := range w.searchers {
				s.slow = w.rnd.Float64() < 0.15
			}
		},
	} {
		for seed := range uint64(3) {
			blind := os.Getenv("BLIND") != ""
			w := newOverloadPlay(t, seed+1, playKinds()...)
			prepare(w)
			w.blind = blind
			w.run()
			w.report(fmt.Sprintf("%s blind=%v", name, blind))
		}
	}
}
