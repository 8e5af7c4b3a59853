package wire

import (
	"fmt"

	"github.com/go-faster/errors"
)

const (
	// Version is the protocol version of this build; frames of other versions are rejected.
	Version = 1
	// HeaderBytes is the size of the frame header: one byte each for version and kind.
	HeaderBytes = 2
	// MaxFrameBytes limits the size of a frame, including the header.
	MaxFrameBytes = 4 << 20
)

// Errors wrapped by Encode and Decode.
var (
	ErrTooLarge  = errors.New("frame is larger than 4 MiB")
	ErrMalformed = errors.New("frame is malformed")
	ErrVersion   = errors.New("protocol version is not supported")
	ErrKind      = errors.New("message kind is not known")
)

// Encode returns m as a newly allocated frame. It fails with ErrTooLarge above MaxFrameBytes.
func Encode(m Message) ([]byte, error) {
	return AppendFrame(make([]byte, 0, HeaderBytes+m.Msgsize()), m)
}

// AppendFrame encodes m as a frame and appends it to b. It fails with ErrTooLarge above MaxFrameBytes.
func AppendFrame(b []byte, m Message) ([]byte, error) {
	start := len(b)

	out, err := m.MarshalMsg(append(b, Version, byte(m.Kind())))
	if err != nil {
		return nil, errors.Wrapf(err, "encode kind %d", m.Kind())
	}

	if n := len(out) - start; n > MaxFrameBytes {
		return nil, fmt.Errorf("encode kind %d of %d bytes: %w", m.Kind(), n, ErrTooLarge)
	}

	return out, nil
}

// Decode decodes exactly one frame. Byte slices in the message alias frame, so the caller must not modify or reuse frame
// while the message is in use.
func Decode(frame []byte) (Message, error) {
	if len(frame) > MaxFrameBytes {
		return nil, fmt.Errorf("decode %d bytes: %w", len(frame), ErrTooLarge)
	}

	if len(frame) < HeaderBytes {
		return nil, fmt.Errorf("decode %d bytes: header is incomplete: %w", len(frame), ErrMalformed)
	}

	if frame[0] != Version {
		return nil, fmt.Errorf("decode version %d: %w", frame[0], ErrVersion)
	}

	m := newMessage(Kind(frame[1]))
	if m == nil {
		return nil, fmt.Errorf("decode kind %d: %w", frame[1], ErrKind)
	}

	rest, err := m.UnmarshalMsg(frame[HeaderBytes:])
	if err != nil {
		return nil, fmt.Errorf("decode kind %d: %w: %w", frame[1], ErrMalformed, err)
	}

	if len(rest) > 0 {
		return nil, fmt.Errorf("decode kind %d: %d bytes after the body: %w", frame[1], len(rest), ErrMalformed)
	}

	return m, nil
}

func newMessage(k Kind) Message {
	switch k {
	case KindRaft:
		return &Raft{}
	case KindRenew:
		return &Renew{}
	case KindRenewed:
		return &Renewed{}
	case KindPropose:
		return &Propose{}
	case KindProposed:
		return &Proposed{}
	case KindShardRequest:
		return &ShardRequest{}
	case KindShardReply:
		return &ShardReply{}
	case KindAnnounce:
		return &Announce{}
	case KindAnnounced:
		return &Announced{}
	case KindStatusRequest:
		return &StatusRequest{}
	case KindStatusReply:
		return &StatusReply{}
	case KindAck:
		return &Ack{}
	case KindSuspect:
		return &Suspect{}
	case KindFollow:
		return &Follow{}
	case KindFollowed:
		return &Followed{}
	case KindRoster:
		return &Roster{}
	case KindConfirm:
		return &Confirm{}
	case KindConfirmed:
		return &Confirmed{}
	case KindForward:
		return &Forward{}
	case KindForwarded:
		return &Forwarded{}
	case KindUsageReport:
		return &UsageReport{}
	case KindUsageGrant:
		return &UsageGrant{}
	default:
		return nil
	}
}
