// Package configuration defines the versioned document that operators provide: routes, their upstreams, and limits for
// callers. The document is stored and sent as the operator wrote it, but compressed; each process decodes each version
// once.
package configuration

import (
	"fmt"
	"strings"
	"time"

	"fulmarfall/ident"

	"github.com/go-faster/errors"
)

// Version is the number of a document. The document with the highest one is in force.
type Version uint64

// Document is an encoded configuration with its version.
type Document struct {
	Version Version
	Content Packed
}

// ReplaceIfNewer replaces the document if the given version is higher, and reports whether it did. An equal or lower
// version is ignored, whatever its content, so that a resend is harmless.
func (d *Document) ReplaceIfNewer(v Version, content Packed) bool {
	if v <= d.Version {
		return false
	}

	d.Version, d.Content = v, content

	return true
}

// Configuration is a decoded document.
type Configuration struct {
	Version   Version
	Routes    []Route
	Upstreams map[ident.UpstreamID]Upstream
	Limits    Limits
	// Teams are the calling teams, and Keys their keys. Without teams, requests need no key.
	Teams []Team
	Keys  []TeamKey
}

// Upstream is the operator's configuration of an upstream. It does not list the searchers, which announce themselves.
type Upstream struct {
	ID ident.UpstreamID
	// MaxConnections is the number of connections that one searcher accepts from all nodes together; 0 means no limit.
	MaxConnections int
	// ColdRatePerSecond is the rate of requests that a cold searcher can serve from all nodes together; 0 means no limit.
	ColdRatePerSecond float64
}

// Limits restrict the size of a caller's request, the time to receive its header, and the idle time of its connection.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// WeightedUpstream is one of the upstreams among which a route splits its requests. The share of each is proportional to
// its weight.
type WeightedUpstream struct {
	Upstream ident.UpstreamID
	Weight   float64
}

// Route defines the upstreams that serve the requests for a host and a path prefix. Either Parts or Shards is set.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is set if a request may run more than once. Otherwise each request of a caller runs at most once.
	Idempotent bool
	// Timeout is the maximum time until a caller receives an answer. TargetLatency is the latency up to which an answer
	// has its full value to the caller; 0 means no target.
	Timeout       time.Duration
	TargetLatency time.Duration
	// Priority orders routes when not all requests can be served; 0 is the highest priority.
	Priority int
	// Parts are the upstreams of a route whose requests are answered by a single searcher.
	Parts []WeightedUpstream
	// Shards are the upstreams of a route whose requests are answered by one searcher of each upstream.
	Shards []ident.UpstreamID
	// MaxAttempts limits the number of searchers that may run one request, for each shard; 0 means no limit.
	MaxAttempts int
	// Limit is the maximum number of records in the merged answer. MinCoverage is the minimum share of shards that must have
	// answered.
	Limit       int
	MinCoverage float64
	// Regions are the regions whose searchers may serve the route; empty means all.
	Regions []ident.Region
	// AuthExempt is set if requests of the route need no key of a team.
	AuthExempt bool
}

// Allows reports whether searchers of a region may serve the route.
func (r *Route) Allows(region ident.Region) bool {
	if len(r.Regions) == 0 {
		return true
	}

	for _, allowed := range r.Regions {
		if allowed == region {
			return true
		}
	}

	return false
}

// ErrInvalid is wrapped by all errors of Validate.
var ErrInvalid = errors.New("configuration is invalid")

type routeKey struct{ host, prefix string }

// Validate returns the first error in a document. Invalid documents are never stored.
func (c *Configuration) Validate() error {
	if errs := c.errors(); len(errs) > 0 {
		return errs[0]
	}

	return nil
}

// errors returns the first error of each route, those of the document as a whole, and the first one of the teams.
func (c *Configuration) errors() []error {
	var errs []error

	if c.Version == 0 {
		errs = append(errs, errors.Wrap(ErrInvalid, "version is missing"))
	}

	names := make(map[routeKey]string, len(c.Routes))

	for i := range c.Routes {
		r := &c.Routes[i]

		if err := c.validateRoute(r); err != nil {
			errs = append(errs, errors.Wrapf(err, "route %q", r.Name))
		}

		key := routeKey{host: r.Host, prefix: r.Prefix}
		if other, ok := names[key]; ok {
			errs = append(errs, errors.Wrapf(ErrInvalid, "routes %q and %q have the same host and prefix", other, r.Name))
		}

		names[key] = r.Name
	}

	if err := c.validateTeams(); err != nil {
		errs = append(errs, err)
	}

	return errs
}

func (c *Configuration) validateRoute(r *Route) error {
	switch {
	case r.Timeout <= 0:
		return errors.Wrap(ErrInvalid, "timeout is not above 0")
	case !strings.HasPrefix(r.Prefix, "/"):
		return errors.Wrap(ErrInvalid, "path prefix does not begin with a slash")
	case len(r.Parts) == 0 && len(r.Shards) == 0:
		return errors.Wrap(ErrInvalid, "no upstream is named")
	}

	var sum float64

	for _, p := range r.Parts {
		if err := c.checkUpstream(p.Upstream); err != nil {
			return err
		}

		if p.Weight < 0 {
			return errors.Wrapf(ErrInvalid, "weight of upstream %q is negative", p.Upstream)
		}

		sum += p.Weight
	}

	if len(r.Parts) > 0 && sum == 0 {
		return errors.Wrap(ErrInvalid, "the weights add up to 0")
	}

	seen := make(map[ident.UpstreamID]bool, len(r.Shards))

	for _, id := range r.Shards {
		if err := c.checkUpstream(id); err != nil {
			return err
		}

		if seen[id] {
			return errors.Wrapf(ErrInvalid, "shard %q is named twice", id)
		}

		seen[id] = true
	}

	return nil
}

func (c *Configuration) checkUpstream(id ident.UpstreamID) error {
	if _, ok := c.Upstreams[id]; !ok {
		return fmt.Errorf("%w: upstream %q is not defined", ErrInvalid, id)
	}

	return nil
}
