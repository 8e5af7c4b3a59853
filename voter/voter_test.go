package voter

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fulmarfall/consensus"
	"fulmarfall/ident"
	"fulmarfall/wal"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
)

// proposeMany proposes n commands concurrently to the current leader and returns the acknowledged ones and those with an
// unknown outcome.
func (c *cluster) proposeMany(prefix string, n int) (acked, unknown []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	leader := c.leader()
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			data := fmt.Sprintf("%s%d", prefix, i)
			_, err := leader.Propose(context.Background(), []byte(data))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				acked = append(acked, data)
			case errors.Is(err, ErrOutcomeUnknown):
				unknown = append(unknown, data)
			}
		}()
	}
	wg.Wait()

	return acked, unknown
}

// checkApplied checks that each acknowledged command was applied exactly once and every other command at most once.
func checkApplied(t *testing.T, state string, acked []string) {
	t.Helper()
	count := map[string]int{}
	for _, data := range strings.Fields(state) {
		count[data]++
	}
	for _, data := range acked {
		if count[data] != 1 {
			t.Errorf("%s was acknowledged and applied %d times", data, count[data])
		}
	}
	for data, n := range count {
		if n > 1 {
			t.Errorf("%s was applied %d times", data, n)
		}
	}
}

func (c *cluster) others(id ident.NodeID) []ident.NodeID {
	return slices.DeleteFunc(slices.Clone(c.ids), func(o ident.NodeID) bool { return o == id })
}

// Guards against acknowledged proposals that are lost, proposals applied twice, and proposals that never return, when the
// leader stops while many are in flight.
func TestLeaderKilledMidCommit(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	var acked []string
	for round := range 3 {
		leader := c.leader()
		id, start := leader.Status().ID, leader.Status().LastIndex
		killed := make(chan struct{})
		go func() {
			defer close(killed)
			c.eventually("50 entries appended", func() bool { return leader.Status().LastIndex > start+50 })
			c.stop(id)
		}()
		ok, unknown := c.proposeMany(fmt.Sprintf("r%d-", round), 400)
		<-killed
		t.Logf("round %d: %d acknowledged, %d with unknown outcome", round, len(ok), len(unknown))
		acked = append(acked, ok...)
		c.propose(fmt.Sprintf("after%d", round))
		c.start(id)
	}
	checkApplied(t, c.converge(), acked)
}

// Guards against a leader that was suspended and replaced and then reports a proposal as successful that was not applied,
// or reports a QuorumAt after its successor's election.
func TestFrozenLeader(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	c.propose("before")
	old := c.leader()
	id := old.Status().ID
	resume := c.net.freeze(id)

	result := make(chan error, 1)
	go func() {
		_, err := old.Propose(context.Background(), []byte("while-frozen"))
		result <- err
	}()
	next := c.leader(id)
	since := next.Status().LeaderSince
	c.propose("after", id)
	if quorumAt := old.Status().QuorumAt; quorumAt.After(since) {
		t.Errorf("frozen leader reports quorum at %v, after its successor was elected at %v", quorumAt, since)
	}
	resume()
	err := <-result
	state := c.converge()
	if applied := strings.Contains(state, "while-frozen"); err == nil && !applied {
		t.Errorf("proposal was acknowledged but not applied; state %q", state)
	}
	var notLeader *NotLeaderError
	if err != nil && !errors.Is(err, ErrOutcomeUnknown) && !errors.As(err, &notLeader) {
		t.Errorf("proposal to the frozen leader: unexpected error %v", err)
	}
	checkApplied(t, state, []string{"before"})
}

// Guards against long network partitions, in one or both directions, that stop the majority, leave the isolated leader in
// its role, acknowledge a proposal there, or prevent a voter from catching up afterwards.
func TestLongPartitions(t *testing.T) {
	tests := map[string]struct {
		in, out bool // blocked directions of the leader; if neither, a follower is isolated
	}{
		"leader, both directions":   {in: true, out: true},
		"leader, outbound":          {out: true},
		"leader, inbound":           {in: true},
		"follower, both directions": {},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3)
			c.startAll()
			c.propose("before")
			old := c.leader()
			id := old.Status().ID
			isolated := id
			if !tc.in && !tc.out {
				isolated = c.others(id)[0]
			}
			for _, o := range c.others(isolated) {
				if tc.in || isolated != id {
					c.net.block(o, isolated)
				}
				if tc.out || isolated != id {
					c.net.block(isolated, o)
				}
			}

			var except []ident.NodeID
			if isolated == id {
				except = []ident.NodeID{id}
				_, err := old.Propose(context.Background(), []byte("cut-off"))
				var notLeader *NotLeaderError
				if !errors.Is(err, ErrOutcomeUnknown) && !errors.As(err, &notLeader) {
					t.Errorf("proposal to the isolated leader: unexpected error %v", err)
				}
				c.eventually("isolated leader steps down", func() bool { return !old.Status().IsLeader })
			}
			for i := range 300 { // more entries than the log retains before a snapshot
				c.propose(fmt.Sprintf("x%d", i), except...)
			}
			c.net.heal()
			c.propose("healed")
			if state := c.converge(); !strings.Contains(state, "x299 ") || !strings.Contains(state, "healed") {
				t.Errorf("commands are missing from state %q", state)
			}
		})
	}
}

