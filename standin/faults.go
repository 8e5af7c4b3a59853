package standin

import (
	"cmp"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"fulmarfall/ident"

	"github.com/go-faster/errors"
)

// Behaviour configures service times and faults. All of it can change while the searcher runs.
type Behaviour struct {
	// ServiceMS is the median service time; Spread is the standard deviation of its logarithm.
	ServiceMS float64 `json:"service_ms"`
	Spread    float64 `json:"spread"`
	// StragglerPercent of the requests take StragglerMS instead.
	StragglerPercent float64 `json:"straggler_percent"`
	StragglerMS      float64 `json:"straggler_ms"`
	// Drain refuses new requests, announces that the searcher is leaving, and finishes requests in flight.
	Drain bool `json:"drain"`
	// Shed refuses every request.
	Shed bool `json:"shed"`
	// Freeze stops answers and announcements, but keeps connections open.
	Freeze bool `json:"freeze"`
	// Silent stops the announcements only.
	Silent bool `json:"silent"`
	// CrashMark is a text that crashes the searcher when a query or body contains it; empty disables this.
	CrashMark string `json:"crash_mark"`
	// DownMS is the time between a crash and the restart.
	DownMS float64 `json:"down_ms"`
	// ColdRatePerSecond is the rate of starts that the searcher can sustain right after it has turned cold; the rate
	// doubles with every 8 answers.
	ColdRatePerSecond int `json:"cold_rate_per_second"`
	// ColdAnswers is the number of answers after which the searcher is warm.
	ColdAnswers int `json:"cold_answers"`
	// HealthLagMS is the age of the state that GET /health reports.
	HealthLagMS float64 `json:"health_lag_ms"`
	// RetryAfterMS is the retry delay that refusals advise.
	RetryAfterMS int64 `json:"retry_after_ms"`
	// LimitPerSecond is the request limit that every answer names; 0 for none. The searcher itself does not enforce it.
	LimitPerSecond float64 `json:"limit_per_second"`
	// Endless is the part of a search answer that never ends: it is sent until the peer closes the connection.
	Endless Endless `json:"endless"`
	// Malformed is what is wrong with answers that report success, a key of MalformedResponses; empty for nothing.
	Malformed string `json:"malformed"`
	// Cut is how connections fail: those from the IP address CutFrom, or all if that is empty.
	Cut     Cut    `json:"cut"`
	CutFrom string `json:"cut_from"`
}

// Endless names the part of an answer that never ends.
type Endless string

// The parts of an answer that can be endless.
const (
	EndlessNone   Endless = ""
	EndlessHeader Endless = "header"
	EndlessBody   Endless = "body"
	EndlessChunks Endless = "chunks"
)

// stream returns the bytes sent once at the start, and the chunk that is repeated after them.
func (e Endless) stream() (preamble, chunk string) {
	const (
		statusLine = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		chunkSize  = 4096
	)

	text := strings.Repeat("x", chunkSize)

	switch e {
	case EndlessHeader:
		return statusLine + "X-More: ", text
	case EndlessChunks:
		return statusLine + "Transfer-Encoding: chunked\r\n\r\n", strconv.FormatInt(chunkSize, 16) + "\r\n" + text + "\r\n"
	case EndlessBody:
		return statusLine + "\r\n", text
	case EndlessNone:
	}

	return "", ""
}

// valid reports whether e is a known part.
func (e Endless) valid() bool {
	return slices.Contains([]Endless{EndlessNone, EndlessHeader, EndlessBody, EndlessChunks}, e)
}

// DefaultBehaviour returns the behaviour of a searcher without faults.
func DefaultBehaviour() Behaviour {
	return Behaviour{
		ServiceMS: 4, Spread: 0.2, DownMS: 500, ColdRatePerSecond: 20, ColdAnswers: 40, RetryAfterMS: 200,
	}
}

