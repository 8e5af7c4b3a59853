package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fulmarfall/ident"
	"fulmarfall/wire"

	"github.com/google/go-cmp/cmp"
	"github.com/quic-go/quic-go"
	"go.uber.org/goleak"
)

// Guards against goroutines, and the sockets that they read, that outlive a transport.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout limits waits for events that are certain to happen; no check depends on how soon they happen.
const testTimeout = 20 * time.Second

func newCA(t testing.TB, name string) KeyPair {
	t.Helper()
	ca, err := NewCA(name, time.Hour)
	if err != nil {
		t.Fatal(err)
	}

	return ca
}

func writeFile(t testing.TB, name string, data []byte) {
	t.Helper()
	if err := os.WriteFile(name, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// newKeys writes the keys of a node, issued by ca, and a CA file with ca and the further accepted CAs.
func newKeys(t testing.TB, node ident.NodeID, ca KeyPair, accepted ...KeyPair) KeyFiles {
	t.Helper()
	dir := t.TempDir()
	files := KeyFiles{
		CAs:  []string{filepath.Join(dir, "ca.pem")},
		Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"),
	}
	setKeys(t, files, node, ca)
	setCAs(t, files, append(accepted, ca)...)

	return files
}

func setKeys(t testing.TB, files KeyFiles, node ident.NodeID, ca KeyPair) {
	t.Helper()
	keys, err := NewNodeKeys(ca, node, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, files.Cert, keys.Cert)
	writeFile(t, files.Key, keys.Key)
}

func setCAs(t testing.TB, files KeyFiles, accepted ...KeyPair) {
	t.Helper()
	var all []byte
	for _, ca := range accepted {
		all = append(all, ca.Cert...)
	}
	writeFile(t, files.CAs[0], all)
}

func listen(t testing.TB, files KeyFiles, addr string, h Handler, opts ...Option) *Transport {
	t.Helper()
	id, err := LoadIdentity(files)
	if err != nil {
		t.Fatal(err)
	}
	// Handshakes on a slow machine must not time out and cause a different error.
	tr, stop, err := Listen(addr, id, h, append([]Option{WithDialTimeout(testTimeout)}, opts...)...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = stop() })

	return tr
}

func start(t testing.TB, node ident.NodeID, ca KeyPair, h Handler, opts ...Option) *Transport {
	t.Helper()

	return listen(t, newKeys(t, node, ca), "127.0.0.1:0", h, opts...)
}

func echo(_ context.Context, from ident.NodeID, m wire.Message) wire.Message {
	if r, ok := m.(*wire.StatusRequest); ok {
		return &wire.StatusReply{Data: append([]byte(from+":"), r.Data...)}
	}

	return nil
}

func callEcho(t *testing.T, from *Transport, to ident.NodeID, addr string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	got, err := from.Call(ctx, to, addr, &wire.StatusRequest{Data: []byte("hello")})
	if err != nil {
		return err
	}
	want := wire.Message(&wire.StatusReply{Data: []byte(string(from.identity.Node()) + ":hello")})
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("reply differs (-want +got):\n%s", diff)
	}

	return nil
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not seen in %v", what, testTimeout)
		}
	}
}

