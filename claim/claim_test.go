package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/uuid"
	"pgregory.net/rapid"
)

var start = time.UnixMilli(1767323045000)

func keyAt(at time.Time, n int) Key {
	id := uuid.UUID{6: 0x70, 8: 0x80, 14: byte(n >> 8), 15: byte(n)}
	for i := range 6 {
		id[i] = byte(at.UnixMilli() >> (40 - 8*i))
	}

	return Key{Team: "front-office", ID: id}
}

// Guards against a key that is granted although its claim may have expired, against keys that are not
// UUIDv7, and against a wrongly decoded timestamp.
func TestKeyAge(t *testing.T) {
	v4 := keyAt(start, 1)
	v4.ID[6] = 0x40
	tests := map[string]struct {
		key  Key
		want Verdict
	}{
		"now":             {keyAt(start, 1), Granted},
		"a day old":       {keyAt(start.Add(-MaxKeyAge), 1), Granted},
		"older":           {keyAt(start.Add(-MaxKeyAge-time.Millisecond), 1), TooOld},
		"a minute ahead":  {keyAt(start.Add(MaxClockSkew), 1), Granted},
		"further ahead":   {keyAt(start.Add(MaxClockSkew+time.Millisecond), 1), TooNew},
		"not a version 7": {v4, BadKey},
		"zero":            {Key{}, BadKey},
		"largest time":    {keyAt(time.UnixMilli(1<<48-1), 1), TooNew},
		"Unix epoch":      {keyAt(time.UnixMilli(0), 1), TooOld},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := New().Claim(start, tc.key, BodyHash{}, "a"); got.Verdict != tc.want {
				t.Errorf("verdict %d, want %d", got.Verdict, tc.want)
			}
		})
	}
	if k, err := ParseKey("front-office", keyAt(start, 7).ID.String()); err != nil || k != keyAt(start, 7) {
		t.Errorf("parsed key %v, error %v", k, err)
	}
	if _, err := ParseKey("front-office", v4.ID.String()); err == nil {
		t.Error("a version 4 key is parsed")
	}
}

// model is the expected state of one key, derived only from the results of calls.
type model struct {
	running  Token // granted attempt that has not been released
	ran      bool
	released map[Token]bool
}

// Guards against a request that runs twice: a second grant while an attempt runs or after one ran, a
// settlement or release by an attempt that does not hold the claim, and a stored outcome that changes,
// also across a restore. Also guards against a claim that outlives its expiry.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := New(), start
		models := map[Key]*model{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, int(2*time.Hour)).Draw(t, "passed")))
			table.Expire(now)
			k := keyAt(start.Add(time.Duration(rapid.IntRange(0, 2).Draw(t, "key"))*time.Hour), 0)
			m := models[k]
			if m == nil {
				m = &model{released: map[Token]bool{}}
				models[k] = m
			}
			tok := Token(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "token")))
			_, exists := table.Lookup(k)
			if exists && !now.Before(k.Time().Add(Lifetime)) {
				t.Fatal("a claim outlives its expiry")
			}
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1, 2:
				got := table.Claim(now, k, BodyHash{}, tok)
				if got.Verdict == Granted && (m.ran || m.running != "" && m.running != tok || m.released[tok]) {
					t.Fatalf("attempt %s is granted after %+v", tok, m)
				}
				if got.Verdict == Granted {
					m.running = tok
				}
				if m.ran && got.Verdict != Done && got.Verdict != TooOld {
					t.Fatalf("verdict %d for a request that ran", got.Verdict)
				}
				if got.Verdict == Done && !cmp.Equal(string(got.Answer), "ran") {
					t.Fatalf("stored answer is %q", got.Answer)
				}
			case 3:
				done := table.Settle(now, k, tok, true, []byte("ran"))
				if done != (exists && m.running == tok) {
					t.Fatalf("settle by %s: %v after %+v", tok, done, m)
				}
				m.ran = m.ran || done
			case 4:
				done := table.Release(now, k, tok)
				if m.ran && done {
					t.Fatal("a settled claim is released")
				}
				if done && m.running == tok {
					m.running, m.released[tok] = "", true
				}
			case 5:
				var err error
				if table, err = FromImage(table.Image()); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

// Guards against a key that is used for two different requests, against answers stored beyond their
// size limit, and against an empty answer that is not stored.
func TestBodyAndAnswer(t *testing.T) {
	table := New()
	k := keyAt(start, 1)
	body := HashBody("stock-ledger", "a", []byte("take 3"))
	table.Claim(start, k, body, "a")
	for name, other := range map[string]BodyHash{
		"body": HashBody("stock-ledger", "a", []byte("take 4")), "shard": HashBody("stock-ledger", "b", []byte("take 3")),
		"upstream": HashBody("stock-ledge", "ra", []byte("take 3")),
	} {
		if got := table.Claim(start, k, other, "a"); got.Verdict != BodyDiffers {
			t.Errorf("other %s: verdict %d", name, got.Verdict)
		}
	}
	if !table.Settle(start, k, "a", true, make([]byte, MaxAnswerBytes+1)) || table.StoredBytes() != 0 {
		t.Errorf("an answer above the limit occupies %d bytes", table.StoredBytes())
	}
	want := Result{Verdict: Done, Since: start}
	if diff := cmp.Diff(want, table.Claim(start, k, body, "b")); diff != "" {
		t.Errorf("result differs (-want +got):\n%s", diff)
	}
	empty := keyAt(start, 2)
	table.Claim(start, empty, body, "a")
	table.Settle(start, empty, "a", true, []byte{})
	if got := table.Claim(start, empty, body, "b"); !got.HasAnswer {
		t.Error("an empty answer is not stored")
	}
}

// Guards against a table that grows without bound or whose claims do not expire, and against stored
// answers that exceed MaxStoredBytes in total.
func TestTableBounds(t *testing.T) {
	table := New()
	answer := make([]byte, MaxAnswerBytes)
	for i := range MaxClaims + 5 {
		k := keyAt(start.Add(time.Duration(i>>16)*time.Millisecond), i)
		got := table.Claim(start, k, BodyHash{}, "a")
		if (got.Verdict == Full) != (i >= MaxClaims) {
			t.Fatalf("claim %d: verdict %d", i, got.Verdict)
		}
		table.Settle(start, k, "a", true, answer)
	}
	if table.StoredBytes() != MaxStoredBytes {
		t.Errorf("%d bytes of stored answers, want MaxStoredBytes", table.StoredBytes())
	}
	table.Expire(start.Add(Lifetime + time.Second))
	if table.Len() != 0 || table.StoredBytes() != 0 {
		t.Errorf("%d claims with %d bytes after their expiry", table.Len(), table.StoredBytes())
	}
}
