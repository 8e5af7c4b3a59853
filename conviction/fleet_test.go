package conviction

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fulmarfall/ident"
	"fulmarfall/reachability"
)

const (
	fleetFingerprint ident.Fingerprint = 7
	// contactTime is the time after the third crash from which the users count the retries that reach searchers, lateRetries the
	// number that they allow.
	contactTime = 5 * time.Second
	lateRetries = 3
	// crashTime is the time until a searcher that runs a crashing request exits, downTime that until it is back, workTime the time
	// that a harmless request takes, and exchangeInterval the time between two exchanges of a node with a control VM.
	crashTime        = 10 * time.Millisecond
	downTime         = 2500 * time.Millisecond
	workTime         = 250 * time.Millisecond
	exchangeInterval = 250 * time.Millisecond
	// probePeriod and restartWait are those of package entry.
	probePeriod = 3 * time.Second
	restartWait = time.Second
)

// event is something that happens in a fleet.
type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) } //nolint:forcetypeassert // Only events are pushed.
func (e *events) Pop() any     { last := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return last }

// fleet plays the decisions of several nodes about equal requests in virtual time.
type fleet struct {
	t       *rapid.T
	now     time.Time
	queue   events
	order   int
	control *Table
	log     []func(*Table)
	nodes   []*fleetNode
	// harmful is set if the requests crash searchers, attempts is the number of searchers that a request may run on.
	harmful            bool
	attempts, requests int
	// served counts the answers, crashes has the times at which searchers have exited, and late the requests that reached a
	// searcher too late.
	served  int
	crashes []time.Time
	late    map[ident.RequestID]bool
	// failure is the time at which all searchers exit that run a harmless request then, zero if there is none.
	failure time.Time
}

type fleetNode struct {
	evidence *Evidence
	table    *Table
	applied  int
	running  bool
	cuts     []cut
}

// cut is a time in which a node reaches no searcher.
type cut struct{ from, to time.Time }

func (n *fleetNode) linksUp(at time.Time) bool { return n.nextCut(at).from.After(at) }

// nextCut returns the cut at a time, or the next one.
func (n *fleetNode) nextCut(at time.Time) cut {
	for _, c := range n.cuts {
		if c.to.After(at) {
			return c
		}
	}

	return cut{from: at.Add(time.Hour), to: at.Add(time.Hour)}
}

// fleetLoss is a connection that was lost. exitedAt is when its searcher exited, zero if it runs.
type fleetLoss struct {
	exit     Exit
	exitedAt time.Time
}

func newFleet(t *rapid.T, harmful bool) *fleet {
	f := &fleet{
		t: t, now: time.Unix(100000, 0), control: New(), harmful: harmful, attempts: rapid.IntRange(1, 3).Draw(t, "attempts"),
		late: map[ident.RequestID]bool{},
	}

	for range rapid.IntRange(1, 8).Draw(t, "nodes") {
		n := &fleetNode{evidence: NewEvidence(), table: New()}
		f.nodes = append(f.nodes, n)

		var exchange func()

		exchange = func() {
			for _, apply := range f.log[n.applied:] {
				apply(n.table)
			}

			n.applied = len(f.log)
			n.evidence.ObserveSuspects(f.now, n.table)
			f.after(exchangeInterval, exchange)
		}
		f.after(f.delay("exchange", 1, 250), exchange)
	}

	return f
}

// cutLinks makes the links of a node fail several times from now on.
func (f *fleet) cutLinks(n *fleetNode) {
	at := f.now

	for range rapid.IntRange(1, 12).Draw(f.t, "cuts") {
		from := at.Add(f.delay("links work", 200, 3000))
		at = from.Add(f.delay("links fail", 20, 2000))
		n.cuts = append(n.cuts, cut{from, at})
	}
}

// delay draws a time in milliseconds.
func (f *fleet) delay(name string, from, to int) time.Duration {
	return time.Duration(rapid.IntRange(from, to).Draw(f.t, name)) * time.Millisecond
}

func (f *fleet) after(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.queue, event{at: f.now.Add(d), order: f.order, do: do})
}

func (f *fleet) runFor(d time.Duration) {
	end := f.now.Add(d)

	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event) //nolint:forcetypeassert // Only events are pushed.
		f.now = e.at
		e.do()
	}

	f.now = end
}

