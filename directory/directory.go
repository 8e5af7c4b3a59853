// Package directory decides which entry VMs a caller should use. There is no load balancer in front of the system:
// callers request addresses, cache the answer for a few seconds and connect to those addresses themselves.
package directory

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fulmarfall/ident"

	"github.com/cespare/xxhash/v2"
)

// Defaults of the options.
const (
	// DefaultKeepSeconds is how long a caller caches an answer. A leaving node continues to serve for this time after
	// it has been removed from the answers.
	DefaultKeepSeconds = 5
	// shortKeepTime is how long callers cache an answer where they may ask more often. With a shorter time, callers
	// leave a failed entry VM sooner; with a longer time, they spend fewer round trips on asking.
	shortKeepTime = 3 * time.Second
	// DefaultMaxAddresses limits the length of an answer: a full list of 480 nodes would take 10 KB.
	DefaultMaxAddresses = 16
	// DefaultRamp is the duration of the slow start in which the weight of a returning node rises to its full value.
	DefaultRamp = 30 * time.Second
)

const (
	// emptyKeepSeconds is how long a caller waits after an empty answer before it asks again.
	emptyKeepSeconds = 1
	// minRampWeight is the weight of a node that has just returned, and minSpareWeight that of a full node. Neither is
	// 0, because a load report may be outdated and callers need an address even if every node is full or has just
	// started.
	minRampWeight  = 0.05
	minSpareWeight = 0.05
)

// Node is an entry VM in the view of the answering node.
type Node struct {
	ID            ident.NodeID
	Address       string
	FailureDomain ident.FailureDomain
	// InService is false if the node has no lease or its failure domain is out of service.
	InService bool
	// Leaving is true from the start of the node's graceful shutdown.
	Leaving bool
	// Isolated is true while the node reaches no searcher, and Limited while it can open no new connections to searchers.
	Isolated, Limited bool
	// Since is when the node entered or re-entered service; zero means longer ago than the ramp.
	Since time.Time
	// Load is the fraction of the node's capacity in use, from 0 to 1; NaN counts as 1.
	Load float64
}

// Answer is the list of addresses that a caller receives.
type Answer struct {
	// Addresses are in the order in which the caller should try them. An empty list means that no entry VM is known to
	// be in service: the caller continues with its previous addresses and asks again after KeepSeconds.
	Addresses   []string
	KeepSeconds int
}

// Directory selects and orders the addresses for callers. It is safe for concurrent use.
type Directory struct {
	mu           sync.Mutex
	rnd          *rand.Rand
	keepSeconds  int
	maxAddresses int
	ramp         time.Duration
}

// Option configures a Directory in New.
type Option func(*Directory)

// WithKeepSeconds sets how long callers cache an answer, at least 1 s.
func WithKeepSeconds(s int) Option { return func(d *Directory) { d.keepSeconds = max(s, 1) } }

// WithMaxTTL makes callers cache an answer for 3 s, or for the bound if that is shorter; 0 means no bound.
func WithMaxTTL(bound time.Duration) Option {
	if bound <= 0 {
		bound = shortKeepTime
	}

	return WithKeepSeconds(int(min(shortKeepTime, bound) / time.Second))
}

// WithMaxAddresses limits the number of addresses in an answer.
func WithMaxAddresses(n int) Option { return func(d *Directory) { d.maxAddresses = max(n, 1) } }

// WithRandom sets the random source of the order for callers without a name.
func WithRandom(src rand.Source) Option { return func(d *Directory) { d.rnd = rand.New(src) } }

// New returns a Directory with the given options applied to the defaults.
func New(opts ...Option) *Directory {
	d := &Directory{
		rnd: rand.New(rand.NewPCG(1, 1)), keepSeconds: DefaultKeepSeconds, maxAddresses: DefaultMaxAddresses, ramp: DefaultRamp,
	}
	for _, opt := range opts {
		opt(d)
	}

	return d
}

// KeepSeconds returns how long callers cache an answer and a leaving node must therefore continue to serve.
func (d *Directory) KeepSeconds() int { return d.keepSeconds }

type ranked struct {
	node *Node
	rank float64
}

// Answer returns the addresses for a caller. The order is a weighted rendezvous hash of caller and node: each caller
// has its own order, a node comes first for a share of the callers proportional to its weight, and a caller's order
// changes only where weights change, so that it can keep its connections. A caller without a name gets a random order.
func (d *Directory) Answer(now time.Time, caller string, nodes []Node) Answer {
	seed := xxhash.Sum64String(caller)
	if caller == "" {
		d.mu.Lock()
		seed = d.rnd.Uint64()
		d.mu.Unlock()
	}
	list := make([]ranked, 0, len(nodes))
	for i := range nodes {
		n := &nodes[i]
		if !n.InService || n.Leaving || n.Address == "" {
			continue
		}
		u := (float64(mix(seed^xxhash.Sum64String(string(n.ID)))>>11) + 0.5) / (1 << 53)
		list = append(list, ranked{node: n, rank: -math.Log(u) / d.weight(now, n)})
	}
	if len(list) == 0 {
		return Answer{Addresses: []string{}, KeepSeconds: emptyKeepSeconds}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.node.ID, b.node.ID))
	})
	list = d.trim(list)
	addresses := make([]string, len(list))
	for i := range list {
		addresses[i] = list[i].node.Address
	}

	return Answer{Addresses: addresses, KeepSeconds: d.keepSeconds}
}

func (d *Directory) weight(now time.Time, n *Node) float64 {
	w := 1.0
	if age := now.Sub(n.Since); !n.Since.IsZero() && age < d.ramp {
		w = max(float64(age)/float64(d.ramp), minRampWeight)
	}
	load := n.Load
	if math.IsNaN(load) {
		load = 1
	}

	return w * min(max(1-load, minSpareWeight), 1)
}

// trim shortens the list to the maximum length. If all remaining addresses are in one failure domain and there is
// another one, it replaces the last address, so that every caller has an address after the loss of a failure domain.
func (d *Directory) trim(list []ranked) []ranked {
	if len(list) <= d.maxAddresses {
		return list
	}
	kept, rest := list[:d.maxAddresses], list[d.maxAddresses:]
	domain := kept[0].node.FailureDomain
	otherDomain := func(r ranked) bool { return r.node.FailureDomain != domain }
	if d.maxAddresses > 1 && !slices.ContainsFunc(kept, otherDomain) {
		if i := slices.IndexFunc(rest, otherDomain); i >= 0 {
			kept[len(kept)-1] = rest[i]
		}
	}

	return kept
}

// mix is the finaliser of MurmurHash3. It spreads the difference of two hashes over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53

	return x ^ x>>33
}
