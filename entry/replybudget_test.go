package entry

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"fulmarfall/query"
)

// zeros is an endless reader, about as fast as a few of the users' network links together.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	time.Sleep(5 * time.Millisecond)
	clear(p)

	return min(len(p), 64<<10), nil
}

// Guards against searchers that send endless answers and together exhaust the memory of the process, or starve the
// answers of other searchers.
func TestEndlessAnswersAreBounded(t *testing.T) {
	const (
		faulty = 60
		// maxAddedMemory bounds the growth of the heap caused by 60 such searchers.
		maxAddedMemory = 64 << 20
	)

	var (
		budget  replyBudget
		wg      sync.WaitGroup
		stop    = make(chan struct{})
		start   runtime.MemStats
		current runtime.MemStats
		peak    int64
	)

	runtime.GC()
	runtime.ReadMemStats(&start)

	for range faulty {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}

				c := &Conn{budget: &budget}
				if _, err := c.ReadBody(zeros{}, UnknownLength); !errors.Is(err, errReplyTooLarge) && !errors.Is(err, errReplyMemory) {
					t.Errorf("reading an endless body: error %v, want one of the memory limits", err)
				}

				c.transferReservation(nil)
			}
		})
	}

	valid := strings.Repeat("0123456789abcdef", 1024) // 16 KiB, about the size of the largest answers on the users' sheets

	for range 200 {
		c := &Conn{budget: &budget}

		body, err := c.ReadBody(strings.NewReader(valid), UnknownLength)
		if err != nil || string(body) != valid {
			t.Errorf("valid answer next to endless ones: %d bytes, error %v", len(body), err)
		}

		c.transferReservation(nil)
		runtime.ReadMemStats(&current)

		if got := int64(current.HeapInuse) - int64(start.HeapInuse); got > maxAddedMemory {
			t.Fatalf("the answers use %d MiB", got>>20)
		} else if got > peak {
			peak = got
		}

		time.Sleep(5 * time.Millisecond)
	}

	close(stop)
	wg.Wait()
	t.Logf("the answers used at most %d MiB", peak>>20)

	if reserved := budget.reserved.Load(); reserved != 0 {
		t.Errorf("%d bytes are still reserved after all answers have been released", reserved)
	}
}

// Guards against complete answers that are truncated by the limits, and against stated lengths that are trusted
// unchecked.
func TestReadBody(t *testing.T) {
	for name, tc := range map[string]struct {
		sent   int
		length int64
		want   error
	}{
		"empty":                                {0, 0, nil},
		"stated length":                        {18 << 10, 18 << 10, nil},
		"unknown length":                       {18 << 10, UnknownLength, nil},
		"largest":                              {maxReplyBytes, maxReplyBytes, nil},
		"above the limit":                      {maxReplyBytes + 1, UnknownLength, errReplyTooLarge},
		"stated length above the limit":        {10, maxReplyBytes + 1, errReplyTooLarge},
		"fewer bytes than stated":              {10, 11, io.ErrUnexpectedEOF},
		"more bytes than stated":               {11, 10, nil},
		"unknown length, buffer partly filled": {initialBodyBuffer + 1, UnknownLength, nil},
	} {
		t.Run(name, func(t *testing.T) {
			c := &Conn{}
			sent := bytes.Repeat([]byte("x"), tc.sent)

			body, err := c.ReadBody(bytes.NewReader(sent), tc.length)
			if !errors.Is(err, tc.want) {
				t.Fatalf("error %v, want %v", err, tc.want)
			}

			want := tc.sent
			if tc.length != UnknownLength {
				want = int(tc.length)
			}

			if err == nil && len(body) != want {
				t.Errorf("%d bytes, want %d", len(body), want)
			}
		})
	}
}

// boundedCodec reads bodies within the memory limits of the process.
type boundedCodec struct{ benchCodec }

func (boundedCodec) ReadReply(c *Conn, _ *Request) (*Reply, error) {
	resp, err := http.ReadResponse(c.R, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()

	body, err := c.ReadBody(resp.Body, UnknownLength)
	if err != nil {
		return nil, err
	}

	return &Reply{Status: resp.StatusCode, Body: body, Signature: "s", Reusable: true}, nil
}

// Guards against a searcher with an endless answer that counts as healthy, or as crashed by the request, and against
// the reuse of its connection.
func TestEndlessAnswerClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	addr := startSearcher(t, func(c net.Conn) {
		defer close(closed)

		if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
			return
		}

		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")

		for {
			if _, err := c.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	})

	n := newServingNode(t, 1)
	n.codec = boundedCodec{}
	addRoute(n, "endless", addr, true)

	a := &attempt{send: &query.Send{Searcher: "endless", Deadline: time.Now().Add(20 * time.Second)}}

	reply, f := n.exchange(&Request{ID: "q"}, a)
	if f != failureBadReply {
		t.Errorf("the attempt ended as %q with reply %v, want %q", f, reply, failureBadReply)
	}

	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Errorf("the connection is still open")
	}

	if reserved := n.budget.reserved.Load(); reserved != 0 {
		t.Errorf("%d bytes are still reserved", reserved)
	}
}
