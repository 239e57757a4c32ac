package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// simDialTimeout is the timeout of a connection between VMs, as in package peer.
const simDialTimeout = 200 * time.Millisecond

var errSimReset = errors.New("connection reset")

// simStream is one direction of a simulated connection. The lock of the simulation protects it.
type simStream struct {
	from, to *simProcess
	chunks   []simChunk
	silent   bool // nothing arrives any more, also no end
	ended    bool
	endedAt  time.Time
	err      error         // after the end; io.EOF or a reset
	changed  chan struct{} // closed by the next change
}

type simChunk struct {
	at   time.Time // arrival
	data []byte
}

func (s *simStream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *simStream) end(at time.Time, err error) {
	if !s.ended {
		s.ended, s.endedAt, s.err = true, at, err
		s.notify()
	}
}

// simConn is one side of a simulated connection between two VMs. Bytes on their way wait while the link is cut and while the
// process that reads them is stalled.
type simConn struct {
	sim           *simulation
	local         *simProcess
	in, out       *simStream
	closed        bool
	readDeadline  time.Time
	writeDeadline time.Time
}

func newSimConns(s *simulation, a, b *simProcess) (*simConn, *simConn) {
	forth := &simStream{from: a, to: b, changed: make(chan struct{})}
	back := &simStream{from: b, to: a, changed: make(chan struct{})}
	ca, cb := &simConn{sim: s, local: a, in: back, out: forth}, &simConn{sim: s, local: b, in: forth, out: back}
	a.conns[ca], b.conns[cb] = struct{}{}, struct{}{}
	return ca, cb
}

// simWait is what a reader waits for: a time, which may be zero, or a change.
type simWait struct {
	until   time.Time
	changed <-chan struct{}
}

// tryRead reads what has arrived; without bytes and an error it returns what to wait for.
func (c *simConn) tryRead(b []byte) (n int, wait simWait, err error) {
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	now := time.Now()
	if c.closed {
		return 0, simWait{}, net.ErrClosed
	}
	if stalled := c.local.stalledUntil; now.Before(stalled) {
		return 0, simWait{stalled, c.in.changed}, nil
	}
	expired := !c.readDeadline.IsZero() && !now.Before(c.readDeadline)
	if expired && c.sim.chance(0.5) {
		return 0, simWait{}, os.ErrDeadlineExceeded // the process finds both the bytes and the deadline
	}
	cut := c.sim.cuts[[2]string{c.in.from.machine.name, c.in.to.machine.name}]
	var ready time.Time
	switch {
	case c.in.silent:
	case len(c.in.chunks) > 0:
		ready = later(c.in.chunks[0].at, cut)
	case c.in.ended:
		ready = later(c.in.endedAt, cut)
	}
	if !ready.IsZero() && !now.Before(ready) {
		if len(c.in.chunks) == 0 {
			return 0, simWait{}, c.in.err
		}
		head := &c.in.chunks[0]
		n = copy(b, head.data)
		if head.data = head.data[n:]; len(head.data) == 0 {
			c.in.chunks = c.in.chunks[1:]
		}
		return n, simWait{}, nil
	}
	if expired {
		return 0, simWait{}, os.ErrDeadlineExceeded
	}
	until := c.readDeadline
	if until.IsZero() || !ready.IsZero() && ready.Before(until) {
		until = ready
	}
	return 0, simWait{until, c.in.changed}, nil
}

