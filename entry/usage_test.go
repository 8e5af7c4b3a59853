package entry

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/configuration"
	"fulmarfall/ident"
	"fulmarfall/usage"
	"fulmarfall/wire"
)

const testTeam ident.TeamID = "kami770"

var testBounds = usage.Bounds{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}

// testLeader grants shares of the limit of one team as the leader of the control VMs does.
type testLeader struct {
	mu        sync.Mutex
	allocator *usage.Allocator
	reports   []wire.UsageReport
}

// newTestLeader returns a leader that has been one for the given time.
func newTestLeader(age time.Duration, rate, burst float64) *testLeader {
	began := time.Now().Add(-age)
	l := &testLeader{allocator: usage.NewAllocator(1, began)}
	l.allocator.SetLimits(began, map[ident.TeamID]usage.Limit{testTeam: testBounds.Limit(rate, burst)})
	// From then on a leader knows all shares, and its pool fills.
	l.allocator.Report(began.Add(age/2), "other", &usage.Report{Incarnation: 1, Sequence: 1, Full: true})

	return l
}

func (l *testLeader) answer(m *wire.UsageReport) wire.Message {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.reports = append(l.reports, *m)

	g := l.allocator.Report(time.Now(), m.Node, m.Report())
	if g == nil {
		return &wire.UsageGrant{Error: "a later report is known"}
	}

	return wire.ToWireUsageGrant(g)
}

// startLimited starts an entry VM with control VMs that answer usage reports by the given functions, and puts a team with
// a limit in force. A nil function does not answer.
func startLimited(t *testing.T, rate, burst float64, answers ...func(*wire.UsageReport) wire.Message) (*Node, *configuration.Team) {
	t.Helper()

	var seeds []ident.NodeID

	for _, answer := range answers {
		id := freeAddress(t)
		listenAs(t, id, id, func(ctx context.Context, _ ident.NodeID, m wire.Message) wire.Message {
			r, ok := m.(*wire.UsageReport)

			switch {
			case !ok:
				return &wire.Ack{Error: "not served"}
			case answer == nil:
				<-ctx.Done()

				return nil
			default:
				return answer(r)
			}
		})

		seeds = append(seeds, id)
	}

	n := newServingNode(t, 1, func(c *Config) { c.Quota, c.Seeds = testBounds, seeds })
	cfg := *n.view.Load().configuration
	cfg.Version++
	cfg.Teams = []configuration.Team{{Name: testTeam, RatePerSecond: rate, Burst: burst}}

	n.mu.Lock()
	defer n.mu.Unlock()

	old := n.view.Load()
	next := &view{configuration: &cfg, table: configuration.NewTable(&cfg), outOfService: old.outOfService, searchers: old.searchers, byID: old.byID, shardUpstreams: old.shardUpstreams}
	next.initUpstreams()
	n.view.Store(next)

	return n, next.table.Team(testTeam)
}

// request asks for the admission of one request.
func request(n *Node, team *configuration.Team) (*Request, *Refused) {
	v := n.view.Load()
	r := &Request{ID: "q", Host: "h", Path: "/"}

	return r, n.admitUsage(r, v, &v.configuration.Routes[0], team)
}

func noLeader(*wire.UsageReport) wire.Message { return &wire.UsageGrant{Error: "no leader is known"} }

func olderBuild(*wire.UsageReport) wire.Message {
	return &wire.Ack{Error: "message kind is not served"}
}

