package query

import (
	"time"

	"fulmarfall/ident"
)

// Requests to one searcher stay at the searchers near this node, those of its zone or, if that has fewer than minNear, of its
// region, while these suffice. When the expected time there exceeds that elsewhere, network and cost of the traffic included, a
// share of the requests goes elsewhere. It moves by small steps, because all nodes decide by the same outdated observations.
const (
	// minNear is the number of usable searchers from which a zone, or a region, counts as near.
	minNear = 2
	// leaveRatio and stayRatio are the ratios of the expected times here and elsewhere above which the share rises, and below
	// which it falls. The distance between them keeps noise in the averages from moving traffic.
	leaveRatio = 1.25
	stayRatio  = 1.1
	// crowdedRatio is the ratio from which a single request goes elsewhere regardless of the share: this node's own attempts fill
	// the searchers near, or these have stopped answering or fail.
	crowdedRatio = 1.5
	// shareStep bounds the change of the share in one shareInterval.
	shareStep     = 0.1
	shareInterval = 100 * time.Millisecond
	// maxRatio bounds the ratio of one request in the mean of an interval.
	maxRatio = 4
)

// TrafficCost are factors on the expected time of attempts that leave the zone or the region of the node. They state how much
// faster a searcher there must be to be worth the traffic.
type TrafficCost struct {
	Zone, Region float64
}

// DefaultTrafficCost is the cost without settings.
var DefaultTrafficCost = TrafficCost{Zone: 1, Region: 1.3}

// WithTrafficCost sets the cost of traffic between zones and regions; factors below 1 count as the default.
func WithTrafficCost(c TrafficCost) Option {
	return func(p *Planner) {
		p.traffic = DefaultTrafficCost
		if c.Zone >= 1 {
			p.traffic.Zone = c.Zone
		}

		if c.Region >= 1 {
			p.traffic.Region = c.Region
		}
	}
}

// zoneShare is the share of the requests to the searchers of one upstream that leave the searchers near this node.
type zoneShare struct {
	share      float64
	adjustedAt time.Time
	ratioSum   float64 // of the requests since then
	ratios     int
	lastRatio  float64 // mean of the last interval
	// stayed, left and crowded count requests since the last report, crowded those that left because of crowdedRatio.
	stayed, left, crowded int
}

// observe records the ratio of the expected times here and elsewhere for one request, and adjusts the share if it is due.
func (z *zoneShare) observe(now time.Time, ratio float64) {
	z.ratioSum += min(ratio, maxRatio)
	z.ratios++

	if now.Sub(z.adjustedAt) < shareInterval {
		return
	}

	z.lastRatio = z.ratioSum / float64(z.ratios)

	switch {
	case z.lastRatio > leaveRatio:
		z.share = min(z.share+shareStep, 1)
	case z.lastRatio < stayRatio:
		z.share = max(z.share-shareStep, 0)
	}

	z.adjustedAt, z.ratioSum, z.ratios = now, 0, 0
}

// near returns which replicas are near this node, or nil if too few are, and whether these are the ones of its zone.
func (p *Planner) near(now time.Time, s *Shard) (isNear func(*Replica) bool, inZone bool) {
	zone, region := 0, 0

	for i := range s.Replicas {
		r := &s.Replicas[i]
		if r.Region != p.region || !p.eligible(now, r) {
			continue
		}

		region++

		if r.FailureDomain == p.domain {
			zone++
		}
	}

	switch {
	case zone >= minNear:
		return func(r *Replica) bool { return r.FailureDomain == p.domain }, true
	case region >= minNear:
		return func(r *Replica) bool { return r.Region == p.region }, false
	default:
		return nil, false
	}
}

// chooseNear returns the replica for the first attempt of a request to one searcher. Replicas without room under a request limit
// are passed over. It returns nil if the choice is not between near searchers and others.
func (q *Query) chooseNear(now time.Time, s *Shard, reserve float64, skip func(*Replica) bool) *Replica {
	p := q.p
	if !p.direct || s == nil || len(q.shards) != 1 {
		return nil
	}

	isNear, inZone := p.near(now, s)
	q.zoneNear = inZone

	if isNear == nil {
		return nil
	}

	best := p.choose(now, q, s, func(r *Replica) bool { return !isNear(r) || skip(r) })
	other := p.choose(now, q, s, func(r *Replica) bool { return isNear(r) || skip(r) })

	if best == nil || other == nil {
		return nil
	}

	z := p.zoneShareOf(now, s.ID)
	ratio := p.cost(now, q, best) / max(p.cost(now, q, other), 1)

	if l := p.searchers[other.Searcher]; (l == nil || l.latency == 0) && q.expectedLatency(other) == 0 {
		ratio = p.queueLength(best) // nothing is known of the others yet
	}

	z.observe(now, ratio)

	switch {
	case ratio >= crowdedRatio:
		z.crowded++

		return nil
	case z.share > 0 && p.rnd.Float64() < z.share:
		z.left++

		return q.chooseWithRoom(now, s, reserve, func(r *Replica) bool { return isNear(r) || skip(r) })
	default:
		z.stayed++

		return q.chooseWithRoom(now, s, reserve, func(r *Replica) bool { return !isNear(r) || skip(r) })
	}
}

// queueLength returns the number of this node's attempts at a replica, and one, by its slots; at least 1.
func (p *Planner) queueLength(r *Replica) float64 {
	l := p.searchers[r.Searcher]
	if l == nil {
		return 1
	}

	return max(1, float64(l.inFlight+1)/float64(max(r.Slots, 1)))
}

func (p *Planner) zoneShareOf(now time.Time, id ident.ShardID) *zoneShare {
	z := p.zoneShares[id]
	if z == nil {
		if len(p.zoneShares) >= maxUpstreams {
			clear(p.zoneShares)
		}

		z = &zoneShare{adjustedAt: now}
		p.zoneShares[id] = z
	}

	return z
}

// ZoneReport tells how the requests to one searcher of an upstream were divided since the previous report.
type ZoneReport struct {
	Shard ident.ShardID
	// Share is the share of the requests that leave the searchers near this node.
	Share float64
	// Ratio is the last mean ratio of the expected times near this node and elsewhere.
	Ratio float64
	// Stayed and Left count requests, Crowded those that left because of this node's own attempts or failures of searchers near.
	Stayed, Left, Crowded int
}

// ZoneReports returns the upstreams with requests since the last call that had the choice.
func (p *Planner) ZoneReports() []ZoneReport {
	p.mu.Lock()
	defer p.mu.Unlock()

	var list []ZoneReport

	for id, z := range p.zoneShares {
		if z.stayed+z.left+z.crowded > 0 {
			list = append(list, ZoneReport{Shard: id, Share: z.share, Ratio: z.lastRatio, Stayed: z.stayed, Left: z.left, Crowded: z.crowded})
		}

		z.stayed, z.left, z.crowded = 0, 0, 0
	}

	return list
}
