package entry

import (
	"time"

	"fulmarfall/ident"
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

	n.count("searcher_limits_total", limitChange(reply.Limit.Limited))
	n.logger.Info().Str("searcher", string(p.instance.ID)).Str("upstream", string(p.instance.Upstream)).Uint64("born", p.instance.Born).
		Bool("limited", reply.Limit.Limited).Float64("limit", float64(reply.Limit.PerSecond)).Msg("request limit of a searcher changed")
}

func limitChange(limited bool) ident.Reason {
	if limited {
		return "stated"
	}

	return "ended"
}

// logInvalidLimit logs a request limit that could not be read, once per pool.
func (p *pool) logInvalidLimit(n *Node, reply *Reply) {
	n.count("searcher_limits_total", "invalid")

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

// reportLimits logs what this node has sent to the searchers with a request limit.
func (n *Node) reportLimits(now time.Time) {
	if now.Sub(n.limitsReportedAt) < limitReportInterval {
		return
	}

	n.limitsReportedAt = now

	for _, r := range n.planner.LimitReports() {
		n.logger.Info().Str("limited_searcher", string(r.Searcher)).Float64("limit", float64(r.PerSecond)).Int("sent", r.Sent).
			Msg("requests under a searcher's limit")
	}
}
