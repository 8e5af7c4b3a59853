// Package claim implements the table of claimed idempotency keys, which ensures that a non-idempotent
// request runs at most once. It is part of the replicated state, so it must be deterministic: every
// decision depends only on the given clock, the other arguments and earlier calls.
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
	// MaxKeyAge is the age above which a key is not granted to a new attempt, because an earlier claim
	// of it may have expired.
	MaxKeyAge = 24 * time.Hour
	// MaxClockSkew tolerates callers whose clocks are ahead.
	MaxClockSkew = time.Minute
	// Lifetime is the time from the timestamp in a key to the expiry of its claim. It is longer than
	// MaxKeyAge, so that a key whose claim has expired cannot be claimed again.
	Lifetime = MaxKeyAge + time.Minute
	// MaxAnswerBytes bounds one stored answer. For a larger answer the claim is settled without it.
	MaxAnswerBytes = 4 << 10
	// MaxClaims and MaxStoredBytes bound the number of claims and the total size of the answers. All
	// replicas must use the same values. Answers use at most half of a node's memory budget of 64 MB
	// for control state.
	MaxClaims      = 100000
	MaxStoredBytes = 32 << 20
	// MaxReleasedTokens is the number of released attempts that a claim records. Duplicates of their
	// claim commands may still be in flight.
	MaxReleasedTokens = 8
	// MaxTokenBytes bounds the length of an attempt's token.
	MaxTokenBytes = 64
)

// Key is an idempotency key, scoped to a calling team.
type Key struct {
	Team ident.TeamID
	ID   uuid.UUID
}

// ParseKey parses an idempotency key, which must be a UUIDv7.
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

// Time returns the timestamp in the key, with millisecond resolution.
func (k Key) Time() time.Time {
	var b [8]byte
	copy(b[2:], k.ID[:6])

	return time.UnixMilli(int64(binary.BigEndian.Uint64(b[:]))) //nolint:gosec // 48 bits fit.
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), slices.Compare(a.ID[:], b.ID[:]))
}

// BodyHash identifies the content of a request, to detect that one key is used for two requests.
type BodyHash [sha256.Size]byte

// HashBody hashes the upstream, shard and body of a request. Each part is prefixed with its length, so
// that bytes cannot move from one part to the next without changing the hash.
func HashBody(u ident.UpstreamID, s ident.ShardID, body []byte) BodyHash {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(u), []byte(s), body} {
		h.Write(binary.AppendUvarint(nil, uint64(len(part))))
		h.Write(part)
	}

	return BodyHash(h.Sum(nil))
}

// Token identifies one attempt to run a request. Only the attempt that holds the claim can settle or
// release it.
type Token string

// State is the state of a claim.
type State uint8

// The states of a claim.
const (
	// InProgress means that an attempt may have reached a searcher.
	InProgress State = iota + 1
	// Settled means that the request ran.
	Settled
	// Released means that the attempt certainly did not run; the key may be claimed again.
	Released
)

// Verdict is the outcome of an attempt to claim a key.
type Verdict uint8

// The verdicts of Table.Claim.
const (
	// Granted means that this attempt, and no other one, may run.
	Granted Verdict = iota + 1
	// Running means that another attempt holds the claim, or that this attempt has released it; the
	// outcome is unknown.
	Running
	// Done means that the request ran. The result contains the answer if it was stored.
	Done
	// BodyDiffers means that the key was claimed for a request with another body hash.
	BodyDiffers
	// TooOld means that the key is older than MaxKeyAge and a claim of it may have expired; the outcome
	// is unknown.
	TooOld
	// TooNew means that the key's timestamp is ahead by more than MaxClockSkew.
	TooNew
	// BadKey means that the key is not a UUIDv7, or the token is empty or too long.
	BadKey
	// Full means that the table is full; the request did not run.
	Full
)

// Result is a verdict and, if the request ran, the stored answer.
type Result struct {
	Verdict Verdict
	// HasAnswer distinguishes an empty answer from one that was not stored.
	HasAnswer bool
	Answer    []byte
	// Since is the time at which the claim entered its current state, or zero if there is no claim.
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
	expires   int64   // Unix time in milliseconds
}

func newClaim(k Key) *claim {
	return &claim{key: k, expires: k.Time().Add(Lifetime).UnixMilli()}
}

