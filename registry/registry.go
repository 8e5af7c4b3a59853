package registry

import (
	"cmp"
	"fmt"
	"slices"

	"fulmarfall/ident"

	"github.com/go-faster/errors"
)

// Limits of the registry. They are constants, because all replicas must use the same values.
const (
	// MaxSearchers limits the number of entries, including removed ones. It is more than four times
	// the design size.
	MaxSearchers = 10000
	// MaxSnapshotsPerUpstream limits the shard maps that are kept for one upstream.
	MaxSnapshotsPerUpstream = 64
	// KeptCompleteSnapshots is the number of newest complete snapshots that are never pruned.
	KeptCompleteSnapshots = 4
)

// Errors of the registry.
var (
	// ErrOldIncarnation means that the incarnation is older than the registered one or, for an update
	// or a removal, differs from it.
	ErrOldIncarnation = errors.New("a newer incarnation of the searcher is known")
	// ErrOtherUpstream means that the searcher id belongs to another upstream.
	ErrOtherUpstream = errors.New("the searcher id belongs to another upstream")
	// ErrShardListMismatch means that the snapshot is stored with a different shard list.
	ErrShardListMismatch = errors.New("the shard list differs from the stored one")
	// ErrFull means that a limit of the registry is reached.
	ErrFull = errors.New("the registry is full")
	// ErrUnknownSearcher means that no entry has the id.
	ErrUnknownSearcher = errors.New("unknown searcher")
	// ErrStaleEpoch means that the owner has changed since the command was created.
	ErrStaleEpoch = errors.New("the owner has changed")
	// ErrRemoved means that an owner was assigned to a searcher that is out of routing.
	ErrRemoved = errors.New("the searcher is out of routing")
	// ErrNotMoving means that a move or release is not allowed in the current state of the move.
	ErrNotMoving = errors.New("the searcher is not being moved")
)

type upstream struct {
	maps map[ident.SnapshotID]*ShardMap
}

// Registry is the table of searchers, shard maps and owners. It is not safe for concurrent use.
type Registry struct {
	searchers  map[ident.SearcherID]*Searcher
	byUpstream map[ident.UpstreamID][]*Searcher // ordered by id
	ordered    []*Searcher                      // ordered by id
	upstreams  map[ident.UpstreamID]*upstream
	lastEpoch  ident.Epoch
	version    uint64
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		searchers:  make(map[ident.SearcherID]*Searcher),
		byUpstream: make(map[ident.UpstreamID][]*Searcher),
		upstreams:  make(map[ident.UpstreamID]*upstream),
	}
}

// Version increases with each change. Readers use it to invalidate data derived from the registry.
func (r *Registry) Version() uint64 { return r.version }

// AdvanceVersionPast raises the version above that of the registry that this one replaces, so that
// readers detect the replacement.
func (r *Registry) AdvanceVersionPast(old *Registry) { r.version += old.version + 1 }

// Len returns the number of entries, including removed ones.
func (r *Registry) Len() int { return len(r.ordered) }

// Searcher returns the entry with an id.
func (r *Registry) Searcher(id ident.SearcherID) (*Searcher, bool) {
	s, ok := r.searchers[id]
	return s, ok
}

// Searchers returns all entries ordered by id. The caller must not modify the slice or retain it
// beyond the view of the replicated state.
func (r *Registry) Searchers() []*Searcher { return r.ordered }

// SearchersOf returns the entries of an upstream ordered by id. The restrictions of Searchers apply.
func (r *Registry) SearchersOf(u ident.UpstreamID) []*Searcher { return r.byUpstream[u] }

// ShardMap returns the shard map of a snapshot, which is immutable.
func (r *Registry) ShardMap(u ident.UpstreamID, id ident.SnapshotID) (*ShardMap, bool) {
	up, ok := r.upstreams[u]
	if !ok {
		return nil, false
	}
	m, ok := up.maps[id]

	return m, ok
}

// ShardMaps returns the shard maps of an upstream, newest first.
func (r *Registry) ShardMaps(u ident.UpstreamID) []*ShardMap {
	up, ok := r.upstreams[u]
	if !ok {
		return nil
	}
	maps := make([]*ShardMap, 0, len(up.maps))
	for _, m := range up.maps {
		maps = append(maps, m)
	}
	slices.SortFunc(maps, func(a, b *ShardMap) int { return cmp.Compare(b.Snapshot, a.Snapshot) })

	return maps
}

// Upstreams returns the ids of the upstreams that have shard maps, sorted.
func (r *Registry) Upstreams() []ident.UpstreamID {
	ids := make([]ident.UpstreamID, 0, len(r.upstreams))
	for id := range r.upstreams {
		ids = append(ids, id)
	}
	slices.Sort(ids)

	return ids
}

