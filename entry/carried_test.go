package entry

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fulmarfall/configuration"
	"fulmarfall/ident"
	"fulmarfall/query"
)

// idCodec sends and receives lines of the request's ID and another word. As on the users' platform, all attempts share the ID, and
// responses with other IDs are skipped.
type idCodec struct{ benchCodec }

func (idCodec) AppendRequest(b []byte, r *Request, a *Attempt) []byte {
	return fmt.Appendf(b, "%s %s\n", r.ID, a.Searcher)
}

func (idCodec) ReadReply(c *Conn, r *Request) (*Reply, error) {
	for range 8 {
		line, err := c.R.ReadString('\n')
		if err != nil {
			return nil, err
		}

		id, status, _ := strings.Cut(strings.TrimSpace(line), " ")
		if id != string(r.ID) {
			continue
		}

		reply := &Reply{Status: 503, NotRun: true, Reusable: c.R.Buffered() == 0}

		switch status {
		case "ran":
			reply.Status, reply.NotRun, reply.Signature = 200, false, "s"
		case "rests":
			reply.RetryAfter = 20 * time.Millisecond
		case "misdirected":
			reply.Status, reply.NotRun, reply.Misdirected = 421, false, true
		}

		return reply, nil
	}

	return nil, errors.New("too many other responses")
}

// scriptedResponse is what a searcher does with the next request that it gets.
type scriptedResponse struct {
	status string
	work   time.Duration
	// The response is sent again after it, while the next request on its connection runs, or after a while.
	again, late, delayed bool
}

// scriptedSearcher responds as it is told and counts how often each request has run.
type scriptedSearcher struct {
	mu     sync.Mutex
	script []scriptedResponse
	runs   map[string]int
	// twice lists the requests of which one connection has carried two attempts.
	twice []string
}

func (s *scriptedSearcher) receive(id string) scriptedResponse {
	s.mu.Lock()
	defer s.mu.Unlock()

	next := scriptedResponse{status: "ran"}
	if len(s.script) > 0 {
		next, s.script = s.script[0], s.script[1:]
	}

	if next.status == "ran" {
		s.runs[id]++
	}

	return next
}

func (s *scriptedSearcher) serve(c net.Conn) {
	var (
		r       = bufio.NewReader(c)
		carried = map[string]bool{}
		copies  string
		wmu     sync.Mutex
	)

	write := func(text string) {
		wmu.Lock()
		defer wmu.Unlock()

		_, _ = c.Write([]byte(text)) // the node may have closed the connection
	}

	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}

		id, _, _ := strings.Cut(line, " ")

		if carried[id] {
			s.mu.Lock()
			s.twice = append(s.twice, id)
			s.mu.Unlock()
		}

		carried[id] = true
		next := s.receive(id)

		write(copies)
		time.Sleep(next.work)

		response := id + " " + next.status + "\n"
		copies = ""

		switch {
		case next.again:
			write(response + response)
		case next.late:
			copies = response
			fallthrough
		default:
			write(response)
		}

		if next.delayed {
			time.AfterFunc(next.work+2*time.Millisecond, func() { write(response) })
		}
	}
}

// sendTo sends a request to a route, whose caller leaves after a while.
func sendTo(n *Node, route, id string, forwarded bool) Result {
	now := time.Now()

	return n.Serve(&Request{
		ID: ident.RequestID(id), Method: "POST", Host: "h", Path: "/" + route + "/x", URI: "/" + route + "/x", Arrived: now,
		Deadline: now.Add(10 * time.Second), Forwarded: forwarded, Disconnected: func() bool { return time.Since(now) > 200*time.Millisecond },
	})
}

// Guards against a copy of the response to an earlier attempt that is taken for the response to a later one: a request that must not be
// repeated runs twice, or is refused as not run although it runs.
func TestCopiesOfResponsesCountOnce(t *testing.T) {
	n := newServingNode(t, 1)
	n.codec = idCodec{}
	n.planner.TuneDirectBudget(1, query.NewBudgetShare(1e6, 1, 1))
	upstreams := 0

	responses := rapid.Custom(func(t *rapid.T) scriptedResponse {
		return scriptedResponse{
			status: rapid.SampledFrom([]string{"rejected", "rejected", "rests", "misdirected", "ran"}).Draw(t, "status"),
			work:   time.Duration(rapid.IntRange(0, 4).Draw(t, "work")) * time.Millisecond,
			again:  rapid.Bool().Draw(t, "again"), late: rapid.Bool().Draw(t, "late"), delayed: rapid.Bool().Draw(t, "delayed"),
		}
	})

	rapid.Check(t, func(rt *rapid.T) {
		s := &scriptedSearcher{script: rapid.SliceOfN(responses, 1, 6).Draw(rt, "responses"), runs: map[string]int{}}
		callers, requests := rapid.IntRange(1, 3).Draw(rt, "callers"), rapid.IntRange(1, 2).Draw(rt, "requests")

		upstreams++
		name := fmt.Sprintf("u%d", upstreams)
		addRoute(n, name, startSearcher(t, s.serve), false)
		changeConfiguration(n, func(cfg *configuration.Configuration) {
			r := &cfg.Routes[len(cfg.Routes)-1]
			r.Timeout, r.MaxAttempts = 10*time.Second, 0
		})
		n.pools.get(ident.SearcherID(name)).setShare(rapid.IntRange(1, 3).Draw(rt, "connections"))

		var (
			wg      sync.WaitGroup
			mu      sync.Mutex
			results = map[string]Result{}
		)

		for i := range callers {
			wg.Go(func() {
				for j := range requests {
					id := fmt.Sprintf("%s-%d-%d", name, i, j)
					res := sendTo(n, name, id, false)

					if refused, ok := res.(*Refused); ok && refused.Kind == RefusedNotRun {
						res = sendTo(n, name, id, true) // an entry VM that reaches no searcher may forward it here again
					}

					mu.Lock()
					results[id] = res
					mu.Unlock()
				}
			})
		}

		wg.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()

		if len(s.twice) > 0 {
			rt.Errorf("connections have carried two attempts of %v", s.twice)
		}

		for id, res := range results {
			refused, _ := res.(*Refused)

			switch runs := s.runs[id]; {
			case runs > 1:
				rt.Errorf("%s has run %d times", id, runs)
			case runs > 0 && refused != nil && refused.Kind == RefusedNotRun:
				rt.Errorf("%s is refused as not run (%s) and has run", id, refused.Reason)
			case runs == 0 && refused == nil:
				rt.Errorf("%s has not run and is answered", id)
			}
		}
	})
}

