package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fulmarfall/configuration"
	"fulmarfall/ident"
	"fulmarfall/timers"
	"fulmarfall/usage"
	"fulmarfall/wire"

	"github.com/go-faster/errors"
)

const (
	// usageInterval is the time between two usage reports of a node with callers.
	usageInterval = 500 * time.Millisecond
	// usageMinInterval is the shortest time between two reports, exhaustedInterval that between two that requests of a team
	// cause whose limit is exhausted.
	usageMinInterval  = 40 * time.Millisecond
	exhaustedInterval = 250 * time.Millisecond
	// usageCallersFor is how long a node reports and keeps its shares after a request of a team with a limit.
	usageCallersFor = time.Minute
	// usageTimeout is the timeout of a report. A round trip to a leader in another region takes 31 ms. It doubles with each
	// failure, up to maxUsageTimeout.
	usageTimeout    = 120 * time.Millisecond
	maxUsageTimeout = 480 * time.Millisecond
	// usageRetryInterval is the time between two reports after a failure, while requests wait and while none do.
	usageRetryInterval     = 50 * time.Millisecond
	usageIdleRetryInterval = 200 * time.Millisecond
	// usageAvoidTime is how long the nearest control VM is avoided after it has not answered a report.
	usageAvoidTime = 2 * time.Second
	// maxUsageWait is the longest time for which a request waits for a token, usageTargetFraction the same as a part of its
	// target.
	maxUsageWait = 150 * time.Millisecond
	// minUsageWait is the time for a report to a leader in another region, which takes 26 ms, to be answered by a busy leader.
	// With less, the first requests of a team at an entry VM were refused, which costs callers more than a late answer.
	minUsageWait        = 60 * time.Millisecond
	usageTargetFraction = 4
	// minOverUsageRetry and maxOverUsageRetry bound the retry time of requests over a limit. noShareRetry is the retry time of
	// requests without a share; shares follow the load in two reports.
	minOverUsageRetry = 200 * time.Millisecond
	maxOverUsageRetry = 2 * time.Second
	noShareRetry      = 300 * time.Millisecond
	// usageLogInterval is the time between two log lines about the requests of a team.
	usageLogInterval = time.Second
)

// errOlderControlVM means that a control VM, or the leader, runs a build that does not know usage reports.
var errOlderControlVM = errors.New("control VM does not know usage reports")

// usageGate admits requests by the rate limits of teams.
type usageGate struct {
	mu     sync.Mutex
	holder *usage.Holder
	bounds usage.Bounds
	// configuration is the one that limits belong to.
	configuration *configuration.Configuration
	limits        map[ident.TeamID]usage.Limit
	waiting       map[ident.TeamID][]*usageWaiter
	counts        map[ident.TeamID]*usageCount
	// requestedAt is the time of the last request of a team with a limit, sentAt that of the last report, and answeredAt that
	// of the last report that was answered by a grant.
	requestedAt, sentAt, answeredAt time.Time
	// failing is set while control VMs do not grant shares, starting while the leader does not know all shares.
	failing, starting bool
	leased            bool
	// reportAtOnce is set if requests here, or other entry VMs, wait for the next report.
	reportAtOnce bool
	loggedAt     time.Time

	wake chan struct{}
	// nearest is the control VM that the node follows.
	nearest atomic.Pointer[ident.NodeID]
}

// usageWaiter is a request that waits for a token. Guarded by mu, except for decided.
type usageWaiter struct {
	until time.Time
	// reported is set once a report has stated the request.
	reported bool
	decided  chan usageVerdict // capacity 1
}

// usageVerdict is the decision on a waiting request.
type usageVerdict struct {
	admitted   bool
	counted    bool // a token was taken
	exhausted  bool
	retryAfter time.Duration
}

// usageCount counts the requests of a team since the last log line.
type usageCount struct{ admitted, waited, refused, noShare int }

// Labels of usage_refused_total.
const (
	refusedExhausted = ident.ReasonOverUsage
	refusedNoShare   = ident.ReasonNoShare
)

