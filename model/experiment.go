package model

import (
	"fmt"
	"slices"
	"time"

	"fulmarfall/ident"
)

// Version selects the implementation that a run simulates.
type Version string

// The versions that can be compared.
const (
	// Product drives the state machines of packages query, searcher and admission.
	Product Version = "product"
	// Naive sends to a random replica of every shard at once, without limits, and retries every error.
	Naive Version = "naive"
)

// Mechanism names a mechanism of Product that can be disabled.
type Mechanism string

// The mechanisms of Product.
const (
	Hedging         Mechanism = "hedging"
	ReplicaChoice   Mechanism = "replica_choice"
	Canary          Mechanism = "canary"
	ColdGate        Mechanism = "cold_gate"
	DeadlineQueue   Mechanism = "deadline_queue"
	EarlyPartial    Mechanism = "early_partial_answer"
	WarmConnections Mechanism = "warm_connections"
	Budget          Mechanism = "budget"
	EarlyRefusal    Mechanism = "early_refusal"
)

// Mechanisms lists all mechanisms of Product.
var Mechanisms = []Mechanism{
	Hedging, ReplicaChoice, Canary, ColdGate, DeadlineQueue, EarlyPartial, WarmConnections, Budget, EarlyRefusal,
}

const (
	// tailTarget is the latency bound for 99 of 100 answers.
	tailTarget = 75 * time.Millisecond
	// defaultFreshShare is the share of requests with a fingerprint that has not been seen before.
	defaultFreshShare = 0.2
	// loadExtension is how long requests keep arriving after the end of the measurement.
	loadExtension = 10 * time.Millisecond
	// drainTime is how long the run continues after the measurement, so that requests in flight can end.
	drainTime = 500 * time.Millisecond
)

// Experiment configures a run. Zero values of optional fields mean the defaults.
type Experiment struct {
	Size      Size        `json:"size"`
	Situation Situation   `json:"situation"`
	Version   Version     `json:"version"`
	Without   []Mechanism `json:"without,omitempty"`
	Seed      uint64      `json:"seed"`
	// FreshShare is the share of requests with a fingerprint that has not been seen before; nil means 0.2.
	FreshShare *float64 `json:"fresh_share,omitempty"`
	// LoadFactor multiplies the rates of the size; 0 means 1.
	LoadFactor float64 `json:"load_factor,omitempty"`
	// TimeoutMillis is the timeout of the requests; 0 means that of the size.
	TimeoutMillis int `json:"timeout_ms,omitempty"`
	// NodeCapacity bounds the requests in flight that each entry node admits; 0 means the default of package
	// admission.
	NodeCapacity int `json:"node_capacity,omitempty"`
	// MeasuredMillis is the length of the measurement; 0 means that of the size and situation.
	MeasuredMillis int `json:"measured_ms,omitempty"`
}

func (e Experiment) freshShare() float64 {
	if e.FreshShare != nil {
		return *e.FreshShare
	}

	return defaultFreshShare
}

func (e Experiment) loadFactor() float64 {
	if e.LoadFactor > 0 {
		return e.LoadFactor
	}

	return 1
}

// Validate reports an unknown size, situation, version or mechanism.
func (e Experiment) Validate() error {
	if _, err := sizeOf(e.Size); err != nil {
		return err
	}
	if !slices.Contains(Situations, e.Situation) {
		return fmt.Errorf("situation %q is not one of %v", e.Situation, Situations)
	}
	if e.Version != Product && e.Version != Naive {
		return fmt.Errorf("version %q is not one of %v", e.Version, []Version{Product, Naive})
	}
	for _, m := range e.Without {
		if !slices.Contains(Mechanisms, m) {
			return fmt.Errorf("mechanism %q is not one of %v", m, Mechanisms)
		}
	}

	return nil
}

