package query

import (
	"maps"
	"slices"
	"time"

	"fulmarfall/ident"
	"fulmarfall/searcher"
)

const (
	// staleShareFactor is the fraction of its shares that a node uses once they are no longer valid: by then the other nodes
	// have divided them among themselves.
	staleShareFactor = 0.5
	// limitClockSlack is the minimum time by which a statement received through other nodes must be newer than the last one.
	// Its age does not include the time on the network.
	limitClockSlack = 100 * time.Millisecond
	// limitShareInterval is the time between two reports of an unchanged limit to the other nodes.
	limitShareInterval = 2 * time.Second
	// maxSharedLimits bounds the statements that are shared at once; the others follow with the next exchange.
	maxSharedLimits = 500
	// limitRetention is how long a limit is kept after the last statement. It is longer than answers and reports can be
	// delayed.
	limitRetention = time.Minute
)

// requestLimit is the last statement of one incarnation of a searcher, and this node's share of the limit.
type requestLimit struct {
	incarnation uint64
	statement   searcher.LimitStatement
	statedAt    time.Time // when the statement was received
	// shared is the last statement of the searcher to this node that was shared with the other nodes, sharedAt when; own is
	// set if the last statement is one to this node.
	shared   searcher.LimitStatement
	sharedAt time.Time
	own      bool
	limiter  searcher.RequestLimiter
	// shareVersion is the version of the shares that the limiter has; 0 if it has none.
	shareVersion uint64
	// sent and denied count attempts since the last report.
	sent, denied int
}

// limitShares are this node's shares of the request limits of searchers, by the region of the searcher.
type limitShares struct {
	version   uint64
	updatedAt time.Time // zero until they are set; this node then uses the whole limits
	validFor  time.Duration
	stale     bool
	averages  map[ident.Region]*searcher.ShareAverage
	shares    map[ident.Region]float64
}

// LimitReport is what a node has done with attempts on a searcher with a request limit since its previous report.
type LimitReport struct {
	Searcher  ident.SearcherID
	PerSecond ident.RequestRate
	Sent      int
	Denied    int
}

// RecordLimit records what an answer of an incarnation of a searcher, to a request sent at the given time, says about its
// request limit. It reports whether this changes the limit.
func (p *Planner) RecordLimit(now time.Time, s ident.SearcherID, incarnation uint64, st searcher.LimitStatement, sent time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	var last requestLimit
	if l := p.limits[s]; l != nil && l.incarnation == incarnation {
		last = *l
	}

	return last.statement.SupersededBy(st, last.statedAt, sent) && p.setLimit(now, s, incarnation, st, true)
}

// ApplySharedLimit applies the request limit that an incarnation of a searcher has stated to another node. It reports whether
// this changes the limit.
func (p *Planner) ApplySharedLimit(shared SharedLimit) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	l, ok := p.limits[shared.Searcher]

	switch {
	case !shared.Limited && !ok:
		return false
	case ok && shared.Incarnation == l.incarnation && shared.StatedAt.Before(l.statedAt.Add(limitClockSlack)):
		return false
	}

	return p.setLimit(shared.StatedAt, shared.Searcher, shared.Incarnation, shared.LimitStatement, false)
}

// setLimit sets the last statement of an incarnation of a searcher, unless it is an earlier incarnation. It reports whether
// this changes the limit.
func (p *Planner) setLimit(statedAt time.Time, s ident.SearcherID, incarnation uint64, st searcher.LimitStatement, own bool) bool {
	l, ok := p.limits[s]

	switch {
	case ok && incarnation < l.incarnation:
		return false
	case !ok || incarnation > l.incarnation:
		if !ok && len(p.limits) >= p.searcherCapacity {
			p.evictLimit()
		}

		l = &requestLimit{incarnation: incarnation}
		p.limits[s] = l
	}

	changed := l.statement != st
	l.statement, l.statedAt, l.own = st, statedAt, own

	if changed {
		l.shareVersion = 0
	}

	return changed
}

// SharedLimit is the last statement of one incarnation of a searcher as it is passed between nodes.
type SharedLimit struct {
	Searcher    ident.SearcherID
	Incarnation uint64
	searcher.LimitStatement
	StatedAt time.Time
}

