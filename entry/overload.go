package entry

// This file decides when callers should come back that found this node full.

import (
	"math"
	"time"
)

const (
	// maxInFlight bounds the requests in progress; with more of them, those that wait for the processor longest could not
	// be served in time any more.
	maxInFlight = 400
	// drainTo is the part of that bound at which callers should come back, so that they do not find the node full again.
	drainTo = 0.75
	// maxDrain bounds the advice: callers wait a third of their time at most, which is some seconds.
	maxDrain = 2 * time.Second
)

// drainTime returns how long a node takes, at the rate at which requests end, until a part of its bound is free.
func drainTime(inFlight int64, perSecond float64) time.Duration {
	excess := float64(inFlight) - drainTo*maxInFlight
	if excess <= 0 {
		return retrySoon
	}

	seconds := excess / math.Max(perSecond, 1)

	return max(retrySoon, min(maxDrain, time.Duration(seconds*float64(time.Second))))
}
