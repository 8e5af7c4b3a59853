package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fulmarfall/ident"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
)

// Guards against goroutines and sockets that outlive a searcher.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout bounds waits for events that are certain to happen; no result depends on how soon they do.
const waitTimeout = 20 * time.Second

func startSearcher(t *testing.T, change func(*Config)) *Searcher {
	t.Helper()
	b := DefaultBehaviour()
	b.ServiceMS, b.Spread, b.DownMS = 0.1, 0, 1
	cfg := Config{
		Data: Dataset{Seed: 7, Upstream: "fair-gate"}, Searcher: "fg-1", Address: "127.0.0.1:0", AdminAddress: "127.0.0.1:0",
		FailureDomain: "cluj", Region: "r", Slots: 2, Connections: 25, AnnounceKey: "secret", Behaviour: b,
		Holdings: []Holding{{Snapshot: 1, Shards: []ident.ShardID{"s0", "s1"}, Held: []ident.ShardID{"s0"}}},
	}
	if change != nil {
		change(&cfg)
	}
	s, stop, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := stop(); err != nil {
			t.Error(err)
		}
	})

	return s
}

func newClient(t *testing.T) *http.Client {
	t.Helper()
	tr := &http.Transport{}
	t.Cleanup(tr.CloseIdleConnections)

	return &http.Client{Transport: tr}
}

// post posts body and decodes the reply into out. It returns the status, or 0 if the connection broke.
func post(t *testing.T, c *http.Client, url string, body, out any) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if data, err = io.ReadAll(resp.Body); err != nil {
		return 0
	}
	if err := json.Unmarshal(data, out); err != nil {
		t.Errorf("reply %q: %v", data, err)
	}

	return resp.StatusCode
}

func searchRequest(id string) SearchRequest {
	return SearchRequest{
		RequestID: ident.RequestID(id), Attempt: 1, Upstream: "fair-gate", Shard: "s0", Snapshot: 1,
		Query: json.RawMessage(`{"kite": "red"}`), Limit: 5, TimeoutMS: waitTimeout.Milliseconds(),
	}
}

func executeRequest(id, key string) ExecuteRequest {
	return ExecuteRequest{
		RequestID: ident.RequestID(id), Attempt: 1, Upstream: "fair-gate", Shard: "s0",
		Body: json.RawMessage(`{"print":1}`), IdempotencyKey: key, TimeoutMS: waitTimeout.Milliseconds(),
	}
}

func eventually(t *testing.T, event string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not observed within %v", event, waitTimeout)
		}
	}
}

