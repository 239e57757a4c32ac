package gateway

import (
	"context"
	"errors"
	"sync"

	"samphireplank.example/samphireplank/store"
)

// accepts puts the new jobs that arrive while a write is under way into the next write.
type accepts struct {
	keys store.Keyspace

	mu      sync.Mutex
	busy    bool
	waiting []*accept
}

// accept is a job to store.
type accept struct {
	store.Transaction
	done chan struct{}
	rev  int64
	err  error
}

// commit stores a job, possibly together with others; its outcome is that of its own conditions.
func (a *accepts) commit(ctx context.Context, t store.Transaction) (int64, error) {
	mine := &accept{Transaction: t, done: make(chan struct{})}
	a.mu.Lock()
	a.waiting = append(a.waiting, mine)
	leads := !a.busy
	a.busy = true
	a.mu.Unlock()
	if leads {
		a.lead(ctx)
	}
	<-mine.done
	return mine.rev, mine.err
}

// lead writes until nothing waits; each call of the store is bounded in time.
func (a *accepts) lead(ctx context.Context) {
	ctx = context.WithoutCancel(ctx) // other callers wait for these writes as well
	for {
		a.mu.Lock()
		batch := a.waiting[:min(len(a.waiting), jobsPerWrite)]
		a.waiting = a.waiting[len(batch):]
		if len(batch) == 0 {
			a.busy = false
			a.mu.Unlock()
			return
		}
		a.mu.Unlock()
		a.write(ctx, batch)
	}
}

func (a *accepts) write(ctx context.Context, batch []*accept) {
	var all store.Transaction
	for _, x := range batch {
		all.Expect, all.Set = append(all.Expect, x.Expect...), append(all.Set, x.Set...)
	}
	rev, err := a.keys.Commit(ctx, all)
	for _, x := range batch {
		if errors.Is(err, store.ErrConflict) && len(batch) > 1 {
			// One job that is there already must not keep the others out.
			x.rev, x.err = a.keys.Commit(ctx, x.Transaction)
		} else {
			x.rev, x.err = rev, err
		}
		close(x.done)
	}
}
