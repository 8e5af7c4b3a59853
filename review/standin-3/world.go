package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of the programs. They are the same on all machines, each of which has a loopback address of its own.
const (
	controlPort   = 8224
	directoryPort = 8225
	frontPort     = 8226
	readyPort     = 8227
	nodePort      = 7740
	metricsPort   = 9464
	searcherPort  = 8080
)

const (
	zoneCount    = 3
	host         = "lens.example"
	startTimeout = 20 * time.Second
	callTimeout  = time.Second
	searcherHost = 100 // host number of the first searcher
)

var errTimeout = errors.New("timeout")

// world is a small deployment and the record of what happens in it.
type world struct {
	dir     string
	net     string // first three octets of all addresses
	began   time.Time
	trouble bool
	// recordAll is set while each request of the clients is recorded.
	recordAll atomic.Bool
	relays    *relays // nil if the control programs are reached without

	mu        sync.Mutex
	record    *os.File
	programs  []*program
	searchers []*searcher
}

func newWorld(record string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}

	f, err := os.Create(filepath.Clean(record))
	if err != nil {
		return nil, err
	}

	w := &world{dir: dir, began: time.Now(), record: f, trouble: os.Getenv("TROUBLE") != "0"}

	for range 50 {
		w.net = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		if w.portsFree() {
			w.note("trouble: %v", w.trouble)

			return w, nil
		}
	}

	return nil, errors.New("no free addresses")
}

// portsFree reports whether the first addresses of the network are not in use.
func (w *world) portsFree() bool {
	for _, port := range []int{controlPort, frontPort, metricsPort} {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", w.net, port)) //nolint:noctx // A loopback address.
		if err != nil {
			return false
		}

		_ = ln.Close()
	}

	return true
}

func (w *world) ip(machine int) string { return fmt.Sprintf("%s.%d", w.net, machine) }

// note adds a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()

	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes.
func (w *world) close() {
	for _, s := range w.searchers {
		s.crash()
	}

	for _, p := range w.programs {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.wait()
	}

	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

func zone(i int) string { return fmt.Sprintf("zone-%d", i%zoneCount) }

func region(i int) string { return fmt.Sprintf("region-%d", i%zoneCount) }

// program is a process of the project, across its restarts.
type program struct {
	w       *world
	role    string
	index   int
	machine int
	seeds   []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// startPrograms starts control programs and entry programs, one of each in a zone in turn.
func (w *world) startPrograms(controls, entries int) error {
	var seeds []string
	for i := range controls {
		seeds = append(seeds, fmt.Sprintf("%s:%d", w.ip(i+1), controlPort))
	}

	for i := range controls {
		w.programs = append(w.programs, &program{w: w, role: "control", index: i, machine: i + 1, seeds: seeds[:min(3, len(seeds))]})
	}

	for i := range entries {
		w.programs = append(w.programs, &program{w: w, role: "entry", index: i, machine: 20 + i, seeds: seeds[:min(3, len(seeds))]})
	}

	for _, p := range w.programs {
		if err := p.start(true); err != nil {
			return err
		}
	}

	return nil
}

func (w *world) role(role string) (list []*program) {
	for _, p := range w.programs {
		if p.role == role {
			list = append(list, p)
		}
	}

	return list
}

func (p *program) ip() string { return p.w.ip(p.machine) }

func (p *program) name() string { return fmt.Sprintf("%s-%d", p.role, p.index) }

func (p *program) front() string { return fmt.Sprintf("%s:%d", p.ip(), frontPort) }

// settings are those of the site kohl-fulmar.
func (p *program) settings(bootstrap bool) string {
	var b strings.Builder

	line := func(name, value string, args ...any) { fmt.Fprintf(&b, name+"="+value+"\n", args...) }
	line("nodeName", "%s", p.name())
	line("ip", "%s", p.ip())
	line("zone", "%s", zone(p.index))
	line("region", "%s", region(p.index))

	for i := range zoneCount {
		line("zones."+zone(i), "%s", region(i))
	}

	line("internalPorts", "%d,%d", nodePort, nodePort+15)
	line("seeds", "%s", strings.Join(p.seeds, ","))
	line("bootstrap", "%v", bootstrap)
	line("limits.cores", "1")
	line("limits.memoryMb", "284")
	line("limits.maxFds", "4100")
	line("heartbeatMs", "1200")
	line("contracts", "base,drain,config,cost,retry,recover,scatter,places")

	for _, f := range []string{"machines", "zones", "regions"} {
		line("faultTolerance."+f, "1")
	}

	b.WriteString("bounds.seedLagS=3\nbounds.addrReuseS=2\nbounds.contactMs=5000\nbounds.ackMs=6000\nbounds.catchUpS=4\n" +
		"bounds.drainMs=3000\nbounds.graceS=6\nbounds.lossSlackMs=200\nbounds.configApplyMs=3000\nbounds.rollbackSlackMs=250\n" +
		"bounds.maxSkewMs=15000\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.retryBudgetSlack=52\n" +
		"bounds.coldBurstFactor=1.5\nbounds.coldSlack=5\nbounds.evacuationDeadlineMs=5000\nbounds.recoveryS=12\nbounds.ttl_max_s=5\n" +
		"config_mode=highest\n")
	line("listenAddrs.directory", "%s:%d", p.ip(), directoryPort)

	if p.role == "control" {
		line("limits.cpuShare", "0.24")
		line("dataDir", "%s", filepath.Join(p.w.dir, p.name()))
		line("listenAddrs.control", "%s:%d", p.ip(), controlPort)

		if p.w.relays != nil {
			line("listenAddrs.node", "%s:%d", p.ip(), relayedPort)
		}

		return b.String()
	}

	line("limits.cpuShare", "0.4")
	line("listenAddrs.front", "%s", p.front())
	line("listenAddrs.ready", "%s:%d", p.ip(), readyPort)

	return b.String()
}

func (p *program) start(bootstrap bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()

	file := filepath.Join(p.w.dir, p.name()+".conf")
	if err := os.WriteFile(file, []byte(p.settings(bootstrap)), 0o600); err != nil {
		return err
	}

	out, err := os.OpenFile(filepath.Join(p.w.dir, p.name()+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()

	// The run line of the deploy file.
	cmd := exec.Command("target/fulmarfall", p.role) //nolint:noctx // close ends it.
	cmd.Env = []string{"FULMARFALL_NODE_FILE=" + file}
	cmd.Stdout, cmd.Stderr = out, out

	if err := cmd.Start(); err != nil {
		return err
	}

	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited

	go func() {
		err := cmd.Wait()
		p.w.note("%s ended: %v", p.name(), err)
		close(exited)
	}()

	return nil
}

func (p *program) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *program) wait() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()

	if exited != nil {
		<-exited
	}
}

// call makes a call of an operator or a searcher. Status 0 means that no whole answer came within a second.
func call(method, url string, body any) (status int, answer []byte) {
	var r io.Reader = http.NoBody

	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil
		}

		r = bytes.NewReader(data)
	}

	req, err := http.NewRequest(method, url, r) //nolint:noctx // The client has a timeout.
	if err != nil {
		return 0, nil
	}

	req.Close = true
	req.Header.Set("Content-Type", "application/json")

	client := http.Client{Timeout: callTimeout}

	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()

	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}

	return resp.StatusCode, answer
}

