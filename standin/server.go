package standin

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"fulmarfall/ident"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// Config is the static configuration of a searcher, with its initial Behaviour.
type Config struct {
	Data          Dataset
	Searcher      ident.SearcherID
	Address       string // host:port for nodes; port 0 picks a free one
	AdminAddress  string // host:port for POST /faults, GET /stats and GET /runs; empty disables them
	FailureDomain ident.FailureDomain
	Region        ident.Region
	Slots         int
	Connections   int
	ConnectDelay  time.Duration // simulated cost of setting up a connection
	AnnounceKey   string
	Nodes         []string // host:port of nodes; an announcement goes to the first that accepts it
	Holdings      []Holding
	Incarnation   ident.Incarnation // of the first start; 0 means the current time in microseconds
	ColdAtStart   bool
	Behaviour     Behaviour
}

const (
	announceInterval = time.Second
	announceTimeout  = time.Second
	// pollInterval is how often a run checks whether its caller has closed the connection, and a restart whether the
	// port has become free.
	pollInterval = 2 * time.Millisecond
	maxBodyBytes = 4 << 20
	// maxHealthHistory bounds the memory for a long health lag; beyond it the lag is shorter than configured.
	maxHealthHistory = 1 << 14
	// idleWorkerTimeout is how long a goroutine of the fasthttp worker pool sleeps before it notices that its server
	// has stopped.
	idleWorkerTimeout = 100 * time.Millisecond
)

// Searcher is a running fake searcher.
type Searcher struct {
	cfg         Config
	admin       *fasthttp.Server
	adminLn     net.Listener
	announceNow chan struct{} // triggers an announcement
	wg          sync.WaitGroup

	restart chan time.Duration // triggers a restart after the given delay

	ctx    context.Context // cancelled when the searcher stops
	cancel context.CancelFunc

	mu                sync.Mutex
	behaviour         Behaviour
	holdings          []Holding // by snapshot, oldest first
	nodes             []string
	unfrozen          chan struct{} // closed while not frozen
	incarnation       ident.Incarnation
	running           bool
	incarnationCtx    context.Context // cancelled when the incarnation ends
	cancelIncarnation context.CancelFunc
	conns             map[*trackedConn]struct{}
	runs              map[runKey]*run
	counts            map[shardKey]ident.Documents
	contents          map[shardKey]content // of the shards requested so far
	answersSinceCold  int
	coldStarts        []time.Time
	healthHistory     []healthSample
	journal           []Run
	stats             Stats
	address           string
}

type runKey struct {
	request ident.RequestID
	attempt ident.AttemptID
}

type shardKey struct {
	shard    ident.ShardID
	snapshot ident.SnapshotID
}

// content is the documents of a shard in a snapshot.
type content struct {
	ids       []string
	documents map[string]json.RawMessage
}

type run struct {
	ctx    context.Context // cancelled at the deadline, by a cancellation, and at the end of the incarnation
	cancel context.CancelFunc
}

type healthSample struct {
	at time.Time
	Health
}