const (
	coldDoublingStep = 8 // answers after which the sustainable rate doubles
	// coldSlowdown makes a cold searcher at most 1.5 times as slow, less than the factor of 2 that a gate accepts
	// during ramp-up.
	coldSlowdown = 0.5
	coldWindow   = time.Second
)

// Action is a one-time change requested through POST /faults.
type Action struct {
	Crash        bool             `json:"crash"`
	Cold         bool             `json:"cold"`
	NewSnapshot  *Holding         `json:"new_snapshot"`
	DropSnapshot ident.SnapshotID `json:"drop_snapshot"`
	Split        *SplitAction     `json:"split"`
	Nodes        []string         `json:"nodes"` // replace the nodes that receive announcements
}

// SplitAction creates a new snapshot in which the children replace a shard.
type SplitAction struct {
	Shard    ident.ShardID    `json:"shard"`
	Snapshot ident.SnapshotID `json:"snapshot"`
}

// Holding is a snapshot with all of its shards and those that this searcher serves.
type Holding struct {
	Snapshot ident.SnapshotID `json:"snapshot"`
	Shards   []ident.ShardID  `json:"shards"`
	Held     []ident.ShardID  `json:"held"`
}

// UpdateBehaviour updates the behaviour and triggers an announcement.
func (s *Searcher) UpdateBehaviour(f func(*Behaviour)) {
	s.mu.Lock()
	before := s.behaviour
	f(&s.behaviour)
	after := s.behaviour

	s.applyCut(before)

	if before.Freeze && !after.Freeze {
		close(s.unfrozen)
	}

	if !before.Freeze && after.Freeze {
		s.unfrozen = make(chan struct{})
	}
	s.mu.Unlock()
	s.triggerAnnouncement()
}

// Behaviour returns a copy of the current behaviour.
func (s *Searcher) Behaviour() Behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.behaviour
}

// applyFaults applies the body of POST /faults: fields of Behaviour, of which absent ones keep their values, and
// fields of Action.
func (s *Searcher) applyFaults(body []byte) error {
	var a Action
	if err := json.Unmarshal(body, &a); err != nil {
		return errors.Wrap(err, "read action")
	}

	updated := s.Behaviour()
	if err := json.Unmarshal(body, &updated); err != nil {
		return errors.Wrap(err, "read behaviour")
	}

	if !updated.Endless.valid() {
		return errors.Errorf("read behaviour: endless is %q, want header, body, chunks or nothing", updated.Endless)
	}

	if _, ok := MalformedResponses("", "")[updated.Malformed]; !ok && updated.Malformed != "" {
		return errors.Errorf("read behaviour: malformed is %q, want a kind of MalformedResponses or nothing", updated.Malformed)
	}

	if !updated.Cut.valid() {
		return errors.Errorf("read behaviour: cut is %q, want hang, reset, refuse or nothing", updated.Cut)
	}

	if updated.CutFrom != "" && net.ParseIP(updated.CutFrom) == nil {
		return errors.Errorf("read behaviour: cut_from is %q, want an IP address or nothing", updated.CutFrom)
	}

	if updated.LimitPerSecond < 0 {
		return errors.Errorf("read behaviour: limit_per_second is %v, want 0 or more", updated.LimitPerSecond)
	}

	s.UpdateBehaviour(func(b *Behaviour) { _ = json.Unmarshal(body, b) })

	if a.NewSnapshot != nil {
		s.AddSnapshot(*a.NewSnapshot)
	}

	if a.Split != nil {
		if err := s.Split(a.Split.Shard, a.Split.Snapshot); err != nil {
			return err
		}
	}

	if a.DropSnapshot != 0 {
		s.DropSnapshot(a.DropSnapshot)
	}

	if a.Nodes != nil {
		s.SetNodes(a.Nodes)
	}

	if a.Cold {
		s.MakeCold()
	}

	if a.Crash {
		s.Crash()
	}

	return nil
}

