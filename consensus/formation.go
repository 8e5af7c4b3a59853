package consensus

// Formation of the cluster at the first start.
//
// An empty data folder means either a first start or a lost disk. A voter can't tell which by itself, so it
// takes no part until a peer settles it. One voter, the first of the configured list, forms the cluster, and
// only when it has an empty folder itself and every other configured voter has lately announced an empty folder
// and the same list. It draws a cluster id and writes the first membership, which names the disk of each
// voter. The others accept that membership only if it names their own disk. A voter whose disk is lost later
// has a new disk id: its peers are formed, so it can neither form a cluster nor accept the old membership, and
// it waits to be added as a learner. Should two formations ever race, their cluster ids differ, and messages of
// one are dropped by the other.

import (
	"slices"

	"fulmarfall/ident"
)

// announcement is what a node last said of its disk.
type announcement struct {
	disk   DiskID
	formed bool
	voters []ident.NodeID
	at     int // tick
}

// tickUnformed announces the empty disk and forms the cluster when it may.
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

	n.form(ClusterID(n.cfg.Rand.Uint64()|1), members)
}

// announce tells the known voters the disk of this node.
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

// form makes this disk part of a cluster. The first membership is entry 1 of term 1 at every voter.
func (n *Node) form(cluster ClusterID, members MemberList) {
	n.hs = HardState{Cluster: cluster, Term: 1}
	n.stats.TermsSeen++
	n.excluded = false
	if len(members) > 0 {
		n.put(Entry{Index: 1, Term: 1, Kind: EntryMembers, Data: encodeMembers(members)})
	}
	n.setFirstTimer()
}

func (n *Node) handleHello(m Message, h *Hello) {
	voters := slices.Clone(h.Voters)
	slices.Sort(voters)
	n.announced[m.From] = announcement{disk: m.FromDisk, formed: h.Formed, voters: voters, at: n.clock}

	switch {
	case n.hs.Cluster != 0 && !h.Formed:
		reply := &Hello{Formed: true, Voters: n.cfg.Voters, Members: n.firstMembership()}
		member, ok := n.log.current().members.Find(m.From)
		reply.Member = ok && member.Disk == m.FromDisk
		n.send(m.From, m.FromDisk, n.hs.Term, reply)
	case n.hs.Cluster == 0 && h.Formed && m.ToDisk == n.cfg.Disk && m.Cluster != 0:
		first, ok := h.Members.Find(n.cfg.ID)
		if ok && first.Disk == n.cfg.Disk && slices.Equal(ids(h.Members), n.cfg.Voters) {
			n.form(m.Cluster, h.Members)
			return
		}
		// A peer that lags may not know of this disk although the leader does, so this is advice for the
		// operator and not a state that the voter acts on.
		n.excluded = !h.Member
	}
}

func ids(l MemberList) []ident.NodeID {
	out := make([]ident.NodeID, 0, len(l))
	for _, m := range l {
		out = append(out, m.ID)
	}

	return out
}

// firstMembership returns entry 1 while it is in the log.
func (n *Node) firstMembership() MemberList {
	if n.log.base > 0 || len(n.log.members) == 0 || n.log.members[0].index != 1 {
		return nil
	}

	return n.log.members[0].members
}

// joinBy makes an unformed disk follow the leader that addresses it. Only a leader whose membership names this
// disk sends to it, so the disk is known to the cluster; a request for a vote proves less and is dropped.
func (n *Node) joinBy(m Message) bool {
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
