package peer

import "time"

// maxClockDrift is the share by which the clocks of two VMs may run apart.
const maxClockDrift = 0.01

// clockBound derives a lower bound of another VM's clock from the readings in its messages. Each reading is older than
// its arrival by the time on the way, which the reading with the least delay keeps small.
type clockBound struct {
	offset time.Duration // of the other clock from the own one
	since  time.Duration // own clock when offset was observed
	known  bool
}

func (b *clockBound) observe(remote, own time.Duration) {
	if offset := remote - own; !b.known || offset > b.at(own)-own {
		*b = clockBound{offset: offset, since: own, known: true}
	}
}

// at returns a time that the other clock has certainly reached when the own clock shows the given time, 0 if unknown.
func (b *clockBound) at(own time.Duration) time.Duration {
	if !b.known {
		return 0
	}
	return own + b.offset - time.Duration(maxClockDrift*float64(own-b.since))
}

func (c *Conn) clock() time.Duration {
	if c.config.Clock == nil {
		return 0
	}
	return c.config.Clock()
}

// observeClock records a reading of the other VM's clock.
func (c *Conn) observeClock(reading time.Duration) {
	if reading == 0 || c.config.Clock == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remoteClock.observe(reading, c.clock())
}

// Echo returns a time that the other VM's clock has certainly reached by now, 0 if its clock is unknown.
func (c *Conn) Echo() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.remoteClock.at(c.clock())
}
