package control

import (
	"fmt"
	"time"

	"fulmarfall/claim"
	"fulmarfall/configuration"
	"fulmarfall/ident"
	"fulmarfall/record"
	"fulmarfall/registry"
	"fulmarfall/rollout"

	"github.com/go-faster/errors"
)

// MaxCommandBytes bounds an encoded command. Announcements are the largest commands.
const MaxCommandBytes = 1 << 20

// Errors of the codec.
var (
	// ErrTooLarge means that an encoded command, result or snapshot exceeds its size limit.
	ErrTooLarge = errors.New("too large")
	// ErrMalformed means that the data is not a valid encoding.
	ErrMalformed = errors.New("malformed")
	// ErrUnknownType means that this version of the program does not support the type of a command or
	// result.
	ErrUnknownType = errors.New("unknown type")
)

// Command is an operation on the replicated state, encoded as a log entry.
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

// SettleClaim records that the attempt ran. The encoder omits an answer larger than
// claim.MaxAnswerBytes and clears HasAnswer.
type SettleClaim struct {
	Key       claim.Key
	Token     claim.Token
	HasAnswer bool
	Answer    []byte
}

// ReleaseClaim releases a key once it is certain that the attempt did not run.
type ReleaseClaim struct {
	Key   claim.Key
	Token claim.Token
}

// AddStrike records that a connection to a searcher was lost while requests ran on it.
type AddStrike struct {
	Fingerprint ident.Fingerprint
	// Exclusive means that no other request ran on the searcher.
	Exclusive bool
}

// ClearSuspect removes a suspect that ran exclusively without a crash.
type ClearSuspect struct {
	Fingerprint ident.Fingerprint
	// Strikes is the suspect's strike count when that run started. A newer strike prevents the removal.
	Strikes uint32
}

// BeginTrial requests the right to run a suspect exclusively. It gives a duration rather than an end
// time, because only the clock of the replicated state applies.
type BeginTrial struct {
	Fingerprint ident.Fingerprint
	Token       string
	Duration    time.Duration
}

// EndTrial releases the right that BeginTrial acquired.
type EndTrial struct {
	Fingerprint ident.Fingerprint
	Token       string
}

// RegisterSearcher adds a searcher or a new incarnation of one, or restores a removed one.
type RegisterSearcher struct{ Announcement registry.Announcement }

// UpdateSearcher replaces the announcement of a searcher's current incarnation.
type UpdateSearcher struct{ Announcement registry.Announcement }

// RemoveSearcher removes a searcher from routing.
type RemoveSearcher struct {
	Searcher    ident.SearcherID
	Incarnation ident.Incarnation
}

// MoveOwner starts a planned move of a searcher to another owner.
type MoveOwner struct {
	Searcher ident.SearcherID
	// Epoch is the epoch of the current owner.
	Epoch ident.Epoch
	To    ident.NodeID
}

// ReleaseOwner reports that the owner has no requests in flight and sends no more.
type ReleaseOwner struct {
	Searcher ident.SearcherID
	Epoch    ident.Epoch
}

// MarkCold reports whether the owner limits the load on a searcher because it is cold.
type MarkCold struct {
	Searcher ident.SearcherID
	Epoch    ident.Epoch
	Cold     bool
}

// AssignOwner replaces the owner of a searcher's given epoch.
type AssignOwner struct {
	Searcher ident.SearcherID
	// Epoch is the epoch that the assignment replaces, or 0 if the searcher never had an owner.
	Epoch       ident.Epoch
	Owner       ident.NodeID
	Incarnation ident.Incarnation
}

// PutConfiguration proposes a version of the configuration document. It has no effect unless the
// version is newer; see package configuration.
type PutConfiguration struct {
	Version  configuration.Version
	Document configuration.Packed
}

// AdvanceClock advances the state's clock to the command's stamp. The leader may propose it
// periodically, so that convictions expire while there are no other commands. Nodes receive it in
// place of claim commands.
type AdvanceClock struct{}

// OrderRollout orders a roll-out of a version of an upstream's searchers; see rollout.Table.
type OrderRollout struct {
	Upstream ident.UpstreamID
	Target   ident.SoftwareVersion
	Current  []ident.SoftwareVersion
	Within   time.Duration
}

