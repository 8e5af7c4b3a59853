package searcher

import (
	"time"

	"fulmarfall/ident"
)

const (
	// minRequestLimit replaces lower limits, in requests per second: the end of a limit shows only in the answer to a request.
	minRequestLimit = 0.2
	// burstSeconds and burstRequests are what a searcher may receive at once from all nodes together, as a part of its limit
	// per second and as a number.
	burstSeconds  = 0.5
	burstRequests = 2
	// maxLimitWait bounds the wait that is stated for a request without room. The share of one node may be far below one
	// request per second, while other nodes have room.
	maxLimitWait = time.Second
)

// RequestLimiter limits the requests of one node to a searcher that has stated how many it takes from all nodes together. It
// is a token bucket with the node's share of the rate and of the burst. With many nodes, the share of the burst is below one
// request. Such a bucket is used up by each attempt, which it admits with a probability equal to its level; all nodes
// together then send what they may, however the attempts are distributed. The zero value has no rate and admits nothing. A
// RequestLimiter is not safe for concurrent use.
type RequestLimiter struct {
	rate      float64 // requests per second
	burst     float64 // requests
	level     float64 // requests that may be sent now
	updatedAt time.Time
}

// SetShare sets the limit for all nodes together and this node's share of it.
func (l *RequestLimiter) SetShare(now time.Time, limit ident.RequestRate, share float64) {
	l.refill(now)
	l.rate = max(float64(limit), minRequestLimit) * share
	l.burst = (float64(limit)*burstSeconds + burstRequests) * share
	l.level = min(l.level, l.burst)
}

func (l *RequestLimiter) refill(now time.Time) {
	if d := now.Sub(l.updatedAt); !l.updatedAt.IsZero() && d > 0 {
		l.level = min(l.level+l.rate*d.Seconds(), l.burst)
	}

	if now.After(l.updatedAt) {
		l.updatedAt = now
	}
}

// Take admits one request and reports whether there was room for it. reserve is the fraction of the burst that must be left
// for others. random returns a number in [0, 1).
func (l *RequestLimiter) Take(now time.Time, reserve float64, random func() float64) bool {
	l.refill(now)

	if l.burst >= 1 {
		if l.level < 1+reserve*(l.burst-1) {
			return false
		}

		l.level--

		return true
	}

	if l.level <= reserve*l.burst {
		return false
	}

	level := l.level
	l.level = 0

	return random() < level
}

// Return takes back an admitted request that was not sent.
func (l *RequestLimiter) Return() { l.level = min(l.level+1, l.burst) }

// Room returns the fraction of the burst that is available.
func (l *RequestLimiter) Room(now time.Time) float64 {
	l.refill(now)

	if l.burst <= 0 {
		return 0
	}

	return l.level / l.burst
}

// Wait returns the time until this node can expect room for a request.
func (l *RequestLimiter) Wait(now time.Time) time.Duration {
	l.refill(now)

	missing := min(1, l.burst) - l.level
	if missing <= 0 {
		return 0
	}

	if missing >= l.rate*maxLimitWait.Seconds() {
		return maxLimitWait
	}

	return time.Duration(missing / l.rate * float64(time.Second))
}
