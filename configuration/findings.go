package configuration

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"fulmarfall/ident"
)

// Finding is something that an operator should know of a document before it is in force.
type Finding struct {
	// Error is set if the document would be refused, or ignored. Otherwise the finding is a warning.
	Error bool
	Text  string
}

// findings collects the findings of a document.
type findings []Finding

func (f *findings) err(err error) { *f = append(*f, Finding{Error: true, Text: err.Error()}) }

func (f *findings) warn(format string, args ...any) {
	*f = append(*f, Finding{Text: fmt.Sprintf(format, args...)})
}

// Findings returns the errors of a document, the entries that can never match a request, and the limits that contradict each
// other. No finding shows a key.
func (c *Configuration) Findings() []Finding {
	var f findings

	for _, err := range c.errors() {
		f.err(err)
	}

	used := map[ident.UpstreamID]bool{}

	for i := range c.Routes {
		r := &c.Routes[i]

		c.checkMatch(r, &f)
		checkRouteLimits(r, &f)

		for _, p := range r.Parts {
			used[p.Upstream] = true
		}

		for _, id := range r.Shards {
			used[id] = true
		}
	}

	for _, id := range slices.Sorted(maps.Keys(c.Upstreams)) {
		if !used[id] {
			f.warn("upstream %q is on no route", id)
		}

		if u := c.Upstreams[id]; u.MaxConnections < 0 || u.ColdRatePerSecond < 0 {
			f.warn("upstream %q has a negative limit, which counts as none", id)
		}
	}

	for i := range c.Teams {
		c.checkTeam(&c.Teams[i], &f)
	}

	if l := c.Limits; l.MaxHeaderBytes < 0 || l.MaxBodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		f.warn("limits: a negative limit counts as none")
	}

	return f
}

// checkMatch warns of a route, or a part of one, that can never match a request.
func (c *Configuration) checkMatch(r *Route, f *findings) {
	switch {
	case r.Host == "":
		f.warn("route %q never matches: it has no host", r.Name)
	case hasPort(r.Host):
		f.warn("route %q never matches: host %q has a port, which is removed from the host of a request", r.Name, r.Host)
	case !strings.HasSuffix(r.Prefix, "/"):
		f.warn("route %q never matches: path prefix %q does not end with a slash", r.Name, r.Prefix)
	case strings.ContainsAny(r.Prefix, "?#"):
		f.warn("route %q never matches: path prefix %q has a query or a fragment", r.Name, r.Prefix)
	}

	for _, p := range r.Parts {
		switch {
		case len(r.Shards) > 0:
			f.warn("route %q: upstream %q never gets a request, because the route is a search over shards", r.Name, p.Upstream)
		case p.Weight == 0:
			f.warn("route %q: upstream %q never gets a request: its weight is 0", r.Name, p.Upstream)
		}
	}

	if r.AuthExempt && !c.RequiresKeys() {
		f.warn("route %q is exempt from keys, but no request needs one without teams", r.Name)
	}
}

// hasPort reports whether a host has a port. An IPv6 address without one has several colons, and no bracket before the last.
func hasPort(host string) bool {
	i := strings.LastIndexByte(host, ':')

	return i >= 0 && (strings.IndexByte(host, ':') == i || host[i-1] == ']')
}

// checkRouteLimits warns of limits of a route that contradict each other.
func checkRouteLimits(r *Route, f *findings) {
	if r.TargetLatency > r.Timeout {
		f.warn("route %q: target of %v is after the timeout of %v", r.Name, r.TargetLatency, r.Timeout)
	}

	if len(r.Shards) > 0 && r.MinCoverage > 1 {
		f.warn("route %q: coverage of at least %v can't be reached", r.Name, r.MinCoverage)
	}

	if len(r.Shards) == 0 && (r.MinCoverage != 0 || r.Limit != 0) {
		f.warn("route %q: coverage and number of records have no effect without shards", r.Name)
	}

	if !r.Idempotent && r.MaxAttempts > 1 {
		f.warn("route %q: %d attempts are allowed, but its requests run at most once", r.Name, r.MaxAttempts)
	}

	if r.MaxAttempts < 0 || r.MinCoverage < 0 || r.Limit < 0 || r.TargetLatency < 0 || r.Priority < 0 {
		f.warn("route %q has a negative limit or priority", r.Name)
	}
}

// checkTeam warns of a team that can never send a request, or whose limits contradict each other.
func (c *Configuration) checkTeam(t *Team, f *findings) {
	if !slices.ContainsFunc(c.Keys, func(k TeamKey) bool { return k.Team == t.Name }) {
		f.warn("team %q never matches: it has no key", t.Name)
	}

	if len(t.Regions) > 0 && len(c.Routes) > 0 && !slices.ContainsFunc(c.Routes, func(r Route) bool {
		return len(r.Regions) == 0 || slices.ContainsFunc(r.Regions, t.Allows)
	}) {
		f.warn("team %q: no route allows a region of the team", t.Name)
	}

	switch {
	case t.RatePerSecond > 0 && t.Burst < 1:
		f.warn("team %q: a burst of %v admits no request at a rate of %v a second", t.Name, t.Burst, t.RatePerSecond)
	case t.RatePerSecond == 0 && t.Burst > 0:
		f.warn("team %q: a burst of %v has no effect without a rate", t.Name, t.Burst)
	}

	if t.HasPriority && t.Priority < 0 {
		f.warn("team %q has a negative priority", t.Name)
	}
}