func (u *usageGate) init(cfg Config) {
	u.holder = usage.NewHolder(ident.Incarnation(cfg.Incarnation))
	u.bounds = cfg.Quota
	u.waiting = map[ident.TeamID][]*usageWaiter{}
	u.counts = map[ident.TeamID]*usageCount{}
	u.wake = make(chan struct{}, 1)
}

// setNearest sets the control VM that the node follows.
func (u *usageGate) setNearest(id ident.NodeID) {
	if at := u.nearest.Load(); at == nil || *at != id {
		u.nearest.Store(&id)
	}
}

// setLimits sets the limits of a configuration, unless a later one is set. The caller must hold mu.
func (u *usageGate) setLimits(now time.Time, c *configuration.Configuration) {
	if u.configuration == c || u.configuration != nil && c.Version < u.configuration.Version {
		return
	}

	u.configuration = c
	u.limits = map[ident.TeamID]usage.Limit{}

	for i := range c.Teams {
		t := &c.Teams[i]
		if l := u.bounds.Limit(t.RatePerSecond, t.Burst); l.Rate > 0 {
			u.limits[t.Name] = l
		}
	}

	u.holder.SetLimits(now, u.limits)
}

// admitUsage admits a request by the rate limit of its team, if that has one. It may wait for a share of the limit. Forwarded
// requests were counted by the entry VM that the caller has reached.
func (n *Node) admitUsage(r *Request, v *view, route *configuration.Route, team *configuration.Team) *Refused {
	if team == nil || team.RatePerSecond <= 0 || r.Forwarded {
		return nil
	}

	verdict := n.usage.admit(timers.BootClock(), v.configuration, team.Name, usageWait(route))
	if verdict.admitted {
		r.countsAsUsage = verdict.counted
		n.count("usage_admitted_total", ident.Reason(team.Name))

		return nil
	}

	if verdict.exhausted {
		n.count("usage_refused_total", refusedExhausted)
		n.count("usage_over_limit_total", ident.Reason(team.Name))

		return n.refuseEarly(r, RefusedOverUsage, ident.ReasonOverUsage, verdict.retryAfter)
	}

	n.count("usage_refused_total", refusedNoShare)

	return n.refuseEarly(r, RefusedNotRun, ident.ReasonNoShare, verdict.retryAfter)
}

// usageWait returns how long a request of a route may wait for a token.
func usageWait(r *configuration.Route) time.Duration {
	target := r.TargetLatency
	if target == 0 {
		target = r.Timeout
	}

	return min(max(target/usageTargetFraction, minUsageWait), maxUsageWait)
}

// returnUsage returns the token of a request that has not run.
func (n *Node) returnUsage(r *Request, team *configuration.Team) {
	if !r.countsAsUsage {
		return
	}

	u := &n.usage
	now := timers.BootClock()

	u.mu.Lock()
	defer u.mu.Unlock()

	u.holder.Return(now, team.Name)
	u.dispatch(now, team.Name)
}

// admit decides on a request, and waits for a token if there is none.
func (u *usageGate) admit(now time.Time, c *configuration.Configuration, team ident.TeamID, wait time.Duration) usageVerdict {
	u.mu.Lock()

	u.setLimits(now, c)

	if _, limited := u.limits[team]; !limited { // A later configuration has removed the limit.
		u.mu.Unlock()

		return usageVerdict{admitted: true}
	}

	first := now.Sub(u.requestedAt) >= usageCallersFor
	u.requestedAt = now
	u.holder.Arrive(now, team)

	if len(u.waiting[team]) == 0 && u.holder.Take(now, team) {
		u.count(team).admitted++
		u.mu.Unlock()

		if first {
			u.wakeUp()
		}

		return usageVerdict{admitted: true, counted: true}
	}

	// The report that would be sent for the request is known to bring nothing.
	known := u.holder.Exhausted(now, team) && now.Sub(u.answeredAt) < exhaustedInterval
	if known {
		if verdict := u.judge(now, team, len(u.waiting[team]), now.Add(wait)); verdict != nil {
			u.countRefused(team, verdict)
			u.mu.Unlock()

			return *verdict
		}
	}

	w := &usageWaiter{until: now.Add(wait), reported: known, decided: make(chan usageVerdict, 1)}
	u.waiting[team] = append(u.waiting[team], w)
	u.count(team).waited++
	u.mu.Unlock()

	if !known {
		u.wakeUp()
	}

	return u.await(team, w)
}

