package entry

import (
	"time"

	"fulmarfall/configuration"
	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/wire"
)

// confirmationPeriod is how long the configuration of this node counts as the newest after the start of an exchange that
// confirmed it. Nodes without callers exchange every idleFollowInterval, so that one exchange may fail.
const confirmationPeriod = time.Second

// unknownKeyRetryAfter is the retry time of requests with an unknown key while the configuration may have changed.
const unknownKeyRetryAfter = defaultRetryAfter

// CheckKey returns the refusal of a request whose team may not send it, or nil if Serve has to decide. It is called with the
// header of a request, before its body is read.
func (n *Node) CheckKey(host, path, key string) *Refused {
	v := n.view.Load()
	if v == nil || n.stopping.Load() || !v.table.RequiresKeys() {
		return nil
	}

	_, refused := n.checkKey(time.Now(), v, v.table.Match(host, path), key)
	if refused == nil {
		return nil
	}

	return n.refuseEarly(&Request{Host: host, Path: path}, refused.Kind, refused.Reason, refused.RetryAfter)
}

// checkKey returns the team with the key, nil for a request that needs none, or the refusal of the request. route may be nil.
func (n *Node) checkKey(now time.Time, v *view, route *configuration.Route, key string) (*configuration.Team, *Refused) {
	team := v.table.Authenticate(key)

	switch {
	case team != nil || route != nil && route.AuthExempt:
		return team, nil
	case !n.hasNewestConfiguration(now, v):
		// The key may have been added meanwhile.
		return nil, &Refused{Kind: RefusedNotRun, Reason: ident.ReasonControlUnreachable, RetryAfter: withJitter(unknownKeyRetryAfter)}
	default:
		return nil, &Refused{Kind: RefusedUnauthorized, Reason: ident.ReasonUnauthenticated}
	}
}

// authenticate finds the team of a request and sets what searchers receive of it. It returns no team for a request that needs
// none, and the refusal of a request that may not be sent. route may be nil.
func (n *Node) authenticate(now time.Time, v *view, route *configuration.Route, r *Request) (*configuration.Team, *Refused) {
	key := r.Key
	r.Key = ""

	var (
		team    *configuration.Team
		refused *Refused
	)

	switch {
	case r.Forwarded && !v.knowsTeam(route, r.Team):
		refused = &Refused{Kind: RefusedNotRun, Reason: ident.ReasonStaleNode, RetryAfter: defaultRetryAfter}
	case !v.table.RequiresKeys():
		return nil, nil
	case r.Forwarded:
		team = v.table.Team(r.Team)
	default:
		team, refused = n.checkKey(now, v, route, key)
	}

	if refused != nil {
		return nil, refused
	}

	r.Team = teamName(team)
	r.Header = n.codec.SetTeam(r.Header, r.Team)

	return team, nil
}

// knowsTeam reports whether a forwarded request can be served for a team, or for none. The configuration of the other node may
// be older or newer.
func (v *view) knowsTeam(route *configuration.Route, name ident.TeamID) bool {
	if name == "" {
		return !v.table.RequiresKeys() || route != nil && route.AuthExempt
	}

	return v.table.Team(name) != nil
}

// hasNewestConfiguration reports whether no newer configuration than that of the view can have been in force for
// confirmationPeriod.
func (n *Node) hasNewestConfiguration(now time.Time, v *view) bool {
	at := n.confirmedAt.Load()
	if at == nil || uint64(v.configuration.Version) < n.links.servedVersion.Load() {
		return false
	}

	// The monotonic clock may stand still while the VM is suspended; the wall clock may be set back.
	return now.Sub(*at) <= confirmationPeriod && now.Round(0).Sub(at.Round(0)).Abs() <= confirmationPeriod
}

// confirmConfiguration records that the answer to an exchange that began at the given time has brought the state of this node up
// to that of a connected control VM. An answer from a control VM of an earlier version does not contain its index; it is then
// complete if nothing was to be sent.
func (n *Node) confirmConfiguration(began time.Time, r *wire.Followed) {
	complete := n.state.AppliedIndex() >= r.StateIndex
	if r.StateIndex == 0 {
		complete = len(r.Entries) == 0 && len(r.Snapshot) == 0
	}

	v := n.view.Load()
	if !complete || !r.Connected || v == nil {
		return
	}

	var stored configuration.Version

	n.state.View(func(s control.View) { stored = s.Configuration().Version })

	// They differ while this program can't decode the stored configuration.
	if stored == v.configuration.Version {
		n.confirmedAt.Store(&began)
	}
}

func teamName(t *configuration.Team) ident.TeamID {
	if t == nil {
		return ""
	}

	return t.Name
}

// class returns the priority class of the request.
func (s *activeRequest) class() ident.Class { return classOf(s.route, s.team) }

// allows reports whether a region may process the request.
func (s *activeRequest) allows(region ident.Region) bool {
	return s.route.Allows(region) && s.team.Allows(region)
}

// peerAllowed reports whether an entry VM in a region may receive the request. The regions of its team may have changed
// since the request arrived.
func (s *activeRequest) peerAllowed(region ident.Region) bool {
	return s.allows(region) && s.n.view.Load().table.Team(teamName(s.team)).Allows(region)
}

// classOf returns the priority class of the requests of a team on a route. The team may be nil.
func classOf(r *configuration.Route, t *configuration.Team) ident.Class {
	priority := r.Priority
	if t != nil && t.HasPriority {
		priority = t.Priority
	}

	return ident.Class(min(max(priority, 0), int(ident.ClassBatch))) //nolint:gosec // Bounded above.
}
