// Package timers provides a sleep that a context can cancel, and clocks that tell whether the machine was suspended.
package timers

import (
	"context"
	"time"
)

// Sleep waits for d, or until ctx is done; in the latter case it returns ctx.Err.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
