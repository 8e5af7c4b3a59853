// Package usage divides the rate limits of calling teams among entry VMs. The leader of the control VMs (Allocator) grants
// each entry VM a share of each limit under a lease; the entry VM (Holder) admits requests by a token bucket with its share
// of the rate and the burst.
//
// All shares of a team that are held, or may come to be held, add up to at most Whole, those of the rate as well as those of
// the burst. Growing a share adds no tokens, so all buckets of a team together never hold more tokens than one bucket of the
// whole limit.
package usage

import (
	"math"
	"time"

	"fulmarfall/ident"
)

const (
	// Lease is the validity of shares, from the time when the entry VM sent the report.
	Lease = 5 * time.Second
	// expiryMargin is how much longer the leader counts the shares of an entry VM that it no longer hears of. It allows for
	// clocks that run 5% apart.
	expiryMargin = 250 * time.Millisecond
	// startPeriod is how long a new leader does not know all shares. The previous leader may have granted some until
	// 0.3 s after the election.
	startPeriod = Lease + 500*time.Millisecond
)

// Share is a fraction of a limit in millionths.
type Share uint32

// Whole is the sum of all shares of a limit.
const Whole Share = 1_000_000

func (s Share) of(x float64) float64 { return float64(s) / float64(Whole) * x }

// Shares are the fractions of the rate and of the burst of a limit. They differ because a bucket of less than one token
// would never admit a request, whatever its rate.
type Shares struct{ Rate, Burst Share }

// whole are the shares of an entire limit.
var whole = Shares{Rate: Whole, Burst: Whole}

func (s Shares) plus(o Shares) Shares { return Shares{Rate: s.Rate + o.Rate, Burst: s.Burst + o.Burst} }

func (s Shares) minus(o Shares) Shares {
	return Shares{Rate: s.Rate - o.Rate, Burst: s.Burst - o.Burst}
}

func (s Shares) max(o Shares) Shares {
	return Shares{Rate: max(s.Rate, o.Rate), Burst: max(s.Burst, o.Burst)}
}

func (s Shares) min(o Shares) Shares {
	return Shares{Rate: min(s.Rate, o.Rate), Burst: min(s.Burst, o.Burst)}
}

// without returns what is left of s after o, at least 0.
func (s Shares) without(o Shares) Shares { return s.minus(s.min(o)) }

// Bounds is how far the requests of a team may exceed its limit, summed over all entry VMs: in any Window at most
// (rate x Window + burst) x (1 + Overrun) + Slack requests.
type Bounds struct {
	Window  time.Duration
	Overrun float64
	Slack   float64
}

const (
	// overrunUsed and slackUsed are the parts of Overrun and Slack that callers can use. The rest is the margin of new leaders.
	overrunUsed = 0.85
	slackUsed   = 0.75
	// rateFactor is the rate of the bucket as a multiple of the limit. What callers can use beyond it is added to the burst,
	// which has to hold a token for each entry VM with callers: a team with a low limit has little else.
	rateFactor = 1.15
	// initialMargin is the part of the margin that a new leader may grant at once, laterMargin the part that it may grant
	// over its start period. Three leaders within a window stay within the margin.
	initialMargin = 0.2
	laterMargin   = 0.3
)

// Limit is the token bucket of a team for all entry VMs together.
type Limit struct {
	Rate  float64 // tokens per second; 0 means that the team has no limit
	Burst float64 // capacity in tokens
	// Margin is the number of requests in a window that the bound allows and the bucket does not.
	Margin float64
}

// Total returns the number of requests that may run in any window.
func (b Bounds) Total(ratePerSecond, burst float64) float64 {
	return (ratePerSecond*b.Window.Seconds()+burst)*(1+b.Overrun) + b.Slack
}

// Limit returns the bucket by which a limit is enforced. The result is the zero Limit if ratePerSecond is 0.
func (b Bounds) Limit(ratePerSecond, burst float64) Limit {
	if ratePerSecond <= 0 {
		return Limit{}
	}

	window := b.Window.Seconds()
	used := (ratePerSecond*window+burst)*(1+overrunUsed*b.Overrun) + slackUsed*b.Slack
	l := Limit{Burst: max(used-rateFactor*ratePerSecond*window, min(1, used))}
	l.Rate = (used - l.Burst) / window

	l.Margin = max(b.Total(ratePerSecond, burst)-used, 0)

	return l
}

// token returns the smallest share whose bucket holds a whole token.
func (l Limit) token() Share {
	if l.Burst < 1 {
		return Whole
	}

	return Share(math.Ceil(float64(Whole) / l.Burst))
}

// Report states the demand of an entry VM, and confirms the grant that it has applied.
type Report struct {
	Incarnation ident.Incarnation
	// Sequence numbers the reports of an incarnation, from 1.
	Sequence uint64
	// Term and Applied identify the last grant that the entry VM has applied; 0 if it has applied none.
	Term    uint64
	Applied uint64
	// Full is set if Teams lists every share that the entry VM holds.
	Full bool
	// Callers is set if the entry VM has callers, or is about to have some.
	Callers bool
	Teams   []Demand
}

// Demand is the demand for the limit of one team at an entry VM.
type Demand struct {
	Team ident.TeamID
	Rate float64 // requests per second, refused ones included
	Held Shares  // in a full report
	// Waiting is the number of requests that wait for tokens, Room the number of tokens that fit in the bucket.
	Waiting int
	Room    float64
	// Returned are the tokens that were left over when the share was lowered.
	Returned float64
}

// Grant is the reply to a report. Applying it renews all shares of the entry VM.
type Grant struct {
	// Term is the term of the leader, Sequence the number of the report.
	Term     uint64
	Sequence uint64
	// Resend asks for a full report; nothing is granted.
	Resend bool
	// Starting is set while the leader does not know all shares.
	Starting bool
	// Teams are the shares that change.
	Teams []TeamShare
}

// TeamShare are the shares of an entry VM in the limit of a team.
type TeamShare struct {
	Team ident.TeamID
	Shares
	// Tokens are moved from the bucket of the leader to that of the entry VM; Extra are granted beyond it.
	Tokens float64
	Extra  float64
	// Exhausted is set if the demand of the team reaches its limit.
	Exhausted bool
}
