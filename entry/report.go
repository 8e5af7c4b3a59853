package entry

// This file logs and counts what became of requests.

import (
	"time"

	"fulmarfall/configuration"
	"fulmarfall/ident"
)

// refuseEarly refuses a request that no searcher has seen.
func (n *Node) refuseEarly(r *Request, route *configuration.Route, kind RefusalKind, reason ident.Reason, after time.Duration) Result {
	name := ""
	if route != nil {
		name = route.Name
	}

	n.logger.Info().Str("request", string(r.ID)).Str("host", r.Host).Str("path", r.Path).Str("route", name).
		Str("outcome", string(ident.OutcomeNotRun)).Str("reason", string(reason)).Int64("in_flight", n.inFlight.Load()).Msg("request refused")
	n.count("requests_refused_total", reason)

	return &Refused{Kind: kind, Reason: reason, RetryAfter: after}
}

func (n *Node) count(name string, reason ident.Reason) {
	if n.meters != nil {
		n.meters.ByReason(name, reason).Inc(1)
	}
}

// report logs the final answer to a request with what decided it.
func (n *Node) report(s *serving, v *view) {
	took := time.Since(s.r.Arrived)

	outcome := ident.OutcomeRan
	if refused, ok := s.result.(*Refused); ok {
		outcome = ident.OutcomeUnknown
		if refused.Kind == RefusedNotRun {
			outcome = ident.OutcomeNotRun
		}

		n.count("requests_refused_total", s.reason)
	} else {
		n.count("requests_answered_total", ident.Reason(s.route.Name))
	}

	if n.meters != nil {
		n.meters.Latency("", classOf(s.route)).RecordDuration(took)
	}

	hedges, retries, unanswered := 0, 0, 0

	for _, a := range s.attempts {
		switch {
		case a.send.Hedge:
			hedges++
		case a.send.Retry:
			retries++
		}

		if a.reply == nil {
			unanswered++
		}
	}

	n.logger.Info().Str("request", string(s.r.ID)).Str("route", s.route.Name).Uint64("configuration", uint64(v.configuration.Version)).
		Str("outcome", string(outcome)).Str("reason", string(s.reason)).Dur("took", took).Int("attempts", len(s.attempts)).
		Int("hedges", hedges).Int("retries", retries).Int("unanswered", unanswered).Int("shards", s.shards.ShardsTotal).
		Int("shards_answered", s.shards.ShardsAnswered).Msg("request ended")
}