// Guards against answers that differ from the recomputation, ids that are not echoed, and a run that is missing from
// the journal.
func TestSearchAndExecute(t *testing.T) {
	s, c := startSearcher(t, nil), newClient(t)
	q := searchRequest("r1")
	var got SearchReply
	if status := post(t, c, "http://"+s.Address()+"/search", q, &got); status != 200 {
		t.Fatalf("status %d", status)
	}
	hits, err := s.Data().Expected("s0", 1, json.RawMessage(` {"kite":"red"}`), 5)
	if err != nil {
		t.Fatal(err)
	}
	want := SearchReply{RequestID: "r1", Attempt: 1, Shard: "s0", Snapshot: 1, Hits: hits}
	if diff := cmp.Diff(want, got); diff != "" || len(hits) != 5 {
		t.Errorf("answer differs (-want +got):\n%s", diff)
	}
	var done ExecuteReply
	if status := post(t, c, "http://"+s.Address()+"/execute", executeRequest("r2", "k1"), &done); status != 200 {
		t.Fatalf("status %d", status)
	}
	result, err := s.Data().ExpectedResult("s0", json.RawMessage(`{"print":1}`))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(ExecuteReply{RequestID: "r2", Attempt: 1, Shard: "s0", Answer: result}, done); diff != "" {
		t.Errorf("answer differs (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{1, 0}, []int{s.CountRuns("k1"), s.CountRuns("k2")}); diff != "" {
		t.Errorf("runs differ (-want +got):\n%s", diff)
	}
}

// Guards against refusals with the wrong status, especially "not started" for a request that was started.
func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		setFaults func(*Behaviour)
		path      string
		body      any
		status    int
		started   bool
		reason    ident.Reason
		runs      int
	}{
		"shed":                     {setFaults: func(b *Behaviour) { b.Shed = true }, path: "/search", body: searchRequest("r"), status: 503, reason: ident.ReasonShed},
		"drain":                    {setFaults: func(b *Behaviour) { b.Drain = true }, path: "/execute", body: executeRequest("r", "k"), status: 503, reason: ident.ReasonLeaving},
		"snapshot gone":            {path: "/search", body: func() SearchRequest { q := searchRequest("r"); q.Snapshot = 9; return q }(), status: 410, reason: ident.ReasonSnapshotGone},
		"shard not served":         {path: "/search", body: func() SearchRequest { q := searchRequest("r"); q.Shard = "s1"; return q }(), status: 410, reason: ident.ReasonSnapshotGone},
		"unknown shard":            {path: "/execute", body: func() ExecuteRequest { q := executeRequest("r", "k"); q.Shard = "x"; return q }(), status: 404, reason: ident.ReasonUnknownShard},
		"search deadline expired":  {setFaults: func(b *Behaviour) { b.ServiceMS = 1e6 }, path: "/search", body: func() SearchRequest { q := searchRequest("r"); q.TimeoutMS = 5; return q }(), status: 504, started: true, reason: ident.ReasonDeadline},
		"execute deadline expired": {setFaults: func(b *Behaviour) { b.ServiceMS = 1e6 }, path: "/execute", body: func() ExecuteRequest { q := executeRequest("r", "k"); q.TimeoutMS = 5; return q }(), status: 504, started: true, reason: ident.ReasonDeadline, runs: 1},
		"no timeout":               {path: "/execute", body: func() ExecuteRequest { q := executeRequest("r", "k"); q.TimeoutMS = 0; return q }(), status: 400, reason: ident.ReasonBadRequest},
		"no query":                 {path: "/search", body: SearchRequest{RequestID: "r", Upstream: "fair-gate", TimeoutMS: 5}, status: 400, reason: ident.ReasonBadRequest},
		"another upstream":         {path: "/search", body: func() SearchRequest { q := searchRequest("r"); q.Upstream = "x"; return q }(), status: 400, reason: ident.ReasonBadRequest},
		"not an object":            {path: "/search", body: 7, status: 400, reason: ident.ReasonBadRequest},
		"unknown operation":        {path: "/other", body: 7, status: 404, reason: ident.ReasonBadRequest},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := startSearcher(t, nil)
			if tc.setFaults != nil {
				s.UpdateBehaviour(tc.setFaults)
			}
			var got Refusal
			status := post(t, newClient(t), "http://"+s.Address()+tc.path, tc.body, &got)
			if diff := cmp.Diff([]any{tc.status, tc.started, tc.reason, tc.runs}, []any{status, got.Started, got.Reason, len(s.Runs())}); diff != "" {
				t.Errorf("status, started, reason, runs differ (-want +got):\n%s", diff)
			}
			if status == 503 && got.RetryAfterMS <= 0 {
				t.Error("the refusal has no retry delay")
			}
		})
	}
}