// LimitsToShare returns the statements of searchers to this node that the other nodes may not know: those that have changed,
// and those that were repeated since they were last shared, because a control VM may have restarted. The caller passes them
// to LimitsShared once they have arrived.
func (p *Planner) LimitsToShare(now time.Time) []SharedLimit {
	p.mu.Lock()
	defer p.mu.Unlock()

	var list []SharedLimit

	for id, l := range p.limits {
		if len(list) >= maxSharedLimits {
			break
		}

		if l.own && (l.statement != l.shared || now.Sub(l.sharedAt) >= limitShareInterval && l.statedAt.After(l.sharedAt)) {
			list = append(list, SharedLimit{Searcher: id, Incarnation: l.incarnation, LimitStatement: l.statement, StatedAt: l.statedAt})
		}
	}

	return list
}

// LimitsShared records that the other nodes have been told of statements.
func (p *Planner) LimitsShared(now time.Time, list []SharedLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, s := range list {
		if l := p.limits[s.Searcher]; l != nil && l.incarnation == s.Incarnation {
			l.shared, l.sharedAt = s.LimitStatement, now
		}
	}
}

// evictLimit removes the oldest statement, those without a limit first.
func (p *Planner) evictLimit() {
	var oldest ident.SearcherID

	for id, l := range p.limits {
		o := p.limits[oldest]

		switch {
		case o == nil, o.statement.Limited && !l.statement.Limited:
			oldest = id
		case o.statement.Limited == l.statement.Limited && l.statedAt.Before(o.statedAt):
			oldest = id
		}
	}

	delete(p.limits, oldest)
}

// SetLimitShares sets this node's shares of the request limits of searchers, by the region of the searcher. They are valid for
// the time after which the other nodes no longer count this one.
func (p *Planner) SetLimitShares(now time.Time, shares map[ident.Region]float64, validFor time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()

	ls := &p.limitShares
	if ls.averages == nil {
		ls.averages, ls.shares = map[ident.Region]*searcher.ShareAverage{}, map[ident.Region]float64{}
	}

	changed := ls.stale
	ls.updatedAt, ls.validFor, ls.stale = now, validFor, false

	for region, share := range shares {
		a := ls.averages[region]
		if a == nil {
			a = &searcher.ShareAverage{}
			ls.averages[region] = a
		}

		share = a.Update(now, share)
		changed = changed || share != ls.shares[region]
		ls.shares[region] = share
	}

	if changed {
		ls.version++
	}
}

// share returns the share for searchers in a region, or the smallest one for a region that is not known: without any room this
// node would never see the end of a limit.
func (ls *limitShares) share(region ident.Region) float64 {
	if ls.updatedAt.IsZero() {
		return 1
	}

	share, ok := ls.shares[region]
	if !ok && len(ls.shares) > 0 {
		share = slices.Min(slices.Collect(maps.Values(ls.shares)))
	}

	if ls.stale {
		share *= staleShareFactor
	}

	return share
}

// limit returns the request limit of an incarnation of a searcher with the current share, or nil if it has none.
func (p *Planner) limit(now time.Time, s ident.SearcherID, incarnation uint64, region ident.Region) *requestLimit {
	l := p.limits[s]
	if l == nil || l.incarnation != incarnation || !l.statement.Limited {
		return nil
	}

	ls := &p.limitShares
	if !ls.updatedAt.IsZero() && !ls.stale && now.Sub(ls.updatedAt) >= ls.validFor {
		ls.stale = true
		ls.version++
	}

	if version := ls.version + 1; l.shareVersion != version {
		l.shareVersion = version
		l.limiter.SetShare(now, l.statement.PerSecond, ls.share(region), p.rnd.Float64())
	}

	return l
}

// LimitReports returns the searchers with a request limit, and what was done with attempts on them since the last call. It
// removes limits that have ended, or that nothing was sent under, for limitRetention.
func (p *Planner) LimitReports(now time.Time) []LimitReport {
	p.mu.Lock()
	defer p.mu.Unlock()

	var list []LimitReport

	for id, l := range p.limits {
		if now.Sub(l.statedAt) >= limitRetention && l.sent+l.denied == 0 {
			delete(p.limits, id)

			continue
		}

		if l.statement.Limited {
			list = append(list, LimitReport{Searcher: id, PerSecond: l.statement.PerSecond, Sent: l.sent, Denied: l.denied})
			l.sent, l.denied = 0, 0
		}
	}

	return list
}
