package entry

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"fulmarfall/configuration"
	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/query"
	"fulmarfall/rollout"
	"fulmarfall/roster"
	"fulmarfall/searcher"

	"github.com/go-faster/errors"
)

// view is the state by which requests are served. It is immutable except for its cache of upstreams, and is replaced
// when the configuration, the roster or the failure domains in service change.
type view struct {
	configuration *configuration.Configuration
	table         *configuration.Table
	// outOfService holds the failure domains whose searchers receive no requests.
	outOfService map[ident.FailureDomain]bool
	searchers    map[ident.UpstreamID][]roster.Instance
	// shardUpstreams holds the upstreams that are shards of a route.
	shardUpstreams map[ident.UpstreamID]bool
	byID           map[ident.SearcherID]roster.Instance
	rosterChanges  uint64
	// versions holds the upstreams of which some versions get no requests, or that have a running roll-out.
	versions       map[ident.UpstreamID]*versionPlan
	rolloutVersion uint64

	mu        sync.Mutex
	upstreams map[routePart]*query.Upstream
}

// routePart is a route of one version of the configuration, or one of its parts, for the teams with the same regions. Requests
// of an earlier version may still run.
type routePart struct {
	route   *configuration.Route
	part    ident.UpstreamID
	regions string
}

// rebuild replaces the view if anything has changed. The caller must hold mu.
func (n *Node) rebuild(now time.Time) {
	var (
		doc          configuration.Document
		outOfService = map[ident.FailureDomain]bool{}
		orders       []rollout.Order
		version      uint64
		previous     = n.view.Load()
	)

	n.state.View(func(v control.View) {
		doc = v.Configuration()
		orders, version = n.rolloutOrders(v)

		for d := range n.cfg.Regions {
			if !v.Records().InService(d) {
				outOfService[d] = true
			}
		}
	})

	if doc.Version == 0 {
		return
	}

	next := &view{outOfService: outOfService, rosterChanges: n.roster.Changes(), rolloutVersion: version}
	next.initUpstreams()

	switch {
	case previous == nil || previous.configuration.Version != doc.Version:
		cfg, err := n.decode(doc)
		if err != nil {
			// Documents are validated before they are stored, so this program is older than the one that stored it.
			n.logger.Error().Err(err).Uint64("version", uint64(doc.Version)).Msg("failed to decode configuration; the previous one stays in force")

			return
		}

		next.configuration, next.table = cfg, configuration.NewTable(cfg)
		n.dropSplitters(cfg)
		n.logger.Info().Uint64("version", uint64(doc.Version)).Int("routes", len(cfg.Routes)).Int("teams", len(cfg.Teams)).Msg("configuration in force")
		n.usage.wakeUp()
	case previous.rosterChanges == next.rosterChanges && previous.rolloutVersion == version && sameDomains(previous.outOfService, outOfService):
		n.applyShares(now, previous)

		return
	default:
		next.configuration, next.table = previous.configuration, previous.table
	}

	if previous != nil && !sameDomains(previous.outOfService, outOfService) {
		n.logger.Info().Int("out_of_service", len(outOfService)).Msg("failure domains in service changed")
	}

	next.setSearchers(now, n.roster)
	next.setShardUpstreams()
	n.applyRollouts(now, next, orders)
	n.view.Store(next)
	n.links.setSearchers(len(next.byID))
	n.applyShares(now, next)
}

func (n *Node) decode(doc configuration.Document) (*configuration.Configuration, error) {
	content, err := doc.Content.Unpack()
	if err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}

	return n.codec.DecodeConfiguration(content)
}

func sameDomains(a, b map[ident.FailureDomain]bool) bool {
	if len(a) != len(b) {
		return false
	}

	for d := range a {
		if !b[d] {
			return false
		}
	}

	return true
}

func (v *view) initUpstreams() { v.upstreams = map[routePart]*query.Upstream{} }

// setSearchers sets the searchers of the view from the roster.
func (v *view) setSearchers(now time.Time, t *roster.Table) {
	v.searchers = map[ident.UpstreamID][]roster.Instance{}
	v.byID = map[ident.SearcherID]roster.Instance{}

	// If two instances have the same address, the one that started later owns it.
	owner := map[string]roster.Instance{}

	t.Each(now, roster.RoleSearcher, func(in *roster.Instance, _ time.Duration) {
		if o, ok := owner[in.Address]; !ok || in.Born > o.Born {
			owner[in.Address] = *in
		}
	})

	for _, in := range owner {
		v.byID[ident.SearcherID(in.ID)] = in

		if in.State == roster.StateReady {
			v.searchers[in.Upstream] = append(v.searchers[in.Upstream], in)
		}
	}

	for _, list := range v.searchers {
		slices.SortFunc(list, func(a, b roster.Instance) int {
			if a.ID < b.ID {
				return -1
			}

			return 1
		})
	}
}

// inUse reports whether requests may be sent to an incarnation of a searcher.
func (v *view) inUse(in *roster.Instance) bool {
	known, ok := v.byID[ident.SearcherID(in.ID)]

	return ok && known.State == roster.StateReady && known.Born == in.Born && known.Address == in.Address && !v.outOfService[known.FailureDomain]
}

// allows reports whether the route and the team of a request allow a region, as far as they still exist.
func (v *view) allows(r *Request, team ident.TeamID, region ident.Region) bool {
	route := v.table.Match(r.Host, r.Path)

	return (route == nil || route.Allows(region)) && v.table.Team(team).Allows(region)
}

// loadShare returns this node's share of what all entry VMs may do together. Most of it is proportional to load, and a
// small part is equal for all, so that a node that has just received its first callers can start.
func loadShare(own float64, vms int, total float64) float64 {
	vms = max(vms, 1)

	return min((own+idleLoad)/(max(total, own)+idleLoad*float64(vms)), 1)
}

