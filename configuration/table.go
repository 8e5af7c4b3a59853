package configuration

import "strings"

// Table is an index of routes by host and path prefix, and of teams by key and name.
type Table struct {
	routes map[routeKey]*Route
	hosts  map[string]bool
	teams  teamIndex
}

// NewTable returns an index of the routes and teams of c, which must be valid.
func NewTable(c *Configuration) *Table {
	t := &Table{routes: make(map[routeKey]*Route, len(c.Routes)), hosts: map[string]bool{}, teams: newTeamIndex(c)}
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
