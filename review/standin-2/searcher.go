package main

import (
	"bufio"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// searcher is a stand-in that follows the users' protocol. It serves one request at a time on a connection.
type searcher struct {
	w       *world
	id      string
	service string
	zone    string
	host    int
	port    int
	slots   int
	queue   int
	work    func() time.Duration
	// arrived is called when the searcher has read a request, and began when it starts to work on it.
	arrived, began func(s *searcher, id string)
	// extra decides whether an answer with the given status is sent a second time, at the point where the next one is expected. It
	// may be nil.
	extra func(status int) bool
	quiet bool  // its runs are not recorded
	path  *link // to the machines of the system, nil if it is never cut

	ln     net.Listener
	born   int64
	silent chan struct{} // closed when the searcher sends no more reports

	mu      sync.Mutex
	working int
	waiting []chan struct{}
	conns   map[net.Conn]struct{}
}

func (s *searcher) start() error {
	var (
		cfg net.ListenConfig
		err error
	)

	if s.ln, err = cfg.Listen(s.w.ctx, "tcp", s.w.address(s.host, s.port)); err != nil {
		return fmt.Errorf("listen as searcher: %w", err)
	}

	s.born = time.Now().UnixMilli()
	s.conns = map[net.Conn]struct{}{}
	s.silent = make(chan struct{})
	s.working, s.waiting = 0, nil

	ln, silent, born := s.ln, s.silent, s.born

	s.w.wg.Go(func() { s.accept(ln) })
	s.w.wg.Go(func() { s.heartbeats(born, silent) })
	s.w.wg.Go(func() {
		<-s.w.ctx.Done()
		s.close()
	})

	return nil
}

func (s *searcher) close() {
	_ = s.ln.Close()

	s.mu.Lock()
	defer s.mu.Unlock()

	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *searcher) stopHeartbeats() { close(s.silent) }

func (s *searcher) heartbeats(born int64, silent chan struct{}) {
	for sequence := 1; ; sequence++ {
		// A call on a new connection fails while the path is cut.
		if s.path == nil || !s.path.isCut() {
			s.w.report(s.id, map[string]any{
				"service": s.service, "address": s.w.address(s.host, s.port), "zone": s.zone, "version": "v1", "capacity": s.slots,
				"state": "ready", "warmupLeftMs": 0, "sequence": sequence, "born": born,
			})
		}

		wait := time.NewTimer(heartbeat)

		select {
		case <-s.w.ctx.Done():
			return
		case <-silent:
			return
		case <-wait.C:
		}
	}
}

func (s *searcher) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}

		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()

		s.w.wg.Go(func() {
			s.serve(c)
			_ = c.Close()

			s.mu.Lock()
			defer s.mu.Unlock()

			delete(s.conns, c)
		})
	}
}

// answer is a response as bytes, nil if there is none.
type answer []byte

func (s *searcher) serve(c net.Conn) {
	var (
		r       = bufio.NewReader(c)
		pending answer
	)

	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}

		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}

		for s.path != nil && s.path.isCut() {
			s.w.sleep(firstRetransmission)
		}

		status, a := s.handle(c, r, req, body)
		if a == nil {
			return
		}

		// An extra response of the last request arrives where the response to this one is expected.
		if _, err := c.Write(append(pending, a...)); err != nil {
			return
		}

		pending = nil
		if s.extra != nil && s.extra(status) {
			pending = a
			s.w.rec.add("%s will send its answer to %s again to %s", s.id, req.Header.Get("X-Request-Id"), c.RemoteAddr())
		}
	}
}

// handle returns the answer to a request and its status, nil if the connection was closed before.
func (s *searcher) handle(c net.Conn, r *bufio.Reader, req *http.Request, body []byte) (status int, a answer) {
	id := req.Header.Get("X-Request-Id")

	switch expected := req.Header.Get("X-Expect-Instance"); {
	case req.URL.Path == "/health":
		return http.StatusOK, response(http.StatusOK, "", "X-Instance-Id: "+s.id+"\r\n", nil)
	case expected != "" && expected != s.id:
		return http.StatusMisdirectedRequest, response(http.StatusMisdirectedRequest, id, "X-Not-Executed: 1\r\n", nil)
	}

	if s.arrived != nil {
		s.arrived(s, id)
	}

	if !s.acquire() {
		s.w.rec.add("%s is full and rejects %s from %s", s.id, id, c.RemoteAddr())

		return http.StatusServiceUnavailable, response(http.StatusServiceUnavailable, id, "X-Not-Executed: 1\r\n", nil)
	}
	defer s.release()

	if !s.quiet {
		s.w.rec.add("%s runs %s from %s", s.id, id, c.RemoteAddr())
	}

	s.began(s, id)

	if !s.workFor(c, r, s.work()) {
		if !s.quiet {
			s.w.rec.add("%s drops %s, whose connection has closed", s.id, id)
		}

		return 0, nil
	}

	out := []byte("result of " + id + " " + strconv.Itoa(len(body)))
	seal := fmt.Sprintf("X-Response-Seal: %08x.%d\r\n", crc32.ChecksumIEEE(out), len(out))

	return http.StatusOK, response(http.StatusOK, id, seal, out)
}

// acquire waits for a slot. It returns false if the queue is full.
func (s *searcher) acquire() bool {
	s.mu.Lock()

	if s.working < s.slots {
		s.working++
		s.mu.Unlock()

		return true
	}

	if len(s.waiting) >= s.queue {
		s.mu.Unlock()

		return false
	}

	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.mu.Unlock()

	select {
	case <-turn:
		return true
	case <-s.w.ctx.Done():
		return false
	}
}

// release passes the slot to the request that has waited longest.
func (s *searcher) release() {
	s.mu.Lock()
	defer s.mu.Unlock()

	if len(s.waiting) == 0 {
		s.working--

		return
	}

	close(s.waiting[0])
	s.waiting = s.waiting[1:]
}

// workFor returns false if the connection closes before the work is done.
func (s *searcher) workFor(c net.Conn, r *bufio.Reader, d time.Duration) bool {
	if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
		return false
	}

	_, err := r.Peek(1)

	var timeout net.Error

	if err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()) {
		return false
	}

	return c.SetReadDeadline(time.Time{}) == nil
}

func response(status int, id, header string, body []byte) answer {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		head += "X-Request-Id: " + id + "\r\n"
	}

	return append([]byte(fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n", head, header, len(body))), body...)
}

// around returns a random duration between half of d and one and a half of it.
func around(d time.Duration) time.Duration { return d/2 + rand.N(d) }
