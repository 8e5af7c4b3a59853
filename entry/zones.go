package entry

import (
	"time"

	"fulmarfall/ident"
	"fulmarfall/query"
)

// Labels of the metric about requests to one searcher that have the choice between searchers near this node and others.
const (
	zoneStayed  ident.Reason = "stayed"
	zoneLeft    ident.Reason = "left"
	zoneCrowded ident.Reason = "crowded"
)

// countAttempts counts the attempts of a request that left the failure domain or the region of this node, and why.
func (s *activeRequest) countAttempts() {
	var region, farFirst, farHedge, farRetry int

	for _, a := range s.attempts {
		switch {
		case a.send.Distance == query.DistanceNear:
		case a.send.Distance == query.DistanceRegion:
			region++
		case a.send.Hedge:
			farHedge++
		case a.send.Retry:
			farRetry++
		default:
			farFirst++
		}
	}

	for reason, n := range map[ident.Reason]int{
		"near": len(s.attempts) - region - farFirst - farHedge - farRetry, "region": region,
		"far_first": farFirst, "far_hedge": farHedge, "far_retry": farRetry,
	} {
		if n > 0 {
			s.n.countBy("attempts_by_distance_total", reason, n)
		}
	}
}

// reportZones logs which share of the requests to one searcher leaves the searchers near this node and why, and how many requests
// wait until a searcher has room.
func (n *Node) reportZones(now time.Time) {
	if now.Sub(n.zonesReportedAt) < limitReportInterval {
		return
	}

	n.zonesReportedAt = now

	if n.meters != nil {
		n.meters.Gauge("waiting_requests").Update(float64(n.planner.WaitingRequests()))
	}

	for _, r := range n.planner.ZoneReports() {
		n.countBy("zone_requests_total", zoneStayed, r.Stayed)
		n.countBy("zone_requests_total", zoneLeft, r.Left)
		n.countBy("zone_requests_total", zoneCrowded, r.Crowded)

		if r.Left+r.Crowded == 0 {
			continue
		}

		n.logger.Info().Str("upstream", string(r.Shard)).Float64("share", r.Share).Float64("ratio", r.Ratio).Int("stayed", r.Stayed).Int("left", r.Left).
			Int("crowded", r.Crowded).Msg("requests leave the searchers near this entry VM")
	}
}