// Register stores an announcement and returns a removed searcher to routing. The owner is kept,
// because it may have requests in flight to the earlier incarnation.
func (r *Registry) Register(a *Announcement) error {
	if err := a.Validate(); err != nil {
		return err
	}
	old := r.searchers[a.Searcher]
	switch {
	case old == nil && len(r.ordered) >= MaxSearchers:
		if !r.pruneRemovedSearcher() {
			return fmt.Errorf("searcher %s: more than %d searchers: %w", a.Searcher, MaxSearchers, ErrFull)
		}
	case old == nil:
	case old.Upstream != a.Upstream:
		return fmt.Errorf("upstream: searcher %s is registered at %s: %w", a.Searcher, old.Upstream, ErrOtherUpstream)
	case old.Incarnation > a.Incarnation:
		return fmt.Errorf("incarnation: %d is older than %d: %w", a.Incarnation, old.Incarnation, ErrOldIncarnation)
	}
	// All checks are done before anything is stored, so a refused announcement leaves no partial entry.
	added, err := r.newShardMaps(a)
	if err != nil {
		return err
	}

	s := newSearcher(a)
	if old != nil {
		s.Owner, s.OwnerIncarnation = old.Owner, old.OwnerIncarnation
		s.Epoch, s.Move, s.MoveTo = old.Epoch, old.Move, old.MoveTo
		s.OwnerCold = old.OwnerCold
	}
	if len(added) > 0 {
		up := r.upstreams[a.Upstream]
		if up == nil {
			up = &upstream{maps: make(map[ident.SnapshotID]*ShardMap)}
			r.upstreams[a.Upstream] = up
		}
		for _, m := range added {
			up.maps[m.Snapshot] = m
		}
	}
	r.store(s)
	r.markComplete(s)
	r.pruneShardMaps(s.Upstream)

	return nil
}

// WouldChange reports whether registering an announcement would change the registry. An owner forwards
// only such announcements to the leader.
func (r *Registry) WouldChange(a *Announcement) bool {
	old := r.searchers[a.Searcher]
	if old == nil || old.Removed || old.Incarnation != a.Incarnation {
		return true
	}
	s := newSearcher(a)

	return s.Upstream != old.Upstream || s.Address != old.Address || s.FailureDomain != old.FailureDomain ||
		s.Region != old.Region || s.Slots != old.Slots || s.Connections != old.Connections ||
		s.Cold != old.Cold || s.ColdRatePerSecond != old.ColdRatePerSecond || s.Leaving != old.Leaving ||
		!slices.EqualFunc(s.Holdings, old.Holdings, func(x, y Holding) bool {
			return x.Snapshot == y.Snapshot && slices.Equal(x.Held, y.Held)
		})
}

// OmitStoredShardLists returns the announcement without the shard lists that are already stored and
// equal, to keep its log entry small. The argument is not modified.
func (r *Registry) OmitStoredShardLists(a Announcement) Announcement {
	a.Snapshots = slices.Clone(a.Snapshots)
	for i := range a.Snapshots {
		m, ok := r.ShardMap(a.Upstream, a.Snapshots[i].ID)
		if ok && slices.Equal(m.Shards, sortedShards(a.Snapshots[i].Shards)) {
			a.Snapshots[i].Shards = nil
		}
	}

	return a
}

// Remove takes a searcher out of routing if inc is its current incarnation. The entry and the shard
// maps remain. The owner must release the searcher, even if the searcher returns first: otherwise a
// release that was in flight when the searcher returned could take effect after a second removal,
// while the owner has requests in flight.
func (r *Registry) Remove(id ident.SearcherID, inc ident.Incarnation) error {
	old, ok := r.searchers[id]
	if !ok {
		return fmt.Errorf("searcher %s: %w", id, ErrUnknownSearcher)
	}
	if old.Incarnation != inc {
		return fmt.Errorf("searcher %s incarnation %d: %w", id, inc, ErrOldIncarnation)
	}
	s := *old
	s.Removed = true
	if s.Owner != "" {
		s.Move = MoveStarted
	}
	r.store(&s)
	r.pruneShardMaps(s.Upstream)

	return nil
}

// MarkCold records whether the owner at an epoch applies the cold rate limit to the searcher.
func (r *Registry) MarkCold(id ident.SearcherID, epoch ident.Epoch, cold bool) error {
	s, err := r.copyAtEpoch(id, epoch)
	if err != nil {
		return err
	}
	s.OwnerCold = cold
	r.store(s)

	return nil
}

// MoveOwner starts a planned move of a searcher from its owner at an epoch to another node.
func (r *Registry) MoveOwner(id ident.SearcherID, epoch ident.Epoch, to ident.NodeID) error {
	s, err := r.copyAtEpoch(id, epoch)
	if err != nil {
		return err
	}
	if s.Owner == "" || s.Move != MoveNone {
		return fmt.Errorf("searcher %s: %w", id, ErrNotMoving)
	}
	s.Move, s.MoveTo = MoveStarted, to
	r.store(s)

	return nil
}

