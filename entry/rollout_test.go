package entry

import (
	"testing"
	"time"

	"fulmarfall/configuration"
	"fulmarfall/control"
	"fulmarfall/conviction"
	"fulmarfall/ident"
	"fulmarfall/query"
	"fulmarfall/rollout"
	"fulmarfall/roster"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
)

// rolloutNode returns a node without connections whose view has the given searchers of the upstream "s".
func rolloutNode(now time.Time, order *rollout.Order, searchers ...roster.Instance) *Node {
	n := &Node{
		logger: &log.Logger{Level: log.PanicLevel}, wake: make(chan struct{}, 1), entryVMs: 1,
		planner: query.NewPlanner(query.WithDirectSends(0, 0, time.Second)),
		cfg:     Config{Node: "n1", Incarnation: 1, Regions: map[ident.FailureDomain]ident.Region{"d": "r"}},
	}
	n.state, n.crashes.evidence = control.New(control.WithoutClaims()), conviction.NewEvidence()
	n.rollouts.init(rollout.Limits{Enabled: true, CanaryShare: 0.1, CanarySlack: 100})

	t := roster.NewTable(1)
	for _, in := range searchers {
		in.Role, in.Upstream, in.FailureDomain, in.Address = roster.RoleSearcher, "s", "d", string(in.ID)+":1"
		t.ApplyReport(now, in, 0)
	}

	v := &view{configuration: &configuration.Configuration{}}
	v.initUpstreams()
	v.setSearchers(now, t)

	var orders []rollout.Order
	if order != nil {
		orders = append(orders, *order)
	}

	n.rollouts.recordContact(now)
	n.applyRollouts(now, v, orders)
	n.view.Store(v)

	return n
}

var testRoute = &configuration.Route{Name: "r", Parts: []configuration.WeightedUpstream{{Upstream: "s", Weight: 1}}}

func testOrder(s rollout.Stage) *rollout.Order {
	return &rollout.Order{ID: 1, Upstream: "s", Target: "v2", Current: []ident.SoftwareVersion{"v1"}, Within: 12 * time.Second, Stage: s}
}

// Guards against requests to a version that must get none, and against searchers that are held back although no other is usable.
func TestVersionsOfShard(t *testing.T) {
	old := roster.Instance{ID: "old", Version: "v1", Born: 1, Sequence: 1}
	gone := roster.Instance{ID: "old", Version: "v1", Born: 1, Sequence: 1, State: roster.StateGone}
	leaving := roster.Instance{ID: "older", Version: "v1", Born: 1, Sequence: 1, State: roster.StateLeaving}
	target := roster.Instance{ID: "target", Version: "v2", Born: 2, Sequence: 1}
	third := roster.Instance{ID: "third", Version: "v3", Born: 3, Sequence: 1}
	unknown := roster.Instance{ID: "unknown", Born: 4, Sequence: 1}

	for name, tc := range map[string]struct {
		order     *rollout.Order
		searchers []roster.Instance
		want      []ident.SearcherID
	}{
		"without versions":        {searchers: []roster.Instance{unknown}, want: []ident.SearcherID{"unknown"}},
		"another one appears":     {searchers: []roster.Instance{old, target}, want: []ident.SearcherID{"old"}},
		"replaced one by one":     {searchers: []roster.Instance{old, leaving, target}, want: []ident.SearcherID{"old", "target"}},
		"only the other is left":  {searchers: []roster.Instance{gone, target}, want: []ident.SearcherID{"target"}},
		"canary":                  {order: testOrder(rollout.StageCanary), searchers: []roster.Instance{old, target, third, unknown}, want: []ident.SearcherID{"old"}},
		"canary, old ones gone":   {order: testOrder(rollout.StageCanary), searchers: []roster.Instance{gone, target}, want: []ident.SearcherID{"target"}},
		"all":                     {order: testOrder(rollout.StageAll), searchers: []roster.Instance{old, target}, want: []ident.SearcherID{"target"}},
		"completed":               {order: testOrder(rollout.StageCompleted), searchers: []roster.Instance{old, target, third}, want: []ident.SearcherID{"target"}},
		"rolled back":             {order: testOrder(rollout.StageRolledBack), searchers: []roster.Instance{old, target}, want: []ident.SearcherID{"old"}},
		"rolled back, no current": {order: testOrder(rollout.StageRolledBack), searchers: []roster.Instance{target}, want: []ident.SearcherID{"target"}},
	} {
		t.Run(name, func(t *testing.T) {
			n := rolloutNode(time.Now(), tc.order, tc.searchers...)
			c := &catalog{n: n, route: testRoute, part: "s"}

			if diff := cmp.Diff(tc.want, usable(c.Upstream(""))); diff != "" {
				t.Errorf("usable searchers differ (-want +got):\n%s", diff)
			}
		})
	}
}

