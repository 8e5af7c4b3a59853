package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is what a client has received. Status 0 means that no whole answer came.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

// send sends a request to the address of an entry program on a new connection and waits for the answer.
func (w *world) send(address, method, path, id string, deadline time.Duration, body string) answer {
	began := time.Now()
	a := exchange(address, method, path, id, deadline, body)
	a.took = time.Since(began)
	w.note("client sent %s %s id %s to %s: status %d after %d ms, error %v", method, path, id, address, a.status, a.took.Milliseconds(), a.err)

	return a
}

func exchange(address, method, path, id string, deadline time.Duration, body string) answer {
	c, err := net.DialTimeout("tcp", address, time.Second) //nolint:noctx // It has a timeout.
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()

	_ = c.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())

	if body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}

	if _, err := io.WriteString(c, head+"\r\n"+body); err != nil {
		return answer{err: err}
	}

	return readAnswer(bufio.NewReader(c), method)
}

func readAnswer(r *bufio.Reader, method string) answer {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()

	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}

	return answer{status: resp.StatusCode, header: resp.Header, body: data}
}