// Guards against a second connection between two nodes, including when both dial at the same time.
func TestPairSharesOneConnection(t *testing.T) {
	ca := newCA(t, "ca")
	a, b := start(t, "a", ca, echo), start(t, "b", ca, echo)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			if err := callEcho(t, a, "b", b.Addr()); err != nil {
				t.Error(err)
			}
		})
		wg.Go(func() {
			if err := callEcho(t, b, "a", a.Addr()); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	eventually(t, "one connection at both ends", func() bool {
		return a.Stats().Connections == 1 && b.Stats().Connections == 1
	})
}

// Guards against calls from or to peers with an untrusted certificate or the certificate of another node, and against
// failed calls that are not reported as not sent.
func TestInvalidPeersAndMessagesAreRefused(t *testing.T) {
	ours, theirs := newCA(t, "ours"), newCA(t, "theirs")
	var seen atomic.Int32
	server := start(t, "server", ours, func(context.Context, ident.NodeID, wire.Message) wire.Message {
		seen.Add(1)

		return nil
	})
	tests := map[string]struct {
		client KeyFiles
		to     ident.NodeID
		addr   string
		m      wire.Message
		want   error
		opts   []Option
	}{
		"server trusts a different CA": {client: newKeys(t, "c1", theirs, ours), to: "server", addr: server.Addr(), m: &wire.StatusRequest{}},
		"client trusts a different CA": {client: newKeys(t, "c2", theirs), to: "server", addr: server.Addr(), m: &wire.StatusRequest{}},
		"certificate names another node": {
			client: newKeys(t, "c3", ours), to: "other", addr: server.Addr(), m: &wire.StatusRequest{}, want: ErrWrongPeer,
		},
		"no peer at the address": {
			client: newKeys(t, "c4", ours), to: "server", addr: "127.0.0.1:9", m: &wire.StatusRequest{},
			opts: []Option{WithDialTimeout(300 * time.Millisecond)},
		},
		"raft message from another node": {
			client: newKeys(t, "c5", ours), to: "server", addr: server.Addr(), m: &wire.Raft{From: "c1"}, want: ErrMalformed,
		},
		"lease renewal for another node": {
			client: newKeys(t, "c6", ours), to: "server", addr: server.Addr(), m: &wire.Renew{Node: "c1"}, want: ErrMalformed,
		},
		"message above the size limit": {
			client: newKeys(t, "c7", ours), to: "server", addr: server.Addr(),
			m: &wire.Announce{Data: make([]byte, wire.MaxFrameBytes)}, want: wire.ErrTooLarge,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			client := listen(t, tc.client, "127.0.0.1:0", echo, tc.opts...)
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			_, err := client.Call(ctx, tc.to, tc.addr, tc.m)
			if !IsNotSent(err) {
				t.Errorf("error = %v, want a not-sent error", err)
			}
			if tc.want != nil && !errors.Is(err, tc.want) {
				t.Errorf("error = %v, want %v", err, tc.want)
			}
		})
	}
	if n := seen.Load(); n != 0 {
		t.Errorf("the handler received %d messages", n)
	}
}

