package directory

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"fulmarfall/ident"

	"github.com/cespare/xxhash/v2"
)

// Advice assigns entry VMs to the callers of each failure domain. It is computed where all entry VMs are known and used
// wherever callers ask.
type Advice struct {
	// Version is a hash of Domains, so that control VMs with the same view compute the same version. 0 means that there
	// is no advice.
	Version uint64
	Domains []DomainAdvice // sorted by failure domain
	// Peers are entry VMs that serve requests for others that reach no searcher.
	Peers []Peer // sorted by node ID
}

// Peer is an entry VM that reaches searchers.
type Peer struct {
	Node          ident.NodeID
	FailureDomain ident.FailureDomain
}

// DomainAdvice is the part of an Advice for the callers in one failure domain.
type DomainAdvice struct {
	FailureDomain ident.FailureDomain
	Addresses     []string // sorted
	// Standby is the entry VM that is assigned next when the load grows. It opens its connections in advance: the first
	// searches would otherwise open one to each shard, which takes too long for short latency targets.
	Standby string
}

// Advise returns the addresses for the callers of all failure domains in the topology. It applies hysteresis: a former list
// with one node more than the load needs is kept, because a load close to a threshold would otherwise change the list several
// times a second.
func Advise(nodes []Node, topology *Topology, former Advice) Advice {
	var (
		a Advice
		h = xxhash.New()
	)

	add := func(s string) {
		// The separator distinguishes lists whose concatenations are equal. Writing to a hash does not fail.
		_, _ = h.WriteString(s)
		_, _ = h.WriteString("\x00")
	}

	all := nodes
	nodes = withoutLimited(withoutIsolated(nodes), topology)

	for domain, region := range topology.Regions {
		d := DomainAdvice{FailureDomain: domain}

		nearest := NearestNodes(nodes, domain, region, topology)

		for _, n := range NodesForLoad(nearest) {
			d.Addresses = append(d.Addresses, n.Address)
		}

		slices.Sort(d.Addresses)

		if old := former.lookup(domain); old != nil && withinHysteresis(old.Addresses, d.Addresses, nearest) {
			d.Addresses = old.Addresses
		}

		d.Standby = standby(nearest, d.Addresses)

		a.Domains = append(a.Domains, d)
	}

	slices.SortFunc(a.Domains, func(x, y DomainAdvice) int { return cmp.Compare(x.FailureDomain, y.FailureDomain) })

	for i := range a.Domains {
		add(string(a.Domains[i].FailureDomain))

		for _, address := range a.Domains[i].Addresses {
			add(address)
		}

		add("")
		add(a.Domains[i].Standby)
	}

	a.Peers = peersIn(all, a.Domains)
	for _, p := range a.Peers {
		add(string(p.Node))
	}

	a.Version = max(h.Sum64(), 1)

	return a
}

// withoutIsolated returns the nodes that reach searchers, or all nodes if none does: the searchers are then down, or no node
// can serve callers.
func withoutIsolated(nodes []Node) []Node {
	list := slices.DeleteFunc(slices.Clone(nodes), func(n Node) bool { return n.Isolated })
	if !slices.ContainsFunc(list, func(n Node) bool { return usable(&n) }) {
		return nodes
	}

	return list
}

// withoutLimited returns the nodes that can open connections to searchers, and in regions without any the others: callers
// are better served over the connections that those have left than from another region.
func withoutLimited(nodes []Node, topology *Topology) []Node {
	regions := map[ident.Region]bool{}

	for i := range nodes {
		if n := &nodes[i]; usable(n) && !n.Limited {
			regions[topology.Regions[n.FailureDomain]] = true
		}
	}

	return slices.DeleteFunc(slices.Clone(nodes), func(n Node) bool { return n.Limited && regions[topology.Regions[n.FailureDomain]] })
}

// peersIn returns the nodes that the advice names and that can open connections to searchers, or if there are none, such nodes
// that are leaving: those serve until shortly before they stop.
func peersIn(nodes []Node, domains []DomainAdvice) []Peer {
	named := map[string]bool{}

	for i := range domains {
		for _, address := range domains[i].Addresses {
			named[address] = true
		}
	}

	list := peersAmong(nodes, func(n *Node) bool { return usable(n) && named[n.Address] })
	if len(list) == 0 {
		list = peersAmong(nodes, func(n *Node) bool { return n.Leaving })
	}

	return list
}

