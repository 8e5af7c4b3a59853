package demo

import (
	"fmt"

	"fulmarfall/ident"
)

// Service is one upstream of an organisation. Slots and Connections are the limits of each searcher.
type Service struct {
	Upstream    ident.UpstreamID
	Shards      int
	Replicas    int
	Slots       int
	Connections int
}

// Organisation is a user organisation with the size of its system.
type Organisation struct {
	Name     string
	Team     ident.TeamID
	Places   []Place
	Nodes    int
	Services []Service
}

// Kilimanjaro returns the organisation Kilimanjaro Optics Hire Ltd.
func Kilimanjaro() Organisation {
	return Organisation{
		Name: "Kilimanjaro Optics Hire", Team: "rangers", Nodes: 7,
		Places: []Place{{"dar", "pwani"}, {"arusha", "kaskazini"}, {"mwanza", "ziwa"}},
		Services: []Service{
			{Upstream: "counter-desk", Shards: 10, Replicas: 3, Slots: 2, Connections: 25},
			{Upstream: "calib-log", Shards: 15, Replicas: 3, Slots: 2, Connections: 25},
			{Upstream: "borrower-files", Shards: 3, Replicas: 3, Slots: 3, Connections: 100},
			{Upstream: "depot-dispatch", Shards: 2, Replicas: 2, Slots: 3, Connections: 100},
		},
	}
}

// Cluj returns the organisation Cluj Paper-Plane Utility.
func Cluj() Organisation {
	return Organisation{
		Name: "Cluj Paper-Plane Utility", Team: "inspectors", Nodes: 7,
		Places: []Place{{"cluj", "transilvania"}, {"ploiesti", "muntenia"}, {"iasi", "moldova"}}, //nolint:misspell // The name of the region.
		Services: []Service{
			{Upstream: "inspector-desk", Shards: 10, Replicas: 3, Slots: 2, Connections: 25},
			{Upstream: "school-templates", Shards: 15, Replicas: 3, Slots: 2, Connections: 25},
			{Upstream: "fair-gate", Shards: 3, Replicas: 3, Slots: 3, Connections: 40},
			{Upstream: "stock-ledger", Shards: 2, Replicas: 2, Slots: 3, Connections: 40},
		},
	}
}

// OrganisationNamed returns the organisation with the short name kilimanjaro or cluj.
func OrganisationNamed(name string) (Organisation, error) {
	switch name {
	case "kilimanjaro":
		return Kilimanjaro(), nil
	case "cluj":
		return Cluj(), nil
	default:
		return Organisation{}, fmt.Errorf("unknown organisation %q, want kilimanjaro or cluj", name)
	}
}

// shardName returns the id of the i-th shard, which all services use.
func shardName(i int) ident.ShardID { return ident.ShardID(fmt.Sprintf("shard-%02d", i)) }
