package entry

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/ident"
	"fulmarfall/searcher"
	"fulmarfall/wire"
)

// Guards against regions without entry VMs for which a node has no share of the request limits, and against a node that takes
// the whole limits for itself because its control VM does not send the loads by region.
func TestLoadsByRegion(t *testing.T) {
	n := &Node{cfg: Config{Region: "pwani", Regions: map[ident.FailureDomain]ident.Region{"dar": "pwani", "arusha": "kaskazini", "mwanza": "ziwa"}}}

	for name, tc := range map[string]struct {
		followed wire.Followed
		want     map[ident.Region]searcher.RegionLoad
	}{
		"by region": {
			wire.Followed{EntryVMs: 5, EntryLoad: 70, RegionLoads: []wire.RegionLoad{{Region: "pwani", VMs: 2, Load: 30}, {Region: "ziwa", VMs: 3, Load: 40}}},
			map[ident.Region]searcher.RegionLoad{"pwani": {Nodes: 2, Load: 30}, "kaskazini": {}, "ziwa": {Nodes: 3, Load: 40}},
		},
		"sum only": {
			wire.Followed{EntryVMs: 5, EntryLoad: 70},
			map[ident.Region]searcher.RegionLoad{"pwani": {Nodes: 5, Load: 70}, "kaskazini": {}, "ziwa": {}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, n.loadsByRegion(&tc.followed)); diff != "" {
				t.Errorf("loads differ (-want +got):\n%s", diff)
			}
		})
	}
}