// Guards against a searcher that runs more requests than it has slots, keeps the slot of a cancelled request or of a
// caller that has disconnected, or accepts too many connections.
func TestSlotsAndConnections(t *testing.T) {
	s := startSearcher(t, func(cfg *Config) { cfg.Connections = 3; cfg.Behaviour.ServiceMS = 1e6 })
	c := newClient(t)
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	wg.Go(func() {
		var got Refusal
		if status := post(t, c, "http://"+s.Address()+"/search", searchRequest("first"), &got); status != 409 || !got.Started {
			t.Errorf("cancelled request: status %d, started %v", status, got.Started)
		}
	})
	wg.Go(func() {
		data, _ := json.Marshal(searchRequest("second"))
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address()+"/search", bytes.NewReader(data))
		if resp, err := c.Do(req); err == nil {
			_ = resp.Body.Close()
			t.Errorf("abandoned request: status %d", resp.StatusCode)
		}
	})
	eventually(t, "two runs", func() bool { return s.Stats().InFlight == 2 })
	var refusal Refusal
	if status := post(t, c, "http://"+s.Address()+"/search", searchRequest("third"), &refusal); status != 503 || refusal.Started {
		t.Errorf("third request: status %d, started %v", status, refusal.Started)
	}
	var cancelled CancelReply
	post(t, c, "http://"+s.Address()+"/cancel", CancelRequest{RequestID: "first", Attempt: 1}, &cancelled)
	if n := s.Stats().InFlight; !cancelled.Found || n != 1 {
		t.Errorf("after the cancellation: found %v, %d in flight", cancelled.Found, n)
	}
	var conns []net.Conn
	for s.Stats().RefusedConnections == 0 {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", s.Address())
		if err != nil {
			break
		}
		conns = append(conns, conn)
		time.Sleep(time.Millisecond)
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
	cancel()
	eventually(t, "release of the slot of the disconnected caller", func() bool { return s.Stats().InFlight == 0 })
	st := s.Stats()
	if diff := cmp.Diff([]int{3, 1, 4}, []int{st.PeakInFlight, st.OverSlots, st.PeakConnections}); diff != "" {
		t.Errorf("peak in flight, refused, peak connections differ (-want +got):\n%s", diff)
	}
}

// Guards against a crash that answers, leaves connections open or loses the journal, and against a restart with the
// same incarnation or warm.
func TestCrash(t *testing.T) {
	s, c := startSearcher(t, func(cfg *Config) { cfg.Behaviour.CrashMark = "deadly" }), newClient(t)
	before := s.Stats().Incarnation
	q := executeRequest("r1", "k1")
	q.Body = json.RawMessage(`{"print":"deadly"}`)
	var refusal Refusal
	if status := post(t, c, "http://"+s.Address()+"/execute", q, &refusal); status != 0 {
		t.Errorf("status %d, want a broken connection", status)
	}
	eventually(t, "restart", func() bool { return s.Stats().Incarnation == before+1 })
	if a := s.Announcement(); !a.Cold || a.Incarnation != before+1 {
		t.Errorf("announcement after the restart: %+v", a)
	}
	var got SearchReply
	eventually(t, "answer", func() bool { return post(t, c, "http://"+s.Address()+"/search", searchRequest("r2"), &got) == 200 })
	st := s.Stats()
	if diff := cmp.Diff([]int{1, 0, 1}, []int{st.Crashes, st.ColdCrashes, s.CountRuns("k1")}); diff != "" {
		t.Errorf("crashes, crashes while cold, runs differ (-want +got):\n%s", diff)
	}
}

// Guards against a cold searcher that sustains any load, that crashes at the rate it announces, or that never becomes
// warm.
func TestColdStart(t *testing.T) {
	s := startSearcher(t, func(cfg *Config) { cfg.ColdAtStart = true })
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for range s.behaviour.ColdAnswers {
		rate := s.behaviour.ColdRatePerSecond << (s.answersSinceCold / coldDoublingStep)
		if now = now.Add(time.Second / time.Duration(rate)); s.recordStart(now) {
			t.Fatalf("overloaded at the sustainable rate after %d answers", s.answersSinceCold)
		}
		s.answersSinceCold++
	}
	if s.isCold() || s.recordStart(now) {
		t.Error("not warm after the last answer")
	}
	s.makeCold()
	overloads := 0
	for range s.behaviour.ColdRatePerSecond + 2 {
		if s.recordStart(now) {
			overloads++
		}
	}
	if overloads != 1 {
		t.Errorf("overloaded %d times, want once, at two starts above the rate", overloads)
	}
}

