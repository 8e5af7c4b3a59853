package entry

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/configuration"
	"fulmarfall/control"
	"fulmarfall/conviction"
	"fulmarfall/ident"
	"fulmarfall/query"
	"fulmarfall/wire"
)

// resettingSearcher resets each connection as soon as a request has come on it. With ends set it also ends, and is back at the
// same address after a while.
func resettingSearcher(t *testing.T, ends bool) string {
	t.Helper()

	var (
		mu   sync.Mutex
		ln   net.Listener
		over bool
	)

	t.Cleanup(func() {
		mu.Lock()
		defer mu.Unlock()

		over = true
		_ = ln.Close()
	})

	var listen func(addr string) string

	serve := func(own net.Listener, c net.Conn) {
		if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
			return
		}

		if ends {
			_ = own.Close()
		}

		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}

		_ = c.Close()

		if ends {
			time.Sleep(100 * time.Millisecond)
			listen(own.Addr().String())
		}
	}

	listen = func(addr string) string {
		mu.Lock()
		defer mu.Unlock()

		if over {
			return ""
		}

		own, err := net.Listen("tcp", addr)
		if err != nil {
			t.Errorf("listen: %v", err)

			return ""
		}

		ln = own

		go func() {
			for {
				c, err := own.Accept()
				if err != nil {
					return
				}

				go serve(own, c)
			}
		}()

		return own.Addr().String()
	}

	return listen("127.0.0.1:0")
}

