package sockets

import (
	"context"
	"fmt"
	"net"
	"os"
	"testing"
	"time"
)

// Guards against the reuse of a connection that the peer has closed or on which it has sent unsolicited bytes, and against
// a caller that is considered disconnected because it sends nothing.
func TestIdleAndClosedByPeer(t *testing.T) {
	for name, tc := range map[string]struct {
		peer         func(c net.Conn)
		idle, closed bool
	}{
		"silent":     {func(net.Conn) {}, true, false},
		"sent bytes": {func(c net.Conn) { _, _ = c.Write([]byte("x")) }, false, false},
		"closed":     {func(c net.Conn) { _ = c.Close() }, false, true},
		"reset":      {func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() }, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatalf("listen: %v", err)
			}
			defer func() { _ = ln.Close() }()

			c, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatalf("dial: %v", err)
			}
			defer func() { _ = c.Close() }()

			peer, err := ln.Accept()
			if err != nil {
				t.Fatalf("accept: %v", err)
			}
			defer func() { _ = peer.Close() }()

			tc.peer(peer)

			// Delivery through the loopback interface is asynchronous.
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
				if IsIdle(c) == tc.idle && ClosedByPeer(c) == tc.closed {
					break
				}
			}

			if IsIdle(c) != tc.idle || ClosedByPeer(c) != tc.closed {
				t.Errorf("idle %v, closed %v, want %v and %v", IsIdle(c), ClosedByPeer(c), tc.idle, tc.closed)
			}
		})
	}
}

// Guards against a timeout that is mistaken for a lost connection, and the reverse.
func TestIsTimeout(t *testing.T) {
	for name, tc := range map[string]struct {
		err  error
		want bool
	}{
		"deadline of a context":    {context.DeadlineExceeded, true},
		"deadline of a connection": {fmt.Errorf("read: %w", os.ErrDeadlineExceeded), true},
		"cancelled":                {context.Canceled, false},
		"closed":                   {net.ErrClosed, false},
		"no error":                 {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := IsTimeout(tc.err); got != tc.want {
				t.Errorf("timeout: %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against a process that has exited and is mistaken for a slow one, and the reverse.
func TestIsRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}

	addr := ln.Addr().String()

	c, err := net.Dial("tcp", addr)
	if err != nil || IsRefused(err) {
		t.Errorf("dial an open listener: error %v, refused %v", err, IsRefused(err))
	}

	_ = c.Close()
	_ = ln.Close()

	if _, err := net.Dial("tcp", addr); !IsRefused(err) {
		t.Errorf("dial a closed listener: error %v is not recognised as refused", err)
	}

	if IsRefused(os.ErrDeadlineExceeded) {
		t.Errorf("a timeout is recognised as refused")
	}
}
