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

// proposeMany proposes n commands at the present leader, many at a time, and returns those acknowledged and those of
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

// checkApplied checks that each acknowledged command was applied once and no other command more than once.
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

// Guards against acknowledged proposals that are lost, and proposals applied twice, when the leader goes down while
// many are in flight; and against proposals left without an answer.
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
			c.eventually("some entries in flight", func() bool { return leader.Status().LastIndex > start+50 })
			c.stop(id)
		}()
		ok, unknown := c.proposeMany(fmt.Sprintf("r%d-", round), 400)
		<-killed
		t.Logf("round %d: %d acknowledged, %d unknown", round, len(ok), len(unknown))
		acked = append(acked, ok...)
		c.propose(fmt.Sprintf("after%d", round))
		c.start(id)
	}
	checkApplied(t, c.converge(), acked)
}

// Guards against a leader that serves on after it was frozen and replaced: false success, or a quorum time later than
// the election of its successor.
func TestFrozenLeader(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	c.propose("before")
	old := c.leader()
	id := old.Status().ID
	thaw := c.net.freeze(id)

	result := make(chan error, 1)
	go func() {
		_, err := old.Propose(context.Background(), []byte("while-frozen"))
		result <- err
	}()
	next := c.leader(id)
	since := next.Status().LeaderSince
	c.propose("after", id)
	if quorumAt := old.Status().QuorumAt; quorumAt.After(since) {
		t.Errorf("frozen leader counts a quorum at %v, its successor leads since %v", quorumAt, since)
	}
	thaw()
	err := <-result
	state := c.converge()
	if applied := strings.Contains(state, "while-frozen"); err == nil && !applied {
		t.Errorf("success for a proposal that was not applied; state %q", state)
	}
	var notLeader *NotLeaderError
	if err != nil && !errors.Is(err, ErrOutcomeUnknown) && !errors.As(err, &notLeader) {
		t.Errorf("proposal at the frozen leader: %v", err)
	}
	checkApplied(t, state, []string{"before"})
}

// Guards against cuts, silent and long, that stop the majority, leave the cut-off leader in office, give a false
// success there, or keep a voter from catching up after them.
func TestLongCuts(t *testing.T) {
	tests := map[string]struct {
		in, out bool // which direction of the leader is cut
	}{
		"two-way":            {in: true, out: true},
		"leader not heard":   {out: true},
		"leader hears none":  {in: true},
		"a follower two-way": {},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3)
			c.startAll()
			c.propose("before")
			old := c.leader()
			id := old.Status().ID
			apart := id
			if !tc.in && !tc.out {
				apart = c.others(id)[0]
			}
			for _, o := range c.others(apart) {
				if tc.in || apart != id {
					c.net.cut(o, apart)
				}
				if tc.out || apart != id {
					c.net.cut(apart, o)
				}
			}

			var except []ident.NodeID
			if apart == id {
				except = []ident.NodeID{id}
				_, err := old.Propose(context.Background(), []byte("cut-off"))
				var notLeader *NotLeaderError
				if !errors.Is(err, ErrOutcomeUnknown) && !errors.As(err, &notLeader) {
					t.Errorf("proposal at the cut-off leader: %v", err)
				}
				c.eventually("cut-off leader steps down", func() bool { return !old.Status().IsLeader })
			}
			for i := range 300 { // more than the log keeps behind a snapshot
				c.propose(fmt.Sprintf("x%d", i), except...)
			}
			c.net.heal()
			c.propose("healed")
			if state := c.converge(); !strings.Contains(state, "x299 ") || !strings.Contains(state, "healed") {
				t.Errorf("state lacks changes: %q", state)
			}
		})
	}
}