// Start starts a searcher. The returned function stops it without draining.
func Start(cfg Config) (*Searcher, func() error, error) {
	if cfg.Behaviour == (Behaviour{}) {
		cfg.Behaviour = DefaultBehaviour()
	}

	if cfg.Incarnation == 0 {
		cfg.Incarnation = ident.Incarnation(time.Now().UnixMicro())
	}

	s := &Searcher{
		cfg: cfg, behaviour: cfg.Behaviour, nodes: cfg.Nodes, announceNow: make(chan struct{}, 1), restart: make(chan time.Duration, 1),
		unfrozen: make(chan struct{}), incarnation: cfg.Incarnation - 1, address: cfg.Address,
		conns: map[*trackedConn]struct{}{}, runs: map[runKey]*run{}, contents: map[shardKey]content{}, counts: map[shardKey]ident.Documents{}, answersSinceCold: cfg.Behaviour.ColdAnswers,
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.incarnationCtx, s.cancelIncarnation = context.WithCancel(s.ctx)

	if !cfg.Behaviour.Freeze {
		close(s.unfrozen)
	}

	s.holdings = append(s.holdings, cfg.Holdings...)

	if err := s.startIncarnation(cfg.ColdAtStart); err != nil {
		s.cancel()

		return nil, nil, err
	}

	if cfg.AdminAddress != "" {
		ln, err := s.listen(cfg.AdminAddress)
		if err != nil {
			_ = s.stop()

			return nil, nil, err
		}

		s.adminLn = ln
		s.admin = newServer(s.handleAdmin)
		s.wg.Go(func() { _ = s.admin.Serve(ln) })
	}

	s.wg.Go(s.announceLoop)
	s.wg.Go(s.restartLoop)

	return s, s.stop, nil
}

func newServer(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: h, NoDefaultServerHeader: true, MaxRequestBodySize: maxBodyBytes,
		NoDefaultDate: true, MaxIdleWorkerDuration: idleWorkerTimeout,
		CloseOnShutdown: true, Logger: discardLogger{}, Concurrency: 1 << 16,
	}
}

// discardLogger drops the errors of fasthttp about connections that are reset on purpose.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

func (s *Searcher) listen(addr string) (net.Listener, error) {
	var lc net.ListenConfig

	ln, err := lc.Listen(s.ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", addr)
	}

	return ln, nil
}

// startIncarnation opens the listener and serves a new incarnation on it.
func (s *Searcher) startIncarnation(cold bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.ctx.Err() != nil {
		return s.ctx.Err()
	}

	ln, err := s.listen(s.address)
	if err != nil {
		return err
	}

	s.address = ln.Addr().String()
	s.incarnation++
	s.running = true
	s.incarnationCtx, s.cancelIncarnation = context.WithCancel(s.ctx)

	if cold {
		s.makeCold()
	}

	ctx, server := s.incarnationCtx, newServer(nil)
	server.Handler = func(c *fasthttp.RequestCtx) {
		if s.beginHandler() {
			defer s.wg.Done()

			s.handle(ctx, c)
		}
	}

	s.wg.Go(func() { _ = server.Serve(&listener{Listener: ln, s: s, delay: s.cfg.ConnectDelay}) })
	s.wg.Go(func() {
		<-ctx.Done()
		_ = ln.Close()
	})

	return nil
}

// Crash ends the incarnation: all connections are reset, and after DownMS the searcher restarts cold with a new
// incarnation.
func (s *Searcher) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()

	if !s.running {
		return
	}

	s.stats.Crashes++
	s.stopIncarnation()

	down := time.Duration(s.behaviour.DownMS * float64(time.Millisecond))

	s.restart <- down // never blocks, because the next crash requires the next incarnation
}

// restartLoop starts the incarnations after the first.
func (s *Searcher) restartLoop() {
	for {
		var down time.Duration

		select {
		case down = <-s.restart:
		case <-s.ctx.Done():
			return
		}

		select {
		case <-time.After(down):
		case <-s.ctx.Done():
			return
		}

		for s.startIncarnation(true) != nil && s.ctx.Err() == nil {
			time.Sleep(pollInterval) // The port may still be in use for a moment.
		}

		s.triggerAnnouncement()
	}
}

// stopIncarnation resets the connections and drops the runs of the incarnation. The caller holds mu.
func (s *Searcher) stopIncarnation() {
	s.running = false
	s.cancelIncarnation()

	for c := range s.conns {
		reset(c.Conn)
	}

	clear(s.conns)
	clear(s.runs)
}

func (s *Searcher) stop() error {
	s.mu.Lock()
	s.stopIncarnation()
	s.cancel()
	s.mu.Unlock()

	var err error
	if s.admin != nil {
		// Shutdown does not close the listener of a server whose Serve has not started yet.
		_ = s.adminLn.Close()

		if err = s.admin.Shutdown(); errors.Is(err, net.ErrClosed) {
			err = nil
		}
	}

	s.wg.Wait()

	return err
}

