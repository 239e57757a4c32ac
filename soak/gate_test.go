package soak

import (
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// gate is a loopback proxy that can delay, silence, cut one way and reset the connections through it.
type gate struct {
	listener net.Listener
	target   string
	group    errgroup.Group

	mu    sync.Mutex
	delay time.Duration
	forth bool // bytes to the target are held back
	back  bool // bytes from the target are held back
	conns map[net.Conn]struct{}
}

func newGate(target string) (*gate, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
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
		g.mu.Lock()
		g.conns[near], g.conns[far] = struct{}{}, struct{}{}
		g.mu.Unlock()
		g.group.Go(func() error { g.copy(far, near, &g.forth); return nil })
		g.group.Go(func() error { g.copy(near, far, &g.back); return nil })
	}
}

func (g *gate) copy(to, from net.Conn, held *bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		g.mu.Lock()
		delay := g.delay
		for *held {
			g.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			g.mu.Lock()
		}
		g.mu.Unlock()
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
	delete(g.conns, to)
	delete(g.conns, from)
	g.mu.Unlock()
	_, _ = to.Close(), from.Close()
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
	g.set(0, false, false)
	g.reset()
	return errors.Join(err, g.group.Wait())
}
