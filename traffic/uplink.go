package traffic

import (
	"sync"
	"time"
)

// uplink estimates the queue of a link from what was sent: bytes leave it at the link's rate, in the order of sending.
type uplink struct {
	rate float64 // bytes a second, 0 if it is not known

	mu    sync.Mutex
	empty time.Time // when the queue will be empty
}

const (
	// packetBytes are those of TCP, IP and the acknowledgement that go with each message.
	packetBytes = 104
	// maxBacklog bounds the estimate: senders block before the queue of a real link is longer.
	maxBacklog = 500 * time.Millisecond
)

func (u *uplink) add(now time.Time, bytes int) {
	if u.rate <= 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.empty.Before(now) {
		u.empty = now
	}
	u.empty = u.empty.Add(time.Duration(float64(bytes+packetBytes) / u.rate * float64(time.Second)))
	if most := now.Add(maxBacklog); u.empty.After(most) {
		u.empty = most
	}
}

func (u *uplink) backlog(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(u.empty.Sub(now), 0)
}