// AddSnapshot makes the searcher serve a snapshot, or replaces one that it already serves.
func (s *Searcher) AddSnapshot(h Holding) {
	s.mu.Lock()
	s.holdings = slices.DeleteFunc(s.holdings, func(o Holding) bool { return o.Snapshot == h.Snapshot })
	s.holdings = append(s.holdings, h)
	slices.SortFunc(s.holdings, func(a, b Holding) int { return cmp.Compare(a.Snapshot, b.Snapshot) })
	s.mu.Unlock()
	s.triggerAnnouncement()
}

// DropSnapshot removes a snapshot; requests for it get status 410.
func (s *Searcher) DropSnapshot(id ident.SnapshotID) {
	s.mu.Lock()
	s.holdings = slices.DeleteFunc(s.holdings, func(o Holding) bool { return o.Snapshot == id })
	s.mu.Unlock()
	s.triggerAnnouncement()
}

// Split adds a snapshot derived from the newest one, in which the children of a shard replace it. A searcher that
// serves the shard serves both children.
func (s *Searcher) Split(shard ident.ShardID, snapshot ident.SnapshotID) error {
	s.mu.Lock()
	if len(s.holdings) == 0 {
		s.mu.Unlock()

		return errors.New("split: no snapshot is held")
	}

	last := s.holdings[len(s.holdings)-1]
	s.mu.Unlock()

	replace := func(list []ident.ShardID) []ident.ShardID {
		var out []ident.ShardID

		for _, id := range list {
			if id == shard {
				children := Children(id)
				out = append(out, children[:]...)
			} else {
				out = append(out, id)
			}
		}

		return out
	}

	if !slices.Contains(last.Shards, shard) {
		return errors.Errorf("split: snapshot %d has no shard %q", last.Snapshot, shard)
	}

	s.AddSnapshot(Holding{Snapshot: snapshot, Shards: replace(last.Shards), Held: replace(last.Held)})

	return nil
}

// MakeCold makes the searcher cold again without a crash.
func (s *Searcher) MakeCold() {
	s.mu.Lock()
	s.makeCold()
	s.mu.Unlock()
	s.triggerAnnouncement()
}

func (s *Searcher) makeCold() {
	s.answersSinceCold, s.coldStarts = 0, nil
}

func (s *Searcher) isCold() bool { return s.answersSinceCold < s.behaviour.ColdAnswers }

// recordStart counts a start and reports whether it overloads a cold searcher. The caller holds mu.
func (s *Searcher) recordStart(now time.Time) (overloaded bool) {
	if !s.isCold() {
		s.coldStarts = nil

		return false
	}

	s.coldStarts = append(slices.DeleteFunc(s.coldStarts, func(t time.Time) bool { return now.Sub(t) >= coldWindow }), now)
	permitted := float64(s.behaviour.ColdRatePerSecond) * math.Exp2(float64(s.answersSinceCold/coldDoublingStep))

	// A window with a start at both of its ends fits one start more than the rate.
	return float64(len(s.coldStarts)) > permitted+1
}

// serviceTime draws the service time of an attempt, which is a function of the attempt and the searcher. The caller
// holds mu.
func (s *Searcher) serviceTime(id ident.RequestID, attempt ident.AttemptID) time.Duration {
	h := hash(s.cfg.Data.Seed, "service", string(s.cfg.Searcher), string(id))
	rng := rand.New(rand.NewPCG(h, uint64(attempt)))
	b := &s.behaviour

	ms := b.ServiceMS * math.Exp(b.Spread*rng.NormFloat64())
	if rng.Float64()*100 < b.StragglerPercent {
		ms = b.StragglerMS
	}

	if s.isCold() {
		ms *= 1 + coldSlowdown*(1-float64(s.answersSinceCold)/float64(b.ColdAnswers))
	}

	return time.Duration(ms * float64(time.Millisecond))
}
