package consensus

import (
	"math/rand"
	"testing"
	"time"

	"fulmarfall/ident"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
)

// harness drives a single node, "a" with disk 1, message by message.
type harness struct {
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

// newHarness returns a node whose log contains the membership l and then the entries, or an unformed node if l is nil.
func newHarness(t *testing.T, term Term, l MemberList, entries ...Entry) *harness {
	t.Helper()
	saved := PersistentState{HardState: HardState{Cluster: 1, Term: term}}
	if l != nil {
		saved.Entries = append([]Entry{{Index: 1, Term: 1, Kind: EntryMembers, Data: encodeMembers(l)}}, entries...)
	} else {
		saved.HardState = HardState{}
	}
	n, err := New(Config{ID: "a", Disk: 1, Voters: []ident.NodeID{"a", "b", "c"}, Rand: rand.New(rand.NewSource(1))}, saved)
	if err != nil {
		t.Fatal(err)
	}

	return &harness{t: t, n: n}
}

// step delivers a message from b (disk 2) or c (disk 3) and returns the messages that the node sends in response.
func (s *harness) step(from ident.NodeID, term Term, body Body) []Message {
	s.n.Step(time.Unix(0, 0), Message{
		Header: Header{Cluster: 1, From: from, FromDisk: DiskID(from[0]-'a') + 1, To: "a", ToDisk: 1, Term: term}, Body: body,
	})

	return s.drain()
}

func (s *harness) drain() (out []Message) {
	for r := s.n.Ready(); !r.Empty(); r = s.n.Ready() {
		s.n.Advance(time.Unix(0, 0), r)
		out = append(append(out, r.ImmediateMessages...), r.Messages...)
	}

	return out
}

func (s *harness) tick(count int) (out []Message) {
	for range count {
		s.n.Tick(time.Unix(0, 0))
		out = append(out, s.drain()...)
	}

	return out
}

// becomeLeader gets the node elected with the votes of b.
func (s *harness) becomeLeader() {
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

// Guards against committing an entry of an earlier term by counting replicas: a later leader could still replace it.
func TestCommitOwnTermOnly(t *testing.T) {
	s := newHarness(t, 2, members("a", "b", "c"), entry(2, 2))
	s.becomeLeader()
	s.step("b", s.n.hs.Term, &AppendReply{Match: 2, Round: 1})
	if st := s.n.Status(); st.Commit != 0 || st.Ready {
		t.Errorf("commit %d, ready %t after a majority has stored entry 2 of term 2", st.Commit, st.Ready)
	}
	s.step("b", s.n.hs.Term, &AppendReply{Match: 3, Round: 1})
	if st := s.n.Status(); st.Commit != 3 || !st.Ready {
		t.Errorf("commit %d, ready %t after a majority has stored entry 3 of the current term", st.Commit, st.Ready)
	}
}

// Guards against a follower that commits entries after those that the heartbeat has matched with the leader's log.
func TestHeartbeatCommitBound(t *testing.T) {
	s := newHarness(t, 2, members("a", "b", "c"), entry(2, 1), entry(3, 1))
	s.step("b", 3, &AppendRequest{PrevIndex: 2, PrevTerm: 1, Commit: 3})
	if got := s.n.Status().Commit; got != 2 {
		t.Errorf("commit = %d, want 2: entry 3 may differ from the leader's", got)
	}
}

// Guards against a sole voter that replicates to a learner in a term that it could use again after a crash.
func TestOwnVoteDurableFirst(t *testing.T) {
	s := newHarness(t, 2, MemberList{{ID: "a", Disk: 1}, {ID: "b", Disk: 2, Learner: true}})
	for s.n.hs.Term == 2 {
		s.n.Tick(time.Unix(0, 0))
	}
	if r := s.n.Ready(); r.HardState == nil || len(r.ImmediateMessages) > 0 || s.n.role == RoleLeader {
		t.Errorf("node leads or sends messages before its vote is durable: %+v", r)
	}
}

// Guards against counting replaced entries as durable: the node, once leader, would commit entries it has not persisted.
func TestReplacedEntriesNotDurable(t *testing.T) {
	s := newHarness(t, 2, members("a", "b", "c"), entry(2, 2), entry(3, 2), entry(4, 2))
	s.step("b", 3, &AppendRequest{PrevIndex: 1, PrevTerm: 1, Entries: []Entry{entry(2, 3)}})
	s.becomeLeader()
	for range 3 {
		if _, _, err := s.n.Propose(time.Unix(0, 0), nil); err != nil {
			t.Fatal(err)
		}
	}
	s.n.Ready() // returned, but not yet durable
	s.n.Step(time.Unix(0, 0), Message{
		Header: Header{Cluster: 1, From: "b", FromDisk: 2, To: "a", ToDisk: 1, Term: s.n.hs.Term}, Body: &AppendReply{Match: 6},
	})
	if s.n.stable != 3 || s.n.commit > 3 {
		t.Errorf("stable %d, commit %d, want at most 3", s.n.stable, s.n.commit)
	}
}

// Guards against membership changes that are accepted too early or that remove the last voter.
func TestChangeRules(t *testing.T) {
	s := newHarness(t, 2, members("a", "b"))
	s.becomeLeader()
	now := time.Unix(0, 0)
	check := func(what string, err, want error) {
		t.Helper()
		if !errors.Is(err, want) {
			t.Errorf("%s: %v, want %v", what, err, want)
		}
	}
	_, err := s.n.Remove(now, "b")
	check("before an entry of the current term is committed", err, ErrNotReady)
	s.step("b", s.n.hs.Term, &AppendReply{Match: 2})

	_, err = s.n.AddLearner(now, "c", 0)
	check("learner that has not announced its disk", err, ErrUnknownMember)
	_, err = s.n.AddLearner(now, "c", 3)
	check("new learner", err, nil)
	_, err = s.n.Promote(now, "c")
	check("before the change is committed", err, ErrChangePending)
	s.drain()
	s.step("b", s.n.hs.Term, &AppendReply{Match: 3})
	_, err = s.n.Promote(now, "c")
	check("learner without entries", err, ErrNotCaughtUp)
	s.step("c", s.n.hs.Term, &AppendReply{Match: 3})
	_, err = s.n.Promote(now, "c")
	check("learner that has caught up", err, nil)
	if diff := cmp.Diff(members("a", "b", "c"), s.n.Status().Members); diff != "" {
		t.Errorf("members differ (-want +got):\n%s", diff)
	}

	sole := newHarness(t, 2, members("a"))
	sole.tick(3 * DefaultElectionTicks)
	_, err = sole.n.Remove(now, "a")
	check("last voter", err, ErrBadChange)
}

// Guards against a snapshot assembled from chunks of two leaders, whose encodings may differ.
func TestSnapshotOfOneLeader(t *testing.T) {
	s := newHarness(t, 2, members("a", "b", "c"))
	meta := SnapshotMeta{Index: 9, Term: 2, Members: members("a", "b", "c")}
	s.step("b", 3, &SnapshotRequest{Meta: meta, Total: 4, Data: []byte("bb")})
	s.step("c", 4, &SnapshotRequest{Meta: meta, Total: 4, Offset: 2, Data: []byte("cc")})
	if s.n.Status().Commit != 0 {
		t.Errorf("installed a snapshot from chunks of two leaders: %q", s.n.snap.Data)
	}
	s.step("c", 4, &SnapshotRequest{Meta: meta, Total: 4, Data: []byte("cc")})
	s.step("c", 4, &SnapshotRequest{Meta: meta, Total: 4, Offset: 2, Data: []byte("cc")})
	if diff := cmp.Diff("cccc", string(s.n.snap.Data)); diff != "" {
		t.Errorf("snapshot differs (-want +got):\n%s", diff)
	}
}

// Guards against a voter with an empty disk that behaves as at the first start although the cluster has already formed.
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
		"no peer":                    {},
		"one peer unformed":          {hellos: []hello{{"b", Hello{Voters: list}}}},
		"all peers unformed":         {hellos: []hello{{"b", Hello{Voters: list}}, {"c", Hello{Voters: list}}}, wantFormed: true},
		"voter lists differ":         {hellos: []hello{{"b", Hello{Voters: list}}, {"c", Hello{Voters: list[:2]}}}},
		"one peer formed":            {hellos: []hello{{"b", Hello{Voters: list}}, {"c", Hello{Voters: list, Formed: true}}}, wantExcluded: true},
		"formed with this disk":      {hellos: []hello{{"b", Hello{Voters: list, Formed: true, Member: true, Members: members("a", "b", "c")}}}, wantFormed: true},
		"formed without this disk":   {hellos: []hello{{"b", Hello{Voters: list, Formed: true, Members: MemberList{{ID: "a", Disk: 9}, {ID: "b", Disk: 2}, {ID: "c", Disk: 3}}}}}, wantExcluded: true},
		"formed with other node ids": {hellos: []hello{{"b", Hello{Voters: list, Formed: true, Member: true, Members: members("a", "b", "d")}}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newHarness(t, 0, nil)
			for _, h := range tc.hellos {
				s.step(h.from, 1, &h.msg)
			}
			if sent := s.step("b", 5, &VoteRequest{LastIndex: 9, LastTerm: 4}); len(sent) > 0 && !tc.wantFormed {
				t.Errorf("unformed node replied to a vote request: %+v", sent[0].Body)
			}
			s.tick(1)
			st := s.n.Status()
			if st.Formed != tc.wantFormed || st.Excluded != tc.wantExcluded {
				t.Errorf("formed %t, excluded %t, want %t, %t", st.Formed, st.Excluded, tc.wantFormed, tc.wantExcluded)
			}
		})
	}
}

