package rollout

import (
	"errors"
	"testing"
	"time"

	"fulmarfall/ident"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func orderOf(target ident.SoftwareVersion) Order {
	return Order{ID: 1, Upstream: "s", Target: target, Current: []ident.SoftwareVersion{"v1", "v0", "v1"}, Within: 12 * time.Second}
}

// Guards against a repeated order that starts again or is refused, and against a second order beside a running one.
func TestOrders(t *testing.T) {
	now := time.Unix(1796000000, 0)

	for name, tc := range map[string]struct {
		steps  []Stage // after the first order
		target ident.SoftwareVersion
		within time.Duration
		after  time.Duration
		want   Status
	}{
		"same order while it runs":       {target: "v2", want: StatusRepeated},
		"other version while it runs":    {target: "v3", want: StatusConflict},
		"other time while it runs":       {target: "v2", within: 5 * time.Second, want: StatusConflict},
		"same order, rolled back":        {steps: []Stage{StageRolledBack}, target: "v2", after: 9 * time.Second, want: StatusRepeated},
		"same order, rolled back before": {steps: []Stage{StageRolledBack}, target: "v2", after: time.Minute, want: StatusOrdered},
		"same order, completed before":   {steps: []Stage{StageAll, StageCompleted}, target: "v2", after: time.Hour, want: StatusRepeated},
		"other version, completed":       {steps: []Stage{StageAll, StageCompleted}, target: "v1", want: StatusOrdered},
		"other version, rolled back":     {steps: []Stage{StageRolledBack}, target: "v3", want: StatusOrdered},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			if got := table.Add(now, orderOf("v2")); got != StatusOrdered {
				t.Fatalf("first order: %d", got)
			}

			for _, s := range tc.steps {
				if !table.Advance("s", 1, Step{Stage: s}) {
					t.Fatalf("stage %v not taken", s)
				}
			}

			o := orderOf(tc.target)
			o.ID = 2

			if tc.within > 0 {
				o.Within = tc.within
			}

			if got := table.Add(now.Add(tc.after), o); got != tc.want {
				t.Errorf("status %d, want %d", got, tc.want)
			}

			if stored, _ := table.Get("s"); (stored.ID == 2) != (tc.want == StatusOrdered) {
				t.Errorf("stored order is %d", stored.ID)
			}
		})
	}
}

// Guards against an order whose decision is undone, or that is completed before all requests have moved.
func TestAdvanceNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		table.Add(time.Unix(0, 0), orderOf("v2"))

		last := StageBegin

		for _, s := range rapid.SliceOfN(rapid.Uint8Range(0, 8), 0, 20).Draw(t, "stages") {
			id := OrderID(rapid.Uint64Range(1, 2).Draw(t, "order"))
			moved := table.Advance("s", id, Step{Stage: Stage(s)})
			o, _ := table.Get("s")

			if moved != (o.Stage != last) || o.Stage < last || !last.Running() && moved || o.Stage == StageCompleted && moved && last != StageAll || id != 1 && moved {
				t.Fatalf("stage %v after %v, moved %v", o.Stage, last, moved)
			}

			last = o.Stage
		}
	})
}