// AdvanceRollout moves a roll-out to a later stage.
type AdvanceRollout struct {
	Upstream ident.UpstreamID
	Order    rollout.OrderID
	Stage    rollout.Stage
	Age      time.Duration
	Reason   string
	Grants   []rollout.Grant
}

func (OrderRollout) command()     {}
func (AdvanceRollout) command()   {}
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

// The command types in the log. A number must never be reused for another command.
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
	typeOrderRollout
	typeAdvanceRollout
)

func isClaimCommand(kind uint16) bool {
	return kind == typeClaimKey || kind == typeSettleClaim || kind == typeReleaseClaim
}

// commandBody validates a command and returns its type and its encodable body.
func commandBody(c Command) (uint16, marshaler, error) {
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
		return typeAddStrike, &strikeBody{Fingerprint: uint64(c.Fingerprint), Alone: c.Exclusive}, nil
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
	case OrderRollout:
		b, err := encodeRollout(c)

		return typeOrderRollout, b, err
	case AdvanceRollout:
		b, err := encodeRollout(c)

		return typeAdvanceRollout, b, err
	case BeginTrial:
		return typeBeginTrial, &trialBody{
			Fingerprint: uint64(c.Fingerprint), Token: c.Token, Nano: c.Duration.Nanoseconds(),
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

// EncodeCommand validates a command and encodes it with the proposer's clock. The error for an
// invalid record or announcement contains the path of the field.
func EncodeCommand(stamp time.Time, c Command) ([]byte, error) {
	kind, b, err := commandBody(c)
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

// DecodeCommand decodes a command. It returns ErrUnknownType for a command type that a newer version
// added.
func DecodeCommand(data []byte) (stamp time.Time, c Command, err error) {
	env, err := decodeEnvelope(data)
	if err != nil {
		return time.Time{}, nil, err
	}
	stamp = time.Unix(0, env.StampNano)
	c, err = env.command()

	return stamp, c, err
}

// Restamp validates a command that another node encoded and replaces its stamp with the leader's
// clock. The leader proposes only restamped commands: a single stamp from a node whose clock is far
// ahead would advance the state's clock irreversibly. It returns ErrUnknownType for a type that the
// leader does not support.
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
	if err := decodeExact(env, data); err != nil {
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
		if err := decodeExact(b, e.Body); err != nil {
			return nil, fmt.Errorf("strike: %w", err)
		}
		if e.Type == typeAddStrike {
			return AddStrike{Fingerprint: ident.Fingerprint(b.Fingerprint), Exclusive: b.Alone}, nil
		}

		return ClearSuspect{Fingerprint: ident.Fingerprint(b.Fingerprint), Strikes: b.Strikes}, nil
	case typeRegisterSearcher, typeUpdateSearcher:
		a := new(registry.Announcement)
		if err := decodeExact(a, e.Body); err != nil {
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
		if err := decodeExact(b, e.Body); err != nil {
			return nil, fmt.Errorf("configuration: %w", err)
		}

		return PutConfiguration{Version: configuration.Version(b.Version), Document: b.Document}, nil
	case typeAdvanceClock:
		return AdvanceClock{}, nil
	case typeOrderRollout, typeAdvanceRollout:
		return decodeRollout(e.Type, e.Body)
	case typeBeginTrial, typeEndTrial:
		b := new(trialBody)
		if err := decodeExact(b, e.Body); err != nil {
			return nil, fmt.Errorf("trial: %w", err)
		}
		if err := checkToken(b.Token); err != nil {
			return nil, err
		}
		if e.Type == typeEndTrial {
			return EndTrial{Fingerprint: ident.Fingerprint(b.Fingerprint), Token: b.Token}, nil
		}

		return BeginTrial{
			Fingerprint: ident.Fingerprint(b.Fingerprint), Token: b.Token, Duration: time.Duration(b.Nano),
		}, nil
	default:
		return nil, fmt.Errorf("command type %d: %w", e.Type, ErrUnknownType)
	}
}

func decodeChange(kind uint16, data []byte) (Command, error) {
	b := new(changeBody)
	if err := decodeExact(b, data); err != nil {
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
	if err := decodeExact(b, data); err != nil {
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
	if err := decodeExact(b, data); err != nil {
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