// beginHandler makes stop wait for a handler. It returns false if stop has already begun.
func (s *Searcher) beginHandler() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.ctx.Err() != nil {
		return false
	}

	s.wg.Add(1)

	return true
}

// Address returns the host:port on which the searcher serves nodes.
func (s *Searcher) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.address
}

// AdminAddress returns the host:port for faults and counters. It panics if the configuration has no AdminAddress.
func (s *Searcher) AdminAddress() string { return s.adminLn.Addr().String() }

// ID returns the configured id of the searcher.
func (s *Searcher) ID() ident.SearcherID { return s.cfg.Searcher }

// Data returns the data set, from which tests recompute answers.
func (s *Searcher) Data() Dataset { return s.cfg.Data }

// Stats returns a snapshot of the counters.
func (s *Searcher) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()

	st := s.stats
	st.Incarnation, st.InFlight, st.Connections = s.incarnation, len(s.runs), len(s.conns)

	return st
}

// Runs returns a copy of the journal of started execute requests, over all incarnations.
func (s *Searcher) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.Clone(s.journal)
}

// CountRuns counts the started execute requests with an idempotency key.
func (s *Searcher) CountRuns(key string) int {
	n := 0

	for _, r := range s.Runs() {
		if r.IdempotencyKey == key {
			n++
		}
	}

	return n
}

// count returns the number of documents of a shard, served by this searcher or not. The caller holds mu.
func (s *Searcher) count(shard ident.ShardID, snapshot ident.SnapshotID) ident.Documents {
	key := shardKey{shard: shard, snapshot: snapshot}

	n, ok := s.counts[key]
	if !ok {
		n = s.cfg.Data.Count(shard, snapshot)
		s.counts[key] = n
	}

	return n
}

// contentFor returns the documents of a shard, which it computes once. The caller holds mu.
func (s *Searcher) contentFor(shard ident.ShardID, snapshot ident.SnapshotID) content {
	key := shardKey{shard: shard, snapshot: snapshot}

	c, ok := s.contents[key]
	if !ok {
		c = content{ids: s.cfg.Data.ids(shard, snapshot), documents: map[string]json.RawMessage{}}
		version := strconv.FormatUint(uint64(snapshot), 10)

		for _, id := range c.ids {
			c.documents[id] = s.cfg.Data.document(id, version)
		}

		s.contents[key] = c
	}

	return c
}

// track counts a connection. It returns nil if the limit is reached or the incarnation has ended.
func (s *Searcher) track(c net.Conn, delay time.Duration) *trackedConn {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.stats.AcceptedConnections++
	s.stats.PeakConnections = max(s.stats.PeakConnections, len(s.conns)+1)

	if !s.running || s.behaviour.cuts(c) {
		return nil // accepted during a shutdown or a cut, so it does not count as over the limit
	}

	if len(s.conns) >= s.cfg.Connections {
		s.stats.RefusedConnections++

		return nil
	}

	t := &trackedConn{Conn: c, s: s, delay: delay}
	s.conns[t] = struct{}{}

	return t
}

func (s *Searcher) untrack(c *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.conns, c)
}

func (s *Searcher) health() Health {
	return Health{
		Upstream: s.cfg.Data.Upstream, Searcher: s.cfg.Searcher, Incarnation: s.incarnation,
		InFlight: len(s.runs), Slots: s.cfg.Slots, Cold: s.isCold(), Leaving: s.behaviour.Drain,
	}
}

// recordHealth adds the current health to the history and drops entries older than the lag. The caller holds mu.
func (s *Searcher) recordHealth(now time.Time) {
	s.healthHistory = append(s.healthHistory, healthSample{at: now, Health: s.health()})

	lag := time.Duration(s.behaviour.HealthLagMS * float64(time.Millisecond))
	for len(s.healthHistory) > 1 && (now.Sub(s.healthHistory[1].at) >= lag || len(s.healthHistory) > maxHealthHistory) {
		s.healthHistory = s.healthHistory[1:]
	}
}

func (s *Searcher) delayedHealth() Health {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.recordHealth(time.Now())

	return s.healthHistory[0].Health
}
