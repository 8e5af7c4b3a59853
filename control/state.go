// Package control implements the replicated state machine, which consists of records, claims,
// convictions, the registry of searchers, the configuration document and the orders of roll-outs. Replicas that apply the same
// commands have the same state, and their snapshots are byte-for-byte equal.
package control

import (
	"fmt"
	"sync"
	"time"

	"fulmarfall/claim"
	"fulmarfall/configuration"
	"fulmarfall/conviction"
	"fulmarfall/ident"
	"fulmarfall/record"
	"fulmarfall/registry"
	"fulmarfall/rollout"

	"github.com/go-faster/errors"
)

// Option configures a State in New.
type Option func(*State)

// WithoutClaims makes the State skip claim commands, as the applied copy of a node does.
func WithoutClaims() Option { return func(s *State) { s.claims = nil } }

// State is the replicated state. Its methods are safe for concurrent use, but what Records,
// Convictions and Registry return may be used only inside View or by a single goroutine.
type State struct {
	mu          sync.RWMutex
	index       uint64
	clock       time.Time
	records     *record.Store
	claims      *claim.Table // nil in a state without claims
	convictions *conviction.Table
	registry    *registry.Registry
	document    configuration.Document
	rollouts    *rollout.Table
	ring        ring
	unsupported uint64 // index of the first unsupported command, or 0
}

// New returns an empty state.
func New(opts ...Option) *State {
	s := &State{
		clock:   time.Unix(0, 0),
		records: record.NewStore(), claims: claim.New(), convictions: conviction.New(), registry: registry.New(),
		rollouts: rollout.NewTable(),
	}
	for _, o := range opts {
		o(s)
	}

	return s
}

// View is a consistent read view of a State, valid only during the call of State.View. The tables that
// it returns must not be modified.
type View struct{ s *State }

// Records returns the operator records.
func (v View) Records() *record.Store { return v.s.records }

// Convictions returns the suspected and convicted fingerprints.
func (v View) Convictions() *conviction.Table { return v.s.convictions }

// Registry returns the searchers, shard maps and owners.
func (v View) Registry() *registry.Registry { return v.s.registry }

// Configuration returns the configuration document in force. Its content must not be changed.
func (v View) Configuration() configuration.Document { return v.s.document }

// Rollouts returns the orders of roll-outs.
func (v View) Rollouts() *rollout.Table { return v.s.rollouts }

// Clock returns the state's clock: the latest stamp of the applied commands.
func (v View) Clock() time.Time { return v.s.clock }

// AppliedIndex returns the index of the last applied or skipped entry.
func (v View) AppliedIndex() uint64 { return v.s.index }

// View calls f with a read view. No command is applied until f returns, so f must be short. It must
// not call methods of the State: they would deadlock if Apply is waiting for f to return. It must not
// retain what it reads from the view's tables, except immutable entries.
func (s *State) View(f func(View)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(View{s})
}

// Records returns the operator records, for use inside View or by a single goroutine.
func (s *State) Records() *record.Store { return s.records }

// Convictions returns the suspected and convicted fingerprints, for use inside View or by a single
// goroutine.
func (s *State) Convictions() *conviction.Table { return s.convictions }

// Registry returns the searchers, shard maps and owners, for use inside View or by a single goroutine.
func (s *State) Registry() *registry.Registry { return s.registry }

// AppliedIndex returns the index of the last applied or skipped entry.
func (s *State) AppliedIndex() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()

	return s.index
}

// Unsupported returns the index of the first command that this version of the program does not
// support, or 0. The replica skips such a command and continues. Until an upgraded program has
// replayed the command from the log, Snapshot and NodeSnapshot fail, so that the log retains the
// command and no other replica or node receives a state without its effect.
func (s *State) Unsupported() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()

	return s.unsupported
}

// Apply applies one log entry and returns the encoded result. An entry that is empty, malformed or of
// an unknown type advances only the index; one whose index has already been applied has no effect.
// The state retains data, so the caller must not modify it.
func (s *State) Apply(index uint64, data []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index <= s.index {
		return encodeResult(SkippedResult{Reason: SkipApplied})
	}
	s.index = index
	res, neededByNodes := s.applyEntry(data)
	if !neededByNodes {
		data = nil
	}
	s.ring.add(index, s.clock, data)

	return encodeResult(res)
}

