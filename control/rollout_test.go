package control

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/ident"
	"fulmarfall/rollout"
)

func rolloutSteps() []step {
	order := OrderRollout{Upstream: "s", Target: "v2", Current: []ident.SoftwareVersion{"v1"}, Within: 12 * time.Second}
	grants := []rollout.Grant{{Source: rollout.Source{Node: "n1", Incarnation: 7}, Credit: 2.5}}

	return []step{
		{order, RolloutResult{Status: rollout.StatusOrdered}},
		{order, RolloutResult{Status: rollout.StatusRepeated}},
		{OrderRollout{Upstream: "s", Target: "v3", Within: time.Second}, RolloutResult{Status: rollout.StatusConflict}},
		{AdvanceRollout{Upstream: "s", Order: 1, Stage: rollout.StageCanary, Age: time.Second, Reason: "granted", Grants: grants}, DoneResult{Done: true}},
		{AdvanceRollout{Upstream: "s", Order: 2, Stage: rollout.StageAll}, DoneResult{}},
	}
}

// Guards against a change of the encodings of roll-outs, and an order that is lost with a snapshot.
func TestRolloutsAreStored(t *testing.T) {
	s, replica := New(), New()
	d := newDriver(t, s, replica)

	var all []byte

	for _, step := range rolloutSteps() {
		d.want(step.command, step.want)

		data, err := EncodeCommand(start, step.command)
		if err != nil {
			t.Fatalf("encode %T: %v", step.command, err)
		}

		other, err := EncodeCommand(start.Add(time.Hour), step.command)
		if err != nil {
			t.Fatalf("encode %T: %v", step.command, err)
		}

		if again, err := Restamp(start, other); err != nil || !bytes.Equal(data, again) {
			t.Errorf("restamped %T is %x, want %x; error %v", step.command, again, data, err)
		}

		all = append(all, data...)
	}

	for name, tc := range map[string]struct {
		data []byte
		want string
	}{
		"commands": {all, "29c3075761b95b1a"},
		"snapshot": {snapshotOf(t, s), "09865c7a3a6fcbe3"},
	} {
		sum := sha256.Sum256(tc.data)
		if diff := cmp.Diff(tc.want, hex.EncodeToString(sum[:8])); diff != "" {
			t.Errorf("encoding of the %s has changed (-want +got):\n%s", name, diff)
		}
	}

	restored := New()
	if err := restored.Restore(snapshotOf(t, s)); err != nil {
		t.Fatalf("restore: %v", err)
	}

	if diff := cmp.Diff(s.rollouts.Orders(), restored.rollouts.Orders()); diff != "" || len(s.rollouts.Orders()) != 1 {
		t.Errorf("orders differ (-want +got):\n%s", diff)
	}

	if before := restored.rollouts.Version(); restored.Restore(snapshotOf(t, s)) != nil || restored.rollouts.Version() == before {
		t.Error("the restored orders have the version of those that they replace")
	}
}

// Guards against snapshots that an earlier build can't read although it needs nothing new from them: those without orders, and
// those for entry VMs of an earlier build.
func TestSnapshotsForEarlierBuilds(t *testing.T) {
	format := func(data []byte) uint16 {
		var h header
		if _, err := h.UnmarshalMsg(data); err != nil {
			t.Fatalf("header: %v", err)
		}

		return h.Format
	}

	s := New()
	d := newDriver(t, s)
	d.do(PutConfiguration{Version: 7, Document: []byte("seven")})

	if got := format(snapshotOf(t, s)); got != firstFormatWithConfiguration {
		t.Errorf("snapshot without orders has format %d", got)
	}

	d.do(rolloutSteps()[0].command)

	if got := format(snapshotOf(t, s)); got != firstFormatWithRollouts {
		t.Errorf("snapshot with orders has format %d", got)
	}

	s.ring.reset(s.index)

	for newest, want := range map[uint16]uint16{0: 2, 2: 2, 3: 3, 9: 3} {
		_, snapshot, err := s.UpdatesSince(0, 1<<20, newest)
		if err != nil {
			t.Fatalf("updates: %v", err)
		}

		if got := format(snapshot); got != want {
			t.Errorf("node that reads format %d gets format %d, want %d", newest, got, want)
		}

		if err := New(WithoutClaims()).Restore(snapshot); err != nil {
			t.Errorf("restore format %d: %v", want, err)
		}
	}
}

// Guards against invalid orders that are stored, and against an order with a snapshot that is cut off.
func TestInvalidRollouts(t *testing.T) {
	for name, c := range map[string]OrderRollout{
		"no version": {Upstream: "s", Within: time.Second}, "no service": {Target: "v2", Within: time.Second}, "no time": {Upstream: "s", Target: "v2"},
	} {
		if _, err := EncodeCommand(start, c); !errors.Is(err, rollout.ErrInvalid) {
			t.Errorf("%s: error %v", name, err)
		}
	}

	s := New()
	newDriver(t, s).do(rolloutSteps()[0].command)

	data := snapshotOf(t, s)
	if err := New().Restore(data[:len(data)-3]); !errors.Is(err, ErrMalformed) {
		t.Errorf("restore of a part: error %v", err)
	}
}
