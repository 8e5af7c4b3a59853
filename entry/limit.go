package entry

import (
	"time"

	"fulmarfall/ident"
	"fulmarfall/query"
	"fulmarfall/roster"
	"fulmarfall/searcher"
	"fulmarfall/wire"
)

// limitReportInterval is the time between two log lines about the requests sent to a searcher with a request limit.
const limitReportInterval = time.Second

// maxLoggedValue bounds the part of an invalid header value that is logged, in bytes.
const maxLoggedValue = 64

// handleLimit applies what an answer says about the searcher's request limit. Another process at the searcher's address
// does not speak for it, and a refusal that names no limit does not end one.
func (n *Node) handleLimit(p *pool, reply *Reply, sent time.Time) {
	if reply.Misdirected {
		return
	}

	if reply.LimitInvalid != "" {
		p.logInvalidLimit(n, reply)

		if !reply.Limit.Limited {
			return
		}
	}

	if reply.NotRun && !reply.Limit.Limited {
		return
	}

	if !n.planner.RecordLimit(time.Now(), ident.SearcherID(p.instance.ID), p.instance.Born, reply.Limit, sent) {
		return
	}

	n.reportLimitChange(&p.instance, reply.Limit, "answer")
}

// applySharedLimit applies what a searcher has stated to other entry VMs about its request limit.
func (n *Node) applySharedLimit(in *roster.Instance) {
	if in.Role != roster.RoleSearcher || in.Limit.StatedAt.IsZero() {
		return
	}

	shared := query.SharedLimit{
		Searcher: ident.SearcherID(in.ID), Incarnation: in.Born, StatedAt: in.Limit.StatedAt,
		LimitStatement: searcher.LimitStatement{Limited: in.Limit.Limited, PerSecond: in.Limit.PerSecond},
	}

	if n.planner.ApplySharedLimit(shared) {
		n.reportLimitChange(in, shared.LimitStatement, "control VM")
	}
}

func (n *Node) reportLimitChange(in *roster.Instance, st searcher.LimitStatement, source string) {
	n.count("searcher_limits_total", limitChange(st.Limited))
	n.logger.Info().Str("searcher", string(in.ID)).Str("upstream", string(in.Upstream)).Uint64("born", in.Born).
		Bool("limited", st.Limited).Float64("limit", float64(st.PerSecond)).Str("source", source).Msg("request limit of a searcher changed")
}

// Labels of the metrics about request limits.
const (
	limitStated   ident.Reason = "stated"
	limitEnded    ident.Reason = "ended"
	limitInvalid  ident.Reason = "invalid"
	limitedSent   ident.Reason = "sent"
	limitedDenied ident.Reason = "denied"
)

func limitChange(limited bool) ident.Reason {
	if limited {
		return limitStated
	}

	return limitEnded
}

// logInvalidLimit logs a request limit that could not be read, once per pool.
func (p *pool) logInvalidLimit(n *Node, reply *Reply) {
	n.count("searcher_limits_total", limitInvalid)

	p.mu.Lock()
	logged := p.invalidLimitLogged
	p.invalidLimitLogged = true
	p.mu.Unlock()

	if logged {
		return
	}

	n.logger.Warn().Str("searcher", string(p.instance.ID)).Str("upstream", string(p.instance.Upstream)).
		Str("value", reply.LimitInvalid[:min(len(reply.LimitInvalid), maxLoggedValue)]).Msg("request limit of a searcher is not a number of at least 0; it is ignored")
}

// reportLimits logs what this node has done with attempts on the searchers with a request limit.
func (n *Node) reportLimits(now time.Time) {
	if now.Sub(n.limitsReportedAt) < limitReportInterval {
		return
	}

	n.limitsReportedAt = now

	reports := n.planner.LimitReports(now)
	if n.meters != nil {
		n.meters.Gauge("limited_searchers").Update(float64(len(reports)))
	}

	for _, r := range reports {
		if r.Sent+r.Denied == 0 {
			continue
		}

		n.countBy("limited_attempts_total", limitedSent, r.Sent)
		n.countBy("limited_attempts_total", limitedDenied, r.Denied)
		n.logger.Info().Str("limited_searcher", string(r.Searcher)).Float64("limit", float64(r.PerSecond)).Int("sent", r.Sent).Int("denied", r.Denied).
			Msg("attempts under the request limit of a searcher")
	}
}

// limitedShards returns the shards that an answer lacks because of request limits.
func limitedShards(c *query.Coverage) (list []ident.ShardID) {
	for _, m := range c.Missing {
		if m.Reason == ident.ReasonLimited {
			list = append(list, m.Shard)
		}
	}

	return list
}

// countDenied counts shards without room as load. The shares of the request limits follow the load, and a node that refuses
// what its callers ask would otherwise lose its share.
func (s *activeRequest) countDenied() {
	denied := len(s.limited)

	if s.reason == ident.ReasonLimited && len(s.attempts) == 0 {
		denied = max(len(s.route.Shards), 1)
	}

	s.n.attempts.Add(int64(denied))
}

// reportLimited logs for which shards request limits left no room.
func (s *activeRequest) reportLimited() {
	if len(s.limited) == 0 {
		return
	}

	s.n.logger.Info().Str("request", string(s.r.ID)).Str("shard", string(s.limited[0])).Int("limited_shards", len(s.limited)).
		Msg("no room under the request limits of searchers")
}

// toWireLimits converts statements of searchers to this node to their wire form.
func toWireLimits(now time.Time, limits []query.SharedLimit) []wire.SearcherLimit {
	list := make([]wire.SearcherLimit, 0, len(limits))
	for _, l := range limits {
		list = append(list, wire.SearcherLimit{
			Searcher: l.Searcher, Born: l.Incarnation, Limited: l.Limited, PerSecond: float64(l.PerSecond),
			AgeMillis: now.Sub(l.StatedAt).Milliseconds(),
		})
	}

	return list
}

// loadsByRegion returns the loads of the entry VMs by region, also of regions that have none. A control VM of an earlier version
// sends only their sum, which then counts for the region of this node.
func (n *Node) loadsByRegion(r *wire.Followed) map[ident.Region]searcher.RegionLoad {
	loads := map[ident.Region]searcher.RegionLoad{}
	for _, region := range n.cfg.Regions {
		loads[region] = searcher.RegionLoad{}
	}

	if len(r.RegionLoads) == 0 {
		loads[n.cfg.Region] = searcher.RegionLoad{Nodes: r.EntryVMs, Load: float64(r.EntryLoad)}
	}

	for _, l := range r.RegionLoads {
		loads[l.Region] = searcher.RegionLoad{Nodes: l.VMs, Load: float64(l.Load)}
	}

	return loads
}
