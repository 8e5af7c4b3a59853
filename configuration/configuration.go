// Package configuration holds what operators configure as one versioned document: routes, the upstreams that they lead
// to, and limits for callers. The document travels and is stored as the operator sent it, but compressed; each process
// decodes it once for each version.
package configuration

import (
	"fmt"
	"strings"
	"time"

	"fulmarfall/ident"

	"github.com/go-faster/errors"
)

// Version numbers the documents. The highest one is in force.
type Version uint64

// Document is a version of the document.
type Document struct {
	Version Version
	Content Packed
}

// Offer takes a document if its version is higher than the one held, and reports whether it did. An offer of a version
// that is held or has been passed changes nothing, whatever its content, so that a resend is harmless.
func (d *Document) Offer(v Version, content Packed) bool {
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
}

// Upstream is what the operator says of an upstream; its searchers announce themselves.
type Upstream struct {
	ID ident.UpstreamID
	// MaxConnections is what one searcher accepts from all nodes together; 0 means that no limit is stated.
	MaxConnections int
	// ColdPerSecond is the rate that a cold searcher bears from all nodes together; 0 means that no limit is stated.
	ColdPerSecond float64
}

// Limits bound what a caller may send, and for how long its connection may be idle.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Part is one of the upstreams among which a route splits its requests.
type Part struct {
	Upstream ident.UpstreamID
	Weight   float64
}

// Route says where the requests of a host and a path prefix go. Either Parts or Shards is set.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once. Others run at most once for each request of a caller.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting, Target the time within which an answer has its full
	// worth to the caller; 0 means that none is stated.
	Timeout time.Duration
	Target  time.Duration
	// Rank orders routes when not all requests can be served; 0 goes first.
	Rank int
	// Parts are the upstreams of a request that one searcher answers.
	Parts []Part
	// Shards are the upstreams of a request that a searcher of each of them answers.
	Shards []ident.UpstreamID
	// MaxAttempts bounds the searchers that may run one request, for each shard; 0 means no bound.
	MaxAttempts int
	// Limit is the number of records in the merged answer, MinCoverage the share of shards that it needs at least.
	Limit       int
	MinCoverage float64
	// Regions are those whose searchers may serve the route; empty means all.
	Regions []ident.Region
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

// ErrInvalid is wrapped by the faults that Validate finds.
var ErrInvalid = errors.New("configuration is invalid")

type place struct{ host, prefix string }

// Validate reports the first fault of a document. A document with a fault is never stored.
func (c *Configuration) Validate() error {
	if c.Version == 0 {
		return errors.Wrap(ErrInvalid, "version is missing")
	}

	taken := make(map[place]string, len(c.Routes))

	for i := range c.Routes {
		r := &c.Routes[i]

		if err := c.validateRoute(r); err != nil {
			return errors.Wrapf(err, "route %q", r.Name)
		}

		at := place{host: r.Host, prefix: r.Prefix}
		if other, ok := taken[at]; ok {
			return errors.Wrapf(ErrInvalid, "routes %q and %q have the same host and prefix", other, r.Name)
		}

		taken[at] = r.Name
	}

	return nil
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
		if err := c.known(p.Upstream); err != nil {
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
		if err := c.known(id); err != nil {
			return err
		}

		if seen[id] {
			return errors.Wrapf(ErrInvalid, "shard %q is named twice", id)
		}

		seen[id] = true
	}

	return nil
}

func (c *Configuration) known(id ident.UpstreamID) error {
	if _, ok := c.Upstreams[id]; !ok {
		return fmt.Errorf("%w: upstream %q is not defined", ErrInvalid, id)
	}

	return nil
}
