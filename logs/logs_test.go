package logs

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// blockedWriter blocks all writes until release is closed.
type blockedWriter struct {
	release chan struct{}

	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release

	w.mu.Lock()
	defer w.mu.Unlock()

	return w.written.Write(b)
}

// Guards against a logger that wakes an idle process ten times per second, and against lines that stay in the buffer until
// further lines arrive.
func TestIdleLoggerDoesNotWake(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	close(out.release)

	w := newWriter(out)
	defer w.close()

	for lines := range 3 {
		time.Sleep(3 * flushInterval)

		w.mu.Lock()
		flushes := w.flushes
		w.mu.Unlock()

		out.mu.Lock()
		got := strings.Count(out.written.String(), "line")
		out.mu.Unlock()

		if diff := cmp.Diff([2]int{lines, lines}, [2]int{flushes, got}); diff != "" {
			t.Errorf("after %d lines, flushes and lines written differ (-want +got):\n%s", lines, diff)
		}

		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatalf("write: %v", err)
		}
	}
}

// Guards against a process that blocks on a slow log reader, against a log of unbounded volume, and against lines that are
// dropped silently.
func TestLoggerNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	logger, stop := New(out, "info", "p")

	done := make(chan struct{})

	go func() {
		defer close(done)

		for i := range 3 * maxLinesPerSecond {
			logger.Info().Int("n", i).Msg("line")
		}
	}()

	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatalf("the logger blocks on its output")
	}

	close(out.release)
	stop()

	text := out.written.String()
	if lines := strings.Count(text, `"message":"line"`); lines == 0 || lines > 2*maxLinesPerSecond {
		t.Errorf("%d lines were written, want at most %d", lines, 2*maxLinesPerSecond)
	}

	if !strings.Contains(text, `"message":"log lines dropped"`) {
		t.Errorf("the number of dropped lines is not logged")
	}
}

// Guards against an explanation that omits what decided a request, includes other requests, or is out of order.
func TestExplain(t *testing.T) {
	entryLog := strings.Join([]string{
		`{"time":"2026-01-01T00:00:00.5Z","process":"e1","instance":"s1","state":0,"message":"roster changed"}`,
		`{"time":"2026-01-01T00:00:01Z","process":"e1","instance":"s1","state":1,"message":"roster changed"}`,
		`{"time":"2026-01-01T00:00:02Z","process":"e1","request":"a","searcher":"s1","failure":"lost","message":"attempt"}`,
		`{"time":"2026-01-01T00:00:02.1Z","request":"b","searcher":"s2","message":"attempt"}`,
		`{"time":"2026-01-01T00:00:03Z","process":"e1","request":"a","outcome":"unknown","message":"request ended"}`,
		`not a line`,
	}, "\n")
	controlLog := strings.Join([]string{
		`0.9 core-1 {"time":"2026-01-01T00:00:00.9Z","process":"c1","instance":"s1","state":1,"message":"roster changed"}`,
		`0.9 core-1 {"time":"2026-01-01T00:00:00.9Z","instance":"s2","state":1,"message":"roster changed"}`,
		`9.0 core-1 {"time":"2026-01-01T00:00:09Z","instance":"s1","state":2,"message":"roster changed"}`,
	}, "\n")

	lines, err := Explain("a", []Source{{"entry", strings.NewReader(entryLog)}, {"control", strings.NewReader(controlLog)}})
	if err != nil {
		t.Fatalf("explain: %v", err)
	}

	var got []string
	for _, l := range lines {
		got = append(got, l.Source+" "+l.At.Format("05.0")+" "+l.fields["message"].(string))
	}

	want := []string{"entry 01.0 roster changed", "entry 02.0 attempt", "entry 03.0 request ended"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lines differ (-want +got):\n%s", diff)
	}

	if _, err := Explain("c", []Source{{"entry", strings.NewReader(entryLog)}}); err == nil {
		t.Errorf("a request that no line names gives no error")
	}
}