// Guards against oversized frames from a peer whose own encoder does not enforce the limit.
func TestOversizedFrameIsRefused(t *testing.T) {
	ca := newCA(t, "ca")
	var seen atomic.Int32
	server := start(t, "server", ca, func(context.Context, ident.NodeID, wire.Message) wire.Message {
		seen.Add(1)

		return nil
	})
	id, err := LoadIdentity(newKeys(t, "raw", ca))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	qc, err := quic.DialAddr(ctx, server.Addr(), id.clientConfig("server"), server.quicConfig(true, DefaultDialTimeout))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = qc.CloseWithError(closeNormal, "") }()
	s, err := qc.OpenStreamSync(ctx)
	if err != nil {
		t.Fatal(err)
	}
	frame, err := wire.Encode(&wire.Announce{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err = s.Write(append(frame, make([]byte, wire.MaxFrameBytes)...)); err == nil {
		_ = s.Close()
		_, err = readFrame(s)
	}
	if got := refusalError(err); !errors.Is(got, ErrMalformed) {
		t.Errorf("error = %v, want %v", err, ErrMalformed)
	}
	if n := seen.Load(); n != 0 {
		t.Errorf("the handler received %d messages", n)
	}
}

// Guards against a call that is reported as not sent when the peer is killed while handling it, and against a restarted
// peer that remains unreachable.
func TestPeerKilledDuringCall(t *testing.T) {
	ca := newCA(t, "ca")
	files := newKeys(t, "b", ca)
	entered := make(chan struct{})
	b := listen(t, files, "127.0.0.1:0", func(ctx context.Context, _ ident.NodeID, _ wire.Message) wire.Message {
		close(entered)
		<-ctx.Done()

		return nil
	})
	a := start(t, "a", ca, echo, WithIdleTimeout(time.Second))
	result := make(chan error, 1)
	go func() { result <- callEcho(t, a, "b", b.Addr()) }()
	<-entered
	addr := b.Addr()
	_ = b.udp.Close() // No more packets are sent, as after a kill.
	err := <-result
	if err == nil || IsNotSent(err) {
		t.Errorf("error = %v, want a delivery-unknown error", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_ = b.Shutdown(ctx)
	listen(t, files, addr, echo)
	eventually(t, "reply from the restarted peer", func() bool { return callEcho(t, a, "b", addr) == nil })
}

// Guards against a long outage after a peer restarts: the peer's stateless reset must close the old connection long before
// the idle timeout.
func TestRestartedPeerResetsOldConnections(t *testing.T) {
	ca := newCA(t, "ca")
	files := newKeys(t, "b", ca)
	b := listen(t, files, "127.0.0.1:0", echo)
	a := start(t, "a", ca, echo, WithIdleTimeout(time.Hour))
	addr := b.Addr()
	if err := callEcho(t, a, "b", addr); err != nil {
		t.Fatal(err)
	}
	_ = b.udp.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_ = b.Shutdown(ctx)
	listen(t, files, addr, echo)
	eventually(t, "reply from the restarted peer", func() bool { return callEcho(t, a, "b", addr) == nil })
}

// Guards against calls that fail during a CA rotation, and against connections that are still accepted or kept under the
// old CA afterwards.
func TestRotationLosesNoCall(t *testing.T) {
	first, second := newCA(t, "first"), newCA(t, "second")
	nodes := []ident.NodeID{"a", "b", "c"}
	files := map[ident.NodeID]KeyFiles{}
	running := map[ident.NodeID]*Transport{}
	for _, n := range nodes {
		files[n] = newKeys(t, n, first)
		running[n] = listen(t, files[n], "127.0.0.1:0", echo)
	}
	stop := make(chan struct{})
	var (
		wg    sync.WaitGroup
		calls atomic.Int64
	)
	for _, from := range nodes {
		for _, to := range nodes {
			if from == to {
				continue
			}
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					if err := callEcho(t, running[from], to, running[to].Addr()); err != nil {
						t.Errorf("%s to %s: %v", from, to, err)

						return
					}
					calls.Add(1)
				}
			})
		}
	}
	phase := func(change func(ident.NodeID)) {
		for _, n := range nodes {
			change(n)
			if err := running[n].Reload(); err != nil {
				t.Fatal(err)
			}
		}
		seen := calls.Load()
		eventually(t, "calls after a rotation step", func() bool { return calls.Load() > seen+100 || t.Failed() })
	}
	phase(func(n ident.NodeID) { setCAs(t, files[n], first, second) })
	phase(func(n ident.NodeID) { setKeys(t, files[n], n, second) })
	phase(func(n ident.NodeID) { setCAs(t, files[n], second) })
	close(stop)
	wg.Wait()
	for _, n := range nodes {
		for _, c := range running[n].openConns() {
			if c.usable() && running[n].identity.verifyPeer(c.chain) != nil {
				t.Errorf("%s keeps a connection to %s under the old CA", n, c.peer)
			}
		}
	}
	late := listen(t, newKeys(t, "late", first, second), "127.0.0.1:0", echo)
	if err := callEcho(t, late, "a", running["a"].Addr()); !IsNotSent(err) {
		t.Errorf("call under the old CA: error = %v, want a not-sent error", err)
	}
	setKeys(t, files["a"], "b", second)
	if err := running["a"].Reload(); !errors.Is(err, ErrWrongPeer) {
		t.Errorf("reload with another node's keys: error = %v, want %v", err, ErrWrongPeer)
	}
}

// Guards against a shutdown that interrupts a call in flight, and against new calls that are accepted, or fail as
// delivery unknown, during the drain.
func TestShutdownWaitsForCalls(t *testing.T) {
	ca := newCA(t, "ca")
	entered, release := make(chan struct{}), make(chan struct{})
	b := start(t, "b", ca, func(ctx context.Context, from ident.NodeID, m wire.Message) wire.Message {
		close(entered)
		<-release

		return echo(ctx, from, m)
	})
	a := start(t, "a", ca, echo)
	result := make(chan error, 1)
	go func() { result <- callEcho(t, a, "b", b.Addr()) }()
	<-entered
	closed := make(chan error, 1)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	go func() { closed <- b.Shutdown(ctx) }()
	// Calls are still accepted until the shutdown has closed the connection to new ones.
	eventually(t, "start of the shutdown", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		for c := range b.conns {
			c.mu.Lock()
			open := !c.incomingClosed
			c.mu.Unlock()
			if open {
				return false
			}
		}

		return b.draining
	})
	eventually(t, "refusal", func() bool {
		err := callEcho(t, a, "b", b.Addr())
		if !IsNotSent(err) {
			t.Fatalf("error = %v, want a not-sent error", err)
		}

		return errors.Is(err, ErrDraining)
	})
	if err := callEcho(t, b, "a", a.Addr()); !IsNotSent(err) || !errors.Is(err, ErrClosed) {
		t.Errorf("outgoing call while draining: error = %v, want %v", err, ErrClosed)
	}
	close(release)
	if err := <-result; err != nil {
		t.Errorf("the call in flight failed: %v", err)
	}
	if err := <-closed; err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

