package controlplane

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"fulmarfall/configuration"
	"fulmarfall/control"
	"fulmarfall/directory"
	"fulmarfall/ident"
	"fulmarfall/metrics"
	"fulmarfall/roster"
	"fulmarfall/usage"
	"fulmarfall/wire"
)

// waitTimeout limits how long a test waits for an election or a change of the set of voters.
const waitTimeout = 20 * time.Second

// cluster is a set of control VMs on loopback addresses.
type cluster struct {
	t           *testing.T
	ids         []ident.NodeID
	seeds       []ident.NodeID // of the next start
	folder      string
	planes      map[ident.NodeID]*Plane
	stops       map[ident.NodeID]func() error
	incarnation uint64
	// configure changes the configuration of the control VMs that are started, if it is set.
	configure func(*Config)
	options   []Option
}

func newCluster(t *testing.T, n int) *cluster {
	t.Helper()

	c := &cluster{t: t, folder: t.TempDir(), planes: map[ident.NodeID]*Plane{}, stops: map[ident.NodeID]func() error{}, incarnation: 1}
	for range n {
		c.ids = append(c.ids, freeAddress(t))
	}

	c.seeds = c.ids[:3]

	t.Cleanup(func() {
		for _, id := range c.ids {
			c.stop(id)
		}
	})

	return c
}

// freeAddress returns a loopback address with an unused UDP port.
func freeAddress(t *testing.T) ident.NodeID {
	t.Helper()

	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("find a free port: %v", err)
	}
	defer func() { _ = conn.Close() }()

	return ident.NodeID(conn.LocalAddr().String())
}

// start starts a control VM whose data is in the named folder.
func (c *cluster) start(id ident.NodeID, folder string, bootstrap bool) *Plane {
	c.t.Helper()

	c.incarnation++

	cfg := Config{
		Node: id, FailureDomain: "dar", Regions: map[ident.FailureDomain]ident.Region{"dar": "pwani", "arusha": "kaskazini"},
		DataFolder: filepath.Join(c.folder, folder), Seeds: c.seeds, Bootstrap: bootstrap, TolerableLosses: 1,
		Incarnation: c.incarnation, Quota: usage.Bounds{Window: 5 * time.Second, Overrun: 0.1, Slack: 20},
	}
	if c.configure != nil {
		c.configure(&cfg)
	}

	p, stop, err := Start(cfg, c.options...)
	if err != nil {
		c.t.Fatalf("start %s: %v", id, err)
	}

	c.planes[id], c.stops[id] = p, stop

	return p
}

func (c *cluster) stop(id ident.NodeID) {
	if stop, ok := c.stops[id]; ok {
		if err := stop(); err != nil {
			c.t.Errorf("stop %s: %v", id, err)
		}

		delete(c.stops, id)
		delete(c.planes, id)
	}
}

// eventually calls f until it returns nil, and fails the test after waitTimeout.
func (c *cluster) eventually(what string, f func(ctx context.Context) error) {
	c.t.Helper()

	var err error

	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		err = f(ctx)

		cancel()

		if err == nil {
			return
		}
	}

	c.t.Fatalf("%s: %v", what, err)
}

func (c *cluster) put(id ident.NodeID, v configuration.Version) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("put version %d", v), func(ctx context.Context) error {
		return c.planes[id].PutConfiguration(ctx, v, fmt.Appendf(nil, "document %d", v))
	})
}

func (c *cluster) wantVersion(v configuration.Version) {
	c.t.Helper()

	for id := range c.planes {
		type plain struct {
			Version configuration.Version
			Content string
		}

		var got plain

		c.eventually("read configuration at "+string(id), func(ctx context.Context) error {
			doc, err := c.planes[id].Configuration(ctx)
			if err != nil {
				return err
			}

			content, err := doc.Content.Unpack()
			got = plain{Version: doc.Version, Content: string(content)}

			return err
		})

		if diff := cmp.Diff(plain{Version: v, Content: fmt.Sprintf("document %d", v)}, got); diff != "" {
			c.t.Errorf("configuration at %s differs (-want +got):\n%s", id, diff)
		}
	}
}

// Guards against a configuration that can't be read after an election whose entry is the last one in the log, and against
// a configuration that is lost when all control VMs stop at once.
func TestConfigurationSurvivesRestart(t *testing.T) {
	c := newCluster(t, 3)
	for i, id := range c.ids {
		c.start(id, fmt.Sprint(i), true)
	}

	c.put(c.ids[0], 7)
	c.put(c.ids[1], 5)
	c.wantVersion(7)

	for _, id := range c.ids {
		c.stop(id)
	}

	for i, id := range c.ids {
		c.start(id, fmt.Sprint(i), false)
	}

	c.wantVersion(7)
}