func (u *usageGate) wakeUp() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// count returns the counts of a team. The caller must hold mu.
func (u *usageGate) count(team ident.TeamID) *usageCount {
	c := u.counts[team]
	if c == nil {
		c = &usageCount{}
		u.counts[team] = c
	}

	return c
}

// await waits for the decision on a request.
func (u *usageGate) await(team ident.TeamID, w *usageWaiter) usageVerdict {
	timer := time.NewTimer(0)
	defer timer.Stop()

	for {
		select {
		case verdict := <-w.decided:
			return verdict
		case <-timer.C:
		}

		now := timers.BootClock()

		u.mu.Lock()
		u.dispatch(now, team)
		next := u.nextCheck(now, team, w)
		u.mu.Unlock()

		timer.Reset(next)
	}
}

// nextCheck returns the time until a waiting request may have a token, or until its wait ends. The caller must hold mu.
func (u *usageGate) nextCheck(now time.Time, team ident.TeamID, w *usageWaiter) time.Duration {
	rest := max(w.until.Sub(now), 0)

	i := slices.Index(u.waiting[team], w)
	if i < 0 {
		return 0 // decided
	}

	if wait, ok := u.holder.UntilToken(now, team, i+1); ok {
		// Less would make this a busy loop while a token is almost there.
		return min(max(wait, time.Millisecond), rest)
	}

	return rest
}

// dispatch decides on the waiting requests of a team as far as possible. The caller must hold mu.
func (u *usageGate) dispatch(now time.Time, team ident.TeamID) {
	queue := u.waiting[team]

	for len(queue) > 0 && u.holder.Take(now, team) {
		u.count(team).admitted++
		queue[0].decided <- usageVerdict{admitted: true, counted: true}
		queue = queue[1:]
	}

	kept := queue[:0:0]

	for _, w := range queue {
		verdict := u.judge(now, team, len(kept), w.until)
		if verdict == nil || !w.reported && now.Before(w.until) {
			kept = append(kept, w)

			continue
		}

		u.countRefused(team, verdict)
		w.decided <- *verdict
	}

	if len(kept) == 0 {
		delete(u.waiting, team)
	} else {
		u.waiting[team] = kept
	}
}

// judge returns the refusal of a request that has no token by the given time, or nil if it has one with the shares that are
// known. ahead is the number of requests that wait before it. The caller must hold mu.
func (u *usageGate) judge(now time.Time, team ident.TeamID, ahead int, until time.Time) *usageVerdict {
	wait, ok := u.holder.UntilToken(now, team, ahead+1)
	if ok && now.Before(until) && !now.Add(wait).After(until) {
		return nil
	}

	if !u.failing && !u.starting && u.holder.Exhausted(now, team) {
		if !ok {
			wait = maxOverUsageRetry
		}

		return &usageVerdict{exhausted: true, retryAfter: withJitter(min(max(wait, minOverUsageRetry), maxOverUsageRetry))}
	}

	return &usageVerdict{retryAfter: withJitter(noShareRetry)}
}

// countRefused counts a refused request. The caller must hold mu.
func (u *usageGate) countRefused(team ident.TeamID, v *usageVerdict) {
	if v.exhausted {
		u.count(team).refused++
	} else {
		u.count(team).noShare++
	}
}

// usageLoop reports the demand of this node while the configuration has teams with limits.
func (n *Node) usageLoop() {
	timer := time.NewTimer(usageInterval)
	defer timer.Stop()

	x := &usageExchange{n: n}

	for {
		select {
		case <-n.ctx.Done():
			return
		case <-timer.C:
		case <-n.usage.wake:
		}

		timer.Reset(x.step())
	}
}

