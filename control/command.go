package control

import (
	"fmt"
	"time"

	"fulmarfall/claim"
	"fulmarfall/configuration"
	"fulmarfall/ident"
	"fulmarfall/record"
	"fulmarfall/registry"

	"github.com/go-faster/errors"
)

// MaxCommandBytes bounds an encoded command. An announcement is the largest one.
const MaxCommandBytes = 1 << 20

// Refusals of the codec.
var (
	// ErrTooLarge means that an encoded command, result or snapshot is above its bound.
	ErrTooLarge = errors.New("too large")
	// ErrMalformed means that bytes are not of the expected form.
	ErrMalformed = errors.New("malformed")
	// ErrUnknownType means that a command or result has a type that this program does not know.
	ErrUnknownType = errors.New("unknown type")
)

// Command is a change of the replicated state.
type Command interface{ command() }

// PutRecord stores a new revision of an operator record.
type PutRecord struct {
	Kind      record.Kind
	Name      string
	Schema    record.Schema
	Revision  ident.Revision
	Operation ident.OperationID
	Spec      []byte
}

// WithdrawRecord replaces an operator record with a tombstone.
type WithdrawRecord struct {
	Kind      record.Kind
	Name      string
	Revision  ident.Revision
	Operation ident.OperationID
}

// ClaimKey claims an idempotency key for one attempt.
type ClaimKey struct {
	Key   claim.Key
	Body  claim.BodyHash
	Token claim.Token
}

// SettleClaim stores that the attempt ran. An answer above claim.MaxAnswerBytes is left out by the
// encoder, and HasAnswer becomes false.
type SettleClaim struct {
	Key       claim.Key
	Token     claim.Token
	HasAnswer bool
	Answer    []byte
}

// ReleaseClaim gives a key back after a proof that the attempt did not run.
type ReleaseClaim struct {
	Key   claim.Key
	Token claim.Token
}

// AddStrike records that a connection was lost while requests ran.
type AddStrike struct {
	Fingerprint ident.Fingerprint
	// Alone means that nothing else ran on the searcher.
	Alone bool
}

// ClearSuspect forgets a suspect after it has run alone without a crash.
type ClearSuspect struct {
	Fingerprint ident.Fingerprint
	// Strikes is the count that the suspect had when that run started.
	Strikes uint32
}

// BeginTrial asks for the right to run a suspect exclusively. It names a length and not a time, because
// only the state's clock counts.
type BeginTrial struct {
	Fingerprint ident.Fingerprint
	Token       string
	Lasts       time.Duration
}

// EndTrial gives that right back.
type EndTrial struct {
	Fingerprint ident.Fingerprint
	Token       string
}

// RegisterSearcher adds a searcher, a new incarnation, or brings a removed one back.
type RegisterSearcher struct{ Announcement registry.Announcement }

// UpdateSearcher changes what a searcher of the same incarnation announced.
type UpdateSearcher struct{ Announcement registry.Announcement }

// RemoveSearcher takes a searcher out of routing.
type RemoveSearcher struct {
	Searcher    ident.SearcherID
	Incarnation ident.Incarnation
}

// MoveOwner starts a planned move of a searcher to another owner.
type MoveOwner struct {
	Searcher ident.SearcherID
	// Epoch is the epoch of the present owner.
	Epoch ident.Epoch
	To    ident.NodeID
}

// ReleaseOwner is the owner's report that it has nothing in flight and sends nothing more.
type ReleaseOwner struct {
	Searcher ident.SearcherID
	Epoch    ident.Epoch
}

// MarkCold is the owner's report that it limits a searcher as cold, or no longer does.
type MarkCold struct {
	Searcher ident.SearcherID
	Epoch    ident.Epoch
	Cold     bool
}

// AssignOwner makes a node the owner in place of the owner of an epoch.
type AssignOwner struct {
	Searcher ident.SearcherID
	// Epoch is the epoch that the assignment replaces; 0 if there was never an owner.
	Epoch       ident.Epoch
	Owner       ident.NodeID
	Incarnation ident.Incarnation
}

// PutConfiguration offers a version of the configuration document; see package configuration.
type PutConfiguration struct {
	Version  configuration.Version
	Document configuration.Packed
}

// AdvanceClock moves the state's clock to its stamp and does nothing else. The leader may propose
// it now and then, so that convictions expire while nothing else happens. To nodes it stands for
// commands on claims, which they do not receive.
type AdvanceClock struct{}

