package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	coldPerS    = 10.0
	coldBurst   = 1.5 // bounds.coldBurstFactor
	coldSlack   = 5.0 // bounds.coldSlack
	coldBound   = int(coldPerS*coldBurst + coldSlack)
	warmupTime  = 3 * time.Second // warmupS
	coldService = "orders"

	// A searcher crashes at a rate well above coldPerS: a quarter above the bound, which is two and a half times coldPerS.
	coldCrash = coldBound * 5 / 4

	// clientInterval is the time between two requests of a client, zoneClients the clients of a zone.
	clientInterval = 500 * time.Millisecond
	zoneClients    = 40

	// settleTime is how long after the acknowledgement of its heartbeat a cold searcher is expected to be known as such.
	settleTime = time.Second
)

// coldWatch counts the requests that a cold searcher gets.
type coldWatch struct {
	s *searcher

	mu      sync.Mutex
	from    time.Time // zero until requests count
	at      []time.Time
	most    int
	lost    int
	running int
}

func (c *coldWatch) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.from = time.Now()
}

// add counts a request and returns how many there were within a second.
func (c *coldWatch) add(at time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.running++

	if c.from.IsZero() || at.UnixNano() >= c.s.coldTill.Load() {
		return 0
	}

	c.at = append(c.at, at)
	n := 0

	for i := len(c.at) - 1; i >= 0 && at.Sub(c.at[i]) < time.Second; i-- {
		n++
	}

	c.most = max(c.most, n)

	return n
}

func (c *coldWatch) done() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.running--
}

// serve runs a request, and crashes the searcher if it gets too many while it is cold.
func (c *coldWatch) serve(r *request) bool {
	defer c.done()

	if n := c.add(r.at); n > coldBound {
		c.s.w.note("cold searcher %s gets request %s: %d within a second, %d are allowed", c.s.id, r.id, n, coldBound)

		if n > coldCrash {
			c.s.w.note("cold searcher %s crashes", c.s.id)
			c.s.crash()

			return false
		}
	}

	select {
	case <-time.After(c.s.work):
		return c.s.usual(r)
	case <-c.s.stopped:
		c.s.w.note("request %s is lost: it ran at searcher %s, which has crashed", r.id, c.s.id)

		c.mu.Lock()
		c.lost++
		c.mu.Unlock()

		return false
	}
}

// turnCold makes the searcher cold and reports it at once.
func (c *coldWatch) turnCold() error {
	c.s.coldTill.Store(time.Now().Add(warmupTime).UnixNano())

	if !c.s.beat() {
		return errTimeout
	}

	c.s.w.note("searcher %s is cold for %v; its heartbeat is acknowledged", c.s.id, warmupTime)

	return nil
}

// coldWorld starts the programs and a searcher in each zone.
func coldWorld(w *world) (watches []*coldWatch, loads []*load, err error) {
	if err := w.startPrograms(3, 6); err != nil {
		return nil, nil, err
	}

	for i := range zoneCount {
		c := &coldWatch{s: w.newSearcher(coldService, i, searcherHost+i, 20*time.Millisecond)}
		c.s.serve = c.serve
		watches = append(watches, c)

		if err := c.s.start(); err != nil {
			return nil, nil, err
		}
	}

	document := manifest(1, coldPerS, newRoute(coldService, "non_idempotent", coldService, 2*time.Second))
	if _, err := w.order(0, http.MethodPut, "/config", document); err != nil {
		return nil, nil, err
	}

	if err := w.awaitReady(); err != nil {
		return nil, nil, err
	}

	time.Sleep(2 * time.Second)

	for z := range zoneCount {
		loads = append(loads, w.newLoad(z, 2*time.Second))
	}

	return watches, loads, nil
}

// startTraffic lets the clients of all zones begin.
func startTraffic(w *world, loads []*load) {
	for _, l := range loads {
		l.add("/"+coldService+"/book", zoneClients, clientInterval)
	}

	w.note("%d clients in each zone send a request each %v", zoneClients, clientInterval)
}