// Guards against decoder limits that reject what a correct voter sends: it would resend the message for ever.
func TestLargestMessages(t *testing.T) {
	many := make([]Entry, maxAppendEntries)
	for i := range many {
		many[i] = entry(Index(i+1), 1)
	}
	for name, body := range map[string]Body{
		"largest proposal": &AppendRequest{Entries: []Entry{{Index: 1, Term: 1, Data: make([]byte, maxEntryBytes)}}},
		"most entries":     &AppendRequest{Entries: many},
		"largest chunk":    &SnapshotRequest{Meta: SnapshotMeta{Index: 1}, Total: defaultChunkBytes, Data: make([]byte, defaultChunkBytes)},
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
		if reencoded, err := Encode(m); err != nil || string(reencoded) != string(b) {
			t.Errorf("%s: changed by encoding and decoding, %v", name, err)
		}
	}
}

// Guards against replies that are sent before the state that they acknowledge is durable.
func TestRepliesAfterDurable(t *testing.T) {
	for name, body := range map[string]Body{
		"vote":   &VoteRequest{LastIndex: 9, LastTerm: 2},
		"append": &AppendRequest{PrevIndex: 1, PrevTerm: 1, Entries: []Entry{entry(2, 3)}},
	} {
		s := newHarness(t, 2, members("a", "b", "c"))
		s.n.Step(time.Unix(0, 0), Message{Header: Header{Cluster: 1, From: "b", FromDisk: 2, To: "a", ToDisk: 1, Term: 3}, Body: body})
		if r := s.n.Ready(); r.HardState == nil || len(r.ImmediateMessages) > 0 || len(r.Messages) != 1 {
			t.Errorf("%s: %+v", name, r)
		}
	}
}

