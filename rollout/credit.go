package rollout

const (
	// accrual is the part of the canary share that requests add to the credit; the rest is a margin for requests that were
	// counted and did not reach a searcher.
	accrual = 0.9
	// initialSlack is the part of the canary slack that entry VMs may use at the beginning. Entry VMs in two parts of a
	// divided network count only those of their own part, so together they may use twice as much.
	initialSlack = 0.5
	// canaryFraction is the fraction of the canary share that is used in StageCanary. The rest is saved for StageLoad.
	canaryFraction = 0.6
	// loadFraction is the fraction of all requests that one new searcher gets in StageLoad: services have three searchers.
	loadFraction = 1.0 / 3
	// maxPace bounds the canaries of a route that may follow each other directly.
	maxPace = 2
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
	// pace spreads the canaries of each route evenly over its requests.
	pace map[string]float64
}

// NewCredit returns a credit with the given balance.
func NewCredit(l Limits, initial float64) *Credit {
	return &Credit{limits: l, balance: initial, pace: map[string]float64{}}
}

// fraction returns the fraction of the requests that may go to the new version in a stage.
func (l Limits) fraction(s Stage) float64 {
	switch s {
	case StageCanary:
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
	p, ok := c.pace[route]
	if !ok {
		if len(c.pace) >= maxPacedRoutes {
			clear(c.pace)
		}

		p = random
	}

	p = min(p+c.limits.fraction(stage), maxPace)
	take := p >= 1 && c.balance >= 1

	if take {
		p--
		c.balance--
	}

	c.pace[route] = p

	return take
}

// Return gives back the credit of a request that was not sent to the new version.
func (c *Credit) Return() { c.balance++ }

// Sent counts a request that was sent to the upstream, whatever its version.
func (c *Credit) Sent() { c.balance += accrual * c.limits.CanaryShare }
