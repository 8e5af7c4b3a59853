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

// zeros is a reader without end, as fast as a few links of the users' machines.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	time.Sleep(5 * time.Millisecond)
	clear(p)

	return min(len(p), 64<<10), nil
}

// Guards against searchers whose answers have no end and that together take the memory of the process, or keep the answers
// of the others out.
func TestEndlessAnswersAreBounded(t *testing.T) {
	const (
		faulty = 60
		// mostMemory is what 60 such searchers may add to the process.
		mostMemory = 64 << 20
	)

	var (
		in    replyBudget
		wg    sync.WaitGroup
		stop  = make(chan struct{})
		start runtime.MemStats
		seen  runtime.MemStats
		peak  int64
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

				c := &Conn{budget: &in}
				if _, err := c.ReadBody(zeros{}, UnknownLength); !errors.Is(err, errReplyTooLarge) && !errors.Is(err, errReplyMemory) {
					t.Errorf("a body without end ends with %v", err)
				}

				c.transferReservation(nil)
			}
		})
	}

	sound := strings.Repeat("0123456789abcdef", 1024) // 16 KiB, as the largest answers on the sheets

	for range 200 {
		c := &Conn{budget: &in}

		body, err := c.ReadBody(strings.NewReader(sound), UnknownLength)
		if err != nil || string(body) != sound {
			t.Errorf("a sound answer beside them: %d bytes, error %v", len(body), err)
		}

		c.transferReservation(nil)
		runtime.ReadMemStats(&seen)

		if got := int64(seen.HeapInuse) - int64(start.HeapInuse); got > mostMemory {
			t.Fatalf("the answers take %d MiB", got>>20)
		} else if got > peak {
			peak = got
		}

		time.Sleep(5 * time.Millisecond)
	}

	close(stop)
	wg.Wait()
	t.Logf("the answers took %d MiB at most", peak>>20)

	if held := in.reserved.Load(); held != 0 {
		t.Errorf("%d bytes are still counted after all answers have ended", held)
	}
}

// Guards against answers that are cut by the bounds although they are whole, and against announced lengths that are believed.
func TestReadBody(t *testing.T) {
	for name, tc := range map[string]struct {
		sent   int
		length int64
		want   error
	}{
		"empty":                         {0, 0, nil},
		"a length":                      {18 << 10, 18 << 10, nil},
		"no length":                     {18 << 10, UnknownLength, nil},
		"the largest":                   {maxReplyBytes, maxReplyBytes, nil},
		"above it":                      {maxReplyBytes + 1, UnknownLength, errReplyTooLarge},
		"a length above it":             {10, maxReplyBytes + 1, errReplyTooLarge},
		"fewer bytes than were stated":  {10, 11, io.ErrUnexpectedEOF},
		"more bytes than were stated":   {11, 10, nil},
		"no length and not a full room": {initialBodyBuffer + 1, UnknownLength, nil},
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

// boundedCodec reads bodies within the bounds of the process.
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

// Guards against a searcher whose answer has no end and that counts as sound, or as crashed by the request, and against its
// connection being used again.
func TestAnswerWithoutEnd(t *testing.T) {
	closed := make(chan struct{})
	addr := searcherThat(t, func(c net.Conn) {
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
		t.Errorf("ended as %q with %v, want %q", f, reply, failureBadReply)
	}

	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Errorf("the connection is still open")
	}

	if held := n.budget.reserved.Load(); held != 0 {
		t.Errorf("%d bytes are still counted", held)
	}
}
