package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fulmarfall/api"
	"fulmarfall/client"
	"fulmarfall/demo"
	"fulmarfall/ident"
	"fulmarfall/node"
)

// processCluster is a test system whose nodes run in separate processes.
type processCluster struct {
	t       *testing.T
	org     demo.Organisation
	configs []node.Config
	nodes   []*exec.Cmd
	files   []string
	program string
	folder  string
}

const processTestTimeout = 3 * time.Minute

// buildPrograms builds the programs under test.
func buildPrograms(t *testing.T, folder string) {
	t.Helper()

	cmd := exec.CommandContext(t.Context(), "go", "build", "-o", folder, "../fulmarfall", "../standin")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
}

// startProcesses starts 3 voters, other entry nodes and, by the given function, searchers, and waits until all of them are in use.
func startProcesses(ctx context.Context, t *testing.T, nodes int, startSearchers func(*processCluster)) *processCluster {
	t.Helper()

	p := startVoters(t, nodes)

	op, closeOp := p.operator()
	defer closeOp()

	if err := demo.WriteRecords(ctx, op, p.org); err != nil {
		t.Fatalf("write records: %v", err)
	}

	startSearchers(p)

	team, closeTeam := p.team()
	defer closeTeam()

	if err := demo.WaitFullCoverage(ctx, team, p.org); err != nil {
		t.Fatalf("wait for full coverage: %v", err)
	}

	return p
}

func (p *processCluster) addresses() []string {
	addrs := make([]string, len(p.configs))
	for i := range p.configs {
		addrs[i] = p.configs[i].HTTPAddress
	}

	return addrs
}

func (p *processCluster) team() (*client.Client, func()) {
	return client.New(p.addresses(), client.WithKey(demo.TeamKey(p.org.Team)))
}

// start starts a program, which is killed at the end of the test.
func (p *processCluster) start(program string, args ...string) *exec.Cmd {
	p.t.Helper()

	cmd := exec.Command(program, args...)
	cmd.Stderr = p.t.Output()

	if err := cmd.Start(); err != nil {
		p.t.Fatalf("start %s: %v", program, err)
	}

	p.t.Cleanup(func() {
		// These fail for processes that have already exited.
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})

	return cmd
}

// writeSettings writes the settings file of a node.
func (p *processCluster) writeSettings(cfg *node.Config) string {
	p.t.Helper()

	voters := make([]map[string]any, 0, len(cfg.Voters))
	for _, v := range cfg.Voters {
		voters = append(voters, map[string]any{"node": v.Node, "quic_address": v.QUICAddress})
	}

	s := map[string]any{
		"node": cfg.ID, "failure_domain": cfg.FailureDomain, "region": cfg.Region,
		"http_address": cfg.HTTPAddress, "quic_address": cfg.QUICAddress, "voters": voters,
		"keys": map[string]any{"ca_files": cfg.Keys.CAs, "cert_file": cfg.Keys.Cert, "key_file": cfg.Keys.Key},
		"operator_keys": []map[string]any{{
			"name": cfg.OperatorKeys[0].Name, "salt": cfg.OperatorKeys[0].Hash.Salt, "hash": cfg.OperatorKeys[0].Hash.Hash,
		}},
		"timings": map[string]any{"keep_seconds": 1},
	}
	if cfg.DataFolder != "" {
		s["data_folder"] = cfg.DataFolder
	}

	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		p.t.Fatalf("encode settings: %v", err)
	}

	name := filepath.Join(p.folder, string(cfg.ID)+".jsonc")
	if err := os.WriteFile(name, data, 0o600); err != nil {
		p.t.Fatalf("write settings: %v", err)
	}

	return name
}

// loadGenerator sends searches as a caller does: it gets the addresses of entry VMs, caches them for the stated
// time, and uses the one at its own index, so that the callers cover all nodes.
type loadGenerator struct {
	p     *processCluster
	index int

	answered   atomic.Int64
	partial    atomic.Int64
	refused    atomic.Int64
	mu         sync.Mutex
	unanswered map[string][]error // failures without an HTTP response, by address
}

