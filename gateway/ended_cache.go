package gateway

import (
	"context"
	"sync"
	"time"
)

// endedCache caches the states of ended jobs, which are final; the oldest entries are evicted.
type endedCache struct {
	mu      sync.Mutex
	states  map[string]JobState
	order   []string
	waiters map[string]chan struct{} // closed when the job has ended
}

// maxEndedCached is the maximum number of cached ended jobs; each takes about 100 bytes.
const maxEndedCached = 20000

func (e *endedCache) get(id string) (JobState, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state, known := e.states[id]
	return state, known
}

func (e *endedCache) put(id string, state JobState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.states == nil {
		e.states = map[string]JobState{}
	}
	if c := e.waiters[id]; c != nil {
		close(c)
		delete(e.waiters, id)
	}
	if _, known := e.states[id]; known {
		return
	}
	e.states[id] = state
	if e.order = append(e.order, id); len(e.order) > maxEndedCached {
		delete(e.states, e.order[0])
		e.order = e.order[1:]
	}
}

// wait waits up to timeout for the end of a job and returns its state, or false if it has not ended.
func (e *endedCache) wait(ctx context.Context, id string, timeout time.Duration) (JobState, bool) {
	e.mu.Lock()
	if state, known := e.states[id]; known {
		e.mu.Unlock()
		return state, true
	}
	if e.waiters == nil {
		e.waiters = map[string]chan struct{}{}
	}
	c := e.waiters[id]
	if c == nil {
		c = make(chan struct{})
		e.waiters[id] = c
	}
	e.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-c:
		return e.get(id)
	case <-timer.C:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiters[id] == c {
		delete(e.waiters, id) // other waiters of this channel time out as well and ask again
	}
	return JobUnknown, false
}