// Guards against control VMs that do not learn of each other's searchers after a power failure, because all their seeds have
// been replaced since they were configured.
func TestRosterAfterPowerLossWithoutSeeds(t *testing.T) {
	c := newCluster(t, 3)
	for i, id := range c.ids {
		c.start(id, fmt.Sprint(i), true)
	}

	c.put(c.ids[0], 1)

	for _, id := range c.ids {
		c.stop(id)
	}

	c.seeds = []ident.NodeID{freeAddress(t)}
	for i, id := range c.ids {
		c.start(id, fmt.Sprint(i), false)
	}

	c.wantVersion(1)
	report(t, c.planes[c.ids[0]], roster.Instance{
		ID: "s1", Role: roster.RoleSearcher, Upstream: "stock", Address: "10.0.0.1:1", FailureDomain: "dar", Born: 5, Sequence: 1,
	})
	c.wantState("s1", roster.StateReady)
}

// Guards against control VMs with an empty disk that never become voters, and against lost voters that are never removed.
// Either would make the next loss fatal, so after each replacement another voter is stopped.
func TestVotersAreReplaced(t *testing.T) {
	c := newCluster(t, 5)
	for i, id := range c.ids[:3] {
		c.start(id, fmt.Sprint(i), true)
	}

	c.put(c.ids[0], 1)

	// A new machine with an empty disk, at another address, replaces the first one.
	c.stop(c.ids[0])
	c.start(c.ids[3], "3", false)
	c.wantVoters(c.ids[1], c.ids[2], c.ids[3])
	c.put(c.ids[3], 2)

	// The second one loses its disk and restarts at the same address.
	c.stop(c.ids[1])
	c.start(c.ids[1], "1 empty", false)
	c.wantVoters(c.ids[1], c.ids[2], c.ids[3])

	// The last of the initial voters is replaced, too.
	c.stop(c.ids[2])
	c.start(c.ids[4], "4", false)
	c.wantVoters(c.ids[1], c.ids[3], c.ids[4])
	c.wantVersion(2)
}

// Guards against missing metrics of a control VM: the changes that it has stored, whether it is the leader, and the size of
// its roster.
func TestPlaneMetrics(t *testing.T) {
	meters, stop := metrics.New(metrics.WithReportInterval(0))
	defer func() { _ = stop() }()

	id := freeAddress(t)

	p, stopPlane, err := Start(Config{
		Node: id, FailureDomain: "dar", DataFolder: t.TempDir(), Seeds: []ident.NodeID{id}, Bootstrap: true, Incarnation: 1,
	}, WithMetrics(meters))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stopPlane() }()

	c := &cluster{t: t, planes: map[ident.NodeID]*Plane{id: p}}
	c.put(id, 2)
	c.put(id, 1)
	report(t, p, roster.Instance{ID: "s1", Role: roster.RoleSearcher, Upstream: "stock", Address: "10.0.0.1:1", Born: 1, Sequence: 1})
	p.Addresses("dar", "pwani")

	c.eventually("metrics", func(context.Context) error {
		page := string(meters.Page())
		for _, want := range []string{
			`fulmarfall_control_changes_total{reason="stored"} 1`, `fulmarfall_control_changes_total{reason="unchanged"} 1`,
			"fulmarfall_reports_taken_total 1", "fulmarfall_directory_answers_total 1", "fulmarfall_voter_leads 1", "fulmarfall_voters 1",
			"fulmarfall_roster_instances 2",
		} {
			if !strings.Contains(page, want+"\n") {
				return fmt.Errorf("line %q is missing in\n%s", want, page)
			}
		}

		return nil
	})
}

// wantVoters waits until the set of voters is want and there are no learners.
func (c *cluster) wantVoters(want ...ident.NodeID) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("voters %v", want), func(context.Context) error {
		observed := ""

		for id, p := range c.planes {
			st := p.getVoter().Status()
			observed += fmt.Sprintf("; %s: leader %q formed %v excluded %v voters %v learners %v", id, st.Leader, st.Formed, st.Excluded, st.Voters, st.Learners)

			if !st.IsLeader || !st.Ready || len(st.Learners) > 0 || len(st.Voters) != len(want) {
				continue
			}

			missing := map[ident.NodeID]bool{}
			for _, id := range want {
				missing[id] = true
			}

			for _, m := range st.Voters {
				// A voter that has lost its disk stays in the set with the old disk until the new disk replaces it.
				if c.planes[m.ID] != nil && c.planes[m.ID].getVoter().Status().Disk == m.Disk {
					delete(missing, m.ID)
				}
			}

			if len(missing) == 0 {
				return nil
			}
		}

		return fmt.Errorf("no leader has this set of voters%s", observed)
	})
}

