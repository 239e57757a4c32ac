package chaos

import (
	"context"
	"sync"
	"time"
)

// direction is from one zone to another.
type direction struct{ from, to string }

// links holds the faults between zones that the relays carry out.
type links struct {
	mu      sync.Mutex
	held    map[direction]int // number of faults that hold bytes back
	refused map[direction]int
	delays  map[direction]int
	changed chan struct{}
}

// linkDelay is what LinkDelay adds to each chunk, far above the round trip between zones and below the link's timeouts.
const linkDelay = 100 * time.Millisecond

func newLinks() *links {
	return &links{
		held: map[direction]int{}, refused: map[direction]int{}, delays: map[direction]int{}, changed: make(chan struct{}),
	}
}

// apply adds a fault with 1 and removes it with -1.
func (l *links) apply(e FaultEvent, change int) {
	forth, back := direction{e.From, e.To}, direction{e.To, e.From}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch e.Kind {
	case LinkPartitionOneWay:
		l.held[forth] += change
	case LinkPartition:
		l.held[forth] += change
		l.held[back] += change
	case LinkRefuse:
		l.refused[forth] += change
		l.refused[back] += change
	case LinkDelay:
		l.delays[forth] += change
		l.delays[back] += change
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// state returns the faults of a direction and a channel that is closed at the next change.
func (l *links) state(d direction) (held, refused bool, delay time.Duration, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held[d] > 0, l.refused[d] > 0, time.Duration(l.delays[d]) * linkDelay, l.changed
}

// pass waits until bytes may go on; false means that the connection must be closed.
func (l *links) pass(ctx context.Context, d direction) bool {
	delayed := false
	for {
		held, refused, delay, changed := l.state(d)
		if refused || ctx.Err() != nil {
			return false
		}
		var timer <-chan time.Time
		switch {
		case held:
		case delay == 0 || delayed:
			return true
		default:
			timer = time.After(delay)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer:
			delayed = true
		}
	}
}

// awaitRefusal returns when the direction refuses connections or ctx ends.
func (l *links) awaitRefusal(ctx context.Context, d direction) {
	for {
		_, refused, _, changed := l.state(d)
		if refused || ctx.Err() != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}