// order makes a call at the control programs in turn, beginning with one, until it is acknowledged.
func (w *world) order(first int, method, path string, body any) (at *program, err error) {
	list := w.role("control")

	for end := time.Now().Add(startTimeout); time.Now().Before(end); first++ {
		p := list[first%len(list)]

		status, _ := call(method, fmt.Sprintf("http://%s:%d%s", p.ip(), controlPort, path), body)
		if status >= 200 && status < 300 {
			return p, nil
		}

		if status >= 400 && status < 500 {
			return p, fmt.Errorf("%s %s: status %d", method, path, status)
		}

		time.Sleep(50 * time.Millisecond)
	}

	return nil, fmt.Errorf("%s %s: %w", method, path, errTimeout)
}

// awaitReady waits until all entry programs are ready.
func (w *world) awaitReady() error {
	for _, p := range w.role("entry") {
		for end := time.Now().Add(startTimeout); ; time.Sleep(50 * time.Millisecond) {
			if status, _ := call(http.MethodGet, fmt.Sprintf("http://%s:%d/ready", p.ip(), readyPort), nil); status == http.StatusOK {
				break
			}

			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready: %w", p.name(), errTimeout)
			}
		}
	}

	return nil
}

// route is a route of a manifest as the operator writes it.
type route map[string]any

func newRoute(name, kind, service string, timeout time.Duration) route {
	return route{
		"name": name, "host": host, "pathPrefix": "/" + name + "/", "kind": kind, "service": service,
		"timeoutMs": timeout.Milliseconds(), "targetLatencyMs": 300, "priority": 1, "maxAttempts": 2, "allowedRegions": []string{},
	}
}

// manifest returns a manifest.
func manifest(version int, coldPerS float64, routes ...route) map[string]any {
	seen := map[string]bool{}
	services := []map[string]any{}

	for _, r := range routes {
		names, _ := r["gather"].([]string)
		if s, ok := r["service"].(string); ok {
			names = append(names, s)
		}

		for _, s := range names {
			if !seen[s] {
				seen[s] = true
				services = append(services, map[string]any{
					"name": s, "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false, "warmupS": 3.0, "coldPerS": coldPerS,
				})
			}
		}
	}

	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// resolve asks a directory for the addresses of entry programs.
func (p *program) resolve(zoneIndex int) []string {
	_, body := call(http.MethodGet, fmt.Sprintf("http://%s:%d/resolve?name=%s&region=%s&zone=%s", p.ip(), directoryPort, host, region(zoneIndex), zone(zoneIndex)), nil)

	var answer struct {
		Addrs []string `json:"addrs"`
	}

	_ = json.Unmarshal(body, &answer) // no addresses if it can't be read

	return answer.Addrs
}
