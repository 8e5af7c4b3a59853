package control

import (
	"fmt"
	"time"

	"fulmarfall/claim"
	"fulmarfall/configuration"
	"fulmarfall/conviction"
	"fulmarfall/ident"
	"fulmarfall/record"
	"fulmarfall/registry"

	"github.com/go-faster/errors"
)

// snapshotFormat must be incremented when earlier versions can no longer read a snapshot. Format 2
// added the configuration document, format 3 the orders of roll-outs. A state without orders is written in format 2, which
// earlier versions can read.
const (
	snapshotFormat               = 3
	firstFormatWithConfiguration = 2
	firstFormatWithRollouts      = 3
)

// SnapshotFormat is the newest format that Restore accepts.
const SnapshotFormat = snapshotFormat

// MaxSnapshotBytes bounds the size of a snapshot that Restore accepts.
const MaxSnapshotBytes = 1 << 30

// Errors of Snapshot, NodeSnapshot and Restore.
var (
	// ErrUnsupportedCommand means that the state lacks the effect of a command that this version of
	// the program does not support.
	ErrUnsupportedCommand = errors.New("the log contains a command of a newer version")
	// ErrNewerFormat means that a newer version of the program wrote the snapshot.
	ErrNewerFormat = errors.New("the snapshot was written by a newer version")
	// ErrOlderSnapshot means that the state is ahead of the snapshot. Restoring it would revert
	// changes that are in force.
	ErrOlderSnapshot = errors.New("the snapshot is older than the state")
)

// Snapshot encodes the complete state. Equal states have identical encodings.
func (s *State) Snapshot() ([]byte, error) { return s.snapshot(true, snapshotFormat) }

// NodeSnapshot encodes the state for a node's applied copy: without claims and without the results of
// operations.
func (s *State) NodeSnapshot() ([]byte, error) { return s.snapshot(false, snapshotFormat) }

// UpdatesSince returns what a node at the given index needs to catch up: the next entries, or a
// snapshot if the ring no longer contains them. It limits the entries to maxBytes in total, but
// returns at least one if there is any. format is the newest snapshot format that the node reads; an
// older one leaves out what it does not contain.
func (s *State) UpdatesSince(index uint64, maxBytes int, format uint16) (entries []Entry, snapshot []byte, err error) {
	entries, ok := s.CommandsSince(index)
	if !ok {
		snapshot, err = s.snapshot(false, max(format, firstFormatWithConfiguration))

		return nil, snapshot, err
	}

	size := 0
	for i := range entries {
		size += len(entries[i].Data)
		if size > maxBytes && i > 0 {
			return entries[:i], nil, nil
		}
	}

	return entries, nil, nil
}

func (s *State) snapshot(full bool, newest uint16) ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.unsupported != 0 {
		return nil, fmt.Errorf("snapshot at index %d, first unknown command at %d: %w", s.index, s.unsupported, ErrUnsupportedCommand)
	}
	format := uint16(firstFormatWithConfiguration)
	if s.rollouts.Len() > 0 && newest >= firstFormatWithRollouts {
		format = firstFormatWithRollouts
	}
	h := header{Format: format, Claims: full && s.claims != nil, Index: s.index, ClockNano: s.clock.UnixNano()}
	for _, e := range s.convictions.Entries() {
		h.Convictions = append(h.Convictions, convictionBody{
			Fingerprint: uint64(e.Fingerprint), State: uint8(e.State), Strikes: e.Strikes,
			LastNano: e.Last.UnixNano(), ExpiresNano: e.Expires.UnixNano(),
		})
	}
	for _, trial := range s.convictions.Trials() {
		h.Trials = append(h.Trials, trialBody{
			Fingerprint: uint64(trial.Fingerprint), Token: trial.Token, Nano: trial.Ends.UnixNano(),
		})
	}
	document := configurationBody{Version: uint64(s.document.Version), Document: s.document.Content}
	parts := []marshaler{&h, s.records.Image(full), s.registry.Image(), &document}
	if h.Claims {
		parts = append(parts, s.claims.Image())
	}
	if format >= firstFormatWithRollouts {
		parts = append(parts, imageOfRollouts(s.rollouts))
	}
	var data []byte
	for _, p := range parts {
		var err error
		if data, err = p.MarshalMsg(data); err != nil {
			return nil, fmt.Errorf("encode snapshot: %w", err)
		}
	}

	return data, nil
}

