package admission

import "time"

const (
	// minRoundTime and minRoundSamples are the least time and the least number of results by which a Throttle is adjusted.
	// maxRoundTime ends a round with fewer results.
	minRoundTime    = 250 * time.Millisecond
	minRoundSamples = 8
	maxRoundTime    = time.Second
	// strainHigh is the fraction of strained requests above which fewer are admitted, strainLow that below which more are.
	strainHigh = 0.4
	strainLow  = 0.2
	// throttleDecrease is the fraction by which admission is reduced if all requests of a round were strained, throttleIncrease
	// what is added after a first round with few of them; each further one adds twice as much as the one before.
	throttleDecrease = 0.4
	throttleIncrease = 0.1
	// throttleFloor is the minimum admitted fraction, which is enough to detect that the searchers have recovered.
	throttleFloor = 0.2
	// throttleIneffectiveAfter is the time at the floor after which strain must have another cause than load. Everything is then admitted
	// for throttlePause.
	throttleIneffectiveAfter = 2500 * time.Millisecond
	throttlePause            = 5 * time.Second
)

// Throttle finds the fraction of requests that searchers can serve in time, from the results of requests. It is adjusted in
// rounds: only the results of requests that were admitted since the last adjustment count for the next one, because the
// results of earlier ones are those of the former fraction. It is not safe for concurrent use.
type Throttle struct {
	refused float64
	round   uint64
	began   time.Time
	// grace is the time until which everything is admitted.
	grace             time.Time
	results, strained int
	// increase is added to the admitted fraction after the next round with little strain. It doubles with each of them.
	increase   float64
	floorSince time.Time
}

// NewThrottle returns a Throttle that admits everything until the given time.
func NewThrottle(grace time.Time) *Throttle { return &Throttle{grace: grace, round: 1} }

// Fraction returns the fraction of requests to refuse.
func (t *Throttle) Fraction() float64 { return t.refused }

// Begin returns the round of a request that is admitted now.
func (t *Throttle) Begin(now time.Time) uint64 {
	if t.began.IsZero() {
		t.began = now
	}

	return t.round
}

// Observe records whether a request was strained: it took so long that it can hardly be answered before its target, or it was
// refused because searchers are full.
func (t *Throttle) Observe(now time.Time, round uint64, strained bool) {
	if round != t.round || t.began.IsZero() {
		return
	}

	t.results++
	if strained {
		t.strained++
	}

	if took := now.Sub(t.began); took < minRoundTime || t.results < minRoundSamples && took < maxRoundTime {
		return
	}

	if !now.Before(t.grace) {
		t.adjust(now, float64(t.strained)/float64(t.results))
	}

	t.round++
	t.began, t.results, t.strained = time.Time{}, 0, 0
}

func (t *Throttle) adjust(now time.Time, strain float64) {
	switch {
	case strain > strainHigh:
		t.increase = throttleIncrease
		t.refused = min(1-(1-t.refused)*(1-throttleDecrease*strain*strain), 1-throttleFloor)
	case strain < strainLow:
		t.refused = max(t.refused-t.increase, 0)
		t.increase *= 2
	}

	switch {
	case t.refused < 1-throttleFloor:
		t.floorSince = time.Time{}
	case t.floorSince.IsZero():
		t.floorSince = now
	case now.Sub(t.floorSince) >= throttleIneffectiveAfter:
		t.refused, t.floorSince, t.grace = 0, time.Time{}, now.Add(throttlePause)
	}
}