// Guards against a request that is refused although another control VM grants a share, and against a refusal that does not
// tell an exhausted limit from a missing share.
func TestFirstRequestOfTeam(t *testing.T) {
	type outcome struct {
		Refused bool
		Kind    RefusalKind
		Reason  ident.Reason
	}

	granted := newTestLeader(time.Minute, 50, 50)
	second := newTestLeader(time.Minute, 50, 50)
	silent := newTestLeader(time.Minute, 50, 50)
	starting := newTestLeader(0, 50, 50)

	for name, tc := range map[string]struct {
		answers []func(*wire.UsageReport) wire.Message
		// tries is the number of requests, of which the last one counts.
		tries int
		want  outcome
	}{
		"share granted":                        {[]func(*wire.UsageReport) wire.Message{granted.answer}, 1, outcome{}},
		"first control VM without a leader":    {[]func(*wire.UsageReport) wire.Message{noLeader, second.answer}, 5, outcome{}},
		"first control VM silent":              {[]func(*wire.UsageReport) wire.Message{nil, silent.answer}, 10, outcome{}},
		"no control VM has a leader":           {[]func(*wire.UsageReport) wire.Message{noLeader, noLeader}, 1, outcome{true, RefusedNotRun, ident.ReasonNoShare}},
		"all control VMs run an older build":   {[]func(*wire.UsageReport) wire.Message{olderBuild, olderBuild}, 5, outcome{}},
		"leader that does not know the shares": {[]func(*wire.UsageReport) wire.Message{starting.answer}, 1, outcome{}},
	} {
		t.Run(name, func(t *testing.T) {
			n, team := startLimited(t, 50, 50, tc.answers...)

			var got outcome

			for range tc.tries {
				got = outcome{}

				_, refused := request(n, team)
				if refused == nil {
					break
				}

				if refused.RetryAfter <= 0 {
					t.Errorf("refused without a time to retry")
				}

				got = outcome{true, refused.Kind, refused.Reason}

				time.Sleep(100 * time.Millisecond)
			}

			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("outcome differs (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against more requests than the limit, against refusals other than 429 above it, and against a refused request that
// is refused late.
func TestRequestsOverLimit(t *testing.T) {
	l := newTestLeader(time.Minute, 20, 20)
	n, team := startLimited(t, 20, 20, l.answer)

	var (
		mu       sync.Mutex
		wg       sync.WaitGroup
		admitted int
		kinds    = map[RefusalKind]int{}
	)

	// 150 requests per second for 2 s.
	for range 300 {
		wg.Go(func() {
			_, refused := request(n, team)

			mu.Lock()
			defer mu.Unlock()

			if refused == nil {
				admitted++
			} else {
				kinds[refused.Kind]++
			}
		})
		time.Sleep(2 * time.Second / 300)
	}

	wg.Wait()

	// The bucket, 0.9 of the rate over 2 s, and no more than the bound.
	if bound := testBounds.Total(20, 20); float64(admitted) > bound || admitted < 20+36 {
		t.Errorf("%d requests admitted in 2 s, want 56 to %.0f", admitted, bound)
	}

	if over := kinds[RefusedOverUsage]; over < kinds[RefusedNotRun] {
		t.Errorf("%d requests refused because of the limit, %d because of a missing share", over, kinds[RefusedNotRun])
	}
}

// Guards against a limit that is used up by requests that have not run.
func TestTokenOfRefusedRequestIsReturned(t *testing.T) {
	l := newTestLeader(time.Minute, 1, 1)
	n, team := startLimited(t, 1, 1, l.answer)

	for i := range 100 {
		r, refused := request(n, team)
		if refused != nil {
			t.Fatalf("request %d refused: %+v", i, refused)
		}

		n.returnUsage(r, team)
	}
}

// Guards against an entry VM that refuses requests below the limit while there is no leader for less than a lease, and
// against one that serves on after its lease.
func TestLeaderLost(t *testing.T) {
	l := newTestLeader(time.Minute, 50, 50)

	var (
		mu   sync.Mutex
		lost bool
	)

	n, team := startLimited(t, 50, 50, func(m *wire.UsageReport) wire.Message {
		mu.Lock()
		defer mu.Unlock()

		if lost {
			return noLeader(m)
		}

		return l.answer(m)
	})

	// 5 requests per second, a tenth of the limit.
	pace := func(d time.Duration) (refused int) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			if _, r := request(n, team); r != nil {
				refused++
			}
		}

		return refused
	}

	if got := pace(2 * time.Second); got != 0 {
		t.Errorf("%d requests refused below the limit", got)
	}

	mu.Lock()
	lost = true
	mu.Unlock()

	if got := pace(usage.Lease - 2*usageInterval); got != 0 {
		t.Errorf("%d requests refused while the lease was valid", got)
	}

	time.Sleep(2*usageInterval + 100*time.Millisecond)

	if _, refused := request(n, team); refused == nil || refused.Kind != RefusedNotRun {
		t.Errorf("after the lease: %+v, want a refusal that says the request has not run", refused)
	}
}

// Guards against entry VMs without callers that send reports, and against one that does not report before its first request
// once the configuration has teams with limits.
func TestNodeWithoutCallersSendsNoReports(t *testing.T) {
	l := newTestLeader(time.Minute, 50, 50)
	n, team := startLimited(t, 50, 50, l.answer)

	time.Sleep(3 * usageInterval)

	l.mu.Lock()
	before := len(l.reports)
	l.mu.Unlock()

	if before != 0 {
		t.Errorf("%d reports without a request", before)
	}

	if _, refused := request(n, team); refused != nil {
		t.Errorf("first request refused: %+v", refused)
	}

	time.Sleep(3 * usageInterval)

	l.mu.Lock()
	defer l.mu.Unlock()

	if got := len(l.reports); got < 3 || got > 6 {
		t.Errorf("%d reports in three intervals after a request, want one for each", got)
	}
}

// Guards against a forwarded request that is counted twice.
func TestForwardedRequestIsNotCounted(t *testing.T) {
	n, team := startLimited(t, 1, 0, noLeader)
	v := n.view.Load()

	if refused := n.admitUsage(&Request{Forwarded: true}, v, &v.configuration.Routes[0], team); refused != nil {
		t.Errorf("forwarded request refused: %+v", refused)
	}
}
