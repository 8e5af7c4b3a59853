package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	zoneCount = 3
	// frontsPerZone is as on the smaller sites, which have six to eight fronts in three zones.
	frontsPerZone = 2
	program       = "target/fulmarfall"
	graceSeconds  = 6
	host          = "leno12.example"
)

// ports are the same on all machines.
type ports struct{ control, directory, front, ready, node int }

// machine is one machine of the system with its process.
type machine struct {
	role, name, ip string
	zone           int
	cmd            *exec.Cmd
	exited         chan struct{}
}

// world is a small deployment on loopback addresses.
type world struct {
	rec      *record
	folder   string
	ports    ports
	machines []*machine
	client   *http.Client

	mu        sync.Mutex
	searchers []*searcher
	cutSince  map[string]time.Time // fronts that are partitioned from all searchers, by IP address
	conns     map[*searcherConn]struct{}
	lastID    int
	sequence  int
	stopped   bool
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

func regionName(i int) string { return fmt.Sprintf("region-%d", i) }

func newWorld(ctx context.Context, rec *record) (*world, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}

	w := &world{
		rec: rec, folder: folder, cutSince: map[string]time.Time{}, conns: map[*searcherConn]struct{}{},
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}

	prefix := fmt.Sprintf("127.%d.%d", 2+os.Getpid()%200, 1+time.Now().UnixNano()/1000%250)

	for zone := range zoneCount {
		w.machines = append(w.machines, &machine{role: "control", name: fmt.Sprintf("core-%d", zone), ip: fmt.Sprintf("%s.%d", prefix, 10+zone), zone: zone})
	}

	for zone := range zoneCount {
		for i := range frontsPerZone {
			w.machines = append(w.machines, &machine{
				role: "entry", name: fmt.Sprintf("front-%d-%d", zone, i), ip: fmt.Sprintf("%s.%d", prefix, 50+10*zone+i), zone: zone,
			})
		}
	}

	if err := w.choosePorts(ctx); err != nil {
		w.stop()

		return nil, err
	}

	for _, m := range w.machines {
		if err := w.start(m); err != nil {
			w.stop()

			return nil, err
		}
	}

	return w, nil
}

// choosePorts finds ports that are free at all addresses.
func (w *world) choosePorts(ctx context.Context) error {
	const first, step, tries = 20000, 40, 100

	var lc net.ListenConfig

	for i := range tries {
		base := first + (os.Getpid()*7+i)%300*step
		free := true

		for _, m := range w.machines {
			for port := base; port < base+step && free; port++ {
				ln, err := lc.Listen(ctx, "tcp", net.JoinHostPort(m.ip, fmt.Sprint(port)))
				if free = err == nil; free {
					_ = ln.Close()
				}
			}
		}

		if free {
			w.ports = ports{control: base, directory: base + 1, front: base + 2, ready: base + 3, node: base + 10}

			return nil
		}
	}

	return errors.New("no free ports")
}

// settings returns the settings file of a machine, with the fields of the users' pages. sourceIp, which the project's own
// stand-ins set too, makes the fronts distinguishable at searchers.
func (w *world) settings(m *machine) string {
	var b strings.Builder

	add := func(name string, value any) { fmt.Fprintf(&b, "%s=%v\n", name, value) }

	add("nodeName", m.name)
	add("role", m.role)
	add("ip", m.ip)
	add("zone", zoneName(m.zone))
	add("region", regionName(m.zone))

	for i := range zoneCount {
		add("zones."+zoneName(i), regionName(i))
	}

	var seeds []string

	for _, o := range w.machines {
		if o.role == "control" {
			seeds = append(seeds, net.JoinHostPort(o.ip, fmt.Sprint(w.ports.control)))
		}
	}

	add("seeds", strings.Join(seeds, ","))
	add("internalPorts", fmt.Sprintf("%d,%d", w.ports.node, w.ports.node+15))
	add("bootstrap", true)
	add("listenAddrs.directory", net.JoinHostPort(m.ip, fmt.Sprint(w.ports.directory)))

	if m.role == "control" {
		add("machineClass", "core")
		add("serves", "control,directory")
		add("listenAddrs.control", net.JoinHostPort(m.ip, fmt.Sprint(w.ports.control)))
		add("dataDir", filepath.Join(w.folder, "data-"+m.name))
		add("countsAsLoss", true)
		add("limits.cpuShare", 0.24)
		add("limits.memoryMb", 280)
		add("limits.diskMb", 128)
	} else {
		add("machineClass", "front")
		add("serves", "front,directory")
		add("listenAddrs.front", net.JoinHostPort(m.ip, fmt.Sprint(w.ports.front)))
		add("listenAddrs.ready", net.JoinHostPort(m.ip, fmt.Sprint(w.ports.ready)))
		add("sourceIp", m.ip)
		add("countsAsLoss", false)
		add("limits.cpuShare", 0.4)
		add("limits.memoryMb", 284)
	}

	b.WriteString(`limits.cores=1
limits.maxFds=4100
limits.linkMbps=1000.0
discovery=registry
entry=directory
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,scatter,places
faultTolerance.machines=1
faultTolerance.zones=1
faultTolerance.regions=1
bounds.seedLagS=3
bounds.addrReuseS=2
bounds.contactMs=5000
bounds.ackMs=6000
bounds.catchUpS=4
bounds.drainMs=3000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=3000
bounds.rollbackSlackMs=250
bounds.maxSkewMs=15000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.retryBudgetSlack=52
bounds.coldBurstFactor=1.5
bounds.coldSlack=5
bounds.evacuationDeadlineMs=5000
bounds.recoveryS=12
bounds.ttl_max_s=5
config_mode=highest
`)

	return b.String()
}

