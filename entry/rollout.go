package entry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/query"
	"fulmarfall/rollout"
	"fulmarfall/roster"
	"fulmarfall/wire"
)

// afterCold is the time after the cold start of a searcher for which its latency still does not count: the announced time
// depends on the network, and requests wait in the searcher's queue.
const afterCold = 500 * time.Millisecond

// Labels of the metric rollout_attempts_total.
const (
	rolloutCanary   ident.Reason = "canary"   // sent to the new version within its share
	rolloutReturned ident.Reason = "returned" // planned for the new version and not sent to it
	rolloutStopped  ident.Reason = "stopped"  // not sent because its version may no longer be used
	rolloutFallback ident.Reason = "fallback" // sent to another version because no current searcher was available
)

// rollouts applies the orders of roll-outs at this entry VM. If roll-outs are off, it does nothing.
type rollouts struct {
	limits rollout.Limits

	mu sync.Mutex
	// active holds the orders that are running.
	active map[ident.UpstreamID]*activeRollout
	// replaced holds the upstreams whose versions are being replaced without an order.
	replaced map[ident.UpstreamID]bool
	inFlight map[ident.UpstreamID]map[ident.SoftwareVersion]int
	sequence uint64
	// contactAt is when the last successful exchange with a connected control VM began; zero before the first.
	contactAt time.Time
}

// activeRollout is a running order at this entry VM.
type activeRollout struct {
	order    rollout.Order
	knownAt  time.Time
	credit   *rollout.Credit
	evidence rollout.Evidence
}

func (ro *rollouts) init(l rollout.Limits) {
	ro.limits, ro.active, ro.replaced = l, map[ident.UpstreamID]*activeRollout{}, map[ident.UpstreamID]bool{}
	ro.inFlight = map[ident.UpstreamID]map[ident.SoftwareVersion]int{}
}

// recordContact records an exchange with a control VM that is in contact with the others.
func (ro *rollouts) recordContact(at time.Time) {
	ro.mu.Lock()
	defer ro.mu.Unlock()

	ro.contactAt = at
}

// noContact returns the time since the last contact. While a VM is suspended, its monotonic clock may stand still; its
// wall clock does not. The caller must hold mu.
func (ro *rollouts) noContact(now time.Time) time.Duration {
	return max(now.Sub(ro.contactAt), now.Round(0).Sub(ro.contactAt.Round(0)))
}

// reportDue reports whether the control VMs wait for a report: there is evidence about a running order, or it waits for
// confirmations. The other entry VMs report as rarely as they exchange, which spares the leader most of the messages.
func (ro *rollouts) reportDue() bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()

	for _, a := range ro.active {
		if len(a.evidence) > 0 || a.order.Stage == rollout.StageAll {
			return true
		}
	}

	return false
}

// versionPlan tells which versions of an upstream are used.
type versionPlan struct {
	// order is the running order, or nil.
	order   *rollout.Order
	current []ident.SoftwareVersion // in ascending order
	// ended is the order if it is decided, or nil.
	ended *rollout.Order
}

// isStopped reports whether the searchers of a version are being stopped, because of an order.
func (p *versionPlan) isStopped(v ident.SoftwareVersion) bool {
	return p.ended != nil && (v == p.ended.Target) == (p.ended.Stage == rollout.StageRolledBack) && (v == p.ended.Target || p.ended.IsCurrent(v))
}

func (p *versionPlan) isCurrent(v ident.SoftwareVersion) bool {
	_, found := slices.BinarySearch(p.current, v)

	return found
}

// versionStopped reports whether a searcher is being stopped because of an order.
func (v *view) versionStopped(in *roster.Instance) bool {
	p := v.versions[in.Upstream]

	return p != nil && p.isStopped(in.Version)
}

// rolloutOrders returns the orders in the control state and their version; none if roll-outs are off.
func (n *Node) rolloutOrders(v control.View) (list []rollout.Order, version uint64) {
	if !n.rollouts.limits.Enabled {
		return nil, 0
	}

	return v.Rollouts().Orders(), v.Rollouts().Version()
}

