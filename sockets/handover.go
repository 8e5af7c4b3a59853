package sockets

import (
	"net"
	"sync"
)

// Handover is a listener whose connections were accepted by another one.
type Handover struct {
	addr   net.Addr
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// NewHandover returns a listener that appears to listen at an address.
func NewHandover(addr net.Addr) *Handover {
	return &Handover{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
}

var _ net.Listener = (*Handover)(nil)

// Offer passes on a connection. It is closed if the listener is.
func (h *Handover) Offer(c net.Conn) {
	select {
	case h.conns <- c:
	case <-h.closed:
		_ = c.Close() // accepted too late, like a connection in the queue of a listener that is closed
	}
}

// Accept implements net.Listener.
func (h *Handover) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *Handover) Close() error {
	h.once.Do(func() { close(h.closed) })

	return nil
}

// Addr implements net.Listener.
func (h *Handover) Addr() net.Addr { return h.addr }
