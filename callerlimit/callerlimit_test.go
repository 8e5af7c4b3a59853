package callerlimit

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// testSocket notes how its connection gave way.
type testSocket struct {
	evicted bool
	phase   Phase
	reason  Reason
}

func (s *testSocket) Evict(p Phase, r Reason) { s.evicted, s.phase, s.reason = true, p, r }

func address(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}) }

func open(t *testing.T, b *Budget, i int, now time.Time) (*Connection, *testSocket) {
	t.Helper()

	s := &testSocket{}

	c, reason := b.Open(s, address(i), now)
	if c == nil {
		t.Fatalf("connection of address %d refused: %s", i, reason)
	}

	return c, s
}

// Guards against requests that give way although larger and slower ones could, and against running requests that are cut off.
func TestLargeAndSlowRequestsGiveWay(t *testing.T) {
	const body = 256 << 10

	for name, tc := range map[string]struct {
		phase    Phase
		answered bool
		age      time.Duration
		want     bool // the other gives way
	}{
		"stalled body":        {Reading, false, 5 * time.Second, true},
		"unread response":     {Writing, false, 5 * time.Second, true},
		"idle between others": {Idle, true, 5 * time.Second, true},
		"body of 100 ms":      {Reading, false, 100 * time.Millisecond, false},
		"running request":     {Running, false, 5 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(Limits{Bytes: 2*ConnectionBytes + body, Connections: 10, PerAddress: 10})
			other, socket := open(t, b, 1, start)

			if tc.answered {
				other.SetPhase(Writing, start)
			}

			other.SetPhase(tc.phase, start)

			if !other.Reserve(body, start) {
				t.Fatal("first request refused")
			}

			now := start.Add(tc.age)
			c, own := open(t, b, 2, now)
			c.SetPhase(Reading, now)

			if got := c.Reserve(body, now); got != tc.want || socket.evicted != tc.want || own.evicted {
				t.Errorf("reserved: %v, other gave way: %v, itself: %v; want %v, %v, false", got, socket.evicted, own.evicted, tc.want, tc.want)
			}
		})
	}
}

// Guards against new callers that are refused while a crowd of connections that send nothing holds all places, and against one
// address that takes all of them.
func TestConnectionsOfCrowdGiveWay(t *testing.T) {
	const places = 8

	b := NewBudget(Limits{Bytes: 1 << 30, Connections: places, PerAddress: 6})

	for i := range places {
		open(t, b, i/6, start)
	}

	if c, reason := b.Open(&testSocket{}, address(9), start.Add(grace/2)); c != nil || reason != ReasonConnections {
		t.Errorf("connection while all others are young: %v, reason %q, want a refusal for %q", c != nil, reason, ReasonConnections)
	}

	if c, reason := b.Open(&testSocket{}, address(0), start.Add(grace/2)); c != nil || reason != ReasonAddress {
		t.Errorf("seventh connection of an address: %v, reason %q, want a refusal for %q", c != nil, reason, ReasonAddress)
	}

	now := start.Add(2 * grace)
	ordinary, socket := open(t, b, 9, now)
	ordinary.SetPhase(Reading, now)
	ordinary.SetPhase(Idle, now)

	for i := range 100 {
		now = now.Add(grace)
		open(t, b, 20+i%3, now)
	}

	if socket.evicted {
		t.Error("a caller that has been served gave way to connections that send nothing")
	}

	if _, n := b.Used(); n != places {
		t.Errorf("%d connections, want %d", n, places)
	}
}

// Guards against limits that ordinary callers reach on the smallest machine: 400 requests in progress, each with 100 KiB.
func TestLimitsLeaveRoomForOrdinaryLoad(t *testing.T) {
	limits := LimitsOf(184_000_000, 4100)
	b := NewBudget(limits)

	for i := range 400 {
		s := &testSocket{}

		c, reason := b.Open(s, address(i%2), start)
		if c == nil {
			t.Fatalf("connection %d refused: %s", i, reason)
		}

		c.SetPhase(Reading, start)

		if !c.Reserve(60<<10, start) {
			t.Fatalf("request %d refused", i)
		}
	}

	if diff := cmp.Diff(limits, LimitsOf(0, 0)); diff != "" {
		t.Errorf("defaults are not those of the smallest machine (-want +got):\n%s", diff)
	}
}

