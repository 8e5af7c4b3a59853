package voter

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"fulmarfall/ident"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout only aborts a test that would hang; no check depends on its value.
const testTimeout = 60 * time.Second

// recordingStateMachine records the applied commands in order.
type recordingStateMachine struct {
	mu   sync.Mutex
	data []byte
	n    int
}

func (m *recordingStateMachine) Apply(_ uint64, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.data = append(append(m.data, data...), ' ')
	m.n++

	return fmt.Appendf(nil, "%d", m.n)
}

func (m *recordingStateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()

	return append(fmt.Appendf(nil, "%d\n", m.n), m.data...), nil
}

func (m *recordingStateMachine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	var headerEnd int
	if _, err := fmt.Sscanf(string(data), "%d\n", &m.n); err != nil {
		return err
	}
	for headerEnd = 0; data[headerEnd] != '\n'; headerEnd++ {
	}
	m.data = append([]byte(nil), data[headerEnd+1:]...)

	return nil
}

func (m *recordingStateMachine) String() string {
	m.mu.Lock()
	defer m.mu.Unlock()

	return string(m.data)
}

// network delivers messages in order per pair of voters and silently drops those of blocked pairs.
type network struct {
	mu      sync.Mutex
	voters  map[ident.NodeID]*Voter
	blocked map[[2]ident.NodeID]bool
	frozen  map[ident.NodeID]chan struct{}
}

type sender struct {
	net  *network
	from ident.NodeID
}

func (s sender) Send(to ident.NodeID, msg []byte) {
	s.net.mu.Lock()
	v := s.net.voters[to]
	blocked := s.net.blocked[[2]ident.NodeID{s.from, to}]
	frozen := s.net.frozen[s.from]
	s.net.mu.Unlock()
	if frozen != nil {
		<-frozen // blocks the voter's goroutine, as if the process were suspended
	}
	if v != nil && !blocked {
		v.Receive(s.from, msg)
	}
}

// block drops all messages from one voter to another until heal is called.
func (n *network) block(from, to ident.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]ident.NodeID{from, to}] = true
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.blocked)
}

// freeze blocks a voter's goroutine at its next outgoing message until resume is called.
func (n *network) freeze(id ident.NodeID) (resume func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	resumed := make(chan struct{})
	n.frozen[id] = resumed

	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.frozen, id)
		close(resumed)
	}
}

type cluster struct {
	t             *testing.T
	net           *network
	ids           []ident.NodeID
	initialVoters []ident.NodeID // Config.Voters of every start
	dirs          map[ident.NodeID]string
	stateMachines map[ident.NodeID]*recordingStateMachine
	cleanups      map[ident.NodeID]func() error
	snapshotEvery uint64
}

func newCluster(t *testing.T, size int) *cluster {
	t.Helper()
	c := &cluster{
		t: t, net: &network{voters: map[ident.NodeID]*Voter{}, blocked: map[[2]ident.NodeID]bool{}, frozen: map[ident.NodeID]chan struct{}{}},
		dirs: map[ident.NodeID]string{}, stateMachines: map[ident.NodeID]*recordingStateMachine{}, cleanups: map[ident.NodeID]func() error{},
		snapshotEvery: 200,
	}
	for i := range size {
		id := ident.NodeID(fmt.Sprintf("v%d", i+1))
		c.ids = append(c.ids, id)
		c.dirs[id] = t.TempDir()
	}
	c.initialVoters = c.ids
	t.Cleanup(func() {
		for id := range c.cleanups {
			c.stop(id)
		}
	})

	return c
}

func (c *cluster) startAll() {
	for _, id := range c.ids {
		c.start(id)
	}
}

