package gateway

import (
	"context"
	"sync"
	"time"
)

// endedCache remembers the states of ended jobs, which do not change any more; the oldest are forgotten.
type endedCache struct {
	mu      sync.Mutex
	states  map[string]JobState
	order   []string
	waiters map[string]chan struct{} // closed when the job has ended
}

// maxEndedCached bounds the ended jobs that a VM remembers; each takes about 100 bytes.
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

// wait waits until a job has ended, at most for the given time, and returns its state if it has.
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
		delete(e.waiters, id) // those who still wait for it time out as well, and ask again
	}
	return JobUnknown, false
}