// Guards against an acknowledged end of a searcher that never reaches the other control VMs, and against failure domains
// that are not taken out of service or not returned to service.
func TestChangesReachEveryControlVM(t *testing.T) {
	c := newCluster(t, 3)
	for i, id := range c.ids {
		c.start(id, fmt.Sprint(i), true)
	}

	in := roster.Instance{
		ID: "s1", Role: roster.RoleSearcher, Upstream: "stock", Address: "10.0.0.1:1", FailureDomain: "dar", Born: 5, Sequence: 1,
	}
	report(t, c.planes[c.ids[0]], in)
	c.wantState("s1", roster.StateReady)

	in.State, in.Sequence = roster.StateLeaving, 2
	report(t, c.planes[c.ids[1]], in)
	c.wantConfirmed(c.ids[1], "s1", roster.StateLeaving)
	c.wantState("s1", roster.StateLeaving)

	if err := c.planes[c.ids[2]].EndLifetime("s1", 5); err != nil {
		t.Errorf("end searcher s1 at the third control VM: %v", err)
	}

	c.wantConfirmed(c.ids[2], "s1", roster.StateGone)
	c.wantState("s1", roster.StateGone)

	for _, inService := range []bool{false, true, false} {
		c.eventually("change failure domain", func(ctx context.Context) error {
			return c.planes[c.ids[0]].SetInService(ctx, waitingCall(c.planes[c.ids[0]]), "arusha", inService)
		})
		// Repeating the change at another control VM is acknowledged and has no effect.
		c.eventually("repeat change of failure domain", func(ctx context.Context) error {
			return c.planes[c.ids[1]].SetInService(ctx, waitingCall(c.planes[c.ids[1]]), "arusha", inService)
		})
	}
}

// wantConfirmed checks that a control VM other than the one that has just acknowledged a state has it already, because the
// first one may lose power at any time.
func (c *cluster) wantConfirmed(by ident.NodeID, id roster.InstanceID, want roster.State) {
	c.t.Helper()

	for at, p := range c.planes {
		p.mu.Lock()
		r, ok := p.roster.Lookup(roster.RoleSearcher, id)
		p.mu.Unlock()

		if at != by && ok && r.Instance.State == want {
			return
		}
	}

	c.t.Errorf("%s: no other control VM has state %v, which %s has acknowledged", id, want, by)
}

func (c *cluster) wantState(id roster.InstanceID, want roster.State) {
	c.t.Helper()

	for at, p := range c.planes {
		c.eventually(fmt.Sprintf("state of %s at %s", id, at), func(context.Context) error {
			p.mu.Lock()
			defer p.mu.Unlock()

			if r, ok := p.roster.Lookup(roster.RoleSearcher, id); !ok || r.Instance.State != want {
				return fmt.Errorf("state %d, in roster %v", r.Instance.State, ok)
			}

			return nil
		})
	}
}

// Guards against a process that panics when another node calls it while its voter is still reading the disk.
func TestCallsDuringStart(t *testing.T) {
	p := &Plane{
		cfg: Config{Node: "127.0.0.1:1"}, logger: &log.Logger{Level: log.PanicLevel}, state: control.New(),
		roster: roster.NewTable(1), peers: map[ident.NodeID]*peer{}, adviser: directory.NewAdviser(nil),
	}

	for name, m := range map[string]wire.Message{
		"raft": &wire.Raft{}, "follow": &wire.Follow{Self: wire.Instance{ID: "e1", Role: uint8(roster.RoleEntry), Born: 1, Sequence: 1}},
		"roster": &wire.Roster{}, "propose": &wire.Propose{}, "confirm": &wire.Confirm{},
		"usage": &wire.UsageReport{},
	} {
		switch r := p.handle(context.Background(), "127.0.0.1:2", m).(type) {
		case *wire.Followed:
			if r.Connected {
				t.Errorf("%s: a control VM without a voter reports that it has a leader", name)
			}
		case *wire.Proposed:
			if r.OK {
				t.Errorf("%s: accepted without a voter", name)
			}
		case *wire.Confirmed:
			if r.OK {
				t.Errorf("%s: confirmed without a voter", name)
			}
		case *wire.UsageGrant:
			if r.OK {
				t.Errorf("%s: granted without a voter", name)
			}
		}
	}
}
