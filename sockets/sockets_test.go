package sockets

import (
	"context"
	"fmt"
	"net"
	"os"
	"testing"
	"time"
)

// Guards against a connection that is used again after the other side has closed it or has sent bytes that nobody asked
// for, and against a caller that is taken for gone because it is silent.
func TestStates(t *testing.T) {
	for name, tc := range map[string]struct {
		peer          func(c net.Conn)
		quiet, closed bool
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

			// The packet needs a moment on its way through the kernel.
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
				if Quiet(c) == tc.quiet && ClosedByPeer(c) == tc.closed {
					break
				}
			}

			if Quiet(c) != tc.quiet || ClosedByPeer(c) != tc.closed {
				t.Errorf("quiet %v, closed %v, want %v and %v", Quiet(c), ClosedByPeer(c), tc.quiet, tc.closed)
			}
		})
	}
}

// Guards against an operation that ran out of time and is taken for a lost connection, or the other way round.
func TestIsTimeout(t *testing.T) {
	for name, tc := range map[string]struct {
		err  error
		want bool
	}{
		"deadline of a context":    {context.DeadlineExceeded, true},
		"deadline of a connection": {fmt.Errorf("read: %w", os.ErrDeadlineExceeded), true},
		"cancelled":                {context.Canceled, false},
		"closed":                   {net.ErrClosed, false},
		"none":                     {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := IsTimeout(tc.err); got != tc.want {
				t.Errorf("timeout: %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against a process that has ended and is taken for one that is only slow, and the other way round.
func TestIsRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}

	addr := ln.Addr().String()

	c, err := net.Dial("tcp", addr)
	if err != nil || IsRefused(err) {
		t.Errorf("dial while somebody listens: %v, refused %v", err, IsRefused(err))
	}

	_ = c.Close()
	_ = ln.Close()

	if _, err := net.Dial("tcp", addr); !IsRefused(err) {
		t.Errorf("dial after the end: %v does not count as refused", err)
	}

	if IsRefused(os.ErrDeadlineExceeded) {
		t.Errorf("a timeout counts as refused")
	}
}