// Guards against a voter with a replaced disk that participates under its old identity or is promoted before it has all
// committed entries, and against a cluster that does not survive the loss of another voter right after the repair.
func TestDiskLostThenAnotherVoter(t *testing.T) {
	for name, loseLeader := range map[string]bool{"then a follower": false, "then the leader": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3)
			c.startAll()
			acked, _ := c.proposeMany("a", 500)
			leader := c.leader()
			lost := c.others(leader.Status().ID)[0]
			old := c.voter(lost).Status().Disk
			c.stop(lost)
			c.dirs[lost] = t.TempDir()
			v := c.start(lost)
			c.eventually("the voter with the new disk is excluded", func() bool { return v.Status().Excluded })
			if st := v.Status(); st.Formed || st.Disk == old || st.Term != 0 || st.LastIndex != 0 {
				t.Fatalf("voter with a new disk participates before it is added: %+v", st)
			}

			ctx := context.Background()
			// The new disk's announcement may reach the leader later than the peer that answered it.
			c.eventually("learner is added", func() bool { return leader.AddLearner(ctx, Member{ID: lost}) == nil })
			if st := leader.Status(); len(st.Voters) != 2 || len(st.Learners) != 1 {
				t.Fatalf("got voters %v and learners %v, want 2 voters and 1 learner", st.Voters, st.Learners)
			}
			commit := leader.Status().CommitIndex
			if err := leader.Promote(ctx, lost); err != nil {
				t.Fatal(err)
			}
			if got := v.Status().LastIndex; got < commit {
				t.Errorf("learner was promoted with %d of %d committed entries", got, commit)
			}

			second := leader.Status().ID
			if !loseLeader {
				second = c.others(lost)[0]
				if second == leader.Status().ID {
					second = c.others(lost)[1]
				}
			}
			c.stop(second)
			c.propose("two-left")
			checkApplied(t, c.converge(c.others(second)...), append(acked, "two-left"))
		})
	}
}

// Guards against a new voter that can't join, a learner that is promoted while it is down, and a removed voter, here the
// leader, that disrupts the others.
func TestJoinAndRemove(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	acked, _ := c.proposeMany("a", 300)
	c.ids = append(slices.Clone(c.ids), "v4")
	c.dirs["v4"] = t.TempDir()
	c.start("v4")
	leader := c.leader()
	c.eventually("learner is added", func() bool { return leader.AddLearner(context.Background(), Member{ID: "v4"}) == nil })
	c.converge()
	c.stop("v4")
	c.propose("while-down")
	c.eventually("promotion of the stopped learner is rejected", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		return errors.Is(leader.Promote(ctx, "v4"), consensus.ErrNotCaughtUp)
	})
	c.start("v4")
	if err := leader.Promote(context.Background(), "v4"); err != nil {
		t.Fatal(err)
	}
	removed := leader.Status().ID
	if err := leader.Remove(context.Background(), removed); err != nil {
		t.Fatal(err)
	}
	c.propose("after", removed)
	checkApplied(t, c.converge(c.others(removed)...), append(acked, "while-down", "after"))
}

// faultFS fails the syncs or writes of all files on demand.
type faultFS struct {
	wal.OS
	failSync, diskFull *atomic.Bool
}

type faultFile struct {
	wal.File
	fs faultFS
}

func (f faultFS) Create(name string) (wal.File, error) {
	file, err := f.OS.Create(name)

	return faultFile{File: file, fs: f}, err
}

func (f faultFile) Write(b []byte) (int, error) {
	if f.fs.diskFull.Load() {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, errors.New("no space left on device")
	}

	return f.File.Write(b)
}

func (f faultFile) Sync() error {
	if f.fs.failSync.Load() {
		return errors.New("input/output error")
	}

	return f.File.Sync()
}

// Guards against a voter that acknowledges proposals, remains leader or continues after a failed sync or on a full disk,
// and against one that can't recover after a restart.
func TestDiskFails(t *testing.T) {
	for name, full := range map[string]bool{"failed sync": false, "full disk": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1)
			fs := faultFS{failSync: &atomic.Bool{}, diskFull: &atomic.Bool{}}
			v := c.start("v1", WithFS(fs))
			c.propose("before")
			if full {
				fs.diskFull.Store(true)
			} else {
				fs.failSync.Store(true)
			}
			if _, err := v.Propose(context.Background(), []byte("failed")); !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("proposal during the failure: got error %v, want ErrOutcomeUnknown", err)
			}
			<-v.Done()
			if st := v.Status(); st.Err == nil || st.IsLeader || st.Ready {
				t.Errorf("voter is still running after the failure: %+v", st)
			}
			if err := c.cleanups["v1"](); err == nil {
				t.Error("the clean-up function did not return the failure")
			}
			if _, err := v.Propose(context.Background(), []byte("stopped")); !errors.Is(err, ErrStopped) {
				t.Errorf("proposal to a stopped voter: got error %v, want ErrStopped", err)
			}
			c.start("v1")
			c.propose("restarted")
			checkApplied(t, c.converge(), []string{"before", "restarted"})
		})
	}
}

