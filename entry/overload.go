package entry

import (
	"math"
	"time"
)

const (
	// maxInFlight bounds the requests in progress. With more of them, those that wait longest for the processor could no
	// longer be served in time.
	maxInFlight = 400
	// drainTarget is the fraction of maxInFlight at which refused callers should retry, so that they do not find the
	// node full again.
	drainTarget = 0.75
	// maxDrainTime bounds the retry time given to callers, which wait for at most a third of their deadline, a few
	// seconds.
	maxDrainTime = 2 * time.Second
)

// drainTime estimates, from the rate at which requests complete, how long it takes until the requests in progress fall
// to drainTarget.
func drainTime(inFlight int64, perSecond float64) time.Duration {
	excess := float64(inFlight) - drainTarget*maxInFlight
	if excess <= 0 {
		return defaultRetryAfter
	}

	seconds := excess / math.Max(perSecond, 1)

	return max(defaultRetryAfter, min(maxDrainTime, time.Duration(seconds*float64(time.Second))))
}