// Guards against a connection that carries two attempts of one request because others are in use, against one beyond the pool's limit,
// and against connections that are never used again.
func TestConnectionForFurtherAttempt(t *testing.T) {
	now := time.Now()

	for name, tc := range map[string]struct {
		// carried is, for each idle connection, the request that it has carried; the last one was used last.
		carried  []requestKey
		deadline time.Duration // of these requests, from now
		share    int
		want     int // the index of the connection, -1 for a new one
		wantIdle int
	}{
		"used last":                {carried: []requestKey{2, 3}, deadline: time.Second, share: 3, want: 1, wantIdle: 1},
		"carried the request":      {carried: []requestKey{2, 1}, deadline: time.Second, share: 3, want: 0, wantIdle: 1},
		"all have carried it":      {carried: []requestKey{1, 1}, deadline: time.Second, share: 3, want: -1, wantIdle: 2},
		"all, at the limit":        {carried: []requestKey{1, 1}, deadline: time.Second, share: 2, want: -1, wantIdle: 1},
		"all, a single one":        {carried: []requestKey{1}, deadline: time.Second, share: 1, want: -1, wantIdle: 0},
		"cannot be sent any more":  {carried: []requestKey{1}, deadline: -2 * carriedMargin, share: 1, want: 0, wantIdle: 0},
		"deadline has just passed": {carried: []requestKey{1}, deadline: -carriedMargin / 2, share: 1, want: -1, wantIdle: 0},
	} {
		t.Run(name, func(t *testing.T) {
			n := newServingNode(t, 1)
			addRoute(n, "s", startSearcher(t, func(net.Conn) {}), false)

			p := n.pools.get("s")
			p.setShare(tc.share)

			var conns []*Conn

			for _, key := range tc.carried {
				c, err := p.dial(time.Second)
				if err != nil {
					t.Fatalf("dial: %v", err)
				}

				c.recordCarried(now, key, now.Add(tc.deadline))
				c.hasAnswered, c.usedAt = true, now
				conns = append(conns, c)
				p.idle = append(p.idle, c)
			}

			c, f := p.acquire(&attempt{send: &query.Send{Deadline: now.Add(time.Minute)}, key: 1})
			if f != failureNone {
				t.Fatalf("no connection: %v", f)
			}

			got := -1

			for i := range conns {
				if conns[i] == c {
					got = i
				}
			}

			if diff := cmp.Diff([]int{tc.want, tc.wantIdle}, []int{got, len(p.idle)}); diff != "" {
				t.Errorf("connection and number of idle ones differ (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against memory that grows with the requests that a connection has ever carried, and against one that is forgotten while it may
// be sent again.
func TestCarriedRequestsAreForgotten(t *testing.T) {
	began := time.Now()

	for name, tc := range map[string]struct {
		lifetime, requests int // lifetime is how many later requests are sent before the deadline of one
		wantMost           int
		wantUsable         bool
	}{
		"near deadlines": {lifetime: 100, requests: 10_000, wantMost: 400, wantUsable: true},
		"far deadlines":  {lifetime: 10 * maxCarried, requests: maxCarried, wantMost: 2 * maxCarried},
	} {
		t.Run(name, func(t *testing.T) {
			c := &Conn{openedAt: began}
			now := began

			for i := range tc.requests {
				now = began.Add(time.Duration(i) * carriedMargin)
				c.recordCarried(now, requestKey(i), now.Add(time.Duration(tc.lifetime-1)*carriedMargin))

				if !c.mayHaveCarried(now, requestKey(max(i-tc.lifetime, 0))) {
					t.Fatalf("request %d is forgotten before its deadline", max(i-tc.lifetime, 0))
				}
			}

			if got := cap(c.carried); got > tc.wantMost {
				t.Errorf("room for %d requests, want at most %d", got, tc.wantMost)
			}

			if got := !c.mayHaveCarried(now, requestKey(tc.requests)); got != tc.wantUsable {
				t.Errorf("usable for another request: %v, want %v", got, tc.wantUsable)
			}
		})
	}
}