// usageExchange is the state of the reports; only the goroutine of usageLoop uses it.
type usageExchange struct {
	n *Node
	// failures counts the consecutive reports without a grant, older those that were answered by an older build.
	failures, older int
	last            ident.NodeID
	avoid           ident.NodeID // the nearest control VM, which has failed at avoidedAt
	avoidedAt       time.Time
}

// step sends a report if one is due, and returns the time until the next step.
func (x *usageExchange) step() time.Duration {
	v := x.n.view.Load()
	if v == nil {
		return usageInterval
	}

	u := &x.n.usage
	now := timers.BootClock()

	u.mu.Lock()
	u.setLimits(now, v.configuration)

	callers := x.n.adviser.Wants(x.n.cfg.Address) || !u.requestedAt.IsZero() && now.Sub(u.requestedAt) < usageCallersFor
	due := u.reportAtOnce || now.Sub(u.sentAt) >= usageInterval-usageMinInterval/2

	for _, queue := range u.waiting {
		due = due || slices.ContainsFunc(queue, func(w *usageWaiter) bool { return !w.reported })
	}

	idle := len(u.limits) == 0 || !callers && len(u.waiting) == 0
	since := now.Sub(u.sentAt)
	u.logCounts(now, x.n)
	u.mu.Unlock()

	switch {
	case idle:
		return usageInterval
	case due && since < usageMinInterval:
		return usageMinInterval - since
	case !due:
		return max(usageInterval-since, usageMinInterval/2)
	}

	return x.report(now, callers)
}

// report sends one report and applies the grant. It returns the time until the next step.
func (x *usageExchange) report(now time.Time, callers bool) time.Duration {
	u := &x.n.usage

	u.mu.Lock()
	waiting := map[ident.TeamID]int{}

	var stated []*usageWaiter

	for team, queue := range u.waiting {
		waiting[team] = len(queue)
		stated = append(stated, queue...)
	}

	r := u.holder.Report(now, callers, waiting)
	u.sentAt, u.reportAtOnce = now, false
	u.mu.Unlock()

	at, list := x.choose(now)
	grant, err := x.n.reportUsage(at, r, min(usageTimeout<<min(x.failures, 2), maxUsageTimeout))

	x.observe(now, at, err)

	now = timers.BootClock()

	u.mu.Lock()
	defer u.mu.Unlock()

	if err != nil {
		return x.failed(now, list, err)
	}

	res := u.holder.Apply(now, grant)
	if res.Resend {
		u.reportAtOnce = true

		return 0
	}

	if !res.Applied {
		// The lease has expired meanwhile, or the leader is an earlier one.
		u.reportAtOnce = true

		return usageMinInterval
	}

	x.failures, x.older = 0, 0

	if u.failing || grant.Starting != u.starting {
		x.n.logger.Info().Str("node", string(at)).Uint64("term", grant.Term).Bool("starting", grant.Starting).Msg("shares of rate limits are granted")
	}

	u.failing, u.starting, u.answeredAt, u.reportAtOnce = false, grant.Starting, now, u.reportAtOnce || res.Lowered

	for _, w := range stated {
		w.reported = true
	}

	u.dispatchAll(now)
	u.observeLease(now, x.n)

	if u.reportAtOnce {
		return usageMinInterval
	}

	return u.untilReport(now)
}

// untilReport returns the time until the next report. The caller must hold mu.
func (u *usageGate) untilReport(now time.Time) time.Duration {
	for _, queue := range u.waiting {
		if slices.ContainsFunc(queue, func(w *usageWaiter) bool { return !w.reported }) {
			return max(usageMinInterval-now.Sub(u.sentAt), 0)
		}
	}

	return max(usageInterval-now.Sub(u.sentAt), 0)
}

// dispatchAll decides on the waiting requests of all teams. The caller must hold mu.
func (u *usageGate) dispatchAll(now time.Time) {
	for team := range u.waiting {
		u.dispatch(now, team)
	}
}

