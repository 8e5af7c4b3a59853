package timers

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the start of the machine, including the time for which it was suspended. ok is false if the
// system has no such clock.
func BootTime() (d time.Duration, ok bool) { return readClock(unix.CLOCK_BOOTTIME) }

// Suspended returns the time for which the machine has been suspended since its start.
func Suspended() (d time.Duration, ok bool) {
	running, ok := readClock(unix.CLOCK_MONOTONIC)
	if !ok {
		return 0, false
	}

	d, ok = BootTime()

	return d - running, ok
}

func readClock(id int32) (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		return 0, false
	}

	return time.Duration(ts.Nano()), true
}
