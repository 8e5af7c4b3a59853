package consensus

import (
	"math/rand"
	"testing"
	"time"

	"fulmarfall/ident"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
)

// script drives one node, "a" with disk 1, by hand.
type script struct {
	t *testing.T
	n *Node
}

func members(ids ...ident.NodeID) MemberList {
	var l MemberList
	for i, id := range ids {
		l = append(l, Member{ID: id, Disk: DiskID(i + 1)})
	}

	return l
}

func entry(index Index, term Term) Entry {
	return Entry{Index: index, Term: term, Data: []byte{byte(term)}}
}

// newScript returns a node whose log holds the membership and the entries.
func newScript(t *testing.T, term Term, l MemberList, entries ...Entry) *script {
	t.Helper()
	saved := Saved{HardState: HardState{Cluster: 1, Term: term}}
	if l != nil {
		saved.Entries = append([]Entry{{Index: 1, Term: 1, Kind: EntryMembers, Data: encodeMembers(l)}}, entries...)
	} else {
		saved.HardState = HardState{}
	}
	n, err := New(Config{ID: "a", Disk: 1, Voters: []ident.NodeID{"a", "b", "c"}, Rand: rand.New(rand.NewSource(1))}, saved)
	if err != nil {
		t.Fatal(err)
	}

	return &script{t: t, n: n}
}

// step delivers a message of b (disk 2) or c (disk 3) and returns what the node then sends.
func (s *script) step(from ident.NodeID, term Term, body Body) []Message {
	s.n.Step(time.Unix(0, 0), Message{
		Header: Header{Cluster: 1, From: from, FromDisk: DiskID(from[0]-'a') + 1, To: "a", ToDisk: 1, Term: term}, Body: body,
	})

	return s.drain()
}

func (s *script) drain() (out []Message) {
	for r := s.n.Ready(); !r.Empty(); r = s.n.Ready() {
		s.n.Advance(time.Unix(0, 0), r)
		out = append(append(out, r.Early...), r.Messages...)
	}

	return out
}

func (s *script) tick(count int) (out []Message) {
	for range count {
		s.n.Tick(time.Unix(0, 0))
		out = append(out, s.drain()...)
	}

	return out
}

// lead makes the node leader with the votes of b.
func (s *script) lead() {
	s.t.Helper()
	for s.n.role != RolePreCandidate {
		s.tick(1)
	}
	s.step("b", s.n.hs.Term+1, &VoteReply{Pre: true, Granted: true})
	s.step("b", s.n.hs.Term, &VoteReply{Granted: true})
	if s.n.role != RoleLeader {
		s.t.Fatalf("not elected: %v", s.n)
	}
}

// Guards against committing an entry of an earlier term by counting copies: another leader could still replace it.
func TestCommitOwnTermOnly(t *testing.T) {
	s := newScript(t, 2, members("a", "b", "c"), entry(2, 2))
	s.lead()
	s.step("b", s.n.hs.Term, &AppendReply{Match: 2, Round: 1})
	if st := s.n.Status(); st.Commit != 0 || st.Ready {
		t.Errorf("commit %d, ready %t after a majority holds entry 2 of term 2", st.Commit, st.Ready)
	}
	s.step("b", s.n.hs.Term, &AppendReply{Match: 3, Round: 1})
	if st := s.n.Status(); st.Commit != 3 || !st.Ready {
		t.Errorf("commit %d, ready %t after a majority holds entry 3 of the own term", st.Commit, st.Ready)
	}
}

// Guards against a follower that commits entries which a heartbeat has not confirmed.
func TestHeartbeatCommitBound(t *testing.T) {
	s := newScript(t, 2, members("a", "b", "c"), entry(2, 1), entry(3, 1))
	s.step("b", 3, &AppendRequest{PrevIndex: 2, PrevTerm: 1, Commit: 3})
	if got := s.n.Status().Commit; got != 2 {
		t.Errorf("commit = %d, want 2: entry 3 may differ from the leader's", got)
	}
}

// Guards against a sole voter that replicates to a learner in a term which a crash could make it use again.
func TestOwnVoteDurableFirst(t *testing.T) {
	s := newScript(t, 2, MemberList{{ID: "a", Disk: 1}, {ID: "b", Disk: 2, Learner: true}})
	for s.n.hs.Term == 2 {
		s.n.Tick(time.Unix(0, 0))
	}
	if r := s.n.Ready(); r.HardState == nil || len(r.Early) > 0 || s.n.role == RoleLeader {
		t.Errorf("leads before its vote is durable: %+v", r)
	}
}

