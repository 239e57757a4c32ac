package main

import (
	"net"
	"sync"
)

// gate holds the bytes of an executor's channels back while the executor is cut off.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // closed while bytes pass
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.open)
}

func (g *gate) await() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}

// gatedListener accepts channels through a gate.
type gatedListener struct {
	net.Listener
	gate *gate
}

// Accept returns the next channel.
func (l gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConn{conn, l.gate}, nil
}

type gatedConn struct {
	net.Conn
	gate *gate
}

// Read returns bytes that have passed the gate.
func (c gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.gate.await()
	return n, err
}

// Write sends bytes through the gate.
func (c gatedConn) Write(b []byte) (int, error) {
	c.gate.await()
	return c.Conn.Write(b)
}