// Restore replaces the state with that of a snapshot. On error the state is unchanged. A state
// without claims accepts the encodings of Snapshot and NodeSnapshot.
func (s *State) Restore(data []byte) error {
	if len(data) > MaxSnapshotBytes {
		return fmt.Errorf("snapshot of %d bytes: %w", len(data), ErrTooLarge)
	}
	var h header
	rest, err := h.UnmarshalMsg(data)
	if err != nil {
		return fmt.Errorf("snapshot header: %w: %w", ErrMalformed, err)
	}
	if h.Format > snapshotFormat {
		return fmt.Errorf("snapshot format %d: %w", h.Format, ErrNewerFormat)
	}
	next := New()
	next.index, next.clock = h.Index, time.Unix(0, h.ClockNano)
	if next.convictions, err = decodeConvictions(&h); err != nil {
		return fmt.Errorf("snapshot convictions: %w: %w", ErrMalformed, err)
	}
	var records record.Image
	if rest, err = records.UnmarshalMsg(rest); err != nil {
		return fmt.Errorf("snapshot records: %w: %w", ErrMalformed, err)
	}
	if next.records, err = record.FromImage(&records); err != nil {
		return fmt.Errorf("snapshot records: %w: %w", ErrMalformed, err)
	}
	var reg registry.Image
	if rest, err = reg.UnmarshalMsg(rest); err != nil {
		return fmt.Errorf("snapshot registry: %w: %w", ErrMalformed, err)
	}
	if next.registry, err = registry.FromImage(&reg); err != nil {
		return fmt.Errorf("snapshot registry: %w: %w", ErrMalformed, err)
	}
	if h.Format >= firstFormatWithConfiguration {
		var b configurationBody
		if rest, err = b.UnmarshalMsg(rest); err != nil {
			return fmt.Errorf("snapshot configuration: %w: %w", ErrMalformed, err)
		}
		next.document = configuration.Document{Version: configuration.Version(b.Version), Content: b.Document}
	}
	if h.Claims {
		var claims claim.Image
		if rest, err = claims.UnmarshalMsg(rest); err != nil {
			return fmt.Errorf("snapshot claims: %w: %w", ErrMalformed, err)
		}
		if next.claims, err = claim.FromImage(&claims); err != nil {
			return fmt.Errorf("snapshot claims: %w: %w", ErrMalformed, err)
		}
	}
	if h.Format >= firstFormatWithRollouts {
		var image rolloutImage
		if rest, err = image.UnmarshalMsg(rest); err != nil {
			return fmt.Errorf("snapshot roll-outs: %w: %w", ErrMalformed, err)
		}
		if next.rollouts, err = image.table(); err != nil {
			return fmt.Errorf("snapshot roll-outs: %w: %w", ErrMalformed, err)
		}
	}
	if len(rest) > 0 {
		return fmt.Errorf("snapshot: %d trailing bytes: %w", len(rest), ErrMalformed)
	}

	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claims != nil && !h.Claims {
		// A voter that restored a node's snapshot would lose its claims and allow requests to run twice.
		return fmt.Errorf("snapshot without claims for a state with claims: %w", ErrMalformed)
	}
	if next.index < s.index {
		return fmt.Errorf("snapshot at index %d, state at %d: %w", next.index, s.index, ErrOlderSnapshot)
	}
	next.records.AdvanceVersionPast(s.records)
	next.convictions.AdvanceVersionPast(s.convictions)
	next.registry.AdvanceVersionPast(s.registry)
	next.rollouts.AdvanceVersionPast(s.rollouts)
	s.index, s.clock, s.unsupported = next.index, next.clock, 0
	s.records, s.convictions, s.registry = next.records, next.convictions, next.registry
	s.document, s.rollouts = next.document, next.rollouts
	if s.claims != nil {
		s.claims = next.claims
	}
	s.ring.reset(s.index)

	return nil
}

func decodeConvictions(h *header) (*conviction.Table, error) {
	entries := make([]conviction.Entry, 0, len(h.Convictions))
	for i := range h.Convictions {
		b := &h.Convictions[i]
		entries = append(entries, conviction.Entry{
			Fingerprint: ident.Fingerprint(b.Fingerprint), State: conviction.State(b.State), Strikes: b.Strikes,
			Last: time.Unix(0, b.LastNano), Expires: time.Unix(0, b.ExpiresNano),
		})
	}

	trials := make([]conviction.Trial, 0, len(h.Trials))
	for i := range h.Trials {
		b := &h.Trials[i]
		trials = append(trials, conviction.Trial{
			Fingerprint: ident.Fingerprint(b.Fingerprint), Token: b.Token, Ends: time.Unix(0, b.Nano),
		})
	}

	return conviction.FromEntries(entries, trials)
}