func (PutConfiguration) command() {}
func (AdvanceClock) command()     {}
func (BeginTrial) command()       {}
func (EndTrial) command()         {}
func (MarkCold) command()         {}
func (PutRecord) command()        {}
func (WithdrawRecord) command()   {}
func (ClaimKey) command()         {}
func (SettleClaim) command()      {}
func (ReleaseClaim) command()     {}
func (AddStrike) command()        {}
func (ClearSuspect) command()     {}
func (RegisterSearcher) command() {}
func (UpdateSearcher) command()   {}
func (RemoveSearcher) command()   {}
func (MoveOwner) command()        {}
func (ReleaseOwner) command()     {}
func (AssignOwner) command()      {}

// The command types in the log. A number is never used again for another command.
const (
	typePutRecord uint16 = iota + 1
	typeWithdrawRecord
	typeClaimKey
	typeSettleClaim
	typeReleaseClaim
	typeAddStrike
	typeClearSuspect
	typeRegisterSearcher
	typeUpdateSearcher
	typeRemoveSearcher
	typeMoveOwner
	typeReleaseOwner
	typeAssignOwner
	typeAdvanceClock
	typeBeginTrial
	typeEndTrial
	typeMarkCold
	typeMarkWarm
	typePutConfiguration
)

func isClaim(kind uint16) bool {
	return kind == typeClaimKey || kind == typeSettleClaim || kind == typeReleaseClaim
}

// body returns the type of a command and its encoded form.
func body(c Command) (uint16, marshaler, error) {
	switch c := c.(type) {
	case PutRecord:
		ch := record.Change{Kind: c.Kind, Name: c.Name, Schema: c.Schema, Revision: c.Revision, Operation: c.Operation, Spec: c.Spec}
		if err := ch.Validate(); err != nil {
			return 0, nil, err
		}

		return typePutRecord, &changeBody{
			Kind: string(c.Kind), Name: c.Name, Schema: uint32(c.Schema), Revision: uint64(c.Revision),
			Operation: string(c.Operation), Spec: c.Spec,
		}, nil
	case WithdrawRecord:
		ch := record.Change{Kind: c.Kind, Name: c.Name, Revision: c.Revision, Operation: c.Operation, Withdraw: true}
		if err := ch.Validate(); err != nil {
			return 0, nil, err
		}

		return typeWithdrawRecord, &changeBody{
			Kind: string(c.Kind), Name: c.Name, Revision: uint64(c.Revision), Operation: string(c.Operation),
		}, nil
	case PutConfiguration:
		return typePutConfiguration, &configurationBody{Version: uint64(c.Version), Document: c.Document}, nil
	case ClaimKey:
		return typeClaimKey, &claimBody{Team: string(c.Key.Team), ID: c.Key.ID[:], Token: string(c.Token), Body: c.Body[:]}, nil
	case SettleClaim:
		b := &claimBody{Team: string(c.Key.Team), ID: c.Key.ID[:], Token: string(c.Token)}
		if c.HasAnswer && len(c.Answer) <= claim.MaxAnswerBytes {
			b.HasAnswer, b.Answer = true, c.Answer
		}

		return typeSettleClaim, b, nil
	case ReleaseClaim:
		return typeReleaseClaim, &claimBody{Team: string(c.Key.Team), ID: c.Key.ID[:], Token: string(c.Token)}, nil
	case AddStrike:
		return typeAddStrike, &strikeBody{Fingerprint: uint64(c.Fingerprint), Alone: c.Alone}, nil
	case ClearSuspect:
		return typeClearSuspect, &strikeBody{Fingerprint: uint64(c.Fingerprint), Strikes: c.Strikes}, nil
	case RegisterSearcher:
		return typeRegisterSearcher, &c.Announcement, c.Announcement.Validate()
	case UpdateSearcher:
		return typeUpdateSearcher, &c.Announcement, c.Announcement.Validate()
	case RemoveSearcher:
		return typeRemoveSearcher, &ownerBody{Searcher: string(c.Searcher), Incarnation: uint64(c.Incarnation)}, nil
	case MoveOwner:
		return typeMoveOwner, &ownerBody{Searcher: string(c.Searcher), Epoch: uint64(c.Epoch), Node: string(c.To)}, nil
	case ReleaseOwner:
		return typeReleaseOwner, &ownerBody{Searcher: string(c.Searcher), Epoch: uint64(c.Epoch)}, nil
	case AssignOwner:
		return typeAssignOwner, &ownerBody{
			Searcher: string(c.Searcher), Epoch: uint64(c.Epoch), Node: string(c.Owner), Incarnation: uint64(c.Incarnation),
		}, nil
	case MarkCold:
		kind := typeMarkWarm
		if c.Cold {
			kind = typeMarkCold
		}

		return kind, &ownerBody{Searcher: string(c.Searcher), Epoch: uint64(c.Epoch)}, nil
	case AdvanceClock:
		return typeAdvanceClock, &ownerBody{}, nil
	case BeginTrial:
		return typeBeginTrial, &trialBody{
			Fingerprint: uint64(c.Fingerprint), Token: c.Token, Nano: c.Lasts.Nanoseconds(),
		}, checkToken(c.Token)
	case EndTrial:
		return typeEndTrial, &trialBody{Fingerprint: uint64(c.Fingerprint), Token: c.Token}, checkToken(c.Token)
	default:
		return 0, nil, fmt.Errorf("command %T: %w", c, ErrUnknownType)
	}
}

