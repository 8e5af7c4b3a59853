package controlplane

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"fulmarfall/configuration"
	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/rollout"
	"fulmarfall/roster"
	"fulmarfall/wire"
)

// newRolloutCluster starts three control VMs with roll-outs. Documents are lists of services, separated by commas.
func newRolloutCluster(t *testing.T, services string) *cluster {
	t.Helper()

	c := newCluster(t, 3)
	c.configure = func(cfg *Config) {
		cfg.Rollout = rollout.Limits{Enabled: true, CanaryShare: 0.1, CanarySlack: 50}
		cfg.DecodeConfiguration = func(content []byte) (*configuration.Configuration, error) {
			d := &configuration.Configuration{Upstreams: map[ident.UpstreamID]configuration.Upstream{}}
			for s := range strings.SplitSeq(string(content), ",") {
				d.Upstreams[ident.UpstreamID(s)] = configuration.Upstream{ID: ident.UpstreamID(s)}
			}

			return d, nil
		}
	}

	for _, id := range c.ids {
		c.start(id, string(id), true)
	}

	c.putServices(1, services)

	for i, v := range []ident.SoftwareVersion{"v1", "v2"} {
		for _, s := range []ident.UpstreamID{"stock", "desk"} {
			for _, p := range c.planes {
				report(t, p, roster.Instance{
					ID: roster.InstanceID(fmt.Sprintf("%s-%s", s, v)), Role: roster.RoleSearcher, Upstream: s, Version: v,
					Address: fmt.Sprintf("10.0.0.%d:%d", i+1, len(s)), FailureDomain: "dar", Born: uint64(5 + i), Sequence: 1,
				})
			}
		}
	}

	return c
}

func (c *cluster) putServices(v configuration.Version, services string) {
	c.t.Helper()
	c.eventually("put services", func(ctx context.Context) error {
		return c.planes[c.anyRunning()].PutConfiguration(ctx, v, []byte(services))
	})
}

func (c *cluster) anyRunning() ident.NodeID {
	for _, id := range c.ids {
		if c.planes[id] != nil {
			return id
		}
	}

	c.t.Fatal("no control VM runs")

	return ""
}

// leader returns the control VM that leads, and stops it if stop is set.
func (c *cluster) leader(stop bool) ident.NodeID {
	c.t.Helper()

	var leader ident.NodeID

	c.eventually("find the leader", func(context.Context) error {
		for id, p := range c.planes {
			if st := p.getVoter().Status(); st.IsLeader && st.Ready {
				leader = id

				return nil
			}
		}

		return errors.New("no leader")
	})

	if stop {
		c.stop(leader)
	}

	return leader
}

func (c *cluster) order(at ident.NodeID, service ident.UpstreamID, within time.Duration) {
	c.t.Helper()
	c.eventually("order", func(ctx context.Context) error {
		return c.planes[at].OrderRollout(ctx, waitingCall(c.planes[at]), service, "v2", within)
	})
}

// wantStage waits until every running control VM reads the stage, and returns the order.
func (c *cluster) wantStage(service ident.UpstreamID, want ...rollout.Stage) (o rollout.Order) {
	c.t.Helper()

	for id, p := range c.planes {
		c.eventually(fmt.Sprintf("read the order at %s", id), func(ctx context.Context) error {
			var (
				ok  bool
				err error
			)

			o, ok, err = p.Rollout(ctx, service)
			for _, s := range want {
				if err == nil && ok && o.Stage == s {
					return nil
				}
			}

			return fmt.Errorf("stage %v, known %v, error %w", o.Stage, ok, err)
		})
	}

	return o
}

// Guards against an order that is lost or started twice when the leader ends before it is acknowledged, and a decision that is
// undone when the leader ends before others have learned of it, or all processes end.
func TestRolloutSurvivesLeaders(t *testing.T) {
	c := newRolloutCluster(t, "stock,desk")
	leader := c.leader(false)

	// The leader ends while the order is on its way to it or back.
	done := make(chan error, 1)

	go func(p *Plane) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()

		done <- p.OrderRollout(ctx, waitingCall(p), "stock", "v2", 3*time.Second)
	}(c.planes[leader])
	time.Sleep(closeDelay + 5*time.Millisecond)
	c.stop(leader)
	t.Logf("first call: %v", <-done)

	// The client repeats the call at another control VM.
	c.order(c.anyRunning(), "stock", 3*time.Second)
	first := c.wantStage("stock", rollout.StageBegin, rollout.StageCanary, rollout.StageLoad)
	c.order(c.anyRunning(), "stock", 3*time.Second)

	c.start(leader, string(leader), false)

	// Nothing is sent to the new version, so the order is rolled back for lack of evidence.
	c.eventually("decision", func(ctx context.Context) error {
		if o, _, err := c.planes[c.anyRunning()].Rollout(ctx, "stock"); err != nil || o.Stage != rollout.StageRolledBack {
			return fmt.Errorf("stage %v, error %w", o.Stage, err)
		}

		return nil
	})
	c.leader(true)

	decided := c.wantStage("stock", rollout.StageRolledBack)
	if decided.ID != first.ID || decided.Reason == "" {
		t.Errorf("order %d became %d, rolled back for %q", first.ID, decided.ID, decided.Reason)
	}

	for _, id := range c.ids {
		c.stop(id)
	}

	for _, id := range c.ids {
		c.start(id, string(id), false)
	}

	if o := c.wantStage("stock", rollout.StageRolledBack); o.ID != first.ID || o.Reason != decided.Reason {
		t.Errorf("after a restart, the order is %+v", o)
	}

	// The client's last repetition changes nothing.
	c.order(c.anyRunning(), "stock", 3*time.Second)

	if o := c.wantStage("stock", rollout.StageRolledBack); o.ID != first.ID {
		t.Errorf("a repeated order was started again as %d", o.ID)
	}
}