// FindingsAgainst returns the errors of a document as the next one after the one in force.
func (c *Configuration) FindingsAgainst(inForce *Configuration) []Finding {
	var f findings

	if differences := Differences(inForce, c); c.Version <= inForce.Version && len(differences) > 0 {
		f.err(fmt.Errorf("%w: version %d would be ignored, because version %d is in force", ErrInvalid, c.Version, inForce.Version))
	}

	return f
}

// entry is a part of a document with the values of its fields as texts.
type entry map[string]string

func show(v any) string { return fmt.Sprintf("%v", v) }

// Differences describes what changes from one document to the next one, in a stable order. Of keys, it shows the number.
func Differences(from, to *Configuration) []string {
	var out []string

	out = append(out, diffEntries("route", from.routeEntries(), to.routeEntries())...)
	out = append(out, diffEntries("upstream", from.upstreamEntries(), to.upstreamEntries())...)
	out = append(out, diffEntries("team", from.teamEntries(), to.teamEntries())...)
	out = append(out, diffKeys(from, to)...)

	return append(out, diffEntries("limits", map[string]entry{"": from.Limits.entry()}, map[string]entry{"": to.Limits.entry()})...)
}

// routeEntries returns the routes by host and prefix, which no two of them share.
func (c *Configuration) routeEntries() map[string]entry {
	m := map[string]entry{}

	for i := range c.Routes {
		r := &c.Routes[i]
		m[r.Host+r.Prefix] = entry{
			"name": r.Name, "idempotent": show(r.Idempotent), "timeout": show(r.Timeout), "target": show(r.TargetLatency), "priority": show(r.Priority),
			"upstreams": show(r.Parts), "shards": show(r.Shards), "attempts": show(r.MaxAttempts), "records": show(r.Limit),
			"coverage": show(r.MinCoverage), "regions": show(r.Regions), "exempt from keys": show(r.AuthExempt),
		}
	}

	return m
}

func (c *Configuration) upstreamEntries() map[string]entry {
	m := map[string]entry{}
	for id, u := range c.Upstreams {
		m[string(id)] = entry{"connections": show(u.MaxConnections), "cold rate": show(u.ColdRatePerSecond)}
	}

	return m
}

func (c *Configuration) teamEntries() map[string]entry {
	m := map[string]entry{}

	for i := range c.Teams {
		t := &c.Teams[i]

		priority := "that of the route"
		if t.HasPriority {
			priority = show(t.Priority)
		}

		m[string(t.Name)] = entry{"rate": show(t.RatePerSecond), "burst": show(t.Burst), "priority": priority, "regions": show(t.Regions)}
	}

	return m
}

func (l Limits) entry() entry {
	return entry{
		"header bytes": show(l.MaxHeaderBytes), "body bytes": show(l.MaxBodyBytes), "header timeout": show(l.HeaderTimeout), "idle timeout": show(l.IdleTimeout),
	}
}

func diffEntries(kind string, from, to map[string]entry) []string {
	var out []string

	all := maps.Clone(from)
	maps.Copy(all, to)

	for _, name := range slices.Sorted(maps.Keys(all)) {
		label := kind
		if name != "" {
			label = fmt.Sprintf("%s %q", kind, name)
		}

		before, had := from[name]
		after, has := to[name]

		switch {
		case !had:
			out = append(out, label+" is new")
		case !has:
			out = append(out, label+" is removed")
		default:
			for _, field := range slices.Sorted(maps.Keys(after)) {
				if before[field] != after[field] {
					out = append(out, fmt.Sprintf("%s: %s %s instead of %s", label, field, cmp.Or(after[field], `""`), cmp.Or(before[field], `""`)))
				}
			}
		}
	}

	return out
}

// diffKeys describes by their number the keys that teams gain and lose.
func diffKeys(from, to *Configuration) []string {
	gained, lost := newKeys(from, to), newKeys(to, from)
	teams := maps.Clone(gained)
	maps.Copy(teams, lost)

	var out []string
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		out = append(out, fmt.Sprintf("team %q: keys: %d new, %d removed", name, gained[name], lost[name]))
	}

	return out
}

// newKeys returns the number of the keys of each team that it has in one document only.
func newKeys(from, to *Configuration) map[ident.TeamID]int {
	known := map[TeamKey]bool{}
	for _, k := range from.Keys {
		known[k] = true
	}

	added := map[ident.TeamID]int{}

	for _, k := range to.Keys {
		if !known[k] {
			known[k] = true
			added[k.Team]++
		}
	}

	return added
}