// Guards against counting replaced entries as durable: a later leader would commit entries it has not written.
func TestReplacedEntriesNotDurable(t *testing.T) {
	s := newScript(t, 2, members("a", "b", "c"), entry(2, 2), entry(3, 2), entry(4, 2))
	s.step("b", 3, &AppendRequest{PrevIndex: 1, PrevTerm: 1, Entries: []Entry{entry(2, 3)}})
	s.lead()
	for range 3 {
		if _, _, err := s.n.Propose(time.Unix(0, 0), nil); err != nil {
			t.Fatal(err)
		}
	}
	s.n.Ready() // handed out, not yet durable
	s.n.Step(time.Unix(0, 0), Message{
		Header: Header{Cluster: 1, From: "b", FromDisk: 2, To: "a", ToDisk: 1, Term: s.n.hs.Term}, Body: &AppendReply{Match: 6},
	})
	if s.n.stable != 3 || s.n.commit > 3 {
		t.Errorf("stable %d, commit %d, want at most 3", s.n.stable, s.n.commit)
	}
}

// Guards against membership changes that start too early or that take away the last voter.
func TestChangeRules(t *testing.T) {
	s := newScript(t, 2, members("a", "b"))
	s.lead()
	now := time.Unix(0, 0)
	check := func(what string, err, want error) {
		t.Helper()
		if !errors.Is(err, want) {
			t.Errorf("%s: %v, want %v", what, err, want)
		}
	}
	_, err := s.n.Remove(now, "b")
	check("before an entry of the own term is committed", err, ErrNotReady)
	s.step("b", s.n.hs.Term, &AppendReply{Match: 2})

	_, err = s.n.AddLearner(now, "c", 0)
	check("learner that announced no disk", err, ErrUnknownMember)
	_, err = s.n.AddLearner(now, "c", 3)
	check("learner", err, nil)
	_, err = s.n.Promote(now, "c")
	check("before the change is committed", err, ErrChangePending)
	s.drain()
	s.step("b", s.n.hs.Term, &AppendReply{Match: 3})
	_, err = s.n.Promote(now, "c")
	check("learner that holds nothing", err, ErrNotCaughtUp)
	s.step("c", s.n.hs.Term, &AppendReply{Match: 3})
	_, err = s.n.Promote(now, "c")
	check("learner that holds everything", err, nil)
	if diff := cmp.Diff(members("a", "b", "c"), s.n.Status().Members); diff != "" {
		t.Errorf("members differ (-want +got):\n%s", diff)
	}

	sole := newScript(t, 2, members("a"))
	sole.tick(3 * DefaultElectionTicks)
	_, err = sole.n.Remove(now, "a")
	check("last voter", err, ErrBadChange)
}

// Guards against a snapshot put together from chunks of two leaders, whose encodings may differ.
func TestSnapshotOfOneLeader(t *testing.T) {
	s := newScript(t, 2, members("a", "b", "c"))
	meta := SnapshotMeta{Index: 9, Term: 2, Members: members("a", "b", "c")}
	s.step("b", 3, &SnapshotRequest{Meta: meta, Total: 4, Data: []byte("bb")})
	s.step("c", 4, &SnapshotRequest{Meta: meta, Total: 4, Offset: 2, Data: []byte("cc")})
	if s.n.Status().Commit != 0 {
		t.Errorf("installed %q", s.n.snap.Data)
	}
	s.step("c", 4, &SnapshotRequest{Meta: meta, Total: 4, Data: []byte("cc")})
	s.step("c", 4, &SnapshotRequest{Meta: meta, Total: 4, Offset: 2, Data: []byte("cc")})
	if diff := cmp.Diff("cccc", string(s.n.snap.Data)); diff != "" {
		t.Errorf("snapshot differs (-want +got):\n%s", diff)
	}
}

