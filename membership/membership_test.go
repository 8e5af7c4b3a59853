package membership

import (
	"testing"
	"time"

	"fulmarfall/ident"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1000, 0)

// renewCopy updates a copy as a renewal does, and returns the number of members sent.
func renewCopy(c *Copy, t *Table, now time.Time) int {
	list, v, _ := t.Since(c.Version())
	c.Update(now, list, v)

	return len(list)
}

func leavingByNode(c *Copy) map[ident.NodeID]bool {
	all := make(map[ident.NodeID]bool)
	c.Each(func(m Member, _ time.Time) { all[m.Node] = m.Leaving })

	return all
}

// Guards against a copy that misses a change, and against unnecessary updates: at 480 nodes each of
// them is sent 480 times.
func TestOnlyChangesSent(t *testing.T) {
	table, c := NewTable(1), NewCopy()
	leaseHolders := map[ident.NodeID]bool{"a": true, "b": true}
	steps := []struct {
		name  string
		apply func()
		sent  int
		want  map[ident.NodeID]bool
	}{
		{"first renewals", func() {
			table.Renew(start, Member{Node: "a"})
			table.Renew(start, Member{Node: "b", Applied: 1})
		}, 2, map[ident.NodeID]bool{"a": false, "b": false}},
		{"renewal without a change", func() { table.Renew(start, Member{Node: "b", Applied: 2}) }, 0, map[ident.NodeID]bool{"a": false, "b": false}},
		{"small change of load", func() { table.Renew(start.Add(minLoadInterval), Member{Node: "b", LoadPercent: minLoadChange - 1}) }, 0, map[ident.NodeID]bool{"a": false, "b": false}},
		{"large change of load too soon", func() { table.Renew(start.Add(minLoadInterval-1), Member{Node: "b", LoadPercent: 90}) }, 0, map[ident.NodeID]bool{"a": false, "b": false}},
		{"large change of load", func() { table.Renew(start.Add(minLoadInterval), Member{Node: "b", LoadPercent: 90}) }, 1, map[ident.NodeID]bool{"a": false, "b": false}},
		{"leaving", func() { table.Renew(start, Member{Node: "a", Leaving: true}) }, 1, map[ident.NodeID]bool{"a": true, "b": false}},
		{"lease expired", func() {
			delete(leaseHolders, "a")
			table.Expire(func(id ident.NodeID) bool { return leaseHolders[id] })
		}, 1, map[ident.NodeID]bool{"b": false}},
		{"renewal after expiry", func() { table.Renew(start, Member{Node: "a"}) }, 1, map[ident.NodeID]bool{"a": false, "b": false}},
	}
	for _, step := range steps {
		step.apply()

		if diff := cmp.Diff(step.sent, renewCopy(c, table, start)); diff != "" {
			t.Errorf("%s: number of members sent differs (-want +got):\n%s", step.name, diff)
		}

		if diff := cmp.Diff(step.want, leavingByNode(c)); diff != "" {
			t.Errorf("%s: members differ (-want +got):\n%s", step.name, diff)
		}
	}
}

// Guards against a copy that drops every node when the leader changes, keeps nodes that never renew
// with the new leader, or reverts to the list of an earlier leader.
func TestLeaderChange(t *testing.T) {
	old, c := NewTable(1), NewCopy()
	old.Renew(start, Member{Node: "a"})
	old.Renew(start, Member{Node: "b"})
	renewCopy(c, old, start)

	next := NewTable(2)
	next.Renew(start, Member{Node: "a"})
	renewCopy(c, next, start)

	if diff := cmp.Diff(map[ident.NodeID]bool{"a": false, "b": false}, leavingByNode(c)); diff != "" {
		t.Errorf("members after the election differ (-want +got):\n%s", diff)
	}

	list, v, _ := old.Since(Version{})
	c.Update(start, append(list, Member{Node: "stale"}), v)
	renewCopy(c, next, start.Add(unconfirmedTTL))

	if diff := cmp.Diff(map[ident.NodeID]bool{"a": false}, leavingByNode(c)); diff != "" {
		t.Errorf("members after unconfirmedTTL differ (-want +got):\n%s", diff)
	}
}
