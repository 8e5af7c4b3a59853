package standin

import (
	"net"
	"sync"
	"time"

	"fulmarfall/sockets"
)

// listener counts the connections to a searcher and resets those beyond its limit.
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

// reset closes a connection with a TCP reset, as the exit of a process does.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}

	_ = c.Close()
}

// trackedConn is an accepted connection that counts towards the limit.
type trackedConn struct {
	net.Conn
	s         *Searcher
	delay     time.Duration // simulated cost of setting up a connection
	firstRead sync.Once
	closeOnce sync.Once
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	c.firstRead.Do(func() { time.Sleep(c.delay) })

	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.hangs() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (int, error) {
	if c.hangs() {
		return len(b), nil
	}

	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.closeOnce.Do(func() { c.s.untrack(c) })

	return c.Conn.Close()
}

// closedByPeer reports whether the peer has closed the connection, without consuming bytes from the socket.
func (c *trackedConn) closedByPeer() bool { return sockets.ClosedByPeer(c.Conn) }