// Guards against a voter with an empty disk that takes part as if it were fresh after the cluster has formed.
func TestEmptyDisk(t *testing.T) {
	list := []ident.NodeID{"a", "b", "c"}
	type hello struct {
		from ident.NodeID
		msg  Hello
	}
	tests := map[string]struct {
		hellos                   []hello
		wantFormed, wantExcluded bool
	}{
		"no peer":           {},
		"one peer fresh":    {hellos: []hello{{"b", Hello{Voters: list}}}},
		"all fresh":         {hellos: []hello{{"b", Hello{Voters: list}}, {"c", Hello{Voters: list}}}, wantFormed: true},
		"lists differ":      {hellos: []hello{{"b", Hello{Voters: list}}, {"c", Hello{Voters: list[:2]}}}},
		"one peer formed":   {hellos: []hello{{"b", Hello{Voters: list}}, {"c", Hello{Voters: list, Formed: true}}}, wantExcluded: true},
		"formed with it":    {hellos: []hello{{"b", Hello{Voters: list, Formed: true, Member: true, Members: members("a", "b", "c")}}}, wantFormed: true},
		"formed without it": {hellos: []hello{{"b", Hello{Voters: list, Formed: true, Members: MemberList{{ID: "a", Disk: 9}, {ID: "b", Disk: 2}, {ID: "c", Disk: 3}}}}}, wantExcluded: true},
		"formed, other ids": {hellos: []hello{{"b", Hello{Voters: list, Formed: true, Member: true, Members: members("a", "b", "d")}}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newScript(t, 0, nil)
			for _, h := range tc.hellos {
				s.step(h.from, 1, &h.msg)
			}
			if sent := s.step("b", 5, &VoteRequest{LastIndex: 9, LastTerm: 4}); len(sent) > 0 && !tc.wantFormed {
				t.Errorf("answers a request for a vote: %+v", sent[0].Body)
			}
			s.tick(1)
			st := s.n.Status()
			if st.Formed != tc.wantFormed || st.Excluded != tc.wantExcluded {
				t.Errorf("formed %t, excluded %t, want %t, %t", st.Formed, st.Excluded, tc.wantFormed, tc.wantExcluded)
			}
		})
	}
}

// Guards against bounds of the decoder that refuse what a correct voter sends; the message would be sent for ever.
func TestLargestMessages(t *testing.T) {
	many := make([]Entry, maxAppendEntries)
	for i := range many {
		many[i] = entry(Index(i+1), 1)
	}
	for name, body := range map[string]Body{
		"largest proposal": &AppendRequest{Entries: []Entry{{Index: 1, Term: 1, Data: make([]byte, maxEntryBytes)}}},
		"most entries":     &AppendRequest{Entries: many},
		"largest chunk":    &SnapshotRequest{Meta: SnapshotMeta{Index: 1}, Total: defaultChunk, Data: make([]byte, defaultChunk)},
	} {
		b, err := Encode(Message{Header: Header{Cluster: 1, From: "a", FromDisk: 1, To: "b", ToDisk: 2, Term: 3}, Body: body})
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		m, err := Decode(b)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if again, err := Encode(m); err != nil || string(again) != string(b) {
			t.Errorf("%s: changed on the way, %v", name, err)
		}
	}
}

// Guards against replies that leave before what they acknowledge is durable.
func TestRepliesAfterDurable(t *testing.T) {
	for name, body := range map[string]Body{
		"vote":   &VoteRequest{LastIndex: 9, LastTerm: 2},
		"append": &AppendRequest{PrevIndex: 1, PrevTerm: 1, Entries: []Entry{entry(2, 3)}},
	} {
		s := newScript(t, 2, members("a", "b", "c"))
		s.n.Step(time.Unix(0, 0), Message{Header: Header{Cluster: 1, From: "b", FromDisk: 2, To: "a", ToDisk: 1, Term: 3}, Body: body})
		if r := s.n.Ready(); r.HardState == nil || len(r.Early) > 0 || len(r.Messages) != 1 {
			t.Errorf("%s: %+v", name, r)
		}
	}
}

// Guards against a disk that joined by a change which was lost, and that no operator can add as it is unknown.
func TestLostLearnerAnnounces(t *testing.T) {
	s := newScript(t, 2, members("b", "c"))
	for _, m := range s.tick(2 * DefaultElectionTicks) {
		if h, ok := m.Body.(*Hello); ok && h.Formed && m.FromDisk == 1 {
			return
		}
	}
	t.Error("no announcement")
}

// Guards against messages that make the decoder panic, allocate by a claimed size, or pass the bounds.
func FuzzDecode(f *testing.F) {
	for _, body := range []Body{
		&VoteRequest{Pre: true, LastIndex: 3, LastTerm: 2},
		&VoteReply{Granted: true},
		&AppendRequest{PrevIndex: 4, PrevTerm: 2, Entries: []Entry{entry(5, 2), {Index: 6, Term: 2, Kind: EntryMembers, Data: encodeMembers(members("a"))}}},
		&AppendReply{Match: 5},
		&SnapshotRequest{Meta: SnapshotMeta{Index: 2, Term: 1, Members: members("a", "b")}, Total: 3, Data: []byte("xyz")},
		&SnapshotReply{Index: 2, Next: 3, Done: true},
		&Hello{Voters: []ident.NodeID{"a"}, Members: members("a")},
	} {
		b, err := Encode(Message{Header: Header{Cluster: 1, From: "a", FromDisk: 1, To: "b", ToDisk: 2, Term: 3}, Body: body})
		if err != nil {
			f.Fatal(err)
		}
		if _, err := Decode(b); err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		again, err := Encode(m)
		if err != nil {
			t.Fatalf("decoded message can't be encoded: %v", err)
		}
		m2, err := Decode(again)
		if err != nil {
			t.Fatalf("encoded message can't be decoded: %v", err)
		}
		if diff := cmp.Diff(m, m2); diff != "" {
			t.Errorf("message changed (-first +second):\n%s", diff)
		}
	})
}