// Guards against orders that no state can hold.
func TestCheck(t *testing.T) {
	for name, change := range map[string]func(*Order){
		"no service": func(o *Order) { o.Upstream = "" }, "no version": func(o *Order) { o.Target = "" },
		"no time": func(o *Order) { o.Within = 0 }, "negative time": func(o *Order) { o.Within = -1 },
		"two days": func(o *Order) { o.Within = 48 * time.Hour },
	} {
		o := orderOf("v2")
		if err := o.Check(); err != nil {
			t.Fatalf("valid order: %v", err)
		}

		change(&o)

		if err := o.Check(); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// Guards against traffic to a version that appears beside the current one or was rolled back, and against traffic that is held
// back from new searchers in a release that replaces searchers one by one.
func TestCurrentVersions(t *testing.T) {
	running, done, back := orderOf("v2"), orderOf("v2"), orderOf("v2")
	running.Current, done.Current, back.Current = []ident.SoftwareVersion{"v1"}, []ident.SoftwareVersion{"v1"}, []ident.SoftwareVersion{"v1"}
	running.Stage, done.Stage, back.Stage = StageLoad, StageCompleted, StageRolledBack
	v := func(list ...ident.SoftwareVersion) []ident.SoftwareVersion { return list }

	for name, tc := range map[string]struct {
		order    *Order
		list     []Announced
		replaced bool
		want     []ident.SoftwareVersion
		replaces bool
	}{
		"one version":                 {list: []Announced{{Version: "v1", Born: 5}, {Version: "v1", Born: 3}}, want: v("v1")},
		"second one appears":          {list: []Announced{{Version: "v1", Born: 5}, {Version: "v2", Born: 9}}, want: v("v1")},
		"current one drains":          {list: []Announced{{Version: "v1", Born: 5}, {Version: "v1", Born: 4, Leaving: true}, {Version: "v2", Born: 9}}, want: v("v1", "v2"), replaces: true},
		"replacement goes on":         {list: []Announced{{Version: "v1", Born: 5}, {Version: "v2", Born: 9}}, replaced: true, want: v("v1", "v2"), replaces: true},
		"replacement has ended":       {list: []Announced{{Version: "v2", Born: 9}}, replaced: true, want: v("v2")},
		"running":                     {order: &running, list: []Announced{{Version: "v1", Leaving: true}, {Version: "v2"}}, want: v("v1")},
		"completed, old ones remain":  {order: &done, list: []Announced{{Version: "v1"}, {Version: "v2"}}, want: v("v2")},
		"completed, next release":     {order: &done, list: []Announced{{Version: "v2", Leaving: true}, {Version: "v3"}, {Version: "v1"}}, want: v("v2", "v3"), replaces: true},
		"rolled back":                 {order: &back, list: []Announced{{Version: "v1"}, {Version: "v2"}}, want: v("v1")},
		"rolled back, next release":   {order: &back, list: []Announced{{Version: "v1", Leaving: true}, {Version: "v2"}, {Version: "v3"}}, want: v("v1", "v3"), replaces: true},
		"unordered one is added late": {order: &done, list: []Announced{{Version: "v2"}, {Version: "v3"}}, want: v("v2")},
	} {
		t.Run(name, func(t *testing.T) {
			got, replaces := CurrentVersions(tc.order, tc.list, tc.replaced)
			if diff := cmp.Diff(tc.want, got); diff != "" || replaces != tc.replaces {
				t.Errorf("versions differ (-want +got):\n%s\nreplaced: %v, want %v", diff, replaces, tc.replaces)
			}
		})
	}
}

// Guards against more requests to a new version than the canary share and the slack allow, summed over all entry VMs, in
// whatever order requests, restarts, the arrival of the order and of grants, divided networks and unsent canaries come.
func TestExposureIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			limits   = Limits{Enabled: true, CanaryShare: rapid.Float64Range(0.01, 0.5).Draw(t, "share"), CanarySlack: rapid.Float64Range(0, 100).Draw(t, "slack")}
			count    = rapid.SampledFrom([]int{1, 6, 60, 300}).Draw(t, "VMs")
			parts    = rapid.IntRange(1, 2).Draw(t, "parts")
			callers  = rapid.IntRange(1, count).Draw(t, "VMs with callers")
			vms      = make([]*Credit, count)
			granted  = make([]bool, count)
			requests = map[int]int{}
			all, new int
		)

		e := NewEvaluator(time.Unix(0, 0), limits, Order{ID: 1, Upstream: "s", Target: "v2", Within: time.Minute, Stage: StageBegin}, 0)

		var grants []Grant

		for range rapid.IntRange(200, 3000).Draw(t, "events") {
			i := rapid.IntRange(0, callers-1).Draw(t, "VM")

			switch event := rapid.IntRange(0, 40).Draw(t, "event"); {
			case vms[i] == nil: // The order arrives. In a divided network, each VM counts those of its part.
				vms[i] = NewCredit(limits, limits.InitialCredit(max(count/parts, 1)))
			case event == 0: // A restart: the VM knows the order from its first contact.
				vms[i], granted[i] = NewCredit(limits, 0), true
			case event == 1 && grants == nil:
				for vm, n := range requests {
					e.Add(time.Unix(0, 0), Report{Source: Source{Node: ident.NodeID(rune('a' + vm)), Incarnation: uint64(vm)}, Order: 1, Cells: Evidence{{}: {Responses: uint32(n)}}})
				}

				grants = e.grants()
			case event == 2 && !granted[i]:
				for _, g := range grants {
					if g.Incarnation == uint64(i) {
						vms[i].Grant(g.Credit)

						granted[i] = true
					}
				}
			default:
				stage := rapid.SampledFrom([]Stage{StageBegin, StageCanary, StageLoad}).Draw(t, "stage")
				take := vms[i].Take(stage, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "route"), rapid.Float64Range(0, 0.999).Draw(t, "random"))

				if take && event == 3 {
					vms[i].Return()

					continue
				}

				vms[i].Sent()

				all++
				requests[i]++

				if take {
					new++
				}
			}

			if limit := limits.CanaryShare*float64(all) + limits.CanarySlack; float64(new) > limit {
				t.Fatalf("%d of %d requests to the new version, at most %v are allowed", new, all, limit)
			}
		}
	})
}