func (w *world) start(m *machine) error {
	file := filepath.Join(w.folder, m.name+".conf")
	if err := os.WriteFile(file, []byte(w.settings(m)), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}

	out, err := os.Create(filepath.Join(w.folder, m.name+".log")) //nolint:gosec // A file of this case.
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	defer func() { _ = out.Close() }() // the process has its own descriptor

	cmd := exec.Command(program, m.role) //nolint:gosec,noctx // The program under test; stop ends it.
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"FULMARFALL_NODE_FILE=" + file}

	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", m.name, err)
	}

	m.cmd, m.exited = cmd, make(chan struct{})

	go func() {
		_ = cmd.Wait() // a process that is killed has an error here
		close(m.exited)
	}()

	return nil
}

// stop ends all processes and searchers.
func (w *world) stop() {
	w.mu.Lock()
	w.stopped = true
	searchers := w.searchers
	w.mu.Unlock()

	for _, s := range searchers {
		s.end()
	}

	for _, m := range w.machines {
		if m.cmd != nil {
			_ = m.cmd.Process.Signal(syscall.SIGKILL) // may have exited
			<-m.exited
		}
	}

	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(w.folder, keep) // for debugging only

		return
	}

	_ = os.RemoveAll(w.folder)
}

// running returns an error if a process has exited.
func (w *world) running() error {
	for _, m := range w.machines {
		select {
		case <-m.exited:
			return fmt.Errorf("%s has exited", m.name)
		default:
		}
	}

	return nil
}

func (w *world) withRole(role string) (list []*machine) {
	for _, m := range w.machines {
		if m.role == role {
			list = append(list, m)
		}
	}

	return list
}

// front returns a front of a zone.
func (w *world) front(zone, i int) *machine {
	return w.withRole("entry")[zone*frontsPerZone+i]
}

func (w *world) nameOf(ip string) string {
	for _, m := range w.machines {
		if m.ip == ip {
			return m.name
		}
	}

	return ip
}

// cut partitions a front from all searchers: its open connections to them hang, and new ones are reset.
func (w *world) cut(m *machine) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.cutSince[m.ip] = time.Now()
	w.rec.add("%s is partitioned from all searchers", m.name)
}

// cutReset partitions a front from all searchers: its connections to them are reset.
func (w *world) cutReset(m *machine) {
	w.cut(m)

	w.mu.Lock()
	defer w.mu.Unlock()

	for c := range w.conns {
		if c.peer == m.ip {
			reset(c.Conn)
		}
	}
}

// heal ends all partitions.
func (w *world) heal() {
	w.mu.Lock()
	defer w.mu.Unlock()

	for ip, since := range w.cutSince {
		w.rec.add("%s reaches the searchers again, after %.1f s", w.nameOf(ip), time.Since(since).Seconds())

		for c := range w.conns {
			if c.peer == ip {
				reset(c.Conn) // bytes were lost on it
			}
		}
	}

	clear(w.cutSince)
}

func (w *world) isCut(ip string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	_, ok := w.cutSince[ip]

	return ok
}

// resolve asks the directory for the fronts of a zone, as a client does.
func (w *world) resolve(ctx context.Context, zone int) ([]string, error) {
	var answer struct {
		Addrs []string `json:"addrs"`
	}

	for range 50 {
		url := fmt.Sprintf("http://%s/resolve?name=%s&region=%s&zone=%s", net.JoinHostPort(w.withRole("control")[zone].ip, fmt.Sprint(w.ports.directory)),
			host, regionName(zone), zoneName(zone))

		r := w.call(ctx, http.MethodGet, url, nil, nil, time.Second)
		if r.status == http.StatusOK && json.Unmarshal(r.body, &answer) == nil && len(answer.Addrs) > 0 {
			return answer.Addrs, nil
		}

		pause(ctx, 100*time.Millisecond)
	}

	return nil, errors.New("the directory names no front")
}

// machineAt returns the front with an address for callers.
func (w *world) machineAt(addr string) *machine {
	ip, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil
	}

	for _, m := range w.machines {
		if m.ip == ip {
			return m
		}
	}

	return nil
}

// put sends a manifest until it is acknowledged.
func (w *world) put(ctx context.Context, m manifest) error {
	body, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode manifest: %w", err)
	}

	for i := range 100 {
		c := w.withRole("control")[i%zoneCount]

		r := w.call(ctx, http.MethodPut, "http://"+net.JoinHostPort(c.ip, fmt.Sprint(w.ports.control))+"/config", nil, body, time.Second)
		if r.status == http.StatusOK {
			w.rec.add("operator: manifest %d is acknowledged by %s", m.Version, c.name)

			return nil
		}

		pause(ctx, 100*time.Millisecond)
	}

	return errors.New("the manifest is not acknowledged")
}

// awaitReady waits until all fronts are ready.
func (w *world) awaitReady(ctx context.Context) error {
	for _, m := range w.withRole("entry") {
		for ctx.Err() == nil {
			if w.call(ctx, http.MethodGet, "http://"+net.JoinHostPort(m.ip, fmt.Sprint(w.ports.ready))+"/ready", nil, nil, time.Second).status == http.StatusOK {
				break
			}

			pause(ctx, 50*time.Millisecond)
		}
	}

	return ctx.Err()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
