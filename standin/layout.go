package standin

import (
	"fmt"
	"time"

	"fulmarfall/ident"
)

// Place is a failure domain with its region.
type Place struct {
	FailureDomain ident.FailureDomain
	Region        ident.Region
}

// Layout describes the searchers of one upstream: each shard has Replicas searchers, spread over the places.
type Layout struct {
	Upstream     ident.UpstreamID
	Shards       int
	Replicas     int
	Slots        int
	Connections  int
	ConnectDelay time.Duration
}

// Organisation describes the upstreams of one user organisation.
type Organisation struct {
	Places  []Place
	Layouts []Layout
}

// Kilimanjaro returns the organisation of that name, with the sizes on the design page.
func Kilimanjaro() Organisation {
	return Organisation{
		Places: []Place{
			{FailureDomain: "dar", Region: "pwani"},
			{FailureDomain: "arusha", Region: "kaskazini"},
			{FailureDomain: "mwanza", Region: "ziwa"},
		},
		Layouts: []Layout{
			{Upstream: "counter-desk", Shards: 10, Replicas: 3, Slots: 2, Connections: 25, ConnectDelay: 6 * time.Millisecond},
			{Upstream: "calib-log", Shards: 15, Replicas: 3, Slots: 2, Connections: 25, ConnectDelay: 6 * time.Millisecond},
			{Upstream: "borrower-files", Shards: 3, Replicas: 3, Slots: 3, Connections: 100, ConnectDelay: time.Millisecond},
			{Upstream: "depot-dispatch", Shards: 2, Replicas: 2, Slots: 3, Connections: 100, ConnectDelay: time.Millisecond},
		},
	}
}

// Cluj returns the organisation of that name, with the sizes on the design page.
func Cluj() Organisation {
	return Organisation{
		Places: []Place{
			{FailureDomain: "cluj", Region: "transilvania"}, //nolint:misspell // the Romanian name
			{FailureDomain: "ploiesti", Region: "muntenia"},
			{FailureDomain: "iasi", Region: "moldova"},
		},
		Layouts: []Layout{
			{Upstream: "inspector-desk", Shards: 10, Replicas: 3, Slots: 2, Connections: 25, ConnectDelay: 6 * time.Millisecond},
			{Upstream: "school-templates", Shards: 15, Replicas: 3, Slots: 2, Connections: 25, ConnectDelay: 6 * time.Millisecond},
			{Upstream: "fair-gate", Shards: 3, Replicas: 3, Slots: 3, Connections: 40, ConnectDelay: time.Millisecond},
			{Upstream: "stock-ledger", Shards: 2, Replicas: 2, Slots: 3, Connections: 40, ConnectDelay: time.Millisecond},
		},
	}
}

// ShardIDs lists the shards of the first snapshot.
func (l Layout) ShardIDs() []ident.ShardID {
	ids := make([]ident.ShardID, l.Shards)
	for i := range ids {
		ids[i] = ident.ShardID(fmt.Sprintf("s%02d", i))
	}

	return ids
}

// Configs returns the configurations of the searchers, each with one shard of snapshot 1 and a port of 127.0.0.1
// chosen by the system. The caller fills in nodes and keys.
func (l Layout) Configs(seed uint64, places []Place) []Config {
	shards := l.ShardIDs()

	var configs []Config

	for i, shard := range shards {
		for r := range l.Replicas {
			// Offsetting the first replica by the shard makes two replicas use all places.
			place := places[(i+r)%len(places)]
			configs = append(configs, Config{
				Data:     Dataset{Seed: seed, Upstream: l.Upstream},
				Searcher: ident.SearcherID(fmt.Sprintf("%s-%s-%s", l.Upstream, shard, place.FailureDomain)),
				Address:  "127.0.0.1:0", FailureDomain: place.FailureDomain, Region: place.Region,
				Slots: l.Slots, Connections: l.Connections, ConnectDelay: l.ConnectDelay,
				Holdings: []Holding{{Snapshot: 1, Shards: shards, Held: []ident.ShardID{shard}}},
			})
		}
	}

	return configs
}
