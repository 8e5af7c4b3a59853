package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// Times of a caller of a control VM.
const (
	// orderTimeout is the time after which a caller moves on to another control VM.
	orderTimeout   = time.Second
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// order sends an order to the control VMs until one acknowledges it, beginning with the given one.
func (w *world) order(method, path string, body []byte, first int, within time.Duration) error {
	var (
		end     = time.Now().Add(within)
		backoff = initialBackoff
	)

	for i := first; time.Now().Before(end); i++ {
		p := w.controls[i%len(w.controls)]
		w.rec.add("operator sends %s %s to %s", method, path, p.name)

		status, err := w.call(p, method, path, body)
		w.rec.add("operator gets %d (%v) for %s %s from %s", status, err, method, path, p.name)

		if status >= 200 && status < 300 {
			return nil
		}

		if !w.sleep(backoff) {
			break
		}

		backoff = min(2*backoff, maxBackoff)
	}

	return fmt.Errorf("%s %s was not acknowledged", method, path)
}

// call makes one call to a control VM on a new connection. It returns status 0 without an answer.
func (w *world) call(p *process, method, path string, body []byte) (status int, err error) {
	ctx, cancel := context.WithTimeout(w.ctx, orderTimeout)
	defer cancel()

	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.address(p.host, controlPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("make call: %w", err)
	}

	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}

	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

	resp, err := client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("call: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()

	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, fmt.Errorf("read answer: %w", err)
	}

	return resp.StatusCode, nil
}

// report sends a liveness report to a random control VM, and to others until one acknowledges it.
func (w *world) report(id string, content map[string]any) {
	body, err := json.Marshal(content)
	if err != nil {
		return // The content is a map of strings and numbers.
	}

	for _, i := range rand.Perm(len(w.controls)) {
		if status, _ := w.call(w.controls[i], http.MethodPut, "/instances/"+id, body); status >= 200 && status < 300 {
			return
		}
	}
}