// failed handles a report that was not answered by a grant. It returns the time until the next step. The caller must hold
// usage.mu.
func (x *usageExchange) failed(now time.Time, list int, err error) time.Duration {
	u := &x.n.usage
	x.failures++

	if errors.Is(err, errOlderControlVM) {
		x.older++
	} else {
		x.older = 0
	}

	if !u.failing {
		u.failing = true
		x.n.logger.Warn().Str("node", string(x.last)).Err(err).Msg("no shares of rate limits are granted")
	}

	if x.older >= list {
		x.n.mu.Lock()
		share := loadShare(x.n.load.rate, x.n.entryVMs, x.n.entryLoad)
		x.n.mu.Unlock()

		u.holder.UseFallback(now, usage.Share(share*float64(usage.Whole)))
		u.dispatchAll(now)
	}

	u.observeLease(now, x.n)

	if x.older >= list {
		return usageInterval
	}

	u.reportAtOnce = true

	switch {
	case x.failures%max(list, 1) != 0 && x.failures < list:
		return 0 // another control VM may answer
	case len(u.waiting) > 0:
		return usageRetryInterval
	default:
		return usageIdleRetryInterval
	}
}

// choose returns the control VM for the next report, and the number of known ones: the one that the node follows, or others
// in turn after a failure.
func (x *usageExchange) choose(now time.Time) (ident.NodeID, int) {
	list, _ := x.n.controlVMs()

	nearest := x.n.usage.nearest.Load()
	if nearest != nil && (*nearest != x.avoid || now.Sub(x.avoidedAt) >= usageAvoidTime) && x.failures == 0 {
		x.last = *nearest

		return x.last, len(list)
	}

	if x.failures > 0 || x.last == "" {
		x.last = nextControlVM(list, x.last)
	}

	return x.last, len(list)
}

// observe records whether a control VM has answered a report.
func (x *usageExchange) observe(now time.Time, at ident.NodeID, err error) {
	if nearest := x.n.usage.nearest.Load(); err != nil && nearest != nil && at == *nearest {
		x.avoid, x.avoidedAt = at, now
	}
}

// observeLease logs when the node gains or loses its lease. The caller must hold mu.
func (u *usageGate) observeLease(now time.Time, n *Node) {
	leased := u.holder.Leased(now)
	if leased == u.leased {
		return
	}

	u.leased = leased
	n.logger.Info().Bool("leased", leased).Int("teams", len(u.holder.Shares(now))).Msg("lease on shares of rate limits changed")
}

// reportUsage sends a report to a control VM and returns the grant.
func (n *Node) reportUsage(at ident.NodeID, r *usage.Report, timeout time.Duration) (*usage.Grant, error) {
	ctx, cancel := context.WithTimeout(n.ctx, timeout)
	defer cancel()

	reply, err := n.transport.Call(ctx, at, string(at), wire.ToWireUsageReport(n.cfg.Node, r))
	if err != nil {
		return nil, errors.Wrap(err, "report usage")
	}

	switch m := reply.(type) {
	case *wire.UsageGrant:
		if !m.OK {
			return nil, errors.Errorf("report usage: %s", m.Error)
		}

		return m.Grant(), nil
	case *wire.Ack:
		return nil, errOlderControlVM
	default:
		return nil, errors.Errorf("unexpected answer %T to usage report", reply)
	}
}

// logCounts logs, once per usageLogInterval, the teams of which requests have waited or were refused. The caller must hold mu.
func (u *usageGate) logCounts(now time.Time, n *Node) {
	if now.Sub(u.loggedAt) < usageLogInterval {
		return
	}

	u.loggedAt = now
	shares := u.holder.Shares(now)

	if n.meters != nil {
		n.meters.Gauge("usage_shares").Update(float64(len(shares)))
	}

	for team, c := range u.counts {
		if c.waited+c.refused+c.noShare > 0 {
			n.logger.Info().Str("team", string(team)).Int("admitted", c.admitted).Int("waited", c.waited).Int("over_limit", c.refused).
				Int("no_share", c.noShare).Float64("rate_share", float64(shares[team].Rate)/float64(usage.Whole)).
				Float64("burst_share", float64(shares[team].Burst)/float64(usage.Whole)).Msg("requests under the rate limit of a team")
			n.countBy("usage_waited_total", ident.Reason(team), c.waited)
		}
	}

	clear(u.counts)
}