// applyEntry applies one entry. It returns the result and whether nodes must apply the entry as well
// to reach the same state.
func (s *State) applyEntry(data []byte) (res Result, neededByNodes bool) {
	if len(data) == 0 {
		return SkippedResult{Reason: SkipNothing}, false
	}
	env, err := decodeEnvelope(data)
	if err != nil {
		return SkippedResult{Reason: SkipMalformed, Text: err.Error()}, false
	}
	if isClaimCommand(env.Type) && s.claims == nil {
		return SkippedResult{Reason: SkipClaims}, false
	}
	c, err := env.command()
	switch {
	case errors.Is(err, ErrUnknownType):
		if s.unsupported == 0 {
			s.unsupported = s.index
		}

		return SkippedResult{Reason: SkipUnknownType, Text: err.Error()}, true
	case err != nil:
		return SkippedResult{Reason: SkipMalformed, Text: err.Error()}, false
	}
	s.advanceClock(time.Unix(0, env.StampNano))

	return s.apply(c), !isClaimCommand(env.Type)
}

// advanceClock advances the clock, which never goes backwards, and drops expired convictions and
// claims.
func (s *State) advanceClock(stamp time.Time) {
	if stamp.After(s.clock) {
		s.clock = stamp
	}
	s.convictions.Expire(s.clock)
	if s.claims != nil {
		s.claims.Expire(s.clock)
	}
}

func (s *State) apply(c Command) Result {
	switch c := c.(type) {
	case BeginTrial:
		return DoneResult{s.convictions.BeginTrial(s.clock, conviction.Trial{
			Fingerprint: c.Fingerprint, Token: c.Token, Ends: s.clock.Add(c.Duration),
		})}
	case EndTrial:
		return DoneResult{s.convictions.EndTrial(c.Fingerprint, c.Token)}
	case PutConfiguration:
		return DoneResult{s.document.ReplaceIfNewer(c.Version, c.Document)}
	case AdvanceClock:
		return DoneResult{Done: true}
	case OrderRollout:
		return RolloutResult{s.rollouts.Add(s.clock, rollout.Order{
			ID: rollout.OrderID(s.index), Upstream: c.Upstream, Target: c.Target, Current: c.Current, Within: c.Within,
		})}
	case AdvanceRollout:
		return DoneResult{s.rollouts.Advance(c.Upstream, c.Order, rollout.Step{Stage: c.Stage, Age: c.Age, Reason: c.Reason, Grants: c.Grants})}
	case PutRecord:
		return RecordResult{s.records.Apply(&record.Change{
			Kind: c.Kind, Name: c.Name, Schema: c.Schema, Revision: c.Revision, Operation: c.Operation, Spec: c.Spec,
			Index: s.index,
		})}
	case WithdrawRecord:
		return RecordResult{s.records.Apply(&record.Change{
			Kind: c.Kind, Name: c.Name, Revision: c.Revision, Operation: c.Operation, Withdraw: true,
			Index: s.index,
		})}
	case ClaimKey:
		return ClaimResult{s.claims.Claim(s.clock, c.Key, c.Body, c.Token)}
	case SettleClaim:
		return DoneResult{s.claims.Settle(s.clock, c.Key, c.Token, c.HasAnswer, c.Answer)}
	case ReleaseClaim:
		return DoneResult{s.claims.Release(s.clock, c.Key, c.Token)}
	case AddStrike:
		e := s.convictions.Strike(s.clock, c.Fingerprint, c.Exclusive)
		return StrikeResult{State: e.State, Strikes: e.Strikes}
	case ClearSuspect:
		return DoneResult{s.convictions.Clear(c.Fingerprint, c.Strikes)}
	case RegisterSearcher:
		return registryResult(0, s.registry.Register(&c.Announcement))
	case UpdateSearcher:
		return registryResult(0, s.registry.Update(&c.Announcement))
	case RemoveSearcher:
		return registryResult(0, s.registry.Remove(c.Searcher, c.Incarnation))
	case MoveOwner:
		return registryResult(0, s.registry.MoveOwner(c.Searcher, c.Epoch, c.To))
	case ReleaseOwner:
		return registryResult(0, s.registry.ReleaseOwner(c.Searcher, c.Epoch))
	case MarkCold:
		return registryResult(0, s.registry.MarkCold(c.Searcher, c.Epoch, c.Cold))
	case AssignOwner:
		epoch, err := s.registry.AssignOwner(c.Searcher, c.Epoch, c.Owner, c.Incarnation)
		return registryResult(epoch, err)
	default:
		return SkippedResult{Reason: SkipUnknownType, Text: fmt.Sprintf("command %T", c)}
	}
}

func registryResult(epoch ident.Epoch, err error) Result {
	if err != nil {
		return RegistryResult{Refusal: err.Error()}
	}

	return RegistryResult{Epoch: epoch}
}
