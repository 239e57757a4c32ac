package peer

import "time"

const (
	// HeartbeatInterval is the time between two heartbeats on a busy connection: a third of the time after which a VM counts
	// as silent.
	HeartbeatInterval = 150 * time.Millisecond
	// ReadTimeout is the time without a byte after which a busy connection is given up. A client sends a job again 1.3 s
	// after its VM fell silent; the job's runs must have been stopped by then.
	ReadTimeout = 500 * time.Millisecond
	// IdleHeartbeatInterval is the time between two heartbeats on a connection without jobs. A fleet has a connection from each VM
	// to each holder, of which few carry a job at a time.
	IdleHeartbeatInterval = 6 * HeartbeatInterval
	// IdleReadTimeout is the time without a byte after which an idle connection is given up.
	IdleReadTimeout = 3 * IdleHeartbeatInterval
)

// pace says how often heartbeats go over a connection in each direction. Both sides know of the jobs on it; beside them
// each may ask the other one for frequent heartbeats.
type pace struct {
	jobs     map[uint64]struct{} // submissions without a verdict
	wish     bool                // this side asks for frequent heartbeats
	wished   bool                // the other side does
	told     bool                // the wish as it was told last
	lastBeat time.Time
}

// note follows the jobs of a connection; it returns true when that changes how long the other side may be silent.
func (p *pace) note(m Message) bool {
	before := p.silence()
	switch m := m.(type) {
	case Submit:
		p.jobs[m.Sequence] = struct{}{}
	case Verdict:
		delete(p.jobs, m.Sequence)
	case Withdraw:
		delete(p.jobs, m.Sequence)
	}
	return p.silence() != before
}

// due says whether a heartbeat is to be sent now.
func (p *pace) due(now time.Time) bool {
	if len(p.jobs) > 0 || p.wished || p.wish != p.told {
		return true
	}
	return now.Sub(p.lastBeat) > IdleHeartbeatInterval-HeartbeatInterval/2
}

// silence returns how long the other side may be silent.
func (p *pace) silence() time.Duration {
	if len(p.jobs) > 0 || p.wish {
		return ReadTimeout
	}
	return IdleReadTimeout
}

// SendHeartbeat sends a heartbeat if one is due, or if it is urgent since it tells something new.
func (c *Conn) SendHeartbeat(m Heartbeat, urgent bool) {
	now := time.Now()
	c.mu.Lock()
	if !urgent && !c.pace.due(now) {
		c.mu.Unlock()
		return
	}
	c.pace.lastBeat, c.pace.told = now, c.pace.wish
	m.Often = c.pace.wish
	c.mu.Unlock()
	c.Send(m)
}

// RequestFrequentHeartbeats asks the other side for frequent heartbeats, or for no more of them.
func (c *Conn) RequestFrequentHeartbeats(wish bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.pace.silence()
	c.pace.wish = wish
	if c.pace.silence() != before {
		c.expect()
	}
}

// pass takes note of a message in either direction.
func (c *Conn) pass(m Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pace.note(m) {
		c.expect()
	}
}

// hear takes note of a message of the other side.
func (c *Conn) hear(m Message) {
	c.pass(m)
	if beat, ok := m.(Heartbeat); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.pace.wished = beat.Often
	}
}

// expect bounds the time to the next byte from the other side; the caller holds the lock.
func (c *Conn) expect() {
	if err := c.conn.SetReadDeadline(time.Now().Add(c.pace.silence())); err != nil {
		return // the connection is closed, which the reader finds as well
	}
}

// boundedReader reads from a connection whose other side may be silent for a bounded time between two bytes, so that a
// long message on a slow link is no silence.
type boundedReader struct{ c *Conn }

// Read reads what has arrived.
func (r boundedReader) Read(b []byte) (int, error) {
	r.c.mu.Lock()
	r.c.expect()
	r.c.mu.Unlock()
	return r.c.conn.Read(b)
}