func usable(u *query.Upstream) (list []ident.SearcherID) {
	for _, r := range u.Snapshots[0].Shards[0].Replicas {
		if r.Usable {
			list = append(list, r.Searcher)
		}
	}

	return list
}

// Guards against attempts that are sent although their version may no longer be used: the order has moved on, or this VM has
// lost contact, since they were planned.
func TestBeginRollout(t *testing.T) {
	old := roster.Instance{ID: "old", Version: "v1", Born: 1, Sequence: 1}
	target := roster.Instance{ID: "target", Version: "v2", Born: 2, Sequence: 1}

	for name, tc := range map[string]struct {
		stage            rollout.Stage
		noContact, known time.Duration
		canary, fallback bool
		wantOld, wantNew bool
	}{
		"canary":                     {stage: rollout.StageCanary, canary: true, wantOld: true, wantNew: true},
		"not a canary":               {stage: rollout.StageCanary, wantOld: true},
		"canary without contact":     {stage: rollout.StageCanary, noContact: 3 * time.Second, known: 4 * time.Second, canary: true, wantOld: true},
		"may be completed":           {stage: rollout.StageLoad, noContact: 3 * time.Second, known: 9 * time.Second, canary: true},
		"all":                        {stage: rollout.StageAll, wantNew: true},
		"all, no new one usable":     {stage: rollout.StageAll, fallback: true, wantOld: true, wantNew: true},
		"completed":                  {stage: rollout.StageCompleted, wantNew: true},
		"rolled back, late canary":   {stage: rollout.StageRolledBack, canary: true, wantOld: true},
		"rolled back, none is usual": {stage: rollout.StageRolledBack, fallback: true, wantOld: true, wantNew: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			n := rolloutNode(now.Add(-tc.known), testOrder(tc.stage), old, target)
			n.rollouts.recordContact(now.Add(-tc.noContact))

			for id, want := range map[ident.SearcherID]bool{"old": tc.wantOld, "target": tc.wantNew} {
				in := n.view.Load().byID[id]
				a := &attempt{send: &query.Send{Searcher: id}, rollout: rolloutAttempt{canary: tc.canary && id == "target", fallback: tc.fallback}}

				if got := n.beginRollout(now, a, &in); got != want {
					t.Errorf("attempt at %s is sent: %v, want %v", id, got, want)
				}
			}
		})
	}
}

