package query

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/ident"
)

// waitRequest returns a request to one searcher that may wait.
func waitRequest(id string, woken *[]string) Request {
	return Request{
		ID: ident.RequestID(id), Upstream: "u", Operation: OperationSearch, Deadline: epoch.Add(15 * time.Second), MinCoverage: 1, Parts: true,
		LateAt: epoch.Add(time.Second), Wake: func() { *woken = append(*woken, id) },
	}
}

// fullPlanner returns a planner whose only searcher has rejected a request while another one of this node ran there, with the
// query and the attempt of the latter.
func fullPlanner(t *testing.T, woken *[]string) (p *Planner, u *Upstream, running *runningQuery, rejected *Query) {
	t.Helper()

	p = NewPlanner(WithNode("n0", "d0", "r0"), WithDirectSends(0.2, 8, 10*time.Second))
	u = directCatalog(1, 1)
	q, actions := p.Start(epoch, waitRequest("running", woken), fixedCatalog{u})
	sends, _ := sendsOf(actions)
	running = &runningQuery{q, sends[0]}

	rejected, actions = p.Start(epoch, waitRequest("rejected", woken), fixedCatalog{u})
	sends, _ = sendsOf(actions)
	p.AttemptEnded(epoch, sends[0].Searcher, epoch, ResultAnswered)

	shed := answer(sends[0])
	shed.Status, shed.Reason = StatusNotStarted, ident.ReasonShed

	if actions = rejected.Reply(epoch, shed); len(actions) > 0 {
		t.Fatalf("actions %v after a rejection, want the request to wait", actions)
	}

	return p, u, running, rejected
}

// runningQuery is a query with its only attempt.
type runningQuery struct {
	*Query
	send *Send
}

// Guards against waiting requests that are sent out of order, that are not woken when a searcher has room, or that keep the place
// of the others after they have ended.
func TestWaitingOrder(t *testing.T) {
	var woken []string

	p, u, running, rejected := fullPlanner(t, &woken)

	batch := waitRequest("batch", &woken)
	batch.Class = ident.ClassBatch
	urgent := waitRequest("urgent", &woken)
	late := waitRequest("late", &woken)
	late.LateAt = epoch.Add(50 * time.Millisecond)

	queries := map[string]*Query{"rejected": rejected}

	for _, r := range []Request{batch, late, urgent} {
		q, actions := p.Start(epoch.Add(time.Millisecond), r, fixedCatalog{u})
		if len(actions) > 0 {
			t.Fatalf("actions %v while the searcher is full, want the request to wait", actions)
		}

		queries[string(r.ID)] = q
	}

	rejected.Abandon(epoch.Add(2 * time.Millisecond))

	woken = nil
	now := epoch.Add(100 * time.Millisecond)
	p.AttemptEnded(now, running.send.Searcher, epoch, ResultAnswered)

	if len(woken) != 1 {
		t.Errorf("%v were woken by one free place", woken)
	}

	running.Reply(now, answer(running.send))

	for i := 0; i < len(woken); i++ {
		q, began := queries[woken[i]], now
		sends, _ := sendsOf(q.Tick(now))

		if len(sends) != 1 || sends[0].Retry || sends[0].Essential {
			t.Fatalf("sends %+v, want one first attempt that does not wait for a connection", sends)
		}

		now = now.Add(100 * time.Millisecond)
		p.AttemptEnded(now, sends[0].Searcher, began, ResultAnswered)
		q.Reply(now, answer(sends[0]))
	}

	// All three are as old; the late one goes after the others of its class.
	if diff := cmp.Diff([]string{"urgent", "late", "batch"}, woken); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}

	if n := p.WaitingRequests(); n != 0 {
		t.Errorf("%d requests wait after all have been sent", n)
	}
}

