// Package logs provides a structured logger that is bounded in volume and never blocks its callers, and explains how a
// request was handled from the logs of several processes.
package logs

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"
)

const (
	// flushInterval is how long lines are batched, to save system calls on small VMs.
	flushInterval = 100 * time.Millisecond
	// maxPendingBytes bounds the buffered lines, in bytes. Together with flushInterval it limits the output to 2.5 MB/s.
	maxPendingBytes = 256 << 10
	// maxLinesPerSecond limits the lines regardless of their size; a small VM serves up to 100 requests per second.
	maxLinesPerSecond = 1000
)

// Writer buffers lines and writes them in the background. Lines above the limits are dropped and counted; the next flush
// logs their number.
type Writer struct {
	out io.Writer

	mu              sync.Mutex
	pending         []byte
	spare           []byte
	dropped         uint64
	linesThisSecond int
	currentSecond   int64
	flushes         int // for tests

	// ready signals that lines are pending, so that the writer of an idle process sleeps.
	ready chan struct{}
	stop  chan struct{}
	done  chan struct{}
}

func newWriter(out io.Writer) *Writer {
	w := &Writer{out: out, ready: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()

	return w
}

// close flushes pending lines and stops the writer.
func (w *Writer) close() {
	close(w.stop)
	<-w.done
}

// New returns a logger for a level, and a function that flushes pending lines and stops it. Each line names the process.
func New(out io.Writer, level, process string) (*log.Logger, func()) {
	w := newWriter(out)

	return &log.Logger{
		Level: log.ParseLevel(level), TimeFormat: time.RFC3339Nano, TimeField: "time", Writer: &log.IOWriter{Writer: w},
		Context: log.NewContext(nil).Str("process", process).Value(),
	}, w.close
}

// Write buffers one line. It never blocks on the output and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if now := time.Now().Unix(); now != w.currentSecond {
		w.currentSecond, w.linesThisSecond = now, 0
	}

	w.linesThisSecond++
	if w.linesThisSecond > maxLinesPerSecond || len(w.pending)+len(line) > maxPendingBytes {
		w.dropped++
	} else {
		w.pending = append(w.pending, line...)
	}

	select {
	case w.ready <- struct{}{}:
	default:
	}

	return len(line), nil
}

func (w *Writer) run() {
	defer close(w.done)
	defer w.flush()

	for {
		select {
		case <-w.stop:
			return
		case <-w.ready:
		}

		timer := time.NewTimer(flushInterval)

		select {
		case <-w.stop:
			timer.Stop()

			return
		case <-timer.C:
		}

		w.flush()
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	if w.dropped > 0 {
		w.pending = fmt.Appendf(w.pending, `{"time":%q,"level":"warn","dropped":%d,"message":"log lines dropped"}`+"\n",
			time.Now().UTC().Format(time.RFC3339Nano), w.dropped)
		w.dropped = 0
	}

	out := w.pending
	w.pending = w.spare[:0]
	w.flushes++
	w.mu.Unlock()

	if len(out) > 0 {
		// An error of the log output cannot be logged.
		_, _ = w.out.Write(out)
	}

	w.mu.Lock()
	w.spare = out[:0]
	w.mu.Unlock()
}