// Guards against accounts that exceed the budget, or that are left over or negative when connections have ended, in all orders of
// events with 1 to 40 connections.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			b     = NewBudget(Limits{Bytes: 2 << 20, Connections: 30, PerAddress: 10})
			now   = start
			conns []*Connection
			// forced is what running requests and responses take regardless of the budget.
			running int64
		)

		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)

			if c, _ := b.Open(&testSocket{}, address(rapid.IntRange(0, 5).Draw(t, "address")), now); c != nil {
				conns = append(conns, c)
			}

			if len(conns) == 0 {
				continue
			}

			c := conns[rapid.IntRange(0, len(conns)-1).Draw(t, "connection")]
			n := int64(rapid.IntRange(0, 512<<10).Draw(t, "bytes"))

			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				c.SetPhase(Phase(rapid.IntRange(0, 3).Draw(t, "phase")), now) //nolint:gosec // Below 4.
			case 1:
				c.Reserve(n, now)
			case 2:
				c.Charge(n, now)
			case 3:
				c.Release(n)
			case 4:
				c.Close()
			case 5:
				b.Inspect(128<<10, now, func(Socket) int64 { return n / 8 })
			}

			running = 0

			for _, o := range conns {
				if o.phase == Running {
					running += o.base + o.reserved + o.queued
				}
			}

			if used, n := b.Used(); used < 0 || n > 30 || used > 2<<20 && used > running {
				t.Fatalf("%d bytes used by %d connections, %d of them by running requests; want at most %d by 30", used, n, running, 2<<20)
			}
		}

		for _, c := range conns {
			c.Close()
		}

		if used, n := b.Used(); used != 0 || n != 0 || len(b.byAddress) != 0 {
			t.Errorf("%d bytes, %d connections and %d addresses are left", used, n, len(b.byAddress))
		}
	})
}

// Guards against header fields that are missed in small pieces, and against lines of a body that count as fields of the same or of
// the next header.
func TestHeaderLines(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: h\r\nA: 1\r\n\r\n"

	for name, tc := range map[string]struct {
		text    string
		body    bool
		lines   int
		carried int
	}{
		"no end":              {"GET / HTTP/1.1\r\nHost: h\r\nA:", false, 2, 0},
		"body":                {request + "1\n\n2\n3\n", true, 4, 0},
		"pipelined":           {request + request, false, 4, 4},
		"lines before":        {"\r\n" + request, false, 5, 0},
		"line feeds only":     {strings.ReplaceAll(request, "\r", "") + "1\n", true, 4, 0},
		"carriage return off": {"GET / HTTP/1.1\r\n\r \r\nA: 1\r\n", false, 3, 0},
	} {
		for _, piece := range []int{1, 3, 1000} {
			t.Run(name, func(t *testing.T) {
				var h HeaderLines

				for b := []byte(tc.text); len(b) > 0; b = b[min(piece, len(b)):] {
					h.Add(b[:min(piece, len(b))])
				}

				lines := h.Lines

				if tc.body {
					h.EndBody()
				}

				h.Next()

				if diff := cmp.Diff([]int{tc.lines, tc.carried}, []int{lines, h.Carried}); diff != "" {
					t.Errorf("lines and carried lines with pieces of %d bytes differ (-want +got):\n%s", piece, diff)
				}
			})
		}
	}
}

// Guards against a legal slow caller that is cut off, and against one that holds memory for ever.
func TestBodyDeadline(t *testing.T) {
	const allowed = 30 * time.Second

	for name, tc := range map[string]struct {
		perSecond int
		size      int
		want      bool // arrives whole
	}{
		"256 KiB at 70 Kbit/s": {8750, 256 << 10, true},
		"4 MB at 70 Kbit/s":    {8750, 4 << 20, true},
		"100 bytes in 25 s":    {4, 100, true},
		"one byte a second":    {1, 256 << 10, false},
	} {
		t.Run(name, func(t *testing.T) {
			received, now := 0, start

			for received < tc.size {
				deadline := BodyDeadline(start, now, allowed, received)

				now = now.Add(time.Second)
				if now.After(deadline) {
					break
				}

				received += tc.perSecond
			}

			if whole := received >= tc.size; whole != tc.want {
				t.Errorf("body arrives whole: %v, want %v", whole, tc.want)
			}
		})
	}

	if got := BodyDeadline(start, start, allowed, 0); got != start.Add(BodyGap) {
		t.Errorf("deadline without a byte is %v after the start, want %v", got.Sub(start), BodyGap)
	}
}

// Guards against a crowd that fills the log.
func TestThrottle(t *testing.T) {
	var (
		throttle Throttle
		written  int
		missed   int
	)

	for i := range 10_000 {
		ok, suppressed := throttle.Allow(start.Add(time.Duration(i) * time.Millisecond))
		if ok {
			written++
			missed += suppressed
		}
	}

	if written != 10*linesPerInterval || missed+written != 9_000+linesPerInterval {
		t.Errorf("%d lines written and %d reported as suppressed, want %d and %d", written, missed, 10*linesPerInterval, 9_000)
	}
}
