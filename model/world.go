package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fulmarfall/admission"
	"fulmarfall/ident"
	"fulmarfall/query"
	"fulmarfall/searcher"
)

// Delays that stand in for the control plane, which is not simulated.
const (
	// commitLatency is the time to commit a crash record or a key claim to the replicated log.
	commitLatency = 30 * time.Millisecond
	// renewalInterval is the interval at which nodes receive record changes.
	renewalInterval = 400 * time.Millisecond
	// configPropagation bounds the time until a record change is in force at every node (6.2).
	configPropagation = 2020 * time.Millisecond
	// coldReportInterval is the minimum interval between two reports of an owner on one searcher.
	coldReportInterval = time.Second
	// newWorkBound is the time after which a target that is out of service or leaving must receive no new work.
	newWorkBound = 4 * time.Second
)

// world is the state of one simulation run.
type world struct {
	*clock
	cfg       Experiment
	size      sizeSpec
	naive     bool
	disabled  map[Mechanism]bool
	nodes     []*node
	upstreams []*upstream
	searchers []*fakeSearcher
	byID      map[ident.SearcherID]*fakeSearcher
	stats     *collector

	// Injected faults.
	crashing   map[ident.Fingerprint]bool
	stragglers float64

	// Authoritative state of the records.
	version   int
	domainOut []bool
	outSince  []time.Time
	down      map[*fakeSearcher]bool // found unreachable
	cold      map[*fakeSearcher]bool // as reported by the owners
	coldAt    map[*fakeSearcher]time.Time
	standing  map[ident.Fingerprint]query.Standing
	claimed   map[string]bool

	requests   int
	freshCount uint64 // number of fresh fingerprints so far
}

// node is an entry node that also owns searchers.
type node struct {
	w            *world
	id           ident.NodeID
	index        int
	domain       int
	renewalPhase time.Duration // offset of the periodic renewals
	planner      *query.Planner
	admission    *admission.Controller
	gates        map[*fakeSearcher]*gate
	pools        map[*fakeSearcher]int // idle connections in the naive version

	// The node's replica of the records.
	version   int
	domainOut []bool
	catalog   map[ident.UpstreamID][]*query.Upstream
	standing  map[ident.Fingerprint]query.Standing
}

// upstream is one upstream with its searchers and snapshots.
type upstream struct {
	upstreamSpec
	replicaSets [][]*fakeSearcher // by shard
	snapshots   []*snapshotData
}

func newWorld(cfg Experiment, size sizeSpec) *world {
	w := &world{
		clock: newClock(cfg.Seed), cfg: cfg, size: size, naive: cfg.Version == Naive,
		disabled: make(map[Mechanism]bool), byID: make(map[ident.SearcherID]*fakeSearcher),
		crashing:   make(map[ident.Fingerprint]bool),
		stragglers: size.stragglers,
		domainOut:  make([]bool, len(size.domains)), outSince: make([]time.Time, len(size.domains)),
		down: make(map[*fakeSearcher]bool), cold: make(map[*fakeSearcher]bool), coldAt: make(map[*fakeSearcher]time.Time), standing: make(map[ident.Fingerprint]query.Standing),
		claimed: make(map[string]bool),
	}
	for _, m := range cfg.Without {
		w.disabled[m] = true
	}
	w.stats = newCollector(w)
	for i := range size.nodes {
		w.nodes = append(w.nodes, w.newNode(i))
	}
	for _, spec := range size.upstreams {
		w.addUpstream(spec)
	}
	if w.naive {
		return w
	}
	w.version++
	for _, n := range w.nodes {
		w.applyRecords(n, w.version, slices.Clone(w.domainOut), w.buildCatalog())
		n.markProven()
	}

	return w
}

