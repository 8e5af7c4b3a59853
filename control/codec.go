package control

import (
	"fmt"

	"fulmarfall/claim"
	"fulmarfall/record"
	"fulmarfall/registry"

	"github.com/tinylib/msgp/msgp"
)

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file codec.go -unexported -tests=false -io=false

//msgp:limit arrays:1100000 maps:64
//msgp:tuple envelope changeBody claimBody strikeBody ownerBody trialBody resultBody convictionBody header configurationBody rolloutBody rolloutImage grantBody
//msgp:ignore marshaler unmarshaler stateImage

type envelope struct {
	StampNano int64
	Type      uint16
	Body      []byte
}

type changeBody struct {
	Kind      string
	Name      string
	Schema    uint32
	Revision  uint64
	Operation string
	Spec      []byte
}

type claimBody struct {
	Team      string
	ID        []byte
	Token     string
	Body      []byte
	HasAnswer bool
	Answer    []byte
}

// configurationBody is the body of a PutConfiguration command and, since snapshot format 2, a part of
// a snapshot.
type configurationBody struct {
	Version  uint64
	Document []byte
}

type strikeBody struct {
	Fingerprint uint64
	Alone       bool
	Strikes     uint32
}

// trialBody is the body of a trial command, where Nano is the duration, and an element of a snapshot,
// where Nano is the Unix time of the end.
type trialBody struct {
	Fingerprint uint64
	Token       string
	Nano        int64
}

type ownerBody struct {
	Searcher    string
	Epoch       uint64
	Node        string
	Incarnation uint64
}

// resultBody encodes the result of any command; Type is one of the result types.
type resultBody struct {
	Type      uint16
	Code      uint8
	Flag      bool
	Text      string
	Number    uint64
	SinceNano int64
	Data      []byte
	HasData   bool
}

type convictionBody struct {
	Fingerprint uint64
	State       uint8
	Strikes     uint32
	LastNano    int64
	ExpiresNano int64
}

// rolloutBody is the body of a roll-out command and an element of a snapshot. A command has only some of the fields.
type rolloutBody struct {
	ID          uint64
	Upstream    string
	Target      string
	Current     []string `msg:"Current,limit=64"`
	WithinNano  int64
	OrderedNano int64
	Stage       uint8
	Reason      string
	AgeNano     int64
	Grants      []grantBody `msg:"Grants,limit=512"`
}

type grantBody struct {
	Node        string
	Incarnation uint64
	Credit      float64
}

// rolloutImage is the last part of a snapshot since format 3. The limit equals rollout.MaxOrders.
type rolloutImage struct {
	Orders []rolloutBody `msg:"Orders,limit=1024"`
}

// header is the first part of a snapshot.
type header struct {
	Format    uint16
	Claims    bool
	Index     uint64
	ClockNano int64
	// The limits equal conviction.MaxEntries.
	Convictions []convictionBody `msg:"Convictions,limit=10000"`
	Trials      []trialBody      `msg:"Trials,limit=10000"`
}

type marshaler interface {
	MarshalMsg([]byte) ([]byte, error)
}

type unmarshaler interface {
	UnmarshalMsg([]byte) ([]byte, error)
}

var (
	_ unmarshaler = (*registry.Announcement)(nil)
	_ unmarshaler = (*record.Image)(nil)
	_ unmarshaler = (*claim.Image)(nil)
)

// decodeExact decodes one value and rejects trailing bytes.
func decodeExact(v unmarshaler, data []byte) error {
	rest, err := v.UnmarshalMsg(data)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(rest) > 0 {
		return fmt.Errorf("%d trailing bytes: %w", len(rest), ErrMalformed)
	}

	return nil
}

var _ msgp.Marshaler = (*envelope)(nil)