// Guards against commands that are lost or applied twice when all voters restart after snapshots and compaction.
func TestRestartAll(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	acked, _ := c.proposeMany("x", 1000)
	want := c.converge()
	checkApplied(t, want, acked)
	for _, id := range c.ids {
		c.stop(id)
	}
	c.startAll()
	c.propose("last")
	if diff := cmp.Diff(want+"last ", c.converge()); diff != "" {
		t.Errorf("state after the restart differs (-want +got):\n%s", diff)
	}
}

// blockingApply is a state machine that blocks the voter's goroutine when it applies the command "hold": it closes entered
// and then waits until release is closed.
type blockingApply struct {
	recordingStateMachine
	entered, release chan struct{}
}

func (m *blockingApply) Apply(index uint64, data []byte) []byte {
	if string(data) == "hold" {
		close(m.entered)
		<-m.release
	}

	return m.recordingStateMachine.Apply(index, data)
}

// Guards against one sync per proposal: all proposals that are queued at the same time must share one.
func TestGroupCommit(t *testing.T) {
	sm := &blockingApply{entered: make(chan struct{}), release: make(chan struct{})}
	v, stop, err := Start(Config{ID: "v1", Dir: t.TempDir(), Voters: []ident.NodeID{"v1"}, Tick: 5 * time.Millisecond}, sm, sender{net: &network{}})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stop() }()
	c := &cluster{t: t, net: &network{}}
	c.eventually("leader", func() bool { return v.Status().Ready })

	var wg sync.WaitGroup
	propose := func(data string) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if _, err := v.Propose(context.Background(), []byte(data)); err != nil {
				t.Error(err)
			}
		}()
	}
	propose("hold")
	<-sm.entered
	before := v.Status().Syncs // published before "hold" was applied, so at most the sync of that entry is missing
	for i := range 100 {
		propose(fmt.Sprint(i))
	}
	c.eventually("100 proposals are queued", func() bool { return len(v.requests) == 100 })
	close(sm.release)
	wg.Wait()
	if syncs := v.Status().Syncs - before; syncs > 2 {
		t.Errorf("101 proposals took %d syncs, want at most 2", syncs)
	}
}

// blockingSnapshot is a state machine that blocks the voter's goroutine in Snapshot until release is closed.
type blockingSnapshot struct {
	recordingStateMachine
	release chan struct{}
}

func (s *blockingSnapshot) Snapshot() ([]byte, error) {
	<-s.release

	return s.recordingStateMachine.Snapshot()
}

// Guards against a status that does not yet cover a result that was delivered. Leases depend on its CommitIndex.
func TestStatusCoversResult(t *testing.T) {
	sm := &blockingSnapshot{release: make(chan struct{})}
	// Entry 1 is the membership and entry 2 the first of the leader's term; the snapshot is taken after entry 3.
	cfg := Config{ID: "v1", Dir: t.TempDir(), Voters: []ident.NodeID{"v1"}, SnapshotEvery: 3, Tick: 5 * time.Millisecond}
	v, stop, err := Start(cfg, sm, sender{net: &network{}})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stop() }()
	c := &cluster{t: t, net: &network{}}
	c.eventually("leader", func() bool { return v.Status().Ready })
	if _, err := v.Propose(context.Background(), []byte("x")); err != nil {
		t.Error(err)
	}
	if st := v.Status(); st.AppliedIndex < 3 || st.CommitIndex < 3 {
		t.Errorf("after the result of entry 3: applied index %d, commit index %d", st.AppliedIndex, st.CommitIndex)
	}
	close(sm.release)
}

// Guards against repeated split votes. On machines that give the same random bytes to processes that start together, the
// voters drew the same election timeouts, and a cluster with two remaining voters had no leader for 1.9 s.
func TestVotersDrawDifferentTimeouts(t *testing.T) {
	const random = 42

	draws := func(id ident.NodeID) []int {
		r := rand.New(rand.NewSource(mixSeed(random, id)))

		var out []int
		for range 4 {
			out = append(out, r.Intn(consensus.DefaultElectionTicks))
		}

		return out
	}

	if cmp.Equal(draws("10.1.0.5:7340"), draws("10.3.0.13:7340")) {
		t.Errorf("two voters drew the same election timeouts %v", draws("10.1.0.5:7340"))
	}

	if !cmp.Equal(draws("10.1.0.5:7340"), draws("10.1.0.5:7340")) {
		t.Errorf("the same seed and id gave different election timeouts")
	}
}