// awaitSteady waits until the traffic has been steady for longer than contactMs.
func awaitSteady() { time.Sleep(contactTime + time.Second) }

// judge ends the clients and tells whether a cold searcher got too many requests.
func judge(w *world, watches []*coldWatch, loads []*load) bool {
	for _, l := range loads {
		w.note("answers to the clients of %s by status, 0 for none:%s", zone(l.zone), l.stop())
	}

	broken := false

	for _, c := range watches {
		w.note("searcher %s got at most %d requests in one second while it was cold; %d are allowed; %d that ran were lost", c.s.id, c.most, coldBound, c.lost)
		broken = broken || c.most > coldBound
	}

	return broken
}

// playColdCore kills all processes of the core while the searchers of a service are cold. They are back within a second.
func playColdCore(w *world) (bool, error) {
	watches, loads, err := coldWorld(w)
	if err != nil {
		return false, err
	}

	startTraffic(w, loads)
	awaitSteady()

	for _, c := range watches {
		if err := c.turnCold(); err != nil {
			return false, err
		}
	}

	time.Sleep(settleTime)

	for _, c := range watches {
		c.begin()
	}

	w.recordAll.Store(true)

	if w.trouble {
		if err := w.killCore(400 * time.Millisecond); err != nil {
			return false, err
		}
	}

	time.Sleep(warmupTime - settleTime + 500*time.Millisecond)

	return judge(w, watches, loads), nil
}

// playColdStart lets the traffic start while the searchers of a service are cold.
func playColdStart(w *world) (bool, error) {
	watches, loads, err := coldWorld(w)
	if err != nil {
		return false, err
	}

	awaitSteady()

	if !w.trouble {
		startTraffic(w, loads)
		awaitSteady()
	}

	for _, c := range watches {
		if err := c.turnCold(); err != nil {
			return false, err
		}
	}

	time.Sleep(settleTime)

	for _, c := range watches {
		c.begin()
	}

	w.recordAll.Store(true)

	if w.trouble {
		startTraffic(w, loads)
	}

	time.Sleep(warmupTime - settleTime + 500*time.Millisecond)

	return judge(w, watches, loads), nil
}

// killCore kills all control programs at the same moment and starts them again.
func (w *world) killCore(down time.Duration) error {
	list := w.role("control")
	began := time.Now()

	for _, p := range list {
		p.signal(syscall.SIGKILL)
	}

	w.note("all control programs are killed")

	for _, p := range list {
		p.wait()
	}

	time.Sleep(time.Until(began.Add(down)))

	for _, p := range list {
		if err := p.start(false); err != nil {
			return err
		}
	}

	w.note("all control programs are started again")

	return nil
}

// playColdCut cuts one entry program off from the control programs. Meanwhile a searcher of its zone turns cold.
func playColdCut(w *world) (bool, error) {
	if err := w.startRelays(3); err != nil {
		return false, err
	}

	watches, loads, err := coldWorld(w)
	if err != nil {
		return false, err
	}

	startTraffic(w, loads)
	awaitSteady()

	cold := watches[0]
	victims := w.role("entry")[:1]

	if w.trouble {
		for _, p := range victims {
			w.relayCut(p.ip(), true)
			w.note("%s is cut off from all control programs", p.name())
		}
	}

	time.Sleep(300 * time.Millisecond)

	if err := cold.turnCold(); err != nil {
		return false, err
	}

	time.Sleep(settleTime)
	cold.begin()
	w.recordAll.Store(true)
	time.Sleep(warmupTime - settleTime + 200*time.Millisecond)

	for _, p := range victims {
		w.relayCut(p.ip(), false)
		w.note("%s reaches the control programs again", p.name())
	}

	return judge(w, watches[:1], loads), nil
}
