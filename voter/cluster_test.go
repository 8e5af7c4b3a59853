package voter

// A cluster of voters over an in-memory network with cuts.

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

// testTimeout only ends a test that would hang; no verdict depends on it.
const testTimeout = 60 * time.Second

// listMachine keeps the applied commands in order.
type listMachine struct {
	mu   sync.Mutex
	data []byte
	n    int
}

func (l *listMachine) Apply(_ uint64, data []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.data = append(append(l.data, data...), ' ')
	l.n++

	return fmt.Appendf(nil, "%d", l.n)
}

func (l *listMachine) Snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return append(fmt.Appendf(nil, "%d\n", l.n), l.data...), nil
}

func (l *listMachine) Restore(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var rest int
	if _, err := fmt.Sscanf(string(data), "%d\n", &l.n); err != nil {
		return err
	}
	for rest = 0; data[rest] != '\n'; rest++ {
	}
	l.data = append([]byte(nil), data[rest+1:]...)

	return nil
}

func (l *listMachine) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()

	return string(l.data)
}

// network delivers messages in order per pair; cut pairs lose them silently.
type network struct {
	mu     sync.Mutex
	voters map[ident.NodeID]*Voter
	cuts   map[[2]ident.NodeID]bool
	frozen map[ident.NodeID]chan struct{}
}

type sender struct {
	net  *network
	from ident.NodeID
}

func (s sender) Send(to ident.NodeID, msg []byte) {
	s.net.mu.Lock()
	v := s.net.voters[to]
	cut := s.net.cuts[[2]ident.NodeID{s.from, to}]
	frozen := s.net.frozen[s.from]
	s.net.mu.Unlock()
	if frozen != nil {
		<-frozen // holds the goroutine of the voter, as a stopped process would
	}
	if v != nil && !cut {
		v.Receive(s.from, msg)
	}
}

// cut loses the messages from one voter to another.
func (n *network) cut(from, to ident.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]ident.NodeID{from, to}] = true
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
}

// freeze stops a voter at its next message until thaw is called.
func (n *network) freeze(id ident.NodeID) (thaw func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	held := make(chan struct{})
	n.frozen[id] = held

	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.frozen, id)
		close(held)
	}
}

type cluster struct {
	t        *testing.T
	net      *network
	ids      []ident.NodeID
	first    []ident.NodeID // voters of the first start
	dirs     map[ident.NodeID]string
	machines map[ident.NodeID]*listMachine
	stops    map[ident.NodeID]func() error
	every    uint64
}

func newCluster(t *testing.T, size int) *cluster {
	t.Helper()
	c := &cluster{
		t: t, net: &network{voters: map[ident.NodeID]*Voter{}, cuts: map[[2]ident.NodeID]bool{}, frozen: map[ident.NodeID]chan struct{}{}},
		dirs: map[ident.NodeID]string{}, machines: map[ident.NodeID]*listMachine{}, stops: map[ident.NodeID]func() error{},
		every: 200,
	}
	for i := range size {
		id := ident.NodeID(fmt.Sprintf("v%d", i+1))
		c.ids = append(c.ids, id)
		c.dirs[id] = t.TempDir()
	}
	c.first = c.ids
	t.Cleanup(func() {
		for id := range c.stops {
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
	sm := &listMachine{}
	cfg := Config{ID: id, Dir: c.dirs[id], Voters: c.first, SnapshotEvery: c.every, Tick: 5 * time.Millisecond}
	v, stop, err := Start(cfg, sm, sender{net: c.net, from: id}, opts...)
	if err != nil {
		c.t.Fatalf("start %s: %v", id, err)
	}
	c.net.mu.Lock()
	c.net.voters[id] = v
	c.net.mu.Unlock()
	c.machines[id], c.stops[id] = sm, stop

	return v
}

func (c *cluster) stop(id ident.NodeID) {
	c.net.mu.Lock()
	delete(c.net.voters, id)
	c.net.mu.Unlock()
	if stop := c.stops[id]; stop != nil {
		_ = stop()
		delete(c.stops, id)
	}
}

func (c *cluster) voter(id ident.NodeID) *Voter {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()

	return c.net.voters[id]
}

// eventually waits for a condition; the limit only ends a test that would hang.
func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	for limit := time.Now().Add(testTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(limit) {
			for _, id := range c.ids {
				if v := c.voter(id); v != nil {
					c.t.Logf("%s: %+v", id, v.Status())
				}
			}
			c.t.Fatalf("did not happen: %s", what)
		}
	}
}

// leader waits for a ready leader among the running voters, other than those excluded.
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

// propose retries until a proposal is known to be applied. A retry after an unknown outcome may apply twice.
func (c *cluster) propose(data string, except ...ident.NodeID) {
	c.t.Helper()
	c.eventually("proposal "+data, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err := c.leader(except...).Propose(ctx, []byte(data))
		return err == nil
	})
}

// converge waits until the named voters have applied the same and returns it.
func (c *cluster) converge(ids ...ident.NodeID) string {
	c.t.Helper()
	if len(ids) == 0 {
		ids = c.ids
	}
	c.eventually("all voters equal", func() bool {
		for _, id := range ids[1:] {
			if c.voter(id).Status().AppliedIndex != c.voter(ids[0]).Status().AppliedIndex {
				return false
			}
		}
		return c.voter(ids[0]).Status().AppliedIndex == c.leader().Status().CommitIndex
	})
	want := c.machines[ids[0]].String()
	for _, id := range ids[1:] {
		if diff := cmp.Diff(want, c.machines[id].String()); diff != "" {
			c.t.Errorf("state of %s differs from %s (-want +got):\n%s", id, ids[0], diff)
		}
	}

	return want
}

// Guards against a cluster that does not form, elect, replicate or answer a follower's caller.
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
