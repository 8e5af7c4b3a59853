package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fulmarfall/ident"
)

const (
	// ContactBound is the time without contact to the control VMs after which an entry VM sends no canaries, and uses no
	// version that may have been stopped. Entry VMs exchange with a control VM each 250 ms; an election takes less than 1 s.
	ContactBound = 2 * time.Second
	// contactMargin is added to it by the leader, for the requests that are in flight then.
	contactMargin = time.Second
	// maxConfirmWait bounds StageAll. It is longer than ContactBound plus contactMargin.
	maxConfirmWait = 3500 * time.Millisecond
	// finalTime and finalShare are the time for StageAll before the deadline and its largest part of the time allowed.
	finalTime  = 4500 * time.Millisecond
	finalShare = 0.4
	// grantAfter and grantShare are when credit is granted: entry VMs learn of the order within 0.5 s, and report 0.25 s later.
	// With less than grantResponses reported, the leader waits up to latestGrant of the time allowed, because some entry VMs
	// with callers may not have reported any. At 15 requests per second, a single VM could otherwise get all of it.
	grantAfter     = time.Second
	grantShare     = 0.1
	grantResponses = 50
	latestGrant    = 0.25
	// loadStart is the part of the time before StageAll after which StageLoad begins.
	loadStart = 0.6
	// lastStart and lastShare are the time before the deadline from which StageAll can no longer be completed.
	lastStart = 2 * time.Second
	lastShare = 0.25
	// decisionMargin is the time before the deadline in which an order is rolled back if it is not completed. A commit across
	// regions takes 30 ms.
	decisionMargin = 250 * time.Millisecond
	// endMargin is the time after the deadline from which an entry VM without contact takes the order as ended.
	endMargin = time.Second
)

// AllStart returns the time after the order at which StageAll can begin at the earliest.
func (o *Order) AllStart() time.Duration {
	return o.Within - min(finalTime, time.Duration(finalShare*float64(o.Within)))
}

func (o *Order) loadStart() time.Duration { return time.Duration(loadStart * float64(o.AllStart())) }

func (o *Order) grantAfter(responses int) time.Duration {
	if responses < grantResponses {
		return time.Duration(latestGrant * float64(o.Within))
	}

	return min(grantAfter, time.Duration(grantShare*float64(o.Within)))
}

// lateStart returns the time after the order from which little evidence suffices for StageAll.
func (o *Order) lateStart() time.Duration { return (o.AllStart() + o.lastStart()) / 2 }

func (o *Order) lastStart() time.Duration {
	return o.Within - min(lastStart, time.Duration(lastShare*float64(o.Within)))
}

// MayBeStopped reports whether the searchers of a version may have been stopped, seen by an entry VM that has had no contact
// for some time and knows the order for another. Such a VM uses neither version.
func (o *Order) MayBeStopped(noContact, known time.Duration) bool {
	return o.Stage.Running() && noContact >= ContactBound && known >= o.AllStart()-ContactBound/4 && known < o.Within+endMargin
}

// Step is a decision about an order.
type Step struct {
	Stage  Stage
	Age    time.Duration // time since the order
	Reason string
	Grants []Grant
}

type sourceState struct {
	report Report
	at     time.Time
}

// Evaluator decides on the steps of one order, at the leader. It is not safe for concurrent use.
type Evaluator struct {
	limits  Limits
	order   Order
	began   time.Time
	age     time.Duration // age of the order at began
	took    bool          // the order was running before this leader knew it
	allAt   time.Time     // zero before StageAll
	sources map[Source]*sourceState
	sum     evidenceSum
}

// NewEvaluator returns an evaluator for an order that has the given age.
func NewEvaluator(now time.Time, l Limits, o Order, age time.Duration) *Evaluator {
	return &Evaluator{
		limits: l, order: o, began: now, age: age, took: age > sliceTime, sources: map[Source]*sourceState{}, sum: newEvidenceSum(now),
	}
}

// SetOrder tells the evaluator the stored state of its order.
func (e *Evaluator) SetOrder(now time.Time, o Order) {
	e.order = o
	if o.Stage == StageAll && e.allAt.IsZero() {
		e.allAt = now
	}
}

// Add adds the report of an entry VM. Repeated and outdated ones are ignored.
func (e *Evaluator) Add(now time.Time, r Report) {
	if r.Order != e.order.ID {
		return
	}

	s := e.sources[r.Source]
	if s == nil {
		s = &sourceState{}
		e.sources[r.Source] = s
	} else if r.Sequence <= s.report.Sequence {
		return
	}

	e.sum.add(r.Cells, s.report.Cells)
	s.report, s.at = r, now
}

// Age returns the time since the order.
func (e *Evaluator) Age(now time.Time) time.Duration { return e.age + now.Sub(e.began) }

