package sockets

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"fulmarfall/callerlimit"
)

// DefaultReadBuffer is the size of a connection's buffer in the process, into which a header has to fit.
const DefaultReadBuffer = 24 << 10

const (
	// bufferBytes is the size of a connection's receive and of its send buffer, of which the kernel uses twice as much. A
	// link of 20 Mbit/s fills 15 KB within the 6 ms of a round trip, so callers don't notice the bound.
	bufferBytes = 32 << 10
	// KernelBytes bounds what the kernel holds for a connection.
	KernelBytes = 4 * bufferBytes
	// unackedTimeout closes a connection whose peer takes none of the bytes sent to it, also after the process has closed it.
	unackedTimeout = 30 * time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 18
	// acceptRetryInterval is the pause after a failed accept, such as one without free descriptors.
	acceptRetryInterval = 20 * time.Millisecond
	// refusalTimeout bounds the time for writing a refusal to a caller.
	refusalTimeout = time.Second
	inspectPeriod  = 200 * time.Millisecond
	refusal        = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// Errors of reads on a guarded connection.
var (
	ErrEvicted       = errors.New("caller gave way to others")
	ErrTooManyFields = errors.New("too many header fields")
)

// Guard bounds what the callers of all listeners of a process use.
type Guard struct {
	Budget *callerlimit.Budget
	// MaxFields is the number of header fields that a request may have; 0 means that only their memory counts.
	MaxFields int
	// Refused is called for each connection or request that has to give way.
	Refused func(reason callerlimit.Reason, caller net.Addr)
	// Observe is called a few times a second with what the callers use.
	Observe func(bytes int64, connections int)
}

// Start inspects the buffers of connections until the returned function is called.
func (g *Guard) Start() func() error {
	done := make(chan struct{})

	go func() {
		ticker := time.NewTicker(inspectPeriod)
		defer ticker.Stop()

		for {
			select {
			case <-done:
				return
			case now := <-ticker.C:
				g.Budget.Inspect(KernelBytes, now, func(s callerlimit.Socket) int64 { return queuedBytes(s.(*GuardedConn).TCPConn) })
				g.Observe(g.Budget.Used())
			}
		}
	}()

	return func() error { close(done); return nil }
}

// Listen listens on an address. A nil guard bounds nothing.
func (g *Guard) Listen(addr string) (net.Listener, error) {
	if g == nil {
		return net.Listen("tcp", addr) //nolint:noctx // Listening on an IP address needs no DNS lookup.
	}

	// Accepted connections inherit the options, and the receive buffer has to be set before the handshake.
	cfg := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error

		ctlErr := raw.Control(func(fd uintptr) {
			err = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bufferBytes),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, bufferBytes),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds())),
			)
		})

		return errors.Join(ctlErr, err)
	}}

	ln, err := cfg.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}

	return &guardedListener{Listener: ln, guard: g}, nil
}

type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection that the budget has room for. Lack of descriptors doesn't end the listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()

		switch {
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ENOBUFS), errors.Is(err, syscall.ENOMEM):
			l.guard.Refused(callerlimit.ReasonConnections, l.Addr())
			time.Sleep(acceptRetryInterval)

			continue
		case err != nil:
			return nil, err
		}

		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return nil, errNotSocket
		}

		var (
			now     = time.Now()
			address netip.Addr
		)

		if a, ok := tcp.RemoteAddr().(*net.TCPAddr); ok {
			address = a.AddrPort().Addr()
		}

		guarded := &GuardedConn{TCPConn: tcp, guard: l.guard, readBuffer: DefaultReadBuffer}

		account, reason := l.guard.Budget.Open(guarded, address, now)
		if account != nil {
			guarded.account = account

			return guarded, nil
		}

		l.guard.Refused(reason, tcp.RemoteAddr())

		// The caller may already be gone.
		_ = tcp.SetWriteDeadline(now.Add(refusalTimeout))
		_, _ = io.WriteString(tcp, refusal)
		_ = tcp.Close()
	}
}

// GuardedConn is an accepted connection whose requests and responses are accounted for. One goroutine serves it.
type GuardedConn struct {
	*net.TCPConn
	guard   *Guard
	account *callerlimit.Connection
	lines   callerlimit.HeaderLines
	// expectsHeader is set until the header of the current request has been read.
	expectsHeader bool
	// expectsTrailer is set while a body is read that fields may follow. Its own lines count as theirs.
	expectsTrailer bool
	readBuffer     int
	headerCost     int64
	readErr        error // of the guard, not of the connection
	evicted        atomic.Bool
	aborted        atomic.Bool
	writeFailed    atomic.Bool
}

var _ callerlimit.Socket = (*GuardedConn)(nil)

// Evict implements callerlimit.Socket. A request that is being read ends with ErrEvicted, so that it can still be refused.
func (c *GuardedConn) Evict(p callerlimit.Phase, reason callerlimit.Reason) {
	c.evicted.Store(true)
	c.guard.Refused(reason, c.RemoteAddr())

	// Errors mean that the connection is closed already.
	if p == callerlimit.Reading {
		_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
		_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))

		return
	}

	// A close without linger discards what the kernel holds. The goroutine that serves the connection closes it, because Close waits
	// for the end of reads and writes.
	c.aborted.Store(true)

	_ = c.SetLinger(0)
	_ = c.SetDeadline(time.Unix(1, 0))
}

