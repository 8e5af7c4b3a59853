package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// answer is what a caller receives. Status 0 means that there was no complete answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

func (a *answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}

	return strconv.Itoa(a.status)
}

// call sends a request on a new connection.
func (w *world) call(ctx context.Context, method, url string, header http.Header, body []byte, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	began := time.Now()

	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}

	for name, values := range header {
		req.Header[name] = values
	}

	if h := header.Get("Host"); h != "" {
		req.Host = h
	}

	resp, err := w.client.Do(req)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer func() { _ = resp.Body.Close() }()

	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}

	return answer{status: resp.StatusCode, header: resp.Header, body: data, took: time.Since(began)}
}

// newID returns the id of a client attempt.
func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.sequence++

	return fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(w.sequence)) //nolint:gosec // Small.
}

// send sends one client attempt to a front.
func (w *world) send(ctx context.Context, m *machine, method, path, id string, body []byte, deadline time.Duration, more http.Header) answer {
	h := http.Header{}
	for name, values := range more {
		h[name] = values
	}

	h.Set("Host", host)
	h.Set("X-Request-Id", id)
	h.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))

	return w.call(ctx, method, "http://"+net.JoinHostPort(m.ip, fmt.Sprint(w.ports.front))+path, h, body, deadline)
}
