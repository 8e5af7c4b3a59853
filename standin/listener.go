package standin

import (
	"net"
	"sync"
	"time"

	"fulmarfall/sockets"
)

// listener counts the connections of a searcher and refuses those beyond its limit.
type listener struct {
	net.Listener
	s     *Searcher
	delay time.Duration
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}

		if tracked := l.s.track(c, l.delay); tracked != nil {
			return tracked, nil
		}

		reset(c)
	}
}

// reset closes a connection with a TCP reset, as the end of a process does.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}

	_ = c.Close()
}

// trackedConn is an accepted connection.
type trackedConn struct {
	net.Conn
	s     *Searcher
	delay time.Duration // cost of setting a connection up
	first sync.Once
	close sync.Once
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	c.first.Do(func() { time.Sleep(c.delay) })

	return c.Conn.Read(b)
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.close.Do(func() { c.s.untrack(c) })

	return c.Conn.Close()
}

// gone tells whether the peer has closed the connection. It looks at the socket
// without taking bytes from it.
func (c *trackedConn) gone() bool { return sockets.ClosedByPeer(c.Conn) }
