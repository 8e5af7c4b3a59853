package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	"fulmarfall/api"
	"fulmarfall/client"
	"fulmarfall/demo"
	"fulmarfall/ident"
	"fulmarfall/record"
)

// startVoters starts the given number of nodes, the first 3 of them voters, without searchers.
func startVoters(t *testing.T, nodes int) *processCluster {
	t.Helper()

	p := &processCluster{t: t, org: demo.Kilimanjaro(), folder: t.TempDir()}
	buildPrograms(t, p.folder)
	p.program = p.folder + "/fulmarfall"

	var err error

	p.configs, err = demo.Configure(p.folder, demo.Layout{Places: p.org.Places, Nodes: nodes, Voters: 3, KeepTime: time.Second})
	if err != nil {
		t.Fatalf("configure: %v", err)
	}

	for i := range p.configs {
		p.files = append(p.files, p.writeSettings(&p.configs[i]))
		p.nodes = append(p.nodes, p.start(p.program, "node", p.files[i]))
	}

	return p
}

func (p *processCluster) operator() (*client.Client, func()) {
	return client.New(p.addresses(), client.WithKey(demo.OperatorKey))
}

// clientOf returns an operator's client for one node.
func (p *processCluster) clientOf(i int) (*client.Client, func()) {
	return client.New([]string{p.configs[i].HTTPAddress}, client.WithKey(demo.OperatorKey))
}

func (p *processCluster) signal(i int, s syscall.Signal) {
	p.t.Helper()

	if err := p.nodes[i].Process.Signal(s); err != nil {
		p.t.Fatalf("signal node %d: %v", i, err)
	}
}

func (p *processCluster) kill(i int) {
	p.t.Helper()
	p.signal(i, syscall.SIGKILL)
	// Wait fails, because the process was killed.
	_ = p.nodes[i].Wait()
}

func (p *processCluster) restart(i int) { p.nodes[i] = p.start(p.program, "node", p.files[i]) }

// putRevision stores a revision of a record and returns how long the system took to accept it.
func putRevision(ctx context.Context, t *testing.T, op *client.Client, name string, revision int) time.Duration {
	t.Helper()

	started := time.Now()
	spec := record.FailureDomainV1{Region: ident.Region(fmt.Sprintf("region-%d", revision)), InService: true}

	if err := demo.PutRecord(ctx, op, record.KindFailureDomain, name, 1, ident.Revision(revision), spec); err != nil {
		t.Fatalf("change %s to revision %d: %v", name, revision, err)
	}

	return time.Since(started)
}

// leader waits for a leader and returns the index of its node.
func (p *processCluster) leader(ctx context.Context) int {
	p.t.Helper()

	op, closeOp := p.operator()
	defer closeOp()

	found := -1

	err := demo.WaitFor(ctx, "a leader", func() bool {
		s, err := op.Status(ctx)
		if err != nil {
			return false
		}

		for i := range p.configs {
			if p.configs[i].ID == s.Voters.Leader {
				found = i
			}
		}

		return found >= 0
	})
	if err != nil {
		p.t.Fatal(err)
	}

	return found
}

// expectRevision waits until a node serves a revision of a record.
func (p *processCluster) expectRevision(ctx context.Context, i int, name string, revision int) {
	p.t.Helper()

	node, closeNode := p.clientOf(i)
	defer closeNode()

	var last api.Record

	err := demo.WaitFor(ctx, fmt.Sprintf("revision %d of %s at %s", revision, name, p.configs[i].ID), func() bool {
		r, err := node.Get(ctx, record.KindFailureDomain, name)
		last = r

		return err == nil && r.Revision == ident.Revision(revision)
	})
	if err != nil {
		p.t.Errorf("%v; last seen %+v", err, last)
	}
}

// Guards against the loss of an accepted change when voters are killed during a series of changes, and
// against a stale record at any node after they have restarted.
func TestVotersKilledDuringChanges(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), processTestTimeout)
	defer cancel()

	p := startVoters(t, 4)

	op, closeOp := p.operator()
	defer closeOp()

	const changes = 150

	var slowest time.Duration

	for i := 1; i <= changes; i++ {
		switch i {
		case 40, 80: // The leader crashes and restarts.
			l := p.leader(ctx)
			p.kill(l)

			wait := putRevision(ctx, t, op, "dar", i)
			t.Logf("change %d after the leader was killed took %s", i, wait)

			slowest = max(slowest, wait)
			p.restart(l)

			continue
		case 120: // All voters crash at once and restart.
			for v := range 3 {
				p.kill(v)
			}

			for v := range 3 {
				p.restart(v)
			}
		}

		putRevision(ctx, t, op, "dar", i)
	}

	t.Logf("%d changes; the slowest after the loss of a leader took %s", changes, slowest)

	for i := range p.configs {
		p.expectRevision(ctx, i, "dar", changes)
	}
}

