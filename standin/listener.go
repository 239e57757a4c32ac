package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// listener bounds the number of connections and closes them when the endpoint dies.
type listener struct {
	net.Listener
	limit   int
	refused atomic.Uint64
	deaf    atomic.Bool // connections are reset without reading

	mu     sync.Mutex
	open   map[*conn]struct{}
	most   int
	closed bool
}

func newListener(inner net.Listener, limit int) *listener {
	return &listener{Listener: inner, limit: limit, open: map[*conn]struct{}{}}
}

// Accept returns the next connection within the limit; others are closed at once.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, listener: l}
		if !l.deaf.Load() && l.add(c) {
			return c, nil
		}
		l.refused.Add(1)
		reset(inner)
	}
}

func (l *listener) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.limit > 0 && len(l.open) >= l.limit {
		return false
	}
	l.open[c] = struct{}{}
	l.most = max(l.most, len(l.open))
	return true
}

// kill closes the listener and resets all connections.
func (l *listener) kill() {
	_ = l.Close()
	l.mu.Lock()
	l.closed = true
	open := make([]*conn, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		reset(c.Conn)
	}
}

func (l *listener) counts() (open, most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open), l.most
}

// conn is a connection that its listener counts.
type conn struct {
	net.Conn
	listener *listener
}

// Read fails while the endpoint closes connections before reading.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if c.listener.deaf.Load() {
		reset(c.Conn)
		return 0, io.EOF
	}
	return n, err
}

// Close closes the connection and makes room for another one.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// reset closes a connection so that the peer sees a reset instead of the end of the stream.
func reset(c net.Conn) {
	if tcp, isTCP := c.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