func (w *world) newNode(i int) *node {
	d := i % len(w.size.domains)
	var limits []admission.Option
	if w.cfg.NodeCapacity > 0 {
		limits = append(limits, admission.WithCapacity(w.cfg.NodeCapacity))
	}
	n := &node{
		w: w, id: ident.NodeID(fmt.Sprintf("n%d", i)), index: i, domain: d, renewalPhase: w.between(0, renewalInterval),
		admission: admission.New(limits...), gates: make(map[*fakeSearcher]*gate), pools: make(map[*fakeSearcher]int),
		standing: make(map[ident.Fingerprint]query.Standing),
	}
	opts := []query.Option{
		query.WithNode(n.id, w.size.domains[d].name, w.size.domains[d].region),
		query.WithRandom(rand.NewPCG(w.cfg.Seed, uint64(i)+2)),
		query.WithHopTimes(query.HopTimes{Near: linkLatency, Region: w.size.domainLatency, Far: w.size.regionLatency}),
	}
	if w.disabled[Hedging] {
		opts = append(opts, query.WithHedgeQuantile(1))
	}
	if w.disabled[Budget] {
		opts = append(opts, query.WithBudget(1, 1<<30))
	}
	if w.disabled[EarlyPartial] {
		opts = append(opts, query.WithMargin(0))
	}
	n.planner = query.NewPlanner(opts...)

	return n
}

func (w *world) gateOptions() []searcher.Option {
	var opts []searcher.Option
	for m, opt := range map[Mechanism]searcher.Option{
		ColdGate: searcher.WithoutColdGate(), DeadlineQueue: searcher.WithoutDeadlineQueue(),
		EarlyRefusal: searcher.WithoutEarlyRefusal(), WarmConnections: searcher.WithoutWarmConnections(),
	} {
		if w.disabled[m] {
			opts = append(opts, opt)
		}
	}

	return opts
}

func (w *world) addUpstream(spec upstreamSpec) {
	spec.rate *= w.cfg.loadFactor()
	u := &upstream{upstreamSpec: spec}
	domains := len(w.size.domains)
	for i := range spec.shards {
		var set []*fakeSearcher
		for r := range spec.replicas {
			s := &fakeSearcher{
				w: w, id: ident.SearcherID(fmt.Sprintf("%s-%d-%d", spec.name, i, r)), up: u, shard: i,
				domain: (i*spec.replicas + r) % domains, alive: true, incarnation: 1, slow: 1,
				snapshots: []ident.SnapshotID{1}, answered: coldRuns,
			}
			set = append(set, s)
			w.searchers = append(w.searchers, s)
			w.byID[s.id] = s
		}
		u.replicaSets = append(u.replicaSets, set)
	}
	u.snapshots = append(u.snapshots, newSnapshotData(1, u, false))
	w.upstreams = append(w.upstreams, u)

	if w.naive {
		return
	}
	perDomain := make([][]*node, domains)
	for _, n := range w.nodes {
		perDomain[n.domain] = append(perDomain[n.domain], n)
	}
	for i, set := range u.replicaSets {
		for _, s := range set {
			owners := perDomain[s.domain]
			s.owner = owners[i%len(owners)]
			s.owner.gates[s] = newGate(w, s.owner, s, w.gateOptions())
			w.after(w.between(0, time.Second), s.heartbeat)
		}
	}
}

// hop returns the one-way latency between two nodes.
func (w *world) hop(a, b *node) time.Duration {
	if a == b {
		return 0
	}

	return w.size.latency(a.domain, b.domain)
}

// propagate applies the current state of the records at every node within the bound.
func (w *world) propagate(bound time.Duration) {
	if w.naive {
		return
	}
	w.version++
	version, out, catalog := w.version, slices.Clone(w.domainOut), w.buildCatalog()
	for _, n := range w.nodes {
		apply := func() { w.applyRecords(n, version, out, catalog) }
		if bound > renewalInterval+commitLatency {
			w.after(commitLatency+w.between(0, bound-commitLatency), apply)
			continue
		}
		n.atNextRenewal(apply)
	}
}

// atNextRenewal schedules fn for the first renewal of the node after the commit, so that the node applies changes in
// log order.
func (n *node) atNextRenewal(fn func()) {
	committed := n.w.now.Add(commitLatency)
	intervals := committed.Sub(epoch.Add(n.renewalPhase))/renewalInterval + 1
	n.w.at(epoch.Add(n.renewalPhase+intervals*renewalInterval), fn)
}

func (w *world) applyRecords(n *node, version int, out []bool, catalog map[ident.UpstreamID][]*query.Upstream) {
	if version <= n.version {
		return
	}
	n.version, n.catalog = version, catalog
	before := n.domainOut
	n.domainOut = out
	if before == nil || slices.Equal(before, out) {
		return
	}
	for _, s := range w.searchers {
		g := n.gates[s]
		switch {
		case g == nil || before[s.domain] == out[s.domain]:
		case out[s.domain]:
			g.apply(g.core.Close(w.now, ident.ReasonOutOfService))
		default:
			g.apply(g.core.SetOpen(w.now, true))
		}
	}
}

