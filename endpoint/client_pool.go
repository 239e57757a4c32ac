package endpoint

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// errNoConnection reports that all connections to the endpoint stayed in use until the acquire timeout.
var errNoConnection = errors.New("no connection to the endpoint is free")

// errPoolRemoved reports that the pool was removed from the client before a connection was reserved.
var errPoolRemoved = errors.New("connection pool removed")

// pool holds the connections to one endpoint. Since a connection is opened only if none is idle, connections in use and
// idle ones together stay within maxConnections.
type pool struct {
	config         *ClientConfig
	mu             sync.Mutex
	idle           []*conn // most recently used last
	inUse          int
	maxConnections int           // from the latest request
	maxIdleTime    time.Duration // idle time after which a connection is closed
	waiters        []chan struct{}
	removed        bool // removed from the client
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
		p = &pool{config: &c.config, maxConnections: DefaultMaxConnections, maxIdleTime: maxReuseAge(DefaultIdleTimeout)}
		c.pools[address] = p
	}
	return p
}

// maxReuseAge returns three quarters of the endpoint's idle timeout: the endpoint's timer starts earlier than ours by
// the transit time of the answer, and a request sent at the end of the timeout would meet a closing connection.
func maxReuseAge(idleTimeout time.Duration) time.Duration { return idleTimeout * 3 / 4 }

// acquire reserves a connection in the pool of the address; if the pool was removed meanwhile, it retries with a new
// one.
func (c *Client) acquire(ctx context.Context, r Request, deadline time.Time) (*pool, *conn, error) {
	for {
		p := c.pool(r.Address)
		cn, err := p.acquire(ctx, r, deadline)
		if !errors.Is(err, errPoolRemoved) {
			return p, cn, err
		}
	}
}

// acquire returns an idle connection that is still open, or opens one. If it fails, nothing was sent.
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

// reserve counts one more connection as in use; at maxConnections it waits for a release, up to AcquireTimeout.
func (p *pool) reserve(ctx context.Context, r Request, deadline time.Time) error {
	p.mu.Lock()
	if p.removed {
		p.mu.Unlock()
		return errPoolRemoved
	}
	if r.MaxConnections > 0 {
		p.maxConnections = r.MaxConnections
	}
	if r.IdleTimeout > 0 {
		p.maxIdleTime = maxReuseAge(r.IdleTimeout)
	}
	if p.inUse < p.maxConnections {
		p.inUse++
		p.mu.Unlock()
		return nil
	}
	if p.config.AcquireTimeout <= 0 {
		p.mu.Unlock()
		return errNoConnection
	}
	turn := make(chan struct{}, 1)
	p.waiters = append(p.waiters, turn)
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
	for i, other := range p.waiters {
		if other == turn {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return err
		}
	}
	return nil // a release granted the turn at the same time; use it
}

// pop closes connections that reached maxIdleTime and returns the most recently used of the others, or nil.
func (p *pool) pop() *conn {
	now := p.config.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evictIdle(now)
	if len(p.idle) == 0 {
		return nil
	}
	cn := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return cn
}

func (p *pool) evictIdle(now time.Time) {
	old := 0
	for old < len(p.idle) && now.Sub(p.idle[old].idleSince) >= p.maxIdleTime {
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

// release returns a connection after use: it becomes idle if keep is set, else it is closed. The next waiter gets its
// place.
func (p *pool) release(cn *conn, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	keep = keep && len(p.idle)+p.inUse <= p.maxConnections
	if cn != nil && !keep {
		_ = cn.net.Close()
	}
	if keep {
		cn.idleSince = p.config.Now()
		p.idle = append(p.idle, cn)
	}
	if len(p.waiters) > 0 && p.inUse <= p.maxConnections {
		p.waiters[0] <- struct{}{}
		p.waiters = p.waiters[1:]
		return
	}
	p.inUse--
}

// CloseIdleConnections closes connections that reached their idle timeout and removes the pools of endpoints without
// connections. Call it about once a second.
func (c *Client) CloseIdleConnections() {
	now := c.config.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.pools {
		p.mu.Lock()
		p.evictIdle(now)
		p.removed = p.inUse == 0 && len(p.idle) == 0
		if p.removed {
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
