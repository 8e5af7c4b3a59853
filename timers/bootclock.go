package timers

import "time"

// BootClock returns the time of a clock that advances while the machine is suspended. Only differences between its values
// have a meaning.
func BootClock() time.Time {
	if d, ok := BootTime(); ok {
		return time.Unix(0, 0).Add(d)
	}

	return time.Now()
}