// Read waits for bytes.
func (c *simConn) Read(b []byte) (int, error) {
	for {
		n, wait, err := c.tryRead(b)
		if n > 0 || err != nil {
			return n, err
		}
		if wait.until.IsZero() {
			<-wait.changed
			continue
		}
		timer := time.NewTimer(time.Until(wait.until))
		select {
		case <-wait.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// Write sends bytes as soon as the process is not stalled.
func (c *simConn) Write(b []byte) (int, error) {
	if !c.local.awake() {
		return 0, net.ErrClosed
	}
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	now := time.Now()
	if c.closed || c.out.ended {
		return 0, net.ErrClosed
	}
	if !c.writeDeadline.IsZero() && now.After(c.writeDeadline) && c.sim.chance(0.5) {
		return 0, os.ErrDeadlineExceeded
	}
	at := c.local.sendAt(now, len(b)).Add(c.sim.latency(c.local.machine.zone, c.out.to.machine.zone))
	if last := len(c.out.chunks) - 1; last >= 0 {
		at = later(at, c.out.chunks[last].at)
	}
	c.out.chunks = append(c.out.chunks, simChunk{at: at, data: append([]byte(nil), b...)})
	c.out.notify()
	return len(b), nil
}

// Close closes the connection. The other side reads what was sent before.
func (c *simConn) Close() error {
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	c.closeLocked(!c.local.dead, io.EOF)
	return nil
}

// closeLocked closes the connection; the other side learns of it if tell is set.
func (c *simConn) closeLocked(tell bool, err error) {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.local.conns, c)
	if tell {
		at := time.Now().Add(time.Millisecond)
		if last := len(c.out.chunks) - 1; last >= 0 {
			at = later(at, c.out.chunks[last].at)
		}
		c.out.end(later(at, c.local.stalledUntil), err)
	} else {
		c.local.untold = append(c.local.untold, c.out)
	}
	c.in.notify()
}

// SetDeadline sets both deadlines.
func (c *simConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline limits the wait of Read.
func (c *simConn) SetReadDeadline(t time.Time) error {
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.readDeadline = t
	c.in.notify()
	return nil
}

// SetWriteDeadline limits the wait of Write.
func (c *simConn) SetWriteDeadline(t time.Time) error {
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	c.writeDeadline = t
	return nil
}

// LocalAddr returns the name of the VM.
func (c *simConn) LocalAddr() net.Addr { return simAddr(c.local.machine.name) }

// RemoteAddr returns the name of the other VM.
func (c *simConn) RemoteAddr() net.Addr { return simAddr(c.in.from.machine.name) }

type simAddr string

func (a simAddr) Network() string { return "sim" }
func (a simAddr) String() string  { return string(a) }

// simListener is a listener of a simulated VM.
type simListener struct {
	process *simProcess
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// listen opens a listener; only connections to peer addresses are ever made.
func (p *simProcess) listen(address string) (net.Listener, error) {
	l := &simListener{process: p, address: address, conns: make(chan net.Conn, 256), closed: make(chan struct{})}
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	p.sim.listeners[address] = l
	return l, nil
}

// Accept returns the next connection as soon as the process is not stalled.
func (l *simListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		l.process.awake()
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener.
func (l *simListener) Close() error {
	l.once.Do(func() {
		l.process.sim.mu.Lock()
		defer l.process.sim.mu.Unlock()
		if l.process.sim.listeners[l.address] == l {
			delete(l.process.sim.listeners, l.address)
		}
		close(l.closed)
	})
	return nil
}

// Addr returns the address of the listener.
func (l *simListener) Addr() net.Addr { return simAddr(l.address) }

// dial opens a connection to another VM.
func (p *simProcess) dial(ctx context.Context, address string) (net.Conn, error) {
	if !p.awake() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, simDialTimeout)
	defer cancel()
	for {
		pause(ctx, p.sim.latencyOf(p.machine.zone, p.machine.zone))
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if conn, err := p.connect(address); !errors.Is(err, errSimUnreachable) {
			return conn, err
		}
		pause(ctx, 20*time.Millisecond)
	}
}

// errSimUnreachable means that nothing answers an attempt to connect.
var errSimUnreachable = errors.New("no route to host")

// connect makes one attempt to connect.
func (p *simProcess) connect(address string) (net.Conn, error) {
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	m := p.sim.machineAt(address)
	now := time.Now()
	if p.dead || m.powerOff || now.Before(p.sim.cuts[[2]string{p.machine.name, m.name}]) || now.Before(p.sim.cuts[[2]string{m.name, p.machine.name}]) {
		return nil, errSimUnreachable
	}
	l := p.sim.listeners[address]
	if l == nil || l.process.dead {
		return nil, syscall.ECONNREFUSED
	}
	own, other := newSimConns(p.sim, p, l.process)
	select {
	case l.conns <- other:
		return own, nil
	default:
		return nil, errSimUnreachable // the backlog is full
	}
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