// Table is the set of claims. It is not safe for concurrent use.
type Table struct {
	claims      map[Key]*claim
	expiries    expiryQueue
	storedBytes int
}

// New returns an empty table.
func New() *Table { return &Table{claims: make(map[Key]*claim)} }

// Len returns the number of claims.
func (t *Table) Len() int { return len(t.claims) }

// StoredBytes returns the total size of the stored answers.
func (t *Table) StoredBytes() int { return t.storedBytes }

// Expire removes the expired claims. The clock must not go backwards.
func (t *Table) Expire(clock time.Time) {
	for len(t.expiries) > 0 && clock.UnixMilli() >= t.expiries[0].expires {
		c, _ := heap.Pop(&t.expiries).(*claim)
		t.storedBytes -= len(c.answer)
		delete(t.claims, c.key)
	}
}

// Claim claims a key for an attempt. It is idempotent: an attempt that holds the claim is granted it
// again.
func (t *Table) Claim(clock time.Time, k Key, body BodyHash, tok Token) Result {
	if k.check() != nil || tok == "" || len(tok) > MaxTokenBytes {
		return Result{Verdict: BadKey}
	}
	if c, ok := t.claims[k]; ok {
		return c.reclaim(clock, body, tok)
	}
	at := k.Time()
	switch {
	case clock.Sub(at) > MaxKeyAge:
		return Result{Verdict: TooOld}
	case at.Sub(clock) > MaxClockSkew:
		return Result{Verdict: TooNew}
	case len(t.claims) >= MaxClaims:
		return Result{Verdict: Full}
	}
	c := newClaim(k)
	c.state, c.token, c.body, c.since = InProgress, tok, body, clock
	t.claims[k] = c
	heap.Push(&t.expiries, c)

	return Result{Verdict: Granted, Since: clock}
}

func (c *claim) reclaim(clock time.Time, body BodyHash, tok Token) Result {
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
		// The attempt has already released the claim. A delayed duplicate of its claim command must
		// not claim the key again, because no attempt would settle it.
		return Result{Verdict: Running, Since: c.since}
	case clock.Sub(c.key.Time()) > MaxKeyAge:
		return Result{Verdict: TooOld, Since: c.since}
	}
	c.state, c.token, c.since = InProgress, tok, clock

	return Result{Verdict: Granted, Since: clock}
}

// Settle records that the request ran, with its answer if that is within MaxAnswerBytes and
// MaxStoredBytes. It returns false without effect if the attempt does not hold the claim.
func (t *Table) Settle(clock time.Time, k Key, tok Token, hasAnswer bool, answer []byte) bool {
	c, ok := t.claims[k]
	if !ok || c.token != tok || c.state == Released {
		return false
	}
	if c.state == Settled {
		return true
	}
	c.state, c.since = Settled, clock
	if hasAnswer && len(answer) <= MaxAnswerBytes && t.storedBytes+len(answer) <= MaxStoredBytes {
		c.hasAnswer, c.answer = true, answer
		t.storedBytes += len(answer)
	}

	return true
}

// Release releases the claim of an attempt that certainly did not run. It returns false without effect
// if the attempt does not hold the claim or has settled it.
func (t *Table) Release(clock time.Time, k Key, tok Token) bool {
	c, ok := t.claims[k]
	if !ok || c.token != tok || c.state == Settled {
		return false
	}
	if c.state == Released {
		return true
	}
	c.state, c.since = Released, clock
	if len(c.released) == MaxReleasedTokens {
		c.released = slices.Delete(c.released, 0, 1)
	}
	c.released = append(c.released, tok)

	return true
}

// Lookup returns the state of a key's claim, and false if the key is not claimed.
func (t *Table) Lookup(k Key) (State, bool) {
	c, ok := t.claims[k]
	if !ok {
		return 0, false
	}

	return c.state, true
}

// expiryQueue is a heap of claims ordered by expiry. Ties are broken by key, so that all replicas
// expire claims in the same order.
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

// Push appends a claim; it must be called only through container/heap.
func (q *expiryQueue) Push(x any) {
	c, _ := x.(*claim)
	*q = append(*q, c)
}

// Pop removes the last claim; it must be called only through container/heap.
func (q *expiryQueue) Pop() any {
	old := *q
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]

	return c
}