// Guards against an order that goes on for a service that is not configured any more.
func TestRolloutOfRemovedService(t *testing.T) {
	c := newRolloutCluster(t, "stock,desk")
	c.order(c.ids[0], "stock", time.Minute)
	c.order(c.ids[1], "desk", time.Minute)
	c.putServices(2, "desk")

	if o := c.wantStage("stock", rollout.StageRolledBack); !strings.Contains(o.Reason, "not in the configuration") {
		t.Errorf("rolled back for %q", o.Reason)
	}

	c.wantStage("desk", rollout.StageBegin, rollout.StageCanary)
}

// Guards against an invalid order that is stored or answered unclearly, and one that is refused for good by a control VM that
// does not know all searchers yet.
func TestRolloutRefusals(t *testing.T) {
	c := newRolloutCluster(t, "stock,desk,spare")
	c.order(c.ids[0], "stock", time.Minute)

	p := c.planes[c.ids[1]]

	for name, tc := range map[string]struct {
		service ident.UpstreamID
		version ident.SoftwareVersion
		within  time.Duration
		started time.Duration
		want    error
	}{
		"unknown service":      {service: "nowhere", version: "v2", within: time.Minute, want: ErrRolloutRefused},
		"no service":           {version: "v2", within: time.Minute, want: ErrRolloutRefused},
		"no time":              {service: "desk", version: "v2", want: ErrRolloutRefused},
		"unannounced":          {service: "desk", version: "v9", within: time.Minute, started: time.Hour, want: ErrRolloutRefused},
		"without searchers":    {service: "spare", version: "v2", within: time.Minute, started: time.Hour, want: ErrRolloutRefused},
		"unannounced, at once": {service: "desk", version: "v9", within: time.Minute, want: ErrUnavailable},
		"another is running":   {service: "stock", version: "v3", within: time.Minute, want: ErrRolloutConflict},
	} {
		t.Run(name, func(t *testing.T) {
			p.rollouts.mu.Lock()
			p.rollouts.startedAt = time.Now().Add(-tc.started)
			p.rollouts.mu.Unlock()

			c.eventually("refusal", func(ctx context.Context) error {
				if err := p.OrderRollout(ctx, waitingCall(p), tc.service, tc.version, tc.within); !errors.Is(err, tc.want) {
					return fmt.Errorf("error %w, want %w", err, tc.want)
				}

				return nil
			})

			if o, ok, err := p.Rollout(context.Background(), "desk"); ok || err != nil {
				t.Errorf("stored order %+v, error %v", o, err)
			}
		})
	}
}

// Guards against evidence that does not reach the leader from the control VM that an entry VM follows, and against a control VM
// without roll-outs that evaluates orders.
func TestEvidenceReachesLeader(t *testing.T) {
	c := newRolloutCluster(t, "stock,desk")
	c.order(c.ids[0], "stock", 20*time.Second)

	order := c.wantStage("stock", rollout.StageBegin, rollout.StageCanary)
	report := rollout.Report{Source: rollout.Source{Node: "n1", Incarnation: 1}, Upstream: "stock", Order: order.ID, Stage: rollout.StageCanary, Cells: rollout.Evidence{}}

	for i := range 40 {
		report.Cells.Record(rollout.CellKey{Route: "r", FailureDomain: "dar"}, rollout.Response{Latency: 5 * time.Millisecond})
		report.Cells.Record(rollout.CellKey{Route: "r", FailureDomain: "dar", New: true}, rollout.Response{Latency: 5 * time.Millisecond, Failed: i%2 == 0})
	}

	c.eventually("roll back", func(ctx context.Context) error {
		report.Sequence++

		for _, p := range c.planes {
			p.serveFollow(&wire.Follow{Self: wire.Instance{ID: "n1", Role: uint8(roster.RoleEntry), Born: 1, Sequence: report.Sequence}, Rollouts: []wire.RolloutReport{wire.ToWireRollout(&report)}})
		}

		if o, _, err := c.planes[c.ids[0]].Rollout(ctx, "stock"); err != nil || o.Stage != rollout.StageRolledBack || !strings.HasPrefix(o.Reason, "failures") {
			return fmt.Errorf("stage %v for %q, error %w", o.Stage, o.Reason, err)
		}

		return nil
	})

	off := &Plane{state: control.New()}
	if err := off.OrderRollout(context.Background(), waitingCall(c.planes[c.ids[0]]), "stock", "v2", time.Minute); !errors.Is(err, ErrRolloutsOff) {
		t.Errorf("error %v without roll-outs", err)
	}
}
