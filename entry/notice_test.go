package entry

import (
	"net"
	"testing"
	"time"

	"fulmarfall/ident"
	"fulmarfall/query"
	"fulmarfall/roster"
)

// noticeCodec reads answers that ask for something.
type noticeCodec struct {
	benchCodec
	leaving, replaced bool
	rest              time.Duration
}

func (c noticeCodec) ReadReply(conn *Conn, r *Request) (*Reply, error) {
	reply, err := c.benchCodec.ReadReply(conn, r)
	if err == nil {
		reply.Leaving, reply.Replaced, reply.Rest = c.leaving, c.replaced, c.rest
	}

	return reply, err
}

// Guards against requests that reach a searcher after it has said in an answer that it is leaving or wants rest, also on
// attempts that were decided before and on kept connections, and against a word of another process at its address.
func TestNoticeStopsAttempts(t *testing.T) {
	for name, tc := range map[string]struct {
		codec  noticeCodec
		second failure
	}{
		"nothing":                     {noticeCodec{}, failureNone},
		"leaving":                     {noticeCodec{leaving: true}, failureLeaving},
		"rest":                        {noticeCodec{rest: time.Minute}, failureResting},
		"another process at its port": {noticeCodec{leaving: true, rest: time.Minute, replaced: true}, failureNone},
	} {
		t.Run(name, func(t *testing.T) {
			n := newServingNode(t, 1)
			n.codec = tc.codec

			for i, want := range []failure{failureNone, tc.second} {
				a := &attempt{send: &query.Send{Searcher: "u0", Deadline: time.Now().Add(5 * time.Second)}}
				if _, got := n.exchange(&Request{ID: "q", URI: "/x"}, a); got != want {
					t.Errorf("attempt %d ended as %q, want %q", i+1, got, want)
				}
			}

			p := n.pools.get("u0")
			if p.lane.Busy() != 0 {
				t.Errorf("%d connections count as in use", p.lane.Busy())
			}
		})
	}
}

// Guards against a process that was paused and sends a request whose time ran out meanwhile.
func TestExpiredAttemptIsNotSent(t *testing.T) {
	n := newServingNode(t, 1)

	for name, tc := range map[string]struct {
		left time.Duration
		want failure
	}{
		"time is left":                 {5 * time.Second, failureNone},
		"it ran out a moment ago":      {-time.Millisecond, failureExpired},
		"it ran out during a pause":    {-30 * time.Second, failureExpired},
		"less than a searcher is told": {minRemaining / 2, failureExpired},
	} {
		t.Run(name, func(t *testing.T) {
			a := &attempt{send: &query.Send{Searcher: "u0", Deadline: time.Now().Add(tc.left)}}
			if got := n.checkBeforeSend(time.Now(), a, n.pools.get("u0")); got != tc.want {
				t.Errorf("%q, want %q", got, tc.want)
			}

			if _, got := n.exchange(&Request{ID: "q", URI: "/x"}, a); got != tc.want {
				t.Errorf("the attempt ended as %q, want %q", got, tc.want)
			}
		})
	}
}

// Guards against a searcher that has started again under its id and whose former address, connections and notices are still
// in use.
func TestNewLifetime(t *testing.T) {
	n := newServingNode(t, 1)
	addRoute(n, "again", "127.0.0.1:9", true)

	old := n.pools.get("again")
	n.planner.Notify(time.Now(), "again", old.instance.Born, query.Notice{Leaving: true})

	addr := searcherThat(t, func(c net.Conn) { serveConn(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx") })

	n.mu.Lock()
	in := old.instance
	in.Address, in.Born, in.Sequence = addr, old.instance.Born+1, 1

	if !n.roster.Heard(time.Now(), in, 0) {
		t.Fatalf("the new lifetime is not taken")
	}

	v := n.view.Load()
	next := &view{configuration: v.configuration, table: v.table, outOfService: v.outOfService}
	next.initUpstreams()
	next.setSearchers(time.Now(), n.roster)
	next.assignShardSets(v)
	n.view.Store(next)
	n.applyShares(time.Now(), next)
	n.mu.Unlock()

	if p := n.pools.get("again"); p == old || p.instance.Address != addr {
		t.Fatalf("connections still go to the former address %s", p.instance.Address)
	}

	a := &attempt{send: &query.Send{Searcher: "again", Deadline: time.Now().Add(5 * time.Second)}}
	if _, f := n.exchange(&Request{ID: "q", URI: "/x"}, a); f != failureNone {
		t.Errorf("an attempt at the new lifetime ended as %q", f)
	}
}

// Guards against a view that does not tell the lifetimes of searchers apart: a notice would hold for the next one, too.
func TestReplicasCarryLifetime(t *testing.T) {
	n := newServingNode(t, 2)
	v := n.view.Load()

	for _, sh := range v.upstream(&v.configuration.Routes[0], "", map[ident.FailureDomain]ident.Region{}).Snapshots[0].Shards {
		for _, r := range sh.Replicas {
			in, ok := n.roster.Lookup(roster.RoleSearcher, roster.InstanceID(r.Searcher))
			if !ok || r.Born != in.Instance.Born || r.Born == 0 {
				t.Errorf("searcher %s has lifetime %d, want %d", r.Searcher, r.Born, in.Instance.Born)
			}
		}
	}
}