// Guards against an unlimited number of calls in flight, and against a handler that keeps running after its caller has
// cancelled the call.
func TestCallLimitAndCancellation(t *testing.T) {
	ca := newCA(t, "ca")
	entered, ended := make(chan struct{}), make(chan struct{})
	b := start(t, "b", ca, func(ctx context.Context, _ ident.NodeID, _ wire.Message) wire.Message {
		close(entered)
		<-ctx.Done()
		close(ended)

		return nil
	}, WithMaxCalls(1))
	a := start(t, "a", ca, echo)
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		_, err := a.Call(ctx, "b", b.Addr(), &wire.StatusRequest{})
		result <- err
	}()
	<-entered
	if err := callEcho(t, a, "b", b.Addr()); !IsNotSent(err) || !errors.Is(err, ErrBusy) {
		t.Errorf("error = %v, want %v", err, ErrBusy)
	}
	cancel()
	<-ended
	if err := <-result; !errors.Is(err, context.Canceled) || IsNotSent(err) {
		t.Errorf("error = %v, want a delivery-unknown error that wraps context.Canceled", err)
	}
}

// Guards against best-effort messages that arrive out of order, and against a Send that blocks or queues without limit
// when the peer does not read.
func TestSend(t *testing.T) {
	ca := newCA(t, "ca")
	got, release := make(chan string, 1000), make(chan struct{})
	b := start(t, "b", ca, func(_ context.Context, _ ident.NodeID, m wire.Message) wire.Message {
		<-release
		got <- string(m.(*wire.Raft).Data[:4])

		return nil
	})
	a := start(t, "a", ca, echo, WithSendQueue(4))
	var sent []string
	filler := make([]byte, 1<<20)
	for i := 0; ; i++ {
		name := fmt.Sprintf("%04d", i)
		// The flow-control windows of 15 MiB and the queue limit what can be buffered, so Send must eventually fail.
		if !a.Send("b", b.Addr(), &wire.Raft{From: "a", Data: append([]byte(name), filler...)}) {
			if len(sent) >= 4 {
				break
			}

			continue
		}
		sent = append(sent, name)
		if len(sent) > 64 {
			t.Fatal("64 MiB were queued for a peer that does not read")
		}
	}
	close(release)
	for _, want := range sent {
		if diff := cmp.Diff(want, <-got); diff != "" {
			t.Fatalf("order differs (-want +got):\n%s", diff)
		}
	}
	if n := a.Stats().Dropped; n == 0 {
		t.Error("the dropped message is not counted")
	}
}

// Guards against dials that repeatedly time out before a busy peer gets to them: the dial timeout must double after
// each consecutive one, up to its limit.
func TestDialTimeoutGrowsAfterTimeouts(t *testing.T) {
	const first = 50 * time.Millisecond

	silent, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()

	identity, err := NewUnverifiedIdentity("a")
	if err != nil {
		t.Fatal(err)
	}

	tr, stop, err := Listen("127.0.0.1:0", identity, func(context.Context, ident.NodeID, wire.Message) wire.Message { return nil }, WithDialTimeout(first))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stop() }()

	addr := silent.LocalAddr().String()

	for i := range maxDialDoublings + 2 {
		began := time.Now()

		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		_, err := tr.peer("b").connect(ctx, addr)
		cancel()

		if err == nil {
			t.Fatal("connected to a silent peer")
		}

		if elapsed, minimum := time.Since(began), first<<min(i, maxDialDoublings); elapsed < minimum {
			t.Errorf("dial %d timed out after %v, want at least %v", i, elapsed, minimum)
		}

		time.Sleep(2 * redialDelay)
	}
}
