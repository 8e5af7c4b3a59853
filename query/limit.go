package query

import (
	"time"

	"fulmarfall/ident"
)

// LimitStatement is what an answer of a searcher says about the requests that it takes from all nodes together.
type LimitStatement struct {
	// Limited is false if the answer names no limit.
	Limited   bool
	PerSecond ident.RequestRate
}

// requestLimit is the last statement of one incarnation of a searcher, and what this node has sent since it was last
// reported.
type requestLimit struct {
	incarnation uint64
	statement   LimitStatement
	statedAt    time.Time // when the statement was received
	sent        int
}

// LimitReport is what a node has sent to a searcher with a request limit since its previous report.
type LimitReport struct {
	Searcher  ident.SearcherID
	PerSecond ident.RequestRate
	Sent      int
}

// RecordLimit records what an answer of an incarnation of a searcher, to a request sent at the given time, says about its
// request limit. It reports whether this changes the limit.
func (p *Planner) RecordLimit(now time.Time, s ident.SearcherID, incarnation uint64, st LimitStatement, sent time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	l, ok := p.limits[s]

	switch {
	case !st.Limited && (!ok || l.incarnation != incarnation || !l.statement.Limited):
		return false
	case ok && incarnation < l.incarnation:
		return false
	case ok && incarnation == l.incarnation && sent.Before(l.statedAt) && !l.statement.tightenedBy(st):
		// The searcher may have sent this answer before the one with the last statement.
		return false
	case !ok || incarnation > l.incarnation:
		if !ok && len(p.limits) >= p.searcherCapacity {
			p.evictLimits()
		}

		l = &requestLimit{incarnation: incarnation}
		p.limits[s] = l
	}

	changed := l.statement != st
	l.statement, l.statedAt = st, now

	return changed
}

// tightenedBy reports whether another statement allows less.
func (s LimitStatement) tightenedBy(other LimitStatement) bool {
	return other.Limited && (!s.Limited || other.PerSecond < s.PerSecond)
}

// evictLimits frees space by removing the oldest statement, those without a limit first.
func (p *Planner) evictLimits() {
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

// CountSent counts a request that is about to be sent to an incarnation of a searcher, if that has a request limit.
func (p *Planner) CountSent(s ident.SearcherID, incarnation uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if l := p.limits[s]; l != nil && l.incarnation == incarnation && l.statement.Limited {
		l.sent++
	}
}

// LimitReports returns what has been sent to the searchers with a request limit since the last call.
func (p *Planner) LimitReports() []LimitReport {
	p.mu.Lock()
	defer p.mu.Unlock()

	var list []LimitReport

	for id, l := range p.limits {
		if l.statement.Limited && l.sent > 0 {
			list = append(list, LimitReport{Searcher: id, PerSecond: l.statement.PerSecond, Sent: l.sent})
			l.sent = 0
		}
	}

	return list
}
