package entry

import (
	"bufio"
	"net"
	"time"

	"fulmarfall/ident"
	"fulmarfall/searcher"
	"fulmarfall/sockets"
)

// Request is a request of a caller, decoded from its protocol. The parts that are forwarded to the searcher unchanged
// are kept as received.
type Request struct {
	ID     ident.RequestID
	Method string
	// Host and Path select the route; URI is the path with its query.
	Host string
	Path string
	URI  string
	// Header holds the header lines that are forwarded to the searcher, each with its line end.
	Header []byte
	Body   []byte
	// HeaderBytes is the size of the header as the caller sent it.
	HeaderBytes int
	// Key is the key of a team as the caller sent it, "" if it sent none. Serve clears it after the lookup.
	Key string
	// Team is the calling team, or "". Serve sets it by the key; for a forwarded request, another entry VM has done so.
	Team ident.TeamID
	// Arrived is when the request was read. Deadline is when the caller gives up, zero if it states none.
	Arrived  time.Time
	Deadline time.Time
	// Disconnected reports whether the caller has closed its connection. It may be nil.
	Disconnected func() bool
	// Forwarded is set if the request comes from an entry VM that reaches no searcher. UsedAttempts is the number of searchers
	// of a shard that may have run it there.
	Forwarded    bool
	UsedAttempts int
	// countsAsUsage is set if the request has taken a token of the rate limit of its team.
	countsAsUsage bool
}

// Attempt holds what an attempt adds to the request that is sent to a searcher.
type Attempt struct {
	Searcher ident.SearcherID
	// Remaining is the time within which the searcher has to answer.
	Remaining time.Duration
}

// Reply is the complete answer of a searcher.
type Reply struct {
	Status int
	// Header holds the header fields that are forwarded to the caller.
	Header []Field
	Body   []byte
	// Signature is the searcher's signature of the answer; empty if it gave none.
	Signature string
	// NotRun is set if the searcher states that it did not run the request, Misdirected if another process answered at the
	// address of the searcher.
	NotRun      bool
	Misdirected bool
	// Leaving is set if the searcher accepts no new work. RetryAfter is the back-off that it asks of this node.
	Leaving    bool
	RetryAfter time.Duration
	// Limit is the searcher's request limit. LimitInvalid quotes a limit that could not be read.
	Limit        searcher.LimitStatement
	LimitInvalid string
	// Reusable reports whether the connection can take another request, until KeepAliveTimeout has passed; 0 means no limit.
	Reusable         bool
	KeepAliveTimeout time.Duration
	// budget is where the reserved bytes of the answer are accounted.
	budget   *replyBudget
	reserved int64
}

// Field is a header field of an answer.
type Field struct{ Name, Value string }

// Conn is a connection to a searcher with its buffered reader. One attempt at a time uses it.
type Conn struct {
	net.Conn
	R      *bufio.Reader
	usedAt time.Time
	// openedAt is when the connection was established, openDuration how long that took. hasAnswered is set once an
	// answer was read from it.
	openedAt     time.Time
	openDuration time.Duration
	hasAnswered  bool
	carried      carriedRequests
	// EchoesIDs is set once an answer on the connection has carried the ID of its request.
	EchoesIDs bool
	// input counts the bytes received. reserved is the part of budget taken for the current answer until
	// transferReservation.
	input    *sockets.CountingReader
	budget   *replyBudget
	reserved int64
	// reusableUntil is when four fifths of the idle time limit stated by the searcher have passed; zero if it states
	// none.
	reusableUntil time.Time
}

// Result is what the caller receives: a *Relayed, *Merged or *Refused.
type Result interface{ result() }

// Relayed is the answer of one searcher, forwarded unchanged.
type Relayed struct{ Reply *Reply }

// Merged combines the answers of several shards.
type Merged struct {
	Signatures []string
	Missing    int
	Body       []byte
}

// Refused states why there is no answer.
type Refused struct {
	Kind   RefusalKind
	Reason ident.Reason
	// RetryAfter is when the caller should retry; 0 means that a retry is of no use.
	RetryAfter time.Duration
	// UsedAttempts is the number of searchers of a shard that may have run a request that was forwarded or refused as isolated.
	UsedAttempts int
	// Final is set if no other entry VM may be sent the request, because it must run at most once and may have run.
	Final bool
}

// RefusalKind distinguishes what is known about a refused request.
type RefusalKind uint8

// Kinds of refusal. Their values are sent between nodes. RefusedNotRun guarantees that no searcher has run the request; RefusedUnknown is used wherever one
// may have run it.
const (
	RefusedNotRun RefusalKind = iota
	RefusedUnknown
	RefusedDeadline
	RefusedNoRoute
	RefusedHeaderTooLarge
	RefusedBodyTooLarge
	RefusedUnauthorized
	RefusedOverUsage
)

func (*Relayed) result() {}
func (*Merged) result()  {}
func (*Refused) result() {}