// Decide returns the next step, if there is one. vms are the entry VMs that are known.
func (e *Evaluator) Decide(now time.Time, vms []EntryVM) (Step, bool) {
	if !e.order.Stage.Running() {
		return Step{}, false
	}

	age := e.Age(now)
	sliced := e.sum.slice(now)
	step := func(s Stage, format string, args ...any) (Step, bool) {
		return Step{Stage: s, Age: age, Reason: fmt.Sprintf(format, args...)}, true
	}

	if sliced {
		if f, sign := e.sum.badSign(strongSign); sign != "" {
			return step(StageRolledBack, "%s: %s", sign, f.describe())
		}
	}

	if age >= e.order.Within-decisionMargin {
		return step(StageRolledBack, "deadline: not completed within %v, in stage %v: %s", e.order.Within, e.order.Stage, e.Describe())
	}

	switch e.order.Stage {
	case StageBegin:
		if len(e.order.Current) == 0 {
			return step(StageAll, "no other version is announced")
		}

		if grants := e.grants(); age >= e.order.grantAfter(e.responses()) && len(grants) > 0 {
			s, ok := step(StageCanary, "credit granted to %d entry VMs with callers", len(grants))
			s.Grants = grants

			return s, ok
		}

		fallthrough // without reports, the stages go on
	case StageCanary:
		if age >= e.order.loadStart() {
			return step(StageLoad, "no strong sign of a bad version: %s", e.Describe())
		}
	case StageLoad:
		if age >= e.order.lastStart() && !e.sum.suffices(leastEvidence) {
			return step(StageRolledBack, "too little evidence: %s", e.Describe())
		}

		if age >= e.order.AllStart() && e.sum.suffices(fullEvidence) || age >= e.order.lateStart() && e.sum.suffices(leastEvidence) {
			return e.raise(age, step)
		}
	case StageAll:
		return e.complete(now, vms, step)
	default:
	}

	return Step{}, false
}

// responses returns the number of responses of which the leader knows.
func (e *Evaluator) responses() (n int) {
	for _, c := range e.sum.total {
		n += int(c.Responses)
	}

	return n
}

// grants divides credit among the entry VMs with callers by their requests.
func (e *Evaluator) grants() []Grant {
	var (
		list []Grant
		sum  float64
	)

	for src, s := range e.sources {
		n := 0.0
		for _, c := range s.report.Cells {
			n += float64(c.Responses)
		}

		if n > 0 {
			list = append(list, Grant{Source: src, Credit: n})
			sum += n
		}
	}

	slices.SortFunc(list, func(a, b Grant) int {
		return cmp.Or(cmp.Compare(b.Credit, a.Credit), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})

	list = list[:min(len(list), MaxGrants)]
	for i := range list {
		list[i].Credit *= grantedSlack * e.limits.CanarySlack / sum
	}

	return list
}

type stepFunc func(s Stage, format string, args ...any) (Step, bool)

// raise moves the order to StageAll, unless there are signs of a bad version. It waits for more evidence if there is time.
func (e *Evaluator) raise(age time.Duration, step stepFunc) (Step, bool) {
	switch f, sign := e.sum.badSign(weakSign); {
	case sign == "":
		return step(StageAll, "no sign of a bad version: %s", e.Describe())
	case age >= e.order.lateStart():
		return step(StageRolledBack, "%s before stage %v: %s", sign, StageAll, f.describe())
	default:
		return Step{}, false
	}
}

// complete completes the order once no entry VM can have a request in flight at the old version.
func (e *Evaluator) complete(now time.Time, vms []EntryVM, step stepFunc) (Step, bool) {
	if e.allAt.IsZero() {
		e.allAt = now
	}

	waiting, busy := e.unconfirmed(now, vms)

	switch waited := now.Sub(e.allAt); {
	case e.took && now.Sub(e.began) < ContactBound+contactMargin:
		// An entry VM of which this leader does not know may have lost contact only just now.
		return Step{}, false
	case len(waiting) > 0 && waited < maxConfirmWait, busy > 0 && waited < maxConfirmWait:
		return Step{}, false
	default:
		e.sum.endSlice(now)

		if f, sign := e.sum.badSign(finalSign); sign != "" {
			return step(StageRolledBack, "%s in stage %v: %s", sign, StageAll, f.describe())
		}
	}

	if len(waiting) == 0 && busy == 0 {
		return step(StageCompleted, "confirmed by all entry VMs: %s", e.Describe())
	}

	return step(StageCompleted, "not confirmed by %d entry VMs, %d requests at the old version, after %v: %s",
		len(waiting), busy, now.Sub(e.allAt), e.Describe())
}

// unconfirmed returns the entry VMs that may still use the old version, and the requests of the others that are in flight
// there.
func (e *Evaluator) unconfirmed(now time.Time, vms []EntryVM) (waiting []ident.NodeID, busy int) {
	confirmed := map[ident.NodeID]bool{}
	latest := map[ident.NodeID]uint64{}

	for src := range e.sources {
		latest[src.Node] = max(latest[src.Node], src.Incarnation)
	}

	for src, s := range e.sources {
		switch {
		case src.Incarnation < latest[src.Node]: // the process has ended, and its requests with it
		case s.report.Stage >= StageAll:
			confirmed[src.Node] = true
			busy += s.report.OldInFlight
		case now.Sub(s.at) < ContactBound+contactMargin:
			waiting = append(waiting, src.Node)
		}
	}

	for _, vm := range vms {
		if !confirmed[vm.Node] && vm.Age < ContactBound+contactMargin {
			waiting = append(waiting, vm.Node)
		}
	}

	return waiting, busy
}

// Describe returns the evidence so far, for log lines.
func (e *Evaluator) Describe() string {
	f := compare(e.sum.slices, "")

	return f.describe()
}

func (f *findings) describe() string {
	where := "all routes"
	if f.route != "" {
		where = "route " + f.route
	}

	return fmt.Sprintf("%s: new version %d of %d failed, %d of %d slow; old version %d of %d failed, %.3f slow",
		where, f.failures, f.responses, f.slow, f.warm, f.oldFailures, f.oldResponses, f.expectedSlow)
}
