package configuration

import "strings"

// Table finds the route of a request.
type Table struct {
	routes map[place]*Route
	hosts  map[string]bool
}

// NewTable indexes the routes of a valid configuration.
func NewTable(c *Configuration) *Table {
	t := &Table{routes: make(map[place]*Route, len(c.Routes)), hosts: map[string]bool{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.routes[place{host: r.Host, prefix: r.Prefix}] = r
		t.hosts[r.Host] = true
	}

	return t
}

// Match returns the route of the host with the longest prefix of the path, or nil. Prefixes begin and end with a slash,
// so only those that end at a slash of the path have to be looked up.
func (t *Table) Match(host, path string) *Route {
	if !t.hosts[host] {
		return nil
	}

	for end := len(path); end > 0; {
		i := strings.LastIndexByte(path[:end], '/')
		if i < 0 {
			return nil
		}

		if r, ok := t.routes[place{host: host, prefix: path[:i+1]}]; ok {
			return r
		}

		end = i
	}

	return nil
}