// SetWriteDeadline keeps the deadline of a connection that is being closed.
func (c *GuardedConn) SetWriteDeadline(t time.Time) error {
	err := c.TCPConn.SetWriteDeadline(t)
	if c.aborted.Load() {
		err = c.TCPConn.SetWriteDeadline(time.Unix(1, 0))
	}

	return err
}

// SetReadDeadline keeps the deadline of a connection that has to give way.
func (c *GuardedConn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	if c.evicted.Load() {
		err = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
	}

	return err
}

// Read accounts for the fields of a header before it is parsed.
func (c *GuardedConn) Read(b []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}

	n, err := c.TCPConn.Read(b)

	switch {
	case n <= 0:
	case c.expectsHeader:
		c.lines.Add(b[:n])
		c.readErr = c.reserveFields()
	case c.expectsTrailer:
		c.lines.AddTrailer(b[:n], callerlimit.MaxTrailerLines(c.readBuffer))
		c.readErr = c.reserveFields()
	}

	switch {
	case c.evicted.Load():
		c.readErr = ErrEvicted

		return 0, c.readErr
	case c.readErr != nil:
		return 0, c.readErr
	}

	return n, err
}

// reserveFields reserves memory for the lines of the current header.
func (c *GuardedConn) reserveFields() error {
	// The request line and the empty line are no fields.
	if most := c.guard.MaxFields; most > 0 && c.lines.Lines > most+2 {
		return ErrTooManyFields
	}

	more := callerlimit.FieldsCost(c.lines.Lines+c.lines.Carried+c.lines.Trailer) - c.headerCost
	if more <= 0 {
		return nil
	}

	if !c.Reserve(more) {
		return ErrEvicted
	}

	c.headerCost += more

	return nil
}

// Write notes failed writes, after which unsent bytes are of no use.
func (c *GuardedConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if err != nil {
		c.writeFailed.Store(true)
	}

	return n, err
}

// Close ends the account of the connection.
func (c *GuardedConn) Close() error {
	c.account.Close()

	if c.writeFailed.Load() {
		_ = c.SetLinger(0) // fails if the connection is closed already
	}

	return c.TCPConn.Close()
}

// Err returns the guard's error of the last read.
func (c *GuardedConn) Err() error {
	if c.readErr == nil && c.evicted.Load() {
		return ErrEvicted
	}

	return c.readErr
}

// Begin records the start of a request, whose header may have arrived with the previous one.
func (c *GuardedConn) Begin() {
	c.account.SetPhase(callerlimit.Reading, time.Now())

	if err := c.reserveFields(); err != nil {
		c.readErr = err
	}
}

// Expect records that the connection waits for the next request.
func (c *GuardedConn) Expect() {
	c.account.SetPhase(callerlimit.Idle, time.Now())
	c.lines.Next()
	c.expectsHeader, c.expectsTrailer, c.headerCost = true, false, 0
}

// HeaderRead records that the header of the current request has been read and has a number of fields. It reports whether the
// request may go on.
func (c *GuardedConn) HeaderRead(fields int) bool {
	c.expectsHeader = false
	c.lines.Lines = max(c.lines.Lines, fields)

	if c.readErr == nil {
		c.readErr = c.reserveFields()
	}

	return c.readErr == nil && !c.evicted.Load()
}

// ReadsChunks records that the request has a body that fields may follow.
func (c *GuardedConn) ReadsChunks() error {
	c.expectsTrailer = true
	c.lines.StartTrailer(callerlimit.MaxTrailerLines(c.readBuffer))

	return c.reserveFields()
}

// BodyRead records that the request had a body, which has been read. It returns the number of lines that may have been fields after
// the body.
func (c *GuardedConn) BodyRead() int {
	c.expectsTrailer = false
	c.lines.EndBody()

	return c.lines.Trailer
}

// Reserve reserves n bytes for the current request and reports whether it may go on.
func (c *GuardedConn) Reserve(n int64) bool {
	if c.account.Reserve(n, time.Now()) {
		return true
	}

	if !c.evicted.Swap(true) {
		c.guard.Refused(callerlimit.ReasonMemory, c.RemoteAddr())
	}

	return false
}

// EnlargeReadBuffer records that the read buffer of the connection has n bytes more than DefaultReadBuffer.
func (c *GuardedConn) EnlargeReadBuffer(n int) {
	c.readBuffer += n
	c.account.Hold(int64(n))
}

// Release returns n bytes of the current request.
func (c *GuardedConn) Release(n int64) { c.account.Release(n) }

// Run records that the request is passed on, and reports whether it may be.
func (c *GuardedConn) Run() bool {
	c.account.SetPhase(callerlimit.Running, time.Now())

	return !c.evicted.Load()
}

// Respond records that a response of n bytes is written.
func (c *GuardedConn) Respond(n int64) {
	now := time.Now()

	c.account.SetPhase(callerlimit.Writing, now)

	if n > callerlimit.SmallBytes {
		c.account.Charge(n, now)
	}
}

// queuedBytes returns the bytes that the kernel holds for a connection: received ones that are unread, and sent ones that are not
// acknowledged.
func queuedBytes(c *net.TCPConn) int64 {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}

	var total int64

	// An error means that the connection is closed.
	_ = raw.Control(func(fd uintptr) {
		for _, request := range []uintptr{syscall.TIOCINQ, syscall.TIOCOUTQ} {
			var n int32

			if _, _, errno := syscall.Syscall(syscall.SYS_IOCTL, fd, request, uintptr(unsafe.Pointer(&n))); errno == 0 { //nolint:gosec // The call writes an int.
				total += int64(n)
			}
		}
	})

	return total
}
