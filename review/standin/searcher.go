package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	queueLength       = 12
	defaultWork       = 60 * time.Millisecond
	// hang is the work on a request that gets no answer.
	hang = time.Duration(-1)
)

// arrival is a request that has reached a searcher.
type arrival struct {
	s      *searcher
	id     string
	method string
	path   string
	body   []byte
	front  string // IP address of the front that sent it
	at     time.Time
}

// searcher is a stand-in for a searcher: a sound one unless a hook says otherwise.
type searcher struct {
	w        *world
	id       string
	service  string
	zone     int
	capacity int
	address  string
	born     int64
	server   *http.Server
	slots    chan struct{}
	queued   atomic.Int64
	done     chan struct{}
	endOnce  sync.Once

	sequence atomic.Int64
	draining atomic.Bool
	coldTill time.Time

	// work returns how long a request takes.
	work func(*arrival) time.Duration
	// arrived is called for each request, before it takes a slot; ran when work on it begins.
	arrived, ran func(*arrival)
	// answer writes the answer; nil for a success.
	answer func(*arrival, http.ResponseWriter) bool
}

// searcherConn is a connection of a front to a searcher, which a partition makes silent.
type searcherConn struct {
	net.Conn
	w    *world
	peer string
}

// Read drops what arrives while the front is partitioned.
func (c *searcherConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.w.isCut(c.peer) {
			return n, err
		}
	}
}

// Write drops what is sent while the front is partitioned.
func (c *searcherConn) Write(b []byte) (int, error) {
	if c.w.isCut(c.peer) {
		return len(b), nil
	}

	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *searcherConn) Close() error {
	c.w.mu.Lock()
	delete(c.w.conns, c)
	c.w.mu.Unlock()

	return c.Conn.Close()
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // if this fails, Close sends FIN instead of RST
	}

	_ = c.Close()
}

// searcherListener resets the connections of partitioned fronts.
type searcherListener struct {
	net.Listener
	w *world
}

// Accept returns the next connection of a front that is not partitioned.
func (l searcherListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}

		peer, _, err := net.SplitHostPort(c.RemoteAddr().String())
		if err != nil || l.w.isCut(peer) {
			reset(c)

			continue
		}

		sc := &searcherConn{Conn: c, w: l.w, peer: peer}

		l.w.mu.Lock()
		l.w.conns[sc] = struct{}{}
		l.w.mu.Unlock()

		return sc, nil
	}
}

// addSearcher starts a searcher. The options change it before it serves.
func (w *world) addSearcher(ctx context.Context, name string, zone int, options ...func(*searcher)) (*searcher, error) {
	var lc net.ListenConfig

	ln, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for a searcher: %w", err)
	}

	w.mu.Lock()
	w.lastID++
	s := &searcher{
		w: w, id: fmt.Sprintf("i-%08x", w.lastID), service: name, zone: zone, capacity: 3, address: ln.Addr().String(),
		born: time.Now().UnixMilli(), done: make(chan struct{}), work: func(*arrival) time.Duration { return defaultWork },
		arrived: func(*arrival) {}, ran: func(*arrival) {},
	}
	w.searchers = append(w.searchers, s)
	w.mu.Unlock()

	for _, o := range options {
		o(s)
	}

	s.slots = make(chan struct{}, s.capacity)
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 10 * time.Second}

	go func() {
		if err := s.server.Serve(searcherListener{Listener: ln, w: w}); !errors.Is(err, http.ErrServerClosed) {
			w.rec.add("searcher %s stopped: %v", s.id, err)
		}
	}()

	go s.heartbeats(ctx)

	return s, nil
}

func (s *searcher) end() {
	s.endOnce.Do(func() {
		close(s.done)
		_ = s.server.Close() // the connections of the searcher end with it
	})
}

func (s *searcher) serve(rw http.ResponseWriter, req *http.Request) {
	if req.URL.Path == healthPath {
		rw.Header().Set("X-Instance-Id", s.id)

		return
	}

	id := req.Header.Get("X-Request-Id")
	rw.Header().Set("X-Request-Id", id)

	if req.Header.Get("X-Expect-Instance") != s.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	body, err := io.ReadAll(req.Body)
	if err != nil {
		return // the front has closed the connection
	}

	front, _, err := net.SplitHostPort(req.RemoteAddr)
	if err != nil {
		return
	}

	a := &arrival{s: s, id: id, method: req.Method, path: req.URL.RequestURI(), body: body, front: front, at: time.Now()}
	s.arrived(a)

	left, err := strconv.ParseFloat(req.Header.Get("X-Deadline-Ms"), 64)
	if err != nil {
		left = 5000
	}

	end := a.at.Add(time.Duration(left * float64(time.Millisecond)))

	if !s.takeSlot(end) {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	defer func() { <-s.slots }()

	s.ran(a)

	work := s.work(a)
	if work == hang {
		select {
		case <-s.done:
		case <-req.Context().Done(): // the front has closed the connection
		}

		return
	}

	select {
	case <-s.done:
		return
	case <-time.After(min(work, time.Until(end))):
	}

	if s.answer != nil && s.answer(a, rw) {
		return
	}

	writeSealed(rw, s, id, http.StatusOK, responseBody(s.service, a.path))
}

// takeSlot waits in the searcher's queue. It returns false if that is full, or the deadline passes.
func (s *searcher) takeSlot(end time.Time) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}

	if s.queued.Add(1) > queueLength {
		s.queued.Add(-1)

		return false
	}
	defer s.queued.Add(-1)

	select {
	case s.slots <- struct{}{}:
		return true
	case <-time.After(time.Until(end)):
		return false
	}
}

func writeSealed(rw http.ResponseWriter, s *searcher, id string, status int, body []byte) {
	sum := sha256.Sum256(append([]byte(s.service+"\n"+id+"\n"), body...))
	rw.Header().Set("X-Response-Seal", hex.EncodeToString(sum[:12]))
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	rw.WriteHeader(status)
	_, _ = rw.Write(body) // the front may have closed the connection
}

func responseBody(name, path string) []byte {
	var out []byte

	for i := range 20 {
		sum := sha256.Sum256([]byte(name + path + strconv.Itoa(i)))
		out = append(out, sum[:16]...)
	}

	return out
}

func (s *searcher) heartbeats(ctx context.Context) {
	for {
		s.report(ctx)

		select {
		case <-s.done:
			return
		case <-ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// report sends a liveness report.
func (s *searcher) report(ctx context.Context) (acknowledged bool) {
	state := "ready"
	if s.draining.Load() {
		state = "draining"
	}

	body, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": zoneName(s.zone), "version": "v1", "capacity": s.capacity, "state": state,
		"warmupLeftMs": max(time.Until(s.coldTill).Milliseconds(), 0), "sequence": s.sequence.Add(1), "born": s.born,
	})
	if err != nil {
		return false
	}

	return s.tell(ctx, http.MethodPut, body)
}

// leave tells a control machine that the searcher is about to end.
func (s *searcher) leave(ctx context.Context) (acknowledged bool) {
	return s.tell(ctx, http.MethodDelete, nil)
}

// tell sends a call to the control machines in turn, that of the searcher's zone first, until one acknowledges it.
func (s *searcher) tell(ctx context.Context, method string, body []byte) (acknowledged bool) {
	for i := range zoneCount {
		c := s.w.withRole("control")[(s.zone+i)%zoneCount]
		url := "http://" + net.JoinHostPort(c.ip, fmt.Sprint(s.w.ports.control)) + "/instances/" + s.id

		if s.w.call(ctx, method, url, nil, body, time.Second).status == http.StatusOK {
			return true
		}
	}

	return false
}
