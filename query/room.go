package query

import (
	"cmp"
	"slices"
	"time"

	"fulmarfall/ident"
)

// The room under a searcher's request limit is what this node may still send under its share of it. Attempts take room when they
// are planned.
const (
	// spareRoom is the fraction of the room under a request limit that is left for others by attempts that can do without it.
	spareRoom = 0.5
	// roomTTL is how long room that was taken for an attempt stays valid. An attempt that waits longer for its connection
	// takes room again, because otherwise waiting attempts could add up to a burst.
	roomTTL = 100 * time.Millisecond
)

// limitOf returns the request limit of a replica, or nil if it has none.
func (p *Planner) limitOf(now time.Time, r *Replica) *requestLimit {
	return p.limit(now, r.Searcher, r.Born, r.Region)
}

// take takes room for one attempt, or counts the attempt as denied.
func (p *Planner) take(now time.Time, l *requestLimit, reserve float64) bool {
	ok := l.limiter.Take(now, reserve)
	if !ok {
		l.denied++
	}

	return ok
}

// chooseWithRoom is like choose, but takes room for the attempt if the replica has a request limit, and passes over replicas
// without room. The caller must send the attempt or return the room.
func (q *Query) chooseWithRoom(now time.Time, s *Shard, reserve float64, skip func(*Replica) bool) *Replica {
	p := q.p
	if len(p.limits) == 0 {
		return p.choose(now, q, s, skip)
	}

	var full []*Replica

	for {
		r := p.choose(now, q, s, func(r *Replica) bool { return slices.Contains(full, r) || skip(r) })
		if r == nil {
			return nil
		}

		l := p.limitOf(now, r)
		if l == nil || p.take(now, l, reserve) {
			return r
		}

		full = append(full, r)
		q.withoutRoom++
	}
}

// returnRoom returns the room that chooseWithRoom has taken for an attempt that is not sent.
func (p *Planner) returnRoom(now time.Time, r *Replica) {
	if l := p.limitOf(now, r); l != nil {
		l.limiter.Return()
	}
}

// ReturnRoom returns the room that was taken for an attempt that ended before it was sent.
func (p *Planner) ReturnRoom(s ident.SearcherID, incarnation uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if l := p.limits[s]; l != nil && l.incarnation == incarnation {
		l.limiter.Return()
	}
}

// AdmitSend reports whether an attempt that was planned at the given time still fits the request limit of the searcher. It
// must be called right before the attempt is sent: the searcher may have stated the limit since, and the attempt may have
// waited for a connection.
func (p *Planner) AdmitSend(now time.Time, snd *Send, planned time.Time, incarnation uint64, region ident.Region) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	l := p.limit(now, snd.Searcher, incarnation, region)

	switch {
	case l == nil:
		return true
	case (!snd.Limited || now.Sub(planned) >= roomTTL) && !p.take(now, l, 0):
		return false
	}

	l.sent++

	return true
}

// limitedRoom returns whether all replicas of a shard that can be used have a request limit, the largest fraction of room
// under these limits, and the time until the first of them has room for a request.
func (p *Planner) limitedRoom(now time.Time, s *Shard) (room float64, wait time.Duration, limited bool) {
	for i := range s.Replicas {
		r := &s.Replicas[i]
		if !r.Usable {
			continue
		}

		if left, _ := p.unavailableReplica(now, r); left > 0 {
			continue
		}

		l := p.limitOf(now, r)
		if l == nil {
			return 0, 0, false
		}

		w := l.limiter.Wait(now)
		if !limited || w < wait {
			wait = w
		}

		room, limited = max(room, l.limiter.Room(now)), true
	}

	return room, wait, limited
}

// limitedShard is a shard all of whose usable searchers have a request limit.
type limitedShard struct {
	index int
	room  float64
	wait  time.Duration
}

// firstReserve returns the fraction of the room under a request limit that the first attempt for a shard leaves for hedges and
// retries. They need it when the other searchers pause or fail, while the first attempt can go to one of these.
func (q *Query) firstReserve(now time.Time, shard int) float64 {
	if q.fullyLimited(now, shard) {
		return 0
	}

	return spareRoom
}

// hedgeReserve returns the fraction of that room that a hedge leaves for first attempts, if these have no other searcher.
func (q *Query) hedgeReserve(now time.Time, shard int) float64 {
	return spareRoom - q.firstReserve(now, shard)
}

// fullyLimited reports whether all usable searchers of a shard have request limits.
func (q *Query) fullyLimited(now time.Time, shard int) bool {
	if len(q.p.limits) == 0 {
		return false
	}

	s := q.currentShard(shard)
	if s == nil {
		return false
	}

	_, _, limited := q.p.limitedRoom(now, s)

	return limited
}

// takeLimitedRoom takes room for the shards whose searchers all have request limits, before anything is sent. If it finds
// too little for the required coverage, it refuses the request: what other shards did for it would be wasted. It reports
// whether the request can go on.
func (q *Query) takeLimitedRoom(now time.Time) bool {
	if !q.p.direct || len(q.p.limits) == 0 {
		return true
	}

	var limited []limitedShard

	for i := range q.shards {
		if q.shards[i].phase != shardPending {
			continue
		}

		if room, wait, ok := q.p.limitedRoom(now, &q.snapshot.Shards[i]); ok {
			limited = append(limited, limitedShard{index: i, room: room, wait: wait})
		}
	}

	required := len(limited) - q.spareShards()
	taken := 0

	slices.SortFunc(limited, func(a, b limitedShard) int { return cmp.Compare(b.room, a.room) })

	for _, s := range limited {
		reserve := 0.0
		if taken >= required {
			reserve = spareRoom
		}

		if r := q.pickReplica(now, s.index, reserve); r != nil {
			q.shards[s.index].chosen = r
			taken++
		}
	}

	if taken < required {
		q.refuseWithoutRoom(now, limited, required)

		return false
	}

	for _, s := range limited {
		if q.shards[s.index].chosen == nil {
			q.markMissing(now, s.index, ident.ReasonLimited)
		}
	}

	return !q.finished
}

// refuseWithoutRoom refuses a request for which fewer than the required limited shards have room. The caller is told to come
// back when enough of them can be expected to have room.
func (q *Query) refuseWithoutRoom(now time.Time, limited []limitedShard, required int) {
	for _, s := range limited {
		if q.shards[s.index].chosen == nil {
			q.limited = append(q.limited, q.snapshot.Shards[s.index].ID)
		}
	}

	slices.SortFunc(limited, func(a, b limitedShard) int { return cmp.Compare(a.wait, b.wait) })
	q.retryAfter = q.p.jitter(max(ident.RetryAfter(limited[required-1].wait), retryAfterShort))
	q.refuse(now, ident.ReasonLimited, "the request limits of some searchers leave no room")
}
