package traffic

import (
	"sync"
	"time"
)

// linkQueue estimates the send queue of a link: bytes leave it in the order of sending at the link's bandwidth.
type linkQueue struct {
	rate float64 // bytes per second, 0 if unknown

	mu        sync.Mutex
	drainedAt time.Time // when the queue will be empty
}

const (
	// perMessageOverhead is the size in bytes of the TCP and IP headers and of the acknowledgement for each message.
	perMessageOverhead = 104
	// maxQueueDelay limits the estimate, since senders block before the queue of a real link grows longer.
	maxQueueDelay = 500 * time.Millisecond
)

// add adds a message of a number of bytes to the queue.
func (q *linkQueue) add(now time.Time, bytes int) {
	if q.rate <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.drainedAt.Before(now) {
		q.drainedAt = now
	}
	q.drainedAt = q.drainedAt.Add(time.Duration(float64(bytes+perMessageOverhead) / q.rate * float64(time.Second)))
	if latest := now.Add(maxQueueDelay); q.drainedAt.After(latest) {
		q.drainedAt = latest
	}
}

// delay returns the time until the queue is empty.
func (q *linkQueue) delay(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(q.drainedAt.Sub(now), 0)
}