func checkToken(token string) error {
	if token == "" || len(token) > claim.MaxTokenBytes {
		return fmt.Errorf("token of %d bytes: %w", len(token), ErrMalformed)
	}

	return nil
}

// EncodeCommand checks a command and encodes it with the proposer's clock. It refuses invalid
// records and announcements, with the field's path in the error.
func EncodeCommand(stamp time.Time, c Command) ([]byte, error) {
	kind, b, err := body(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	raw, err := b.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("encode command body: %w", err)
	}
	env := envelope{StampNano: stamp.UnixNano(), Type: kind, Body: raw}
	data, err := env.MarshalMsg(make([]byte, 0, env.Msgsize()))
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	if len(data) > MaxCommandBytes {
		return nil, fmt.Errorf("command of %d bytes: %w", len(data), ErrTooLarge)
	}

	return data, nil
}

// DecodeCommand reads a command. It returns ErrUnknownType for a type of a newer version.
func DecodeCommand(data []byte) (stamp time.Time, c Command, err error) {
	env, err := decodeEnvelope(data)
	if err != nil {
		return time.Time{}, nil, err
	}
	stamp = time.Unix(0, env.StampNano)
	c, err = env.command()

	return stamp, c, err
}

// Restamp checks a command that another node has encoded and gives it the leader's clock. The leader
// proposes only such commands: one stamp from a node with a clock that is far ahead would move the
// state's clock for good. A command of a type that the leader does not know is refused.
func Restamp(stamp time.Time, data []byte) ([]byte, error) {
	_, c, err := DecodeCommand(data)
	if err != nil {
		return nil, fmt.Errorf("restamp: %w", err)
	}

	return EncodeCommand(stamp, c)
}

func decodeEnvelope(data []byte) (*envelope, error) {
	if len(data) > MaxCommandBytes {
		return nil, fmt.Errorf("command of %d bytes: %w", len(data), ErrTooLarge)
	}
	env := new(envelope)
	if err := decodeWhole(env, data); err != nil {
		return nil, fmt.Errorf("command: %w", err)
	}

	return env, nil
}

