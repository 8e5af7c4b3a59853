package query

import (
	"time"

	"fulmarfall/ident"
)

// budget is a token bucket shared by hedges and retries. Every first attempt adds ratio tokens.
type budget struct {
	tokens, burst, ratio float64
	// refillRate is the number of tokens added per second, up to now as of refilledAt.
	refillRate float64
	refilledAt time.Time
	// reserve is the fraction of the burst that hedges must leave for retries.
	reserve float64
}

const (
	// hedgeReserve is the reserve of the budget shared by all shards. Without it, hedges could use up the budget, and shards
	// whose attempts were lost would be missing.
	hedgeReserve = 0.5
	// shardHedgeReserve is the reserve of the budget of a single shard, which receives fewer tokens and is used only by that
	// shard's attempts.
	shardHedgeReserve = 0.15
	// initialFill is the initial fill level of a shard's budget as a fraction of its burst. A restarted node receives it
	// again, so it must be small enough for all nodes to restart within one window.
	initialFill = 0.5
	// minimumFraction is the fraction of the slack that all nodes together may hold regardless of their load. unusedFraction
	// is the fraction that is never handed out, because a node's count of the other nodes may be out of date.
	minimumFraction = 0.6
	unusedFraction  = 0.05
	// burstFraction is the fraction of the slack of a window that may be used at once; the remainder is added evenly over
	// the window.
	burstFraction = 0.5
)

// BudgetShare is one node's share of the slack: the additional attempts (hedges and retries) that the searchers of a shard
// can bear per window, besides a fraction of the first attempts.
type BudgetShare struct {
	Slack   float64 // in proportion to the node's load
	Minimum float64 // lower bound, because a node may just have started to receive callers
}

// NewBudgetShare returns the budget share of one of several nodes from its fraction of their total load. The shares add
// up to less than the slack: each node holds up to one token, and what remains is divided by load.
func NewBudgetShare(slack, load float64, nodes int) BudgetShare {
	n := float64(max(nodes, 1))
	minimum := min(1, minimumFraction*slack/n)

	return BudgetShare{Slack: load * min(DirectRetryFraction*slack, (1-unusedFraction)*slack-n*capacityForHedge(minimum)), Minimum: minimum}
}

// capacityForHedge returns the burst that a budget needs so that a hedge, which must leave the reserve, can use the given
// tokens.
func capacityForHedge(tokens float64) float64 { return tokens / (1 - shardHedgeReserve) }

// refill adds the tokens for the time since the last call.
func (b *budget) refill(now time.Time) {
	if d := now.Sub(b.refilledAt); b.refillRate > 0 && !b.refilledAt.IsZero() && d > 0 {
		b.tokens = min(b.tokens+b.refillRate*d.Seconds(), b.burst)
	}
	b.refilledAt = now
}

func (b *budget) deposit(n int) {
	b.tokens = min(b.tokens+b.ratio*float64(n), b.burst)
}

// takeRetry takes a token for an attempt without which a shard would be missing; random returns a number in [0, 1). In a
// system with many nodes, the burst of one node may stay below one token. Such a budget grants a token with a probability
// equal to its fill level and goes into debt for the remainder, so that all nodes together spend what they may.
func (b *budget) takeRetry(random func() float64) bool {
	if b.burst >= 1 {
		return b.take(0)
	}
	if b.tokens <= 0 || random() >= b.tokens {
		return false
	}
	b.tokens--

	return true
}

// takeHedge takes a token for an attempt that only reduces latency; random returns a number in [0, 1). A budget that can't hold a
// token and the reserve grants one with a probability equal to what it holds above the reserve, and goes into debt, as takeRetry
// does. With 80 nodes and a slack of 52, no node could ever hedge otherwise.
func (b *budget) takeHedge(random func() float64) bool {
	reserve := b.burst * b.reserve

	switch {
	case b.burst >= 1+reserve:
		return b.take(reserve)
	case b.tokens <= reserve || random() >= b.tokens-reserve:
		return false
	}

	b.tokens--

	return true
}

func (b *budget) take(reserve float64) bool {
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--

	return true
}

// TakeRepeats takes a token for each shard whose searchers receive a request again that some of them may have run. It reports
// whether all budgets had one. It applies only to direct sends.
func (p *Planner) TakeRepeats(now time.Time, shards []ident.ShardID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := true
	for _, s := range shards {
		taken = p.budgetFor(now, s).takeRetry(p.rnd.Float64) && taken
	}

	return taken
}

// harmlessKey identifies a fingerprint on one snapshot; the fingerprint already includes the upstream.
type harmlessKey struct {
	fingerprint ident.Fingerprint
	snapshot    ident.SnapshotID
}

// harmlessCache stores fingerprints that have run without crashing a searcher. It has two generations: a hit in the older
// one copies the entry to the newer one, and the older one is dropped when the newer one is full. This approximates LRU
// eviction at constant cost.
type harmlessCache struct {
	capacity int
	young    map[harmlessKey]struct{}
	old      map[harmlessKey]struct{}
}

func newHarmlessCache(capacity int) harmlessCache {
	return harmlessCache{capacity: max(capacity/2, 1), young: map[harmlessKey]struct{}{}}
}

func (c *harmlessCache) contains(k harmlessKey) bool {
	if _, ok := c.young[k]; ok {
		return true
	}
	if _, ok := c.old[k]; !ok {
		return false
	}
	c.add(k)

	return true
}

func (c *harmlessCache) add(k harmlessKey) {
	if len(c.young) >= c.capacity {
		c.old, c.young = c.young, make(map[harmlessKey]struct{}, c.capacity)
	}
	c.young[k] = struct{}{}
}

func (c *harmlessCache) remove(k harmlessKey) {
	delete(c.young, k)
	delete(c.old, k)
}
