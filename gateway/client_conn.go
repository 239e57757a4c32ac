package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"samphireplank.example/samphireplank/intake"
	"samphireplank.example/samphireplank/traffic"
)

// watchedListener admits and wraps connections of callers, so that the disconnect of a caller is detected while its
// request is in progress.
type watchedListener struct {
	net.Listener
	g *Gateway
}

// Accept returns the next connection.
func (l watchedListener) Accept() (net.Conn, error) {
	return admittedListener{Listener: l.Listener, g: l.g, limiter: l.g.callers, meter: l.g.config.Traffic}.Accept()
}

// admittedListener admits connections by the limits of one listener and closes those that make room for them.
type admittedListener struct {
	net.Listener
	g       *Gateway
	limiter *connLimiter
	meter   *traffic.Meter // nil to leave the bytes uncounted
}

// Accept returns the next admitted connection.
func (l admittedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &watchedConn{Conn: traffic.MeteredConn{Conn: conn, Meter: l.meter, Purpose: "callers"}, g: l.g, limiter: l.limiter, client: clientAddress(conn)}
		if tcp, ok := conn.(syscall.Conn); ok {
			if raw, err := tcp.SyscallConn(); err == nil {
				c.raw = raw
			}
		}
		if !l.limiter.open(c) {
			_ = conn.Close() // refused, and counted
			continue
		}
		c.deadline = time.Now().Add(l.g.requestLimits().idleTimeout)
		return c, nil
	}
}

// watchedConn is a connection with one byte of read-ahead. It sets its own read deadlines, by its state and the
// operators' limits.
type watchedConn struct {
	net.Conn
	g       *Gateway
	limiter *connLimiter
	id      uint64
	client  netip.Addr
	raw     syscall.RawConn // nil if the connection has none

	// These belong to the goroutine that serves the connection.
	state   intake.State
	refused refusal // of the present request, by its header
	// deadline is the read deadline that was requested, and applied the one that is in force. It is put in force by the
	// next read, which most of the requested ones never see.
	deadline, applied time.Time

	// linger means that the client may still send when the connection is closed. A shutdown closes idle connections from another
	// goroutine.
	linger atomic.Bool

	mu        sync.Mutex
	readAhead []byte
	err       error
}

const (
	// lingerTimeout and lingerBytes limit how long and how much is discarded after a refusal in mid-body. A connection that
	// is closed with unread bytes is reset, which can discard the response before the client has read it.
	lingerTimeout = time.Second
	lingerBytes   = 4 << 20
)

// Close closes the connection, after what the client still sends if its request was refused.
func (c *watchedConn) Close() error {
	defer c.limiter.close(c)
	if half, ok := c.Conn.(traffic.MeteredConn).Conn.(interface{ CloseWrite() error }); ok && c.linger.Swap(false) {
		c.limiter.setState(c, intake.Idle) // makes room first
		if half.CloseWrite() == nil && c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
			_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // ends with any error
		}
	}
	return c.Conn.Close()
}

// past is a deadline by which pending and later reads end at once.
var past = time.Unix(1, 0)

// SetReadDeadline sets the deadline of an idle connection or of a body. It ignores the removal of a deadline, which the
// server requests for a header after an idle time.
func (c *watchedConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		return nil
	}
	c.deadline = t
	switch left := time.Until(t); {
	case c.state == intake.Idle:
		c.deadline = time.Now().Add(c.g.requestLimits().idleTimeout)
	case left > bodyRefusedTimeout-time.Hour:
		c.refused, c.deadline = refusedBodySize, past
	case left > headerRefusedTimeout-time.Hour:
		c.refused, c.deadline = refusedHeader, past
	}
	return nil
}

// trackState records the state of a connection and begins the time for the header of a request.
func trackState(conn net.Conn, state fasthttp.ConnState) {
	c, ok := conn.(*watchedConn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		c.state, c.refused = intake.Reading, ""
		c.deadline = time.Now().Add(c.g.requestLimits().headerTimeout)
	case fasthttp.StateIdle:
		c.state = intake.Idle
	default:
		return
	}
	c.linger.Store(false) // the body of the former request has been discarded
	c.limiter.setState(c, c.state)
}

// Read returns the byte read ahead before further input.
func (c *watchedConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	if len(c.readAhead) > 0 && len(b) > 0 {
		n := copy(b, c.readAhead)
		c.readAhead = c.readAhead[n:]
		c.mu.Unlock()
		return n, nil
	}
	err := c.err
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if !c.deadline.Equal(c.applied) {
		if err := c.Conn.SetReadDeadline(c.deadline); err != nil {
			return 0, err
		}
		c.applied = c.deadline
	}
	return c.Conn.Read(b)
}

// isClosed reports whether the caller is known to have closed the connection, without waiting.
func (c *watchedConn) isClosed() bool {
	if c.raw == nil {
		return false
	}
	one := make([]byte, 1)
	n, failed := 0, error(nil)
	if err := c.raw.Read(func(fd uintptr) bool {
		n, failed = unix.Read(int(fd), one)
		return true // also if there is nothing to read
	}); err != nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAhead = append(c.readAhead, one[:max(n, 0)]...)
	return n == 0 && failed == nil || errors.Is(failed, unix.ECONNRESET)
}

// sinceReceived returns how long ago the kernel received the last bytes of the caller, 0 if that is unknown.
func (c *watchedConn) sinceReceived() time.Duration {
	if c.raw == nil {
		return 0
	}
	since := time.Duration(0)
	if err := c.raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	}); err != nil {
		return 0
	}
	return since
}

// Waited returns how long a request has waited in its socket until now, 0 if that is unknown.
func (g *Gateway) Waited(rc *fasthttp.RequestCtx) time.Duration {
	if c, ok := rc.Conn().(*watchedConn); ok {
		return c.sinceReceived()
	}
	return 0
}

// Watch returns a context that ends when the caller of a request disconnects; stop must be called before the response
// is sent. The body must have been read.
func (g *Gateway) Watch(rc *fasthttp.RequestCtx) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancel(g.ctx)
	c, ok := rc.Conn().(*watchedConn)
	if !ok {
		return ctx, cancel
	}
	done := make(chan struct{})
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		return ctx, cancel
	}
	c.applied = time.Time{}
	if c.isClosed() {
		cancel() // before the job is submitted
		return ctx, cancel
	}
	g.background(g.ctx, func(context.Context) {
		defer close(done)
		one := make([]byte, 1)
		n, err := c.Conn.Read(one)
		var timeout net.Error
		if err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()) {
			cancel()
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.readAhead = append(c.readAhead, one[:n]...)
		if ctx.Err() != nil && err != nil {
			c.err = err
		}
	})
	return ctx, func() {
		_ = c.Conn.SetReadDeadline(past) // ends the pending read; the read of a closed connection has already ended
		<-done
		_ = c.Conn.SetReadDeadline(time.Time{})
		c.applied = time.Time{}
		cancel()
	}
}
