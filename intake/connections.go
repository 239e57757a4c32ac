package intake

import (
	"net/netip"
	"time"
)

// State is what a connection does.
type State uint8

// The states of connections.
const (
	Idle    State = iota + 1 // no byte of a request has arrived since the last response
	Reading                  // a request has arrived in part, nothing has been done for it
	Working                  // a request is complete and in progress
)

// minReading is the time for which a connection may read a request before it can make room for a new one. An ordinary
// request arrives within some milliseconds.
const minReading = time.Second

// Connections are the open connections of one listener. The zero value admits none.
type Connections struct {
	config   ConnectionsConfig
	open     map[uint64]*connection
	byClient map[netip.Addr]int
}

// ConnectionsConfig configures Connections.
type ConnectionsConfig struct {
	Total     int // connections of all clients
	PerClient int // connections of one client address
}

type connection struct {
	client netip.Addr
	state  State
	since  time.Time
}

// NewConnections returns an empty table.
func NewConnections(config ConnectionsConfig) *Connections {
	return &Connections{config: config, open: map[uint64]*connection{}, byClient: map[netip.Addr]int{}}
}

// Admission is the decision on a new connection.
type Admission struct {
	Admitted bool
	// Evicted is the connection that must be closed to make room, 0 if there is none. It no longer counts.
	Evicted      uint64
	EvictedState State
}

// Open decides whether a new connection is admitted; ids are above 0 and never reused. Where there is no room, the least
// recently used idle connection makes room, or else the one that has been reading a request for longest. If the client
// has its full share, only its own connections do.
func (c *Connections) Open(id uint64, client netip.Addr, now time.Time) Admission {
	full, share := len(c.open) >= c.config.Total, c.byClient[client] >= c.config.PerClient
	a := Admission{Admitted: !full && !share}
	if !a.Admitted {
		a.Evicted, a.EvictedState = c.victim(client, share, now)
		if a.Admitted = a.Evicted != 0; !a.Admitted {
			return a
		}
		c.Close(a.Evicted)
	}
	c.open[id] = &connection{client: client, state: Idle, since: now}
	c.byClient[client]++
	return a
}

// victim looks at all connections, which is done only while there is no room.
func (c *Connections) victim(client netip.Addr, ownOnly bool, now time.Time) (uint64, State) {
	var best *connection
	var bestID uint64
	for id, o := range c.open {
		switch {
		case ownOnly && o.client != client, o.state == Working, o.state == Reading && now.Sub(o.since) < minReading:
			continue
		case best == nil, o.state < best.state, o.state == best.state && o.since.Before(best.since):
			best, bestID = o, id
		}
	}
	if best == nil {
		return 0, 0
	}
	return bestID, best.state
}

// SetState records that a connection has changed its state. It returns false if the connection was evicted, so nothing
// more may be done for it.
func (c *Connections) SetState(id uint64, state State, now time.Time) bool {
	o := c.open[id]
	if o == nil {
		return false
	}
	o.state, o.since = state, now
	return true
}

// Close removes a connection.
func (c *Connections) Close(id uint64) {
	o := c.open[id]
	if o == nil {
		return
	}
	delete(c.open, id)
	if c.byClient[o.client]--; c.byClient[o.client] == 0 {
		delete(c.byClient, o.client)
	}
}

// Len returns the number of open connections.
func (c *Connections) Len() int { return len(c.open) }