// Guards against a frozen searcher that answers, that later starts a request its caller has abandoned, or that never
// resumes.
func TestFreeze(t *testing.T) {
	s := startSearcher(t, nil)
	c := newClient(t)
	s.UpdateBehaviour(func(b *Behaviour) { b.Freeze = true })
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		data, _ := json.Marshal(executeRequest("r1", "k1"))
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address()+"/execute", bytes.NewReader(data))
		resp, err := c.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		result <- err
	}()
	eventually(t, "connection", func() bool { return s.Stats().AcceptedConnections == 1 })
	cancel()
	if err := <-result; err == nil {
		t.Error("a frozen searcher has answered")
	}
	s.UpdateBehaviour(func(b *Behaviour) { b.Freeze = false })
	var got SearchReply
	if status := post(t, c, "http://"+s.Address()+"/search", searchRequest("r2"), &got); status != 200 {
		t.Errorf("status %d after the end of the freeze", status)
	}
	if n := s.CountRuns("k1"); n != 0 {
		t.Errorf("the abandoned request ran %d times", n)
	}
}

// Guards against announcements without key or content, announcements that stop after one node refuses, and changes of
// the snapshots through POST /faults that are not announced.
func TestAnnouncements(t *testing.T) {
	var refused atomic.Int32
	got := make(chan Announcement, 100)
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refused.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer refusing.Close()
	node := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a Announcement
		err := json.NewDecoder(r.Body).Decode(&a)
		if err != nil || r.URL.Path != "/v1/announce" || r.Header.Get("Authorization") != "Bearer secret" {
			t.Errorf("announcement: %v %s %s", err, r.URL, r.Header)
		}
		got <- a
	}))
	defer node.Close()
	s := startSearcher(t, func(cfg *Config) {
		cfg.Nodes = []string{refusing.Listener.Addr().String(), node.Listener.Addr().String()}
	})
	first := <-got
	d := s.Data()
	want := Announcement{
		Upstream: "fair-gate", Searcher: "fg-1", Incarnation: s.Stats().Incarnation, Address: s.Address(),
		FailureDomain: "cluj", Region: "r", Slots: 2, Connections: 25, ColdRatePerSecond: 20,
		Snapshots: []SnapshotShards{{Snapshot: 1, Shards: []ShardDocuments{{Shard: "s0", Documents: d.Count("s0", 1)}, {Shard: "s1", Documents: d.Count("s1", 1)}}}},
		Held:      []HeldShards{{Snapshot: 1, Shards: []ident.ShardID{"s0"}}},
	}
	if diff := cmp.Diff(want, first); diff != "" {
		t.Errorf("announcement differs (-want +got):\n%s", diff)
	}
	if refused.Load() == 0 {
		t.Error("the first node was not tried")
	}
	var b Behaviour
	faults := map[string]any{"drain": true, "drop_snapshot": 1, "split": map[string]any{"shard": "s0", "snapshot": 2}}
	if status := post(t, newClient(t), "http://"+s.AdminAddress()+"/faults", faults, &b); status != 200 || !b.Drain || b.ServiceMS != 0.1 {
		t.Errorf("POST /faults: status %d, %+v", status, b)
	}
	want.Leaving = true
	want.Snapshots = []SnapshotShards{{Snapshot: 2}}
	for _, id := range []ident.ShardID{"s0.0", "s0.1", "s1"} {
		want.Snapshots[0].Shards = append(want.Snapshots[0].Shards, ShardDocuments{Shard: id, Documents: d.Count(id, 2)})
	}
	want.Held = []HeldShards{{Snapshot: 2, Shards: []ident.ShardID{"s0.0", "s0.1"}}}
	for diff := "x"; diff != ""; {
		select {
		case a := <-got:
			diff = cmp.Diff(want, a)
		case <-time.After(waitTimeout):
			t.Fatalf("announcement differs (-want +got):\n%s", diff)
		}
	}
}

// Guards against a health endpoint that ignores its configured lag.
func TestHealthLags(t *testing.T) {
	s := startSearcher(t, func(cfg *Config) { cfg.Behaviour.HealthLagMS = 1e9 })
	if s.delayedHealth().Leaving {
		t.Fatal("leaving at the start")
	}
	s.UpdateBehaviour(func(b *Behaviour) { b.Drain = true })
	if s.delayedHealth().Leaving {
		t.Error("the change is reported without the configured lag")
	}
	s.UpdateBehaviour(func(b *Behaviour) { b.HealthLagMS = 0 })
	if !s.delayedHealth().Leaving {
		t.Error("the change is not reported although the lag is 0")
	}
}

