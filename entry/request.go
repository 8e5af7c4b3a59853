package entry

import (
	"bufio"
	"net"
	"time"

	"fulmarfall/ident"
	"fulmarfall/sockets"
)

// Request is a request of a caller, decoded from its protocol. What the searcher receives unchanged stands in the form in
// which it came.
type Request struct {
	ID     ident.RequestID
	Method string
	// Host and Path select the route; URI is the path with its query.
	Host string
	Path string
	URI  string
	// Header holds the header lines that go on to the searcher, each with its line end.
	Header []byte
	Body   []byte
	// HeaderBytes is the size of the header as the caller sent it.
	HeaderBytes int
	// Arrived is when the request was read, and Deadline when the caller gives up; the zero time means that it states none.
	Arrived  time.Time
	Deadline time.Time
	// Gone reports whether the caller has closed its connection. It may be nil.
	Gone func() bool
}

// Attempt is one sending of a request to a searcher.
type Attempt struct {
	Searcher ident.SearcherID
	// Remaining is the time that the searcher has.
	Remaining time.Duration
}

// Reply is the whole answer of a searcher.
type Reply struct {
	Status int
	// Header holds the header fields that go on to the caller.
	Header []Field
	Body   []byte
	// Signature is the searcher's signature of the answer; empty if it gave none.
	Signature string
	// NotRun is the searcher's word that it did not run the request, and Replaced that it is not the searcher that was
	// addressed.
	NotRun   bool
	Replaced bool
	// Leaving is the searcher's word that it takes no new work, and Rest the time for which it wants none from this node.
	Leaving bool
	Rest    time.Duration
	// Reusable reports whether the connection can take another request, until IdleLimit has passed; 0 means no limit.
	Reusable  bool
	IdleLimit time.Duration
	// budget counts the memory that the answer holds.
	budget *replyBudget
	held   int64
}

// Field is a header field.
type Field struct{ Name, Value string }

// Conn is a connection to a searcher with its buffered reader.
type Conn struct {
	net.Conn
	R      *bufio.Reader
	usedAt time.Time
	// opened is when the connection was open, opening how long that took; proven is set once an answer was read from it.
	opened  time.Time
	opening time.Duration
	proven  bool
	// EchoesIDs is set once an answer on the connection has carried the id of its request.
	EchoesIDs bool
	// arrived counts the bytes that came in, budget the memory of answers, of which this one's are held here.
	arrived *sockets.CountingReader
	budget  *replyBudget
	held    int64
	// unusedAfter is when the searcher closes the idle connection; zero if it does not say.
	unusedAfter time.Time
}

// Result is what the caller gets. The types are *Relayed, *Merged and *Refused.
type Result interface{ result() }

// Relayed is the answer of one searcher, to be passed on unchanged.
type Relayed struct{ Reply *Reply }

// Merged is an answer that consists of the answers of several shards.
type Merged struct {
	Signatures []string
	Missing    int
	Body       []byte
}

// Refused says why there is no answer.
type Refused struct {
	Kind   RefusalKind
	Reason ident.Reason
	// RetryAfter is when the caller should come back; 0 means that there is no use in it.
	RetryAfter time.Duration
}

// RefusalKind says what is known about a refused request.
type RefusalKind uint8

// The kinds. RefusedNotRun is a promise; RefusedUnknown is used wherever a searcher may have run the request.
const (
	RefusedNotRun RefusalKind = iota
	RefusedUnknown
	RefusedDeadline
	RefusedNoRoute
	RefusedHeaderTooLarge
	RefusedBodyTooLarge
)

func (*Relayed) result() {}
func (*Merged) result()  {}
func (*Refused) result() {}
