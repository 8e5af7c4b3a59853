package entry

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fulmarfall/configuration"
	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/roster"
	"fulmarfall/transport"
	"fulmarfall/wire"

	"github.com/google/go-cmp/cmp"
)

// fakeControlVM answers wire.Follow from its own control state and roster. connected is false for a control VM without
// a leader.
type fakeControlVM struct {
	id        ident.NodeID
	state     *control.State
	connected bool

	mu     sync.Mutex
	roster *roster.Table
	// contactRequests records, for each exchange, whether the node asked for the control VMs only.
	contactRequests []bool
}

func (f *fakeControlVM) receivedContactRequests() []bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return slices.Clone(f.contactRequests)
}

func newFakeControlVM(t *testing.T, connected bool) *fakeControlVM {
	t.Helper()

	at := freeAddress(t)

	return newFakeControlVMAt(t, at, at, connected)
}

// newFakeControlVMAt takes the node ID separately from the listening address, for a control VM behind a relay.
func newFakeControlVMAt(t *testing.T, at, id ident.NodeID, connected bool) *fakeControlVM {
	t.Helper()

	f := &fakeControlVM{id: id, state: control.New(), connected: connected, roster: roster.NewTable(1)}

	listenAs(t, at, id, f.handle)

	return f
}

// listenAs serves messages to the node ID at a listening address until the end of the test.
func listenAs(t *testing.T, at, id ident.NodeID, h transport.Handler) {
	t.Helper()

	identity, err := transport.NewUnverifiedIdentity(id)
	if err != nil {
		t.Fatalf("identity: %v", err)
	}

	_, stop, err := transport.Listen(string(at), identity, h)
	if err != nil {
		t.Fatalf("listen: %v", err)
	}

	t.Cleanup(func() {
		if err := stop(); err != nil {
			t.Errorf("stop control VM: %v", err)
		}
	})
}

func (f *fakeControlVM) handle(_ context.Context, _ ident.NodeID, m wire.Message) wire.Message {
	req, ok := m.(*wire.Follow)
	if !ok {
		return nil
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	f.contactRequests = append(f.contactRequests, req.Contacts)
	u := f.roster.Since(time.Now(), roster.Query{Cursor: req.Cursor(), ControlVMsFirst: req.Contacts})
	r := &wire.Followed{
		OK: true, RosterEpoch: f.roster.Epoch(), RosterVersion: u.Version, Instances: wire.ToWireInstances(time.Now(), u.Reports),
		Refreshes: wire.ToWireRefreshes(u.Refreshes), More: u.More, Connected: f.connected,
	}

	entries, _ := f.state.CommandsSince(req.Applied)
	for _, e := range entries {
		r.Entries = append(r.Entries, wire.Entry{Index: e.Index, Data: e.Data})
	}

	return r
}

func (f *fakeControlVM) putConfiguration(t *testing.T, index uint64, v configuration.Version) {
	t.Helper()

	packed, err := configuration.Pack([]byte{byte(v)})
	if err != nil {
		t.Fatalf("pack: %v", err)
	}

	data, err := control.EncodeCommand(time.Now(), control.PutConfiguration{Version: v, Document: packed})
	if err != nil {
		t.Fatalf("encode: %v", err)
	}

	f.state.Apply(index, data)
}

func freeAddress(t testing.TB) ident.NodeID {
	t.Helper()

	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("find a port: %v", err)
	}
	defer func() { _ = conn.Close() }()

	return ident.NodeID(conn.LocalAddr().String())
}

// configFor returns the configuration of a node in failure domain dar of region pwani.
func configFor(tb testing.TB, seeds ...ident.NodeID) Config {
	tb.Helper()

	return Config{
		Node: freeAddress(tb), Address: "127.0.0.1:1", FailureDomain: "dar", Region: "pwani",
		Regions: map[ident.FailureDomain]ident.Region{"dar": "pwani"}, Seeds: seeds, Incarnation: 1, RetryWindow: time.Second,
	}
}

// plainCodec decodes documents that consist of the version in one byte.
type plainCodec struct{ Codec }

func (plainCodec) DecodeConfiguration(content []byte) (*configuration.Configuration, error) {
	return &configuration.Configuration{Version: configuration.Version(content[0])}, nil
}

// Guards against an entry VM that keeps the configuration of a control VM that is partitioned from the others: the
// first seed answers but has no leader.
func TestFollowLeavesDisconnectedControlVM(t *testing.T) {
	isolated, healthy := newFakeControlVM(t, false), newFakeControlVM(t, true)
	isolated.putConfiguration(t, 1, 1)
	healthy.putConfiguration(t, 1, 1)
	healthy.putConfiguration(t, 2, 2)

	n, stop, err := Start(configFor(t, isolated.id, healthy.id), plainCodec{})
	if err != nil {
		t.Fatalf("start: %v", err)
	}
	defer func() {
		if err := stop(); err != nil {
			t.Errorf("stop: %v", err)
		}
	}()

	var got configuration.Version

	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && got != 2; time.Sleep(10 * time.Millisecond) {
		if v := n.view.Load(); v != nil {
			got = v.configuration.Version
		}
	}

	if got != 2 {
		t.Errorf("configuration in force is version %d, want 2", got)
	}
}

// relay forwards datagrams between a node and a control VM, and drops them once dropping is set.
type relay struct {
	id       ident.NodeID
	dropping atomic.Bool
}