// Guards against requests that wait past their deadline, or without a bound on their number, and against waiting where the
// deadline is short or the node does not support it.
func TestWaitingIsBounded(t *testing.T) {
	var woken []string

	p, u, _, rejected := fullPlanner(t, &woken)

	for range maxWaiting - 1 {
		if _, actions := p.Start(epoch, waitRequest("waiting", &woken), fixedCatalog{u}); len(actions) > 0 {
			t.Fatalf("actions %v, want the request to wait", actions)
		}
	}

	_, actions := p.Start(epoch, waitRequest("one too many", &woken), fixedCatalog{u})
	if _, finish := sendsOf(actions); finish == nil || finish.Refusal == nil || finish.Refusal.Outcome != ident.OutcomeNotRun || finish.Refusal.RetryAfter <= 0 {
		t.Errorf("actions %v, want a refusal with a time to retry", actions)
	}

	at := epoch.Add(15*time.Second - DefaultMargin)
	if _, finish := sendsOf(rejected.Tick(at)); finish == nil || finish.Refusal == nil || finish.Refusal.Outcome != ident.OutcomeNotRun {
		t.Error("a request waits past its deadline")
	}

	for name, change := range map[string]func(*Request){
		"short deadline": func(r *Request) { r.Deadline = epoch.Add(2 * time.Second) },
		"no wake":        func(r *Request) { r.Wake = nil },
	} {
		r := waitRequest(name, &woken)
		change(&r)

		_, actions := p.Start(epoch, r, fixedCatalog{u})
		if sends, _ := sendsOf(actions); len(sends) != 1 || !sends[0].Essential {
			t.Errorf("%s: actions %v, want an attempt", name, actions)
		}
	}
}

// Guards against a request that runs at most once and keeps waiting after its caller has gone.
func TestWaitingExecuteIsAbandoned(t *testing.T) {
	var woken []string

	p, u, _, _ := fullPlanner(t, &woken)
	r := waitRequest("execute", &woken)
	r.Operation, r.Shard = OperationExecute, "s0"

	q, actions := p.Start(epoch, r, fixedCatalog{u})
	if len(actions) > 0 {
		t.Fatalf("actions %v, want the request to wait", actions)
	}

	if _, finish := sendsOf(q.Abandon(epoch)); finish == nil || p.WaitingRequests() != 1 {
		t.Errorf("%d requests wait after one of two was abandoned", p.WaitingRequests())
	}
}

// Guards against second attempts that take the place of waiting requests, and against a request that stays at a searcher that has
// stopped answering because others wait.
func TestNoSecondAttemptsWhileOthersWait(t *testing.T) {
	for name, tc := range map[string]struct {
		waiting, answers bool
		want             int
	}{
		"nobody waits":                     {false, true, 1},
		"others wait":                      {true, true, 0},
		"others wait, nothing is answered": {true, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var woken []string

			p := NewPlanner(WithNode("n0", "d0", "r0"), WithDirectSends(1, 1000, 10*time.Second))
			u := directCatalog(1, 2)
			r := waitRequest("running", &woken)
			r.Target = epoch.Add(900 * time.Millisecond)

			for range minLatencySamples {
				p.latencyOf(epoch, "u").observe(100 * time.Millisecond)
			}

			q, actions := p.Start(epoch, r, fixedCatalog{u})
			sends, _ := sendsOf(actions)

			if tc.answers {
				p.load(sends[0].Searcher).observedAt = epoch.Add(300 * time.Millisecond)
			}

			if tc.waiting {
				for _, s := range u.Snapshots[0].Shards[0].Replicas {
					p.load(s.Searcher).window.fullUntil = epoch.Add(time.Minute)
				}

				if _, actions := p.Start(epoch, waitRequest("waiting", &woken), fixedCatalog{u}); len(actions) > 0 {
					t.Fatalf("actions %v, want the request to wait", actions)
				}
			}

			further := 0

			for at, ok := q.NextTick(); ok && at.Before(epoch.Add(800*time.Millisecond)); at, ok = q.NextTick() {
				sends, _ := sendsOf(q.Tick(at))
				further += len(sends)
			}

			if further != tc.want {
				t.Errorf("%d further attempts, want %d", further, tc.want)
			}
		})
	}
}
