package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const heartbeatInterval = 1200 * time.Millisecond

// searcher is a stand-in for one lifetime of a searcher.
type searcher struct {
	w       *world
	id      string
	service string
	zone    int
	address string
	born    int64
	work    time.Duration
	// serve overrides the answer to a request that runs; nil means the usual one.
	serve func(*request) bool
	// ran is called when the searcher begins to work on a request.
	ran func(*request)

	ln       net.Listener
	stopped  chan struct{}
	once     sync.Once
	beating  atomic.Bool
	leaving  atomic.Bool
	coldTill atomic.Int64 // Unix nanoseconds
	sequence atomic.Int64
	first    atomic.Int32 // control program that heartbeats go to first

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// request is a request that has reached a searcher.
type request struct {
	*http.Request
	id   string
	body []byte
	conn net.Conn
	at   time.Time
}

func (w *world) newSearcher(service string, zoneIndex, machine int, work time.Duration) *searcher {
	s := &searcher{
		w: w, id: fmt.Sprintf("i-%s-%d-%d", service, machine, time.Now().UnixMilli()), service: service, zone: zoneIndex,
		address: fmt.Sprintf("%s:%d", w.ip(machine), searcherPort), born: time.Now().UnixMilli(), work: work,
		stopped: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	s.first.Store(int32(zoneIndex)) //nolint:gosec // Small.

	return s
}

// start listens and begins to send heartbeats.
func (s *searcher) start() error {
	ln, err := net.Listen("tcp", s.address) //nolint:noctx // A loopback address.
	if err != nil {
		return err
	}

	s.ln = ln
	s.beating.Store(true)
	s.w.mu.Lock()
	s.w.searchers = append(s.w.searchers, s)
	s.w.mu.Unlock()

	go s.accept()
	go s.heartbeats()

	return nil
}

// crash ends the searcher without notice.
func (s *searcher) crash() {
	s.once.Do(func() {
		close(s.stopped)

		if s.ln != nil {
			_ = s.ln.Close()
		}

		s.mu.Lock()
		defer s.mu.Unlock()

		for c := range s.conns {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}

			_ = c.Close()
		}
	})
}

func (s *searcher) ended() bool {
	select {
	case <-s.stopped:
		return true
	default:
		return false
	}
}

func (s *searcher) heartbeats() {
	for !s.ended() {
		if s.beating.Load() {
			s.beat()
		}

		select {
		case <-s.stopped:
		case <-time.After(heartbeatInterval):
		}
	}
}

// beat sends a heartbeat to the control programs in turn until one acknowledges it.
func (s *searcher) beat() bool {
	state := "ready"
	if s.leaving.Load() {
		state = "draining"
	}

	list := s.w.role("control")
	body := map[string]any{
		"service": s.service, "address": s.address, "zone": zone(s.zone), "version": "v1", "capacity": 3, "state": state,
		"warmupLeftMs": max(time.Until(time.Unix(0, s.coldTill.Load())).Milliseconds(), 0), "sequence": s.sequence.Add(1), "born": s.born,
	}

	for i := range list {
		p := list[(int(s.first.Load())+i)%len(list)]
		if status, _ := call(http.MethodPut, fmt.Sprintf("http://%s:%d/instances/%s", p.ip(), controlPort, s.id), body); status == http.StatusOK {
			return true
		}
	}

	return false
}

// depart sends the call by which a searcher says that it is gone. It returns the program that acknowledged it.
func (s *searcher) depart(first int) *program {
	s.beating.Store(false)
	s.leaving.Store(true)

	list := s.w.role("control")

	for i := range list {
		p := list[(first+i)%len(list)]
		if status, _ := call(http.MethodDelete, fmt.Sprintf("http://%s:%d/instances/%s", p.ip(), controlPort, s.id), map[string]any{"born": s.born}); status == http.StatusOK {
			return p
		}
	}

	return nil
}

func (s *searcher) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}

		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()

		go s.connection(c)
	}
}

func (s *searcher) connection(c net.Conn) {
	defer func() {
		_ = c.Close()

		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()

	for r := bufio.NewReaderSize(c, 64<<10); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}

		at := time.Now()

		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}

		if !s.answer(&request{Request: req, id: req.Header.Get("X-Request-Id"), body: body, conn: c, at: at}) {
			return
		}
	}
}

// answer answers one request. It returns false if the connection has to be closed.
func (s *searcher) answer(r *request) bool {
	if r.RequestURI == "/health" {
		return s.health(r)
	}

	if r.Header.Get("X-Expect-Instance") != s.id {
		return s.reply(r, http.StatusMisdirectedRequest, "X-Not-Executed: 1\r\n", nil)
	}

	if s.ran != nil || s.w.recordAll.Load() {
		s.w.note("searcher %s runs %s %s id %s", s.id, r.Method, r.RequestURI, r.id)
	}

	if s.ran != nil {
		s.ran(r)
	}

	if s.serve != nil {
		return s.serve(r)
	}

	select {
	case <-time.After(s.work):
	case <-s.stopped:
		return false
	}

	return s.usual(r)
}

func (s *searcher) health(r *request) bool {
	status := http.StatusOK
	if s.leaving.Load() {
		status = http.StatusServiceUnavailable
	}

	extra := "X-Instance-Id: " + s.id + "\r\n"
	if left := time.Until(time.Unix(0, s.coldTill.Load())); left > 0 {
		extra += fmt.Sprintf("X-Warmup-Ms: %d\r\n", left.Milliseconds())
	}

	return s.reply(r, status, extra, nil)
}

// usual sends the answer of a sound searcher.
func (s *searcher) usual(r *request) bool {
	body := responseBody(s.service, r.RequestURI)

	return s.reply(r, http.StatusOK, "X-Response-Seal: "+seal(s.service, r.id, body)+"\r\n", body)
}

// reply sends an answer with a status, further header lines and a body.
func (s *searcher) reply(r *request, status int, extra string, body []byte) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if r.id != "" {
		head += "X-Request-Id: " + r.id + "\r\n"
	}

	if s.leaving.Load() {
		head += "Server-Leaving: 1\r\n"
	}

	_, err := r.conn.Write(append([]byte(head+extra+"\r\n"), body...))

	return err == nil
}

const (
	partRecords = 12
	recordBytes = 16
)

// responseBody returns the body of a service for a path: records in no particular order.
func responseBody(service, path string) (out []byte) {
	for i := range partRecords {
		sum := sha256.Sum256([]byte(service + path + strconv.Itoa(i)))
		out = append(out, sum[:recordBytes]...)
	}

	return out
}

// seal returns the signature of an answer.
func seal(service, id string, body []byte) string {
	sum := sha256.Sum256(append([]byte(service+"\n"+id+"\n"), body...))

	return service + "." + hex.EncodeToString(sum[:8])
}