// applyRollouts sets the plans of a new view. The caller must hold n.mu.
func (n *Node) applyRollouts(now time.Time, v *view, orders []rollout.Order) {
	ro := &n.rollouts
	if !ro.limits.Enabled {
		return
	}

	ro.mu.Lock()
	defer ro.mu.Unlock()

	byUpstream := map[ident.UpstreamID]*rollout.Order{}
	for i := range orders {
		byUpstream[orders[i].Upstream] = &orders[i]
		n.applyOrder(now, &orders[i])
	}

	announced := map[ident.UpstreamID][]rollout.Announced{}

	for _, in := range v.byID {
		if in.State != roster.StateGone {
			announced[in.Upstream] = append(announced[in.Upstream], rollout.Announced{
				Version: in.Version, Born: in.Born, Leaving: in.State == roster.StateLeaving,
			})
		}
	}

	v.versions = map[ident.UpstreamID]*versionPlan{}
	replaced := map[ident.UpstreamID]bool{}

	for id, list := range announced {
		o := byUpstream[id]
		p := &versionPlan{}

		p.current, replaced[id] = rollout.CurrentVersions(o, list, ro.replaced[id])
		if replaced[id] && !ro.replaced[id] {
			n.logger.Info().Str("upstream", string(id)).Int("versions", len(p.current)).
				Msg("searchers of the current version leave without an order; all versions are used")
		}

		switch {
		case o == nil:
		case o.Stage.Running():
			p.order = o
		default:
			p.ended = o
		}

		if p.order != nil || slices.ContainsFunc(list, func(a rollout.Announced) bool { return !p.isCurrent(a.Version) }) {
			v.versions[id] = p
		}
	}

	ro.replaced = replaced
}

// applyOrder updates the running orders. The caller must hold ro.mu.
func (n *Node) applyOrder(now time.Time, o *rollout.Order) {
	ro := &n.rollouts
	a := ro.active[o.Upstream]

	if a != nil && a.order.ID == o.ID && a.order.Stage == o.Stage {
		return
	}

	switch {
	case !o.Stage.Running():
		if a == nil {
			return
		}

		delete(ro.active, o.Upstream)
	case a == nil || a.order.ID != o.ID:
		a = &activeRollout{knownAt: now, evidence: rollout.Evidence{}}
		initial := 0.0

		if !ro.contactAt.IsZero() {
			initial = ro.limits.InitialCredit(n.entryVMs)
		}

		a.credit = rollout.NewCredit(ro.limits, initial)
		ro.active[o.Upstream] = a
	}

	if o.Stage.Running() && a.order.ID != o.ID || len(o.Grants) > 0 && len(a.order.Grants) == 0 {
		a.credit.Grant(o.GrantTo(rollout.Source{Node: n.cfg.Node, Incarnation: n.cfg.Incarnation}))
	}

	a.order = *o

	if o.Stage == rollout.StageAll {
		n.followNow() // The leader waits for the confirmation.
	}

	n.logger.Info().Str("upstream", string(o.Upstream)).Uint64("order", uint64(o.ID)).Str("version", string(o.Target)).
		Stringer("stage", o.Stage).Str("reason", o.Reason).Int("old_in_flight", ro.oldInFlight(a)).Msg("stage of a roll-out applied")
}

// oldInFlight returns the requests in flight at other versions than the target. The caller must hold mu.
func (ro *rollouts) oldInFlight(a *activeRollout) (count int) {
	for version, c := range ro.inFlight[a.order.Upstream] {
		if version != a.order.Target {
			count += c
		}
	}

	return count
}

// restrictVersions excludes the searchers of versions that are not current from a shard, unless no other is usable.
func (v *view) restrictVersions(s *query.Shard) {
	p := v.versions[ident.UpstreamID(s.ID)]
	if p == nil {
		return
	}

	current := func(r *query.Replica) bool { return p.isCurrent(v.byID[r.Searcher].Version) }
	if !slices.ContainsFunc(s.Replicas, func(r query.Replica) bool { return r.Usable && current(&r) }) {
		return
	}

	for i := range s.Replicas {
		if !current(&s.Replicas[i]) {
			s.Replicas[i].Usable = false
		}
	}
}

// shardVersions is how one request uses the versions of a shard.
type shardVersions uint8

const (
	// versionsCanary sends the next attempt to the new version.
	versionsCanary shardVersions = iota + 1
	// versionsAny uses all versions that no order has stopped, because no current searcher takes requests.
	versionsAny
	// versionsNone uses none, because this VM has lost contact and does not know which version is being stopped.
	versionsNone
)

