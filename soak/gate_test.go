package soak

import (
	"errors"
	"net"
	"regexp"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// gate is a loopback proxy that can delay, silence, cut one way, reject and reset the connections through it.
type gate struct {
	listener net.Listener
	target   string
	cut      func(vm string, forth bool) bool // says whether the bytes of a VM's connection are held back; nil for none
	group    errgroup.Group

	mu     sync.Mutex
	delay  time.Duration
	forth  bool // bytes to the target are held back
	back   bool // bytes from the target are held back
	reject bool // requests are answered with 503
	closed bool
	conns  map[net.Conn]struct{}
}

// passage is one connection through a gate.
type passage struct {
	near, far net.Conn
	vm        string // that opened it, known from its Hello, if the gate has a cut
	over      bool
}

func newGate(address, target string, cut func(vm string, forth bool) bool) (*gate, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	g := &gate{listener: listener, target: target, cut: cut, conns: map[net.Conn]struct{}{}}
	g.group.Go(g.accept)
	return g, nil
}

func (g *gate) address() string { return g.listener.Addr().String() }

func (g *gate) accept() error {
	for {
		near, err := g.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		far, err := net.Dial("tcp4", g.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &passage{near: near, far: far}
		g.mu.Lock()
		g.conns[near], g.conns[far] = struct{}{}, struct{}{}
		g.mu.Unlock()
		g.group.Go(func() error { g.copy(p, far, near); return nil })
		g.group.Go(func() error { g.copy(p, near, far); return nil })
	}
}

// held says whether bytes are held back; the caller holds the lock.
func (g *gate) held(p *passage, forth bool) bool {
	switch {
	case g.closed || p.over:
		return false
	case g.cut != nil && p.vm == "":
		return true // no answer before the caller is known
	case g.cut != nil && g.cut(p.vm, forth):
		return true
	}
	return forth && g.forth || !forth && g.back
}

var vmName = regexp.MustCompile(`vm-\d+`)

const rejection = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

func (g *gate) copy(p *passage, to, from net.Conn) {
	buffer, forth := make([]byte, 32<<10), from == p.near
	for {
		n, err := from.Read(buffer)
		g.mu.Lock()
		if forth && p.vm == "" {
			p.vm = string(vmName.Find(buffer[:n]))
		}
		for g.held(p, forth) {
			g.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			g.mu.Lock()
		}
		delay, reject := g.delay, g.reject && forth && n > 0
		g.mu.Unlock()
		if reject {
			_, _ = from.Write([]byte(rejection))
			break
		}
		time.Sleep(delay)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	g.mu.Lock()
	p.over = true
	delete(g.conns, to)
	delete(g.conns, from)
	g.mu.Unlock()
	_, _ = to.Close(), from.Close()
}

// setReject switches the rejection of requests.
func (g *gate) setReject(reject bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reject = reject
}

func (g *gate) set(delay time.Duration, forth, back bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delay, g.forth, g.back = delay, forth, back
}

// reset breaks all connections.
func (g *gate) reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (g *gate) close() error {
	err := g.listener.Close()
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.reset()
	return errors.Join(err, g.group.Wait())
}