// Guards against a field of the interface that docs/upstreams.md does not name, and against an example there that
// does not decode.
func TestUpstreamPageDocumentsEveryField(t *testing.T) {
	page, err := os.ReadFile("../docs/upstreams.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range []any{
		SearchRequest{},
		SearchReply{},
		ExecuteRequest{},
		ExecuteReply{},
		CancelRequest{},
		CancelReply{},
		Refusal{},
		Health{},
		Announcement{},
		SnapshotShards{},
		ShardDocuments{},
		HeldShards{},
		Hit{},
		Behaviour{},
		Action{},
	} {
		typ := reflect.TypeOf(m)
		for i := range typ.NumField() {
			name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			if !bytes.Contains(page, []byte("`"+name+"`")) && !bytes.Contains(page, []byte(`"`+name+`"`)) {
				t.Errorf("%s.%s (%s) is not named in docs/upstreams.md", typ.Name(), typ.Field(i).Name, name)
			}
		}
	}
	examples := strings.Split(string(page), "```json\n")[1:]
	for i, m := range []any{&Announcement{}, &SearchRequest{}, &SearchReply{}, &ExecuteRequest{}, &Refusal{}} {
		example, _, _ := strings.Cut(examples[i], "```")
		dec := json.NewDecoder(strings.NewReader(example))
		dec.DisallowUnknownFields()
		if err := dec.Decode(m); err != nil {
			t.Errorf("example of %T: %v", m, err)
		}
	}
}

// Guards against a connection that is counted as over the limit because it was accepted during a crash.
func TestConnectionDuringCrashIsNotOverLimit(t *testing.T) {
	for name, tc := range map[string]struct {
		up, accepted bool
		limit        int
		refused      int
	}{
		"below the limit": {true, true, 1, 0},
		"at the limit":    {true, false, 0, 1},
		"during a crash":  {false, false, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Searcher{running: tc.up, conns: map[*trackedConn]struct{}{}}
			s.cfg.Connections = tc.limit

			if got := s.track(nil, 0) != nil; got != tc.accepted || s.stats.RefusedConnections != tc.refused {
				t.Errorf("accepted %v with %d refused, want %v with %d", got, s.stats.RefusedConnections, tc.accepted, tc.refused)
			}
		})
	}
}

// Guards against a cut that lets new connections pass, that harms nodes at other addresses, or that does not end.
func TestCut(t *testing.T) {
	for name, tc := range map[string]struct {
		cut      Cut
		from     string
		open     int // status on an open connection, 0 if it breaks
		received int // status on a new connection
	}{
		"hang":                   {CutHang, "127.0.0.1", 0, 0},
		"reset":                  {CutReset, "", 0, 0},
		"refuse":                 {CutRefuse, "127.0.0.1", 200, 0},
		"another address is cut": {CutReset, "127.0.0.9", 200, 200},
	} {
		t.Run(name, func(t *testing.T) {
			s := startSearcher(t, nil)
			// A POST is not repeated on another connection once it has been sent.
			open, late, after := newClient(t), newClient(t), newClient(t)
			open.Timeout, late.Timeout = 300*time.Millisecond, 300*time.Millisecond
			url := "http://" + s.Address() + "/search"

			var got SearchReply
			if status := post(t, open, url, searchRequest("r1"), &got); status != 200 {
				t.Fatalf("status %d before the cut", status)
			}

			s.UpdateBehaviour(func(b *Behaviour) { b.Cut, b.CutFrom = tc.cut, tc.from })

			if status := post(t, open, url, searchRequest("r2"), &got); status != tc.open {
				t.Errorf("status %d on an open connection, want %d", status, tc.open)
			}

			if status := post(t, late, url, searchRequest("r3"), &got); status != tc.received {
				t.Errorf("status %d on a new connection, want %d", status, tc.received)
			}

			s.UpdateBehaviour(func(b *Behaviour) { b.Cut = CutNone })

			if status := post(t, after, url, searchRequest("r4"), &got); status != 200 {
				t.Errorf("status %d after the cut", status)
			}
		})
	}
}
