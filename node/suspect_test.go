package node

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"fulmarfall/control"
	"fulmarfall/conviction"
	"fulmarfall/ident"
	"fulmarfall/membership"
	"fulmarfall/metrics"
	"fulmarfall/transport"
	"fulmarfall/wire"
)

// delayedVoter is a voter that reports no leader until readyAt and stores commands from then on.
type delayedVoter struct {
	readyAt time.Time

	mu    sync.Mutex
	index uint64
	state *control.State
}

func (v *delayedVoter) handle(_ context.Context, _ ident.NodeID, m wire.Message) wire.Message {
	req, ok := m.(*wire.Propose)
	if !ok {
		return nil
	}

	if time.Now().Before(v.readyAt) {
		return &wire.Proposed{Error: "no leader is known"}
	}

	v.mu.Lock()
	defer v.mu.Unlock()

	v.index++

	return &wire.Proposed{OK: true, Result: v.state.Apply(v.index, req.Command)}
}

func (v *delayedVoter) standing(f ident.Fingerprint) conviction.State {
	v.mu.Lock()
	defer v.mu.Unlock()

	e, _ := v.state.Convictions().Lookup(f)

	return e.State
}

// unusedNodeID returns a node ID that is a free UDP address.
func unusedNodeID(t *testing.T) ident.NodeID {
	t.Helper()

	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("reserve a UDP port: %v", err)
	}
	defer func() { _ = conn.Close() }()

	return ident.NodeID(conn.LocalAddr().String())
}

// Guards against a strike that is lost because no leader is available for longer than proposeTimeout.
func TestStrikeIsProposedUntilStored(t *testing.T) {
	const (
		fingerprint ident.Fingerprint = 7
		leaderless                    = proposeTimeout + time.Second
	)

	listen := func(id ident.NodeID, h transport.Handler) *transport.Transport {
		identity, err := transport.NewUnverifiedIdentity(id)
		if err != nil {
			t.Fatalf("identity: %v", err)
		}

		tr, stop, err := transport.Listen(string(id), identity, h)
		if err != nil {
			t.Fatalf("listen: %v", err)
		}

		t.Cleanup(func() {
			if err := stop(); err != nil {
				t.Errorf("stop %s: %v", id, err)
			}
		})

		return tr
	}

	v := &delayedVoter{readyAt: time.Now().Add(leaderless), state: control.New()}
	voterID, nodeID := unusedNodeID(t), unusedNodeID(t)
	listen(voterID, v.handle)

	meters, closeMeters := metrics.New()

	defer func() { _ = closeMeters() }()

	n := &Node{
		cfg: Config{ID: nodeID, Voters: []Peer{{Node: voterID, QUICAddress: string(voterID)}}}, meters: meters, members: membership.NewCopy(),
		logger:    &log.Logger{Level: log.PanicLevel},
		transport: listen(nodeID, func(context.Context, ident.NodeID, wire.Message) wire.Message { return nil }),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())

	defer n.wg.Wait()
	defer n.cancel()

	n.strike(fingerprint, true)

	for end := time.Now().Add(leaderless + 10*time.Second); v.standing(fingerprint) != conviction.Convicted; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("strike is not stored within %v after a leader is available", 10*time.Second)
		}
	}
}
