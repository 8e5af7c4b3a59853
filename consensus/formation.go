package consensus

// Formation of the cluster at the first start.
//
// An empty data folder means either a first start or a lost disk. A voter can't distinguish the two by itself, so it
// does not participate until Hello messages from its peers show which it is. One voter, the first in the configured
// list, forms the cluster, and only if its own data folder is empty and every other configured voter has recently
// announced an empty data folder and the same list. It generates a cluster id and writes the initial membership, which
// names the disk of each voter. The others accept that membership only if it names their own disk. A voter whose disk
// is lost later has a new disk id: its peers are already formed, so it can neither form a cluster nor accept the
// initial membership, and it waits to be added as a learner. If two formations race, their cluster ids differ, and each
// drops the messages of the other.

import (
	"slices"

	"fulmarfall/ident"
)

// announcement is the content of the latest Hello from a node.
type announcement struct {
	disk   DiskID
	formed bool
	voters []ident.NodeID
	at     int // tick of receipt
}

// tickUnformed announces the empty disk and forms the cluster once the conditions are met.
func (n *Node) tickUnformed() {
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.heartbeatElapsed = 0
		n.announce()
	}

	if len(n.cfg.Voters) == 0 || n.cfg.Voters[0] != n.cfg.ID {
		return
	}

	members := make(MemberList, 0, len(n.cfg.Voters))
	for _, id := range n.cfg.Voters {
		if id == n.cfg.ID {
			members = append(members, Member{ID: id, Disk: n.cfg.Disk})
			continue
		}

		a, ok := n.announced[id]
		if !ok || a.formed || n.clock-a.at > maxAnnouncementAge*n.cfg.ElectionTicks || !slices.Equal(a.voters, n.cfg.Voters) {
			return
		}
		members = append(members, Member{ID: id, Disk: a.disk})
	}

	n.formCluster(ClusterID(n.cfg.Rand.Uint64()|1), members)
}

// announce sends a Hello to all configured voters and current members.
func (n *Node) announce() {
	to := slices.Clone(n.cfg.Voters)
	for _, m := range n.log.current().members {
		if !slices.Contains(to, m.ID) {
			to = append(to, m.ID)
		}
	}

	for _, id := range to {
		if id != n.cfg.ID {
			n.send(id, 0, n.hs.Term, &Hello{Formed: n.hs.Cluster != 0, Voters: n.cfg.Voters})
		}
	}
}

// formCluster makes this disk part of a cluster. The initial membership is entry 1 of term 1 on every voter.
func (n *Node) formCluster(cluster ClusterID, members MemberList) {
	n.hs = HardState{Cluster: cluster, Term: 1}
	n.stats.TermsSeen++
	n.excluded = false
	if len(members) > 0 {
		n.appendEntry(Entry{Index: 1, Term: 1, Kind: EntryMembers, Data: encodeMembers(members)})
	}
	n.setInitialTimer()
}

func (n *Node) handleHello(m Message, h *Hello) {
	voters := slices.Clone(h.Voters)
	slices.Sort(voters)
	n.announced[m.From] = announcement{disk: m.FromDisk, formed: h.Formed, voters: voters, at: n.clock}

	switch {
	case n.hs.Cluster != 0 && !h.Formed:
		reply := &Hello{Formed: true, Voters: n.cfg.Voters, Members: n.initialMembership()}
		member, ok := n.log.current().members.Find(m.From)
		reply.Member = ok && member.Disk == m.FromDisk
		n.send(m.From, m.FromDisk, n.hs.Term, reply)
	case n.hs.Cluster == 0 && h.Formed && m.ToDisk == n.cfg.Disk && m.Cluster != 0:
		first, ok := h.Members.Find(n.cfg.ID)
		if ok && first.Disk == n.cfg.Disk && slices.Equal(memberIDs(h.Members), n.cfg.Voters) {
			n.formCluster(m.Cluster, h.Members)
			return
		}
		// A lagging peer may not know this disk although the leader does, so excluded only informs the operator;
		// the voter does not act on it.
		n.excluded = !h.Member
	}
}

func memberIDs(l MemberList) []ident.NodeID {
	out := make([]ident.NodeID, 0, len(l))
	for _, m := range l {
		out = append(out, m.ID)
	}

	return out
}

// initialMembership returns the membership in entry 1, or nil if that entry has been compacted.
func (n *Node) initialMembership() MemberList {
	if n.log.base > 0 || len(n.log.members) == 0 || n.log.members[0].index != 1 {
		return nil
	}

	return n.log.members[0].members
}

// joinCluster makes an unformed disk follow the leader that addresses it. A leader sends only to disks in its membership,
// so the cluster knows this disk. A vote request does not prove that, and is dropped.
func (n *Node) joinCluster(m Message) bool {
	switch m.Body.(type) {
	case *AppendRequest, *SnapshotRequest:
		n.hs = HardState{Cluster: m.Cluster}
		n.excluded = false
		n.resetElectionTimer()
		return true
	default:
		return false
	}
}
