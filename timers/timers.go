// Package timers waits.
package timers

import (
	"context"
	"time"
)

// Sleep waits for a time, or until ctx ends, and returns the error of ctx then.
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