// buildCatalog returns the catalog that nodes use. With ReplicaChoice disabled, it has variants with one random
// usable replica per shard, and each look-up picks one of them.
func (w *world) buildCatalog() map[ident.UpstreamID][]*query.Upstream {
	c := make(map[ident.UpstreamID][]*query.Upstream)
	for _, u := range w.upstreams {
		full := &query.Upstream{}
		for _, d := range u.snapshots {
			s := query.Snapshot{ID: d.id}
			for _, sh := range d.shards {
				out := query.Shard{ID: sh.id, Documents: sh.documents}
				for _, f := range u.replicaSets[sh.base] {
					if !f.hasSnapshot(d.id) {
						continue
					}
					dom := w.size.domains[f.domain]
					out.Replicas = append(out.Replicas, query.Replica{
						Searcher: f.id, FailureDomain: dom.name, Region: dom.region, Owner: f.owner.id,
						Usable: !w.domainOut[f.domain] && !f.leaving && !w.down[f], OwnerCold: w.cold[f],
					})
				}
				s.Shards = append(s.Shards, out)
			}
			full.Snapshots = append(full.Snapshots, s)
		}
		c[u.name] = []*query.Upstream{full}
		if w.disabled[ReplicaChoice] {
			c[u.name] = w.randomVariants(full)
		}
	}

	return c
}

func (w *world) randomVariants(full *query.Upstream) []*query.Upstream {
	const variants = 64
	var out []*query.Upstream
	for range variants {
		v := &query.Upstream{}
		for _, s := range full.Snapshots {
			s.Shards = slices.Clone(s.Shards)
			for i, sh := range s.Shards {
				var usable []query.Replica
				for _, r := range sh.Replicas {
					if r.Usable {
						usable = append(usable, r)
					}
				}
				if len(usable) > 1 {
					k := w.rand.IntN(len(usable))
					s.Shards[i].Replicas = usable[k : k+1]
				}
			}
			v.Snapshots = append(v.Snapshots, s)
		}
		out = append(out, v)
	}

	return out
}

// markUnreachable removes a searcher from the catalog until it announces itself again.
func (w *world) markUnreachable(s *fakeSearcher) {
	if !w.down[s] {
		w.down[s] = true
		w.propagate(renewalInterval + commitLatency)
	}
}

func (n *node) handleAnnouncement(s *fakeSearcher, a searcher.Announcement) {
	if n.w.down[s] {
		delete(n.w.down, s)
		n.w.propagate(renewalInterval + commitLatency)
	}
	g := n.gates[s]
	g.apply(g.core.Announce(n.w.now, a))
}

// reportCold records that the gate of a searcher has become cold or warm, at most once per coldReportInterval.
func (w *world) reportCold(s *fakeSearcher, cold bool) {
	if w.cold[s] == cold || w.now.Sub(w.coldAt[s]) < coldReportInterval {
		return
	}
	w.cold[s], w.coldAt[s] = cold, w.now
	w.propagate(renewalInterval + commitLatency)
}

// recordCrash records a crash against a fingerprint. The owner notifies every node directly; the committed record
// reaches each of them at its next renewal.
func (w *world) recordCrash(owner *node, f ident.Fingerprint, exclusive bool) {
	st := query.StandingSuspected
	if exclusive {
		st = query.StandingConvicted
	}
	for _, n := range w.nodes {
		w.after(w.size.latency(owner.domain, n.domain), func() { n.standing[f] = max(n.standing[f], st) })
	}
	if w.standing[f] < st {
		w.setStanding(f, st)
	}
}

func (w *world) clearSuspicion(f ident.Fingerprint) {
	if w.standing[f] == query.StandingSuspected {
		w.setStanding(f, query.StandingNone)
	}
}

func (w *world) setStanding(f ident.Fingerprint, st query.Standing) {
	w.standing[f] = st
	for _, n := range w.nodes {
		n.atNextRenewal(func() { n.standing[f] = st })
	}
}
