package peer

import "time"

const (
	// HeartbeatInterval is the heartbeat interval of a busy connection, less than a third of ReadTimeout.
	HeartbeatInterval = 150 * time.Millisecond
	// ReadTimeout is the time without a received byte after which a busy connection is closed. A client resubmits a job
	// 1.3 s after its VM became unreachable, and the job's runs must be stopped by then.
	ReadTimeout = 500 * time.Millisecond
	// IdleHeartbeatInterval is the heartbeat interval of a connection without jobs. It is longer because each VM has a
	// connection to each holder, and few of them carry a job at a time.
	IdleHeartbeatInterval = 6 * HeartbeatInterval
	// IdleReadTimeout is the time without a received byte after which an idle connection is closed.
	IdleReadTimeout = 3 * IdleHeartbeatInterval
)

// heartbeatSchedule decides how often heartbeats are sent in each direction of a connection. They are frequent while
// the connection carries jobs, which both sides track, and while the other side asks for them.
type heartbeatSchedule struct {
	activeSubmissions map[uint64]struct{} // submissions without a verdict
	wantFrequent      bool                // this side asks for frequent heartbeats
	peerWantsFrequent bool                // the other side asks for frequent heartbeats
	lastSentWant      bool                // value of wantFrequent in the last sent heartbeat
	lastHeartbeat     time.Time
}

// observe tracks the submissions of a connection by its messages and reports whether the read timeout has changed.
func (p *heartbeatSchedule) observe(m Message) bool {
	before := p.readTimeout()
	switch m := m.(type) {
	case Submit:
		p.activeSubmissions[m.Sequence] = struct{}{}
	case Verdict:
		delete(p.activeSubmissions, m.Sequence)
	case Withdraw:
		delete(p.activeSubmissions, m.Sequence)
	}
	return p.readTimeout() != before
}

// due reports whether a heartbeat must be sent now.
func (p *heartbeatSchedule) due(now time.Time) bool {
	if len(p.activeSubmissions) > 0 || p.peerWantsFrequent || p.wantFrequent != p.lastSentWant {
		return true
	}
	return now.Sub(p.lastHeartbeat) > IdleHeartbeatInterval-HeartbeatInterval/2
}

// readTimeout returns the maximum time between two received bytes.
func (p *heartbeatSchedule) readTimeout() time.Duration {
	if len(p.activeSubmissions) > 0 || p.wantFrequent {
		return ReadTimeout
	}
	return IdleReadTimeout
}

// SendHeartbeat sends a heartbeat if one is due by the schedule or if it is urgent, that is, carries a change.
func (c *Conn) SendHeartbeat(m Heartbeat, urgent bool) {
	now := time.Now()
	c.mu.Lock()
	if !urgent && !c.schedule.due(now) {
		c.mu.Unlock()
		return
	}
	c.schedule.lastHeartbeat, c.schedule.lastSentWant = now, c.schedule.wantFrequent
	m.Often = c.schedule.wantFrequent
	m.Clock, m.Echo = c.clock(), c.remoteClock.at(c.clock())
	c.mu.Unlock()
	c.Send(m)
}

// RequestFrequentHeartbeats asks the other side for frequent heartbeats, or withdraws that request. The next heartbeat
// that is sent carries it.
func (c *Conn) RequestFrequentHeartbeats(want bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.schedule.readTimeout()
	c.schedule.wantFrequent = want
	if c.schedule.readTimeout() != before {
		c.extendReadDeadline()
	}
}

// trackMessage updates the schedule by a message in either direction.
func (c *Conn) trackMessage(m Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.schedule.observe(m) {
		c.extendReadDeadline()
	}
}

// trackReceived updates the schedule by a message of the other side.
func (c *Conn) trackReceived(m Message) {
	c.trackMessage(m)
	if beat, ok := m.(Heartbeat); ok {
		c.observeClock(beat.Clock)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.schedule.peerWantsFrequent = beat.Often
	}
}

// extendReadDeadline restarts the read timeout; the caller holds the lock.
func (c *Conn) extendReadDeadline() {
	if err := c.conn.SetReadDeadline(time.Now().Add(c.schedule.readTimeout())); err != nil {
		return // the connection is closed, and the reader gets the error too
	}
}

// deadlineReader restarts the read timeout with each read, so that a long message on a slow link does not time out
// while its bytes arrive.
type deadlineReader struct{ c *Conn }

// Read restarts the read timeout and reads from the connection.
func (r deadlineReader) Read(b []byte) (int, error) {
	r.c.mu.Lock()
	r.c.extendReadDeadline()
	r.c.mu.Unlock()
	n, err := r.c.conn.Read(b)
	if n > 0 && r.c.config.OnReceive != nil {
		r.c.config.OnReceive()
	}
	return n, err
}
