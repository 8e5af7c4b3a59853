package membership

import (
	"testing"
	"time"

	"fulmarfall/ident"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1000, 0)

// sync brings a copy up to date as a renewal does, and returns how many members travelled.
func sync(c *Copy, t *Table, now time.Time) int {
	list, v, _ := t.Since(c.Version())
	c.Update(now, list, v)

	return len(list)
}

func names(c *Copy) map[ident.NodeID]bool {
	all := make(map[ident.NodeID]bool)
	c.Each(func(m Member, _ time.Time) { all[m.Node] = m.Leaving })

	return all
}

// Guards against a copy that misses a change, and against changes that travel without need: at 480
// nodes each of them is sent 480 times.
func TestOnlyChangesTravel(t *testing.T) {
	table, c := NewTable(1), NewCopy()
	holds := map[ident.NodeID]bool{"a": true, "b": true}
	steps := []struct {
		name   string
		do     func()
		travel int
		want   map[ident.NodeID]bool
	}{
		{"first renewals", func() {
			table.Renewed(start, Member{Node: "a"})
			table.Renewed(start, Member{Node: "b", Applied: 1})
		}, 2, map[ident.NodeID]bool{"a": false, "b": false}},
		{"renewal without a change", func() { table.Renewed(start, Member{Node: "b", Applied: 2}) }, 0, map[ident.NodeID]bool{"a": false, "b": false}},
		{"small change of load", func() { table.Renewed(start.Add(loadEvery), Member{Node: "b", LoadPercent: loadStep - 1}) }, 0, map[ident.NodeID]bool{"a": false, "b": false}},
		{"large change of load too soon", func() { table.Renewed(start.Add(loadEvery-1), Member{Node: "b", LoadPercent: 90}) }, 0, map[ident.NodeID]bool{"a": false, "b": false}},
		{"large change of load", func() { table.Renewed(start.Add(loadEvery), Member{Node: "b", LoadPercent: 90}) }, 1, map[ident.NodeID]bool{"a": false, "b": false}},
		{"leaving", func() { table.Renewed(start, Member{Node: "a", Leaving: true}) }, 1, map[ident.NodeID]bool{"a": true, "b": false}},
		{"lease run out", func() {
			delete(holds, "a")
			table.Expire(func(id ident.NodeID) bool { return holds[id] })
		}, 1, map[ident.NodeID]bool{"b": false}},
		{"returned", func() { table.Renewed(start, Member{Node: "a"}) }, 1, map[ident.NodeID]bool{"a": false, "b": false}},
	}
	for _, step := range steps {
		step.do()

		if diff := cmp.Diff(step.travel, sync(c, table, start)); diff != "" {
			t.Errorf("%s: number of members sent differs (-want +got):\n%s", step.name, diff)
		}

		if diff := cmp.Diff(step.want, names(c)); diff != "" {
			t.Errorf("%s: members differ (-want +got):\n%s", step.name, diff)
		}
	}
}

// Guards against a copy that forgets every node when the leader changes, keeps nodes that the new leader
// never hears of, or goes back to the list of an older leader.
func TestLeaderChange(t *testing.T) {
	old, c := NewTable(1), NewCopy()
	old.Renewed(start, Member{Node: "a"})
	old.Renewed(start, Member{Node: "b"})
	sync(c, old, start)

	next := NewTable(2)
	next.Renewed(start, Member{Node: "a"})
	sync(c, next, start)

	if diff := cmp.Diff(map[ident.NodeID]bool{"a": false, "b": false}, names(c)); diff != "" {
		t.Errorf("members after the election differ (-want +got):\n%s", diff)
	}

	list, v, _ := old.Since(Version{})
	c.Update(start, append(list, Member{Node: "stale"}), v)
	sync(c, next, start.Add(forgetAfter))

	if diff := cmp.Diff(map[ident.NodeID]bool{"a": false}, names(c)); diff != "" {
		t.Errorf("members later differ (-want +got):\n%s", diff)
	}
}
