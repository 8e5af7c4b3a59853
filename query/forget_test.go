package query

import (
	"testing"
	"time"

	"fulmarfall/ident"
)

// Guards against a node that refuses searches, or avoids searchers, after its links work again, because of what it
// concluded while they did not.
func TestFailuresOfLinksAreForgotten(t *testing.T) {
	const shards, replicas = 4, 2

	for name, tc := range map[string]struct {
		result AttemptResult
		reply  func(ShardReply) ShardReply
	}{
		"no connection": {ResultNoConnection, func(r ShardReply) ShardReply {
			r.Status, r.Reason, r.Sent = StatusNotStarted, ident.ReasonUnreachable, false

			return r
		}},
		"no connection free": {ResultLost, func(r ShardReply) ShardReply {
			r.Status, r.Reason, r.Sent = StatusNotStarted, ident.ReasonOverloaded, false

			return r
		}},
	} {
		t.Run(name, func(t *testing.T) {
			var (
				p   = newDirectSimulation(t, shards, replicas, 0.2, 100).planner
				c   = fixedCatalog{directCatalog(shards, replicas)}
				now = epoch
			)

			for end := now.Add(admissionGrace + 2*time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
				q, actions := p.Start(now, searchAt(now, 1), c)

				for sends, _ := sendsOf(actions); len(sends) > 0; {
					s := sends[0]
					p.AttemptEnded(now, s.Searcher, now, tc.result)
					more, _ := sendsOf(q.Reply(now, tc.reply(answer(s))))
					sends = append(sends[1:], more...)
				}
			}

			sent := func() (n int) {
				for range 20 {
					q, actions := p.Start(now, searchAt(now, 1), c)
					if sends, _ := sendsOf(actions); len(sends) == shards {
						n++
					}

					q.Abandon(now)
				}

				return n
			}

			if n := sent(); n == 20 {
				t.Fatal("all searches are sent although all attempts have failed")
			}

			p.ForgetFailures()

			if n := sent(); n != 20 {
				t.Errorf("%d of 20 searches are sent after the failures are forgotten, want all", n)
			}
		})
	}
}

// Guards against refusals that do not tell whether another node might reach the searchers.
func TestRefusalNamesUnreachableShards(t *testing.T) {
	for name, tc := range map[string]struct {
		reason ident.Reason
		want   bool
	}{
		"unreachable": {ident.ReasonUnreachable, true},
		"full":        {ident.ReasonOverloaded, false},
		"resting":     {ident.ReasonResting, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newDirectSimulation(t, 2, 1, 0, 0).planner
			q, actions := p.Start(epoch, searchAt(epoch, 1), fixedCatalog{directCatalog(2, 1)})
			sends, finish := sendsOf(actions)

			for ; finish == nil && len(sends) > 0; sends = sends[1:] {
				r := answer(sends[0])
				r.Status, r.Reason, r.Sent = StatusNotStarted, tc.reason, false

				var more []*Send

				more, finish = sendsOf(q.Reply(epoch, r))
				sends = append(sends, more...)
			}

			if finish == nil || finish.Refusal == nil || finish.Refusal.Unreachable != tc.want {
				t.Errorf("finish %+v, want a refusal with unreachable %v", finish, tc.want)
			}
		})
	}
}
