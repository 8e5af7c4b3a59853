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

// startVoters runs 3 voters, and further nodes up to the given number, without searchers.
func startVoters(t *testing.T, nodes int) *processes {
	t.Helper()

	p := &processes{t: t, org: demo.Kilimanjaro(), folder: t.TempDir()}
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

func (p *processes) operator() (*client.Client, func()) {
	return client.New(p.addresses(), client.WithKey(demo.OperatorKey))
}

// at returns a client of one node only.
func (p *processes) at(i int) (*client.Client, func()) {
	return client.New([]string{p.configs[i].HTTPAddress}, client.WithKey(demo.OperatorKey))
}

func (p *processes) signal(i int, s syscall.Signal) {
	p.t.Helper()

	if err := p.nodes[i].Process.Signal(s); err != nil {
		p.t.Fatalf("signal node %d: %v", i, err)
	}
}

func (p *processes) kill(i int) {
	p.t.Helper()
	p.signal(i, syscall.SIGKILL)
	// The process was killed, so it ends with an error.
	_ = p.nodes[i].Wait()
}

func (p *processes) restart(i int) { p.nodes[i] = p.start(p.program, "node", p.files[i]) }

// change stores a record and returns the time that the operator waited for "accepted".
func change(ctx context.Context, t *testing.T, op *client.Client, name string, revision int) time.Duration {
	t.Helper()

	started := time.Now()
	spec := record.FailureDomainV1{Region: ident.Region(fmt.Sprintf("region-%d", revision)), InService: true}

	if err := demo.PutRecord(ctx, op, record.KindFailureDomain, name, 1, ident.Revision(revision), spec); err != nil {
		t.Fatalf("change %s to revision %d: %v", name, revision, err)
	}

	return time.Since(started)
}

// leader returns the index of the node that leads the voters.
func (p *processes) leader(ctx context.Context) int {
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

// expect waits until a node serves a record at a revision.
func (p *processes) expect(ctx context.Context, i int, name string, revision int) {
	p.t.Helper()

	one, closeOne := p.at(i)
	defer closeOne()

	var last api.Record

	err := demo.WaitFor(ctx, fmt.Sprintf("revision %d of %s at %s", revision, name, p.configs[i].ID), func() bool {
		r, err := one.Get(ctx, record.KindFailureDomain, name)
		last = r

		return err == nil && r.Revision == ident.Revision(revision)
	})
	if err != nil {
		p.t.Errorf("%v; last seen %+v", err, last)
	}
}

// Guards against the loss of an accepted change when voters are killed during a stream of changes, and
// against an older record at any node after they have restarted.
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
		case 40, 80: // The leader is lost and returns.
			l := p.leader(ctx)
			p.kill(l)

			wait := change(ctx, t, op, "dar", i)
			t.Logf("change %d without the killed leader took %s", i, wait)

			slowest = max(slowest, wait)
			p.restart(l)

			continue
		case 120: // All voters are lost at once and return.
			for v := range 3 {
				p.kill(v)
			}

			for v := range 3 {
				p.restart(v)
			}
		}

		change(ctx, t, op, "dar", i)
	}

	t.Logf("%d changes; the slowest across the loss of a leader took %s", changes, slowest)

	for i := range p.configs {
		p.expect(ctx, i, "dar", changes)
	}
}

// Guards against a node that was frozen and serves an older configuration when it runs again: until it
// has renewed its lease it must not answer from its copy.
func TestFrozenNodeDoesNotServeOldConfiguration(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), processTestTimeout)
	defer cancel()

	p := startVoters(t, 4)

	op, closeOp := p.at(0)
	defer closeOp()

	const frozen = 3

	change(ctx, t, op, "dar", 1)
	p.expect(ctx, frozen, "dar", 1)
	p.signal(frozen, syscall.SIGSTOP)
	change(ctx, t, op, "dar", 2)

	// Longer than the time within which a change is in force everywhere.
	select {
	case <-time.After(4 * time.Second):
	case <-ctx.Done():
		t.Fatal(ctx.Err())
	}

	p.signal(frozen, syscall.SIGCONT)

	one, closeOne := p.at(frozen)
	defer closeOne()

	for seen := ident.Revision(0); seen != 2; {
		r, err := one.Get(ctx, record.KindFailureDomain, "dar")

		var refused *client.RefusalError

		switch {
		case err == nil && r.Revision != 2:
			t.Fatalf("the thawed node served revision %d, 2 was accepted 4 s before", r.Revision)
		case err == nil:
			seen = r.Revision
		case errors.As(err, &refused) && refused.Refusal.Reason == ident.ReasonStaleNode:
		case ctx.Err() != nil:
			t.Fatal(ctx.Err())
		}
	}
}

// Guards against the loss of accepted changes when a voter's disk is lost and replaced, and another
// voter is lost right after the repair.
func TestVoterDiskLostThenAnotherVoter(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), processTestTimeout)
	defer cancel()

	p := startVoters(t, 3)

	op, closeOp := p.operator()
	defer closeOp()

	for i := 1; i <= 20; i++ {
		change(ctx, t, op, "dar", i)
	}

	lost := (p.leader(ctx) + 1) % 3
	p.kill(lost)

	if err := os.RemoveAll(p.configs[lost].DataFolder); err != nil {
		t.Fatalf("lose the disk: %v", err)
	}

	p.restart(lost)
	change(ctx, t, op, "dar", 21)

	leader, closeLeader := p.at(p.leader(ctx))
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
	change(ctx, t, op, "dar", 22)

	for i := range p.configs {
		if i != second {
			p.expect(ctx, i, "dar", 22)
		}
	}
}

// Guards against commands that hide what is wrong: each bad input has its own exit code and a message
// that names the fault.
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
		"unknown command":     {args: []string{"fly"}, want: exitUsage},
		"missing argument":    {args: []string{"put"}, want: exitUsage},
		"settings not valid":  {args: []string{"check", bad}, want: exitSettings},
		"node not started":    {args: []string{"node", bad}, want: exitSettings},
		"settings missing":    {args: []string{"check", folder + "/none.jsonc"}, want: exitSettings},
		"unknown situation":   {args: []string{"experiment", "--situation", "rain"}, want: exitFailure},
		"spec is not JSON":    {args: []string{"put", "setting", "x", bad + "x"}, want: exitFailure},
		"nobody listens":      {args: []string{"list", "--at", "127.0.0.1:1", "--timeout", "1s"}, want: exitFailure},
		"settings are valid":  {args: []string{"check", "../../examples/cluj/cluj-1.jsonc"}, want: exitOK},
		"version is printed":  {args: []string{"version"}, want: exitOK},
		"bearer key is made":  {args: []string{"keys", "bearer"}, want: exitOK},
		"authority is made":   {args: []string{"keys", "ca", folder}, want: exitOK},
		"unknown voter order": {args: []string{"voter", "promise", "entry-1"}, want: exitUsage},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := run(tc.args); got != tc.want {
				t.Errorf("exit code of %q is %d, want %d", tc.args, got, tc.want)
			}
		})
	}
}