// planRollouts decides how a request uses the versions of its shards.
func (c *catalog) planRollouts(now time.Time) {
	v := c.n.view.Load()
	if len(v.versions) == 0 {
		return
	}

	u := v.upstream(c.route, c.team, c.part, c.n.cfg.Regions)

	for i := range u.Snapshots[0].Shards {
		s := &u.Snapshots[0].Shards[i]

		p := v.versions[ident.UpstreamID(s.ID)]
		if p == nil {
			continue
		}

		use := shardVersions(0)

		switch {
		case p.order != nil:
			use = c.n.rollouts.plan(now, p.order, c.route.Name, c.hasTarget(v, s, p.order.Target))
		case c.n.planner.Unavailable(now, s):
			use = versionsAny
		}

		if use != 0 {
			if c.versions == nil {
				c.versions = map[ident.ShardID]shardVersions{}
			}

			c.versions[s.ID] = use
		}

		if use == versionsCanary && p.order.Stage == rollout.StageLoad {
			c.chooseLoaded(now, v, s, p.order.Target)
		}
	}
}

// chooseLoaded chooses the searcher that gets all canaries of a shard: the first one that takes requests in the order of their
// ids, so that it is the same at all entry VMs.
func (c *catalog) chooseLoaded(now time.Time, v *view, s *query.Shard, target ident.SoftwareVersion) {
	for _, r := range s.Replicas {
		in := v.byID[r.Searcher]
		if in.Version != target || now.Before(in.ColdUntil) || !c.allowsReplica(v, &r) {
			continue
		}

		r.Usable = true
		if c.n.planner.Unavailable(now, &query.Shard{Replicas: []query.Replica{r}}) {
			continue
		}

		if c.loaded == nil {
			c.loaded = map[ident.ShardID]ident.SearcherID{}
		}

		c.loaded[s.ID] = r.Searcher

		return
	}
}

// hasTarget reports whether a shard has a searcher of the version that the request may use.
func (c *catalog) hasTarget(v *view, s *query.Shard, target ident.SoftwareVersion) bool {
	return slices.ContainsFunc(s.Replicas, func(r query.Replica) bool {
		return v.byID[r.Searcher].Version == target && c.allowsReplica(v, &r)
	})
}

// allowsReplica reports whether the route and the team of the request allow a searcher that is in service.
func (c *catalog) allowsReplica(v *view, r *query.Replica) bool {
	return !v.outOfService[r.FailureDomain] && c.route.Allows(r.Region) && c.team.Allows(r.Region)
}

// plan decides how a request of a route uses the versions of an upstream with a running order; 0 stands for the current ones.
func (ro *rollouts) plan(now time.Time, o *rollout.Order, route string, hasTarget bool) shardVersions {
	ro.mu.Lock()
	defer ro.mu.Unlock()

	a := ro.active[o.Upstream]

	switch {
	case a == nil || a.order.ID != o.ID:
		return 0
	case a.order.MayBeStopped(ro.noContact(now), now.Sub(a.knownAt)):
		return versionsNone
	case !hasTarget || ro.noContact(now) >= rollout.ContactBound || !a.credit.Take(a.order.Stage, route, rand.Float64()):
		return 0
	default:
		return versionsCanary
	}
}

// returnCredit gives back the credit for a canary that was not sent to the new version.
func (n *Node) returnCredit(id ident.UpstreamID) {
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()

	if a := n.rollouts.active[id]; a != nil {
		a.credit.Return()
		n.count("rollout_attempts_total", rolloutReturned)
	}
}

// returnUnused gives back the credit of the canaries for which the request sent no attempt.
func (c *catalog) returnUnused() {
	for id, use := range c.versions {
		if use == versionsCanary {
			c.n.returnCredit(ident.UpstreamID(id))
		}
	}
}

