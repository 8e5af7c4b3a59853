// Package sockets tells how open connections stand, without reading from them, how much was read from them, and how operations
// on them ended.
package sockets

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// ClosedByPeer reports whether the other side has closed or reset a connection on which nothing is read meanwhile.
func ClosedByPeer(c net.Conn) bool {
	n, err := peek(c)

	return n == 0 && err == nil || err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}

// Quiet reports whether an idle connection is open and nothing has arrived on it. A request on one that is not would look
// as if it had crashed the other side, or get bytes that belong to another.
func Quiet(c net.Conn) bool {
	_, err := peek(c)

	return errors.Is(err, syscall.EAGAIN)
}

// CountingReader counts the bytes that have been read.
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

// errNoSocket is returned for connections that are no sockets, such as those of tests.
var errNoSocket = errors.New("connection has no socket")

func peek(c net.Conn) (n int, err error) {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return 0, errNoSocket
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

// IsTimeout reports whether an operation ran out of time: a deadline of a connection or of a context has passed.
func IsTimeout(err error) bool {
	var ne net.Error

	return errors.As(err, &ne) && ne.Timeout()
}

// IsRefused reports whether nobody listens at an address that was dialled.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