// Guards against two voters in different regions that split vote after vote: the timer of the one ran out while the
// other's election was under way. The candidate may be unable to receive, so the voter campaigns itself soon after.
func TestPreVoteLeavesTimeForElection(t *testing.T) {
	s := newScript(t, 1, members("a", "b", "c"))
	campaigns := func(out []Message) (n int) {
		for _, m := range out {
			if _, ok := m.Body.(*VoteRequest); ok {
				n++
			}
		}

		return n
	}

	// One tick before its own timer runs out, a is asked by b.
	s.tick(s.n.electionTimeout - 1)
	out := s.step("b", 2, &VoteRequest{Pre: true, LastIndex: 1, LastTerm: 1})

	if r, ok := out[len(out)-1].Body.(*VoteReply); !ok || !r.Granted {
		t.Fatalf("pre-vote was not granted: %+v", out)
	}

	if n := campaigns(s.tick(preVoteGraceTicks - 1)); n > 0 {
		t.Errorf("%d requests for votes while the election of b is under way", n)
	}

	if n := campaigns(s.tick(1)); n == 0 {
		t.Errorf("no campaign after the election of b had its time")
	}
}

// Guards against a candidate that waits for an election timeout although it can't win any more, and against one that gives
// an election up which it can still win, or for a voter whose disk was lost.
func TestLostElectionIsAskedAgainSoon(t *testing.T) {
	type refusal struct {
		from ident.NodeID
		disk DiskID
	}

	for name, tc := range map[string]struct {
		refusals []refusal
		soon     bool
	}{
		"one of four refuses":               {[]refusal{{"b", 2}}, false},
		"two of four refuse":                {[]refusal{{"b", 2}, {"c", 3}}, true},
		"one refuses twice":                 {[]refusal{{"b", 2}, {"b", 2}}, false},
		"one refuses, and one without vote": {[]refusal{{"b", 2}, {"c", 9}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t, 1, members("a", "b", "c", "d"))
			for s.n.role != RolePreCandidate {
				s.tick(1)
			}

			for _, id := range []ident.NodeID{"b", "c"} {
				s.step(id, s.n.hs.Term+1, &VoteReply{Pre: true, Granted: true})
			}

			if s.n.role != RoleCandidate {
				t.Fatalf("role %v, want a candidate", s.n.role)
			}

			for _, r := range tc.refusals {
				s.n.Step(time.Unix(0, 0), Message{
					Header: Header{Cluster: 1, From: r.from, FromDisk: r.disk, To: "a", ToDisk: 1, Term: s.n.hs.Term}, Body: &VoteReply{},
				})
			}

			if left := s.n.electionTimeout - s.n.electionElapsed; (left <= lostElectionSpread) != tc.soon {
				t.Errorf("%d ticks until the next pre-vote, soon: want %v", left, tc.soon)
			}
		})
	}
}

// Guards against voters that grant pre-votes to two candidates at once, which then split the votes, and against one that
// holds up a candidate with a newer log.
func TestPreVoteGoesToFirst(t *testing.T) {
	request := VoteRequest{Pre: true, LastIndex: 1, LastTerm: 1}
	newer := VoteRequest{Pre: true, LastIndex: 2, LastTerm: 1}

	for name, tc := range map[string]struct {
		first, second ident.NodeID
		log           VoteRequest
		wait          int
		want          bool
	}{
		"the second goes first by its id": {"c", "b", request, 0, true},
		"the second goes after":           {"b", "c", request, 0, false},
		"the second has a newer log":      {"b", "c", newer, 0, true},
		"the first had its time":          {"b", "c", request, preVoteGraceTicks, true},
		"the first asks again":            {"c", "c", request, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t, 1, members("a", "b", "c", "d"))
			first, second := request, tc.log
			s.step(tc.first, 2, &first)
			s.n.clock += tc.wait // without campaigns of this voter

			out := s.step(tc.second, 2, &second)
			if len(out) != 1 {
				t.Fatalf("%d messages, want an answer", len(out))
			}

			r, ok := out[0].Body.(*VoteReply)
			if diff := cmp.Diff(tc.want, ok && r.Granted); diff != "" {
				t.Errorf("second pre-vote granted differs (-want +got):\n%s", diff)
			}
		})
	}
}
