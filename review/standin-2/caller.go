package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// caller sends requests one after the other, as the client of one zone.
type caller struct {
	w        *world
	zone     int
	host     string // of the route
	path     string
	method   string
	body     []byte
	deadline time.Duration
	// pause is the mean time between two requests.
	pause time.Duration
	// answered is called with the status of each attempt, 0 without an answer.
	answered func(id string, status int)
	// brief leaves one line for a request in the record.
	brief bool
}

var requestNumber atomic.Int64

func (c *caller) run() {
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second,
	}
	defer transport.CloseIdleConnections()

	var (
		addresses []string
		until     time.Time
	)

	for c.w.sleep(around(c.pause)) {
		if time.Now().After(until) {
			if list, ttl, err := c.resolve(); err == nil && len(list) > 0 {
				addresses, until = list, time.Now().Add(ttl)
			}
		}

		if len(addresses) == 0 {
			continue
		}

		id := fmt.Sprintf("q%07d", requestNumber.Add(1))
		at := addresses[rand.IntN(len(addresses))]

		if !c.brief {
			c.w.rec.add("caller sends %s %s to %s", c.method, id, at)
		}

		began := c.w.rec.now()
		status, err := c.send(transport, at, id)

		if c.brief {
			c.w.rec.add("caller gets %d (%v) for %s %s, sent to %s at %.3f", status, err, c.method, id, at, began.Seconds())
		} else {
			c.w.rec.add("caller gets %d (%v) for %s", status, err, id)
		}

		if c.answered != nil {
			c.answered(id, status)
		}
	}
}

// resolve asks the directories, the nearest first.
func (c *caller) resolve() ([]string, time.Duration, error) {
	for i := range zones {
		p := c.w.entries[(c.zone+i)%zones]
		url := fmt.Sprintf("http://%s/resolve?name=%s&region=%s&zone=%s", c.w.address(p.host, directoryPort), c.host, region(c.zone), zone(c.zone))

		if list, ttl, err := c.ask(url); err == nil {
			return list, ttl, nil
		}
	}

	return nil, 0, errors.New("no directory has answered")
}

func (c *caller) ask(url string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(c.w.ctx, time.Second)
	defer cancel()

	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, 0, fmt.Errorf("make request: %w", err)
	}

	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

	resp, err := client.Do(req)
	if err != nil {
		return nil, 0, fmt.Errorf("ask directory: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()

	var out struct {
		Addrs []string `json:"addrs"`
		TTLS  float64  `json:"ttl_s"`
	}

	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil || resp.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("directory answers %d: %w", resp.StatusCode, err)
	}

	return out.Addrs, time.Duration(out.TTLS * float64(time.Second)), nil
}

// send makes one attempt. The caller waits for the answer until its deadline.
func (c *caller) send(transport *http.Transport, at, id string) (status int, err error) {
	ctx, cancel := context.WithTimeout(c.w.ctx, c.deadline)
	defer cancel()

	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+at+c.path+id, bytes.NewReader(c.body))
	if err != nil {
		return 0, fmt.Errorf("make request: %w", err)
	}

	req.Host = c.host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))

	// The transport repeats requests only if they are idempotent by their method; these bear an id and must not be repeated.
	req.GetBody = nil

	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, fmt.Errorf("send: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()

	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, fmt.Errorf("read answer: %w", err)
	}

	return resp.StatusCode, nil
}
