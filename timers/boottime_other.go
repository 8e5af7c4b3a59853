//go:build !linux

package timers

import "time"

// BootTime returns the time since the start of the machine, including the time for which it was suspended. ok is false if the
// system has no such clock.
func BootTime() (d time.Duration, ok bool) { return 0, false }

// Suspended returns the time for which the machine has been suspended since its start.
func Suspended() (d time.Duration, ok bool) { return 0, false }
