package gateway

import (
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"samphireplank.example/samphireplank/intake"
	"samphireplank.example/samphireplank/peer"
)

// connLimiter admits the connections of one listener.
type connLimiter struct {
	name     string
	refusals *refusalMeter

	mu          sync.Mutex
	connections *intake.Connections
	conns       map[uint64]*watchedConn
	lastID      uint64
}

func newConnLimiter(name string, config intake.ConnectionsConfig, refusals *refusalMeter) *connLimiter {
	return &connLimiter{name: name, refusals: refusals, connections: intake.NewConnections(config), conns: map[uint64]*watchedConn{}}
}

// serviceListener limits the connections to a listener that is not for clients.
func (g *Gateway) serviceListener(listener net.Listener, name string) net.Listener {
	n := g.limits.ServiceConnections
	return admittedListener{Listener: listener, g: g, limiter: newConnLimiter(name, intake.ConnectionsConfig{Total: n, PerClient: n}, g.refusals)}
}

// open admits a connection, if need be in place of another one, which it closes.
func (l *connLimiter) open(c *watchedConn) bool {
	l.mu.Lock()
	l.lastID++
	c.id, c.state = l.lastID, intake.Idle
	a := l.connections.Open(c.id, c.client, time.Now())
	evicted := l.conns[a.Evicted]
	delete(l.conns, a.Evicted)
	if a.Admitted {
		l.conns[c.id] = c
	}
	l.mu.Unlock()
	switch {
	case !a.Admitted:
		l.refusals.note(refusal(l.name+"-connections"), c.client)
	case evicted != nil && a.EvictedState == intake.Reading:
		l.refusals.note(refusal(l.name+"-evicted-reading"), evicted.client)
	case evicted != nil:
		l.refusals.note(refusal(l.name+"-evicted-idle"), evicted.client)
	}
	if evicted != nil {
		_ = evicted.Conn.Close() // the goroutine that serves it gets the error
	}
	return a.Admitted
}

// setState records the state of a connection; false means that it was evicted.
func (l *connLimiter) setState(c *watchedConn, state intake.State) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connections.SetState(c.id, state, time.Now())
}

func (l *connLimiter) close(c *watchedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections.Close(c.id)
	delete(l.conns, c.id)
}

func (l *connLimiter) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connections.Len()
}

// clientAddress returns the address of the client of a connection without its port.
func clientAddress(conn net.Conn) netip.Addr {
	return addressOf(conn.RemoteAddr())
}

func addressOf(remote net.Addr) netip.Addr {
	if a, ok := remote.(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// refusal names why a connection or a request of a client was refused.
type refusal string

// The refusals of requests; those of connections are named after their listener.
const (
	refusedBodySize   refusal = "body-size"
	refusedBodyBudget refusal = "body-budget"
	refusedBodyBroken refusal = "body-incomplete"
	refusedHeader     refusal = "header-size"
	refusedTime       refusal = "read-timeout"
	refusedSyntax     refusal = "malformed"
)

// refusalMeter counts refusals. Refusals since the last log line are logged together, so that a crowd of clients doesn't
// fill the log.
type refusalMeter struct {
	meter *meter

	mu     sync.Mutex
	recent map[refusal]int
	last   netip.Addr
}

func (m *refusalMeter) note(r refusal, client netip.Addr) {
	m.meter.recordRefusal(string(r))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recent[r]++
	m.last = client
}

// logRefusals logs the refusals since its last call, if there are any.
func (g *Gateway) logRefusals() {
	m := g.refusals
	m.mu.Lock()
	recent, last := m.recent, m.last
	m.recent = map[refusal]int{}
	m.mu.Unlock()
	if len(recent) == 0 {
		return
	}
	names := make([]refusal, 0, len(recent))
	for r := range recent {
		names = append(names, r)
	}
	slices.Sort(names)
	line := g.log.Warn().Str("event", "client-refusals").Stringer("last-client", last)
	for _, r := range names {
		line = line.Int(string(r), recent[r])
	}
	line.Msg("connections and requests were refused or closed, by reason")
}

// reserveMessage reserves memory for a long message of another VM.
func (g *Gateway) reserveMessage(_ string, bytes int) bool {
	return g.messages.extend(intake.Extension{Wanted: int64(bytes), Limit: g.limits.MessageBytes}) == intake.Granted
}

// releaseMessage returns the memory of a long message.
func (g *Gateway) releaseMessage(_ string, bytes int) {
	g.messages.release(netip.Addr{}, int64(bytes))
}

// notePeerRefusal counts a connection of another VM, or of a client in its place, that was refused or closed for a limit.
func (g *Gateway) notePeerRefusal(remote net.Addr, err error) {
	reason := refusal("link-handshake")
	switch {
	case errors.Is(err, peer.ErrTooManyConnections):
		reason = "link-connections"
	case errors.Is(err, peer.ErrFrameTooLong):
		reason = "link-message-size"
	case errors.Is(err, peer.ErrNoMemory):
		reason = "link-message-budget"
	}
	g.refusals.note(reason, addressOf(remote))
}
