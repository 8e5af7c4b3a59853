package query

import (
	"math/rand/v2"
	"sync"
	"time"

	"fulmarfall/ident"
)

// Defaults of the options, and values for a Planner with direct sends.
const (
	// DefaultBudgetRatio is the extra load from hedges and retries, as a fraction of first attempts.
	DefaultBudgetRatio = 0.05
	// DefaultBudgetBurst is the capacity of the retry budget in tokens.
	DefaultBudgetBurst = 32
	// DefaultHedgeQuantile is the shard latency quantile after which a hedge is sent.
	DefaultHedgeQuantile = 0.95
	// DefaultMargin is how long before the deadline a partial answer is sent, so that it arrives in time.
	DefaultMargin = 5 * time.Millisecond
	// DefaultHarmlessCapacity bounds the cache of harmless fingerprints; an entry needs about 40 bytes.
	DefaultHarmlessCapacity = 1 << 16
	// DirectHedgeQuantile is the hedge quantile with direct sends. About 4% of attempts are delayed by searcher pauses, and
	// the budget allows hedges for about 20%.
	DirectHedgeQuantile = 0.93
	// DirectMargin is the margin with direct sends: 3 ms of network latency, and 9 ms by which a timer may fire late on a
	// small VM.
	DirectMargin = 12 * time.Millisecond
	// DirectRetryFraction is the fraction of the retry budget that nodes use with direct sends. The remainder allows for nodes
	// that the others do not know of yet.
	DirectRetryFraction = 0.85
	// DefaultSearcherCapacity bounds the number of searchers tracked; the design target is 2,200 searchers.
	DefaultSearcherCapacity = 8192
)

// ReplicaPolicy selects how a replica is chosen.
type ReplicaPolicy uint8

// LowestCost chooses the replica with the lowest estimated cost. TwoRandomChoices draws two replicas at random and chooses
// the one with the lower cost.
const (
	LowestCost ReplicaPolicy = iota
	TwoRandomChoices
)

// HopTimes are the one-way network latencies between nodes; they are subtracted from the deadlines of attempts.
type HopTimes struct {
	// Near applies within a failure domain, Region between failure domains of a region, and Far between regions.
	Near, Region, Far time.Duration
}

// DefaultHopTimes are the latencies of the first two user organisations, rounded up.
var DefaultHopTimes = HopTimes{Near: 500 * time.Microsecond, Region: 1500 * time.Microsecond, Far: 12 * time.Millisecond}

// Counters are the event counts since the Planner was created.
type Counters struct {
	Queries, FirstAttempts, Hedges, Retries, FreeRetries, Canaries, Exclusives, Repins uint64
	// BudgetDenied counts hedges and retries that were not sent for lack of budget.
	BudgetDenied uint64
	// RepliesDropped counts replies whose request, attempt, shard and snapshot did not all match an attempt in flight.
	RepliesDropped uint64
	// BadReplies counts matching replies with hits that cannot be ordered.
	BadReplies uint64
	// Waited counts the waits of requests for a searcher with room, WaitRefused those that could not wait.
	Waited, WaitRefused uint64
}

// Planner is the state shared by all queries of a node. It and its queries are safe for concurrent use. A single mutex
// guards them all, because a decision takes only microseconds.
type Planner struct {
	mu sync.Mutex

	node             ident.NodeID
	domain           ident.FailureDomain
	region           ident.Region
	rnd              *rand.Rand
	policy           ReplicaPolicy
	hops             HopTimes
	margin           time.Duration
	hedgeQuantile    float64
	searcherCapacity int

	// direct is set by WithDirectSends. Each shard then has its own entry in budgets.
	direct        bool
	budgets       map[ident.ShardID]*budget
	budgetRatio   float64
	budgetSlack   float64
	budgetMinimum float64
	window        time.Duration
	halfLife      time.Duration

	budget      budget
	harmless    harmlessCache
	latency     map[ident.UpstreamID]*latencyHistogram
	searchers   map[ident.SearcherID]*searcherLoad
	notices     map[ident.SearcherID]*notice
	limits      map[ident.SearcherID]*requestLimit
	limitShares limitShares
	losses      map[ident.ShardID]*shardLoss
	waiting     map[ident.ShardID][]*Query             // requests that wait for a searcher with room
	admissions  map[ident.UpstreamID]*admissionControl // by Request.Group
	traffic     TrafficCost
	zoneShares  map[ident.ShardID]*zoneShare
	counters    Counters
}

// Option configures a Planner in NewPlanner.
type Option func(*Planner)

// WithNode sets the id and the location of the node that the Planner runs on.
func WithNode(id ident.NodeID, domain ident.FailureDomain, region ident.Region) Option {
	return func(p *Planner) { p.node, p.domain, p.region = id, domain, region }
}

// WithRandom sets the source of randomness. The default source has a fixed seed.
func WithRandom(src rand.Source) Option { return func(p *Planner) { p.rnd = rand.New(src) } }

// WithReplicaPolicy sets how replicas are chosen; the default is LowestCost.
func WithReplicaPolicy(policy ReplicaPolicy) Option { return func(p *Planner) { p.policy = policy } }

// WithHopTimes sets the one-way network latencies between nodes.
func WithHopTimes(h HopTimes) Option { return func(p *Planner) { p.hops = h } }

// WithMargin sets how long before the deadline a partial answer is sent.
func WithMargin(d time.Duration) Option { return func(p *Planner) { p.margin = d } }

// WithHedgeQuantile sets the latency quantile after which a hedge is sent; 1 or more disables hedging.
func WithHedgeQuantile(q float64) Option { return func(p *Planner) { p.hedgeQuantile = q } }

