package gateway

import (
	"context"
	"sync"
	"time"
)

// finals remembers the states of ended jobs, which do not change any more; the oldest are forgotten.
type finals struct {
	mu     sync.Mutex
	states map[string]JobState
	order  []string
	waits  map[string]chan struct{} // closed when the job has ended
}

// maxFinals bounds the ended jobs that a VM remembers; each takes about 100 bytes.
const maxFinals = 20000

func (f *finals) get(id string) (JobState, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state, known := f.states[id]
	return state, known
}

func (f *finals) put(id string, state JobState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.states == nil {
		f.states = map[string]JobState{}
	}
	if c := f.waits[id]; c != nil {
		close(c)
		delete(f.waits, id)
	}
	if _, known := f.states[id]; known {
		return
	}
	f.states[id] = state
	if f.order = append(f.order, id); len(f.order) > maxFinals {
		delete(f.states, f.order[0])
		f.order = f.order[1:]
	}
}

// wait waits until a job has ended, at most for the given time, and returns its state if it has.
func (f *finals) wait(ctx context.Context, id string, most time.Duration) (JobState, bool) {
	f.mu.Lock()
	if state, known := f.states[id]; known {
		f.mu.Unlock()
		return state, true
	}
	if f.waits == nil {
		f.waits = map[string]chan struct{}{}
	}
	c := f.waits[id]
	if c == nil {
		c = make(chan struct{})
		f.waits[id] = c
	}
	f.mu.Unlock()
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-c:
		return f.get(id)
	case <-timer.C:
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waits[id] == c {
		delete(f.waits, id) // those who still wait for it time out as well, and ask again
	}
	return JobUnknown, false
}
