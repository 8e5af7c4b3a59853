package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// load is a crowd of clients of one zone. Each has one connection at a time and sends the next request at a set interval.
type load struct {
	w        *world
	zone     int
	deadline time.Duration

	mu    sync.Mutex
	addrs []string

	stopped chan struct{}
	wg      sync.WaitGroup
	counts  [600]atomic.Int64 // by status
}

func (w *world) newLoad(zoneIndex int, deadline time.Duration) *load {
	l := &load{w: w, zone: zoneIndex, deadline: deadline, stopped: make(chan struct{})}
	l.wg.Go(l.resolveLoop)

	return l
}

// resolveLoop asks the directories of the zone where to connect, as clients do.
func (l *load) resolveLoop() {
	for {
		for _, p := range l.w.role("entry") {
			if p.index%zoneCount != l.zone {
				continue
			}

			if addrs := p.resolve(l.zone); len(addrs) > 0 {
				l.mu.Lock()
				l.addrs = addrs
				l.mu.Unlock()

				break
			}
		}

		select {
		case <-l.stopped:
			return
		case <-time.After(2 * time.Second):
		}
	}
}

func (l *load) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()

	if len(l.addrs) == 0 {
		return ""
	}

	return l.addrs[rand.IntN(len(l.addrs))]
}

// add adds clients that send a request to a path each interval.
func (l *load) add(path string, clients int, interval time.Duration) {
	for range clients {
		l.wg.Go(func() { l.client(path, interval) })
	}
}

func (l *load) client(path string, interval time.Duration) {
	var (
		c net.Conn
		r *bufio.Reader
	)

	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()

	for next := time.Now().Add(rand.N(interval)); ; next = next.Add(interval) {
		select {
		case <-l.stopped:
			return
		case <-time.After(time.Until(next)):
		}

		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", l.address(), time.Second); err != nil { //nolint:noctx // It has a timeout.
				l.counts[0].Add(1)

				c = nil

				continue
			}

			r = bufio.NewReader(c)
		}

		id := newID()
		_ = c.SetDeadline(time.Now().Add(l.deadline))
		_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 4\r\n\r\nbook", path, host, id, l.deadline.Milliseconds())

		resp, err := http.ReadResponse(r, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}

		if err != nil {
			l.counts[0].Add(1)
			l.note("client of %s sent POST %s id %s to %s: no answer: %v", zone(l.zone), path, id, c.RemoteAddr(), err)
			_ = c.Close()
			c = nil

			continue
		}

		l.note("client of %s sent POST %s id %s to %s: status %d", zone(l.zone), path, id, c.RemoteAddr(), resp.StatusCode)

		l.counts[resp.StatusCode].Add(1)

		if resp.Close {
			_ = c.Close()
			c = nil
		}
	}
}

func (l *load) note(format string, args ...any) {
	if l.w.recordAll.Load() {
		l.w.note(format, args...)
	}
}

func (l *load) stop() string {
	close(l.stopped)
	l.wg.Wait()

	text := ""
	for status := range l.counts {
		if n := l.counts[status].Load(); n > 0 {
			text += fmt.Sprintf(" %d: %d", status, n)
		}
	}

	return text
}
