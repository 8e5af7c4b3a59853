package entry

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"fulmarfall/configuration"
	"fulmarfall/ident"
	"fulmarfall/query"
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
			c := &Conn{opened: now.Add(-tc.age), opening: opening, proven: tc.proven}
			if got := c.accepted(now); got != tc.want {
				t.Errorf("accepted %v, want %v", got, tc.want)
			}
		})
	}
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
			n := newServingNode(t, 1)

			const fp ident.Fingerprint = 7

			for _, id := range []ident.RequestID{"q1", "q2"} {
				s := &serving{n: n, r: &Request{ID: id}, route: &configuration.Route{}, fingerprint: fp}

				for i, e := range []attemptEnd{{failure: failureLost}, {failure: failureLost}, {reply: tc.reply}, {reply: tc.reply}, {reply: tc.reply}} {
					e.attempt = ident.AttemptID(i + 1)
					s.attempts = append(s.attempts, &attempt{send: &query.Send{}})
					s.take(e)
				}

				s.judgeCrashes(time.Now())
			}

			if got, _ := n.standing(time.Now(), fp); got != tc.want {
				t.Errorf("standing %v, want %v", got, tc.want)
			}
		})
	}
}