// applyVersions returns the upstream with the versions that the request uses.
func (c *catalog) applyVersions(v *view, u *query.Upstream) *query.Upstream {
	if len(c.versions) == 0 {
		return u
	}

	if c.adjusted != nil && c.adjustedFrom == u {
		return c.adjusted
	}

	shards := slices.Clone(u.Snapshots[0].Shards)

	for i := range shards {
		s := &shards[i]

		use, ok := c.versions[s.ID]
		if !ok {
			continue
		}

		s.Replicas = slices.Clone(s.Replicas)

		switch use {
		case versionsCanary:
			c.preferTarget(v, s)
		case versionsAny:
			c.useAny(v, s)
		case versionsNone:
			for j := range s.Replicas {
				s.Replicas[j].Usable = false
			}
		}
	}

	c.adjusted, c.adjustedFrom = &query.Upstream{Snapshots: []query.Snapshot{{ID: u.Snapshots[0].ID, Shards: shards}}}, u

	return c.adjusted
}

// useAny makes the searchers of all versions usable, except those that an order has stopped.
func (c *catalog) useAny(v *view, s *query.Shard) {
	p := v.versions[ident.UpstreamID(s.ID)]
	if p == nil || p.order != nil {
		return
	}

	for i := range s.Replicas {
		r := &s.Replicas[i]
		r.Usable = r.Usable || !p.isStopped(v.byID[r.Searcher].Version) && c.allowsReplica(v, r)
	}
}

// preferTarget makes the searchers of the new version the preferred ones, or the one that gets all canaries.
func (c *catalog) preferTarget(v *view, s *query.Shard) {
	p := v.versions[ident.UpstreamID(s.ID)]
	if p == nil || p.order == nil {
		return
	}

	var (
		now   = time.Now()
		list  []int
		isNew = func(cold bool) {
			for i := range s.Replicas {
				in := v.byID[s.Replicas[i].Searcher]
				if in.Version == p.order.Target && (cold || !now.Before(in.ColdUntil)) && c.allowsReplica(v, &s.Replicas[i]) {
					list = append(list, i)
				}
			}
		}
	)

	if isNew(false); len(list) == 0 {
		isNew(true)
	}

	for _, i := range list {
		if id, ok := c.loaded[s.ID]; ok && s.Replicas[i].Searcher != id {
			continue
		}

		s.Replicas[i].Usable, s.Replicas[i].Preferred = true, true
	}
}

// rolloutAttempt is what an attempt has to do with versions.
type rolloutAttempt struct {
	// canary is set if credit was taken for the attempt, fallback if no current searcher took requests.
	canary, fallback bool
	upstream         ident.UpstreamID
	version          ident.SoftwareVersion
	route            string
	domain           ident.FailureDomain
	begun            bool
	at               time.Time
	cold             bool
}

// planAttempt records how an attempt uses the versions of its shard. Further attempts of the request use the current ones.
func (c *catalog) planAttempt(a *attempt) {
	if !c.n.rollouts.limits.Enabled {
		return
	}

	v := c.n.view.Load()
	in := v.byID[a.send.Searcher]
	a.rollout.route, a.rollout.upstream, a.rollout.version = c.route.Name, in.Upstream, in.Version

	p := v.versions[in.Upstream]
	if p == nil {
		return
	}

	if c.versions[a.send.Shard] == versionsCanary {
		delete(c.versions, a.send.Shard)
		c.adjusted = nil

		if a.rollout.canary = p.order != nil && in.Version == p.order.Target; !a.rollout.canary {
			c.n.returnCredit(in.Upstream)
		}
	}

	a.rollout.fallback = !a.rollout.canary && !p.isCurrent(in.Version)
}

// beginRollout reports whether an attempt may be sent to a searcher of its version, and counts it. It must be called right
// before the attempt is sent; endRollout ends what it begins.
func (n *Node) beginRollout(now time.Time, a *attempt, in *roster.Instance) bool {
	ro := &n.rollouts
	if !ro.limits.Enabled {
		return true
	}

	ro.mu.Lock()
	defer ro.mu.Unlock()

	r, run := &a.rollout, ro.active[in.Upstream]

	if !ro.mayUse(now, run, r, in) || run == nil && !n.versionInUse(r, in) {
		n.count("rollout_attempts_total", rolloutStopped)

		return false
	}

	switch {
	case r.canary:
		n.count("rollout_attempts_total", rolloutCanary)
	case r.fallback:
		n.count("rollout_attempts_total", rolloutFallback)
	}

	if run != nil && !a.send.Hedge && !a.send.Retry {
		run.credit.Sent()
	}

	r.begun, r.at, r.upstream, r.version, r.domain = true, now, in.Upstream, in.Version, in.FailureDomain
	r.cold = now.Before(in.ColdUntil.Add(afterCold))

	if ro.inFlight[in.Upstream] == nil {
		ro.inFlight[in.Upstream] = map[ident.SoftwareVersion]int{}
	}

	ro.inFlight[in.Upstream][in.Version]++

	return true
}