// Guards against an explanation that does not show why a request went to a slow or distant searcher: the others of its
// shard had asked for no more requests.
func TestExplainIncludesNotices(t *testing.T) {
	entryLog := strings.Join([]string{
		`{"time":"2026-01-01T00:00:00.5Z","process":"e1","searcher":"s3","upstream":"u1","leaving":false,"rest":1000,"message":"searcher asks for no more requests"}`,
		`{"time":"2026-01-01T00:00:01Z","process":"e1","searcher":"s3","upstream":"u1","leaving":true,"rest":0,"message":"searcher asks for no more requests"}`,
		`{"time":"2026-01-01T00:00:01.5Z","process":"e1","searcher":"s4","upstream":"u2","leaving":true,"rest":0,"message":"searcher asks for no more requests"}`,
		`{"time":"2026-01-01T00:00:01.6Z","process":"e2","searcher":"s5","upstream":"u1","leaving":true,"rest":0,"message":"searcher asks for no more requests"}`,
		`{"time":"2026-01-01T00:00:02Z","process":"e1","request":"a","searcher":"s1","shard":"u1","failure":"timeout","message":"attempt"}`,
	}, "\n")

	lines, err := Explain("a", []Source{{"entry", strings.NewReader(entryLog)}})
	if err != nil {
		t.Fatalf("explain: %v", err)
	}

	var got []string
	for _, l := range lines {
		got = append(got, l.At.Format("05.0")+" "+l.fields["searcher"].(string))
	}

	if diff := cmp.Diff([]string{"01.0 s3", "02.0 s1"}, got); diff != "" {
		t.Errorf("lines differ (-want +got):\n%s", diff)
	}
}

// Guards against an explanation of a convicted request without the evidence from earlier requests with its fingerprint.
func TestExplainIncludesEvidence(t *testing.T) {
	first := strings.Join([]string{
		`{"time":"2026-01-01T00:00:00.4Z","process":"e1","request":"x","fingerprint":"07","route":"r","message":"request ended"}`,
		`{"time":"2026-01-01T00:00:00.5Z","process":"e1","request":"x","fingerprint":"07","lost":2,"evidence":true,"message":"connections lost under a request"}`,
		`{"time":"2026-01-01T00:00:00.6Z","process":"e1","request":"y","fingerprint":"08","lost":2,"evidence":true,"message":"connections lost under a request"}`,
		`{"time":"2026-01-01T00:00:00.7Z","process":"e1","fingerprint":"07","convicts":true,"message":"evidence stored"}`,
		`{"time":"2026-01-01T00:00:09Z","process":"e1","fingerprint":"07","convicts":true,"message":"evidence stored"}`,
	}, "\n")
	second := `{"time":"2026-01-01T00:00:01Z","process":"e2","request":"a","fingerprint":"07","route":"r","reason":"convicted","message":"request ended"}`

	lines, err := Explain("a", []Source{{"e1", strings.NewReader(first)}, {"e2", strings.NewReader(second)}})
	if err != nil {
		t.Fatalf("explain: %v", err)
	}

	var got []string
	for _, l := range lines {
		got = append(got, l.At.Format("05.0")+" "+l.fields["message"].(string))
	}

	want := []string{"00.5 connections lost under a request", "00.7 evidence stored", "01.0 request ended"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lines differ (-want +got):\n%s", diff)
	}
}

