package caller

import (
	"io"
	"net"
	"time"
)

// Bounds on what is read and dropped after a request was refused before its end. A connection that is closed with
// bytes unread is reset, and the reset can destroy the refusal before the caller has read it.
const (
	lingerBytes = 16 << 20
	lingerTime  = 2 * time.Second
)

// lingeringListener lets its connections be closed without a reset.
type lingeringListener struct{ net.Listener }

// Accept waits for the next connection.
func (l lingeringListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingeringConn{Conn: c}, nil
}

// lingeringConn is used by one goroutine at a time, but for Close of an idle connection.
type lingeringConn struct {
	net.Conn
	linger bool
}

// Close ends the connection, after dropping what the caller still sends if linger is set.
func (c *lingeringConn) Close() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && c.linger {
		if half.CloseWrite() == nil && c.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
			_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
		}
	}
	return c.Conn.Close()
}