// store applies a command to the control state and, later, to the copies of the nodes.
func (f *fleet) store(apply func(*Table)) {
	now := f.now
	logged := func(t *Table) { t.Expire(now); apply(t) }
	logged(f.control)
	f.log = append(f.log, logged)
}

func (f *fleet) strike(alone bool) {
	now := f.now
	f.store(func(t *Table) { t.Strike(now, fleetFingerprint, alone) })
}

// draw returns one of the nodes.
func (f *fleet) draw() *fleetNode {
	return f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(f.t, "node")]
}

// send passes a request to a node.
func (f *fleet) send(n *fleetNode) {
	f.requests++

	entry, _ := n.table.Lookup(fleetFingerprint)
	r := Request{ID: ident.RequestID(fmt.Sprint(f.requests)), Fingerprint: fleetFingerprint, Began: f.now, Suspect: entry, Trial: NeedsTrial(entry)}

	switch {
	case !n.linksUp(f.now) || entry.State == Convicted || n.evidence.Convicts(f.now, fleetFingerprint) || r.Trial && n.running:
		return
	case !r.Trial:
		f.attempt(n, r, f.attempts, nil, func() {})

		return
	}

	n.running = true

	f.after(f.delay("begin trial", 1, 60), func() {
		trial := Trial{Fingerprint: fleetFingerprint, Token: string(r.ID), Ends: f.now.Add(7 * time.Second)}
		if !f.control.BeginTrial(f.now, trial) {
			n.running = false

			return
		}

		f.attempt(n, r, 1, nil, func() {
			n.running = false

			f.after(f.delay("end trial", 1, 60), func() { f.control.EndTrial(fleetFingerprint, trial.Token) })
		})
	})
}

// attempt sends the request to a searcher, and to the next one if its connection is lost. ended is called when what is known of
// the request has been stored.
func (f *fleet) attempt(n *fleetNode, r Request, attempts int, losses []fleetLoss, ended func()) {
	if attempts == 0 || !n.linksUp(f.now) {
		f.probe(n, r, losses, ended)

		return
	}

	f.requests++
	loss := fleetLoss{exit: Exit{Searcher: ident.SearcherID(fmt.Sprint("s", f.requests)), Opened: f.now}}
	end := f.now.Add(workTime)

	if f.harmful {
		end = f.now.Add(crashTime)
		loss.exitedAt = end
	} else if f.failure.After(f.now) && f.failure.Before(end) {
		loss.exitedAt = f.failure
		end = f.failure
	}

	if c := n.nextCut(f.now); c.from.Before(end) && !f.harmful {
		loss.exitedAt = time.Time{}
		end = c.from
	}

	answered := end.Equal(f.now.Add(workTime)) && !f.harmful

	f.after(end.Sub(f.now), func() {
		loss.exit.Lost = f.now

		if answered {
			f.served++
			f.clear(n, r, ended)

			return
		}

		if f.harmful {
			f.crashes = append(f.crashes, f.now)

			if len(f.crashes) > lateRetries && r.Began.Sub(f.crashes[lateRetries-1]) > contactTime {
				f.late[r.ID] = true
			}
		}

		f.attempt(n, r, attempts-1, append(losses, loss), ended)
	})
}

// clear records that a request was answered.
func (f *fleet) clear(n *fleetNode, r Request, ended func()) {
	entry, _ := n.table.Lookup(fleetFingerprint)
	if entry.State != Suspect {
		entry = r.Suspect
	}

	n.evidence.Clear(f.now, fleetFingerprint, entry)

	f.after(f.delay("clear", 1, 60), func() {
		if entry.State == Suspect {
			f.store(func(t *Table) { t.Clear(fleetFingerprint, entry.Strikes) })
		}

		ended()
	})
}

// fleetProbe implements reachability.ExitProbe; at is the time of its last step.
type fleetProbe struct {
	f    *fleet
	n    *fleetNode
	loss fleetLoss
	at   time.Time
}

func (p *fleetProbe) Refuses() bool {
	p.at = p.at.Add(p.f.delay("dial", 1, 25))
	down := !p.loss.exitedAt.IsZero() && p.at.Before(p.loss.exitedAt.Add(downTime))

	return down || !p.n.linksUp(p.at)
}

func (p *fleetProbe) OthersAccept() bool {
	began := p.at
	p.at = p.at.Add(p.f.delay("dial others", 20, 45))

	return p.n.linksUp(began) && p.n.linksUp(p.at)
}

