package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a case: what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (rec *record, closeRecord func(), err error) {
	f, err := os.Create(path) //nolint:gosec // The folder of the case.
	if err != nil {
		return nil, nil, fmt.Errorf("create record: %w", err)
	}

	return &record{file: f, started: time.Now()}, func() { _ = f.Close() }, nil
}

// add appends a line with the time since the start, also to the standard output.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()

	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(line)

	_, _ = r.file.WriteString(line) // the exit code counts, not the record
}
