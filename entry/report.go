package entry

import (
	"time"

	"fulmarfall/ident"
)

// refuseEarly logs and counts the refusal of a request that no searcher has seen.
func (n *Node) refuseEarly(r *Request, kind RefusalKind, reason ident.Reason, retryAfter time.Duration) *Refused {
	e := n.logger.Info().Str("request", string(r.ID)).Str("host", r.Host).Str("path", r.Path)
	if r.Team != "" {
		e = e.Str("team", string(r.Team))
	}

	e.Str("outcome", string(ident.OutcomeNotRun)).Str("reason", string(reason)).Int64("in_flight", n.inFlight.Load()).Msg("request refused")
	n.count("requests_refused_total", reason)

	return &Refused{Kind: kind, Reason: reason, RetryAfter: retryAfter}
}

func (n *Node) count(name string, reason ident.Reason) { n.countBy(name, reason, 1) }

func (n *Node) countBy(name string, reason ident.Reason, by int) {
	if n.meters != nil {
		n.meters.ByReason(name, reason).Inc(int64(by))
	}
}

// reportAttempts logs the hedges, the retries and the attempts that did not succeed.
func (s *activeRequest) reportAttempts() {
	for _, a := range s.attempts {
		primary := !a.send.Hedge && !a.send.Retry
		if primary && a.reply != nil && a.reply.Status < minErrorStatus {
			continue
		}

		e := s.n.logger.Info().Str("request", string(s.r.ID)).Str("searcher", string(a.send.Searcher)).
			Str("shard", string(a.send.Shard)).Bool("hedge", a.send.Hedge).Bool("retry", a.send.Retry).
			Dur("after", a.sentAt.Sub(s.r.Arrived))

		switch {
		case a.reply != nil:
			e = e.Int("status", a.reply.Status).Bool("not_run", a.reply.NotRun || a.reply.Misdirected).Dur("took", a.endedAt.Sub(a.sentAt))
		case !a.endedAt.IsZero():
			e = e.Str("failure", a.failure.String()).Dur("took", a.endedAt.Sub(a.sentAt))
		default:
			e = e.Str("failure", "unanswered").Dur("took", time.Since(a.sentAt))
		}

		e.Msg("attempt")
	}
}

// report logs the result of a request with what decided it, and counts it.
func (n *Node) report(s *activeRequest, v *view) {
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
		n.meters.Latency("", s.class()).RecordDuration(took)
	}

	s.countAttempts()
	s.reportAttempts()
	s.reportLimited()

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

	e := n.logger.Info().Str("request", string(s.r.ID)).Stringer("fingerprint", s.fingerprint).Str("route", s.route.Name)
	if s.team != nil {
		e = e.Str("team", string(s.team.Name))
	}

	e.Uint64("configuration", uint64(v.configuration.Version)).
		Str("outcome", string(outcome)).Str("reason", string(s.reason)).Dur("took", took).Int("attempts", len(s.attempts)).
		Int("hedges", hedges).Int("retries", retries).Int("unanswered", unanswered).Dur("lag", n.lag.get()).Int("shards", s.coverage.ShardsTotal).
		Int("shards_answered", s.coverage.ShardsAnswered).Int("without_room", s.withoutRoom).
		Bool("forwarded", s.r.Forwarded).Str("peer", string(s.peer)).Msg("request ended")
}