// Guards against a request that is never convicted because the searcher that it crashes had not answered on the connection
// before, and against one that is convicted because searchers reset connections that are too many.
func TestCrashOnNewConnectionIsEvidence(t *testing.T) {
	for name, tc := range map[string]struct {
		ends bool
		want query.Standing
	}{
		"the searcher ends":        {true, query.StandingConvicted},
		"it resets the connection": {false, query.StandingNone},
	} {
		t.Run(name, func(t *testing.T) {
			n := newServingNode(t, 1)
			addRoute(n, "r", resettingSearcher(t, tc.ends), true)

			var fp ident.Fingerprint

			for i := range 5 {
				now := time.Now()
				r := &Request{
					ID: ident.RequestID(fmt.Sprintf("q%d", i)), Method: "POST", Host: "h", Path: "/r/x", URI: "/r/x", Arrived: now,
					Deadline: now.Add(700 * time.Millisecond),
				}
				fp = fingerprint(r)
				n.Serve(r)
				time.Sleep(600 * time.Millisecond) // the node passes over a searcher that refuses connections for 0.5 s
			}

			if got, _ := n.standing(time.Now(), fp); got != tc.want {
				t.Errorf("standing %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against the end of a searcher that counts as a connection too many because it had not answered on the connection yet.
func TestAcceptedConnections(t *testing.T) {
	const opening = 24 * time.Millisecond

	now := time.Now()

	for name, tc := range map[string]struct {
		proven bool
		age    time.Duration
		want   bool
	}{
		"just opened":                {false, 0, false},
		"open for a moment":          {false, opening, false},
		"open for longer than a way": {false, opening + resetMargin, true},
		"has served":                 {true, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := &Conn{openedAt: now.Add(-tc.age), openDuration: opening, hasAnswered: tc.proven}
			if got := c.accepted(now); got != tc.want {
				t.Errorf("accepted %v, want %v", got, tc.want)
			}
		})
	}
}

// standingAfterTwo returns the standing of a fingerprint after two requests, a second apart, whose attempts end in the same way.
func standingAfterTwo(t *testing.T, ends []attemptResult) query.Standing {
	t.Helper()

	const fp ident.Fingerprint = 7

	n := newServingNode(t, 1)
	at := time.Now()

	for _, id := range []ident.RequestID{"q1", "q2"} {
		at = at.Add(time.Second)
		s := &activeRequest{n: n, r: &Request{ID: id, Arrived: at}, route: &configuration.Route{}, fingerprint: fp}

		for i, e := range ends {
			e.attempt = ident.AttemptID(i + 1)
			s.attempts = append(s.attempts, &attempt{send: &query.Send{}})
			s.recordResult(e)
		}

		s.detectCrash(at)
	}

	got, _ := n.standing(at, fp)

	return got
}

// Guards against a request that searchers reject, which shows nothing, after it has crashed others: the rejections must not
// acquit it.
func TestRejectionsAcquitNobody(t *testing.T) {
	for name, tc := range map[string]struct {
		reply *Reply
		want  query.Standing
	}{
		"full":             {&Reply{Status: 503, NotRun: true}, query.StandingConvicted},
		"another searcher": {&Reply{Status: 421, Replaced: true}, query.StandingConvicted},
		"run and answered": {&Reply{Status: 200, Signature: "s"}, query.StandingNone},
	} {
		t.Run(name, func(t *testing.T) {
			lost := attemptResult{failure: failureLost}
			rejected := attemptResult{reply: tc.reply}

			if got := standingAfterTwo(t, []attemptResult{lost, lost, rejected, rejected, rejected}); got != tc.want {
				t.Errorf("standing %v, want %v", got, tc.want)
			}
		})
	}
}

// evidenceVM is a control VM that stores evidence, or does not.
type evidenceVM struct {
	id ident.NodeID
	// silent VMs answer no proposal, and others refuse the first ones.
	silent  bool
	refuses int

	mu    sync.Mutex
	index uint64
	state *control.State
}

func newEvidenceVM(t *testing.T) *evidenceVM {
	t.Helper()

	f := &evidenceVM{id: freeAddress(t), state: control.New()}

	listenAs(t, f.id, f.id, f.handle)

	return f
}

func (f *evidenceVM) handle(ctx context.Context, _ ident.NodeID, m wire.Message) wire.Message {
	req, ok := m.(*wire.Propose)
	if !ok {
		return nil
	}

	if f.silent {
		<-ctx.Done()

		return nil
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	if f.refuses > 0 {
		f.refuses--

		return &wire.Proposed{Error: "no leader is known"}
	}

	f.index++

	return &wire.Proposed{OK: true, Result: f.state.Apply(f.index, req.Command)}
}

func (f *evidenceVM) entry(fp ident.Fingerprint) conviction.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()

	e, _ := f.state.Convictions().Lookup(fp)
	e.Last, e.Expires = time.Time{}, time.Time{}

	return e
}

// Guards against evidence that stays at one node, strikes of long ago that count again, and suspicions that outlive an answer.
func TestEvidenceIsShared(t *testing.T) {
	const fp ident.Fingerprint = 7

	now := time.Now()
	fresh := conviction.Entry{Fingerprint: fp, State: conviction.Suspect, Strikes: 2, Last: now}
	old := fresh
	old.Last = now.Add(-time.Hour)

	for name, tc := range map[string]struct {
		known conviction.Entry
		// cleared says that an answer elsewhere has cleared what the request began with.
		cleared bool
		lost    int
		served  bool
		want    conviction.Entry
	}{
		"the first losses":             {lost: 5, want: conviction.Entry{State: conviction.Suspect, Strikes: 2}},
		"one more under a suspect":     {known: fresh, lost: 1, want: conviction.Entry{State: conviction.Convicted, Strikes: 4}},
		"one more after an answer":     {known: fresh, cleared: true, lost: 1, want: conviction.Entry{State: conviction.Suspect, Strikes: 1}},
		"one more, a long time after":  {known: old, lost: 1, want: conviction.Entry{State: conviction.Suspect, Strikes: 1}},
		"an answer to a suspect":       {known: fresh, served: true},
		"losses and an answer":         {known: fresh, lost: 2, served: true},
		"neither answered nor accused": {known: fresh, want: conviction.Entry{State: conviction.Suspect, Strikes: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			vm := newEvidenceVM(t)

			n, stop, err := Start(configFor(t, vm.id), benchCodec{})
			if err != nil {
				t.Fatalf("start: %v", err)
			}

			defer func() { _ = stop() }()

			for range tc.known.Strikes {
				if tc.cleared {
					break
				}

				n.queueEvidence(now, evidence{command: control.AddStrike{Fingerprint: fp}})
			}

			table := conviction.New()
			table.Strike(tc.known.Last, fp, false)

			n.crashes.mu.Lock()
			n.crashes.evidence.ObserveSuspects(now.Add(-time.Second), table)
			n.crashes.mu.Unlock()

			s := &activeRequest{
				n: n, r: &Request{ID: "q", Arrived: now}, route: &configuration.Route{}, fingerprint: fp, suspect: tc.known, lost: tc.lost, answered: tc.served,
			}
			s.detectCrash(now)

			tc.want.Fingerprint = fp

			var diff string

			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if diff = cmp.Diff(tc.want, vm.entry(fp)); diff == "" {
					return
				}
			}

			t.Errorf("evidence differs (-want +got):\n%s", diff)
		})
	}
}

// Guards against a conviction that is forgotten because the nearest control VM is frozen, or because there is no leader, at the
// moment when it is told.
func TestConvictionIsToldUntilStored(t *testing.T) {
	const fp ident.Fingerprint = 7

	for name, prepare := range map[string]func(vms []*evidenceVM){
		"the nearest control VM is frozen": func(vms []*evidenceVM) { vms[0].silent = true },
		"there is no leader for a while":   func(vms []*evidenceVM) { vms[0].refuses, vms[1].refuses = 5, 5 },
		"both":                             func(vms []*evidenceVM) { vms[0].silent, vms[1].refuses = true, 3 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			vms := []*evidenceVM{newEvidenceVM(t), newEvidenceVM(t)}
			prepare(vms)

			n, stop, err := Start(configFor(t, vms[0].id, vms[1].id), benchCodec{})
			if err != nil {
				t.Fatalf("start: %v", err)
			}

			defer func() { _ = stop() }()

			n.queueEvidence(time.Now(), evidence{command: control.AddStrike{Fingerprint: fp, Alone: true}})

			for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if vms[0].entry(fp).State == conviction.Convicted || vms[1].entry(fp).State == conviction.Convicted {
					return
				}
			}

			t.Errorf("no control VM has stored the conviction")
		})
	}
}

// Guards against evidence that fills the memory while the control state is out of reach, and against a conviction that waits
// behind it or is dropped for it.
func TestOutboxIsBounded(t *testing.T) {
	var (
		o       = outbox{wake: make(chan struct{}, 1)}
		dropped int
	)

	put := func(fp ident.Fingerprint, alone bool) {
		if o.enqueue(evidence{command: control.AddStrike{Fingerprint: fp, Alone: alone}}) {
			dropped++
		}
	}

	put(1, true)

	for i := range 2 * maxQueuedEvidence {
		put(ident.Fingerprint(10+i), false)
	}

	put(2, true)
	put(2, true)

	if got := len(o.queue); got != maxQueuedEvidence || dropped != maxQueuedEvidence+2 {
		t.Errorf("%d commands wait and %d were dropped, want %d and %d", got, dropped, maxQueuedEvidence, maxQueuedEvidence+2)
	}

	var got []ident.Fingerprint

	for range 3 {
		e, _ := o.dequeue()
		got = append(got, e.command.(control.AddStrike).Fingerprint)
	}

	// The strikes that made room are the oldest: 10 to 10 + maxQueuedEvidence, and one more for the second conviction.
	if diff := cmp.Diff([]ident.Fingerprint{1, 2, 10 + maxQueuedEvidence + 2}, got); diff != "" {
		t.Errorf("order differs (-want +got):\n%s", diff)
	}
}

// Guards against strikes that are stored after an answer, and convict what was answered: they wait while there is no leader.
func TestAnswerTakesBackStrikes(t *testing.T) {
	const fp ident.Fingerprint = 7

	vm := newEvidenceVM(t)
	vm.refuses = 6 // for 2.35 s

	n, stop, err := Start(configFor(t, vm.id), benchCodec{})
	if err != nil {
		t.Fatalf("start: %v", err)
	}

	defer func() { _ = stop() }()

	now := time.Now()
	suspect := conviction.Entry{Fingerprint: fp, State: conviction.Suspect, Strikes: 2, Last: now.Add(-time.Second)}
	table := conviction.New()
	table.Strike(suspect.Last, fp, false)

	n.crashes.mu.Lock()
	n.crashes.evidence.ObserveSuspects(now.Add(-time.Second), table)
	n.crashes.mu.Unlock()

	judge := func(id ident.RequestID, lost int, served bool) {
		s := &activeRequest{
			n: n, r: &Request{ID: id, Arrived: now}, route: &configuration.Route{}, fingerprint: fp, suspect: suspect, lost: lost, answered: served,
		}
		s.detectCrash(now)
	}

	// The first command is on its way to the control VM; it is refused, and stored once there is a leader.
	judge("q1", 2, false)
	time.Sleep(200 * time.Millisecond)
	judge("q2", 2, false)
	judge("q3", 0, true)

	n.queueEvidence(now, evidence{command: control.AddStrike{Fingerprint: 8}}) // stored last

	for end := time.Now().Add(10 * time.Second); vm.entry(8).Strikes == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("evidence is not stored")
		}
	}

	if got := vm.entry(fp); got.State == conviction.Convicted || got.Strikes > 1 {
		t.Errorf("after an answer the control state holds %+v, want one strike at most", got)
	}

	if got, _ := n.standing(time.Now(), fp); got == query.StandingConvicted {
		t.Errorf("what was answered is convicted here")
	}
}
