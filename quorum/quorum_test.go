package quorum

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/consensus"
	"fulmarfall/ident"
)

func member(id string, disk consensus.DiskID, learner bool) consensus.Member {
	return consensus.Member{ID: ident.NodeID(id), Disk: disk, Learner: learner}
}

func seen(id string, disk consensus.DiskID, age time.Duration) AnnouncedVM {
	return AnnouncedVM{ID: ident.NodeID(id), Disk: disk, Age: age}
}

// Guards against a voter set that does not repair itself, and against one that shrinks too far to tolerate the
// configured losses: two disks of five can hold the only copies of a committed entry.
func TestPlan(t *testing.T) {
	three := []consensus.Member{member("a", 1, false), member("b", 2, false), member("c", 3, false)}
	four := append(append([]consensus.Member{}, three...), member("d", 4, false))

	for name, tc := range map[string]struct {
		members   []consensus.Member
		seen      []AnnouncedVM
		tolerated int
		want      Change
	}{
		"all voters are running": {
			three, []AnnouncedVM{seen("a", 1, 0), seen("b", 2, 0), seen("c", 3, 0)}, 1, nil,
		},
		"a lost voter without a successor is kept": {
			three, []AnnouncedVM{seen("a", 1, 0), seen("b", 2, 0), seen("c", 3, time.Minute)}, 1, nil,
		},
		"a VM with an empty disk is added as a learner": {
			three, []AnnouncedVM{seen("a", 1, 0), seen("b", 2, 0), seen("d", 4, 0)}, 1, Add{Member: member("d", 4, true)},
		},
		"a VM with an old announcement is not added": {
			three, []AnnouncedVM{seen("a", 1, 0), seen("b", 2, 0), seen("d", 4, time.Minute)}, 1, nil,
		},
		"a learner becomes a voter": {
			append(append([]consensus.Member{}, three...), member("d", 4, true)),
			[]AnnouncedVM{seen("a", 1, 0), seen("b", 2, 0), seen("d", 4, 0)},
			1,
			Promote{ID: "d"},
		},
		"a lost voter is removed once enough voters remain": {
			four, []AnnouncedVM{seen("a", 1, 0), seen("b", 2, 0), seen("d", 4, 0)}, 1, Remove{ID: "c"},
		},
		"a lost voter is kept if two losses must be tolerated": {
			four, []AnnouncedVM{seen("a", 1, 0), seen("b", 2, 0), seen("d", 4, 0)}, 2, nil,
		},
		"a voter with another disk is replaced": {
			three, []AnnouncedVM{seen("a", 1, 0), seen("b", 9, 0), seen("c", 3, 0)}, 1, Add{Member: member("b", 9, true)},
		},
		"a lost learner is removed": {
			append(append([]consensus.Member{}, three...), member("d", 4, true)),
			[]AnnouncedVM{seen("a", 1, 0), seen("b", 2, 0), seen("c", 3, 0)},
			1,
			Remove{ID: "d"},
		},
		"the leader never removes itself": {
			four, []AnnouncedVM{seen("b", 2, 0), seen("c", 3, 0), seen("d", 4, 0)}, 1, nil,
		},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, Plan("a", tc.members, tc.seen, tc.tolerated)); diff != "" {
				t.Errorf("change differs (-want +got):\n%s", diff)
			}
		})
	}
}
