// Package claim keeps the claims of idempotency keys, so that a non-idempotent request runs at
// most once. It is part of the replicated state: every decision depends only on the clock that is
// passed in, on the arguments and on earlier calls.
package claim

import (
	"cmp"
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"fulmarfall/ident"

	"github.com/google/uuid"
)

// Bounds of keys and claims.
const (
	// MaxKeyAge is the age from which a key is refused as unknown: its claim may have expired.
	MaxKeyAge = 24 * time.Hour
	// MaxKeyAhead allows for clocks of callers that run ahead.
	MaxKeyAhead = time.Minute
	// Lifetime is the time from a key's own time to the expiry of its claim. It is longer than
	// MaxKeyAge, so that no key is accepted whose claim has been dropped.
	Lifetime = MaxKeyAge + time.Minute
	// MaxAnswerBytes bounds one stored answer; of a larger one only the fact is stored.
	MaxAnswerBytes = 4 << 10
	// MaxClaims and MaxStoredBytes bound the table. All replicas must agree on them. The
	// answers take at most half of the 64 MB that a node has for control.
	MaxClaims      = 100000
	MaxStoredBytes = 32 << 20
	// MaxReleased is the number of released attempts that a claim remembers. Copies of the claim
	// command of these attempts may still be on their way.
	MaxReleased = 8
	// MaxTokenBytes bounds the token of an attempt.
	MaxTokenBytes = 64
)

// Key is an idempotency key in the scope of a calling team.
type Key struct {
	Team ident.TeamID
	ID   uuid.UUID
}

// ParseKey reads an idempotency key. It must be a UUIDv7.
func ParseKey(team ident.TeamID, text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil {
		return Key{}, fmt.Errorf("idempotency key: %w", err)
	}
	k := Key{Team: team, ID: id}

	return k, k.check()
}

func (k Key) check() error {
	if k.ID.Version() != 7 || k.ID.Variant() != uuid.RFC4122 {
		return fmt.Errorf("idempotency key %s is not a UUIDv7", k.ID)
	}

	return nil
}

// Time returns the time in the key, in milliseconds of resolution.
func (k Key) Time() time.Time {
	var b [8]byte
	copy(b[2:], k.ID[:6])

	return time.UnixMilli(int64(binary.BigEndian.Uint64(b[:]))) //nolint:gosec // 48 bits fit.
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), slices.Compare(a.ID[:], b.ID[:]))
}

// BodyHash tells whether two requests with one key ask for the same.
type BodyHash [sha256.Size]byte

// HashBody hashes what a request asks for.
func HashBody(u ident.UpstreamID, s ident.ShardID, body []byte) BodyHash {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(u), []byte(s), body} {
		h.Write(binary.AppendUvarint(nil, uint64(len(part))))
		h.Write(part)
	}

	return BodyHash(h.Sum(nil))
}

// Token names one attempt to run a request. Only the attempt that holds the claim can settle or
// release it.
type Token string

// State is the state of a claim.
type State uint8

// The states.
const (
	// InProgress means that an attempt may have reached a searcher.
	InProgress State = iota + 1
	// Settled means that the request ran.
	Settled
	// Released means that the attempt is proven not to have run; the key may be claimed again.
	Released
)

// Verdict is the answer to an arrival.
type Verdict uint8

// The verdicts.
const (
	// Granted means that this attempt, and no other, may run.
	Granted Verdict = iota + 1
	// Running means that another attempt holds the claim; the outcome is unknown.
	Running
	// Done means that the request ran; the answer is there if it was stored.
	Done
	// BodyDiffers means that the key was used with another body.
	BodyDiffers
	// TooOld means that the key's claim may have expired; the outcome is unknown.
	TooOld
	// TooNew means that the key's time is in the future.
	TooNew
	// BadKey means that the key is not a UUIDv7, or the token is empty or too long.
	BadKey
	// Full means that the table is full; the request did not run.
	Full
)

// Result is a verdict with the stored answer.
type Result struct {
	Verdict Verdict
	// HasAnswer means that Answer is the whole answer. An answer may be empty.
	HasAnswer bool
	Answer    []byte
	// Since is the time at which the claim was made or settled.
	Since time.Time
}

type claim struct {
	key       Key
	state     State
	token     Token
	body      BodyHash
	hasAnswer bool
	answer    []byte
	since     time.Time
	released  []Token // oldest first
	expires   int64   // milliseconds since 1970
}

func newClaim(k Key) *claim {
	return &claim{key: k, expires: k.Time().Add(Lifetime).UnixMilli()}
}

// Table holds the claims. It is not safe for concurrent use.
type Table struct {
	claims map[Key]*claim
	queue  expiryQueue
	bytes  int
}

