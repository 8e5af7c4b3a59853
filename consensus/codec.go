package consensus

// Wire format of a message: one type byte, the header, the body.

import (
	"github.com/go-faster/errors"
	"github.com/tinylib/msgp/msgp"
)

// MaxMessageBytes is the maximum size of an encoded message.
const MaxMessageBytes = 4 << 20

// Limits that Decode enforces. Encode does not check them, because a Node never exceeds them.
const (
	maxNodeIDBytes = 256
	maxMembers     = 64
)

// ErrBadMessage reports a message that can't be encoded or decoded, or that exceeds a limit.
var ErrBadMessage = errors.New("bad raft message")

// messageType is the first byte of an encoded message.
type messageType byte

const (
	typeVoteRequest messageType = iota + 1
	typeVoteReply
	typeAppendRequest
	typeAppendReply
	typeSnapshotRequest
	typeSnapshotReply
	typeHello
)

type codec interface {
	Body
	msgp.Marshaler
	msgp.Unmarshaler
}

// Encode returns the wire format of m. The result has at most MaxMessageBytes bytes.
func Encode(m Message) ([]byte, error) {
	var t messageType
	switch m.Body.(type) {
	case *VoteRequest:
		t = typeVoteRequest
	case *VoteReply:
		t = typeVoteReply
	case *AppendRequest:
		t = typeAppendRequest
	case *AppendReply:
		t = typeAppendReply
	case *SnapshotRequest:
		t = typeSnapshotRequest
	case *SnapshotReply:
		t = typeSnapshotReply
	case *Hello:
		t = typeHello
	default:
		return nil, errors.Wrapf(ErrBadMessage, "unknown body type %T", m.Body)
	}

	header := m.Header
	b, err := header.MarshalMsg([]byte{byte(t)})
	if err != nil {
		return nil, errors.Wrap(err, "encode header")
	}

	b, err = m.Body.(codec).MarshalMsg(b)
	if err != nil {
		return nil, errors.Wrap(err, "encode body")
	}

	if len(b) > MaxMessageBytes {
		return nil, errors.Wrapf(ErrBadMessage, "%d bytes exceed %d", len(b), MaxMessageBytes)
	}

	return b, nil
}

// Decode parses and validates a message. The result does not alias b.
func Decode(b []byte) (Message, error) {
	if len(b) == 0 || len(b) > MaxMessageBytes {
		return Message{}, errors.Wrapf(ErrBadMessage, "message has %d bytes", len(b))
	}

	var body codec
	switch messageType(b[0]) {
	case typeVoteRequest:
		body = &VoteRequest{}
	case typeVoteReply:
		body = &VoteReply{}
	case typeAppendRequest:
		body = &AppendRequest{}
	case typeAppendReply:
		body = &AppendReply{}
	case typeSnapshotRequest:
		body = &SnapshotRequest{}
	case typeSnapshotReply:
		body = &SnapshotReply{}
	case typeHello:
		body = &Hello{}
	default:
		return Message{}, errors.Wrapf(ErrBadMessage, "unknown message type %d", b[0])
	}

	var header Header
	rest, err := header.UnmarshalMsg(b[1:])
	if err != nil {
		return Message{}, errors.Wrapf(ErrBadMessage, "header: %v", err)
	}

	rest, err = body.UnmarshalMsg(rest)
	if err != nil {
		return Message{}, errors.Wrapf(ErrBadMessage, "body: %v", err)
	}

	if len(rest) > 0 {
		return Message{}, errors.Wrapf(ErrBadMessage, "%d trailing bytes", len(rest))
	}

	m := Message{Header: header, Body: body}
	if err := m.validate(); err != nil {
		return Message{}, err
	}

	return m, nil
}

// validate rejects field values that no correct sender produces.
func (m Message) validate() error {
	if m.From == "" || m.To == "" || len(m.From) > maxNodeIDBytes || len(m.To) > maxNodeIDBytes || m.FromDisk == 0 {
		return errors.Wrap(ErrBadMessage, "missing or invalid sender or receiver")
	}

	if _, hello := m.Body.(*Hello); !hello && (m.Cluster == 0 || m.ToDisk == 0) {
		return errors.Wrap(ErrBadMessage, "missing cluster or disk id")
	}

	switch body := m.Body.(type) {
	case *AppendRequest:
		for i := range body.Entries {
			if body.Entries[i].Index != body.PrevIndex+Index(i)+1 {
				return errors.Wrap(ErrBadMessage, "entries are not consecutive")
			}
			if body.Entries[i].Term > m.Term {
				return errors.Wrap(ErrBadMessage, "entry term is later than message term")
			}
			if body.Entries[i].Kind == EntryMembers {
				if _, err := decodeMembers(body.Entries[i].Data); err != nil {
					return err
				}
			}
		}
	case *SnapshotRequest:
		if body.Offset > body.Total || uint64(len(body.Data)) > body.Total-body.Offset {
			return errors.Wrap(ErrBadMessage, "chunk exceeds the snapshot")
		}
		if body.Meta.Index == 0 || body.Total > maxSnapshotBytes {
			return errors.Wrap(ErrBadMessage, "invalid snapshot index or size")
		}
		return body.Meta.Members.validate()
	case *Hello:
		if len(body.Voters) > maxMembers {
			return errors.Wrap(ErrBadMessage, "too many voters")
		}
		return body.Members.validate()
	}

	return nil
}

func (l MemberList) validate() error {
	if len(l) > maxMembers {
		return errors.Wrap(ErrBadMessage, "too many members")
	}

	for i, m := range l {
		if m.ID == "" || len(m.ID) > maxNodeIDBytes || (i > 0 && l[i-1].ID >= m.ID) {
			return errors.Wrap(ErrBadMessage, "invalid or unsorted member ids")
		}
	}

	return nil
}

func decodeMembers(b []byte) (MemberList, error) {
	var l MemberList
	rest, err := l.UnmarshalMsg(b)
	if err != nil || len(rest) > 0 {
		return nil, errors.Wrap(ErrBadMessage, "malformed member list")
	}

	return l, l.validate()
}

func encodeMembers(l MemberList) []byte {
	b, err := l.MarshalMsg(nil)
	if err != nil { // impossible: no field of a MemberList has an encoding that can fail
		panic(err)
	}

	return b
}
