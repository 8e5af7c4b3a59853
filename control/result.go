package control

import (
	"fmt"
	"time"

	"fulmarfall/claim"
	"fulmarfall/conviction"
	"fulmarfall/ident"
	"fulmarfall/record"
	"fulmarfall/rollout"
)

// Result is the outcome of applying a command.
type Result interface{ result() }

// RecordResult is the result of PutRecord and WithdrawRecord.
type RecordResult struct{ record.Result }

// ClaimResult is the result of ClaimKey.
type ClaimResult struct{ claim.Result }

// DoneResult is the result of SettleClaim, ReleaseClaim, ClearSuspect, BeginTrial, EndTrial,
// PutConfiguration, AdvanceClock and AdvanceRollout.
type DoneResult struct {
	// Done reports whether the command was accepted. It is false if, for example, the attempt does not
	// hold the claim, or the suspect has a newer strike.
	Done bool
}

// StrikeResult is the result of AddStrike: the state of the fingerprint after the strike.
type StrikeResult struct {
	State   conviction.State
	Strikes uint32
}

// RegistryResult is the result of the commands on searchers and owners.
type RegistryResult struct {
	// Refusal is the reason why the registry did not change, or empty if it did.
	Refusal string
	// Epoch is the new epoch after AssignOwner.
	Epoch ident.Epoch
}

// RolloutResult is the result of OrderRollout.
type RolloutResult struct{ Status rollout.Status }

// SkippedResult is the result of an entry that this replica did not apply.
type SkippedResult struct {
	Reason SkipReason
	Text   string
}

// SkipReason is the reason why an entry was not applied.
type SkipReason uint8

// The skip reasons.
const (
	// SkipNothing marks an entry without a command.
	SkipNothing SkipReason = iota + 1
	// SkipApplied marks an entry whose index has already been applied.
	SkipApplied
	// SkipMalformed marks an entry that is not a valid command. All replicas skip it.
	SkipMalformed
	// SkipUnknownType marks a command type that a newer version added. See State.Unsupported.
	SkipUnknownType
	// SkipClaims marks a claim command on a state without claims.
	SkipClaims
)

func (RecordResult) result()   {}
func (ClaimResult) result()    {}
func (DoneResult) result()     {}
func (StrikeResult) result()   {}
func (RegistryResult) result() {}
func (RolloutResult) result()  {}
func (SkippedResult) result()  {}

const (
	resultRecord uint16 = iota + 1
	resultClaim
	resultDone
	resultStrike
	resultRegistry
	resultSkipped
	resultRollout
)

func encodeResult(r Result) []byte {
	var b resultBody
	switch r := r.(type) {
	case RecordResult:
		img := record.ImageOf(&r.Record)
		raw, err := img.MarshalMsg(nil)
		if err != nil {
			return encodeResult(SkippedResult{Reason: SkipMalformed, Text: err.Error()})
		}
		b = resultBody{Type: resultRecord, Code: uint8(r.Status), Flag: r.Repeated, Data: raw, HasData: true}
	case ClaimResult:
		b = resultBody{Type: resultClaim, Code: uint8(r.Verdict), HasData: r.HasAnswer, Data: r.Answer}
		if !r.Since.IsZero() {
			b.SinceNano = r.Since.UnixNano()
		}
	case DoneResult:
		b = resultBody{Type: resultDone, Flag: r.Done}
	case StrikeResult:
		b = resultBody{Type: resultStrike, Code: uint8(r.State), Number: uint64(r.Strikes)}
	case RegistryResult:
		b = resultBody{Type: resultRegistry, Text: r.Refusal, Number: uint64(r.Epoch)}
	case RolloutResult:
		b = resultBody{Type: resultRollout, Code: uint8(r.Status)}
	case SkippedResult:
		b = resultBody{Type: resultSkipped, Code: uint8(r.Reason), Text: r.Text}
	}
	data, err := b.MarshalMsg(make([]byte, 0, b.Msgsize()))
	if err != nil {
		// Unreachable: the generated encoder of a struct of plain values returns no error.
		return nil
	}

	return data
}

// DecodeResult decodes the result that State.Apply returned.
func DecodeResult(data []byte) (Result, error) {
	if len(data) > MaxCommandBytes {
		return nil, fmt.Errorf("result of %d bytes: %w", len(data), ErrTooLarge)
	}
	b := new(resultBody)
	if err := decodeExact(b, data); err != nil {
		return nil, fmt.Errorf("result: %w", err)
	}
	switch b.Type {
	case resultRecord:
		img := new(record.Stored)
		if err := decodeExact(img, b.Data); err != nil {
			return nil, fmt.Errorf("result record: %w", err)
		}

		return RecordResult{record.Result{Status: record.Status(b.Code), Repeated: b.Flag, Record: img.Record()}}, nil
	case resultClaim:
		r := ClaimResult{claim.Result{Verdict: claim.Verdict(b.Code), HasAnswer: b.HasData}}
		if b.HasData {
			r.Answer = b.Data
		}
		if b.SinceNano != 0 {
			r.Since = time.Unix(0, b.SinceNano)
		}

		return r, nil
	case resultDone:
		return DoneResult{Done: b.Flag}, nil
	case resultStrike:
		return StrikeResult{State: conviction.State(b.Code), Strikes: uint32(b.Number)}, nil //nolint:gosec // Encoded from a uint32.
	case resultRegistry:
		return RegistryResult{Refusal: b.Text, Epoch: ident.Epoch(b.Number)}, nil
	case resultRollout:
		return RolloutResult{Status: rollout.Status(b.Code)}, nil
	case resultSkipped:
		return SkippedResult{Reason: SkipReason(b.Code), Text: b.Text}, nil
	default:
		return nil, fmt.Errorf("result type %d: %w", b.Type, ErrUnknownType)
	}
}