func (e *envelope) command() (Command, error) {
	switch e.Type {
	case typePutRecord, typeWithdrawRecord:
		return decodeChange(e.Type, e.Body)
	case typeClaimKey, typeSettleClaim, typeReleaseClaim:
		return decodeClaim(e.Type, e.Body)
	case typeAddStrike, typeClearSuspect:
		b := new(strikeBody)
		if err := decodeWhole(b, e.Body); err != nil {
			return nil, fmt.Errorf("strike: %w", err)
		}
		if e.Type == typeAddStrike {
			return AddStrike{Fingerprint: ident.Fingerprint(b.Fingerprint), Alone: b.Alone}, nil
		}

		return ClearSuspect{Fingerprint: ident.Fingerprint(b.Fingerprint), Strikes: b.Strikes}, nil
	case typeRegisterSearcher, typeUpdateSearcher:
		a := new(registry.Announcement)
		if err := decodeWhole(a, e.Body); err != nil {
			return nil, fmt.Errorf("announcement: %w", err)
		}
		if e.Type == typeRegisterSearcher {
			return RegisterSearcher{Announcement: *a}, nil
		}

		return UpdateSearcher{Announcement: *a}, nil
	case typeRemoveSearcher, typeMoveOwner, typeReleaseOwner, typeAssignOwner, typeMarkCold, typeMarkWarm:
		return decodeOwner(e.Type, e.Body)
	case typePutConfiguration:
		b := new(configurationBody)
		if err := decodeWhole(b, e.Body); err != nil {
			return nil, fmt.Errorf("configuration: %w", err)
		}

		return PutConfiguration{Version: configuration.Version(b.Version), Document: b.Document}, nil
	case typeAdvanceClock:
		return AdvanceClock{}, nil
	case typeBeginTrial, typeEndTrial:
		b := new(trialBody)
		if err := decodeWhole(b, e.Body); err != nil {
			return nil, fmt.Errorf("trial: %w", err)
		}
		if err := checkToken(b.Token); err != nil {
			return nil, err
		}
		if e.Type == typeEndTrial {
			return EndTrial{Fingerprint: ident.Fingerprint(b.Fingerprint), Token: b.Token}, nil
		}

		return BeginTrial{
			Fingerprint: ident.Fingerprint(b.Fingerprint), Token: b.Token, Lasts: time.Duration(b.Nano),
		}, nil
	default:
		return nil, fmt.Errorf("command type %d: %w", e.Type, ErrUnknownType)
	}
}

func decodeChange(kind uint16, data []byte) (Command, error) {
	b := new(changeBody)
	if err := decodeWhole(b, data); err != nil {
		return nil, fmt.Errorf("record change: %w", err)
	}
	if kind == typeWithdrawRecord {
		return WithdrawRecord{
			Kind: record.Kind(b.Kind), Name: b.Name, Revision: ident.Revision(b.Revision), Operation: ident.OperationID(b.Operation),
		}, nil
	}

	return PutRecord{
		Kind: record.Kind(b.Kind), Name: b.Name, Schema: record.Schema(b.Schema), Revision: ident.Revision(b.Revision),
		Operation: ident.OperationID(b.Operation), Spec: b.Spec,
	}, nil
}

func decodeClaim(kind uint16, data []byte) (Command, error) {
	b := new(claimBody)
	if err := decodeWhole(b, data); err != nil {
		return nil, fmt.Errorf("claim: %w", err)
	}
	k := claim.Key{Team: ident.TeamID(b.Team)}
	if len(b.ID) != len(k.ID) {
		return nil, fmt.Errorf("claim key of %d bytes: %w", len(b.ID), ErrMalformed)
	}
	copy(k.ID[:], b.ID)
	switch kind {
	case typeSettleClaim:
		return SettleClaim{Key: k, Token: claim.Token(b.Token), HasAnswer: b.HasAnswer, Answer: b.Answer}, nil
	case typeReleaseClaim:
		return ReleaseClaim{Key: k, Token: claim.Token(b.Token)}, nil
	}
	c := ClaimKey{Key: k, Token: claim.Token(b.Token)}
	if len(b.Body) != len(c.Body) {
		return nil, fmt.Errorf("claim body hash of %d bytes: %w", len(b.Body), ErrMalformed)
	}
	copy(c.Body[:], b.Body)

	return c, nil
}

func decodeOwner(kind uint16, data []byte) (Command, error) {
	b := new(ownerBody)
	if err := decodeWhole(b, data); err != nil {
		return nil, fmt.Errorf("owner change: %w", err)
	}
	id, epoch := ident.SearcherID(b.Searcher), ident.Epoch(b.Epoch)
	switch kind {
	case typeRemoveSearcher:
		return RemoveSearcher{Searcher: id, Incarnation: ident.Incarnation(b.Incarnation)}, nil
	case typeMoveOwner:
		return MoveOwner{Searcher: id, Epoch: epoch, To: ident.NodeID(b.Node)}, nil
	case typeReleaseOwner:
		return ReleaseOwner{Searcher: id, Epoch: epoch}, nil
	case typeMarkCold, typeMarkWarm:
		return MarkCold{Searcher: id, Epoch: epoch, Cold: kind == typeMarkCold}, nil
	default:
		return AssignOwner{
			Searcher: id, Epoch: epoch, Owner: ident.NodeID(b.Node), Incarnation: ident.Incarnation(b.Incarnation),
		}, nil
	}
}