func (l *loadGenerator) run(ctx context.Context, stop <-chan struct{}) {
	c, cleanup := client.New(l.p.addresses(), client.WithKey(demo.TeamKey(l.p.org.Team)))
	defer cleanup()

	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}

		addrs, err := c.Addresses(ctx)
		if err != nil {
			continue
		}

		l.send(ctx, c, addrs[l.index%len(addrs)], i)
	}
}

func (l *loadGenerator) send(ctx context.Context, c *client.Client, addr string, i int) {
	s := l.p.org.Services[i%len(l.p.org.Services)]
	query := json.RawMessage(fmt.Sprintf(`"load %d"`, i))

	a, err := c.SearchAt(ctx, addr, api.SearchRequest{Upstream: s.Upstream, Query: query, Limit: 5, TimeoutMS: 5000})

	var refused *client.RefusalError

	switch {
	case errors.As(err, &refused):
		l.refused.Add(1)

		if refused.Refusal.Outcome != ident.OutcomeNotRun && refused.Refusal.Outcome != ident.OutcomeUnknown {
			l.p.t.Errorf("%s: refusal with an unexpected outcome: %v", addr, refused)
		}

		time.Sleep(20 * time.Millisecond)
	case err != nil:
		l.mu.Lock()
		defer l.mu.Unlock()

		l.unanswered[addr] = append(l.unanswered[addr], err)
	default:
		l.answered.Add(1)

		if len(a.Coverage.Missing) > 0 {
			l.partial.Add(1)
		}

		if err := demo.Verify(demo.Dataset(s), s.AllShards(), query, 5, a); err != nil {
			l.p.t.Errorf("%s: %v", addr, err)
		}
	}
}

// Guards against a planned stop that breaks off a request, and against an answer with wrong coverage
// while one entry node is killed and another is stopped.
func TestKilledAndStoppedNodesUnderLoad(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), processTestTimeout)
	defer cancel()

	p := startProcesses(ctx, t, 6, func(p *processCluster) { p.start(filepath.Join(p.folder, "standin"), p.addresses()...) })

	const killed, stopped = 5, 4

	var (
		loads []*loadGenerator
		wg    sync.WaitGroup
		stop  = make(chan struct{})
	)

	for i := range 4 * len(p.configs) {
		l := &loadGenerator{p: p, index: i, unanswered: make(map[string][]error)}
		loads = append(loads, l)

		wg.Go(func() { l.run(ctx, stop) })
	}

	waitForAnswers(ctx, t, loads, 5)

	if err := p.nodes[killed].Process.Kill(); err != nil {
		t.Fatalf("kill: %v", err)
	}

	if err := p.nodes[stopped].Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatalf("stop: %v", err)
	}

	if err := p.nodes[stopped].Wait(); err != nil {
		t.Errorf("the stopped node exited with %v, want exit code 0", err)
	}

	waitForAnswers(ctx, t, loads, 10)
	close(stop)
	wg.Wait()

	var answered, partial, refused int64

	for _, l := range loads {
		answered, partial, refused = answered+l.answered.Load(), partial+l.partial.Load(), refused+l.refused.Load()

		for addr, errs := range l.unanswered {
			if addr != p.configs[killed].HTTPAddress {
				t.Errorf("%s was not killed but left requests without a response: %v", addr, errs)
			}
		}
	}

	t.Logf("%d answers, %d partial, %d refusals", answered, partial, refused)
}

// waitForAnswers waits until each load generator has received a number of further answers.
func waitForAnswers(ctx context.Context, t *testing.T, loads []*loadGenerator, more int64) {
	t.Helper()

	want := make([]int64, len(loads))
	for i, l := range loads {
		want[i] = l.answered.Load() + more
	}

	err := demo.WaitFor(ctx, "answers at every node", func() bool {
		for i, l := range loads {
			if l.answered.Load() < want[i] {
				return false
			}
		}

		return true
	})
	if err != nil {
		t.Fatal(err)
	}
}
