package claim

import (
	"container/heap"
	"crypto/sha256"
	"fmt"
	"slices"
	"time"

	"fulmarfall/ident"

	"github.com/google/uuid"
)

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file image.go -tests=false -io=false

//msgp:limit arrays:120000 maps:64
//msgp:tuple Entry Image

// Entry is the encoded form of one claim. Its fields are positional, so their order must not change.
type Entry struct {
	Team      string
	ID        []byte
	State     uint8
	Token     string
	Body      []byte
	HasAnswer bool
	Answer    []byte
	SinceNano int64
	Released  []string
}

// Image is the encoded form of a Table, ordered by key.
type Image struct {
	Claims []Entry
}

// Image returns the claims ordered by key, so that equal tables have identical encodings.
func (t *Table) Image() *Image {
	keys := make([]Key, 0, len(t.claims))
	for k := range t.claims {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compareKeys)
	img := &Image{Claims: make([]Entry, 0, len(keys))}
	for _, k := range keys {
		c := t.claims[k]
		released := make([]string, 0, len(c.released))
		for _, tok := range c.released {
			released = append(released, string(tok))
		}
		img.Claims = append(img.Claims, Entry{
			Team: string(k.Team), ID: k.ID[:], State: uint8(c.state), Token: string(c.token), Body: c.body[:],
			HasAnswer: c.hasAnswer, Answer: c.answer, SinceNano: c.since.UnixNano(), Released: released,
		})
	}

	return img
}

// FromImage builds a table from an image. It returns an error if the image violates the table's
// bounds.
func FromImage(img *Image) (*Table, error) {
	if len(img.Claims) > MaxClaims {
		return nil, fmt.Errorf("%d claims; at most %d are allowed", len(img.Claims), MaxClaims)
	}
	t := New()
	for i := range img.Claims {
		e := &img.Claims[i]
		id, err := uuid.FromBytes(e.ID)
		if err != nil {
			return nil, fmt.Errorf("claims[%d].id: %w", i, err)
		}
		k := Key{Team: ident.TeamID(e.Team), ID: id}
		if err := k.check(); err != nil {
			return nil, fmt.Errorf("claims[%d].id: %w", i, err)
		}
		if _, duplicate := t.claims[k]; duplicate {
			return nil, fmt.Errorf("claims[%d]: the key occurs twice", i)
		}
		if len(e.Body) != sha256.Size || len(e.Answer) > MaxAnswerBytes || State(e.State) < InProgress ||
			State(e.State) > Released || len(e.Released) > MaxReleasedTokens {
			return nil, fmt.Errorf("claims[%d]: a field is out of bounds", i)
		}
		c := newClaim(k)
		c.state, c.token, c.body = State(e.State), Token(e.Token), BodyHash(e.Body)
		c.hasAnswer, c.answer, c.since = e.HasAnswer, e.Answer, time.Unix(0, e.SinceNano)
		for _, tok := range e.Released {
			c.released = append(c.released, Token(tok))
		}
		t.claims[k] = c
		t.storedBytes += len(c.answer)
		heap.Push(&t.expiries, c)
	}

	return t, nil
}
