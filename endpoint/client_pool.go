package endpoint

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// errNoConnection means that all connections to the endpoint were in use for as long as the sender could wait.
var errNoConnection = errors.New("no connection to the endpoint is free")

// errPoolGone means that the pool was removed from the client before a connection was reserved.
var errPoolGone = errors.New("connection pool removed")

// pool holds the connections to one endpoint. Connections in use and idle ones together stay within the bound, since
// a connection is opened only when no idle one is left.
type pool struct {
	config *ClientConfig
	mu     sync.Mutex
	idle   []*conn // the most recently used last
	inUse  int
	bound  int           // most connections, from the latest request
	limit  time.Duration // longest idle time before a connection is dropped
	queue  []chan struct{}
	gone   bool // removed from the client
}

func (c *Client) pool(address string) *pool {
	c.mu.RLock()
	p := c.pools[address]
	c.mu.RUnlock()
	if p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p = c.pools[address]; p == nil {
		p = &pool{config: &c.config, bound: DefaultMaxConnections, limit: reuseLimit(DefaultIdleTimeout)}
		c.pools[address] = p
	}
	return p
}

// reuseLimit is three quarters of the endpoint's idle limit: its clock starts earlier than ours by the way of the
// answer, and a request that is sent at the very end of the limit meets a closing connection.
func reuseLimit(idleTimeout time.Duration) time.Duration { return idleTimeout * 3 / 4 }

// acquire reserves a connection in the pool of the address; a pool that was removed meanwhile is looked up again.
func (c *Client) acquire(ctx context.Context, r Request, deadline time.Time) (*pool, *conn, error) {
	for {
		p := c.pool(r.Address)
		cn, err := p.acquire(ctx, r, deadline)
		if !errors.Is(err, errPoolGone) {
			return p, cn, err
		}
	}
}

// acquire returns an idle connection that is still open, or opens one; nothing has been sent when it fails.
func (p *pool) acquire(ctx context.Context, r Request, deadline time.Time) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if err := p.reserve(ctx, r, deadline); err != nil {
		return nil, err
	}
	for {
		cn := p.pop()
		if cn == nil {
			break
		}
		if cn.alive() {
			return cn, nil
		}
		_ = cn.net.Close()
	}
	cn, err := p.dial(ctx, r.Address, deadline)
	if err != nil {
		p.release(nil, false)
		return nil, err
	}
	return cn, nil
}

// reserve counts one more connection as in use, and waits for one to be released when the bound is reached.
func (p *pool) reserve(ctx context.Context, r Request, deadline time.Time) error {
	p.mu.Lock()
	if p.gone {
		p.mu.Unlock()
		return errPoolGone
	}
	if r.MaxConnections > 0 {
		p.bound = r.MaxConnections
	}
	if r.IdleTimeout > 0 {
		p.limit = reuseLimit(r.IdleTimeout)
	}
	if p.inUse < p.bound {
		p.inUse++
		p.mu.Unlock()
		return nil
	}
	if p.config.AcquireTimeout <= 0 {
		p.mu.Unlock()
		return errNoConnection
	}
	turn := make(chan struct{}, 1)
	p.queue = append(p.queue, turn)
	p.mu.Unlock()
	return p.wait(ctx, turn, min(p.config.AcquireTimeout, time.Until(deadline)))
}

func (p *pool) wait(ctx context.Context, turn chan struct{}, longest time.Duration) error {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	err := errNoConnection
	select {
	case <-turn:
		return nil
	case <-timer.C:
	case <-ctx.Done():
		err = ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.queue {
		if other == turn {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			return err
		}
	}
	return nil // the turn came at the same moment and is used
}

// pop returns the most recently used idle connection that is young enough, and closes those that are too old.
func (p *pool) pop() *conn {
	now := p.config.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropOld(now)
	if len(p.idle) == 0 {
		return nil
	}
	cn := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return cn
}

func (p *pool) dropOld(now time.Time) {
	old := 0
	for old < len(p.idle) && now.Sub(p.idle[old].idleSince) >= p.limit {
		_ = p.idle[old].net.Close()
		old++
	}
	if old > 0 {
		p.idle = append(p.idle[:0], p.idle[old:]...)
	}
}

func (p *pool) dial(ctx context.Context, address string, deadline time.Time) (*conn, error) {
	if limit := time.Now().Add(p.config.DialTimeout); limit.Before(deadline) {
		deadline = limit
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c, err := p.config.Dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("connect to endpoint: %w", err)
	}
	return newConn(c, p.config.MaxHeaderSize), nil
}

// release ends the use of a connection, keeps it if asked to, and lets the next sender have its place.
func (p *pool) release(cn *conn, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	keep = keep && len(p.idle)+p.inUse <= p.bound
	if cn != nil && !keep {
		_ = cn.net.Close()
	}
	if keep {
		cn.idleSince = p.config.Now()
		p.idle = append(p.idle, cn)
	}
	if len(p.queue) > 0 && p.inUse <= p.bound {
		p.queue[0] <- struct{}{}
		p.queue = p.queue[1:]
		return
	}
	p.inUse--
}

// CloseIdleConnections closes connections that reached their idle limit and forgets endpoints without connections; call it
// about once a second.
func (c *Client) CloseIdleConnections() {
	now := c.config.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.pools {
		p.mu.Lock()
		p.dropOld(now)
		p.gone = p.inUse == 0 && len(p.idle) == 0
		if p.gone {
			delete(c.pools, address)
		}
		p.mu.Unlock()
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.mu.Lock()
		for _, cn := range p.idle {
			_ = cn.net.Close()
		}
		p.idle = nil
		p.mu.Unlock()
	}
}

// Connections returns the number of open connections to an endpoint, in use and idle.
func (c *Client) Connections(address string) (inUse, idle int) {
	p := c.pool(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse, len(p.idle)
}