// Guards against an order that is completed while an entry VM may still send to the old version.
func TestCompletionWaits(t *testing.T) {
	began := time.Unix(1796000000, 0)
	report := func(vm ident.NodeID, sequence uint64, s Stage, old int) Report {
		return Report{Source: Source{Node: vm, Incarnation: 1}, Sequence: sequence, Order: 1, Stage: s, OldInFlight: old}
	}

	for name, tc := range map[string]struct {
		reports []Report
		vms     []EntryVM
		took    time.Duration // age of the order when the leader learned of it
		want    time.Duration // until the order is completed
	}{
		"all confirmed":               {reports: []Report{report("a", 2, StageAll, 0), report("b", 2, StageAll, 0)}, vms: []EntryVM{{Node: "a"}, {Node: "b"}}},
		"one has not confirmed":       {reports: []Report{report("a", 2, StageAll, 0), report("b", 2, StageLoad, 0)}, vms: []EntryVM{{Node: "a"}, {Node: "b"}}, want: maxConfirmWait},
		"one has requests":            {reports: []Report{report("a", 2, StageAll, 3)}, vms: []EntryVM{{Node: "a"}}, want: maxConfirmWait},
		"one has never reported":      {reports: []Report{report("a", 2, StageAll, 0)}, vms: []EntryVM{{Node: "a"}, {Node: "c"}}, want: maxConfirmWait},
		"one is out of contact":       {reports: []Report{report("a", 2, StageAll, 0), report("b", 1, StageLoad, 0)}, vms: []EntryVM{{Node: "a"}}, want: ContactBound + contactMargin},
		"one was lost long ago":       {reports: []Report{report("a", 2, StageAll, 0)}, vms: []EntryVM{{Node: "a"}, {Node: "c", Age: 5 * time.Second}}},
		"one has restarted":           {reports: []Report{report("a", 1, StageLoad, 2), {Source: Source{Node: "a", Incarnation: 2}, Sequence: 1, Order: 1, Stage: StageAll}}, vms: []EntryVM{{Node: "a"}}},
		"leader has changed meantime": {took: 7 * time.Second, reports: []Report{report("a", 2, StageAll, 0)}, vms: []EntryVM{{Node: "a"}}, want: ContactBound + contactMargin},
	} {
		t.Run(name, func(t *testing.T) {
			o := orderOf("v2")
			o.Within, o.Stage = time.Minute, StageAll
			e := NewEvaluator(began, Limits{Enabled: true}, o, tc.took)
			e.SetOrder(began, o)

			for _, r := range tc.reports {
				e.Add(began, r)
			}

			for d := time.Duration(0); d < 5*time.Second; d += 100 * time.Millisecond {
				if s, ok := e.Decide(began.Add(d), tc.vms); ok {
					if s.Stage != StageCompleted || d != tc.want {
						t.Errorf("%v after %v (%s), want completed after %v", s.Stage, d, s.Reason, tc.want)
					}

					return
				}
			}

			t.Error("not completed within 5 s")
		})
	}
}

// Guards against an entry VM without contact that uses a version that may have been stopped.
func TestMayBeStopped(t *testing.T) {
	o := orderOf("v2")
	o.Stage = StageCanary

	for name, tc := range map[string]struct {
		noContact, known time.Duration
		want             bool
	}{
		"in contact":                    {noContact: time.Second, known: 8 * time.Second},
		"too early to be completed":     {noContact: 3 * time.Second, known: 5 * time.Second},
		"may be completed":              {noContact: 3 * time.Second, known: 9 * time.Second, want: true},
		"the order has ended":           {noContact: 8 * time.Second, known: 14 * time.Second},
		"lost just before stage all":    {noContact: 2 * time.Second, known: 7 * time.Second, want: true},
		"regained contact, late":        {noContact: 0, known: 11 * time.Second},
		"suspended for the whole order": {noContact: 11 * time.Second, known: 12 * time.Second, want: true},
	} {
		if got := o.MayBeStopped(tc.noContact, tc.known); got != tc.want {
			t.Errorf("%s: %v, want %v", name, got, tc.want)
		}
	}
}

// Guards against credits that together exceed the slack, if all entry VMs of a divided network use all of them.
func TestCreditsAddUpToSlack(t *testing.T) {
	for _, slack := range []float64{0, 50, 1000} {
		for _, n := range []int{2, 6, 60, 300} {
			limits := Limits{Enabled: true, CanarySlack: slack}
			e := NewEvaluator(time.Unix(0, 0), limits, Order{ID: 1, Within: time.Minute, Stage: StageBegin}, 0)

			for i := range n {
				e.Add(time.Unix(0, 0), Report{Source: Source{Node: "n", Incarnation: uint64(i)}, Order: 1, Cells: Evidence{{}: {Responses: uint32(i + 1)}}})
			}

			sum := float64(n) * limits.InitialCredit(n/2)
			for _, g := range e.grants() {
				sum += g.Credit
			}

			if sum > slack {
				t.Errorf("%d entry VMs have a credit of %v, at most %v are allowed", n, sum, slack)
			}
		}
	}
}