// Guards against a voter with a new disk that takes part under its old identity, that is promoted before it holds
// everything, or that leaves the cluster unable to lose another voter right after the repair.
func TestDiskLostThenAnotherVoter(t *testing.T) {
	for name, loseLeader := range map[string]bool{"follower next": false, "leader next": true} {
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
			c.eventually("the new disk is recognised", func() bool { return v.Status().Excluded })
			if st := v.Status(); st.Formed || st.Disk == old || st.Term != 0 || st.LastIndex != 0 {
				t.Fatalf("voter with a new disk takes part: %+v", st)
			}

			ctx := context.Background()
			// The leader may learn of the new disk a moment later than the peer that answered it.
			c.eventually("learner is added", func() bool { return leader.AddLearner(ctx, Member{ID: lost}) == nil })
			if st := leader.Status(); len(st.Voters) != 2 || len(st.Learners) != 1 {
				t.Fatalf("voters %v, learners %v", st.Voters, st.Learners)
			}
			commit := leader.Status().CommitIndex
			if err := leader.Promote(ctx, lost); err != nil {
				t.Fatal(err)
			}
			if got := v.Status().LastIndex; got < commit {
				t.Errorf("promoted with %d of %d entries", got, commit)
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

// Guards against a new voter that can't join, one that is promoted although it is down, and a removed leader or a removed
// voter that disturbs the others.
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
	c.eventually("promotion is refused", func() bool {
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

// faultFS fails the syncs or the writes of log segments on demand.
type faultFS struct {
	wal.OS
	failSync, full *atomic.Bool
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
	if f.fs.full.Load() {
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

// Guards against a voter that acknowledges, leads or goes on after a failed sync or on a full disk, and that can't
// return after a restart.
func TestDiskFails(t *testing.T) {
	for name, full := range map[string]bool{"failed sync": false, "full disk": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1)
			fs := faultFS{failSync: &atomic.Bool{}, full: &atomic.Bool{}}
			v := c.start("v1", WithFS(fs))
			c.propose("before")
			if full {
				fs.full.Store(true)
			} else {
				fs.failSync.Store(true)
			}
			if _, err := v.Propose(context.Background(), []byte("failed")); !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("proposal: %v, want an unknown outcome", err)
			}
			<-v.Done()
			if st := v.Status(); st.Err == nil || st.IsLeader || st.Ready {
				t.Errorf("after the failure: %+v", st)
			}
			if err := c.stops["v1"](); err == nil {
				t.Error("the clean-up function reports no failure")
			}
			if _, err := v.Propose(context.Background(), []byte("stopped")); !errors.Is(err, ErrStopped) {
				t.Errorf("proposal at a stopped voter: %v", err)
			}
			c.start("v1")
			c.propose("restarted")
			checkApplied(t, c.converge(), []string{"before", "restarted"})
		})
	}
}

// Guards against changes that are lost or applied twice when all voters restart after many of them.
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

// holdMachine holds the goroutine of the voter in Apply until it is released.
type holdMachine struct {
	listMachine
	held, release chan struct{}
}

func (h *holdMachine) Apply(index uint64, data []byte) []byte {
	if string(data) == "hold" {
		close(h.held)
		<-h.release
	}

	return h.listMachine.Apply(index, data)
}

// Guards against one sync per proposal: all that wait together must share one.
func TestGroupSync(t *testing.T) {
	sm := &holdMachine{held: make(chan struct{}), release: make(chan struct{})}
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
	<-sm.held
	before := v.Status().Syncs // as published before the held entry: at most its own sync is missing
	for i := range 100 {
		propose(fmt.Sprint(i))
	}
	c.eventually("100 proposals wait", func() bool { return len(v.calls) == 100 })
	close(sm.release)
	wg.Wait()
	if syncs := v.Status().Syncs - before; syncs > 2 {
		t.Errorf("101 proposals took %d syncs, want 2", syncs)
	}
}

// slowSnapshot holds the goroutine of the voter in Snapshot until it is released.
type slowSnapshot struct {
	listMachine
	release chan struct{}
}

func (s *slowSnapshot) Snapshot() ([]byte, error) {
	<-s.release

	return s.listMachine.Snapshot()
}

// Guards against a status that is older than a result that was given, as leases are granted by its CommitIndex.
func TestStatusCoversResult(t *testing.T) {
	sm := &slowSnapshot{release: make(chan struct{})}
	// Entry 1 is the membership, 2 the first of the term; the snapshot follows entry 3.
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
		t.Errorf("after a result: applied %d, commit %d", st.AppliedIndex, st.CommitIndex)
	}
	close(sm.release)
}

// Guards against voters that split vote after vote: on machines that hand out the same random bytes to processes which
// start together, they drew the same election timeouts, and a system of two remaining voters had no leader for 1.9 s.
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
		t.Errorf("two voters draw the same timeouts %v", draws("10.1.0.5:7340"))
	}

	if !cmp.Equal(draws("10.1.0.5:7340"), draws("10.1.0.5:7340")) {
		t.Errorf("a voter's timeouts can't be repeated from its seed")
	}
}
