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

// fakeControlVM answers Follow from a control state of its own.
type fakeControlVM struct {
	id        ident.NodeID
	state     *control.State
	connected bool

	mu     sync.Mutex
	roster *roster.Table
	// contacts holds for each question whether it asked for control VMs first.
	contacts []bool
}

func (f *fakeControlVM) questions() []bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return slices.Clone(f.contacts)
}

func newFakeControlVM(t *testing.T, connected bool) *fakeControlVM {
	t.Helper()

	at := freeAddress(t)

	return newFakeControlVMAt(t, at, at, connected)
}

// newFakeControlVMAt listens at an address under an id.
func newFakeControlVMAt(t *testing.T, at, id ident.NodeID, connected bool) *fakeControlVM {
	t.Helper()

	f := &fakeControlVM{id: id, state: control.New(), connected: connected, roster: roster.NewTable(1)}

	listenAs(t, at, id, f.handle)

	return f
}

// listenAs serves messages of nodes at an address under an id until the end of the test.
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

	f.contacts = append(f.contacts, req.Contacts)
	u := f.roster.Since(time.Now(), roster.Query{Cursor: req.Cursor(), Contacts: req.Contacts})
	r := &wire.Followed{
		OK: true, RosterEpoch: f.roster.Epoch(), RosterVersion: u.Version, Instances: wire.InstancesOf(time.Now(), u.Reports),
		Refreshes: wire.RefreshesOf(u.Refreshes), More: u.More, Connected: f.connected,
	}

	entries, _ := f.state.CommandsSince(req.Applied)
	for _, e := range entries {
		r.Entries = append(r.Entries, wire.Entry{Index: e.Index, Data: e.Data})
	}

	return r
}

func (f *fakeControlVM) put(t *testing.T, index uint64, v configuration.Version) {
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

// configFor returns the settings of a node in failure domain dar of region pwani.
func configFor(tb testing.TB, seeds ...ident.NodeID) Config {
	tb.Helper()

	return Config{
		Node: freeAddress(tb), Address: "127.0.0.1:1", FailureDomain: "dar", Region: "pwani",
		Regions: map[ident.FailureDomain]ident.Region{"dar": "pwani"}, Seeds: seeds, Incarnation: 1, RetryWindow: time.Second,
	}
}

// plainCodec decodes documents of one byte: the version.
type plainCodec struct{ Codec }

func (plainCodec) DecodeConfiguration(content []byte) (*configuration.Configuration, error) {
	return &configuration.Configuration{Version: configuration.Version(content[0])}, nil
}

// Guards against an entry VM that goes on with the configuration of a control VM that is cut off from the others: the
// first seed is in its own failure domain, answers, and has no leader.
func TestFollowLeavesDisconnectedControlVM(t *testing.T) {
	cut, sound := newFakeControlVM(t, false), newFakeControlVM(t, true)
	cut.put(t, 1, 1)
	sound.put(t, 1, 1)
	sound.put(t, 2, 2)

	n, stop, err := Start(configFor(t, cut.id, sound.id), plainCodec{})
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

// relay passes datagrams between a node and a control VM until it is silenced.
type relay struct {
	id     ident.NodeID
	silent atomic.Bool
}

// newRelay listens at an address that stands for the control VM at another one.
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

			if !r.silent.Load() {
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

			if to := node.Load(); to != nil && !r.silent.Load() {
				_, _ = front.WriteTo(buf[:n], *to)
			}
		}
	}()

	return r
}

// Guards against an entry VM that outlives its grace period: the clean-up waited up to 2 s for a frozen control VM to end
// the connection between them (seed 105 of the soak).
func TestStopDoesNotWaitForPeers(t *testing.T) {
	at := freeAddress(t)
	r := newRelay(t, string(at))
	vm := newFakeControlVMAt(t, at, r.id, true)
	vm.put(t, 1, 1)

	n, stop, err := Start(configFor(t, r.id), plainCodec{})
	if err != nil {
		t.Fatalf("start: %v", err)
	}

	for end := time.Now().Add(10 * time.Second); n.view.Load() == nil && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
	}

	r.silent.Store(true)

	began := time.Now()
	if err := stop(); err != nil {
		t.Errorf("stop: %v", err)
	}

	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("the clean-up took %v", took)
	}
}

// Guards against an entry VM that fetches the roster of a large system from whatever control VM it finds first: it asks that
// one for the others, and the nearest one for the rest.
func TestRosterComesFromNearest(t *testing.T) {
	const searchers = 600

	seed, near := newFakeControlVM(t, true), newFakeControlVM(t, true)

	now := time.Now()
	for _, vm := range []*fakeControlVM{seed, near} {
		vm.put(t, 1, 1)

		for i := range searchers {
			vm.roster.Heard(now, roster.Instance{
				ID: roster.InstanceID(fmt.Sprint(i)), Role: roster.RoleSearcher, Address: fmt.Sprint(i), Born: 1, Sequence: 1,
			}, 0)
		}

		vm.roster.Heard(now, roster.Instance{ID: roster.InstanceID(seed.id), Role: roster.RoleControl, FailureDomain: "arusha", Born: 1, Sequence: 1}, 0)
		vm.roster.Heard(now, roster.Instance{ID: roster.InstanceID(near.id), Role: roster.RoleControl, FailureDomain: "dar", Born: 1, Sequence: 1}, 0)
	}

	cfg := configFor(t, seed.id)
	cfg.Regions["arusha"] = "kaskazini"

	n, stop, err := Start(cfg, plainCodec{})
	if err != nil {
		t.Fatalf("start: %v", err)
	}

	known := 0

	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && known < searchers; time.Sleep(10 * time.Millisecond) {
		known = 0
		if v := n.view.Load(); v != nil {
			known = len(v.byID)
		}
	}

	if err := stop(); err != nil {
		t.Errorf("stop: %v", err)
	}

	if diff := cmp.Diff([]bool{true}, seed.questions()); diff != "" || known != searchers {
		t.Errorf("%d searchers known, want %d; questions to the seed differ (-want +got):\n%s", known, searchers, diff)
	}

	if got := near.questions(); len(got) < 3 || slices.Contains(got, true) {
		t.Errorf("questions to the nearest control VM: %v, want three or more for all", got)
	}
}

// Guards against entry VMs without callers that cost as much as busy ones, and against one to which callers come that
// tells of its load late.
func TestIdleNodeFollowsLessOften(t *testing.T) {
	for name, tc := range map[string]struct {
		attempts int64 // in each round of 250 ms
		least    int
		most     int
	}{
		"no callers":  {0, 3, 5},
		"one request": {1, 7, 9},
	} {
		t.Run(name, func(t *testing.T) {
			n := &Node{}
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
