// Package sockets checks the state of open connections without consuming data, counts the bytes read from them, and
// classifies their errors.
package sockets

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// ClosedByPeer reports whether the peer has closed or reset the connection. No other goroutine may read from it
// meanwhile.
func ClosedByPeer(c net.Conn) bool {
	n, err := peek(c)

	return n == 0 && err == nil || err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}

// IsIdle reports whether an idle connection is still open and has no unread data. A connection for which it is false must
// not be reused: a request on a closed one would look as if it had crashed the peer, and a request on one with unread
// data would receive bytes of another response.
func IsIdle(c net.Conn) bool {
	_, err := peek(c)

	return errors.Is(err, syscall.EAGAIN)
}

// CountingReader wraps R and counts in N the bytes read through it.
type CountingReader struct {
	R io.Reader
	N int64
}

// Read implements io.Reader.
func (r *CountingReader) Read(b []byte) (int, error) {
	n, err := r.R.Read(b)
	r.N += int64(n)

	return n, err
}

// errNotSocket is returned for connections without an underlying socket, such as in-memory connections in tests.
var errNotSocket = errors.New("connection has no underlying socket")

// peek checks for one byte of received data without blocking and without consuming it. It returns EAGAIN if there is
// none, and 0 without an error at the end of the stream.
func peek(c net.Conn) (n int, err error) {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return 0, errNotSocket
	}

	raw, err := sys.SyscallConn()
	if err != nil {
		return 0, err
	}

	ctlErr := raw.Control(func(fd uintptr) {
		var b [1]byte

		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if ctlErr != nil {
		return 0, ctlErr
	}

	return n, err
}

// IsTimeout reports whether err means that the deadline of a connection or of a context was exceeded.
func IsTimeout(err error) bool {
	var ne net.Error

	return errors.As(err, &ne) && ne.Timeout()
}

// IsRefused reports whether err means that no process listens on the dialled address.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
