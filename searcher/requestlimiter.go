package searcher

import (
	"math"
	"time"

	"fulmarfall/ident"
)

// LimitStatement is what an answer of a searcher says about the requests that it takes from all nodes together.
type LimitStatement struct {
	// Limited is false if the answer names no limit.
	Limited   bool
	PerSecond ident.RequestRate
}

// SupersededBy reports whether s, received at statedAt, is superseded by the statement in the answer to a request sent at the
// given time. The searcher may have sent an answer to an earlier request before s; such an answer can only lower the limit.
func (s LimitStatement) SupersededBy(other LimitStatement, statedAt, sent time.Time) bool {
	switch {
	case !s.Limited && !other.Limited:
		return false
	case !sent.Before(statedAt):
		return true
	default:
		return other.Limited && (!s.Limited || other.PerSecond < s.PerSecond)
	}
}

const (
	// minRequestLimit replaces lower limits, in requests per second: the end of a limit shows only in the answer to a request.
	minRequestLimit = 0.2
	// burstSeconds and burstRequests are what a searcher may receive at once from all nodes together, as a part of its limit
	// per second and as a number.
	burstSeconds  = 0.5
	burstRequests = 2
	// sparseFactor is the fraction of its share that a node uses if its share of the burst is below one request. The requests
	// of many such nodes coincide by chance.
	sparseFactor = 0.75
	// maxLimitWait bounds the wait that is stated for a request without room. The share of one node may be far below one
	// request per second, while other nodes have room.
	maxLimitWait = time.Second
)

// RequestLimiter limits the requests of one node to a searcher that has stated how many it takes from all nodes together. It
// is a token bucket with the node's share of the rate and of the burst. With many nodes, the share of the burst is below one
// request. Such a bucket fills to one request, can be used for as long as the burst takes to fill, and is then emptied;
// otherwise all nodes that were idle could send at once. The zero value admits nothing. A RequestLimiter is not safe for
// concurrent use.
type RequestLimiter struct {
	rate      float64 // requests per second
	burst     float64 // requests
	level     float64 // requests that may be sent now
	updatedAt time.Time
}

// SetShare sets the limit for all nodes together and this node's share of it. phase is a random number in [0, 1) by which
// nodes that start at the same time differ.
func (l *RequestLimiter) SetShare(now time.Time, limit ident.RequestRate, share, phase float64) {
	first := l.updatedAt.IsZero()
	l.refill(now)
	l.rate = max(float64(limit), minRequestLimit) * share
	l.burst = (float64(limit)*burstSeconds + burstRequests) * share

	if l.sparse() {
		l.rate *= sparseFactor

		if first {
			l.level = phase
		}
	}

	l.level = min(l.level, l.capacity())
}

// sparse reports whether this node's share of the burst is below one request.
func (l *RequestLimiter) sparse() bool { return l.burst < 1 }

func (l *RequestLimiter) capacity() float64 {
	if l.sparse() {
		return 1 + l.burst
	}

	return l.burst
}

func (l *RequestLimiter) refill(now time.Time) {
	if d := now.Sub(l.updatedAt); !l.updatedAt.IsZero() && d > 0 {
		l.level += l.rate * d.Seconds()
	}

	switch c := l.capacity(); {
	case l.level <= c:
	case l.sparse():
		l.level = math.Mod(l.level, c)
	default:
		l.level = c
	}

	if now.After(l.updatedAt) {
		l.updatedAt = now
	}
}

// Take admits one request and reports whether there was room for it. reserve is the fraction of the burst that must be left
// for others.
func (l *RequestLimiter) Take(now time.Time, reserve float64) bool {
	l.refill(now)

	if l.level < 1+reserve*(l.capacity()-1) {
		return false
	}

	l.level--

	return true
}

// Return takes back an admitted request that was not sent.
func (l *RequestLimiter) Return() { l.level = min(l.level+1, l.capacity()) }

// Room returns the fraction of the room that is available.
func (l *RequestLimiter) Room(now time.Time) float64 {
	l.refill(now)

	return l.level / max(l.capacity(), 1)
}

// Wait returns the time until this node has room for a request.
func (l *RequestLimiter) Wait(now time.Time) time.Duration {
	l.refill(now)

	missing := 1 - l.level
	if missing <= 0 {
		return 0
	}

	if missing >= l.rate*maxLimitWait.Seconds() {
		return maxLimitWait
	}

	return time.Duration(missing / l.rate * float64(time.Second))
}