// WithBudget sets the extra load allowed for hedges and retries as a fraction of first attempts, and the burst in tokens.
func WithBudget(ratio float64, burst int) Option {
	return func(p *Planner) {
		p.budget = budget{tokens: float64(burst), burst: float64(burst), ratio: ratio, reserve: hedgeReserve}
	}
}

// WithDirectSends configures a node that sends to searchers directly, as other nodes do at the same time. The node must
// call AttemptEnded when an attempt no longer occupies its searcher. Per window, the searchers of a shard can bear further
// attempts up to a fraction (ratio) of the first ones plus a fixed number (slack). With this option
//   - a searcher whose oldest attempt takes much longer than usual is avoided until it answers;
//   - each shard has its own budget for hedges and retries, fed by first attempts and by time, and only partly filled at
//     the start;
//   - replicas are compared by the fraction of their slots in use, and replicas in other regions by a higher cost;
//   - there are no canaries: fingerprints rarely repeat, so nearly every request would first wait for one searcher.
func WithDirectSends(ratio, slack float64, window time.Duration) Option {
	return func(p *Planner) {
		p.direct, p.budgets = true, map[ident.ShardID]*budget{}
		p.budgetRatio, p.budgetSlack, p.window = ratio, slack, window
		p.halfLife = directHalfLife
	}
}

// WithHarmlessCapacity sets the capacity of the cache of harmless fingerprints.
func WithHarmlessCapacity(n int) Option {
	return func(p *Planner) { p.harmless = newHarmlessCache(n) }
}

// WithSearcherCapacity sets the maximum number of entries in each of the tables of searcher loads, searcher notices,
// request limits and shard losses.
func WithSearcherCapacity(n int) Option { return func(p *Planner) { p.searcherCapacity = max(n, 1) } }

// NewPlanner returns a Planner without any observations of searchers.
func NewPlanner(opts ...Option) *Planner {
	p := &Planner{
		rnd:              rand.New(rand.NewPCG(1, 1)),
		hops:             DefaultHopTimes,
		margin:           DefaultMargin,
		hedgeQuantile:    DefaultHedgeQuantile,
		halfLife:         latencyHalfLife,
		searcherCapacity: DefaultSearcherCapacity,
		budget:           budget{tokens: DefaultBudgetBurst, burst: DefaultBudgetBurst, ratio: DefaultBudgetRatio, reserve: hedgeReserve},
		harmless:         newHarmlessCache(DefaultHarmlessCapacity),
		latency:          map[ident.UpstreamID]*latencyHistogram{},
		searchers:        map[ident.SearcherID]*searcherLoad{},
		notices:          map[ident.SearcherID]*notice{},
		limits:           map[ident.SearcherID]*requestLimit{},
		losses:           map[ident.ShardID]*shardLoss{},
		waiting:          map[ident.ShardID][]*Query{},
		admissions:       map[ident.UpstreamID]*admissionControl{},
		traffic:          DefaultTrafficCost,
		zoneShares:       map[ident.ShardID]*zoneShare{},
	}
	for _, opt := range opts {
		opt(p)
	}

	return p
}

// Tune changes the budget of hedges and retries, as WithBudget does, and the hedge quantile while the Planner is in use.
func (p *Planner) Tune(ratio float64, burst int, hedgeQuantile float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.ratio, p.budget.burst = ratio, float64(burst)
	p.budget.tokens = min(p.budget.tokens, p.budget.burst)
	p.hedgeQuantile = hedgeQuantile
}

// TuneDirectBudget changes the budget set by WithDirectSends while the Planner is in use.
func (p *Planner) TuneDirectBudget(ratio float64, share BudgetShare) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budgetRatio, p.budgetSlack, p.budgetMinimum = ratio, share.Slack, share.Minimum
	for _, b := range p.budgets {
		p.configureBudget(b)
	}
}

// configureBudget applies the current settings to the budget of a shard.
func (p *Planner) configureBudget(b *budget) {
	b.ratio, b.burst = p.budgetRatio, max(burstFraction*p.budgetSlack, capacityForHedge(p.budgetMinimum))
	b.refillRate = (1 - burstFraction) * p.budgetSlack / p.window.Seconds()
	b.tokens = min(b.tokens, b.burst)
}

// budgetFor returns the budget for further attempts on a shard.
func (p *Planner) budgetFor(now time.Time, s ident.ShardID) *budget {
	if !p.direct {
		return &p.budget
	}
	b, ok := p.budgets[s]
	if !ok {
		if len(p.budgets) >= maxUpstreams {
			clear(p.budgets)
		}
		b = &budget{reserve: shardHedgeReserve}
		p.configureBudget(b)
		b.tokens = max(initialFill*b.burst, capacityForHedge(p.budgetMinimum))
		p.budgets[s] = b
	}
	b.refill(now)

	return b
}

// Counters returns a snapshot of the event counts.
func (p *Planner) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.counters
}

// InFlight returns the number of this node's attempts in flight at a searcher.
func (p *Planner) InFlight(s ident.SearcherID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.searchers[s]; l != nil {
		return l.inFlight
	}

	return 0
}

// Quantile returns a quantile of an upstream's shard latency; ok is false while there are too few samples.
func (p *Planner) Quantile(u ident.UpstreamID, q float64) (d time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.latency[u]; r != nil {
		return r.quantile(q)
	}

	return 0, false
}

// ReportLoad records a load report that was received other than in a shard reply.
func (p *Planner) ReportLoad(now time.Time, s ident.SearcherID, l Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.load(s).report(now, l)
}