// Guards against a frozen node that serves a stale configuration after it resumes: until it has renewed
// its lease, it must not answer from its local copy.
func TestFrozenNodeDoesNotServeOldConfiguration(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), processTestTimeout)
	defer cancel()

	p := startVoters(t, 4)

	op, closeOp := p.clientOf(0)
	defer closeOp()

	const frozen = 3

	putRevision(ctx, t, op, "dar", 1)
	p.expectRevision(ctx, frozen, "dar", 1)
	p.signal(frozen, syscall.SIGSTOP)
	putRevision(ctx, t, op, "dar", 2)

	// Longer than a change takes to be in force at every node.
	select {
	case <-time.After(4 * time.Second):
	case <-ctx.Done():
		t.Fatal(ctx.Err())
	}

	p.signal(frozen, syscall.SIGCONT)

	frozenNode, closeFrozen := p.clientOf(frozen)
	defer closeFrozen()

	for served := ident.Revision(0); served != 2; {
		r, err := frozenNode.Get(ctx, record.KindFailureDomain, "dar")

		var refused *client.RefusalError

		switch {
		case err == nil && r.Revision != 2:
			t.Fatalf("the resumed node served revision %d, but 2 was accepted 4 s earlier", r.Revision)
		case err == nil:
			served = r.Revision
		case errors.As(err, &refused) && refused.Refusal.Reason == ident.ReasonStaleNode:
		case ctx.Err() != nil:
			t.Fatal(ctx.Err())
		}
	}
}

// Guards against the loss of accepted changes when a voter loses its disk and is replaced, and another
// voter fails right after the replacement.
func TestVoterDiskLostThenAnotherVoter(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), processTestTimeout)
	defer cancel()

	p := startVoters(t, 3)

	op, closeOp := p.operator()
	defer closeOp()

	for i := 1; i <= 20; i++ {
		putRevision(ctx, t, op, "dar", i)
	}

	lost := (p.leader(ctx) + 1) % 3
	p.kill(lost)

	if err := os.RemoveAll(p.configs[lost].DataFolder); err != nil {
		t.Fatalf("delete the data folder: %v", err)
	}

	p.restart(lost)
	putRevision(ctx, t, op, "dar", 21)

	leader, closeLeader := p.clientOf(p.leader(ctx))
	defer closeLeader()

	var last error

	err := demo.WaitFor(ctx, "the replacement", func() bool {
		_, last = leader.ChangeVoters(ctx, api.VoterChange{Change: "replace", Node: p.configs[lost].ID})

		return last == nil
	})
	if err != nil {
		t.Fatalf("%v: %v", err, last)
	}

	second := 3 - lost - p.leader(ctx)
	p.kill(second)
	putRevision(ctx, t, op, "dar", 22)

	for i := range p.configs {
		if i != second {
			p.expectRevision(ctx, i, "dar", 22)
		}
	}
}

// Guards against commands whose exit code does not match the kind of error.
func TestCommandsReportBadInput(t *testing.T) {
	folder := t.TempDir()
	bad := folder + "/bad.jsonc"

	data, err := json.Marshal(map[string]any{"node": "entry-1", "colour": "red"})
	if err != nil {
		t.Fatal(err)
	}

	if err := os.WriteFile(bad, data, 0o600); err != nil {
		t.Fatal(err)
	}

	tests := map[string]struct {
		args []string
		want int
	}{
		"unknown command":       {args: []string{"fly"}, want: exitUsage},
		"missing argument":      {args: []string{"put"}, want: exitUsage},
		"settings not valid":    {args: []string{"check", bad}, want: exitSettings},
		"node not started":      {args: []string{"node", bad}, want: exitSettings},
		"settings missing":      {args: []string{"check", folder + "/none.jsonc"}, want: exitSettings},
		"unknown situation":     {args: []string{"experiment", "--situation", "rain"}, want: exitFailure},
		"spec is not JSON":      {args: []string{"put", "setting", "x", bad + "x"}, want: exitFailure},
		"no listener":           {args: []string{"list", "--at", "127.0.0.1:1", "--timeout", "1s"}, want: exitFailure},
		"settings are valid":    {args: []string{"check", "../../examples/cluj/cluj-1.jsonc"}, want: exitOK},
		"version is printed":    {args: []string{"version"}, want: exitOK},
		"bearer key is created": {args: []string{"keys", "bearer"}, want: exitOK},
		"authority is created":  {args: []string{"keys", "ca", folder}, want: exitOK},
		"unknown voter change":  {args: []string{"voter", "promise", "entry-1"}, want: exitUsage},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := run(tc.args); got != tc.want {
				t.Errorf("exit code of %q is %d, want %d", tc.args, got, tc.want)
			}
		})
	}
}
