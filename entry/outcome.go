package entry

import (
	"fulmarfall/configuration"
	"fulmarfall/ident"
	"fulmarfall/query"
	"fulmarfall/response"
)

// failure is the reason why an attempt has no answer. It shows whether the request may have been sent.
type failure uint8

const (
	// failureNone means that there is an answer.
	failureNone failure = iota
	// failureFull means that no connection was available, failureUnreachable that none could be opened. Nothing was
	// sent.
	failureFull
	failureUnreachable
	// failureLost and failureTimeout mean that the request was sent.
	failureLost
	failureTimeout
	// failureReset means that a new connection was closed as soon as the searcher can have accepted it, as a searcher at
	// its connection limit does. The request may still have been sent.
	failureReset
	// failureBadReply means that the searcher sent bytes that are not a complete answer to the request.
	failureBadReply
	// failureBackoff and failureLeaving mean that nothing was sent because the searcher asked for back-off, or is leaving,
	// gone, out of service or in a region that is no longer allowed.
	failureBackoff
	failureLeaving
	// failureLimited means that nothing was sent because the searcher's request limit left no room.
	failureLimited
	// failureExpired means that nothing was sent because the deadline of the request had passed.
	failureExpired
	// failureConvicted means that nothing was sent because the request has been convicted of crashing searchers.
	failureConvicted
)

// String returns the name of the failure in log lines.
func (f failure) String() string {
	switch f {
	case failureFull:
		return "no_connection_free"
	case failureUnreachable:
		return "unreachable"
	case failureLost:
		return "connection_lost"
	case failureTimeout:
		return "timeout"
	case failureReset:
		return "connection_reset"
	case failureBadReply:
		return "bad_reply"
	case failureExpired:
		return "expired"
	case failureBackoff:
		return "resting"
	case failureLeaving:
		return "leaving"
	case failureLimited:
		return "limited"
	case failureConvicted:
		return "convicted"
	default:
		return ""
	}
}

const (
	minErrorStatus       = 400
	minServerErrorStatus = 500
	minRedirectStatus    = 300
	minSuccessStatus     = 200
)

// classify converts the result of an attempt for the query core.
func classify(r *configuration.Route, reply *Reply, f failure) query.ShardReply {
	switch f {
	case failureFull:
		return query.ShardReply{Status: query.StatusNotStarted, Reason: ident.ReasonOverloaded}
	case failureUnreachable:
		return query.ShardReply{Status: query.StatusNotStarted, Reason: ident.ReasonUnreachable}
	case failureBackoff:
		return query.ShardReply{Status: query.StatusNotStarted, Reason: ident.ReasonResting}
	case failureLeaving:
		return query.ShardReply{Status: query.StatusNotStarted, Reason: ident.ReasonLeaving}
	case failureLimited:
		return query.ShardReply{Status: query.StatusNotStarted, Reason: ident.ReasonLimited}
	case failureConvicted:
		return query.ShardReply{Status: query.StatusNotStarted, Reason: ident.ReasonConvicted, RetryAfter: ident.RetryAfter(convictedRetryAfter)}
	case failureExpired:
		return query.ShardReply{Status: query.StatusNotStarted, Reason: ident.ReasonDeadline}
	case failureLost, failureReset:
		return query.ShardReply{Status: query.StatusLost, Reason: ident.ReasonUnreachable, Sent: true}
	case failureBadReply:
		return query.ShardReply{Status: query.StatusLost, Reason: ident.ReasonBadReply, Sent: true}
	case failureTimeout:
		return query.ShardReply{Status: query.StatusTimedOut, Reason: ident.ReasonDeadline, Sent: true}
	case failureNone:
	}

	switch {
	case reply.Misdirected:
		return query.ShardReply{Status: query.StatusNotStarted, Reason: ident.ReasonUnreachable, Sent: true}
	case reply.NotRun:
		return query.ShardReply{Status: query.StatusNotStarted, Reason: ident.ReasonShed, Sent: true}
	case succeeded(r, reply):
		return query.ShardReply{Status: query.StatusOK, Sent: true}
	default:
		return query.ShardReply{Status: query.StatusFailed, Reason: ident.ReasonBadReply, Sent: true}
	}
}

// succeeded reports whether an answer completes its shard, so that no further attempt is needed. A success counts only
// with its signature. On a route without shards, a redirect or client error counts too: other searchers would refuse the
// request as well.
func succeeded(r *configuration.Route, reply *Reply) bool {
	if reply.Status >= minSuccessStatus && reply.Status < minRedirectStatus {
		return reply.Signature != ""
	}

	return len(r.Shards) == 0 && reply.Status >= minRedirectStatus && reply.Status < minServerErrorStatus && !impliesNotRun(reply.Status)
}

// impliesNotRun reports whether a status tells a caller that its request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case 408, 421, 429, 503:
		return true
	default:
		return false
	}
}

// relayable reports whether the failure answer of a searcher can be passed on to the caller. It can't if its status
// implies that the request has not run, which is not known.
func relayable(reply *Reply) bool {
	return reply != nil && !reply.NotRun && !reply.Misdirected && reply.Status >= minErrorStatus && response.IsFinal(reply.Status) && !impliesNotRun(reply.Status)
}