func (c *cluster) start(id ident.NodeID, opts ...Option) *Voter {
	c.t.Helper()
	sm := &recordingStateMachine{}
	cfg := Config{ID: id, Dir: c.dirs[id], Voters: c.initialVoters, SnapshotEvery: c.snapshotEvery, Tick: 5 * time.Millisecond}
	v, stop, err := Start(cfg, sm, sender{net: c.net, from: id}, opts...)
	if err != nil {
		c.t.Fatalf("start %s: %v", id, err)
	}
	c.net.mu.Lock()
	c.net.voters[id] = v
	c.net.mu.Unlock()
	c.stateMachines[id], c.cleanups[id] = sm, stop

	return v
}

func (c *cluster) stop(id ident.NodeID) {
	c.net.mu.Lock()
	delete(c.net.voters, id)
	c.net.mu.Unlock()
	if stop := c.cleanups[id]; stop != nil {
		_ = stop()
		delete(c.cleanups, id)
	}
}

func (c *cluster) voter(id ident.NodeID) *Voter {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()

	return c.net.voters[id]
}

// eventually waits until ok returns true, and fails the test after testTimeout.
func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	for limit := time.Now().Add(testTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(limit) {
			for _, id := range c.ids {
				if v := c.voter(id); v != nil {
					c.t.Logf("%s: %+v", id, v.Status())
				}
			}
			c.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// leader waits for a ready leader among the running voters, except for the given ones, and returns it.
func (c *cluster) leader(except ...ident.NodeID) *Voter {
	c.t.Helper()
	var found *Voter
	c.eventually("a ready leader", func() bool {
		for _, id := range c.ids {
			v := c.voter(id)
			if v == nil || v.Status().Err != nil || !v.Status().Ready {
				continue
			}
			skip := false
			for _, x := range except {
				skip = skip || x == id
			}
			if !skip {
				found = v
				return true
			}
		}
		return false
	})

	return found
}

// propose retries until the proposal is known to be applied. A retry after an unknown outcome may apply it twice.
func (c *cluster) propose(data string, except ...ident.NodeID) {
	c.t.Helper()
	c.eventually("proposal "+data, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err := c.leader(except...).Propose(ctx, []byte(data))
		return err == nil
	})
}

// converge waits until the given voters, by default all, have applied every committed entry, checks that their states are
// equal and returns the state.
func (c *cluster) converge(ids ...ident.NodeID) string {
	c.t.Helper()
	if len(ids) == 0 {
		ids = c.ids
	}
	c.eventually("all voters have applied the same index", func() bool {
		for _, id := range ids[1:] {
			if c.voter(id).Status().AppliedIndex != c.voter(ids[0]).Status().AppliedIndex {
				return false
			}
		}
		return c.voter(ids[0]).Status().AppliedIndex == c.leader().Status().CommitIndex
	})
	want := c.stateMachines[ids[0]].String()
	for _, id := range ids[1:] {
		if diff := cmp.Diff(want, c.stateMachines[id].String()); diff != "" {
			c.t.Errorf("state of %s differs from %s (-want +got):\n%s", id, ids[0], diff)
		}
	}

	return want
}

// Checks that a cluster forms, elects a leader and replicates proposals, and that followers reject a proposal and name the
// leader.
func TestPropose(t *testing.T) {
	for name, size := range map[string]int{"one voter": 1, "three voters": 3} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, size)
			c.startAll()
			var want string
			for i := range 20 {
				data := fmt.Sprintf("x%d", i)
				c.propose(data)
				want += data + " "
			}
			if diff := cmp.Diff(want, c.converge()); diff != "" {
				t.Errorf("applied commands differ (-want +got):\n%s", diff)
			}

			leader := c.leader()
			for _, id := range c.ids {
				if id == leader.Status().ID {
					continue
				}
				_, err := c.voter(id).Propose(context.Background(), []byte("y"))
				var notLeader *NotLeaderError
				if !errors.As(err, &notLeader) || notLeader.Leader != leader.Status().ID {
					t.Errorf("Propose on follower %s: %v, want NotLeaderError naming %s", id, err, leader.Status().ID)
				}
			}
		})
	}
}