// Guards against a credit that is lost or used twice, a hedge or retry at the new version, and a confirmation while requests
// are still at the old version.
func TestCanaryOfRequest(t *testing.T) {
	now := time.Now()
	old := roster.Instance{ID: "old", Version: "v1", Born: 1, Sequence: 1}
	target := roster.Instance{ID: "target", Version: "v2", Born: 2, Sequence: 1}
	n := rolloutNode(now, testOrder(rollout.StageLoad), old, target)

	var c *catalog

	for range 20 {
		c = &catalog{n: n, route: testRoute, part: "s"}
		if c.planRollouts(now); len(c.versions) > 0 {
			break
		}
	}

	if diff := cmp.Diff([]ident.SearcherID{"old", "target"}, usable(c.Upstream(""))); diff != "" {
		t.Fatalf("usable searchers of a canary differ (-want +got):\n%s", diff)
	}

	q, actions := n.planner.Start(now, query.Request{
		ID: "q", Upstream: "r/s", Operation: query.OperationSearch, Deadline: now.Add(time.Second), MinCoverage: 1, Parts: true,
	}, c)
	send, ok := actions[0].(*query.Send)

	if !ok || send.Searcher != "target" {
		t.Fatalf("first action is %+v", actions[0])
	}

	a := &attempt{send: send}
	c.planAttempt(a)

	if diff := cmp.Diff([]ident.SearcherID{"old"}, usable(c.Upstream(""))); diff != "" || !a.rollout.canary {
		t.Errorf("canary: %v; searchers for further attempts differ (-want +got):\n%s", a.rollout.canary, diff)
	}

	// A failed canary is tried again at the old version.
	retries := q.Reply(now, query.ShardReply{Request: "q", Attempt: send.Attempt, Shard: send.Shard, Snapshot: send.Snapshot, Status: query.StatusNotStarted, Reason: ident.ReasonLeaving})
	if r, ok := retries[0].(*query.Send); !ok || r.Searcher != "old" {
		t.Errorf("retry is %+v", retries[0])
	}

	in := n.view.Load().byID["old"]
	running := &attempt{send: &query.Send{Searcher: "old"}}

	if !n.beginRollout(now, running, &in) {
		t.Fatal("attempt at the old version is not sent")
	}

	running.maybeSent = true

	n.applyRollouts(now, &view{byID: n.view.Load().byID}, []rollout.Order{*testOrder(rollout.StageAll)})

	if r := n.rolloutReports()[0]; r.Stage != uint8(rollout.StageAll) || r.OldInFlight != 1 {
		t.Errorf("report %+v, want one request at the old version in stage all", r)
	}

	n.endRollout(now.Add(time.Millisecond), running, &Reply{Status: 500}, failureNone)

	if r := n.rolloutReports()[0]; r.OldInFlight != 0 || len(r.Cells) != 1 || r.Cells[0].Failures != 1 || r.Cells[0].New {
		t.Errorf("report %+v, want no request in flight and one failure", r)
	}
}

// Guards against evidence from attempts that say nothing about the searcher's version.
func TestRolloutResponse(t *testing.T) {
	for name, tc := range map[string]struct {
		reply                      *Reply
		failure                    failure
		unsent, cancelled, aborted bool
		counts, failed             bool
	}{
		"answer":             {reply: &Reply{Status: 200, Signature: "s"}, counts: true},
		"client error":       {reply: &Reply{Status: 404}, counts: true},
		"without signature":  {reply: &Reply{Status: 200}, counts: true, failed: true},
		"server error":       {reply: &Reply{Status: 500}, counts: true, failed: true},
		"invalid status":     {reply: &Reply{Status: 99}, counts: true, failed: true},
		"not run":            {reply: &Reply{Status: 503, NotRun: true}},
		"other process":      {reply: &Reply{Status: 421, Misdirected: true}},
		"timeout":            {failure: failureTimeout, counts: true, failed: true},
		"connection lost":    {failure: failureLost, counts: true, failed: true},
		"bad reply":          {failure: failureBadReply, counts: true, failed: true},
		"cancelled":          {failure: failureTimeout, cancelled: true, counts: true},
		"caller gone":        {failure: failureLost, cancelled: true, aborted: true},
		"connection refused": {failure: failureReset},
		"never sent":         {failure: failureFull, unsent: true, cancelled: true},
	} {
		a := &attempt{maybeSent: !tc.unsent, cancelled: tc.cancelled, aborted: tc.aborted}
		if r, counts := a.response(time.Now(), tc.reply, tc.failure); counts != tc.counts || counts && r.Failed != tc.failed {
			t.Errorf("%s: counts %v, failed %v, want %v and %v", name, counts, r.Failed, tc.counts, tc.failed)
		}
	}
}
