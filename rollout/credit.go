package rollout

import "math"

const (
	// accrual is the part of the canary share that requests add to the credit; the rest is a margin for requests that were
	// counted and did not reach a searcher.
	accrual = 0.9
	// initialSlack is the part of the canary slack that entry VMs may use at the beginning. Entry VMs in two parts of a
	// divided network count only those of their own part, so together they may use twice as much.
	initialSlack = 0.2
	// grantedSlack is the part of the canary slack that the leader grants to the entry VMs with callers.
	grantedSlack = 0.5
	// canaryFraction is the fraction of the canary share that is used before StageLoad. The rest is saved for that.
	canaryFraction = 0.75
	// loadFraction is the fraction of all requests that one new searcher gets in StageLoad: services have three searchers.
	loadFraction = 1.0 / 3
	// maxPace bounds the canaries of a route that may follow each other directly.
	maxPace = 2
	// maxBoost bounds the factor on the fraction of a route with few requests.
	maxBoost = 3
	// deferLimit is for how many usual intervals between the requests of a route others leave their credit to it.
	deferLimit = 4
	// maxPacedRoutes bounds the routes with their own pace.
	maxPacedRoutes = 256
)

// InitialCredit returns the credit of an entry VM that sees an order arrive, with the number of entry VMs that it knows. A VM
// that knows the order from its first contact has none: otherwise each start would add to the exposure.
func (l Limits) InitialCredit(vms int) float64 {
	return initialSlack * l.CanarySlack / float64(max(vms, 1))
}

// Credit bounds the requests of one entry VM to a version under roll-out. The sum over all VMs stays below the canary share
// of all requests plus the initial credits, without any exchange between VMs.
type Credit struct {
	limits  Limits
	balance float64
	routes  map[string]*routePace
	// requests is the sum over the routes.
	requests float64
}

// routePace spreads the canaries of a route evenly over its requests.
type routePace struct {
	due, requests, taken float64
	lastRequest          float64 // Credit.requests at the last request of the route
}

// NewCredit returns a credit with the given balance.
func NewCredit(l Limits, initial float64) *Credit {
	return &Credit{limits: l, balance: initial, routes: map[string]*routePace{}}
}

// fraction returns the fraction of the requests that may go to the new version in a stage.
func (l Limits) fraction(s Stage) float64 {
	switch s {
	case StageBegin, StageCanary:
		return canaryFraction * l.CanaryShare
	case StageLoad:
		return loadFraction
	default:
		return 0
	}
}

// Take decides whether a request of a route goes to the new version, and if so takes the credit for it. random is a number
// from 0 to 1, by which VMs with few requests do not all wait for the same number of them.
func (c *Credit) Take(stage Stage, route string, random float64) bool {
	p := c.routes[route]
	if p == nil {
		if len(c.routes) >= maxPacedRoutes {
			clear(c.routes)

			c.requests = 0
		}

		p = &routePace{due: random}
		c.routes[route] = p
	}

	p.requests++
	c.requests++
	p.lastRequest = c.requests

	// Routes with few requests get a larger fraction, in proportion to the square root, so that they are tested as well.
	boost := min(math.Sqrt(c.requests/(float64(len(c.routes))*p.requests)), maxBoost)
	p.due = min(p.due+boost*c.limits.fraction(stage), maxPace)
	if p.due < 1 || c.balance < 1 || c.defers(p) {
		return false
	}

	p.due--
	p.taken++
	c.balance--

	return true
}

// defers reports whether a route leaves the credit to another one that has had less of it. While the credit is short, a route
// with many requests would otherwise take what a route with few of them waits for.
func (c *Credit) defers(p *routePace) bool {
	for _, q := range c.routes {
		usual := c.requests / q.requests // requests of all routes between two of this one
		waits := q != p && q.due >= 1 && c.requests-q.lastRequest <= deferLimit*usual

		if waits && (q.taken+1)/math.Sqrt(q.requests) < p.taken/math.Sqrt(p.requests) {
			return true
		}
	}

	return false
}

// Grant adds credit that the leader has granted.
func (c *Credit) Grant(credit float64) { c.balance += max(credit, 0) }

// Return gives back the credit of a request that was not sent to the new version.
func (c *Credit) Return() { c.balance++ }

// Sent counts a request that was sent to the upstream, whatever its version.
func (c *Credit) Sent() { c.balance += accrual * c.limits.CanaryShare }
