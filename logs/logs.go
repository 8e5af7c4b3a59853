// Package logs makes the logger of a process: structured lines on one writer, bounded in volume, and never in the way of
// the work that they tell of.
package logs

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"
)

const (
	// flushEvery is how long lines are gathered: each write of a small VM costs a system call.
	flushEvery = 100 * time.Millisecond
	// maxPending bounds the lines that wait for a write, in bytes. With flushEvery it bounds the volume to 2.5 MB/s.
	maxPending = 256 << 10
	// maxLinesPerSecond bounds the lines, whatever their size; a small VM serves up to 100 requests a second.
	maxLinesPerSecond = 1000
)

// Writer gathers lines and writes them in the background. Lines above the bounds are dropped and counted; the next write
// says how many.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped uint64
	lines   int
	second  int64
	flushes int // for tests

	// ready holds a value while there is something to write. Without it, nothing wakes an idle process.
	ready chan struct{}
	stop  chan struct{}
	done  chan struct{}
}

func newWriter(out io.Writer) *Writer {
	w := &Writer{out: out, ready: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()

	return w
}

// end writes what is pending and stops the writer.
func (w *Writer) end() {
	close(w.stop)
	<-w.done
}

// New returns a logger of a level and the function that writes what is pending and stops it. Each line names the process.
func New(out io.Writer, level, process string) (*log.Logger, func()) {
	w := newWriter(out)

	return &log.Logger{
		Level: log.ParseLevel(level), TimeFormat: time.RFC3339Nano, TimeField: "time", Writer: &log.IOWriter{Writer: w},
		Context: log.NewContext(nil).Str("process", process).Value(),
	}, w.end
}

// Write takes one line. It never waits for the output and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if now := time.Now().Unix(); now != w.second {
		w.second, w.lines = now, 0
	}

	w.lines++
	if w.lines > maxLinesPerSecond || len(w.pending)+len(line) > maxPending {
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

		timer := time.NewTimer(flushEvery)

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
		// Nothing can be told about an output that fails.
		_, _ = w.out.Write(out)
	}

	w.mu.Lock()
	w.spare = out[:0]
	w.mu.Unlock()
}
