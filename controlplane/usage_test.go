package controlplane

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"fulmarfall/configuration"
	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/usage"
	"fulmarfall/voter"
	"fulmarfall/wire"
)

// decodeTeams decodes any document to a configuration with one team, whose limit is 48 requests per second.
func decodeTeams([]byte) (*configuration.Configuration, error) {
	return &configuration.Configuration{Teams: []configuration.Team{{Name: "kami770", RatePerSecond: 48, Burst: 48}}}, nil
}

func startUsageCluster(t *testing.T) *cluster {
	t.Helper()

	c := newCluster(t, 3)
	c.options = []Option{WithConfigurationDecoder(decodeTeams)}

	for i, id := range c.ids {
		c.start(id, fmt.Sprint(i), true)
	}

	c.put(c.ids[0], 1)

	return c
}

// report sends a report to a control VM until it is answered by a grant that is not a request for a full report.
func (c *cluster) report(at ident.NodeID, h *usage.Holder) *wire.UsageGrant {
	c.t.Helper()

	var grant *wire.UsageGrant

	c.eventually("report usage to "+string(at), func(ctx context.Context) error {
		r := h.Report(time.Now(), true, map[ident.TeamID]int{"kami770": 1})

		g, ok := c.planes[at].serveUsage(ctx, wire.ToWireUsageReport("10.0.0.9:1", r)).(*wire.UsageGrant)
		if !ok || !g.OK {
			return fmt.Errorf("not granted: %+v", g)
		}

		if res := h.Apply(time.Now(), g.Grant()); !res.Applied {
			return fmt.Errorf("not applied: %+v", g)
		}

		grant = g

		return nil
	})

	return grant
}

// Guards against control VMs that do not pass reports to the leader, and against a new leader that grants shares which
// another entry VM may hold, or takes away those that an entry VM reports.
func TestUsageReportsReachLeader(t *testing.T) {
	c := startUsageCluster(t)
	h := usage.NewHolder(1)
	h.SetLimits(time.Now(), map[ident.TeamID]usage.Limit{"kami770": (usage.Bounds{Window: 5 * time.Second}).Limit(48, 48)})

	var terms []uint64

	for _, id := range c.ids {
		terms = append(terms, c.report(id, h).Term)
	}

	if diff := cmp.Diff([]uint64{terms[0], terms[0], terms[0]}, terms); diff != "" {
		t.Errorf("terms of the grants differ by control VM (-want +got):\n%s", diff)
	}

	// The leader becomes sure of the shares after its start period, and renews them meanwhile.
	time.Sleep(usage.Lease / 2)
	c.report(c.ids[0], h)

	for end := time.Now().Add(waitTimeout); len(h.Shares(time.Now())) == 0 && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		c.report(c.ids[0], h)
	}

	before := h.Shares(time.Now())

	old := c.leader(false)
	c.stop(old)

	at := c.leader(false)

	g := c.report(at, h)
	if !g.Starting || g.Term <= terms[0] {
		t.Errorf("grant of the new leader: term %d after %d, starting %v", g.Term, terms[0], g.Starting)
	}

	if diff := cmp.Diff(before, h.Shares(time.Now())); diff != "" || len(before) != 1 {
		t.Errorf("%d shares before; shares under the new leader differ (-want +got):\n%s", len(before), diff)
	}
}

// Guards against grants by a leader that others may have replaced: one that no majority has confirmed of late, and one whose
// machine was suspended since.
func TestUnsureLeaderGrantsNothing(t *testing.T) {
	now := time.Now()

	for name, tc := range map[string]struct {
		status  voter.Status
		resumed time.Time
		want    bool
	}{
		"confirmed":         {voter.Status{Ready: true, QuorumAt: now.Add(-100 * time.Millisecond)}, time.Time{}, true},
		"not confirmed":     {voter.Status{Ready: true, QuorumAt: now.Add(-quorumMaxAge)}, time.Time{}, false},
		"not ready":         {voter.Status{QuorumAt: now}, time.Time{}, false},
		"suspended since":   {voter.Status{Ready: true, QuorumAt: now.Add(-100 * time.Millisecond)}, now.Add(-50 * time.Millisecond), false},
		"suspended earlier": {voter.Status{Ready: true, QuorumAt: now.Add(-100 * time.Millisecond)}, now.Add(-time.Second), true},
	} {
		t.Run(name, func(t *testing.T) {
			p := &Plane{logger: &log.Logger{Level: log.PanicLevel}, state: control.New()}
			p.usage.suspended, p.usage.resumedAt = math.MaxInt64, tc.resumed // whatever the time for which this machine was suspended

			tc.status.Term, tc.status.LeaderSince = 1, now.Add(-time.Minute)

			r := usage.NewHolder(1).Report(now, true, nil)
			if got := p.grantUsage(now, &tc.status, wire.ToWireUsageReport("10.0.0.9:1", r)).OK; got != tc.want {
				t.Errorf("granted: %v, want %v", got, tc.want)
			}
		})
	}
}
