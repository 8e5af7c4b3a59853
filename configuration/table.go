package configuration

import (
	"strings"

	"fulmarfall/ident"
)

// Table is an index of routes by host and path prefix, and of teams by key and name.
type Table struct {
	routes map[routeKey]*Route
	hosts  map[string]bool
	teams  teamIndex
	groups map[ident.UpstreamID]ident.UpstreamID
}

// NewTable returns an index of the routes and teams of c, which must be valid.
func NewTable(c *Configuration) *Table {
	t := &Table{routes: make(map[routeKey]*Route, len(c.Routes)), hosts: map[string]bool{}, teams: newTeamIndex(c), groups: groupUpstreams(c)}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.routes[routeKey{host: r.Host, prefix: r.Prefix}] = r
		t.hosts[r.Host] = true
	}

	return t
}

// Match returns the route of the host with the longest prefix of the path, or nil. Prefixes begin and end with a slash, so
// only those that end at a slash of the path need to be looked up.
func (t *Table) Match(host, path string) *Route {
	if !t.hosts[host] {
		return nil
	}

	for end := len(path); end > 0; {
		i := strings.LastIndexByte(path[:end], '/')
		if i < 0 {
			return nil
		}

		if r, ok := t.routes[routeKey{host: host, prefix: path[:i+1]}]; ok {
			return r
		}

		end = i
	}

	return nil
}

// groupUpstreams maps each upstream that is a shard of a route to the first upstream of its group. The shards of a route are in
// one group.
func groupUpstreams(c *Configuration) map[ident.UpstreamID]ident.UpstreamID {
	parent := map[ident.UpstreamID]ident.UpstreamID{}

	first := func(id ident.UpstreamID) ident.UpstreamID {
		for parent[id] != id {
			id = parent[id]
		}

		return id
	}

	for i := range c.Routes {
		for _, id := range c.Routes[i].Shards {
			if _, ok := parent[id]; !ok {
				parent[id] = id
			}

			a, b := first(c.Routes[i].Shards[0]), first(id)
			parent[max(a, b)] = min(a, b)
		}
	}

	for id := range parent {
		parent[id] = first(id)
	}

	return parent
}

// Group returns the name of the group of upstreams whose searchers compete for the same requests: the shards of a route, also of
// several routes that have shards in common.
func (t *Table) Group(id ident.UpstreamID) ident.UpstreamID {
	if group, ok := t.groups[id]; ok {
		return group
	}

	return id
}