// newRelay returns a relay to the control VM at an address. Its id is the address at which the relay listens.
func newRelay(t *testing.T, to string) *relay {
	t.Helper()

	front, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}

	back, err := net.Dial("udp", to)
	if err != nil {
		t.Fatalf("dial: %v", err)
	}

	t.Cleanup(func() { _, _ = front.Close(), back.Close() })

	r := &relay{id: ident.NodeID(front.LocalAddr().String())}

	var node atomic.Pointer[net.Addr]

	go func() {
		buf := make([]byte, 64<<10)

		for {
			n, from, err := front.ReadFrom(buf)
			if err != nil {
				return
			}

			node.Store(&from)

			if !r.dropping.Load() {
				_, _ = back.Write(buf[:n])
			}
		}
	}()

	go func() {
		buf := make([]byte, 64<<10)

		for {
			n, err := back.Read(buf)
			if err != nil {
				return
			}

			if to := node.Load(); to != nil && !r.dropping.Load() {
				_, _ = front.WriteTo(buf[:n], *to)
			}
		}
	}()

	return r
}

// Guards against an entry VM that outlives its grace period: without a timeout, the shutdown waits up to 2 s for a
// frozen control VM to close their connection (soak seed 105).
func TestStopDoesNotWaitForPeers(t *testing.T) {
	at := freeAddress(t)
	r := newRelay(t, string(at))
	vm := newFakeControlVMAt(t, at, r.id, true)
	vm.putConfiguration(t, 1, 1)

	n, stop, err := Start(configFor(t, r.id), plainCodec{})
	if err != nil {
		t.Fatalf("start: %v", err)
	}

	for end := time.Now().Add(10 * time.Second); n.view.Load() == nil && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
	}

	r.dropping.Store(true)

	began := time.Now()
	if err := stop(); err != nil {
		t.Errorf("stop: %v", err)
	}

	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("the shutdown took %v", took)
	}
}

// Guards against an entry VM that fetches the roster of a large installation from the first control VM that it
// contacts. It should ask that one only for the other control VMs, and fetch the roster from the nearest.
func TestRosterIsFetchedFromNearestControlVM(t *testing.T) {
	const searchers = 600

	seed, nearest := newFakeControlVM(t, true), newFakeControlVM(t, true)

	now := time.Now()
	for _, vm := range []*fakeControlVM{seed, nearest} {
		vm.putConfiguration(t, 1, 1)

		for i := range searchers {
			vm.roster.ApplyReport(now, roster.Instance{
				ID: roster.InstanceID(fmt.Sprint(i)), Role: roster.RoleSearcher, Address: fmt.Sprint(i), Born: 1, Sequence: 1,
			}, 0)
		}

		vm.roster.ApplyReport(now, roster.Instance{ID: roster.InstanceID(seed.id), Role: roster.RoleControl, FailureDomain: "arusha", Born: 1, Sequence: 1}, 0)
		vm.roster.ApplyReport(now, roster.Instance{ID: roster.InstanceID(nearest.id), Role: roster.RoleControl, FailureDomain: "dar", Born: 1, Sequence: 1}, 0)
	}

	cfg := configFor(t, seed.id)
	cfg.Regions["arusha"] = "kaskazini"

	n, stop, err := Start(cfg, plainCodec{})
	if err != nil {
		t.Fatalf("start: %v", err)
	}

	listed := 0

	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && listed < searchers; time.Sleep(10 * time.Millisecond) {
		listed = 0
		if v := n.view.Load(); v != nil {
			listed = len(v.byID)
		}
	}

	if err := stop(); err != nil {
		t.Errorf("stop: %v", err)
	}

	if diff := cmp.Diff([]bool{true}, seed.receivedContactRequests()); diff != "" || listed != searchers {
		t.Errorf("%d searchers listed, want %d; exchanges with the seed differ (-want +got):\n%s", listed, searchers, diff)
	}

	if got := nearest.receivedContactRequests(); len(got) < 3 || slices.Contains(got, true) {
		t.Errorf("exchanges with the nearest control VM: %v, want three or more, all for the whole roster", got)
	}
}

// Guards against idle entry VMs that load the control VMs as much as busy ones, and against one that reports its load
// late when callers start to use it.
func TestIdleNodeFollowsLessOften(t *testing.T) {
	for name, tc := range map[string]struct {
		attempts int64 // per round of 250 ms
		least    int
		most     int
	}{
		"no callers":  {0, 3, 5},
		"one request": {1, 7, 9},
	} {
		t.Run(name, func(t *testing.T) {
			n := &Node{}
			n.links.init()
			n.view.Store(&view{})

			var (
				f         = &followState{vms: map[ident.NodeID]*controlVMState{}}
				start     = time.Now()
				exchanges = 0
			)

			for i := range 8 {
				now := start.Add(time.Duration(i) * followInterval)
				n.attempts.Add(tc.attempts)

				if !n.exchangeDue(f, now) {
					continue
				}

				exchanges++
				f.lastExchange = now
				n.load.measure(now, n.attempts.Load())
			}

			if exchanges < tc.least || exchanges > tc.most {
				t.Errorf("%d exchanges in 2 s, want %d to %d", exchanges, tc.least, tc.most)
			}
		})
	}
}
