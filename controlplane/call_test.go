package controlplane

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/record"
	"fulmarfall/rollout"
	"fulmarfall/roster"
	"fulmarfall/wire"
)

// waitingCall returns a call whose caller waits for the answer.
func waitingCall(p *Plane) *Call { return p.BeginCall(func() bool { return false }) }

// report reports an instance that waits for the answer.
func report(t testing.TB, p *Plane, in roster.Instance) {
	t.Helper()

	if err := p.Report(waitingCall(p), in); err != nil {
		t.Errorf("report %s: %v", in.ID, err)
	}
}

// Guards against a call that counts as waited for although this control VM was paused between the time when it may have been sent
// and now, its caller has left, or its caller has long repeated it elsewhere.
func TestCallerStillWaits(t *testing.T) {
	for name, tc := range map[string]struct {
		sincePause     time.Duration // from the end of a pause to the call; 0 for no pause
		steps          []time.Duration
		disconnected   bool
		wantErr        bool
		wantMaxAge     time.Duration
		pauseAfterRead bool
	}{
		"at once":                  {},
		"just in time":             {steps: []time.Duration{400 * time.Millisecond, 400 * time.Millisecond}},
		"too late":                 {steps: []time.Duration{400 * time.Millisecond, 400 * time.Millisecond, 200 * time.Millisecond}, wantErr: true},
		"caller has left":          {disconnected: true, wantErr: true},
		"paused after it was read": {steps: []time.Duration{4 * time.Second}, wantErr: true, wantMaxAge: 4 * time.Second},
		"short pause after it":     {steps: []time.Duration{minPause}, wantErr: true, wantMaxAge: minPause},
		"read after a pause":       {sincePause: time.Millisecond, wantErr: true, wantMaxAge: 3 * time.Second},
		"read long after a pause":  {sincePause: callerPatience},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1, 0)
			p := &Plane{pauses: newPauseDetector(func() time.Time { return now })}

			if tc.sincePause > 0 {
				now = now.Add(3 * time.Second)
				p.pauses.last()

				for range 10 {
					now = now.Add(tc.sincePause / 10)
					p.pauses.last()
				}
			}

			call := p.BeginCall(func() bool { return tc.disconnected })

			for _, d := range tc.steps {
				now = now.Add(d)
				p.pauses.last()
			}

			if err := call.checkWaiting(); (err != nil) != tc.wantErr || err != nil && !errors.Is(err, ErrAbandoned) {
				t.Errorf("error %v, want one: %v", err, tc.wantErr)
			}

			if diff := cmp.Diff(tc.wantMaxAge, call.maxAge()); diff != "" {
				t.Errorf("greatest age differs (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against an order of an operator that takes effect after a later one was acknowledged: it was held up on its way, between its
// check and its proposal, or on the way to the leader.
func TestLateOrderHasNoEffect(t *testing.T) {
	c := newCluster(t, 3)
	for i, id := range c.ids {
		c.start(id, fmt.Sprint(i), true)
	}

	first, second := c.planes[c.ids[0]], c.planes[c.ids[1]]

	inService := func() (in bool) {
		c.eventually("read failure domain", func(ctx context.Context) error {
			if err := first.readBarrier(ctx); err != nil {
				return err
			}

			first.state.View(func(v control.View) { in = v.Records().InService("arusha") })

			return nil
		})

		return in
	}

	order := func(p *Plane, inService bool) {
		c.eventually("order", func(ctx context.Context) error { return p.SetInService(ctx, waitingCall(p), "arusha", inService) })
	}

	for name, tc := range map[string]struct {
		// before and later are orders that another control VM acknowledges, later while late, which this one has read, is between its
		// check and its proposal.
		before, late bool
		later        []bool
		closesAfter  time.Duration // the caller's connection; 0 if it is closed when the call is read
	}{
		"given up before it is read":        {before: false, late: true},
		"closed a round trip after it":      {before: false, late: true, closesAfter: 30 * time.Millisecond},
		"closed after a retransmission":     {before: true, late: false, closesAfter: 230 * time.Millisecond},
		"followed by its opposite":          {before: true, late: true, later: []bool{false}, closesAfter: time.Minute},
		"repeated and then withdrawn":       {before: false, late: true, later: []bool{true, false}, closesAfter: time.Minute},
		"followed by what is in force":      {before: false, late: true, later: []bool{false}, closesAfter: time.Minute},
		"followed by the same as before it": {before: true, late: false, later: []bool{true}, closesAfter: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			order(second, tc.before)

			began, want, closed := time.Now(), tc.before, false
			call := first.BeginCall(func() bool {
				if closed || time.Since(began) >= tc.closesAfter {
					return true
				}

				for _, want = range tc.later {
					order(second, want)
				}

				closed = true

				return false
			})

			// The order may go on when its caller no longer waits.
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()

			if err := first.SetInService(ctx, call, "arusha", tc.late); !errors.Is(err, ErrAbandoned) {
				t.Errorf("error %v, want %v", err, ErrAbandoned)
			}

			if diff := cmp.Diff(want, inService()); diff != "" {
				t.Errorf("in service differs from the last order that was acknowledged (-want +got):\n%s", diff)
			}
		})
	}

	// Not a case above: an order that another control VM proposes at the leader long after the check.
	order(second, true)

	var stale control.PutRecord

	first.state.View(func(v control.View) {
		r, _ := v.Records().Get(record.KindFailureDomain, "arusha")
		stale = control.PutRecord{
			Kind: r.Kind, Name: r.Name, Schema: r.Schema, Revision: r.Revision + 1, Operation: newOperation(), Spec: []byte(`{"region":"kaskazini","in_service":false}`),
		}
	})
	order(second, true)
	c.eventually("propose a stale order", func(ctx context.Context) error { _, err := first.propose(ctx, stale); return err })

	if !inService() {
		t.Error("an order that was held up on its way to the leader has taken effect")
	}
}

// Guards against an order of a roll-out that is started after a later one, because it was held up on its way to the control VM or from
// there to the leader.
func TestLateRolloutIsNotStarted(t *testing.T) {
	c := newRolloutCluster(t, "stock,desk")
	p := c.planes[c.leader(false)]

	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()

	if err := p.OrderRollout(ctx, p.BeginCall(func() bool { return true }), "desk", "v2", time.Minute); !errors.Is(err, ErrAbandoned) {
		t.Errorf("order of a caller that has left: error %v, want %v", err, ErrAbandoned)
	}

	c.order(c.ids[0], "stock", time.Minute)
	ordered := c.wantStage("stock", rollout.StageBegin, rollout.StageBegin+1)

	if _, err := p.propose(ctx, control.AdvanceRollout{Upstream: "stock", Order: ordered.ID, Stage: rollout.StageRolledBack, Reason: "test"}); err != nil {
		t.Fatalf("end the roll-out: %v", err)
	}

	for name, tc := range map[string]struct {
		service ident.UpstreamID
		latest  rollout.OrderID
		want    bool
	}{
		"later order is stored": {service: "stock", want: false},
		"none is stored":        {service: "desk", want: true},
		"latest is named":       {service: "stock", latest: ordered.ID, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			// A follower passes the proposal to the leader.
			_, err := p.proposeMessage(ctx, control.OrderRollout{Upstream: tc.service, Target: "v3", Within: time.Minute},
				&wire.Propose{Upstream: tc.service, LatestOrder: uint64(tc.latest)})
			if got := err == nil; got != tc.want || err != nil && !errors.Is(err, errSuperseded) {
				t.Errorf("stored %v, error %v, want %v", got, err, tc.want)
			}
		})
	}
}

// Guards against a report that was held up and counts as new: a searcher that has ended since becomes known, or stays in use for longer
// than after its last report.
func TestLateReportIsNotNew(t *testing.T) {
	const pause = 4 * time.Second

	for name, tc := range map[string]struct {
		known        uint64 // the lifetime that is known, 0 for none
		state        roster.State
		paused, left bool
		wantErr      bool
		wantAge      time.Duration
		wantState    roster.State
		wantBorn     uint64
	}{
		"new":                         {wantBorn: 5},
		"new, after a pause":          {paused: true, wantAge: pause, wantBorn: 5},
		"new, sender has left":        {left: true, wantErr: true},
		"later lifetime, sender left": {known: 4, left: true, wantErr: true, wantBorn: 4},
		"known, sender has left":      {known: 5, left: true, wantBorn: 5},
		"leaving, sender has left":    {known: 5, left: true, state: roster.StateLeaving, wantState: roster.StateLeaving, wantBorn: 5},
		"new and leaving":             {left: true, state: roster.StateLeaving, wantState: roster.StateLeaving, wantBorn: 5},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1, 0)
			p := &Plane{logger: &log.Logger{Level: log.PanicLevel}, roster: roster.NewTable(1), pauses: newPauseDetector(func() time.Time { return now })}
			in := roster.Instance{ID: "s1", Role: roster.RoleSearcher, Upstream: "stock", Address: "10.0.0.1:1", Born: tc.known, Sequence: 1}

			if tc.known > 0 {
				report(t, p, in)
			}

			if tc.paused {
				now = now.Add(pause)
			}

			in.Born, in.Sequence, in.State = 5, 2, tc.state
			if err := p.Report(p.BeginCall(func() bool { return tc.left }), in); errors.Is(err, ErrAbandoned) != tc.wantErr {
				t.Errorf("error %v, want one: %v", err, tc.wantErr)
			}

			var born uint64

			p.roster.Each(time.Now(), roster.RoleSearcher, func(in *roster.Instance, age time.Duration) {
				born = in.Born

				if diff := cmp.Diff(tc.wantState, in.State); diff != "" {
					t.Errorf("state differs (-want +got):\n%s", diff)
				}

				if age < tc.wantAge || age > tc.wantAge+pause/2 {
					t.Errorf("age is %v, want %v", age, tc.wantAge)
				}
			})

			if diff := cmp.Diff(tc.wantBorn, born); diff != "" {
				t.Errorf("lifetime differs (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a searcher that is in use although it has announced its end, and against one that is taken out of use by the late
// announcement of an earlier lifetime that does not name it.
func TestEndOfCurrentLifetime(t *testing.T) {
	for name, tc := range map[string]struct {
		state       roster.State
		unknown     bool
		paused      bool
		closesAfter time.Duration // the caller's connection
		restarts    bool          // a new lifetime becomes known while the call is handled
		earlier     bool          // the lifetime has replaced one whose end was not announced
		want        error
		wantState   roster.State
	}{
		"caller waits":                  {closesAfter: time.Minute, wantState: roster.StateGone},
		"caller has left":               {want: ErrAbandoned},
		"closed a round trip after it":  {closesAfter: 30 * time.Millisecond, want: ErrAbandoned},
		"read after a pause":            {closesAfter: time.Minute, paused: true, want: ErrAbandoned},
		"restarts meanwhile":            {closesAfter: time.Minute, restarts: true},
		"earlier one has not ended":     {earlier: true, closesAfter: time.Minute, want: ErrAbandoned},
		"the same, leaving":             {earlier: true, state: roster.StateLeaving, closesAfter: time.Minute, wantState: roster.StateGone},
		"leaving, caller has left":      {state: roster.StateLeaving, wantState: roster.StateGone},
		"gone before, caller has left":  {state: roster.StateGone, wantState: roster.StateGone},
		"not known, although it waits":  {unknown: true, closesAfter: time.Minute, want: ErrUnknownSearcher},
		"leaving, read after a pause":   {state: roster.StateLeaving, paused: true, closesAfter: time.Minute, wantState: roster.StateGone},
		"ready, closed long afterwards": {closesAfter: closeDelay + 200*time.Millisecond, wantState: roster.StateGone},
	} {
		t.Run(name, func(t *testing.T) {
			pausedFor := time.Duration(0)
			p := &Plane{
				logger: &log.Logger{Level: log.PanicLevel}, roster: roster.NewTable(1), state: control.New(),
				pauses: newPauseDetector(func() time.Time { return time.Now().Add(pausedFor) }),
			}
			in := roster.Instance{ID: "s1", Role: roster.RoleSearcher, Upstream: "stock", Address: "10.0.0.1:1", Born: 4, Sequence: 1}

			if tc.earlier {
				report(t, p, in)
			}

			in.Born, in.State = 5, tc.state
			if !tc.unknown {
				report(t, p, in)
			}

			if tc.paused {
				pausedFor = 4 * time.Second
			}

			began := time.Now()
			call := p.BeginCall(func() bool {
				if tc.restarts {
					in.Born, in.State = 6, roster.StateReady
					report(t, p, in)
				}

				return time.Since(began) >= tc.closesAfter
			})

			if err := p.EndCurrentLifetime(context.Background(), call, "s1"); !errors.Is(err, tc.want) {
				t.Errorf("error %v, want %v", err, tc.want)
			}

			r, ok := p.roster.Lookup(roster.RoleSearcher, "s1")
			if diff := cmp.Diff(tc.wantState, r.Instance.State); diff != "" || ok == tc.unknown {
				t.Errorf("known %v, state differs (-want +got):\n%s", ok, diff)
			}
		})
	}
}

// Guards against an end that is acknowledged by a control VM that can tell nobody who knows the searcher, and against one that a control
// VM learns but others that know the searcher don't.
func TestEndOfLifetimeReachesOthers(t *testing.T) {
	c := newCluster(t, 3)
	alone := c.start(c.ids[0], "0", true)

	report(t, alone, roster.Instance{ID: "s1", Role: roster.RoleSearcher, Upstream: "stock", Address: "10.0.0.1:1", Born: 5, Sequence: 1})

	for name, tc := range map[string]struct {
		id   roster.InstanceID
		born uint64
		want error
	}{
		"known":                  {id: "s1", born: 5},
		"earlier than is known":  {id: "s1", born: 4},
		"later than is known":    {id: "s1", born: 6, want: ErrUnknownSearcher},
		"of an unknown searcher": {id: "s2", born: 5, want: ErrUnknownSearcher},
	} {
		t.Run(name, func(t *testing.T) {
			if err := alone.EndLifetime(tc.id, tc.born); !errors.Is(err, tc.want) {
				t.Errorf("error %v, want %v", err, tc.want)
			}
		})
	}

	for i, id := range c.ids[1:] {
		c.start(id, fmt.Sprint(i+1), true)
	}

	// Only the first one has heard of this searcher, and the others learn its end from one that has not.
	in := roster.Instance{ID: "s3", Role: roster.RoleSearcher, Upstream: "stock", Address: "10.0.0.3:1", Born: 5, Sequence: 1}
	c.eventually("end a searcher that is not known", func(context.Context) error { return c.planes[c.ids[1]].EndLifetime("s3", 5) })
	report(t, alone, in)
	c.wantState("s3", roster.StateGone)
}

// Guards against a searcher that is hidden by a report with its id for another upstream, or whose requests go to the address that such a
// report names.
func TestReportForOtherUpstream(t *testing.T) {
	for name, tc := range map[string]struct {
		state        roster.State // of the known searcher
		born         uint64       // in the report, the known one is 5
		fromPeer     bool
		wantErr      bool
		wantUpstream ident.UpstreamID
	}{
		"same lifetime":                  {born: 5, wantErr: true, wantUpstream: "stock"},
		"later lifetime":                 {born: 6, wantErr: true, wantUpstream: "stock"},
		"earlier lifetime":               {born: 4, wantErr: true, wantUpstream: "stock"},
		"searcher is leaving":            {born: 6, state: roster.StateLeaving, wantErr: true, wantUpstream: "stock"},
		"searcher is gone":               {born: 6, state: roster.StateGone, wantUpstream: "desk"},
		"same lifetime, from a peer":     {born: 5, fromPeer: true, wantUpstream: "stock"},
		"later lifetime, from a peer":    {born: 6, fromPeer: true, wantUpstream: "desk"},
		"earlier lifetime, from a peer":  {born: 4, fromPeer: true, wantUpstream: "stock"},
		"gone, same lifetime, from peer": {born: 5, state: roster.StateGone, fromPeer: true, wantUpstream: "stock"},
	} {
		t.Run(name, func(t *testing.T) {
			p := &Plane{logger: &log.Logger{Level: log.PanicLevel}, roster: roster.NewTable(1), pauses: newPauseDetector(time.Now)}
			in := roster.Instance{ID: "s1", Role: roster.RoleSearcher, Upstream: "stock", Address: "10.0.0.1:1", Born: 5, Sequence: 1, State: tc.state}
			report(t, p, in)

			in.Upstream, in.Address, in.Born, in.Sequence, in.State = "desk", "10.0.0.2:1", tc.born, 2, roster.StateReady
			if tc.fromPeer {
				p.merge([]wire.Instance{wire.ToWireInstance(time.Now(), &in, 0)}, nil)
			} else if err := p.Report(waitingCall(p), in); errors.Is(err, ErrOtherUpstream) != tc.wantErr {
				t.Errorf("error %v, want one: %v", err, tc.wantErr)
			}

			r, _ := p.roster.Lookup(roster.RoleSearcher, "s1")
			if diff := cmp.Diff(tc.wantUpstream, r.Instance.Upstream); diff != "" {
				t.Errorf("upstream differs (-want +got):\n%s", diff)
			}
		})
	}
}
