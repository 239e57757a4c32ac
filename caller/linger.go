package caller

import (
	"io"
	"net"
	"time"
)

// Limits on the data that is read and discarded after a request was rejected before its end. Closing a connection with
// unread bytes resets it, and the reset can discard the response before the caller has read it.
const (
	maxLingerBytes = 16 << 20
	lingerTimeout  = 2 * time.Second
)

// lingeringListener accepts connections that can be closed without a reset.
type lingeringListener struct{ net.Listener }

// Accept waits for the next connection and wraps it in a lingeringConn.
func (l lingeringListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingeringConn{Conn: c}, nil
}

// lingeringConn is used by one goroutine at a time, except that Close may be called on an idle connection.
type lingeringConn struct {
	net.Conn
	linger bool
}

// Close closes the connection; if linger is set, it first discards what the caller still sends.
func (c *lingeringConn) Close() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && c.linger {
		if half.CloseWrite() == nil && c.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
			_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
		}
	}
	return c.Conn.Close()
}
