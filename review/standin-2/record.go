package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that lists what was sent, answered and run, with the time since the start.
type record struct {
	start time.Time

	mu sync.Mutex
	w  *bufio.Writer
}

func newRecord(name string) (*record, func(), error) {
	f, err := os.Create(name) //nolint:gosec // Named on the command line.
	if err != nil {
		return nil, nil, fmt.Errorf("create record: %w", err)
	}

	r := &record{start: time.Now(), w: bufio.NewWriter(f)}

	return r, func() {
		r.mu.Lock()
		defer r.mu.Unlock()

		_ = r.w.Flush()
		_ = f.Close()
	}, nil
}

// now returns the time since the start.
func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()

	// The record is for readers only; a failed write does not change the outcome.
	_, _ = fmt.Fprintf(r.w, "%8.3f "+format+"\n", append([]any{r.now().Seconds()}, args...)...)
}