// idleLoad is the load, in attempts per second, that is added for each entry VM. A node with less load counts as idle.
const idleLoad = 10

// setShardUpstreams sets the upstreams that are shards of a route.
func (v *view) setShardUpstreams() {
	v.shardUpstreams = map[ident.UpstreamID]bool{}

	for i := range v.configuration.Routes {
		for _, id := range v.configuration.Routes[i].Shards {
			v.shardUpstreams[id] = true
		}
	}
}

// upstreamID returns the ID of an upstream of the query core, which is a route or one part of it.
func upstreamID(r *configuration.Route, part ident.UpstreamID) ident.UpstreamID {
	return ident.UpstreamID(r.Name) + "/" + part
}

// upstream returns the shards and replicas of a route, or of one part of it, for a team, which may be nil, and caches them.
func (v *view) upstream(r *configuration.Route, t *configuration.Team, part ident.UpstreamID, regions map[ident.FailureDomain]ident.Region) *query.Upstream {
	id := routePart{route: r, part: part, regions: regionsKey(t)}

	v.mu.Lock()
	defer v.mu.Unlock()

	if u, ok := v.upstreams[id]; ok {
		return u
	}

	// A request keeps its route, so the shards of a route are its only snapshot.
	u := &query.Upstream{Snapshots: []query.Snapshot{{ID: 1}}}
	for _, name := range r.Shards {
		u.Snapshots[0].Shards = append(u.Snapshots[0].Shards, v.shard(r, t, name, regions))
	}

	if part != "" {
		u.Snapshots[0].Shards = []query.Shard{v.shard(r, t, part, regions)}
	}

	v.upstreams[id] = u

	return u
}

// regionsKey returns a key that is equal for teams with the same regions.
func regionsKey(t *configuration.Team) string {
	if t == nil || len(t.Regions) == 0 {
		return ""
	}

	var b strings.Builder
	for _, region := range slices.Sorted(slices.Values(t.Regions)) {
		b.WriteString(strconv.Quote(string(region)))
	}

	return b.String()
}

func (v *view) shard(r *configuration.Route, t *configuration.Team, name ident.UpstreamID, regions map[ident.FailureDomain]ident.Region) query.Shard {
	s := query.Shard{ID: ident.ShardID(name), Documents: 1}

	for _, in := range v.searchers[name] {
		region := regions[in.FailureDomain]
		s.Replicas = append(s.Replicas, query.Replica{
			Searcher: ident.SearcherID(in.ID), FailureDomain: in.FailureDomain, Region: region, Slots: in.Capacity, Born: in.Born,
			Usable: !v.outOfService[in.FailureDomain] && r.Allows(region) && t.Allows(region),
		})
	}

	v.restrictVersions(&s)

	return s
}

// catalog gives a request access to the current view, which may be replaced while the request runs.
type catalog struct {
	n     *Node
	route *configuration.Route
	// team is nil for requests without one.
	team *configuration.Team
	part ident.UpstreamID
	// trial is set if the request is suspected and has the right to run.
	trial bool
	// versions is how the request uses the versions of shards under a roll-out, and adjusted the upstream adjustedFrom with
	// these versions.
	versions               map[ident.ShardID]shardVersions
	loaded                 map[ident.ShardID]ident.SearcherID // the searchers that get the canaries of StageLoad
	adjusted, adjustedFrom *query.Upstream
}

var _ query.Catalog = (*catalog)(nil)

// Upstream implements query.Catalog.
func (c *catalog) Upstream(ident.UpstreamID) *query.Upstream {
	v := c.n.view.Load()

	return c.applyVersions(v, v.upstream(c.route, c.team, c.part, c.n.cfg.Regions))
}

// Standing implements query.Catalog.
func (c *catalog) Standing(fp ident.Fingerprint) (query.Standing, time.Time) {
	standing, until := c.n.standing(time.Now(), fp)
	if standing == query.StandingNone && c.trial {
		standing = query.StandingSuspected
	}

	return standing, until
}

// applyShares applies this node's share of the connection limits, the cold rates and the retry budgets, and opens
// connections ahead of use. The caller must hold mu.
func (n *Node) applyShares(now time.Time, v *view) {
	share := loadShare(n.load.rate, n.entryVMs, n.entryLoad)
	n.pools.setColdRates(now, func(now time.Time, in *roster.Instance) int {
		u := v.configuration.Upstreams[in.Upstream]
		if u.ColdRatePerSecond <= 0 || !now.Before(in.ColdUntil) {
			return noColdLimit
		}

		return searcher.ColdShare(u.ColdRatePerSecond, n.cfg.ColdBurst, n.cfg.ColdSlack, share)
	}, v)
	n.planner.SetLimitShares(now, searcher.RequestShares(n.load.rate, n.cfg.Region, n.regionLoads), roster.NodeTTL)
	n.planner.TuneDirectBudget(n.cfg.RetryRatio*query.DirectRetryFraction, query.NewBudgetShare(n.cfg.RetrySlack, share, n.entryVMs))
	busy := n.load.rate >= idleLoad
	quiet := !busy && !n.adviser.Wants(n.cfg.Address)
	n.pools.setLimits(now, quiet, v, func(id ident.SearcherID) int {
		return searcher.ConnectionShare(v.configuration.Upstreams[v.byID[id].Upstream].MaxConnections, share)
	})

	switch {
	case busy:
		n.pools.prewarm(v, prewarmBusy)
	case !quiet:
		n.pools.prewarm(v, prewarmIdle)
	}
}