// mayUse reports whether a running order allows an attempt. The caller must hold mu.
func (ro *rollouts) mayUse(now time.Time, run *activeRollout, r *rolloutAttempt, in *roster.Instance) bool {
	if run == nil {
		return true
	}

	isNew, noContact := in.Version == run.order.Target, ro.noContact(now)

	switch {
	case run.order.MayBeStopped(noContact, now.Sub(run.knownAt)):
		return false
	case r.fallback:
		return true
	case run.order.Stage == rollout.StageAll:
		return isNew
	default:
		return !isNew || r.canary && noContact < rollout.ContactBound
	}
}

// versionInUse reports whether the current view uses the version of a searcher, which an order may have changed since the
// attempt was planned.
func (n *Node) versionInUse(r *rolloutAttempt, in *roster.Instance) bool {
	p := n.view.Load().versions[in.Upstream]

	return p == nil || r.fallback || p.isCurrent(in.Version)
}

// endRollout ends an attempt and records what it says about its version.
func (n *Node) endRollout(now time.Time, a *attempt, reply *Reply, f failure) {
	r := &a.rollout
	if r.canary && !r.begun {
		n.returnCredit(r.upstream)
	}

	if !r.begun {
		return
	}

	ro := &n.rollouts

	ro.mu.Lock()
	defer ro.mu.Unlock()

	if counts := ro.inFlight[r.upstream]; counts[r.version] > 1 {
		counts[r.version]--
	} else {
		delete(counts, r.version)
	}

	run := ro.active[r.upstream]
	if run == nil || r.at.Before(run.knownAt) {
		return
	}

	if run.order.Stage == rollout.StageAll && ro.oldInFlight(run) == 0 && r.version != run.order.Target {
		n.followNow() // The leader waits for the end of these requests.
	}

	if resp, ok := a.response(now, reply, f); ok {
		run.evidence.Record(rollout.CellKey{
			Route: r.route, FailureDomain: r.domain, From: n.cfg.Region, New: r.version == run.order.Target,
		}, resp)
	}
}

// response returns what the end of an attempt says about the version of the searcher, if anything. An attempt that was
// cancelled, because another one was answered first, has taken at least as long as it has waited.
func (a *attempt) response(now time.Time, reply *Reply, f failure) (rollout.Response, bool) {
	resp := rollout.Response{Latency: now.Sub(a.rollout.at), Cold: a.rollout.cold}

	a.mu.Lock()
	sent, cancelled, aborted := a.maybeSent, a.cancelled, a.aborted
	a.mu.Unlock()

	switch {
	case !sent:
		return resp, false
	case reply != nil && (reply.NotRun || reply.Misdirected):
		return resp, false
	case reply != nil:
		resp.Failed = reply.Status < minSuccessStatus || reply.Status >= minServerErrorStatus ||
			reply.Status < minRedirectStatus && reply.Signature == ""

		return resp, true
	case aborted || f == failureReset:
		return resp, false
	case cancelled:
		return resp, true
	case f == failureLost || f == failureTimeout || f == failureBadReply:
		resp.Failed = true

		return resp, true
	default:
		return resp, false
	}
}

// rolloutReports returns the reports about the running orders.
func (n *Node) rolloutReports() []wire.RolloutReport {
	ro := &n.rollouts

	ro.mu.Lock()
	defer ro.mu.Unlock()

	var list []wire.RolloutReport

	for id, a := range ro.active {
		ro.sequence++
		list = append(list, wire.ToWireRollout(&rollout.Report{
			Source: rollout.Source{Node: n.cfg.Node, Incarnation: n.cfg.Incarnation}, Sequence: ro.sequence, Upstream: id,
			Order: a.order.ID, Stage: a.order.Stage, OldInFlight: ro.oldInFlight(a), Cells: a.evidence,
		}))
	}

	return list[:min(len(list), maxRolloutReports)]
}

// maxRolloutReports bounds the reports in one exchange.
const maxRolloutReports = 64