func (p *fleetProbe) Restarted() bool {
	known := p.loss.exitedAt.Add(downTime + 2*exchangeInterval)
	if p.loss.exitedAt.IsZero() || known.After(p.at.Add(restartWait)) {
		p.at = p.at.Add(restartWait)

		return false
	}

	return true
}

// probe finds out which searchers have exited, and records that once it is known of all.
func (f *fleet) probe(n *fleetNode, r Request, losses []fleetLoss, ended func()) {
	var (
		exits []Exit
		done  = f.now
	)

	for _, l := range losses {
		p := &fleetProbe{f: f, n: n, loss: l, at: l.exit.Lost}
		refused := false

		for exit := reachability.ExitUnknown; exit == reachability.ExitUnknown && p.at.Sub(l.exit.Lost) < probePeriod; p.at = p.at.Add(100 * time.Millisecond) {
			if exit, refused = reachability.ProbeExit(p, refused); exit == reachability.Exited {
				exits = append(exits, l.exit)
			}
		}

		if p.at.After(done) {
			done = p.at
		}
	}

	f.after(done.Sub(f.now), func() { f.record(n, r, exits, ended) })
}

func (f *fleet) record(n *fleetNode, r Request, exits []Exit, ended func()) {
	losses := 0

	for _, x := range exits {
		if n.evidence.RecordExit(f.now, fleetFingerprint, x) {
			losses++
		}
	}

	v := n.evidence.RecordLosses(f.now, r, losses)

	f.after(f.delay("store", 1, 60), func() {
		if v.Convicts {
			f.strike(true)
		}

		if v.Expired {
			f.store(func(t *Table) { t.Clear(fleetFingerprint, r.Suspect.Strikes) })
		}

		for range v.Strikes {
			f.strike(false)

			if e, _ := f.control.Lookup(fleetFingerprint); e.State == Suspect && n.evidence.ConvictStored(f.now, r, e.Strikes) {
				f.strike(true)
			}
		}

		ended()
	})
}

// Guards against a crashing request that reaches searchers in more than three retries later than five seconds after the third
// crash, in whatever numbers and at whatever nodes and times it comes, while the links of some nodes fail.
func TestCrashingRequestInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, true)

		for range rapid.IntRange(1, 12).Draw(t, "waves") {
			if rapid.IntRange(0, 3).Draw(t, "links fail") == 0 {
				f.cutLinks(f.draw())
			}

			for range rapid.IntRange(1, 8).Draw(t, "copies") {
				n := f.draw()
				f.after(f.delay("copy", 1, 20), func() { f.send(n) })
			}

			pause := rapid.SampledFrom([]time.Duration{50 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second, 7 * time.Second, 90 * time.Second}).Draw(t, "pause")
			f.runFor(pause + f.delay("pause", 1, 300))
		}

		f.runFor(time.Minute)

		if len(f.late) > lateRetries {
			t.Errorf("%d retries reached searchers later than %v after the third crash, %d crashes in all", len(f.late), contactTime, len(f.crashes))
		}
	})
}

// Guards against a harmless request that is convicted, or not served, after the links of some nodes have failed again and again
// while it ran, and all searchers that ran it have failed once.
func TestHarmlessRequestInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, false)

		for _, n := range f.nodes {
			if rapid.Bool().Draw(t, "links fail") {
				f.cutLinks(n)
			}
		}

		if rapid.Bool().Draw(t, "searchers fail") {
			f.failure = f.now.Add(f.delay("failure", 1, 20000))
		}

		for range rapid.IntRange(10, 150).Draw(t, "requests") {
			f.send(f.draw())
			f.runFor(f.delay("pause", 1, 300))
		}

		f.runFor(time.Minute)

		// One of equal requests may be rejected as long as an earlier one runs alone.
		for range 2 {
			for _, n := range f.nodes {
				f.send(n)
				f.runFor(3 * time.Second)
			}
		}

		f.served = 0

		for _, n := range f.nodes {
			f.send(n)
		}

		f.runFor(3 * time.Second)

		if f.served != len(f.nodes) {
			e, _ := f.control.Lookup(fleetFingerprint)
			t.Errorf("%d of %d nodes serve the request, the control state has %+v", f.served, len(f.nodes), e)
		}
	})
}