// Report is the result of a run. Latencies are measured at the callers, in milliseconds.
type Report struct {
	Experiment Experiment `json:"experiment"`

	Queries    int                  `json:"queries"`
	Answers    int                  `json:"answers"`
	Unanswered int                  `json:"unanswered"` // nothing arrived before the deadline
	Refusals   map[ident.Reason]int `json:"refusals"`

	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	// Within75 is the share of answers within 75 ms among answers and unanswered requests.
	Within75 float64 `json:"within_75_ms"`
	// RefusalP50 and RefusalP99 are the latencies of refusals at the caller, 6 ms of which are the network round
	// trip.
	RefusalP50 float64 `json:"refusal_p50_ms"`
	RefusalP99 float64 `json:"refusal_p99_ms"`

	// MeanCoverage averages over answers and unanswered requests; the latter count as zero.
	MeanCoverage float64 `json:"mean_coverage"`
	MinCoverage  float64 `json:"min_coverage"`

	// Classes splits the answers by request class.
	Classes map[string]ClassReport `json:"classes"`

	// ExtraSent and ExtraStarted are the shard requests sent and the runs started at searchers beyond the first of
	// each shard, relative to the first ones.
	ExtraSent    float64 `json:"extra_sent"`
	ExtraStarted float64 `json:"extra_started"`
	// FirstSent counts the first shard request of each shard of a request.
	FirstSent int `json:"first_sent"`

	ShardRefusals map[ident.Reason]int `json:"shard_refusals"`
	// ShardRefusalP95 and ShardRefusalP99 are the times that refused shard requests spent at a gate.
	ShardRefusalP95 float64 `json:"shard_refusal_p95_ms"`
	ShardRefusalP99 float64 `json:"shard_refusal_p99_ms"`
	// ShardRefusedLate counts shard requests refused at or after their deadline.
	ShardRefusedLate int `json:"shard_refused_late"`

	OverSlots       int     `json:"over_slots"`       // peak of requests in flight at a searcher, minus its slots
	OverConnections int     `json:"over_connections"` // peak of connections at a searcher, minus its limit
	ColdOvershoot   float64 `json:"cold_overshoot"`   // starts beyond what a cold searcher can sustain
	FellOver        int     `json:"fell_over"`        // cold searchers that crashed under overload
	Crashed         int     `json:"crashed"`          // searchers crashed by a request
	LateStarts      int     `json:"late_starts"`      // runs started over 4 s after the target went out of service or began to leave
	MostRunsPerKey  int     `json:"most_runs_per_key"`
	MixedSnapshots  int     `json:"mixed_snapshots"` // answers that differ from the naive merge of one snapshot
	WrongCoverages  int     `json:"wrong_coverages"`
}

// ClassReport is the part of a Report for one request class.
type ClassReport struct {
	Queries      int     `json:"queries"`
	Answers      int     `json:"answers"`
	P99          float64 `json:"p99_ms"`
	MeanCoverage float64 `json:"mean_coverage"`
}

// Run simulates an experiment. It panics if the experiment is not valid.
func Run(cfg Experiment) Report {
	if err := cfg.Validate(); err != nil {
		panic(err)
	}
	if cfg.Situation == FanOut {
		cfg.Size = TwoYears
	}
	size, _ := sizeOf(cfg.Size)
	switch {
	case cfg.MeasuredMillis > 0:
		size.measured = time.Duration(cfg.MeasuredMillis) * time.Millisecond
	case cfg.Situation == Overload:
		size.measured = min(size.measured, 2*time.Second)
	}
	if cfg.Situation == Overload {
		// Queues are full after 100 ms, so a shorter warm-up suffices.
		size.warmup = min(size.warmup, 300*time.Millisecond)
	}

	if cfg.TimeoutMillis > 0 {
		size.timeout = time.Duration(cfg.TimeoutMillis) * time.Millisecond
	}

	w := newWorld(cfg, size)
	w.scheduleEvents(cfg.Situation)
	for _, u := range w.upstreams {
		w.generate(u)
	}
	w.runUntil(epoch.Add(size.warmup + size.measured + drainTime))

	return w.stats.report(cfg)
}

func (c *collector) report(cfg Experiment) Report {
	r := Report{
		Experiment: cfg,
		Queries:    c.queries, Answers: c.answers, Unanswered: c.unanswered, Refusals: c.refusals,
		P50: quantile(c.latencies, 0.5), P99: quantile(c.latencies, 0.99), P999: quantile(c.latencies, 0.999),
		Within75:     share(c.within75, c.answers+c.unanswered),
		RefusalP50:   quantile(c.refusalTimes, 0.5),
		RefusalP99:   quantile(c.refusalTimes, 0.99),
		MeanCoverage: c.coverage / float64(max(1, c.answers+c.unanswered)), MinCoverage: c.minCoverage,
		ExtraSent: share(c.extraSends, c.firstSends), ExtraStarted: share(c.extraStarts, c.firstStarts),
		FirstSent:     c.firstSends,
		ShardRefusals: c.shardRefusals, ShardRefusalP95: quantile(c.refusalWaits, 0.95),
		ShardRefusalP99: quantile(c.refusalWaits, 0.99), ShardRefusedLate: c.refusedLate,
		OverSlots:       peakOver(c.peakInFlight, func(s *fakeSearcher) int { return s.up.slots }),
		OverConnections: peakOver(c.peakConnections, func(s *fakeSearcher) int { return s.up.connections }),
		ColdOvershoot:   c.coldOvershoot, FellOver: c.coldCrashes, Crashed: c.crashed, LateStarts: c.lateStarts,
		MixedSnapshots: c.mixedSnapshot, WrongCoverages: c.wrongCoverage,
	}
	r.Classes = make(map[string]ClassReport)
	for class, k := range c.classes {
		r.Classes[class.String()] = ClassReport{
			Queries: k.queries, Answers: len(k.latencies), P99: quantile(k.latencies, 0.99),
			MeanCoverage: k.coverage / float64(max(1, k.queries-k.refused)),
		}
	}
	for _, n := range c.keyRuns {
		r.MostRunsPerKey = max(r.MostRunsPerKey, n)
	}

	return r
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}

	return float64(part) / float64(whole)
}