// ReleaseOwner records that the owner at an epoch has no requests in flight and sends no more.
func (r *Registry) ReleaseOwner(id ident.SearcherID, epoch ident.Epoch) error {
	s, err := r.copyAtEpoch(id, epoch)
	if err != nil {
		return err
	}
	if s.Owner == "" || s.Move != MoveStarted {
		return fmt.Errorf("searcher %s: %w", id, ErrNotMoving)
	}
	s.Owner, s.OwnerIncarnation, s.Move = "", 0, MoveReleased
	r.store(s)

	return nil
}

// AssignOwner replaces the owner of a searcher at an epoch and returns the new epoch. The leader
// proposes it only after the owner at that epoch has released the searcher or its lease has expired.
// An empty node leaves the searcher without an owner; a removed searcher accepts no other node.
func (r *Registry) AssignOwner(id ident.SearcherID, epoch ident.Epoch, n ident.NodeID, inc ident.Incarnation) (ident.Epoch, error) {
	s, err := r.copyAtEpoch(id, epoch)
	if err != nil {
		return 0, err
	}
	if s.Removed && n != "" {
		return 0, fmt.Errorf("searcher %s: %w", id, ErrRemoved)
	}
	r.lastEpoch++
	s.Owner, s.OwnerIncarnation, s.Epoch = n, inc, r.lastEpoch
	s.Move, s.MoveTo = MoveNone, ""
	if n == "" {
		s.Move = MoveReleased
	}
	r.store(s)

	return s.Epoch, nil
}

func (r *Registry) copyAtEpoch(id ident.SearcherID, epoch ident.Epoch) (*Searcher, error) {
	old, ok := r.searchers[id]
	if !ok {
		return nil, fmt.Errorf("searcher %s: %w", id, ErrUnknownSearcher)
	}
	if old.Epoch != epoch {
		return nil, fmt.Errorf("searcher %s is at epoch %d, not %d: %w", id, old.Epoch, epoch, ErrStaleEpoch)
	}
	s := *old

	return &s, nil
}

// store inserts or replaces the entry of a searcher in all indexes.
func (r *Registry) store(s *Searcher) {
	r.version++
	r.searchers[s.ID] = s
	r.ordered = insert(r.ordered, s)
	r.byUpstream[s.Upstream] = insert(r.byUpstream[s.Upstream], s)
}

func insert(list []*Searcher, s *Searcher) []*Searcher {
	i, ok := find(list, s.ID)
	if ok {
		list[i] = s
		return list
	}

	return slices.Insert(list, i, s)
}

func find(list []*Searcher, id ident.SearcherID) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(s *Searcher, id ident.SearcherID) int {
		return cmp.Compare(s.ID, id)
	})
}

// pruneRemovedSearcher deletes one removed entry without an owner, to make room for a new searcher.
func (r *Registry) pruneRemovedSearcher() bool {
	for i, s := range r.ordered {
		if !s.Removed || s.Owner != "" {
			continue
		}
		r.version++
		r.ordered = slices.Delete(r.ordered, i, i+1)
		list := r.byUpstream[s.Upstream]
		if j, ok := find(list, s.ID); ok {
			r.byUpstream[s.Upstream] = slices.Delete(list, j, j+1)
		}
		delete(r.searchers, s.ID)

		return true
	}

	return false
}

func newSearcher(a *Announcement) *Searcher {
	s := &Searcher{
		ID: a.Searcher, Upstream: a.Upstream, Incarnation: a.Incarnation, Address: a.Address,
		FailureDomain: a.FailureDomain, Region: a.Region, Slots: a.Slots, Connections: a.Connections,
		Cold: a.Cold, ColdRatePerSecond: a.ColdRatePerSecond, Leaving: a.Leaving,
		Holdings: make([]Holding, 0, len(a.Snapshots)),
	}
	for i := range a.Snapshots {
		s.Holdings = append(s.Holdings, Holding{
			Snapshot: a.Snapshots[i].ID, Held: slices.Sorted(slices.Values(a.Snapshots[i].Held)),
		})
	}
	slices.SortFunc(s.Holdings, func(a, b Holding) int { return cmp.Compare(a.Snapshot, b.Snapshot) })

	return s
}

// Update stores a changed announcement of a registered incarnation that is in routing. It does not
// return a removed searcher to routing, so an update that arrives after the removal is refused.
func (r *Registry) Update(a *Announcement) error {
	old, ok := r.searchers[a.Searcher]
	if !ok || old.Removed {
		return fmt.Errorf("searcher %s: %w", a.Searcher, ErrUnknownSearcher)
	}
	if old.Incarnation != a.Incarnation {
		return fmt.Errorf("incarnation: %d is not the registered %d: %w", a.Incarnation, old.Incarnation, ErrOldIncarnation)
	}

	return r.Register(a)
}