// Guards against a disk whose membership change was lost before it committed, and that can't be added again because it
// does not announce itself.
func TestLostLearnerAnnounces(t *testing.T) {
	s := newHarness(t, 2, members("b", "c"))
	for _, m := range s.tick(2 * DefaultElectionTicks) {
		if h, ok := m.Body.(*Hello); ok && h.Formed && m.FromDisk == 1 {
			return
		}
	}
	t.Error("node outside the membership did not announce its disk")
}

// Guards against messages that make the decoder panic, make it allocate a size claimed in the message, or exceed a limit
// and are still accepted.
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
		reencoded, err := Encode(m)
		if err != nil {
			t.Fatalf("decoded message can't be encoded: %v", err)
		}
		m2, err := Decode(reencoded)
		if err != nil {
			t.Fatalf("encoded message can't be decoded: %v", err)
		}
		if diff := cmp.Diff(m, m2); diff != "" {
			t.Errorf("message changed (-first +second):\n%s", diff)
		}
	})
}

// Guards against two voters in different regions that repeatedly split the vote, because the election timer of one expires
// during the election of the other. The candidate may be unable to receive, so the voter must campaign itself soon after.
func TestGrantedPreVotePostponesCampaign(t *testing.T) {
	s := newHarness(t, 1, members("a", "b", "c"))
	campaigns := func(out []Message) (n int) {
		for _, m := range out {
			if _, ok := m.Body.(*VoteRequest); ok {
				n++
			}
		}

		return n
	}

	// b requests a pre-vote one tick before the election timer of a expires.
	s.tick(s.n.electionTimeout - 1)
	out := s.step("b", 2, &VoteRequest{Pre: true, LastIndex: 1, LastTerm: 1})

	if r, ok := out[len(out)-1].Body.(*VoteReply); !ok || !r.Granted {
		t.Fatalf("pre-vote was not granted: %+v", out)
	}

	if n := campaigns(s.tick(preVoteGraceTicks - 1)); n > 0 {
		t.Errorf("%d vote requests during the election of b", n)
	}

	if n := campaigns(s.tick(1)); n == 0 {
		t.Errorf("no campaign after the grace period for the election of b")
	}
}

