package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all machines, because each has its own loopback address.
const (
	controlPort   = 8224
	directoryPort = 8225
	callerPort    = 8226
	readyPort     = 8227
	searcherPort  = 8080
	nodePort      = 7740
	lastNodePort  = 7755
	metricsPort   = 9464
)

const (
	zones = 3
	// startTime is the time from the start of the machines to the first request.
	startTime = 10 * time.Second
	exitTime  = 2 * time.Second
)

// world holds the processes under test and what surrounds them.
type world struct {
	program string
	folder  string
	trouble bool
	rec     *record
	octets  string // the first three of all addresses
	bounds  string // lines of the settings file

	controls, entries []*process

	ctx    context.Context //nolint:containedctx // Ends the stand-ins.
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func newWorld(program, folder string, trouble bool, rec *record) *world {
	w := &world{program: program, folder: folder, trouble: trouble, rec: rec}
	w.ctx, w.cancel = context.WithCancel(context.Background())

	return w
}

func zone(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%zones) }

func region(i int) string { return fmt.Sprintf("region-%c", 'a'+i%zones) }

func (w *world) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", w.octets, host, port) }

// process is a control VM or an entry VM.
type process struct {
	w    *world
	role string
	name string
	host int
	zone int
	cmd  *exec.Cmd
	done chan struct{}
}

// Host numbers of the machines.
const (
	firstControl  = 10
	firstEntry    = 50
	firstSearcher = 100
)

// start starts one control VM and the given number of entry VMs in each zone.
func (w *world) start(entriesPerZone int) error {
	if err := w.chooseAddresses(); err != nil {
		return err
	}

	for i := range zones {
		w.controls = append(w.controls, &process{w: w, role: "control", name: fmt.Sprintf("control-%d", i), host: firstControl + i, zone: i})
	}

	for i := range zones * entriesPerZone {
		w.entries = append(w.entries, &process{w: w, role: "entry", name: fmt.Sprintf("entry-%d", i), host: firstEntry + i, zone: i % zones})
	}

	for _, p := range append(append([]*process{}, w.controls...), w.entries...) {
		if err := p.start(); err != nil {
			return err
		}
	}

	return nil
}

// chooseAddresses chooses a range of loopback addresses in which the ports are free.
func (w *world) chooseAddresses() error {
	for range 50 {
		w.octets = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))
		free := true

		for _, host := range []int{firstControl, firstEntry, firstSearcher} {
			for _, port := range []int{controlPort, directoryPort, callerPort, readyPort, searcherPort, metricsPort} {
				ln, err := net.Listen("tcp", w.address(host, port)) //nolint:noctx // A loopback address.
				if err != nil {
					free = false

					continue
				}

				_ = ln.Close()
			}
		}

		if free {
			return nil
		}
	}

	return errors.New("no free loopback addresses")
}

func (p *process) settings() string {
	var (
		w     = p.w
		i     = p.zone
		ip    = fmt.Sprintf("%s.%d", w.octets, p.host)
		lines = []string{"nodeName=" + p.name, "role=" + p.role, "ip=" + ip, "zone=" + zone(i), "region=" + region(i)}
		seeds []string
	)

	for z := range zones {
		lines = append(lines, "zones."+zone(z)+"="+region(z))
		seeds = append(seeds, w.address(firstControl+z, controlPort))
	}

	lines = append(lines, fmt.Sprintf("internalPorts=%d,%d", nodePort, lastNodePort), "seeds="+strings.Join(seeds, ","), fmt.Sprintf("bootstrap=%v", p.done == nil),
		fmt.Sprintf("listenAddrs.directory=%s:%d", ip, directoryPort))

	if p.role == "control" {
		lines = append(lines, "machineClass=core", "serves=control,directory", "countsAsLoss=true", fmt.Sprintf("listenAddrs.control=%s:%d", ip, controlPort),
			"dataDir="+filepath.Join(w.folder, p.name))
	} else {
		lines = append(lines, "machineClass=front", "serves=front,directory", "countsAsLoss=false",
			fmt.Sprintf("listenAddrs.front=%s:%d", ip, callerPort), fmt.Sprintf("listenAddrs.ready=%s:%d", ip, readyPort))
	}

	return strings.Join(lines, "\n") + "\n" + w.bounds
}

func (p *process) start() error {
	file := filepath.Join(p.w.folder, p.name+".conf")
	if err := os.WriteFile(file, []byte(p.settings()), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}

	out, err := os.OpenFile(filepath.Join(p.w.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	defer func() { _ = out.Close() }() // The process has its own descriptor.

	p.cmd = exec.Command(p.w.program, p.role) //nolint:gosec,noctx // The program under test; stop ends it.
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = []string{"FULMARFALL_NODE_FILE=" + file}

	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}

	cmd, done := p.cmd, make(chan struct{})
	p.done = done

	go func() {
		_ = cmd.Wait()
		close(done)
	}()

	p.w.rec.add("%s starts at %s.%d", p.name, p.w.octets, p.host)

	return nil
}

// signal sends a signal. An error means that the process has ended.
func (p *process) signal(s syscall.Signal) {
	p.w.rec.add("%s gets signal %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// stop ends the stand-ins and all processes.
func (w *world) stop() {
	w.cancel()

	for _, p := range append(append([]*process{}, w.controls...), w.entries...) {
		if p.done == nil {
			continue
		}

		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()

		select {
		case <-p.done:
		case <-time.After(exitTime):
		}
	}

	w.wg.Wait()
}

// running returns an error if a process has ended by itself.
func (w *world) running() error {
	for _, p := range append(append([]*process{}, w.controls...), w.entries...) {
		select {
		case <-p.done:
			return fmt.Errorf("%s has ended", p.name)
		default:
		}
	}

	return nil
}

// sleep returns false if the world is stopped before the time has elapsed.
func (w *world) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-w.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