// Guards against an explanation that does not show why a request was refused as limited or went to a distant searcher: the
// request limits in force at its process, however old.
func TestExplainIncludesRequestLimits(t *testing.T) {
	entryLog := strings.Join([]string{
		`{"time":"2026-01-01T00:00:00Z","process":"e1","searcher":"s1","upstream":"u1","limited":true,"limit":4,"message":"request limit of a searcher changed"}`,
		`{"time":"2026-01-01T00:00:01Z","process":"e1","searcher":"s1","upstream":"u1","limited":true,"limit":2,"message":"request limit of a searcher changed"}`,
		`{"time":"2026-01-01T00:00:02Z","process":"e1","searcher":"s2","upstream":"u1","limited":true,"limit":4,"message":"request limit of a searcher changed"}`,
		`{"time":"2026-01-01T00:00:03Z","process":"e1","searcher":"s2","upstream":"u1","limited":false,"limit":0,"message":"request limit of a searcher changed"}`,
		`{"time":"2026-01-01T00:00:04Z","process":"e2","searcher":"s3","upstream":"u1","limited":true,"limit":4,"message":"request limit of a searcher changed"}`,
		`{"time":"2026-01-01T00:00:40Z","process":"e1","request":"a","route":"r","reason":"limited","without_room":1,"message":"request ended"}`,
		`{"time":"2026-01-01T00:00:40Z","process":"e1","request":"b","route":"r","without_room":0,"message":"request ended"}`,
		`{"time":"2026-01-01T00:00:41Z","process":"e1","searcher":"s4","upstream":"u1","limited":true,"limit":4,"message":"request limit of a searcher changed"}`,
	}, "\n")

	for request, want := range map[string][]string{
		"a": {"01.0 request limit of a searcher changed", "40.0 request ended"},
		"b": {"40.0 request ended"},
	} {
		lines, err := Explain(request, []Source{{"entry", strings.NewReader(entryLog)}})
		if err != nil {
			t.Fatalf("explain %s: %v", request, err)
		}

		var got []string
		for _, l := range lines {
			got = append(got, l.At.Format("05.0")+" "+l.fields["message"].(string))
		}

		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("lines for request %s differ (-want +got):\n%s", request, diff)
		}
	}
}

// Guards against an explanation that does not show why a request was served by another entry VM: the links of its own one
// were down.
func TestExplainIncludesLinks(t *testing.T) {
	receiver := strings.Join([]string{
		`{"time":"2026-01-01T00:00:01Z","process":"e1","links":"down","message":"links to the searchers changed"}`,
		`{"time":"2026-01-01T00:00:02Z","process":"e1","request":"a","peer":"e2","message":"request ended"}`,
		`{"time":"2026-01-01T00:00:03Z","process":"e1","links":"up","message":"links to the searchers changed"}`,
		`{"time":"2026-01-01T00:00:04Z","process":"e1","request":"b","searcher":"s","message":"attempt"}`,
		`{"time":"2026-01-01T00:00:05Z","process":"e1","links":"down","message":"links to the searchers changed"}`,
		`{"time":"2026-01-01T00:00:06Z","process":"e1","request":"b","peer":"e2","message":"request ended"}`,
		`{"time":"2026-01-01T00:00:07Z","process":"e1","links":"up","message":"links to the searchers changed"}`,
		`{"time":"2026-01-01T00:00:08Z","process":"e1","request":"c","message":"request ended"}`,
	}, "\n")
	peer := strings.Join([]string{
		`{"time":"2026-01-01T00:00:00Z","process":"e2","links":"up","message":"links to the searchers changed"}`,
		`{"time":"2026-01-01T00:00:01.9Z","process":"e2","request":"a","forwarded":true,"message":"request ended"}`,
	}, "\n")
	control := `{"time":"2026-01-01T00:00:01Z","process":"c1","instance":"e1","links":"down","message":"links of an entry VM to the searchers changed"}`

	for request, want := range map[string][]string{
		"a": {"01.0 e1 down", "01.9 e2 <nil>", "02.0 e1 <nil>"},
		"b": {"04.0 e1 <nil>", "05.0 e1 down", "06.0 e1 <nil>"},
		"c": {"08.0 e1 <nil>"},
	} {
		lines, err := Explain(request, []Source{{"e1", strings.NewReader(receiver)}, {"e2", strings.NewReader(peer)}, {"c1", strings.NewReader(control)}})
		if err != nil {
			t.Fatalf("explain %s: %v", request, err)
		}

		var got []string
		for _, l := range lines {
			got = append(got, fmt.Sprint(l.At.Format("05.0"), " ", l.fields["process"], " ", l.fields["links"]))
		}

		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("lines for request %s differ (-want +got):\n%s", request, diff)
		}
	}
}