// New returns an empty table.
func New() *Table { return &Table{claims: make(map[Key]*claim)} }

// Len returns the number of claims.
func (t *Table) Len() int { return len(t.claims) }

// StoredBytes returns the size of all stored answers.
func (t *Table) StoredBytes() int { return t.bytes }

// Expire drops the claims whose time has come. The clock must not go back.
func (t *Table) Expire(clock time.Time) {
	for len(t.queue) > 0 && clock.UnixMilli() >= t.queue[0].expires {
		c, _ := heap.Pop(&t.queue).(*claim)
		t.bytes -= len(c.answer)
		delete(t.claims, c.key)
	}
}

// Claim gives the claim of a key to an attempt, or says why not. The same attempt may ask again.
func (t *Table) Claim(clock time.Time, k Key, body BodyHash, tok Token) Result {
	if k.check() != nil || tok == "" || len(tok) > MaxTokenBytes {
		return Result{Verdict: BadKey}
	}
	if c, ok := t.claims[k]; ok {
		return c.again(clock, body, tok)
	}
	at := k.Time()
	switch {
	case clock.Sub(at) > MaxKeyAge:
		return Result{Verdict: TooOld}
	case at.Sub(clock) > MaxKeyAhead:
		return Result{Verdict: TooNew}
	case len(t.claims) >= MaxClaims:
		return Result{Verdict: Full}
	}
	c := newClaim(k)
	c.state, c.token, c.body, c.since = InProgress, tok, body, clock
	t.claims[k] = c
	heap.Push(&t.queue, c)

	return Result{Verdict: Granted, Since: clock}
}

func (c *claim) again(clock time.Time, body BodyHash, tok Token) Result {
	switch {
	case c.body != body:
		return Result{Verdict: BodyDiffers, Since: c.since}
	case c.state == Settled:
		return Result{Verdict: Done, HasAnswer: c.hasAnswer, Answer: c.answer, Since: c.since}
	case c.state == InProgress && c.token != tok:
		return Result{Verdict: Running, Since: c.since}
	case c.state == InProgress:
		return Result{Verdict: Granted, Since: c.since}
	case slices.Contains(c.released, tok):
		// The attempt has reported that it did not run. A delayed copy of its claim must not
		// take the key again, because nobody would settle it.
		return Result{Verdict: Running, Since: c.since}
	case clock.Sub(c.key.Time()) > MaxKeyAge:
		return Result{Verdict: TooOld, Since: c.since}
	}
	c.state, c.token, c.since = InProgress, tok, clock

	return Result{Verdict: Granted, Since: clock}
}

// Settle stores that the request ran, and its answer if it is small enough. It reports false and
// changes nothing if the attempt does not hold the claim.
func (t *Table) Settle(clock time.Time, k Key, tok Token, hasAnswer bool, answer []byte) bool {
	c, ok := t.claims[k]
	if !ok || c.token != tok || c.state == Released {
		return false
	}
	if c.state == Settled {
		return true
	}
	c.state, c.since = Settled, clock
	if hasAnswer && len(answer) <= MaxAnswerBytes && t.bytes+len(answer) <= MaxStoredBytes {
		c.hasAnswer, c.answer = true, answer
		t.bytes += len(answer)
	}

	return true
}

// Release gives the key back after a proof that the attempt did not run.
func (t *Table) Release(clock time.Time, k Key, tok Token) bool {
	c, ok := t.claims[k]
	if !ok || c.token != tok || c.state == Settled {
		return false
	}
	if c.state == Released {
		return true
	}
	c.state, c.since = Released, clock
	if len(c.released) == MaxReleased {
		c.released = slices.Delete(c.released, 0, 1)
	}
	c.released = append(c.released, tok)

	return true
}

// Lookup returns the state of a key's claim.
func (t *Table) Lookup(k Key) (State, bool) {
	c, ok := t.claims[k]
	if !ok {
		return 0, false
	}

	return c.state, true
}

// expiryQueue orders claims by expiry. Ties are broken by key, so that all replicas agree.
type expiryQueue []*claim

var _ heap.Interface = (*expiryQueue)(nil)

func (q expiryQueue) Len() int { return len(q) }

func (q expiryQueue) Less(i, j int) bool {
	if q[i].expires != q[j].expires {
		return q[i].expires < q[j].expires
	}

	return compareKeys(q[i].key, q[j].key) < 0
}

func (q expiryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
}

// Push adds a claim for package heap.
func (q *expiryQueue) Push(x any) {
	c, _ := x.(*claim)
	*q = append(*q, c)
}

// Pop removes the last claim for package heap.
func (q *expiryQueue) Pop() any {
	old := *q
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]

	return c
}