func peersAmong(nodes []Node, eligible func(*Node) bool) []Peer {
	var list []Peer

	for i := range nodes {
		if n := &nodes[i]; !n.Isolated && !n.Limited && eligible(n) {
			list = append(list, Peer{Node: n.ID, FailureDomain: n.FailureDomain})
		}
	}

	slices.SortFunc(list, func(x, y Peer) int { return cmp.Compare(x.Node, y.Node) })

	return list
}

// lookup returns the advice for a failure domain, or nil.
func (a *Advice) lookup(domain ident.FailureDomain) *DomainAdvice {
	i, ok := slices.BinarySearchFunc(a.Domains, domain, func(d DomainAdvice, f ident.FailureDomain) int {
		return cmp.Compare(d.FailureDomain, f)
	})
	if !ok {
		return nil
	}

	return &a.Domains[i]
}

// withinHysteresis reports whether the former addresses are the needed ones and one more, all still usable and not full.
func withinHysteresis(former, needed []string, nearest []Node) bool {
	if len(former) != len(needed)+1 {
		return false
	}

	for _, address := range needed {
		if !slices.Contains(former, address) {
			return false
		}
	}

	for _, address := range former {
		if !slices.ContainsFunc(nearest, func(n Node) bool { return n.Address == address && usable(&n) && !full(n) }) {
			return false
		}
	}

	return true
}

// Adviser answers callers from the latest advice that it received, however old. Advice becomes outdated for example while
// the control VMs have no leader; callers skip addresses that fail, but cannot be served without any address. It is safe
// for concurrent use.
type Adviser struct {
	directory *Directory
	regions   map[ident.FailureDomain]ident.Region

	mu     sync.Mutex
	advice Advice
	// assigned contains the addresses in the advice, including the standbys.
	assigned map[string]bool
}

// NewAdviser returns an Adviser without advice. The regions of the failure domains decide which advice a caller of an
// unknown failure domain gets. The options apply to the underlying Directory.
func NewAdviser(regions map[ident.FailureDomain]ident.Region, opts ...Option) *Adviser {
	return &Adviser{directory: New(opts...), regions: regions}
}

// Advice returns the current advice, which must not be modified.
func (a *Adviser) Advice() Advice {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.advice
}

// Renew replaces the current advice and reports whether it changed. Advice without domains is ignored: its sender either
// has the same version or has no advice itself.
func (a *Adviser) Renew(advice Advice) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	if advice.Version == 0 || advice.Version == a.advice.Version || len(advice.Domains) == 0 {
		return false
	}

	a.advice = advice
	a.assigned = map[string]bool{}

	for i := range advice.Domains {
		a.assigned[advice.Domains[i].Standby] = true

		for _, address := range advice.Domains[i].Addresses {
			a.assigned[address] = true
		}
	}

	return true
}

// Wants reports whether callers are sent to an address, or will be when the load grows because it is a standby.
func (a *Adviser) Wants(address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return address != "" && a.assigned[address]
}

// Answer returns the addresses for a caller. The list is empty before the first advice.
func (a *Adviser) Answer(now time.Time, domain ident.FailureDomain, region ident.Region) Answer {
	a.mu.Lock()
	defer a.mu.Unlock()

	var nodes []Node
	if d := a.advice.lookupOrRegion(domain, region, a.regions); d != nil {
		for _, address := range d.Addresses {
			nodes = append(nodes, Node{ID: ident.NodeID(address), Address: address, InService: true})
		}
	}

	return a.directory.Answer(now, "", nodes)
}

// lookupOrRegion returns the advice for a failure domain, for another one of the region if there is none, or nil.
func (a *Advice) lookupOrRegion(domain ident.FailureDomain, region ident.Region, regions map[ident.FailureDomain]ident.Region) *DomainAdvice {
	if d := a.lookup(domain); d != nil {
		return d
	}

	for i := range a.Domains {
		if regions[a.Domains[i].FailureDomain] == region {
			return &a.Domains[i]
		}
	}

	return nil
}