// Guards against a candidate that waits for an election timeout although it can no longer win, and against one that
// retries early although it can still win, for instance because it counts the rejection of a voter whose disk was lost.
func TestLostElectionIsRetriedSoon(t *testing.T) {
	type rejection struct {
		from ident.NodeID
		disk DiskID
	}

	for name, tc := range map[string]struct {
		rejections  []rejection
		retriesSoon bool
	}{
		"one of four rejects":                {[]rejection{{"b", 2}}, false},
		"two of four reject":                 {[]rejection{{"b", 2}, {"c", 3}}, true},
		"one rejects twice":                  {[]rejection{{"b", 2}, {"b", 2}}, false},
		"one voter and one non-voter reject": {[]rejection{{"b", 2}, {"c", 9}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newHarness(t, 1, members("a", "b", "c", "d"))
			for s.n.role != RolePreCandidate {
				s.tick(1)
			}

			for _, id := range []ident.NodeID{"b", "c"} {
				s.step(id, s.n.hs.Term+1, &VoteReply{Pre: true, Granted: true})
			}

			if s.n.role != RoleCandidate {
				t.Fatalf("role %v, want a candidate", s.n.role)
			}

			for _, r := range tc.rejections {
				s.n.Step(time.Unix(0, 0), Message{
					Header: Header{Cluster: 1, From: r.from, FromDisk: r.disk, To: "a", ToDisk: 1, Term: s.n.hs.Term}, Body: &VoteReply{},
				})
			}

			if left := s.n.electionTimeout - s.n.electionElapsed; (left <= lostElectionRetryTicks) != tc.retriesSoon {
				t.Errorf("%d ticks until the next pre-vote, want early retry: %v", left, tc.retriesSoon)
			}
		})
	}
}

// Guards against voters that grant pre-votes to two candidates at once, which then split the vote, and against a priority
// that delays a candidate with a more up-to-date log.
func TestPreVotePriority(t *testing.T) {
	request := VoteRequest{Pre: true, LastIndex: 1, LastTerm: 1}
	newer := VoteRequest{Pre: true, LastIndex: 2, LastTerm: 1}

	for name, tc := range map[string]struct {
		first, second ident.NodeID
		secondRequest VoteRequest
		wait          int
		want          bool
	}{
		"second candidate has the lower id":           {"c", "b", request, 0, true},
		"second candidate has the higher id":          {"b", "c", request, 0, false},
		"second candidate has a newer log":            {"b", "c", newer, 0, true},
		"grace period of the first candidate is over": {"b", "c", request, preVoteGraceTicks, true},
		"first candidate repeats its request":         {"c", "c", request, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newHarness(t, 1, members("a", "b", "c", "d"))
			first, second := request, tc.secondRequest
			s.step(tc.first, 2, &first)
			s.n.clock += tc.wait // without ticks, which would let this voter campaign

			out := s.step(tc.second, 2, &second)
			if len(out) != 1 {
				t.Fatalf("%d messages, want one reply", len(out))
			}

			r, ok := out[0].Body.(*VoteReply)
			if diff := cmp.Diff(tc.want, ok && r.Granted); diff != "" {
				t.Errorf("second pre-vote granted differs (-want +got):\n%s", diff)
			}
		})
	}
}
